"""The endpoint port over HTTP."""

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
    HttpLost,
    HttpResponse,
    as_future,
)
from azurerelay.timing import Promise, TimerService

MS_PER_S: Final = 1_000.0
IDLE_PER_ADDRESS: Final = 4


class HttpEndpointPort:
    """Reach endpoints by HTTP/1.1, one TCP connection for each opened one."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._protocols: set[HttpClientProtocol] = set()
        self._idle: dict[str, list[HttpClientProtocol]] = {}
        self._timers: TimerService | None = None

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return "endpoint port"

    @property
    def timers(self) -> TimerService:
        """The time of calls."""
        assert self._timers is not None
        return self._timers

    async def start(self) -> None:
        """Begin to take calls."""
        self._timers = AsyncioTimerService(asyncio.get_running_loop())

    async def drain(self) -> None:
        """Go on: the parts above end their calls first."""

    async def stop(self) -> None:
        """Close every connection."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for protocol in list(self._protocols):
            protocol.close()

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a connection."""
        promise: Promise[Result[EndpointConnection, EndpointFailure]] = Promise()
        self._run(self._connect(address, timeout_ms, promise))
        return promise

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a single call on a connection that is kept for the next ones."""
        idle = self._idle.get(address, [])
        while idle:
            protocol = idle.pop()
            if protocol.is_open:
                return self._request_on(protocol, address, call, timeout_ms)
        promise: Promise[CallResult] = Promise()
        self._run(self._request_anew(address, call, timeout_ms, promise))
        return promise

    async def _request_anew(
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
        answer = self._request_on(opened.ok_value, address, call, timeout_ms)
        answer.add_callback(lambda: promise.resolve(answer.value))

    def _request_on(
        self,
        protocol: HttpClientProtocol,
        address: str,
        call: EndpointCall,
        timeout_ms: float,
    ) -> Promise[CallResult]:
        def keep() -> None:
            idle = self._idle.setdefault(address, [])
            if protocol.is_open and len(idle) < IDLE_PER_ADDRESS:
                idle.append(protocol)
            else:
                protocol.close()

        answer = exchange(self.timers, protocol, address, call, timeout_ms)
        answer.add_callback(keep)
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
            promise.resolve(Err(_as_unsent(answer.err_value)))
            return
        if not promise.resolve(Ok(_HttpConnection(self.timers, protocol, address))):
            protocol.close()

    async def _open(
        self, address: str, timeout_ms: float
    ) -> Result[HttpClientProtocol, EndpointFailure]:
        host, _, port = address.rpartition(":")
        protocol = HttpClientProtocol(address, lambda: self._forget(protocol))
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(max(timeout_ms, 1.0) / MS_PER_S):
                await loop.create_connection(
                    lambda: protocol, host.strip("[]"), int(port)
                )
        except (OSError, ValueError) as error:
            detail = f"{address}: {error or 'no connection in time'}"
            return Err(EndpointFailure(FailureKind.UNREACHABLE, detail))
        self._protocols.add(protocol)
        return Ok(protocol)

    def _forget(self, protocol: HttpClientProtocol) -> None:
        self._protocols.discard(protocol)

    def _run(self, steps: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _HttpConnection:
    """One connection for statements; it closes itself when an answer is lost."""

    def __init__(
        self, timers: TimerService, protocol: HttpClientProtocol, address: str
    ) -> None:
        self._timers = timers
        self._protocol = protocol
        self._address = address

    @property
    def is_open(self) -> bool:
        """Whether another call may be made."""
        return self._protocol.is_open

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make one call."""
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
    """Make a call; on a time-out the connection is closed and not used again."""
    promise: Promise[CallResult] = Promise()
    path = f"/v1/calls/{CALL_PATHS[type(call)]}"
    response = protocol.post(path, encode_call(call))

    def expire() -> None:
        detail = f"{address}: no answer in time"
        promise.resolve(Err(EndpointFailure(FailureKind.TIMED_OUT, detail)))
        protocol.close()

    timer = timers.call_later(max(timeout_ms, 1.0), expire)
    response.add_callback(_finisher(promise, response, timer.cancel, address))
    return promise


def _finisher(
    promise: Promise[CallResult],
    response: Promise[HttpResponse | HttpLost],
    cancel: Callable[[], object],
    address: str,
) -> Callable[[], None]:
    def finish() -> None:
        cancel()
        received = response.value
        if isinstance(received, HttpLost):
            detail = f"{address}: {received.reason}"
            promise.resolve(Err(EndpointFailure(FailureKind.LOST, detail)))
            return
        promise.resolve(decode_result(received.status, received.body))

    return finish


def _as_unsent(failure: EndpointFailure) -> EndpointFailure:
    """Return a failed opening as one that has run no work."""
    if failure.has_surely_not_run:
        return failure
    return EndpointFailure(FailureKind.UNREACHABLE, failure.detail)
