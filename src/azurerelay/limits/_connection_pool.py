"""The connection pool of one serving host for one endpoint."""

from collections import deque
from typing import Final

from result import Err, Ok, Result

from azurerelay.endpoints import (
    EndpointConnection,
    EndpointFailure,
    EndpointPort,
    FailureKind,
)
from azurerelay.timing import Promise, TimerService, spawn, with_timeout

CONNECT_TIMEOUT_MS: Final = 1_000.0

ConnectionResult = Result[EndpointConnection, EndpointFailure]


class ConnectionPool:
    """A pool of connections, limited to this host's share of the endpoint.

    Only connections that were put back as clean are used again.
    """

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
        self._open_count = 0
        self._opening = 0
        self._waiters: deque[Promise[ConnectionResult]] = deque()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """The number of connections that are open or being opened."""
        return self._open_count

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    @property
    def capacity(self) -> int:
        """The maximum number of open connections."""
        return self._capacity

    def set_capacity(self, capacity: int) -> None:
        """Set the capacity; excess connections are closed once they are idle."""
        self._capacity = capacity
        while self._open_count > capacity and self._idle:
            self._close(self._idle.pop())

    async def acquire(self, timeout_ms: float) -> ConnectionResult:
        """Return an idle connection, or wait for one that is opened or put back.

        The failure is UNREACHABLE if none is available within `timeout_ms`, if the pool
        is closed or if `fail_waiters` is called, and otherwise that of `connect`.
        """
        if self._is_closed:
            return Err(EndpointFailure(FailureKind.UNREACHABLE, "pool is closed"))
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return Ok(connection)
            self._close(connection)
        waiter: Promise[ConnectionResult] = Promise()
        self._waiters.append(waiter)
        self.open_up_to(len(self._waiters))
        outcome = await with_timeout(self._timers, waiter, timeout_ms)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        self._remove_waiter(waiter)
        return Err(EndpointFailure(FailureKind.UNREACHABLE, "no connection in time"))

    def open_up_to(self, wanted: int) -> None:
        """Open connections until `wanted` are idle or opening, up to the capacity."""
        missing = wanted - len(self._idle) - self._opening
        room = self._capacity - self._open_count
        for _ in range(min(missing, room)):
            self._open_count += 1
            self._opening += 1
            spawn(self._open_connection())

    def put_back(self, connection: EndpointConnection, is_clean: bool) -> None:
        """Put a connection back; it is closed if not clean or above the capacity."""
        is_usable = is_clean and connection.is_open and not self._is_closed
        if not is_usable or self._open_count > self._capacity:
            self._close(connection)
            if self._waiters:
                self.open_up_to(len(self._waiters))
            return
        self._make_available(connection)

    def close_idle(self) -> None:
        """Close all idle connections; new ones are opened on demand."""
        while self._idle:
            self._close(self._idle.pop())

    def close(self) -> None:
        """Close idle connections and fail waiters; close others when put back."""
        self._is_closed = True
        while self._idle:
            self._close(self._idle.pop())
        self.fail_waiters("pool is closed")

    def fail_waiters(self, detail: str) -> None:
        """Fail all requests that wait for a connection."""
        waiting = self._waiters
        self._waiters = deque()
        failure = EndpointFailure(FailureKind.UNREACHABLE, detail)
        for waiter in waiting:
            waiter.resolve(Err(failure))

    def _make_available(self, connection: EndpointConnection) -> None:
        while self._waiters:
            if self._waiters.popleft().resolve(Ok(connection)):
                return
        self._idle.append(connection)

    async def _open_connection(self) -> None:
        outcome = await self._port.connect(self._address, CONNECT_TIMEOUT_MS)
        self._opening -= 1
        if isinstance(outcome, Ok):
            if self._is_closed:
                self._close(outcome.ok_value)
            else:
                self._make_available(outcome.ok_value)
            return
        self._open_count -= 1
        while self._waiters:
            if self._waiters.popleft().resolve(outcome):
                return

    def _remove_waiter(self, waiter: Promise[ConnectionResult]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _close(self, connection: EndpointConnection) -> None:
        self._open_count -= 1
        connection.close()
