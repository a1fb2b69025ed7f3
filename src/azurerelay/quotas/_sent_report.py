"""A report that control may not have received."""

from dataclasses import dataclass

from azurerelay.quotas._messages import OperationCount


@dataclass(frozen=True, slots=True)
class SentReport:
    """Operations that were reported to a control host.

    `counted_ms` is when they were first reported. A repetition does not change it,
    since the operations count for no longer than their quota window.
    """

    counted_ms: float
    sent_ms: float
    control_host: str
    counts: tuple[OperationCount, ...]
