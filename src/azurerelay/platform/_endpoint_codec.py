"""Codec of the line protocol between relay and endpoints."""

import re
from functools import singledispatch
from sys import getsizeof
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.statements import (
    BeginTransaction,
    EndpointCommand,
    EndpointError,
    EndpointReply,
    PauseReceiving,
    Position,
    PrepareShape,
    QueryStatus,
    ResetSession,
    ResumeReceiving,
    RollbackTransaction,
    RunPrepared,
    RunStatement,
    SessionState,
    SetSessionValue,
)

_REPLICA_ROLE: Final = "replica"
OWN_NAME: Final = "azurerelay"
RELAY_REQUEST_ID: Final = "-"  # request ID of commands that no caller sent
NO_SIGNATURE: Final = "-"
_STATES_BY_CODE: Final = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
_ERRORS_BY_CODE: Final = {
    "BUSY": EndpointError.BUSY,
    "LAGGING": EndpointError.NOT_CAUGHT_UP,
    "READONLY": EndpointError.NOT_PRIMARY,
    "NOSUCHNAME": EndpointError.UNKNOWN_NAME,
    "MISROUTED": EndpointError.WRONG_ENDPOINT,
    "TOOMANY": EndpointError.TOO_MANY_CONNECTIONS,
    "FAILED": EndpointError.FAILED,
    "TIMEOUT": EndpointError.TIMED_OUT,
}
# Larger than the replies of any statement; limits the memory that an endpoint can take.
MAX_REPLY_LENGTH: Final = 16 * 1024 * 1024  # characters
MAX_ERROR_TEXT_LENGTH: Final = 4_096  # characters; a longer text is cut
MAX_POSITION_NUMBER: Final = 2**63 - 1  # the largest signed 64-bit number
_POSITION: Final = re.compile(r"([0-9]{1,19})\.([0-9]{1,19})")
_NO_POSITION: Final = ("", "-")
_STATUS_ROLE_INDEX: Final = 0
_STATUS_TERM_INDEX: Final = 1  # the newest term in a status row
_STATUS_RECEIVED_INDEX: Final = 2  # the last received position in a status row


def encode_session_start(endpoint: Announcement, customer: str = "") -> str:
    """Return the first line to an endpoint.

    It names the group, the customer and the endpoint. The system's own connections, and
    those of callers without a customer, carry the system's name.
    """
    return f"START {endpoint.group} {customer or OWN_NAME} {endpoint.endpoint}\r\n"


@singledispatch
def _query_text(command: Any) -> str:
    raise TypeError(f"unknown endpoint command: {type(command).__name__}")


@_query_text.register
def _(command: RunStatement) -> str:
    return f"{command.request_id} {_after_clause(command.after)}{command.text}"


@_query_text.register
def _(command: RunPrepared) -> str:
    statement = f"EXECUTE {command.name} {command.arguments}"
    return f"{command.request_id} {_after_clause(command.after)}{statement}"


@_query_text.register
def _(command: BeginTransaction) -> str:
    return f"{RELAY_REQUEST_ID} BEGIN"


@_query_text.register
def _(command: RollbackTransaction) -> str:
    return f"{RELAY_REQUEST_ID} ROLLBACK"


@_query_text.register
def _(command: SetSessionValue) -> str:
    return f"{RELAY_REQUEST_ID} SET {command.name} {command.value}"


@_query_text.register
def _(command: PrepareShape) -> str:
    kind = "WRITE" if command.is_write else "READ"
    return f"{RELAY_REQUEST_ID} PREPARE {command.name} {kind} {command.shape}"


@_query_text.register
def _(command: ResetSession) -> str:
    return f"{RELAY_REQUEST_ID} RESET"


@_query_text.register
def _(command: QueryStatus) -> str:
    return f"{RELAY_REQUEST_ID} STATUS"


@_query_text.register
def _(command: PauseReceiving) -> str:
    return f"{RELAY_REQUEST_ID} PAUSE {command.term}"


@_query_text.register
def _(command: ResumeReceiving) -> str:
    return f"{RELAY_REQUEST_ID} RESUME"


def encode_command(command: EndpointCommand) -> str:
    """Encode a command as one line."""
    return f"QUERY {_query_text(command)}\r\n"


def parse_position(text: str) -> Position | None:
    """Parse `TERM.NUMBER`; return None for `-` and any other text.

    Control hosts pass positions on in messages, which hold no larger numbers.
    """
    match = _POSITION.fullmatch(text)
    if match is None:
        return None
    position = Position(int(match[1]), int(match[2]))
    return position if max(position) <= MAX_POSITION_NUMBER else None


def _parse_term(text: str) -> int | None:
    """Parse the term of a status row; return None for any text that is none."""
    position = parse_position(f"{text}.0")
    return position.term if position else None


class ReplyAssembler:
    """Assemble the lines of one reply."""

    def __init__(self, is_status: bool = False, is_session_start: bool = False) -> None:
        self._is_status = is_status
        self._is_session_start = is_session_start
        self._rows: list[str] = []
        self._signature: str | None = None
        self._error: EndpointError | None = None
        self._error_text = ""
        self._length = 0
        self._size = 0

    @property
    def size(self) -> int:
        """About how many bytes the rows take so far."""
        return self._size

    def feed(self, line: str) -> Result[EndpointReply | None, str]:
        """Add a line; return the reply if the line completes it, otherwise None.

        The error is a violation of the protocol.
        """
        self._length += len(line)
        if self._length > MAX_REPLY_LENGTH:
            return Err(f"a reply of more than {MAX_REPLY_LENGTH} characters")
        word, _, rest = line.partition(" ")
        if word == "DATAROW" and not self._has_outcome:
            self._rows.append(rest)
            self._size += getsizeof(rest)
        elif word == "COMPLETE" and not self._has_outcome:
            self._signature = "" if rest == NO_SIGNATURE else rest
        elif word == "ERROR" and not self._has_outcome:
            code, _, text = rest.partition(" ")
            self._error = _ERRORS_BY_CODE.get(code, EndpointError.OTHER)
            self._error_text = (text or code)[:MAX_ERROR_TEXT_LENGTH]
        elif word == "READY" and (self._has_outcome or self._is_session_start):
            return self._build_reply(rest)
        else:
            return Err(f"unexpected message {word[:20]!r}")
        return Ok(None)

    @property
    def _has_outcome(self) -> bool:
        return self._signature is not None or self._error is not None

    def _build_reply(self, rest: str) -> Result[EndpointReply | None, str]:
        word, _, position_text = rest.partition(" ")
        state = _STATES_BY_CODE.get(word)
        if state is None:
            return Err(f"unknown state {word[:20]!r}")
        position = parse_position(position_text)
        if position is None and position_text not in _NO_POSITION:
            return Err(f"unreadable position {position_text[:40]!r}")
        role = self._status_field(_STATUS_ROLE_INDEX)
        return Ok(
            EndpointReply(
                tuple(self._rows) if self._error is None else (),
                self._signature or "",
                self._error,
                self._error_text,
                state,
                position,
                parse_position(self._status_field(_STATUS_RECEIVED_INDEX)),
                _parse_term(self._status_field(_STATUS_TERM_INDEX)),
                role == _REPLICA_ROLE if role else None,
            )
        )

    def _status_field(self, index: int) -> str:
        """Return a field of a status row, or "" if there is none."""
        if not self._is_status or not self._rows or self._error is not None:
            return ""
        fields = self._rows[0].split(" ")
        return fields[index] if index < len(fields) else ""


def _after_clause(position: Position | None) -> str:
    return f"AFTER {position} " if position is not None else ""
