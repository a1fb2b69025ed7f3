"""How far a replica is behind its primary, in time."""

import math
from typing import Final

INITIAL_LAG_MS: Final = 30.0  # a healthy replica, until it is measured
MIN_LAG_MS: Final = 5.0
MAX_LAG_MS: Final = 10_000.0
FALL: Final = 0.3  # weight of a smaller lag, so that one good answer proves little
# Without news the estimate returns to that of a healthy replica at this pace: nobody
# asks one that seems far behind, so it would seem so for ever. A try costs one refusal.
FORGET_HALF_LIFE_MS: Final = 1_000.0


class LagEstimate:
    """Learn from answers that state a position, and from refusals to read.

    Answers replicas that apply commits late: a read that needs a young position is not
    offered to them, one that needs an old position is. Answers replicas that received
    nothing for a while as well: they are tried again.
    """

    def __init__(self) -> None:
        self._lag_ms = INITIAL_LAG_MS
        self._noted_ms = 0.0

    def lag_ms(self, now_ms: float) -> float:
        """Return how old a commit must be to be expected there, in milliseconds."""
        if self._lag_ms <= INITIAL_LAG_MS:
            return self._lag_ms
        kept = math.exp2(-(now_ms - self._noted_ms) / FORGET_HALF_LIFE_MS)
        return INITIAL_LAG_MS + kept * (self._lag_ms - INITIAL_LAG_MS)

    def note_missing(self, age_ms: float, now_ms: float) -> None:
        """Record that a commit of this age was not there."""
        lag_ms = max(self.lag_ms(now_ms), age_ms)
        self._set(min(MAX_LAG_MS, lag_ms), now_ms)

    def note_present(self, age_ms: float, now_ms: float) -> None:
        """Record that a commit of this age was there."""
        lag_ms = self.lag_ms(now_ms)
        if age_ms < lag_ms:
            lag_ms += FALL * (max(MIN_LAG_MS, age_ms) - lag_ms)
        self._set(lag_ms, now_ms)

    def _set(self, lag_ms: float, now_ms: float) -> None:
        self._lag_ms = lag_ms
        self._noted_ms = now_ms
