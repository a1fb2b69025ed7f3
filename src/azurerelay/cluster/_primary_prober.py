"""Verification of primaries by a control host on behalf of entry hosts."""

import random
from collections.abc import Callable
from typing import Final

from azurerelay.attachment import ProvenLeader
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog
from azurerelay.groups import GroupConnections, Topology
from azurerelay.pooling import ConnectionShare, connection_share
from azurerelay.routes import Configuration
from azurerelay.statements import EndpointConnector
from azurerelay.timing import TimerService

# Entry hosts send a request every 0.5 s, so with this interval the positions they know
# are at most 0.9 s old, which is within the staleness bounds in use.
PROOF_INTERVAL_MS: Final = 300.0
SILENCE_CHECK_INTERVAL_MS: Final = 100.0
_SINGLE_CONNECTION: Final = ConnectionShare(limit=1, fair_share=1.0)


class PrimaryProber:
    """Verifies the primaries of groups with fewer connections than entry hosts.

    A primary is verified by opening a read-write transaction on it, which yields a
    proven position. In these groups an entry host cannot always hold a connection to
    the primary. It learns the proven positions from its control host instead, and needs
    a connection to the primary for writes only.
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
        self._groups: dict[str, GroupConnections] = {}
        self._silent_groups: frozenset[str] = frozenset()
        self._configuration: Callable[[], Configuration | None] = lambda: None
        self._count_entry_hosts: Callable[[], int] = lambda: 0
        self._on_silence: Callable[[], object] = lambda: None

    @property
    def proven_primaries(self) -> tuple[ProvenLeader, ...]:
        """The newest proof and the current silence of each verified primary."""
        now_ms = self._timers.now_ms()
        proven = []
        for group in self._groups.values():
            newest = group.samples.newest
            suspect = group.suspected_primary()
            proven.append(
                ProvenLeader(
                    group.name,
                    newest[1] if newest else None,
                    now_ms - newest[0] if newest else 0.0,
                    suspect.silent_ms if suspect else 0.0,
                )
            )
        return tuple(proven)

    def start(
        self,
        configuration: Callable[[], Configuration | None],
        count_entry_hosts: Callable[[], int],
        on_silence: Callable[[], object],
    ) -> None:
        """Start periodic checks; `on_silence` is called when a primary goes silent."""
        self._configuration = configuration
        self._count_entry_hosts = count_entry_hosts
        self._on_silence = on_silence
        self._timers.call_every(PROOF_INTERVAL_MS, self._prove_primaries)
        self._timers.call_every(SILENCE_CHECK_INTERVAL_MS, self._check_silence)

    def _prove_primaries(self) -> None:
        self._update_groups()
        for group in self._groups.values():
            group.update(
                self._directory.group(group.name), lambda _: _SINGLE_CONNECTION
            )
            group.open_standby_connections()
            group.prove_primary()

    def _check_silence(self) -> None:
        silent_groups = frozenset(
            g.name for g in self._groups.values() if g.suspected_primary()
        )
        if silent_groups - self._silent_groups:
            self._on_silence()
        self._silent_groups = silent_groups

    def _update_groups(self) -> None:
        wanted = self._scarce_groups()
        for name in self._groups.keys() - wanted:
            self._groups.pop(name).close()
        for name in sorted(wanted - self._groups.keys()):
            self._groups[name] = GroupConnections(
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
        hosts = self._count_entry_hosts()
        return frozenset(
            group.name
            for group in configuration.groups
            if connection_share(group.connection_limit, hosts, self._name, "").is_scarce
        )
