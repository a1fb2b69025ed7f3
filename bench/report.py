"""The last line of every measurement: one JSON object, and the exit status."""

import json
import sys
from typing import Any


def finish(name: str, figures: dict[str, Any], targets: dict[str, bool]) -> None:
    """Print figures and targets; exit 1 when a target is missed."""
    is_met = all(targets.values())
    line = {"bench": name, "is_met": is_met, "targets": targets, **figures}
    print(json.dumps(line))
    sys.exit(0 if is_met else 1)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
