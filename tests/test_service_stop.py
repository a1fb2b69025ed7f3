"""Tests of what callers, operators and endpoints see while a host stops as planned."""

import asyncio
import hashlib
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

from aiohttp import web

from azurerelay.cluster import OrderOutcome
from azurerelay.daemons._http_server import HttpServer
from azurerelay.daemons._operator_api import OperatorApi
from azurerelay.daemons._process_settings import TokenSettings
from azurerelay.endpoints import KnobsCall
from azurerelay.events import NullEventLog
from azurerelay.hosts._control_host import EXIT_MARGIN_MS, ControlHost
from azurerelay.hosts._entry_host import EntryHost
from azurerelay.hosts._http_service import (
    HttpRequest,
    HttpServerResponse,
    HttpService,
)
from azurerelay.platform import SETTINGS_VARIABLE, HostSettings
from azurerelay.relay import RelayNode
from azurerelay.requests import CallerAnswer, Operation, Outcome
from azurerelay.runtime import Application
from azurerelay.serving import transaction_host
from azurerelay.telemetry import Meters
from azurerelay.timing import ManualTimerService, Promise, spawn
from tests.support import GROUP, Rig

LOCAL = "127.0.0.1"
# The metrics port is fixed, so each run of the tests has an IP address of its own.
HOST_IP = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"
CONTROL_PORT = 7441
READINESS_PORT = 7443
# Guards against tests that hang; a process may take a minute to start beside others.
HANG_GUARD_S = 120.0
HTTP_SERVICE = "azurerelay.hosts._http_service"
SETTINGS_FILE = """{"node_name": "e1", "serves": ["frontend"], "zone": "a",
"zones": {"a": "r"}, "ip_address": "127.0.0.1", "listen_addresses": {},
"internal_port_range": [7440, 7450], "seeds": [], "bootstrap": false,
"heartbeat_interval_ms": 1000}"""
ORDER = (
    b'{"version":7,"routes":[],"services":[],"limits":{"max_header_bytes":16384,'
    b'"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,'
    b'"transaction_idle_ms":3000}}'
)


def raw_request(method: str, path: str, body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(HANG_GUARD_S):
        return await reader.read()


def entry_settings() -> HostSettings:
    return HostSettings(
        name="e1",
        ip_address=HOST_IP,
        failure_domain="a",
        regions={"a": "r"},
        link_address=f"{HOST_IP}:7440",
        caller_address=f"{HOST_IP}:7442",
        readiness_address=f"{HOST_IP}:{READINESS_PORT}",
        control_address=None,
        seed_addresses=(f"{HOST_IP}:7449",),
        is_bootstrap=False,
        heartbeat_interval_ms=1_000.0,
        max_disk_losses=0,
        grace_period_ms=6_000.0,
        data_folder=None,
        promotion_address=None,
    )


def control_settings(data_folder: str, grace_period_ms: float) -> HostSettings:
    return HostSettings(
        name="c1",
        ip_address=HOST_IP,
        failure_domain="a",
        regions={"a": "r"},
        link_address=f"{HOST_IP}:7440",
        caller_address=None,
        readiness_address=None,
        control_address=f"{HOST_IP}:{CONTROL_PORT}",
        seed_addresses=(f"{HOST_IP}:7440",),
        is_bootstrap=True,
        heartbeat_interval_ms=1_000.0,
        max_disk_losses=0,
        grace_period_ms=grace_period_ms,
        data_folder=data_folder,
        promotion_address=None,
    )


class ControlHostStopTest(unittest.TestCase):
    """A control host with real sockets, stopped while a request is in progress."""

    def _stop_during(
        self,
        request: bytes,
        node_method: str,
        grace_period_ms: float,
        outcome: Any = None,
    ) -> bytes:
        """Return the response to a request that reaches the node before the stop.

        The node has no outcome before the drain has begun, and none at all without
        `outcome`.
        """
        response = b""

        async def run(folder: str) -> None:
            nonlocal response
            settings = control_settings(folder, grace_period_ms)
            loop = asyncio.get_running_loop()
            host = ControlHost(settings, NullEventLog(), Meters(), loop)
            await host.start()
            called, promise = asyncio.Event(), Promise[Any]()

            def call(*arguments: object) -> Promise[Any]:
                called.set()
                return promise

            setattr(host._node, node_method, call)
            reader, writer = await asyncio.open_connection(HOST_IP, CONTROL_PORT)
            writer.write(request)
            await called.wait()
            drain = asyncio.create_task(host.drain())
            await asyncio.sleep(0.02)
            if outcome is not None:
                promise.resolve(outcome)
            await drain
            await host.stop()
            response = await read_to_end(reader)
            writer.close()

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run(folder))
        return response

    def test_an_order_in_progress_is_answered_before_a_control_host_ends(self) -> None:
        response = self._stop_during(
            raw_request("POST", "/v1/Configuration.Replace", ORDER),
            "replace_configuration",
            6_000.0,
            OrderOutcome.DURABLE,
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)
        self.assertIn(b"Connection: close", response)

    def test_an_order_without_an_outcome_is_refused_before_a_control_host_ends(
        self,
    ) -> None:
        response = self._stop_during(
            raw_request("POST", "/v1/Configuration.Replace", ORDER),
            "replace_configuration",
            EXIT_MARGIN_MS + 50.0,
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"Connection: close", response)

    def test_a_departure_that_a_stopping_control_host_has_read_is_answered(
        self,
    ) -> None:
        response = self._stop_during(
            raw_request("POST", "/v1/Instances.Deregister/e1"),
            "deregister",
            6_000.0,
            True,
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)


