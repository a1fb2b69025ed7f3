"""Replies to callers."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.statements._position import Position
from azurerelay.statements._session_state import SessionState


class CallerError(Enum):
    """Why a statement did not succeed.

    BUSY, ABORTED, NOT_CAUGHT_UP, NOT_PRIMARY and OVER_QUOTA guarantee that no write
    of the statement or of its transaction is kept.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    NOT_CAUGHT_UP = "not caught up"
    NOT_PRIMARY = "not primary"
    OVER_QUOTA = "over the quota"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    IN_DOUBT = "in doubt"
    UNKNOWN_DATABASE = "unknown database"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN_NAME = "unknown prepared statement"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class CallerReply:
    """A complete reply.

    `signature` is that of the endpoint, and empty if the entry host replied without
    one.
    """

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    error: CallerError | None = None
    error_text: str = ""
    position: Position | None = None
