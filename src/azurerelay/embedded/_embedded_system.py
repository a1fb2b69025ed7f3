"""Entry hosts, control hosts and simulated endpoints in one process."""

import random
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from azurerelay.control import ControlConfig, ControlNode
from azurerelay.embedded._memory_endpoints import MemoryEndpointPort, MemoryEndpoints
from azurerelay.embedded._memory_network import Handler, MemoryLink, MemoryNetwork
from azurerelay.embedded._place import Place
from azurerelay.embedded._system_shape import SystemShape
from azurerelay.entry import EntryConfig, EntryNode
from azurerelay.membership import (
    ChangeOutcome,
    ChangeSettings,
    EndpointAnnouncement,
    EndpointRecord,
    Presence,
)
from azurerelay.requests import CallerAnswer, CallerRequest
from azurerelay.settings import Assignment, SettingValue
from azurerelay.standin import StandinConfig, StandinEndpoint
from azurerelay.storage import MemoryDisk
from azurerelay.timing import (
    Promise,
    ScopedTimerService,
    TimerService,
    sleep,
    spawn,
)

ANNOUNCE_INTERVAL_MS: Final = 1_000.0


@dataclass(slots=True)
class _EntryProcess:
    """A running entry host with its own link and timers.

    The keys of `unanswered` are the requests received from callers, in their order.
    """

    node: EntryNode
    link: MemoryLink
    timers: ScopedTimerService
    unanswered: dict[Promise[CallerAnswer | None], None] = field(default_factory=dict)


@dataclass(slots=True)
class _ControlProcess:
    """A running control host with its own link and timers."""

    node: ControlNode
    link: MemoryLink
    timers: ScopedTimerService


