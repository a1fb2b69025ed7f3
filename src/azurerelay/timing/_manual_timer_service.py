"""A timer service whose clock is advanced by hand, for tests and simulations."""

import heapq
import itertools
from collections.abc import Callable
from typing import Final

START_WALL_MS: Final = 1_700_000_000_000


class _ManualTimer:
    """A scheduled call of the manual timer service."""

    __slots__ = ("callback", "interval_ms", "is_cancelled")

    def __init__(
        self, callback: Callable[[], object], interval_ms: float | None
    ) -> None:
        self.callback = callback
        self.interval_ms = interval_ms
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_cancelled = True


class ManualTimerService:
    """Implement `TimerService` on simulated time.

    Calls that are due at the same time run in the order in which they were scheduled.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._queue: list[tuple[float, int, _ManualTimer]] = []
        self._sequence = itertools.count()

    def now_ms(self) -> float:
        """Return the simulated time."""
        return self._now_ms

    def wall_clock_ms(self) -> int:
        """Return a wall-clock time that advances with the simulated time."""
        return START_WALL_MS + int(self._now_ms)

    def call_later(
        self, delay_ms: float, callback: Callable[[], object]
    ) -> _ManualTimer:
        """Schedule one call."""
        return self._schedule(delay_ms, _ManualTimer(callback, None))

    def call_every(
        self, interval_ms: float, callback: Callable[[], object]
    ) -> _ManualTimer:
        """Schedule a call at every interval."""
        return self._schedule(interval_ms, _ManualTimer(callback, interval_ms))

    def advance(self, duration_ms: float) -> None:
        """Advance the time and run every call that becomes due meanwhile."""
        end_ms = self._now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self._run_next()
        self._now_ms = end_ms

    def advance_until(self, is_met: Callable[[], bool], timeout_ms: float) -> bool:
        """Advance until the condition holds; return False if it does not in time."""
        end_ms = self._now_ms + timeout_ms
        while not is_met():
            if not self._queue or self._queue[0][0] > end_ms:
                self._now_ms = end_ms
                return is_met()
            self._run_next()
        return True

    def _schedule(self, delay_ms: float, timer: _ManualTimer) -> _ManualTimer:
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._queue, (due_ms, next(self._sequence), timer))
        return timer

    def _run_next(self) -> None:
        due_ms, _, timer = heapq.heappop(self._queue)
        self._now_ms = due_ms
        if timer.is_cancelled:
            return
        if timer.interval_ms is not None:
            self._schedule(timer.interval_ms, timer)
        timer.callback()
