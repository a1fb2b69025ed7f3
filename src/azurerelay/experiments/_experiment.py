"""One run of load and faults on the embedded system, on simulated time."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from azurerelay.embedded import EmbeddedSystem, SystemShape
from azurerelay.endpoints import Scalar
from azurerelay.experiments._checker import Checker, Installation
from azurerelay.experiments._fault_plan import Fault, FaultPlan
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.experiments._load_mix import LoadMix
from azurerelay.experiments._simulated_caller import SimulatedCaller
from azurerelay.timing import ManualTimerService

SETTLE_TIMEOUT_MS: Final = 60_000.0
WIND_DOWN_TIMEOUT_MS: Final = 30_000.0
PROGRESS_STEP_MS: Final = 1_000.0
# The wall-clock time at which `ManualTimerService` starts, for converting the times of
# audit records into simulated time.
START_WALL_MS: Final = 1_700_000_000_000


@dataclass(frozen=True, slots=True)
class ExperimentReport:
    """The results of a run.

    `failover_gaps_ms` has an entry for each primary that was killed or isolated: the
    time to the next write confirmed in a later term. An entry is left out if no such
    write follows.
    """

    shape: str
    seconds: float
    operations: int
    outcomes: dict[str, int]
    reads: int
    replica_reads: int
    failover_gaps_ms: tuple[float, ...]
    violations: tuple[str, ...]
    promotions: int
    peak_connections: int
    connection_limit: int
    faults: tuple[str, ...]
    has_settled: bool

    @property
    def replica_share(self) -> float:
        """The fraction of completed reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0

    @property
    def has_passed(self) -> bool:
        """Whether guarantees and connection limits held and the system recovered."""
        is_within_limit = self.peak_connections <= self.connection_limit
        return not self.violations and self.has_settled and is_within_limit


