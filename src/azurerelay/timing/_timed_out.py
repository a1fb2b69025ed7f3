"""The finding that a wait ran out."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimedOut:
    """A promise that was not resolved within its time, in milliseconds."""

    after_ms: float
