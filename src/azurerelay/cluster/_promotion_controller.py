"""Failover of the primaries of all groups by the control leader."""

from collections.abc import Callable
from typing import Final

from azurerelay.attachment import SuspectedPrimaryReport
from azurerelay.cluster._durable_choice import (
    Choice,
    DurableChoice,
    describe_positions,
)
from azurerelay.cluster._endpoint_status_client import (
    MAINTENANCE_INTERVAL_MS,
    EndpointStatusClient,
)
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._primary_contacts import PrimaryContacts
from azurerelay.cluster._promotion_policy import (
    GroupHealth,
    Suspicions,
    candidates,
    may_acknowledge_commits,
    most_advanced,
    promotion_reason,
)
from azurerelay.cluster._replica_holds import ReplicaHolds
from azurerelay.consensus import RaftNode
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog, PromotionAnswered, PromotionDecided
from azurerelay.membership import COMMAND_CODEC, ClusterState, RecordPromotion
from azurerelay.messages import compress
from azurerelay.pooling import connected_hosts
from azurerelay.promotions import PromotionAnswer, PromotionOrder, PromotionPort
from azurerelay.routes import DatabaseGroup
from azurerelay.statements import EndpointConnector
from azurerelay.timing import TimerService, gather, sleep, spawn

CHECK_INTERVAL_MS: Final = 100.0
RETRY_DELAY_MS: Final = 200.0
# The platform switches primaries a few hundred milliseconds after it has answered, and
# the new primary announces its role at once.
SWITCH_TIMEOUT_MS: Final = 4_000.0
# A host that has just started makes no decisions for this many heartbeat intervals, so
# that it has received heartbeats from all endpoints.
STARTUP_GRACE_HEARTBEATS: Final = 2.5
# A new leader makes no decisions for this long, so that it has received the attachment
# reports of the other control hosts.
NEW_LEADER_GRACE_MS: Final = 500.0
# Suspicions and contacts come at intervals. A promotion under way is given up only
# after there was no reason for it for this long.
REASON_RETENTION_MS: Final = 1_000.0
# An order of an earlier leader is carried out, or never, before this long has passed.
EARLIER_ORDER_MS: Final = 5_000.0
TOKENS_PER_TERM: Final = 1_000_000
MAX_ATTEMPTS: Final = 10

SuspicionSource = Callable[[], tuple[SuspectedPrimaryReport, ...]]


