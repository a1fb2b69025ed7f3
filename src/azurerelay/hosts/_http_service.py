"""A minimal HTTP/1.1 server on top of the httptools parser.

aiohttp's server would take a third of an entry host's start time and memory.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import httptools

from azurerelay.hosts._sockets import set_socket_options, split_address

# Large enough for a configuration with thousands of routes.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_STATUS_TEXT: Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; `path` excludes the query string."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpServerResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[HttpRequest], Awaitable[HttpServerResponse]]


class _HttpProtocol(asyncio.Protocol):
    """One client connection; responses are sent in the order of the requests."""

    def __init__(self, handler: Handler, tasks: set[asyncio.Task[None]]) -> None:
        self._handler = handler
        self._tasks = tasks
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = b""
        self._body_parts: list[bytes] = []
        self._body_length = 0
        self._last_response_task: asyncio.Task[None] | None = None
        self._is_rejected = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed input with status 400."""
        if self._is_rejected:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(HttpServerResponse(400))

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; called by the parser."""
        self._path += url

    def on_body(self, data: bytes) -> None:
        """Append a part of the body if it is not too large; called by the parser."""
        self._body_length += len(data)
        if self._body_length > MAX_BODY_BYTES:
            self._reject(HttpServerResponse(413))
        elif not self._is_rejected:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Start handling a complete request; called by the parser."""
        if self._is_rejected:
            return
        request = HttpRequest(
            self._parser.get_method().decode(),
            self._path.decode(errors="replace").partition("?")[0],
            b"".join(self._body_parts),
        )
        keep_alive = self._parser.should_keep_alive()
        self._path, self._body_parts, self._body_length = b"", [], 0
        self._queue_response(self._handler(request), keep_alive)

    def _reject(self, response: HttpServerResponse) -> None:
        """Send an error after all earlier responses, then close the connection."""
        if self._is_rejected:
            return
        self._is_rejected = True
        self._body_parts = []

        async def respond() -> HttpServerResponse:
            return response

        self._queue_response(respond(), False)

    def _queue_response(
        self, response: Awaitable[HttpServerResponse], keep_alive: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            self._respond_in_order(response, keep_alive, self._last_response_task)
        )
        self._last_response_task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond_in_order(
        self,
        pending_response: Awaitable[HttpServerResponse],
        keep_alive: bool,
        previous_task: "asyncio.Task[None] | None",
    ) -> None:
        response = await pending_response
        if previous_task is not None:
            await asyncio.wait((previous_task,))
        self._write_response(response, keep_alive)

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


class HttpService:
    """HTTP server that passes all requests on one address to one handler."""

    def __init__(self, name: str, address: str, handler: Handler) -> None:
        self._name = name
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """The name of this component."""
        return self._name

    async def start(self) -> None:
        """Bind the address and start serving."""
        host, port = split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _HttpProtocol(self._handler, self._tasks),
            host,
            port,
            reuse_address=True,
        )

    async def drain(self) -> None:
        """Do nothing; readiness checks must still be answered while the host drains."""

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()
