"""A timer service whose calls stop when its owner ends."""

from collections.abc import Callable

from azurerelay.timing._timer_service import Timer, TimerService


class _InactiveTimer:
    """A timer of a closed scope, whose call never runs."""

    def cancel(self) -> None:
        """Do nothing."""


class ScopedTimerService:
    """Schedule calls on another timer service; run none after `close`."""

    def __init__(self, inner: TimerService) -> None:
        self._inner = inner
        self._is_closed = False
        self._is_paused = False
        self._deferred: list[Callable[[], object]] = []

    @property
    def is_closed(self) -> bool:
        """Whether the scope has been closed."""
        return self._is_closed

    def close(self) -> None:
        """End the scope, so that no scheduled call runs any more."""
        self._is_closed = True

    def pause(self) -> None:
        """Defer every call that becomes due, as in a process that is suspended."""
        self._is_paused = True

    def resume(self) -> None:
        """Run the deferred calls in the order in which they became due."""
        self._is_paused = False
        deferred = self._deferred
        self._deferred = []
        for callback in deferred:
            self.run(callback)

    def run(self, callback: Callable[[], object]) -> None:
        """Run a callback now, on `resume` if paused, or never if closed."""
        if self._is_closed:
            return
        if self._is_paused:
            self._deferred.append(callback)
            return
        callback()

    def now_ms(self) -> float:
        """Return the monotonic time of the inner service."""
        return self._inner.now_ms()

    def wall_clock_ms(self) -> int:
        """Return the wall-clock time of the inner service."""
        return self._inner.wall_clock_ms()

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once after the delay, unless the scope is closed by then."""
        if self._is_closed:
            return _InactiveTimer()
        return self._inner.call_later(delay_ms, lambda: self.run(callback))

    def call_every(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval, until the scope is closed."""
        if self._is_closed:
            return _InactiveTimer()
        timer = self._inner.call_every(interval_ms, lambda: run_or_cancel())

        def run_or_cancel() -> None:
            if self._is_closed:
                timer.cancel()
                return
            self.run(callback)

        return timer
