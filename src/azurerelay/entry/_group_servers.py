"""The groups that a host serves."""

import random
from typing import Any, Final

from azurerelay.endpoints import EndpointPort
from azurerelay.entry._entry_config import EntryConfig
from azurerelay.membership import ClusterState, ControlSession, GroupRecord, Suspicion
from azurerelay.messages import Link, Requester
from azurerelay.requests import CallerAnswer, CallerRequest, ErrorCode, Outcome
from azurerelay.serving import GroupServer, ServingContext, ServingCounters
from azurerelay.timing import TimerService

RETIRED_POLL_MS: Final = 500.0


class GroupServers:
    """Start a server for each group assigned to this host; retire the others.

    A retired server keeps its registry entries until its successors are settled.
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
        timers.subscribe(RETIRED_POLL_MS, self._stop_retired)

    @property
    def by_group(self) -> dict[str, GroupServer]:
        """Servers by group name; read only."""
        return self._servers

    @property
    def in_flight(self) -> int:
        """Requests being worked on for all groups."""
        return sum(server.in_flight for server in self._servers.values())

    @property
    def is_idle(self) -> bool:
        """Whether no request and no transaction is open."""
        return all(server.is_idle for server in self._servers.values())

    @property
    def is_needed(self) -> bool:
        """Whether a group still counts on this host, or on its registry entries."""
        return any(self._is_needed_by(group) for group in self._servers)

    def is_serving(self, group: str) -> bool:
        """Return whether this host serves a group now."""
        server = self._servers.get(group)
        return server is not None and not server.is_retiring

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the suspicions of all groups."""
        found = (server.suspicion for server in self._servers.values())
        return tuple(suspicion for suspicion in found if suspicion is not None)

    def unready_groups(self) -> tuple[str, ...]:
        """Return the groups whose registry is still being collected."""
        return tuple(
            group
            for group, server in self._servers.items()
            if not server.is_retiring and not server.member.is_ready
        )

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request for a group that this host serves."""
        server = self._servers.get(request.group)
        if server is None:
            detail = f"{self._config.name} does not serve {request.group}"
            if request.transaction is not None:
                code = ErrorCode.TRANSACTION_GONE
                return CallerAnswer(Outcome.NOT_RUN, code, detail)
            return CallerAnswer(Outcome.NOT_RUN, ErrorCode.NO_ROUTE, detail)
        return await server.handle(request)

    def on_state_changed(self) -> None:
        """Start, adapt and retire servers to match the cluster state."""
        for name, record in self._state.groups.items():
            is_member = self._is_member(record)
            server = self._servers.get(name)
            if is_member and (server is None or server.is_retiring):
                self._start(name, server)
            elif server is not None:
                if not is_member and not server.is_retiring:
                    server.retire()
                    self._retired.add(name)
                server.on_state_changed()

    def on_lease_changed(self) -> None:
        """Tell every server that the lease was won or lost."""
        for server in self._servers.values():
            server.on_lease_changed()

    def on_registry_message(self, sender: str, message: Any) -> None:
        """Pass a registry message on to its group."""
        server = self._servers.get(message.group)
        if server is not None:
            server.member.on_message(sender, message)

    def _is_member(self, record: GroupRecord) -> bool:
        own = self._state.hosts.get(self._config.name)
        is_own = own is not None and own.incarnation == self._config.incarnation
        return is_own and self._config.name in self._state.valid_members(record)

    def _is_needed_by(self, group: str) -> bool:
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
                on_suspicion=self._session.send_soon,
                counters=self._counters,
            )
        )
        self._servers[group] = server
        server.start()

    def _stop_retired(self) -> None:
        for group in list(self._retired):
            server = self._servers[group]
            record = self._state.groups[group]
            is_source = self._config.name in record.settled_serving
            if server.is_idle and not is_source:
                server.stop()
                del self._servers[group]
                self._retired.discard(group)
