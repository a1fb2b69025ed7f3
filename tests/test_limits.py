import random
import unittest

from hypothesis import given, settings
from hypothesis.strategies import integers, lists, sampled_from
from result import Err, Ok

from azurerelay.endpoints import EndpointFailure, FailureKind
from azurerelay.limits import (
    AdmissionGate,
    ConcurrencyWindow,
    ConnectionPool,
    Priority,
    ShedReason,
    serving_host_share,
)
from azurerelay.retries import Backoff, RetryBudget
from azurerelay.timing import ManualTimerService, Promise, spawn


class _Connection:
    def __init__(self) -> None:
        self.is_open = True
        self.is_closed = False

    def close(self) -> None:
        self.is_open = False
        self.is_closed = True


class _Port:
    """Opens connections at once, later, or never."""

    def __init__(self) -> None:
        self.opened: list[_Connection] = []
        self.failure: EndpointFailure | None = None
        self.waiting: list[Promise] = []
        self.is_slow = False

    def connect(self, address: str, timeout_ms: float) -> Promise:
        if self.failure is not None:
            return Promise.of(Err(self.failure))
        promise = Promise()
        self.waiting.append(promise)
        if not self.is_slow:
            self.finish()
        return promise

    def finish(self) -> None:
        for promise in self.waiting:
            connection = _Connection()
            self.opened.append(connection)
            promise.resolve(Ok(connection))
        self.waiting = []


def _gate(
    size: int = 2, queue_length: int = 4
) -> tuple[AdmissionGate, ManualTimerService]:
    timers = ManualTimerService()
    return AdmissionGate(timers, ConcurrencyWindow(size, size), queue_length), timers


class AdmissionGateTest(unittest.TestCase):
    def test_higher_priorities_go_first_and_callers_take_turns(self) -> None:
        gate, _ = _gate(size=1, queue_length=10)
        gate.admit(Priority.WRITE, "x", 1e6)
        order: list[str] = []
        queued = (
            ("busy", 2),
            ("busy", 2),
            ("busy", 2),
            ("light", 2),
            ("writer", 1),
        )
        for caller, priority in queued:
            admission = gate.admit(Priority(priority), caller, 1e6)
            admission.add_callback(lambda caller=caller: order.append(caller))
        for _ in queued:
            gate.release(1.0)
        self.assertEqual(order, ["writer", "busy", "light", "busy", "busy"])

    def test_a_full_queue_sheds_the_lowest_priority_first(self) -> None:
        gate, _ = _gate(size=1, queue_length=2)
        gate.admit(Priority.WRITE, "a", 1e6)
        stale = gate.admit(Priority.STALE_READ, "a", 1e6)
        session = gate.admit(Priority.SESSION_READ, "a", 1e6)
        write = gate.admit(Priority.WRITE, "a", 1e6)
        self.assertIs(stale.value.err_value.reason, ShedReason.QUEUE_FULL)
        self.assertFalse(session.is_done)
        self.assertFalse(write.is_done)
        last = gate.admit(Priority.STALE_READ, "a", 1e6)
        self.assertGreater(last.value.err_value.retry_after_ms, 0)

    def test_a_full_queue_sheds_the_caller_with_the_most_requests(self) -> None:
        gate, _ = _gate(size=1, queue_length=3)
        gate.admit(Priority.WRITE, "x", 1e6)
        busy = [gate.admit(Priority.WRITE, "busy", 1e6) for _ in range(3)]
        light = gate.admit(Priority.WRITE, "light", 1e6)
        self.assertFalse(light.is_done)
        self.assertTrue(busy[-1].value.is_err())

    def test_a_queued_request_is_shed_at_its_deadline(self) -> None:
        gate, timers = _gate(size=1)
        gate.admit(Priority.WRITE, "x", 1e6)
        queued = gate.admit(Priority.WRITE, "a", 50.0)
        timers.advance(60)
        self.assertIs(queued.value.err_value.reason, ShedReason.DEADLINE)

    def test_a_closed_gate_sheds_queued_requests_and_admits_none(self) -> None:
        gate, _ = _gate(size=1)
        gate.admit(Priority.WRITE, "x", 1e6)
        queued = gate.admit(Priority.WRITE, "a", 1e6)
        gate.close()
        self.assertIs(queued.value.err_value.reason, ShedReason.CLOSED)
        self.assertTrue(gate.admit(Priority.WRITE, "a", 1e6).value.is_err())

    @settings(derandomize=True, database=None, max_examples=200)
    @given(lists(sampled_from(("admit", "release", "lose", "cancel")), max_size=80))
    def test_outstanding_work_never_exceeds_the_window(self, steps: list[str]) -> None:
        gate, _ = _gate(size=3, queue_length=5)
        for number, step in enumerate(steps):
            if step == "admit":
                gate.admit(Priority.WRITE, f"c{number % 3}", 1e6)
            elif gate.outstanding:
                if step == "cancel":
                    gate.cancel()
                else:
                    gate.release(1.0 if step == "release" else None)
            self.assertLessEqual(gate.outstanding, 3)
            self.assertLessEqual(gate.queued, 5)
            self.assertTrue(gate.outstanding >= gate.window.size or not gate.queued)


