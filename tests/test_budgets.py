"""Tests of the byte and connection budgets, without a network."""

import json
import unittest

from result import Err

from azurerelay.budgets import (
    ByteAccount,
    ByteBudget,
    ConnectionBudget,
    ProcessLimits,
)
from azurerelay.platform import parse_host_settings
from azurerelay.timing import ManualTimerService
from tests.test_platform_codecs import SETTINGS

MAX_MEASUREMENTS = 100  # of a holder in one test
CAPACITY = 100
MIB = 1_024 * 1_024


class _Holder:
    def __init__(self, budget: ByteBudget) -> None:
        self.account: ByteAccount = budget.open_account(self)
        self.is_granted = False
        self.is_closed = False
        self.moved_before_review = 0
        self.in_progress = 0
        self.measured_count = 0
        self.is_measured_by_reserve = False

    def measure_bytes(self) -> int:
        self.measured_count += 1
        if self.measured_count > MAX_MEASUREMENTS:
            raise AssertionError("the budget measures its holders without end")
        if self.is_measured_by_reserve:
            self.account.reserve(self.account.held)
        self.account.moved += self.moved_before_review
        return self.account.held - self.in_progress

    def on_bytes_granted(self) -> None:
        self.is_granted = True

    def close_for_bytes(self) -> None:
        self.is_closed = True
        self.account.close()


class ByteBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.budget = ByteBudget(CAPACITY, self.timers)
        self.holders = [_Holder(self.budget) for _ in range(4)]

    def test_bytes_are_granted_in_the_order_of_the_requests(self) -> None:
        """A small request that overtakes would keep a large one waiting for ever."""
        first, second, third, _ = self.holders
        self.assertTrue(first.account.reserve(90))
        self.assertFalse(second.account.reserve(50))
        self.assertFalse(third.account.reserve(10))
        first.account.close()
        self.assertTrue(second.is_granted and third.is_granted)
        self.assertEqual(self.budget.held, 60)

    def test_a_full_budget_without_anyone_who_waits_closes_nobody(self) -> None:
        self.holders[0].account.reserve(CAPACITY)
        self.timers.advance(60_000.0)
        self.assertFalse(self.holders[0].is_closed)

    def test_a_holder_that_stands_still_is_closed_for_one_that_waits(self) -> None:
        """All bytes could be held by clients that stopped half-way."""
        large, small, moving, waiting = self.holders
        large.account.reserve(50)
        small.account.reserve(20)
        moving.account.reserve(30)
        moving.moved_before_review = 1
        waiting.account.reserve(40)
        self.timers.advance(1_500.0)
        self.assertTrue(large.is_closed and waiting.is_granted)
        self.assertFalse(small.is_closed or moving.is_closed)

    def test_holders_that_move_a_byte_at_a_time_do_not_keep_others_waiting(
        self,
    ) -> None:
        slow, faster, waiting, _ = self.holders
        slow.account.reserve(50)
        faster.account.reserve(50)
        slow.moved_before_review, faster.moved_before_review = 1, 1_000
        waiting.account.reserve(40)
        self.timers.advance(3_500.0)
        self.assertFalse(slow.is_closed)
        self.timers.advance(2_000.0)
        self.assertTrue(slow.is_closed and waiting.is_granted)
        self.assertFalse(faster.is_closed)

    def test_a_holder_of_work_in_progress_only_is_not_closed(self) -> None:
        """A statement at an endpoint was ended in doubt, and no memory was freed."""
        working, waiting, _, _ = self.holders
        working.account.reserve(90)
        working.in_progress = 90
        waiting.account.reserve(40)
        self.timers.advance(30_000.0)
        self.assertFalse(working.is_closed)

    def test_bytes_that_exist_beyond_the_capacity_close_the_worst_holder(self) -> None:
        """The size of an answer is known only when it is there."""
        large, small, _, _ = self.holders
        small.account.charge(30)
        large.account.charge(90)
        self.timers.advance(0.0)
        self.assertTrue(large.is_closed)
        self.assertFalse(small.is_closed)

    def test_one_look_at_all_holders_relieves_the_budget(self) -> None:
        """Each look scheduled another one for every holder, in the worst case for ever."""
        for holder in self.holders:
            holder.is_measured_by_reserve = True
            holder.in_progress = 40
            holder.account.charge(40)
        self.timers.advance(0.0)
        self.assertEqual([holder.measured_count for holder in self.holders], [1] * 4)
        self.holders[0].account.shrink(0)
        self.holders[1].account.shrink(0)
        self.assertTrue(self.holders[0].account.reserve(20))

    def test_a_holder_that_raises_does_not_stop_the_grants(self) -> None:
        """One unexpected error kept all others waiting until a review."""
        first, raising, waiting, _ = self.holders
        first.account.reserve(CAPACITY)
        raising.account.reserve(10)
        waiting.account.reserve(10)

        def fail() -> None:
            raise ValueError("an error of the holder")

        raising.on_bytes_granted = fail  # type: ignore[method-assign]
        with self.assertRaises(ValueError):
            first.account.close()
        self.holders[3].account.charge(1)
        self.assertTrue(waiting.is_granted)

    def test_a_request_that_can_never_be_granted_is_closed_at_once(self) -> None:
        self.assertFalse(self.holders[0].account.reserve(CAPACITY + 1))
        self.assertFalse(self.holders[1].account.reserve(10))
        self.timers.advance(0.0)
        self.assertTrue(self.holders[0].is_closed and self.holders[1].is_granted)

    def test_a_request_that_has_become_smaller_is_not_closed(self) -> None:
        """The decision to close was not checked again when its time had come."""
        self.assertFalse(self.holders[0].account.reserve(CAPACITY + 1))
        self.assertTrue(self.holders[0].account.reserve(CAPACITY))
        self.timers.advance(0.0)
        self.assertFalse(self.holders[0].is_closed)

    def test_a_request_that_does_not_wait_does_not_overtake(self) -> None:
        first, waiting, third, _ = self.holders
        first.account.reserve(90)
        self.assertFalse(third.account.try_reserve(20))
        waiting.account.reserve(20)
        self.assertFalse(third.account.try_reserve(10))
        self.assertEqual(self.budget.waiting_count, 1)

    def test_without_a_limit_everything_is_granted(self) -> None:
        account = ByteBudget(None, None).open_account(self.holders[0])
        self.assertTrue(account.reserve(10**12))


