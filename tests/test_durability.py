"""Tests of acknowledged commits across changes of primary with synchronous replicas."""

import unittest

from azurerelay.cluster import CommitHolders, commit_holders, required_answers
from azurerelay.discovery import Announcement, Departure, EndpointDirectory
from azurerelay.events import PromotionDecided, PromotionWaiting
from azurerelay.routes import DatabaseGroup
from azurerelay.timing import sleep, spawn
from tests.platform_rig import GROUP, FakeServer, PlatformRig, configuration


class SynchronousRig(PlatformRig):
    """A rig whose commits need the receipt of one replica."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed=seed, synchronous_replicas=1)
        self.served = 0
        self.start()
        self.first_replica, self.second_replica = self.replicas()
        self.first_primary = self.primary()

    def write(self, count: int = 5) -> None:
        """Run writes one after the other; all of them must be acknowledged."""
        session = self.open("strict")
        for number in range(count):
            reply = self.run(session, f"WRITE k{number} v")
            if reply.error is not None:
                raise AssertionError(f"write {number} failed: {reply}")

    def write_constantly(self) -> None:
        """Start a caller at each entry host that writes until the end of the test."""
        for entry in (1, 2, 3):
            spawn(self._write_on(entry))

    async def _write_on(self, entry: int) -> None:
        session = self.open("strict", entry)
        while True:
            reply = await self.send(session, f"WRITE k{entry} v")
            if reply.error is None:
                self.served += 1
            else:
                node = self.entries[f"10.1.0.{entry}:7440"]
                session = await spawn(node.open_session("strict", ""))
            await sleep(self.timers, 15.0)

    def is_replaced(self) -> bool:
        return self.primary() is not self.first_primary

    def let_only(self, holder: FakeServer, deaf: FakeServer) -> None:
        """Let one replica receive the newest commits, and not the other."""
        deaf.is_deaf = True
        self.write()
        assert holder.log[-1] > deaf.log[-1]


class LostPrimaryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = SynchronousRig()

    def _crash_and_wait(self) -> None:
        self.rig.first_primary.crash(silent=True)
        self.rig.wait_for(self.rig.is_replaced)

    def test_a_deaf_replica_is_not_promoted_because_the_other_one_answers_late(
        self,
    ) -> None:
        """One answer was enough, and acknowledged commits were lost."""
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.status_delay_ms = 480.0
        self._crash_and_wait()
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), holder)

    def test_a_busy_replica_is_asked_again_for_what_it_has_received(self) -> None:
        """Its last reply states only what it has applied."""
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        holder.lag_ms = 60_000.0
        self.rig.let_only(holder, deaf)
        holder.busy_statuses = 3
        self._crash_and_wait()
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), holder)

    def test_a_promotion_waits_for_a_silent_endpoint_that_may_hold_commits(
        self,
    ) -> None:
        """The only endpoint that answered was promoted without them."""
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.crash(silent=True)
        self.rig.first_primary.crash(silent=True)
        self.rig.timers.advance(30_000.0)
        self.assertEqual(self.rig.promotions.orders, [])
        waiting = self.rig.events.of(PromotionWaiting)[-1]
        self.assertEqual(waiting.needed, 2)
        self.assertIn(deaf.name, waiting.answered)
        self.assertIn(holder.name, waiting.missing)
        self.assertEqual(self._waiting_groups(), 1.0)
        holder.restart()
        self.rig.wait_for(self.rig.is_replaced)
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), holder)
        self.assertEqual(self._waiting_groups(), 0.0)

    def test_a_promotion_waits_for_endpoints_that_have_been_gone_for_minutes(
        self,
    ) -> None:
        """Without a primary, nobody receives the commits that they hold."""
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.crash(silent=True)
        self.rig.first_primary.crash(silent=True)
        self.rig.timers.advance(180_000.0)
        self.assertEqual(self.rig.lost_commits, [])
        self.assertEqual(self.rig.promotions.orders, [])
        holder.restart()
        self.rig.wait_for(self.rig.is_replaced)
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), holder)

    def test_control_hosts_that_restart_still_count_the_endpoints_that_are_gone(
        self,
    ) -> None:
        """A host that starts knows neither them nor what they may hold by itself."""
        restarts = {
            "all at once, with their disks": [(self.rig.addresses, False)],
            "each in turn, without its disk": [([a], True) for a in self.rig.addresses],
        }
        for name, steps in restarts.items():
            with self.subTest(name):
                self.rig = SynchronousRig()
                deaf, holder = self.rig.first_replica, self.rig.second_replica
                self.rig.let_only(holder, deaf)
                holder.crash(silent=True)
                self.rig.first_primary.crash(silent=True)
                self.rig.timers.advance(20_000.0)
                for addresses, loses_disk in steps:
                    for address in addresses:
                        self.rig.stop_control(address, loses_disk)
                    for address in addresses:
                        self.rig.start_control(address)
                    self.rig.timers.advance(20_000.0)
                self.assertEqual(self.rig.lost_commits, [])
                self.assertEqual(self.rig.promotions.orders, [])
                holder.restart()
                self.rig.wait_for(self.rig.is_replaced)
                self.assertEqual(self.rig.lost_commits, [])

    def test_a_primary_that_returns_ends_the_wait(self) -> None:
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.crash(silent=True)
        self.rig.first_primary.crash(silent=True)
        self.rig.timers.advance(5_000.0)
        self.assertEqual(self._waiting_groups(), 1.0)
        self.rig.first_primary.restart()
        deaf.is_deaf = False
        self.rig.timers.advance(5_000.0)
        self.assertEqual(self._waiting_groups(), 0.0)
        self.assertEqual(self.rig.promotions.orders, [])
        self.rig.write()

    def test_a_crashed_primary_that_is_back_before_the_switch_loses_no_commit(
        self,
    ) -> None:
        """It acknowledged commits that the endpoint to be promoted lacked."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                rig = SynchronousRig(seed)
                primary = rig.first_primary
                rig.write()
                for replica in rig.replicas():
                    # Longer than control takes to find that the primary is gone.
                    replica.status_delay_ms = 100.0
                primary.crash()
                rig.wait_for(lambda p=rig.promotions: bool(p.orders))
                ordered = rig.servers[rig.promotions.orders[0].endpoint]
                ordered.receive_delay_ms = 40.0
                rig.timers.advance(100.0)
                primary.restart()
                rig.send_heartbeat(primary)
                rig.write_constantly()
                acknowledged = len(rig.confirmed)
                rig.timers.advance(450.0)
                self.assertFalse(rig.is_replaced())
                self.assertGreater(len(rig.confirmed), acknowledged)
                rig.wait_for(rig.is_replaced)
                self.assertEqual(rig.promotions.unprotected, [])
                self.assertEqual(rig.lost_commits, [])
                rig.timers.advance(3_000.0)
                rig.write()

    def test_an_operator_ends_the_wait_and_the_event_names_the_loss(self) -> None:
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.crash(silent=True)
        self.rig.first_primary.crash(silent=True)
        self.rig.timers.advance(5_000.0)
        without = configuration(2, groups=(DatabaseGroup(GROUP, 45, 0),))
        self.assertTrue(self.rig.replace(without))
        self.rig.wait_for(self.rig.is_replaced)
        self.assertIs(self.rig.primary(), deaf)
        decided = self.rig.events.of(PromotionDecided)[0]
        self.assertIn(f"no answer: {self.rig.first_primary.name}", decided.candidates)
        self.assertIn(holder.name, decided.candidates.partition("no answer")[2])

    def test_a_draining_replica_is_promoted_if_only_it_holds_a_commit(self) -> None:
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.is_draining = True
        self.rig.send_heartbeat(holder)
        self.rig.timers.advance(1_500.0)
        self._crash_and_wait()
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), holder)

    def test_a_promotion_waits_for_the_successor_of_an_endpoint_that_has_left(
        self,
    ) -> None:
        """The successor at the address gets the log of the endpoint that left."""
        deaf, holder = self.rig.first_replica, self.rig.second_replica
        self.rig.let_only(holder, deaf)
        holder.is_draining = True
        self.rig.send_heartbeat(holder)
        self.rig.timers.advance(1_500.0)
        holder.is_up = False
        for node in self.rig.controls.values():
            node.deregister(holder.name, holder.incarnation)
        self.rig.first_primary.crash(silent=True)
        self.rig.timers.advance(20_000.0)
        self.assertEqual(self.rig.promotions.orders, [])
        successor = FakeServer(
            self.rig,
            "successor",
            GROUP,
            holder.address,
            holder.domain,
            log=list(holder.log),
            applied=holder.applied,
            incarnation=2,
        )
        self.rig.servers["successor"] = successor
        self.rig.wait_for(self.rig.is_replaced)
        self.assertEqual(self.rig.lost_commits, [])
        self.assertIs(self.rig.primary(), successor)

    def _waiting_groups(self) -> float:
        assert self.rig.leader is not None
        return self.rig.leader.gauges()["promotions_waiting"]


