"""The mix of operations that simulated callers perform."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class LoadMix:
    """The number of callers, the weights of their operations and their parameters.

    `mean_pause_ms` is the mean pause between two operations of a caller. For
    `duplicate_percent` of the attempts at keyed writes, the request is sent three times
    at once, each time to a random entry host.
    """

    stale_reads: int
    session_reads: int
    keyed_writes: int
    repeatable_writes: int
    transactions: int
    callers: int
    mean_pause_ms: float
    max_staleness_ms: int
    duplicate_percent: int = 0


CHILDCARE_MIX: Final = LoadMix(
    stale_reads=80,
    session_reads=10,
    keyed_writes=5,
    repeatable_writes=3,
    transactions=2,
    callers=30,
    mean_pause_ms=80.0,
    max_staleness_ms=2_000,
)

ALERT_DESK_MIX: Final = LoadMix(
    stale_reads=50,
    session_reads=20,
    keyed_writes=20,
    repeatable_writes=5,
    transactions=5,
    callers=30,
    mean_pause_ms=80.0,
    max_staleness_ms=1_000,
)