class EntryNodeDrainTest(unittest.TestCase):
    """An entry host whose endpoint holds requests for longer than the drain time."""

    DRAIN_MS = 1_000.0
    TIMEOUT_MS = 60_000.0

    def setUp(self) -> None:
        self.rig = Rig()
        serving = self.rig.system.leader.state.groups[GROUP].serving
        self.serving = serving[0]
        self.forwarding = next(e for e in self.rig.system.entries if e not in serving)

    def _send(
        self, entry: str, operation: Operation, statement: str = "", **fields: Any
    ) -> Promise[CallerAnswer | None]:
        fields.setdefault("timeout_ms", self.TIMEOUT_MS)
        parameters = {"put": ("k", 1), "get": ("k",)}.get(statement, ())
        return self.rig.send(entry, operation, statement, *parameters, **fields)

    def _set_knobs(self, **knobs: Any) -> None:
        for standin in self.rig.system.standins.values():
            standin.request(KnobsCall(**knobs))

    def _send_all(self, entry: str) -> dict[str, Promise[CallerAnswer | None]]:
        """Send requests of all kinds that the endpoints do not answer."""
        # A commit then waits for a majority to receive it.
        self._set_knobs(is_replication_cut=True)
        self.rig.timers.advance(2_000.0)
        begun = [self.rig.call(entry, Operation.BEGIN).transaction for _ in range(2)]
        for name in begun:
            self.rig.write(entry, "put", "a", 1, transaction=name)
        self._set_knobs(service_ms=2 * self.TIMEOUT_MS)
        write, read = Operation.WRITE, Operation.READ
        sent = {
            "idempotent write": self._send(entry, write, "put", is_idempotent=True),
            "write with key": self._send(entry, write, "put", idempotency_key="k"),
            "read": self._send(entry, read, "get"),
            "write in transaction": self._send(
                entry, write, "put", transaction=begun[0]
            ),
            "commit": self._send(entry, Operation.COMMIT, transaction=begun[1]),
        }
        self.rig.timers.advance(200.0)
        self.assertFalse(any(promise.is_done for promise in sent.values()))
        return sent

    def _drain(self, entry: str) -> None:
        node = self.rig.system.entries[entry]
        is_idle = self.rig.wait(spawn(node.drain(self.DRAIN_MS)))
        self.assertFalse(is_idle)
        self.rig.timers.advance(50.0)

    def _outcomes(
        self, sent: dict[str, Promise[CallerAnswer | None]]
    ) -> dict[str, Outcome | None]:
        outcomes: dict[str, Outcome | None] = {}
        for name, promise in sent.items():
            answer = promise.value if promise.is_done else None
            outcomes[name] = answer.outcome if answer else None
        return outcomes

    def test_requests_past_the_drain_time_get_a_true_outcome(self) -> None:
        sent = self._send_all(self.serving)
        self._drain(self.serving)
        self.assertEqual(
            self._outcomes(sent),
            {
                "idempotent write": Outcome.UNKNOWN,
                "write with key": Outcome.UNKNOWN,
                "read": Outcome.NOT_RUN,
                "write in transaction": Outcome.NOT_RUN,
                "commit": Outcome.UNKNOWN,
            },
        )

    def test_requests_forwarded_to_another_host_get_a_true_outcome(self) -> None:
        sent = self._send_all(self.forwarding)
        self._drain(self.forwarding)
        self.assertEqual(
            self._outcomes(sent),
            {
                "idempotent write": Outcome.UNKNOWN,
                "write with key": Outcome.UNKNOWN,
                "read": Outcome.NOT_RUN,
                # The transaction is still open at the other host.
                "write in transaction": Outcome.UNKNOWN,
                "commit": Outcome.UNKNOWN,
            },
        )

    def test_a_transaction_given_up_in_a_drain_is_not_committed(self) -> None:
        name = self.rig.call(self.serving, Operation.BEGIN).transaction
        self._set_knobs(service_ms=2 * self.DRAIN_MS)
        write = self._send(self.serving, Operation.WRITE, "put", transaction=name)
        self._drain(self.serving)
        assert write.value is not None
        self.assertEqual(write.value.outcome, Outcome.NOT_RUN)
        self.rig.timers.advance(3 * self.DRAIN_MS)
        for entry in (self.serving, self.forwarding):
            commit = self._send(entry, Operation.COMMIT, transaction=name)
            answer = self.rig.wait(commit)
            self.assertEqual(answer.outcome, Outcome.NOT_RUN)


