"""Sends answers in chunks, with credit-based flow control by the receiver."""

from dataclasses import dataclass
from typing import Final

from azurerelay.forwarding._messages import AnswerChunk, ChunkCredit
from azurerelay.messages import Link
from azurerelay.timing import TimerService

CHUNK_BYTES: Final = 64 * 1024
# Chunks that may be sent before the receiver grants credit.
INITIAL_CREDIT: Final = 8
# An answer that is not sent completely within this time is discarded.
SEND_TIMEOUT_MS: Final = 30_000.0


@dataclass(slots=True)
class _OutgoingAnswer:
    """An encoded answer and the chunks of it that may be sent, those below `limit`."""

    data: bytes
    next_number: int = 0
    limit: int = INITIAL_CREDIT


class ChunkSender:
    """Keep each answer until its last chunk is sent or the send timeout has passed."""

    def __init__(self, link: Link, timers: TimerService) -> None:
        self._link = link
        self._timers = timers
        self._answers: dict[tuple[str, int], _OutgoingAnswer] = {}

    @property
    def pending_count(self) -> int:
        """Number of answers that wait for credit."""
        return len(self._answers)

    def send(self, peer: str, request_id: int, data: bytes, load: int) -> None:
        """Send as many chunks of an answer as the initial credit allows.

        `load` is the number of requests in progress on this host.
        """
        key = (peer, request_id)
        self._answers[key] = _OutgoingAnswer(data)
        self._send_allowed(key, load)
        if key in self._answers:
            self._timers.call_later(
                SEND_TIMEOUT_MS, lambda: self._answers.pop(key, None)
            )

    def on_credit(self, peer: str, credit: ChunkCredit, load: int) -> None:
        """Send the chunks that the receiver has granted credit for."""
        key = (peer, credit.request_id)
        answer = self._answers.get(key)
        if answer is not None:
            answer.limit = max(answer.limit, credit.limit)
            self._send_allowed(key, load)

    def _send_allowed(self, key: tuple[str, int], load: int) -> None:
        peer, request_id = key
        answer = self._answers[key]
        last_number = max(0, (len(answer.data) - 1) // CHUNK_BYTES)
        while answer.next_number < answer.limit:
            number = answer.next_number
            start = number * CHUNK_BYTES
            data = answer.data[start : start + CHUNK_BYTES]
            is_last = number == last_number
            self._link.send(peer, AnswerChunk(request_id, number, is_last, load, data))
            answer.next_number += 1
            if is_last:
                del self._answers[key]
                return