class PlannedChangeTest(unittest.TestCase):
    """A draining primary is replaced while callers write."""

    def setUp(self) -> None:
        self._start_rig(1)

    def _start_rig(self, seed: int) -> None:
        self.rig = SynchronousRig(seed)

    def _drain_while_writing(self) -> None:
        self.rig.write_constantly()
        self.rig.timers.advance(1_000.0)
        self.rig.first_primary.is_draining = True
        self.rig.send_heartbeat(self.rig.first_primary)

    def _assert_callers_can_write(self) -> None:
        self.rig.timers.advance(3_000.0)
        paused = [s.name for s in self.rig.servers.values() if s.paused_term]
        self.assertEqual(paused, [])
        self.rig.write()

    def test_no_commit_is_acknowledged_between_the_query_and_the_switch(self) -> None:
        """The chosen replica lacked what the other one received before the switch."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self._start_rig(seed)
                self._drain_while_writing()
                self.rig.wait_for(lambda r=self.rig: bool(r.promotions.orders))
                chosen = self.rig.servers[self.rig.promotions.orders[0].endpoint]
                chosen.is_deaf = True
                self.rig.wait_for(self.rig.is_replaced)
                chosen.is_deaf = False
                self.assertEqual(self.rig.lost_commits, [])
                self._assert_callers_can_write()

    def test_replicas_are_resumed_when_not_enough_of_them_can_be_paused(self) -> None:
        self._drain_while_writing()
        first, second = self.rig.first_replica, self.rig.second_replica
        self.rig.wait_for(lambda: second.paused_term is not None)
        first.crash(silent=True)
        self.rig.timers.advance(3_000.0)
        served = self.rig.served
        self.rig.timers.advance(2_000.0)
        self.assertIsNone(second.paused_term)
        self.assertGreater(self.rig.served, served)
        first.restart()
        self.rig.wait_for(self.rig.is_replaced)
        self.assertEqual(self.rig.lost_commits, [])
        self._assert_callers_can_write()

    def test_only_the_ordered_endpoint_receives_while_an_order_may_be_carried_out(
        self,
    ) -> None:
        """The order is carried out seconds after the platform gave no answer."""
        promotions = self.rig.promotions
        promotions.unanswered = 14
        promotions.late_execution_ms = 14_000.0
        self._drain_while_writing()
        self.rig.wait_for(lambda: bool(promotions.orders))
        while not self.rig.is_replaced():
            for replica in self.rig.replicas():
                if replica.name != promotions.orders[0].endpoint:
                    self.assertIsNotNone(replica.paused_term)
            self.rig.timers.advance(10.0)
        self.rig.timers.advance(20_000.0)
        self.assertEqual(
            {o.endpoint for o in promotions.orders}, {self.rig.primary().name}
        )
        self.assertEqual(promotions.unprotected, [])
        self.assertEqual(self.rig.lost_commits, [])
        self._assert_callers_can_write()

    def test_callers_can_write_while_an_order_has_no_answer(self) -> None:
        """All replicas were paused, so no commit could be acknowledged."""
        self.rig.promotions.unanswered = 14
        self.rig.promotions.late_execution_ms = 14_000.0
        self._drain_while_writing()
        self.rig.wait_for(lambda: len(self.rig.promotions.orders) == 2)
        served = self.rig.served
        self.rig.timers.advance(2_000.0)
        self.assertFalse(self.rig.is_replaced())
        self.assertGreater(self.rig.served, served)

    def test_a_replica_that_restarts_before_the_switch_is_paused_again(self) -> None:
        """Callers' commits went on through it, and the chosen replica lacked them."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self._start_rig(seed)
                promotions = self.rig.promotions
                promotions.unanswered = 4
                promotions.late_execution_ms = 100_000.0
                self._drain_while_writing()
                self.rig.wait_for(lambda p=promotions: bool(p.orders))
                other = self._other_replica()
                self.rig.timers.advance(1_000.0)
                other.crash()
                self.rig.timers.advance(550.0)
                other.restart()
                self.rig.send_heartbeat(other)
                self.rig.wait_for(self.rig.is_replaced)
                self.assertEqual(self.rig.lost_commits, [])
                self._assert_callers_can_write()

    def test_commits_that_only_a_restarted_replica_received_decide_the_choice(
        self,
    ) -> None:
        """The first choice was ordered again once the replica was paused again."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self._start_rig(seed)
                rig, promotions = self.rig, self.rig.promotions
                promotions.unanswered = 2
                promotions.late_execution_ms = 100_000.0
                self._drain_while_writing()
                rig.wait_for(lambda p=promotions: bool(p.orders))
                promotions.is_down = True
                other = self._other_replica()
                ordered = rig.servers[promotions.orders[0].endpoint]
                other.crash()
                ordered.is_deaf = True
                other.restart()
                rig.send_heartbeat(other)
                rig.timers.advance(1_000.0)
                self.assertGreater(other.log[-1], ordered.log[-1])
                rig.first_primary.crash(silent=True)
                promotions.is_down = False
                rig.wait_for(rig.is_replaced)
                self.assertIs(rig.primary(), other)
                self.assertEqual(rig.lost_commits, [])
                ordered.is_deaf = False
                rig.catch_up(ordered)
                self._assert_callers_can_write()

    def test_a_replica_that_joins_before_the_switch_is_paused(self) -> None:
        """It received commits that the chosen replica lacked."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self._start_rig(seed)
                promotions = self.rig.promotions
                promotions.unanswered = 4
                promotions.late_execution_ms = 100_000.0
                self._drain_while_writing()
                self.rig.wait_for(lambda p=promotions: bool(p.orders))
                self.rig.timers.advance(1_000.0)
                joined = FakeServer(
                    self.rig, "joined", GROUP, "10.9.9.1:9000", "east-1"
                )
                joined.log = [self.rig.first_primary.log[0]]
                joined.applied = 1
                self.rig.servers[joined.name] = joined
                self.rig.catch_up(joined)
                self.rig.send_heartbeat(joined)
                self.rig.wait_for(self.rig.is_replaced)
                self.assertEqual(self.rig.lost_commits, [])
                self._assert_callers_can_write()

    def _other_replica(self) -> FakeServer:
        """Return the replica whose promotion has not been ordered."""
        ordered = self.rig.promotions.orders[0].endpoint
        return next(r for r in self.rig.replicas() if r.name != ordered)

    def test_a_replica_whose_term_is_newer_than_its_log_can_be_paused(self) -> None:
        """A promotion without commits since leaves the term of the log behind."""
        for group in self.rig.terms:
            self.rig.terms[group] += 3
        self._drain_while_writing()
        self.rig.wait_for(self.rig.is_replaced)
        self.assertEqual(self.rig.lost_commits, [])
        self._assert_callers_can_write()

    def test_a_new_leader_completes_the_change_of_a_lost_one(self) -> None:
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                self._start_rig(seed)
                self._drain_while_writing()
                second = self.rig.second_replica
                self.rig.wait_for(lambda s=second: s.paused_term is not None)
                leader = self.rig.leader
                controls = self.rig.controls
                self.rig.stop_control(
                    next(a for a, node in controls.items() if node is leader)
                )
                self.rig.wait_for(self.rig.is_replaced)
                self.assertEqual(self.rig.lost_commits, [])
                self._assert_callers_can_write()

    def test_a_new_leader_resumes_replicas_that_an_earlier_one_has_paused(
        self,
    ) -> None:
        for replica in self.rig.replicas():
            replica.paused_term = 4
        leader = self.rig.leader
        controls = self.rig.controls
        self.rig.stop_control(next(a for a, n in controls.items() if n is leader))
        self.rig.timers.advance(12_000.0)
        self._assert_callers_can_write()
        self.assertEqual(self.rig.promotions.orders, [])


