"""The configuration of a stand-in endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StandinConfig:
    """Identity, limits and simulated latencies of a stand-in endpoint.

    `slots` is the number of statements that run at once; `lag_ms` is how long after
    its receipt a replicated entry becomes visible on a replica. `round_trip_ms` is
    network latency that the daemon adds to each call.
    """

    name: str
    group: str
    address: str
    failure_domain: str
    slots: int = 3
    connection_limit: int = 45
    connect_ms: float = 12.0
    service_ms: float = 1.0
    lag_ms: float = 5.0
    round_trip_ms: float = 0.0
    can_fence: bool = True
