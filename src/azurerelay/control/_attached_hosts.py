"""Replicates committed state to the hosts attached to this control host."""

from dataclasses import dataclass
from typing import Final

from azurerelay.consensus import RaftNode
from azurerelay.membership import (
    ClusterState,
    HostHeartbeat,
    StateDelta,
    StateSnapshot,
)
from azurerelay.messages import Link
from azurerelay.timing import TimerService

DETACH_TIMEOUT_MS: Final = 2_000.0
MAX_DELTA_ENTRIES: Final = 512


@dataclass(slots=True)
class _Attachment:
    """A host's last heartbeat and the last log index sent to it.

    `sent_index` is reset to the applied index that each heartbeat reports, so
    entries lost on the way are sent again.
    """

    last_heartbeat_ms: float
    sent_index: int


class AttachedHosts:
    """Send each attached host the entries that it lacks, or a snapshot.

    A host is attached by its heartbeat and detached after `DETACH_TIMEOUT_MS`
    without one. It gets a snapshot when the log no longer has the entries that
    follow its own.
    """

    def __init__(
        self, raft: RaftNode, state: ClusterState, link: Link, timers: TimerService
    ) -> None:
        self._raft = raft
        self._state = state
        self._link = link
        self._timers = timers
        self._attachments: dict[str, _Attachment] = {}
        self._is_push_scheduled = False
        self._cached_snapshot: StateSnapshot | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the attached hosts."""
        return tuple(self._attachments)

    def on_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Attach a host or reset its progress, and send what it lacks."""
        now_ms = self._timers.now_ms()
        attachment = _Attachment(now_ms, heartbeat.applied_index)
        self._attachments[heartbeat.host] = attachment
        if heartbeat.applied_index < self._raft.applied_index:
            self._push(heartbeat.host, attachment)

    def on_applied(self) -> None:
        """Schedule a push of new entries to all attached hosts.

        Entries applied before the timer fires share one push.
        """
        if not self._is_push_scheduled:
            self._is_push_scheduled = True
            self._timers.call_later(0.0, self._push_all)

    def _push_all(self) -> None:
        self._is_push_scheduled = False
        cutoff_ms = self._timers.now_ms() - DETACH_TIMEOUT_MS
        for host, attachment in list(self._attachments.items()):
            if attachment.last_heartbeat_ms < cutoff_ms:
                del self._attachments[host]
            else:
                self._push(host, attachment)

    def _push(self, host: str, attachment: _Attachment) -> None:
        applied_index = self._raft.applied_index
        log = self._raft.log
        if attachment.sent_index < log.base_index:
            self._link.send(host, self._current_snapshot())
            attachment.sent_index = applied_index
            return
        entry_count = min(MAX_DELTA_ENTRIES, applied_index - attachment.sent_index)
        if entry_count <= 0:
            return
        entries = log.slice(attachment.sent_index + 1, entry_count)
        self._link.send(host, StateDelta(entries))
        attachment.sent_index += len(entries)

    def _current_snapshot(self) -> StateSnapshot:
        applied_index = self._raft.applied_index
        if (
            self._cached_snapshot is None
            or self._cached_snapshot.index != applied_index
        ):
            self._cached_snapshot = StateSnapshot(
                applied_index, self._state.snapshot_for_hosts()
            )
        return self._cached_snapshot
