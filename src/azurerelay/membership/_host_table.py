"""The control leader's record of hosts and their leases."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from azurerelay.membership._link_messages import HostHeartbeat, Suspicion


@dataclass(slots=True)
class HostSession:
    """State of one host, as reported by its heartbeats.

    Times are monotonic milliseconds of the leader. `last_heartbeat_ms` is when the last
    heartbeat arrived. `acked_index` is the highest log index that the host's current
    process has reported as applied.
    """

    last_heartbeat_ms: float
    lease_until_ms: float
    acked_index: int = 0
    settings_number: int = 0
    suspicions: dict[str, Suspicion] = field(default_factory=dict)
    unready_groups: frozenset[str] = frozenset()
    incarnation: int = 0
    sequence: int = 0


class HostTable:
    """Sessions and leases of hosts during one leadership.

    A new leader does not know which leases its predecessor granted. It therefore
    assumes that every host holds one for a whole lease duration after `began_ms`,
    the start of its leadership.
    """

    def __init__(self, began_ms: float, lease_ms: float) -> None:
        self._inherited_leases_until_ms = began_ms + lease_ms
        self._began_ms = began_ms
        self._sessions: dict[str, HostSession] = {}

    @property
    def sessions(self) -> dict[str, HostSession]:
        """Sessions by host name; callers must not modify it."""
        return self._sessions

    def record_heartbeat(self, heartbeat: HostHeartbeat, now_ms: float) -> HostSession:
        """Record a heartbeat and return the host's session.

        A heartbeat that arrives after a later one of the same process only updates
        the time of the last contact.
        """
        session = self._sessions.get(heartbeat.host)
        if session is None:
            session = HostSession(now_ms, self._inherited_leases_until_ms)
            self._sessions[heartbeat.host] = session
        session.last_heartbeat_ms = now_ms
        is_same_process = heartbeat.incarnation == session.incarnation
        if is_same_process and heartbeat.sequence < session.sequence:
            return session
        if not is_same_process:
            session.acked_index = 0
        session.incarnation = heartbeat.incarnation
        session.sequence = heartbeat.sequence
        session.acked_index = max(session.acked_index, heartbeat.applied_index)
        session.settings_number = heartbeat.settings_number
        session.suspicions = {s.group: s for s in heartbeat.suspicions}
        session.unready_groups = frozenset(heartbeat.unready_groups)
        return session

    def extend_lease(self, host: str, until_ms: float) -> None:
        """Record a lease; must be called before the lease is sent to the host."""
        session = self._sessions[host]
        session.lease_until_ms = max(session.lease_until_ms, until_ms)

    def acked_index(self, host: str) -> int:
        """Return the highest log index that a host has reported as applied, or zero."""
        session = self._sessions.get(host)
        return session.acked_index if session else 0

    def last_heartbeat_ms(self, host: str) -> float:
        """Return when a host's last heartbeat arrived, else the start of leadership."""
        session = self._sessions.get(host)
        return session.last_heartbeat_ms if session else self._began_ms

    def lease_until_ms(self, host: str) -> float:
        """Return the time from which a host certainly holds no lease."""
        session = self._sessions.get(host)
        return session.lease_until_ms if session else self._inherited_leases_until_ms

    def lagging_leases_until_ms(
        self, hosts: Iterable[str], index: int, now_ms: float
    ) -> float | None:
        """Return when the last lease of hosts that have not applied a log index ends.

        Only `hosts` whose lease has not expired are considered; None if all of these
        have reported the index as applied.
        """
        ends = [
            self.lease_until_ms(host)
            for host in hosts
            if self.acked_index(host) < index and self.lease_until_ms(host) > now_ms
        ]
        return max(ends, default=None)
