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
from azurerelay.cluster._open_promotions import OpenPromotions
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._primary_contacts import PrimaryContacts
from azurerelay.cluster._promotion_policy import (
    CANDIDATE_MISSED_HEARTBEATS,
    GroupHealth,
    Suspicions,
    candidates,
    may_acknowledge_commits,
    most_advanced,
    promotion_reason,
)
from azurerelay.cluster._replica_holds import ReplicaHolds
from azurerelay.consensus import RaftNode
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.events import EventLog, PromotionAnswered, PromotionDecided
from azurerelay.membership import ClusterState
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
# A pause that an earlier leader requested has reached its replica by then.
EARLIER_PAUSE_MS: Final = 5_000.0
TOKENS_PER_TERM: Final = 1_000_000
MAX_ATTEMPTS: Final = 10
SWITCHED: Final = "the group has switched"

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
        self._open_promotions = OpenPromotions(issuer, raft, state, timers)
        # The last choice in each group with open promotions.
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
            self._is_choice_needed,
            self._is_primary_serving,
        )
        self._resume_after_ms = float("inf")
        # Groups whose replicas have been resumed since this host began to lead.
        self._resumed_groups: set[str] = set()
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
        self._resume_after_ms = self._decide_after_ms + EARLIER_PAUSE_MS
        self._resumed_groups.clear()
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
            for group in configuration.groups:
                self._resume_paused_members(group)

    def _resume_paused_members(self, group: DatabaseGroup) -> None:
        """Resume once the replicas that an earlier leader may have left paused.

        Those of a group whose primary is being replaced are resumed after that.
        """
        name = group.name
        is_being_replaced = name in self._groups_in_failover or (
            group.synchronous_replicas and self._open_promotions.endpoints(name)
        )
        if name not in self._resumed_groups and not is_being_replaced:
            self._resumed_groups.add(name)
            if group.synchronous_replicas:
                self._holds.resume_members(name)

    def _reason(self, group: DatabaseGroup) -> str | None:
        reason = promotion_reason(self._health(group), self._heartbeat_ms)
        is_open = group.synchronous_replicas and self._open_promotions.endpoints(
            group.name
        )
        if reason is None and is_open:
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
            is_open = self._open_promotions.endpoints(group)
            if not self._synchronous_replicas(group) or not is_open:
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
            token = self._next_token()
            if attempt == 0:
                self._open_promotions.record_order(
                    group, choice.endpoint, token, reason
                )
            answer = await self._send_order(group, choice, token, reason)
            if answer.is_done:
                spawn(self._open_promotions.close(group, frozenset(), SWITCHED))
                await self._wait_for_switch(group, choice.endpoint)
                return
            is_open = choice.endpoint in self._open_promotions.endpoints(group)
            if not answer.is_answered and not is_open:
                # An operator may set synchronous replicas before it is carried out.
                spawn(self._open_promotions.open(group, choice.endpoint, reason))
            await sleep(self._timers, RETRY_DELAY_MS)
            if answer.is_fenced:
                # Another leader has used a higher token, or the endpoint is down: the
                # next check decides again.
                return

    async def _replace_durably(self, group: str, reason: str) -> None:
        """Order the promotion of an endpoint that holds all acknowledged commits, once.

        Until the order is carried out or can no longer be, only this endpoint receives
        commits, and the next check orders its promotion again, also that of another
        leader. Another one is chosen only if a replica was not paused for a while, and
        may hold further commits.
        """
        choice = self._choices.get(group)
        if choice is None or not self._is_guarded(group):
            choice = await self._choose_durable_endpoint(group, reason)
            if choice is None:
                await sleep(self._timers, RETRY_DELAY_MS)
                return
        endpoint = choice.endpoint
        open_before = self._open_promotions.endpoints(group)
        self._guard(group, open_before | {endpoint})
        if not await self._open_promotions.open(group, endpoint, reason):
            return
        if not self._raft.is_ready_leader or not self._is_guarded(group):
            await self._open_promotions.close(group, open_before, "it was not ordered")
            return
        is_primary = endpoint == self._primary_name(group)
        answer = await self._send_order(group, choice, self._next_token(), reason)
        if answer.is_done:
            await self._open_promotions.close(
                group, frozenset({endpoint}), "a later order was answered"
            )
            self._guard(group, frozenset({endpoint}))
            if is_primary and open_before - {endpoint}:
                # An order that was carried out just before takes effect by then.
                await sleep(self._timers, SWITCH_TIMEOUT_MS)
            if await self._wait_for_switch(group, endpoint):
                await self._open_promotions.close(group, frozenset(), SWITCHED)
                return
        elif answer.is_answered:
            await self._open_promotions.close(
                group, open_before, "the platform refused the order"
            )
            choice = None
        self._choices[group] = choice
        await sleep(self._timers, RETRY_DELAY_MS)

    async def _choose_durable_endpoint(self, group: str, reason: str) -> Choice | None:
        endpoints = self._open_promotions.endpoints(group)
        primary = self._primary_name(group)
        if primary is not None and endpoints == {primary} and self._is_kept(group):
            return Choice(primary, "the primary")
        self._guard(group, endpoints)
        targets = endpoints - {primary}
        choice = await self._durable_choice.choose(group, reason, targets)
        if choice is not None:
            return choice
        # The platform refuses the open promotions once it has answered another order.
        kept = self._primary_to_keep(group)
        if kept is None:
            return None
        contact = await self._status_client.contact_primary(kept)
        if contact is not PrimaryContact.PROVEN:
            return None
        return Choice(kept.endpoint, f"the primary; no heartbeat: {', '.join(targets)}")

    def _guard(self, group: str, endpoints: frozenset[str]) -> None:
        """Let a commit be acknowledged only if all these endpoints hold it.

        The primary does. With two others, none of them may receive without the other.
        """
        if self._synchronous_replicas(group):
            targets = endpoints - {self._primary_name(group)}
            if targets:
                receiver = next(iter(targets)) if len(targets) == 1 else None
                self._holds.guard(group, receiver)

    def _is_guarded(self, group: str) -> bool:
        """Return whether each acknowledged commit is held by the endpoints to promote.

        An operator may also have accepted the loss of others meanwhile.
        """
        count = self._synchronous_replicas(group)
        endpoints = self._open_promotions.endpoints(group)
        is_needed = count > 0 and endpoints != {self._primary_name(group)}
        return not is_needed or self._holds.is_complete(group, count)

    def _primary_to_keep(self, name: str) -> Announcement | None:
        """Return the primary if it is well and no open promotion can take effect now.

        That is so while the endpoints to be promoted send no heartbeats.
        """
        group = self._group(name)
        if group is None or not self._is_kept(name):
            return None
        primary = self._health(group).primary
        targets = self._open_promotions.endpoints(name)
        if primary is None or not targets or primary.endpoint in targets:
            return None
        limit_ms = CANDIDATE_MISSED_HEARTBEATS * self._heartbeat_ms
        now_ms = self._timers.now_ms()
        if self._directory.silence_ms(primary.endpoint, now_ms) >= limit_ms:
            return None
        is_silent = all(
            self._directory.silence_ms(name, now_ms) >= limit_ms for name in targets
        )
        return primary if is_silent else None

    def _is_kept(self, name: str) -> bool:
        """Return whether there is no reason to replace the present primary."""
        group = self._group(name)
        return (
            group is not None
            and promotion_reason(self._health(group), self._heartbeat_ms) is None
        )

    def _primary_name(self, group: str) -> str | None:
        primaries = self._directory.primaries(group)
        return primaries[0].endpoint if primaries else None

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

    def _is_choice_needed(self, name: str) -> bool:
        return self._is_promotion_needed(name) and self._primary_to_keep(name) is None

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
        self, group: str, choice: Choice, token: int, reason: str
    ) -> PromotionAnswer:
        """Send an order under a new fencing token, and return the answer."""
        endpoint = choice.endpoint
        self._events.record(
            PromotionDecided(group, endpoint, token, reason, choice.reported)
        )
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
