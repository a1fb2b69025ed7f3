"""A control host, independent of its transport, clock and disk."""

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, Final

import msgspec
from result import Err, Ok

from azurerelay.consensus import CONSENSUS_MESSAGES, Journal, RaftNode
from azurerelay.control._attached_hosts import AttachedHosts
from azurerelay.control._control_config import ControlConfig
from azurerelay.control._control_status import ControlStatus, GroupStatus, HostStatus
from azurerelay.control._corrupt_state_error import CorruptStateError
from azurerelay.control._leader_controller import LeaderController
from azurerelay.control._messages import (
    ProposeReply,
    ProposeRequest,
    ReadIndexReply,
    ReadIndexRequest,
    StatusReply,
    StatusRequest,
)
from azurerelay.endpoints import EndpointPort
from azurerelay.membership import (
    COMMAND_CODEC,
    ChangeOutcome,
    ChangeSettings,
    ClusterState,
    HeartbeatReply,
    HostHeartbeat,
    RelayedHeartbeats,
    RelayedReplies,
)
from azurerelay.messages import Link, Requester
from azurerelay.storage import Disk
from azurerelay.timing import Promise, TimerService, sleep, spawn

# How long heartbeats are collected into one batch; also the interval at which a
# missing leader, or a leader that is not ready yet, is checked again.
HEARTBEAT_BATCH_MS: Final = 20.0
REQUEST_TIMEOUT_MS: Final = 3_000.0
BARRIER_POLL_MS: Final = 2.0
# Request ids start at a random number below this one.
FIRST_REQUEST_ID_LIMIT: Final = 2**32
_STATUS_DECODER: Final = msgspec.msgpack.Decoder(ControlStatus)


