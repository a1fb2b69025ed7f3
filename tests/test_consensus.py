import unittest
from typing import Any

from azurerelay.consensus import AppendReply, AppendRequest, Journal, SnapshotChunk
from azurerelay.storage import MemoryDisk
from tests.consensus_rig import ConsensusRig


class ConsensusTest(unittest.TestCase):
    def test_committed_entries_reach_every_voter_in_order(self) -> None:
        rig = ConsensusRig()
        for number in range(20):
            self.assertTrue(rig.propose(b"%d" % number))
        rig.timers.advance(200)
        expected = [b"%d" % number for number in range(20)]
        self.assertEqual([rig.applied(name) for name in rig.names], [expected] * 3)

    def test_a_crashed_leader_is_replaced_without_loss_of_committed_entries(
        self,
    ) -> None:
        rig = ConsensusRig()
        rig.propose(b"a")
        lost = rig.name_of(rig.wait_for_leader())
        rig.crash(lost)
        self.assertTrue(rig.propose(b"b"))
        rig.start(lost)
        rig.timers.advance(1_000)
        self.assertEqual(rig.applied(lost), [b"a", b"b"])

    def test_an_entry_is_not_durable_before_it_is_stored(self) -> None:
        """A leader that stepped down before a flush left a gap in its journal.

        The next leader's entry, which would replace the one that was not flushed, is
        lost on its way. Only a heartbeat arrives.
        """
        for seed in range(1, 11):
            with self.subTest(seed=seed):
                rig = ConsensusRig(seed=seed)
                rig.propose(b"a")
                rig.timers.advance(200)
                leader = rig.wait_for_leader()
                name = rig.name_of(leader)
                successor = next(other for other in rig.names if other != name)
                index = leader.log.last_index
                heartbeat = AppendRequest(
                    leader.term + 1,
                    0,
                    index,
                    leader.log.term_at(index) or 0,
                    leader.commit_index,
                    (),
                )
                leader.propose(b"not flushed")
                leader.on_message(successor, heartbeat)
                rig.timers.advance(3_000)
                self.assertTrue(rig.propose(b"b"))
                rig.timers.advance(300)
                rig.crash(name)
                self.assertTrue(Journal(rig.disks[name]).load().is_ok())
                rig.start(name)
                rig.timers.advance(3_000)
                applied = rig.applied(name)
                self.assertEqual([applied[0], applied[-1]], [b"a", b"b"])

    def test_an_isolated_voter_rejoins_without_an_election(self) -> None:
        rig = ConsensusRig()
        leader = rig.wait_for_leader()
        isolated = next(name for name in rig.names if name != rig.name_of(leader))
        rig.isolated.add(isolated)
        term = leader.term
        for number in range(5):
            rig.propose(b"%d" % number)
        rig.timers.advance(600_000)
        rig.isolated.clear()
        rig.timers.advance(2_000)
        self.assertIs(rig.wait_for_leader(), leader)
        self.assertEqual(leader.term, term)
        self.assertEqual(len(rig.applied(isolated)), 5)

    def test_a_leader_without_a_quorum_steps_down_and_confirms_nothing(self) -> None:
        rig = ConsensusRig()
        leader = rig.wait_for_leader()
        name = rig.name_of(leader)
        rig.isolated.add(name)
        confirmation = leader.confirm_leadership()
        proposal = leader.propose(b"lost")
        rig.timers.advance(1_500)
        self.assertFalse(leader.is_leader)
        self.assertFalse(confirmation.value)
        self.assertTrue(proposal.value.is_err())
        rig.propose(b"kept")
        rig.isolated.clear()
        rig.timers.advance(1_000)
        self.assertEqual(rig.applied(name), [b"kept"])

    def test_a_lagging_voter_catches_up_from_a_snapshot_in_chunks(self) -> None:
        rig = ConsensusRig(snapshot_entries=20)
        leader = rig.wait_for_leader()
        lagging = next(name for name in rig.names if name != rig.name_of(leader))
        rig.crash(lagging)
        for number in range(95):
            rig.propose(b"entry-%d" % number)
        self.assertGreater(leader.log.base_index, 60)
        rig.start(lagging)
        rig.timers.advance(3_000)
        self.assertEqual(len(rig.applied(lagging)), 95)

    def _record_bytes_sent_to(self, rig: ConsensusRig, receiver: str) -> list[int]:
        """Return a list that gets the size of the contents of each message."""
        sent_bytes: list[int] = []
        deliver = rig.deliver

        def record(sender: str, to: str, message: Any) -> None:
            if to == receiver:
                entries = getattr(message, "entries", ())
                size = sum(len(entry.payload) for entry in entries)
                sent_bytes.append(size + len(getattr(message, "data", b"")))
            deliver(sender, to, message)

        rig.deliver = record  # type: ignore[method-assign]
        return sent_bytes

    def test_a_voter_that_is_away_is_sent_no_copies_of_entries_or_chunks(self) -> None:
        """Its link kept all of them, and the memory of the leader grew without end."""
        for snapshot_entries in (1_000, 20):
            with self.subTest(snapshot_entries=snapshot_entries):
                rig = ConsensusRig(snapshot_entries=snapshot_entries)
                leader = rig.wait_for_leader()
                away = next(name for name in rig.names if name != rig.name_of(leader))
                rig.crash(away)
                sent_bytes = self._record_bytes_sent_to(rig, away)
                for number in range(50):
                    rig.propose(b"%04d" % number * 250)
                rig.timers.advance(60_000)
                self.assertGreater(len(sent_bytes), 1_000)
                self.assertEqual(sum(sent_bytes[len(sent_bytes) // 2 :]), 0)
                rig.start(away)
                rig.timers.advance(15_000)
                self.assertEqual(len(rig.applied(away)), 50)

    def test_reads_during_a_snapshot_transfer_do_not_repeat_its_chunks(self) -> None:
        """Each read starts a broadcast, and copies of chunks would fill the link."""
        rig = ConsensusRig(snapshot_entries=20)
        leader = rig.wait_for_leader()
        lagging = next(n for n in rig.names if n != rig.name_of(leader))
        rig.isolated.add(lagging)
        for number in range(200):
            self.assertTrue(rig.propose(b"payload %06d" % number))
        rig.isolated.clear()
        received = 0
        deliver = rig.deliver

        def count(sender: str, receiver: str, message: Any) -> None:
            nonlocal received
            if isinstance(message, SnapshotChunk):
                received += len(message.data)
            deliver(sender, receiver, message)

        rig.deliver = count  # type: ignore[method-assign]
        while len(rig.applied(lagging)) < 200:
            leader.confirm_leadership()
            rig.timers.advance(1.0)
        # Nothing is lost here, so one copy of the snapshot is enough.
        snapshot_bytes = len(rig.machines[lagging].snapshot())
        self.assertLess(received, 1.5 * snapshot_bytes)

    def test_a_leader_that_has_committed_nothing_yet_confirms_no_state(self) -> None:
        """It does not know yet what earlier leaders have committed."""
        rig = ConsensusRig()
        first = rig.name_of(rig.wait_for_leader())
        behind, other = (name for name in rig.names if name != first)
        rig.isolated.add(behind)
        self.assertTrue(rig.propose(b"committed without the third"))
        rig.crash(first)
        deliver = rig.deliver

        def lose_replies(sender: str, receiver: str, message: Any) -> None:
            if not (isinstance(message, AppendReply) and message.is_success):
                deliver(sender, receiver, message)

        rig.deliver = lose_replies  # type: ignore[method-assign]
        rig.isolated.clear()
        node = rig.nodes[behind]
        is_led = rig.timers.advance_until(lambda: node.leader == other, 5_000)
        self.assertTrue(is_led)
        rig.timers.advance(100.0)
        self.assertEqual(rig.applied(behind), [])
        self.assertLess(node.leader_silence_ms, 100.0)
        self.assertGreater(node.state_age_ms, 100.0)
        rig.deliver = deliver  # type: ignore[method-assign]
        rig.wait_for_leader()
        rig.timers.advance(500.0)
        self.assertEqual(len(rig.applied(behind)), 1)
        self.assertLess(node.state_age_ms, 300.0)

    def test_a_restart_restores_the_snapshot_and_the_entries_after_it(self) -> None:
        rig = ConsensusRig(snapshot_entries=10)
        for number in range(37):
            rig.propose(b"%d" % number)
        rig.timers.advance(500)
        for name in rig.names:
            rig.crash(name)
        for name in rig.names:
            rig.start(name)
        rig.wait_for_leader()
        rig.timers.advance(500)
        expected = [b"%d" % number for number in range(37)]
        self.assertEqual([rig.applied(name) for name in rig.names], [expected] * 3)

    def test_a_voter_with_a_lost_disk_catches_up_before_it_votes(self) -> None:
        rig = ConsensusRig()
        for number in range(5):
            rig.propose(b"%d" % number)
        rig.timers.advance(200)
        leader = rig.name_of(rig.wait_for_leader())
        lost, other = (name for name in rig.names if name != leader)
        rig.isolated.add(other)
        rig.crash(lost, lose_disk=True)
        rig.start(lost)
        rig.timers.advance(5_000)
        # With one voter isolated, a quorum would need the one with the empty disk, so
        # no leader may be elected.
        self.assertTrue(rig.nodes[lost].is_learner)
        self.assertIsNone(rig.leader)
        rig.isolated.clear()
        rig.timers.advance(5_000)
        self.assertFalse(rig.nodes[lost].is_learner)
        self.assertEqual(len(rig.applied(lost)), 5)

    def test_a_leader_crash_just_after_a_disk_recovery_loses_no_entry(self) -> None:
        for seed in range(10):
            with self.subTest(seed):
                rig = ConsensusRig(seed=seed)
                for number in range(5):
                    rig.propose(b"%d" % number)
                leader = rig.name_of(rig.wait_for_leader())
                lost, other = (name for name in rig.names if name != leader)
                rig.crash(lost, lose_disk=True)
                rig.start(lost)
                rig.timers.advance_until(
                    lambda rig=rig, lost=lost: not rig.nodes[lost].is_learner, 5_000
                )
                rig.crash(leader)
                self.assertTrue(rig.propose(b"5"))
                rig.timers.advance(500)
                expected = [b"%d" % number for number in range(6)]
                self.assertEqual(rig.applied(lost), expected)
                self.assertEqual(rig.applied(other), expected)

    def test_a_full_disk_makes_the_leader_step_down_until_it_can_write(self) -> None:
        rig = ConsensusRig()
        leader = rig.wait_for_leader()
        name = rig.name_of(leader)
        rig.disks[name].is_full = True
        proposal = leader.propose(b"x")
        rig.timers.advance(20)
        self.assertTrue(proposal.value.is_err())
        self.assertIn("no space left", leader.disk_error or "")
        self.assertTrue(rig.propose(b"y"))
        rig.disks[name].is_full = False
        rig.timers.advance(3_000)
        self.assertIsNone(leader.disk_error)
        self.assertIn(b"y", rig.applied(name))

    def test_a_crash_loses_no_confirmed_entry(self) -> None:
        rig = ConsensusRig(seed=5)
        confirmed = []
        for number in range(30):
            if rig.propose(b"%d" % number):
                confirmed.append(b"%d" % number)
            crashed = rig.names[number % 3]
            rig.crash(crashed)
            rig.start(crashed)
        rig.wait_for_leader()
        rig.timers.advance(1_000)
        for name in rig.names:
            kept = [payload for payload in rig.applied(name) if payload in confirmed]
            self.assertEqual(kept, confirmed)


class JournalTest(unittest.TestCase):
    def _disk_with_entries(self) -> MemoryDisk:
        rig = ConsensusRig(count=1)
        for number in range(10):
            rig.propose(b"payload-%d" % number)
        return rig.disks["v1"]

    def test_a_torn_tail_is_truncated(self) -> None:
        disk = self._disk_with_entries()
        whole = disk.read("journal.bin")
        disk.truncate("journal.bin", len(whole) - 3)
        state = Journal(disk).load().ok_value
        self.assertEqual(state.log.last_index, 10)
        self.assertGreater(state.torn_bytes, 0)
        self.assertLess(len(disk.read("journal.bin")), len(whole) - 3)

    def test_damage_before_the_tail_is_reported_with_file_and_offset(self) -> None:
        disk = self._disk_with_entries()
        disk.corrupt("journal.bin", 100)
        problem = str(Journal(disk).load().err_value)
        self.assertRegex(problem, r"journal\.bin: offset \d+: record")

    def test_a_load_without_repairs_leaves_the_file_unchanged(self) -> None:
        disk = self._disk_with_entries()
        disk.truncate("journal.bin", len(disk.read("journal.bin")) - 3)
        before = disk.read("journal.bin")
        self.assertGreater(
            Journal(disk).load(truncate_torn_tail=False).ok_value.torn_bytes, 0
        )
        self.assertEqual(disk.read("journal.bin"), before)
