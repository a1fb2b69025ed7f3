"""Tests for connection pools, connection shares, positions and endpoint choice."""

import random
import unittest
from typing import Any

from result import Err, Ok

from azurerelay.pooling import (
    ConnectionShare,
    EndpointPool,
    LagEstimate,
    PositionSamples,
    ReadCandidate,
    RequiredPosition,
    SessionProfile,
    choose_endpoint,
    connection_share,
    idle_timeout_ms,
)
from azurerelay.pooling._connection_share import (
    RESERVED_CONNECTIONS,
    RESERVED_FOR_CONTROL,
)
from azurerelay.statements import ConnectFailed, EndpointError, Position
from azurerelay.timing import ManualTimerService, Promise, spawn
from tests.platform_rig import FakeSession, PlatformRig


class _Connector:
    """Refuses one attempt for each entry of `refusals`, then connects."""

    def __init__(self, rig: PlatformRig, refusals: list[EndpointError | None]) -> None:
        self.rig = rig
        self.refusals = refusals
        self.attempts = 0
        self.customers: list[str] = []

    def connect(self, endpoint: Any, customer: str = "") -> Promise[Any]:
        self.attempts += 1
        self.customers.append(customer)
        if self.refusals:
            error = self.refusals.pop(0)
            return Promise.of(Err(ConnectFailed("refused", error)))
        return Promise.of(Ok(FakeSession(self.rig.primary(), "host")))


