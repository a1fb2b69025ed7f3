"""Tests with heartbeats and deregistrations that no endpoint has sent."""

import json
import unittest
from typing import Any
from unittest.mock import patch

from result import Err

from azurerelay.attachment import DirectoryMark, DirectoryUpdate, SyncReply
from azurerelay.cluster import CONTROL_LINK_CODEC
from azurerelay.cluster._messages import DirectoryDigest
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.events import AnnouncementRefused
from azurerelay.platform import decode_announcement, decode_departure
from azurerelay.routes import DatabaseGroup
from azurerelay.statements import Position
from azurerelay.timing import Promise
from tests.platform_rig import (
    GROUP,
    FakeConnector,
    FakeServer,
    PlatformRig,
    configuration,
)
from tests.test_cluster import announcement

DEEP = b"[" * 20_000
HEARTBEAT: dict[str, Any] = {
    "service": "ledger",
    "address": "10.9.0.1:9000",
    "zone": "east-1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "database_role": "replica",
    "seq": 4,
    "born": 99,
}
ODD_FIELDS: tuple[tuple[str, Any], ...] = (
    *((key, 10**24) for key in ("slots", "cold_remaining_ms", "born", "seq")),
    *((key, 2**63) for key in ("slots", "cold_remaining_ms", "born", "seq")),
    *((key, -1) for key in ("slots", "cold_remaining_ms", "born", "seq")),
    *((key, "x" * 1_025) for key in ("service", "zone", "state", "database_role")),
    *((key, "") for key in ("service", "zone", "address")),
    *((key, None) for key in HEARTBEAT if key != "version"),
    ("service", "ledger\r\nQUERY - WRITE a b"),
    ("service", "two words"),
    ("zone", "a\0b"),
    ("address", "10.9.0.1:65536"),
    ("address", "10.9.0.1:99999"),
    ("address", "10.9.0.1:0"),
    ("address", "10.9.0.1:-1"),
    ("address", "10.9.0.1:٨٠٨٠"),
    ("address", "10.9.0.1:" + "9" * 5_000),
    ("address", "10.9.0.256:80"),
    ("address", "10.9.0.010:80"),
    ("address", "0.0.0.0:80"),
    ("address", "224.0.0.1:80"),
    ("address", "no.such.host:80"),
    ("address", "[::1]:80"),
    ("address", "10.9.0.1:80\n"),
)


def heartbeat(**fields: Any) -> bytes:
    return json.dumps(HEARTBEAT | fields).encode()


class BoundaryTest(unittest.TestCase):
    """A field that passes here reaches the messages, disks and sockets of all hosts."""

    def test_a_heartbeat_with_an_odd_field_is_refused_with_the_name_of_the_field(
        self,
    ) -> None:
        """A number beyond 64 bits was accepted, and then no message could be encoded."""
        for key, value in ODD_FIELDS:
            with self.subTest(key=key, value=str(value)[:30]):
                decoded = decode_announcement("i-1", heartbeat(**{key: value}))
                self.assertIsInstance(decoded, Err)
                self.assertIn(key, decoded.err_value)

    def test_valid_heartbeats_at_the_limits_are_accepted(self) -> None:
        for key, value in (
            ("address", "10.9.0.1:65535"),
            ("address", "223.255.255.255:1"),
            ("service", "x" * 1_024),
            ("born", 1_800_000_000_000),
            ("seq", 2**63 - 1),
            ("slots", 0),
            ("unknown", {"a": [1, 10**30]}),
        ):
            with self.subTest(key=key, value=str(value)[:30]):
                self.assertTrue(
                    decode_announcement("i-1", heartbeat(**{key: value})).is_ok()
                )

    def test_bodies_that_are_nested_too_deeply_or_too_large_are_refused(self) -> None:
        nested = heartbeat()[:-1] + b', "x": ' + b'{"x":' * 20_000
        for body in (DEEP, nested, heartbeat(x="y" * 70_000), b"1" * 5_000):
            with self.subTest(body[-20:]):
                self.assertIsInstance(decode_announcement("i-1", body), Err)
                self.assertIsInstance(decode_departure("i-1", body), Err)

    def test_an_endpoint_id_must_be_a_word(self) -> None:
        for endpoint in ("", "i 1", "i\r\n1", "x" * 1_025):
            with self.subTest(endpoint[:10]):
                self.assertIsInstance(decode_announcement(endpoint, heartbeat()), Err)
                self.assertIsInstance(decode_departure(endpoint, b""), Err)

    def test_a_deregistration_that_no_endpoint_has_sent_removes_no_endpoint(
        self,
    ) -> None:
        """Unreadable bytes in the name of a healthy endpoint took it out of service."""
        for body in (
            b"{",
            b"[]",
            b"\xff",
            b'{"born": "x"}',
            b'{"born": null}',
            b'{"born": 1e24}',
            json.dumps({"born": 10**24}).encode(),
            json.dumps({"born": 2**63}).encode(),
        ):
            with self.subTest(body):
                self.assertIsInstance(decode_departure("i-1", body), Err)


