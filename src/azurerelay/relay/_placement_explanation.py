"""Where a statement would go now, and why, found without sending it."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from azurerelay.groups import EndpointPlacement, GroupConnections
from azurerelay.quotas import QuotaState
from azurerelay.relay._caller_session import (
    NO_ENDPOINT,
    NO_PRIMARY,
    NO_PROOF,
    staleness_bound_ms,
)
from azurerelay.routes import Consistency, Route
from azurerelay.statements import Position

# Endpoints listed at most, which keeps an answer below 100 KB.
MAX_LISTED_ENDPOINTS: Final = 100
NOT_ADMITTED: Final = "refused: no operation of the customer is admitted now"
FRESH_PROOF: Final = "a leadership proof requested when the read arrives"
NEXT_PROOF: Final = "the next leadership proof; no known position is recent enough"
KNOWN_POSITION: Final = "the lowest position proven within the staleness bound"
OWN_COMMITS: Final = "; higher if the session has a newer commit"


class StatementKind(Enum):
    """The kinds of statements whose placement differs."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin-read"


class PlacementError(Enum):
    """Why there is no explanation."""

    NO_CONFIGURATION = "this host has no configuration yet"
    UNKNOWN_DATABASE = "no route has this database name"
    UNKNOWN_CUSTOMER = "no customer with a key has this name"


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """A statement to explain; `customer` is a name, never a key, None without one."""

    database: str
    statement: StatementKind
    customer: str | None = None


@dataclass(frozen=True, slots=True)
class RequiredPositionState:
    """What a read requires; `age_ms` is the time since `position` was first known.

    If `is_assumed`, the read would wait for a proof, and `position` is the newest one
    known, None without one.
    """

    source: str
    position: Position | None
    age_ms: float | None
    is_assumed: bool


@dataclass(frozen=True, slots=True)
class GroupPlacement:
    """What the endpoints of a group mean for a statement.

    `obstacle` says why it would wait; empty if it would be sent. `required` is None if
    only the primary may serve the statement.
    """

    obstacle: str
    required: RequiredPositionState | None
    endpoints: tuple[EndpointPlacement, ...]


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """Where one statement would go from a host.

    `obstacle` says why it would be refused or wait; empty if it would be sent. Reads
    are placed by recent answers if `are_connections_scarce`, otherwise by lowest cost.
    `configuration_age_ms` is the time since the configuration was known to be the
    newest, None if it never was. Endpoints with the largest shares come first.
    """

    host: str
    database: str
    statement: StatementKind
    customer: str
    group: str
    consistency: Consistency
    configuration_version: int
    configuration_age_ms: float | None
    are_connections_scarce: bool
    obstacle: str
    quota: QuotaState | None
    required: RequiredPositionState | None
    endpoints: tuple[EndpointPlacement, ...]
    omitted_endpoints: int


def explain_group(
    kind: StatementKind,
    route: Route,
    group: GroupConnections,
    customer: str,
    now_ms: float,
) -> GroupPlacement:
    """Return what the endpoints of a group mean for a statement."""
    if kind in (StatementKind.WRITE, StatementKind.BEGIN):
        endpoints = group.explain_primary(customer)
        obstacle = "" if _is_any_chosen(endpoints) else f"waits: {NO_PRIMARY}"
        return GroupPlacement(obstacle, None, endpoints)
    required = _required_position(route, group, now_ms)
    endpoints = group.explain_read(required.position, customer)
    obstacle = ""
    if required.is_assumed and group.primary() is None:
        obstacle = f"waits: {NO_PROOF}"
    elif required.position is not None and not _is_any_chosen(endpoints):
        obstacle = f"waits: {NO_ENDPOINT}"
    return GroupPlacement(obstacle, required, endpoints)


def most_used(
    endpoints: tuple[EndpointPlacement, ...],
) -> tuple[EndpointPlacement, ...]:
    """Return the endpoints to list: the largest shares first, up to the maximum."""
    ranked = sorted(
        endpoints, key=lambda e: (-e.evaluation.share, e.evaluation.candidate.name)
    )
    return tuple(ranked[:MAX_LISTED_ENDPOINTS])


def _is_any_chosen(endpoints: tuple[EndpointPlacement, ...]) -> bool:
    return any(endpoint.evaluation.share > 0.0 for endpoint in endpoints)


def _required_position(
    route: Route, group: GroupConnections, now_ms: float
) -> RequiredPositionState:
    """Return what a read requires; unlike a session, start no proof."""
    known, source = None, FRESH_PROOF
    if route.consistency is not Consistency.PRIMARY:
        known = group.samples.covering(now_ms - staleness_bound_ms(route))
        source = NEXT_PROOF if known is None else KNOWN_POSITION
    if route.consistency is Consistency.OWN_WRITES:
        source += OWN_COMMITS
    newest = group.samples.newest
    position = known or (newest[1] if newest else None)
    age_ms = group.samples.age_ms(position, now_ms) if position else None
    return RequiredPositionState(source, position, age_ms, known is None)