class CutOffPrimaryTest(PlannedChangeTest):
    """A primary is replaced that still acknowledges commits of some callers."""

    def _drain_while_writing(self) -> None:
        self.rig.write_constantly()
        self.rig.timers.advance(1_000.0)
        # Entry host 3 and the replicas still reach it.
        unreachable_from = {*self.rig.addresses, "10.1.0.1:7440", "10.1.0.2:7440"}
        self.rig.first_primary.unreachable_from |= unreachable_from


class EarlierLeaderTest(unittest.TestCase):
    """The leader that has sent an order is lost before the platform answers."""

    def _order_without_answer(self, seed: int = 1) -> SynchronousRig:
        """Return a rig with a dark primary, and an order that is carried out late."""
        rig = SynchronousRig(seed)
        rig.promotions.unanswered = 1
        rig.promotions.late_execution_ms = 11_000.0
        rig.write()
        rig.first_primary.go_dark()
        rig.wait_for(lambda: bool(rig.promotions.orders))
        rig.promotions.is_down = True
        return rig

    def _lose_leader(self, rig: SynchronousRig) -> None:
        controls = rig.controls
        rig.stop_control(next(a for a, n in controls.items() if n is rig.leader))

    def _assert_no_loss(self, rig: SynchronousRig) -> None:
        self.assertEqual(rig.promotions.unprotected, [])
        self.assertEqual(rig.lost_commits, [])
        rig.timers.advance(8_000.0)
        paused = [s.name for s in rig.servers.values() if s.paused_term]
        self.assertEqual(paused, [])
        rig.write()

    def test_an_order_of_a_lost_leader_that_is_carried_out_late_loses_no_commit(
        self,
    ) -> None:
        """The next leader resumed all replicas, and the ordered one lacked commits."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                rig = self._order_without_answer(seed)
                rig.timers.advance(2_000.0)
                self._lose_leader(rig)
                ordered = rig.servers[rig.promotions.orders[0].endpoint]
                ordered.receive_delay_ms = 40.0
                rig.first_primary.come_back()
                rig.write_constantly()
                # The platform answers no order before it carries out the late one.
                rig.wait_for(rig.is_replaced)
                self.assertIs(rig.primary(), ordered)
                self.assertGreater(rig.served, 50)
                rig.promotions.is_down = False
                self._assert_no_loss(rig)

    def test_a_new_leader_completes_the_promotion_that_a_lost_one_has_ordered(
        self,
    ) -> None:
        """It resumed all replicas, and sent no order that fences the earlier one."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                rig = self._order_without_answer(seed)
                self._lose_leader(rig)
                rig.promotions.is_down = False
                ordered = rig.servers[rig.promotions.orders[0].endpoint]
                ordered.receive_delay_ms = 40.0
                rig.first_primary.come_back()
                rig.write_constantly()
                rig.wait_for(rig.is_replaced, 6_000.0)
                self.assertEqual(
                    {order.endpoint for order in rig.promotions.orders}, {ordered.name}
                )
                rig.timers.advance(11_000.0)
                self.assertIs(rig.primary(), ordered)
                self._assert_no_loss(rig)

    def test_the_primary_stays_if_the_ordered_endpoint_is_lost(self) -> None:
        """Replicas stayed paused until the ordered endpoint was back."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                rig = self._order_without_answer(seed)
                self._lose_leader(rig)
                rig.promotions.is_down = False
                ordered = rig.servers[rig.promotions.orders[0].endpoint]
                ordered.crash(silent=True)
                rig.first_primary.come_back()
                rig.timers.advance(12_000.0)
                self.assertFalse(rig.is_replaced())
                rig.write()
                ordered.restart()
                rig.write_constantly()
                rig.timers.advance(5_000.0)
                self.assertFalse(rig.is_replaced())
                self._assert_no_loss(rig)

    def test_replicas_are_resumed_after_a_failover_that_ends_without_an_order(
        self,
    ) -> None:
        """The new leader left them paused if the group was in failover meanwhile."""
        rig = SynchronousRig()
        for replica in rig.replicas():
            replica.paused_term = 4
        rig.first_primary.go_dark()
        rig.second_replica.go_dark()
        self._lose_leader(rig)
        rig.timers.advance(9_000.0)
        rig.first_primary.come_back()
        rig.timers.advance(3_000.0)
        rig.second_replica.come_back()
        self._assert_no_loss(rig)
        self.assertFalse(rig.is_replaced())


class AsynchronousReplicasTest(unittest.TestCase):
    def test_without_synchronous_replicas_a_late_answer_is_not_waited_for(
        self,
    ) -> None:
        rig = PlatformRig()
        rig.start()
        first, second = rig.replicas()
        second.status_delay_ms = 5_000.0
        rig.primary().crash(silent=True)
        rig.wait_for(lambda: rig.primary() is first, 4_000.0)
        self.assertEqual(rig.events.of(PromotionWaiting), [])


def _address(name: str) -> str:
    return f"10.9.{len(name)}.{sum(name.encode()) % 250 + 1}:9000"


class CommitHoldersTest(unittest.TestCase):
    def _announcement(self, name: str, **fields: object) -> Announcement:
        values: dict[str, object] = {
            "endpoint": name,
            "group": GROUP,
            "address": _address(name),
            "failure_domain": "east-1",
            "slots": 3,
            "is_draining": False,
            "is_primary": False,
            "warmup_ms": 0,
            "incarnation": 1,
            "sequence": 1,
        }
        return Announcement(**(values | fields))  # type: ignore[arg-type]

    def test_any_set_of_synchronous_replicas_includes_one_that_answered(self) -> None:
        # Endpoints, whether the primary is one of them, synchronous replicas, answers.
        cases = [
            (3, True, 0, 1),
            (3, True, 1, 2),
            (3, False, 1, 3),
            (3, True, 2, 1),
            (3, False, 2, 2),
            (5, True, 1, 4),
            (5, True, 2, 3),
            (1, True, 1, 1),
            (2, True, 3, 1),
        ]
        for count, has_primary, replicas, expected in cases:
            with self.subTest(count=count, has_primary=has_primary, sync=replicas):
                names = frozenset(f"e{number}" for number in range(count))
                holders = CommitHolders(names, has_primary)
                self.assertEqual(required_answers(holders, replicas), expected)

    def test_silent_draining_departed_and_expired_endpoints_are_counted(self) -> None:
        directory = EndpointDirectory()
        for name in ("silent", "draining", "departed", "other"):
            announcement = self._announcement(
                name,
                is_draining=name == "draining",
                group="other" if name == "other" else GROUP,
            )
            directory.merge(announcement, 0.0)
        directory.merge_departure(Departure("departed", 1), 1.0)
        found = commit_holders(directory, GROUP)
        self.assertEqual(found.names, {"silent", "draining", "departed"})
        self.assertFalse(found.has_primary)
        directory.merge(self._announcement("draining", sequence=2), 12_000.0)
        directory.expire(10_000.0, 12_001.0)
        found = commit_holders(directory, GROUP)
        self.assertEqual(found.names, {"silent", "draining", "departed"})
        directory.expire(100_000.0, 80_000.0)
        found = commit_holders(directory, GROUP)
        self.assertEqual(found.names, {"silent", "draining", "departed"})

    def test_endpoints_are_counted_until_a_primary_has_reported_for_a_minute(
        self,
    ) -> None:
        directory = EndpointDirectory()
        directory.merge(self._announcement("gone"), 0.0)
        directory.merge_departure(Departure("gone", 1), 1.0)

        def counted_at(now_ms: float, primary: Announcement | None) -> set[str]:
            if primary is not None:
                directory.merge(primary, now_ms)
            directory.expire(12_000.0, now_ms)
            return set(commit_holders(directory, GROUP).names)

        def report(sequence: int, incarnation: int = 1) -> Announcement:
            return self._announcement(
                "lead", is_primary=True, sequence=sequence, incarnation=incarnation
            )

        # The primary reports again when nothing has reported for minutes.
        self.assertEqual(counted_at(10_000.0, report(1)), {"gone", "lead"})
        self.assertEqual(counted_at(200_000.0, None), {"gone", "lead"})
        self.assertEqual(counted_at(200_100.0, report(2)), {"gone", "lead"})
        self.assertEqual(counted_at(211_000.0, report(3)), {"gone", "lead"})
        # A restart of the primary interrupts its reports, too.
        self.assertEqual(counted_at(222_000.0, report(1, 2)), {"gone", "lead"})
        for sequence in range(2, 8):
            now_ms = 222_000.0 + (sequence - 1) * 10_000.0
            self.assertEqual(counted_at(now_ms, report(sequence, 2)), {"gone", "lead"})
        self.assertEqual(counted_at(282_100.0, report(8, 2)), {"lead"})

    def test_endpoints_of_groups_that_are_not_configured_are_not_kept_for_ever(
        self,
    ) -> None:
        """Any program may report endpoints of unknown groups, under ever new names."""
        directory = EndpointDirectory()
        directory.set_groups({GROUP})
        for name, group in (("odd", "unknown"), ("gone", GROUP)):
            directory.merge(self._announcement(name, group=group), 0.0)
        directory.expire(12_000.0, 20_000.0)
        former = {a.endpoint for a in directory.former_members.announcements}
        self.assertEqual(former, {"odd", "gone"})
        directory.expire(12_000.0, 81_000.0)
        former = {a.endpoint for a in directory.former_members.announcements}
        self.assertEqual(former, {"gone"})

    def test_an_endpoint_that_returns_or_has_a_successor_is_counted_once(self) -> None:
        directory = EndpointDirectory()
        for name in ("left", "crashed", "replaced"):
            directory.merge(self._announcement(name, is_draining=name == "left"), 0.0)
            if name != "replaced":
                directory.merge_departure(Departure(name, 1), 1.0)
        directory.merge(self._announcement("crashed", incarnation=2), 2.0)
        successor = self._announcement("new", address=_address("left"), incarnation=2)
        directory.merge(successor, 3.0)
        # The address of an endpoint that did not drain may pass on without its log.
        taker = self._announcement("taker", address=_address("replaced"), incarnation=2)
        directory.merge(taker, 4.0)
        found = commit_holders(directory, GROUP)
        self.assertEqual(found.names, {"crashed", "new", "replaced", "taker"})

    def test_a_former_primary_is_counted_as_the_primary(self) -> None:
        directory = EndpointDirectory()
        directory.merge(self._announcement("a", is_primary=True), 0.0)
        directory.merge(self._announcement("b"), 0.0)
        self.assertTrue(commit_holders(directory, GROUP).has_primary)
        directory.merge_departure(Departure("a", 1), 1.0)
        self.assertTrue(commit_holders(directory, GROUP).has_primary)


if __name__ == "__main__":
    unittest.main()
