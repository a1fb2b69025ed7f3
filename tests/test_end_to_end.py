import unittest

from azurerelay.membership import ChangeStatus
from azurerelay.requests import ErrorCode, Operation, Outcome
from tests.support import GROUP, Rig


class EndToEndTest(unittest.TestCase):
    def test_a_session_reads_its_own_write_from_a_replica_on_every_host(self) -> None:
        rig = Rig()
        written = rig.write("entry-1", "put", "room", "3 carers")
        self.assertEqual(written.outcome, Outcome.DONE)
        for entry in rig.system.entries:
            with self.subTest(entry):
                answer = rig.read(entry, "get", "room", after=written)
                self.assertEqual(answer.rows, (("3 carers",),))
                self.assertTrue(answer.is_from_replica)

    def test_a_settings_change_takes_effect_on_every_entry_host(self) -> None:
        rig = Rig()
        outcome = rig.change_setting(
            f"/trinidad/roster/{GROUP}", "requests.timeout_ms", 700
        )
        self.assertEqual(outcome.status, ChangeStatus.ACCEPTED)
        rig.timers.advance(100)
        timeouts = {
            n.state.policy(GROUP).timeout_ms for n in rig.system.entries.values()
        }
        self.assertEqual(timeouts, {700})

    def test_a_lost_primary_is_replaced_with_the_reason_in_the_audit_trail(
        self,
    ) -> None:
        rig = Rig()
        first = rig.write("entry-1", "put", "room", "before")
        lost = rig.primary
        rig.system.kill_endpoint(lost)
        answer = rig.write("entry-2", "append", "room", "+after")
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertGreater((answer.term, answer.position), (first.term, first.position))
        self.assertEqual(answer.rows, (("before+after",),))
        records = [r for r in rig.system.leader.state.audit if r.action == "begin term"]
        self.assertIn(f"{lost} missed 3 probes", records[-1].reason)

    def test_a_retry_at_another_host_returns_the_recorded_outcome(self) -> None:
        rig = Rig()
        first = rig.write("entry-1", "append", "log", "x", idempotency_key="key-1")
        replay = rig.write("entry-5", "append", "log", "x", idempotency_key="key-1")
        self.assertEqual((replay.rows, replay.position), (first.rows, first.position))
        self.assertTrue(replay.is_replay)
        conflict = rig.write("entry-5", "append", "log", "y", idempotency_key="key-1")
        self.assertEqual(conflict.code, ErrorCode.KEY_REUSED)

    def test_a_transaction_spans_entry_hosts_and_is_atomic(self) -> None:
        rig = Rig()
        begun = rig.call("entry-1", Operation.BEGIN)
        name = begun.transaction
        rig.write("entry-2", "put", "a", 1, transaction=name)
        rig.write("entry-3", "put", "b", 2, transaction=name)
        uncommitted = rig.read("entry-4", "scan", "", max_staleness_ms=0)
        self.assertEqual(uncommitted.rows, ())
        committed = rig.call("entry-5", Operation.COMMIT, transaction=name)
        self.assertEqual(committed.outcome, Outcome.DONE)
        seen = rig.read("entry-6", "scan", "", after=committed)
        self.assertEqual(seen.rows, (("a", 1), ("b", 2)))
