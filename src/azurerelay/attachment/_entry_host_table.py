"""The control host's side of the synchronization with entry hosts."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from azurerelay.attachment._messages import (
    ControlHost,
    DirectoryMark,
    DirectoryUpdate,
    ProvenLeader,
    SyncReply,
    SyncRequest,
)
from azurerelay.attachment._packed_update import UpdateContents, pack_update
from azurerelay.attachment._suspected_primary_report import (
    SuspectedPrimaryReport,
    merge_suspicions,
)
from azurerelay.discovery import (
    UNKNOWN_AGE_MS,
    Announcement,
    Drain,
    EndpointDirectory,
)
from azurerelay.messages import Link
from azurerelay.routes import Configuration, ConfigurationChange, change_between
from azurerelay.timing import TimerService

ATTACHMENT_TIMEOUT_MS: Final = 2_000.0  # four regular request intervals
# One regular request is missing, and a delay of half an interval has passed.
SILENT_AFTER_MS: Final = 750.0
SUSPICION_TIMEOUT_MS: Final = 1_000.0  # two regular request intervals
MAX_KEPT_VERSIONS: Final = 16  # hosts at older versions get the whole configuration
# What was sent to a host less than this long ago is not sent again, although the host
# does not report it yet: a large reply takes some time on the link of a small host, and
# copies of it would delay everything behind them.
RESEND_AFTER_MS: Final = 400.0
# More requests than this are not lost in a row; a larger step in the sequence means
# that the process has restarted.
MAX_SEQUENCE_STEP: Final = 1_000
# Replies with more changed routes or endpoints than this are compressed.
MAX_PLAIN_CHANGES: Final = 16
# Hosts that get an update within this time of each other share its packed form.
DRAIN_AGE_STEP_MS: Final = 500.0


@dataclass(slots=True)
class _AttachedHost:
    """The last request of an entry host, and what it has once all replies arrive.

    The times at which configuration and directory were last sent are kept apart, so
    that a lost configuration is sent again while the directory keeps changing.
    """

    request: SyncRequest
    last_request_ms: float
    sent_version: int
    sent_directory: DirectoryMark
    version_sent_ms: float = float("-inf")
    directory_sent_ms: float = float("-inf")

    def keep_in_flight(self, previous: "_AttachedHost") -> None:
        """Take over what was sent before this request and is probably under way."""
        step = self.request.sequence - previous.request.sequence
        if not 0 < step < MAX_SEQUENCE_STEP or self.request.has_missed_update:
            return
        oldest_ms = self.last_request_ms - RESEND_AFTER_MS
        if previous.version_sent_ms > oldest_ms:
            self.sent_version = max(previous.sent_version, self.sent_version)
            self.version_sent_ms = previous.version_sent_ms
        if previous.directory_sent_ms > oldest_ms:
            self.sent_directory = previous.sent_directory
            self.directory_sent_ms = previous.directory_sent_ms


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
        self._packed: dict[tuple[object, object], bytes] = {}
        self._is_push_due = False
        self._state_age_ms: Callable[[], float] = lambda: float("inf")
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
    def attached(self) -> tuple[str, ...]:
        """The names of the attached entry hosts, with those that are draining."""
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        return tuple(
            name
            for name, host in self._hosts.items()
            if host.last_request_ms >= oldest_ms
        )

    @property
    def silent_share(self) -> float:
        """The share of the attached entry hosts that have missed a regular request."""
        attached = self.attached
        oldest_ms = self._timers.now_ms() - SILENT_AFTER_MS
        silent = sum(self._hosts[name].last_request_ms < oldest_ms for name in attached)
        return silent / max(1, len(attached))

    @property
    def suspected_primaries(self) -> tuple[SuspectedPrimaryReport, ...]:
        """The primaries that attached entry hosts suspect.

        A host that has sent no request for `SUSPICION_TIMEOUT_MS` may follow another
        control host by now, which counts its suspicions.
        """
        now_ms = self._timers.now_ms()
        return merge_suspicions(
            SuspectedPrimaryReport.of(suspicion, now_ms - host.last_request_ms)
            for host in self._hosts.values()
            if now_ms - host.last_request_ms <= SUSPICION_TIMEOUT_MS
            for suspicion in host.request.suspicions
        )

    def set_sources(
        self,
        state_age_ms: Callable[[], float],
        count_entry_hosts: Callable[[], int],
        control_hosts: Callable[[], tuple[ControlHost, ...]],
        proven_primaries: Callable[[], tuple[ProvenLeader, ...]],
    ) -> None:
        """Set the callables that supply the values of a reply."""
        self._proven_primaries = proven_primaries
        self._state_age_ms = state_age_ms
        self._count_entry_hosts = count_entry_hosts
        self._control_hosts = control_hosts

    def on_request(self, sender: str, request: SyncRequest) -> None:
        """Record a request of an entry host and answer it.

        The control hosts are listed in the first reply, in every tenth, and whenever
        the host starts or stops draining.
        """
        known = self._hosts.get(sender)
        now_ms = self._timers.now_ms()
        host = _AttachedHost(
            request, now_ms, request.configuration_version, request.directory
        )
        if known is not None:
            host.keep_in_flight(known)
        self._hosts[sender] = host
        is_new_or_changed = (
            known is None or known.request.is_draining != request.is_draining
        )
        self._reply(sender, host, is_new_or_changed or request.sequence % 10 == 1)

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
                self._reply(name, host, False)

    def _push(self) -> None:
        self._is_push_due = False
        oldest_ms = self._timers.now_ms() - ATTACHMENT_TIMEOUT_MS
        for name, host in list(self._hosts.items()):
            if host.last_request_ms < oldest_ms:
                del self._hosts[name]
            elif self._is_behind(host):
                self._reply(name, host, False)

    def _is_behind(self, host: _AttachedHost) -> bool:
        has_old_configuration = (
            self._current and host.sent_version < self._current.version
        )
        return bool(has_old_configuration) or (
            host.sent_directory != self._directory_mark
        )

    @property
    def _directory_mark(self) -> DirectoryMark:
        return DirectoryMark(self._incarnation, self._directory.revision)

    def _reply(self, name: str, host: _AttachedHost, with_control_hosts: bool) -> None:
        is_compact = host.request.accepts_compact_replies
        directory = self._directory_update_from(host.sent_directory, is_compact)
        change = self._configuration_change_from(host.sent_version)
        contents = UpdateContents(change, directory)
        packed = None
        if is_compact and _is_large(change, directory):
            packed = self._pack(contents)
        self._link.send(
            name,
            SyncReply(
                host.request.sequence,
                min(1e9, self._state_age_ms()),
                self._count_entry_hosts(),
                change if packed is None else None,
                directory if packed is None else None,
                self._control_hosts() if with_control_hosts else (),
                self._proven_primaries(),
                packed,
                self._current.version if self._current else -1,
            ),
        )
        self._record_sent(host, contents)

    def _record_sent(self, host: _AttachedHost, contents: UpdateContents) -> None:
        """Record what a host has once the reply arrives; called after the send."""
        now_ms = self._timers.now_ms()
        if contents.configuration is not None:
            host.sent_version = contents.configuration.version
            host.version_sent_ms = now_ms
        if contents.directory is not None:
            host.sent_directory = contents.directory.mark
            host.directory_sent_ms = now_ms

    def _pack(self, contents: UpdateContents) -> bytes:
        """Return the compressed contents; hosts in the same state share them."""
        change, directory = contents.configuration, contents.directory
        key = (
            (change.base_version, change.version) if change else None,
            (
                (directory.base_revision, directory.mark.revision, directory.drains)
                if directory
                else None
            ),
        )
        if key not in self._packed:
            while len(self._packed) >= MAX_KEPT_VERSIONS:
                del self._packed[next(iter(self._packed))]
            self._packed[key] = pack_update(contents)
        return self._packed[key]

    def _directory_update_from(
        self, known: DirectoryMark, is_compact: bool
    ) -> DirectoryUpdate | None:
        """Return what a host lacks that knows this revision; None if it has all.

        A host that has followed another control host, or that has missed too many
        changes, gets the whole directory.
        """
        mark = self._directory_mark
        if known == mark:
            return None
        if known.incarnation == mark.incarnation and is_compact:
            changes = self._directory.changes_since(known.revision)
            if changes is not None:
                return DirectoryUpdate(
                    mark,
                    changes.announcements,
                    changes.departures,
                    known.revision,
                    changes.removed,
                    self._drains_of(changes.announcements),
                )
        announcements = self._directory.announcements
        return DirectoryUpdate(
            mark,
            announcements,
            self._directory.departures,
            drains=self._drains_of(announcements),
        )

    def _drains_of(self, announcements: tuple[Announcement, ...]) -> tuple[Drain, ...]:
        """Return since when some endpoints drain, in steps that hosts can share.

        An age is rounded up: hosts stop to send work too early rather than too late.
        """
        names = {a.endpoint for a in announcements if a.is_draining}
        return tuple(
            _round_age_up(drain)
            for drain in self._directory.drains(self._timers.now_ms())
            if drain.endpoint in names
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


def _round_age_up(drain: Drain) -> Drain:
    if drain.age_ms == UNKNOWN_AGE_MS:
        return drain
    steps = math.ceil(drain.age_ms / DRAIN_AGE_STEP_MS)
    return replace(drain, age_ms=steps * DRAIN_AGE_STEP_MS)


def _is_large(
    change: ConfigurationChange | None, directory: DirectoryUpdate | None
) -> bool:
    routes = len(change.routes) + len(change.customers) if change else 0
    return routes + (len(directory.announcements) if directory else 0) > (
        MAX_PLAIN_CHANGES
    )