class LostAnswerTest(unittest.TestCase):
    """A write whose answer is lost, and which cannot be sent again."""

    def setUp(self) -> None:
        self.rig = Rig()
        self.serving = self.rig.system.leader.state.groups[GROUP].serving
        for standin in self.rig.system.standins.values():
            standin.request(KnobsCall(service_ms=400.0))

    def _write(self, entry: str, **fields: Any) -> Promise[CallerAnswer | None]:
        promise = self.rig.send(entry, Operation.WRITE, "put", "k", 1, **fields)
        self.rig.timers.advance(100.0)
        return promise

    def _kill_endpoints(self) -> None:
        for name in (self.rig.primary, *self.rig.replicas):
            self.rig.system.kill_endpoint(name)

    def test_a_write_that_may_have_run_is_not_refused_as_not_run_after_a_retry(
        self,
    ) -> None:
        promise = self._write(self.serving[0], is_idempotent=True)
        self._kill_endpoints()
        self.assertIs(self.rig.wait(promise).outcome, Outcome.UNKNOWN)

    def test_a_write_that_a_stopped_host_may_have_run_is_not_refused_as_not_run(
        self,
    ) -> None:
        entries = self.rig.system.entries
        forwarding = next(e for e in entries if e not in self.serving)
        for fields in ({"is_idempotent": True}, {"idempotency_key": "k"}):
            with self.subTest(fields):
                self.setUp()
                promise = self._write(forwarding, **fields)
                self._kill_endpoints()
                for name in self.serving:
                    self.rig.system.kill_entry(name)
                self.assertIs(self.rig.wait(promise).outcome, Outcome.UNKNOWN)

    def test_a_write_in_a_transaction_of_a_silent_host_may_be_committed(self) -> None:
        entries = self.rig.system.entries
        forwarding = next(e for e in entries if e not in self.serving)
        begun = self.rig.call(forwarding, Operation.BEGIN)
        transaction = begun.transaction
        assert transaction is not None
        link = (transaction_host(transaction), forwarding)
        promise = self._write(forwarding, transaction=transaction, timeout_ms=900.0)
        self.rig.system.network.cut(*link)
        answer = self.rig.wait(promise)
        self.rig.system.network.heal(forwarding)
        committed = self.rig.call(forwarding, Operation.COMMIT, transaction=transaction)
        read = self.rig.read(forwarding, "get", "k", after=committed)
        self.assertEqual((committed.outcome, read.rows), (Outcome.DONE, ((1,),)))
        self.assertIs(answer.outcome, Outcome.UNKNOWN)


