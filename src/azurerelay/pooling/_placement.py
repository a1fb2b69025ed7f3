"""The choice of an endpoint for a read."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.statements import Position

# An endpoint that was behind this short a time ago is taken to be behind still.
BEHIND_MEMORY_MS: Final = 40.0
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
    position_age_ms: float
    is_primary: bool


def is_likely_behind(view: EndpointView, required: Position | None) -> bool:
    """Return whether an endpoint was lately seen below a position."""
    if required is None or view.is_primary or view.position is None:
        return False
    return view.position < required and view.position_age_ms < BEHIND_MEMORY_MS


def expected_ms(view: EndpointView) -> float:
    """Return how long a read is expected to take there, with what the way costs."""
    waiting = view.in_use if view.has_free_slot else 2 * view.in_use
    return view.round_trip_ms + view.detour_ms + view.service_ms * (1 + waiting)


def choose_endpoint(
    views: Iterable[EndpointView],
    required: Position | None,
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
