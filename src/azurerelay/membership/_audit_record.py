"""One line of the audit trail."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """Who changed what, when (Unix milliseconds), from, to, and why."""

    index: int
    at_ms: int
    actor: str
    action: str
    path: str
    before: str
    after: str
    reason: str
