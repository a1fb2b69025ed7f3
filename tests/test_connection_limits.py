"""Tests of connections that wait for bytes or make room, without a network."""

import asyncio
import unittest
from typing import Any

from azurerelay.budgets import ProcessLimits
from azurerelay.events import ConnectionDropped, NullEventLog
from azurerelay.hosts._caller_server import CallerProtocol, _ServerState
from azurerelay.hosts._endpoint_client import EndpointProtocol
from azurerelay.hosts._http_service import (
    HttpRequest,
    HttpServerResponse,
    _HttpProtocol,
    _ServiceState,
)
from azurerelay.hosts._resource_limits import ResourceLimits
from azurerelay.statements import CallerError, CallerReply, SessionState
from azurerelay.telemetry import Meters
from azurerelay.timing import ManualTimerService, Promise
from tests.platform_rig import EventRecorder

MIB = 1_024 * 1_024
MEMORY_BYTES = 72 * MIB  # gives the smallest budget, 12 MiB
OPEN = b"START db1 key\r\n"
READ = b"QUERY q1 READ a\r\n"


class _Socket:
    def setsockopt(self, *options: object) -> None:
        pass


class _Transport(asyncio.Transport):
    """Keep what is written until `drain`, if the peer does not read."""

    def __init__(self, protocol: Any, is_read: bool = True) -> None:
        super().__init__()
        self.protocol = protocol
        self.is_read = is_read
        self.unsent = 0
        self.output = b""
        self.is_reading = True
        self.is_aborted = False
        self._is_closing = False
        self._is_paused = False
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high = high or 0

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def is_closing(self) -> bool:
        return self._is_closing

    def write(self, data: Any) -> None:
        self.output += bytes(data)
        if not self.is_read:
            self.unsent += len(data)
        if self.unsent > self._high and not self._is_paused:
            self._is_paused = True
            self.protocol.pause_writing()

    def drain(self, count: int) -> None:
        self.unsent = max(0, self.unsent - count)
        if self._is_paused and self.unsent <= self._high // 4:
            self._is_paused = False
            self.protocol.resume_writing()

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def close(self) -> None:
        self._is_closing = True

    def abort(self) -> None:
        self.is_aborted = self._is_closing = True


async def _run_tasks() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


class _LimitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.resources = ResourceLimits(
            ProcessLimits(MEMORY_BYTES, 1_605),
            self.timers,
            NullEventLog(),
            Meters(),
        )
        self.budget = self.resources.budget


class _Holder:
    """An account that holds what its owner says."""

    def __init__(self, resources: ResourceLimits) -> None:
        self.account = resources.budget.open_account(self)

    def measure_bytes(self) -> int:
        return 0

    def on_bytes_granted(self) -> None:
        pass

    def close_for_bytes(self) -> None:
        pass


class _Session:
    """A session whose statements run until `finish`."""

    def __init__(self) -> None:
        self.state = SessionState.IDLE
        self.state_bytes = 0
        self.gate: Promise[CallerReply] = Promise()

    async def handle(self, statement: object) -> CallerReply:
        return await self.gate

    def finish(self, state: SessionState = SessionState.IDLE) -> None:
        self.state = state
        gate, self.gate = self.gate, Promise()
        gate.resolve(CallerReply(state))

    def end_in_doubt(self) -> CallerReply:
        return CallerReply(self.state, error=CallerError.IN_DOUBT)

    def close(self, reason: str = "") -> None:
        pass


class _Node:
    def __init__(self) -> None:
        self.sessions: list[_Session] = []

    async def open_session(self, database: str, key: str) -> _Session:
        self.sessions.append(_Session())
        return self.sessions[-1]


