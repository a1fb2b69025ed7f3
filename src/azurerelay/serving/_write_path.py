"""Runs writes on the primary and confirms them."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from azurerelay.endpoints import EndpointFailure, StatementCall
from azurerelay.limits import Priority, Shed
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.retries import Backoff, RetryBudget
from azurerelay.routing import PositionTracker
from azurerelay.serving._answers import failure_answer, not_run, shed_answer, unknown
from azurerelay.serving._at_most_once import AtMostOnce, fingerprint
from azurerelay.serving._channels import Channels, guarded
from azurerelay.serving._confirmer import Confirmer
from azurerelay.serving._explanation import Explanation
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import Promise, sleep, with_timeout

MAX_UNBUDGETED_RETRIES = 8
RETRYABLE = (
    ErrorCode.ENDPOINT_LOST,
    ErrorCode.UNCONFIRMED,
    ErrorCode.NO_PRIMARY,
)


@dataclass(frozen=True, slots=True)
class _RunningKey:
    """A keyed write in progress on this host."""

    fingerprint: str
    answer: Promise[CallerAnswer]


class WritePath:
    """Send writes to the primary; answer once a quorum holds them under a lease.

    The quorum is a majority, or the primary alone if `writes.durability` is
    "primary".
    """

    def __init__(
        self,
        context: ServingContext,
        tracker: PositionTracker,
        channels: Channels,
        confirmer: Confirmer,
        at_most_once: AtMostOnce,
        budget: RetryBudget,
    ) -> None:
        self._context = context
        self._tracker = tracker
        self._channels = channels
        self._confirmer = confirmer
        self._at_most_once = at_most_once
        self._budget = budget
        self._running: dict[str, _RunningKey] = {}

    async def run(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        """Run a write; run one that is not idempotent at most once per key."""
        if request.is_idempotent:
            return await self._run_with_retries(request, deadline_ms, explanation)
        key = request.idempotency_key or ""
        running = self._running.get(key)
        if running is not None:
            return await self._wait_for_running(request, running, deadline_ms)
        running = _RunningKey(fingerprint(request), Promise())
        self._running[key] = running
        try:
            answer = await self._run_keyed(request, deadline_ms, explanation)
        finally:
            del self._running[key]
        running.answer.resolve(answer)
        return answer

    async def _wait_for_running(
        self, request: CallerRequest, running: "_RunningKey", deadline_ms: float
    ) -> CallerAnswer:
        """Wait for the answer of the request in progress with the same key."""
        if running.fingerprint != fingerprint(request):
            detail = "the idempotency key belongs to another request"
            return not_run(ErrorCode.KEY_REUSED, detail)
        context = self._context
        remaining_ms = deadline_ms - context.now_ms()
        answer = await with_timeout(context.timers, running.answer, remaining_ms)
        if isinstance(answer, Ok):
            context.counters.replays += 1
            return replace(answer.ok_value, is_replay=answer.ok_value.is_done)
        detail = "an earlier attempt with this key is still running"
        return unknown(ErrorCode.KEY_IN_FLIGHT, detail)

    async def _run_keyed(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        intent_result = await self._at_most_once.begin(request, deadline_ms)
        if isinstance(intent_result, Err):
            self._context.counters.replays += intent_result.err_value.is_replay
            return intent_result.err_value
        attempt = intent_result.ok_value
        explanation.add_line(f"intent recorded in epoch {attempt.epoch}")
        answer = await self._run_with_retries(request, deadline_ms, explanation)
        if answer.is_done:
            self._at_most_once.record_outcome(attempt, answer)
        elif answer.outcome is Outcome.NOT_RUN:
            self._at_most_once.abort(attempt)
        else:
            self._at_most_once.give_up(attempt)
        return answer

    async def _run_with_retries(
        self, request: CallerRequest, deadline_ms: float, explanation: Explanation
    ) -> CallerAnswer:
        context = self._context
        backoff = Backoff(context.policy.retry_backoff_ms, context.random_source)
        primary_wait_deadline_ms = self._channels.primary_wait_deadline_ms(deadline_ms)
        lost: CallerAnswer | None = None
        while True:
            term = context.record.term
            outcome = await self._try_once(
                request, deadline_ms, primary_wait_deadline_ms, explanation
            )
            if isinstance(outcome, Ok):
                self._budget.record_success()
                context.counters.writes += 1
                return outcome.ok_value
            failed = outcome.err_value
            if failed.outcome is Outcome.UNKNOWN:
                lost = failed
            is_past_deadline = context.now_ms() >= primary_wait_deadline_ms
            if is_past_deadline or not self._may_retry(request, failed, term, backoff):
                if lost is not None and lost is not failed:
                    # The last attempt has not run, but an earlier one may have.
                    detail = f"{lost.detail}; then {failed.detail}"
                    failed = replace(lost, detail=detail)
                context.counters.unknown_outcomes += failed.outcome is Outcome.UNKNOWN
                return failed
            context.counters.retries += 1
            wait_ms = backoff.next_ms()
            explanation.add_line(
                f"retry {backoff.retry_count} after {wait_ms:.1f} ms: {failed.detail}"
            )
            await sleep(context.timers, wait_ms)

    def _may_retry(
        self,
        request: CallerRequest,
        failed: CallerAnswer,
        term: int,
        backoff: Backoff,
    ) -> bool:
        if failed.outcome is Outcome.UNKNOWN and not request.is_idempotent:
            return False
        if failed.code not in RETRYABLE:
            return False
        if self._waits_for_primary(term):
            # The next attempt waits for a primary and adds no load to a failing one,
            # so it is not charged to the retry budget.
            return backoff.retry_count < MAX_UNBUDGETED_RETRIES
        return self._budget.try_spend()

    def _waits_for_primary(self, term: int) -> bool:
        record = self._context.record
        channel = self._channels.by_name.get(record.primary or "")
        return record.term != term or channel is None or not channel.is_serving

    async def _try_once(
        self,
        request: CallerRequest,
        deadline_ms: float,
        primary_wait_deadline_ms: float,
        explanation: Explanation,
    ) -> Result[CallerAnswer, CallerAnswer]:
        context = self._context
        usable_primary = await self._channels.wait_for_primary(
            primary_wait_deadline_ms, is_write=True
        )
        if isinstance(usable_primary, Err):
            return Err(usable_primary.err_value)
        channel = usable_primary.ok_value
        name = channel.record.name
        term = context.record.term
        explanation.add_line(f"write to {name} in term {term}")
        call = StatementCall(term, True, request.statement, request.parameters)
        sent_ms = context.now_ms()
        outcome = await channel.run(
            guarded(self._channels, term, call),
            Priority.WRITE,
            request.caller,
            deadline_ms,
        )
        if isinstance(outcome, Err):
            return Err(_error_answer(outcome.err_value, name))
        answer = outcome.ok_value
        self._tracker.record_answer(name, answer, sent_ms, context.now_ms())
        if not await self._confirmer.confirm(term, answer.position, deadline_ms):
            detail = f"{name}: no majority was known to hold the write in term {term}"
            return Err(unknown(ErrorCode.UNCONFIRMED, detail))
        waited_ms = context.now_ms() - sent_ms
        explanation.add_line(
            f"position {answer.position} confirmed after {waited_ms:.1f} ms"
        )
        return Ok(
            CallerAnswer(
                Outcome.DONE,
                rows=answer.rows,
                term=term,
                position=answer.position,
                endpoint=name,
            )
        )


def _error_answer(error: EndpointFailure | Shed, name: str) -> CallerAnswer:
    if isinstance(error, Shed):
        return shed_answer(error, name)
    return failure_answer(error)
