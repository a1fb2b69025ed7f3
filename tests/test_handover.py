"""Tests of hand-overs between control hosts and of errors during a failover."""

import unittest

from azurerelay.discovery import Departure
from azurerelay.promotions import PromotionAnswer, PromotionOrder
from azurerelay.timing import Promise
from tests.platform_rig import PlatformRig


class PromotionHandOverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start()

    def test_a_leader_that_is_cut_off_repeats_no_order(self) -> None:
        """Its successor may already have sent one, with a higher token."""
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.rig = PlatformRig(seed=seed)
                self.rig.start()
                leader = self.rig.leader
                isolated = next(a for a, n in self.rig.controls.items() if n is leader)
                orders = self.rig.promotions.orders
                self.rig.promotions.unanswered = 1
                self.rig.primary().crash(silent=True)
                self.rig.wait_for(lambda orders=orders: bool(orders))
                self.rig.isolate(isolated, self.rig.addresses)
                self.rig.timers.advance(8_000.0)
                issuers = [order.issuer for order in orders]
                self.assertEqual(issuers.count(f"control at {isolated}"), 1)
                # The other side goes on.
                self.assertTrue(self.rig.primary().is_up)

    def test_an_unexpected_error_does_not_end_the_failover_of_a_group(self) -> None:
        promote = self.rig.promotions.promote
        attempts = []

        def fail_once(order: PromotionOrder) -> Promise[PromotionAnswer]:
            attempts.append(order)
            if len(attempts) == 1:
                raise RuntimeError("unexpected")
            return promote(order)

        self.rig.promotions.promote = fail_once  # type: ignore[method-assign]
        self.rig.primary().crash(silent=True)
        with self.assertRaisesRegex(RuntimeError, "unexpected"):
            self.rig.timers.advance(5_000.0)
        self.rig.wait_for(lambda: self.rig.primary().is_up, 5_000.0)


class DepartureTest(unittest.TestCase):
    def test_an_endpoint_that_left_is_not_listed_after_all_hosts_restart(self) -> None:
        """Only the host that was told had saved the departure when all lost power."""
        for told in range(5):
            with self.subTest(told=told):
                rig = PlatformRig(entry_hosts=1, seed=told + 1)
                rig.start()
                left = rig.replicas()[0]
                saved = rig.controls[rig.addresses[0]].directory.announcements
                left.is_up = False
                for address in rig.addresses:
                    rig.stop_control(address)
                rig.timers.advance(500.0)
                for number, address in enumerate(rig.addresses):
                    departure = Departure(left.name, left.incarnation)
                    departures = (departure,) if number == told else ()
                    node = rig.start_control(address)
                    node.restore_directory(saved, departures)
                rig.timers.advance(1_500.0)
                for node in rig.controls.values():
                    self.assertIsNone(node.directory.get(left.name))
                    self.assertEqual(len(node.directory.announcements), 2)
