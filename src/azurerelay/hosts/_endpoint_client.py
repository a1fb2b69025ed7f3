"""Connections to endpoints over TCP."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from azurerelay.discovery import Announcement
from azurerelay.hosts._sockets import split_address, tune
from azurerelay.platform import (
    LineSplitter,
    ReplyAssembler,
    encode_command,
    encode_start,
)
from azurerelay.runtime import as_future
from azurerelay.statements import (
    AskStatus,
    ConnectFailed,
    ConnectionLost,
    EndpointCommand,
    EndpointError,
    EndpointReply,
    EndpointSession,
    Position,
)
from azurerelay.timing import Promise

_Outcome = Result[EndpointReply, ConnectionLost]
# A new connection waits for a slot of the endpoint, behind a full queue at worst.
CONNECT_TIMEOUT_S: Final = 0.9
# The first packet to an endpoint whose queue of new connections is full is lost, and
# the system repeats it after a second only: a connection that is not made within ten
# round trips between regions is tried anew, once, for a slow link needs longer.
FIRST_ATTEMPT_TIMEOUT_S: Final = 0.28


class EndpointProtocol(asyncio.Protocol):
    """One connection; answers come in the order of the commands."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._splitter = LineSplitter()
        self._pending: deque[tuple[Promise[_Outcome], ReplyAssembler]] = deque()
        self._position: Position | None = None

    @property
    def is_open(self) -> bool:
        """Whether a command may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def position(self) -> Position | None:
        """The position that the endpoint stated last."""
        return self._position

    def request(self, command: EndpointCommand) -> Promise[_Outcome]:
        """Send a command."""
        is_status = isinstance(command, AskStatus)
        return self._send(encode_command(command), is_status)

    def start(self, endpoint: Announcement) -> Promise[_Outcome]:
        """Open the session; the endpoint refuses it if it is another one."""
        return self._send(encode_start(endpoint), False)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Hand lines to the answer that is due."""
        lines = self._splitter.feed(data)
        if isinstance(lines, Err):
            self._lose(f"unreadable answer: {lines.err_value}")
            return
        for line in lines.ok_value:
            if not self._take(line):
                return

    def connection_lost(self, error: Exception | None) -> None:
        """Give up what is outstanding."""
        self._lose(str(error) if error else "the endpoint closed the connection")

    def _send(self, line: str, is_status: bool) -> Promise[_Outcome]:
        promise: Promise[_Outcome] = Promise()
        transport = self._transport
        if transport is None or transport.is_closing():
            promise.resolve(Err(ConnectionLost("the connection is closed")))
            return promise
        self._pending.append((promise, ReplyAssembler(is_status)))
        transport.write(line.encode())
        return promise

    def _take(self, line: str) -> bool:
        if not self._pending:
            self._lose("an answer to nothing")
            return False
        promise, assembler = self._pending[0]
        fed = assembler.feed(line)
        if isinstance(fed, Err):
            self._lose(fed.err_value)
            return False
        reply = fed.ok_value
        if reply is not None:
            self._pending.popleft()
            if reply.position is not None:
                self._position = reply.position
            promise.resolve(Ok(reply))
        return True

    def _lose(self, reason: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        pending, self._pending = self._pending, deque()
        for promise, _ in pending:
            promise.resolve(Err(ConnectionLost(reason)))


class TcpEndpointConnector:
    """Open sessions with endpoints."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()
        self._opened = 0

    @property
    def opened(self) -> int:
        """How many connections have been opened."""
        return self._opened

    def connect(
        self, endpoint: Announcement
    ) -> Promise[Result[EndpointSession, ConnectFailed]]:
        """Open a session with this very endpoint."""
        promise: Promise[Result[EndpointSession, ConnectFailed]] = Promise()
        task = self._loop.create_task(self._connect(endpoint, promise.resolve))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return promise

    async def _connect(
        self,
        endpoint: Announcement,
        resolve: Callable[[Result[EndpointSession, ConnectFailed]], object],
    ) -> None:
        host, port = split_address(endpoint.address)
        protocol = EndpointProtocol()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._reach(protocol, host, port)
                started = await as_future(protocol.start(endpoint))
        except TimeoutError:
            protocol.close()
            resolve(Err(ConnectFailed("no session within the time allowed")))
            return
        except OSError as error:
            protocol.close()
            resolve(Err(ConnectFailed(error.strerror or str(error))))
            return
        if isinstance(started, Err):
            # An endpoint over its limit may close the connection without a word; one
            # that is down does not take it in the first place.
            reason = started.err_value.reason
            resolve(Err(ConnectFailed(reason, EndpointError.TOO_MANY_CONNECTIONS)))
        elif started.ok_value.error is not None:
            protocol.close()
            reply = started.ok_value
            resolve(Err(ConnectFailed(reply.error_text, reply.error)))
        else:
            self._opened += 1
            resolve(Ok(protocol))

    async def _reach(self, protocol: EndpointProtocol, host: str, port: int) -> None:
        """Connect, with a second try; raise OSError if the endpoint refuses."""
        try:
            async with asyncio.timeout(FIRST_ATTEMPT_TIMEOUT_S):
                await self._loop.create_connection(lambda: protocol, host, port)
                return
        except TimeoutError:
            # Nothing came back: the packet is lost, or the endpoint is dark.
            await self._loop.create_connection(lambda: protocol, host, port)
