"""Connections of one serving host to one endpoint."""

from collections import deque
from typing import Final

from result import Err, Ok, Result

from azurerelay.endpoints import (
    EndpointConnection,
    EndpointFailure,
    EndpointPort,
    FailureKind,
)
from azurerelay.timing import Promise, TimerService, spawn, within

CONNECT_TIMEOUT_MS: Final = 1_000.0

ConnectionResult = Result[EndpointConnection, EndpointFailure]


class ConnectionPool:
    """Hand out connections that are known to be clean, up to the host's share."""

    def __init__(
        self,
        port: EndpointPort,
        timers: TimerService,
        address: str,
        capacity: int,
    ) -> None:
        self._port = port
        self._timers = timers
        self._address = address
        self._capacity = capacity
        self._idle: list[EndpointConnection] = []
        self._open = 0
        self._opening = 0
        self._waiting: deque[Promise[ConnectionResult]] = deque()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    @property
    def idle_count(self) -> int:
        """Connections that are open and unused."""
        return len(self._idle)

    @property
    def capacity(self) -> int:
        """The most connections that may be open."""
        return self._capacity

    def set_capacity(self, capacity: int) -> None:
        """Change the share; connections above it are closed as they come back."""
        self._capacity = capacity
        while self._open > capacity and self._idle:
            self._close(self._idle.pop())

    async def acquire(self, timeout_ms: float) -> ConnectionResult:
        """Return a clean connection, opening one where the share allows it."""
        if self._is_closed:
            return Err(EndpointFailure(FailureKind.UNREACHABLE, "pool is closed"))
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return Ok(connection)
            self._close(connection)
        waiter: Promise[ConnectionResult] = Promise()
        self._waiting.append(waiter)
        self.open_ahead(len(self._waiting))
        outcome = await within(self._timers, waiter, timeout_ms)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        self._abandon(waiter)
        return Err(EndpointFailure(FailureKind.UNREACHABLE, "no connection in time"))

    def open_ahead(self, wanted: int) -> None:
        """Open connections until `wanted` are idle or opening, within the share."""
        missing = wanted - len(self._idle) - self._opening
        room = self._capacity - self._open
        for _ in range(min(missing, room)):
            self._open += 1
            self._opening += 1
            spawn(self._open_one())

    def put_back(self, connection: EndpointConnection, is_clean: bool) -> None:
        """Take a connection back; one that is not clean is closed."""
        is_usable = is_clean and connection.is_open and not self._is_closed
        if not is_usable or self._open > self._capacity:
            self._close(connection)
            if self._waiting:
                self.open_ahead(len(self._waiting))
            return
        self._offer(connection)

    def release_idle(self) -> None:
        """Close all unused connections; more are opened when work needs them."""
        while self._idle:
            self._close(self._idle.pop())

    def close(self) -> None:
        """Close all idle connections now and the others as they come back."""
        self._is_closed = True
        while self._idle:
            self._close(self._idle.pop())
        self.fail_waiters("pool is closed")

    def fail_waiters(self, detail: str) -> None:
        """Tell everybody who waits for a connection that none will come."""
        waiting = self._waiting
        self._waiting = deque()
        failure = EndpointFailure(FailureKind.UNREACHABLE, detail)
        for waiter in waiting:
            waiter.resolve(Err(failure))

    def _offer(self, connection: EndpointConnection) -> None:
        while self._waiting:
            if self._waiting.popleft().resolve(Ok(connection)):
                return
        self._idle.append(connection)

    async def _open_one(self) -> None:
        outcome = await self._port.connect(self._address, CONNECT_TIMEOUT_MS)
        self._opening -= 1
        if isinstance(outcome, Ok):
            if self._is_closed:
                self._close(outcome.ok_value)
            else:
                self._offer(outcome.ok_value)
            return
        self._open -= 1
        while self._waiting:
            if self._waiting.popleft().resolve(outcome):
                return

    def _abandon(self, waiter: Promise[ConnectionResult]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def _close(self, connection: EndpointConnection) -> None:
        self._open -= 1
        connection.close()
