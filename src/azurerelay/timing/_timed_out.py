"""Result of a wait that timed out."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimedOut:
    """A promise was not resolved within the timeout."""

    timeout_ms: float
