"""Replication of the endpoint directory among the control hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from result import Ok

from azurerelay.attachment import ControlHost
from azurerelay.cluster._messages import (
    AnnouncementRelay,
    DepartureRelay,
    DirectoryDigest,
    DirectoryRequest,
    LeaveReply,
    LeaveRequest,
)
from azurerelay.consensus import RaftNode
from azurerelay.discovery import (
    UNKNOWN_AGE_MS,
    Announcement,
    Departure,
    Drain,
    EndpointDirectory,
)
from azurerelay.messages import Link, Requester
from azurerelay.timing import Promise, TimerService, spawn

DIGEST_INTERVAL_MS: Final = 2_000.0
# Endpoints wait one second for an answer.
LEAVE_TIMEOUT_MS: Final = 850.0
# A leader that has not heard from a majority for this long acknowledges no departures
# and no draining endpoints. Any other host that has not heard from the leader for this
# long asks it again before it acknowledges the heartbeat of a draining endpoint.
LEADER_SILENCE_LIMIT_MS: Final = 800.0
# Endpoints without a heartbeat for this many heartbeat intervals are removed.
EXPIRY_HEARTBEATS: Final = 10.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The number of entry hosts, and the control hosts with their failure domains."""

    entry_hosts: int
    control_hosts: tuple[ControlHost, ...]


