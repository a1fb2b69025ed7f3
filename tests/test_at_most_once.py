import unittest

from hypothesis import given, settings
from hypothesis.strategies import integers, lists, tuples

from azurerelay.registry import (
    IdempotencyRegistry,
    IntentReply,
    IntentStatus,
    IntentVerdict,
    RegistryCoordinator,
    RegistryEntry,
    StoredOutcome,
)
from azurerelay.requests import CallerAnswer, ErrorCode, Operation, Outcome
from azurerelay.serving._at_most_once import record_intent
from tests.support import GROUP, Rig

NOW_MS = 1_700_000_100_000


def _entry(
    attempt: str, outcome: StoredOutcome | None = None, key: str = "k"
) -> RegistryEntry:
    return RegistryEntry(key, "print", attempt, NOW_MS, outcome)


def _member(
    epoch: int = 1, retention_ms: int = 60_000, max_entries: int = 100
) -> IdempotencyRegistry:
    registry = IdempotencyRegistry(retention_ms, max_entries)
    registry.enter_epoch(epoch, 0)
    registry.merge_collected(epoch, ())
    registry.settle(epoch)
    return registry


class RegistryTest(unittest.TestCase):
    def test_member_records_one_attempt_per_key(self) -> None:
        member = _member()
        self.assertEqual(
            member.record_intent(1, _entry("a"), NOW_MS), IntentStatus.RECORDED
        )
        self.assertEqual(
            member.record_intent(1, _entry("a"), NOW_MS), IntentStatus.RECORDED
        )
        self.assertEqual(
            member.record_intent(1, _entry("b"), NOW_MS), IntentStatus.KNOWN
        )

    def test_sealed_or_unsettled_member_refuses_intents(self) -> None:
        member = _member()
        member.seal(2)
        self.assertEqual(
            member.record_intent(1, _entry("a"), NOW_MS), IntentStatus.WRONG_EPOCH
        )
        member.enter_epoch(2, 0)
        self.assertEqual(
            member.record_intent(2, _entry("a"), NOW_MS), IntentStatus.NOT_READY
        )
        member.merge_collected(2, ())
        self.assertEqual(
            member.record_intent(2, _entry("a"), NOW_MS), IntentStatus.NOT_READY
        )
        member.settle(2)
        self.assertEqual(
            member.record_intent(2, _entry("a"), NOW_MS), IntentStatus.RECORDED
        )

    def test_merged_conflicting_attempts_cannot_be_aborted(self) -> None:
        member = _member()
        member.record_intent(1, _entry("a"), NOW_MS)
        member.enter_epoch(2, 0)
        member.merge_collected(2, [_entry("b")])
        member.settle(2)
        member.abort("k", "a")
        member.abort("k", "b")
        self.assertEqual(
            member.record_intent(2, _entry("c"), NOW_MS), IntentStatus.KNOWN
        )

    def test_outcome_survives_merges(self) -> None:
        outcome = StoredOutcome(1, 7, ((1,),))
        member = _member()
        member.record_intent(1, _entry("b"), NOW_MS)
        member.enter_epoch(2, 0)
        member.merge_collected(2, [_entry("a", outcome), _entry("c")])
        found = member.find("k")
        self.assertEqual(found.outcome if found else None, outcome)

    def test_entries_expire_and_are_limited_in_number(self) -> None:
        member = _member(max_entries=2)
        for key in ("k1", "k2"):
            member.record_intent(1, _entry("a", key=key), NOW_MS)
        self.assertEqual(
            member.record_intent(1, _entry("a", key="k3"), NOW_MS), IntentStatus.FULL
        )
        later_ms = NOW_MS + 61_000
        self.assertEqual(
            member.record_intent(1, _entry("a", key="k3"), later_ms),
            IntentStatus.RECORDED,
        )
        self.assertEqual(len(member), 1)

    def test_after_a_registry_loss_only_newer_keys_run(self) -> None:
        member = _member()
        member.enter_epoch(2, NOW_MS)
        member.accept_loss(2)
        member.settle(2)
        now_ms = NOW_MS + 10_000
        cases = (
            ("plain", IntentStatus.PREDATES_LOSS),
            (f"{NOW_MS - 1}-x", IntentStatus.PREDATES_LOSS),
            (f"{NOW_MS + 5_000}-x", IntentStatus.RECORDED),
            (f"{now_ms + 60_000}-x", IntentStatus.PREDATES_LOSS),
        )
        for key, expected in cases:
            with self.subTest(key):
                self.assertEqual(
                    member.record_intent(2, _entry("a", key=key), now_ms), expected
                )
        after_ms = NOW_MS + 60_001
        self.assertEqual(
            member.record_intent(2, _entry("a", key="plain"), after_ms),
            IntentStatus.RECORDED,
        )

    def test_attempt_runs_only_with_a_majority_and_no_outcome(self) -> None:
        coordinator = RegistryCoordinator(3)
        recorded = IntentReply(0, IntentStatus.RECORDED, None)
        known = IntentReply(0, IntentStatus.KNOWN, _entry("other"))
        known_with_outcome = IntentReply(
            0, IntentStatus.KNOWN, _entry("other", StoredOutcome(1, 2, ()))
        )
        cases = (
            ([recorded], IntentVerdict.UNAVAILABLE),
            ([recorded, recorded], IntentVerdict.RUN),
            ([recorded, recorded, known], IntentVerdict.RUN),
            ([recorded, known], IntentVerdict.IN_FLIGHT),
            ([recorded, recorded, known_with_outcome], IntentVerdict.REPLAY),
        )
        for replies, expected in cases:
            with self.subTest(expected):
                self.assertEqual(
                    coordinator.decide(_entry("mine"), replies).verdict, expected
                )


class RegistryPropertyTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=300)
    @given(lists(tuples(integers(0, 3), integers(0, 2), integers(0, 3)), max_size=40))
    def test_no_interleaving_runs_two_attempts(
        self, steps: list[tuple[int, int, int]]
    ) -> None:
        """Deliver intents and aborts of four attempts in any order, some not at all."""
        members = [_member() for _ in range(3)]
        coordinator = RegistryCoordinator(3)
        replies: dict[int, dict[int, IntentReply]] = {}
        may_run: set[int] = set()
        for attempt, member, kind in steps:
            entry = _entry(f"a{attempt}")
            if kind == 0 and attempt not in may_run:
                members[member].abort("k", entry.attempt)
                replies[attempt] = {-1: IntentReply(0, IntentStatus.NOT_READY, None)}
            elif -1 not in replies.get(attempt, {}):
                reply = record_intent(members[member], 0, 1, entry, NOW_MS)
                replies.setdefault(attempt, {})[member] = reply
                verdict = coordinator.decide(entry, replies[attempt].values()).verdict
                if verdict is IntentVerdict.RUN:
                    may_run.add(attempt)
            self.assertLessEqual(len(may_run), 1)


class ResendTest(unittest.TestCase):
    """Resends of a keyed write after its host or the registry has failed."""

    def _resend_after_killing_host(self, delay_ms: float) -> tuple[Rig, CallerAnswer]:
        rig = Rig(seed=3)
        host = rig.system.leader.state.groups[GROUP].serving[0]
        send = (Operation.WRITE, "append", "log", "x")
        rig.send(host, *send, idempotency_key="key")
        rig.timers.advance(delay_ms)
        rig.system.kill_entry(host)
        other = next(name for name in rig.system.entries if name != host)
        answer = rig.write(
            other, "append", "log", "x", idempotency_key="key", timeout_ms=9_000
        )
        return rig, answer

    def test_write_runs_at_most_once_whenever_its_host_fails(self) -> None:
        outcomes = set()
        for delay_tenths_ms in range(5, 200, 5):
            with self.subTest(killed_after_ms=delay_tenths_ms / 10):
                rig, answer = self._resend_after_killing_host(delay_tenths_ms / 10)
                rig.settle()
                rig.timers.advance(1_000)
                value = rig.read(
                    "entry-1" if "entry-1" in rig.system.entries else "entry-5",
                    "get",
                    "log",
                    max_staleness_ms=0,
                )
                stored = value.rows[0][0] if value.rows else ""
                self.assertIn(stored, ("", "x"))
                if answer.outcome is Outcome.DONE:
                    self.assertEqual(stored, "x")
                if answer.outcome is Outcome.NOT_RUN:
                    self.assertEqual(stored, "")
                outcomes.add(answer.outcome)
        self.assertIn(Outcome.DONE, outcomes)
        self.assertIn(Outcome.UNKNOWN, outcomes)

    def test_concurrent_resends_at_all_hosts_run_once(self) -> None:
        rig = Rig()
        sends = [
            rig.send(
                entry, Operation.WRITE, "append", "log", "x", idempotency_key="key"
            )
            for entry in rig.system.entries
            for _ in range(3)
        ]
        answers = [rig.wait(send) for send in sends]
        self.assertEqual(
            {answer.rows for answer in answers if answer.is_done}, {(("x",),)}
        )
        value = rig.read("entry-1", "get", "log", max_staleness_ms=0)
        self.assertEqual(value.rows, (("x",),))

    def test_key_is_replayed_after_the_whole_serving_set_is_replaced(self) -> None:
        rig = Rig()
        first = rig.write("entry-1", "append", "log", "x", idempotency_key="key")
        for host in rig.system.leader.state.groups[GROUP].serving:
            rig.system.kill_entry(host)
            rig.timers.advance(6_000)
            rig.settle()
        again = rig.write(
            next(iter(rig.system.entries)), "append", "log", "x", idempotency_key="key"
        )
        self.assertEqual((again.rows, again.is_replay), (first.rows, True))

    def test_old_keys_are_refused_after_a_majority_of_the_registry_is_lost(
        self,
    ) -> None:
        rig = Rig()
        rig.write("entry-1", "append", "log", "x", idempotency_key="key")
        for host in rig.system.leader.state.groups[GROUP].serving:
            rig.system.kill_entry(host)
        rig.timers.advance(8_000)
        rig.settle()
        entry = next(iter(rig.system.entries))
        again = rig.write(entry, "append", "log", "x", idempotency_key="key")
        self.assertEqual(
            (again.outcome, again.code), (Outcome.UNKNOWN, ErrorCode.KEY_UNDECIDED)
        )
        new_key = f"{rig.timers.wall_clock_ms()}-new"
        self.assertEqual(
            rig.write(entry, "append", "log", "y", idempotency_key=new_key).rows,
            (("xy",),),
        )
        actions = [record.action for record in rig.system.leader.state.audit]
        self.assertIn("lose registry", actions)

    def test_registry_without_ready_members_is_declared_lost(self) -> None:
        rig = Rig()
        first, second, third = rig.system.leader.state.groups[GROUP].serving
        isolated = next(
            n for n in rig.system.entries if n not in (first, second, third)
        )
        rig.system.network.isolate(isolated)
        rig.system.kill_entry(first)
        rig.timers.advance(200)
        rig.system.kill_entry(second)
        rig.system.start_entry(second)
        rig.timers.advance(9_000)
        rig.system.network.heal(isolated)
        rig.settle(30_000)
        entry = next(iter(rig.system.entries))
        key = f"{rig.timers.wall_clock_ms()}-new"
        answer = rig.write(entry, "append", "log", "x", idempotency_key=key)
        self.assertEqual(answer.outcome, Outcome.DONE)
