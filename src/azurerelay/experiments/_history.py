"""The operations of callers and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.requests import Outcome


class OperationKind(Enum):
    """The kinds of operations that callers perform and the checker checks."""

    STALE_READ = "stale read"
    SESSION_READ = "session read"
    KEYED_WRITE = "keyed write"
    REPEATABLE_WRITE = "repeatable write"
    TRANSACTION = "transaction"


@dataclass(frozen=True, slots=True)
class OperationRecord:
    """One operation as observed by its caller.

    `key` is the data key that was written or read; a transaction writes two keys that
    start with it. `outcome` is None if no entry host answered. `token_term` and
    `token_position` are the position of the session before a session read, else 0.
    """

    kind: OperationKind
    caller: str
    group: str
    key: str
    started_ms: float
    ended_ms: float
    outcome: Outcome | None
    term: int = 0
    position: int = 0
    token_term: int = 0
    token_position: int = 0
    value: int | None = None
    staleness_ms: float | None = None
    max_staleness_ms: int = 0
    is_from_replica: bool = False
    attempts: int = 1
    is_replay: bool = False
    detail: str = ""

    @property
    def is_done(self) -> bool:
        """Whether the caller was told that the operation is done."""
        return self.outcome is Outcome.DONE


class History:
    """Operation records in the order in which the operations ended."""

    def __init__(self) -> None:
        self._records: list[OperationRecord] = []
        self._confirmed: dict[str, list[OperationRecord]] = {}

    @property
    def records(self) -> tuple[OperationRecord, ...]:
        """All records."""
        return tuple(self._records)

    def add(self, record: OperationRecord) -> None:
        """Add a record."""
        self._records.append(record)
        is_write = record.kind in (
            OperationKind.KEYED_WRITE,
            OperationKind.REPEATABLE_WRITE,
        )
        if is_write and record.is_done:
            self._confirmed.setdefault(record.group, []).append(record)

    def confirmed_writes(self, group: str) -> list[OperationRecord]:
        """Return a group's confirmed single writes, oldest first; do not modify it."""
        return self._confirmed.get(group, [])
