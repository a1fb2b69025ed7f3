"""Tests of the choice of endpoints by recent answers, where connections are scarce.

Each load is played with the plain policy, too. 83 hosts serve one group, as in the
deployment for which the policy was made. Callers need their answer within 800 ms.
"""

import random
import unittest
from typing import Any

from bench.placement import mean_report

from azurerelay.experiments import (
    DisruptedPeriod,
    Disruption,
    PlacementExperiment,
    PlacementPolicy,
    PlacementScenario,
)
from azurerelay.groups import GroupConnections, Topology
from azurerelay.pooling import (
    ConnectionShare,
    LoadEstimate,
    LoadKnowledge,
    ReadCandidate,
    RequiredPosition,
    choose_by_recent_answers,
    choose_endpoint,
)
from azurerelay.statements import EndpointError, EndpointReply, Position, SessionState
from tests.platform_rig import DOMAIN_REGIONS, GROUP, FakeConnector, PlatformRig
from tests.test_pooling import candidate

HOSTS = 83
QUEUE_LIMIT = 32
DISRUPTED_MS = 10_000.0
POSITION = Position(3, 9)
SET_ASIDE = LoadKnowledge(is_set_aside=True)


def play(
    policy: PlacementPolicy,
    *disruptions: Disruption,
    is_spread: bool = False,
    load: float = 320.0,
) -> dict[str, float]:
    """Return the means of the reports of three runs."""
    periods = tuple(
        DisruptedPeriod(disruption, 1, 5_000.0, DISRUPTED_MS)
        for disruption in disruptions
    )
    scenarios = [
        PlacementScenario(
            HOSTS, 250.0, seed, load, 20_000.0, is_spread=is_spread, periods=periods
        )
        for seed in (1, 2, 3)
    ]
    return mean_report([PlacementExperiment(s, policy).run() for s in scenarios])


class CallersTest(unittest.TestCase):
    def _compare(
        self, *disruptions: Disruption, **options: Any
    ) -> tuple[dict[str, float], dict[str, float]]:
        plain = play(choose_endpoint, *disruptions, **options)
        chosen = play(choose_by_recent_answers, *disruptions, **options)
        self.assertGreaterEqual(chosen["in_time"], plain["in_time"] - 0.001)
        self.assertGreaterEqual(chosen["worst_domain"], plain["worst_domain"] - 0.002)
        self.assertGreaterEqual(chosen["worst_domain"], 0.99)
        return plain, chosen

    def test_load_is_even_while_all_endpoints_are_healthy(self) -> None:
        """Guards against hosts that move to the same endpoint together."""
        plain, chosen = self._compare(load=500.0)
        self.assertLessEqual(chosen["full_and_idle"], plain["full_and_idle"])
        self.assertLessEqual(chosen["unevenness"], plain["unevenness"])
        self.assertLess(chosen["messages"], 1.01)

    def test_reads_leave_a_slow_endpoint(self) -> None:
        """Guards against statements that queue at an endpoint of a fifth of the speed."""
        for is_spread in (False, True):
            with self.subTest(is_spread=is_spread):
                plain, chosen = self._compare(Disruption.SLOW, is_spread=is_spread)
                self.assertLessEqual(chosen["p99_ms"], plain["p99_ms"])

    def test_few_callers_pay_for_an_endpoint_that_fails_statements(self) -> None:
        """Guards against reads that go on to an endpoint which fails half of them.

        A host sends at most two before it sets the endpoint aside. Within 10 s, trials
        and the statements after a lucky trial are a few more.
        """
        plain, chosen = self._compare(Disruption.FAILING)
        self.assertLess(chosen["failed_attempts"], 0.6 * plain["failed_attempts"])
        self.assertLess(chosen["failed_attempts"], 5 * HOSTS)

    def test_few_callers_pay_for_an_endpoint_that_is_down_by_turns(self) -> None:
        """Guards against hosts that send all reads again at each return."""
        plain, chosen = self._compare(Disruption.FLAPPING)
        self.assertLess(chosen["failed_attempts"], plain["failed_attempts"])

    def test_an_endpoint_that_comes_back_gets_no_crowd(self) -> None:
        """Guards against a second wave while the other endpoints are nearly full.

        The endpoint's queue, beyond which it refuses statements, stays half empty.
        """
        plain, chosen = self._compare(Disruption.DOWN, load=450.0)
        self.assertLess(chosen["return_queue"], plain["return_queue"])
        self.assertLess(chosen["return_queue"], QUEUE_LIMIT / 2)


class LoadEstimateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimate = LoadEstimate(random.Random(1))

    def _knowledge(self, now_ms: float, pending: int = 0) -> LoadKnowledge:
        return self.estimate.knowledge(now_ms, 0.0, pending)

    def _trial_ms(self, now_ms: float) -> float:
        while self._knowledge(now_ms).is_set_aside:
            now_ms += 50.0
        return now_ms

    def test_a_single_failure_sets_no_endpoint_aside(self) -> None:
        """Guards against leaving an endpoint for the fault of one statement."""
        self.estimate.record_answer(10.0, 0.0)
        self.estimate.record_failure(100.0)
        self.assertFalse(self._knowledge(100.0).is_set_aside)
        fraction = self._knowledge(100.0).failure_fraction
        self.assertGreater(fraction, self._knowledge(9_000.0).failure_fraction)
        self.assertGreater(fraction, 0.0)

    def test_an_endpoint_returns_by_one_statement_and_then_slowly(self) -> None:
        """Guards against a crowd at an endpoint that has just come back."""
        self.estimate.record_loss(0.0)
        self.assertTrue(self._knowledge(200.0).is_set_aside)
        trial_ms = self._trial_ms(200.0)
        self.assertLessEqual(trial_ms, 800.0)
        self.assertTrue(self._knowledge(trial_ms, pending=1).is_set_aside)
        self.estimate.record_answer(10.0, trial_ms)
        self.assertLess(self._knowledge(trial_ms, pending=1).weight, 0.2)
        self.assertEqual(self._knowledge(trial_ms + 2_000.0).weight, 1.0)

    def test_relapses_are_tried_less_often_up_to_a_bound(self) -> None:
        """Guards against trials at the same rate for ever, and against none."""
        now_ms, delays = 0.0, []
        self.estimate.record_loss(now_ms)
        for _ in range(6):
            trial_ms = self._trial_ms(now_ms)
            delays.append(trial_ms - now_ms)
            now_ms = trial_ms
            self.estimate.record_failure(now_ms)
        self.assertGreater(delays[3], 2 * delays[0])
        self.assertLessEqual(max(delays), 6_050.0)


