"""A host's session with the control hosts."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from azurerelay.consensus import Entry
from azurerelay.membership._cluster_state import ClusterState
from azurerelay.membership._link_messages import (
    EndpointAnnouncement,
    HeartbeatReply,
    HostHeartbeat,
    StateDelta,
    StateSnapshot,
    Suspicion,
)
from azurerelay.messages import Link
from azurerelay.timing import TimerService

HEARTBEAT_INTERVAL_MS: Final = 350.0
CONTROL_HOST_TIMEOUT_MS: Final = 800.0
LEASE_DRIFT_DIVISOR: Final = 20  # a lease ends 1/20 early, against clock drift
MAX_TRACKED_HEARTBEATS: Final = 64


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """A host's name, link address, failure domain and incarnation.

    `incarnation` changes with each start of the process.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: int


class ControlSession:
    """Send heartbeats to one control host, apply state updates and keep the lease.

    `control_hosts` is the order in which control hosts are tried; those in the own
    failure domain come first. When none has answered for `CONTROL_HOST_TIMEOUT_MS`,
    each periodic heartbeat goes to the next one until one answers. The next one is also
    tried if for that time no entry has arrived of those that the leader has applied: a
    control host passes the leader's replies on without having the entries itself.
    `on_state_change` is
    called after a change of the state, `on_lease_change` when the lease is gained or
    lost.
    """

    def __init__(
        self,
        identity: HostIdentity,
        control_hosts: tuple[str, ...],
        link: Link,
        timers: TimerService,
        state: ClusterState,
        suspicions: Callable[[], tuple[Suspicion, ...]],
        unready_groups: Callable[[], tuple[str, ...]],
        on_state_change: Callable[[], None],
        on_lease_change: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._control_hosts = control_hosts
        self._link = link
        self._timers = timers
        self._state = state
        self._suspicions = suspicions
        self._unready_groups = unready_groups
        self._on_state_change = on_state_change
        self._on_lease_change = on_lease_change
        self._control_host_index = 0
        self._applied_index = 0
        self._sequence = 0
        self._sent_ms_by_sequence: dict[int, float] = {}
        self._last_contact_ms = timers.now_ms()
        self._leader_index = 0
        # When the last entry arrived, or the leader first stated that one is missing.
        self._last_progress_ms = timers.now_ms()
        self._lease_until_ms = float("-inf")
        self._had_lease = False
        self._announcements: dict[str, tuple[float, EndpointAnnouncement]] = {}
        self._is_draining = False
        self._is_send_scheduled = False
        self._switches = 0

    @property
    def applied_index(self) -> int:
        """The log index up to which this host has applied the state."""
        return self._applied_index

    @property
    def control_host(self) -> str:
        """The control host that this host is attached to."""
        return self._control_hosts[self._control_host_index]

    @property
    def silence_ms(self) -> float:
        """Time since the last message of a control host."""
        return self._timers.now_ms() - self._last_contact_ms

    @property
    def switches(self) -> int:
        """How many times this host switched to the next control host."""
        return self._switches

    def start(self) -> None:
        """Send the first heartbeat and schedule the following ones."""
        self._last_contact_ms = self._timers.now_ms()
        self._send_heartbeat()
        self._timers.call_every(HEARTBEAT_INTERVAL_MS, self._on_tick)

    def has_lease(self) -> bool:
        """Return whether this host holds a lease, without which it confirms no work."""
        return self._timers.now_ms() < self._lease_until_ms

    def announce(self, announcement: EndpointAnnouncement) -> None:
        """Pass an endpoint's announcement on with the next heartbeat.

        A heartbeat is sent at once if the endpoint's record is new or has changed.
        """
        name = announcement.endpoint.name
        known = self._announcements.get(name)
        self._announcements[name] = (self._timers.now_ms(), announcement)
        if known is None or known[1].endpoint != announcement.endpoint:
            self.schedule_heartbeat()

    def start_draining(self) -> None:
        """Report to the control hosts that this host takes no new work."""
        self._is_draining = True
        self.schedule_heartbeat()

    def schedule_heartbeat(self) -> None:
        """Send a heartbeat without waiting for the next interval."""
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._timers.call_later(0.0, self._send_heartbeat)

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of a control host; ignore those of other senders."""
        if sender not in self._control_hosts:
            return
        match message:
            case HeartbeatReply():
                self._on_reply(message)
            case StateDelta():
                self._on_delta(message)
            case StateSnapshot():
                self._on_snapshot(message)

    def _is_stuck_behind(self) -> bool:
        """Return whether entries are missing and none has arrived for too long."""
        stuck_ms = self._timers.now_ms() - self._last_progress_ms
        is_behind = self._applied_index < self._leader_index
        return is_behind and stuck_ms > CONTROL_HOST_TIMEOUT_MS

    def _on_tick(self) -> None:
        is_lost = self.silence_ms > CONTROL_HOST_TIMEOUT_MS or self._is_stuck_behind()
        if is_lost and len(self._control_hosts) > 1:
            self._last_progress_ms = self._timers.now_ms()
            self._control_host_index = (self._control_host_index + 1) % len(
                self._control_hosts
            )
            self._switches += 1
        self._send_heartbeat()
        self._notify_lease_change()

    def _send_heartbeat(self) -> None:
        self._is_send_scheduled = False
        self._sequence += 1
        now_ms = self._timers.now_ms()
        self._sent_ms_by_sequence[self._sequence] = now_ms
        if len(self._sent_ms_by_sequence) > MAX_TRACKED_HEARTBEATS:
            del self._sent_ms_by_sequence[next(iter(self._sent_ms_by_sequence))]
        heartbeat = HostHeartbeat(
            host=self._identity.name,
            address=self._identity.address,
            failure_domain=self._identity.failure_domain,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            applied_index=self._applied_index,
            settings_number=self._state.settings_number,
            is_draining=self._is_draining,
            suspicions=self._suspicions(),
            unready_groups=self._unready_groups(),
            announcements=self._take_announcements(now_ms),
        )
        self._link.send(self.control_host, heartbeat)

    def _take_announcements(self, now_ms: float) -> tuple[EndpointAnnouncement, ...]:
        taken = tuple(
            EndpointAnnouncement(
                announcement.endpoint,
                announcement.term,
                announcement.position,
                int(now_ms - received_ms),
            )
            for received_ms, announcement in self._announcements.values()
        )
        self._announcements = {}
        return taken

    def _on_reply(self, reply: HeartbeatReply) -> None:
        sent_ms = self._sent_ms_by_sequence.get(reply.sequence)
        if reply.host != self._identity.name or sent_ms is None:
            return
        self._last_contact_ms = self._timers.now_ms()
        if self._applied_index >= self._leader_index:
            self._last_progress_ms = self._timers.now_ms()
        self._leader_index = reply.applied_index
        if reply.lease_ms:
            usable_ms = reply.lease_ms - reply.lease_ms // LEASE_DRIFT_DIVISOR
            self._lease_until_ms = max(self._lease_until_ms, sent_ms + usable_ms)
        self._notify_lease_change()

    def _notify_lease_change(self) -> None:
        """Call `on_lease_change` if the lease was gained or lost since last time."""
        has_lease = self.has_lease()
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            self._on_lease_change()

    def _on_delta(self, delta: StateDelta) -> None:
        self._last_contact_ms = self._timers.now_ms()
        is_changed = False
        for entry in delta.entries:
            is_changed = self._apply(entry) or is_changed
        if is_changed:
            self._on_state_change()
            self.schedule_heartbeat()

    def _apply(self, entry: Entry) -> bool:
        """Apply an entry; return False unless it follows the last applied one."""
        if entry.index != self._applied_index + 1:
            return False
        if entry.payload:
            self._state.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        self._last_progress_ms = self._timers.now_ms()
        return True

    def _on_snapshot(self, snapshot: StateSnapshot) -> None:
        self._last_contact_ms = self._timers.now_ms()
        if snapshot.index <= self._applied_index:
            return
        self._state.restore(snapshot.data)
        self._applied_index = snapshot.index
        self._last_progress_ms = self._timers.now_ms()
        self._on_state_change()
        self.schedule_heartbeat()
