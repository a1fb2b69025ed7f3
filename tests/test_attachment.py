"""Tests of how entry hosts follow control hosts, on simulated time."""

import contextlib
import random
import unittest
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from azurerelay.attachment import (
    DirectoryMark,
    DirectoryUpdate,
    SyncReply,
    SyncRequest,
)
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.events import ControlReplyRefused
from tests.platform_rig import DOMAIN_REGIONS, GROUP, PlatformRig


class NearestControlHostTest(unittest.TestCase):
    def _control_domains(self, rig: PlatformRig) -> dict[str, str]:
        domains = list(DOMAIN_REGIONS)
        return {a: domains[n % 3] for n, a in enumerate(rig.addresses)}

    def _attached_domains(self, rig: PlatformRig) -> list[tuple[str, str]]:
        domains = self._control_domains(rig)
        return [
            (
                list(DOMAIN_REGIONS)[(number - 1) % 3],
                domains[str(entry.control_follower.current_control_host)],
            )
            for number, entry in enumerate(rig.entries.values(), start=1)
        ]

    def test_entry_hosts_move_to_a_control_host_of_their_failure_domain(self) -> None:
        """Traffic between regions is expensive, and grows with the fleet."""
        rig = PlatformRig(entry_hosts=30)
        rig.start()
        rig.timers.advance(10_000.0)
        for own, attached in self._attached_domains(rig):
            self.assertEqual(attached, own)
        leader = rig.leader
        assert leader is not None
        # A host that moved is not counted by both control hosts.
        counts = [n.entry_hosts.count for n in rig.controls.values()]
        self.assertEqual(sum(counts), 30)

    def test_entry_hosts_return_to_a_control_host_that_has_restarted(self) -> None:
        rig = PlatformRig(entry_hosts=12)
        rig.start()
        rig.timers.advance(10_000.0)
        restarted = [a for a, d in self._control_domains(rig).items() if d == "west-1"]
        for address in restarted:
            rig.stop_control(address)
        rig.timers.advance(3_000.0)
        for address in restarted:
            rig.start_control(address)
        rig.timers.advance(12_000.0)
        for own, attached in self._attached_domains(rig):
            self.assertEqual(attached, own)

    def test_a_nearer_control_host_that_is_cut_off_from_the_leader_is_not_used(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=6)
        rig.start()
        domains = self._control_domains(rig)
        isolated = [a for a, d in domains.items() if d == "west-1"]
        for address in isolated:
            rig.isolate(address, rig.addresses)
        rig.timers.advance(15_000.0)
        for entry in rig.entries.values():
            follower = entry.control_follower
            self.assertNotIn(follower.current_control_host, isolated)
            self.assertLess(follower.control_silence_ms, 1_000.0)


class DirectoryPushTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=6)
        for number in range(10):
            self.rig.add_group(f"{GROUP}-{number}")
        self.rig.start()
        self.rig.timers.advance(10_000.0)
        self.pushed: list[int] = []
        deliver = self.rig.deliver

        def record(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncReply) and message.directory is not None:
                self.pushed.append(len(message.directory.announcements))
            deliver(sender, peer, message)

        self.rig.deliver = record  # type: ignore[method-assign]

    def _drain(self, name: str) -> None:
        server = self.rig.servers[name]
        server.is_draining = True
        self.rig.send_heartbeat(server)

    def test_a_change_of_one_endpoint_is_pushed_without_the_others(self) -> None:
        """With hundreds of hosts, whole directories would fill their links."""
        self._drain(f"{GROUP}-3-2")
        self.rig.timers.advance(500.0)
        self.assertEqual(self.pushed, [1] * 6)

    def test_entry_hosts_remember_no_endpoints_that_are_gone(self) -> None:
        """Only promotions need them; at entry hosts they were kept for ever."""
        server = self.rig.servers[f"{GROUP}-3-2"]
        server.is_up = False
        for node in self.rig.controls.values():
            node.deregister(server.name, server.incarnation)
        self.rig.timers.advance(5_000.0)
        for entry in self.rig.entries.values():
            self.assertIsNone(entry.directory.get(server.name))
            self.assertEqual(entry.directory.former_members.announcements, ())

    def test_a_push_that_could_not_be_sent_is_sent_with_the_next_one(self) -> None:
        """It was noted as sent, and the host lacked the change until it asked again."""
        deliver, failures = self.rig.deliver, 0

        def fail(sender: str, peer: str, message: Any) -> None:
            nonlocal failures
            if isinstance(message, SyncReply) and message.directory is not None:
                failures += 1
                raise OverflowError("unexpected")
            deliver(sender, peer, message)

        self.rig.deliver = fail  # type: ignore[method-assign]
        self._drain(f"{GROUP}-3-2")
        while not failures:
            with contextlib.suppress(OverflowError):
                self.rig.timers.advance(1.0)
        self.rig.deliver = deliver  # type: ignore[method-assign]
        for node in self.rig.controls.values():
            with contextlib.suppress(OverflowError):
                self.rig.timers.advance(20.0)
            node.entry_hosts.push()
        self.rig.timers.advance(15.0)
        for entry in self.rig.entries.values():
            known = entry.directory.get(f"{GROUP}-3-2")
            self.assertTrue(known is not None and known.is_draining)

    def test_a_host_that_missed_pushes_gets_all_that_it_lacks(self) -> None:
        entry = self.rig.entries["10.1.0.1:7440"]
        control = str(entry.control_follower.current_control_host)
        self.rig.one_way_cuts.add((control, "10.1.0.1:7440"))
        self._drain(f"{GROUP}-3-2")
        self.rig.timers.advance(100.0)
        self._drain(f"{GROUP}-4-2")
        self.rig.timers.advance(100.0)
        self.rig.heal()
        self._drain(f"{GROUP}-5-2")
        self.rig.timers.advance(1_000.0)
        draining = {a.endpoint for a in entry.directory.announcements if a.is_draining}
        self.assertEqual(draining, {f"{GROUP}-{n}-2" for n in (3, 4, 5)})


