"""What is asked of an endpoint; the types of one protocol stand together."""

from dataclasses import dataclass

from azurerelay.statements._position import Position


@dataclass(frozen=True, slots=True)
class RunText:
    """Run a caller's statement as it is, only on a log that has `after`."""

    request_id: str
    text: str
    after: Position | None = None


@dataclass(frozen=True, slots=True)
class RunPrepared:
    """Run a statement that was prepared on this connection under `name`."""

    request_id: str
    name: str
    arguments: str
    after: Position | None = None


@dataclass(frozen=True, slots=True)
class OpenTransaction:
    """Begin a transaction for the relay itself, which proves who leads."""


@dataclass(frozen=True, slots=True)
class DropTransaction:
    """Roll back whatever is open, for the relay itself."""


@dataclass(frozen=True, slots=True)
class SetSessionValue:
    """Set a value of the connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a shape on the connection under the relay's own name."""

    name: str
    shape: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Forget all values and prepared statements of the connection."""


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask for role, term and positions; this takes a slot of the endpoint."""


EndpointCommand = (
    RunText
    | RunPrepared
    | OpenTransaction
    | DropTransaction
    | SetSessionValue
    | PrepareShape
    | ResetSession
    | AskStatus
)
