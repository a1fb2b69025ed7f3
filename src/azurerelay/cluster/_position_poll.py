"""Repeated queries for the positions that the endpoints of a group have received."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from azurerelay.discovery import Announcement
from azurerelay.statements import Position
from azurerelay.timing import Promise, TimerService, sleep, spawn

# Longer than the queue of a busy endpoint usually takes. A query without an answer is
# repeated over a new connection, which waits in the same queue, so the time is doubled.
FIRST_QUERY_TIMEOUT_MS: Final = 700.0
MAX_QUERY_TIMEOUT_MS: Final = 2_800.0
QUERY_RETRY_DELAY_MS: Final = 100.0

PositionQuery = Callable[[Announcement, float], Promise[Position | None]]


class PositionPoll:
    """Queries endpoints for their positions until each of them has answered.

    `query` takes an endpoint and a timeout in milliseconds, at first
    `first_timeout_ms`.
    """

    def __init__(
        self,
        query: PositionQuery,
        timers: TimerService,
        first_timeout_ms: float = FIRST_QUERY_TIMEOUT_MS,
    ) -> None:
        self._query = query
        self._timers = timers
        self._first_timeout_ms = first_timeout_ms
        self._slowest_answer_ms = 0.0
        self._received: dict[str, Position] = {}
        self._endpoints: dict[tuple[str, int], Announcement] = {}
        self._polled: set[tuple[str, int]] = set()
        self._next_answer: Promise[None] = Promise()

    @property
    def received(self) -> Mapping[str, Position]:
        """The positions stated so far, by endpoint."""
        return self._received

    @property
    def slowest_answer_ms(self) -> float:
        """The longest time that an answered query has taken."""
        return self._slowest_answer_ms

    @property
    def next_answer(self) -> Promise[None]:
        """A promise that is resolved with the next answer."""
        return self._next_answer

    def set_endpoints(self, endpoints: Iterable[Announcement]) -> None:
        """Query these endpoints, and stop to query any other.

        An answer of an endpoint counts until another incarnation of it is queried.
        """
        wanted = {(e.endpoint, e.incarnation): e for e in endpoints}
        started = wanted.keys() - self._endpoints.keys()
        self._endpoints = wanted
        for key in sorted(started):
            self._received.pop(key[0], None)
            self._start(key)

    def query_again(self, name: str) -> None:
        """Query an endpoint that has answered once more, after a delay."""
        for key in list(self._endpoints):
            if key[0] == name and key not in self._polled:
                self._start(key, QUERY_RETRY_DELAY_MS)

    def stop(self) -> None:
        """Stop all queries."""
        self._endpoints = {}

    def _start(self, key: tuple[str, int], delay_ms: float = 0.0) -> None:
        self._polled.add(key)
        spawn(self._poll(key, delay_ms)).add_callback(lambda: self._polled.discard(key))

    async def _poll(self, key: tuple[str, int], delay_ms: float) -> None:
        if delay_ms:
            await sleep(self._timers, delay_ms)
        timeout_ms = self._first_timeout_ms
        while key in self._endpoints:
            started_ms = self._timers.now_ms()
            position = await self._query(self._endpoints[key], timeout_ms)
            duration_ms = self._timers.now_ms() - started_ms
            if position is not None:
                self._slowest_answer_ms = max(self._slowest_answer_ms, duration_ms)
                self._received[key[0]] = position
                answered, self._next_answer = self._next_answer, Promise()
                answered.resolve(None)
                return
            if duration_ms >= timeout_ms:
                timeout_ms = max(timeout_ms, min(2 * timeout_ms, MAX_QUERY_TIMEOUT_MS))
            await sleep(self._timers, QUERY_RETRY_DELAY_MS)
