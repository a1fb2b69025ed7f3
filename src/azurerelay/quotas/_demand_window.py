"""The recent demand of one customer."""

import math
from collections import deque
from typing import Final

# The interval at which control hosts exchange counts: a shorter window would contain
# the counts of some control hosts and not of others.
SHORT_WINDOW_MS: Final = 200.0
LONG_WINDOW_MS: Final = 1_000.0
# Differences of less than two standard deviations are taken for chance.
SIGNIFICANT_DEVIATIONS: Final = 2.0
_MS_PER_S: Final = 1_000.0


class DemandWindow:
    """Estimates a customer's operations per second from counts as they arrive.

    The average of a second is steady, and a jump is followed at once: the average of
    the short window counts if it differs more than by chance.
    """

    def __init__(self) -> None:
        self._counts: deque[tuple[float, int]] = deque()

    def add(self, now_ms: float, count: int) -> None:
        """Add operations that were offered."""
        if count > 0:
            self._counts.append((now_ms, count))

    def rate_per_s(self, now_ms: float) -> float:
        """Return the estimated demand."""
        while self._counts and self._counts[0][0] <= now_ms - LONG_WINDOW_MS:
            self._counts.popleft()
        long = sum(count for _, count in self._counts)
        oldest_ms = now_ms - SHORT_WINDOW_MS
        short = 0
        for at_ms, count in reversed(self._counts):
            if at_ms <= oldest_ms:
                break
            short += count
        expected = long * SHORT_WINDOW_MS / LONG_WINDOW_MS
        chance = SIGNIFICANT_DEVIATIONS * math.sqrt(max(short, expected))
        if abs(short - expected) > chance:
            return short * _MS_PER_S / SHORT_WINDOW_MS
        return long * _MS_PER_S / LONG_WINDOW_MS
