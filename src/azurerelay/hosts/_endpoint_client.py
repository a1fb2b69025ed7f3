"""TCP connections to endpoints."""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from azurerelay.budgets import ByteAccount
from azurerelay.discovery import Announcement
from azurerelay.hosts._resource_limits import MEMORY, ResourceLimits
from azurerelay.hosts._sockets import set_socket_options, split_address
from azurerelay.platform import (
    LineSplitter,
    ReplyAssembler,
    encode_command,
    encode_session_start,
)
from azurerelay.runtime import as_future
from azurerelay.statements import (
    ConnectFailed,
    ConnectionLost,
    EndpointCommand,
    EndpointError,
    EndpointSession,
    OpenSession,
    Position,
    ReplyPromise,
    ReplyQueue,
    StatusCommand,
)
from azurerelay.timing import Promise

# Opening a session takes a slot of the endpoint, at worst after waiting in a full
# queue.
CONNECT_TIMEOUT_S: Final = 0.9
# An endpoint with a full accept queue drops the SYN packet, and the kernel resends it
# only after one second. A connection that is not established within ten round trips
# between regions is therefore retried. It is retried only once, with the rest of
# CONNECT_TIMEOUT_S, because a slow link needs longer.
FIRST_ATTEMPT_TIMEOUT_S: Final = 0.28


# A reply up to this size is not counted: there are few connections to endpoints.
FREE_REPLY_BYTES: Final = 64 * 1024
# A larger one is counted in steps, since its size is known only at its end.
REPLY_STEP_BYTES: Final = 1024 * 1024
# All connections read into the same buffer: a piece is processed before the next one.
_PIECE: Final = memoryview(bytearray(64 * 1024))
# How long a large reply waits for memory. It takes one of the few connections to the
# endpoint meanwhile, for which ordinary statements wait.
MAX_REPLY_WAIT_S: Final = 0.25
SERVICE: Final = "endpoints"  # in events and metrics
SHORT_OF_MEMORY: Final = "the host is short of memory"


