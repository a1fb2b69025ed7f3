"""An estimate of a replica's replication lag in milliseconds."""

import math
from typing import Final

INITIAL_LAG_MS: Final = 30.0  # a healthy replica; used until the lag is measured
MIN_LAG_MS: Final = 5.0
MAX_LAG_MS: Final = 10_000.0
# Weight of an observation below the estimate, so that a single one lowers it slowly.
DECREASE_WEIGHT: Final = 0.3
# Without observations the estimate decays to `INITIAL_LAG_MS` with this half-life. A
# replica with a large estimate gets no reads, so without the decay its estimate would
# never be corrected. An attempt that fails costs one refusal.
DECAY_HALF_LIFE_MS: Final = 1_000.0


class LagEstimate:
    """Estimates replication lag from reported positions and from refused reads.

    With the estimate, a read that requires a recent position avoids replicas that apply
    commits late, while a read that requires an old position may use them. The estimate
    decays, so a replica that received no commits for a while is tried again.
    """

    def __init__(self) -> None:
        self._lag_ms = INITIAL_LAG_MS
        self._updated_ms = 0.0

    def lag_ms(self, now_ms: float) -> float:
        """Return the age from which a commit is expected to be on the replica."""
        if self._lag_ms <= INITIAL_LAG_MS:
            return self._lag_ms
        remaining = math.exp2(-(now_ms - self._updated_ms) / DECAY_HALF_LIFE_MS)
        return INITIAL_LAG_MS + remaining * (self._lag_ms - INITIAL_LAG_MS)

    def record_missing_commit(self, age_ms: float, now_ms: float) -> None:
        """Record that the replica lacks a commit of this age."""
        lag_ms = max(self.lag_ms(now_ms), age_ms)
        self._update(min(MAX_LAG_MS, lag_ms), now_ms)

    def record_applied_commit(self, age_ms: float, now_ms: float) -> None:
        """Record that the replica has a commit of this age."""
        lag_ms = self.lag_ms(now_ms)
        if age_ms < lag_ms:
            lag_ms += DECREASE_WEIGHT * (max(MIN_LAG_MS, age_ms) - lag_ms)
        self._update(lag_ms, now_ms)

    def _update(self, lag_ms: float, now_ms: float) -> None:
        self._lag_ms = lag_ms
        self._updated_ms = now_ms
