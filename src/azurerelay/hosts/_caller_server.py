"""TCP server for the connections of callers."""

import asyncio
import socket
from collections import deque
from collections.abc import Coroutine
from sys import getsizeof
from typing import Any, Final

from absl import logging
from result import Err

from azurerelay.budgets import FREE_BYTES, PIECE_BYTES, ConnectionBudget
from azurerelay.events import CallersDrained
from azurerelay.hosts._resource_limits import (
    DESCRIPTORS,
    MEMORY,
    ResourceLimits,
    unlimited_resources,
)
from azurerelay.hosts._sockets import set_socket_options, split_address
from azurerelay.platform import (
    LINE_TOO_LONG_ERROR,
    MAX_LINE_BYTES,
    CallerMessage,
    EndSession,
    LineSplitter,
    MalformedStatement,
    OpenSession,
    decode_caller_line,
    encode_caller_reply,
    encode_caller_reply_parts,
    encode_error_line,
    encode_ready_line,
)
from azurerelay.relay import HOST_STOPS, CallerSession, RelayNode, StopSchedule
from azurerelay.runtime import accept_queued, open_listener
from azurerelay.statements import (
    CallerError,
    CallerReply,
    Deallocate,
    Prepare,
    SessionState,
    SetValue,
    Statement,
)
from azurerelay.timing import TimerService, sleep, spawn

SERVICE: Final = "callers"  # in events and metrics
LISTEN_BACKLOG: Final = 512
# The event loop accepts up to this many connections before it handles one of them.
ACCEPT_BATCH: Final = 16
# What a queued message takes besides its text.
MESSAGE_BYTES: Final = 512
# What a message of the largest size takes while it is read and decoded, if each of its
# characters takes one byte, and at most.
ASCII_MESSAGE_BYTES: Final = MESSAGE_BYTES + 2 * MAX_LINE_BYTES + MAX_LINE_BYTES // 4
MESSAGE_LIMIT_BYTES: Final = MESSAGE_BYTES + 8 * MAX_LINE_BYTES + MAX_LINE_BYTES // 4
# An unfinished message gets room for this many times what has arrived of it.
STEP_FACTOR: Final = 2
SHORT_OF_MEMORY: Final = "the host is short of memory"
TOO_MANY_CONNECTIONS: Final = "the host has too many connections"
# A caller with more queued messages than this sends without reading its replies; its
# connection is closed.
MAX_PIPELINED_MESSAGES: Final = 64
# A draining host closes an idle connection once it has been quiet for this long, which
# is several round trips. A caller that has just got a reply may be about to send its
# next statement, and a statement that crosses the close is refused.
QUIET_BEFORE_CLOSE_MS: Final = 250.0
MIN_QUIET_CHECK_MS: Final = 20.0  # between two looks at a connection that is in use
STOP_POLL_MS: Final = 20.0  # between two looks at the work that is left
# After this, connections that were accepted as the listening socket closed are known.
ACCEPTED_CONNECTIONS_MS: Final = 20.0
# How long a stopping host waits for its last replies, and for their transmission.
LAST_REPLIES_MS: Final = 200.0
TRANSMISSION_MS: Final = 100.0


class _ServerState:
    """What the connections of one server share."""

    def __init__(
        self, node: RelayNode, timers: TimerService, resources: ResourceLimits
    ) -> None:
        self.node = node
        self.timers = timers
        self.resources = resources
        self.callers: set[CallerProtocol] = set()
        self.connections: ConnectionBudget[CallerProtocol] = ConnectionBudget(
            resources.limits.max_callers, lambda caller: caller.rank_for_closing()
        )
        # The data of one piece, which is processed before another one is read.
        self.piece = memoryview(bytearray(PIECE_BYTES))


