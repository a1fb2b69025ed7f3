"""Codec of the line protocol between callers and entry hosts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from azurerelay.discovery import MAX_NAME_LENGTH
from azurerelay.statements import (
    Begin,
    CallerError,
    CallerReply,
    Commit,
    Deallocate,
    Execute,
    Position,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Write,
)

_STATE_CODES: Final = {
    SessionState.IDLE: "I",
    SessionState.IN_TRANSACTION: "T",
    SessionState.FAILED: "E",
}
# BUSY, ABORTED, LAGGING, READONLY and TOOMANY guarantee that the attempt has had no
# effect.
_ERROR_CODES: Final = {
    CallerError.BUSY: "BUSY",
    CallerError.ABORTED: "ABORTED",
    CallerError.NOT_CAUGHT_UP: "LAGGING",
    CallerError.NOT_PRIMARY: "READONLY",
    CallerError.OVER_QUOTA: "TOOMANY",
    CallerError.FAILED: "FAILED",
    CallerError.TIMED_OUT: "TIMEOUT",
    CallerError.IN_DOUBT: "INDOUBT",
    CallerError.UNKNOWN_DATABASE: "NODATABASE",
    CallerError.UNKNOWN_KEY: "UNKNOWNKEY",
    CallerError.UNKNOWN_NAME: "NOSUCHNAME",
    CallerError.MALFORMED: "MALFORMED",
}
# Stands for the signature in replies that the entry host gives without an endpoint. It
# is reserved as a request ID, because entry hosts use it for their own commands.
_NO_ENDPOINT: Final = "-"
# No route has a longer name, and request IDs go into log lines.
MAX_DATABASE_LENGTH: Final = MAX_NAME_LENGTH
# No customer has a longer key, so a longer one stays unknown when it is cut.
MAX_KEY_LENGTH: Final = MAX_NAME_LENGTH + 1
MAX_REQUEST_ID_LENGTH: Final = 256  # characters
MAX_ERROR_LENGTH: Final = 4_096  # characters
MAX_PART_LENGTH: Final = 64 * 1024  # characters
LINE_TOO_LONG_ERROR: Final = "ERROR TOOLONG the message is too long\r\n"


@dataclass(frozen=True, slots=True)
class OpenSession:
    """The first message of a caller, which names the database.

    `key` identifies the caller's customer; it is empty if the caller sends none, and
    left out of the representation, since it must not get into logs.
    """

    database: str
    key: str = field(default="", repr=False)


@dataclass(frozen=True, slots=True)
class EndSession:
    """The last message of a caller."""


@dataclass(frozen=True, slots=True)
class MalformedStatement:
    """A statement that cannot be parsed; the session stays open."""

    request_id: str
    reason: str


CallerMessage = OpenSession | EndSession | Statement | MalformedStatement


def decode_caller_line(line: str) -> Result[CallerMessage, str]:
    """Decode a message; after an error, the connection must be closed."""
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        request_id, _, text = rest.partition(" ")
        if not request_id or request_id == _NO_ENDPOINT:
            return Err("a statement needs an id")
        if len(request_id) > MAX_REQUEST_ID_LENGTH:
            return Err(f"an id has at most {MAX_REQUEST_ID_LENGTH} characters")
        parsed = _parse_statement(request_id, text)
        if isinstance(parsed, Err):
            return Ok(MalformedStatement(request_id, parsed.err_value))
        return Ok(parsed.ok_value)
    if word == "START" and rest:
        database, _, key = rest.partition(" ")
        if not 0 < len(database) <= MAX_DATABASE_LENGTH:
            return Err(f"a database has 1 to {MAX_DATABASE_LENGTH} characters")
        return Ok(OpenSession(database, key[:MAX_KEY_LENGTH]))
    if word == "TERMINATE" and not rest:
        return Ok(EndSession())
    return Err(f"unknown message {word[:20]!r}")


def encode_ready_line(state: SessionState, position: Position | None) -> str:
    """Return the line that ends a reply, with session state and log position."""
    return f"READY {_STATE_CODES[state]} {position or '-'}\r\n"


def encode_error_line(error: CallerError, text: str) -> str:
    """Return an error line; an empty text defaults to the name of the error.

    A long text is cut: it may hold a name as long as a message may be.
    """
    return f"ERROR {_ERROR_CODES[error]} {text[:MAX_ERROR_LENGTH] or error.value}\r\n"


def encode_caller_reply(reply: CallerReply) -> str:
    """Return all lines of a reply."""
    return "".join(encode_caller_reply_parts(reply))


def encode_caller_reply_parts(reply: CallerReply) -> Iterator[str]:
    """Return all lines of a reply, in parts of about `MAX_PART_LENGTH` characters.

    A large reply is sent part by part, without a copy of the whole.
    """
    ready = encode_ready_line(reply.state, reply.position)
    if reply.error is not None:
        yield encode_error_line(reply.error, reply.error_text) + ready
        return
    lines: list[str] = []
    length = 0
    for row in reply.rows:
        lines.append(f"DATAROW {row}\r\n")
        length += len(row)
        if length >= MAX_PART_LENGTH:
            yield "".join(lines)
            lines, length = [], 0
    signature = reply.signature or _NO_ENDPOINT
    yield f"{''.join(lines)}COMPLETE {signature}\r\n{ready}"


def _parse_statement(request_id: str, text: str) -> Result[Statement, str]:
    word, _, rest = text.partition(" ")
    parse = _PARSERS.get(word)
    if parse is None:
        return Err(f"unknown statement {word[:20]!r}")
    return parse(request_id, text, rest)


def _parse_begin(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    if rest not in ("", "READ"):
        return Err("BEGIN takes nothing but READ")
    return Ok(Begin(request_id, text, rest == "READ"))


def _parse_commit(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    return Err("COMMIT takes nothing") if rest else Ok(Commit(request_id, text))


def _parse_rollback(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    return Err("ROLLBACK takes nothing") if rest else Ok(Rollback(request_id, text))


def _parse_read(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    return Ok(Read(request_id, text)) if rest else Err("READ needs an item")


def _parse_write(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    item, _, data = rest.partition(" ")
    if not item or not data:
        return Err("WRITE needs an item and data")
    return Ok(Write(request_id, text))


def _parse_set(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    name, _, value = rest.partition(" ")
    if not name or not value:
        return Err("SET needs a name and a value")
    return Ok(SetValue(request_id, text, name, value))


def _parse_prepare(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    name, _, definition = rest.partition(" ")
    kind, _, shape = definition.partition(" ")
    if not name or kind not in ("READ", "WRITE") or not shape or " " in shape:
        return Err("PREPARE needs a name, READ or WRITE, and a shape")
    return Ok(Prepare(request_id, text, name, shape, kind == "WRITE"))


def _parse_execute(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    name, _, arguments = rest.partition(" ")
    if not name or not arguments:
        return Err("EXECUTE needs a name and an item")
    return Ok(Execute(request_id, text, name, arguments))


def _parse_deallocate(request_id: str, text: str, rest: str) -> Result[Statement, str]:
    if not rest:
        return Err("DEALLOCATE needs a name")
    return Ok(Deallocate(request_id, text, rest))


_StatementParser = Callable[[str, str, str], Result[Statement, str]]
_PARSERS: Final[dict[str, _StatementParser]] = {
    "BEGIN": _parse_begin,
    "COMMIT": _parse_commit,
    "ROLLBACK": _parse_rollback,
    "READ": _parse_read,
    "WRITE": _parse_write,
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXECUTE": _parse_execute,
    "DEALLOCATE": _parse_deallocate,
}
