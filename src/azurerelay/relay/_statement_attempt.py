"""The course of one statement."""

from dataclasses import dataclass

from azurerelay.routes import Route
from azurerelay.statements import Statement


@dataclass(slots=True)
class StatementAttempt:
    """The course of one statement, for its log line."""

    statement: Statement
    route: Route
    started_ms: float
    limit_ms: float
    count: int = 0
    endpoint: str = ""
    required: str = ""
    reason: str = "no endpoint could be used"
