"""What callers ask for; the types of one protocol stand together."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement; `text` is passed on to an endpoint unchanged."""

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Begin(Statement):
    """Open a transaction, on any endpoint if it only reads."""

    is_read_only: bool


@dataclass(frozen=True, slots=True)
class Commit(Statement):
    """End a transaction and keep its writes."""


@dataclass(frozen=True, slots=True)
class Rollback(Statement):
    """End a transaction and drop its writes."""


@dataclass(frozen=True, slots=True)
class Read(Statement):
    """Read one item."""


@dataclass(frozen=True, slots=True)
class Write(Statement):
    """Write one item."""


@dataclass(frozen=True, slots=True)
class SetValue(Statement):
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare(Statement):
    """Name a shape of statement for the session."""

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
    """Forget a prepared statement."""

    name: str
