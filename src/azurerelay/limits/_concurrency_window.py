"""An adaptive limit on the number of outstanding calls to one endpoint."""

from typing import Final

# The window shrinks if latency exceeds this multiple of the baseline.
LATENCY_TOLERANCE: Final = 2.0
LATENCY_FLOOR_MS: Final = 1.0  # lower latencies count as this
# Factor at each failure; for a slow call its decrease is divided by the window size.
DECREASE_FACTOR: Final = 0.9
SMOOTHING: Final = 0.1  # weight of the newest latency in the moving average
BASELINE_DRIFT: Final = 1.001  # maximum growth of the baseline at each success


class ConcurrencyWindow:
    """Additive increase and multiplicative decrease (AIMD) of a window by latency.

    The window grows while it is saturated and latency stays near its baseline. It
    shrinks when latency exceeds the tolerance or a call fails. The baseline is the
    lowest latency, but drifts upwards slowly, so that a lasting increase in latency is
    accepted after some time.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self._maximum = max(1, maximum)
        self._size = float(min(initial, self._maximum))
        self._baseline_ms: float | None = None
        self._latency_ms: float | None = None

    @property
    def size(self) -> int:
        """The number of calls that may be outstanding; at least 1."""
        return max(1, int(self._size))

    @property
    def latency_ms(self) -> float:
        """The moving average of call latencies."""
        return self._latency_ms if self._latency_ms is not None else LATENCY_FLOOR_MS

    def set_maximum(self, maximum: int) -> None:
        """Set the upper limit of the window size."""
        self._maximum = max(1, maximum)
        self._size = min(self._size, float(self._maximum))

    def record_success(self, latency_ms: float, is_saturated: bool) -> None:
        """Adapt to the latency of a call.

        `is_saturated` states that the window was full or requests were queued; only
        then may the window grow.
        """
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
        """Shrink the window after a call that was lost or timed out."""
        self._shrink(DECREASE_FACTOR)

    def _shrink(self, factor: float) -> None:
        self._size = max(1.0, self._size * factor)