class ChoiceTest(unittest.TestCase):
    def test_rules_of_the_choice(self) -> None:
        """Guards against reads where they must not, or need not, go."""
        far = {"cross_region_penalty_ms": 80.0, "round_trip_ms": 24.0}
        behind = {"position": Position(3, 4), "lag_ms": 900.0}
        known = LoadKnowledge(mean_ms=20.0, answers=4.0)
        slow = LoadKnowledge(mean_ms=60.0, answers=4.0)
        stuck = LoadKnowledge(mean_ms=20.0, answers=4.0, unanswered_ms=300.0)
        failing = LoadKnowledge(mean_ms=20.0, answers=4.0, failure_fraction=0.6)
        returning = LoadKnowledge(weight=0.0)
        cases = [
            ("no replica far behind",
             [candidate("a", **behind), candidate("b", load=slow)], "b"),
            ("the region unless more than the penalty is saved",
             [candidate("a", load=slow), candidate("b", load=known, **far)], "a"),
            ("another region if the statement in progress takes that long",
             [candidate("a", load=stuck, pending_statements=1),
              candidate("b", load=known, **far)], "b"),
            ("another region if most statements fail",
             [candidate("a", load=failing), candidate("b", load=known, **far)], "b"),
            ("the faster endpoint",
             [candidate("a", load=slow), candidate("b", load=known)], "b"),
            ("no statement of this host before it",
             [candidate("a", load=known, pending_statements=1),
              candidate("b", load=known)], "b"),
            ("an endpoint that is not set aside",
             [candidate("a", load=SET_ASIDE), candidate("b", load=slow)], "b"),
            ("one that returns less often",
             [candidate("a", load=returning), candidate("b", load=slow)], "b"),
            ("one that is set aside if there is no other",
             [candidate("a", load=SET_ASIDE), candidate("b", **behind)], "a"),
        ]  # fmt: skip
        for name, candidates, expected in cases:
            with self.subTest(name):
                self.assertEqual(self._chosen(candidates), expected)
        self.assertIsNone(self._chosen([]))

    def _chosen(self, candidates: list[ReadCandidate]) -> str | None:
        chosen = choose_by_recent_answers(
            candidates, RequiredPosition(POSITION, 0.0), random.Random(1)
        )
        return chosen.name if chosen else None


class GroupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.add_group()
        self.random = random.Random(1)
        self.group = GroupConnections(
            GROUP,
            FakeConnector(self.rig, "host"),
            Topology("east-1", DOMAIN_REGIONS),
            self.rig.timers,
            self.random,
            self.rig.events,
        )

    def _update(self, share: ConnectionShare) -> None:
        servers = [server.announcement() for server in self.rig.servers.values()]
        self.group.update(servers, lambda _: share)

    def _fail_answers(self, error: EndpointError) -> set[str]:
        """Fail three answers of the first choice; return what is chosen then."""
        position = self.rig.primary().position
        pool = self.group.choose_for_read(position, frozenset())
        assert pool is not None
        self.first = pool.endpoint.endpoint
        reply = EndpointReply((), "", error, "", SessionState.IDLE, None)
        for _ in range(3):
            self.group.record_reply(pool, self.rig.timers.now_ms(), reply)
        chosen = set()
        for _ in range(20):
            pool = self.group.choose_for_read(position, frozenset())
            assert pool is not None
            chosen.add(pool.endpoint.endpoint)
        return chosen

    def test_failed_answers_turn_reads_away_only_where_connections_are_scarce(
        self,
    ) -> None:
        """Guards against a change for deployments that do not ask for it."""
        scarce, ample = ConnectionShare(1, 0.5), ConnectionShare(2, 2.0)
        for share, error, is_left in (
            (scarce, EndpointError.FAILED, True),
            (scarce, EndpointError.TIMED_OUT, True),
            (scarce, EndpointError.NOT_CAUGHT_UP, False),
            (ample, EndpointError.FAILED, False),
        ):
            with self.subTest(share=share, error=error):
                self.setUp()
                self._update(share)
                chosen = self._fail_answers(error)
                self.assertEqual(self.first not in chosen, is_left)

    def test_elsewhere_the_choice_and_the_random_numbers_are_those_of_before(
        self,
    ) -> None:
        """Guards against a change of deployments where every host has a connection."""
        self._update(ConnectionShare(2, 2.0))
        position = self.rig.primary().position
        state = self.random.getstate()
        pools = [member.pool for member in self.group._members.values()]
        for pool in pools:
            pool.record_answer(10.0)
            pool.record_missed_answer(300.0)
            pool.record_failed_answer()
            pool.mark_lost()
            pool.record_answer(10.0)
        self.assertEqual(self.random.getstate(), state)
        for target in pools:
            with self.subTest(target.endpoint.endpoint):
                for _ in range(20):
                    for pool in pools:
                        pool.record_answer(10.0 if pool is target else 600.0)
                self.assertIs(self.group.choose_for_read(position, frozenset()), target)


if __name__ == "__main__":
    unittest.main()
