"""Holds a recorded history against the promises."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from azurerelay.endpoints import Scalar
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.requests import Outcome


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise and the operation that shows it."""

    promise: str
    record: OperationRecord
    explanation: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.record.marker}: {self.explanation}"


@dataclass(frozen=True, slots=True)
class Freeze:
    """A time in which some entry host was frozen."""

    begin_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class Installation:
    """A primary's installation: the group, its term and when it was in force."""

    group: str
    term: int
    at_ms: float


class Checker:
    """Find broken promises in a history, given the groups' final data.

    `travel_ms` is the longest time that an answer takes from the host that decided
    it to the caller; a frozen host on the way keeps it for as long as it is frozen.
    """

    def __init__(self, travel_ms: float, freezes: tuple[Freeze, ...] = ()) -> None:
        self._travel_ms = travel_ms
        self._freezes = freezes

    def check(
        self,
        history: History,
        final: Mapping[str, Mapping[str, Scalar]],
        installations: tuple[Installation, ...] = (),
    ) -> tuple[Violation, ...]:
        """Return all violations."""
        found: list[Violation] = []
        for record in history.records:
            found.extend(self._check_record(record, final, installations, history))
        return tuple(found)

    def _check_record(
        self,
        record: OperationRecord,
        final: Mapping[str, Mapping[str, Scalar]],
        installations: tuple[Installation, ...],
        history: History,
    ) -> Iterator[Violation]:
        match record.kind:
            case OperationKind.KEYED_WRITE | OperationKind.REPEATABLE_WRITE:
                yield from _check_write(record, final[record.group])
                yield from self._check_term(record, installations)
            case OperationKind.TRANSACTION:
                yield from _check_transaction(record, final[record.group])
                yield from self._check_term(record, installations)
            case OperationKind.SESSION_READ:
                yield from _check_session(record)
                yield from self._check_staleness(record, history)
            case OperationKind.STALE_READ:
                yield from self._check_staleness(record, history)

    def _check_term(
        self, record: OperationRecord, installations: tuple[Installation, ...]
    ) -> Iterator[Violation]:
        decided_ms = self._decided_ms(record)
        if not record.is_done or record.is_replay:
            # A replay tells of a confirmation that was given earlier.
            return
        for installation in installations:
            is_later = installation.term > record.term
            is_same_group = installation.group == record.group
            if is_same_group and is_later and installation.at_ms < decided_ms:
                yield Violation(
                    "no confirmation by a replaced primary",
                    record,
                    f"confirmed in term {record.term} at {decided_ms:.1f}, term "
                    f"{installation.term} in force since {installation.at_ms:.1f}",
                )

    def _decided_ms(self, record: OperationRecord) -> float:
        """Return the earliest time at which the answer may have been decided."""
        frozen_ms = sum(
            max(
                0.0,
                min(record.ended_ms, freeze.end_ms)
                - max(record.started_ms, freeze.begin_ms),
            )
            for freeze in self._freezes
        )
        return record.ended_ms - self._travel_ms - frozen_ms

    def _check_staleness(
        self, record: OperationRecord, history: History
    ) -> Iterator[Violation]:
        if not record.is_done or record.staleness_ms is None:
            return
        if record.is_from_replica and record.staleness_ms > record.max_staleness_ms:
            yield Violation(
                "staleness bound",
                record,
                f"{record.staleness_ms:.1f} ms is beyond {record.max_staleness_ms}",
            )
        horizon_ms = self._decided_ms(record) - record.staleness_ms
        for write in history.confirmed_writes(record.group):
            if write.marker != record.marker or write.ended_ms > horizon_ms:
                continue
            if record.value is None:
                yield Violation(
                    "staleness as stated",
                    record,
                    f"confirmed at {write.ended_ms:.1f}, not seen at {horizon_ms:.1f}",
                )


def _check_write(
    record: OperationRecord, final: Mapping[str, Scalar]
) -> Iterator[Violation]:
    value = final.get(record.marker)
    if record.is_done and value is None:
        yield Violation("no confirmed write is lost", record, "absent at the end")
    if value not in (None, 1):
        yield Violation("at most once", record, f"ran {value} times")
    if record.outcome is Outcome.NOT_RUN and value is not None:
        yield Violation("not run is true", record, "told not run, but it ran")


def _check_transaction(
    record: OperationRecord, final: Mapping[str, Scalar]
) -> Iterator[Violation]:
    halves = (final.get(f"{record.marker}-a"), final.get(f"{record.marker}-b"))
    if halves not in ((None, None), (1, 1)):
        yield Violation("transactions are whole", record, f"halves are {halves}")
    if record.is_done and halves != (1, 1):
        yield Violation("no confirmed write is lost", record, f"halves are {halves}")
    if record.outcome is Outcome.NOT_RUN and halves != (None, None):
        yield Violation("not run is true", record, f"halves are {halves}")


def _check_session(record: OperationRecord) -> Iterator[Violation]:
    if not record.is_done:
        return
    if record.value is None:
        yield Violation("read your writes", record, "own write is not seen")
    seen = (record.token_term, record.token_position)
    if (record.term, record.position) < seen:
        yield Violation("sessions never go back", record, f"session was at {seen}")
