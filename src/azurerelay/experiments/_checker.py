"""Checks a recorded history against the guarantees given to callers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from azurerelay.endpoints import Scalar
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.requests import Outcome


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee and the operation that shows it."""

    guarantee: str
    record: OperationRecord
    explanation: str

    def __str__(self) -> str:
        return f"{self.guarantee}: {self.record.key}: {self.explanation}"


@dataclass(frozen=True, slots=True)
class FreezeInterval:
    """An interval in which an entry or control host was frozen."""

    begin_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class Installation:
    """The installation of a primary: its group, its term and the time of it."""

    group: str
    term: int
    at_ms: float


class Checker:
    """Find violated guarantees in a history.

    `max_answer_latency_ms` is the longest time that an answer takes from the host that
    decided it to the caller, apart from the `freeze_intervals`: a frozen host holds
    answers back for as long as it is frozen.
    """

    def __init__(
        self,
        max_answer_latency_ms: float,
        freeze_intervals: tuple[FreezeInterval, ...] = (),
    ) -> None:
        self._max_answer_latency_ms = max_answer_latency_ms
        self._freeze_intervals = freeze_intervals

    def check(
        self,
        history: History,
        final_data: Mapping[str, Mapping[str, Scalar]],
        installations: tuple[Installation, ...] = (),
    ) -> tuple[Violation, ...]:
        """Return all violations, given the final data of each group by key."""
        violations: list[Violation] = []
        for record in history.records:
            violations.extend(
                self._check_record(record, final_data, installations, history)
            )
        return tuple(violations)

    def _check_record(
        self,
        record: OperationRecord,
        final_data: Mapping[str, Mapping[str, Scalar]],
        installations: tuple[Installation, ...],
        history: History,
    ) -> Iterator[Violation]:
        match record.kind:
            case OperationKind.KEYED_WRITE | OperationKind.REPEATABLE_WRITE:
                yield from _check_write(record, final_data[record.group])
                yield from self._check_term(record, installations)
            case OperationKind.TRANSACTION:
                yield from _check_transaction(record, final_data[record.group])
                yield from self._check_term(record, installations)
            case OperationKind.SESSION_READ:
                yield from _check_session(record)
                yield from self._check_staleness(record, history)
            case OperationKind.STALE_READ:
                yield from self._check_staleness(record, history)

    def _check_term(
        self, record: OperationRecord, installations: tuple[Installation, ...]
    ) -> Iterator[Violation]:
        decision_ms = self._earliest_decision_ms(record)
        if not record.is_done or record.is_replay:
            # A replay repeats a confirmation that was given earlier.
            return
        for installation in installations:
            is_later = installation.term > record.term
            is_same_group = installation.group == record.group
            if is_same_group and is_later and installation.at_ms < decision_ms:
                yield Violation(
                    "no confirmation by a replaced primary",
                    record,
                    f"confirmed in term {record.term} at {decision_ms:.1f} ms, term "
                    f"{installation.term} in force since {installation.at_ms:.1f} ms",
                )

    def _earliest_decision_ms(self, record: OperationRecord) -> float:
        """Return the earliest time at which the answer may have been decided."""
        frozen_ms = sum(
            max(
                0.0,
                min(record.ended_ms, interval.end_ms)
                - max(record.started_ms, interval.begin_ms),
            )
            for interval in self._freeze_intervals
        )
        return record.ended_ms - self._max_answer_latency_ms - frozen_ms

    def _check_staleness(
        self, record: OperationRecord, history: History
    ) -> Iterator[Violation]:
        if not record.is_done or record.staleness_ms is None:
            return
        if record.is_from_replica and record.staleness_ms > record.max_staleness_ms:
            yield Violation(
                "staleness bound",
                record,
                f"{record.staleness_ms:.1f} ms is beyond {record.max_staleness_ms} ms",
            )
        snapshot_ms = self._earliest_decision_ms(record) - record.staleness_ms
        for write in history.confirmed_writes(record.group):
            if write.key != record.key or write.ended_ms > snapshot_ms:
                continue
            if record.value is None:
                yield Violation(
                    "staleness as stated",
                    record,
                    f"write confirmed at {write.ended_ms:.1f} ms is missing in the "
                    f"data of {snapshot_ms:.1f} ms",
                )


def _check_write(
    record: OperationRecord, final_data: Mapping[str, Scalar]
) -> Iterator[Violation]:
    value = final_data.get(record.key)
    if record.is_done and value is None:
        yield Violation(
            "no confirmed write is lost", record, "missing in the final data"
        )
    if value not in (None, 1):
        yield Violation("at most once", record, f"ran {value} times")
    if record.outcome is Outcome.NOT_RUN and value is not None:
        yield Violation("not run is true", record, "reported as not run, but it ran")


def _check_transaction(
    record: OperationRecord, final_data: Mapping[str, Scalar]
) -> Iterator[Violation]:
    final_values = (
        final_data.get(f"{record.key}-a"),
        final_data.get(f"{record.key}-b"),
    )
    if final_values not in ((None, None), (1, 1)):
        yield Violation(
            "transactions are whole", record, f"final values are {final_values}"
        )
    if record.is_done and final_values != (1, 1):
        yield Violation(
            "no confirmed write is lost", record, f"final values are {final_values}"
        )
    if record.outcome is Outcome.NOT_RUN and final_values != (None, None):
        yield Violation("not run is true", record, f"final values are {final_values}")


def _check_session(record: OperationRecord) -> Iterator[Violation]:
    if not record.is_done:
        return
    if record.value is None:
        yield Violation("read your writes", record, "own write is not seen")
    token = (record.token_term, record.token_position)
    if (record.term, record.position) < token:
        yield Violation("sessions never go back", record, f"session was at {token}")
