"""Thousands of resends of keyed writes while serving hosts die, embedded on fake time.

Hosts are killed and restarted all the time, so that serving sets move and resends
meet every step of a write. Targets: run twice 0, told not run but run 0. Also the
memory of a registry entry and the cost of a keyed write against a repeatable one.
"""

import random
import time
import tracemalloc

from azurerelay.embedded import CHILDCARE
from azurerelay.experiments import Experiment, Fault, FaultKind, LoadMix, OperationKind
from azurerelay.registry import IdempotencyRegistry, RegistryEntry, StoredOutcome
from bench.report import finish

SECONDS = 120.0
KILL_EVERY_MS = 2_300.0
KEYED = LoadMix(
    5,
    5,
    90,
    0,
    0,
    callers=20,
    pause_ms=60.0,
    max_staleness_ms=2_000,
    resend_percent=50,
)
REPEATABLE = LoadMix(0, 0, 0, 100, 0, callers=20, pause_ms=60.0, max_staleness_ms=2_000)
ONLY_KEYED = LoadMix(0, 0, 100, 0, 0, callers=20, pause_ms=60.0, max_staleness_ms=2_000)
ENTRIES = 100_000
COST_SECONDS = 10.0


def entry_bytes() -> float:
    """Return the memory of one settled registry entry."""
    tracemalloc.start()
    registry = IdempotencyRegistry(600_000, ENTRIES)
    registry.enter_epoch(1, 0)
    registry.complete(1, ())
    registry.settle(1)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(ENTRIES):
        key = f"1700000000000-{number:08d}"
        outcome = StoredOutcome(1, number, ())
        entry = RegistryEntry(key, f"{number:024x}", f"entry-1:1:{number}", 0, outcome)
        registry.record_outcome(entry)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / ENTRIES


def cost_us(mix: LoadMix) -> float:
    """Return the processor time of one write, the whole embedded system included."""
    experiment = Experiment(CHILDCARE, mix, (), COST_SECONDS, 1)
    started = time.process_time()
    report = experiment.run()
    return (time.process_time() - started) / report.operations * 1e6


def main() -> None:
    """Run the load, kill hosts, and print the report."""
    source = random.Random(9)
    count = int(SECONDS * 1_000.0 / KILL_EVERY_MS) - 5
    faults = tuple(
        Fault(
            number * KILL_EVERY_MS,
            source.choice((FaultKind.KILL_ENTRY, FaultKind.FREEZE_ENTRY)),
            source.choice((300.0, 700.0)),
            source.randrange(1_000),
        )
        for number in range(1, count)
    )
    experiment = Experiment(CHILDCARE, KEYED, faults, SECONDS, 9)
    report = experiment.run()
    writes = [
        record
        for record in experiment.history.records
        if record.kind is OperationKind.KEYED_WRITE
    ]
    twice = sum(text.startswith("at most once") for text in report.violations)
    false = sum(text.startswith("not run is true") for text in report.violations)
    lost = sum(text.startswith("no confirmed write") for text in report.violations)
    resends = sum(record.attempts - 1 for record in writes)
    finish(
        "at_most_once",
        {
            "writes": len(writes),
            "resends": resends,
            "hosts_killed_or_frozen": len(faults),
            "outcomes": report.outcomes,
            "run_twice": twice,
            "false_not_run": false,
            "lost": lost,
            "bytes_per_entry": round(entry_bytes()),
            "cost_ratio_to_repeatable": round(
                cost_us(ONLY_KEYED) / cost_us(REPEATABLE), 2
            ),
        },
        {
            "run_twice": twice == 0,
            "false_not_run": false == 0,
            "lost": lost == 0,
            "settled": report.has_settled,
            "thousands_of_resends": resends >= 2_000,
        },
    )


if __name__ == "__main__":
    main()
