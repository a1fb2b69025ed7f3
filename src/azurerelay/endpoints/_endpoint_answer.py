"""What an endpoint answers."""

from dataclasses import dataclass
from enum import Enum

Scalar = bool | int | float | str | None
Row = tuple[Scalar, ...]


class EndpointRole(Enum):
    """The part that an endpoint plays in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement and its parameters."""

    text: str
    parameters: tuple[Scalar, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One replicated log entry; its statements take effect together."""

    term: int
    statements: tuple[Statement, ...]


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """An endpoint's state after a call, and the call's result.

    `term` is the highest term seen, `position` the last log position, `log_term`
    the term of the entry there, and `synced_term` the term whose primary's log this
    endpoint's log is known to be a prefix of.
    """

    term: int
    position: int
    log_term: int
    synced_term: int
    role: EndpointRole
    rows: tuple[Row, ...] = ()
    transaction: int | None = None
    primary_silence_ms: float = 0.0
    entries: tuple[LogEntry, ...] = ()
