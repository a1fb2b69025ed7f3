"""Run `python -m azurerelay.hosts entry` or `control`, without the command line."""

import sys

from azurerelay.hosts import run_host

ROLES = ("entry", "control")

if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
        print(f"usage: python -m azurerelay.hosts {'|'.join(ROLES)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(run_host(sys.argv[1]))
