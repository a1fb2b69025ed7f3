"""Counts of the entry hosts that suspect a primary."""

from collections.abc import Iterable
from dataclasses import dataclass

from azurerelay.attachment._messages import PrimarySuspicion


@dataclass(frozen=True, slots=True)
class SuspectedPrimaryReport:
    """How many entry hosts suspect a primary, and for how long at most.

    The names of the hosts are left out: when a primary is lost, hundreds of hosts
    suspect it, and control hosts report to the leader across regions. `certain_hosts`
    counts those whose suspicion is certain.
    """

    group: str
    endpoint: str
    hosts: int
    longest_ms: float
    certain_hosts: int
    longest_certain_ms: float

    @classmethod
    def of(
        cls, suspicion: PrimarySuspicion, reported_ms_ago: float
    ) -> "SuspectedPrimaryReport":
        """Return the report of a single host's suspicion."""
        silent_ms = suspicion.silent_ms + reported_ms_ago
        return cls(
            suspicion.group,
            suspicion.endpoint,
            1,
            silent_ms,
            int(suspicion.is_certain),
            silent_ms if suspicion.is_certain else 0.0,
        )


def merge_suspicions(
    reports: Iterable[SuspectedPrimaryReport],
) -> tuple[SuspectedPrimaryReport, ...]:
    """Return one report for each suspected primary."""
    merged: dict[tuple[str, str], SuspectedPrimaryReport] = {}
    for report in reports:
        key = report.group, report.endpoint
        known = merged.get(key)
        if known is not None:
            report = SuspectedPrimaryReport(
                report.group,
                report.endpoint,
                known.hosts + report.hosts,
                max(known.longest_ms, report.longest_ms),
                known.certain_hosts + report.certain_hosts,
                max(known.longest_certain_ms, report.longest_certain_ms),
            )
        merged[key] = report
    return tuple(merged.values())
