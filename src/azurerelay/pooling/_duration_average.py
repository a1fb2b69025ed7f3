"""A moving average of statement durations that decays while none is measured."""

import math
from typing import Final

SMOOTHING: Final = 0.2  # weight of the newest value in a moving average
INITIAL_SERVICE_MS: Final = 30.0  # a typical statement; used until one is measured
# Without new measurements the average decays to `INITIAL_SERVICE_MS` with this
# half-life, so that an endpoint that was slow is tried again.
DECAY_HALF_LIFE_MS: Final = 2_000.0


class DurationAverage:
    """The average duration of an endpoint's statements, as one host measures it."""

    def __init__(self, now_ms: float) -> None:
        self._service_ms = INITIAL_SERVICE_MS
        self._updated_ms = now_ms

    def service_ms(self, now_ms: float) -> float:
        """Return the moving average, decayed since the last measurement."""
        remaining = math.exp2(-(now_ms - self._updated_ms) / DECAY_HALF_LIFE_MS)
        return INITIAL_SERVICE_MS + remaining * (self._service_ms - INITIAL_SERVICE_MS)

    def record(self, duration_ms: float, now_ms: float) -> None:
        """Record the duration of a statement."""
        service_ms = self.service_ms(now_ms)
        self._service_ms = service_ms + SMOOTHING * (duration_ms - service_ms)
        self._updated_ms = now_ms
