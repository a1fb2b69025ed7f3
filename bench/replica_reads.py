"""The share of reads served by replicas, relative to a router with perfect knowledge.

Runs both standard workloads in an embedded system on simulated time, with replicas that
lag 5, 50 and 500 ms, and with one replica per group an hour behind. A router with
perfect knowledge would use a replica whenever one had reached the session's position
and was within the staleness bound when the read was sent. Baselines in the same run:
the primary serves every read, and a random replica serves it regardless of session
token and bound. Targets: a ratio of at least 0.97 and no consistency violations.
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
from bench.report import print_report_and_exit

DURATION_S = 15.0
SAMPLE_INTERVAL_MS = 1.0
MIN_RATIO = 0.97
HOUR_MS = 3_600_000.0


class Oracle:
    """Knows the true position of each endpoint and the past positions of primaries.

    `reads` counts all reads, `replica_servable` those that some replica could serve,
    and `random_replica_violations` those that a replica chosen at random could not.
    """

    def __init__(self, experiment: Experiment) -> None:
        self._system = experiment.system
        self._timers = experiment.timers
        self._times: list[float] = []
        self._positions: dict[str, list[int]] = {}
        self._random = random.Random(7)
        self.reads = 0
        self.replica_servable = 0
        self.random_replica_violations = 0
        self._timers.call_every(SAMPLE_INTERVAL_MS, self._sample)

    def count_read(self, request: CallerRequest) -> None:
        """Count a request that is sent now, if it is a read and there is a primary."""
        primary = self._system.primary(request.group)
        if request.operation is not Operation.READ or primary is None:
            return
        self.reads += 1
        can_serve = [
            self._can_serve(name, request)
            for name in self._endpoint_names(request.group)
            if name != primary
        ]
        self.replica_servable += any(can_serve)
        self.random_replica_violations += not self._random.choice(can_serve)

    def _can_serve(self, name: str, request: CallerRequest) -> bool:
        position = self._system.standins[name].data.position
        max_staleness_ms = request.max_staleness_ms or 0
        required_position = self._primary_position(request.group, max_staleness_ms)
        return position >= request.token_position and position >= required_position

    def _primary_position(self, group: str, age_ms: float) -> int:
        index = bisect_right(self._times, self._timers.now_ms() - age_ms) - 1
        positions = self._positions.get(group, [])
        return positions[index] if 0 <= index < len(positions) else 0

    def _endpoint_names(self, group: str) -> list[str]:
        return [n for n in self._system.standins if n.startswith(f"{group}-")]

    def _sample(self) -> None:
        self._times.append(self._timers.now_ms())
        for group in self._system.shape.groups:
            primary = self._system.primary(group)
            position = self._system.standins[primary].data.position if primary else 0
            self._positions.setdefault(group, []).append(position)


def run_case(
    shape: SystemShape, mix: LoadMix, lag_ms: float, has_stale_replica: bool
) -> dict[str, float]:
    """Run one workload with one replication lag and return its results."""
    experiment = Experiment(shape, mix, (), DURATION_S, 3)
    system = experiment.system
    oracle = Oracle(experiment)
    original_call = system.call

    def call(entry: str, request: CallerRequest) -> Promise[CallerAnswer | None]:
        oracle.count_read(request)
        return original_call(entry, request)

    system.call = call  # type: ignore[method-assign]
    experiment.on_settled(lambda: set_lags(experiment, lag_ms, has_stale_replica))
    report = experiment.run()
    possible_share = oracle.replica_servable / oracle.reads
    return {
        "share": round(report.replica_share, 4),
        "possible_share": round(possible_share, 4),
        "ratio": round(report.replica_share / possible_share, 4),
        "violations": len(report.violations),
        "random_replica_violations": oracle.random_replica_violations,
        "reads": oracle.reads,
    }


def set_lags(experiment: Experiment, lag_ms: float, has_stale_replica: bool) -> None:
    """Set the replication lag of all replicas.

    With `has_stale_replica`, the first replica of each group lags by an hour instead.
    """
    system = experiment.system
    for group in system.shape.groups:
        primary = system.primary(group)
        names = [n for n in system.standins if n.startswith(f"{group}-")]
        replicas = [name for name in names if name != primary]
        for number, name in enumerate(replicas):
            lag = HOUR_MS if has_stale_replica and number == 0 else lag_ms
            system.standins[name].request(KnobsCall(lag_ms=lag))


def main() -> None:
    """Run all cases and print the report."""
    results: dict[str, dict[str, float]] = {}
    for shape, mix in ((CHILDCARE, CHILDCARE_MIX), (ALERT_DESK, ALERT_DESK_MIX)):
        for lag_ms, has_stale_replica in (
            (5, False),
            (50, False),
            (500, False),
            (5, True),
        ):
            suffix = " and one an hour behind" if has_stale_replica else ""
            name = f"{shape.name}, lag {lag_ms} ms{suffix}"
            results[name] = run_case(shape, mix, lag_ms, has_stale_replica)
            print(name, results[name], flush=True)
    print_report_and_exit(
        "replica_reads",
        {
            "cases": results,
            "worst_ratio": min(case["ratio"] for case in results.values()),
            "primary_only_share": 0.0,
        },
        {
            "ratio": all(case["ratio"] >= MIN_RATIO for case in results.values()),
            "violations": all(case["violations"] == 0 for case in results.values()),
        },
    )


if __name__ == "__main__":
    main()
