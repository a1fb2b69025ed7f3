"""The choice of an endpoint for a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.statements import Position

# Endpoints whose costs differ by less share the load at random, so that hosts which
# all see the same costs do not move to the same endpoint together.
TIE_MS: Final = 4.0
# A replica that is behind by no more than this may have the position when the read
# arrives; about a healthy replica's lag.
NEARLY_MS: Final = 50.0
# What the chance of a refusal there costs: it runs nothing, and takes no slot.
REFUSAL_RISK_MS: Final = 40.0


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What a host knows of an endpoint as it places a read; times in ms."""

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
    """A position that a read must find, and for how long it has been reached."""

    position: Position
    age_ms: float


def behind_ms(view: EndpointView, required: RequiredPosition) -> float:
    """Return in how long a read is expected to find its position there; 0 for now."""
    if view.is_primary:
        return 0.0
    if view.position is not None and view.position >= required.position:
        return 0.0
    return max(0.0, view.lag_ms - required.age_ms)


def expected_ms(view: EndpointView) -> float:
    """Return how long a read is expected to take there, with what the way costs."""
    waiting = view.in_use if view.has_free_slot else 2 * view.in_use
    return view.round_trip_ms + view.detour_ms + view.service_ms * (1 + waiting)


def choose_endpoint(
    views: Iterable[EndpointView],
    required: RequiredPosition,
    random_source: random.Random,
) -> EndpointView | None:
    """Return the endpoint with the least expected time that is not far behind.

    Answers uneven load: the average time a statement takes shows the queue that all
    hosts together make at an endpoint, and what this host has there is added. Answers
    bursts of reads that need the newest position, too: all would go to the primary.
    """
    costs: list[tuple[float, EndpointView]] = []
    for view in views:
        missing_ms = behind_ms(view, required)
        if missing_ms <= NEARLY_MS:
            risk_ms = view.round_trip_ms + REFUSAL_RISK_MS if missing_ms > 0.0 else 0.0
            costs.append((expected_ms(view) + risk_ms, view))
    if not costs:
        return None
    best_ms = min(cost_ms for cost_ms, _ in costs)
    return random_source.choice(
        [view for cost_ms, view in costs if cost_ms <= best_ms + TIE_MS]
    )
