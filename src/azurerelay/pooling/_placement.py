"""Choice of the endpoint that serves a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.statements import Position

# Among endpoints whose costs differ by at most this, one is chosen at random, so that
# hosts that see the same costs do not all move to the same endpoint at once.
TIE_TOLERANCE_MS: Final = 4.0
# A replica that is expected to reach the required position within this time may have
# it when the read arrives; about the lag of a healthy replica.
MAX_CATCH_UP_MS: Final = 50.0
# Added, with a round trip, to the cost of such a replica, because it may refuse the
# read. A refused read does not run and takes no slot.
REFUSAL_PENALTY_MS: Final = 40.0


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What a host knows of an endpoint when it routes a read; times in ms.

    `detour_ms` is the penalty for leaving the host's region, `in_use` the number of
    this host's statements that run there or wait for a connection, and `position` the
    last position that the endpoint reported.
    """

    name: str
    round_trip_ms: float
    detour_ms: float
    service_ms: float
    in_use: int
    has_free_slot: bool
    position: Position | None
    lag_ms: float
    is_primary: bool


@dataclass(frozen=True, slots=True)
class RequiredPosition:
    """A position that a read requires, and the time since it was first known."""

    position: Position
    age_ms: float


def catch_up_ms(view: EndpointView, required: RequiredPosition) -> float:
    """Return the expected time until an endpoint reaches a position; 0 if it has."""
    if view.is_primary:
        return 0.0
    if view.position is not None and view.position >= required.position:
        return 0.0
    return max(0.0, view.lag_ms - required.age_ms)


def read_cost_ms(view: EndpointView) -> float:
    """Return a read's expected duration plus the penalty for leaving the region."""
    waiting = view.in_use if view.has_free_slot else 2 * view.in_use
    return view.round_trip_ms + view.detour_ms + view.service_ms * (1 + waiting)


def choose_endpoint(
    views: Iterable[EndpointView],
    required: RequiredPosition,
    random_source: random.Random,
) -> EndpointView | None:
    """Return an endpoint of the lowest cost, within `TIE_TOLERANCE_MS`, if any.

    Replicas that are too far behind the required position are left out. The cost
    balances load: the average duration of a statement reflects the queue of all hosts
    at the endpoint, and the statements of this host there are added. Replicas that are
    slightly behind are considered, at a penalty; otherwise all reads of a burst that
    requires the newest position would go to the primary.
    """
    costs: list[tuple[float, EndpointView]] = []
    for view in views:
        wait_ms = catch_up_ms(view, required)
        if wait_ms <= MAX_CATCH_UP_MS:
            penalty_ms = (
                view.round_trip_ms + REFUSAL_PENALTY_MS if wait_ms > 0.0 else 0.0
            )
            costs.append((read_cost_ms(view) + penalty_ms, view))
    if not costs:
        return None
    best_ms = min(cost_ms for cost_ms, _ in costs)
    return random_source.choice(
        [view for cost_ms, view in costs if cost_ms <= best_ms + TIE_TOLERANCE_MS]
    )
