"""One HTTP/1.1 client connection with a parser from a library."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import httptools

from azurerelay.timing import Promise

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status and the whole body of a response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpLost:
    """The connection ended, or broke the protocol, before the response was whole."""

    reason: str


class HttpClientProtocol(asyncio.Protocol):
    """Post one request at a time and resolve its promise with the whole response.

    aiohttp's client costs more for each request than all decisions about it;
    bench/overhead.py shows the difference.
    """

    def __init__(self, host: str, on_closed: Callable[[], None]) -> None:
        self._host = host
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._promise: Promise[HttpResponse | HttpLost] | None = None
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._keeps_alive = True

    @property
    def is_open(self) -> bool:
        """Whether a request may be posted."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def post(
        self, path: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> Promise[HttpResponse | HttpLost]:
        """Send a request; the one before must have been answered."""
        promise: Promise[HttpResponse | HttpLost] = Promise()
        transport = self._transport
        if transport is None or transport.is_closing() or self._promise is not None:
            promise.resolve(HttpLost("the connection is not free"))
            return promise
        self._promise = promise
        more = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._host}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        transport.write(head.encode("ascii") + body)
        return promise

    def close(self) -> None:
        """Close the connection; an outstanding request is lost."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a response that breaks the protocol ends the connection."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._lose("the response is too large")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._lose(f"unreadable response: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """Give up what is outstanding."""
        self._lose(str(error) if error else "the connection was closed")
        self._on_closed()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body from the parser."""
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Resolve the request's promise."""
        status = self._parser.get_status_code()
        self._keeps_alive = self._parser.should_keep_alive()
        body = b"".join(self._parts)
        self._parts = []
        self._received_bytes = 0
        promise, self._promise = self._promise, None
        if not self._keeps_alive and self._transport is not None:
            self._transport.close()
        if promise is not None:
            promise.resolve(HttpResponse(status, body))

    def _lose(self, reason: str) -> None:
        promise, self._promise = self._promise, None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        if promise is not None:
            promise.resolve(HttpLost(reason))