class _CallerTest(_LimitsTest):
    def setUp(self) -> None:
        super().setUp()
        self.node = _Node()
        node: Any = self.node
        self.state = _ServerState(node, self.timers, self.resources)
        self.others = _Holder(self.resources)
        self.capacity = self.resources.limits.budget_bytes or 0

    def connect(
        self, is_read: bool = True, data: bytes = b""
    ) -> tuple[CallerProtocol, _Transport]:
        protocol = CallerProtocol(self.state, False)
        transport = _Transport(protocol, is_read)
        protocol.data_received(data)
        return protocol, transport


class CallerDescriptorTest(_CallerTest):
    async def test_a_malformed_statement_behind_another_leaves_no_busy_mark(
        self,
    ) -> None:
        """A connection without work could be busy for ever, and no caller accepted."""
        caller, _ = self.connect(data=OPEN + READ + b"QUERY q2 NONSENSE a\r\n")
        self.assertIn(caller, self.state.connections._busy)
        self.node.sessions[0].finish()
        self.assertIn(caller, self.state.connections._idle)

    async def test_quiet_transactions_make_room_before_statements(self) -> None:
        """Transactions that had been ended for idleness kept their descriptors."""
        self.connect(data=OPEN + READ)
        opened, _ = self.connect(data=OPEN + READ)
        failed, _ = self.connect(data=OPEN + READ)
        for session in self.node.sessions[1:]:
            session.finish(SessionState.IN_TRANSACTION)
        rank = self.state.connections._rank_busy
        self.assertEqual([rank(opened), rank(failed)], [None, None])
        self.timers.advance(1_000.0)
        self.node.sessions[2].state = SessionState.FAILED
        self.assertEqual(self.state.connections._choose_busy(), failed)
        failed.connection_lost(None)
        self.assertEqual(self.state.connections._choose_busy(), opened)
        opened.connection_lost(None)
        self.assertIsNone(self.state.connections._choose_busy())

    async def test_a_dropped_connection_does_not_keep_its_descriptor(self) -> None:
        """Callers that read slowly kept descriptors that were not counted."""
        caller, transport = self.connect(is_read=False, data=OPEN)
        caller.drop_for_descriptors()
        self.assertTrue(transport.is_aborted)
        caller, transport = self.connect(data=OPEN)
        caller.drop_for_descriptors()
        self.assertTrue(transport.is_closing() and not transport.is_aborted)
        self.assertIn(b"ERROR BUSY", transport.output)


