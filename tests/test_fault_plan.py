"""Tests of the faults that experiments inject."""

import unittest

from azurerelay.experiments import Fault, FaultKind, FaultPlan
from tests.support import Rig


class OverlappingFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = Rig()
        self.network = self.rig.system.network

    def _start(self, *faults: Fault) -> FaultPlan:
        plan = FaultPlan(self.rig.system, self.rig.timers, faults)
        plan.start()
        return plan

    def _is_isolated(self) -> bool:
        return self.network.is_cut("entry-1", "control-1")

    def test_a_fault_lasts_until_the_last_one_of_its_kind_ends(self) -> None:
        self._start(
            Fault(0.0, FaultKind.ISOLATE_ENTRY, 1_000.0, 0),
            Fault(500.0, FaultKind.ISOLATE_ENTRY, 2_000.0, 0),
        )
        self.rig.timers.advance(1_500.0)
        self.assertTrue(self._is_isolated())
        self.rig.timers.advance(1_100.0)
        self.assertFalse(self._is_isolated())

    def test_a_short_fault_inside_a_long_one_does_not_end_it(self) -> None:
        self._start(
            Fault(0.0, FaultKind.LOSE_MESSAGES, 3_000.0, 0),
            Fault(500.0, FaultKind.LOSE_MESSAGES, 500.0, 0),
            Fault(0.0, FaultKind.FREEZE_ENTRY, 3_000.0, 0),
            Fault(500.0, FaultKind.FREEZE_ENTRY, 500.0, 0),
        )
        self.rig.timers.advance(1_500.0)
        heartbeats = self.rig.system.entries["entry-1"].session.silence_ms
        self.assertGreater(heartbeats, 1_000.0)
        self.rig.timers.advance(2_000.0)
        heartbeats = self.rig.system.entries["entry-1"].session.silence_ms
        self.assertLess(heartbeats, 1_000.0)

    def test_the_end_of_all_faults_undoes_each_once(self) -> None:
        plan = self._start(
            Fault(0.0, FaultKind.KILL_ENTRY, 9_000.0, 0),
            Fault(100.0, FaultKind.ISOLATE_ENTRY, 9_000.0, 0),
            Fault(200.0, FaultKind.ISOLATE_ENTRY, 9_000.0, 0),
        )
        self.rig.timers.advance(1_000.0)
        plan.end_all()
        self.rig.settle()
        self.assertIn("entry-1", self.rig.system.entries)
        self.assertEqual(len(plan.log), 3)


if __name__ == "__main__":
    unittest.main()
