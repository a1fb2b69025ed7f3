"""Samples of the primary's position over time."""

from bisect import bisect_right
from typing import Final

MAX_SAMPLES: Final = 2_048  # if exceeded, the older half is dropped


class SampleHistory:
    """Bounds the staleness of a position by the time since the primary was at it.

    A sample with time t states that every entry that existed at t is at or below its
    position, so the state of a replica at that position is no older than t.
    """

    def __init__(self) -> None:
        self._positions: list[int] = []
        self._times_ms: list[float] = []

    @property
    def newest_ms(self) -> float | None:
        """The time of the newest sample; None without samples."""
        return self._times_ms[-1] if self._times_ms else None

    def add(self, sent_ms: float, position: int) -> None:
        """Record that the primary answered a call sent at `sent_ms` with a position.

        A sample that is older than the newest one, or below it, is ignored. One at the
        same position moves the time of the newest sample forward.
        """
        if self._positions and position <= self._positions[-1]:
            if position == self._positions[-1]:
                self._times_ms[-1] = max(self._times_ms[-1], sent_ms)
            return
        if self._times_ms and sent_ms < self._times_ms[-1]:
            return
        self._positions.append(position)
        self._times_ms.append(sent_ms)
        if len(self._positions) > MAX_SAMPLES:
            del self._positions[: MAX_SAMPLES // 2]
            del self._times_ms[: MAX_SAMPLES // 2]

    def staleness_ms(self, position: int, now_ms: float) -> float | None:
        """Return an upper bound on the staleness of a position; None if unknown."""
        found = bisect_right(self._positions, position)
        if found == 0:
            return None
        return max(0.0, now_ms - self._times_ms[found - 1])

    def clear(self) -> None:
        """Drop all samples."""
        self._positions.clear()
        self._times_ms.clear()
