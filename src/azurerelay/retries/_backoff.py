"""Exponential backoff with jitter."""

import random
from typing import Final

MAX_DOUBLINGS: Final = 6


class Backoff:
    """Draw waits with full jitter around an exponentially growing mean.

    The mean starts at `base_ms` and doubles with each retry, at most
    MAX_DOUBLINGS times.
    """

    def __init__(self, base_ms: float, random_source: random.Random) -> None:
        self._base_ms = base_ms
        self._random = random_source
        self._retry_count = 0

    @property
    def retry_count(self) -> int:
        """The number of waits returned so far."""
        return self._retry_count

    def next_ms(self) -> float:
        """Return the next wait in milliseconds."""
        ceiling_ms = 2 * self._base_ms * 2 ** min(self._retry_count, MAX_DOUBLINGS)
        self._retry_count += 1
        return self._random.uniform(0.0, ceiling_ms)
