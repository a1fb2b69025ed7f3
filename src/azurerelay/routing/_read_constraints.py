"""What a read demands of the endpoint that answers it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadConstraints:
    """The session's position and the staleness bound in milliseconds."""

    term: int
    position: int
    max_staleness_ms: int
