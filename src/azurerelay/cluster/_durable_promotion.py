"""Promotions that lose no acknowledged commit, in groups with synchronous replicas."""

from dataclasses import dataclass
from typing import Final

from azurerelay.cluster._durable_choice import Choice, DurableChoice
from azurerelay.cluster._endpoint_status_client import EndpointStatusClient
from azurerelay.cluster._open_promotions import SWITCHED, OpenPromotions
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._primary_watch import PrimaryWatch
from azurerelay.cluster._promotion_orders import SWITCH_TIMEOUT_MS, PromotionOrders
from azurerelay.cluster._replica_holds import PausedMembers, ReplicaHolds
from azurerelay.consensus import RaftNode
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog
from azurerelay.timing import TimerService, sleep

RETRY_DELAY_MS: Final = 200.0


@dataclass(frozen=True, slots=True)
class _HeldChoice:
    """A choice, and the replicas that have been paused since it was made."""

    choice: Choice
    paused: PausedMembers


class DurablePromotion:
    """Replaces primaries so that the new one has each acknowledged commit.

    From the moment an order is sent until it has taken effect or no longer can, no
    commit is acknowledged that the ordered endpoint lacks: it receives the commits of
    the group, and all other replicas are paused. Each promotion is open in the log
    meanwhile, so the next leader goes on with it.
    """

    def __init__(
        self,
        raft: RaftNode,
        directory: EndpointDirectory,
        status_client: EndpointStatusClient,
        open_promotions: OpenPromotions,
        orders: PromotionOrders,
        watch: PrimaryWatch,
        holds: ReplicaHolds,
        timers: TimerService,
        events: EventLog,
    ) -> None:
        self._raft = raft
        self._status_client = status_client
        self._open_promotions = open_promotions
        self._orders = orders
        self._watch = watch
        self._holds = holds
        self._timers = timers
        self._choice = DurableChoice(
            directory,
            status_client,
            holds,
            timers,
            events,
            watch.synchronous_replicas,
            self._is_choice_needed,
            watch.is_serving,
        )
        # The last choice in each group with open promotions.
        self._choices: dict[str, _HeldChoice] = {}

    @property
    def waiting_count(self) -> int:
        """The number of groups whose promotion waits for positions of endpoints."""
        return self._choice.waiting_count

    def forget(self) -> None:
        """Leave all promotions to the next leader."""
        self._choices.clear()

    def end_if_settled(self, group: str) -> None:
        """Resume the replicas of a group unless a promotion may still take effect."""
        if not self._watch.has_open_promotions(group):
            self._choices.pop(group, None)
            self._holds.release(group)

    async def replace(self, group: str, reason: str) -> None:
        """Order the promotion of an endpoint with all acknowledged commits, once.

        Call it again, also as another leader, while the promotion is open. It orders
        the same endpoint, unless a replica was not paused for a while and may hold
        further commits.
        """
        held = self._choices.get(group)
        if held is None or not self._is_guarded(group, held):
            choice = await self._choose(group, reason)
            if choice is None:
                await sleep(self._timers, RETRY_DELAY_MS)
                return
            held = _HeldChoice(choice, self._holds.paused_members(group))
        endpoint = held.choice.endpoint
        open_before = self._open_promotions.endpoints(group)
        self._guard(group, open_before | {endpoint})
        if not await self._open_promotions.open(group, endpoint, reason):
            return
        if not self._raft.is_ready_leader or not self._is_guarded(group, held):
            await self._open_promotions.close(group, open_before, "it was not ordered")
            return
        self._choices[group] = held
        if not await self._send_order(group, held.choice, reason, open_before):
            await sleep(self._timers, RETRY_DELAY_MS)

    async def _send_order(
        self, group: str, choice: Choice, reason: str, open_before: frozenset[str]
    ) -> bool:
        """Send an order; return whether the endpoint is the primary after it."""
        endpoint = choice.endpoint
        is_primary = endpoint == self._watch.primary(group)
        answer = await self._orders.send(
            group, choice, self._orders.next_token(), reason
        )
        if answer.is_done:
            await self._open_promotions.close(
                group, frozenset({endpoint}), "a later order was answered"
            )
            self._guard(group, frozenset({endpoint}))
            if is_primary and open_before - {endpoint}:
                # An order that was carried out just before takes effect by then.
                await sleep(self._timers, SWITCH_TIMEOUT_MS)
            if await self._orders.wait_for_switch(endpoint):
                await self._open_promotions.close(group, frozenset(), SWITCHED)
                return True
        elif answer.is_answered:
            self._choices.pop(group, None)
            await self._open_promotions.close(
                group, open_before, "the platform refused the order"
            )
        return False

    async def _choose(self, group: str, reason: str) -> Choice | None:
        endpoints = self._open_promotions.endpoints(group)
        primary = self._watch.primary(group)
        if primary is not None and endpoints == {primary}:
            if self._watch.is_healthy(group):
                return Choice(primary, "the primary")
        self._guard(group, endpoints)
        targets = endpoints - {primary}
        choice = await self._choice.choose(group, reason, targets)
        if choice is not None:
            return choice
        # The platform refuses the open promotions once it has answered another order.
        kept = self._watch.primary_to_keep(group)
        if kept is None:
            return None
        contact = await self._status_client.contact_primary(kept)
        if contact is not PrimaryContact.PROVEN:
            return None
        return Choice(kept.endpoint, f"the primary; no heartbeat: {', '.join(targets)}")

    def _is_choice_needed(self, group: str) -> bool:
        return (
            self._raft.is_ready_leader
            and self._watch.is_replacement_needed(group)
            and self._watch.primary_to_keep(group) is None
        )

    def _guard(self, group: str, endpoints: frozenset[str]) -> None:
        """Let a commit be acknowledged only if all these endpoints hold it.

        The primary does. With two others, none of them may receive without the other.
        """
        targets = endpoints - {self._watch.primary(group)}
        if targets and self._watch.synchronous_replicas(group):
            receiver = next(iter(targets)) if len(targets) == 1 else None
            self._holds.guard(group, receiver)

    def _is_guarded(self, group: str, held: _HeldChoice) -> bool:
        """Return whether the chosen endpoint still has each acknowledged commit.

        An operator may also have accepted the loss of others meanwhile.
        """
        count = self._watch.synchronous_replicas(group)
        endpoints = self._open_promotions.endpoints(group)
        is_needed = count > 0 and endpoints != {self._watch.primary(group)}
        return not is_needed or self._holds.has_held(group, held.paused, count)