class ConcurrencyWindowTest(unittest.TestCase):
    def test_the_window_shrinks_if_latency_rises_and_grows_back(self) -> None:
        window = ConcurrencyWindow(8, 8)
        for _ in range(20):
            window.record_success(2.0, is_saturated=True)
        for _ in range(200):
            window.record_success(40.0, is_saturated=True)
        self.assertLess(window.size, 4)
        for _ in range(500):
            window.record_success(2.0, is_saturated=True)
        self.assertEqual(window.size, 8)

    def test_the_window_never_shrinks_below_one(self) -> None:
        window = ConcurrencyWindow(8, 8)
        for _ in range(100):
            window.record_failure()
        self.assertEqual(window.size, 1)


class ConnectionPoolTest(unittest.TestCase):
    def _pool(
        self, capacity: int = 2
    ) -> tuple[ConnectionPool, _Port, ManualTimerService]:
        timers, port = ManualTimerService(), _Port()
        return ConnectionPool(port, timers, "a", capacity), port, timers

    def test_a_connection_put_back_as_not_clean_is_closed_and_not_reused(self) -> None:
        pool, port, _ = self._pool(capacity=1)
        first = spawn(pool.acquire(100)).value.ok_value
        pool.put_back(first, is_clean=False)
        self.assertTrue(first.is_closed)
        second = spawn(pool.acquire(100)).value.ok_value
        self.assertIsNot(first, second)

    def test_the_capacity_is_never_exceeded(self) -> None:
        pool, port, _ = self._pool(capacity=2)
        waiting = [spawn(pool.acquire(1_000)) for _ in range(5)]
        self.assertEqual(len(port.opened), 2)
        pool.put_back(waiting[0].value.ok_value, is_clean=True)
        self.assertTrue(waiting[2].is_done)
        self.assertEqual(len(port.opened), 2)

    def test_a_refused_connection_fails_the_request_and_frees_capacity(self) -> None:
        pool, port, _ = self._pool()
        port.failure = EndpointFailure(FailureKind.REFUSED_LIMIT, "full")
        outcome = spawn(pool.acquire(100))
        self.assertIs(outcome.value.err_value.kind, FailureKind.REFUSED_LIMIT)
        self.assertEqual(pool.open_count, 0)

    def test_a_connection_that_opens_after_the_request_timed_out_is_kept(self) -> None:
        pool, port, timers = self._pool()
        port.is_slow = True
        outcome = spawn(pool.acquire(100))
        timers.advance(200)
        self.assertTrue(outcome.value.is_err())
        port.finish()
        self.assertEqual(pool.idle_count, 1)

    def test_a_closed_pool_closes_all_connections(self) -> None:
        pool, port, _ = self._pool()
        port.is_slow = True
        spawn(pool.acquire(100))
        pool.close()
        port.finish()
        self.assertTrue(all(connection.is_closed for connection in port.opened))
        self.assertEqual(pool.open_count, 0)

    @settings(derandomize=True, database=None, max_examples=300)
    @given(integers(1, 500), integers(1, 100), integers(1, 9))
    def test_shares_of_two_serving_sets_stay_within_the_limit(
        self, limit: int, percent: int, size: int
    ) -> None:
        share = serving_host_share(limit, percent, size)
        if limit >= 2 * size:
            self.assertLessEqual(share * 2 * size, max(limit, 2 * size))
        self.assertGreaterEqual(share, 1)


class RetriesTest(unittest.TestCase):
    def test_retries_stay_within_a_percentage_of_successes(self) -> None:
        budget = RetryBudget(10)
        for _ in range(1_000):
            budget.record_success()
            budget.try_spend()
        self.assertLessEqual(budget.granted, 5 + 100)
        self.assertGreaterEqual(budget.granted, 100)

    def test_the_upper_bound_of_backoff_waits_doubles(self) -> None:
        backoff = Backoff(10, random.Random(1))
        waits = [backoff.next_ms() for _ in range(4)]
        for number, wait in enumerate(waits):
            self.assertLessEqual(wait, 20 * 2**number)
