"""The control host's side of the synchronization with entry hosts."""

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

ATTACHMENT_TIMEOUT_MS: Final = 2_000.0  # four regular request intervals
MAX_KEPT_VERSIONS: Final = 16  # hosts at older versions get the whole configuration


@dataclass(slots=True)
class _AttachedHost:
    """The last request of an entry host, updated by what was sent to it since."""

    request: SyncRequest
    last_request_ms: float


class EntryHostTable:
    """The entry hosts attached to this control host.

    Answers their requests and pushes changes to them. To limit the traffic when many
    changes come at once, a host gets only the difference from the version it has, and
    changes made at the same time are sent in one push.
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
        self._hosts: dict[str, _AttachedHost] = {}
        self._versions: dict[int, Configuration] = {}
        self._current: Configuration | None = None
        self._changes: dict[int, ConfigurationChange] = {}
        self._is_push_due = False
        self._leader_silence_ms: Callable[[], float] = lambda: float("inf")
        self._count_entry_hosts: Callable[[], int] = lambda: self.count
        self._control_hosts: Callable[[], tuple[ControlHost, ...]] = tuple
        self._proven_primaries: Callable[[], tuple[ProvenLeader, ...]] = tuple

    @property
    def count(self) -> int:
        """The number of attached entry hosts, without those that are draining."""
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        return sum(
            host.last_request_ms >= oldest_ms and not host.request.is_draining
            for host in self._hosts.values()
        )

    @property
    def suspicions(self) -> tuple[tuple[str, PrimarySuspicion], ...]:
        """The suspicions of attached entry hosts, each with the address of the host."""
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        return tuple(
            (name, suspicion)
            for name, host in self._hosts.items()
            if host.last_request_ms >= oldest_ms
            for suspicion in host.request.suspicions
        )

    def set_sources(
        self,
        leader_silence_ms: Callable[[], float],
        count_entry_hosts: Callable[[], int],
        control_hosts: Callable[[], tuple[ControlHost, ...]],
        proven_primaries: Callable[[], tuple[ProvenLeader, ...]],
    ) -> None:
        """Set the callables that supply the values of a reply."""
        self._proven_primaries = proven_primaries
        self._leader_silence_ms = leader_silence_ms
        self._count_entry_hosts = count_entry_hosts
        self._control_hosts = control_hosts

    def on_request(self, sender: str, request: SyncRequest) -> None:
        """Record a request of an entry host and answer it.

        The control hosts are listed in the first reply, in every tenth, and whenever
        the host starts or stops draining.
        """
        known = self._hosts.get(sender)
        now_ms = self._timers.now_ms()
        self._hosts[sender] = _AttachedHost(request, now_ms)
        is_new_or_changed = (
            known is None or known.request.is_draining != request.is_draining
        )
        self._reply(sender, request, is_new_or_changed or request.sequence % 10 == 1)

    def detach(self, sender: str) -> None:
        """Stop counting an entry host, which follows another control host now."""
        self._hosts.pop(sender, None)

    def set_configuration(self, configuration: Configuration) -> None:
        """Push a committed configuration, unless a newer one is known."""
        if self._current and configuration.version <= self._current.version:
            return
        self._current = configuration
        self._versions[configuration.version] = configuration
        self._changes.clear()
        while len(self._versions) > MAX_KEPT_VERSIONS:
            del self._versions[min(self._versions)]
        self.push()

    def push(self) -> None:
        """Send to each attached host what it lacks.

        Calls at the same time share one push.
        """
        if not self._is_push_due:
            self._is_push_due = True
            self._timers.call_later(0.0, self._push)

    def push_to_all(self) -> None:
        """Send a reply to each attached host at once, to report a silent primary."""
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        for name, host in list(self._hosts.items()):
            if host.last_request_ms >= oldest_ms:
                self._reply(name, host.request, False)

    def _push(self) -> None:
        self._is_push_due = False
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        for name, host in list(self._hosts.items()):
            if host.last_request_ms < oldest_ms:
                del self._hosts[name]
            elif self._is_behind(host.request):
                self._reply(name, host.request, False)

    def _is_behind(self, request: SyncRequest) -> bool:
        has_old_configuration = (
            self._current and request.configuration_version < self._current.version
        )
        return bool(has_old_configuration) or request.directory != self._directory_mark

    @property
    def _directory_mark(self) -> DirectoryMark:
        return DirectoryMark(self._incarnation, self._directory.revision)

    def _reply(self, name: str, request: SyncRequest, with_control_hosts: bool) -> None:
        mark = self._directory_mark
        directory = self._directory_update_for(request)
        change = self._configuration_change_from(request.configuration_version)
        self._link.send(
            name,
            SyncReply(
                request.sequence,
                min(1e9, self._leader_silence_ms()),
                self._count_entry_hosts(),
                change,
                directory,
                self._control_hosts() if with_control_hosts else (),
                self._proven_primaries(),
            ),
        )
        # The next change is based on what was just sent. A host that did not receive it
        # reports its actual version with its next request.
        version = change.version if change else request.configuration_version
        sent = replace(request, configuration_version=version, directory=mark)
        self._hosts[name].request = sent

    def _directory_update_for(self, request: SyncRequest) -> DirectoryUpdate | None:
        """Return what a host lacks according to its request; None if it has all.

        A host that has followed another control host, or that has missed too many
        changes, gets the whole directory.
        """
        known, mark = request.directory, self._directory_mark
        if known == mark:
            return None
        is_same_process = known.incarnation == mark.incarnation
        if is_same_process and request.accepts_directory_changes:
            changes = self._directory.changes_since(known.revision)
            if changes is not None:
                return DirectoryUpdate(
                    mark,
                    changes.announcements,
                    changes.departures,
                    known.revision,
                    changes.removed,
                )
        return DirectoryUpdate(
            mark, self._directory.announcements, self._directory.departures
        )

    def _configuration_change_from(self, version: int) -> ConfigurationChange | None:
        if self._current is None or version >= self._current.version:
            return None
        base = self._versions.get(version)
        key = base.version if base else -1
        change = self._changes.get(key)
        if change is None:
            change = change_between(base, self._current)
            self._changes[key] = change
        return change