def odd_announcements() -> tuple[Announcement, ...]:
    """Return entries that earlier builds accepted, and could send and save."""
    return (
        announcement(endpoint="odd-1", address="10.9.0.8:99999"),
        announcement(endpoint="odd-2", address="nowhere:1", is_primary=True),
        announcement(endpoint="odd-3", slots=2**64 - 1),
        announcement(endpoint="odd-4", incarnation=2**63),
        announcement(endpoint="odd-5", sequence=2**63),
        announcement(endpoint="odd-6", warmup_ms=-1),
        announcement(endpoint="odd-7", group="ledger\r\nQUERY - WRITE a b"),
        announcement(endpoint="odd 8"),
        # An entry of a healthy endpoint, to take its place.
        announcement(endpoint="ledger-1", incarnation=10**17),
    )


class EntriesOfEarlierBuildsTest(unittest.TestCase):
    """Hosts of an earlier build send and save entries that this build refuses."""

    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=2)
        self.rig.start()

    def _assert_unchanged(self) -> None:
        names = {server.name for server in self.rig.members(GROUP)}
        for node in (*self.rig.controls.values(), *self.rig.entries.values()):
            listed = {entry.endpoint for entry in node.directory.announcements}
            self.assertEqual(listed, names)
        for database in ("strict", "bounded", "own"):
            reply = self.rig.run(self.rig.open(database), "READ a", 1_500.0)
            self.assertIsNone(reply.error)

    def test_odd_entries_in_a_digest_cost_nothing_but_themselves(self) -> None:
        leader = self.rig.leader
        assert leader is not None
        digest = DirectoryDigest(
            (*odd_announcements(), *leader.directory.announcements),
            (Departure("ledger-2", 2**63), Departure("ledger-1", -1)),
            2,
        )
        for node in self.rig.controls.values():
            if node is not leader:
                node.on_message(str(node.raft.leader), digest)
        self.rig.timers.advance(2_500.0)
        self._assert_unchanged()
        refused = {e.endpoint for e in self.rig.events.of(AnnouncementRefused)}
        self.assertEqual(len(refused), 10)

    def test_odd_entries_of_a_control_host_do_not_reach_the_groups(self) -> None:
        entry = self.rig.entries["10.1.0.1:7440"]
        follower = entry.control_follower
        update = DirectoryUpdate(
            DirectoryMark(1, 1),
            (*odd_announcements(), *entry.directory.announcements),
            (Departure("ledger-2", 2**63),),
        )
        reply = SyncReply(1, 0.0, 2, None, update, (), ())
        entry.on_message(str(follower.current_control_host), reply)
        self.rig.timers.advance(2_500.0)
        self._assert_unchanged()

    def test_odd_entries_on_the_disk_cost_nothing_but_themselves(self) -> None:
        address = self.rig.addresses[0]
        self.rig.stop_control(address)
        node = self.rig.start_control(address)
        node.restore_directory(odd_announcements(), (Departure("ledger-2", 2**63),))
        self.rig.timers.advance(5_000.0)
        self._assert_unchanged()


