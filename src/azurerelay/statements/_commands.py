"""Commands to endpoints, in one module because they form one protocol."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.statements._position import Position


class TransactionEffect(Enum):
    """What a statement that succeeds does to the transaction of its session."""

    NONE = "none"
    BEGINS = "begins"
    ENDS = "ends"


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Open the session; the first command of every connection."""


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Run a caller's statement unchanged.

    With `after`, the endpoint refuses it unless its log has reached that position.
    """

    request_id: str
    text: str
    after: Position | None = None
    effect: TransactionEffect = TransactionEffect.NONE


@dataclass(frozen=True, slots=True)
class RunPrepared:
    """Run the statement that is prepared on this connection under `name`.

    With `after`, the endpoint refuses it unless its log has reached that position.
    """

    request_id: str
    name: str
    arguments: str
    after: Position | None = None


@dataclass(frozen=True, slots=True)
class BeginTransaction:
    """Begin a read-write transaction on behalf of the host itself.

    Only the primary accepts it, so a success proves that the endpoint is the primary.
    """


@dataclass(frozen=True, slots=True)
class RollbackTransaction:
    """Roll back any open transaction, on behalf of the host itself."""


@dataclass(frozen=True, slots=True)
class SetSessionValue:
    """Set a session value on the connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a statement on the connection, under a name that the host assigns.

    `shape` is the protocol's term for the text of the statement without arguments.
    """

    name: str
    shape: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Clear all session values and prepared statements of the connection."""


@dataclass(frozen=True, slots=True)
class QueryStatus:
    """Query role, term and log positions; this occupies a slot of the endpoint."""


@dataclass(frozen=True, slots=True)
class PauseReceiving:
    """Stop a replica from receiving commits, and query its status.

    It takes effect if `term` is above the newest term, and lasts until the replica is
    resumed or restarted, or an endpoint of its group is promoted.
    """

    term: int


@dataclass(frozen=True, slots=True)
class ResumeReceiving:
    """Let a paused replica receive commits again, and query its status."""


StatusCommand = QueryStatus | PauseReceiving | ResumeReceiving

EndpointCommand = (
    RunStatement
    | RunPrepared
    | BeginTransaction
    | RollbackTransaction
    | SetSessionValue
    | PrepareShape
    | ResetSession
    | StatusCommand
)
