"""Tests of how a control host sends committed state to the hosts attached to it."""

import unittest
from dataclasses import dataclass, field
from typing import Any

from azurerelay.consensus import Entry, Log
from azurerelay.control._attached_hosts import AttachedHosts
from azurerelay.membership import (
    ClusterState,
    HostHeartbeat,
    StateDelta,
    StateSnapshot,
)
from azurerelay.timing import ManualTimerService

HEARTBEAT_MS = 350.0


@dataclass
class FakeRaft:
    """The log of a control host, as far as sending needs it."""

    log: Log = field(default_factory=Log)

    @property
    def applied_index(self) -> int:
        return self.log.last_index

    def append(self) -> None:
        self.log.append([Entry(self.log.last_index + 1, 1, b"")])


class RecordingLink:
    """Record the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, peer: str, message: Any) -> None:
        self.sent.append(message)


class AttachedHostsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.raft = FakeRaft()
        self.link = RecordingLink()
        raft: Any = self.raft
        self.hosts = AttachedHosts(raft, ClusterState(), self.link, self.timers)
        self.sequence = 0

    def _commit(self) -> None:
        self.raft.append()
        self.hosts.on_applied()

    def _heartbeat(self, applied_index: int, incarnation: int = 1) -> None:
        self.sequence += 1
        self.hosts.on_heartbeat(
            HostHeartbeat(
                host="entry-1",
                address="10.1.0.1:7440",
                failure_domain="east-1",
                incarnation=incarnation,
                sequence=self.sequence,
                applied_index=applied_index,
                settings_number=0,
                is_draining=False,
                suspicions=(),
                unready_groups=(),
                announcements=(),
            )
        )

    def _compact(self, entries: int) -> None:
        for _ in range(entries):
            self.raft.append()
        self.raft.log.compact(self.raft.log.last_index, 1)

    def _sent(self, kind: type[Any]) -> list[Any]:
        return [m for m in self.link.sent if isinstance(m, kind)]

    def test_a_snapshot_under_way_is_not_sent_again_with_each_heartbeat(self) -> None:
        """Copies would fill the link of a host that has just started."""
        self._compact(100)
        for _ in range(4):
            self._heartbeat(applied_index=0)
            self.timers.advance(100.0)
        self.assertEqual(len(self._sent(StateSnapshot)), 1)

    def test_copies_of_a_slow_snapshot_become_rarer(self) -> None:
        """Each copy waits twice as long as the one before, from 0.4 s on."""
        self._compact(100)
        for _ in range(int(8_000.0 / HEARTBEAT_MS)):
            self._heartbeat(applied_index=0)
            self.timers.advance(HEARTBEAT_MS)
        self.assertLessEqual(len(self._sent(StateSnapshot)), 5)

    def test_a_lost_entry_is_sent_again_while_new_ones_are_pushed(self) -> None:
        self._heartbeat(applied_index=0)
        self._commit()
        # The host gets none of these, and reports that it has applied nothing.
        for _ in range(20):
            self.timers.advance(100.0)
            self._commit()
            self._heartbeat(applied_index=0)
        firsts = [delta.entries[0].index for delta in self._sent(StateDelta)]
        self.assertGreater(firsts.count(1), 1)

    def test_a_host_that_has_restarted_gets_all_at_once(self) -> None:
        self._compact(100)
        self._heartbeat(applied_index=0)
        self.timers.advance(50.0)
        self._heartbeat(applied_index=0, incarnation=2)
        self.assertEqual(len(self._sent(StateSnapshot)), 2)

    def test_progress_of_the_host_keeps_later_entries_from_being_repeated(
        self,
    ) -> None:
        self._heartbeat(applied_index=0)
        for applied_index in range(10):
            self._commit()
            self.timers.advance(0.0)
            # The newest entry is still under way when the host reports.
            self._heartbeat(applied_index)
            self.timers.advance(HEARTBEAT_MS)
        indexes = [e.index for delta in self._sent(StateDelta) for e in delta.entries]
        self.assertEqual(indexes, list(range(1, 11)))


if __name__ == "__main__":
    unittest.main()
