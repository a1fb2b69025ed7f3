"""Grants leases to hosts that have applied the current state."""

from azurerelay.consensus import RaftNode
from azurerelay.membership import (
    ClusterState,
    HeartbeatReply,
    HostHeartbeat,
    HostTable,
)
from azurerelay.timing import TimerService


class LeaseGrants:
    """Decide whether a heartbeat renews its host's lease.

    A host's lease covers every term and serving set that the host has applied. The
    lease is not extended while the host has not applied the last change of any term
    or serving set, so a change is in force once every host has applied it or its
    lease has expired.

    A quorum confirms the leadership after the heartbeat has been received, and the
    lease ends one lease duration after the receipt at the latest. A later leader
    that waits for one lease duration therefore outlasts every lease granted before.
    """

    def __init__(
        self,
        raft: RaftNode,
        state: ClusterState,
        table: HostTable,
        timers: TimerService,
    ) -> None:
        self._raft = raft
        self._state = state
        self._table = table
        self._timers = timers

    async def answer(
        self, heartbeats: tuple[HostHeartbeat, ...]
    ) -> tuple[HeartbeatReply, ...]:
        """Return the replies; none if the leadership is not confirmed.

        A reply with a lease of 0 ms does not renew the lease.
        """
        received_ms = self._timers.now_ms()
        if not await self._raft.confirm_leadership(is_urgent=False):
            return ()
        return tuple(self._grant(heartbeat, received_ms) for heartbeat in heartbeats)

    def _grant(self, heartbeat: HostHeartbeat, received_ms: float) -> HeartbeatReply:
        host = self._state.hosts.get(heartbeat.host)
        is_admitted = host is not None and host.incarnation == heartbeat.incarnation
        session = self._table.sessions.get(heartbeat.host)
        is_current = (
            session is not None and session.acked_index >= self._state.lease_index
        )
        lease_ms = 0
        if is_admitted and is_current:
            lease_ms = self._state.settings.root_number("leases.duration_ms")
            self._table.extend_lease(heartbeat.host, received_ms + lease_ms)
        return HeartbeatReply(
            heartbeat.host, heartbeat.sequence, lease_ms, self._raft.applied_index
        )
