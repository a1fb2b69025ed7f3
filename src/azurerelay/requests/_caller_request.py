"""A caller's request, as entry and serving hosts pass it on."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.endpoints import Scalar


class Operation(Enum):
    """Kind of a request."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request with its constraints; times are in milliseconds.

    `timeout_ms` is the time left until the deadline when the request is handed over.
    `token_term` and `token_position` are the position in the group's log that the
    session has reached. A write that is not idempotent carries an idempotency key
    or a transaction. `is_explained` asks for the steps of the decision in the answer.
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
