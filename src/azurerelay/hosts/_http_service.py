"""A minimal HTTP/1.1 server on top of the httptools parser.

aiohttp's server would take a third of an entry host's start time and memory.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import httptools
from absl import logging

from azurerelay.budgets import FREE_BYTES, PIECE_BYTES, ConnectionBudget
from azurerelay.hosts._resource_limits import (
    DESCRIPTORS,
    MEMORY,
    ResourceLimits,
    unlimited_resources,
)
from azurerelay.hosts._sockets import set_socket_options, split_address
from azurerelay.runtime import accept_queued, open_listener

# Large enough for a configuration with thousands of routes.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_TARGET_BYTES: Final = 16 * 1024  # the longest names in a path take a quarter
# A body is counted in steps, as it arrives.
BODY_STEP_BYTES: Final = 1024 * 1024
# Requests that a client has sent ahead; each takes a task. No known client sends any.
MAX_PIPELINED_REQUESTS: Final = 64
REQUEST_BYTES: Final = 4 * 1024  # a request and its task, without the body
LISTEN_BACKLOG: Final = 100
# The event loop accepts up to this many connections before it handles one of them.
ACCEPT_BATCH: Final = 16
# A draining service closes an idle connection once it has been quiet for this long. A
# client that has just connected may be about to send its request.
QUIET_BEFORE_CLOSE_S: Final = 0.25
CLOSE_POLL_S: Final = 0.01
# How often a stopping service looks whether its last responses have been sent. Not a
# time: a process that gets no processor time needs these turns as well.
FLUSH_POLLS: Final = 30
_STATUS_TEXT: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    414: "URI Too Long",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; `path` excludes the query string, which is `query`."""

    method: str
    path: str
    body: bytes
    query: str = ""


@dataclass(frozen=True, slots=True)
class HttpServerResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


# Clients retry on another host after this response.
UNAVAILABLE: Final = HttpServerResponse(503)

Handler = Callable[[HttpRequest], Awaitable[HttpServerResponse]]


class _ServiceState:
    """The handler, the connections and the phase of one service."""

    def __init__(
        self,
        name: str,
        handler: Handler,
        resources: ResourceLimits,
        keeps_bodies: bool,
    ) -> None:
        self.name = name
        self.handler = handler
        self.resources = resources
        self.keeps_bodies = keeps_bodies
        self.admitted: ConnectionBudget[_HttpProtocol] = ConnectionBudget(
            resources.limits.max_http_connections
        )
        # The data of one piece, which is processed before another one is read.
        self.piece = memoryview(bytearray(PIECE_BYTES))
        self.connections: set[_HttpProtocol] = set()
        self.is_draining = False
        self.is_stopped = False


