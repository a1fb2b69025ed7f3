"""Planned stops of an entry host, from the sockets of its callers to the endpoints."""

import gc
import os
import random
import unittest
import unittest.mock
from typing import Any

from azurerelay.events import CallersDrained, StatementUnanswered
from azurerelay.routes import Consistency, DatabaseGroup
from azurerelay.timing import Promise, sleep, spawn
from tests.caller_rig import GRACE_PERIOD_MS, Caller, StoppingHost
from tests.platform_rig import GROUP, PlatformRig, configuration, route

STATEMENT_TIMEOUT_MS = 8_000
STOP_SEEDS = int(os.environ.get("AZURERELAY_STOP_SEEDS", "12"))


def _routes(connection_limit: int, timeout_ms: int) -> dict[str, Any]:
    """Return the fields of a configuration with a strict and a bounded route."""
    kinds = (("strict", Consistency.PRIMARY), ("bounded", Consistency.BOUNDED))
    return {
        "routes": tuple(
            route(name, kind, 2_500, statement_timeout_ms=timeout_ms)
            for name, kind in kinds
        ),
        "groups": (DatabaseGroup(GROUP, connection_limit, 0),),
    }


class StopCase(unittest.TestCase):
    """A host with two connections to each endpoint and long statement timeouts."""

    def setUp(self) -> None:
        self.rig = PlatformRig()
        fields = _routes(3 * self.rig.entry_count, STATEMENT_TIMEOUT_MS)
        self.rig.start(configuration(1, **fields))
        self.rig.timers.advance(3_000.0)
        self.host = StoppingHost(self.rig)

    def tearDown(self) -> None:
        self.assertEqual(self.rig.stale_reads, [])
        self.assertEqual(len(self.rig.committed), len(set(self.rig.committed)))

    def advance(self, duration_ms: float) -> None:
        self.rig.timers.advance(duration_ms)

    def runs_of(self, request_id: str) -> list[str]:
        return [r.text for r in self.rig.runs if r.request_id == request_id]


class RecordedStopTest(StopCase):
    def test_unanswered_statements_are_recorded_as_waiting_or_sent(self) -> None:
        callers = [self.host.connect() for _ in range(3)]
        self.rig.primary().work_ms = 20_000.0
        first, second, third = (caller.query("WRITE a x") for caller in callers)
        self.advance(100.0)
        for caller in callers:
            caller.protocol.close("test")
        recorded = self.rig.events.of(StatementUnanswered)
        phases = {event.request_id: event.phase for event in recorded}
        self.assertEqual(phases, {first: "sent", second: "sent", third: "waiting"})
        self.assertEqual(
            self.rig.meters.counters[
                "statements_unanswered_total", (("phase", "sent"),)
            ],
            2,
        )

    def test_the_end_of_a_drain_states_what_is_left(self) -> None:
        self.host.connect()
        idle_in_transaction: Caller = self.host.connect()
        idle_in_transaction.run("BEGIN")
        left = self.rig.wait(self.host.start_stop())
        self.assertIsInstance(left, CallersDrained)
        self.assertEqual((left.waiting_statements, left.sent_statements), (0, 0))
        self.assertLess(left.duration_ms, GRACE_PERIOD_MS)


class UnexpectedErrorTest(StopCase):
    def test_a_statement_whose_handling_fails_is_answered(self) -> None:
        caller = self.host.connect()
        caller.run("BEGIN")
        written = caller.query("WRITE a x")
        self.advance(500.0)
        pinned = caller.protocol.session._transaction.session
        with unittest.mock.patch.object(pinned, "send", side_effect=ValueError):
            caller.query("COMMIT")
        self.assertEqual((caller.is_answered, caller.error), (True, "INDOUBT"))
        self.assertTrue(caller.is_closed)
        self.advance(500.0)
        self.assertNotIn(written, self.rig.committed)

    def test_a_statement_whose_handler_is_destroyed_is_answered(self) -> None:
        """A handler that waits for a promise that nothing holds is garbage."""
        caller = self.host.connect()

        async def hang(statement: Any) -> Any:
            await Promise()

        with unittest.mock.patch.object(caller.protocol.session, "handle", hang):
            caller.query("WRITE a x")
        gc.collect()
        self.assertEqual((caller.is_answered, caller.error), (True, "INDOUBT"))


