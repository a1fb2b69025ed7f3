"""What callers did and were told."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.requests import Outcome


class OperationKind(Enum):
    """The kinds of operations that the checker knows."""

    STALE_READ = "stale read"
    SESSION_READ = "session read"
    KEYED_WRITE = "keyed write"
    REPEATABLE_WRITE = "repeatable write"
    TRANSACTION = "transaction"


@dataclass(frozen=True, slots=True)
class OperationRecord:
    """One operation as its caller saw it; times in milliseconds.

    `marker` is the key written or read, `outcome` None when the host died.
    """

    kind: OperationKind
    caller: str
    group: str
    marker: str
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
        """Whether the caller was told that it is done."""
        return self.outcome is Outcome.DONE


class History:
    """Records in the order in which operations ended."""

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
        """Return a group's confirmed writes, oldest first; read only."""
        return self._confirmed.get(group, [])
