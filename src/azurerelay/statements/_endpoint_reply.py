"""Replies of endpoints."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from azurerelay.statements._position import Position
from azurerelay.statements._session_state import SessionState


class EndpointError(Enum):
    """Why an endpoint refused or failed a command."""

    BUSY = "all slots and the queue are taken"
    NOT_CAUGHT_UP = "the log lacks the required position"
    NOT_PRIMARY = "the endpoint does not lead"
    UNKNOWN_NAME = "no such prepared statement"
    WRONG_ENDPOINT = "another endpoint or group has this address"
    TOO_MANY_CONNECTIONS = "the endpoint takes no more connections"
    FAILED = "the statement failed"
    TIMED_OUT = "the statement ran out of time"
    OTHER = "refused"


# Errors with which an endpoint guarantees that the statement has not run.
NOT_RUN_ERRORS: Final = frozenset(
    {
        EndpointError.BUSY,
        EndpointError.NOT_CAUGHT_UP,
        EndpointError.NOT_PRIMARY,
        EndpointError.UNKNOWN_NAME,
        EndpointError.WRONG_ENDPOINT,
        EndpointError.TOO_MANY_CONNECTIONS,
    }
)


@dataclass(frozen=True, slots=True)
class EndpointReply:
    """A complete reply: rows with the signature of the endpoint, or an error.

    `signature` is empty if the endpoint has run no statement of a caller.
    """

    rows: tuple[str, ...]
    signature: str
    error: EndpointError | None
    error_text: str
    state: SessionState
    position: Position | None
    received: Position | None = None
    """The end of the endpoint's log, applied or not; only in status replies."""
    term: int | None = None
    """The newest term that the endpoint knows; only in status replies."""
    is_replica: bool | None = None
    """Whether the endpoint says that it is a replica; only in status replies."""

    @property
    def is_success(self) -> bool:
        """Whether the command succeeded."""
        return self.error is None

    @property
    def has_not_run(self) -> bool:
        """Whether the error guarantees that the statement has not run."""
        return self.error in NOT_RUN_ERRORS