class DirectoryReplicator:
    """Keeps the endpoint directories of the control hosts the same.

    An endpoint sends its heartbeats to any control host. Changes are relayed to all of
    them, other heartbeats to the leader, which sends its whole directory at intervals
    and to hosts that ask for it. `peers` returns the other control hosts, `fleet` what
    a digest says beside the directory, and `on_change` is called after each change.
    """

    def __init__(
        self,
        name: str,
        heartbeat_ms: float,
        raft: RaftNode,
        directory: EndpointDirectory,
        link: Link,
        requester: Requester,
        timers: TimerService,
        peers: Callable[[], tuple[str, ...]],
        fleet: Callable[[], Fleet],
        on_change: Callable[[], object],
    ) -> None:
        self._name = name
        self._heartbeat_ms = heartbeat_ms
        self._raft = raft
        self._directory = directory
        self._link = link
        self._requester = requester
        self._timers = timers
        self._peers = peers
        self._fleet = fleet
        self._on_change = on_change
        self._directory_source: str | None = None

    def start(self) -> None:
        """Start to send the directory at intervals while this host leads."""
        self._timers.call_every(DIGEST_INTERVAL_MS, self.send_digest)

    def receive_heartbeat(self, announcement: Announcement) -> Promise[bool]:
        """Process a heartbeat of an endpoint; True if it may be acknowledged.

        A heartbeat that reports a change of a draining endpoint is acknowledged only
        once the leader has recorded it, because this host may be cut off from the
        control hosts that entry hosts are attached to. Repeated ones need this only
        while the leader is silent.
        """
        known = self._directory.get(announcement.endpoint)
        is_change = known is None or not announcement.is_equivalent_to(known)
        self.merge_announcement(announcement)
        self._relay_to_peers(AnnouncementRelay(announcement), is_change)
        if announcement.is_draining and is_change:
            return spawn(self._report_leave_to_leader(announcement, None))
        if (
            announcement.is_draining
            and self._raft.leader_silence_ms > LEADER_SILENCE_LIMIT_MS
        ):
            return spawn(self._report_leave_to_leader(announcement, None))
        return Promise.of(True)

    def deregister(self, endpoint: str, incarnation: int | None) -> Promise[bool]:
        """Record that an endpoint has departed; True once the leader has recorded it.

        Without an incarnation, that of its newest announcement is used, or the current
        time if the endpoint is unknown.
        """
        known = self._directory.get(endpoint)
        if incarnation is None:
            incarnation = known.incarnation if known else self._timers.wall_clock_ms()
        departure = Departure(endpoint, incarnation)
        self.merge_departure(departure)
        self._relay_to_peers(DepartureRelay(departure), True)
        return spawn(self._report_leave_to_leader(None, departure))

    async def _report_leave_to_leader(
        self, announcement: Announcement | None, departure: Departure | None
    ) -> bool:
        if self._raft.is_leader:
            return self._raft.leader_silence_ms < LEADER_SILENCE_LIMIT_MS
        leader = self._raft.leader
        if leader is None:
            return False
        answer = await self._requester.call(
            leader,
            lambda request_id: LeaveRequest(request_id, announcement, departure),
            LEAVE_TIMEOUT_MS,
        )
        return isinstance(answer, Ok) and answer.ok_value.is_noted

    def on_leave_request(self, sender: str, request: LeaveRequest) -> None:
        """Record what another control host has heard, and answer it."""
        if request.announcement is not None:
            self.merge_announcement(request.announcement)
        if request.departure is not None:
            self.merge_departure(request.departure)
        is_noted = (
            self._raft.is_leader
            and self._raft.leader_silence_ms < LEADER_SILENCE_LIMIT_MS
        )
        if is_noted:
            self.send_digest()
        self._link.send(sender, LeaveReply(request.request_id, is_noted))

    def restore(
        self,
        announcements: Iterable[Announcement],
        departures: Iterable[Departure],
        former_members: Iterable[Announcement] = (),
    ) -> None:
        """Load the directory that was saved before a restart.

        All control hosts may restart at the same time, and an endpoint announces itself
        only with its next heartbeat. Endpoints that have gone meanwhile expire as
        usual. Since when an endpoint drains is unknown until a host tells it that does.
        """
        announcements = tuple(announcements)
        for departure in departures:
            self.merge_departure(departure)
        drains = (
            Drain(a.endpoint, a.incarnation, UNKNOWN_AGE_MS)
            for a in announcements
            if a.is_draining
        )
        self._directory.merge_drains(drains, self._timers.now_ms())
        for announcement in announcements:
            self.merge_announcement(announcement)
        self.merge_former_members(former_members)

    def merge_former_members(self, announcements: Iterable[Announcement]) -> None:
        """Add removed endpoints that may hold commits no other has."""
        self._directory.merge_former_members(announcements, self._timers.now_ms())

    def merge_announcement(self, announcement: Announcement) -> None:
        """Add an announcement, unless it is out of date."""
        before = self._directory.revision
        self._directory.merge(announcement, self._timers.now_ms())
        if self._directory.revision != before:
            self._on_change()

    def merge_departure(self, departure: Departure) -> None:
        """Record a departure."""
        before = self._directory.revision
        self._directory.merge_departure(departure, self._timers.now_ms())
        if self._directory.revision != before:
            self._on_change()

    def _relay_to_peers(self, message: Any, is_change: bool) -> None:
        """Forward changes to all control hosts, and other heartbeats to the leader."""
        leader = self._raft.leader
        if is_change or leader is None:
            for peer in self._peers():
                self._link.send(peer, message)
        elif leader != self._name:
            self._link.send(leader, message)

    def send_digest(self) -> None:
        """Remove expired endpoints; as the leader, send the directory to all peers."""
        now_ms = self._timers.now_ms()
        limit_ms = EXPIRY_HEARTBEATS * self._heartbeat_ms
        if self._directory.expire(limit_ms, now_ms):
            self._on_change()
        if not self._raft.is_leader:
            return
        digest = self._digest()
        for peer in self._peers():
            self._link.send(peer, digest)

    def _digest(self) -> DirectoryDigest:
        fleet = self._fleet()
        return DirectoryDigest(
            self._directory.announcements,
            self._directory.departures,
            fleet.entry_hosts,
            fleet.control_hosts,
            self._directory.former_members.announcements,
            self._directory.drains(self._timers.now_ms()),
        )

    def follow_leader(self) -> None:
        """Ask a new leader for its directory, without waiting for its next digest.

        A host that has lost its disk knows no endpoint, and neither do the entry hosts
        that attach to it. The leader, in turn, may have restarted without the newest
        departures, which were saved where they were reported.
        """
        leader = self._raft.leader
        if leader == self._directory_source:
            return
        self._directory_source = leader
        if leader is not None and leader != self._name:
            drains = self._directory.drains(self._timers.now_ms())
            request = DirectoryRequest(self._directory.departures, drains)
            self._link.send(leader, request)

    def on_request(self, sender: str, request: DirectoryRequest) -> None:
        """Answer a host that has learned that this one leads."""
        if not self._raft.is_leader:
            return
        revision = self._directory.revision
        for departure in request.departures:
            self.merge_departure(departure)
        self._directory.merge_drains(request.drains, self._timers.now_ms())
        if self._directory.revision != revision:
            self.send_digest()
        else:
            self._link.send(sender, self._digest())

    def on_digest(self, digest: DirectoryDigest) -> None:
        """Merge the leader's directory into this host's."""
        before = self._directory.revision
        now_ms = self._timers.now_ms()
        self._directory.merge_drains(digest.drains, now_ms)
        self._directory.merge_all(digest.announcements, digest.departures, now_ms)
        self.merge_former_members(digest.former_members)
        if self._directory.revision != before:
            self._on_change()
