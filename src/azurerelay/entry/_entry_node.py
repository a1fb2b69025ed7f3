"""The decisions of an entry host."""

import random
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

FORWARD_MARGIN_MS: Final = 50.0
FORWARD_TRY_MS: Final = 1_500.0
DRAIN_POLL_MS: Final = 10.0
CONTROL_SILENCE_MS: Final = 3_000.0
ROUTE_POLL_MS: Final = 10.0
LINK_ID_SPACE: Final = 2**32


class EntryNode:
    """Answer callers for any group, on this host or through a serving host."""

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
        self._outcomes = dict.fromkeys(Outcome, 0)
        first_id = random_source.randrange(LINK_ID_SPACE)
        self._requester = Requester(link, timers, first_id)
        self._forwarder = Forwarder(link, timers, first_id)
        self._sender = ChunkSender(link, timers)
        identity = HostIdentity(
            config.name, config.address, config.failure_domain, config.incarnation
        )
        self._session = ControlSession(
            identity,
            config.control_hosts,
            link,
            timers,
            self._state,
            suspicions=lambda: self._servers.suspicions(),
            unready_groups=lambda: self._servers.unready_groups(),
            on_state=lambda: self._servers.on_state_changed(),
            on_lease=lambda: self._servers.on_lease_changed(),
        )
        self._servers = GroupServers(
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
        self._is_draining = False

    @property
    def name(self) -> str:
        """The host's name."""
        return self._config.name

    @property
    def state(self) -> ClusterState:
        """The cluster state as applied on this host."""
        return self._state

    @property
    def session(self) -> ControlSession:
        """The attachment to control."""
        return self._session

    @property
    def servers(self) -> GroupServers:
        """The groups that this host serves."""
        return self._servers

    @property
    def counters(self) -> ServingCounters:
        """Counts for the metrics page."""
        return self._counters

    @property
    def outcomes(self) -> dict[Outcome, int]:
        """How many requests ended with each outcome; read only."""
        return self._outcomes

    @property
    def forwarder(self) -> Forwarder:
        """The way to other hosts."""
        return self._forwarder

    @property
    def in_flight(self) -> int:
        """Requests of callers being worked on."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return not self._is_draining and self._session.applied_index > 0

    def start(self) -> None:
        """Attach to control."""
        self._session.start()

    def handle(self, request: CallerRequest) -> Promise[CallerAnswer]:
        """Answer one request of a caller."""
        return spawn(self._handle(request))

    def announce(self, announcement: EndpointAnnouncement) -> None:
        """Pass an endpoint's announcement on to control."""
        self._session.announce(announcement)

    def start_draining(self) -> None:
        """Refuse new work, and ask control for another host in the serving sets."""
        self._is_draining = True
        self._session.start_draining()

    async def drain(self, limit_ms: float) -> bool:
        """Wait until nothing is in flight; False when the limit passes first."""
        self.start_draining()
        end_ms = self._timers.now_ms() + limit_ms
        while self._timers.now_ms() < end_ms:
            is_idle = self._in_flight == 0 and self._servers.is_idle
            # Without control nobody can take this host's place in a serving set.
            is_alone = self._session.silence_ms > CONTROL_SILENCE_MS
            is_needed = self._servers.is_needed and not is_alone
            if is_idle and not self._sender.pending and not is_needed:
                return True
            await sleep(self._timers, DRAIN_POLL_MS)
        return False

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of another host."""
        match message:
            case HeartbeatReply() | StateDelta() | StateSnapshot():
                self._session.on_message(sender, message)
            case ForwardRequest():
                spawn(self._answer_forwarded(sender, message))
            case AnswerChunk():
                self._forwarder.on_chunk(sender, message)
            case ChunkCredit():
                self._sender.on_credit(sender, message, self._servers.in_flight)
            case IntentRequest() | OutcomeRequest() | AbortNotice() | CollectRequest():
                self._servers.on_registry_message(sender, message)
            case IntentReply() | OutcomeReply() | CollectReply():
                self._requester.on_reply(sender, message.request_id, message)

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        self._in_flight += 1
        try:
            answer = await self._route(request)
        finally:
            self._in_flight -= 1
        self._outcomes[answer.outcome] += 1
        return answer

    async def _route(self, request: CallerRequest) -> CallerAnswer:
        if request.transaction is not None:
            return await self._route_transaction(request, request.transaction)
        if self._is_draining:
            return _refused(ErrorCode.DRAINING, f"host {self.name} is shutting down")
        if request.group not in self._state.groups:
            detail = f"group {request.group!r} is not known"
            return _refused(ErrorCode.NO_ROUTE, detail)
        return await self._route_to_member(request)

    async def _route_transaction(
        self, request: CallerRequest, transaction: str
    ) -> CallerAnswer:
        host = transaction_host(transaction)
        if host == self.name:
            return await self._servers.handle(request)
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
        detail = f"no answer from {host}; nothing of the transaction is committed yet"
        return CallerAnswer(Outcome.NOT_RUN, ErrorCode.ENDPOINT_LOST, detail)

    async def _route_to_member(self, request: CallerRequest) -> CallerAnswer:
        """Try members until one answers; resend only what is safe to resend."""
        if self._servers.is_serving(request.group):
            answer = await self._servers.handle(request)
            if answer.code is not ErrorCode.NO_ROUTE:
                return answer
        deadline_ms = self._timers.now_ms() + request.timeout_ms
        tried: set[str] = set()
        last = _refused(
            ErrorCode.NO_ROUTE, f"group {request.group} has no serving host"
        )
        while True:
            remaining_ms = deadline_ms - self._timers.now_ms()
            if remaining_ms <= 0:
                return last
            member = self._choose_member(request.group, tried)
            if member is None:
                tried.clear()
                await sleep(self._timers, ROUTE_POLL_MS)
                continue
            tried.add(member)
            if member == self.name:
                answer = await self._servers.handle(request)
            else:
                answer = await self._forward_once(member, request, remaining_ms)
            is_elsewhere = answer.code in (ErrorCode.NO_ROUTE, ErrorCode.DRAINING)
            is_lost = answer.code is ErrorCode.NONE and not answer.is_done
            if not is_elsewhere and not (is_lost and _is_resendable(request)):
                return answer
            last = answer

    async def _forward_once(
        self, member: str, request: CallerRequest, remaining_ms: float
    ) -> CallerAnswer:
        limit_ms = max(remaining_ms - FORWARD_MARGIN_MS, remaining_ms / 2)
        if _is_resendable(request):
            limit_ms = min(limit_ms, max(FORWARD_TRY_MS, remaining_ms / 2))
        outcome = await self._forwarder.forward(member, request, limit_ms)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        detail = f"no answer from serving host {member}"
        if request.operation in (Operation.READ, Operation.BEGIN):
            return CallerAnswer(Outcome.NOT_RUN, detail=detail)
        return CallerAnswer(Outcome.UNKNOWN, detail=detail)

    def _choose_member(self, group: str, tried: set[str]) -> str | None:
        """Prefer this host, then its failure domain, then the least loaded."""
        record = self._state.groups[group]
        members = [
            member
            for member in self._state.valid_members(record)
            if member not in tried and not self._state.hosts[member].is_draining
        ]
        if self.name in members and self._servers.is_serving(group):
            return self.name
        others = [member for member in members if member != self.name]
        return min(others, key=self._preference, default=None)

    def _preference(self, member: str) -> tuple[bool, float, str]:
        is_remote = (
            self._state.hosts[member].failure_domain != self._config.failure_domain
        )
        return (is_remote, self._forwarder.load(member), member)

    async def _answer_forwarded(self, sender: str, message: ForwardRequest) -> None:
        answer = await self._servers.handle(message.request)
        data = msgspec.msgpack.encode(answer)
        self._sender.send(sender, message.request_id, data, self._servers.in_flight)


def _refused(code: ErrorCode, detail: str) -> CallerAnswer:
    return CallerAnswer(Outcome.NOT_RUN, code, detail, retry_after_ms=500)


def _is_resendable(request: CallerRequest) -> bool:
    """Return whether a request may be sent to another host after it was lost."""
    if request.operation is Operation.WRITE:
        return request.is_idempotent or request.idempotency_key is not None
    return request.operation in (Operation.READ, Operation.BEGIN)