def candidate(name: str, **fields: Any) -> ReadCandidate:
    values: dict[str, Any] = {
        "name": name,
        "round_trip_ms": 1.0,
        "cross_region_penalty_ms": 0.0,
        "service_ms": 30.0,
        "pending_statements": 0,
        "has_free_slot": True,
        "position": Position(3, 10),
        "lag_ms": 30.0,
        "is_primary": False,
    }
    return ReadCandidate(**(values | fields))


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.add_group()
        self.timers: ManualTimerService = self.rig.timers

    def _pool(self, limit: int, refusals: list[EndpointError | None]) -> EndpointPool:
        self.connector = _Connector(self.rig, refusals)
        endpoint = self.rig.primary().announcement()
        share = ConnectionShare(limit, float(limit))
        random_source = random.Random(3)
        self.refused: list[ConnectFailed] = []
        return EndpointPool(
            endpoint,
            self.connector,
            self.timers,
            share,
            random_source,
            lambda failure, _: self.refused.append(failure),
        )

    def test_limit_is_respected_and_waiters_are_served_by_priority(self) -> None:
        pool = self._pool(2, [])
        promises = [pool.acquire(2, SessionProfile(), 500.0) for _ in range(3)]
        urgent = pool.acquire(0, SessionProfile(), 500.0)
        self.assertEqual([p.is_done for p in promises], [True, True, False])
        self.assertEqual(self.connector.attempts, 2)
        pool.release(promises[0].value.ok_value)
        self.assertTrue(urgent.is_done and urgent.value.is_ok())
        self.assertFalse(promises[2].is_done)
        self.timers.advance(600.0)
        self.assertTrue(promises[2].value.is_err())

    def _acquire(self, pool: EndpointPool, customer: str, **options: Any) -> Any:
        return pool.acquire(1, SessionProfile(), 500.0, customer, **options)

    def test_a_connection_serves_one_customer(self) -> None:
        """Guards against statements of one customer on a connection of another.

        An endpoint takes all statements of a connection for those of one customer.
        """
        pool = self._pool(2, [])
        first = self._acquire(pool, "a").value.ok_value
        pool.release(first)
        second = self._acquire(pool, "b").value.ok_value
        again = self._acquire(pool, "a").value.ok_value
        self.assertIs(again, first)
        self.assertEqual((first.customer, second.customer), ("a", "b"))
        self.assertEqual(self.connector.customers, ["a", "b"])

    def test_an_idle_connection_gives_way_to_another_customer(self) -> None:
        """Guards against customers that wait while connections of others idle."""
        pool = self._pool(1, [])
        first = self._acquire(pool, "a").value.ok_value
        waiting = self._acquire(pool, "b")
        self.assertFalse(waiting.is_done)
        pool.release(first)
        self.assertEqual(waiting.value.ok_value.customer, "b")
        self.assertFalse(first.is_open)
        self.assertEqual(pool.size, 1)

    def test_a_proof_uses_a_connection_of_any_customer(self) -> None:
        pool = self._pool(1, [])
        first = self._acquire(pool, "a").value.ok_value
        pool.release(first)
        proof = self._acquire(pool, "", accepts_any_customer=True)
        self.assertIs(proof.value.ok_value, first)
        self.assertEqual(self.connector.attempts, 1)

    def test_a_customer_with_many_statements_delays_others_by_one(self) -> None:
        """Load: one customer queues ten statements before the others arrive."""
        pool = self._pool(1, [])
        used = self._acquire(pool, "large").value.ok_value
        large = [self._acquire(pool, "large") for _ in range(10)]
        small = [self._acquire(pool, name) for name in ("b", "c")]
        for _ in range(3):
            pool.release(used)
            done = [p for p in (*large, *small) if p.is_done]
            used = done[-1].value.ok_value
        self.assertTrue(all(p.is_done for p in small))
        self.assertEqual(sum(p.is_done for p in large), 1)

    def test_a_later_customer_comes_after_the_first_request_of_each_other(self) -> None:
        """Guards against an order that is lost when requests time out."""
        pool = self._pool(1, [])
        used = self._acquire(pool, "x").value.ok_value
        early = []
        for _ in range(10):
            pool.acquire(1, SessionProfile(), 100.0, "a")
            early.append(self._acquire(pool, "b"))
        self.timers.advance(150.0)
        late = self._acquire(pool, "c")
        pool.release(used)
        pool.release(early[0].value.ok_value)
        self.assertEqual([p.is_done for p in (*early[:2], late)], [True, False, True])

    def test_a_customer_gets_a_place_at_a_full_endpoint(self) -> None:
        """Load: other hosts hold what this host's share would still allow.

        A customer without a connection starved behind one with an idle connection.
        """
        pool = self._pool(2, [])
        pool.release(self._acquire(pool, "a").value.ok_value)
        self.connector.refusals = [EndpointError.TOO_MANY_CONNECTIONS]
        waiting = self._acquire(pool, "b")
        self.assertFalse(pool.has_free_slot("b"))
        self.assertFalse(pool.is_usable_for("b"))
        self.assertTrue(pool.is_usable_for("a"))
        waiting = self._acquire(pool, "b")
        self.timers.advance(200.0)
        self.assertEqual(waiting.value.ok_value.customer, "b")
        self.assertFalse(pool.has_idle_connection("a"))

    def test_a_smaller_share_does_not_strand_requests(self) -> None:
        """Guards against idle connections over the limit that block new ones."""
        pool = self._pool(4, [])
        for session in [self._acquire(pool, c).value.ok_value for c in "acde"]:
            pool.release(session)
        pool.update(pool.endpoint, ConnectionShare(1, 1.0))
        self.assertEqual(self._acquire(pool, "b").value.ok_value.customer, "b")
        self.assertEqual(pool.size, 1)

    def test_a_failed_connect_tells_why_to_those_that_wait(self) -> None:
        """Whether nothing listens decides how much a suspicion counts."""
        pool = self._pool(2, [])
        failure = ConnectFailed("connection refused", is_unreachable=True)
        self.connector.connect = lambda *_: Promise.of(Err(failure))  # type: ignore
        waiting = pool.acquire(1, SessionProfile(), 500.0)
        self.assertEqual(waiting.value.err_value, failure)

    def test_requests_that_timed_out_are_not_pending(self) -> None:
        """Reads avoid endpoints with pending statements."""
        pool = self._pool(1, [])
        pool.acquire(1, SessionProfile(), 500.0)
        for _ in range(5):
            pool.acquire(1, SessionProfile(), 100.0)
        self.assertEqual(pool.pending_statements, 6)
        self.timers.advance(200.0)
        self.assertEqual(pool.pending_statements, 1)

    def test_an_endpoint_at_its_connection_limit_does_not_count_as_lost(
        self,
    ) -> None:
        pool = self._pool(2, [EndpointError.TOO_MANY_CONNECTIONS])
        first = pool.acquire(1, SessionProfile(), 500.0)
        self.assertTrue(first.value.is_err())
        self.assertEqual(pool.failing_ms, 0.0)
        self.assertEqual(len(self.refused), 1)
        self.assertFalse(pool.is_usable)  # so that reads choose another endpoint
        waiting = pool.acquire(1, SessionProfile(), 500.0)
        self.timers.advance(200.0)
        self.assertTrue(waiting.is_done and waiting.value.is_ok())

    def test_an_endpoint_that_refused_is_usable_after_a_delay(self) -> None:
        pool = self._pool(2, [None] * 3)
        self.assertTrue(pool.acquire(1, SessionProfile(), 500.0).value.is_err())
        self.assertFalse(pool.is_usable)
        self.timers.advance(150.0)
        self.assertTrue(pool.is_usable)

    def test_all_idle_connections_but_one_are_closed(self) -> None:
        pool = self._pool(3, [])
        sessions = [
            pool.acquire(1, SessionProfile(), 500.0).value.ok_value for _ in range(3)
        ]
        for session in sessions:
            pool.release(session)
        for _ in range(8):
            used = pool.acquire(1, SessionProfile(), 500.0).value.ok_value
            pool.release(used)
            pool.trim()
            self.timers.advance(1_000.0)
        self.assertEqual(pool.size, 1)
        self.assertTrue(used.is_open)

    def test_the_last_idle_connection_is_closed_if_connections_are_scarce(self) -> None:
        pool = self._pool(1, [])
        pool.update(self.rig.primary().announcement(), ConnectionShare(2, 0.7))
        for _ in range(10):
            pool.release(pool.acquire(1, SessionProfile(), 500.0).value.ok_value)
            pool.trim()
            self.assertEqual(pool.size, 1)
            self.timers.advance(500.0)
        self.timers.advance(2_000.0)
        pool.trim()
        self.assertEqual(pool.size, 0)

    def test_a_connection_with_an_open_transaction_is_closed_on_release(self) -> None:
        pool = self._pool(1, [])
        session = pool.acquire(1, SessionProfile(), 500.0).value.ok_value
        session.send(_begin())
        self.timers.advance(50.0)
        pool.release(session)
        self.assertFalse(session.is_open)

    def test_a_connection_with_large_session_values_is_closed_on_release(self) -> None:
        """The values of callers that had gone stayed in memory, with each connection."""
        pool = self._pool(1, [])
        for value, is_kept in (("x" * 100, True), ("x" * 1_000_000, False)):
            profile = SessionProfile({"a": value})
            session = pool.acquire(1, profile, 500.0).value.ok_value
            spawn(session.apply_profile(profile, None))
            self.timers.advance(50.0)
            pool.release(session)
            self.assertEqual(session.is_open, is_kept)


