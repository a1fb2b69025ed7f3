"""The sizes and latencies of a deployment."""

from dataclasses import dataclass
from typing import Final

from azurerelay.embedded._place import Place


@dataclass(frozen=True, slots=True)
class SystemShape:
    """The sizes and latencies of a deployment.

    The network latencies are one way: `local_ms` within a failure domain,
    `between_domains_ms` between failure domains of a region, `between_regions_ms`
    between regions and `to_callers_ms` between callers and entry hosts. Hosts and
    endpoints are assigned to `places` in turn. `slots` and `connection_limit` are
    those of each endpoint.
    """

    name: str
    places: tuple[Place, ...]
    groups: tuple[str, ...]
    endpoints_per_group: int = 3
    entry_hosts: int = 6
    control_hosts: int = 3
    slots: int = 3
    connection_limit: int = 45
    connect_ms: float = 12.0
    service_ms: float = 1.0
    lag_ms: float = 5.0
    local_ms: float = 0.2
    between_domains_ms: float = 1.5
    between_regions_ms: float = 12.0
    to_callers_ms: float = 1.0


CHILDCARE: Final = SystemShape(
    name="childcare",
    places=(
        Place("trinidad", "north"),
        Place("trinidad", "central"),
        Place("trinidad", "south"),
    ),
    groups=("roster-north", "roster-central", "roster-south"),
)

ALERT_DESK: Final = SystemShape(
    name="alert desk",
    places=(
        Place("gulf-coast", "houston"),
        Place("gulf-coast", "atlanta"),
        Place("gulf-coast", "new-orleans"),
    ),
    groups=("members-utilities", "members-pipelines", "members-airlines"),
    connection_limit=100,
    between_domains_ms=0.5,
    to_callers_ms=3.0,
)
