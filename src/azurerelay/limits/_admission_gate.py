"""Admission to one endpoint: a window and a bounded fair queue."""

import math

from result import Err, Ok, Result

from azurerelay.limits._concurrency_window import ConcurrencyWindow
from azurerelay.limits._fair_queue import FairQueue, QueuedRequest
from azurerelay.limits._shed import Priority, Shed, ShedReason
from azurerelay.timing import Promise, TimerService

AdmissionResult = Result[None, Shed]


class AdmissionGate:
    """Admit calls up to the window; queue the rest; shed what cannot be in time."""

    def __init__(
        self, timers: TimerService, window: ConcurrencyWindow, queue_length: int
    ) -> None:
        self._timers = timers
        self._window = window
        self._queue_length = queue_length
        self._queue = FairQueue()
        self._outstanding = 0
        self._waited_ms = 0.0
        self._is_closed = False

    @property
    def outstanding(self) -> int:
        """Calls admitted and not yet ended."""
        return self._outstanding

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._queue)

    @property
    def waited_ms(self) -> float:
        """The time that all calls so far have spent in the queue together."""
        return self._waited_ms

    @property
    def window(self) -> ConcurrencyWindow:
        """The concurrency window."""
        return self._window

    @property
    def is_closed(self) -> bool:
        """Whether no new work is admitted."""
        return self._is_closed

    @property
    def expected_wait_ms(self) -> float:
        """How long a call made now would take at the measured rate."""
        ahead = self._outstanding + len(self._queue) + 1
        rounds = max(1.0, ahead / self._window.size)
        return rounds * self._window.latency_ms

    def set_queue_length(self, queue_length: int) -> None:
        """Change the bound of the queue for new requests."""
        self._queue_length = queue_length

    def admit(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Promise[AdmissionResult]:
        """Return Ok when the call may be made; `release` must follow it."""
        if self._is_closed:
            return Promise.of(Err(self._shed(ShedReason.CLOSED)))
        if self._outstanding < self._window.size and not len(self._queue):
            self._outstanding += 1
            return Promise.of(Ok(None))
        shed = self._refusal(priority, caller, deadline_ms)
        if shed is not None:
            return Promise.of(Err(shed))
        return self._enqueue(priority, caller, deadline_ms)

    def release(self, latency_ms: float | None) -> None:
        """End a call; None tells that it was lost or timed out."""
        is_saturated = self._outstanding >= self._window.size or self.queued > 0
        self._outstanding -= 1
        if latency_ms is None:
            self._window.record_failure()
        else:
            self._window.record_success(latency_ms, is_saturated)
        self._admit_next()

    def cancel(self) -> None:
        """End a call that was never made."""
        self._outstanding -= 1
        self._admit_next()

    def open(self) -> None:
        """Admit new work again."""
        self._is_closed = False

    def close(self) -> None:
        """Shed all queued work and admit none; outstanding calls go on."""
        self._is_closed = True
        for request in self._queue.drain():
            request.admission.resolve(Err(self._shed(ShedReason.CLOSED)))

    def _shed(self, reason: ShedReason) -> Shed:
        return Shed(reason, max(1, math.ceil(self.expected_wait_ms)))

    def _refusal(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Shed | None:
        if len(self._queue) < self._queue_length:
            return None
        victim = self._queue.evict_below(priority)
        victim = victim or self._queue.evict_heavier(priority, caller)
        if victim is None:
            return self._shed(ShedReason.QUEUE_FULL)
        victim.admission.resolve(Err(self._shed(ShedReason.QUEUE_FULL)))
        return None

    def _enqueue(
        self, priority: Priority, caller: str, deadline_ms: float
    ) -> Promise[AdmissionResult]:
        request = QueuedRequest(priority, caller, deadline_ms, Promise())
        self._queue.push(request)
        remaining_ms = max(0.0, deadline_ms - self._timers.now_ms())
        timer = self._timers.call_later(remaining_ms, lambda: self._expire(request))
        queued_ms = self._timers.now_ms()

        def leave() -> None:
            timer.cancel()
            self._waited_ms += self._timers.now_ms() - queued_ms

        request.admission.add_callback(leave)
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
            if self._is_too_late(request):
                request.admission.resolve(Err(self._shed(ShedReason.DEADLINE)))
                continue
            self._outstanding += 1
            request.admission.resolve(Ok(None))

    def _is_too_late(self, request: QueuedRequest) -> bool:
        expected_end_ms = self._timers.now_ms() + self._window.latency_ms
        return expected_end_ms > request.deadline_ms
