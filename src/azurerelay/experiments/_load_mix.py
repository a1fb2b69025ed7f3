"""What callers do, as weights."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Weights of operations, the pause between them and the staleness bound.

    `resend_percent` of the keyed writes are sent again at once through other hosts.
    """

    stale_reads: int
    session_reads: int
    keyed_writes: int
    repeatable_writes: int
    transactions: int
    callers: int
    pause_ms: float
    max_staleness_ms: int
    resend_percent: int = 0


CHILDCARE_MIX: Final = LoadMix(
    stale_reads=80,
    session_reads=10,
    keyed_writes=5,
    repeatable_writes=3,
    transactions=2,
    callers=30,
    pause_ms=80.0,
    max_staleness_ms=2_000,
)

ALERT_DESK_MIX: Final = LoadMix(
    stale_reads=50,
    session_reads=20,
    keyed_writes=20,
    repeatable_writes=5,
    transactions=5,
    callers=30,
    pause_ms=80.0,
    max_staleness_ms=1_000,
)