class EmbeddedSystem:
    """Run a deployment; send requests, change settings and inject faults."""

    def __init__(
        self, shape: SystemShape, timers: TimerService, random_source: random.Random
    ) -> None:
        self._shape = shape
        self._timers = timers
        self._random = random_source
        self._network = MemoryNetwork(shape, timers, random_source)
        self._endpoints = MemoryEndpoints(self._network, timers)
        self._standins: dict[str, StandinEndpoint] = {}
        self._entries: dict[str, _EntryProcess] = {}
        self._controls: dict[str, _ControlProcess] = {}
        self._disks: dict[str, MemoryDisk] = {}
        self._incarnation = 0
        self._change_count = 0
        self._stopped_endpoints: set[str] = set()
        self._control_names = tuple(
            f"control-{number}" for number in range(1, shape.control_hosts + 1)
        )
        self._assign_places()

    @property
    def shape(self) -> SystemShape:
        """The sizes and latencies of the deployment."""
        return self._shape

    @property
    def network(self) -> MemoryNetwork:
        """The network between the processes, which can be cut or lose messages."""
        return self._network

    @property
    def entries(self) -> dict[str, EntryNode]:
        """Running entry hosts by name."""
        return {name: process.node for name, process in self._entries.items()}

    @property
    def controls(self) -> dict[str, ControlNode]:
        """Running control hosts by name."""
        return {name: process.node for name, process in self._controls.items()}

    @property
    def standins(self) -> dict[str, StandinEndpoint]:
        """All simulated endpoints by name, running or not."""
        return self._standins

    @property
    def disks(self) -> dict[str, MemoryDisk]:
        """The control hosts' disks by name."""
        return self._disks

    @property
    def leader(self) -> ControlNode | None:
        """The control host that runs the leader's tasks; None while none does."""
        for process in self._controls.values():
            if process.node.leader_controller is not None:
                return process.node
        return None

    def start(self) -> None:
        """Start all control hosts, entry hosts and simulated endpoints."""
        for name in self._control_names:
            self._disks[name] = MemoryDisk()
            self.start_control(name)
        for number in range(1, self._shape.entry_hosts + 1):
            self.start_entry(f"entry-{number}")
        for group in self._shape.groups:
            for number in range(1, self._shape.endpoints_per_group + 1):
                self._start_standin(group, number)

    def is_settled(self) -> bool:
        """Return whether every group has a primary and a complete, ready serving set.

        A serving set is complete with three uninterrupted members, or with as many as
        there are running entry hosts if these are fewer.
        """
        leader = self.leader
        if leader is None or len(leader.state.groups) < len(self._shape.groups):
            return False
        size = min(3, len(self._entries))
        for group in leader.state.groups.values():
            uninterrupted = leader.state.uninterrupted_members(group)
            if group.primary is None or len(uninterrupted) < size:
                return False
            for host in uninterrupted:
                process = self._entries.get(host)
                if process is None or not _is_ready_to_serve(process.node, group.name):
                    return False
        return True

    def call(self, entry: str, request: CallerRequest) -> Promise[CallerAnswer | None]:
        """Send a caller's request to an entry host.

        The answer is None if the host is down when the request arrives, or if it is
        killed before it has answered.
        """
        promise: Promise[CallerAnswer | None] = Promise()
        spawn(self._call(entry, request, promise))
        return promise

    def change_settings(
        self,
        path: str,
        key: str,
        value: SettingValue,
        based_on: int | None = None,
        change_id: str = "",
        control: str = "",
    ) -> Promise[ChangeOutcome | None]:
        """Change one setting through a control host, by default any that is running.

        By default the change is based on the newest settings that this host has.
        """
        node = self.controls[control] if control else next(iter(self.controls.values()))
        self._change_count += 1
        change = ChangeSettings(
            at_ms=self._timers.wall_clock_ms(),
            actor="operator",
            change_id=change_id or f"change-{self._change_count}",
            based_on=node.state.settings_number if based_on is None else based_on,
            reason="requested",
            path=path,
            assignments=(Assignment(key, value),),
            unset=(),
        )
        return node.change_settings(change)

    def start_control(self, name: str) -> None:
        """Start a control host from the contents of its disk."""
        timers = ScopedTimerService(self._timers)
        link = MemoryLink(self._network, name)
        node = ControlNode(
            ControlConfig(name, self._control_names),
            link,
            MemoryEndpointPort(self._endpoints, name, timers),
            timers,
            random.Random(self._random.random()),
            self._disks[name],
        )
        self._controls[name] = _ControlProcess(node, link, timers)
        self._network.attach(name, _defer_while_paused(timers, node.on_message))
        node.start()

    def kill_control(self, name: str) -> None:
        """Kill a control host; its disk loses unsynced data."""
        process = self._controls.pop(name)
        self._network.detach(name)
        process.link.close()
        process.timers.close()
        self._disks[name].crash()

    def start_entry(self, name: str) -> None:
        """Start an entry host without any state, as a new incarnation."""
        self._incarnation += 1
        timers = ScopedTimerService(self._timers)
        link = MemoryLink(self._network, name)
        config = EntryConfig(
            name=name,
            address=name,
            failure_domain=self._place_of_host(name).failure_domain,
            control_hosts=self._control_hosts_nearest_first(name),
            incarnation=self._incarnation,
        )
        node = EntryNode(
            config,
            link,
            MemoryEndpointPort(self._endpoints, name, timers),
            timers,
            random.Random(self._random.random()),
        )
        self._entries[name] = _EntryProcess(node, link, timers)
        self._network.attach(name, _defer_while_paused(timers, node.on_message))
        node.start()

    def kill_entry(self, name: str) -> None:
        """Kill an entry host without draining it."""
        process = self._entries.pop(name)
        self._network.detach(name)
        process.link.close()
        process.timers.close()
        for promise in process.unanswered:
            self._timers.call_later(
                self._shape.to_callers_ms, partial(promise.resolve, None)
            )
        for server in process.node.group_servers.by_group.values():
            server.stop()

    def freeze(self, name: str) -> None:
        """Suspend an entry or control host; its timers and messages are held back."""
        process = self._find_process(name)
        if process is not None:
            process.timers.pause()

    def thaw(self, name: str) -> None:
        """Resume a frozen host; it first handles what was held back."""
        process = self._find_process(name)
        if process is not None:
            process.timers.resume()

    def lose_disk(self, name: str) -> None:
        """Replace the disk of a stopped control host with an empty one."""
        self._disks[name] = MemoryDisk()

    def kill_endpoint(self, name: str) -> None:
        """Stop an endpoint; it keeps its data."""
        self._stopped_endpoints.add(name)
        self._endpoints.remove(self._standins[name].config.address)

    def restart_endpoint(self, name: str) -> None:
        """Restart an endpoint with its data, as a replica that follows no primary."""
        self._stopped_endpoints.discard(name)
        standin = self._standins[name]
        standin.restart()
        self._endpoints.add(standin)

    def is_endpoint_up(self, name: str) -> bool:
        """Return whether an endpoint is running."""
        return name not in self._stopped_endpoints

    def primary(self, group: str) -> str | None:
        """Return a group's primary in the control leader's state, or None."""
        leader = self.leader
        record = leader.state.groups.get(group) if leader else None
        return record.primary if record else None

    def _find_process(self, name: str) -> "_EntryProcess | _ControlProcess | None":
        return self._entries.get(name) or self._controls.get(name)

    async def _call(
        self,
        entry: str,
        request: CallerRequest,
        promise: Promise[CallerAnswer | None],
    ) -> None:
        await sleep(self._timers, self._shape.to_callers_ms)
        process = self._entries.get(entry)
        if process is None:
            promise.resolve(None)
            return
        process.unanswered[promise] = None
        # Holds the request back while the host is frozen.
        await sleep(process.timers, 0.0)
        answer = await process.node.handle(request)
        if process.timers.is_closed:
            return
        del process.unanswered[promise]
        await sleep(self._timers, self._shape.to_callers_ms)
        promise.resolve(answer)

    def _assign_places(self) -> None:
        for number, name in enumerate(self._control_names):
            self._assign_place(name, number)
        for number in range(1, self._shape.entry_hosts + 1):
            self._assign_place(f"entry-{number}", number - 1)

    def _assign_place(self, name: str, number: int) -> Place:
        place = self._shape.places[number % len(self._shape.places)]
        self._network.place(name, place)
        return place

    def _place_of_host(self, name: str) -> Place:
        number = int(name.rpartition("-")[2]) - 1
        return self._assign_place(name, number)

    def _control_hosts_nearest_first(self, entry: str) -> tuple[str, ...]:
        own_place = self._place_of_host(entry)
        return tuple(
            sorted(
                self._control_names,
                key=lambda name: self._place_of_host(name) != own_place,
            )
        )

    def _start_standin(self, group: str, number: int) -> None:
        name = f"{group}-{number}"
        address = f"endpoint/{name}"
        place = self._assign_place(address, number - 1)
        config = StandinConfig(
            name=name,
            group=group,
            address=address,
            failure_domain=place.failure_domain,
            slots=self._shape.slots,
            connection_limit=self._shape.connection_limit,
            connect_ms=self._shape.connect_ms,
            service_ms=self._shape.service_ms,
            lag_ms=self._shape.lag_ms,
        )
        port = MemoryEndpointPort(self._endpoints, address, self._timers)
        standin = StandinEndpoint(config, self._timers, port)
        self._standins[name] = standin
        self._endpoints.add(standin)
        offset_ms = self._random.uniform(0.0, 100.0)
        self._timers.call_later(offset_ms, lambda: self._announce(name))

    def _announce(self, name: str) -> None:
        """Announce an endpoint to a random entry host, now and at each interval."""
        self._timers.call_later(ANNOUNCE_INTERVAL_MS, lambda: self._announce(name))
        standin = self._standins[name]
        is_unable_to_announce = (
            name in self._stopped_endpoints or standin.is_isolated or not self._entries
        )
        if is_unable_to_announce:
            return
        entry = self._random.choice(sorted(self._entries))
        if self._network.is_cut(entry, standin.config.address):
            return
        self._entries[entry].node.announce(announcement_of(standin))


