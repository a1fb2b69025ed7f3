"""Port to the clock and the timers of a process."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; without effect when it has already run."""


class TimerService(Protocol):
    """Clocks and scheduled calls; times are in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time, unrelated to the wall clock."""

    def wall_clock_ms(self) -> int:
        """Return wall-clock time since the Unix epoch, for time stamps only."""

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once, after the delay."""

    def call_every(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval until the timer is cancelled."""
