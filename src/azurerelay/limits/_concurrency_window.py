"""An adaptive limit on the work outstanding at one endpoint."""

from typing import Final

LATENCY_TOLERANCE: Final = 2.0
LATENCY_FLOOR_MS: Final = 1.0
DECREASE_FACTOR: Final = 0.9
SMOOTHING: Final = 0.1
BASELINE_DRIFT: Final = 1.001


class ConcurrencyWindow:
    """Grow while latency stays near its baseline, shrink when it rises or fails.

    Additive increase and multiplicative decrease on latency, with a baseline that
    drifts upwards slowly so that a lasting change becomes the new normal.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._maximum = max(1, maximum)
        self._size = float(min(initial, self._maximum))
        self._baseline_ms: float | None = None
        self._latency_ms: float | None = None

    @property
    def size(self) -> int:
        """How many calls may be outstanding."""
        return max(1, int(self._size))

    @property
    def latency_ms(self) -> float:
        """The smoothed latency of calls."""
        return self._latency_ms if self._latency_ms is not None else LATENCY_FLOOR_MS

    def set_maximum(self, maximum: int) -> None:
        """Change the upper limit."""
        self._maximum = max(1, maximum)
        self._size = min(self._size, float(self._maximum))

    def record_success(self, latency_ms: float, is_saturated: bool) -> None:
        """Adapt to the latency of a call that ended."""
        latency_ms = max(latency_ms, LATENCY_FLOOR_MS)
        baseline_ms = self._baseline_ms or latency_ms
        self._baseline_ms = min(baseline_ms * BASELINE_DRIFT, latency_ms)
        smoothed_ms = self._latency_ms or latency_ms
        self._latency_ms = smoothed_ms + SMOOTHING * (latency_ms - smoothed_ms)
        if self._latency_ms > self._baseline_ms * LATENCY_TOLERANCE:
            self._shrink(1.0 - (1.0 - DECREASE_FACTOR) / self._size)
        elif is_saturated:
            self._size = min(self._size + 1.0 / self._size, float(self._maximum))

    def record_failure(self) -> None:
        """Adapt to a call that was lost or timed out."""
        self._shrink(DECREASE_FACTOR)

    def _shrink(self, factor: float) -> None:
        self._size = max(1.0, self._size * factor)
