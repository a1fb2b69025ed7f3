"""A timer service whose calls all end with their owner."""

from collections.abc import Callable

from azurerelay.timing._timer_service import Timer, TimerService


class _NoTimer:
    """The timer of a closed scope: nothing will run."""

    def cancel(self) -> None:
        """Do nothing."""


class ScopedTimerService:
    """Forward to another timer service until `close`; run nothing after it."""

    def __init__(self, inner: TimerService) -> None:
        self._inner = inner
        self._is_closed = False
        self._is_paused = False
        self._held: list[Callable[[], object]] = []

    @property
    def is_closed(self) -> bool:
        """Whether the owner has ended."""
        return self._is_closed

    def close(self) -> None:
        """End the scope: no queued call runs any more."""
        self._is_closed = True

    def pause(self) -> None:
        """Hold every call that falls due, as for a frozen process."""
        self._is_paused = True

    def resume(self) -> None:
        """Make the held calls, in order."""
        self._is_paused = False
        held = self._held
        self._held = []
        for callback in held:
            self.run(callback)

    def run(self, callback: Callable[[], object]) -> None:
        """Make a call now, later when paused, and never when closed."""
        if self._is_closed:
            return
        if self._is_paused:
            self._held.append(callback)
            return
        callback()

    def now_ms(self) -> float:
        """Return the monotonic time of the inner service."""
        return self._inner.now_ms()

    def wall_ms(self) -> int:
        """Return the calendar time of the inner service."""
        return self._inner.wall_ms()

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once, unless the scope is closed by then."""
        if self._is_closed:
            return _NoTimer()
        return self._inner.call_later(delay_ms, lambda: self.run(callback))

    def subscribe(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval, until the scope is closed."""
        if self._is_closed:
            return _NoTimer()
        timer = self._inner.subscribe(interval_ms, lambda: run_or_cancel())

        def run_or_cancel() -> None:
            if self._is_closed:
                timer.cancel()
                return
            self.run(callback)

        return timer
