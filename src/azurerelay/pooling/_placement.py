"""The choice of an endpoint for a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.statements import Position

# Endpoints whose costs differ by less share the load at random, so that hosts which
# all see the same costs do not move to the same endpoint together.
TIE_MS: Final = 4.0


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


def is_likely_behind(view: EndpointView, required: RequiredPosition) -> bool:
    """Return whether a read would probably not find its position there."""
    if view.is_primary:
        return False
    if view.position is not None and view.position >= required.position:
        return False
    return required.age_ms < view.lag_ms


def expected_ms(view: EndpointView) -> float:
    """Return how long a read is expected to take there, with what the way costs."""
    waiting = view.in_use if view.has_free_slot else 2 * view.in_use
    return view.round_trip_ms + view.detour_ms + view.service_ms * (1 + waiting)


def choose_endpoint(
    views: Iterable[EndpointView],
    required: RequiredPosition,
    random_source: random.Random,
) -> EndpointView | None:
    """Return the endpoint with the least expected time that is not behind.

    Answers uneven load: the average time a statement takes shows the queue that all
    hosts together make at an endpoint, and what this host has there is added.
    """
    candidates = [view for view in views if not is_likely_behind(view, required)]
    if not candidates:
        return None
    best_ms = min(expected_ms(view) for view in candidates)
    return random_source.choice(
        [view for view in candidates if expected_ms(view) <= best_ms + TIE_MS]
    )
