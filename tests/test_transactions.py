import unittest

from azurerelay.endpoints import KnobsCall
from azurerelay.requests import CallerAnswer, ErrorCode, Operation, Outcome
from tests.support import GROUP, Rig


class TransactionsTest(unittest.TestCase):
    def _begin(self, rig: Rig, entry: str = "entry-1") -> str:
        begun = rig.call(entry, Operation.BEGIN)
        self.assertEqual(begun.outcome, Outcome.DONE)
        return begun.transaction or ""

    def _commit(
        self, rig: Rig, name: str, entry: str = "entry-1", **fields: object
    ) -> CallerAnswer:
        return rig.call(entry, Operation.COMMIT, transaction=name, **fields)

    def _scan(self, rig: Rig) -> dict[object, object]:
        return dict(rig.read("entry-5", "scan", "", max_staleness_ms=0).rows)

    def test_open_transactions_are_isolated_from_each_other(self) -> None:
        rig = Rig()
        first, second = self._begin(rig), self._begin(rig, "entry-5")
        rig.write("entry-1", "put", "a", "first", transaction=first)
        rig.write("entry-5", "put", "b", "second", transaction=second)
        seen = rig.read("entry-1", "scan", "", transaction=first)
        self.assertEqual(seen.rows, (("a", "first"),))
        rig.call("entry-1", Operation.ROLLBACK, transaction=first)
        self._commit(rig, second, "entry-5")
        self.assertEqual(self._scan(rig), {"b": "second"})

    def test_rejected_statement_leaves_the_transaction_open(self) -> None:
        rig = Rig()
        name = self._begin(rig)
        rig.write("entry-1", "put", "a", 1, transaction=name)
        rejected = rig.write("entry-1", "no such", transaction=name)
        self.assertEqual(rejected.code, ErrorCode.REJECTED)
        self.assertEqual(self._commit(rig, name).outcome, Outcome.DONE)
        self.assertEqual(self._scan(rig), {"a": 1})

    def test_commit_of_an_expired_idle_transaction_is_not_run(self) -> None:
        rig = Rig()
        name = self._begin(rig)
        rig.write("entry-1", "put", "a", 1, transaction=name)
        rig.timers.advance(6_000)
        late = self._commit(rig, name)
        self.assertEqual(
            (late.outcome, late.code), (Outcome.NOT_RUN, ErrorCode.TRANSACTION_GONE)
        )
        self.assertEqual(self._scan(rig), {})

    def test_commit_after_the_loss_of_the_primary_is_not_run(self) -> None:
        rig = Rig()
        name = self._begin(rig)
        rig.write("entry-1", "put", "a", 1, transaction=name)
        rig.system.kill_endpoint(rig.primary)
        rig.timers.advance(1_000)
        late = self._commit(rig, name)
        self.assertEqual(
            (late.outcome, late.code), (Outcome.NOT_RUN, ErrorCode.TRANSACTION_GONE)
        )
        self.assertEqual(self._scan(rig), {})

    def test_commit_outcome_is_correct_when_the_primary_is_isolated(
        self,
    ) -> None:
        for delay_ms in range(12):
            with self.subTest(isolated_after_ms=delay_ms):
                rig = Rig()
                name = self._begin(rig)
                rig.write("entry-1", "put", "a", 1, transaction=name)
                primary = rig.system.standins[rig.primary]
                commit = rig.send(
                    "entry-1", Operation.COMMIT, transaction=name, timeout_ms=3_000
                )
                rig.timers.advance(delay_ms)
                primary.request(KnobsCall(is_isolated=True))
                answer = rig.wait(commit)
                rig.timers.advance(2_000)
                primary.request(KnobsCall(is_isolated=False))
                rig.settle()
                rig.timers.advance(1_000)
                values = self._scan(rig)
                if answer.outcome is Outcome.DONE:
                    self.assertEqual(values, {"a": 1})
                if answer.outcome is Outcome.NOT_RUN:
                    self.assertEqual(values, {})

    def test_commit_outcome_is_correct_when_its_host_fails(self) -> None:
        for delay_ms in (0.5, 2, 4, 6, 8, 10, 14):
            with self.subTest(killed_after_ms=delay_ms):
                rig = Rig()
                name = self._begin(rig)
                rig.write("entry-1", "put", "a", 1, transaction=name)
                host = name.partition("~")[0]
                entry = next(e for e in rig.system.entries if e != host)
                commit = rig.send(
                    entry, Operation.COMMIT, transaction=name, timeout_ms=2_000
                )
                rig.timers.advance(delay_ms)
                rig.system.kill_entry(host)
                answer = rig.wait(commit)
                rig.timers.advance(7_000)
                value = rig.read(entry, "get", "a", max_staleness_ms=0)
                if answer.outcome is Outcome.DONE:
                    self.assertEqual(value.rows, ((1,),))
                if answer.outcome is Outcome.NOT_RUN:
                    self.assertEqual(value.rows, ())

    def test_concurrent_request_of_a_transaction_is_refused(self) -> None:
        rig = Rig()
        name = self._begin(rig)
        first = rig.send("entry-1", Operation.WRITE, "put", "a", 1, transaction=name)
        second = rig.send("entry-1", Operation.WRITE, "put", "b", 1, transaction=name)
        self.assertEqual(rig.wait(first).outcome, Outcome.DONE)
        self.assertEqual(rig.wait(second).code, ErrorCode.TRANSACTION_BUSY)

    def test_open_transactions_leave_a_connection_for_other_requests(self) -> None:
        rig = Rig()
        refused = None
        for _ in range(20):
            answer = rig.call("entry-2", Operation.BEGIN)
            if not answer.is_done:
                refused = answer
                break
        self.assertIsNotNone(refused)
        self.assertEqual(refused.code if refused else None, ErrorCode.OVERLOADED)
        self.assertEqual(
            rig.write("entry-2", "put", "a", 1, group=GROUP).outcome, Outcome.DONE
        )
