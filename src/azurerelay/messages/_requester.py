"""Request and reply over a link, matched by request id."""

import itertools
from collections.abc import Callable
from typing import Any

from result import Result

from azurerelay.messages._link import Link
from azurerelay.timing import Promise, TimedOut, TimerService, spawn, with_timeout


class Requester:
    """Send requests and match replies to them by id.

    Replies that are late, duplicate or from another host than the request was sent to
    are dropped and counted.
    """

    def __init__(self, link: Link, timers: TimerService, first_id: int) -> None:
        self._link = link
        self._timers = timers
        self._ids = itertools.count(first_id)
        self._pending: dict[int, tuple[str, Promise[Any]]] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of replies that were dropped."""
        return self._dropped

    def call(
        self, peer: str, build_request: Callable[[int], Any], timeout_ms: float
    ) -> Promise[Result[Any, TimedOut]]:
        """Send the request built for a new id; return its reply, or `TimedOut`."""
        return spawn(self._call(peer, build_request, timeout_ms))

    def on_reply(self, sender: str, request_id: int, reply: Any) -> None:
        """Hand a reply to the pending request with its id, or drop it."""
        pending = self._pending.get(request_id)
        if pending is None or pending[0] != sender:
            self._dropped += 1
            return
        pending[1].resolve(reply)

    async def _call(
        self, peer: str, build_request: Callable[[int], Any], timeout_ms: float
    ) -> Result[Any, TimedOut]:
        request_id = next(self._ids)
        promise: Promise[Any] = Promise()
        self._pending[request_id] = (peer, promise)
        self._link.send(peer, build_request(request_id))
        outcome = await with_timeout(self._timers, promise, timeout_ms)
        del self._pending[request_id]
        return outcome
