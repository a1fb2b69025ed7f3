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
# What was sent to a host counts as lost if the host reports no progress for this long.
# The time doubles with each repetition up to the maximum: on a crowded link, copies
# would delay the transfer that they repeat.
RESEND_AFTER_MS: Final = 400.0
MAX_RESEND_AFTER_MS: Final = 3_200.0


@dataclass(slots=True)
class _Attachment:
    """What a host has applied according to its heartbeats, and what was sent to it.

    `waiting_since_ms` is when the host last reported progress, or when the oldest
    entry was sent that it has not applied yet, if that was later.
    """

    incarnation: int
    last_heartbeat_ms: float
    applied_index: int
    sent_index: int
    waiting_since_ms: float
    resend_after_ms: float = RESEND_AFTER_MS

    def record_heartbeat(self, applied_index: int, now_ms: float) -> None:
        """Record the applied index of a heartbeat, and what counts as lost by now."""
        self.last_heartbeat_ms = now_ms
        if applied_index > self.applied_index:
            self.applied_index = applied_index
            self.sent_index = max(self.sent_index, applied_index)
            self.waiting_since_ms = now_ms
            self.resend_after_ms = RESEND_AFTER_MS
        elif (
            self.sent_index > self.applied_index
            and now_ms - self.waiting_since_ms >= self.resend_after_ms
        ):
            self.sent_index = self.applied_index
            self.resend_after_ms = min(MAX_RESEND_AFTER_MS, 2 * self.resend_after_ms)

    def record_sent(self, index: int, now_ms: float) -> None:
        """Record that all entries up to an index have been sent."""
        if self.sent_index == self.applied_index:
            self.waiting_since_ms = now_ms
        self.sent_index = index


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
        """Attach a host or record its progress, and send what it lacks."""
        now_ms = self._timers.now_ms()
        applied_index = heartbeat.applied_index
        attachment = self._attachments.get(heartbeat.host)
        if attachment is None or attachment.incarnation != heartbeat.incarnation:
            attachment = _Attachment(
                heartbeat.incarnation, now_ms, applied_index, applied_index, now_ms
            )
            self._attachments[heartbeat.host] = attachment
        else:
            attachment.record_heartbeat(applied_index, now_ms)
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
            attachment.record_sent(applied_index, self._timers.now_ms())
            return
        entry_count = min(MAX_DELTA_ENTRIES, applied_index - attachment.sent_index)
        if entry_count <= 0:
            return
        entries = log.slice(attachment.sent_index + 1, entry_count)
        self._link.send(host, StateDelta(entries))
        sent_index = attachment.sent_index + len(entries)
        attachment.record_sent(sent_index, self._timers.now_ms())

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
