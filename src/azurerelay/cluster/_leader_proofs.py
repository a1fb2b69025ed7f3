"""Proofs of leadership that a control host asks for on behalf of its hosts."""

import random
from collections.abc import Callable
from typing import Final

from azurerelay.attachment import ProvenLeader
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog
from azurerelay.groups import GroupRelay, Topology
from azurerelay.pooling import ConnectionShare, connection_share
from azurerelay.routes import Configuration
from azurerelay.statements import EndpointConnector
from azurerelay.timing import TimerService

# Entry hosts ask every half second; with this, what they know of a leader is at most
# 0.9 s old, within the staleness bounds in use.
PROOF_INTERVAL_MS: Final = 300.0
SILENCE_CHECK_MS: Final = 100.0
_OWN_SHARE: Final = ConnectionShare(limit=1, fair=1.0)


class LeaderProofs:
    """Prove the leaders of groups that have fewer connections than entry hosts.

    Answers fleets in which not every entry host can hold a connection to every
    primary: these learn positions from the control host that they follow, and need
    a connection for writes only.
    """

    def __init__(
        self,
        name: str,
        topology: Topology,
        directory: EndpointDirectory,
        connector: EndpointConnector,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
    ) -> None:
        self._name = name
        self._topology = topology
        self._directory = directory
        self._connector = connector
        self._timers = timers
        self._random = random_source
        self._events = events
        self._groups: dict[str, GroupRelay] = {}
        self._silent: frozenset[str] = frozenset()
        self._configuration: Callable[[], Configuration | None] = lambda: None
        self._entry_hosts: Callable[[], int] = lambda: 0
        self._on_silence: Callable[[], object] = lambda: None

    @property
    def leaders(self) -> tuple[ProvenLeader, ...]:
        """What is proven now, to be sent to entry hosts."""
        now_ms = self._timers.now_ms()
        proven = []
        for group in self._groups.values():
            newest = group.samples.newest
            suspicion = group.suspicion()
            proven.append(
                ProvenLeader(
                    group.name,
                    newest[1] if newest else None,
                    now_ms - newest[0] if newest else 0.0,
                    suspicion[1] if suspicion else 0.0,
                )
            )
        return tuple(proven)

    def start(
        self,
        configuration: Callable[[], Configuration | None],
        entry_hosts: Callable[[], int],
        on_silence: Callable[[], object],
    ) -> None:
        """Begin to prove; call back when a leader has become silent."""
        self._configuration = configuration
        self._entry_hosts = entry_hosts
        self._on_silence = on_silence
        self._timers.subscribe(PROOF_INTERVAL_MS, self._prove)
        self._timers.subscribe(SILENCE_CHECK_MS, self._check_silence)

    def _prove(self) -> None:
        self._keep_groups()
        for group in self._groups.values():
            group.update(self._directory.group(group.name), lambda _: _OWN_SHARE)
            group.open_ahead()
            group.prove()

    def _check_silence(self) -> None:
        silent = frozenset(g.name for g in self._groups.values() if g.suspicion())
        if silent - self._silent:
            self._on_silence()
        self._silent = silent

    def _keep_groups(self) -> None:
        wanted = self._scarce_groups()
        for name in self._groups.keys() - wanted:
            self._groups.pop(name).close()
        for name in sorted(wanted - self._groups.keys()):
            self._groups[name] = GroupRelay(
                name,
                self._connector,
                self._topology,
                self._timers,
                self._random,
                self._events,
            )

    def _scarce_groups(self) -> frozenset[str]:
        configuration = self._configuration()
        if configuration is None:
            return frozenset()
        hosts = self._entry_hosts()
        return frozenset(
            group.name
            for group in configuration.groups
            if connection_share(group.connection_limit, hosts, self._name, "").is_scarce
        )