class _HttpProtocol(asyncio.BufferedProtocol):
    """One client connection; responses are sent in the order of the requests."""

    def __init__(self, state: _ServiceState) -> None:
        self._state = state
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = b""
        self._body_parts: list[bytes] = []
        self._body_length = 0
        self._account = state.resources.budget.open_account(self)
        self._unanswered_bytes = 0
        self._unsent_bytes = 0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._unanswered: set[asyncio.Future[HttpServerResponse]] = set()
        self._last_response_task: asyncio.Task[None] | None = None
        self._last_received_s = _now_s()
        self._is_receiving = False
        self._is_rejected = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._state.connections.add(self)
        set_socket_options(transport.get_extra_info("socket"))
        if self._account.is_limited:
            transport.set_write_buffer_limits(high=FREE_BYTES)
        surplus = self._state.admitted.add(self)
        if surplus is not None:
            self._state.resources.report_dropped(self._state.name, DESCRIPTORS)
            surplus.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection; its requests are still handled to the end."""
        self._state.connections.discard(self)
        self._state.admitted.remove(self)
        self._body_parts = []
        self._account.close(self._unanswered_bytes)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next piece is read into."""
        return self._state.piece

    def buffer_updated(self, nbytes: int) -> None:
        """Process the piece that has been read."""
        self.data_received(bytes(self._state.piece[:nbytes]))

    def pause_writing(self) -> None:
        """Read no further requests until the client has read its responses."""
        self._is_writing_paused = True
        self._update_account()

    def resume_writing(self) -> None:
        """Read on."""
        self._is_writing_paused = False
        self._update_account()

    def measure_bytes(self) -> int:
        """Count what the client has read since the last time."""
        if self._is_writing_paused:
            self._update_account()
        if self._unanswered:
            self._account.moved += 1
        return self._account.held - self._unanswered_bytes

    def on_bytes_granted(self) -> None:
        """Read on."""
        self._update_account()

    def close_for_bytes(self) -> None:
        """Close the connection, since others wait for the memory that it holds."""
        self._state.resources.report_dropped(
            self._state.name, MEMORY, self._account.held
        )
        self._account.shrink(self._unanswered_bytes)
        if self._is_receiving and not self._is_writing_paused:
            self._reject(UNAVAILABLE)
        else:
            self.abort()

    def _update_account(self) -> None:
        """Hold what the connection needs to read on; pause reading until it may."""
        account, transport = self._account, self._transport
        unsent = 0
        if self._is_writing_paused and transport is not None:
            unsent = transport.get_write_buffer_size()
            account.moved += max(0, self._unsent_bytes - unsent)
        self._unsent_bytes = unsent
        body = 0 if self._is_rejected else self._body_length
        existing = unsent + self._unanswered_bytes
        is_small = existing + body <= FREE_BYTES and not self._is_reading_paused
        if is_small and not account.held and not account.wanted:
            return
        if transport is None or transport.is_closing():
            account.shrink(existing)
            return
        if body > FREE_BYTES and self._state.keeps_bodies:
            # The parts of a body are joined, and it is decoded, at its end.
            steps = body // BODY_STEP_BYTES + 1
            needed = existing + 2 * min(steps * BODY_STEP_BYTES, MAX_BODY_BYTES)
        else:
            needed = existing if existing > FREE_BYTES else 0
        is_granted = account.reserve(needed)
        pauses = not is_granted or (self._is_writing_paused and account.is_limited)
        if pauses != self._is_reading_paused:
            self._is_reading_paused = pauses
            if pauses:
                transport.pause_reading()
            else:
                transport.resume_reading()
        if not is_granted:
            # Last, since it may grant what this connection waits for.
            account.charge(max(existing, account.held))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed input with status 400."""
        if self._is_rejected:
            return
        self._last_received_s = _now_s()
        self._account.moved += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(HttpServerResponse(400))
        self._update_account()

    def on_message_begin(self) -> None:
        """Record that a request has begun to arrive; called by the parser."""
        self._is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; called by the parser."""
        if len(self._path) + len(url) > MAX_TARGET_BYTES:
            self._reject(HttpServerResponse(414))
        elif not self._is_rejected:
            self._path += url

    def on_body(self, data: bytes) -> None:
        """Append a part of the body if it is not too large; called by the parser."""
        self._body_length += len(data)
        if self._body_length > MAX_BODY_BYTES:
            self._reject(HttpServerResponse(413))
        elif self._state.keeps_bodies and not self._is_rejected:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Start handling a complete request; called by the parser."""
        self._is_receiving = False
        if self._is_rejected:
            return
        if self._state.is_stopped or len(self._unanswered) >= MAX_PIPELINED_REQUESTS:
            self._reject(UNAVAILABLE)
            return
        self._state.admitted.mark_busy(self)
        path, _, query = self._path.decode(errors="replace").partition("?")
        request = HttpRequest(
            self._parser.get_method().decode(),
            path,
            b"".join(self._body_parts),
            query,
        )
        keep_alive = self._parser.should_keep_alive()
        self._path, self._body_parts, self._body_length = b"", [], 0
        cost = REQUEST_BYTES + 2 * len(request.body)
        self._queue_response(self._state.handler(request), keep_alive, cost)

    def close_if_quiet(self, quiet_s: float) -> None:
        """Close the connection if it is idle and has been quiet for this long."""
        is_idle = not (self._unanswered or self._is_receiving)
        if is_idle and _now_s() - self._last_received_s >= quiet_s:
            self._close()

    def finish(self) -> None:
        """Answer the requests in progress with status 503, then close the connection.

        Responses that are ready are sent as they are.
        """
        for handling in self._unanswered:
            handling.cancel()
        if self._is_receiving:
            self._reject(UNAVAILABLE)
        elif not self._unanswered:
            self._close()

    def abort(self) -> None:
        """Close the connection without sending the rest of a response."""
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def _reject(self, response: HttpServerResponse) -> None:
        """Send an error after all earlier responses, then close the connection."""
        if self._is_rejected:
            return
        self._is_rejected = True
        self._body_parts, self._body_length, self._path = [], 0, b""
        ready = asyncio.get_running_loop().create_future()
        ready.set_result(response)
        self._queue_response(ready, False)

    def _queue_response(
        self,
        response: Awaitable[HttpServerResponse],
        keep_alive: bool,
        cost: int = 0,
    ) -> None:
        self._unanswered_bytes += cost
        handling = asyncio.ensure_future(response)
        self._unanswered.add(handling)
        self._last_response_task = asyncio.get_running_loop().create_task(
            self._respond_in_order(handling, keep_alive, self._last_response_task, cost)
        )

    async def _respond_in_order(
        self,
        handling: "asyncio.Future[HttpServerResponse]",
        keep_alive: bool,
        previous_task: "asyncio.Task[None] | None",
        cost: int,
    ) -> None:
        await asyncio.wait((handling,))
        if previous_task is not None:
            await asyncio.wait((previous_task,))
        self._unanswered.discard(handling)
        is_last = not (self._unanswered or self._is_receiving)
        closes = not keep_alive or (self._state.is_draining and is_last)
        self._write_response(_response_of(handling), not closes)
        self._unanswered_bytes -= cost
        if not self._unanswered:
            self._state.admitted.mark_idle(self)
        if self._account.held or self._account.wanted:
            self._update_account()

    def _write_response(self, response: HttpServerResponse, keep_alive: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        lines = [
            f"HTTP/1.1 {response.status} {_STATUS_TEXT.get(response.status, 'Status')}",
            f"Content-Type: {response.content_type}",
            f"Content-Length: {len(response.body)}",
            *(f"{name}: {value}" for name, value in response.headers.items()),
        ]
        if not keep_alive:
            lines.append("Connection: close")
        transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + response.body)
        if not keep_alive:
            transport.close()


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _response_of(handling: "asyncio.Future[HttpServerResponse]") -> HttpServerResponse:
    """Return a handler's response; 503 if it was cancelled, 500 if it raised."""
    if handling.cancelled():
        return UNAVAILABLE
    error = handling.exception()
    if error is None:
        return handling.result()
    logging.error("unexpected error while handling an HTTP request", exc_info=error)
    return HttpServerResponse(500)


