"""The share of reads served by replicas, against a router that knows everything.

Both workloads embedded on fake time, with replicas that lag 5, 50 and 500 ms, and
with one an hour behind. An all-knowing router would have used a replica whenever
one had the session's position and was within the bound when the read was sent.
Baselines in the same run: the primary for every read, and a random replica without
looking at token or bound. Targets: ratio at least 0.97, no violation.
"""

import random
from bisect import bisect_right

from azurerelay.embedded import ALERT_DESK, CHILDCARE, SystemShape
from azurerelay.endpoints import KnobsCall
from azurerelay.experiments import (
    ALERT_DESK_MIX,
    CHILDCARE_MIX,
    Experiment,
    LoadMix,
)
from azurerelay.requests import CallerAnswer, CallerRequest, Operation
from azurerelay.timing import Promise
from bench.report import finish

SECONDS = 15.0
SAMPLE_MS = 1.0
MIN_RATIO = 0.97
HOUR_MS = 3_600_000.0


class Oracle:
    """Sees every endpoint's true position at every time."""

    def __init__(self, experiment: Experiment) -> None:
        self._system = experiment.system
        self._timers = experiment.timers
        self._times: list[float] = []
        self._positions: dict[str, list[int]] = {}
        self._random = random.Random(7)
        self.reads = 0
        self.possible = 0
        self.random_violations = 0
        self._timers.subscribe(SAMPLE_MS, self._sample)

    def judge(self, request: CallerRequest) -> None:
        """Note whether a replica could have answered a read sent now."""
        primary = self._system.primary(request.group)
        if request.operation is not Operation.READ or primary is None:
            return
        self.reads += 1
        allowed = [
            self._is_allowed(name, request)
            for name in self._names(request.group)
            if name != primary
        ]
        self.possible += any(allowed)
        self.random_violations += not self._random.choice(allowed)

    def _is_allowed(self, name: str, request: CallerRequest) -> bool:
        position = self._system.standins[name].data.position
        bound_ms = request.max_staleness_ms or 0
        seen = self._primary_position(request.group, bound_ms)
        return position >= request.token_position and position >= seen

    def _primary_position(self, group: str, age_ms: float) -> int:
        index = bisect_right(self._times, self._timers.now_ms() - age_ms) - 1
        positions = self._positions.get(group, [])
        return positions[index] if 0 <= index < len(positions) else 0

    def _names(self, group: str) -> list[str]:
        return [n for n in self._system.standins if n.startswith(f"{group}-")]

    def _sample(self) -> None:
        self._times.append(self._timers.now_ms())
        for group in self._system.shape.groups:
            primary = self._system.primary(group)
            position = self._system.standins[primary].data.position if primary else 0
            self._positions.setdefault(group, []).append(position)


def run_case(
    shape: SystemShape, mix: LoadMix, lag_ms: float, is_one_late: bool
) -> dict[str, float]:
    """Run one workload with one lag and return its figures."""
    experiment = Experiment(shape, mix, (), SECONDS, 3)
    system = experiment.system
    oracle = Oracle(experiment)
    inner = system.call

    def call(entry: str, request: CallerRequest) -> Promise[CallerAnswer | None]:
        oracle.judge(request)
        return inner(entry, request)

    system.call = call  # type: ignore[method-assign]
    experiment.on_settled(lambda: set_lags(experiment, lag_ms, is_one_late))
    report = experiment.run()
    possible_share = oracle.possible / oracle.reads
    return {
        "share": round(report.replica_share, 4),
        "possible_share": round(possible_share, 4),
        "ratio": round(report.replica_share / possible_share, 4),
        "violations": len(report.violations),
        "random_replica_violations": oracle.random_violations,
        "reads": oracle.reads,
    }


def set_lags(experiment: Experiment, lag_ms: float, is_one_late: bool) -> None:
    """Set the replicas' lag; with `is_one_late` one of each group is an hour behind."""
    system = experiment.system
    for group in system.shape.groups:
        primary = system.primary(group)
        names = [n for n in system.standins if n.startswith(f"{group}-")]
        replicas = [name for name in names if name != primary]
        for number, name in enumerate(replicas):
            lag = HOUR_MS if is_one_late and number == 0 else lag_ms
            system.standins[name].request(KnobsCall(lag_ms=lag))


def main() -> None:
    """Run all cases and print the report."""
    figures: dict[str, dict[str, float]] = {}
    for shape, mix in ((CHILDCARE, CHILDCARE_MIX), (ALERT_DESK, ALERT_DESK_MIX)):
        for lag_ms, is_one_late in ((5, False), (50, False), (500, False), (5, True)):
            late = " and one an hour behind" if is_one_late else ""
            name = f"{shape.name}, lag {lag_ms} ms{late}"
            figures[name] = run_case(shape, mix, lag_ms, is_one_late)
            print(name, figures[name], flush=True)
    finish(
        "replica_reads",
        {
            "cases": figures,
            "worst_ratio": min(case["ratio"] for case in figures.values()),
            "primary_only_share": 0.0,
        },
        {
            "ratio": all(case["ratio"] >= MIN_RATIO for case in figures.values()),
            "violations": all(case["violations"] == 0 for case in figures.values()),
        },
    )


if __name__ == "__main__":
    main()
