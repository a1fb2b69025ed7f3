"""A small HTTP/1.1 server with a parser from a library.

aiohttp's server takes a third of an entry host's start and of its memory.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import httptools

from azurerelay.hosts._sockets import split_address, tune

MAX_BODY_BYTES: Final = 8 * 1024 * 1024  # thousands of routes
_REASONS: Final = {
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
    """A whole request."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class _HttpProtocol(asyncio.Protocol):
    """One connection; requests are answered in order."""

    def __init__(self, handler: Handler, tasks: set[asyncio.Task[None]]) -> None:
        self._handler = handler
        self._tasks = tasks
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = b""
        self._parts: list[bytes] = []
        self._length = 0
        self._turn: asyncio.Task[None] | None = None
        self._is_broken = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser; what is no request ends the connection."""
        if self._is_broken:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(HttpAnswer(400))

    def on_url(self, url: bytes) -> None:
        """Take a part of the target from the parser."""
        self._path += url

    def on_body(self, data: bytes) -> None:
        """Take a part of the body from the parser."""
        self._length += len(data)
        if self._length > MAX_BODY_BYTES:
            self._refuse(HttpAnswer(413))
        elif not self._is_broken:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        """Answer the request after those before it."""
        if self._is_broken:
            return
        request = HttpRequest(
            self._parser.get_method().decode(),
            self._path.decode(errors="replace").partition("?")[0],
            b"".join(self._parts),
        )
        keep_alive = self._parser.should_keep_alive()
        self._path, self._parts, self._length = b"", [], 0
        self._take_turn(self._handler(request), keep_alive)

    def _refuse(self, answer: HttpAnswer) -> None:
        """Answer what is no request after the requests before it, and close."""
        if self._is_broken:
            return
        self._is_broken = True
        self._parts = []

        async def refuse() -> HttpAnswer:
            return answer

        self._take_turn(refuse(), False)

    def _take_turn(self, answer: Awaitable[HttpAnswer], keep_alive: bool) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._answer(answer, keep_alive, self._turn))
        self._turn = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self,
        answering: Awaitable[HttpAnswer],
        keep_alive: bool,
        before: "asyncio.Task[None] | None",
    ) -> None:
        answer = await answering
        if before is not None:
            await asyncio.wait((before,))
        self._write(answer, keep_alive)

    def _write(self, answer: HttpAnswer, keep_alive: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        lines = [
            f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, 'Status')}",
            f"Content-Type: {answer.content_type}",
            f"Content-Length: {len(answer.body)}",
            *(f"{name}: {value}" for name, value in answer.headers.items()),
        ]
        if not keep_alive:
            lines.append("Connection: close")
        transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body)
        if not keep_alive:
            transport.close()


class HttpService:
    """Serve one handler on one address."""

    def __init__(self, name: str, address: str, handler: Handler) -> None:
        self._name = name
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return self._name

    async def start(self) -> None:
        """Bind and serve."""
        host, port = split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _HttpProtocol(self._handler, self._tasks),
            host,
            port,
            reuse_address=True,
        )

    async def drain(self) -> None:
        """Go on: readiness tells that the host leaves."""

    async def stop(self) -> None:
        """Close the server."""
        if self._server is not None:
            self._server.close()
