"""The decisions of a control host."""

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
from azurerelay.control._leader_duties import LeaderDuties
from azurerelay.control._messages import (
    ProposeReply,
    ProposeRequest,
    ReadIndexReply,
    ReadIndexRequest,
    StatusReply,
    StatusRequest,
)
from azurerelay.control._start_refused_error import StartRefusedError
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

RELAY_LINGER_MS: Final = 20.0
REQUEST_TIMEOUT_MS: Final = 3_000.0
BARRIER_POLL_MS: Final = 2.0
LINK_ID_SPACE: Final = 2**32
_STATUS_DECODER: Final = msgspec.msgpack.Decoder(ControlStatus)


class _AppliedState:
    """The cluster state with a call after each applied command."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self.on_applied: Any = None

    def apply(self, index: int, payload: bytes) -> Any:
        """Apply and report."""
        outcome = self._state.apply(index, payload)
        if self.on_applied is not None:
            self.on_applied()
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state and report."""
        self._state.restore(data)
        if self.on_applied is not None:
            self.on_applied()


class ControlNode:
    """A voter of the replicated log that serves hosts and, as leader, decides."""

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
        self._machine = _AppliedState(self._state)
        journal = Journal(disk)
        loaded = journal.load()
        if isinstance(loaded, Err):
            raise StartRefusedError(str(loaded.err_value))
        self._raft = RaftNode(
            config.name,
            config.voters,
            link,
            timers,
            random_source,
            journal,
            loaded.ok_value,
            self._machine,
            config.raft,
        )
        self._attached = AttachedHosts(self._raft, self._state, link, timers)
        self._machine.on_applied = self._on_applied
        first_id = random_source.randrange(LINK_ID_SPACE)
        self._requester = Requester(link, timers, first_id)
        self._duties: LeaderDuties | None = None
        self._collected: dict[str, HostHeartbeat] = {}
        self._is_pass_on_due = False
        self._raft.add_role_listener(self._on_role)

    @property
    def name(self) -> str:
        """The host's name."""
        return self._config.name

    @property
    def raft(self) -> RaftNode:
        """The replicated log."""
        return self._raft

    @property
    def state(self) -> ClusterState:
        """The state as applied here."""
        return self._state

    @property
    def duties(self) -> LeaderDuties | None:
        """The leader's duties; None while this host does not lead."""
        return self._duties

    def start(self) -> None:
        """Begin to vote, follow or lead."""
        self._raft.start()

    def stop(self) -> None:
        """End the leader's duties."""
        if self._duties is not None:
            self._duties.stop()
            self._duties = None

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of another control host or of an attached host."""
        if isinstance(message, CONSENSUS_MESSAGES):
            self._raft.on_message(sender, message)
            return
        match message:
            case HostHeartbeat():
                self._on_heartbeat(message)
            case RelayedHeartbeats():
                spawn(self._answer_relayed(sender, message))
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
        """Return the change's outcome; None when its fate is not known yet."""
        return spawn(self._change_settings(COMMAND_CODEC.encode(change)))

    def read_barrier(self) -> Promise[bool]:
        """Return True once this host has applied all that was committed before."""
        return spawn(self._read_barrier())

    def status(self) -> Promise[ControlStatus | None]:
        """Return the leader's view of the fleet; None while there is no leader."""
        return spawn(self._status())

    def _on_applied(self) -> None:
        self._attached.on_applied()
        if self._raft.is_leader and self._duties is None:
            self._timers.call_later(0.0, self._on_role)

    def _on_role(self) -> None:
        if self._raft.is_ready_leader and self._duties is None:
            self._duties = LeaderDuties(
                self.name, self._raft, self._state, self._endpoints, self._timers
            )
        elif not self._raft.is_leader:
            self.stop()
        elif self._duties is None:
            self._timers.call_later(RELAY_LINGER_MS, self._on_role)

    # Heartbeats of hosts

    def _on_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Collect heartbeats for a moment; a suspicion goes on at once."""
        self._attached.on_heartbeat(heartbeat)
        self._collected[heartbeat.host] = _merged(
            self._collected.get(heartbeat.host), heartbeat
        )
        if heartbeat.suspicions:
            self._pass_on()
        elif not self._is_pass_on_due:
            self._is_pass_on_due = True
            self._timers.call_later(RELAY_LINGER_MS, self._pass_on)

    def _pass_on(self) -> None:
        """Handle the collected heartbeats as leader, or relay them to the leader."""
        self._is_pass_on_due = False
        heartbeats = tuple(self._collected.values())
        self._collected = {}
        if not heartbeats:
            return
        leader = self._raft.leader
        if self._duties is not None:
            spawn(self._answer_heartbeats(self._duties, heartbeats))
        elif leader is not None and leader != self.name:
            self._link.send(leader, RelayedHeartbeats(heartbeats))

    async def _answer_heartbeats(
        self, duties: LeaderDuties, heartbeats: tuple[HostHeartbeat, ...]
    ) -> None:
        for reply in await duties.on_heartbeats(heartbeats):
            self._link.send(reply.host, reply)

    async def _answer_relayed(self, sender: str, message: RelayedHeartbeats) -> None:
        if self._duties is None:
            return
        replies: tuple[HeartbeatReply, ...] = await self._duties.on_heartbeats(
            message.heartbeats
        )
        if replies:
            self._link.send(sender, RelayedReplies(replies))

    # Requests of operators

    async def _change_settings(self, payload: bytes) -> ChangeOutcome | None:
        end_ms = self._timers.now_ms() + REQUEST_TIMEOUT_MS
        while self._timers.now_ms() < end_ms:
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
            await sleep(self._timers, RELAY_LINGER_MS)
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
        end_ms = self._timers.now_ms() + REQUEST_TIMEOUT_MS
        while self._raft.applied_index < index:
            if self._timers.now_ms() >= end_ms:
                return False
            await sleep(self._timers, BARRIER_POLL_MS)
        return True

    async def _read_index(self) -> int | None:
        if self._raft.is_leader:
            return await self._own_read_index()
        leader = self._raft.leader
        if leader is None:
            return None
        outcome = await self._requester.call(leader, ReadIndexRequest, 500.0)
        return outcome.ok_value.index if isinstance(outcome, Ok) else None

    async def _own_read_index(self) -> int | None:
        if not self._raft.is_ready_leader:
            return None
        index = self._raft.commit_index
        return index if await self._raft.confirm_leadership() else None

    async def _answer_read_index(self, sender: str, request: ReadIndexRequest) -> None:
        index = await self._own_read_index() if self._raft.is_leader else None
        self._link.send(sender, ReadIndexReply(request.request_id, index))

    async def _status(self) -> ControlStatus | None:
        if self._duties is not None:
            return self._own_status(self._duties)
        leader = self._raft.leader
        if leader is None or leader == self.name:
            return None
        outcome = await self._requester.call(leader, StatusRequest, 500.0)
        if isinstance(outcome, Err) or not outcome.ok_value.data:
            return None
        return _STATUS_DECODER.decode(outcome.ok_value.data)

    def _status_reply(self, request: StatusRequest) -> StatusReply:
        if self._duties is None:
            return StatusReply(request.request_id, b"")
        data = msgspec.msgpack.encode(self._own_status(self._duties))
        return StatusReply(request.request_id, data)

    def _own_status(self, duties: LeaderDuties) -> ControlStatus:
        return ControlStatus(
            leader=self.name,
            log_term=self._raft.term,
            commit_index=self._raft.commit_index,
            settings_number=self._state.number,
            hosts=tuple(self._host_statuses(duties)),
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
                    duties.failover.trouble(group.name),
                )
                for group in self._state.groups.values()
            ),
        )

    def _host_statuses(self, duties: LeaderDuties) -> Iterator[HostStatus]:
        now_ms = self._timers.now_ms()
        for host in self._state.hosts.values():
            session = duties.table.sessions.get(host.name)
            number = session.settings_number if session else 0
            yield HostStatus(
                name=host.name,
                failure_domain=host.failure_domain,
                address=host.address,
                settings_number=number,
                applied_index=session.acked_index if session else 0,
                silence_ms=now_ms - duties.table.heard_ms(host.name),
                has_lease=duties.table.lease_until_ms(host.name) > now_ms,
                is_draining=host.is_draining,
                is_lagging=number < self._state.number,
            )


def _merged(earlier: HostHeartbeat | None, later: HostHeartbeat) -> HostHeartbeat:
    """Keep the announcements of an earlier heartbeat that was not relayed yet."""
    if earlier is None:
        return later
    newer = {a.endpoint.name for a in later.announcements}
    kept = tuple(a for a in earlier.announcements if a.endpoint.name not in newer)
    return replace(later, announcements=kept + later.announcements)