class CallerProtocol(asyncio.BufferedProtocol):
    """Connection of one caller; statements run one at a time, in order of arrival.

    It reads small pieces into a buffer of the server, so that a connection holds little
    more than what it has asked the byte budget for.
    """

    def __init__(self, server: _ServerState, closes_when_idle: bool) -> None:
        self._server = server
        self._node = server.node
        self._timers = timers = server.timers
        self._last_message_ms = timers.now_ms()
        self._transport: asyncio.Transport | None = None
        self._splitter = LineSplitter()
        self._session: CallerSession | None = None
        self._queued_messages: deque[tuple[CallerMessage, int]] = deque()
        self._account = server.resources.budget.open_account(self)
        self._queued_bytes = 0
        self._serving_bytes = 0
        self._session_bytes = 0
        self._next_session_count = FREE_BYTES
        self._unsent_bytes = 0
        self._asks_for_whole = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._is_busy = False
        self._closes_when_idle = closes_when_idle

    @property
    def session(self) -> CallerSession | None:
        """The session of the caller; None before it is open."""
        return self._session

    @property
    def is_busy(self) -> bool:
        """Whether a message is being served."""
        return self._is_busy

    @property
    def is_idle(self) -> bool:
        """Whether no message is outstanding and no transaction is open or failed."""
        is_in_transaction = (
            self._session is not None and self._session.state is not SessionState.IDLE
        )
        return not (self._is_busy or self._queued_messages or is_in_transaction)

    @property
    def _is_in_open_transaction(self) -> bool:
        session = self._session
        return session is not None and session.state is SessionState.IN_TRANSACTION

    def close_when_idle(self) -> None:
        """Close the connection once it is idle and quiet, or an operation ends."""
        self._closes_when_idle = True
        self._close_if_quiet()

    def _close_if_quiet(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        quiet_ms = self._timers.now_ms() - self._last_message_ms
        # A caller that is not read may be in the middle of a message.
        is_idle = self.is_idle and not self._is_reading_paused
        if is_idle and quiet_ms >= QUIET_BEFORE_CLOSE_MS:
            self.dismiss()
            return
        remaining_ms = QUIET_BEFORE_CLOSE_MS - quiet_ms if is_idle else 0.0
        self._timers.call_later(
            max(MIN_QUIET_CHECK_MS, remaining_ms), self._close_if_quiet
        )

    def dismiss(self, reason: str = HOST_STOPS) -> None:
        """End the session with an error, by default because the host stops.

        A statement in progress is in doubt. One that crosses the close takes the error
        for its reply: the host does not read it, so it has no effect, and an open
        transaction is rolled back.
        """
        if self._session is not None and self._is_busy:
            self._write(encode_caller_reply(self._session.end_in_doubt()))
        else:
            is_idle = self._session is None or self._session.state is SessionState.IDLE
            error = CallerError.BUSY if is_idle else CallerError.ABORTED
            self._write(encode_error_line(error, reason))
        self.close(reason)

    def close(self, reason: str = "the session ended") -> None:
        """Close the connection after the buffered data has been sent.

        `reason` is recorded for a statement that has not been answered.
        """
        if self._session is not None:
            self._session.close(reason)
        if self._transport is not None:
            self._transport.close()
        self._forget_messages()
        self._session_bytes = 0
        self._update_account()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))
        if self._account.is_limited:
            transport.set_write_buffer_limits(high=FREE_BYTES)
        surplus = self._server.connections.add(self)
        if surplus is not None:
            surplus.drop_for_descriptors()
        if self._closes_when_idle:
            self._close_if_quiet()

    def rank_for_closing(self) -> tuple[bool, float] | None:
        """Return what closing costs, the lowest first; None if it must stay.

        A statement at an endpoint would be in doubt. An open transaction costs more
        than one that has failed meanwhile, and less the longer its caller is quiet.
        """
        quiet_ms = self._timers.now_ms() - self._last_message_ms
        if self._is_busy or quiet_ms < QUIET_BEFORE_CLOSE_MS:
            return None
        return self._is_in_open_transaction, -quiet_ms

    def drop_for_descriptors(self) -> None:
        """Close the connection, since there is one too many.

        Its descriptor is not counted any more, so what is unsent is discarded.
        """
        self._server.resources.report_dropped(SERVICE, DESCRIPTORS)
        self.dismiss(TOO_MANY_CONNECTIONS)
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next piece is read into."""
        return self._server.piece

    def buffer_updated(self, nbytes: int) -> None:
        """Process the piece that has been read."""
        self.data_received(bytes(self._server.piece[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Queue complete messages; close the connection on invalid input."""
        self._last_message_ms = self._timers.now_ms()
        self._account.moved += len(data)
        lines = self._splitter.feed(data)
        if isinstance(lines, Err):
            self._write(LINE_TOO_LONG_ERROR)
            self.close("unreadable message")
            return
        for line in lines.ok_value:
            message = decode_caller_line(line)
            if isinstance(message, Err):
                self._write(encode_error_line(CallerError.MALFORMED, message.err_value))
                self.close("unreadable message")
                return
            cost = MESSAGE_BYTES + 2 * getsizeof(line)
            self._queued_messages.append((message.ok_value, cost))
            self._queued_bytes += cost
        if len(self._queued_messages) > MAX_PIPELINED_MESSAGES:
            self._write(encode_error_line(CallerError.MALFORMED, "too many messages"))
            self.close("too many messages")
            return
        self._process_queue()
        self._update_account()

    def pause_writing(self) -> None:
        """Start no statement until the caller has read its replies."""
        self._is_writing_paused = True
        self._update_account()

    def resume_writing(self) -> None:
        """Go on with the statements that have been sent ahead."""
        self._is_writing_paused = False
        self._update_account()
        self._process_queue()
        self._update_account()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the session, which rolls back an open transaction."""
        self._forget_messages()
        self._session_bytes = 0
        self._account.close(self._serving_bytes)
        if self._session is not None:
            self._session.close()
        self._server.connections.remove(self)
        self._server.callers.discard(self)

    def measure_bytes(self) -> int:
        """Count what the caller has read since the last time.

        A statement in progress is in doubt if it is ended, and its memory stays taken
        until then.
        """
        if self._is_writing_paused:
            self._update_account()
        if self._is_busy:
            self._account.moved += 1
        return self._account.held - self._serving_bytes

    def on_bytes_granted(self) -> None:
        """Read on."""
        self._update_account()

    def close_for_bytes(self) -> None:
        """Close the connection, since others wait for the memory that it holds."""
        self._server.resources.report_dropped(SERVICE, MEMORY, self._account.held)
        self._forget_messages()
        if self._is_writing_paused and self._transport is not None:
            if self._session is not None:
                self._session.close(SHORT_OF_MEMORY)
            self._transport.abort()
        else:
            self.dismiss(SHORT_OF_MEMORY)
        self._account.shrink(self._serving_bytes)

    def _forget_messages(self) -> None:
        self._queued_messages.clear()
        self._queued_bytes = 0
        self._splitter.clear()

    def _update_account(self) -> None:
        """Hold what the connection needs to read on; pause reading until it may."""
        account = self._account
        unread = self._splitter.size
        unsent = 0
        if self._is_writing_paused and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
            account.moved += max(0, self._unsent_bytes - unsent)
        self._unsent_bytes = unsent
        total = unread + unsent + self._queued_bytes + self._serving_bytes
        total += self._session_bytes
        is_small = total <= FREE_BYTES and not self._is_writing_paused
        is_counted = account.held or account.wanted or self._is_reading_paused
        if is_small and not is_counted:
            return
        if self._transport is None or self._transport.is_closing():
            account.shrink(self._serving_bytes + unsent)
            return
        if self._reserve(0 if is_small else total):
            if self._is_reading_paused:
                self._is_reading_paused = False
                self._transport.resume_reading()
            return
        if not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        # The first two pieces are not counted: any connection may hold these. Last,
        # since it may grant what this connection waits for.
        is_begun = unread > FREE_BYTES + PIECE_BYTES
        account.charge(total if is_begun else total - unread)

    def _reserve(self, existing: int) -> bool:
        """Hold what exists and what an unfinished message needs; return whether it may.

        While there is room, a message gets room for twice of what has arrived: few
        clients that send little would otherwise take the whole budget. The spare room
        lets the first one that waits finish, whatever the others have begun.
        """
        unread = self._splitter.size
        needed = existing
        if unread > FREE_BYTES:
            is_ascii = self._splitter.is_ascii
            whole = ASCII_MESSAGE_BYTES if is_ascii else MESSAGE_LIMIT_BYTES
            step = min(whole, whole * STEP_FACTOR * unread // MAX_LINE_BYTES)
            needed += whole - unread
            if not self._asks_for_whole and self._account.try_reserve(
                existing + step - unread, MESSAGE_LIMIT_BYTES
            ):
                return True
        self._asks_for_whole = unread > FREE_BYTES
        # Statements end, and the account is updated then. Waiting for the bytes of the
        # others meanwhile would close a connection that sends many messages ahead.
        if self._is_busy or self._queued_messages:
            return self._account.try_reserve(needed)
        return self._account.reserve(needed)

    def _count_session_bytes(
        self, session: CallerSession, statement: Statement
    ) -> None:
        """Count a new session value; values that it replaced are found now and then."""
        self._session_bytes += MESSAGE_BYTES + getsizeof(statement.text)
        if self._session_bytes >= self._next_session_count:
            self._session_bytes = session.state_bytes
            self._next_session_count = 2 * self._session_bytes + FREE_BYTES

    def _process_queue(self) -> None:
        """Start what has been queued; count the connection as idle if nothing is left.

        A failed transaction holds nothing at an endpoint.
        """
        self._start_next()
        is_left = self._is_busy or self._queued_messages
        if not (is_left or self._is_in_open_transaction):
            self._server.connections.mark_idle(self)

    def _start_next(self) -> None:
        while self._queued_messages and not self._is_busy:
            if self._is_writing_paused and self._account.is_limited:
                return
            message, cost = self._queued_messages.popleft()
            self._queued_bytes -= cost
            if isinstance(message, OpenSession):
                self._is_busy = True
                spawn(self._close_on_error(self._open_session(message)))
            elif isinstance(message, EndSession):
                self.close()
                return
            elif self._session is None:
                self._write(
                    encode_error_line(CallerError.MALFORMED, "no session is open")
                )
                self.close()
                return
            elif isinstance(message, MalformedStatement):
                self._answer_malformed(self._session, message)
            else:
                self._is_busy = True
                self._serving_bytes = cost
                self._server.connections.mark_busy(self)
                spawn(self._close_on_error(self._execute(self._session, message)))

    async def _close_on_error(self, handler: Coroutine[Any, None, None]) -> None:
        """Run a handler; on an error, end the session, as no reply will follow."""
        try:
            await handler
        except Exception:
            logging.exception(
                "unexpected error in a caller session; closing the connection"
            )
            self.dismiss("unexpected error")

    async def _open_session(self, message: OpenSession) -> None:
        if self._session is not None:
            self._write(encode_error_line(CallerError.MALFORMED, "a session is open"))
            self.close()
            return
        opened = await self._node.open_session(message.database, message.key)
        self._is_busy = False
        if isinstance(opened, CallerError):
            self._write(encode_error_line(opened, message.database))
            self.close()
            return
        self._session = opened
        if self._transport is None or self._transport.is_closing():
            opened.close()
            return
        self._write(encode_ready_line(SessionState.IDLE, None))
        self._go_on()

    async def _execute(self, session: CallerSession, statement: Statement) -> None:
        try:
            reply = await session.handle(statement)
        except Exception:
            self._serving_bytes = 0
            logging.exception(
                "unexpected error in statement %s; closing its connection",
                statement.request_id,
            )
            self._write(encode_caller_reply(session.end_in_doubt()))
            self.close("unexpected error")
            return
        self._is_busy = False
        self._serving_bytes = 0
        for part in encode_caller_reply_parts(reply):
            self._write(part)
        if not _ends_operation(statement) and self._account.is_limited:
            self._count_session_bytes(session, statement)
        if self._closes_when_idle and self.is_idle and _ends_operation(statement):
            self.dismiss()
            return
        self._go_on()

    def _go_on(self) -> None:
        """Start the next message, then read on if there is room."""
        self._process_queue()
        account = self._account
        if account.held or self._is_reading_paused or self._session_bytes:
            self._update_account()

    def _answer_malformed(
        self, session: CallerSession, message: MalformedStatement
    ) -> None:
        reply = CallerReply(
            session.state, error=CallerError.MALFORMED, error_text=message.reason
        )
        self._write(encode_caller_reply(reply))

    def _write(self, text: str) -> None:
        self._last_message_ms = self._timers.now_ms()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(text.encode())
            self._account.moved += len(text)


def _ends_operation(statement: Statement) -> bool:
    """Return whether a caller outside a transaction has what it came for.

    Callers set session values and prepare statements to use them right after.
    """
    return not isinstance(statement, (SetValue, Prepare, Deallocate))


class CallerServer:
    """Accept caller connections on one address."""

    def __init__(
        self,
        address: str,
        node: RelayNode,
        timers: TimerService,
        resources: ResourceLimits | None = None,
    ) -> None:
        self._address = address
        self._node = node
        self._timers = timers
        self._state = _ServerState(node, timers, resources or unlimited_resources())
        self._callers = self._state.callers
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closes_when_idle = False

    @property
    def name(self) -> str:
        """The name of this component."""
        return "callers"

    @property
    def connection_count(self) -> int:
        """Number of open caller connections."""
        return len(self._callers)

    async def start(self) -> None:
        """Bind the address and start accepting connections."""
        self._listener = open_listener(*split_address(self._address))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_protocol, sock=self._listener, backlog=ACCEPT_BATCH
        )
        self._listener.listen(LISTEN_BACKLOG)

    def close_idle_sessions(self) -> None:
        """Close quiet connections now, and all others once they become idle.

        New connections are accepted, and closed in the same way.
        """
        self._closes_when_idle = True
        for caller in list(self._callers):
            caller.close_when_idle()

    async def close_gracefully(self, schedule: StopSchedule) -> CallersDrained:
        """Answer all statements and close all connections, by a schedule.

        Return what was left when the time for answers was over, or when the last
        connection had been closed.
        """
        started_ms = self._timers.now_ms()
        await sleep(self._timers, schedule.close_idle_ms)
        self.close_idle_sessions()
        await self._wait_while_connected(started_ms + schedule.last_begin_ms)
        self._node.refuse_transactions()
        await self._wait_while_connected(started_ms + schedule.last_send_ms)
        self._node.refuse_statements()
        self.stop_accepting()
        await sleep(self._timers, ACCEPTED_CONNECTIONS_MS)
        await self._wait_while_connected(started_ms + schedule.last_answer_ms)
        left = self._unfinished_work(self._timers.now_ms() - started_ms)
        self._node.end_statements()
        await self._wait_for_replies(self._timers.now_ms() + LAST_REPLIES_MS)
        self._close_all()
        await self._wait_while_connected(self._timers.now_ms() + TRANSMISSION_MS)
        return left

    async def _wait_while_connected(self, until_ms: float) -> None:
        while self._callers and (left_ms := until_ms - self._timers.now_ms()) > 0.0:
            await sleep(self._timers, min(STOP_POLL_MS, left_ms))

    async def _wait_for_replies(self, until_ms: float) -> None:
        while any(caller.is_busy for caller in self._callers):
            if self._timers.now_ms() >= until_ms:
                return
            await sleep(self._timers, STOP_POLL_MS)

    def _unfinished_work(self, duration_ms: float) -> CallersDrained:
        sessions = [c.session for c in self._callers if c.session is not None]
        statements = [s.statement_in_progress for s in sessions]
        is_sent = [s.is_sent for s in statements if s is not None]
        return CallersDrained(
            duration_ms,
            connections=len(self._callers),
            waiting_statements=is_sent.count(False),
            sent_statements=is_sent.count(True),
            open_transactions=sum(
                s.state is SessionState.IN_TRANSACTION for s in sessions
            ),
        )

    def stop_accepting(self) -> None:
        """Accept the connections in the queue of the kernel, and close the socket."""
        if self._server is None or self._listener is None:
            return
        accepted = accept_queued(self._listener)
        self._server.close()
        self._server = None
        loop = asyncio.get_running_loop()
        for client in accepted:
            task = loop.create_task(
                loop.connect_accepted_socket(self._create_protocol, client)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Close the listening socket and all caller connections."""
        self.stop_accepting()
        self._close_all()

    def _close_all(self) -> None:
        for caller in list(self._callers):
            caller.dismiss()

    def _create_protocol(self) -> CallerProtocol:
        caller = CallerProtocol(self._state, self._closes_when_idle)
        self._callers.add(caller)
        return caller
