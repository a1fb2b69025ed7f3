"""Admission control for one endpoint: a concurrency window and a bounded queue."""

import math

from result import Err, Ok, Result

from azurerelay.limits._concurrency_window import ConcurrencyWindow
from azurerelay.limits._fair_queue import FairQueue, QueuedRequest
from azurerelay.limits._shed import Priority, Shed, ShedReason
from azurerelay.timing import Promise, TimerService

AdmissionResult = Result[None, Shed]


class AdmissionGate:
    """Admits calls up to the concurrency window, and queues further requests.

    A queued request is shed if the gate is closed, if it would not end before its
    deadline, or if the queue is full and a request with a higher priority or of a
    caller with fewer requests arrives.
    """

    def __init__(
        self, timers: TimerService, window: ConcurrencyWindow, queue_length: int
    ) -> None:
        self._timers = timers
        self._window = window
        self._queue_length = queue_length
        self._queue = FairQueue()
        self._outstanding = 0
        self._total_queue_wait_ms = 0.0
        self._is_closed = False

    @property
    def outstanding(self) -> int:
        """The number of calls that are admitted and have not ended."""
        return self._outstanding

    @property
    def queued(self) -> int:
        """The number of queued requests, including expired ones not yet removed."""
        return len(self._queue)

    @property
    def total_queue_wait_ms(self) -> float:
        """The total time that requests, admitted or shed, have spent in the queue."""
        return self._total_queue_wait_ms

    @property
    def window(self) -> ConcurrencyWindow:
        """The window that limits outstanding calls."""
        return self._window

    @property
    def is_closed(self) -> bool:
        """Whether the gate sheds all new requests."""
        return self._is_closed

    @property
    def expected_response_ms(self) -> float:
        """The expected time until a request made now has ended, queue included."""
        ahead = self._outstanding + len(self._queue) + 1
        rounds = max(1.0, ahead / self._window.size)
        return rounds * self._window.latency_ms

    def set_queue_length(self, queue_length: int) -> None:
        """Set the maximum queue length; requests in the queue stay."""
        self._queue_length = queue_length

    def admit(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Promise[AdmissionResult]:
        """Return a promise of Ok once the call may be made, or of why it is shed.

        After Ok, the caller must call `release` when the call has ended, or `cancel` if
        it is not made.
        """
        if self._is_closed:
            return Promise.of(Err(self._shed(ShedReason.CLOSED)))
        if self._outstanding < self._window.size and not len(self._queue):
            self._outstanding += 1
            return Promise.of(Ok(None))
        shed = self._make_room(priority, caller, deadline_ms)
        if shed is not None:
            return Promise.of(Err(shed))
        return self._enqueue(priority, caller, deadline_ms)

    def release(self, latency_ms: float | None) -> None:
        """End a call; a latency of None means that it was lost or timed out."""
        is_saturated = self._outstanding >= self._window.size or self.queued > 0
        self._outstanding -= 1
        if latency_ms is None:
            self._window.record_failure()
        else:
            self._window.record_success(latency_ms, is_saturated)
        self._admit_next()

    def cancel(self) -> None:
        """End an admitted call that was not made; the window does not adapt."""
        self._outstanding -= 1
        self._admit_next()

    def open(self) -> None:
        """Admit new requests again."""
        self._is_closed = False

    def close(self) -> None:
        """Shed all queued and new requests; outstanding calls continue."""
        self._is_closed = True
        for request in self._queue.drain():
            request.admission.resolve(Err(self._shed(ShedReason.CLOSED)))

    def _shed(self, reason: ShedReason) -> Shed:
        return Shed(reason, max(1, math.ceil(self.expected_response_ms)))

    def _make_room(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Shed | None:
        """Evict a request if the queue is full, or return why the new one is shed."""
        if len(self._queue) < self._queue_length:
            return None
        evicted = self._queue.evict_lower_priority(priority)
        evicted = evicted or self._queue.evict_busiest_caller(priority, caller)
        if evicted is None:
            return self._shed(ShedReason.QUEUE_FULL)
        evicted.admission.resolve(Err(self._shed(ShedReason.QUEUE_FULL)))
        return None

    def _enqueue(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Promise[AdmissionResult]:
        request = QueuedRequest(priority, caller, deadline_ms, Promise())
        self._queue.push(request)
        remaining_ms = max(0.0, deadline_ms - self._timers.now_ms())
        timer = self._timers.call_later(remaining_ms, lambda: self._expire(request))
        queued_ms = self._timers.now_ms()

        def record_wait() -> None:
            timer.cancel()
            self._total_queue_wait_ms += self._timers.now_ms() - queued_ms

        request.admission.add_callback(record_wait)
        return request.admission

    def _expire(self, request: QueuedRequest) -> None:
        request.admission.resolve(Err(self._shed(ShedReason.DEADLINE)))

    def _admit_next(self) -> None:
        while self._outstanding < self._window.size:
            request = self._queue.pop()
            if request is None:
                return
            if request.admission.is_done:
                continue
            if self._would_miss_deadline(request):
                request.admission.resolve(Err(self._shed(ShedReason.DEADLINE)))
                continue
            self._outstanding += 1
            request.admission.resolve(Ok(None))

    def _would_miss_deadline(self, request: QueuedRequest) -> bool:
        expected_end_ms = self._timers.now_ms() + self._window.latency_ms
        return expected_end_ms > request.deadline_ms
