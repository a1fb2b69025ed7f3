import random
import unittest

from hypothesis import given, settings
from hypothesis.strategies import integers, lists

from azurerelay.forwarding import AnswerChunk, ChunkCredit, ChunkReceiver, ChunkSender
from azurerelay.timing import ManualTimerService
from tests.support import Rig

CHUNK = 64 * 1024


class _Link:
    def __init__(self) -> None:
        self.sent: list[AnswerChunk] = []

    def send(self, peer: str, message: AnswerChunk) -> None:
        self.sent.append(message)


class ChunksTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=100)
    @given(
        integers(0, 40 * CHUNK), lists(integers(0, 60), max_size=30), integers(0, 99)
    )
    def test_doubled_and_reordered_chunks_make_one_whole_answer(
        self, length: int, doubled: list[int], seed: int
    ) -> None:
        data = random.Random(seed).randbytes(min(length, 5 * CHUNK)) * (
            1 + length // (5 * CHUNK)
        )
        link, receiver = _Link(), ChunkReceiver()
        sender = ChunkSender(link, ManualTimerService())
        sender.send("peer", 1, data, load=0)
        while not receiver.is_complete:
            chunks = link.sent + [link.sent[n % len(link.sent)] for n in doubled]
            random.Random(seed).shuffle(chunks)
            for chunk in chunks:
                receiver.add(chunk)
            sender.on_credit("peer", ChunkCredit(1, receiver.credit_limit), load=0)
        self.assertEqual(receiver.data(), data)
        self.assertEqual(sender.pending, 0)

    def test_a_sender_keeps_to_its_credit(self) -> None:
        link = _Link()
        sender = ChunkSender(link, ManualTimerService())
        sender.send("peer", 1, bytes(100 * CHUNK), load=0)
        self.assertEqual(len(link.sent), 8)
        sender.on_credit("someone else", ChunkCredit(1, 99), load=0)
        self.assertEqual(len(link.sent), 8)
        sender.on_credit("peer", ChunkCredit(1, 20), load=0)
        self.assertEqual(len(link.sent), 20)

    def test_an_answer_that_nobody_takes_is_forgotten(self) -> None:
        timers = ManualTimerService()
        sender = ChunkSender(_Link(), timers)
        sender.send("peer", 1, bytes(100 * CHUNK), load=0)
        timers.advance(31_000)
        self.assertEqual(sender.pending, 0)


class LargeAnswerTest(unittest.TestCase):
    def test_a_large_result_comes_whole_through_two_hosts(self) -> None:
        rig = Rig()
        for entry in rig.system.entries:
            with self.subTest(entry):
                answer = rig.read(entry, "generate", 3_000, 500)
                self.assertEqual(len(answer.rows), 3_000)
                self.assertEqual(answer.rows[2_999], (2_999, "x" * 500))

    def test_a_foreign_or_late_chunk_is_dropped_and_counted(self) -> None:
        rig = Rig()
        node = rig.system.entries["entry-1"]
        dropped = node.forwarder.dropped
        node.on_message("entry-4", AnswerChunk(12345, 0, True, 0, b"x"))
        self.assertEqual(node.forwarder.dropped, dropped + 1)
