"""Failover of the primaries of all groups by the control leader."""

from collections.abc import Callable
from typing import Final

from azurerelay.cluster._durable_choice import Choice, describe_positions
from azurerelay.cluster._durable_promotion import DurablePromotion
from azurerelay.cluster._endpoint_status_client import (
    MAINTENANCE_INTERVAL_MS,
    EndpointStatusClient,
)
from azurerelay.cluster._open_promotions import SWITCHED, OpenPromotions
from azurerelay.cluster._primary_watch import PrimaryWatch, SuspicionSource
from azurerelay.cluster._promotion_orders import PromotionOrders
from azurerelay.cluster._promotion_policy import candidates, most_advanced
from azurerelay.cluster._replica_holds import ReplicaHolds
from azurerelay.consensus import RaftNode
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog
from azurerelay.membership import ClusterState
from azurerelay.promotions import PromotionPort
from azurerelay.statements import EndpointConnector
from azurerelay.timing import TimerService, gather, sleep, spawn

CHECK_INTERVAL_MS: Final = 100.0
RETRY_DELAY_MS: Final = 200.0
# A host that has just started makes no decisions for this many heartbeat intervals, so
# that it has received heartbeats from all endpoints.
STARTUP_GRACE_HEARTBEATS: Final = 2.5
# A new leader makes no decisions for this long, so that it has received the attachment
# reports of the other control hosts.
NEW_LEADER_GRACE_MS: Final = 500.0
# A pause that an earlier leader requested has reached its replica by then.
EARLIER_PAUSE_MS: Final = 5_000.0
MAX_ATTEMPTS: Final = 10


class PromotionController:
    """Replaces primaries that are lost or draining."""

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
        self._raft = raft
        self._state = state
        self._directory = directory
        self._timers = timers
        self._heartbeat_ms = heartbeat_ms
        self._status_client = EndpointStatusClient(directory, connector, timers)
        self._open_promotions = OpenPromotions(issuer, raft, state, timers)
        self._orders = PromotionOrders(issuer, raft, directory, port, timers, events)
        self._watch = PrimaryWatch(
            state,
            directory,
            self._status_client,
            self._open_promotions,
            timers,
            heartbeat_ms,
        )
        self._holds = ReplicaHolds(
            self._status_client,
            directory,
            timers,
            events,
            lambda: raft.is_ready_leader,
        )
        self._durable_promotion = DurablePromotion(
            raft,
            directory,
            self._status_client,
            self._open_promotions,
            self._orders,
            self._watch,
            self._holds,
            timers,
            events,
        )
        self._groups_in_failover: set[str] = set()
        # Groups whose replicas have been resumed since this host began to lead.
        self._resumed_groups: set[str] = set()
        self._startup_grace_end_ms = (
            timers.now_ms() + STARTUP_GRACE_HEARTBEATS * heartbeat_ms
        )
        self._decide_after_ms = float("inf")
        self._resume_after_ms = float("inf")
        raft.add_role_listener(self._on_role_change)
        timers.call_every(CHECK_INTERVAL_MS, self._check)
        timers.call_every(
            MAINTENANCE_INTERVAL_MS,
            lambda: self._status_client.maintain_connections(raft.is_ready_leader),
        )

    @property
    def waiting_count(self) -> int:
        """The number of groups whose promotion waits for positions of endpoints."""
        return self._durable_promotion.waiting_count

    def set_sources(
        self, suspicions: SuspicionSource, count_entry_hosts: Callable[[], int]
    ) -> None:
        """Set the callables that return suspicions and the number of entry hosts."""
        self._watch.set_sources(suspicions, count_entry_hosts)

    def _on_role_change(self) -> None:
        now_ms = self._timers.now_ms()
        self._decide_after_ms = max(
            self._startup_grace_end_ms, now_ms + NEW_LEADER_GRACE_MS
        )
        self._resume_after_ms = self._decide_after_ms + EARLIER_PAUSE_MS
        self._resumed_groups.clear()
        self._durable_promotion.forget()
        self._holds.forget()

    def _check(self) -> None:
        configuration = self._state.configuration
        is_ready = self._timers.now_ms() >= self._decide_after_ms
        if not self._raft.is_ready_leader or not is_ready or configuration is None:
            return
        self._holds.renew()
        for group in configuration.groups:
            name = group.name
            if name not in self._groups_in_failover and self._directory.group(name):
                reason = self._watch.reason(name)
                if reason is not None:
                    self._groups_in_failover.add(name)
                    spawn(self._replace_primary(name, reason))
        if self._timers.now_ms() >= self._resume_after_ms:
            for group in configuration.groups:
                self._resume_paused_members(group.name)

    def _resume_paused_members(self, group: str) -> None:
        """Resume once the replicas that an earlier leader may have left paused.

        Those of a group whose primary is being replaced are resumed after that.
        """
        is_being_replaced = (
            group in self._groups_in_failover or self._watch.has_open_promotions(group)
        )
        if group not in self._resumed_groups and not is_being_replaced:
            self._resumed_groups.add(group)
            if self._watch.synchronous_replicas(group):
                self._holds.resume_members(group)

    async def _replace_primary(self, group: str, reason: str) -> None:
        try:
            if self._watch.synchronous_replicas(group):
                await self._durable_promotion.replace(group, reason)
            else:
                await self._replace_at_once(group, reason)
        finally:
            self._durable_promotion.end_if_settled(group)
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
            if not await self._orders.confirm_leadership():
                return
            token = self._orders.next_token()
            if attempt == 0:
                self._open_promotions.record_order(
                    group, choice.endpoint, token, reason
                )
            answer = await self._orders.send(group, choice, token, reason)
            if answer.is_done:
                spawn(self._open_promotions.close(group, frozenset(), SWITCHED))
                await self._orders.wait_for_switch(choice.endpoint)
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
