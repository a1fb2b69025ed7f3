"""Tests of statements that wait or run while a configuration or an endpoint changes."""

import unittest

from azurerelay.relay import CallerSession, RelayNode
from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from azurerelay.statements import CallerError, CallerReply
from azurerelay.timing import Promise, sleep, spawn
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


class DrainAgeTest(PlannedChangeCase):
    """A process that learns late of a drain counts from when control learned of it."""

    def setUp(self) -> None:
        super().setUp()
        self.rig.promotions.is_down = True
        self._writing_nodes: set[RelayNode] = set()
        self.rig.timers.call_every(100.0, self._write_at_each_host)

    def _write_at_each_host(self) -> None:
        for node in self.rig.entries.values():
            if node.is_ready and node not in self._writing_nodes:
                self._writing_nodes.add(node)
                spawn(self._write_constantly(node))

    async def _write_constantly(self, node: RelayNode) -> None:
        """Send one write after the other, so that one waits while there is no primary.

        A write that waits is sent within milliseconds once the host has a primary.
        """
        while True:
            session = await node.open_session("strict")
            if isinstance(session, CallerSession):
                await self.rig.send(session, "WRITE a x")
            await sleep(self.rig.timers, 20.0)

    def _assert_no_late_work(self, server: FakeServer, acknowledged_ms: float) -> None:
        """Check that the endpoint gets work until shortly before the limit only."""
        self.rig.timers.advance(2 * DRAIN_MS)
        ages_ms = [
            run.at_ms - server.work_ms - acknowledged_ms
            for run in self.rig.runs
            if run.endpoint == server.name
        ]
        self.assertGreater(max(ages_ms), 0.0)
        self.assertLessEqual(max(ages_ms), DRAIN_MS)

    def test_an_entry_host_that_restarts_uses_no_drained_primary(self) -> None:
        """It counted the time from its own start."""
        for restart_after_ms in (500.0, 1_500.0, 2_500.0, 3_500.0, 4_500.0):
            with self.subTest(restart_after_ms=restart_after_ms):
                self.setUp()
                primary = self.rig.primary()
                acknowledged_ms = self.drain(primary)
                self.rig.timers.advance(restart_after_ms)
                self.rig.cut_power("10.1.0.1:7440")
                self.rig.timers.advance(500.0)
                self.rig.start_entry(1)
                self._assert_no_late_work(primary, acknowledged_ms)

    def test_a_control_host_that_restarts_or_leads_states_the_age_of_a_drain(
        self,
    ) -> None:
        """It counted from its own start, and told the entry hosts that attached."""
        for count in (1, 3, 5):
            with self.subTest(restarted=count):
                self.setUp()
                primary = self.rig.primary()
                acknowledged_ms = self.drain(primary)
                self.rig.timers.advance(2_500.0)
                leader = self.rig.leader
                addresses = sorted(
                    self.rig.controls, key=lambda a: self.rig.controls[a] is not leader
                )
                for address in addresses[:count]:
                    self.rig.stop_control(address)
                self.rig.cut_power("10.1.0.1:7440")
                self.rig.timers.advance(300.0)
                for address in addresses[:count]:
                    self.rig.start_control(address)
                self.rig.start_entry(1)
                self._assert_no_late_work(primary, acknowledged_ms)

    def test_a_control_host_that_was_cut_off_learns_the_age_of_a_drain(self) -> None:
        """It leads, and has heard of the drain with a later heartbeat only."""
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.setUp()
                primary = self.rig.primary()
                leader = self.rig.leader
                cut = next(a for a, n in self.rig.controls.items() if n is not leader)
                others = [a for a in self.rig.addresses if a != cut]
                self.rig.isolate(cut, self.rig.addresses)
                acknowledged_ms = self.drain(primary)
                self.rig.timers.advance(2_500.0)
                self.rig.heal()
                for address in others[:2]:
                    self.rig.stop_control(address)
                self.rig.cut_power("10.1.0.1:7440")
                self.rig.timers.advance(300.0)
                self.rig.start_entry(1)
                self._assert_no_late_work(primary, acknowledged_ms)


if __name__ == "__main__":
    unittest.main()
