"""The tasks that only the leader runs."""

from typing import Final

from azurerelay.consensus import RaftNode
from azurerelay.control._endpoint_presence import EndpointPresence
from azurerelay.control._failover_controller import FailoverController
from azurerelay.control._host_membership_controller import HostMembershipController
from azurerelay.control._leader_context import LeaderContext
from azurerelay.control._lease_grants import LeaseGrants
from azurerelay.control._proposer import Proposer
from azurerelay.control._serving_assigner import ServingAssigner
from azurerelay.endpoints import EndpointPort
from azurerelay.membership import (
    ClusterState,
    HeartbeatReply,
    HostHeartbeat,
    HostTable,
)
from azurerelay.timing import Timer, TimerService

TICK_INTERVAL_MS: Final = 100.0


class LeaderController:
    """Run the leader's tasks for one leadership.

    Creates the host table and the tasks, passes heartbeats to them and runs their
    periodic checks.
    """

    def __init__(
        self,
        name: str,
        raft: RaftNode,
        state: ClusterState,
        endpoints: EndpointPort,
        timers: TimerService,
    ) -> None:
        self._raft = raft
        self._state = state
        self._timers = timers
        lease_ms = state.settings.root_number("leases.duration_ms")
        self._table = HostTable(raft.leading_since_ms, lease_ms)
        self._lease_grants = LeaseGrants(raft, state, self._table, timers)
        context = LeaderContext(
            name, state, self._table, Proposer(raft), endpoints, timers
        )
        self._presence = EndpointPresence(context)
        self._hosts = HostMembershipController(context)
        self._serving_assigner = ServingAssigner(context)
        self._failover = FailoverController(context)
        self._timer: Timer = timers.call_every(TICK_INTERVAL_MS, self._tick)

    @property
    def table(self) -> HostTable:
        """The sessions and leases of the hosts."""
        return self._table

    @property
    def failover(self) -> FailoverController:
        """The task that replaces primaries."""
        return self._failover

    def stop(self) -> None:
        """Stop the periodic checks; start no further change of primary."""
        self._timer.cancel()
        self._failover.stop()

    async def on_heartbeats(
        self, heartbeats: tuple[HostHeartbeat, ...]
    ) -> tuple[HeartbeatReply, ...]:
        """Process heartbeats and return the replies that renew leases.

        The result is empty if the leadership could not be confirmed.
        """
        now_ms = self._timers.now_ms()
        for heartbeat in heartbeats:
            session = self._table.sessions.get(heartbeat.host)
            previously_unready = session.unready_groups if session else frozenset()
            self._table.record_heartbeat(heartbeat, now_ms)
            self._serving_assigner.on_heartbeat(previously_unready)
            self._hosts.on_heartbeat(heartbeat)
            for announcement in heartbeat.announcements:
                self._presence.on_announcement(announcement)
            for suspicion in heartbeat.suspicions:
                group = self._state.groups.get(suspicion.group)
                if group is not None:
                    self._failover.check(group)
        return await self._lease_grants.answer(heartbeats)

    def _tick(self) -> None:
        self._hosts.expire()
        self._presence.expire()
        self._serving_assigner.assign()
        self._failover.check_all()
