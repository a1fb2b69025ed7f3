"""Passes committed state on to the hosts attached to this control host."""

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

DETACH_AFTER_MS: Final = 2_000.0
DELTA_ENTRIES: Final = 512


@dataclass(slots=True)
class _Attachment:
    """How far a host is, as sent and as heard."""

    heard_ms: float
    sent_index: int


class AttachedHosts:
    """Send each attached host the entries that it lacks, or a snapshot."""

    def __init__(
        self, raft: RaftNode, state: ClusterState, link: Link, timers: TimerService
    ) -> None:
        self._raft = raft
        self._state = state
        self._link = link
        self._timers = timers
        self._attachments: dict[str, _Attachment] = {}
        self._is_push_due = False
        self._snapshot: StateSnapshot | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """The attached hosts."""
        return tuple(self._attachments)

    def on_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        """Attach a host, or correct what it is known to have."""
        now_ms = self._timers.now_ms()
        attachment = _Attachment(now_ms, heartbeat.applied_index)
        self._attachments[heartbeat.host] = attachment
        if heartbeat.applied_index < self._raft.applied_index:
            self._push(heartbeat.host, attachment)

    def on_applied(self) -> None:
        """Push new entries to all attached hosts, once for all applied together."""
        if not self._is_push_due:
            self._is_push_due = True
            self._timers.call_later(0.0, self._push_all)

    def _push_all(self) -> None:
        self._is_push_due = False
        horizon_ms = self._timers.now_ms() - DETACH_AFTER_MS
        for host, attachment in list(self._attachments.items()):
            if attachment.heard_ms < horizon_ms:
                del self._attachments[host]
            else:
                self._push(host, attachment)

    def _push(self, host: str, attachment: _Attachment) -> None:
        applied = self._raft.applied_index
        log = self._raft.log
        if attachment.sent_index < log.base_index:
            self._link.send(host, self._current_snapshot())
            attachment.sent_index = applied
            return
        count = min(DELTA_ENTRIES, applied - attachment.sent_index)
        if count <= 0:
            return
        entries = log.slice(attachment.sent_index + 1, count)
        self._link.send(host, StateDelta(entries))
        attachment.sent_index += len(entries)

    def _current_snapshot(self) -> StateSnapshot:
        applied = self._raft.applied_index
        if self._snapshot is None or self._snapshot.index != applied:
            self._snapshot = StateSnapshot(applied, self._state.snapshot_for_hosts())
        return self._snapshot