class CodecRig(PlatformRig):
    """A rig whose links carry encoded messages, and whose endpoints send JSON."""

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        frame = CONTROL_LINK_CODEC.encode(message)
        super().deliver(sender, peer, CONTROL_LINK_CODEC.decode(frame).ok_value)

    def post_heartbeat(self, endpoint: str, body: bytes) -> bool:
        """Send a heartbeat to a control host; return whether it was accepted."""
        node = self.random.choice(list(self.controls.values()))
        decoded = decode_announcement(endpoint, body)
        if decoded.is_ok():
            node.receive_heartbeat(decoded.ok_value)
        return decoded.is_ok()

    def post_departure(self, endpoint: str, body: bytes) -> Promise[bool] | None:
        """Send a deregistration to a control host."""
        node = self.random.choice(list(self.controls.values()))
        decoded = decode_departure(endpoint, body)
        if isinstance(decoded, Err):
            return None
        return node.deregister(endpoint, decoded.ok_value)


class OddHeartbeatsTest(unittest.TestCase):
    def test_endpoints_stay_served_and_may_leave_among_odd_heartbeats(self) -> None:
        """One odd report kept all later changes from the entry hosts."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._serve_among_odd_heartbeats(CodecRig(seed=seed))

    def _serve_among_odd_heartbeats(self, rig: CodecRig) -> None:
        rig.start()
        rig.timers.call_every(20.0, lambda: self._send_odd_reports(rig))
        rig.timers.call_every(60.0, lambda: self._send_odd_departures(rig))
        sessions = [
            rig.open(database, entry)
            for database in ("strict", "bounded", "own")
            for entry in (1, 2, 3)
        ]

        def run_reads(duration_ms: float) -> None:
            end_ms = rig.timers.now_ms() + duration_ms
            while rig.timers.now_ms() < end_ms:
                replies = [rig.send(s, "READ a", 1_500.0) for s in sessions]
                rig.timers.advance(100.0)
                for reply in replies:
                    self.assertIsNone(rig.wait(reply).error)

        run_reads(5_000.0)
        left = rig.replicas()[0]
        left.is_draining = True
        acknowledged = rig.send_heartbeat(left)
        assert acknowledged is not None
        self.assertTrue(rig.wait(acknowledged, 1_000.0))
        run_reads(1_000.0)
        for entry in rig.entries.values():
            known = entry.directory.get(left.name)
            self.assertTrue(known is not None and known.is_draining)
        left.is_up = False
        body = json.dumps({"born": left.incarnation}).encode()
        departed = rig.post_departure(left.name, body)
        assert departed is not None
        self.assertTrue(rig.wait(departed, 1_000.0))
        self.assertTrue(rig.replace(configuration(2)))
        run_reads(1_000.0)
        good = {server.name for server in rig.members(GROUP)} - {left.name}
        for entry in rig.entries.values():
            self.assertEqual(entry.listed_endpoints, good)
            self.assertEqual(entry.version, 2)
        self.assertEqual(rig.stale_reads, [])

    def _send_odd_reports(self, rig: CodecRig) -> None:
        """Send an odd report under a new name, and one in the name of an endpoint."""
        key, value = rig.random.choice(ODD_FIELDS)
        fields = {"database_role": rig.random.choice(("primary", "replica"))}
        body = heartbeat(**(fields | {key: value}))
        for endpoint in (f"odd-{rig.random.randrange(9)}", f"{GROUP}-2"):
            rig.post_heartbeat(endpoint, body)
        rig.post_heartbeat("odd", body[:-1] + b',"x":' + DEEP)

    def _send_odd_departures(self, rig: CodecRig) -> None:
        for body in (b"{", DEEP, b'{"born": 1000000000000000000000000}'):
            rig.post_departure(f"{GROUP}-3", body)


class UnconfiguredGroupTest(unittest.TestCase):
    """An entry of a service that isn't configured came from another writer."""

    def test_an_entry_of_an_unconfigured_group_replaces_no_other(self) -> None:
        """A newer one took a healthy endpoint's place by its address or its name."""
        rig = PlatformRig(entry_hosts=2)
        rig.start()
        second, third = rig.replicas()

        def send_odd() -> None:
            for node in rig.controls.values():
                for fields in (
                    {"endpoint": "odd", "address": second.address},
                    {"endpoint": third.name, "address": "10.9.250.1:9000"},
                ):
                    entry = announcement(
                        group="stock", incarnation=99, sequence=10**9, **fields
                    )
                    node.receive_heartbeat(entry)

        rig.timers.call_every(500.0, send_odd)
        rig.timers.advance(20_000.0)
        names = {server.name for server in rig.members(GROUP)}
        for host in (*rig.controls.values(), *rig.entries.values()):
            listed = {entry.endpoint for entry in host.directory.group(GROUP)}
            self.assertEqual(listed, names)

    def _entry_names(self, rig: PlatformRig, group: str) -> list[set[str]]:
        return [
            {entry.endpoint for entry in host.directory.group(group)}
            & host.listed_endpoints
            for host in rig.entries.values()
        ]

    def test_an_endpoint_replaces_an_earlier_entry_of_an_unconfigured_group(
        self,
    ) -> None:
        """Entry hosts kept the newer one, and never used the endpoint."""
        rig = PlatformRig(entry_hosts=2)
        rig.start()
        address = "10.9.200.1:9000"
        started = FakeServer(rig, "new", GROUP, address, "east-1", log=[Position(3, 1)])
        started.applied = 1
        for node in rig.controls.values():
            for name in ("odd", "new"):
                odd = announcement(
                    endpoint=name, group="stock", address=address, incarnation=99
                )
                node.receive_heartbeat(odd)
                rig.timers.advance(1_000.0)
        rig.servers["new"] = started
        rig.send_heartbeat(started)
        rig.timers.advance(3_000.0)
        names = {server.name for server in rig.members(GROUP)}
        self.assertEqual(len(names), 4)
        self.assertEqual(self._entry_names(rig, GROUP), [names] * 2)

    def test_an_endpoint_of_a_group_that_is_added_later_may_reuse_an_address(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=2)
        rig.start()
        gone = rig.replicas()[0]
        gone.crash()
        seq = 0

        def send_heartbeat() -> None:
            nonlocal seq
            seq += 1
            new = announcement(
                endpoint="new",
                group="stock",
                address=gone.address,
                incarnation=99,
                sequence=seq,
            )
            rig.controls[rig.addresses[seq % 5]].receive_heartbeat(new)

        rig.timers.call_every(1_200.0, send_heartbeat)
        rig.timers.advance(20_000.0)
        groups = (*configuration().groups, DatabaseGroup("stock", 45, 0))
        self.assertTrue(rig.replace(configuration(2, groups=groups)))
        rig.timers.advance(3_000.0)
        self.assertEqual(self._entry_names(rig, "stock"), [{"new"}] * 2)
        self.assertNotIn(gone.name, self._entry_names(rig, GROUP)[0])

    def test_an_endpoint_takes_its_place_back_once_its_group_is_configured(
        self,
    ) -> None:
        directory = EndpointDirectory()
        entry = announcement()
        for odd in (
            announcement(group="stock", incarnation=99),
            announcement(endpoint="odd", group="stock", incarnation=99),
        ):
            directory.merge(odd, 0.0)
            directory.set_groups([GROUP])
            self.assertTrue(directory.merge(entry, 0.0))
            self.assertEqual(directory.announcements, (entry,))
            self.assertFalse(directory.merge(odd, 0.0))
            # The address goes over to another group that is configured.
            directory.set_groups([GROUP, "stock"])
            self.assertTrue(directory.merge(odd, 0.0))
            self.assertEqual(directory.announcements, (odd,))
            directory = EndpointDirectory()


