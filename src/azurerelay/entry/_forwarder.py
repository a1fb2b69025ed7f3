"""Passes requests on to serving hosts and assembles their answers."""

import itertools
from dataclasses import dataclass, replace
from typing import Final

import msgspec
from result import Err, Ok, Result

from azurerelay.forwarding import (
    AnswerChunk,
    ChunkCredit,
    ChunkReceiver,
    ForwardRequest,
)
from azurerelay.messages import Link
from azurerelay.requests import CallerAnswer, CallerRequest
from azurerelay.timing import Promise, TimedOut, TimerService, within

LOAD_SMOOTHING: Final = 0.3
ANSWER_MARGIN_MS: Final = 50.0
ANSWER_DECODER: Final = msgspec.msgpack.Decoder(CallerAnswer)


@dataclass(slots=True)
class _Pending:
    """A request whose answer has not come whole."""

    peer: str
    receiver: ChunkReceiver
    promise: Promise[bytes]


class Forwarder:
    """Forward requests; late, doubled and foreign chunks are dropped and counted."""

    def __init__(self, link: Link, timers: TimerService, first_id: int) -> None:
        self._link = link
        self._timers = timers
        self._ids = itertools.count(first_id)
        self._pending: dict[int, _Pending] = {}
        self._loads: dict[str, float] = {}
        self._outstanding: dict[str, int] = {}
        self._dropped = 0
        self._forwarded = 0

    @property
    def dropped(self) -> int:
        """Chunks that were dropped."""
        return self._dropped

    @property
    def forwarded(self) -> int:
        """Requests that were passed on."""
        return self._forwarded

    def load(self, peer: str) -> float:
        """Return a host's requests in work as last reported, and ours with it."""
        return self._loads.get(peer, 0.0) + self._outstanding.get(peer, 0)

    async def forward(
        self, peer: str, request: CallerRequest, timeout_ms: float
    ) -> Result[CallerAnswer, TimedOut]:
        """Return the whole answer, or `TimedOut`."""
        request_id = next(self._ids)
        pending = _Pending(peer, ChunkReceiver(), Promise())
        self._pending[request_id] = pending
        self._forwarded += 1
        self._outstanding[peer] = self._outstanding.get(peer, 0) + 1
        # The serving host gives up first, so that its answer still arrives.
        inner_ms = max(timeout_ms - ANSWER_MARGIN_MS, timeout_ms / 2)
        passed_on = replace(request, timeout_ms=inner_ms)
        self._link.send(peer, ForwardRequest(request_id, passed_on))
        outcome = await within(self._timers, pending.promise, timeout_ms)
        del self._pending[request_id]
        self._outstanding[peer] -= 1
        if isinstance(outcome, Err):
            return outcome
        return Ok(ANSWER_DECODER.decode(outcome.ok_value))

    def on_chunk(self, sender: str, chunk: AnswerChunk) -> None:
        """Take a chunk of an answer."""
        pending = self._pending.get(chunk.request_id)
        if pending is None or pending.peer != sender:
            self._dropped += 1
            return
        load = self._loads.get(sender, 0.0)
        self._loads[sender] = load + LOAD_SMOOTHING * (chunk.load - load)
        receiver = pending.receiver
        dropped = receiver.dropped
        receiver.add(chunk)
        self._dropped += receiver.dropped - dropped
        if receiver.is_complete:
            pending.promise.resolve(receiver.data())
        elif not chunk.is_last:
            credit = ChunkCredit(chunk.request_id, receiver.credit_limit)
            self._link.send(sender, credit)
