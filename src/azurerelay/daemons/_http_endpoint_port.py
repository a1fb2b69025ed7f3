"""Calls to endpoints over HTTP."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.daemons._endpoint_wire import CALL_PATHS, decode_result, encode_call
from azurerelay.endpoints import (
    CallResult,
    ConnectCall,
    EndpointCall,
    EndpointConnection,
    EndpointFailure,
    FailureKind,
)
from azurerelay.runtime import (
    AsyncioTimerService,
    HttpClientProtocol,
    HttpRequestFailure,
    HttpResponse,
    as_future,
)
from azurerelay.timing import Promise, TimerService

MS_PER_S: Final = 1_000.0
MAX_IDLE_PER_ADDRESS: Final = 4


class HttpEndpointPort:
    """Implement `EndpointPort` over HTTP/1.1.

    Each opened connection has a TCP connection of its own. Single requests use other
    TCP connections, of which up to `MAX_IDLE_PER_ADDRESS` are kept open for each
    address.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._protocols: set[HttpClientProtocol] = set()
        self._idle: dict[str, list[HttpClientProtocol]] = {}
        self._timers: TimerService | None = None

    @property
    def name(self) -> str:
        """The component's name in log lines."""
        return "endpoint port"

    @property
    def timers(self) -> TimerService:
        """The timers for call timeouts; available only after `start`."""
        assert self._timers is not None
        return self._timers

    async def start(self) -> None:
        """Create the timers on the running event loop."""
        self._timers = AsyncioTimerService(asyncio.get_running_loop())

    async def drain(self) -> None:
        """Do nothing: the components that make calls finish theirs first."""

    async def stop(self) -> None:
        """Cancel pending connects and close every connection."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for protocol in list(self._protocols):
            protocol.close()

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a TCP connection and make the connect call on it."""
        promise: Promise[Result[EndpointConnection, EndpointFailure]] = Promise()
        self._start_task(self._connect(address, timeout_ms, promise))
        return promise

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a single call on an idle connection, or a new one if none is open."""
        idle = self._idle.get(address, [])
        while idle:
            protocol = idle.pop()
            if protocol.is_open:
                return self._request_on_connection(protocol, address, call, timeout_ms)
        promise: Promise[CallResult] = Promise()
        self._start_task(
            self._request_on_new_connection(address, call, timeout_ms, promise)
        )
        return promise

    async def _request_on_new_connection(
        self,
        address: str,
        call: EndpointCall,
        timeout_ms: float,
        promise: Promise[CallResult],
    ) -> None:
        opened = await self._open(address, timeout_ms)
        if isinstance(opened, Err):
            promise.resolve(opened)
            return
        answer = self._request_on_connection(opened.ok_value, address, call, timeout_ms)
        answer.add_callback(lambda: promise.resolve(answer.value))

    def _request_on_connection(
        self,
        protocol: HttpClientProtocol,
        address: str,
        call: EndpointCall,
        timeout_ms: float,
    ) -> Promise[CallResult]:
        def release() -> None:
            idle = self._idle.setdefault(address, [])
            if protocol.is_open and len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append(protocol)
            else:
                protocol.close()

        answer = exchange(self.timers, protocol, address, call, timeout_ms)
        answer.add_callback(release)
        return answer

    async def _connect(
        self,
        address: str,
        timeout_ms: float,
        promise: Promise[Result[EndpointConnection, EndpointFailure]],
    ) -> None:
        opened = await self._open(address, timeout_ms)
        if isinstance(opened, Err):
            promise.resolve(opened)
            return
        protocol = opened.ok_value
        answer = await as_future(
            exchange(self.timers, protocol, address, ConnectCall(), timeout_ms)
        )
        if isinstance(answer, Err):
            protocol.close()
            promise.resolve(Err(_as_unreachable(answer.err_value)))
            return
        if not promise.resolve(Ok(_HttpConnection(self.timers, protocol, address))):
            protocol.close()

    async def _open(
        self, address: str, timeout_ms: float
    ) -> Result[HttpClientProtocol, EndpointFailure]:
        host, _, port = address.rpartition(":")
        protocol = HttpClientProtocol(address, lambda: self._discard(protocol))
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(max(timeout_ms, 1.0) / MS_PER_S):
                await loop.create_connection(
                    lambda: protocol, host.strip("[]"), int(port)
                )
        except (OSError, ValueError, OverflowError) as error:
            detail = f"{address}: {error or 'no connection in time'}"
            return Err(EndpointFailure(FailureKind.UNREACHABLE, detail))
        self._protocols.add(protocol)
        return Ok(protocol)

    def _discard(self, protocol: HttpClientProtocol) -> None:
        self._protocols.discard(protocol)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _HttpConnection:
    """A connection for statements, closed once an answer is lost or late."""

    def __init__(
        self, timers: TimerService, protocol: HttpClientProtocol, address: str
    ) -> None:
        self._timers = timers
        self._protocol = protocol
        self._address = address

    @property
    def is_open(self) -> bool:
        """Whether the TCP connection is open."""
        return self._protocol.is_open

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make one call; UNREACHABLE if the connection is closed."""
        if not self._protocol.is_open:
            detail = f"{self._address}: connection is closed"
            return Promise.of(Err(EndpointFailure(FailureKind.UNREACHABLE, detail)))
        return exchange(self._timers, self._protocol, self._address, call, timeout_ms)

    def close(self) -> None:
        """Close the TCP connection."""
        self._protocol.close()


def exchange(
    timers: TimerService,
    protocol: HttpClientProtocol,
    address: str,
    call: EndpointCall,
    timeout_ms: float,
) -> Promise[CallResult]:
    """Make a call; on a timeout, fail with TIMED_OUT and close the connection."""
    promise: Promise[CallResult] = Promise()
    path = f"/v1/calls/{CALL_PATHS[type(call)]}"
    response = protocol.post(path, encode_call(call))

    def expire() -> None:
        detail = f"{address}: no answer in time"
        promise.resolve(Err(EndpointFailure(FailureKind.TIMED_OUT, detail)))
        protocol.close()

    timer = timers.call_later(max(timeout_ms, 1.0), expire)
    response.add_callback(_response_callback(promise, response, timer.cancel, address))
    return promise


def _response_callback(
    promise: Promise[CallResult],
    response: Promise[HttpResponse | HttpRequestFailure],
    cancel: Callable[[], object],
    address: str,
) -> Callable[[], None]:
    """Return a callback that decodes the response into the promise."""

    def finish() -> None:
        cancel()
        received = response.value
        if isinstance(received, HttpRequestFailure):
            detail = f"{address}: {received.reason}"
            promise.resolve(Err(EndpointFailure(FailureKind.LOST, detail)))
            return
        promise.resolve(decode_result(received.status, received.body))

    return finish


def _as_unreachable(failure: EndpointFailure) -> EndpointFailure:
    """Return the failure of a connect call, UNREACHABLE if its answer was lost or late.

    No statement has been sent yet, so none can have run.
    """
    if failure.guarantees_not_run:
        return failure
    return EndpointFailure(FailureKind.UNREACHABLE, failure.detail)
