"""Answers of an endpoint and the types that they consist of."""

from dataclasses import dataclass
from enum import Enum

Scalar = bool | int | float | str | None
Row = tuple[Scalar, ...]


class EndpointRole(Enum):
    """Role of an endpoint in the replication of its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Statement:
    """The text of a statement and its parameters."""

    text: str
    parameters: tuple[Scalar, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A replicated log entry, whose statements are applied atomically."""

    term: int
    statements: tuple[Statement, ...]


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """State of an endpoint after a call, and the result of the call.

    `term` is the highest term that the endpoint has seen, `position` its last log
    position and `log_term` the term of the entry there. Its log is known to be a prefix
    of the log of the primary of `synced_term`. `primary_silence_ms` is the time since a
    replica last received an answer from its primary, 0 on a primary. `entries` answers
    a `PullCall`.
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
