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
class ReadCandidate:
    """What a host knows of an endpoint when it routes a read; times in ms.

    `cross_region_penalty_ms` is the penalty for leaving the host's region,
    `pending_statements` the number of this host's statements that run there or wait for
    a connection, and `position` the last position that the endpoint reported.
    """

    name: str
    round_trip_ms: float
    cross_region_penalty_ms: float
    service_ms: float
    pending_statements: int
    has_free_slot: bool
    position: Position | None
    lag_ms: float
    is_primary: bool


@dataclass(frozen=True, slots=True)
class RequiredPosition:
    """A position that a read requires, and the time since it was first known."""

    position: Position
    age_ms: float


def catch_up_ms(candidate: ReadCandidate, required: RequiredPosition) -> float:
    """Return the expected time until an endpoint reaches a position; 0 if it has."""
    if candidate.is_primary:
        return 0.0
    if candidate.position is not None and candidate.position >= required.position:
        return 0.0
    return max(0.0, candidate.lag_ms - required.age_ms)


def read_cost_ms(candidate: ReadCandidate) -> float:
    """Return a read's expected duration plus the penalty for leaving the region."""
    waiting = (
        candidate.pending_statements
        if candidate.has_free_slot
        else 2 * candidate.pending_statements
    )
    return (
        candidate.round_trip_ms
        + candidate.cross_region_penalty_ms
        + candidate.service_ms * (1 + waiting)
    )


def choose_endpoint(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return an endpoint of the lowest cost, within `TIE_TOLERANCE_MS`, if any.

    Replicas that are too far behind the required position are left out. The cost
    balances load: the average duration of a statement reflects the queue of all hosts
    at the endpoint, and the statements of this host there are added. Replicas that are
    slightly behind are considered, at a penalty; otherwise all reads of a burst that
    requires the newest position would go to the primary.
    """
    costs: list[tuple[float, ReadCandidate]] = []
    for candidate in candidates:
        wait_ms = catch_up_ms(candidate, required)
        if wait_ms <= MAX_CATCH_UP_MS:
            penalty_ms = (
                candidate.round_trip_ms + REFUSAL_PENALTY_MS if wait_ms > 0.0 else 0.0
            )
            costs.append((read_cost_ms(candidate) + penalty_ms, candidate))
    if not costs:
        return None
    best_ms = min(cost_ms for cost_ms, _ in costs)
    return random_source.choice(
        [
            candidate
            for cost_ms, candidate in costs
            if cost_ms <= best_ms + TIE_TOLERANCE_MS
        ]
    )
