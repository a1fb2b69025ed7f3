"""The endpoint port over HTTP."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp
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
from azurerelay.timing import Promise

_MS_PER_S = 1_000.0
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.InvalidURL)


class HttpEndpointPort:
    """Reach endpoints by HTTP/1.1, one TCP connection for each opened one."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[_HttpConnection] = set()

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return "endpoint port"

    async def start(self) -> None:
        """Open the session for single requests."""
        self._session = _new_session(limit=0)

    async def drain(self) -> None:
        """Go on: the parts above end their calls first."""

    async def stop(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a connection."""
        promise: Promise[Result[EndpointConnection, EndpointFailure]] = Promise()
        self.run(self._connect(address, timeout_ms, promise))
        return promise

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a single call."""
        promise: Promise[CallResult] = Promise()
        assert self._session is not None
        self.run(_exchange(self._session, address, call, timeout_ms, promise))
        return promise

    def run(self, steps: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task of this port."""
        task = asyncio.get_running_loop().create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def forget(self, connection: "_HttpConnection") -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)

    async def _connect(
        self,
        address: str,
        timeout_ms: float,
        promise: Promise[Result[EndpointConnection, EndpointFailure]],
    ) -> None:
        connection = _HttpConnection(self, address)
        opened: Promise[CallResult] = Promise()
        await _exchange(connection.session, address, ConnectCall(), timeout_ms, opened)
        outcome = opened.value
        if isinstance(outcome, Err):
            connection.close()
            promise.resolve(Err(_as_unsent(outcome.err_value)))
            return
        self._connections.add(connection)
        if not promise.resolve(Ok(connection)):
            connection.close()


class _HttpConnection:
    """One TCP connection; it closes itself when an answer is lost or late."""

    def __init__(self, port: HttpEndpointPort, address: str) -> None:
        self._port = port
        self._address = address
        self._session = _new_session(limit=1)
        self._is_open = True

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session that holds the connection."""
        return self._session

    @property
    def is_open(self) -> bool:
        """Whether another call may be made."""
        return self._is_open

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make one call."""
        promise: Promise[CallResult] = Promise()
        if not self._is_open:
            detail = f"{self._address}: connection is closed"
            promise.resolve(Err(EndpointFailure(FailureKind.UNREACHABLE, detail)))
            return promise
        self._port.run(self._call(call, timeout_ms, promise))
        return promise

    def close(self) -> None:
        """Close the TCP connection."""
        if self._is_open:
            self._is_open = False
            self._port.forget(self)
            self._port.run(self._session.close())

    async def _call(
        self, call: EndpointCall, timeout_ms: float, promise: Promise[CallResult]
    ) -> None:
        outcome: Promise[CallResult] = Promise()
        await _exchange(self._session, self._address, call, timeout_ms, outcome)
        result = outcome.value
        if isinstance(result, Err) and _ends_connection(result.err_value):
            self.close()
        promise.resolve(result)


def _new_session(limit: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=limit, keepalive_timeout=3_600.0)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


async def _exchange(
    session: aiohttp.ClientSession,
    address: str,
    call: EndpointCall,
    timeout_ms: float,
    promise: Promise[CallResult],
) -> None:
    url = f"http://{address}/v1/calls/{CALL_PATHS[type(call)]}"
    timeout = aiohttp.ClientTimeout(total=max(timeout_ms, 1.0) / _MS_PER_S)
    try:
        async with session.post(
            url, data=encode_call(call), timeout=timeout
        ) as response:
            outcome = decode_result(response.status, await response.read())
    except _CONNECT_ERRORS as error:
        outcome = _failure(FailureKind.UNREACHABLE, address, error)
    except TimeoutError as error:
        outcome = _failure(FailureKind.TIMED_OUT, address, error)
    except (aiohttp.ClientError, OSError) as error:
        outcome = _failure(FailureKind.LOST, address, error)
    except asyncio.CancelledError:
        promise.resolve(Err(EndpointFailure(FailureKind.LOST, f"{address}: stopped")))
        raise
    promise.resolve(outcome)


def _failure(kind: FailureKind, address: str, error: BaseException) -> CallResult:
    detail = str(error) or type(error).__name__
    return Err(EndpointFailure(kind, f"{address}: {detail}"))


def _as_unsent(failure: EndpointFailure) -> EndpointFailure:
    """Return a failed opening as one that has run no work."""
    if failure.has_surely_not_run:
        return failure
    return EndpointFailure(FailureKind.UNREACHABLE, failure.detail)


def _ends_connection(failure: EndpointFailure) -> bool:
    return not failure.has_surely_not_run or failure.kind is FailureKind.UNREACHABLE
