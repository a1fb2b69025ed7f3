"""Forwards requests to serving hosts and assembles their answers."""

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
from azurerelay.timing import Promise, TimedOut, TimerService, with_timeout

# Weight of the newest report in the moving average of a host's load.
LOAD_SMOOTHING: Final = 0.3
# Part of the time limit that the serving host may not use, so that its answer can
# still arrive.
ANSWER_MARGIN_MS: Final = 50.0
ANSWER_DECODER: Final = msgspec.msgpack.Decoder(CallerAnswer)


@dataclass(slots=True)
class _PendingRequest:
    """A forwarded request whose answer is not complete yet."""

    peer: str
    receiver: ChunkReceiver
    promise: Promise[bytes]


class Forwarder:
    """Forward requests and match the chunks of answers to them by request id.

    Chunks that are late, duplicate or from another host than the request was sent to
    are dropped and counted.
    """

    def __init__(self, link: Link, timers: TimerService, first_id: int) -> None:
        self._link = link
        self._timers = timers
        self._ids = itertools.count(first_id)
        self._pending: dict[int, _PendingRequest] = {}
        self._reported_loads: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._dropped = 0
        self._forwarded = 0

    @property
    def dropped(self) -> int:
        """Number of answer chunks that were dropped."""
        return self._dropped

    @property
    def forwarded(self) -> int:
        """Number of requests that were forwarded."""
        return self._forwarded

    def estimated_load(self, peer: str) -> float:
        """Return an estimate of the requests in progress on a host.

        It is the moving average of what the host has reported, plus the requests
        from here that it has not answered yet.
        """
        return self._reported_loads.get(peer, 0.0) + self._unanswered.get(peer, 0)

    async def forward(
        self, peer: str, request: CallerRequest, timeout_ms: float
    ) -> Result[CallerAnswer, TimedOut]:
        """Send a request to a host and return its complete answer, or `TimedOut`."""
        request_id = next(self._ids)
        pending = _PendingRequest(peer, ChunkReceiver(), Promise())
        self._pending[request_id] = pending
        self._forwarded += 1
        self._unanswered[peer] = self._unanswered.get(peer, 0) + 1
        serving_timeout_ms = max(timeout_ms - ANSWER_MARGIN_MS, timeout_ms / 2)
        forwarded = replace(request, timeout_ms=serving_timeout_ms)
        self._link.send(peer, ForwardRequest(request_id, forwarded))
        outcome = await with_timeout(self._timers, pending.promise, timeout_ms)
        del self._pending[request_id]
        self._unanswered[peer] -= 1
        if isinstance(outcome, Err):
            return outcome
        return Ok(ANSWER_DECODER.decode(outcome.ok_value))

    def on_chunk(self, sender: str, chunk: AnswerChunk) -> None:
        """Add a chunk to its answer, and let the sender continue if more is to come."""
        pending = self._pending.get(chunk.request_id)
        if pending is None or pending.peer != sender:
            self._dropped += 1
            return
        load = self._reported_loads.get(sender, 0.0)
        self._reported_loads[sender] = load + LOAD_SMOOTHING * (chunk.load - load)
        receiver = pending.receiver
        dropped_before = receiver.dropped
        receiver.add(chunk)
        self._dropped += receiver.dropped - dropped_before
        if receiver.is_complete:
            pending.promise.resolve(receiver.data())
        elif not chunk.is_last:
            credit = ChunkCredit(chunk.request_id, receiver.credit_limit)
            self._link.send(sender, credit)
