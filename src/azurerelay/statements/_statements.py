"""Statements of callers, in one module because they form one protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement of a caller; `text` is its original text."""

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Begin(Statement):
    """Open a transaction; a read-only one may run on any endpoint."""

    is_read_only: bool


@dataclass(frozen=True, slots=True)
class Commit(Statement):
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback(Statement):
    """Roll back the open transaction."""


@dataclass(frozen=True, slots=True)
class Read(Statement):
    """Read one item."""


@dataclass(frozen=True, slots=True)
class Write(Statement):
    """Write one item."""


@dataclass(frozen=True, slots=True)
class SetValue(Statement):
    """Set a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare(Statement):
    """Prepare a statement for the session, under a name that the caller chooses.

    `shape` is the protocol's term for the text of the statement without arguments.
    """

    name: str
    shape: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class Execute(Statement):
    """Run a prepared statement; `arguments` is the text after its name."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate(Statement):
    """Remove a prepared statement from the session."""

    name: str