def _begin() -> Any:
    from azurerelay.statements import BeginTransaction

    return BeginTransaction()


class ShareTest(unittest.TestCase):
    def test_shares_of_all_hosts_add_up_to_about_the_limit(self) -> None:
        for limit, hosts in ((45, 15), (102, 20), (106, 40), (289, 106)):
            with self.subTest(limit=limit, hosts=hosts):
                for endpoint in ("e1", "e2", "e3"):
                    total = sum(
                        connection_share(limit, hosts, f"host-{n}", endpoint).limit
                        for n in range(hosts)
                    )
                    self.assertLessEqual(total, limit + hosts * 0.15)
                    self.assertGreaterEqual(total, limit * 0.75)

    def test_every_host_may_open_at_least_one_connection(self) -> None:
        self.assertEqual(connection_share(10, 145, "host", "e").limit, 1)

    def test_hosts_leave_connections_free_if_connections_are_scarce(self) -> None:
        for limit, hosts, gap_ms in (
            (106, 145, 2_000.0),
            (45, 60, 400.0),
            (20, 300, 9e3),
        ):
            with self.subTest(limit=limit, hosts=hosts, gap_ms=gap_ms):
                random_source = random.Random(5)
                share = connection_share(limit, hosts, "host", "e")
                timeout_ms = idle_timeout_ms(share, gap_ms)
                instants = 50
                held = sum(
                    random_source.expovariate(1.0 / gap_ms) < timeout_ms
                    for _ in range(hosts * instants)
                )
                available = limit - RESERVED_CONNECTIONS - RESERVED_FOR_CONTROL
                self.assertLess(held / instants, 0.8 * available)
                self.assertGreater(held / instants, 0.5 * available)

    def test_the_last_connection_is_kept_if_connections_are_not_scarce(self) -> None:
        share = connection_share(45, 15, "host", "e")
        self.assertEqual(idle_timeout_ms(share, 1_000.0), float("inf"))