class EndpointProtocol(asyncio.BufferedProtocol):
    """One connection; replies arrive in the order of the commands.

    It is closed at the first reply that cannot be the one to its command. While the
    byte budget is short, large replies are read one after another.
    """

    def __init__(self, resources: ResourceLimits | None = None) -> None:
        self._resources = resources
        self._account: ByteAccount | None = None
        if resources is not None:
            self._account = resources.budget.open_account(self)
        self._wait_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._splitter = LineSplitter()
        self._queue = ReplyQueue()
        self._assembler: ReplyAssembler | None = None
        # How many replies may be among the data that has arrived: a command that is
        # sent while the data is processed has none there.
        self._awaited = 0
        self._position: Position | None = None

    @property
    def is_open(self) -> bool:
        """Whether a command may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def position(self) -> Position | None:
        """The last log position that the endpoint reported; None before the first."""
        return self._position

    def request(self, command: EndpointCommand) -> ReplyPromise:
        """Send a command and return a promise of its reply."""
        return self._send(encode_command(command), command)

    def start_session(self, endpoint: Announcement, customer: str) -> ReplyPromise:
        """Open the session; an endpoint other than the one named refuses it."""
        return self._send(encode_session_start(endpoint, customer), OpenSession())

    def close(self) -> None:
        """Abort the connection; unsent data is discarded."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next piece is read into."""
        return _PIECE

    def buffer_updated(self, nbytes: int) -> None:
        """Process the piece that has been read."""
        self.data_received(bytes(_PIECE[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Add complete lines to the reply of the oldest pending command."""
        lines = self._splitter.feed(data)
        if isinstance(lines, Err):
            self._fail(ConnectionLost(f"unreadable answer: {lines.err_value}"))
            return
        self._awaited = self._queue.size
        for line in lines.ok_value:
            if not self.is_open or not self._process_line(line):
                return
        if self._account is not None:
            self._account.moved += len(data)
            self._update_account(self._account)

    def measure_bytes(self) -> int:
        """Return what the account holds, which is always up to date."""
        return self._account.held if self._account is not None else 0

    def on_bytes_granted(self) -> None:
        """Read on."""
        if self._account is not None:
            self._update_account(self._account)

    def close_for_bytes(self) -> None:
        """Close the connection, since others wait for the memory of its reply."""
        self._give_up()

    def _update_account(self, account: ByteAccount) -> None:
        """Hold what the reply takes and the next step; pause reading until it may."""
        held = self._splitter.size
        if self._assembler is not None:
            held += self._assembler.size
        if held <= FREE_REPLY_BYTES and not account.held and not account.wanted:
            return
        if not self.is_open:
            account.close()
            return
        steps = held // REPLY_STEP_BYTES + 1 if held > FREE_REPLY_BYTES else 0
        assert self._transport is not None
        if account.reserve(steps * REPLY_STEP_BYTES):
            if self._wait_timer is not None:
                self._wait_timer.cancel()
                self._wait_timer = None
                self._transport.resume_reading()
        elif self._wait_timer is None:
            self._transport.pause_reading()
            self._wait_timer = asyncio.get_running_loop().call_later(
                MAX_REPLY_WAIT_S, self._give_up
            )

    def _give_up(self) -> None:
        """Close the connection, since its reply does not get the memory in time."""
        if self._account is not None and self._resources is not None:
            self._resources.report_dropped(SERVICE, MEMORY, self._account.held)
            self._account.close()
        self._fail(ConnectionLost(SHORT_OF_MEMORY))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending commands."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
        if self._account is not None:
            self._account.close()
        reason = str(error) if error else "the endpoint closed the connection"
        self._fail(ConnectionLost(reason))

    def _send(self, line: str, command: EndpointCommand | OpenSession) -> ReplyPromise:
        transport = self._transport
        if transport is None or transport.is_closing():
            return Promise.of(Err(ConnectionLost("the connection is closed")))
        promise = self._queue.add(command)
        transport.write(line.encode())
        return promise

    def _process_line(self, line: str) -> bool:
        """Handle a line; return False if it has ended the use of the connection."""
        if self._assembler is None:
            command = self._queue.oldest
            if not self._awaited:
                self._fail(ConnectionLost("an answer to nothing", is_mismatch=True))
                return False
            self._assembler = ReplyAssembler(
                isinstance(command, StatusCommand), isinstance(command, OpenSession)
            )
        assembled = self._assembler.feed(line)
        if isinstance(assembled, Err):
            self._fail(ConnectionLost(assembled.err_value))
            return False
        reply = assembled.ok_value
        if reply is None:
            return True
        self._assembler = None
        mismatch = self._queue.find_mismatch(reply)
        if mismatch is not None:
            self._fail(ConnectionLost(mismatch, is_mismatch=True))
            return False
        if reply.position is not None:
            self._position = reply.position
        self._awaited -= 1
        self._queue.resolve_oldest(reply)
        return True

    def _fail(self, lost: ConnectionLost) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        # The garbage collector, which runs rarely, must not be what frees the reply.
        self._assembler = None
        self._splitter.clear()
        self._queue.fail_all(lost)


class TcpEndpointConnector:
    """Open sessions with endpoints over TCP."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, resources: ResourceLimits | None = None
    ) -> None:
        self._loop = loop
        # Without a limit, nothing is counted.
        is_limited = resources is not None and resources.budget.is_limited
        self._resources = resources if is_limited else None
        self._tasks: set[asyncio.Task[None]] = set()
        self._opened_count = 0

    @property
    def opened_count(self) -> int:
        """Number of sessions opened since the start of the process."""
        return self._opened_count

    def connect(
        self, endpoint: Announcement, customer: str = ""
    ) -> Promise[Result[EndpointSession, ConnectFailed]]:
        """Open a session; fail if another endpoint has taken over the address."""
        promise: Promise[Result[EndpointSession, ConnectFailed]] = Promise()
        task = self._loop.create_task(
            self._connect(endpoint, customer, promise.resolve)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return promise

    async def _connect(
        self,
        endpoint: Announcement,
        customer: str,
        resolve: Callable[[Result[EndpointSession, ConnectFailed]], object],
    ) -> None:
        """Open a session; resolve the promise whatever happens."""
        protocol = EndpointProtocol(self._resources)
        try:
            host, port = split_address(endpoint.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._open_connection(protocol, host, port)
                started = await as_future(protocol.start_session(endpoint, customer))
        except TimeoutError:
            protocol.close()
            resolve(Err(ConnectFailed("no session within the time allowed")))
            return
        except OSError as error:
            protocol.close()
            is_unreachable = isinstance(error, ConnectionRefusedError)
            reason = error.strerror or str(error)
            resolve(Err(ConnectFailed(reason, is_unreachable=is_unreachable)))
            return
        except Exception as error:
            # Addresses that cannot be connected to raise errors of many types.
            protocol.close()
            resolve(Err(ConnectFailed(f"unexpected error: {error!r}"[:200])))
            return
        if isinstance(started, Err):
            # An endpoint at its connection limit may close the connection without a
            # reply; one that is down would not have accepted it.
            reason = started.err_value.reason
            resolve(Err(ConnectFailed(reason, EndpointError.TOO_MANY_CONNECTIONS)))
        elif started.ok_value.error is not None:
            protocol.close()
            reply = started.ok_value
            resolve(Err(ConnectFailed(reply.error_text, reply.error)))
        else:
            self._opened_count += 1
            resolve(Ok(protocol))

    async def _open_connection(
        self, protocol: EndpointProtocol, host: str, port: int
    ) -> None:
        """Connect, with one retry after a timeout; raise OSError on failure."""
        try:
            async with asyncio.timeout(FIRST_ATTEMPT_TIMEOUT_S):
                await self._loop.create_connection(lambda: protocol, host, port)
                return
        except TimeoutError:
            # No response: the packet was lost, or the endpoint is unreachable.
            await self._loop.create_connection(lambda: protocol, host, port)
