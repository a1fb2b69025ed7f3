"""Sessions whose database moves to another group read their own writes."""

import random
import unittest
from typing import Any

from azurerelay.pooling import PositionSamples
from azurerelay.relay import CallerSession
from azurerelay.relay._session_write_position import SessionWritePosition
from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from azurerelay.statements import Position
from tests.platform_rig import PlatformRig, configuration, route

ENTRY = "10.1.0.2:7440"
BOUND_MS = 2_500.0
LOW, HIGH = "low", "high"
RANDOM_RUNS, RANDOM_STEPS = 40, 40


class MovedRig(PlatformRig):
    """Two groups, one with much higher positions, and a database that moves."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed=seed)
        for group, term, number in ((LOW, 3, 1), (HIGH, 9, 900)):
            self.add_group(group)
            self.terms[group] = term
            for server in self.members(group):
                server.log = [Position(term, number)]
                server.lag_ms = 3_000.0
                server.work_ms = 100.0
        self.version = 0

    def configuration_with(self, group: str | None) -> Configuration:
        """Return the next version; without a group, "own" has no route."""
        self.version += 1
        routes = [
            route("on-low", Consistency.PRIMARY, group=LOW),
            route("on-high", Consistency.PRIMARY, group=HIGH),
        ]
        if group is not None:
            own = route("own", Consistency.OWN_WRITES, int(BOUND_MS), group=group)
            routes.append(own)
        groups = (DatabaseGroup(LOW, 45, 0), DatabaseGroup(HIGH, 45, 0))
        return configuration(self.version, routes=tuple(routes), groups=groups)

    def start_with(self, group: str) -> None:
        """Start all hosts, and wait until they may open several connections."""
        self.start(self.configuration_with(group))
        self.timers.advance(4_000.0)

    def move_to(self, group: str | None) -> None:
        assert self.replace(self.configuration_with(group))
        self.wait_for(
            lambda: all(e.version == self.version for e in self.entries.values())
        )

    def write_beside_a_proof(self, session: CallerSession, group: str) -> None:
        """Run a write during which a proof is asked for and answered."""
        reply = self.send(session, "WRITE a x")
        self.timers.advance(3.0)
        connections: Any = self.entries[ENTRY].find_route(f"on-{group}")
        self.wait(connections[1].prove_primary())
        assert self.wait(reply).error is None


class MovedDatabaseTest(unittest.TestCase):
    def test_a_session_reads_its_own_write_after_each_move(self) -> None:
        """A position of one log says nothing about another log."""
        for first, second in ((HIGH, LOW), (LOW, HIGH)):
            with self.subTest(first=first, second=second):
                rig = MovedRig()
                rig.start_with(first)
                session = rig.open("own", entry=2)
                for group in (first, second, first):
                    rig.move_to(group)
                    self.assertIsNone(rig.run(session, "READ a", BOUND_MS).error)
                    rig.write_beside_a_proof(session, group)
                    self.assertIsNone(rig.run(session, "READ a", BOUND_MS).error)
                self.assertEqual(rig.stale_reads, [])

    def test_a_session_reads_what_it_wrote_before_its_database_came_back(self) -> None:
        for first, second in ((HIGH, LOW), (LOW, HIGH)):
            with self.subTest(first=first, second=second):
                rig = MovedRig()
                rig.start_with(first)
                session = rig.open("own", entry=2)
                rig.run(session, "READ a", BOUND_MS)
                rig.write_beside_a_proof(session, first)
                rig.move_to(second)
                rig.write_beside_a_proof(session, second)
                rig.move_to(first)
                self.assertIsNone(rig.run(session, "READ a", BOUND_MS).error)
                self.assertEqual(rig.stale_reads, [])

    def test_a_commit_counts_for_the_group_of_its_transaction(self) -> None:
        for first, second in ((HIGH, LOW), (LOW, HIGH)):
            with self.subTest(first=first, second=second):
                rig = MovedRig()
                rig.start_with(first)
                session = rig.open("own", entry=2)
                for text in ("PREPARE w WRITE s", "PREPARE r READ s", "BEGIN"):
                    self.assertIsNone(rig.run(session, text).error)
                rig.move_to(second)
                for text in ("EXECUTE w a x", "COMMIT", "EXECUTE r a", "EXECUTE w a x"):
                    self.assertIsNone(rig.run(session, text, BOUND_MS).error, text)
                self.assertIsNone(rig.run(session, "EXECUTE r a", BOUND_MS).error)
                rig.move_to(first)
                self.assertIsNone(rig.run(session, "EXECUTE r a", BOUND_MS).error)
                self.assertEqual(rig.stale_reads, [])

    def test_random_moves_under_reads_writes_and_transactions(self) -> None:
        for seed in range(RANDOM_RUNS):
            with self.subTest(seed=seed):
                rig = MovedRig(seed)
                rig.start_with(LOW)
                choices = random.Random(seed)
                sessions = [rig.open("own", entry=2) for _ in range(4)]
                for session in sessions:
                    rig.run(session, "PREPARE w WRITE s")
                for _ in range(RANDOM_STEPS):
                    self._take_step(rig, choices, sessions)
                self.assertEqual(rig.stale_reads, [])

    def test_random_moves_while_primaries_change(self) -> None:
        """A promotion may roll back the write that a session must read."""
        for seed in (*range(RANDOM_RUNS // 2), 127):
            with self.subTest(seed=seed):
                rig = MovedRig(seed)
                rig.start_with(LOW)
                choices = random.Random(seed)
                for server in rig.servers.values():
                    server.lag_ms = choices.choice([20.0, 300.0, 3_000.0])
                sessions = [rig.open("own", entry=2) for _ in range(4)]
                for session in sessions:
                    rig.run(session, "PREPARE w WRITE s")
                for _ in range(RANDOM_STEPS):
                    if choices.random() < 0.08:
                        replicas = rig.replicas(choices.choice((LOW, HIGH)))
                        rig.make_primary(choices.choice(replicas))
                    self._take_step(rig, choices, sessions)
                self.assertEqual(rig.stale_reads, [])

    def _take_step(
        self, rig: MovedRig, choices: random.Random, sessions: list[CallerSession]
    ) -> None:
        if choices.random() < 0.1:
            rig.move_to(choices.choice((LOW, HIGH, None)))
        texts = ("READ a", "WRITE a x", "EXECUTE w a x", "BEGIN", "COMMIT")
        weights = (8, 6, 2, 1, 4)
        replies = [
            rig.send(session, *choices.choices(texts, weights), BOUND_MS)
            for session in sessions
        ]
        if choices.random() < 0.8:
            rig.timers.advance(choices.uniform(0.0, 60.0))
            connections: Any = rig.entries[ENTRY].find_route(
                f"on-{choices.choice((LOW, HIGH))}"
            )
            rig.wait(connections[1].prove_primary())
        for reply in replies:
            rig.wait(reply)


class SessionWritePositionTest(unittest.TestCase):
    def test_a_later_commit_counts_even_if_the_group_has_got_a_lower_log(self) -> None:
        """A group may be removed, and added again with new endpoints."""
        own, samples = SessionWritePosition(), PositionSamples()
        own.record("g", Position(9, 900), 100.0)
        own.record("g", Position(1, 5), 200.0)
        samples.add(150.0, Position(1, 4), 152.0)
        required = own.required_position("g", Position(1, 4), samples)
        self.assertEqual(required, Position(1, 5))

    def test_a_commit_of_another_group_is_not_required(self) -> None:
        own = SessionWritePosition()
        own.record("g", Position(9, 900), 100.0)
        required = own.required_position("h", Position(1, 4), PositionSamples())
        self.assertEqual(required, Position(1, 4))


if __name__ == "__main__":
    unittest.main()
