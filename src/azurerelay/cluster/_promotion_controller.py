"""Failover of the primaries of all groups by the control leader."""

from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, Final

from azurerelay.attachment import SuspectedPrimaryReport
from azurerelay.cluster._endpoint_status_client import (
    MAINTENANCE_INTERVAL_MS,
    STATUS_TIMEOUT_MS,
    EndpointStatusClient,
)
from azurerelay.cluster._position_poll import FIRST_QUERY_TIMEOUT_MS, PositionPoll
from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.cluster._primary_contacts import PrimaryContacts
from azurerelay.cluster._promotion_policy import (
    GroupHealth,
    Suspicions,
    candidates,
    commit_holders,
    may_acknowledge_commits,
    most_advanced,
    promotion_reason,
    required_answers,
)
from azurerelay.cluster._replica_holds import ReplicaHolds
from azurerelay.consensus import RaftNode
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.events import (
    EventLog,
    PromotionAnswered,
    PromotionDecided,
    PromotionWaiting,
)
from azurerelay.membership import COMMAND_CODEC, ClusterState, RecordPromotion
from azurerelay.messages import compress
from azurerelay.pooling import connected_hosts
from azurerelay.promotions import PromotionOrder, PromotionPort
from azurerelay.routes import DatabaseGroup
from azurerelay.statements import EndpointConnector, Position
from azurerelay.timing import (
    Promise,
    TimerService,
    gather,
    sleep,
    spawn,
    with_timeout,
)

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
# A promotion that waits for positions is reported at this interval.
WAITING_REPORT_INTERVAL_MS: Final = 1_000.0
# An endpoint may take longer to pause than to state its position.
PAUSE_DURATION_FACTOR: Final = 1.5
# The primary can acknowledge no commits while replicas are paused. They are resumed
# unless enough of them have answered within this many timeouts of a query.
PAUSE_TIMEOUTS: Final = 3.0
# Suspicions and contacts come at intervals. A promotion under way is given up only
# after there was no reason for it for this long.
REASON_RETENTION_MS: Final = 1_000.0
# An order of an earlier leader is carried out, or never, before this long has passed.
EARLIER_ORDER_MS: Final = 5_000.0
TOKENS_PER_TERM: Final = 1_000_000
MAX_ATTEMPTS: Final = 10

SuspicionSource = Callable[[], tuple[SuspectedPrimaryReport, ...]]


