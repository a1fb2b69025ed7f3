"""Tests of the embedded system, on which experiments and many tests run."""

import unittest

from azurerelay.requests import Operation
from tests.support import Rig


class KilledHostTest(unittest.TestCase):
    def test_a_caller_learns_that_its_entry_host_was_killed(self) -> None:
        """Callers that wait for ever would make no retries, and hide what those find."""
        rig = Rig()
        rig.write("entry-1", "put", "a", 1)
        rig.system.kill_endpoint(rig.primary)
        promise = rig.send(
            "entry-1", Operation.WRITE, "put", "a", 2, is_idempotent=True
        )
        rig.timers.advance(50.0)
        self.assertFalse(promise.is_done)
        rig.system.kill_entry("entry-1")
        rig.timers.advance(1_000.0)
        self.assertTrue(promise.is_done)
        self.assertIsNone(promise.value)


if __name__ == "__main__":
    unittest.main()