def announcement_of(standin: StandinEndpoint) -> EndpointAnnouncement:
    """Return the announcement that a simulated endpoint sends to entry hosts."""
    config = standin.config
    presence = Presence.LEAVING if standin.is_leaving else Presence.PRESENT
    endpoint = EndpointRecord(
        name=config.name,
        group=config.group,
        address=config.address,
        failure_domain=config.failure_domain,
        slots=config.slots,
        connection_limit=config.connection_limit,
        can_fence=config.can_fence,
        presence=presence,
    )
    position = standin.data.position
    return EndpointAnnouncement(endpoint, standin.term, position, age_ms=0)


def _defer_while_paused(timers: ScopedTimerService, handler: Handler) -> Handler:
    """Return a handler that holds messages back while its process is frozen."""

    def handle(sender: str, message: Any) -> None:
        timers.run(lambda: handler(sender, message))

    return handle


def _is_ready_to_serve(node: EntryNode, group: str) -> bool:
    server = node.group_servers.by_group.get(group)
    if server is None or server.is_retiring or not server.registry_member.is_ready:
        return False
    return node.session.has_lease() and _are_all_endpoints_synced(node, group)


def _are_all_endpoints_synced(node: EntryNode, group: str) -> bool:
    tracker = node.group_servers.by_group[group].tracker
    synced = [view for view in tracker.views.values() if view.holds(tracker.term, 1)]
    return len(synced) == len(tracker.views)
