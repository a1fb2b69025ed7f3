"""Runs reads on a replica or on the primary."""

from result import Err, Ok, Result

from azurerelay.endpoints import (
    EndpointAnswer,
    EndpointFailure,
    StatementCall,
    StatusCall,
)
from azurerelay.limits import Priority, Shed
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.retries import Backoff, RetryBudget
from azurerelay.routing import (
    EndpointView,
    PositionTracker,
    ReadConstraints,
    ReadRouter,
    RouteCandidate,
    Verdict,
)
from azurerelay.serving._answers import (
    DEFAULT_RETRY_AFTER_MS,
    failure_answer,
    not_run,
    shed_answer,
)
from azurerelay.serving._channels import Channels, guarded
from azurerelay.serving._confirmer import Confirmer
from azurerelay.serving._explanation import Explanation
from azurerelay.serving._prober import Prober
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import sleep, spawn, with_timeout

# Reads with a tighter staleness bound do not wait for replicas to catch up.
MIN_CATCH_UP_BOUND_MS = 5

ReadAttempt = Result[CallerAnswer, CallerAnswer]


class ReadPath:
    """Read from an eligible replica, else from the primary.

    An eligible replica holds the position in the session token and meets the
    staleness bound.
    """

    def __init__(
        self,
        context: ServingContext,
        tracker: PositionTracker,
        channels: Channels,
        confirmer: Confirmer,
        prober: Prober,
        budget: RetryBudget,
    ) -> None:
        self._context = context
        self._tracker = tracker
        self._channels = channels
        self._confirmer = confirmer
        self._prober = prober
        self._budget = budget
        self._router = ReadRouter(tracker, context.policy.probe_misses)

    async def run(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        """Run a read, with retries within the deadline and the retry budget."""
        context = self._context
        self._router.set_probe_misses(context.policy.probe_misses)
        constraints = self._constraints(request)
        backoff = Backoff(context.policy.retry_backoff_ms, context.random_source)
        excluded: set[str] = set()
        while True:
            outcome = await self._try_once(
                request, constraints, deadline_ms, excluded, explanation
            )
            if isinstance(outcome, Ok):
                self._budget.record_success()
                return outcome.ok_value
            failed = outcome.err_value
            is_past_deadline = context.now_ms() >= deadline_ms
            if (
                not _is_retryable(failed)
                or is_past_deadline
                or not self._budget.try_spend()
            ):
                return failed
            context.counters.retries += 1
            wait_ms = backoff.next_ms()
            explanation.add_line(
                f"retry {backoff.retry_count} after {wait_ms:.1f} ms: {failed.detail}"
            )
            await sleep(context.timers, wait_ms)

    def _constraints(self, request: CallerRequest) -> ReadConstraints:
        bound_ms = request.max_staleness_ms
        if bound_ms is None:
            bound_ms = self._context.policy.max_staleness_ms
        return ReadConstraints(request.token_term, request.token_position, bound_ms)

    async def _try_once(
        self,
        request: CallerRequest,
        constraints: ReadConstraints,
        deadline_ms: float,
        excluded: set[str],
        explanation: Explanation,
    ) -> ReadAttempt:
        candidate = self._route(constraints, excluded, explanation)
        if candidate is None and self._may_catch_up(constraints, excluded):
            await self._wait_for_catch_up(
                constraints, deadline_ms, excluded, explanation
            )
            candidate = self._route(constraints, excluded, explanation)
        if candidate is None:
            return await self._read_primary(
                request, constraints, deadline_ms, explanation
            )
        outcome = await self._read_replica(
            candidate.name, request, constraints, deadline_ms, explanation
        )
        if isinstance(outcome, Err):
            excluded.add(candidate.name)
        return outcome

    def _route(
        self, constraints: ReadConstraints, excluded: set[str], explanation: Explanation
    ) -> RouteCandidate | None:
        now_ms = self._context.now_ms()
        candidates = [
            self._candidate(view, constraints, now_ms)
            for view in self._tracker.views.values()
            if view.name not in excluded
        ]
        chosen = self._router.choose(candidates)
        if explanation.is_wanted:
            for candidate in candidates:
                explanation.add_line(_describe_candidate(candidate))
            explanation.add_line(
                f"chosen: {chosen.name if chosen else 'none of the replicas'}"
            )
        return chosen

    def _candidate(
        self, view: EndpointView, constraints: ReadConstraints, now_ms: float
    ) -> RouteCandidate:
        channel = self._channels.by_name.get(view.name)
        is_serving = channel is not None and channel.is_serving
        staleness_ms = self._tracker.staleness_ms(view.position, now_ms)
        verdict = self._router.endpoint_verdict(
            view, is_serving, constraints, staleness_ms
        )
        expected_ms = view.round_trip_ms
        if channel is not None and verdict is Verdict.ELIGIBLE:
            expected_ms += channel.gate.expected_response_ms
        return RouteCandidate(view.name, verdict, expected_ms, staleness_ms)

    def _may_catch_up(self, constraints: ReadConstraints, excluded: set[str]) -> bool:
        if constraints.max_staleness_ms < MIN_CATCH_UP_BOUND_MS:
            return False
        return any(
            self._is_nearly_caught_up(view)
            for view in self._tracker.views.values()
            if view.name not in excluded
        )

    def _is_nearly_caught_up(self, view: EndpointView) -> bool:
        channel = self._channels.by_name.get(view.name)
        is_serving = channel is not None and channel.is_serving
        is_healthy = view.misses == 0 and view.synced_term == self._tracker.term
        is_replica = view.name != self._context.record.primary
        lag_ms = self._tracker.lag_ms(view.position)
        is_lag_small = lag_ms is not None and lag_ms <= self._catch_up_limit_ms
        return is_serving and is_healthy and is_replica and is_lag_small

    @property
    def _catch_up_limit_ms(self) -> float:
        policy = self._context.policy
        return float(policy.catch_up_wait_ms + policy.probe_interval_ms)

    async def _wait_for_catch_up(
        self,
        constraints: ReadConstraints,
        deadline_ms: float,
        excluded: set[str],
        explanation: Explanation,
    ) -> None:
        """Wait until a nearly caught-up replica is eligible or the wait ends.

        Sample the primary's position first if the staleness bound is tight.
        """
        context = self._context
        started_ms = context.now_ms()
        wait_until_ms = min(started_ms + context.policy.catch_up_wait_ms, deadline_ms)
        needs_sample = constraints.max_staleness_ms < 2 * self._catch_up_limit_ms
        if needs_sample:
            await self._prober.sample_primary()
        target = max(
            constraints.position, self._last_primary_position if needs_sample else 0
        )
        for view in list(self._tracker.views.values()):
            if self._is_nearly_caught_up(view) and view.name not in excluded:
                spawn(self._poll_replica(view.name, target, wait_until_ms))
        while context.now_ms() < wait_until_ms and not self._is_any_eligible(
            constraints, excluded
        ):
            remaining_ms = wait_until_ms - context.now_ms()
            await with_timeout(context.timers, self._tracker.progress, remaining_ms)
        waited_ms = context.now_ms() - started_ms
        explanation.add_line(f"waited {waited_ms:.1f} ms for a replica to catch up")

    @property
    def _last_primary_position(self) -> int:
        view = self._tracker.views.get(self._context.record.primary or "")
        return view.position if view else 0

    def _is_any_eligible(
        self, constraints: ReadConstraints, excluded: set[str]
    ) -> bool:
        unused_explanation = Explanation(is_wanted=False)
        return self._route(constraints, excluded, unused_explanation) is not None

    async def _poll_replica(
        self, name: str, position: int, wait_until_ms: float
    ) -> None:
        context = self._context
        endpoint = context.state.endpoints.get(name)
        if endpoint is None:
            return
        sent_ms = context.now_ms()
        wait_ms = max(1.0, wait_until_ms - sent_ms)
        outcome = await context.endpoints.request(
            endpoint.address,
            StatusCall(position, wait_ms),
            wait_ms + context.policy.probe_timeout_ms,
        )
        if isinstance(outcome, Ok):
            self._tracker.record_answer(
                name, outcome.ok_value, sent_ms, context.now_ms()
            )

    async def _read_replica(
        self,
        name: str,
        request: CallerRequest,
        constraints: ReadConstraints,
        deadline_ms: float,
        explanation: Explanation,
    ) -> ReadAttempt:
        context = self._context
        term = self._tracker.term
        call = StatementCall(term, False, request.statement, request.parameters)
        channel = self._channels.by_name[name]
        sent_ms = context.now_ms()
        outcome = await channel.run(
            lambda: call, _priority(request), request.caller, deadline_ms
        )
        if isinstance(outcome, Err):
            return Err(_error_answer(outcome.err_value, name))
        answer = outcome.ok_value
        self._tracker.record_answer(name, answer, sent_ms, context.now_ms())
        if answer.position > self._tracker.confirmed_position:
            explanation.add_line(
                f"{name} is ahead of the majority; waiting for confirmation"
            )
            if not await self._confirmer.confirm(term, answer.position, deadline_ms):
                return Err(_stale(f"{name}: its state was not confirmed"))
        staleness_ms = self._tracker.staleness_ms(answer.position, context.now_ms())
        if staleness_ms is None or staleness_ms > constraints.max_staleness_ms:
            return Err(_stale(f"{name}: beyond the staleness bound when it answered"))
        if answer.position < constraints.position or answer.term != term:
            return Err(_stale(f"{name}: behind the session when it answered"))
        context.counters.replica_reads += 1
        return Ok(_read_answer(answer, name, staleness_ms, is_replica=True))

    async def _read_primary(
        self,
        request: CallerRequest,
        constraints: ReadConstraints,
        deadline_ms: float,
        explanation: Explanation,
    ) -> ReadAttempt:
        context = self._context
        usable_primary = await self._channels.wait_for_primary(
            self._channels.primary_wait_deadline_ms(deadline_ms), is_write=False
        )
        if isinstance(usable_primary, Err):
            return Err(usable_primary.err_value)
        channel = usable_primary.ok_value
        name = channel.record.name
        term = context.record.term
        call = StatementCall(term, False, request.statement, request.parameters)
        sent_ms = context.now_ms()
        outcome = await channel.run(
            guarded(self._channels, term, call),
            _priority(request),
            request.caller,
            deadline_ms,
        )
        if isinstance(outcome, Err):
            return Err(_error_answer(outcome.err_value, name))
        answer = outcome.ok_value
        self._tracker.record_answer(name, answer, sent_ms, context.now_ms())
        explanation.add_line(f"read from the primary {name}")
        if not await self._confirmer.confirm(term, answer.position, deadline_ms):
            return Err(_stale(f"{name}: its state was not confirmed"))
        if (term, answer.position) < (constraints.term, constraints.position):
            return Err(_stale(f"{name}: has not the session's position"))
        context.counters.primary_reads += 1
        staleness_ms = context.now_ms() - sent_ms
        return Ok(_read_answer(answer, name, staleness_ms, is_replica=False))


def _priority(request: CallerRequest) -> Priority:
    has_session = request.token_position > 0
    return Priority.SESSION_READ if has_session else Priority.STALE_READ


def _is_retryable(answer: CallerAnswer) -> bool:
    return answer.code in (
        ErrorCode.ENDPOINT_LOST,
        ErrorCode.STALE,
        ErrorCode.NO_PRIMARY,
    )


def _stale(detail: str) -> CallerAnswer:
    return not_run(ErrorCode.STALE, detail, DEFAULT_RETRY_AFTER_MS)


def _error_answer(error: EndpointFailure | Shed, name: str) -> CallerAnswer:
    if isinstance(error, Shed):
        return shed_answer(error, name)
    answer = failure_answer(error)
    if answer.outcome is Outcome.UNKNOWN:
        # A read has no effects, so one with an unknown outcome counts as not run.
        return not_run(ErrorCode.ENDPOINT_LOST, answer.detail, DEFAULT_RETRY_AFTER_MS)
    return answer


def _read_answer(
    answer: EndpointAnswer, name: str, staleness_ms: float, is_replica: bool
) -> CallerAnswer:
    return CallerAnswer(
        Outcome.DONE,
        rows=answer.rows,
        term=answer.term,
        position=answer.position,
        staleness_ms=staleness_ms,
        endpoint=name,
        is_from_replica=is_replica,
    )


def _describe_candidate(candidate: RouteCandidate) -> str:
    age = candidate.staleness_ms
    staleness = "unknown" if age is None else f"{age:.0f} ms"
    return (
        f"{candidate.name} {candidate.verdict.value}; staleness {staleness}, "
        f"expected {candidate.expected_ms:.1f} ms"
        if candidate.verdict is not Verdict.IS_PRIMARY
        else f"{candidate.name} {candidate.verdict.value}"
    )
