"""Tests of the control cluster and its failover rules, on simulated time."""

import random
import unittest
from typing import Any

from azurerelay.cluster import (
    GroupHealth,
    PrimaryContact,
    Suspicions,
    candidates,
    most_advanced,
    next_voters,
    promotion_reason,
)
from azurerelay.cluster._messages import ProposalReply, ProposalRequest
from azurerelay.consensus import FollowerProgress
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.messages import compress
from azurerelay.statements import Position
from tests.platform_rig import GROUP, PlatformRig, configuration
from tests.test_durability import SynchronousRig


def announcement(**fields: object) -> Announcement:
    values: dict[str, object] = {
        "endpoint": "e1",
        "group": GROUP,
        "address": "10.9.0.1:9000",
        "failure_domain": "east-1",
        "slots": 3,
        "is_draining": False,
        "is_primary": False,
        "warmup_ms": 0,
        "incarnation": 1,
        "sequence": 1,
    }
    return Announcement(**(values | fields))  # type: ignore[arg-type]


class FormationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=1)

    def _start(self) -> None:
        for address in self.rig.addresses:
            self.rig.start_control(address, is_first_start=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)

    def test_five_hosts_that_know_three_seeds_form_one_cluster(self) -> None:
        self._start()
        leaders = {n.raft.leader for n in self.rig.controls.values()}
        self.rig.timers.advance(1_000.0)
        leaders = {n.raft.leader for n in self.rig.controls.values()}
        self.assertEqual(len(leaders), 1)

    def test_a_leader_is_ready_before_entry_hosts_have_started_again(self) -> None:
        """After a power failure, all entry hosts wait for a control leader.

        An entry host needs 300 ms to start, so a leader must be ready by then.
        """
        for seed in range(1, 11):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(entry_hosts=1, seed=seed)
                self._start()
                for address in self.rig.addresses:
                    self.rig.stop_control(address)
                self.rig.timers.advance(1_000.0)
                for address in self.rig.addresses:
                    self.rig.start_control(address)
                self.rig.timers.advance(300.0)
                self.assertIsNotNone(self.rig.leader)

    def test_nothing_is_acknowledged_before_it_survives_two_lost_disks(self) -> None:
        for address in self.rig.addresses[:3]:
            self.rig.start_control(address, is_first_start=True)
        self.rig.wait_for(lambda: self.rig.leader is not None)
        at = self.rig.addresses[0]
        self.assertFalse(self.rig.replace(configuration(1), at))
        for address in self.rig.addresses[3:]:
            self.rig.start_control(address, is_first_start=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)
        self.assertTrue(self.rig.replace(configuration(1)))

    def test_a_cluster_forms_while_one_seed_is_down(self) -> None:
        for address in self.rig.addresses[1:]:
            self.rig.start_control(address, is_first_start=True)
        self.rig.wait_for(lambda: self.rig.leader is not None)
        self.rig.timers.advance(3_000.0)
        self.rig.start_control(self.rig.addresses[0], is_first_start=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)


class DurabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=1)
        self.rig.start()

    def _read_back(self) -> int:
        for _ in range(50):
            address = self.rig.random.choice(list(self.rig.controls))
            found = self.rig.wait(self.rig.controls[address].read_configuration())
            if found is not None:
                return int(found.version)
            self.rig.timers.advance(200.0)
        raise AssertionError("no control host could confirm the configuration")

    def _votes(self, address: str) -> bool:
        return any(voter.startswith(address) for voter in self.rig.voters)

    def test_two_disks_lost_right_after_an_acknowledgement_lose_nothing(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(entry_hosts=1, seed=seed)
                self.rig.start()
                self.assertTrue(self.rig.replace(configuration(7)))
                lost = random.Random(seed).sample(self.rig.addresses, 2)
                for address in self.rig.addresses:
                    self.rig.stop_control(address, lose_disk=address in lost)
                self.rig.timers.advance(1_000.0)
                for address in self.rig.addresses:
                    self.rig.start_control(address)
                self.rig.wait_for(lambda: self.rig.leader is not None)
                self.assertEqual(self._read_back(), 7)
                self.rig.wait_for(lambda: len(self.rig.voters) == 5)
                current = {f"{a}#{i}" for a, i in self.rig.identities.items()}
                self.rig.wait_for(lambda c=current: self.rig.voters == c)

    def test_a_control_host_without_a_disk_soon_knows_all_endpoints(self) -> None:
        """Entry hosts attached to it do not know any primary until then."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(entry_hosts=1, seed=seed)
                self.rig.start()
                wiped = next(
                    a for a, n in self.rig.controls.items() if n is not self.rig.leader
                )
                self.rig.stop_control(wiped, lose_disk=True)
                self.rig.timers.advance(1_000.0)
                node = self.rig.start_control(wiped)
                self.rig.wait_for(lambda n=node: n.raft.leader is not None)
                self.rig.timers.advance(500.0)  # the target response time of a route
                known = {a.endpoint for a in node.directory.announcements}
                self.assertEqual(known, set(self.rig.servers))

    def test_disks_lost_in_turn_are_replaced_one_by_one(self) -> None:
        for version, address in enumerate(self.rig.addresses * 2, start=2):
            self.rig.stop_control(address, lose_disk=True)
            self.rig.timers.advance(1_000.0)
            self.rig.start_control(address)
            self.assertTrue(self.rig.replace(configuration(version)))
            current = {f"{a}#{i}" for a, i in self.rig.identities.items()}
            self.rig.wait_for(lambda c=current: self.rig.voters == c)
        self.assertEqual(self._read_back(), 11)

    def test_a_lost_host_is_replaced_by_one_at_another_address(self) -> None:
        lost = self.rig.addresses[0]
        self.rig.stop_control(lost)
        newcomer = "10.0.0.9:7440"
        self.rig.addresses.append(newcomer)
        self.rig.start_control(newcomer)
        self.rig.wait_for(lambda: any(v.startswith(newcomer) for v in self.rig.voters))
        self.rig.wait_for(lambda: not any(v.startswith(lost) for v in self.rig.voters))
        self.assertEqual(len(self.rig.voters), 5)

    def test_a_host_that_was_removed_while_it_was_away_votes_again(self) -> None:
        """Its own log said that it was a voter, so it never asked to join again."""
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(entry_hosts=0, seed=seed)
                self.rig.start()
                leader = self.rig.leader
                first = next(a for a, n in self.rig.controls.items() if n is leader)
                away, *others = (a for a in self.rig.addresses if a != first)
                newcomer = "10.0.0.6:7440"
                self.rig.addresses.append(newcomer)
                self.rig.stop_control(away)
                self.rig.start_control(newcomer)
                self.rig.wait_for(lambda n=newcomer: self._votes(n))
                self.rig.wait_for(lambda a=away: not self._votes(a))
                self.rig.timers.advance(500.0)
                # The next leader does not know the host that is away.
                self.rig.stop_control(first)
                self.rig.timers.advance(1_000.0)
                self.rig.start_control(first)
                self.rig.start_control(away)
                self.rig.wait_for(lambda a=away: self._votes(a))
                for address in others[:2]:
                    self.rig.stop_control(address, lose_disk=True)
                self.assertTrue(self.rig.replace(configuration(3)))

    def test_a_host_without_a_disk_votes_again_after_all_seeds_were_replaced(
        self,
    ) -> None:
        """It heard the leader, but asked only the seeds of its settings to join."""
        for number, seed in enumerate(self.rig.seeds, start=6):
            newcomer = f"10.0.0.{number}:7440"
            self.rig.addresses.append(newcomer)
            self.rig.settings_seeds[newcomer] = (self.rig.addresses[3],)
            self.rig.start_control(newcomer)
            self.rig.wait_for(lambda n=newcomer: self._votes(n))
            self.rig.stop_control(seed, lose_disk=True)
            self.rig.wait_for(lambda s=seed: not self._votes(s))
        wiped = self.rig.addresses[4]
        self.rig.stop_control(wiped, lose_disk=True)
        self.rig.timers.advance(1_000.0)
        self.rig.start_control(wiped)
        name = f"{wiped}#{self.rig.identities[wiped]}"
        self.rig.wait_for(lambda: name in self.rig.voters)

    def test_an_isolated_host_never_returns_an_old_configuration(self) -> None:
        isolated = self.rig.addresses[4]
        others = [a for a in self.rig.addresses if a != isolated]
        self.rig.isolate(isolated, others)
        self.assertTrue(self.rig.replace(configuration(5), self.rig.addresses[1]))
        self.rig.timers.advance(3_000.0)
        found = self.rig.wait(self.rig.controls[isolated].read_configuration())
        self.assertIsNone(found)
        self.rig.heal()
        self.rig.timers.advance(3_000.0)
        found = self.rig.wait(self.rig.controls[isolated].read_configuration())
        self.assertEqual(found.version, 5)

    def test_an_isolated_leader_acknowledges_nothing(self) -> None:
        leader = self.rig.leader
        assert leader is not None
        isolated = next(a for a, n in self.rig.controls.items() if n is leader)
        self.rig.isolate(isolated, [a for a in self.rig.addresses if a != isolated])
        self.assertFalse(self.rig.replace(configuration(5), isolated))


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start(initial_configuration=configuration(3))

    def test_resent_and_older_orders_are_acknowledged_and_change_nothing(self) -> None:
        other = configuration(3, transaction_idle_ms=9_999)
        for wanted in (configuration(3), other, configuration(2)):
            self.assertTrue(self.rig.replace(wanted))
        self.rig.timers.advance(1_000.0)
        for entry in self.rig.entries.values():
            self.assertEqual(entry.version, 3)
            self.assertEqual(entry.transaction_idle_ms, 3_000)

    def test_an_unreadable_order_is_not_acknowledged_and_stops_no_host(self) -> None:
        """An entry of the log that raised an error was applied again without end."""
        assert self.rig.leader is not None
        leader = str(self.rig.leader.raft.leader)
        sender = min(self.rig.voters - {leader})
        replies: list[Any] = []
        deliver = self.rig.deliver

        def record(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, ProposalReply):
                replies.append(message)
            deliver(sender, peer, message)

        self.rig.deliver = record  # type: ignore[method-assign]
        payloads = (b"odd", compress(b"odd"), compress(b"\x91" * 50_000))
        for number, payload in enumerate(payloads):
            request = ProposalRequest(number, payload)
            self.rig.deliver(sender, leader, request)
            self.rig.timers.advance(500.0)
        self.assertEqual([reply.is_committed for reply in replies], [False] * 3)
        self.assertTrue(self.rig.replace(configuration(9)))
        self.rig.timers.advance(500.0)
        for node in self.rig.controls.values():
            assert node.state.configuration is not None
            self.assertEqual(node.state.configuration.version, 9)

    def test_a_change_is_in_force_on_all_hosts_at_once_after_it_is_acknowledged(
        self,
    ) -> None:
        for version in range(4, 30):
            self.assertTrue(self.rig.replace(configuration(version)))
            self.rig.timers.advance(60.0)
            versions = {entry.version for entry in self.rig.entries.values()}
            self.assertEqual(versions, {version})

    def test_an_entry_host_switches_when_its_control_host_is_lost_or_cut_off(
        self,
    ) -> None:
        for failure in ("lost", "cut off"):
            with self.subTest(failure):
                self.rig = PlatformRig()
                self.rig.start(initial_configuration=configuration(3))
                entry = self.rig.entries["10.1.0.1:7440"]
                current = entry.control_follower.current_control_host
                assert current is not None
                others = [a for a in self.rig.addresses if a != current]
                if failure == "lost":
                    self.rig.stop_control(current)
                else:
                    self.rig.isolate(current, others)
                self.rig.timers.advance(500.0)
                for _ in range(10):
                    if self.rig.replace(configuration(4), others[0]):
                        break
                    self.rig.timers.advance(300.0)
                self.rig.timers.advance(3_000.0)
                self.assertEqual(entry.version, 4)

    def test_a_starting_entry_host_tries_hosts_until_one_knows_the_leader(self) -> None:
        """Guards against a slow start at a control host that does not know the leader.

        Callers of the entry host wait until it has a configuration.
        """
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        wiped = next(a for a in rig.seeds if rig.controls[a] is not rig.leader)
        rig.stop_control(wiped, lose_disk=True)
        for other in rig.addresses:
            rig.cut_links.add(frozenset((wiped, other)))
        rig.start_control(wiped)
        for number in range(2, 12):
            started_ms = rig.timers.now_ms()
            node = rig.start_entry(number)
            rig.wait_for(lambda node=node: node.version >= 0)
            # Two requests and their replies, each taking at most 12 ms one way.
            self.assertLess(rig.timers.now_ms() - started_ms, 2 * 24.0 + 1.0)

    def test_a_starting_entry_host_leaves_an_unresponsive_control_host(
        self,
    ) -> None:
        """After a power failure, some control hosts may start a second late."""
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        leader = rig.leader
        for address in [a for a in rig.seeds if rig.controls[a] is not leader][:2]:
            rig.stop_control(address)
        rig.timers.advance(500.0)
        for number in range(2, 12):
            started_ms = rig.timers.now_ms()
            node = rig.start_entry(number)
            rig.wait_for(lambda node=node: node.version >= 0)
            # At most two hosts time out before the third seed answers.
            self.assertLess(rig.timers.now_ms() - started_ms, 1_000.0)

    def test_removed_and_added_routes_take_effect(self) -> None:
        kept = configuration(4).routes[:1]
        self.assertTrue(self.rig.replace(configuration(4, routes=kept)))
        self.rig.timers.advance(100.0)
        entry = self.rig.entries["10.1.0.1:7440"]
        self.assertIsNone(entry.find_route("bounded"))
        self.assertIsNotNone(entry.find_route("strict"))
        self.assertTrue(self.rig.replace(configuration(5)))
        self.rig.timers.advance(100.0)
        self.assertIsNotNone(entry.find_route("bounded"))


class LeavingTest(unittest.TestCase):
    def test_an_isolated_control_host_acknowledges_no_leaving_endpoint(
        self,
    ) -> None:
        rig = PlatformRig()
        rig.start()
        isolated = rig.addresses[4]
        rig.isolate(isolated, [a for a in rig.addresses if a != isolated])
        rig.timers.advance(2_000.0)
        server = rig.replicas()[0]
        server.is_draining = True
        node = rig.controls[isolated]
        self.assertFalse(rig.wait(node.receive_heartbeat(server.announcement())))
        self.assertFalse(rig.wait(node.receive_heartbeat(server.announcement())))
        self.assertFalse(rig.wait(node.deregister(server.name, None)))


class DirectoryTest(unittest.TestCase):
    def test_outdated_heartbeats_change_nothing(self) -> None:
        cases = {
            "an older sequence": announcement(sequence=4, is_draining=True),
            "an older incarnation": announcement(incarnation=1, sequence=99),
            "an older endpoint at its address": announcement(
                endpoint="e0", incarnation=1, sequence=50
            ),
        }
        for name, outdated in cases.items():
            with self.subTest(name):
                directory = EndpointDirectory()
                directory.merge(announcement(incarnation=2, sequence=5), 0.0)
                self.assertFalse(directory.merge(outdated, 1.0))
                self.assertEqual([a.sequence for a in directory.announcements], [5])

    def test_a_new_endpoint_takes_over_an_address(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(), 0.0)
        newcomer = announcement(endpoint="e2", incarnation=9, group="other")
        self.assertTrue(directory.merge(newcomer, 1.0))
        self.assertEqual(directory.announcements, (newcomer,))

    def test_a_departed_endpoint_stays_gone_until_it_starts_again(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(), 0.0)
        directory.merge_departure(Departure("e1", 1), 1.0)
        self.assertFalse(directory.merge(announcement(sequence=9), 2.0))
        self.assertTrue(directory.merge(announcement(incarnation=2), 3.0))

    def test_the_newest_primary_claim_is_listed_first(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(is_primary=True), 0.0)
        other = announcement(endpoint="e2", address="10.9.0.2:9000", is_primary=True)
        directory.merge(other, 1.0)
        names = [a.endpoint for a in directory.primaries(GROUP)]
        self.assertEqual(names, ["e2", "e1"])


class NextVotersTest(unittest.TestCase):
    def _next_voters(
        self, voters: str, silent: str = "", learners: str = "", losses: int = 2
    ) -> frozenset[str] | None:
        def progress(name: str, is_voter: bool) -> FollowerProgress:
            return FollowerProgress(name, is_voter, True, 9e3 if name in silent else 0)

        names = voters.split()
        followers = [progress(name, True) for name in names[1:]]
        followers += [progress(name, False) for name in learners.split()]
        change = next_voters(names[0], frozenset(names), followers, losses)
        return change[0] if change else None

    def test_next_voters(self) -> None:
        cases = [
            ("five reachable voters stay", "a b c d e", "", "", None),
            ("a silent voter stays if not replaced", "a b c d e", "e", "", None),
            ("a learner becomes a voter", "a b c", "", "d", "a b c d"),
            (
                "a voter with a lost disk is removed",
                "a b c d e#1",
                "e#1",
                "e#2",
                "a b c d",
            ),
            ("then its new identity is added", "a b c d", "", "e#2", "a b c d e#2"),
            ("a surplus silent voter is removed", "a b c d e f", "b", "", "a c d e f"),
            ("no more than seven voters", "a b c d e f g", "", "h", None),
            ("no change without a majority", "a b c d e f", "bcdf", "", None),
        ]
        for name, voters, silent, learners, expected in cases:
            with self.subTest(name):
                wanted = frozenset(expected.split()) if expected else None
                self.assertEqual(self._next_voters(voters, silent, learners), wanted)


class CrashedPrimaryTest(unittest.TestCase):
    def test_a_crashed_primary_is_replaced_while_callers_only_write(self) -> None:
        """Their refused connections kept proofs from being started for 9 seconds."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                rig = SynchronousRig(seed)
                rig.write_constantly()
                rig.timers.advance(1_000.0)
                rig.first_primary.crash()
                rig.wait_for(rig.is_replaced, 4_000.0)


class PromotionPolicyTest(unittest.TestCase):
    def test_promotion_reasons(self) -> None:
        unknown, silent = PrimaryContact.UNKNOWN, PrimaryContact.SILENT
        proven, answered = PrimaryContact.PROVEN, PrimaryContact.ANSWERED
        # Heartbeat silence in ms, hosts that suspect the primary, for how many ms, how
        # many of them are certain, what control finds, and whether it is replaced.
        cases = [
            ("healthy", 500.0, 0, 0.0, 0, unknown, False),
            ("suspected by half", 500.0, 5, 400.0, 5, unknown, True),
            ("suspected by fewer than half", 500.0, 4, 900.0, 4, silent, False),
            ("silent and suspected by one", 4e3, 1, 400.0, 1, unknown, True),
            ("silent to control hosts only", 9e3, 0, 0.0, 0, unknown, False),
            ("silent, but control proves it", 4e3, 1, 400.0, 1, proven, False),
            ("lost, and some hosts not connected", 500.0, 9, 400.0, 1, silent, True),
            ("no longer the primary", 500.0, 9, 400.0, 0, PrimaryContact.DENIED, True),
            ("crowded, control cannot connect", 500.0, 10, 900.0, 1, unknown, False),
            ("crowded, control is refused", 900.0, 10, 5e3, 4, answered, False),
            ("crowded, and a heartbeat since", 500.0, 10, 5e3, 1, unknown, False),
            ("not connected, missed a heartbeat", 1.6e3, 10, 900.0, 0, unknown, True),
            ("cut off from half, for a moment", 500.0, 6, 900.0, 6, proven, False),
            ("cut off from half", 500.0, 6, 1.1e3, 6, proven, True),
            ("cut off from fewer than half", 500.0, 4, 9e3, 4, proven, False),
        ]
        healthy = announcement(is_primary=True)
        for name, silence_ms, hosts, for_ms, certain, contact, is_needed in cases:
            with self.subTest(name):
                health = GroupHealth(
                    healthy,
                    silence_ms,
                    Suspicions(hosts, for_ms),
                    Suspicions(certain, for_ms if certain else 0.0),
                    contact,
                    10,
                )
                reason = promotion_reason(health, 1_200.0)
                self.assertEqual(reason is not None, is_needed)

    def test_draining_and_missing_primaries_are_replaced_at_once(self) -> None:
        leaving = announcement(is_primary=True, is_draining=True)
        for primary in (leaving, None):
            health = GroupHealth(
                primary, 500.0, Suspicions(), Suspicions(), PrimaryContact.UNKNOWN, 10
            )
            self.assertIsNotNone(promotion_reason(health, 1_200.0))

    def test_the_endpoint_with_the_longest_log_is_chosen(self) -> None:
        received = {"a": Position(3, 9), "b": Position(4, 2), "c": Position(4, 2)}
        self.assertEqual(most_advanced(received), "b")
        self.assertIsNone(most_advanced({}))

    def test_failed_draining_and_silent_endpoints_are_no_candidates(self) -> None:
        directory = EndpointDirectory()
        for number, is_draining in enumerate((False, True, False, False)):
            directory.merge(
                announcement(
                    endpoint=f"e{number}",
                    address=f"10.9.0.{number}:1",
                    is_draining=is_draining,
                ),
                0.0 if number == 2 else 9_000.0,
            )
        found = candidates(directory, GROUP, ["e0"], 1_200.0, 9_100.0)
        self.assertEqual([e.endpoint for e in found], ["e3"])


if __name__ == "__main__":
    unittest.main()
