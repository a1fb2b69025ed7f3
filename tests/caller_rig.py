"""Callers of one entry host on simulated time, from their sockets to the endpoints."""

import asyncio
from functools import partial
from typing import Any

from azurerelay.events import CallersDrained
from azurerelay.hosts._caller_server import CallerServer
from azurerelay.relay import RelayNode, schedule_stop
from azurerelay.timing import Promise, TimerService, spawn
from tests.platform_rig import PlatformRig

GRACE_PERIOD_MS = 6_000.0


class _NoSocket:
    def setsockopt(self, *option: int) -> None:
        pass


class _CallerTransport(asyncio.Transport):
    """The host's end of a caller's connection."""

    def __init__(self, caller: "Caller") -> None:
        super().__init__({"socket": _NoSocket()})
        self._caller = caller

    def is_closing(self) -> bool:
        return self._caller.is_closed

    def write(self, data: Any) -> None:
        if not self._caller.is_closed:
            self._caller.received += bytes(data).decode()

    def close(self) -> None:
        if not self._caller.is_closed:
            self._caller.is_closed = True
            self._caller.rig.timers.call_later(
                0.0, lambda: self._caller.protocol.connection_lost(None)
            )


class Caller:
    """A caller with its own connection."""

    def __init__(self, name: str, rig: PlatformRig, server: CallerServer) -> None:
        self.name = name
        self.rig = rig
        self.received = ""
        self.is_closed = True
        self.sent = 0
        self._server = server

    def connect(self, database: str) -> None:
        """Connect, and send a START."""
        self.is_closed = False
        self.protocol = self._server._create_protocol()
        self.protocol.connection_made(_CallerTransport(self))
        self.send(f"START {database} u1")

    @property
    def lines(self) -> list[str]:
        """The lines received since they were last cleared."""
        return self.received.splitlines()

    def send(self, line: str) -> None:
        """Send a line, unless the connection is closed."""
        if not self.is_closed:
            self.protocol.data_received(f"{line}\r\n".encode())

    def query(self, text: str) -> str:
        """Send a statement without waiting; return its ID."""
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        self.received = ""
        self.send(f"QUERY {request_id} {text}")
        return request_id

    def run(self, text: str, limit_ms: float = 5_000.0) -> list[str]:
        """Send a statement, and return the lines of its reply."""
        self.query(text)
        self.rig.wait_for(lambda: self.is_answered or self.is_closed, limit_ms)
        return self.lines

    @property
    def is_answered(self) -> bool:
        """Whether the reply to the last message is complete."""
        is_refused_session = not self.sent and "ERROR" in self.received
        return is_refused_session or "\r\nREADY" in f"\r\n{self.received}"

    @property
    def error(self) -> str:
        """The error code in the reply; empty if it succeeded."""
        first = self.lines[0] if self.lines else ""
        return first.split(" ")[1] if first.startswith("ERROR") else ""


class _RigCallerServer(CallerServer):
    """A server without a listening socket."""

    is_listening = True

    def __init__(self, node: RelayNode, timers: TimerService) -> None:
        super().__init__("127.0.0.1:0", node, timers)
        self.accepted: list[tuple[Caller, str]] = []

    def stop_accepting(self) -> None:
        """Refuse new connections; those that were accepted before arrive later."""
        self.is_listening = False
        for caller, database in self.accepted:
            self._timers.call_later(5.0, partial(caller.connect, database))
        self.accepted = []


class StoppingHost:
    """The entry host of a rig, with the callers that are connected to it."""

    def __init__(self, rig: PlatformRig) -> None:
        self.rig = rig
        self.node: RelayNode = rig.entries["10.1.0.1:7440"]
        self.server = _RigCallerServer(self.node, rig.timers)
        self.caller_count = 0
        self.stop: Promise[CallersDrained] = Promise()
        self.stopped_at_ms: float | None = None

    def new_caller(self, database: str) -> Caller:
        """Connect a caller, and send its START."""
        self.caller_count += 1
        name = f"caller-{self.caller_count}"
        caller = Caller(name, self.rig, self.server)
        if self.server.is_listening:
            caller.connect(database)
        return caller

    def accept_at_last(self, database: str = "strict") -> Caller:
        """Connect a caller whose connection the host accepts as it stops listening."""
        caller = Caller("last", self.rig, self.server)
        self.server.accepted.append((caller, database))
        return caller

    def connect(self, database: str = "strict") -> Caller:
        """Connect a caller, and wait until its session is open."""
        caller = self.new_caller(database)
        self.rig.wait_for(lambda: caller.is_answered or caller.is_closed)
        return caller

    def start_stop(self) -> Promise[CallersDrained]:
        """Begin a planned stop, as at SIGTERM."""
        self.stop = spawn(self._stop())
        return self.stop

    async def _stop(self) -> CallersDrained:
        left = await self.server.close_gracefully(schedule_stop(GRACE_PERIOD_MS))
        await self.server.stop()
        self.stopped_at_ms = self.rig.timers.now_ms()
        return left
