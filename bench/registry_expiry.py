"""Expiry and look-up of idempotency keys: arrival order against time blocks.

The related paper puts a time quantum into its keys, so that entries can be dropped a
block at a time. Here three ways hold the same keys in one run: a dictionary and an
ordered dictionary in arrival order, and eight dictionaries of one time block each.
"""

import time
from collections import OrderedDict
from collections.abc import Callable

from bench.report import finish, percentile

KEYS = 100_000
BLOCKS = 8
ROUNDS = 5
LOOK_UPS = 20_000


def keys() -> list[str]:
    """Return keys in order of arrival."""
    return [f"1700000000000-{number:08d}" for number in range(KEYS)]


def measure(
    entries: dict[str, int], names: list[str], expire: Callable[[], None]
) -> tuple[float, float, float]:
    """Return microseconds a key for insertion, look-up and expiry."""
    insert = timed(lambda: entries.update((key, 1) for key in names))
    found = timed(lambda: [entries.get(key) for key in names[:LOOK_UPS]])
    return insert / KEYS, found / LOOK_UPS, timed(expire) / KEYS


def plain(names: list[str]) -> tuple[float, float, float]:
    """Measure a dictionary whose front is deleted, which scans what was deleted."""
    entries: dict[str, int] = {}

    def expire() -> None:
        while entries:
            del entries[next(iter(entries))]

    return measure(entries, names, expire)


def ordered(names: list[str]) -> tuple[float, float, float]:
    """Measure an ordered dictionary, the way that is kept."""
    entries: OrderedDict[str, int] = OrderedDict()

    def expire() -> None:
        while entries:
            entries.popitem(last=False)

    return measure(entries, names, expire)


def blocks(names: list[str]) -> tuple[float, float, float]:
    """Return the same for one dictionary a time block."""
    parts: list[dict[str, int]] = [{} for _ in range(BLOCKS)]
    size = KEYS // BLOCKS

    def fill() -> None:
        for number, key in enumerate(names):
            parts[min(number // size, BLOCKS - 1)][key] = 1

    def look_up() -> None:
        for key in names[:LOOK_UPS]:
            for part in reversed(parts):
                if key in part:
                    break

    def expire() -> None:
        while parts:
            parts.pop(0)

    insert = timed(fill)
    found = timed(look_up)
    return insert / KEYS, found / LOOK_UPS, timed(expire) / KEYS


def timed(call: Callable[[], object]) -> float:
    """Return the time of a call in microseconds."""
    started = time.perf_counter()
    call()
    return (time.perf_counter() - started) * 1e6


def main() -> None:
    """Measure all ways in turns and print the medians."""
    names = keys()
    figures: dict[str, dict[str, float]] = {}
    ways = (("dictionary", plain), ("ordered", ordered), ("time_blocks", blocks))
    for name, way in ways:
        rounds = [way(names) for _ in range(ROUNDS)]
        figures[name] = {
            part: round(percentile([r[number] for r in rounds], 0.5), 3)
            for number, part in enumerate(("insert_us", "look_up_us", "expire_us"))
        }
        figures[name]["total_us"] = round(sum(figures[name].values()), 3)
    totals = {name: parts["total_us"] for name, parts in figures.items()}
    is_cheapest = totals["ordered"] == min(totals.values())
    finish("registry_expiry", figures, {"kept_way_is_cheapest": is_cheapest})


if __name__ == "__main__":
    main()