class AnsweredStopTest(StopCase):
    def assert_refused(self, caller: Caller, request_id: str, error: str) -> None:
        self.assertTrue(caller.is_answered, caller.lines)
        self.assertEqual(caller.error, error)
        self.advance(30_000.0)
        self.assertEqual(self.runs_of(request_id), [])

    def finish_stop(self) -> None:
        self.rig.wait(self.host.stop)
        stopped_ms = self.host.stopped_at_ms
        assert stopped_ms is not None
        self.assertLess(stopped_ms - self.stop_started_ms, GRACE_PERIOD_MS)

    def start_stop(self) -> None:
        self.stop_started_ms = self.rig.timers.now_ms()
        self.host.start_stop()

    def advance_to(self, since_stop_ms: float) -> None:
        self.advance(self.stop_started_ms + since_stop_ms - self.rig.timers.now_ms())

    def test_a_statement_that_waits_for_a_connection_is_not_cut_off(self) -> None:
        """Its connection was closed without an answer, though no endpoint had it."""
        *senders, waiter = (self.host.connect() for _ in range(3))
        self.rig.primary().work_ms = 20_000.0
        for sender in senders:
            sender.query("WRITE a x")
        self.start_stop()
        self.advance_to(1_000.0)
        waiting = waiter.query("WRITE b x")
        self.finish_stop()
        self.assert_refused(waiter, waiting, "BUSY")

    def test_a_statement_that_seeks_a_primary_is_not_cut_off(self) -> None:
        caller = self.host.connect()
        self.rig.primary().crash()
        self.start_stop()
        self.advance_to(1_000.0)
        waiting = caller.query("WRITE a x")
        self.rig.promotions.unanswered = 100
        self.rig.promotion_duration_ms = 60_000.0
        self.finish_stop()
        self.assert_refused(caller, waiting, "BUSY")

    def test_a_statement_sent_shortly_before_the_stop_is_not_cut_off(self) -> None:
        """All connections were closed while the endpoint was still at work on it."""
        self.rig.primary().work_ms = 300.0
        for replica in self.rig.replicas():
            replica.work_ms = 300.0
        self.start_stop()
        callers = []
        for number in range(60):
            self.advance_to(2_200.0 + 60.0 * number)
            if self.host.stopped_at_ms is not None:
                break
            caller = self.host.connect("strict" if number % 2 else "bounded")
            if not caller.is_closed:
                caller.query("WRITE a x" if number % 2 else "READ a")
                callers.append(caller)
        self.finish_stop()
        for caller in callers:
            self.assertTrue(caller.is_answered, caller.lines)

    def test_a_statement_that_crosses_the_close_is_refused(self) -> None:
        """The host tells idle callers that it closes their connections."""
        idle, idle_in_transaction = self.host.connect(), self.host.connect()
        idle_in_transaction.run("BEGIN")
        self.start_stop()
        self.advance_to(2_600.0)
        self.assertEqual((idle.is_closed, idle.lines[-1][:11]), (True, "ERROR BUSY "))
        idle_in_transaction.run("WRITE a x")
        self.finish_stop()
        self.assertTrue(idle_in_transaction.is_closed)
        self.assertTrue(idle_in_transaction.lines[-1].startswith("ERROR ABORTED"))
        self.advance(10_000.0)
        self.assertEqual(self.rig.committed, [])

    def test_a_statement_that_crosses_the_close_after_a_reply_is_refused(self) -> None:
        caller = self.host.connect()
        self.start_stop()
        self.advance_to(2_200.0)
        caller.run("SET a x")
        self.advance_to(2_310.0)
        caller.run("WRITE a x")
        self.assertTrue(caller.is_closed)
        kinds = [line.split(" ")[0] for line in caller.lines]
        self.assertEqual(kinds, ["DATAROW", "COMPLETE", "READY", "ERROR"])
        self.assertEqual(caller.lines[-1], "ERROR BUSY the host is being stopped")

    def test_a_statement_that_never_ends_is_left_in_doubt(self) -> None:
        caller = self.host.connect()
        never: Promise[Any] = Promise()

        async def hang(statement: Any) -> Any:
            await never

        with unittest.mock.patch.object(caller.protocol.session, "handle", hang):
            caller.query("WRITE a x")
        self.start_stop()
        self.finish_stop()
        self.assertEqual((caller.is_answered, caller.error), (True, "INDOUBT"))

    def test_a_connection_accepted_at_the_end_of_the_stop_is_refused(self) -> None:
        caller = self.host.accept_at_last()
        self.start_stop()
        self.finish_stop()
        self.assertEqual((caller.is_answered, caller.error), (True, "BUSY"))

    def test_a_begin_that_waits_is_not_sent_after_the_last_begin(self) -> None:
        *senders, waiter = (self.host.connect() for _ in range(3))
        self.rig.primary().work_ms = 3_300.0
        for sender in senders:
            sender.query("WRITE a x")
        self.start_stop()
        self.advance_to(1_000.0)
        waiting = waiter.query("BEGIN")
        self.advance_to(3_100.0)
        self.rig.primary().work_ms = 8.0
        self.advance_to(3_900.0)
        self.finish_stop()
        self.assert_refused(waiter, waiting, "BUSY")

    def test_a_write_that_gets_no_answer_is_left_in_doubt(self) -> None:
        caller = self.host.connect()
        self.rig.primary().work_ms = 20_000.0
        self.start_stop()
        self.advance_to(2_000.0)
        caller.query("WRITE a x")
        self.finish_stop()
        self.assertTrue(caller.is_answered, caller.lines)
        self.assertEqual(caller.error, "INDOUBT")

    def test_statements_of_open_transactions_are_not_cut_off(self) -> None:
        """The callers send their next statement right after each reply."""
        caller = self.host.connect()
        caller.run("BEGIN")
        self.rig.primary().work_ms = 40.0
        self.start_stop()
        while self.host.stopped_at_ms is None:
            if caller.is_answered and not (caller.error or caller.is_closed):
                written = caller.query("WRITE a x")
            self.advance(20.0)
        self.assertTrue(caller.is_answered, caller.lines)
        self.assertEqual(caller.error, "ABORTED")
        self.assertNotIn(written, self.rig.committed)

    def test_a_transaction_that_does_not_end_is_aborted(self) -> None:
        caller = self.host.connect()
        caller.run("BEGIN")
        written = caller.query("WRITE a x")
        self.start_stop()
        self.advance_to(2_500.0)
        caller.run("READ a")
        self.rig.primary().work_ms = 300.0
        self.advance_to(4_700.0)
        committed = caller.query("COMMIT")
        self.finish_stop()
        self.assertTrue(caller.is_answered, caller.lines)
        self.assertEqual(caller.error, "ABORTED")
        self.advance(10_000.0)
        self.assertNotIn(written, self.rig.committed)
        self.assertEqual(self.runs_of(committed), [])