@dataclass(frozen=True, slots=True)
class _Answers:
    """The positions that endpoints of a group have stated to have received.

    `missing` names the endpoints that may hold commits and have not answered, and
    `needed` is the number of answers that a promotion needs.
    """

    received: Mapping[str, Position]
    draining: frozenset[str]
    missing: str
    needed: int

    @property
    def is_enough(self) -> bool:
        """Whether one of the answers is sure to cover all acknowledged commits."""
        return len(self.received) >= self.needed

    def choose(self) -> tuple[str, str] | None:
        """Return the endpoint to promote and a description of all answers."""
        endpoint = most_advanced(self.received, self.draining)
        if endpoint is None:
            return None
        text = _describe(self.received)
        if self.missing:
            text += f"; no answer: {self.missing}"
        return endpoint, text


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
        self._waiting_groups: set[str] = set()
        # Groups with an order that may still be carried out.
        self._unsettled_groups: set[str] = set()
        self._holds = ReplicaHolds(
            self._status_client, directory, timers, lambda: raft.is_ready_leader
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
        return len(self._waiting_groups)

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
        self._unsettled_groups.clear()
        self._holds.forget()

    def _check(self) -> None:
        configuration = self._state.configuration
        is_ready = self._timers.now_ms() >= self._decide_after_ms
        if not self._raft.is_ready_leader or not is_ready or configuration is None:
            return
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
        if reason is None and group.name in self._unsettled_groups:
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
                chosen = await self._choose_durable_endpoint(group, reason)
            else:
                failed = tuple(p.endpoint for p in self._directory.primaries(group))
                chosen = await self._choose_endpoint(group, failed)
            if chosen is not None:
                endpoint, reported = chosen
                if await self._send_order(group, endpoint, reason, reported):
                    self._unsettled_groups.discard(group)
                else:
                    self._unsettled_groups.add(group)
            else:
                await sleep(self._timers, RETRY_DELAY_MS)
        finally:
            if not self._synchronous_replicas(group):
                self._unsettled_groups.discard(group)
            if group not in self._unsettled_groups:
                self._holds.release(group)
            # The next check decides again, also after an unexpected error.
            self._groups_in_failover.discard(group)

    async def _choose_endpoint(
        self, group: str, failed: tuple[str, ...]
    ) -> tuple[str, str] | None:
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
        return (endpoint, _describe(received)) if endpoint is not None else None

    async def _choose_durable_endpoint(
        self, group: str, reason: str
    ) -> tuple[str, str] | None:
        """Return an endpoint that holds every acknowledged commit, and all positions.

        Waits until enough endpoints have stated their positions. An operator who sets
        the number of synchronous replicas of the group to 0 meanwhile ends the wait,
        and accepts the loss of commits that only the missing endpoints hold. Returns
        None if the primary no longer has to be replaced, or this host does not lead.
        """
        poll = self._start_poll(self._status_client.query_received)
        started_ms = self._timers.now_ms()
        report_ms = started_ms + STATUS_TIMEOUT_MS
        try:
            while self._is_promotion_needed(group):
                answers = self._update_poll(group, poll)
                if answers.is_enough:
                    if not self._must_hold(group):
                        return answers.choose()
                    timeout_ms = max(
                        FIRST_QUERY_TIMEOUT_MS,
                        PAUSE_DURATION_FACTOR * poll.slowest_answer_ms,
                    )
                    return await self._hold_and_choose(group, reason, timeout_ms)
                now_ms = self._timers.now_ms()
                if now_ms >= report_ms:
                    report_ms = now_ms + WAITING_REPORT_INTERVAL_MS
                    self._waiting_groups.add(group)
                    self._report_waiting(group, reason, answers, started_ms)
                await with_timeout(self._timers, poll.next_answer, CHECK_INTERVAL_MS)
            return None
        finally:
            poll.stop()
            self._waiting_groups.discard(group)

    def _must_hold(self, name: str) -> bool:
        """Return whether commits may be acknowledged before the group has switched."""
        group = self._group(name)
        return (
            group is not None
            and group.synchronous_replicas > 0
            and may_acknowledge_commits(self._health(group))
        )

    async def _hold_and_choose(
        self, group: str, reason: str, timeout_ms: float
    ) -> tuple[str, str] | None:
        """Pause replicas until no commit can be acknowledged, and choose one of them.

        Their positions do not change until the group has switched or is released.
        Returns None if too few are known to be paused after `PAUSE_TIMEOUTS` times
        `timeout_ms`.
        """
        poll = self._start_poll(self._holds.hold, timeout_ms)
        started_ms = self._timers.now_ms()
        try:
            while self._is_promotion_needed(group):
                answers = self._update_poll(group, poll)
                if answers.is_enough:
                    return answers.choose()
                waited_ms = self._timers.now_ms() - started_ms
                if waited_ms >= PAUSE_TIMEOUTS * timeout_ms:
                    reason = f"{reason}; replicas could not be paused"
                    self._report_waiting(group, reason, answers, started_ms)
                    return None
                await with_timeout(self._timers, poll.next_answer, CHECK_INTERVAL_MS)
            return None
        finally:
            poll.stop()

    def _start_poll(
        self,
        query: Callable[
            [Announcement, float], Coroutine[Promise[Any], None, Position | None]
        ],
        first_timeout_ms: float = FIRST_QUERY_TIMEOUT_MS,
    ) -> PositionPoll:
        return PositionPoll(
            lambda endpoint, timeout_ms: spawn(query(endpoint, timeout_ms)),
            self._timers,
            first_timeout_ms,
        )

    def _report_waiting(
        self, group: str, reason: str, answers: _Answers, started_ms: float
    ) -> None:
        self._events.record(
            PromotionWaiting(
                group,
                reason,
                answers.needed,
                _describe(answers.received),
                answers.missing,
                self._timers.now_ms() - started_ms,
            )
        )

    def _update_poll(self, group: str, poll: PositionPoll) -> _Answers:
        """Query all endpoints of a group but its primary; return the answers."""
        failed = {p.endpoint for p in self._directory.primaries(group)}
        members = self._directory.group(group)
        poll.set_endpoints(m for m in members if m.endpoint not in failed)
        holders = commit_holders(self._directory, group)
        received = {
            name: position
            for name, position in poll.received.items()
            if name in holders.names
        }
        return _Answers(
            received,
            frozenset(m.endpoint for m in members if m.is_draining),
            ", ".join(sorted(holders.names - received.keys())),
            required_answers(holders, self._synchronous_replicas(group)),
        )

    def _is_promotion_needed(self, name: str) -> bool:
        group = self._group(name)
        if group is None or not self._raft.is_ready_leader:
            return False
        now_ms = self._timers.now_ms()
        if self._reason(group) is not None:
            self._reason_seen_ms[name] = now_ms
        seen_ms = self._reason_seen_ms.get(name, float("-inf"))
        return now_ms - seen_ms < REASON_RETENTION_MS

    def _synchronous_replicas(self, name: str) -> int:
        group = self._group(name)
        return group.synchronous_replicas if group is not None else 0

    def _group(self, name: str) -> DatabaseGroup | None:
        configuration = self._state.configuration
        groups = configuration.groups if configuration is not None else ()
        return next((group for group in groups if group.name == name), None)

    async def _send_order(
        self, group: str, endpoint: str, reason: str, reported: str
    ) -> bool:
        """Send the order until the platform answers, then wait for the switch.

        Returns False if an order may still be carried out.

        Each attempt uses a new fencing token. Gives up after `MAX_ATTEMPTS`, if this
        host no longer leads, or if the platform reports a conflict. A majority confirms
        the leadership before each attempt: a leader that was cut off meanwhile may
        have a successor that has sent orders of its own.
        """
        is_settled = True
        for attempt in range(MAX_ATTEMPTS):
            if not await self._raft.confirm_leadership():
                return is_settled
            if not self._raft.is_ready_leader:
                return is_settled
            token = self._next_token()
            self._events.record(
                PromotionDecided(group, endpoint, token, reason, reported)
            )
            if attempt == 0:
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
            is_settled = is_settled and answer.is_answered
            if answer.is_done:
                return await self._wait_for_switch(group, endpoint)
            if answer.is_fenced:
                # Another leader has used a higher token, or the endpoint is down: the
                # next check decides again.
                await sleep(self._timers, RETRY_DELAY_MS)
                return is_settled
            await sleep(self._timers, RETRY_DELAY_MS)
        return is_settled

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


def _describe(received: Mapping[str, Position]) -> str:
    return ", ".join(f"{name} {position}" for name, position in received.items())
