"""The line protocol between entry hosts and endpoints."""

from functools import singledispatch
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.statements import (
    AskStatus,
    DropTransaction,
    EndpointCommand,
    EndpointError,
    EndpointReply,
    OpenTransaction,
    Position,
    PrepareShape,
    ResetSession,
    RunPrepared,
    RunText,
    SessionState,
    SetSessionValue,
)

OWN_ID: Final = "-"  # the id of what the relay asks for itself
_STATES: Final = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
_ERRORS: Final = {
    "BUSY": EndpointError.BUSY,
    "LAGGING": EndpointError.NOT_CAUGHT_UP,
    "READONLY": EndpointError.NOT_PRIMARY,
    "NOSUCHNAME": EndpointError.UNKNOWN_NAME,
    "MISROUTED": EndpointError.WRONG_ENDPOINT,
    "TOOMANY": EndpointError.TOO_MANY_CONNECTIONS,
    "FAILED": EndpointError.FAILED,
    "TIMEOUT": EndpointError.TIMED_OUT,
}
_STATUS_RECEIVED_FIELD: Final = 2


def encode_start(endpoint: Announcement) -> str:
    """Return the first message to an endpoint, which names it and its group."""
    return f"START {endpoint.group} azurerelay {endpoint.endpoint}\r\n"


@singledispatch
def _text(command: Any) -> str:
    raise TypeError(f"no text for {type(command).__name__}")


@_text.register
def _(command: RunText) -> str:
    return f"{command.request_id} {_after(command.after)}{command.text}"


@_text.register
def _(command: RunPrepared) -> str:
    run = f"EXECUTE {command.name} {command.arguments}"
    return f"{command.request_id} {_after(command.after)}{run}"


@_text.register
def _(command: OpenTransaction) -> str:
    return f"{OWN_ID} BEGIN"


@_text.register
def _(command: DropTransaction) -> str:
    return f"{OWN_ID} ROLLBACK"


@_text.register
def _(command: SetSessionValue) -> str:
    return f"{OWN_ID} SET {command.name} {command.value}"


@_text.register
def _(command: PrepareShape) -> str:
    kind = "WRITE" if command.is_write else "READ"
    return f"{OWN_ID} PREPARE {command.name} {kind} {command.shape}"


@_text.register
def _(command: ResetSession) -> str:
    return f"{OWN_ID} RESET"


@_text.register
def _(command: AskStatus) -> str:
    return f"{OWN_ID} STATUS"


def encode_command(command: EndpointCommand) -> str:
    """Return the line of a command."""
    return f"QUERY {_text(command)}\r\n"


def parse_position(text: str) -> Position | None:
    """Return the position in `TERM.NUMBER`; None for `-` and anything else."""
    term, _, number = text.partition(".")
    if term.isdecimal() and number.isdecimal():
        return Position(int(term), int(number))
    return None


class ReplyAssembler:
    """Collect the lines of one answer."""

    def __init__(self, is_status: bool = False) -> None:
        self._is_status = is_status
        self._rows: list[str] = []
        self._signature: str | None = None
        self._error: EndpointError | None = None
        self._error_text = ""

    def feed(self, line: str) -> Result[EndpointReply | None, str]:
        """Return the answer once it is whole; an error is a broken answer."""
        word, _, rest = line.partition(" ")
        if word == "DATAROW" and not self._is_decided:
            self._rows.append(rest)
        elif word == "COMPLETE" and not self._is_decided:
            self._signature = rest
        elif word == "ERROR" and not self._is_decided:
            code, _, text = rest.partition(" ")
            self._error = _ERRORS.get(code, EndpointError.OTHER)
            self._error_text = text or code
        elif word == "READY":
            return self._finish(rest)
        else:
            return Err(f"unexpected message {word[:20]!r}")
        return Ok(None)

    @property
    def _is_decided(self) -> bool:
        return self._signature is not None or self._error is not None

    def _finish(self, rest: str) -> Result[EndpointReply | None, str]:
        word, _, position = rest.partition(" ")
        state = _STATES.get(word)
        if state is None:
            return Err(f"unknown state {word[:20]!r}")
        return Ok(
            EndpointReply(
                tuple(self._rows) if self._error is None else (),
                self._signature or "",
                self._error,
                self._error_text,
                state,
                parse_position(position),
                self._received(),
            )
        )

    def _received(self) -> Position | None:
        if not self._is_status or not self._rows:
            return None
        fields = self._rows[0].split(" ")
        if len(fields) <= _STATUS_RECEIVED_FIELD:
            return None
        return parse_position(fields[_STATUS_RECEIVED_FIELD])


def _after(position: Position | None) -> str:
    return f"AFTER {position} " if position is not None else ""
