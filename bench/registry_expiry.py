"""Cost of insertion, lookup and expiry of idempotency keys in three data structures.

The paper "Time-Series Storage in a Distributed Hash Table with Time-Factored Keys" puts
a time quantum into each key, so that entries can be dropped one time block at a time.
This compares three structures with the same keys in one run: a dictionary and an
ordered dictionary in arrival order, and eight dictionaries that each hold a time block.
"""

import time
from collections import OrderedDict
from collections.abc import Callable

from bench.report import percentile, print_report_and_exit

KEY_COUNT = 100_000
BLOCK_COUNT = 8
ROUNDS = 5
LOOKUP_COUNT = 20_000


def make_keys() -> list[str]:
    """Return idempotency keys in arrival order."""
    return [f"1700000000000-{number:08d}" for number in range(KEY_COUNT)]


def measure(
    entries: dict[str, int], keys: list[str], expire: Callable[[], None]
) -> tuple[float, float, float]:
    """Return microseconds per key for insertion, lookup and expiry."""
    insert_us = elapsed_us(lambda: entries.update((key, 1) for key in keys))
    lookup_us = elapsed_us(lambda: [entries.get(key) for key in keys[:LOOKUP_COUNT]])
    return (
        insert_us / KEY_COUNT,
        lookup_us / LOOKUP_COUNT,
        elapsed_us(expire) / KEY_COUNT,
    )


def measure_dict(keys: list[str]) -> tuple[float, float, float]:
    """Measure a dictionary from which the oldest key is deleted repeatedly.

    Finding the first key of a dictionary scans the slots of all keys deleted before.
    """
    entries: dict[str, int] = {}

    def expire() -> None:
        while entries:
            del entries[next(iter(entries))]

    return measure(entries, keys, expire)


def measure_ordered_dict(keys: list[str]) -> tuple[float, float, float]:
    """Measure an ordered dictionary, the structure that `IdempotencyRegistry` uses."""
    entries: OrderedDict[str, int] = OrderedDict()

    def expire() -> None:
        while entries:
            entries.popitem(last=False)

    return measure(entries, keys, expire)


def measure_time_blocks(keys: list[str]) -> tuple[float, float, float]:
    """Measure one dictionary per time block; lookups search the newest block first."""
    blocks: list[dict[str, int]] = [{} for _ in range(BLOCK_COUNT)]
    block_size = KEY_COUNT // BLOCK_COUNT

    def insert_all() -> None:
        for number, key in enumerate(keys):
            blocks[min(number // block_size, BLOCK_COUNT - 1)][key] = 1

    def look_up_first() -> None:
        for key in keys[:LOOKUP_COUNT]:
            for block in reversed(blocks):
                if key in block:
                    break

    def expire() -> None:
        while blocks:
            blocks.pop(0)

    insert_us = elapsed_us(insert_all)
    lookup_us = elapsed_us(look_up_first)
    return (
        insert_us / KEY_COUNT,
        lookup_us / LOOKUP_COUNT,
        elapsed_us(expire) / KEY_COUNT,
    )


def elapsed_us(call: Callable[[], object]) -> float:
    """Return the duration of a call in microseconds."""
    started = time.perf_counter()
    call()
    return (time.perf_counter() - started) * 1e6


def main() -> None:
    """Measure each structure several times and print the medians."""
    keys = make_keys()
    results: dict[str, dict[str, float]] = {}
    structures = (
        ("dictionary", measure_dict),
        ("ordered", measure_ordered_dict),
        ("time_blocks", measure_time_blocks),
    )
    for name, measure_structure in structures:
        rounds = [measure_structure(keys) for _ in range(ROUNDS)]
        results[name] = {
            metric: round(percentile([r[number] for r in rounds], 0.5), 3)
            for number, metric in enumerate(("insert_us", "look_up_us", "expire_us"))
        }
        results[name]["total_us"] = round(sum(results[name].values()), 3)
    totals = {name: metrics["total_us"] for name, metrics in results.items()}
    is_cheapest = totals["ordered"] == min(totals.values())
    print_report_and_exit(
        "registry_expiry", results, {"kept_way_is_cheapest": is_cheapest}
    )


if __name__ == "__main__":
    main()
