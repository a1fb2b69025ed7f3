"""The entry hosts that follow one control host."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from azurerelay.attachment._messages import (
    ControlHost,
    DirectoryMark,
    DirectoryUpdate,
    PrimarySuspicion,
    ProvenLeader,
    SyncReply,
    SyncRequest,
)
from azurerelay.discovery import EndpointDirectory
from azurerelay.messages import Link
from azurerelay.routes import Configuration, ConfigurationChange, change_between
from azurerelay.timing import TimerService

HEARD_LIMIT_MS: Final = 2_000.0  # four regular requests
KEPT_VERSIONS: Final = 16  # older hosts get the whole configuration


@dataclass(slots=True)
class _Attached:
    """What an entry host said last."""

    request: SyncRequest
    heard_ms: float


class EntryHostTable:
    """Answer entry hosts and push changes to them.

    Answers storms of changes: a host gets the difference from the version that it
    has, and one push for all changes of a moment.
    """

    def __init__(
        self,
        link: Link,
        timers: TimerService,
        directory: EndpointDirectory,
        incarnation: int,
    ) -> None:
        self._link = link
        self._timers = timers
        self._directory = directory
        self._incarnation = incarnation
        self._hosts: dict[str, _Attached] = {}
        self._versions: dict[int, Configuration] = {}
        self._current: Configuration | None = None
        self._changes: dict[int, ConfigurationChange] = {}
        self._is_push_due = False
        self._leader_silence_ms: Callable[[], float] = lambda: float("inf")
        self._entry_hosts: Callable[[], int] = lambda: self.count
        self._control_hosts: Callable[[], tuple[ControlHost, ...]] = tuple
        self._leaders: Callable[[], tuple[ProvenLeader, ...]] = tuple

    @property
    def count(self) -> int:
        """How many entry hosts follow this control host."""
        horizon_ms = self._timers.now_ms() - HEARD_LIMIT_MS
        return sum(
            host.heard_ms >= horizon_ms and not host.request.is_draining
            for host in self._hosts.values()
        )

    @property
    def suspicions(self) -> tuple[tuple[str, PrimarySuspicion], ...]:
        """What the attached hosts suspect now, by host."""
        horizon_ms = self._timers.now_ms() - HEARD_LIMIT_MS
        return tuple(
            (name, suspicion)
            for name, host in self._hosts.items()
            if host.heard_ms >= horizon_ms
            for suspicion in host.request.suspicions
        )

    def set_sources(
        self,
        leader_silence_ms: Callable[[], float],
        entry_hosts: Callable[[], int],
        control_hosts: Callable[[], tuple[ControlHost, ...]],
        leaders: Callable[[], tuple[ProvenLeader, ...]],
    ) -> None:
        """Tell where the figures of an answer come from."""
        self._leaders = leaders
        self._leader_silence_ms = leader_silence_ms
        self._entry_hosts = entry_hosts
        self._control_hosts = control_hosts

    def on_request(self, sender: str, request: SyncRequest) -> None:
        """Answer an entry host."""
        known = self._hosts.get(sender)
        now_ms = self._timers.now_ms()
        self._hosts[sender] = _Attached(request, now_ms)
        is_new = known is None or known.request.is_draining != request.is_draining
        self._reply(sender, request, is_new or request.sequence % 10 == 1)

    def set_configuration(self, configuration: Configuration) -> None:
        """Push a configuration that is committed."""
        if self._current and configuration.version <= self._current.version:
            return
        self._current = configuration
        self._versions[configuration.version] = configuration
        self._changes.clear()
        while len(self._versions) > KEPT_VERSIONS:
            del self._versions[min(self._versions)]
        self.push()

    def push(self) -> None:
        """Send to every attached host what it lacks, once for this moment."""
        if not self._is_push_due:
            self._is_push_due = True
            self._timers.call_later(0.0, self._push)

    def push_to_all(self) -> None:
        """Answer every attached host once more, since a leader has become silent."""
        horizon_ms = self._timers.now_ms() - HEARD_LIMIT_MS
        for name, host in list(self._hosts.items()):
            if host.heard_ms >= horizon_ms:
                self._reply(name, host.request, False)

    def _push(self) -> None:
        self._is_push_due = False
        horizon_ms = self._timers.now_ms() - HEARD_LIMIT_MS
        for name, host in list(self._hosts.items()):
            if host.heard_ms < horizon_ms:
                del self._hosts[name]
            elif self._lacks_something(host.request):
                self._reply(name, host.request, False)

    def _lacks_something(self, request: SyncRequest) -> bool:
        is_old = self._current and request.configuration_version < self._current.version
        return bool(is_old) or request.directory != self._mark

    @property
    def _mark(self) -> DirectoryMark:
        return DirectoryMark(self._incarnation, self._directory.revision)

    def _reply(self, name: str, request: SyncRequest, with_hosts: bool) -> None:
        directory = None
        mark = self._mark
        if request.directory != mark:
            directory = DirectoryUpdate(
                mark, self._directory.announcements, self._directory.departures
            )
        change = self._change_from(request.configuration_version)
        self._link.send(
            name,
            SyncReply(
                request.sequence,
                min(1e9, self._leader_silence_ms()),
                self._entry_hosts(),
                change,
                directory,
                self._control_hosts() if with_hosts else (),
                self._leaders(),
            ),
        )
        # The next change is taken from what was just sent; a host that has not got
        # it says so with its next request.
        version = change.version if change else request.configuration_version
        sent = replace(request, configuration_version=version, directory=mark)
        self._hosts[name].request = sent

    def _change_from(self, version: int) -> ConfigurationChange | None:
        if self._current is None or version >= self._current.version:
            return None
        base = self._versions.get(version)
        key = base.version if base else -1
        change = self._changes.get(key)
        if change is None:
            change = change_between(base, self._current)
            self._changes[key] = change
        return change
