"""Counters and histograms in plain memory."""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

# Bounds of latency histograms: from a round trip in one domain to the longest time
# that a statement may take.
LATENCY_BOUNDS_MS: Final = (
    1.0,
    2.5,
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1_000.0,
    2_500.0,
    5_000.0,
)

Labels = tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Histogram:
    """Counts by bound, with a last one for what is beyond all; sum in ms."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )
    sum_ms: float = 0.0


class Meters:
    """What a process has counted and timed since its start.

    A metrics library costs a small host a third of its start, so it is loaded with
    the first question for the metrics page and reads these figures then.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}

    @property
    def counters(self) -> dict[tuple[str, Labels], int]:
        """Counts by name and labels; read only."""
        return self._counters

    @property
    def histograms(self) -> dict[tuple[str, Labels], Histogram]:
        """Histograms by name and labels; read only."""
        return self._histograms

    def count(self, name: str, **labels: str) -> None:
        """Add one."""
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + 1

    def observe(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.counts[bisect_left(LATENCY_BOUNDS_MS, duration_ms)] += 1
        histogram.sum_ms += duration_ms