class _BusyCaller:
    """A caller that uses its connections until the host is gone.

    `unanswered` are its statements that ended with a closed connection, `refused` those
    that were refused with the guarantee that they have no effect.
    """

    REFUSALS = ("BUSY", "ABORTED", "LAGGING", "READONLY")

    def __init__(self, host: StoppingHost, seed: int) -> None:
        self._host = host
        self._random = random.Random(seed)
        self.unanswered: list[str] = []
        self.refused: list[str] = []
        self.served = 0
        spawn(self._run())

    async def _run(self) -> None:
        while self._host.stopped_at_ms is None:
            database = self._random.choice(("strict", "bounded"))
            caller = self._host.new_caller(database)
            if not caller.is_closed:
                await self._answer(caller, "START")
            while not caller.is_closed and caller.is_answered and not caller.error:
                await self._operate(caller, database)
                if self._random.random() < 0.3:
                    caller.send("TERMINATE")
                await sleep(self._host.rig.timers, self._random.choice((0.0, 40.0)))
            await sleep(self._host.rig.timers, 30.0)

    async def _operate(self, caller: Caller, database: str) -> None:
        if self._random.random() < 0.5:
            kind = self._random.choice(("WRITE a x", "READ a"))
            await self._query(caller, kind)
            return
        texts = ["WRITE a x", "READ a"] * self._random.randrange(1, 5)
        writes = []
        for text in ("BEGIN", *texts, "COMMIT"):
            request_id = await self._query(caller, text)
            writes += [request_id] if text.startswith("WRITE") else []
            if caller.is_closed or caller.error:
                if caller.is_answered and caller.error in self.REFUSALS:
                    self.refused += writes
                if not caller.is_closed:
                    await self._query(caller, "ROLLBACK")
                return
            await sleep(self._host.rig.timers, self._random.choice((0.0, 20.0, 200.0)))

    async def _query(self, caller: Caller, text: str) -> str:
        was_open = not caller.is_closed
        request_id = caller.query(text)
        if was_open:
            await self._answer(caller, request_id)
        return request_id

    async def _answer(self, caller: Caller, request_id: str) -> None:
        while not (caller.is_answered or caller.is_closed):
            await sleep(self._host.rig.timers, 1.0)
        if not caller.is_answered:
            self.unanswered.append(request_id)
        elif caller.error in self.REFUSALS:
            self.refused.append(request_id)
        elif not caller.error:
            self.served += 1


class BusyStopTest(unittest.TestCase):
    def test_callers_that_stay_until_the_end_are_answered_truthfully(self) -> None:
        """Connections are scarce or ample, and endpoints are fast or slow."""
        for seed in range(STOP_SEEDS):
            with self.subTest(seed=seed):
                self._play(seed)

    def _play(self, seed: int) -> None:
        random_source = random.Random(seed)
        rig = PlatformRig(seed=seed)
        limit = random_source.choice((rig.entry_count, 45))
        timeout_ms = random_source.choice((800, 3_000, 8_000))
        rig.start(configuration(1, **_routes(limit, timeout_ms)))
        rig.timers.advance(3_000.0)
        for server in rig.servers.values():
            server.work_ms = random_source.choice((8.0, 40.0, 200.0, 900.0))
        host = StoppingHost(rig)
        callers = [
            _BusyCaller(host, random_source.randrange(1_000_000))
            for _ in range(random_source.choice((3, 12, 40)))
        ]
        rig.timers.advance(random_source.uniform(500.0, 1_500.0))
        started_ms = rig.timers.now_ms()
        rig.wait(host.start_stop())
        rig.wait_for(lambda: host.stopped_at_ms is not None)
        self.assertLess(rig.timers.now_ms() - started_ms, GRACE_PERIOD_MS)
        rig.timers.advance(10_000.0)
        self.assertEqual([c.unanswered for c in callers if c.unanswered], [])
        self.assertEqual(rig.stale_reads, [])
        self.assertEqual(len(rig.committed), len(set(rig.committed)))
        refused = {request for caller in callers for request in caller.refused}
        self.assertEqual(refused & set(rig.committed), set())
        self.assertGreater(sum(caller.served for caller in callers), 0)


if __name__ == "__main__":
    unittest.main()
