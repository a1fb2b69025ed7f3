"""Tests of statements that wait or run while a configuration or an endpoint changes."""

import unittest

from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from azurerelay.statements import CallerReply
from azurerelay.timing import Promise
from tests.platform_rig import (
    DRAIN_MS,
    GROUP,
    FakeServer,
    PlatformRig,
    configuration,
    route,
)

OTHER = "archive"
STATEMENT_TIMEOUT_MS = 9_000
# Two connections to each endpoint for each of three entry hosts.
CONNECTION_LIMIT = 8
WORK_MS = 900.0


def planned(version: int, group: str, *groups: str) -> Configuration:
    """Return a configuration whose databases belong to one group, among others."""
    kinds = {"strict": Consistency.PRIMARY, "bounded": Consistency.BOUNDED}
    return configuration(
        version,
        routes=tuple(
            route(name, kind, group=group, statement_timeout_ms=STATEMENT_TIMEOUT_MS)
            for name, kind in kinds.items()
        ),
        groups=tuple(DatabaseGroup(name, CONNECTION_LIMIT, 0) for name in groups),
    )


class PlannedChangeCase(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.add_group()
        self.rig.add_group(OTHER)
        self.rig.start(planned(1, GROUP, GROUP, OTHER))
        self.rig.timers.advance(4_000.0)

    def slow_down(self) -> None:
        for server in self.rig.members(GROUP):
            server.work_ms = WORK_MS

    def send_many(
        self, database: str, text: str, count: int
    ) -> list[Promise[CallerReply]]:
        sessions = [self.rig.open(database) for _ in range(count)]
        return [self.rig.send(session, text, 1_500.0) for session in sessions]

    def drain(self, server: FakeServer) -> float:
        """Report that an endpoint is draining; return when that is acknowledged."""
        server.is_draining = True
        report = self.rig.send_heartbeat(server)
        assert report is not None
        self.assertTrue(self.rig.wait(report))
        return self.rig.timers.now_ms()


class DrainingQueueTest(PlannedChangeCase):
    def test_no_statement_in_a_queue_reaches_an_endpoint_that_has_drained(
        self,
    ) -> None:
        """Statements that wait for a connection are granted one after another."""
        self.rig.promotions.unanswered = 10_000
        for database, text, server in (
            ("strict", "WRITE a x", self.rig.primary()),
            ("bounded", "READ a", self.rig.replicas()[0]),
        ):
            with self.subTest(database):
                self.slow_down()
                acknowledged_ms = self.drain(server)
                for _ in range(8):
                    self.send_many(database, text, 4)
                    self.rig.timers.advance(500.0)
                self.rig.timers.advance(STATEMENT_TIMEOUT_MS)
                late = [
                    run.at_ms - WORK_MS - acknowledged_ms
                    for run in self.rig.runs
                    if run.endpoint == server.name
                    and run.at_ms - WORK_MS > acknowledged_ms + DRAIN_MS
                ]
                self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
