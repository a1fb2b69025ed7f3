"""Record of the audit trail."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """A change of the cluster state, or a decision that changed nothing.

    `index` is the log index of the command, `at_ms` the Unix time at which it was
    proposed, `path` the part of the state that it concerns.
    """

    index: int
    at_ms: int
    actor: str
    action: str
    path: str
    before: str
    after: str
    reason: str
