import random
import unittest

from hypothesis import given, settings
from hypothesis.strategies import integers, lists

from azurerelay.forwarding import AnswerChunk, ChunkCredit, ChunkReceiver, ChunkSender
from azurerelay.timing import ManualTimerService
from tests.support import Rig

CHUNK = 64 * 1024


class _RecordingLink:
    def __init__(self) -> None:
        self.sent: list[AnswerChunk] = []

    def send(self, peer: str, message: AnswerChunk) -> None:
        self.sent.append(message)


class ChunkTransferTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=100)
    @given(
        integers(0, 40 * CHUNK), lists(integers(0, 60), max_size=30), integers(0, 99)
    )
    def test_duplicate_and_reordered_chunks_are_assembled_once(
        self, length: int, duplicates: list[int], seed: int
    ) -> None:
        data = random.Random(seed).randbytes(min(length, 5 * CHUNK)) * (
            1 + length // (5 * CHUNK)
        )
        link, receiver = _RecordingLink(), ChunkReceiver()
        sender = ChunkSender(link, ManualTimerService())
        sender.send("peer", 1, data, load=0)
        while not receiver.is_complete:
            chunks = link.sent + [link.sent[n % len(link.sent)] for n in duplicates]
            random.Random(seed).shuffle(chunks)
            for chunk in chunks:
                receiver.add(chunk)
            sender.on_credit("peer", ChunkCredit(1, receiver.credit_limit), load=0)
        self.assertEqual(receiver.data(), data)
        self.assertEqual(sender.pending_count, 0)

    def test_sender_does_not_exceed_its_credit(self) -> None:
        link = _RecordingLink()
        sender = ChunkSender(link, ManualTimerService())
        sender.send("peer", 1, bytes(100 * CHUNK), load=0)
        self.assertEqual(len(link.sent), 8)
        sender.on_credit("other-peer", ChunkCredit(1, 99), load=0)
        self.assertEqual(len(link.sent), 8)
        sender.on_credit("peer", ChunkCredit(1, 20), load=0)
        self.assertEqual(len(link.sent), 20)

    def test_answer_without_credit_is_discarded_after_timeout(self) -> None:
        timers = ManualTimerService()
        sender = ChunkSender(_RecordingLink(), timers)
        sender.send("peer", 1, bytes(100 * CHUNK), load=0)
        timers.advance(31_000)
        self.assertEqual(sender.pending_count, 0)


class LargeAnswerTest(unittest.TestCase):
    def test_large_result_is_complete_through_every_entry_host(self) -> None:
        rig = Rig()
        for entry in rig.system.entries:
            with self.subTest(entry):
                answer = rig.read(entry, "generate", 3_000, 500)
                self.assertEqual(len(answer.rows), 3_000)
                self.assertEqual(answer.rows[2_999], (2_999, "x" * 500))

    def test_chunk_without_pending_request_is_dropped_and_counted(self) -> None:
        rig = Rig()
        node = rig.system.entries["entry-1"]
        dropped_before = node.forwarder.dropped
        node.on_message("entry-4", AnswerChunk(12345, 0, True, 0, b"x"))
        self.assertEqual(node.forwarder.dropped, dropped_before + 1)
