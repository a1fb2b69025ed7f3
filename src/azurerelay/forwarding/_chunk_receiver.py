"""Assembles an answer from chunks that may be doubled or out of order."""

from typing import Final

from azurerelay.forwarding._messages import AnswerChunk

MAX_ANSWER_CHUNKS: Final = 1024
CREDIT_STEP: Final = 8


class ChunkReceiver:
    """Collect the chunks of one answer; each number counts once."""

    def __init__(self) -> None:
        self._parts: dict[int, bytes] = {}
        self._last: int | None = None
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Chunks that came twice or lie outside the answer."""
        return self._dropped

    @property
    def is_complete(self) -> bool:
        """Whether every chunk has come."""
        return self._last is not None and len(self._parts) == self._last + 1

    @property
    def contiguous(self) -> int:
        """How many chunks from the first on have come without a gap."""
        count = 0
        while count in self._parts:
            count += 1
        return count

    @property
    def credit_limit(self) -> int:
        """Up to which number the sender may go on."""
        return self.contiguous + 2 * CREDIT_STEP

    def add(self, chunk: AnswerChunk) -> None:
        """Take a chunk; a doubled or impossible one is dropped and counted."""
        is_outside = self._last is not None and chunk.number > self._last
        is_too_far = chunk.number >= MAX_ANSWER_CHUNKS
        if chunk.number in self._parts or is_outside or is_too_far:
            self._dropped += 1
            return
        self._parts[chunk.number] = chunk.data
        if chunk.is_last:
            self._last = chunk.number

    def data(self) -> bytes:
        """Return the whole answer; only once it is complete."""
        return b"".join(self._parts[number] for number in sorted(self._parts))
