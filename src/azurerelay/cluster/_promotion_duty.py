"""The leader's care for the primaries of all groups."""

from collections.abc import Callable
from typing import Final

from azurerelay.attachment import PrimarySuspicion
from azurerelay.cluster._compression import compress
from azurerelay.cluster._position_survey import KEEP_INTERVAL_MS, PositionSurvey
from azurerelay.cluster._promotion_policy import (
    GroupHealth,
    candidates,
    most_advanced,
    promotion_reason,
)
from azurerelay.consensus import RaftNode
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog, PromotionAnswered, PromotionDecided
from azurerelay.membership import COMMAND_CODEC, ClusterState, RecordPromotion
from azurerelay.pooling import connected_hosts
from azurerelay.promotions import PromotionOrder, PromotionPort
from azurerelay.routes import DatabaseGroup
from azurerelay.statements import EndpointConnector
from azurerelay.timing import TimerService, gather, sleep, spawn

CHECK_MS: Final = 100.0
RETRY_MS: Final = 200.0
# The platform switches some hundred milliseconds after it has answered; the new
# primary says so at once.
SWITCH_LIMIT_MS: Final = 4_000.0
# A host that has just started hears the heartbeats of all endpoints before it judges.
SETTLE_HEARTBEATS: Final = 2.5
# A new leader hears the reports of the other control hosts first.
NEW_LEADER_MS: Final = 500.0
TOKENS_PER_TERM: Final = 1_000_000
MAX_TRIES: Final = 10

Suspicions = Callable[[], tuple[tuple[str, PrimarySuspicion], ...]]


class PromotionDuty:
    """Replace primaries that are lost or leave.

    Fencing tokens are taken from the term of the log, so no two leaders share one,
    and each order of a leader has a higher one: an order that got no answer is void
    once a later one for the same group has been answered.
    """

    def __init__(
        self,
        holder: str,
        raft: RaftNode,
        state: ClusterState,
        directory: EndpointDirectory,
        connector: EndpointConnector,
        port: PromotionPort,
        timers: TimerService,
        events: EventLog,
        heartbeat_ms: float,
    ) -> None:
        self._holder = holder
        self._raft = raft
        self._state = state
        self._directory = directory
        self._survey = PositionSurvey(directory, connector, timers)
        self._port = port
        self._timers = timers
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._orders = 0
        self._busy: set[str] = set()
        self._settled_ms = timers.now_ms() + SETTLE_HEARTBEATS * heartbeat_ms
        self._ready_ms = float("inf")
        self._suspicions: Suspicions = tuple
        self._entry_hosts: Callable[[], int] = lambda: 1
        raft.add_role_listener(self._on_role)
        timers.subscribe(CHECK_MS, self._check)
        timers.subscribe(
            KEEP_INTERVAL_MS, lambda: self._survey.keep(raft.is_ready_leader)
        )

    def set_sources(
        self, suspicions: Suspicions, entry_hosts: Callable[[], int]
    ) -> None:
        """Tell where the judgement of the entry hosts comes from."""
        self._suspicions = suspicions
        self._entry_hosts = entry_hosts

    def _on_role(self) -> None:
        self._orders = 0
        now_ms = self._timers.now_ms()
        self._ready_ms = max(self._settled_ms, now_ms + NEW_LEADER_MS)

    def _check(self) -> None:
        configuration = self._state.configuration
        is_ready = self._timers.now_ms() >= self._ready_ms
        if not self._raft.is_ready_leader or not is_ready or configuration is None:
            return
        for group in configuration.groups:
            if group.name not in self._busy and self._directory.group(group.name):
                reason = promotion_reason(self._health(group), self._heartbeat_ms)
                if reason is not None:
                    self._busy.add(group.name)
                    spawn(self._replace_primary(group.name, reason))

    def _health(self, group: DatabaseGroup) -> GroupHealth:
        primaries = self._directory.primaries(group.name)
        newest = primaries[0] if primaries else None
        judging = connected_hosts(group.connection_limit, self._entry_hosts())
        if newest is None:
            return GroupHealth(None, 0.0, 0, 0.0, judging)
        # Hosts that still miss an earlier primary do not speak of this one.
        suspicions = {
            host: suspicion
            for host, suspicion in self._suspicions()
            if suspicion.group == group.name and suspicion.endpoint == newest.endpoint
        }
        return GroupHealth(
            newest,
            self._directory.silence_ms(newest.endpoint, self._timers.now_ms()),
            len(suspicions),
            max((s.silent_ms for s in suspicions.values()), default=0.0),
            judging,
        )

    async def _replace_primary(self, group: str, reason: str) -> None:
        failed = tuple(p.endpoint for p in self._directory.primaries(group))
        chosen = await self._choose(group, failed)
        if chosen is not None and await self._raft.confirm_leadership():
            endpoint, stated = chosen
            await self._order(group, endpoint, reason, stated)
        else:
            await sleep(self._timers, RETRY_MS)
        self._busy.discard(group)

    async def _choose(
        self, group: str, failed: tuple[str, ...]
    ) -> tuple[str, str] | None:
        """Return the endpoint that has received most, and what all have stated."""
        possible = candidates(
            self._directory,
            group,
            failed,
            self._heartbeat_ms,
            self._timers.now_ms(),
        )
        answers = await gather(
            [spawn(self._survey.received(endpoint)) for endpoint in possible]
        )
        received = {
            endpoint.endpoint: position
            for endpoint, position in zip(possible, answers, strict=True)
            if position is not None
        }
        endpoint = most_advanced(received)
        if endpoint is None:
            return None
        stated = ", ".join(f"{name} {position}" for name, position in received.items())
        return endpoint, stated

    async def _order(self, group: str, endpoint: str, reason: str, stated: str) -> None:
        """Ask until the platform answers; then wait for the switch."""
        for attempt in range(MAX_TRIES):
            if not self._raft.is_ready_leader:
                return
            token = self._next_token()
            self._events.record(
                PromotionDecided(group, endpoint, token, reason, stated)
            )
            if attempt == 0:
                self._record(group, endpoint, token, reason)
            asked_ms = self._timers.now_ms()
            answer = await self._port.promote(
                PromotionOrder(group, endpoint, self._holder, token)
            )
            self._events.record(
                PromotionAnswered(
                    group,
                    endpoint,
                    token,
                    answer.status,
                    self._timers.now_ms() - asked_ms,
                )
            )
            if answer.is_done:
                await self._wait_for_switch(group, endpoint)
                return
            if answer.is_fenced:
                # Another leader is at work, or the endpoint is gone: judge anew.
                await sleep(self._timers, RETRY_MS)
                return
            await sleep(self._timers, RETRY_MS)

    def _record(self, group: str, endpoint: str, token: int, reason: str) -> None:
        """Note the order in the audit trail; the order does not wait for it."""
        command = RecordPromotion(
            self._timers.wall_ms(), self._holder, group, endpoint, token, reason
        )
        self._raft.propose(compress(COMMAND_CODEC.encode(command)))

    async def _wait_for_switch(self, group: str, endpoint: str) -> None:
        until_ms = self._timers.now_ms() + SWITCH_LIMIT_MS
        while self._timers.now_ms() < until_ms:
            record = self._directory.get(endpoint)
            if record is None or record.is_primary or not self._raft.is_leader:
                return
            await sleep(self._timers, CHECK_MS)

    def _next_token(self) -> int:
        self._orders += 1
        return self._raft.term * TOKENS_PER_TERM + self._orders
