"""Replies that are lost or doubled, and what the replies behind them may prove."""

import random
import unittest
from collections.abc import Callable
from typing import Any

from azurerelay.cluster._endpoint_status_client import EndpointStatusClient
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import PrimaryProven
from azurerelay.groups import GroupConnections, Topology
from azurerelay.pooling import ConnectionShare
from azurerelay.statements import (
    BeginTransaction,
    CallerError,
    Position,
    QueryStatus,
    RollbackTransaction,
    RunStatement,
    SetSessionValue,
)
from azurerelay.timing import Promise, spawn
from tests.platform_rig import DOMAIN_REGIONS, GROUP, FakeConnector, PlatformRig

HOST = "10.1.0.1:7440"
RANDOM_RUNS, RANDOM_STEPS = 8, 60
BOUNDS_MS = {"strict": 0.0, "own": 2_500.0, "bounded": 1_500.0}


def copies(count: int, *kinds: type[Any]) -> Callable[[Any], int]:
    """Return a fault that sends the reply to each of the first commands `count` times.

    It applies to one command of each kind, in the order of `kinds`.
    """
    left = list(kinds)

    def copies_of(command: Any) -> int:
        if left and isinstance(command, left[0]):
            left.pop(0)
            return count
        return 1

    return copies_of


class ProofRepliesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.add_group()
        self.server = self.rig.primary()
        self.group = GroupConnections(
            GROUP,
            FakeConnector(self.rig, HOST),
            Topology("east-1", DOMAIN_REGIONS),
            self.rig.timers,
            random.Random(1),
            self.rig.events,
        )
        announcement = self.server.announcement()
        self.group.update([announcement], lambda _: ConnectionShare(1, 1.0))
        self.group.open_standby_connections()
        self.rig.timers.advance(100.0)

    def _prove(self) -> Position | None:
        position: Position | None = self.rig.wait(self.group.prove_primary())
        return position

    def test_the_reply_to_rollback_proves_nothing_for_a_replaced_primary(self) -> None:
        self.server.is_primary = False
        self.server.reply_copies = copies(0, BeginTransaction)
        self.assertIsNone(self._prove())
        self.assertIsNone(self.group.samples.newest)
        self.assertEqual(self.rig.events.of(PrimaryProven), [])

    def test_a_shifted_reply_ends_the_use_of_the_connection(self) -> None:
        for count, kind in (
            (0, BeginTransaction),
            (2, BeginTransaction),
            (0, RollbackTransaction),
            (2, RollbackTransaction),
        ):
            for is_primary in (True, False):
                with self.subTest(copies=count, kind=kind, is_primary=is_primary):
                    self.setUp()
                    (connection,) = self.server.sessions
                    self.server.is_primary = is_primary
                    self.server.reply_copies = copies(count, kind)
                    position = self._prove()
                    self.rig.timers.advance(500.0)
                    self.assertFalse(connection.is_open)
                    if not is_primary:
                        self.assertIsNone(position)

    def test_a_late_copy_of_a_proof_proves_nothing_for_a_later_request(self) -> None:
        (connection,) = self.server.sessions
        self.assertIsNotNone(self._prove())
        promise = self.group.prove_primary()
        # The reply to the BEGIN before, once more, while the next one is under way.
        connection.repeat_reply(BeginTransaction)
        self.assertIsNone(self.rig.wait(promise))

    def test_an_endpoint_whose_reply_was_lost_is_not_suspected(self) -> None:
        """A healthy endpoint may lose a single reply."""
        self.server.reply_copies = copies(0, BeginTransaction)
        self.assertIsNone(self._prove())
        self.assertIsNone(self.group.suspected_primary())
        self.assertIsNotNone(self._prove())


class StaleReadTest(unittest.TestCase):
    def test_a_replaced_primary_that_loses_a_refusal_covers_no_read(self) -> None:
        """The host hears of the new primary late, and goes on asking the old one."""
        rig = PlatformRig()
        rig.start()
        reader, writer = rig.open("strict", entry=1), rig.open("strict", entry=2)
        self.assertIsNone(rig.run(reader, "READ a").error)
        old = rig.primary()
        rig.isolate(HOST, rig.addresses)
        rig.make_primary(rig.replicas()[0])
        rig.timers.advance(200.0)
        for server in rig.members(GROUP):
            server.lag_ms = 2_000.0
        self.assertIsNone(rig.run(writer, "WRITE a x").error)
        old.reply_copies = lambda command: not isinstance(command, BeginTransaction)
        errors = [rig.run(reader, "READ a").error for _ in range(5)]
        self.assertEqual(rig.stale_reads, [])
        self.assertEqual(set(errors), {CallerError.BUSY})


class ContactRepliesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.add_group()
        self.server = self.rig.primary()
        directory = EndpointDirectory()
        self.endpoint = self.server.announcement()
        directory.merge_all((self.endpoint,), (), 0.0)
        self.client = EndpointStatusClient(
            directory, FakeConnector(self.rig, HOST), self.rig.timers
        )
        self.client.maintain_connections(True)
        self.rig.timers.advance(100.0)

    def _contact(self) -> PrimaryContact:
        outcome: PrimaryContact = self.rig.wait(
            spawn(self.client.contact_primary(self.endpoint))
        )
        return outcome

    def test_the_leader_and_a_replica_are_told_apart(self) -> None:
        self.assertIs(self._contact(), PrimaryContact.PROVEN)
        self.server.is_primary = False
        self.assertIs(self._contact(), PrimaryContact.DENIED)

    def test_the_reply_to_rollback_does_not_prove_a_replaced_primary(self) -> None:
        self.server.is_primary = False
        self.server.reply_copies = copies(0, BeginTransaction)
        self.assertIs(self._contact(), PrimaryContact.ANSWERED)
        self.assertFalse(any(s.is_open for s in self.server.sessions))

    def test_a_status_reply_is_not_taken_for_the_reply_to_rollback(self) -> None:
        self.server.is_primary = False
        self.server.reply_copies = copies(0, RollbackTransaction)
        contact = spawn(self.client.contact_primary(self.endpoint))
        status = spawn(self.client.received_position(self.endpoint))
        self.assertIs(self.rig.wait(contact), PrimaryContact.ANSWERED)
        self.assertIsNone(self.rig.wait(status))

    def test_the_reply_to_begin_is_not_taken_for_a_status(self) -> None:
        self.server.reply_copies = copies(0, QueryStatus)
        status = spawn(self.client.received_position(self.endpoint))
        contact = spawn(self.client.contact_primary(self.endpoint))
        self.assertIsNone(self.rig.wait(status))
        self.assertIs(self.rig.wait(contact), PrimaryContact.ANSWERED)


class SessionSetUpRepliesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start()

    def test_a_doubled_reply_to_set_is_not_taken_for_that_of_a_statement(self) -> None:
        """A reply without a signature does not come from the statement."""
        for text in ("READ a", "WRITE a x"):
            with self.subTest(text):
                session = self.rig.open("strict")
                self.rig.run(session, f"SET zone {text[0]}")
                self.rig.primary().reply_copies = copies(2, SetSessionValue)
                reply = self.rig.run(session, text)
                if reply.error is None:
                    self.assertTrue(reply.signature.startswith("signed "))
                else:
                    self.assertIs(reply.error, CallerError.IN_DOUBT)
        self.assertEqual(self.rig.stale_reads, [])

    def test_a_doubled_reply_inside_a_transaction_is_not_a_commit(self) -> None:
        session = self.rig.open("strict")
        self.rig.run(session, "BEGIN")
        self.rig.primary().reply_copies = copies(2, RunStatement)
        self.rig.run(session, "WRITE a x")
        promise: Promise[Any] = self.rig.send(session, "COMMIT")
        reply = self.rig.wait(promise)
        self.assertIsNotNone(reply.error)
        self.rig.run(session, "ROLLBACK")

    def test_lost_replies_to_several_values_send_no_statement(self) -> None:
        session = self.rig.open("strict")
        for name in ("a", "b", "c"):
            self.rig.run(session, f"SET {name} x")
        self.rig.primary().reply_copies = copies(0, SetSessionValue)
        self.assertIsNone(self.rig.run(session, "WRITE a x").error)
        for run in self.rig.runs:
            self.assertEqual(run.values, {"a": "x", "b": "x", "c": "x"})


class RandomRepliesTest(unittest.TestCase):
    """Lost and doubled replies of all endpoints, under changes of the primary."""

    TEXTS = (
        *("READ a", "EXECUTE p a", "WRITE a x", "SET zone z1", "SET zone z2"),
        *("SET mode m1", "BEGIN", "COMMIT", "ROLLBACK", "PREPARE p READ s"),
    )
    WEIGHTS = (8, 2, 6, 1, 1, 1, 2, 3, 1, 1)
    SIGNED = ("READ", "EXECUTE", "WRITE", "COMMIT")

    def test_no_reply_is_taken_for_that_of_another_command(self) -> None:
        for seed in range(RANDOM_RUNS):
            with self.subTest(seed=seed):
                self._run(seed)

    def _run(self, seed: int) -> None:
        rig, choices = PlatformRig(seed=seed), random.Random(seed)
        rig.start()

        def copies_of(command: Any) -> int:
            return choices.choices((0, 1, 2), (6, 88, 6))[0]

        for server in rig.servers.values():
            server.lag_ms = choices.choice((20.0, 300.0, 2_000.0))
            server.reply_copies = copies_of
        sessions = [
            rig.open(database, choices.randint(1, 3))
            for database in (*BOUNDS_MS, "strict")
        ]
        expected_values: dict[str, dict[str, str]] = {}
        for _ in range(RANDOM_STEPS):
            if choices.random() < 0.06:
                rig.make_primary(choices.choice(rig.replicas()))
                rig.heal()
                if choices.random() < 0.5:
                    address = f"10.1.0.{choices.randint(1, 3)}:7440"
                    rig.isolate(address, rig.addresses)
            sent = []
            for session in sessions:
                (text,) = choices.choices(self.TEXTS, self.WEIGHTS)
                bound_ms = BOUNDS_MS[session.database]
                values = dict(session._profile.values)
                sent.append((text, rig.send(session, text, bound_ms)))
                expected_values[rig.last_request_id] = values
            for text, promise in sent:
                reply = rig.wait(promise)
                if reply.error is None and text.startswith(self.SIGNED):
                    self.assertTrue(reply.signature.startswith("signed "), text)
            rig.timers.advance(choices.uniform(0.0, 50.0))
        self.assertEqual(rig.stale_reads, [])
        self.assertEqual(len(rig.committed), len(set(rig.committed)))
        for run in rig.runs:
            self.assertEqual(run.values, expected_values[run.request_id])


if __name__ == "__main__":
    unittest.main()
