"""What a host knows of an endpoint when it decides where a statement goes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointPlacement:
    """An endpoint in the explanation of a placement; times in ms.

    `share` is the fraction of statements like this one that would go there. `cost_ms`
    is None unless the endpoint may serve the read, and `exclusion` says why it may not.
    `outcome_age_ms` is the age of the newest answer or failure, `position_age_ms` that
    of the endpoint's `position`; both None before the first. With a `weight` below 1
    the endpoint returns to use, and is considered with that probability. One that
    `is_crowded` has its connections in use, or taken by other hosts.
    """

    endpoint: str
    failure_domain: str
    is_primary: bool
    share: float
    cost_ms: float | None
    exclusion: str
    outcome_age_ms: float | None
    position: str | None
    position_age_ms: float | None
    lag_ms: float
    service_ms: float
    round_trip_ms: float
    cross_region_penalty_ms: float
    connect_ms: float
    pending_statements: int
    has_free_slot: bool
    is_crowded: bool
    failure_fraction: float
    weight: float