# A host whose hooks print their names and send signals to their own process.
SIGNALLED_HOST = """
import os, signal, sys
from azurerelay.hosts import _run

class Host:
    def __init__(self):
        self.step("build")

    def step(self, name):
        print(name, flush=True)
        for number in signals.get(name, ()):
            os.kill(os.getpid(), number)

    async def start(self):
        self.step("start")

    def reload(self, settings):
        pass

    async def drain(self):
        self.step("drain")
        if "fail" in sys.argv:
            raise ValueError("an error in a drain")

    async def stop(self):
        self.step("stop")

signals = {
    "build": (signal.SIGHUP,),
    "start": (signal.SIGHUP, signal.SIGTERM),
    "drain": (signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
    "stop": (signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
}
_run._build_host = lambda *arguments: Host()
_run.route_absl_logging = lambda events: None
sys.exit(_run.run_host("entry"))
"""


class _Component:
    """A component that records its hooks, and fails in one of them."""

    def __init__(self, name: str, failing_hook: str, steps: list[str]) -> None:
        self.name = name
        self._failing_hook = failing_hook
        self._steps = steps

    async def start(self) -> None:
        self._step("start")

    async def drain(self) -> None:
        self._step("drain")

    async def stop(self) -> None:
        self._step("stop")

    def _step(self, hook: str) -> None:
        self._steps.append(f"{hook} {self.name}")
        if hook == self._failing_hook:
            raise ValueError(f"an error in {hook} of {self.name}")


class ApplicationTest(unittest.TestCase):
    def test_an_error_in_one_component_does_not_skip_the_others(self) -> None:
        for failing_hook in ("drain", "stop"):
            with self.subTest(failing_hook):
                steps: list[str] = []
                names = {"link": "", "server": failing_hook}
                components = [_Component(n, hook, steps) for n, hook in names.items()]

                async def run(application: Application) -> None:
                    await application.start()
                    await application.drain()
                    await application.stop()

                asyncio.run(run(Application("test", components)))
                expected = ["start link", "start server", "drain server", "drain link"]
                self.assertEqual(steps, [*expected, "stop server", "stop link"])


# An application that sends signals to its own process in each of its hooks.
SIGNALLED_DAEMON = """
import asyncio, os, signal, sys
from azurerelay.daemons import run_until_signal
from azurerelay.runtime import Application

class Component:
    name = "component"

    async def start(self):
        self.step("start", signal.SIGHUP)

    async def drain(self):
        self.step("drain", signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    async def stop(self):
        self.step("stop", signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def step(self, name, *numbers):
        print(name, flush=True)
        for number in numbers:
            os.kill(os.getpid(), number)

async def build():
    return Application("test", (Component(),))

sys.exit(asyncio.run(run_until_signal(build())))
"""


