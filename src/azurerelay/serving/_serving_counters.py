"""Counts of what a serving host did."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServingCounters:
    """Counters that the metrics page shows."""

    replica_reads: int = 0
    primary_reads: int = 0
    writes: int = 0
    retries: int = 0
    shed: int = 0
    unknown: int = 0
    replays: int = 0
    transactions: int = 0
    suspicions: int = 0
