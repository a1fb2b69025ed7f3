"""Sends large answers in chunks, as fast as the receiver takes them."""

from dataclasses import dataclass
from typing import Final

from azurerelay.forwarding._messages import AnswerChunk, ChunkCredit
from azurerelay.messages import Link
from azurerelay.timing import TimerService

CHUNK_BYTES: Final = 64 * 1024
INITIAL_CREDIT: Final = 8
SEND_TIMEOUT_MS: Final = 30_000.0


@dataclass(slots=True)
class _Sending:
    """An answer of which chunks are still to be sent."""

    data: bytes
    next_number: int = 0
    limit: int = INITIAL_CREDIT


class ChunkSender:
    """Keep each answer until its last chunk is sent or its receiver is gone."""

    def __init__(self, link: Link, timers: TimerService) -> None:
        self._link = link
        self._timers = timers
        self._sending: dict[tuple[str, int], _Sending] = {}

    @property
    def pending(self) -> int:
        """Answers that wait for credit."""
        return len(self._sending)

    def send(self, peer: str, request_id: int, data: bytes, load: int) -> None:
        """Send an answer, whole when it fits the initial credit."""
        key = (peer, request_id)
        self._sending[key] = _Sending(data)
        self._push(key, load)
        if key in self._sending:
            self._timers.call_later(
                SEND_TIMEOUT_MS, lambda: self._sending.pop(key, None)
            )

    def on_credit(self, peer: str, credit: ChunkCredit, load: int) -> None:
        """Send what the receiver now has room for."""
        key = (peer, credit.request_id)
        sending = self._sending.get(key)
        if sending is not None:
            sending.limit = max(sending.limit, credit.limit)
            self._push(key, load)

    def _push(self, key: tuple[str, int], load: int) -> None:
        peer, request_id = key
        sending = self._sending[key]
        last = max(0, (len(sending.data) - 1) // CHUNK_BYTES)
        while sending.next_number < sending.limit:
            number = sending.next_number
            start = number * CHUNK_BYTES
            data = sending.data[start : start + CHUNK_BYTES]
            is_last = number == last
            self._link.send(peer, AnswerChunk(request_id, number, is_last, load, data))
            sending.next_number += 1
            if is_last:
                del self._sending[key]
                return
