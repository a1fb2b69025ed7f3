"""How a write is run and confirmed."""

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
from azurerelay.timing import Promise, sleep, within

MAX_FREE_RETRIES = 8
RETRYABLE = (
    ErrorCode.ENDPOINT_LOST,
    ErrorCode.UNCONFIRMED,
    ErrorCode.NO_PRIMARY,
)


@dataclass(frozen=True, slots=True)
class _RunningKey:
    """A keyed write that this host is working on."""

    fingerprint: str
    answer: Promise[CallerAnswer]


class WritePath:
    """Send a write to the primary and confirm it at a majority under the lease."""

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
        self, request: CallerRequest, deadline_ms: float, trail: Explanation
    ) -> CallerAnswer:
        """Run a write; one that is not idempotent at most once for its key."""
        if request.is_idempotent:
            return await self._run_with_retries(request, deadline_ms, trail)
        key = request.idempotency_key or ""
        running = self._running.get(key)
        if running is not None:
            return await self._join(request, running, deadline_ms)
        running = _RunningKey(fingerprint(request), Promise())
        self._running[key] = running
        try:
            answer = await self._run_keyed(request, deadline_ms, trail)
        finally:
            del self._running[key]
        running.answer.resolve(answer)
        return answer

    async def _join(
        self, request: CallerRequest, running: "_RunningKey", deadline_ms: float
    ) -> CallerAnswer:
        """Wait for the request with the same key that this host is working on."""
        if running.fingerprint != fingerprint(request):
            detail = "the idempotency key belongs to another request"
            return not_run(ErrorCode.KEY_REUSED, detail)
        context = self._context
        remaining_ms = deadline_ms - context.now_ms()
        answer = await within(context.timers, running.answer, remaining_ms)
        if isinstance(answer, Ok):
            context.counters.replays += 1
            return replace(answer.ok_value, is_replay=answer.ok_value.is_done)
        detail = "an earlier attempt with this key is still running"
        return unknown(ErrorCode.KEY_IN_FLIGHT, detail)

    async def _run_keyed(
        self, request: CallerRequest, deadline_ms: float, trail: Explanation
    ) -> CallerAnswer:
        begun = await self._at_most_once.begin(request, deadline_ms)
        if isinstance(begun, Err):
            self._context.counters.replays += begun.err_value.is_replay
            return begun.err_value
        ticket = begun.ok_value
        trail.note(f"intent recorded in epoch {ticket.epoch}")
        answer = await self._run_with_retries(request, deadline_ms, trail)
        if answer.is_done:
            self._at_most_once.finish(ticket, answer)
        elif answer.outcome is Outcome.NOT_RUN:
            self._at_most_once.abort(ticket)
        else:
            self._at_most_once.give_up(ticket)
        return answer

    async def _run_with_retries(
        self, request: CallerRequest, deadline_ms: float, trail: Explanation
    ) -> CallerAnswer:
        context = self._context
        backoff = Backoff(context.policy.retry_backoff_ms, context.random_source)
        hold_until_ms = self._channels.hold_until_ms(deadline_ms)
        while True:
            term = context.record.term
            outcome = await self._try_once(request, deadline_ms, hold_until_ms, trail)
            if isinstance(outcome, Ok):
                self._budget.record_success()
                context.counters.writes += 1
                return outcome.ok_value
            failed = outcome.err_value
            is_late = context.now_ms() >= hold_until_ms
            if is_late or not self._may_retry(request, failed, term, backoff):
                context.counters.unknown += failed.outcome is Outcome.UNKNOWN
                return failed
            context.counters.retries += 1
            wait_ms = backoff.next_ms()
            trail.note(f"retry {backoff.tries} after {wait_ms:.1f} ms: {failed.detail}")
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
            # The next try waits for a primary and puts no load on a failing one,
            # so the budget is not asked.
            return backoff.tries < MAX_FREE_RETRIES
        return self._budget.try_spend()

    def _waits_for_primary(self, term: int) -> bool:
        record = self._context.record
        channel = self._channels.by_name.get(record.primary or "")
        return record.term != term or channel is None or not channel.is_serving

    async def _try_once(
        self,
        request: CallerRequest,
        deadline_ms: float,
        hold_until_ms: float,
        trail: Explanation,
    ) -> Result[CallerAnswer, CallerAnswer]:
        context = self._context
        ready = await self._channels.primary(hold_until_ms, is_write=True)
        if isinstance(ready, Err):
            return Err(ready.err_value)
        channel = ready.ok_value
        name = channel.record.name
        term = context.record.term
        trail.note(f"write to {name} in term {term}")
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
        self._tracker.observe(name, answer, sent_ms, context.now_ms())
        if not await self._confirmer.confirm(term, answer.position, deadline_ms):
            detail = f"{name}: no majority was known to hold the write in term {term}"
            return Err(unknown(ErrorCode.UNCONFIRMED, detail))
        waited_ms = context.now_ms() - sent_ms
        trail.note(f"position {answer.position} confirmed after {waited_ms:.1f} ms")
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
