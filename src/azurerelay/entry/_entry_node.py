"""Request routing, forwarding and draining of an entry host."""

import itertools
import random
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec
from result import Ok

from azurerelay.endpoints import EndpointPort
from azurerelay.entry._entry_config import EntryConfig
from azurerelay.entry._forwarder import Forwarder
from azurerelay.entry._group_servers import GroupServers
from azurerelay.forwarding import (
    AnswerChunk,
    ChunkCredit,
    ChunkSender,
    ForwardRequest,
)
from azurerelay.membership import (
    ClusterState,
    ControlSession,
    EndpointAnnouncement,
    HeartbeatReply,
    HostIdentity,
    StateDelta,
    StateSnapshot,
)
from azurerelay.messages import Link, Requester
from azurerelay.registry import (
    AbortNotice,
    CollectReply,
    CollectRequest,
    IntentReply,
    IntentRequest,
    OutcomeReply,
    OutcomeRequest,
)
from azurerelay.requests import (
    CallerAnswer,
    CallerRequest,
    ErrorCode,
    Operation,
    Outcome,
)
from azurerelay.serving import ServingCounters, transaction_host
from azurerelay.timing import Promise, TimerService, sleep, spawn

# Time kept back to answer the caller after a forwarded request has timed out.
FORWARD_MARGIN_MS: Final = 50.0
# An attempt at a request that is safe to resend may take this long, or half of the
# remaining time if that is longer, before another host is tried.
FORWARD_ATTEMPT_MS: Final = 1_500.0
DRAIN_POLL_MS: Final = 10.0
# How long the answers to requests that a drain gives up may take to leave this host.
LAST_ANSWERS_MS: Final = 300.0
# A draining host treats control as unreachable after this time without an answer.
CONTROL_UNREACHABLE_AFTER_MS: Final = 3_000.0
# Delay before the serving hosts of a group are tried again.
ROUTE_RETRY_DELAY_MS: Final = 10.0
# Request ids start at a random number below this one.
FIRST_REQUEST_ID_LIMIT: Final = 2**32


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request in progress, from a caller or another host."""

    request: CallerRequest
    answer: Promise[CallerAnswer]


class EntryNode:
    """Answer requests for any group, on this host or through a serving host."""

    def __init__(
        self,
        config: EntryConfig,
        link: Link,
        endpoints: EndpointPort,
        timers: TimerService,
        random_source: random.Random,
    ) -> None:
        self._config = config
        self._link = link
        self._timers = timers
        self._random = random_source
        self._state = ClusterState(keeps_audit=False)
        self._counters = ServingCounters()
        self._outcome_counts = dict.fromkeys(Outcome, 0)
        first_id = random_source.randrange(FIRST_REQUEST_ID_LIMIT)
        self._requester = Requester(link, timers, first_id)
        self._forwarder = Forwarder(link, timers, first_id)
        self._sender = ChunkSender(link, timers)
        identity = HostIdentity(
            config.name, config.address, config.failure_domain, config.incarnation
        )
        # The lambdas defer the look-up: the group servers are created below.
        self._session = ControlSession(
            identity,
            config.control_hosts,
            link,
            timers,
            self._state,
            suspicions=lambda: self._group_servers.suspicions(),
            unready_groups=lambda: self._group_servers.unready_groups(),
            on_state_change=lambda: self._group_servers.on_state_changed(),
            on_lease_change=lambda: self._group_servers.on_lease_changed(),
        )
        self._group_servers = GroupServers(
            config,
            self._state,
            self._session,
            link,
            self._requester,
            endpoints,
            timers,
            random_source,
            self._counters,
        )
        self._in_flight = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._pending_numbers = itertools.count()
        self._is_draining = False
        self._has_given_up = False

    @property
    def name(self) -> str:
        """Name of the host."""
        return self._config.name

    @property
    def state(self) -> ClusterState:
        """Replicated cluster state, as far as this host has applied it."""
        return self._state

    @property
    def session(self) -> ControlSession:
        """Session with the control host that this host is attached to."""
        return self._session

    @property
    def group_servers(self) -> GroupServers:
        """Servers of the groups that are assigned to this host."""
        return self._group_servers

    @property
    def counters(self) -> ServingCounters:
        """Counters of the work done for groups that this host serves."""
        return self._counters

    @property
    def outcome_counts(self) -> dict[Outcome, int]:
        """Number of caller requests by outcome; read only."""
        return self._outcome_counts

    @property
    def forwarder(self) -> Forwarder:
        """Forwards requests to other hosts and receives their answers."""
        return self._forwarder

    @property
    def in_flight(self) -> int:
        """Number of caller requests in progress.

        Requests forwarded to other hosts count, those received from them do not.
        """
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send callers to this host.

        It should from the first cluster state applied until the host drains.
        """
        return not self._is_draining and self._session.applied_index > 0

    def start(self) -> None:
        """Attach to a control host."""
        self._session.start()

    def handle(self, request: CallerRequest) -> Promise[CallerAnswer]:
        """Answer one request from a caller."""
        return spawn(self._handle(request))

    def announce(self, announcement: EndpointAnnouncement) -> None:
        """Report an endpoint's announcement to control with the next heartbeat."""
        self._session.announce(announcement)

    def start_draining(self) -> None:
        """Refuse new requests, and ask control to replace this host in serving sets."""
        self._is_draining = True
        self._session.start_draining()

    async def drain(self, timeout_ms: float) -> bool:
        """Start draining and wait until this host may stop; False on a timeout.

        It may stop when no request, transaction or unsent answer is left and no
        handover to another host is pending. While control is unreachable, pending
        handovers are not waited for. On a timeout all requests that are left are
        answered with what is known of them.
        """
        self.start_draining()
        deadline_ms = self._timers.now_ms() + timeout_ms
        while self._timers.now_ms() < deadline_ms:
            is_idle = self._in_flight == 0 and self._group_servers.is_idle
            # Without control no other host can be assigned to the serving sets.
            is_unreachable = self._session.silence_ms > CONTROL_UNREACHABLE_AFTER_MS
            must_wait = self._group_servers.has_pending_handover and not is_unreachable
            if is_idle and not self._sender.pending_count and not must_wait:
                return True
            await sleep(self._timers, DRAIN_POLL_MS)
        self._give_up()
        last_ms = self._timers.now_ms() + LAST_ANSWERS_MS
        while self._sender.pending_count and self._timers.now_ms() < last_ms:
            await sleep(self._timers, DRAIN_POLL_MS)
        return False

    def _give_up(self) -> None:
        """Answer all requests in progress, and refuse all further ones.

        Endpoints may still run statements and commits that have been sent. Open
        transactions are not committed any more.
        """
        self._has_given_up = True
        pending, self._pending = self._pending, {}
        for entry in pending.values():
            entry.answer.resolve(self._given_up_answer(entry.request))

    def _given_up_answer(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a request that may have been sent to an endpoint."""
        detail = f"host {self.name} has stopped before there was an answer"
        if request.operation is Operation.COMMIT:
            return CallerAnswer(Outcome.UNKNOWN, detail=detail)
        transaction = request.transaction
        if transaction is not None and transaction_host(transaction) == self.name:
            detail += "; the transaction is rolled back"
            return CallerAnswer(Outcome.NOT_RUN, ErrorCode.TRANSACTION_GONE, detail)
        return _unanswered(request, detail)

    def _until_given_up(
        self, request: CallerRequest, answer: Promise[CallerAnswer]
    ) -> Promise[CallerAnswer]:
        """Return the answer to a request, or what is known of it on giving up."""
        if answer.is_done:
            return answer
        number = next(self._pending_numbers)
        outcome: Promise[CallerAnswer] = Promise()
        self._pending[number] = _PendingRequest(request, outcome)

        def finish() -> None:
            self._pending.pop(number, None)
            try:
                outcome.resolve(answer.value)
            except Exception as error:
                outcome.fail(error)

        answer.add_callback(finish)
        return outcome

    def on_message(self, sender: str, message: Any) -> None:
        """Dispatch a message from another host by its type."""
        match message:
            case HeartbeatReply() | StateDelta() | StateSnapshot():
                self._session.on_message(sender, message)
            case ForwardRequest():
                spawn(self._answer_forwarded(sender, message))
            case AnswerChunk():
                self._forwarder.on_chunk(sender, message)
            case ChunkCredit():
                self._sender.on_credit(sender, message, self._group_servers.in_flight)
            case IntentRequest() | OutcomeRequest() | AbortNotice() | CollectRequest():
                self._group_servers.on_registry_message(sender, message)
            case IntentReply() | OutcomeReply() | CollectReply():
                self._requester.on_reply(sender, message.request_id, message)

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        self._in_flight += 1
        try:
            answer = await self._until_given_up(request, spawn(self._route(request)))
        finally:
            self._in_flight -= 1
        self._outcome_counts[answer.outcome] += 1
        return answer

    async def _route(self, request: CallerRequest) -> CallerAnswer:
        if self._has_given_up:
            return self._draining_answer()
        if request.transaction is not None:
            return await self._route_transaction(request, request.transaction)
        if self._is_draining:
            return self._draining_answer()
        if request.group not in self._state.groups:
            detail = f"group {request.group!r} is not known"
            return _refused(ErrorCode.NO_ROUTE, detail)
        return await self._route_to_serving_host(request)

    async def _route_transaction(
        self, request: CallerRequest, transaction: str
    ) -> CallerAnswer:
        host = transaction_host(transaction)
        if host == self.name:
            return await self._group_servers.handle(request)
        if host not in self._state.hosts:
            detail = f"host {host} of transaction {transaction} is gone"
            code = ErrorCode.TRANSACTION_GONE
            return CallerAnswer(Outcome.NOT_RUN, code, detail)
        outcome = await self._forwarder.forward(host, request, request.timeout_ms)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        if request.operation is Operation.COMMIT:
            detail = f"no answer from {host} to the commit"
            return CallerAnswer(Outcome.UNKNOWN, ErrorCode.ENDPOINT_LOST, detail)
        if request.operation is Operation.WRITE:
            detail = f"no answer from {host}; the transaction may hold the write"
            return CallerAnswer(Outcome.UNKNOWN, ErrorCode.ENDPOINT_LOST, detail)
        detail = f"no answer from {host}; nothing of the transaction is committed yet"
        return CallerAnswer(Outcome.NOT_RUN, ErrorCode.ENDPOINT_LOST, detail)

    async def _route_to_serving_host(self, request: CallerRequest) -> CallerAnswer:
        """Try the group's serving hosts until one handles the request or time is up.

        A request that got no answer is sent to another host only if that is safe. It
        may have run then, whatever the other hosts say.
        """
        if self._group_servers.is_serving(request.group):
            answer = await self._group_servers.handle(request)
            if answer.code is not ErrorCode.NO_ROUTE:
                return answer
        deadline_ms = self._timers.now_ms() + request.timeout_ms
        tried: set[str] = set()
        lost: CallerAnswer | None = None
        last_answer = _refused(
            ErrorCode.NO_ROUTE, f"group {request.group} has no serving host"
        )
        while True:
            remaining_ms = deadline_ms - self._timers.now_ms()
            if remaining_ms <= 0:
                return _with_lost_answer(last_answer, lost)
            host = self._choose_serving_host(request.group, tried)
            if host is None:
                tried.clear()
                await sleep(self._timers, ROUTE_RETRY_DELAY_MS)
                continue
            tried.add(host)
            if host == self.name:
                answer = await self._group_servers.handle(request)
            else:
                answer = await self._forward_once(host, request, remaining_ms)
            is_declined = answer.code in (ErrorCode.NO_ROUTE, ErrorCode.DRAINING)
            # Only `_forward_once` returns answers that are not done and have no code.
            is_unanswered = answer.code is ErrorCode.NONE and not answer.is_done
            if not is_declined and not (is_unanswered and _is_resendable(request)):
                return _with_lost_answer(answer, lost)
            last_answer = answer
            if answer.outcome is Outcome.UNKNOWN:
                lost = answer

    async def _forward_once(
        self, host: str, request: CallerRequest, remaining_ms: float
    ) -> CallerAnswer:
        """Return the answer of a serving host, or an answer without a code if lost."""
        timeout_ms = max(remaining_ms - FORWARD_MARGIN_MS, remaining_ms / 2)
        if _is_resendable(request):
            timeout_ms = min(timeout_ms, max(FORWARD_ATTEMPT_MS, remaining_ms / 2))
        outcome = await self._forwarder.forward(host, request, timeout_ms)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        return _unanswered(request, f"no answer from serving host {host}")

    def _choose_serving_host(self, group: str, tried: set[str]) -> str | None:
        """Return the best serving host not tried yet, or None.

        This host comes first, then hosts of its failure domain; among these, the one
        with the lowest load.
        """
        record = self._state.groups[group]
        candidates = [
            host
            for host in self._state.uninterrupted_members(record)
            if host not in tried and not self._state.hosts[host].is_draining
        ]
        if self.name in candidates and self._group_servers.is_serving(group):
            return self.name
        others = [host for host in candidates if host != self.name]
        return min(others, key=self._sort_key, default=None)

    def _sort_key(self, host: str) -> tuple[bool, float, str]:
        """Return the key that sorts serving hosts, the preferred ones first."""
        is_remote = (
            self._state.hosts[host].failure_domain != self._config.failure_domain
        )
        return (is_remote, self._forwarder.estimated_load(host), host)

    async def _answer_forwarded(self, sender: str, message: ForwardRequest) -> None:
        request = message.request
        if self._has_given_up:
            answer = self._draining_answer()
        else:
            handled = spawn(self._group_servers.handle(request))
            answer = await self._until_given_up(request, handled)
        data = msgspec.msgpack.encode(answer)
        self._sender.send(
            sender, message.request_id, data, self._group_servers.in_flight
        )

    def _draining_answer(self) -> CallerAnswer:
        return _refused(ErrorCode.DRAINING, f"host {self.name} is shutting down")


def _unanswered(request: CallerRequest, detail: str) -> CallerAnswer:
    """Return the answer to a request that an endpoint may or may not have run.

    A read has no effects, and a transaction that nobody knows of is rolled back.
    """
    if request.operation in (Operation.READ, Operation.BEGIN):
        return CallerAnswer(Outcome.NOT_RUN, detail=detail)
    return CallerAnswer(Outcome.UNKNOWN, detail=detail)


def _with_lost_answer(answer: CallerAnswer, lost: CallerAnswer | None) -> CallerAnswer:
    """Return an answer, or that of an earlier attempt that may have run.

    The answer that a request has not run is true of the last attempt only.
    """
    if lost is None or answer.outcome is not Outcome.NOT_RUN:
        return answer
    return replace(lost, detail=f"{lost.detail}; then {answer.detail}")


def _refused(code: ErrorCode, detail: str) -> CallerAnswer:
    return CallerAnswer(Outcome.NOT_RUN, code, detail, retry_after_ms=500)


def _is_resendable(request: CallerRequest) -> bool:
    """Return whether a request without an answer may be sent to another host.

    A BEGIN whose answer was lost may leave an open transaction behind, which commits
    nothing and expires.
    """
    if request.operation is Operation.WRITE:
        return request.is_idempotent or request.idempotency_key is not None
    return request.operation in (Operation.READ, Operation.BEGIN)
