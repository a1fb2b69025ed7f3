"""A host's attachment to the control hosts."""

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
SILENCE_BEFORE_SWITCH_MS: Final = 800.0
LEASE_DRIFT_DIVISOR: Final = 20
MAX_REMEMBERED_HEARTBEATS: Final = 64


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Who a host is and where it is reached."""

    name: str
    address: str
    failure_domain: str
    incarnation: int


class ControlSession:
    """Send heartbeats to one control host, apply its state and hold the lease.

    Control hosts are tried in the order given, own failure domain first; the next
    one is tried when the current one is silent.
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
        on_state: Callable[[], None],
        on_lease: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._control_hosts = control_hosts
        self._link = link
        self._timers = timers
        self._state = state
        self._suspicions = suspicions
        self._unready_groups = unready_groups
        self._on_state = on_state
        self._on_lease = on_lease
        self._current = 0
        self._applied_index = 0
        self._sequence = 0
        self._sent_ms: dict[int, float] = {}
        self._heard_ms = timers.now_ms()
        self._lease_until_ms = float("-inf")
        self._had_lease = False
        self._announcements: dict[str, tuple[float, EndpointAnnouncement]] = {}
        self._is_draining = False
        self._is_send_due = False
        self._switches = 0

    @property
    def applied_index(self) -> int:
        """The log index of the state on this host."""
        return self._applied_index

    @property
    def control_host(self) -> str:
        """The control host that this host is attached to."""
        return self._control_hosts[self._current]

    @property
    def silence_ms(self) -> float:
        """How long no control host has answered."""
        return self._timers.now_ms() - self._heard_ms

    @property
    def switches(self) -> int:
        """How often another control host was tried."""
        return self._switches

    def start(self) -> None:
        """Attach, and send heartbeats from then on."""
        self._heard_ms = self._timers.now_ms()
        self._send()
        self._timers.subscribe(HEARTBEAT_INTERVAL_MS, self._on_tick)

    def has_lease(self) -> bool:
        """Return whether work may be confirmed now."""
        return self._timers.now_ms() < self._lease_until_ms

    def announce(self, announcement: EndpointAnnouncement) -> None:
        """Pass an endpoint's announcement on with the next heartbeat."""
        name = announcement.endpoint.name
        known = self._announcements.get(name)
        self._announcements[name] = (self._timers.now_ms(), announcement)
        if known is None or known[1].endpoint != announcement.endpoint:
            self.send_soon()

    def start_draining(self) -> None:
        """Tell control that this host takes no new work."""
        self._is_draining = True
        self.send_soon()

    def send_soon(self) -> None:
        """Send a heartbeat without waiting for the interval."""
        if not self._is_send_due:
            self._is_send_due = True
            self._timers.call_later(0.0, self._send)

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message of a control host; others are ignored."""
        if sender not in self._control_hosts:
            return
        match message:
            case HeartbeatReply():
                self._on_reply(message)
            case StateDelta():
                self._on_delta(message)
            case StateSnapshot():
                self._on_snapshot(message)

    def _on_tick(self) -> None:
        if self.silence_ms > SILENCE_BEFORE_SWITCH_MS and len(self._control_hosts) > 1:
            self._current = (self._current + 1) % len(self._control_hosts)
            self._switches += 1
        self._send()
        self._note_lease()

    def _send(self) -> None:
        self._is_send_due = False
        self._sequence += 1
        now_ms = self._timers.now_ms()
        self._sent_ms[self._sequence] = now_ms
        if len(self._sent_ms) > MAX_REMEMBERED_HEARTBEATS:
            del self._sent_ms[next(iter(self._sent_ms))]
        heartbeat = HostHeartbeat(
            host=self._identity.name,
            address=self._identity.address,
            failure_domain=self._identity.failure_domain,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            applied_index=self._applied_index,
            settings_number=self._state.number,
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
        sent_ms = self._sent_ms.get(reply.sequence)
        if reply.host != self._identity.name or sent_ms is None:
            return
        self._heard_ms = self._timers.now_ms()
        if reply.lease_ms:
            usable_ms = reply.lease_ms - reply.lease_ms // LEASE_DRIFT_DIVISOR
            self._lease_until_ms = max(self._lease_until_ms, sent_ms + usable_ms)
        self._note_lease()

    def _note_lease(self) -> None:
        has_lease = self.has_lease()
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            self._on_lease()

    def _on_delta(self, delta: StateDelta) -> None:
        self._heard_ms = self._timers.now_ms()
        is_changed = False
        for entry in delta.entries:
            is_changed = self._apply(entry) or is_changed
        if is_changed:
            self._on_state()
            self.send_soon()

    def _apply(self, entry: Entry) -> bool:
        if entry.index != self._applied_index + 1:
            return False
        if entry.payload:
            self._state.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        return True

    def _on_snapshot(self, snapshot: StateSnapshot) -> None:
        self._heard_ms = self._timers.now_ms()
        if snapshot.index <= self._applied_index:
            return
        self._state.restore(snapshot.data)
        self._applied_index = snapshot.index
        self._on_state()
        self.send_soon()
