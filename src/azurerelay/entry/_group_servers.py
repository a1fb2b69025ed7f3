"""The servers of the groups that are assigned to a host."""

import random
from typing import Any, Final

from azurerelay.endpoints import EndpointPort
from azurerelay.entry._entry_config import EntryConfig
from azurerelay.membership import ClusterState, ControlSession, GroupRecord, Suspicion
from azurerelay.messages import Link, Requester
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.serving import GroupServer, ServingContext, ServingCounters
from azurerelay.timing import TimerService

RETIRED_CHECK_INTERVAL_MS: Final = 500.0


class GroupServers:
    """Run a server for each group assigned to this host, and retire the others.

    A retired server takes no new requests. It is stopped once it is idle and this
    host has left the settled serving set, since a new serving set collects the
    entries of the idempotency registry from the settled one.
    """

    def __init__(
        self,
        config: EntryConfig,
        state: ClusterState,
        session: ControlSession,
        link: Link,
        requester: Requester,
        endpoints: EndpointPort,
        timers: TimerService,
        random_source: random.Random,
        counters: ServingCounters,
    ) -> None:
        self._config = config
        self._state = state
        self._session = session
        self._link = link
        self._requester = requester
        self._endpoints = endpoints
        self._timers = timers
        self._random = random_source
        self._counters = counters
        self._servers: dict[str, GroupServer] = {}
        self._retired: set[str] = set()
        timers.call_every(RETIRED_CHECK_INTERVAL_MS, self._stop_retired)

    @property
    def by_group(self) -> dict[str, GroupServer]:
        """Servers by group name, retired ones included; read only."""
        return self._servers

    @property
    def in_flight(self) -> int:
        """Number of requests in progress, over all groups."""
        return sum(server.in_flight for server in self._servers.values())

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no transaction is open."""
        return all(server.is_idle for server in self._servers.values())

    @property
    def has_pending_handover(self) -> bool:
        """Whether a group waits for other hosts to take over from this one."""
        return any(self._awaits_handover(group) for group in self._servers)

    def is_serving(self, group: str) -> bool:
        """Return whether this host takes new requests for a group."""
        server = self._servers.get(group)
        return server is not None and not server.is_retiring

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the suspicions against primaries, of all groups."""
        found = (server.suspicion for server in self._servers.values())
        return tuple(suspicion for suspicion in found if suspicion is not None)

    def unready_groups(self) -> tuple[str, ...]:
        """Return the groups whose idempotency registry is not complete on this host."""
        return tuple(
            group
            for group, server in self._servers.items()
            if not server.is_retiring and not server.registry_member.is_ready
        )

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request, or refuse it if this host has no server for its group."""
        server = self._servers.get(request.group)
        if server is None:
            detail = f"{self._config.name} does not serve {request.group}"
            if request.transaction is not None:
                code = ErrorCode.TRANSACTION_GONE
                return CallerAnswer(Outcome.NOT_RUN, code, detail)
            return CallerAnswer(Outcome.NOT_RUN, ErrorCode.NO_ROUTE, detail)
        return await server.handle(request)

    def on_state_changed(self) -> None:
        """Start, update and retire servers to match the cluster state."""
        for name, record in self._state.groups.items():
            is_assigned = self._is_assigned(record)
            server = self._servers.get(name)
            if is_assigned and (server is None or server.is_retiring):
                self._start(name, server)
            elif server is not None:
                if not is_assigned and not server.is_retiring:
                    server.retire()
                    self._retired.add(name)
                server.on_state_changed()

    def on_lease_changed(self) -> None:
        """Notify every server that the lease was granted or has expired."""
        for server in self._servers.values():
            server.on_lease_changed()

    def on_registry_message(self, sender: str, message: Any) -> None:
        """Pass a registry message to the server of its group, if there is one."""
        server = self._servers.get(message.group)
        if server is not None:
            server.registry_member.on_message(sender, message)

    def _is_assigned(self, record: GroupRecord) -> bool:
        """Return whether a group is assigned to this incarnation of the host."""
        host = self._state.hosts.get(self._config.name)
        is_current = host is not None and host.incarnation == self._config.incarnation
        return is_current and self._config.name in self._state.uninterrupted_members(
            record
        )

    def _awaits_handover(self, group: str) -> bool:
        """Return whether a group depends on this host while others could replace it.

        It does as a member of the serving set or of the settled one, from which the
        entries of the idempotency registry are collected.
        """
        record = self._state.groups.get(group)
        if record is None:
            return False
        if self._config.name in (*record.serving, *record.settled_serving):
            return any(
                name != self._config.name and not host.is_draining
                for name, host in self._state.hosts.items()
            )
        return False

    def _start(self, group: str, retired: GroupServer | None) -> None:
        """Resume a group's retired server, or start a new one if there is none."""
        if retired is not None:
            retired.resume()
            retired.on_state_changed()
            self._retired.discard(group)
            return
        server = GroupServer(
            ServingContext(
                host=self._config.name,
                failure_domain=self._config.failure_domain,
                incarnation=self._config.incarnation,
                group=group,
                timers=self._timers,
                endpoints=self._endpoints,
                link=self._link,
                requester=self._requester,
                random_source=self._random,
                state=self._state,
                has_lease=self._session.has_lease,
                request_heartbeat=self._session.schedule_heartbeat,
                counters=self._counters,
            )
        )
        self._servers[group] = server
        server.start()

    def _stop_retired(self) -> None:
        """Stop the retired servers that no request or new serving set depends on."""
        for group in list(self._retired):
            server = self._servers[group]
            record = self._state.groups[group]
            is_source = self._config.name in record.settled_serving
            if server.is_idle and not is_source:
                server.stop()
                del self._servers[group]
                self._retired.discard(group)