class PromotionController:
    """Replaces primaries that are lost or draining.

    Fencing tokens are derived from the Raft term, so no two leaders use the same one,
    and a leader uses a higher one with each order. Once the platform has answered an
    order, it refuses any earlier order for the same group that is still under way.
    """

    def __init__(
        self,
        issuer: str,
        raft: RaftNode,
        state: ClusterState,
        directory: EndpointDirectory,
        connector: EndpointConnector,
        port: PromotionPort,
        timers: TimerService,
        events: EventLog,
        heartbeat_ms: float,
    ) -> None:
        self._issuer = issuer
        self._raft = raft
        self._state = state
        self._directory = directory
        self._status_client = EndpointStatusClient(directory, connector, timers)
        self._port = port
        self._timers = timers
        self._events = events
        self._heartbeat_ms = heartbeat_ms
        self._order_count = 0
        self._groups_in_failover: set[str] = set()
        # The endpoints of each group whose promotion may still be carried out.
        self._open_orders: dict[str, frozenset[str]] = {}
        # The last choice in each group with open orders.
        self._choices: dict[str, Choice | None] = {}
        self._holds = ReplicaHolds(
            self._status_client,
            directory,
            timers,
            events,
            lambda: raft.is_ready_leader,
        )
        self._durable_choice = DurableChoice(
            directory,
            self._status_client,
            self._holds,
            timers,
            events,
            self._synchronous_replicas,
            self._is_promotion_needed,
            self._is_primary_serving,
        )
        self._resume_after_ms = float("inf")
        self._reason_seen_ms: dict[str, float] = {}
        self._contacts = PrimaryContacts(
            lambda primary: spawn(self._status_client.contact_primary(primary)), timers
        )
        self._startup_grace_end_ms = (
            timers.now_ms() + STARTUP_GRACE_HEARTBEATS * heartbeat_ms
        )
        self._decide_after_ms = float("inf")
        self._suspicions: SuspicionSource = tuple
        self._count_entry_hosts: Callable[[], int] = lambda: 1
        raft.add_role_listener(self._on_role_change)
        timers.call_every(CHECK_INTERVAL_MS, self._check)
        timers.call_every(
            MAINTENANCE_INTERVAL_MS,
            lambda: self._status_client.maintain_connections(raft.is_ready_leader),
        )

    @property
    def waiting_count(self) -> int:
        """The number of groups whose promotion waits for positions of endpoints."""
        return self._durable_choice.waiting_count

    def set_sources(
        self, suspicions: SuspicionSource, count_entry_hosts: Callable[[], int]
    ) -> None:
        """Set the callables that return suspicions and the number of entry hosts."""
        self._suspicions = suspicions
        self._count_entry_hosts = count_entry_hosts

    def _on_role_change(self) -> None:
        self._order_count = 0
        now_ms = self._timers.now_ms()
        self._decide_after_ms = max(
            self._startup_grace_end_ms, now_ms + NEW_LEADER_GRACE_MS
        )
        self._resume_after_ms = self._decide_after_ms + EARLIER_ORDER_MS
        self._open_orders.clear()
        self._choices.clear()
        self._holds.forget()

    def _check(self) -> None:
        configuration = self._state.configuration
        is_ready = self._timers.now_ms() >= self._decide_after_ms
        if not self._raft.is_ready_leader or not is_ready or configuration is None:
            return
        self._holds.renew()
        for group in configuration.groups:
            if group.name not in self._groups_in_failover and self._directory.group(
                group.name
            ):
                reason = self._reason(group)
                if reason is not None:
                    self._groups_in_failover.add(group.name)
                    self._reason_seen_ms[group.name] = self._timers.now_ms()
                    spawn(self._replace_primary(group.name, reason))
        if self._timers.now_ms() >= self._resume_after_ms:
            self._resume_after_ms = float("inf")
            for group in configuration.groups:
                is_free = group.name not in self._groups_in_failover
                if group.synchronous_replicas and is_free:
                    self._holds.resume_members(group.name)

    def _reason(self, group: DatabaseGroup) -> str | None:
        reason = promotion_reason(self._health(group), self._heartbeat_ms)
        if reason is None and group.name in self._open_orders:
            return "an earlier order may still be carried out"
        return reason

    def _health(self, group: DatabaseGroup) -> GroupHealth:
        primaries = self._directory.primaries(group.name)
        primary = primaries[0] if primaries else None
        observing_hosts = connected_hosts(
            group.connection_limit, self._count_entry_hosts()
        )
        unknown = PrimaryContact.UNKNOWN
        if primary is None:
            nobody = Suspicions()
            return GroupHealth(None, 0.0, nobody, nobody, unknown, observing_hosts)
        # Suspicions of an earlier primary say nothing about this one.
        report = next(
            (
                report
                for report in self._suspicions()
                if report.group == group.name and report.endpoint == primary.endpoint
            ),
            None,
        )
        if report is None:
            suspicions = certain = Suspicions()
        else:
            suspicions = Suspicions(report.hosts, report.longest_ms)
            certain = Suspicions(report.certain_hosts, report.longest_certain_ms)
        return GroupHealth(
            primary,
            self._directory.silence_ms(primary.endpoint, self._timers.now_ms()),
            suspicions,
            certain,
            self._contacts.recent(primary) if report is not None else unknown,
            observing_hosts,
        )

    async def _replace_primary(self, group: str, reason: str) -> None:
        try:
            if self._synchronous_replicas(group):
                await self._replace_durably(group, reason)
            else:
                await self._replace_at_once(group, reason)
        finally:
            if not self._synchronous_replicas(group):
                self._open_orders.pop(group, None)
            if not self._open_orders.get(group):
                self._open_orders.pop(group, None)
                self._choices.pop(group, None)
                self._holds.release(group)
            # The next check decides again, also after an unexpected error.
            self._groups_in_failover.discard(group)

    async def _replace_at_once(self, group: str, reason: str) -> None:
        """Promote the best endpoint that answers in time."""
        failed = tuple(p.endpoint for p in self._directory.primaries(group))
        choice = await self._choose_endpoint(group, failed)
        if choice is None:
            await sleep(self._timers, RETRY_DELAY_MS)
            return
        for attempt in range(MAX_ATTEMPTS):
            if not await self._confirm_leadership():
                return
            answer = await self._send_order(group, choice, reason, attempt == 0)
            if answer.is_done:
                await self._wait_for_switch(group, choice.endpoint)
                return
            await sleep(self._timers, RETRY_DELAY_MS)
            if answer.is_fenced:
                # Another leader has used a higher token, or the endpoint is down: the
                # next check decides again.
                return

    async def _replace_durably(self, group: str, reason: str) -> None:
        """Order the promotion of an endpoint that holds all acknowledged commits, once.

        Until the order is carried out or can no longer be, only this endpoint receives
        commits, and the next check orders its promotion again. Another one is chosen
        only if a replica was not paused for a while, and may hold further commits.
        """
        choice = self._choices.get(group)
        if choice is None or not self._is_guarded(group):
            choice = await self._choose_durable_endpoint(group, reason)
            if choice is None:
                await sleep(self._timers, RETRY_DELAY_MS)
                return
        open_orders = self._open_orders.get(group, frozenset())
        if self._synchronous_replicas(group):
            others = open_orders - {choice.endpoint}
            self._holds.guard(group, None if others else choice.endpoint)
        if not await self._confirm_leadership() or not self._is_guarded(group):
            return
        self._open_orders[group] = open_orders | {choice.endpoint}
        is_first = choice.endpoint not in open_orders
        answer = await self._send_order(group, choice, reason, is_first)
        if answer.is_done:
            # The platform refuses earlier orders from now on.
            self._open_orders[group] = frozenset({choice.endpoint})
            self._holds.guard(group, choice.endpoint)
            if await self._wait_for_switch(group, choice.endpoint):
                self._open_orders.pop(group, None)
                return
        elif answer.is_answered:
            # Refused, so that only the earlier orders may still be carried out.
            self._open_orders[group] = open_orders
            choice = None
        self._choices[group] = choice
        await sleep(self._timers, RETRY_DELAY_MS)

    async def _choose_durable_endpoint(self, group: str, reason: str) -> Choice | None:
        open_orders = self._open_orders.get(group, frozenset())
        return await self._durable_choice.choose(group, reason, open_orders)

    def _is_guarded(self, group: str) -> bool:
        """Return whether no commit is acknowledged that the receiver lacks.

        An operator may also have accepted such a loss meanwhile.
        """
        count = self._synchronous_replicas(group)
        return count == 0 or self._holds.is_complete(group, count)

    async def _choose_endpoint(
        self, group: str, failed: tuple[str, ...]
    ) -> Choice | None:
        """Return the endpoint to promote and the positions that candidates reported.

        Returns None if no candidate answered.
        """
        eligible = candidates(
            self._directory,
            group,
            failed,
            self._heartbeat_ms,
            self._timers.now_ms(),
        )
        positions = await gather(
            [
                spawn(self._status_client.received_position(endpoint))
                for endpoint in eligible
            ]
        )
        received = {
            endpoint.endpoint: position
            for endpoint, position in zip(eligible, positions, strict=True)
            if position is not None
        }
        endpoint = most_advanced(received)
        if endpoint is None:
            return None
        return Choice(endpoint, describe_positions(received))

    def _is_promotion_needed(self, name: str) -> bool:
        group = self._group(name)
        if group is None or not self._raft.is_ready_leader:
            return False
        now_ms = self._timers.now_ms()
        if self._reason(group) is not None:
            self._reason_seen_ms[name] = now_ms
        seen_ms = self._reason_seen_ms.get(name, float("-inf"))
        return now_ms - seen_ms < REASON_RETENTION_MS

    def _is_primary_serving(self, name: str) -> bool:
        group = self._group(name)
        return group is not None and may_acknowledge_commits(self._health(group))

    def _synchronous_replicas(self, name: str) -> int:
        group = self._group(name)
        return group.synchronous_replicas if group is not None else 0

    def _group(self, name: str) -> DatabaseGroup | None:
        configuration = self._state.configuration
        groups = configuration.groups if configuration is not None else ()
        return next((group for group in groups if group.name == name), None)

    async def _confirm_leadership(self) -> bool:
        """Return whether a majority confirms this leader, as before each order.

        A leader that was cut off meanwhile may have a successor that has sent orders of
        its own.
        """
        return await self._raft.confirm_leadership() and self._raft.is_ready_leader

    async def _send_order(
        self, group: str, choice: Choice, reason: str, is_first: bool
    ) -> PromotionAnswer:
        """Send an order under a new fencing token, and return the answer.

        The first order of a change is recorded in the audit trail.
        """
        endpoint, token = choice.endpoint, self._next_token()
        self._events.record(
            PromotionDecided(group, endpoint, token, reason, choice.reported)
        )
        if is_first:
            self._record_in_audit_trail(group, endpoint, token, reason)
        sent_ms = self._timers.now_ms()
        answer = await self._port.promote(
            PromotionOrder(group, endpoint, self._issuer, token)
        )
        self._events.record(
            PromotionAnswered(
                group,
                endpoint,
                token,
                answer.status,
                self._timers.now_ms() - sent_ms,
            )
        )
        return answer

    def _record_in_audit_trail(
        self, group: str, endpoint: str, token: int, reason: str
    ) -> None:
        """Record the order in the audit trail; it is sent without waiting for this."""
        command = RecordPromotion(
            self._timers.wall_clock_ms(), self._issuer, group, endpoint, token, reason
        )
        self._raft.propose(compress(COMMAND_CODEC.encode(command)))

    async def _wait_for_switch(self, group: str, endpoint: str) -> bool:
        """Return whether the endpoint is the primary within `SWITCH_TIMEOUT_MS`."""
        deadline_ms = self._timers.now_ms() + SWITCH_TIMEOUT_MS
        while self._timers.now_ms() < deadline_ms:
            record = self._directory.get(endpoint)
            if record is None or record.is_primary or not self._raft.is_leader:
                return record is not None and record.is_primary
            await sleep(self._timers, CHECK_INTERVAL_MS)
        return False

    def _next_token(self) -> int:
        self._order_count += 1
        return self._raft.term * TOKENS_PER_TERM + self._order_count
