"""Counters of a serving host."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServingCounters:
    """Counts since the process started, partly exported as metrics."""

    replica_reads: int = 0
    primary_reads: int = 0
    writes: int = 0
    retries: int = 0
    shed: int = 0
    unknown_outcomes: int = 0
    replays: int = 0
    transactions: int = 0
    suspicions: int = 0
