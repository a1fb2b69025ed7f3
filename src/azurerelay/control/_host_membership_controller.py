"""Admits, updates and removes hosts."""

from azurerelay.control._leader_context import LeaderContext
from azurerelay.membership import (
    AdmitHost,
    HostHeartbeat,
    HostRecord,
    RemoveHost,
)


class HostMembershipController:
    """Update the hosts of the cluster state from their heartbeats."""

    def __init__(self, context: LeaderContext) -> None:
        self._name = context.name
        self._state = context.state
        self._table = context.table
        self._proposer = context.proposer
        self._timers = context.timers

    def on_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Admit a host that is new or restarted, and record changes.

        These are a new address or failure domain, and the start of draining.
        """
        known = self._state.hosts.get(heartbeat.host)
        is_unchanged = known is not None and (
            known.incarnation == heartbeat.incarnation
            and known.address == heartbeat.address
            and known.failure_domain == heartbeat.failure_domain
            and known.is_draining == heartbeat.is_draining
        )
        if is_unchanged:
            return
        host = HostRecord(
            heartbeat.host,
            heartbeat.address,
            heartbeat.failure_domain,
            heartbeat.incarnation,
            heartbeat.is_draining,
        )
        command = AdmitHost(self._timers.wall_clock_ms(), self._name, host)
        self._proposer.propose_once(f"host/{heartbeat.host}", command)

    def expire(self) -> None:
        """Remove hosts that have sent no heartbeat in time.

        A host is kept until the leases that it may hold have expired.
        """
        now_ms = self._timers.now_ms()
        limit_ms = self._state.settings.root_number("hosts.expire_ms")
        for host in list(self._state.hosts):
            silence_ms = now_ms - self._table.last_heartbeat_ms(host)
            has_lease = self._table.lease_until_ms(host) > now_ms
            if silence_ms <= limit_ms or has_lease:
                continue
            reason = f"no heartbeat for {silence_ms:.0f} ms"
            command = RemoveHost(self._timers.wall_clock_ms(), self._name, host, reason)
            self._proposer.propose_once(f"host/{host}", command)
