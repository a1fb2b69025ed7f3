"""Tests of statements that wait or run while a configuration or an endpoint changes."""

import unittest

from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from azurerelay.statements import CallerError, CallerReply
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
# Several retry delays.
ANSWER_WITHIN_MS = 100.0


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


WITHOUT_ROUTES = configuration(2, routes=(), groups=(DatabaseGroup(OTHER, 45, 0),))


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


class ConfigurationChangeTest(PlannedChangeCase):
    """A new configuration takes a group out while its statements wait and run."""

    def _apply(self, changed: Configuration) -> None:
        self.assertTrue(self.rig.replace(changed))
        self.rig.wait_for(
            lambda: all(
                node.version == changed.version for node in self.rig.entries.values()
            )
        )

    def _send_and_change(
        self, text: str, changed: Configuration
    ) -> list[Promise[CallerReply]]:
        """Return the replies to statements, two of which run during the change."""
        self.slow_down()
        replies = self.send_many("strict", text, 8)
        self.rig.timers.advance(100.0)
        self._apply(changed)
        return replies

    def test_statements_that_run_are_answered_when_their_group_goes(self) -> None:
        replies = self._send_and_change("WRITE a x", WITHOUT_ROUTES)
        self.rig.timers.advance(2 * WORK_MS)
        done = [reply for reply in replies if reply.is_done and not reply.value.error]
        self.assertEqual(len(done), 2)
        self.assertEqual(len(self.rig.committed), 2)

    def test_a_transaction_ends_on_its_endpoint_when_its_route_moves(self) -> None:
        session = self.rig.open("strict")
        for text in ("BEGIN", "WRITE a x"):
            self.assertIsNone(self.rig.run(session, text).error)
        self._apply(planned(2, OTHER, OTHER))
        for text in ("WRITE a y", "COMMIT", "WRITE a z"):
            self.assertIsNone(self.rig.run(session, text).error)
        groups = [self.rig.servers[run.endpoint].group for run in self.rig.runs[-3:]]
        self.assertEqual(groups, [GROUP, GROUP, OTHER])

    def test_statements_that_wait_are_refused_at_once_when_their_route_goes(
        self,
    ) -> None:
        # A write runs on the primary only, a read on each of the three endpoints.
        for text, running in (("WRITE a x", 2), ("READ a", 6)):
            with self.subTest(text):
                self.setUp()
                replies = self._send_and_change(text, WITHOUT_ROUTES)
                self.rig.timers.advance(ANSWER_WITHIN_MS)
                refused = [reply.value.error for reply in replies if reply.is_done]
                self.assertGreaterEqual(len(refused), len(replies) - running)
                self.assertLessEqual(
                    set(refused), {CallerError.BUSY, CallerError.UNKNOWN_DATABASE}
                )

    def test_statements_that_wait_run_on_the_new_group_when_their_route_moves(
        self,
    ) -> None:
        replies = self._send_and_change("WRITE a x", planned(2, OTHER, OTHER))
        self.rig.timers.advance(2 * WORK_MS)
        self.assertEqual(
            [reply.value.error if reply.is_done else "waits" for reply in replies],
            [None] * 8,
        )
        self.assertEqual(len(self.rig.committed), 8)


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