class Experiment:
    """Start a system, run load and faults, undo the faults and check the history."""

    def __init__(
        self,
        shape: SystemShape,
        mix: LoadMix,
        faults: tuple[Fault, ...],
        seconds: float,
        seed: int,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        self._shape = shape
        self._mix = mix
        self._faults = faults
        self._seconds = seconds
        self._on_progress = on_progress
        self._timers = ManualTimerService()
        self._random = random.Random(seed)
        self._system = EmbeddedSystem(shape, self._timers, self._random)
        self._history = History()
        self._on_settled: Callable[[], object] | None = None

    @property
    def system(self) -> EmbeddedSystem:
        """The system under test."""
        return self._system

    @property
    def history(self) -> History:
        """The operations of the callers and their outcomes."""
        return self._history

    @property
    def timers(self) -> ManualTimerService:
        """The simulated time of the run."""
        return self._timers

    def on_settled(self, callback: Callable[[], object]) -> None:
        """Set a callback for when the system has settled, before the load starts."""
        self._on_settled = callback

    def run(self) -> ExperimentReport:
        """Run the experiment and return its report.

        Raise `RuntimeError` if the system does not settle before the load.
        """
        self._system.start()
        if not self._timers.advance_until(self._system.is_settled, SETTLE_TIMEOUT_MS):
            raise RuntimeError("the system did not settle before the load")
        if self._on_settled is not None:
            self._on_settled()
        callers = self._start_callers()
        plan = FaultPlan(self._system, self._timers, self._faults)
        plan.start()
        self._run_load()
        plan.end_all()
        has_settled = self._wind_down(callers)
        return self._report(plan, has_settled)

    def _start_callers(self) -> list[SimulatedCaller]:
        callers = [
            SimulatedCaller(
                f"caller{number}",
                self._system,
                self._timers,
                random.Random(self._random.random()),
                self._mix,
                self._history,
            )
            for number in range(self._mix.callers)
        ]
        for caller in callers:
            caller.start()
        return callers

    def _run_load(self) -> None:
        end_ms = self._timers.now_ms() + self._seconds * 1_000.0
        while self._timers.now_ms() < end_ms:
            self._timers.advance(min(PROGRESS_STEP_MS, end_ms - self._timers.now_ms()))
            if self._on_progress is not None:
                self._on_progress(end_ms - self._timers.now_ms())

    def _wind_down(self, callers: list[SimulatedCaller]) -> bool:
        for caller in callers:
            caller.stop()
        self._timers.advance_until(
            lambda: not any(caller.is_busy for caller in callers), WIND_DOWN_TIMEOUT_MS
        )
        has_settled = self._timers.advance_until(
            self._system.is_settled, SETTLE_TIMEOUT_MS
        )
        self._timers.advance(PROGRESS_STEP_MS)
        return has_settled and self._system.is_settled()

    def _report(self, plan: FaultPlan, has_settled: bool) -> ExperimentReport:
        records = self._history.records
        reads = [r for r in records if r.is_done and _is_read(r)]
        installations = self._installations()
        max_answer_latency_ms = (
            2 * self._shape.between_domains_ms + self._shape.to_callers_ms
        )
        violations = Checker(max_answer_latency_ms, plan.freeze_intervals).check(
            self._history, self._final_data(), installations
        )
        outcomes = Counter(
            r.outcome.value if r.outcome else "host died" for r in records
        )
        standins = self._system.standins.values()
        return ExperimentReport(
            shape=self._shape.name,
            seconds=self._seconds,
            operations=len(records),
            outcomes=dict(outcomes),
            reads=len(reads),
            replica_reads=sum(r.is_from_replica for r in reads),
            failover_gaps_ms=self._failover_gaps_ms(plan),
            violations=tuple(str(violation) for violation in violations),
            promotions=len(installations) - len(self._shape.groups),
            peak_connections=max(s.peak_connections for s in standins),
            connection_limit=self._shape.connection_limit,
            faults=tuple(
                f"{at_ms:.0f} ms: {description}" for at_ms, description in plan.log
            ),
            has_settled=has_settled,
        )

    def _final_data(self) -> dict[str, dict[str, Scalar]]:
        data: dict[str, dict[str, Scalar]] = {}
        for group in self._shape.groups:
            primary = self._system.primary(group)
            standin = self._system.standins[primary or f"{group}-1"]
            data[group] = dict(standin.data.values)
        return data

    def _installations(self) -> tuple[Installation, ...]:
        leader = self._system.leader
        if leader is None:
            return ()
        # A record has the path groups/GROUP/primary and after "term TERM: ENDPOINT".
        return tuple(
            Installation(
                record.path.split("/")[1],
                int(record.after.partition(":")[0].split()[1]),
                float(record.at_ms - START_WALL_MS),
            )
            for record in leader.state.audit
            if record.action == "install primary"
        )

    def _failover_gaps_ms(self, plan: FaultPlan) -> tuple[float, ...]:
        """Return, for each loss of a primary, the time to the next confirmed write.

        A write counts if its term is later than all terms installed before the loss.
        """
        gaps = []
        for at_ms, description in plan.log:
            kind, _, target = description.partition(": ")
            if kind not in ("kill primary", "isolate primary"):
                continue
            group = target.rpartition("-")[0]
            confirmed_ms = [
                record.ended_ms
                for record in self._history.confirmed_writes(group)
                if record.ended_ms > at_ms
                and self._is_in_later_term(record, at_ms, group)
            ]
            if confirmed_ms:
                gaps.append(min(confirmed_ms) - at_ms)
        return tuple(gaps)

    def _is_in_later_term(
        self, record: OperationRecord, at_ms: float, group: str
    ) -> bool:
        terms = [
            installation.term
            for installation in self._installations()
            if installation.group == group and installation.at_ms <= at_ms
        ]
        return record.term > max(terms, default=0)


def _is_read(record: OperationRecord) -> bool:
    return record.kind in (OperationKind.STALE_READ, OperationKind.SESSION_READ)
