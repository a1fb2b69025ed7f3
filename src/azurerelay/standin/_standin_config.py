"""The shape of a stand-in endpoint."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StandinConfig:
    """Sizes and times of a stand-in; times in milliseconds."""

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
