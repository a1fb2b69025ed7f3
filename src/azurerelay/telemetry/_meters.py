"""Counters and latency histograms, kept in memory."""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

# Upper bounds of the histogram buckets. They range from a round trip within a failure
# domain to the longest time that a statement may take.
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
    """Observations counted per bucket of `LATENCY_BOUNDS_MS`, and their sum.

    The last count is of the observations above the highest bound.
    """

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )
    sum_ms: float = 0.0


class Meters:
    """Counters and histograms of a process since its start.

    Importing a metrics library takes a third of the start-up cost of a small host. It
    is therefore imported at the first request for the metrics page, which reads these
    values.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}

    @property
    def counters(self) -> dict[tuple[str, Labels], int]:
        """Counters by name and labels; read only."""
        return self._counters

    @property
    def histograms(self) -> dict[tuple[str, Labels], Histogram]:
        """Histograms by name and labels; read only."""
        return self._histograms

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter by one."""
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + 1

    def observe(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a latency histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.counts[bisect_left(LATENCY_BOUNDS_MS, duration_ms)] += 1
        histogram.sum_ms += duration_ms