class HttpService:
    """HTTP server that passes all requests on one address to one handler."""

    def __init__(
        self,
        name: str,
        address: str,
        handler: Handler,
        resources: ResourceLimits | None = None,
        keeps_bodies: bool = True,
    ) -> None:
        self._name = name
        self._address = address
        if resources is None:
            resources = unlimited_resources()
        self._state = _ServiceState(name, handler, resources, keeps_bodies)
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None

    @property
    def name(self) -> str:
        """The name of this component."""
        return self._name

    async def start(self) -> None:
        """Bind the address and start serving."""
        self._listener = open_listener(*split_address(self._address))
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol, sock=self._listener, backlog=ACCEPT_BATCH
        )
        self._listener.listen(LISTEN_BACKLOG)

    async def drain(self, limit_s: float) -> None:
        """Accept no new connections, and close the open ones once they are idle.

        Requests are answered as before. Connections that the kernel has accepted are
        served, too: their clients may have sent a request. Return when no connection
        is left or the limit is over.
        """
        self._state.is_draining = True
        await self._stop_accepting()
        deadline_s = _now_s() + limit_s
        while self._state.connections and _now_s() < deadline_s:
            # Requests that have arrived meanwhile are read first.
            await asyncio.sleep(CLOSE_POLL_S)
            for connection in list(self._state.connections):
                connection.close_if_quiet(QUIET_BEFORE_CLOSE_S)

    async def stop(self) -> None:
        """Answer requests in progress with status 503, and close all connections."""
        self._state.is_draining = True
        await self._stop_accepting()
        # Requests that the kernel has received are read meanwhile.
        await asyncio.sleep(CLOSE_POLL_S)
        self._state.is_stopped = True
        for connection in list(self._state.connections):
            connection.finish()
        for _ in range(FLUSH_POLLS):
            if self._state.connections:
                await asyncio.sleep(CLOSE_POLL_S)
        for connection in list(self._state.connections):
            connection.abort()

    async def _stop_accepting(self) -> None:
        """Accept the connections in the queue of the kernel, and close the socket."""
        if self._server is None or self._listener is None:
            return
        loop = asyncio.get_running_loop()
        accepted = accept_queued(self._listener)
        self._server.close()
        self._server = None
        for client in accepted:
            await loop.connect_accepted_socket(self._create_protocol, client)

    def _create_protocol(self) -> _HttpProtocol:
        return _HttpProtocol(self._state)
