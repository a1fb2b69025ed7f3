"""Entry point of `python -m azurerelay.hosts entry` and `control`.

It does not import `azurerelay.cli`, which would slow down the start of a host.
"""

import sys

from azurerelay.hosts import run_host

ROLES = ("entry", "control")

if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
        print(f"usage: python -m azurerelay.hosts {'|'.join(ROLES)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(run_host(sys.argv[1]))