class SignalTest(unittest.TestCase):
    """A host process that gets signals at every moment of its life."""

    def _run(self, *arguments: str) -> tuple[int, list[str]]:
        """Return the exit status of the process and the steps that it has taken."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.json"
            file.write_text(SETTINGS_FILE)
            process = subprocess.run(
                [sys.executable, "-c", SIGNALLED_HOST, *arguments],
                env=os.environ | {SETTINGS_VARIABLE: str(file)},
                capture_output=True,
                text=True,
                timeout=HANG_GUARD_S,
            )
        lines = process.stdout.splitlines()
        steps = [line for line in lines if not line.startswith("{")]
        return process.returncode, steps

    def test_signals_during_a_start_a_drain_and_a_stop_cut_none_of_them_short(
        self,
    ) -> None:
        self.assertEqual(self._run(), (0, ["build", "start", "drain", "stop"]))

    def test_a_daemon_that_gets_a_sighup_drains_and_stops(self) -> None:
        process = subprocess.run(
            [sys.executable, "-c", SIGNALLED_DAEMON],
            capture_output=True,
            text=True,
            timeout=HANG_GUARD_S,
        )
        steps = process.stdout.splitlines()
        self.assertEqual((process.returncode, steps), (0, ["start", "drain", "stop"]))

    def test_an_error_in_a_drain_does_not_skip_the_stop(self) -> None:
        self.assertEqual(self._run("fail"), (0, ["build", "start", "drain", "stop"]))


class ReadinessTest(unittest.TestCase):
    def test_readiness_checks_are_answered_until_a_draining_entry_host_ends(
        self,
    ) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            host = EntryHost(entry_settings(), NullEventLog(), Meters(), loop)
            await host.start()
            check = raw_request("GET", "/v1/readiness")
            reader, writer = await asyncio.open_connection(HOST_IP, READINESS_PORT)
            drain = None
            for expected in (b" 200 ", b" 503 ", b" 503 "):
                writer.write(check)
                self.assertIn(expected, await reader.readuntil(b"\r\n\r\n"))
                drain = drain or asyncio.create_task(host.drain())
                await asyncio.sleep(0)
            assert drain is not None
            drain.cancel()
            # Blocks the event loop, so that the host stops with the check in a queue.
            client = socket.create_connection((HOST_IP, READINESS_PORT))
            client.sendall(check)
            await host.stop()
            last_reader, last_writer = await asyncio.open_connection(sock=client)
            self.assertIn(b" 503 ", await read_to_end(last_reader))
            writer.close()
            last_writer.close()

        with patch.object(RelayNode, "is_ready", new=True):
            asyncio.run(run())


class HttpServiceStopTest(unittest.TestCase):
    def test_a_connection_in_the_queue_of_the_kernel_is_served_in_a_drain(
        self,
    ) -> None:
        async def scenario(service: HttpService, port: int) -> None:
            # Blocks the event loop, so that the service cannot accept it yet.
            client = socket.create_connection((LOCAL, port))
            client.sendall(raw_request("GET", "/queued"))
            await service.drain(HANG_GUARD_S)
            reader, writer = await asyncio.open_connection(sock=client)
            answer = await read_to_end(reader)
            self.assertIn(b"/queued", answer)
            self.assertIn(b"Connection: close", answer)
            writer.close()
            await service.stop()

        serve(scenario, echo_path)

    def test_a_kept_alive_connection_is_answered_until_a_drain_closes_it(
        self,
    ) -> None:
        async def scenario(service: HttpService, port: int) -> None:
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(raw_request("GET", "/first"))
            first = await reader.readuntil(b"/first")
            self.assertNotIn(b"Connection: close", first)
            drain = asyncio.create_task(service.drain(HANG_GUARD_S))
            await asyncio.sleep(0.02)
            writer.write(raw_request("GET", "/second"))
            second = await read_to_end(reader)
            self.assertIn(b"/second", second)
            self.assertIn(b"Connection: close", second)
            await drain
            writer.close()

        with patch(f"{HTTP_SERVICE}.QUIET_BEFORE_CLOSE_S", HANG_GUARD_S):
            serve(scenario, echo_path)

    def test_a_host_that_stalls_in_a_drain_reads_requests_before_it_closes(
        self,
    ) -> None:
        async def scenario(service: HttpService, port: int) -> None:
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(raw_request("GET", "/first"))
            await reader.readuntil(b"/first")
            # All connections count as quiet, as after a stall of the process.
            writer.write(raw_request("GET", "/second"))
            await service.drain(HANG_GUARD_S)
            self.assertIn(b"/second", await read_to_end(reader))
            writer.close()

        with patch(f"{HTTP_SERVICE}.QUIET_BEFORE_CLOSE_S", 0.0):
            serve(scenario, echo_path)

    def test_all_pipelined_requests_are_answered_in_a_stop(self) -> None:
        async def scenario(service: HttpService, port: int) -> None:
            release = asyncio.Event()

            async def hold(request: HttpRequest) -> HttpServerResponse:
                if request.path == "/held":
                    await release.wait()
                return HttpServerResponse(200, request.path.encode())

            service._state.handler = hold
            reader, writer = await asyncio.open_connection(LOCAL, port)
            paths = ("/ready", "/held", "/behind")
            writer.write(b"".join(raw_request("GET", path) for path in paths))
            await reader.readuntil(b"/ready")
            await service.stop()
            rest = await read_to_end(reader)
            self.assertTrue(rest.startswith(b"HTTP/1.1 503 "), rest)
            self.assertIn(b"/behind", rest)
            self.assertEqual(rest.count(b"HTTP/1.1 "), 2)
            self.assertEqual(rest.count(b"Connection: close"), 1)
            writer.close()

        serve(scenario, echo_path)

    def test_a_long_response_is_sent_in_full_before_a_stop_returns(self) -> None:
        body = b"x" * 30_000_000  # more than the kernel buffers

        async def answer(request: HttpRequest) -> HttpServerResponse:
            return HttpServerResponse(200, body)

        async def scenario(service: HttpService, port: int) -> None:
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(raw_request("GET", "/"))
            await reader.readuntil(b"\r\n\r\n")
            read = asyncio.create_task(read_to_end(reader))
            await service.drain(HANG_GUARD_S)
            await service.stop()
            self.assertEqual(len(await read), len(body))
            writer.close()

        serve(scenario, answer)

    def test_a_handler_that_raises_is_answered_with_status_500(self) -> None:
        async def fail(request: HttpRequest) -> HttpServerResponse:
            raise ValueError("an error of the handler")

        async def scenario(service: HttpService, port: int) -> None:
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(raw_request("GET", "/"))
            async with asyncio.timeout(HANG_GUARD_S):
                self.assertIn(b" 500 ", await reader.readline())
            writer.close()
            await service.stop()

        serve(scenario, fail)


class HttpServerStopTest(unittest.IsolatedAsyncioTestCase):
    """The HTTP server of the daemons, with requests under way when it stops."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        routes = [web.get("/ready", self._answer), web.get("/held", self._hold)]
        self.server = HttpServer("test", f"{LOCAL}:0", routes)
        await self.server.start()
        runner: Any = self.server._runner
        self.port = runner.addresses[0][1]

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(text="ready")

    async def _hold(self, request: web.Request) -> web.Response:
        await self.release.wait()
        return web.Response(text="held")

    async def test_a_connection_opened_late_is_answered(self) -> None:
        await self.server.drain()
        # Blocks the event loop, so that the server cannot accept it yet.
        client = socket.create_connection((LOCAL, self.port))
        client.sendall(raw_request("GET", "/ready"))
        await self.server.stop()
        reader, writer = await asyncio.open_connection(sock=client)
        answer = await read_to_end(reader)
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"Connection: close", answer)
        writer.close()

    async def test_a_request_on_a_kept_alive_connection_is_answered(self) -> None:
        reader, writer = await asyncio.open_connection(LOCAL, self.port)
        writer.write(raw_request("GET", "/ready"))
        await reader.readuntil(b"ready")
        await self.server.drain()
        writer.write(raw_request("GET", "/ready"))
        await self.server.stop()
        self.assertIn(b"200 OK", await read_to_end(reader))
        writer.close()

    async def test_a_request_in_progress_is_answered(self) -> None:
        reader, writer = await asyncio.open_connection(LOCAL, self.port)
        writer.write(raw_request("GET", "/held"))
        await asyncio.sleep(0.02)
        stop = asyncio.create_task(self.server.stop())
        await asyncio.sleep(0.02)
        self.release.set()
        await stop
        self.assertIn(b"held", await read_to_end(reader))
        writer.close()