class SamplesTest(unittest.TestCase):
    def test_covering_returns_the_lowest_position_within_the_bound(self) -> None:
        samples = PositionSamples()
        for at_ms in range(0, 2_000, 100):
            samples.add(float(at_ms), Position(3, at_ms), at_ms + 5.0)
        self.assertEqual(samples.covering(1_450.0), Position(3, 1_500))
        self.assertIsNone(samples.covering(1_950.0))

    def test_a_later_sample_with_a_lower_position_drops_higher_positions(self) -> None:
        samples = PositionSamples()
        for at_ms, number in ((0.0, 5), (100.0, 9), (200.0, 12)):
            samples.add(at_ms, Position(3, number), at_ms + 5.0)
        samples.add(150.0, Position(3, 8), 210.0)  # sent before the newest
        self.assertEqual(samples.newest, (200.0, Position(3, 12)))
        samples.add(300.0, Position(3, 8), 305.0)
        self.assertEqual(samples.covering(50.0), Position(3, 8))
        self.assertTrue(samples.is_rolled_back(Position(3, 9), 250.0))
        self.assertFalse(samples.is_rolled_back(Position(3, 9), 301.0))
        self.assertFalse(samples.is_rolled_back(Position(3, 8), 250.0))

    def test_a_new_term_drops_the_positions_of_the_old_term(self) -> None:
        samples = PositionSamples()
        samples.add(0.0, Position(3, 10), 1.0)
        samples.add(100.0, Position(4, 8), 101.0)
        self.assertEqual(samples.covering(0.0), Position(4, 8))
        samples.add(200.0, Position(3, 99), 201.0)
        self.assertEqual(samples.newest, (100.0, Position(4, 8)))


class LagTest(unittest.TestCase):
    def test_age_of_a_position_and_of_the_first_one_after_it(self) -> None:
        samples = PositionSamples()
        samples.add(0.0, Position(3, 10), 5.0)
        samples.add(100.0, Position(3, 12), 105.0)
        self.assertEqual(samples.age_ms(Position(3, 11), 200.0), 95.0)
        self.assertEqual(samples.first_missing_age_ms(Position(3, 10), 200.0), 95.0)
        self.assertIsNone(samples.first_missing_age_ms(Position(3, 12), 200.0))

    def test_a_lag_estimate_rises_at_once_and_falls_slowly(self) -> None:
        lag = LagEstimate()
        lag.record_missing_commit(800.0, 0.0)
        self.assertEqual(lag.lag_ms(0.0), 800.0)
        lag.record_applied_commit(20.0, 0.0)
        self.assertGreater(lag.lag_ms(0.0), 500.0)
        for _ in range(20):
            lag.record_applied_commit(20.0, 0.0)
        self.assertLess(lag.lag_ms(0.0), 25.0)

    def test_a_lag_estimate_decays_without_observations(self) -> None:
        lag = LagEstimate()
        lag.record_missing_commit(8_000.0, 0.0)
        self.assertGreater(lag.lag_ms(1_000.0), 2_500.0)
        self.assertLess(lag.lag_ms(4_000.0), 1_500.0)


class PlacementTest(unittest.TestCase):
    def test_choice_of_endpoint(self) -> None:
        far = {"round_trip_ms": 24.0, "cross_region_penalty_ms": 80.0}
        behind = {"position": Position(3, 5)}
        slow = candidate("a", service_ms=200.0)
        lagging = candidate("a", lag_ms=900.0, **behind)
        cases = [
            ("an endpoint in the same region", [candidate("a"), candidate("b", **far)], 0.0, "a"),
            ("another region if the endpoint in this region is slow",
             [slow, candidate("b", **far)], 0.0, "b"),
            ("the endpoint with fewer statements",
             [candidate("a", pending_statements=2), candidate("b")], 0.0, "b"),
            ("no lagging replica for a recent position",
             [lagging, candidate("b", **far)], 500.0, "b"),
            ("a lagging replica for an old position",
             [lagging, candidate("b", **far)], 950.0, "a"),
            ("a lagging replica that reported the position",
             [candidate("a", lag_ms=900.0), candidate("b", **far)], 0.0, "a"),
            ("a replica slightly behind rather than a busy primary",
             [candidate("a", lag_ms=30.0, **behind),
              candidate("b", is_primary=True, pending_statements=6)], 0.0, "a"),
            ("an idle primary rather than a replica slightly behind",
             [candidate("a", lag_ms=30.0, **behind), candidate("b", is_primary=True)], 0.0, "b"),
            ("a busy primary rather than a replica far behind",
             [lagging, candidate("b", is_primary=True, pending_statements=6)], 0.0, "b"),
            ("the primary, which is never behind",
             [candidate("a", is_primary=True, **behind), candidate("b", **far)], 0.0, "a"),
        ]  # fmt: skip
        for name, candidates, age_ms, expected in cases:
            with self.subTest(name):
                required = RequiredPosition(Position(3, 9), age_ms)
                chosen = choose_endpoint(candidates, required, random.Random(1))
                assert chosen is not None
                self.assertEqual(chosen.name, expected)
        none = choose_endpoint(
            [], RequiredPosition(Position(3, 9), 0.0), random.Random(1)
        )
        self.assertIsNone(none)


if __name__ == "__main__":
    unittest.main()
