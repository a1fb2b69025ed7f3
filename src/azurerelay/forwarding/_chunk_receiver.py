"""Assembles an answer from chunks that may be duplicate or out of order."""

from typing import Final

from azurerelay.forwarding._messages import AnswerChunk

# Limits an answer to 64 MiB, as senders use chunks of 64 KiB.
MAX_ANSWER_CHUNKS: Final = 1024
# The sender may be twice this many chunks ahead of those received without a gap.
HALF_WINDOW_CHUNKS: Final = 8


class ChunkReceiver:
    """Collect the chunks of one answer and compute the credit of its sender."""

    def __init__(self) -> None:
        self._chunks: dict[int, bytes] = {}
        self._last_number: int | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of chunks dropped as duplicate or out of range."""
        return self._dropped

    @property
    def is_complete(self) -> bool:
        """Whether every chunk has been received."""
        return (
            self._last_number is not None and len(self._chunks) == self._last_number + 1
        )

    @property
    def contiguous_count(self) -> int:
        """Number of chunks received without a gap, from the first one on."""
        count = 0
        while count in self._chunks:
            count += 1
        return count

    @property
    def credit_limit(self) -> int:
        """Chunk number below which the sender may send."""
        return self.contiguous_count + 2 * HALF_WINDOW_CHUNKS

    def add(self, chunk: AnswerChunk) -> None:
        """Store a chunk; drop and count one that is duplicate or out of range."""
        is_past_end = self._last_number is not None and chunk.number > self._last_number
        is_over_limit = chunk.number >= MAX_ANSWER_CHUNKS
        if chunk.number in self._chunks or is_past_end or is_over_limit:
            self._dropped += 1
            return
        self._chunks[chunk.number] = chunk.data
        if chunk.is_last:
            self._last_number = chunk.number

    def data(self) -> bytes:
        """Return the encoded answer; call it only once `is_complete`."""
        return b"".join(self._chunks[number] for number in sorted(self._chunks))
