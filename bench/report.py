"""The report that ends a benchmark: one JSON line and the exit status."""

import json
import sys
from typing import Any


def print_report_and_exit(
    name: str, results: dict[str, Any], targets: dict[str, bool]
) -> None:
    """Print results and targets as one JSON line; exit 1 if a target is missed."""
    is_met = all(targets.values())
    line = {"bench": name, "is_met": is_met, "targets": targets, **results}
    print(json.dumps(line))
    sys.exit(0 if is_met else 1)


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at `fraction` (0 to 1) of the sorted values; NaN if empty."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
