"""Callers' connections over TCP."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

from absl import logging
from result import Err

from azurerelay.hosts._sockets import split_address, tune
from azurerelay.platform import (
    LINE_TOO_LONG,
    CallerMessage,
    EndSession,
    LineSplitter,
    MalformedStatement,
    OpenSession,
    decode_caller_line,
    encode_caller_reply,
    encode_error,
    encode_ready,
)
from azurerelay.relay import CallerSession, RelayNode
from azurerelay.statements import (
    CallerError,
    CallerReply,
    SessionState,
    Statement,
)
from azurerelay.timing import spawn

BACKLOG: Final = 512
# A caller that sends more than this ahead of its answers is not reading them.
MAX_PIPELINED: Final = 64


class CallerProtocol(asyncio.Protocol):
    """One caller; statements are served in order, one at a time."""

    def __init__(
        self,
        node: RelayNode,
        on_closed: Callable[["CallerProtocol"], object],
        is_ending: bool,
    ) -> None:
        self._node = node
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._splitter = LineSplitter()
        self._session: CallerSession | None = None
        self._waiting: deque[CallerMessage] = deque()
        self._is_serving = False
        self._is_ending = is_ending

    @property
    def is_idle(self) -> bool:
        """Whether the caller has no statement and no transaction outstanding."""
        is_in_transaction = (
            self._session is not None and self._session.state is not SessionState.IDLE
        )
        return not (self._is_serving or self._waiting or is_in_transaction)

    def end_when_idle(self) -> None:
        """Close the session now, or with the answer that leaves it idle."""
        self._is_ending = True
        if self.is_idle:
            self.end()

    def end(self) -> None:
        """Close the connection once what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Queue whole messages."""
        lines = self._splitter.feed(data)
        if isinstance(lines, Err):
            self._write(LINE_TOO_LONG)
            self.end()
            return
        for line in lines.ok_value:
            message = decode_caller_line(line)
            if isinstance(message, Err):
                self._write(encode_error(CallerError.MALFORMED, message.err_value))
                self.end()
                return
            self._waiting.append(message.ok_value)
        if len(self._waiting) > MAX_PIPELINED:
            self._write(encode_error(CallerError.MALFORMED, "too many messages"))
            self.end()
            return
        self._serve()

    def connection_lost(self, error: Exception | None) -> None:
        """Roll back what is open."""
        self._waiting.clear()
        if self._session is not None:
            self._session.close()
        self._on_closed(self)

    def _serve(self) -> None:
        while self._waiting and not self._is_serving:
            message = self._waiting.popleft()
            if isinstance(message, OpenSession):
                self._is_serving = True
                spawn(self._guard(self._open(message)))
            elif isinstance(message, EndSession):
                self.end()
                return
            elif self._session is None:
                self._write(encode_error(CallerError.MALFORMED, "no session is open"))
                self.end()
                return
            elif isinstance(message, MalformedStatement):
                self._answer_malformed(self._session, message)
            else:
                self._is_serving = True
                spawn(self._guard(self._run(self._session, message)))

    async def _guard(self, steps: Coroutine[Any, None, None]) -> None:
        """End the connection rather than leave the caller without an answer."""
        try:
            await steps
        except Exception:
            logging.exception("a statement could not be handled")
            self.end()

    async def _open(self, message: OpenSession) -> None:
        if self._session is not None:
            self._write(encode_error(CallerError.MALFORMED, "a session is open"))
            self.end()
            return
        opened = await self._node.open_session(message.database)
        self._is_serving = False
        if isinstance(opened, CallerError):
            self._write(encode_error(opened, message.database))
            self.end()
            return
        self._session = opened
        if self._transport is None or self._transport.is_closing():
            opened.close()
            return
        self._write(encode_ready(SessionState.IDLE, None))
        self._serve()

    async def _run(self, session: CallerSession, statement: Statement) -> None:
        reply = await session.handle(statement)
        self._is_serving = False
        self._write(encode_caller_reply(reply))
        if self._is_ending and self.is_idle:
            self.end()
            return
        self._serve()

    def _answer_malformed(
        self, session: CallerSession, message: MalformedStatement
    ) -> None:
        reply = CallerReply(
            session.state, error=CallerError.MALFORMED, error_text=message.reason
        )
        self._write(encode_caller_reply(reply))

    def _write(self, text: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(text.encode())


class CallerServer:
    """Accept callers."""

    def __init__(self, address: str, node: RelayNode) -> None:
        self._address = address
        self._node = node
        self._callers: set[CallerProtocol] = set()
        self._server: asyncio.Server | None = None
        self._is_ending = False

    @property
    def name(self) -> str:
        """The name of this part in the log."""
        return "callers"

    @property
    def open_sessions(self) -> int:
        """How many callers are connected."""
        return len(self._callers)

    async def start(self) -> None:
        """Bind and accept."""
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=BACKLOG, reuse_address=True
        )

    async def drain(self) -> None:
        """Go on; the host ends sessions in its own time."""

    def end_idle(self) -> None:
        """Close each session as soon as it is idle."""
        self._is_ending = True
        for caller in list(self._callers):
            caller.end_when_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Close everything."""
        self.stop_accepting()
        for caller in list(self._callers):
            caller.end()

    def _accept(self) -> CallerProtocol:
        caller = CallerProtocol(self._node, self._callers.discard, self._is_ending)
        self._callers.add(caller)
        return caller
