"""Requirements of a read on the endpoint that answers it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadConstraints:
    """The position that the session has seen, and the staleness bound."""

    term: int
    position: int
    max_staleness_ms: int
