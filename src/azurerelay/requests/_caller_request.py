"""One request of a caller."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.endpoints import Scalar


class Operation(Enum):
    """What a caller asks for."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request with its constraints; times are in milliseconds.

    `token_term` and `token_position` are the session's position in the group. A
    write that is not idempotent carries an idempotency key or a transaction.
    `timeout_ms` is what remains of the deadline when the request is passed on.
    """

    operation: Operation
    group: str
    timeout_ms: float
    caller: str = ""
    statement: str = ""
    parameters: tuple[Scalar, ...] = ()
    is_idempotent: bool = False
    idempotency_key: str | None = None
    transaction: str | None = None
    token_term: int = 0
    token_position: int = 0
    max_staleness_ms: int | None = None
    is_explained: bool = False
