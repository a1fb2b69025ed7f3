"""How far a replica is behind its primary, in time."""

from typing import Final

INITIAL_LAG_MS: Final = 30.0  # a healthy replica, until it is measured
MIN_LAG_MS: Final = 5.0
MAX_LAG_MS: Final = 10_000.0
RISE: Final = 1.0  # what was missing at an age may be there a moment later
FALL: Final = 0.3  # weight of a smaller lag, so that one good answer proves little


class LagEstimate:
    """Learn from answers that state a position, and from refusals to read.

    Answers replicas that apply commits late: a read that needs a young position is not
    offered to them, one that needs an old position is.
    """

    def __init__(self) -> None:
        self._lag_ms = INITIAL_LAG_MS

    @property
    def lag_ms(self) -> float:
        """How old a commit must be to be expected there, in milliseconds."""
        return self._lag_ms

    def note_missing(self, age_ms: float) -> None:
        """Record that a commit of this age was not there."""
        self._lag_ms = min(MAX_LAG_MS, max(self._lag_ms, RISE * age_ms))

    def note_present(self, age_ms: float) -> None:
        """Record that a commit of this age was there."""
        if age_ms < self._lag_ms:
            self._lag_ms += FALL * (max(MIN_LAG_MS, age_ms) - self._lag_ms)
