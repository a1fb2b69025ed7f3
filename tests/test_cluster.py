"""Control hosts that form, change and repair their own cluster, on fake time."""

import random
import unittest

from azurerelay.cluster import (
    GroupHealth,
    candidates,
    most_advanced,
    next_voters,
    promotion_reason,
)
from azurerelay.consensus import FollowerProgress
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.statements import Position
from tests.platform_rig import GROUP, PlatformRig, configuration


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
            self.rig.start_control(address, first=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)

    def test_five_hosts_that_know_three_seeds_form_one_cluster(self) -> None:
        self._start()
        leaders = {n.raft.leader for n in self.rig.controls.values()}
        self.rig.timers.advance(1_000.0)
        leaders = {n.raft.leader for n in self.rig.controls.values()}
        self.assertEqual(len(leaders), 1)

    def test_a_leader_is_ready_before_entry_hosts_have_started_again(self) -> None:
        """An entry host needs 300 ms to start; after a loss of power all wait."""
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
            self.rig.start_control(address, first=True)
        self.rig.wait_for(lambda: self.rig.leader is not None)
        at = self.rig.addresses[0]
        self.assertFalse(self.rig.replace(configuration(1), at))
        for address in self.rig.addresses[3:]:
            self.rig.start_control(address, first=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)
        self.assertTrue(self.rig.replace(configuration(1)))

    def test_one_seed_that_is_late_does_not_prevent_a_cluster(self) -> None:
        for address in self.rig.addresses[1:]:
            self.rig.start_control(address, first=True)
        self.rig.wait_for(lambda: self.rig.leader is not None)
        self.rig.timers.advance(3_000.0)
        self.rig.start_control(self.rig.addresses[0], first=True)
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
        raise AssertionError("nobody can be sure of the configuration")

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
        """Entry hosts that follow it have no primary until then."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(entry_hosts=1, seed=seed)
                self.rig.start()
                empty = next(
                    a for a, n in self.rig.controls.items() if n is not self.rig.leader
                )
                self.rig.stop_control(empty, lose_disk=True)
                self.rig.timers.advance(1_000.0)
                node = self.rig.start_control(empty)
                self.rig.wait_for(lambda n=node: n.raft.leader is not None)
                self.rig.timers.advance(500.0)  # a route's response-time goal
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

    def test_a_host_that_is_gone_is_replaced_at_another_address(self) -> None:
        gone = self.rig.addresses[0]
        self.rig.stop_control(gone)
        new = "10.0.0.9:7440"
        self.rig.addresses.append(new)
        self.rig.start_control(new)
        self.rig.wait_for(lambda: any(v.startswith(new) for v in self.rig.voters))
        self.rig.wait_for(lambda: not any(v.startswith(gone) for v in self.rig.voters))
        self.assertEqual(len(self.rig.voters), 5)

    def test_a_host_that_was_cut_off_never_shows_an_old_configuration(self) -> None:
        away = self.rig.addresses[4]
        others = [a for a in self.rig.addresses if a != away]
        self.rig.isolate(away, others)
        self.assertTrue(self.rig.replace(configuration(5), self.rig.addresses[1]))
        self.rig.timers.advance(3_000.0)
        found = self.rig.wait(self.rig.controls[away].read_configuration())
        self.assertIsNone(found)
        self.rig.heal()
        self.rig.timers.advance(3_000.0)
        found = self.rig.wait(self.rig.controls[away].read_configuration())
        self.assertEqual(found.version, 5)

    def test_a_leader_that_was_cut_off_acknowledges_nothing(self) -> None:
        leader = self.rig.leader
        assert leader is not None
        away = next(a for a, n in self.rig.controls.items() if n is leader)
        self.rig.isolate(away, [a for a in self.rig.addresses if a != away])
        self.assertFalse(self.rig.replace(configuration(5), away))


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start(first=configuration(3))

    def test_resent_and_older_orders_are_acknowledged_and_change_nothing(self) -> None:
        other = configuration(3, transaction_idle_ms=9_999)
        for wanted in (configuration(3), other, configuration(2)):
            self.assertTrue(self.rig.replace(wanted))
        self.rig.timers.advance(1_000.0)
        for entry in self.rig.entries.values():
            self.assertEqual(entry.version, 3)
            self.assertEqual(entry.transaction_idle_ms, 3_000)

    def test_a_change_is_in_force_on_all_hosts_at_once_after_it_is_acknowledged(
        self,
    ) -> None:
        for version in range(4, 30):
            self.assertTrue(self.rig.replace(configuration(version)))
            self.rig.timers.advance(60.0)
            versions = {entry.version for entry in self.rig.entries.values()}
            self.assertEqual(versions, {version})

    def test_a_host_follows_another_when_its_control_host_is_lost_or_cut_off(
        self,
    ) -> None:
        for how in ("lost", "cut off"):
            with self.subTest(how):
                self.rig = PlatformRig()
                self.rig.start(first=configuration(3))
                entry = self.rig.entries["10.1.0.1:7440"]
                followed = entry.follower.followed
                assert followed is not None
                others = [a for a in self.rig.addresses if a != followed]
                if how == "lost":
                    self.rig.stop_control(followed)
                else:
                    self.rig.isolate(followed, others)
                self.rig.timers.advance(500.0)
                for _ in range(10):
                    if self.rig.replace(configuration(4), others[0]):
                        break
                    self.rig.timers.advance(300.0)
                self.rig.timers.advance(3_000.0)
                self.assertEqual(entry.version, 4)

    def test_a_host_that_starts_asks_on_until_one_knows_the_leader(self) -> None:
        """Its callers wait; a control host may not know the leader yet."""
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        empty = next(a for a in rig.seeds if rig.controls[a] is not rig.leader)
        rig.stop_control(empty, lose_disk=True)
        for other in rig.addresses:
            rig.cut.add(frozenset((empty, other)))
        rig.start_control(empty)
        for number in range(2, 12):
            started_ms = rig.timers.now_ms()
            node = rig.start_entry(number)
            rig.wait_for(lambda node=node: node.version >= 0)
            # Two questions and their answers, 12 ms each way at most.
            self.assertLess(rig.timers.now_ms() - started_ms, 2 * 24.0 + 1.0)

    def test_a_host_that_starts_leaves_a_control_host_that_does_not_answer(
        self,
    ) -> None:
        """Control hosts may be a second late when all power comes back."""
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
            # Two silent hosts at most, before the third seed answers.
            self.assertLess(rig.timers.now_ms() - started_ms, 1_000.0)

    def test_dropped_and_added_routes_are_followed(self) -> None:
        kept = configuration(4).routes[:1]
        self.assertTrue(self.rig.replace(configuration(4, routes=kept)))
        self.rig.timers.advance(100.0)
        entry = self.rig.entries["10.1.0.1:7440"]
        self.assertIsNone(entry.find("bounded"))
        self.assertIsNotNone(entry.find("strict"))
        self.assertTrue(self.rig.replace(configuration(5)))
        self.rig.timers.advance(100.0)
        self.assertIsNotNone(entry.find("bounded"))


class LeavingTest(unittest.TestCase):
    def test_a_control_host_that_is_cut_off_does_not_confirm_that_one_leaves(
        self,
    ) -> None:
        rig = PlatformRig()
        rig.start()
        away = rig.addresses[4]
        rig.isolate(away, [a for a in rig.addresses if a != away])
        rig.timers.advance(2_000.0)
        server = rig.replicas()[0]
        server.is_draining = True
        node = rig.controls[away]
        self.assertFalse(rig.wait(node.announce(server.announcement())))
        self.assertFalse(rig.wait(node.announce(server.announcement())))
        self.assertFalse(rig.wait(node.depart(server.name, None)))


class DirectoryTest(unittest.TestCase):
    def test_late_and_foreign_heartbeats_change_nothing(self) -> None:
        cases = {
            "an older sequence": announcement(sequence=4, is_draining=True),
            "an older incarnation": announcement(incarnation=1, sequence=99),
            "an older endpoint at its address": announcement(
                endpoint="e0", incarnation=1, sequence=50
            ),
        }
        for name, late in cases.items():
            with self.subTest(name):
                directory = EndpointDirectory()
                directory.merge(announcement(incarnation=2, sequence=5), 0.0)
                self.assertFalse(directory.merge(late, 1.0))
                self.assertEqual([a.sequence for a in directory.announcements], [5])

    def test_a_new_endpoint_takes_over_an_address(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(), 0.0)
        new = announcement(endpoint="e2", incarnation=9, group="other")
        self.assertTrue(directory.merge(new, 1.0))
        self.assertEqual(directory.announcements, (new,))

    def test_a_departed_endpoint_stays_gone_until_it_starts_again(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(), 0.0)
        directory.depart(Departure("e1", 1), 1.0)
        self.assertFalse(directory.merge(announcement(sequence=9), 2.0))
        self.assertTrue(directory.merge(announcement(incarnation=2), 3.0))

    def test_the_newest_claim_to_lead_goes_first(self) -> None:
        directory = EndpointDirectory()
        directory.merge(announcement(is_primary=True), 0.0)
        other = announcement(endpoint="e2", address="10.9.0.2:9000", is_primary=True)
        directory.merge(other, 1.0)
        names = [a.endpoint for a in directory.primaries(GROUP)]
        self.assertEqual(names, ["e2", "e1"])


class VoterPlanTest(unittest.TestCase):
    def _plan(
        self, voters: str, silent: str = "", learners: str = "", losses: int = 2
    ) -> frozenset[str] | None:
        def progress(name: str, is_voter: bool) -> FollowerProgress:
            return FollowerProgress(name, is_voter, True, 9e3 if name in silent else 0)

        names = voters.split()
        followers = [progress(name, True) for name in names[1:]]
        followers += [progress(name, False) for name in learners.split()]
        plan = next_voters(names[0], frozenset(names), followers, losses)
        return plan[0] if plan else None

    def test_plans(self) -> None:
        cases = [
            ("five that are present stay", "a b c d e", "", "", None),
            ("a silent one stays without a substitute", "a b c d e", "e", "", None),
            ("a learner joins", "a b c", "", "d", "a b c d"),
            ("a lost disk goes first", "a b c d e#1", "e#1", "e#2", "a b c d"),
            ("then its successor joins", "a b c d", "", "e#2", "a b c d e#2"),
            ("a silent one goes when replaced", "a b c d e f", "b", "", "a c d e f"),
            ("no more than seven", "a b c d e f g", "", "h", None),
            ("none without a majority", "a b c d e f", "bcdf", "", None),
        ]
        for name, voters, silent, learners, expected in cases:
            with self.subTest(name):
                wanted = frozenset(expected.split()) if expected else None
                self.assertEqual(self._plan(voters, silent, learners), wanted)


class PromotionPolicyTest(unittest.TestCase):
    def test_reasons(self) -> None:
        well = announcement(is_primary=True)
        leaving = announcement(is_primary=True, is_draining=True)
        cases = [
            ("well", GroupHealth(well, 500.0, 0, 0.0, 10), False),
            ("draining", GroupHealth(leaving, 500.0, 0, 0.0, 10), True),
            ("missed by half", GroupHealth(well, 500.0, 5, 400.0, 10), True),
            ("missed by a few", GroupHealth(well, 500.0, 4, 900.0, 10), False),
            ("missed by few and silent", GroupHealth(well, 4e3, 1, 400.0, 10), True),
            ("silent to control only", GroupHealth(well, 9e3, 0, 0.0, 10), False),
            ("none", GroupHealth(None, 0.0, 0, 0.0, 10), True),
        ]
        for name, health, is_needed in cases:
            with self.subTest(name):
                reason = promotion_reason(health, 1_200.0)
                self.assertEqual(reason is not None, is_needed)

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
