"""Runs all tests and closes with one line that counts them."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    sys.path.insert(0, str(ROOT))
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(outcome.failures) + len(outcome.errors)
    passed = outcome.testsRun - failed - len(outcome.skipped)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
