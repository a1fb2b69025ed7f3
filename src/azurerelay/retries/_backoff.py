"""Waits between tries."""

import random
from typing import Final

MAX_DOUBLINGS: Final = 6


class Backoff:
    """Double the mean wait with each try, with full jitter."""

    def __init__(self, base_ms: float, random_source: random.Random) -> None:
        self._base_ms = base_ms
        self._random = random_source
        self._tries = 0

    @property
    def tries(self) -> int:
        """How many waits have been drawn."""
        return self._tries

    def next_ms(self) -> float:
        """Return the next wait in milliseconds."""
        ceiling_ms = 2 * self._base_ms * 2 ** min(self._tries, MAX_DOUBLINGS)
        self._tries += 1
        return self._random.uniform(0.0, ceiling_ms)
