"""At-most-once execution of resent writes while entry hosts fail.

Runs an embedded system on simulated time and resends thousands of writes with the same
idempotency key. An entry host is killed or frozen every 2.3 s, so that serving sets
change and resends arrive at every step of a write. Targets: no write runs twice, no
write that was reported as not run has run, no confirmed write is lost, at least 2,000
resends, and the system has settled at the end. Also reports the memory of a registry
entry and the CPU time of a keyed write relative to a repeatable write.
"""

import random
import time
import tracemalloc

from azurerelay.embedded import CHILDCARE
from azurerelay.experiments import Experiment, Fault, FaultKind, LoadMix, OperationKind
from azurerelay.registry import IdempotencyRegistry, RegistryEntry, StoredOutcome
from bench.report import print_report_and_exit

DURATION_S = 120.0
FAULT_INTERVAL_MS = 2_300.0
FAULT_RUN_MIX = LoadMix(
    5,
    5,
    90,
    0,
    0,
    callers=20,
    mean_pause_ms=60.0,
    max_staleness_ms=2_000,
    duplicate_percent=50,
)
REPEATABLE_ONLY_MIX = LoadMix(
    0, 0, 0, 100, 0, callers=20, mean_pause_ms=60.0, max_staleness_ms=2_000
)
KEYED_ONLY_MIX = LoadMix(
    0, 0, 100, 0, 0, callers=20, mean_pause_ms=60.0, max_staleness_ms=2_000
)
REGISTRY_ENTRIES = 100_000
COST_RUN_S = 10.0


def bytes_per_entry() -> float:
    """Return the mean memory in bytes of a registry entry with a stored outcome."""
    tracemalloc.start()
    registry = IdempotencyRegistry(600_000, REGISTRY_ENTRIES)
    registry.enter_epoch(1, 0)
    registry.merge_collected(1, ())
    registry.settle(1)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(REGISTRY_ENTRIES):
        key = f"1700000000000-{number:08d}"
        outcome = StoredOutcome(1, number, ())
        entry = RegistryEntry(key, f"{number:024x}", f"entry-1:1:{number}", 0, outcome)
        registry.record_outcome(entry)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / REGISTRY_ENTRIES


def cpu_us_per_operation(mix: LoadMix) -> float:
    """Return the CPU time per operation of the whole embedded system in µs."""
    experiment = Experiment(CHILDCARE, mix, (), COST_RUN_S, 1)
    started = time.process_time()
    report = experiment.run()
    return (time.process_time() - started) / report.operations * 1e6


def main() -> None:
    """Run the load with faults and print the report."""
    random_source = random.Random(9)
    count = int(DURATION_S * 1_000.0 / FAULT_INTERVAL_MS) - 5
    faults = tuple(
        Fault(
            number * FAULT_INTERVAL_MS,
            random_source.choice((FaultKind.KILL_ENTRY, FaultKind.FREEZE_ENTRY)),
            random_source.choice((300.0, 700.0)),
            random_source.randrange(1_000),
        )
        for number in range(1, count)
    )
    experiment = Experiment(CHILDCARE, FAULT_RUN_MIX, faults, DURATION_S, 9)
    report = experiment.run()
    writes = [
        record
        for record in experiment.history.records
        if record.kind is OperationKind.KEYED_WRITE
    ]
    run_twice = sum(text.startswith("at most once") for text in report.violations)
    false_not_run = sum(
        text.startswith("not run is true") for text in report.violations
    )
    lost = sum(text.startswith("no confirmed write") for text in report.violations)
    resends = sum(record.attempts - 1 for record in writes)
    print_report_and_exit(
        "at_most_once",
        {
            "writes": len(writes),
            "resends": resends,
            "hosts_killed_or_frozen": len(faults),
            "outcomes": report.outcomes,
            "run_twice": run_twice,
            "false_not_run": false_not_run,
            "lost": lost,
            "bytes_per_entry": round(bytes_per_entry()),
            "cost_ratio_to_repeatable": round(
                cpu_us_per_operation(KEYED_ONLY_MIX)
                / cpu_us_per_operation(REPEATABLE_ONLY_MIX),
                2,
            ),
        },
        {
            "run_twice": run_twice == 0,
            "false_not_run": false_not_run == 0,
            "lost": lost == 0,
            "settled": report.has_settled,
            "thousands_of_resends": resends >= 2_000,
        },
    )


if __name__ == "__main__":
    main()
