"""Quotas hold over all hosts, whatever fails, and customers below theirs are served."""

import os
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from azurerelay.routes import Customer
from tests.property_settings import property_settings
from tests.quota_rig import CONTROL_HOSTS, SLACK, WINDOW_MS, ExactQuota, QuotaRig

USUAL_SHARE = 0.62  # what customers use of their rate on average
JUMP = 7.5
JUMP_MS = 6_500.0
CUT_MS = 5_500.0
CUT_SHARE = 0.17  # of the hosts that the customer uses
RATES = (2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 150.0)
# With `AZURERELAY_QUOTA_FIGURES`, each example prints its figures.
PRINTS_FIGURES = "AZURERELAY_QUOTA_FIGURES" in os.environ
SEEDS = st.integers(0, 2**32)


def bound(customer: Customer) -> float:
    """Return the most operations that may run in a window."""
    assert customer.rate_per_s is not None
    exact = customer.rate_per_s * WINDOW_MS / 1_000.0 + customer.burst
    return exact * 1.1 + SLACK


class QuotaPropertiesTest(unittest.TestCase):
    """Gates and ledgers with the delays and intervals of the product."""

    @property_settings(16)
    @given(SEEDS, st.booleans(), st.booleans(), st.booleans())
    def test_no_window_exceeds_the_quota(
        self, seed: int, loses_control: bool, cuts_hosts: bool, lowers_rate: bool
    ) -> None:
        """Guards against more operations than rule 3 allows under a jump of demand."""
        draw = random.Random(seed)
        rate = draw.choice(RATES)
        customer = Customer("c", (), rate, rate * draw.choice((0.0, 0.5, 1.0, 2.0)))
        rig = QuotaRig(seed, draw.randint(30, 150), (customer,))
        jump_ms = draw.uniform(4_000.0, 6_000.0)

        def demand(now_ms: float) -> float:
            is_jump = jump_ms <= now_ms < jump_ms + JUMP_MS
            return USUAL_SHARE * rate * (JUMP if is_jump else 1.0)

        callers = draw.choice((rig.hosts, rig.hosts[:5], rig.hosts[::CONTROL_HOSTS]))
        rig.offer_from("c", demand, callers)
        settled_ms = jump_ms + draw.choice((0.0, draw.uniform(-3_000.0, 3_000.0)))
        if loses_control:
            lost = draw.sample(range(CONTROL_HOSTS), 2)
            rig.timers.call_later(settled_ms, lambda: rig.lost.update(lost))
        if cuts_hosts:
            cut_ms = jump_ms + draw.choice((0.0, draw.uniform(-4_000.0, 3_000.0)))
            victims = draw.sample(callers, int(CUT_SHARE * len(callers)))
            rig.timers.call_later(cut_ms, lambda: rig.cut_off(victims))
            rig.timers.call_later(cut_ms + CUT_MS, lambda: rig.cut_off(()))
            settled_ms = max(settled_ms, cut_ms + CUT_MS)
        lowered = replace(customer, rate_per_s=rate * draw.uniform(0.2, 0.8))
        if lowers_rate:
            lowered_ms = jump_ms + draw.uniform(-3_000.0, 3_000.0)
            rig.timers.call_later(lowered_ms, lambda: rig.update((lowered,), 1_000.0))
            settled_ms = max(settled_ms, lowered_ms) + 4_000.0
        rig.timers.advance(22_000.0)
        highest = rig.busiest_window("c")
        if PRINTS_FIGURES:
            excess = highest - (bound(customer) - SLACK) / 1.1
            print(f"window {highest / bound(customer):.3f} excess {excess:.0f}", seed)
        self.assertLessEqual(highest, bound(customer))
        if lowers_rate:
            self.assertLessEqual(rig.busiest_window("c", settled_ms), bound(lowered))

    @property_settings(6)
    @given(SEEDS, st.sampled_from((1.0, 3.0, JUMP)))
    def test_operations_that_waited_do_not_exceed_the_quota(
        self, seed: int, jump: float
    ) -> None:
        """Guards against admitted operations that start together beyond rule 3.

        All operations wait while their group has no primary. Without a jump, the demand
        stays below the quota, and the wait alone is no reason to refuse it.
        """
        draw = random.Random(seed)
        rate = draw.choice(RATES)
        customer = Customer("c", (), rate, rate * draw.choice((0.5, 1.0, 2.0)))
        rig = QuotaRig(seed, draw.randint(30, 150), (customer,))
        wait_ms = draw.uniform(500.0, 2_500.0 if jump == 1.0 else 4_000.0)
        jump_ms = 8_000.0 + draw.choice((0.0, draw.uniform(-3_000.0, 3_000.0)))

        def demand(now_ms: float) -> float:
            is_jump = jump_ms <= now_ms < jump_ms + JUMP_MS
            return USUAL_SHARE * rate * (jump if is_jump else 1.0)

        rig.timers.advance(1_500.0)
        quota = ExactQuota(customer) if jump == 1.0 else None
        rig.offer_from("c", demand, rig.hosts, quota)
        rig.timers.advance(6_500.0)
        rig.group_waits_until_ms = 8_000.0 + wait_ms
        rig.timers.advance(12_000.0)
        highest = rig.busiest_window("c")
        refused = len(rig.refused["c"]) / max(1, len(rig.offered["c"]))
        if PRINTS_FIGURES:
            share = highest / bound(customer)
            print(f"waits {jump} {share:.3f} refused {refused:.4f}", seed)
        self.assertLessEqual(highest, bound(customer))
        if jump == 1.0:
            self.assertLess(refused, 0.01)

    @property_settings(6)
    @given(SEEDS, st.sampled_from((0.3, USUAL_SHARE, 0.8, 0.95)), st.booleans())
    def test_customers_below_their_quota_are_served(
        self, seed: int, share: float, has_others: bool
    ) -> None:
        """Guards against refusals of a demand below the quota, at any hosts.

        A demand that is below the rate on average exceeds its quota at times; what an
        exact quota refuses is left out.
        """
        draw = random.Random(seed)
        rate = draw.choice(RATES)
        customer = Customer("c", (), rate, rate * draw.choice((0.5, 1.0, 2.0)))
        other = Customer("other", (), 5.0, 5.0)
        rig = QuotaRig(seed, draw.randint(30, 150), (customer, other))
        callers = draw.choice((rig.hosts, rig.hosts[:1], rig.hosts[::CONTROL_HOSTS]))
        rig.timers.advance(1_500.0)
        quota = ExactQuota(customer)
        rig.offer_from("c", lambda _: share * rate, callers, quota)
        if has_others:
            rig.offer_from("other", lambda _: 40.0, rig.hosts)
        rig.timers.advance(30_000.0)
        refused = len(rig.refused["c"]) / max(1, len(rig.offered["c"]))
        if PRINTS_FIGURES:
            print(f"refused {refused:.4f}", seed, share, rate, customer.burst)
        self.assertLess(refused, 0.01)
        self.assertEqual(has_others, bool(rig.refused["other"]))

    def test_no_window_exceeds_the_quota_if_half_of_the_demand_is_cut_off(self) -> None:
        """Guards against hosts that lose control just as a customer's demand jumps.

        24 of 140 hosts carry half of the demand. Until they notice that control is
        silent, nothing limits them.
        """
        for seed in (5, 17, 24):
            draw = random.Random(seed)
            rate = draw.choice((20.0, 50.0, 100.0, 150.0))
            customer = Customer("c", (), rate, rate)
            rig = QuotaRig(seed, 140, (customer,))
            cut_ms = 5_000.0 + draw.uniform(-500.0, 500.0)
            demand = _jump_at(5_000.0, USUAL_SHARE * rate / 2.0)
            victims, others = rig.hosts[:24], rig.hosts[24:]
            rig.offer_from("c", demand, victims)
            rig.offer_from("c", demand, others)
            rig.timers.call_later(cut_ms, partial(rig.cut_off, victims))
            rig.timers.call_later(cut_ms + CUT_MS, partial(rig.cut_off, ()))
            rig.timers.advance(16_000.0)
            with self.subTest(seed=seed):
                self.assertLessEqual(rig.busiest_window("c"), bound(customer))


def _jump_at(jump_ms: float, usual_per_s: float) -> Callable[[float], float]:
    """Return a demand that is `JUMP` times the usual one for `JUMP_MS`."""

    def demand(now_ms: float) -> float:
        is_jump = jump_ms <= now_ms < jump_ms + JUMP_MS
        return usual_per_s * (JUMP if is_jump else 1.0)

    return demand
