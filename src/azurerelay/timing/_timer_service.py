"""The timer port that every part subscribes to."""

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A pending call that can be cancelled."""

    def cancel(self) -> None:
        """Prevent the call; does nothing when it has already run."""


class TimerService(Protocol):
    """Monotonic time and deferred calls; times are in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time, unrelated to any calendar."""

    def wall_ms(self) -> int:
        """Return calendar time since the Unix epoch, for stamps only."""

    def call_later(self, delay_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback once after the delay."""

    def subscribe(self, interval_ms: float, callback: Callable[[], object]) -> Timer:
        """Run the callback at every interval until the timer is cancelled."""