class _SilentControlNode:
    """A control node without an outcome for any call."""

    def __init__(self) -> None:
        self.called = asyncio.Event()

    def _call(self, *arguments: object) -> Promise[Any]:
        self.called.set()
        return Promise()

    change_settings = read_barrier = status = _call


class OperatorApiStopTest(unittest.IsolatedAsyncioTestCase):
    """A control host of the project that stops while operators wait."""

    CHANGE = (
        b'{"change_id": "c1", "based_on": 0, "reason": "test", "path": "/",'
        b' "set": {"reads.max_staleness_ms": 500}}'
    )

    async def _stop_during(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Return the response to a request that a stopping host has no outcome for."""
        token = TokenSettings(name="op", sha256=hashlib.sha256(b"secret").hexdigest())
        node: Any = _SilentControlNode()
        api = OperatorApi(node, [token], ManualTimerService())
        server = HttpServer(
            "operators", f"{LOCAL}:0", api.routes(), (api.authenticate,)
        )
        application = Application("test", (api, server))
        await application.start()
        runner: Any = server._runner
        reader, writer = await asyncio.open_connection(LOCAL, runner.addresses[0][1])
        authorization = b"HTTP/1.1\r\nAuthorization: Bearer secret"
        request = raw_request(method, path, body)
        writer.write(request.replace(b"HTTP/1.1", authorization, 1))
        await node.called.wait()
        await application.drain()
        await application.stop()
        response = await read_to_end(reader)
        writer.close()
        return response

    async def asyncSetUp(self) -> None:
        limit = patch("azurerelay.daemons._operator_api.DRAIN_LIMIT_S", 0.05)
        limit.start()
        self.addCleanup(limit.stop)

    async def test_a_change_given_up_in_a_stop_has_an_unknown_outcome(self) -> None:
        response = await self._stop_during("POST", "/v1/settings/changes", self.CHANGE)
        self.assertTrue(response.startswith(b"HTTP/1.1 504 "), response)
        self.assertIn(b'"outcome":"unknown"', response)

    async def test_reads_given_up_in_a_stop_are_refused(self) -> None:
        for path in ("/v1/settings", "/v1/audit", "/v1/status"):
            with self.subTest(path):
                response = await self._stop_during("GET", path)
                self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
                self.assertIn(b"Connection: close", response)


async def echo_path(request: HttpRequest) -> HttpServerResponse:
    return HttpServerResponse(200, request.path.encode())


def serve(
    scenario: Callable[[HttpService, int], Awaitable[None]],
    handler: Callable[[HttpRequest], Awaitable[HttpServerResponse]],
) -> None:
    """Run a scenario against a service and its port."""

    async def run() -> None:
        service = HttpService("test", f"{LOCAL}:0", handler)
        await service.start()
        server: Any = service._server
        await scenario(service, server.sockets[0].getsockname()[1])

    asyncio.run(run())


if __name__ == "__main__":
    unittest.main()
