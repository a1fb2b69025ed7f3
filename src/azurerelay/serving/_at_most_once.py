"""At-most-once execution of keyed writes, on whichever host they are resent."""

import hashlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from azurerelay.registry import (
    AbortNotice,
    IdempotencyRegistry,
    IntentDecision,
    IntentReply,
    IntentRequest,
    IntentStatus,
    IntentVerdict,
    OutcomeRequest,
    RegistryCoordinator,
    RegistryEntry,
    StoredOutcome,
)
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.serving._answers import DEFAULT_RETRY_AFTER_MS, not_run, unknown
from azurerelay.serving._serving_context import ServingContext
from azurerelay.timing import Promise, TimedOut, sleep, spawn

INTENT_TIMEOUT_MS = 300.0
OUTCOME_TIMEOUT_MS = 300.0
OUTCOME_SEND_ATTEMPTS = 3
IN_FLIGHT_POLL_MS = 20.0
IN_FLIGHT_POLL_MAX_MS = 200.0
IN_FLIGHT_WAIT_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """One attempt at a keyed write, and the members asked to record it."""

    entry: RegistryEntry
    epoch: int
    members: tuple[str, ...]


class AtMostOnce:
    """Record the intent of a keyed write before it runs and the outcome after."""

    def __init__(self, context: ServingContext, registry: IdempotencyRegistry) -> None:
        self._context = context
        self._registry = registry
        self._attempts = itertools.count(1)

    async def begin(
        self, request: CallerRequest, deadline_ms: float
    ) -> Result[WriteAttempt, CallerAnswer]:
        """Record an intent; return the attempt, or the answer if it must not run.

        Retry for up to IN_FLIGHT_WAIT_MS while another attempt is in flight or no
        majority records the intent.
        """
        context = self._context
        wait_until_ms = min(deadline_ms, context.now_ms() + IN_FLIGHT_WAIT_MS)
        poll_ms = IN_FLIGHT_POLL_MS
        while True:
            # Each round has its own attempt id, so that a delayed abort notice of
            # an earlier round cannot remove the intent of this one.
            attempt = self._new_attempt(self._new_entry(request))
            decision = await self._ask_members(attempt, deadline_ms)
            if decision.verdict is IntentVerdict.RUN:
                return Ok(attempt)
            self.abort(attempt)
            is_waiting = decision.verdict in (
                IntentVerdict.IN_FLIGHT,
                IntentVerdict.UNAVAILABLE,
            )
            if not is_waiting or context.now_ms() >= wait_until_ms:
                return Err(self._refusal(decision))
            # Jitter keeps hosts that contend for a key from retrying in lockstep.
            jitter = context.random_source.uniform(0.5, 1.5)
            await sleep(context.timers, poll_ms * jitter)
            poll_ms = min(2 * poll_ms, IN_FLIGHT_POLL_MAX_MS)

    def record_outcome(self, attempt: WriteAttempt, answer: CallerAnswer) -> None:
        """Record the outcome locally and send it to the other members.

        The answer does not wait for their replies: it was confirmed under a lease
        that may end in the meantime. A resend that reaches only members without the
        outcome is answered with "unknown".
        """
        outcome = StoredOutcome(answer.term, answer.position, answer.rows)
        entry = replace(attempt.entry, outcome=outcome)
        self._registry.record_outcome(entry)
        for member in attempt.members:
            if member != self._context.host:
                spawn(self._deliver_outcome(member, attempt.epoch, entry))

    def give_up(self, attempt: WriteAttempt) -> None:
        """Record that the attempt has ended and may or may not have run."""
        entry = replace(attempt.entry, is_given_up=True)
        self._registry.record_outcome(entry)
        for member in attempt.members:
            if member != self._context.host:
                self._send_outcome(member, attempt.epoch, entry)

    def abort(self, attempt: WriteAttempt) -> None:
        """Remove the intent of an attempt that has not run and never will."""
        key = attempt.entry.key
        attempt_id = attempt.entry.attempt
        self._registry.abort(key, attempt_id)
        notice = AbortNotice(self._context.group, key, attempt_id)
        for member in attempt.members:
            if member != self._context.host:
                self._context.link.send(member, notice)

    def _new_entry(self, request: CallerRequest) -> RegistryEntry:
        context = self._context
        attempt_id = f"{context.host}:{context.incarnation}:{next(self._attempts)}"
        return RegistryEntry(
            request.idempotency_key or "",
            fingerprint(request),
            attempt_id,
            context.timers.wall_clock_ms(),
        )

    def _new_attempt(self, entry: RegistryEntry) -> WriteAttempt:
        record = self._context.record
        members = self._context.state.uninterrupted_members(record)
        return WriteAttempt(entry, record.epoch, members)

    def _ask_members(
        self, attempt: WriteAttempt, deadline_ms: float
    ) -> Promise[IntentDecision]:
        """Send the intent to all members and return the decision.

        Resolved by the first final verdict, or when all members have replied or
        timed out.
        """
        context = self._context
        size = len(context.record.serving)
        coordinator = RegistryCoordinator(size)
        decision: Promise[IntentDecision] = Promise()
        replies: list[IntentReply] = []
        pending = len(attempt.members)
        if not pending:
            return Promise.of(IntentDecision(IntentVerdict.UNAVAILABLE))

        def receive(reply: IntentReply | None) -> None:
            nonlocal pending
            pending -= 1
            if reply is not None:
                replies.append(reply)
            current = coordinator.decide(attempt.entry, replies)
            is_final = current.verdict in (
                IntentVerdict.RUN,
                IntentVerdict.REPLAY,
                IntentVerdict.REUSED,
            )
            if is_final or not pending:
                decision.resolve(current)

        timeout_ms = min(INTENT_TIMEOUT_MS, deadline_ms - context.now_ms())
        for member in attempt.members:
            if member == context.host:
                receive(self._record_locally(attempt))
            else:
                self._send_intent(member, attempt, timeout_ms, receive)
        return decision

    def _record_locally(self, attempt: WriteAttempt) -> IntentReply:
        return record_intent(
            self._registry,
            0,
            attempt.epoch,
            attempt.entry,
            self._context.timers.wall_clock_ms(),
        )

    def _send_intent(
        self,
        member: str,
        attempt: WriteAttempt,
        timeout_ms: float,
        receive: Callable[[IntentReply | None], None],
    ) -> None:
        reply = self._context.requester.call(
            member,
            lambda request_id: IntentRequest(
                request_id, self._context.group, attempt.epoch, attempt.entry
            ),
            timeout_ms,
        )
        reply.add_callback(
            lambda: receive(
                reply.value.ok_value if isinstance(reply.value, Ok) else None
            )
        )

    async def _deliver_outcome(
        self, member: str, epoch: int, entry: RegistryEntry
    ) -> None:
        for _ in range(OUTCOME_SEND_ATTEMPTS):
            receipt = await self._send_outcome(member, epoch, entry)
            if isinstance(receipt, Ok):
                return

    def _send_outcome(
        self, member: str, epoch: int, entry: RegistryEntry
    ) -> Promise[Result[object, TimedOut]]:
        return self._context.requester.call(
            member,
            lambda request_id: OutcomeRequest(
                request_id, self._context.group, epoch, entry
            ),
            OUTCOME_TIMEOUT_MS,
        )

    def _refusal(self, decision: IntentDecision) -> CallerAnswer:
        match decision.verdict:
            case IntentVerdict.REPLAY:
                assert decision.outcome is not None
                return replay_answer(decision.outcome)
            case IntentVerdict.REUSED:
                detail = "the idempotency key belongs to another request"
                return not_run(ErrorCode.KEY_REUSED, detail)
            case IntentVerdict.IN_FLIGHT | IntentVerdict.GIVEN_UP:
                detail = "an earlier attempt with this key has no known outcome"
                return unknown(ErrorCode.KEY_IN_FLIGHT, detail)
            case IntentVerdict.UNDECIDED:
                detail = "the key may be older than the loss of the registry"
                return unknown(ErrorCode.KEY_UNDECIDED, detail)
            case IntentVerdict.FULL:
                detail = "the registry of idempotency keys is full"
                return not_run(ErrorCode.REGISTRY_FULL, detail, DEFAULT_RETRY_AFTER_MS)
            case _:
                detail = "no majority of the serving set can record the key"
                return not_run(
                    ErrorCode.REGISTRY_UNAVAILABLE, detail, DEFAULT_RETRY_AFTER_MS
                )


def record_intent(
    registry: IdempotencyRegistry,
    request_id: int,
    epoch: int,
    entry: RegistryEntry,
    now_ms: int,
) -> IntentReply:
    """Record an intent in a member's registry and return the reply."""
    status = registry.record_intent(epoch, entry, now_ms)
    known = registry.find(entry.key) if status is IntentStatus.KNOWN else None
    return IntentReply(request_id, status, known)


def fingerprint(request: CallerRequest) -> str:
    """Return a digest of a request's statement and parameters."""
    body = msgspec.msgpack.encode((request.statement, request.parameters))
    return hashlib.blake2b(body, digest_size=12).hexdigest()


def replay_answer(outcome: StoredOutcome) -> CallerAnswer:
    """Return the answer to a resend of a write with a recorded outcome."""
    return CallerAnswer(
        Outcome.DONE,
        rows=outcome.rows,
        term=outcome.term,
        position=outcome.position,
        is_replay=True,
    )
