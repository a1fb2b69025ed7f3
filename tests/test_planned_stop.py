"""Planned stops of an entry host, from the sockets of its callers to the endpoints."""

import unittest

from azurerelay.events import CallersDrained, StatementUnanswered
from azurerelay.routes import Consistency, DatabaseGroup
from tests.caller_rig import GRACE_PERIOD_MS, Caller, StoppingHost
from tests.platform_rig import GROUP, PlatformRig, configuration, route

STATEMENT_TIMEOUT_MS = 8_000


class StopCase(unittest.TestCase):
    """A host with one connection to each endpoint and long statement timeouts."""

    def setUp(self) -> None:
        self.rig = PlatformRig()
        routes = tuple(
            route(name, kind, 2_500, statement_timeout_ms=STATEMENT_TIMEOUT_MS)
            for name, kind in (
                ("strict", Consistency.PRIMARY),
                ("bounded", Consistency.BOUNDED),
            )
        )
        groups = (DatabaseGroup(GROUP, self.rig.entry_count, 0),)
        self.rig.start(configuration(1, routes=routes, groups=groups))
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
        sender, waiter = self.host.connect(), self.host.connect()
        self.rig.primary().work_ms = 20_000.0
        sent, waiting = sender.query("WRITE a x"), waiter.query("WRITE b x")
        self.advance(100.0)
        sender.protocol.close("test")
        waiter.protocol.close("test")
        recorded = self.rig.events.of(StatementUnanswered)
        phases = {event.request_id: event.phase for event in recorded}
        self.assertEqual(phases, {sent: "sent", waiting: "waiting"})
        self.assertEqual(
            self.rig.meters.counters[
                "statements_unanswered_total", (("phase", "sent"),)
            ],
            1,
        )

    def test_the_end_of_a_drain_states_what_is_left(self) -> None:
        self.host.connect()
        idle_in_transaction: Caller = self.host.connect()
        idle_in_transaction.run("BEGIN")
        left = self.rig.wait(self.host.start_stop())
        self.assertIsInstance(left, CallersDrained)
        self.assertEqual((left.waiting_statements, left.sent_statements), (0, 0))
        self.assertLess(left.duration_ms, GRACE_PERIOD_MS)


if __name__ == "__main__":
    unittest.main()