class SilentAddressTest(unittest.TestCase):
    """A valid entry may name an address from which no answer ever comes."""

    def _check_reads(self, role: str) -> None:
        rig = PlatformRig()
        rig.start()
        odd = FakeServer(rig, "odd", "other", "10.9.250.1:9000", "east-1", log=[])
        odd.is_up, odd.is_silent = False, True
        rig.servers["odd"] = odd

        def send_heartbeat() -> None:
            odd.sequence += 1
            entry = announcement(
                endpoint="odd",
                address=odd.address,
                is_primary=role == "primary",
                sequence=odd.sequence,
            )
            rig.controls[rig.addresses[odd.sequence % 5]].receive_heartbeat(entry)

        send_heartbeat()
        rig.timers.call_every(1_200.0, send_heartbeat)
        sessions = [
            rig.open(database, entry)
            for database in ("strict", "bounded", "own")
            for entry in (1, 2, 3)
        ]
        slow_rounds = failed_rounds = 0
        for _ in range(100):
            started_ms = rig.timers.now_ms()
            replies = [
                rig.wait(reply)
                for reply in [rig.send(s, "READ a", 1_500.0) for s in sessions]
            ]
            slow_rounds += rig.timers.now_ms() - started_ms > 200.0
            failed_rounds += any(reply.error is not None for reply in replies)
            rig.timers.advance(50.0)
        # Each host learns by one attempt that the endpoint does not answer.
        self.assertLessEqual(slow_rounds, len(rig.entries))
        self.assertLessEqual(failed_rounds, 1 if role == "primary" else 0)
        self.assertEqual(rig.promotions.orders, [])

    def test_reads_do_not_wait_for_a_replica_that_never_answers(self) -> None:
        """Each attempt to connect to it held up a read for 0.9 s."""
        self._check_reads("replica")

    def test_reads_do_not_wait_for_a_primary_that_never_answers(self) -> None:
        """A newer claim to be the primary was tried first after each delay."""
        self._check_reads("primary")

    def test_a_lost_endpoint_is_used_again_once_it_answers(self) -> None:
        rig = PlatformRig(entry_hosts=2)
        rig.start()
        session = rig.open("bounded", 2)

        def readers() -> set[str]:
            rig.runs.clear()
            for _ in range(60):
                rig.run(session, "READ a", 1_500.0)
                rig.timers.advance(50.0)
            return {run.endpoint for run in rig.runs}

        nearest = rig.servers[f"{GROUP}-2"]
        self.assertIn(nearest.name, readers())
        nearest.crash()
        self.assertNotIn(nearest.name, readers())
        nearest.restart()
        rig.send_heartbeat(nearest)
        self.assertIn(nearest.name, readers())
        # Also without a new start, after its address could not be reached.
        nearest.unreachable_from = {"10.1.0.2:7440"}
        for fake_session in list(nearest.sessions):
            fake_session.disconnect(False)
        readers()
        self.assertNotIn(nearest.name, readers())
        nearest.unreachable_from.clear()
        self.assertIn(nearest.name, readers())


