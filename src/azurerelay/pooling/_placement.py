"""Choice of the endpoint that serves a read."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from azurerelay.pooling._duration_average import INITIAL_SERVICE_MS
from azurerelay.pooling._load_estimate import LoadKnowledge
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
# How many answers of the group's average duration count like an endpoint's own ones, so
# that an endpoint of which little or nothing recent is known is taken for an average
# one.
ASSUMED_ANSWERS: Final = 1.0
# What a failed attempt costs a caller: about the time of two more attempts, one in
# another region. An endpoint that fails half its reads is left for another region.
FAILURE_COST_MS: Final = 200.0
SET_ASIDE: Final = "set aside after failures"
# Draws with which an explanation estimates how reads are shared out. A share of 5 %
# shows up in them with a probability of 96 %.
MAX_DRAWS: Final = 64
# Candidates that all draws together look at, so that explaining a large group is cheap.
MAX_DRAWN_CANDIDATES: Final = 1_024


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """What a host knows of an endpoint when it routes a read; times in ms.

    `cross_region_penalty_ms` is the penalty for leaving the host's region,
    `pending_statements` the number of this host's statements that run there or wait for
    a connection, and `position` the last position that the endpoint reported.
    `service_ms` includes `connect_ms`, what opening a connection adds to the statement.
    `load` and `connect_ms` are used by `choose_by_recent_answers`, in place of
    `service_ms`.
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
    load: LoadKnowledge = LoadKnowledge()
    connect_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EvaluatedCandidate:
    """Why a candidate is left out, or its cost, and the share of reads that it gets."""

    candidate: ReadCandidate
    exclusion: str
    cost_ms: float | None = None
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class RequiredPosition:
    """A position that a read requires, and the time since it was first known."""

    position: Position
    age_ms: float


ReadPolicy = Callable[
    [Iterable[ReadCandidate], RequiredPosition, random.Random], ReadCandidate | None
]


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


def _qualifying(
    candidates: Iterable[ReadCandidate], required: RequiredPosition
) -> Iterator[tuple[float, ReadCandidate]]:
    """Yield the candidates that may have the position, each with its penalty in ms."""
    for candidate in candidates:
        wait_ms = catch_up_ms(candidate, required)
        if wait_ms <= MAX_CATCH_UP_MS:
            penalty_ms = (
                candidate.round_trip_ms + REFUSAL_PENALTY_MS if wait_ms > 0.0 else 0.0
            )
            yield penalty_ms, candidate


def _read_costs(
    candidates: Iterable[ReadCandidate], required: RequiredPosition
) -> list[tuple[float, ReadCandidate]]:
    """Return the endpoints that `choose_endpoint` chooses from, and their costs."""
    return [
        (read_cost_ms(candidate) + penalty_ms, candidate)
        for penalty_ms, candidate in _qualifying(candidates, required)
    ]


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
    costs = _read_costs(candidates, required)
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


def expected_cost_ms(candidate: ReadCandidate, average_ms: float) -> float:
    """Return a read's expected cost, given the average duration in the group.

    Own answers are averaged with the group's average, which counts more the older they
    are. A statement that is in progress for longer raises the expectation at once.
    """
    load = candidate.load
    mean_ms = (load.answers * load.mean_ms + ASSUMED_ANSWERS * average_ms) / (
        load.answers + ASSUMED_ANSWERS
    )
    waiting = (
        candidate.pending_statements
        if candidate.has_free_slot
        else 2 * candidate.pending_statements
    )
    return (
        candidate.round_trip_ms
        + candidate.cross_region_penalty_ms
        + candidate.connect_ms
        + load.failure_fraction * FAILURE_COST_MS
        + max(mean_ms, load.unanswered_ms - candidate.round_trip_ms) * (1 + waiting)
    )


def expected_costs(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> list[tuple[float, ReadCandidate]]:
    """Return the endpoints to choose from by recent answers, and their costs.

    Endpoints that are set aside are left out, and returning ones part of the time,
    unless no other one is left.
    """
    return _expected_costs(
        candidates,
        required,
        lambda candidate: random_source.random() < candidate.load.weight,
    )


def _expected_costs(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    considers_returning: Callable[[ReadCandidate], bool],
) -> list[tuple[float, ReadCandidate]]:
    qualifying = list(_qualifying(candidates, required))
    options = [
        (penalty_ms, candidate)
        for penalty_ms, candidate in qualifying
        if not candidate.load.is_set_aside
        and (candidate.load.weight >= 1.0 or considers_returning(candidate))
    ] or qualifying
    answers = sum(candidate.load.answers for _, candidate in options)
    durations_ms = sum(
        candidate.load.answers * candidate.load.mean_ms for _, candidate in options
    )
    average_ms = (durations_ms + ASSUMED_ANSWERS * INITIAL_SERVICE_MS) / (
        answers + ASSUMED_ANSWERS
    )
    return [
        (penalty_ms + expected_cost_ms(candidate, average_ms), candidate)
        for penalty_ms, candidate in options
    ]


def choose_by_recent_answers(
    candidates: Iterable[ReadCandidate],
    required: RequiredPosition,
    random_source: random.Random,
) -> ReadCandidate | None:
    """Return the endpoint with the lowest cost expected from recent answers, if any.

    Answers the load of many hosts that choose at the same time, each from few and old
    answers of its own, while an endpoint is slow, fails part of its statements, or
    alternates between down and up. Only the host's own statements in progress are known
    exactly. Hosts do not move together, since no two of them have the same answers;
    equal costs, as after a start, are decided at random.
    """
    costs = expected_costs(candidates, required, random_source)
    if not costs:
        return None
    best_ms = min(cost_ms for cost_ms, _ in costs)
    return random_source.choice(
        [candidate for cost_ms, candidate in costs if cost_ms <= best_ms]
    )


def evaluate_candidates(
    candidates: Sequence[ReadCandidate],
    required: RequiredPosition,
    choose: ReadPolicy,
) -> list[EvaluatedCandidate]:
    """Explain what a policy would choose, without its random numbers.

    The costs are those with all returning endpoints considered. The shares come from
    draws of the policy itself with a random source of their own.
    """
    costs = (
        _expected_costs(candidates, required, lambda _: True)
        if choose is choose_by_recent_answers
        else _read_costs(candidates, required)
    )
    cost_by_name = {candidate.name: cost_ms for cost_ms, candidate in costs}
    draws = max(1, min(MAX_DRAWS, MAX_DRAWN_CANDIDATES // max(1, len(candidates))))
    random_source = random.Random(0)
    drawn = [choose(candidates, required, random_source) for _ in range(draws)]
    counts = Counter(candidate.name for candidate in drawn if candidate is not None)
    return [
        EvaluatedCandidate(
            candidate,
            "" if candidate.name in cost_by_name else _exclusion(candidate, required),
            cost_by_name.get(candidate.name),
            counts[candidate.name] / draws,
        )
        for candidate in candidates
    ]


def _exclusion(candidate: ReadCandidate, required: RequiredPosition) -> str:
    wait_ms = catch_up_ms(candidate, required)
    if wait_ms > MAX_CATCH_UP_MS:
        return f"{wait_ms:.0f} ms behind the required position"
    return SET_ASIDE
