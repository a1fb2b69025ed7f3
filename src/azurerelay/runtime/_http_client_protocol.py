"""An HTTP/1.1 client connection that parses responses with httptools."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import httptools

from azurerelay.timing import Promise

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The status and the complete body of a response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpRequestFailure:
    """No complete response was received; `reason` says why.

    The connection was busy or not open, was closed, or received data that is not
    HTTP or exceeds the size limit.
    """

    reason: str


class HttpClientProtocol(asyncio.Protocol):
    """Send POST requests one at a time and resolve each with its complete response.

    Used instead of aiohttp's client, which costs more per request than all the proxy's
    decisions about that request; bench/overhead.py shows the difference.
    """

    def __init__(self, host: str, on_closed: Callable[[], None]) -> None:
        self._host = host
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._promise: Promise[HttpResponse | HttpRequestFailure] | None = None
        self._body_parts: list[bytes] = []
        self._received_bytes = 0
        self._keeps_alive = True
        # Whether data that has arrived may hold a response: it holds none to a request
        # that is sent while the data is parsed.
        self._is_response_due = False

    @property
    def is_open(self) -> bool:
        """Whether the transport is connected and not closing."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def post(
        self, path: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> Promise[HttpResponse | HttpRequestFailure]:
        """Send a request.

        Fails with `HttpRequestFailure` if the connection is busy or closed.
        """
        promise: Promise[HttpResponse | HttpRequestFailure] = Promise()
        transport = self._transport
        if transport is None or transport.is_closing() or self._promise is not None:
            promise.resolve(HttpRequestFailure("the connection is not free"))
            return promise
        self._promise = promise
        extra_headers = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._host}\r\n{extra_headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        transport.write(head.encode("ascii") + body)
        return promise

    def close(self) -> None:
        """Abort the connection.

        An outstanding request fails with `HttpRequestFailure`.
        """
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio once connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser.

        Aborts on a response that is malformed, too large or to no request.
        """
        self._is_response_due = self._promise is not None
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._fail("the response is too large")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"unreadable response: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """Fail an outstanding request and call `on_closed`."""
        self._fail(str(error) if error else "the connection was closed")
        self._on_closed()

    def on_message_begin(self) -> None:
        """Abort if no request awaits the response; called by the parser."""
        if not self._is_response_due:
            self._fail("a response to nothing")

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Resolve the request with its response; called by the parser."""
        status = self._parser.get_status_code()
        self._keeps_alive = self._parser.should_keep_alive()
        body = b"".join(self._body_parts)
        self._body_parts = []
        self._received_bytes = 0
        self._is_response_due = False
        promise, self._promise = self._promise, None
        if not self._keeps_alive and self._transport is not None:
            self._transport.close()
        if promise is not None:
            promise.resolve(HttpResponse(status, body))

    def _fail(self, reason: str) -> None:
        promise, self._promise = self._promise, None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        if promise is not None:
            promise.resolve(HttpRequestFailure(reason))
