"""One database name that callers may connect to."""

from dataclasses import dataclass

from azurerelay.routes._consistency import Consistency


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for one database name are served; times in milliseconds."""

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int
    max_attempts: int