class ConnectionBudgetTest(unittest.TestCase):
    def test_the_connection_that_is_idle_for_longest_makes_room(self) -> None:
        """Idle clients kept all descriptors, and others were not served."""
        budget: ConnectionBudget[str] = ConnectionBudget(3)
        for name in ("speaks", "silent", "newer"):
            self.assertIsNone(budget.add(name))
        budget.mark_busy("speaks")
        budget.mark_idle("speaks")
        self.assertEqual(budget.add("ordinary"), "silent")
        budget.remove("newer")
        self.assertIsNone(budget.add("next"))
        self.assertEqual(budget.add("last"), "speaks")

    def test_a_new_connection_is_refused_if_none_is_idle(self) -> None:
        budget: ConnectionBudget[str] = ConnectionBudget(1)
        budget.add("busy")
        budget.mark_busy("busy")
        self.assertEqual(budget.add("new"), "new")
        budget.remove("busy")
        self.assertIsNone(budget.add("newer"))

    def test_a_busy_connection_that_may_go_makes_room(self) -> None:
        """Quiet clients in a transaction kept all descriptors."""
        ranks = {"at-endpoint": None, "open": (True, -9.0), "failed": (False, -1.0)}
        budget: ConnectionBudget[str] = ConnectionBudget(3, ranks.get)
        for name in ranks:
            budget.add(name)
            budget.mark_busy(name)
        self.assertEqual(budget.add("new"), "failed")
        budget.mark_busy("new")
        self.assertEqual(budget.add("newer"), "open")
        budget.mark_busy("newer")
        self.assertEqual(budget.add("newest"), "newest")


class ProcessLimitsTest(unittest.TestCase):
    def test_limits_are_read_from_the_settings(self) -> None:
        limits = {"limits": {"memory_mb": 152, "file_descriptors": 1_605}}
        parsed = parse_host_settings(json.dumps(SETTINGS | limits).encode(), "file")
        self.assertEqual(parsed.ok_value.memory_bytes, 152 * MIB)
        self.assertEqual(parsed.ok_value.file_descriptors, 1_605)
        parsed = parse_host_settings(json.dumps(SETTINGS).encode(), "file")
        self.assertIsNone(parsed.ok_value.memory_bytes)
        for name in limits["limits"]:
            body = json.dumps(SETTINGS | {"limits": {name: 0}}).encode()
            findings = parse_host_settings(body, "file")
            assert isinstance(findings, Err)
            self.assertEqual(findings.err_value[0].place, f"file: $.limits.{name}")

    def test_the_largest_message_and_ordinary_callers_fit_into_a_small_machine(
        self,
    ) -> None:
        for memory_mb in (32, 152, 296):
            limits = ProcessLimits(memory_mb * MIB, 1_605)
            self.assertGreaterEqual(limits.budget_bytes or 0, 9 * MIB)
        limits = ProcessLimits(152 * MIB, 1_605)
        self.assertGreaterEqual(limits.max_callers or 0, 800)
        self.assertIsNone(ProcessLimits().max_callers)


if __name__ == "__main__":
    unittest.main()
