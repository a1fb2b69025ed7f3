"""Runs all tests and closes with one line that counts them.

Failures of the tests that KNOWN-RED.txt names are passed over and printed.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


TEST_MARK = "  test: "


def known_red() -> tuple[str, ...]:
    """Return the ids of the tests that may fail."""
    lines = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines()
    marked = (line for line in lines if line.startswith(TEST_MARK))
    return tuple(line.removeprefix(TEST_MARK).strip() for line in marked)


def main() -> int:
    sys.path.insert(0, str(ROOT))
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    # A failed subtest has its parameters after the id of its test.
    broken = {t.id().partition(" ")[0] for t, _ in outcome.failures + outcome.errors}
    allowed = known_red()
    failed = len(broken - set(allowed))
    passed = outcome.testsRun - len(broken) - len(outcome.skipped)
    for name in allowed:
        print(f"known red: {name} {'failed' if name in broken else 'PASSED'}")
    print(f"{passed} passed, {failed} failed, {len(broken) - failed} known red")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
