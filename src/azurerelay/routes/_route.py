"""A route, which serves one database name."""

from dataclasses import dataclass

from azurerelay.routes._consistency import Consistency


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for the database name `database` are served.

    A lower `priority` number is served first when callers wait for a connection. Where
    customers are configured, callers of a route that `is_public` need no key.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout_ms: int
    target_latency_ms: int
    priority: int
    max_staleness_ms: int
    max_attempts: int
    is_public: bool = False
