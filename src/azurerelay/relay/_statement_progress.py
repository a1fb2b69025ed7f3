"""State of one statement while it is being served."""

from dataclasses import dataclass

from azurerelay.routes import Route
from azurerelay.statements import Statement


@dataclass(slots=True)
class StatementProgress:
    """State of one statement across all its attempts, as reported in its event.

    `started_ms` and `deadline_ms` are times of the timer service, `attempt_count` is
    how often a connection was ready for the statement, and `reason` is why it has not
    been served yet. `is_sent` is whether an endpoint has it and has not answered, and
    `has_unanswered_attempt` whether an earlier attempt has not been answered.
    `customer` is empty for callers without one. `admitted_ms` is when the customer's
    quota admitted the operation, until its start or refund is reported.
    """

    statement: Statement
    route: Route
    started_ms: float
    deadline_ms: float
    attempt_count: int = 0
    endpoint: str = ""
    required_position: str = ""
    reason: str = "no endpoint could be used"
    is_sent: bool = False
    has_unanswered_attempt: bool = False
    customer: str = ""
    admitted_ms: float | None = None