class ConnectorErrorTest(unittest.TestCase):
    def test_an_error_of_the_connector_costs_only_that_endpoint(self) -> None:
        """An unexpected error kept a connection counted as being opened for ever."""
        connect = FakeConnector.connect
        is_odd = True

        def fail(
            connector: FakeConnector, endpoint: Announcement, customer: str = ""
        ) -> Promise[Any]:
            if not is_odd or endpoint.endpoint != f"{GROUP}-2":
                return connect(connector, endpoint, customer)
            if rig.random.random() < 0.5:
                raise OverflowError("port must be 0-65535.")
            promise: Promise[Any] = Promise()
            rig.timers.call_later(
                1.0, lambda: promise.fail(UnicodeError("label too long"))
            )
            return promise

        rig = PlatformRig(entry_hosts=2)
        with patch.object(FakeConnector, "connect", fail):
            rig.start()
            for _ in range(20):
                reply = rig.run(rig.open("bounded"), "READ a", 1_500.0)
                self.assertIsNone(reply.error)
                rig.timers.advance(100.0)
            is_odd = False
            rig.timers.advance(3_000.0)
            for node in rig.entries.values():
                pool = node._groups[GROUP]._members[f"{GROUP}-2"].pool
                self.assertEqual(pool.size, pool.open_connection_count)
                self.assertTrue(pool.is_usable)
            assert rig.leader is not None
            sessions = rig.leader._promotion_controller._status_client._sessions
            self.assertIn((f"{GROUP}-2", 1), sessions)

    def test_proofs_of_the_primary_go_on_after_an_unexpected_error(self) -> None:
        """All reads that need a newer position would have waited in vain."""
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        group = next(iter(rig.entries.values()))._groups[GROUP]
        with patch.object(group, "_prove_once", side_effect=ValueError("unexpected")):
            with self.assertRaises(ValueError):
                group.prove_primary()
        self.assertIsNotNone(rig.wait(group.prove_primary()))


if __name__ == "__main__":
    unittest.main()