class LateReplyTest(unittest.TestCase):
    def test_a_late_reply_of_a_previous_control_host_removes_no_endpoint(self) -> None:
        """It may have been cut off and not know the newest endpoints."""
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        entry = rig.entries["10.1.0.1:7440"]
        previous = str(entry.control_follower.current_control_host)
        late: list[SyncReply] = []
        deliver = rig.deliver

        def hold_back(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncReply) and sender.startswith(previous):
                late.append(message)
            else:
                deliver(sender, peer, message)

        rig.deliver = hold_back  # type: ignore[method-assign]
        # The host asks another control host, which sends all endpoints.
        rig.wait_for(
            lambda: entry.control_follower.current_control_host != previous, 5_000.0
        )
        rig.timers.advance(500.0)
        listed = {a.endpoint for a in entry.directory.announcements}
        self.assertEqual(entry.listed_endpoints, listed)
        old = DirectoryUpdate(DirectoryMark(7, 1), (), ())
        entry.on_message(previous, replace(late[-1], directory=old))
        self.assertEqual(entry.listed_endpoints, listed)


class UnreadableReplyTest(unittest.TestCase):
    def test_an_unreadable_reply_is_logged_and_asked_for_with_the_next_request(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        entry = rig.entries["10.1.0.1:7440"]
        current = str(entry.control_follower.current_control_host)
        requests: list[SyncRequest] = []
        deliver = rig.deliver

        def count(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncRequest):
                requests.append(message)
            deliver(sender, peer, message)

        rig.deliver = count  # type: ignore[method-assign]
        version = entry.version
        for _ in range(5):
            reply = SyncReply(1, 0.0, 1, None, None, (), (), b"not compressed")
            entry.on_message(current, reply)
        self.assertEqual(requests, [])
        self.assertEqual(len(rig.events.of(ControlReplyRefused)), 5)
        rig.timers.advance(1_000.0)
        self.assertTrue(requests[0].has_missed_update)
        self.assertFalse(requests[1].has_missed_update)
        self.assertEqual(entry.version, version)


class _Follower:
    """Apply the changes of a directory as an entry host does."""

    def __init__(self) -> None:
        self.listed: dict[str, Announcement] = {}
        self.revision = 0

    def follow(self, source: EndpointDirectory) -> None:
        changes = source.changes_since(self.revision)
        if changes is None:
            self.listed = {a.endpoint: a for a in source.announcements}
        else:
            for name in changes.removed:
                self.listed.pop(name, None)
            self.listed |= {a.endpoint: a for a in changes.announcements}
        self.revision = source.revision


class DirectoryChangesTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_followers_of_changes_list_the_same_endpoints(self, seed: int) -> None:
        source = random.Random(seed)
        directory = EndpointDirectory()
        followers = [_Follower() for _ in range(3)]
        for step in range(60):
            now_ms = 1_000.0 * step
            name = f"e{source.randrange(5)}"
            incarnation = source.randrange(1, 4)
            match source.randrange(6):
                case 0:
                    directory.merge_departure(Departure(name, incarnation), now_ms)
                case 1:
                    directory.expire(source.choice((3_000.0, 9_000.0)), now_ms)
                case _:
                    directory.merge(
                        Announcement(
                            name,
                            GROUP,
                            f"10.9.0.{source.randrange(6)}:9000",
                            "east-1",
                            3,
                            source.random() < 0.3,
                            source.random() < 0.3,
                            0,
                            incarnation,
                            step,
                        ),
                        now_ms,
                    )
            source.choice(followers).follow(directory)
        for follower in followers:
            follower.follow(directory)
            expected = {a.endpoint: a for a in directory.announcements}
            self.assertEqual(follower.listed.keys(), expected.keys())
            for name, announcement in expected.items():
                self.assertTrue(announcement.is_equivalent_to(follower.listed[name]))

    def test_a_revision_from_before_the_oldest_kept_removal_is_unknown(self) -> None:
        directory = EndpointDirectory()
        for number in range(600):
            directory.merge(
                Announcement(
                    f"e{number}",
                    GROUP,
                    f"10.9.{number // 250}.{number % 250}:9000",
                    "east-1",
                    3,
                    False,
                    False,
                    0,
                    1,
                    1,
                ),
                0.0,
            )
        directory.expire(1.0, 10.0)
        self.assertIsNone(directory.changes_since(600))
        changes = directory.changes_since(directory.revision - 1)
        assert changes is not None
        self.assertEqual(len(changes.removed), 1)
