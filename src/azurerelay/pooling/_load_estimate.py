"""What one host knows of an endpoint's load and health from its own statements."""

import math
import random
from dataclasses import dataclass
from typing import Final

# Half-life of the weight of an answer in the average duration. A host of a large fleet
# gets about one answer a second from an endpoint, so this is a few answers. With 2 s
# and with 10 s, the 99th percentile was higher (docs/design/even-load.md).
DURATION_HALF_LIFE_MS: Final = 5_000.0
# Half-life of the weight of an answer in the fraction of failures. It is longer,
# because a fraction takes more answers than an average.
FAILURE_HALF_LIFE_MS: Final = 5_000.0
# Successful answers that a host assumes before it has seen any, so that a single
# failure weighs little while the endpoint answers otherwise.
ASSUMED_SUCCESSES: Final = 1.0
# Recent failures, and the fraction of the answers that they are, from which an endpoint
# is set aside. One failure may be the fault of its statement.
MAX_FAILURES: Final = 1.5
MAX_FAILURE_FRACTION: Final = 0.3
# How long an endpoint is set aside, at random between half and one and a half times as
# long, so that the trials of many hosts are spread. The delay doubles up to the maximum
# with each relapse, and starts anew once the endpoint has been used for `HEALTHY_MS`.
FIRST_DELAY_MS: Final = 500.0
MAX_DELAY_MS: Final = 4_000.0
DELAY_JITTER: Final = 0.5
HEALTHY_MS: Final = 10_000.0
# After a successful trial, the time over which an endpoint returns to its full weight,
# and the weight with which it starts.
RETURN_MS: Final = 2_000.0
INITIAL_WEIGHT: Final = 0.1


@dataclass(frozen=True, slots=True)
class LoadKnowledge:
    """What a host knows of an endpoint when it routes a read.

    `mean_ms` is the average duration of the answers and `answers` their number, in
    which an answer counts less the older it is. `failure_fraction` is the fraction of
    recent answers that failed, `unanswered_ms` the time that the oldest statement in
    progress has taken so far. `weight` is the probability with which an endpoint is
    considered; it is below 1 while it returns. One that is on trial gets one statement
    at a time.
    """

    mean_ms: float = 0.0
    answers: float = 0.0
    failure_fraction: float = 0.0
    unanswered_ms: float = 0.0
    weight: float = 1.0
    is_set_aside: bool = False
    is_on_trial: bool = False


class LoadEstimate:
    """Estimates load and health from answers, failures and losses.

    Answers the load of endpoints that are slow, fail part of their statements, or
    alternate between down and up. An endpoint that fails is set aside. After a delay, a
    single statement tries it; if that succeeds, its weight increases over `RETURN_MS`.
    Of statements sent one after the other, at most two fail before the endpoint is set
    aside, and one in each trial. Failures from before a successful trial count no more.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._duration_sum_ms = 0.0
        self._answers = 0.0
        self._durations_updated_ms = 0.0
        self._failures = 0.0
        self._successes = 0.0
        self._failures_updated_ms = 0.0
        self._delay_ms = FIRST_DELAY_MS
        self._trial_at_ms: float | None = None
        self._returning_since_ms = -math.inf

    def knowledge(
        self, now_ms: float, unanswered_ms: float, pending_statements: int
    ) -> LoadKnowledge:
        """Return what is known now, with what the statements in progress tell."""
        answers = self._answers * self._remaining(
            now_ms - self._durations_updated_ms, DURATION_HALF_LIFE_MS
        )
        mean_ms = self._duration_sum_ms / self._answers if self._answers else 0.0
        remaining = self._remaining(
            now_ms - self._failures_updated_ms, FAILURE_HALF_LIFE_MS
        )
        is_trial_due = self._trial_at_ms is not None and now_ms >= self._trial_at_ms
        is_set_aside = self._trial_at_ms is not None and (
            not is_trial_due or pending_statements > 0
        )
        return LoadKnowledge(
            mean_ms,
            answers,
            0.0 if is_trial_due else self._failure_fraction(remaining),
            unanswered_ms,
            self._weight(now_ms),
            is_set_aside,
            is_trial_due,
        )

    def begin_return(self, now_ms: float) -> None:
        """Increase the weight slowly from now on, as after a successful trial."""
        self._returning_since_ms = now_ms

    def record_answer(self, duration_ms: float, now_ms: float) -> None:
        """Record a successful answer."""
        remaining = self._remaining(
            now_ms - self._durations_updated_ms, DURATION_HALF_LIFE_MS
        )
        self._duration_sum_ms = self._duration_sum_ms * remaining + duration_ms
        self._answers = self._answers * remaining + 1.0
        self._durations_updated_ms = now_ms
        self._decay_failures(now_ms)
        self._successes += 1.0
        if self._trial_at_ms is not None and now_ms >= self._trial_at_ms:
            self._trial_at_ms = None
            self._returning_since_ms = now_ms
            self._failures = 0.0
        elif now_ms - self._returning_since_ms >= HEALTHY_MS:
            self._delay_ms = FIRST_DELAY_MS

    def record_failure(self, now_ms: float) -> None:
        """Record a statement that failed, was refused, or got no answer in time."""
        self._decay_failures(now_ms)
        self._failures += 1.0
        is_returning = self._trial_at_ms is not None or self._weight(now_ms) < 1.0
        is_failing = (
            self._failures >= MAX_FAILURES
            and self._failure_fraction(1.0) >= MAX_FAILURE_FRACTION
        )
        if is_returning or is_failing:
            self._set_aside(now_ms)

    def record_loss(self, now_ms: float) -> None:
        """Record that the endpoint is lost; attempts to connect change nothing more.

        Meanwhile the pool leaves it out, so the trial may be due when it is back.
        """
        self._decay_failures(now_ms)
        self._failures += 1.0
        if self._trial_at_ms is None:
            self._set_aside(now_ms)

    def _set_aside(self, now_ms: float) -> None:
        """Set the endpoint aside; what was in progress then does not extend it."""
        if self._trial_at_ms is not None and now_ms < self._trial_at_ms:
            return
        jitter = self._random.uniform(1.0 - DELAY_JITTER, 1.0 + DELAY_JITTER)
        self._trial_at_ms = now_ms + self._delay_ms * jitter
        self._delay_ms = min(MAX_DELAY_MS, 2.0 * self._delay_ms)

    def _weight(self, now_ms: float) -> float:
        elapsed = (now_ms - self._returning_since_ms) / RETURN_MS
        return min(1.0, INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * max(0.0, elapsed))

    def _failure_fraction(self, remaining: float) -> float:
        failures = self._failures * remaining
        return failures / (failures + self._successes * remaining + ASSUMED_SUCCESSES)

    def _decay_failures(self, now_ms: float) -> None:
        remaining = self._remaining(
            now_ms - self._failures_updated_ms, FAILURE_HALF_LIFE_MS
        )
        self._failures *= remaining
        self._successes *= remaining
        self._failures_updated_ms = now_ms

    @staticmethod
    def _remaining(elapsed_ms: float, half_life_ms: float) -> float:
        return math.exp2(-elapsed_ms / half_life_ms)
