"""Requests over a link that are answered by a message with the same id."""

import itertools
from collections.abc import Callable
from typing import Any

from result import Result

from azurerelay.messages._link import Link
from azurerelay.timing import Promise, TimedOut, TimerService, spawn, within


class Requester:
    """Pair requests and replies by id; late and foreign replies are counted."""

    def __init__(self, link: Link, timers: TimerService, first_id: int) -> None:
        self._link = link
        self._timers = timers
        self._ids = itertools.count(first_id)
        self._pending: dict[int, tuple[str, Promise[Any]]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Replies that came late, twice or from the wrong host."""
        return self._dropped

    def call(
        self, peer: str, build: Callable[[int], Any], timeout_ms: float
    ) -> Promise[Result[Any, TimedOut]]:
        """Send `build(id)` and return the reply, or `TimedOut`."""
        return spawn(self._call(peer, build, timeout_ms))

    def on_reply(self, sender: str, request_id: int, reply: Any) -> None:
        """Resolve the request that a reply belongs to."""
        pending = self._pending.get(request_id)
        if pending is None or pending[0] != sender:
            self._dropped += 1
            return
        pending[1].resolve(reply)

    async def _call(
        self, peer: str, build: Callable[[int], Any], timeout_ms: float
    ) -> Result[Any, TimedOut]:
        request_id = next(self._ids)
        promise: Promise[Any] = Promise()
        self._pending[request_id] = (peer, promise)
        self._link.send(peer, build(request_id))
        outcome = await within(self._timers, promise, timeout_ms)
        del self._pending[request_id]
        return outcome