class _NotifyingStateMachine:
    """The cluster state, with a callback after each applied command or snapshot."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self.on_applied: Any = None

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply a committed command, call `on_applied` and return the outcome."""
        outcome = self._state.apply(index, payload)
        if self.on_applied is not None:
            self.on_applied()
        return outcome

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return self._state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state and call `on_applied`."""
        self._state.restore(data)
        if self.on_applied is not None:
            self.on_applied()


class ControlNode:
    """A voter of the replicated log that serves its attached hosts.

    The leader also runs `LeaderController`; the others relay heartbeats and operator
    requests to it.

    Raises `CorruptStateError` when the stored log or snapshot is damaged.
    """

    def __init__(
        self,
        config: ControlConfig,
        link: Link,
        endpoints: EndpointPort,
        timers: TimerService,
        random_source: random.Random,
        disk: Disk,
    ) -> None:
        self._config = config
        self._link = link
        self._endpoints = endpoints
        self._timers = timers
        self._state = ClusterState()
        self._state_machine = _NotifyingStateMachine(self._state)
        journal = Journal(disk)
        loaded = journal.load()
        if isinstance(loaded, Err):
            raise CorruptStateError(str(loaded.err_value))
        self._raft = RaftNode(
            config.name,
            config.voters,
            link,
            timers,
            random_source,
            journal,
            loaded.ok_value,
            self._state_machine,
            config.raft,
        )
        self._attached_hosts = AttachedHosts(self._raft, self._state, link, timers)
        self._state_machine.on_applied = self._on_applied
        first_id = random_source.randrange(FIRST_REQUEST_ID_LIMIT)
        self._requester = Requester(link, timers, first_id)
        self._leader_controller: LeaderController | None = None
        self._collected_heartbeats: dict[str, HostHeartbeat] = {}
        self._is_dispatch_scheduled = False
        self._raft.add_role_listener(self._on_role_change)

    @property
    def name(self) -> str:
        """The name of this control host."""
        return self._config.name

    @property
    def raft(self) -> RaftNode:
        """The replicated log."""
        return self._raft

    @property
    def state(self) -> ClusterState:
        """The cluster state as of this host's applied index."""
        return self._state

    @property
    def leader_controller(self) -> LeaderController | None:
        """The leader's tasks; None unless this host is the ready leader."""
        return self._leader_controller

    def start(self) -> None:
        """Start to take part in elections and replication."""
        self._raft.start()

    def stop(self) -> None:
        """Stop the leader's tasks, if this host runs them."""
        if self._leader_controller is not None:
            self._leader_controller.stop()
            self._leader_controller = None

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message from another control host or an attached host."""
        if isinstance(message, CONSENSUS_MESSAGES):
            self._raft.on_message(sender, message)
            return
        match message:
            case HostHeartbeat():
                self._on_heartbeat(message)
            case RelayedHeartbeats():
                spawn(self._answer_relayed_heartbeats(sender, message))
            case RelayedReplies():
                for reply in message.replies:
                    self._link.send(reply.host, reply)
            case ProposeRequest():
                spawn(self._answer_propose(sender, message))
            case ReadIndexRequest():
                spawn(self._answer_read_index(sender, message))
            case StatusRequest():
                self._link.send(sender, self._status_reply(message))
            case ProposeReply() | ReadIndexReply() | StatusReply():
                self._requester.on_reply(sender, message.request_id, message)

    def change_settings(self, change: ChangeSettings) -> Promise[ChangeOutcome | None]:
        """Propose a settings change and return its outcome.

        None means that the change may or may not be committed: no leader answered
        in time, or the proposal was lost.
        """
        return spawn(self._change_settings(COMMAND_CODEC.encode(change)))

    def read_barrier(self) -> Promise[bool]:
        """Return True once this host has applied all that was committed before.

        A read of the local state after that is linearizable. Return False when no
        leader confirms its leadership, or when the entries do not arrive in time.
        """
        return spawn(self._read_barrier())

    def status(self) -> Promise[ControlStatus | None]:
        """Return the leader's status of the fleet; None if no leader answers."""
        return spawn(self._status())

    def _on_applied(self) -> None:
        self._attached_hosts.on_applied()
        if self._raft.is_leader and self._leader_controller is None:
            self._timers.call_later(0.0, self._on_role_change)

    def _on_role_change(self) -> None:
        if self._raft.is_ready_leader and self._leader_controller is None:
            self._leader_controller = LeaderController(
                self.name, self._raft, self._state, self._endpoints, self._timers
            )
        elif not self._raft.is_leader:
            self.stop()
        elif self._leader_controller is None:
            self._timers.call_later(HEARTBEAT_BATCH_MS, self._on_role_change)

    # Heartbeats from hosts

    def _on_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Collect heartbeats into a batch; one with a suspicion is sent on at once."""
        self._attached_hosts.on_heartbeat(heartbeat)
        self._collected_heartbeats[heartbeat.host] = _merge_heartbeats(
            self._collected_heartbeats.get(heartbeat.host), heartbeat
        )
        if heartbeat.suspicions:
            self._dispatch_heartbeats()
        elif not self._is_dispatch_scheduled:
            self._is_dispatch_scheduled = True
            self._timers.call_later(HEARTBEAT_BATCH_MS, self._dispatch_heartbeats)

    def _dispatch_heartbeats(self) -> None:
        """Handle the collected heartbeats as leader, or relay them to the leader."""
        self._is_dispatch_scheduled = False
        heartbeats = tuple(self._collected_heartbeats.values())
        self._collected_heartbeats = {}
        if not heartbeats:
            return
        leader = self._raft.leader
        if self._leader_controller is not None:
            spawn(self._answer_heartbeats(self._leader_controller, heartbeats))
        elif leader is not None and leader != self.name:
            self._link.send(leader, RelayedHeartbeats(heartbeats))

    async def _answer_heartbeats(
        self, leader_controller: LeaderController, heartbeats: tuple[HostHeartbeat, ...]
    ) -> None:
        for reply in await leader_controller.on_heartbeats(heartbeats):
            self._link.send(reply.host, reply)

    async def _answer_relayed_heartbeats(
        self, sender: str, message: RelayedHeartbeats
    ) -> None:
        if self._leader_controller is None:
            return
        replies: tuple[HeartbeatReply, ...] = (
            await self._leader_controller.on_heartbeats(message.heartbeats)
        )
        if replies:
            self._link.send(sender, RelayedReplies(replies))

    # Requests from operators

    async def _change_settings(self, payload: bytes) -> ChangeOutcome | None:
        deadline_ms = self._timers.now_ms() + REQUEST_TIMEOUT_MS
        while self._timers.now_ms() < deadline_ms:
            if self._raft.is_leader:
                return await self._propose(payload)
            leader = self._raft.leader
            if leader is not None:
                outcome = await self._requester.call(
                    leader,
                    lambda request_id: ProposeRequest(request_id, payload),
                    REQUEST_TIMEOUT_MS,
                )
                if isinstance(outcome, Ok):
                    reply: ProposeReply = outcome.ok_value
                    return reply.outcome
                return None
            await sleep(self._timers, HEARTBEAT_BATCH_MS)
        return None

    async def _propose(self, payload: bytes) -> ChangeOutcome | None:
        outcome = await self._raft.propose(payload)
        if isinstance(outcome, Ok) and isinstance(outcome.ok_value, ChangeOutcome):
            return outcome.ok_value
        return None

    async def _answer_propose(self, sender: str, request: ProposeRequest) -> None:
        outcome = await self._propose(request.payload)
        self._link.send(sender, ProposeReply(request.request_id, outcome))

    async def _read_barrier(self) -> bool:
        index = await self._read_index()
        if index is None:
            return False
        deadline_ms = self._timers.now_ms() + REQUEST_TIMEOUT_MS
        while self._raft.applied_index < index:
            if self._timers.now_ms() >= deadline_ms:
                return False
            await sleep(self._timers, BARRIER_POLL_MS)
        return True

    async def _read_index(self) -> int | None:
        if self._raft.is_leader:
            return await self._leader_read_index()
        leader = self._raft.leader
        if leader is None:
            return None
        outcome = await self._requester.call(leader, ReadIndexRequest, 500.0)
        return outcome.ok_value.index if isinstance(outcome, Ok) else None

    async def _leader_read_index(self) -> int | None:
        if not self._raft.is_ready_leader:
            return None
        index = self._raft.commit_index
        return index if await self._raft.confirm_leadership() else None

    async def _answer_read_index(self, sender: str, request: ReadIndexRequest) -> None:
        index = await self._leader_read_index() if self._raft.is_leader else None
        self._link.send(sender, ReadIndexReply(request.request_id, index))

    async def _status(self) -> ControlStatus | None:
        if self._leader_controller is not None:
            return self._build_status(self._leader_controller)
        leader = self._raft.leader
        if leader is None or leader == self.name:
            return None
        outcome = await self._requester.call(leader, StatusRequest, 500.0)
        if isinstance(outcome, Err) or not outcome.ok_value.data:
            return None
        return _STATUS_DECODER.decode(outcome.ok_value.data)

    def _status_reply(self, request: StatusRequest) -> StatusReply:
        if self._leader_controller is None:
            return StatusReply(request.request_id, b"")
        data = msgspec.msgpack.encode(self._build_status(self._leader_controller))
        return StatusReply(request.request_id, data)

    def _build_status(self, leader_controller: LeaderController) -> ControlStatus:
        return ControlStatus(
            leader=self.name,
            log_term=self._raft.term,
            commit_index=self._raft.commit_index,
            settings_number=self._state.settings_number,
            hosts=tuple(self._host_statuses(leader_controller)),
            groups=tuple(
                GroupStatus(
                    group.name,
                    group.term,
                    group.primary,
                    group.epoch,
                    group.serving,
                    tuple(
                        f"{endpoint.name} {endpoint.presence.value}"
                        for endpoint in self._state.group_endpoints(group.name)
                    ),
                    leader_controller.failover.trouble(group.name),
                )
                for group in self._state.groups.values()
            ),
        )

    def _host_statuses(
        self, leader_controller: LeaderController
    ) -> Iterator[HostStatus]:
        now_ms = self._timers.now_ms()
        for host in self._state.hosts.values():
            session = leader_controller.table.sessions.get(host.name)
            number = session.settings_number if session else 0
            yield HostStatus(
                name=host.name,
                failure_domain=host.failure_domain,
                address=host.address,
                settings_number=number,
                applied_index=session.acked_index if session else 0,
                silence_ms=now_ms
                - leader_controller.table.last_heartbeat_ms(host.name),
                has_lease=leader_controller.table.lease_until_ms(host.name) > now_ms,
                is_draining=host.is_draining,
                is_lagging=number < self._state.settings_number,
            )


def _merge_heartbeats(
    earlier: HostHeartbeat | None, later: HostHeartbeat
) -> HostHeartbeat:
    """Return the later heartbeat with the announcements of the earlier one added.

    A host sends each announcement only once, so those of a heartbeat that is still
    in the batch must not be lost. Of two for one endpoint the later is kept.
    """
    if earlier is None:
        return later
    newer_names = {a.endpoint.name for a in later.announcements}
    kept = tuple(a for a in earlier.announcements if a.endpoint.name not in newer_names)
    return replace(later, announcements=kept + later.announcements)