class CallerReadingTest(_CallerTest):
    async def test_a_grant_during_the_request_does_not_pause_reading(self) -> None:
        """The connection paused after its grant, and nothing resumed it."""
        caller, transport = self.connect()
        account = caller._account
        caller.data_received(b"x" * 20_000)
        self.others.account.charge(self.capacity - account.held)
        first = _Holder(self.resources)  # its close does not grant to the next one
        self.assertFalse(first.account.reserve(MIB))
        reserve = account._budget.reserve

        def reserve_late(asking: Any, total: int) -> bool:
            is_granted = reserve(asking, total)
            self.resources.budget._defers_grants = True
            first.account.close()
            self.others.account.close()
            self.resources.budget._defers_grants = False
            return is_granted

        account._budget.reserve = reserve_late  # type: ignore[method-assign]
        caller.data_received("é".encode() * 10)
        self.assertTrue(transport.is_reading)
        self.assertFalse(account.wanted)

    async def test_many_large_messages_sent_ahead_are_served(self) -> None:
        """An idle host closed a caller with 24 MiB sent ahead, with INDOUBT."""
        caller, transport = self.connect(data=OPEN)
        message = b"QUERY q1 WRITE a ".ljust(MIB - 2, b"x") + b"\r\n"
        data = memoryview(message * 24)
        finished_count = 0
        while data or caller.is_busy:
            while data and transport.is_reading:
                caller.data_received(bytes(data[:8_192]))
                data = data[8_192:]
            self.timers.advance(1_000.0)
            self.assertLessEqual(self.budget.held, self.capacity)
            self.assertFalse(transport.is_closing())
            self.assertTrue(caller.is_busy)
            self.node.sessions[0].finish()
            finished_count += 1
        self.assertEqual(finished_count, 24)
        self.assertEqual(self.budget.held, 0)

    async def test_few_slow_messages_leave_room_for_others(self) -> None:
        """Six clients that had sent 50 KB held the budget for 5 s."""
        for _ in range(6):
            self.connect(data="é".encode() * 4_200)
        _, transport = self.connect(data=b"x" * 9_000)
        self.assertTrue(transport.is_reading)
        self.assertLess(self.budget.held, MIB)

    async def test_a_burst_of_large_messages_is_served_to_the_last(self) -> None:
        """Messages that were begun, and wait for others, are not closed for it."""
        crowd = [self.connect(data=OPEN) for _ in range(48)]
        message = b"QUERY q1 WRITE a ".ljust(MIB - 2, b"x") + b"\r\n"
        unsent = {caller: memoryview(message) for caller, _ in crowd}
        while any(unsent.values()):
            # Also ends the loop: a closed connection would never send the rest.
            self.assertFalse(any(transport.is_closing() for _, transport in crowd))
            for _ in range(8):
                for caller, transport in crowd:
                    if transport.is_reading and unsent[caller]:
                        caller.data_received(bytes(unsent[caller][:8_192]))
                        unsent[caller] = unsent[caller][8_192:]
            for session in self.node.sessions:
                session.finish()
            self.timers.advance(20.0)
            self.assertLessEqual(self.budget.held, self.capacity)
        self.assertFalse(any(transport.is_closing() for _, transport in crowd))

    async def test_a_caller_that_waits_for_bytes_is_not_quiet(self) -> None:
        """A draining host closed callers that it did not read."""
        caller, transport = self.connect(data=OPEN)
        self.others.account.charge(self.capacity)
        caller.data_received(b"x" * 10_000)
        caller.close_when_idle()
        self.timers.advance(900.0)
        self.assertFalse(transport.is_closing())

    async def test_a_closed_connection_gives_back_its_bytes_at_once(self) -> None:
        """Others waited until the last answer of a closed connection was read."""
        caller, transport = self.connect()
        caller.data_received(b"x" * 20_000)
        self.assertTrue(self.budget.held)
        transport.unsent = 3_000
        caller.close()
        self.assertFalse(self.budget.held)


class HttpReadingTest(_LimitsTest):
    async def test_reading_goes_on_once_the_client_has_read_its_answers(self) -> None:
        """A connection that held nothing any more was skipped, and paused for ever."""
        gate = asyncio.Event()

        async def handle(request: HttpRequest) -> HttpServerResponse:
            if request.path == "/slow":
                await gate.wait()
            return HttpServerResponse(
                200, b"m" * (100 if request.path == "/slow" else 20_000)
            )

        state = _ServiceState("metrics", handle, self.resources, True)
        protocol = _HttpProtocol(state)
        transport = _Transport(protocol, is_read=False)
        protocol.data_received(
            b"GET /metrics HTTP/1.1\r\n\r\nGET /slow HTTP/1.1\r\n\r\n"
        )
        await _run_tasks()
        self.assertFalse(transport.is_reading)
        transport.drain(15_000)
        gate.set()
        await _run_tasks()
        transport.drain(MIB)
        self.assertTrue(transport.is_reading)


if __name__ == "__main__":
    unittest.main()


class EndpointReplyTest(unittest.TestCase):
    def test_a_reply_that_is_given_up_for_memory_is_reported(self) -> None:
        """Operators could not tell it from an endpoint that went away."""
        events = EventRecorder()
        limits = ProcessLimits(MEMORY_BYTES, None)
        resources = ResourceLimits(limits, ManualTimerService(), events, Meters())
        EndpointProtocol(resources).close_for_bytes()
        (event,) = events.of(ConnectionDropped)
        self.assertEqual((event.service, event.reason), ("endpoints", "memory"))
