"""Tests of event logs, metrics, files and sockets of the host processes."""

import asyncio
import json
import os
import random
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

import msgspec
from typer.testing import CliRunner

from azurerelay.cli._app import app
from azurerelay.discovery import Departure, EndpointDirectory
from azurerelay.events import (
    SessionRefused,
    StatementRefused,
    explain_request,
    parse_log_line,
)
from azurerelay.hosts import _run
from azurerelay.hosts._caller_server import CallerServer
from azurerelay.hosts._directory_cache import DirectoryCache, SavedDirectory
from azurerelay.hosts._disk_identity import ensure_disk_identity
from azurerelay.hosts._endpoint_client import TcpEndpointConnector
from azurerelay.hosts._http_service import HttpRequest, HttpServerResponse, HttpService
from azurerelay.hosts._json_event_log import (
    LINES_PER_S,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_LINES,
    REFUSAL_LINES_PER_S,
    JsonEventLog,
)
from azurerelay.hosts._metrics_service import MetricsService
from azurerelay.hosts._promotion_client import HttpPromotionClient
from azurerelay.promotions import PromotionOrder
from azurerelay.runtime import as_future
from azurerelay.statements import (
    NOT_RUN_ERRORS,
    BeginTransaction,
    CallerError,
    ConnectFailed,
    EndpointError,
    RollbackTransaction,
    RunStatement,
    SetSessionValue,
)
from azurerelay.storage import MemoryDisk
from azurerelay.telemetry import Meters
from azurerelay.timing import ManualTimerService
from tests.platform_rig import PlatformRig
from tests.test_cluster import announcement

ROOT = Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
ODD_ADDRESSES = (
    "",
    "nowhere",
    f"{LOCAL}:",
    f"{LOCAL}:99999",
    f"{LOCAL}:{10**30}",
    f"{LOCAL}:{'9' * 5_000}",
    f"{LOCAL}:x",
    "a..b:80",
    f"{'x' * 300}.y:80",
    "\ud800:80",
    "a\0b:80",
)


def refused_statement(number: int) -> StatementRefused:
    return StatementRefused(f"q{number}", "db", "busy", "no", 3.0, 1, "e1", 7)


class EventLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.timers = ManualTimerService()
        self.meters = Meters()
        self.log = JsonEventLog("host", self.timers, self.meters, self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_events_beyond_the_rate_limit_are_counted_but_not_written(self) -> None:
        for number in range(2_000):
            self.log.record(refused_statement(number))
            self.log.record(SessionRefused("db", "no route", 7, 0.0))
        self.timers.advance(1_001.0)
        self.log.record(refused_statement(0))
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertLessEqual(len(lines), 60 + 20 + 2)
        omitted_line = json.loads(lines[-2])
        self.assertEqual(omitted_line["event"], "EventsLeftOut")
        self.assertEqual(omitted_line["counts"]["StatementRefused"], 2_000 - 60)
        counters = self.meters.counters
        self.assertEqual(
            counters["events_total", (("event", "StatementRefused"),)], 2_001
        )

    def test_the_rate_limit_holds_end_to_end_at_five_times_the_usual_load(
        self,
    ) -> None:
        """About 23 statements a second are usual for a host; half of them fail here."""
        rig = PlatformRig(entry_hosts=1)
        log = JsonEventLog("host", rig.timers, rig.meters, self.writer)
        rig.events = log  # type: ignore[assignment]
        rig.start()
        rig.primary().refuse_next = [EndpointError.FAILED] * 1_000
        os.read(self.reader, 1_000_000)
        replies = []
        for number in range(5 * 23 * 4):
            session = rig.open("bounded" if number % 2 else "strict")
            text = "READ a" if number % 2 else "WRITE a x"
            replies.append(rig.send(session, text, 1_500.0))
            rig.timers.advance(1_000.0 / (5 * 23))
        rig.timers.advance(2_000.0)
        self.assertTrue(all(reply.is_done for reply in replies))
        lines = [
            json.loads(line)
            for line in os.read(self.reader, 1_000_000).decode().splitlines()
        ]
        event_names = {line["event"] for line in lines}
        self.assertIn("StatementRefused", event_names)
        self.assertIn("EventsLeftOut", event_names)
        # Six seconds, and the partial windows at the start and the end.
        max_lines = 8 * (LINES_PER_S * len(event_names) + REFUSAL_LINES_PER_S)
        self.assertLessEqual(len(lines), max_lines)
        for event_name in event_names - {"EventsLeftOut"}:
            limit = (
                REFUSAL_LINES_PER_S if event_name == "StatementRefused" else LINES_PER_S
            )
            written = sum(line["event"] == event_name for line in lines)
            self.assertLessEqual(written, 8 * limit, event_name)

    def test_an_error_that_repeats_is_counted_and_leaves_room_for_other_lines(
        self,
    ) -> None:
        """Its tracebacks filled the queue, and the lines that tell its cause lacked."""
        for _ in range(500):
            self.log.write_log_record("error", "unexpected", "_zmq_link.py:7", "x" * 99)
        self.log.write_log_record("error", "other", "_zmq_link.py:8", "")
        lines = os.read(self.reader, 1_000_000).decode().splitlines()
        self.assertEqual(len(lines), LINES_PER_S + 1)
        self.assertIn("other", lines[-1])
        counters = self.meters.counters
        self.assertEqual(counters["log_records_total", (("level", "error"),)], 501)
        self.timers.advance(1_001.0)
        self.log.record(refused_statement(0))
        left_out = json.loads(os.read(self.reader, 1_000_000).decode().splitlines()[0])
        self.assertEqual(left_out["counts"], {"_zmq_link.py:7": 480})

    def test_values_that_json_cannot_hold_are_written_as_text(self) -> None:
        """The error ended whatever had recorded the event."""
        self.log.record(SessionRefused("db\ud800", "no route", 10**24, 0.0))
        self.log.write_log_record("error", "bad \ud800", "a.py:1", "")
        first, second = os.read(self.reader, 10_000).decode().splitlines()
        self.assertEqual(json.loads(first)["configuration_version"], str(10**24))
        self.assertEqual(json.loads(second)["message"], "bad \\ud800")

    def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted(self) -> None:
        for _ in range(400):
            self.timers.advance(1_001.0)
            for number in range(60):
                self.log.record(refused_statement(number))
        self.assertIn("queue_full", self.log.left_out_counts)
        self.assertLessEqual(len(self.log._queued_lines), MAX_QUEUED_LINES)

    def test_long_lines_that_nobody_reads_take_no_more_than_their_bound(self) -> None:
        """Only the number of lines was bounded, and a line may hold a long text."""
        for number in range(100):
            self.log.write_log_record("error", "x" * 200_000, f"place {number}", "")
        queued = sum(len(line) for line in self.log._queued_lines)
        self.assertLessEqual(queued, MAX_QUEUED_BYTES)
        self.assertGreater(self.log.left_out_counts["queue_full"], 0)
        while self.log._queued_lines:
            os.read(self.reader, 1_000_000)
            self.log.flush()
        self.assertEqual(self.log._queued_bytes, 0)

    def test_written_lines_can_be_parsed(self) -> None:
        self.log.record(refused_statement(1))
        line = parse_log_line("12.5 host-1 " + os.read(self.reader, 10_000).decode())
        assert line is not None
        self.assertEqual((line["request_id"], line["waited_ms"]), ("q1", 3.0))


class ExplanationTest(unittest.TestCase):
    def test_events_of_a_request_are_collected_across_hosts(self) -> None:
        lines = [
            '{"time_ms":900,"host":"c1","event":"PromotionDecided","group":"g",'
            '"endpoint":"e2","reason":"lost"}',
            '{"time_ms":100,"host":"f1","event":"ConfigurationInForce","version":7}',
            'x {"time_ms":1000,"host":"f1","event":"StatementRefused",'
            '"request_id":"q1","endpoint":"e1","configuration_version":7}',
            '{"time_ms":950,"host":"f2","event":"EndpointLost","endpoint":"e1"}',
            '{"time_ms":950,"host":"f2","event":"EndpointLost","endpoint":"e9"}',
            '{"time_ms":99000,"host":"f1","event":"ProcessChanged"}',
            "no json",
            '{"broken',
        ]
        events = explain_request("q1", lines)
        self.assertEqual(
            [line.event for line in events],
            [
                "ConfigurationInForce",
                "PromotionDecided",
                "EndpointLost",
                "StatementRefused",
            ],
        )
        self.assertEqual([line.belongs_to_request for line in events][-1], True)
        self.assertEqual(explain_request("q9", lines), [])

    def test_the_command_prints_the_events_of_a_request(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "f1.log"
            file.write_text(
                '{"time_ms":1000,"host":"f1","event":"StatementRefused",'
                '"request_id":"q1","reason":"busy"}\n'
            )
            runner = CliRunner()
            result = runner.invoke(app, ["explain", "request", "q1", str(file)])
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("reason=busy", result.output)
            missing = runner.invoke(app, ["explain", "request", "q2", str(file)])
            self.assertEqual(missing.exit_code, 1)

    def test_a_refused_statement_is_logged_end_to_end(self) -> None:
        rig = PlatformRig()
        rig.start()
        rig.primary().crash()
        session = rig.open("strict")
        reply = rig.run(session, "WRITE a x")
        self.assertIsNotNone(reply.error)
        refused = rig.events.of(StatementRefused)
        self.assertEqual(refused[-1].has_run, "no")
        self.assertGreater(refused[-1].waited_ms, 0.0)

    def test_a_read_without_an_answer_is_logged_as_one_that_may_have_run(self) -> None:
        rig = PlatformRig()
        rig.start()
        for server in rig.servers.values():
            server.lost_answers = 100
        reply = rig.run(rig.open("bounded"), "READ a")
        self.assertIs(reply.error, CallerError.BUSY)
        self.assertEqual(rig.events.of(StatementRefused)[-1].has_run, "unknown")

    def test_every_refusal_states_its_reason(self) -> None:
        rig = PlatformRig()
        rig.start()
        rig.primary().lost_answers = 1
        rig.run(rig.open("strict"), "WRITE a x")
        refused = rig.events.of(StatementRefused)[-1]
        self.assertEqual(refused.reason, "the endpoint did not answer")
        self.assertEqual(refused.has_run, "unknown")
        for error in EndpointError:
            with self.subTest(error):
                rig.primary().refuse_next = [error] * 200
                rig.run(rig.open("strict"), "WRITE a x")
                rig.primary().refuse_next = []
                refused = rig.events.of(StatementRefused)[-1]
                if error is not EndpointError.NOT_PRIMARY:
                    self.assertEqual(refused.reason, error.value)
                self.assertEqual(refused.has_run == "no", error in NOT_RUN_ERRORS)
                rig.timers.advance(500.0)


class CheckCommandTest(unittest.TestCase):
    def _run_check(self, name: str, content: str) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / name
            file.write_text(content)
            return CliRunner().invoke(app, ["check", str(file)])

    def test_the_deployment_file_is_valid(self) -> None:
        result = CliRunner().invoke(app, ["check", str(ROOT / "deploy/system.toml")])
        self.assertEqual(result.exit_code, 0, result.output)

    def test_all_findings_of_a_deployment_file_are_printed(self) -> None:
        result = self._run_check("d.toml", '[roles.entry]\nrun = "x"\nshare = 2\n')
        self.assertEqual(result.exit_code, 2)
        self.assertEqual(result.output.count("d.toml:"), 5)

    def test_findings_of_platform_settings_are_printed(self) -> None:
        result = self._run_check("s.json", '{"node_name": 3}')
        self.assertEqual(result.exit_code, 2)
        self.assertIn("$.node_name", result.output)


class SettingsWatchTest(unittest.TestCase):
    def test_the_settings_file_is_watched_after_a_reload_that_failed(self) -> None:
        """An unexpected error ended the task, and later versions were not read."""
        asyncio.run(self._reload_three_times())

    async def _reload_three_times(self) -> None:
        host, reload_requested = Mock(), asyncio.Event()
        host.reload.side_effect = [ValueError("unexpected"), None]
        loaded = [Mock(ok_value=number) for number in range(4)]
        timers = ManualTimerService()
        events = JsonEventLog("h", timers, Meters(), os.open(os.devnull, os.O_WRONLY))
        with patch.object(_run, "load_host_settings", side_effect=loaded):
            watch = asyncio.create_task(
                _run._watch_settings(Path("f"), Mock(), host, events, reload_requested)
            )
            with self.assertLogs("absl", "ERROR"):
                for calls in (1, 2):
                    reload_requested.set()
                    while host.reload.call_count < calls and not watch.done():
                        await asyncio.sleep(0)
            self.assertEqual(host.reload.call_count, 2)
            watch.cancel()


class DiskTest(unittest.TestCase):
    def test_an_empty_disk_gets_a_new_identity(self) -> None:
        disk = MemoryDisk()
        first = ensure_disk_identity(disk, True, random.Random(1))
        self.assertEqual(first, "first")
        self.assertEqual(ensure_disk_identity(disk, False, random.Random(2)), "first")
        self.assertNotEqual(
            ensure_disk_identity(MemoryDisk(), False, random.Random(3)), first
        )

    def test_the_directory_cache_survives_a_restart_and_ignores_corrupt_data(
        self,
    ) -> None:
        disk, directory = MemoryDisk(), EndpointDirectory()
        directory.merge(announcement(), 0.0)
        directory.merge_departure(Departure("e2", 7), 0.0)

        async def save() -> None:
            cache = DirectoryCache(disk, directory)
            cache.start()
            for _ in range(300):
                if disk.names():
                    break
                await asyncio.sleep(0.01)
            cache.stop()

        asyncio.run(save())
        cache = DirectoryCache(disk, EndpointDirectory())
        saved = SavedDirectory((announcement(),), (Departure("e2", 7),))
        self.assertEqual(cache.load(), saved)
        disk.replace("directory.cache", b"\xc1broken")
        self.assertEqual(cache.load(), SavedDirectory())
        # An earlier build saved the announcements alone.
        earlier = msgspec.msgpack.encode((announcement(),))
        disk.replace("directory.cache", earlier)
        self.assertEqual(cache.load(), SavedDirectory((announcement(),)))

    def test_an_entry_that_cannot_be_read_costs_no_other_entry(self) -> None:
        """One entry of another type made the host start with an empty directory."""
        disk = MemoryDisk()
        odd = {"endpoint": "odd", "slots": "three"}
        for saved in (
            {
                "announcements": (odd, announcement(), 7),
                "departures": ({"endpoint": 1}, Departure("e2", 7)),
            },
            (odd, announcement()),
        ):
            disk.replace("directory.cache", msgspec.msgpack.encode(saved))
            loaded = DirectoryCache(disk, EndpointDirectory()).load()
            self.assertEqual(loaded.announcements, (announcement(),))
        nested = b"\x91" * 100_000
        for data in (nested, b"\x82\xadannouncements\x91" + nested):
            disk.replace("directory.cache", data)
            loaded = DirectoryCache(disk, EndpointDirectory()).load()
            self.assertEqual(loaded, SavedDirectory())

    def test_a_cache_file_that_cannot_be_opened_does_not_end_the_host(self) -> None:
        disk = MemoryDisk()
        disk.read = Mock(side_effect=PermissionError("denied"))  # type: ignore[method-assign]
        loaded = DirectoryCache(disk, EndpointDirectory()).load()
        self.assertEqual(loaded, SavedDirectory())

    def test_saving_goes_on_after_an_entry_that_cannot_be_encoded(self) -> None:
        """One number beyond 64 bits ended the saving task of a control host."""
        disk, directory = MemoryDisk(), EndpointDirectory()
        directory.merge(announcement(), 0.0)
        odd = announcement(endpoint="odd", slots=10**24)
        directory._announcements["odd"] = odd
        departures = (Departure("e2", 7),)

        async def save() -> None:
            cache = DirectoryCache(disk, directory)
            with self.assertLogs("absl", "WARNING"):
                await cache.save_soon()
            self.assertEqual(cache.load(), SavedDirectory((announcement(),)))
            directory.merge_departure(departures[0], 0.0)
            disk.replace = Mock(  # type: ignore[method-assign]
                side_effect=[ValueError("unexpected"), None]
            )
            with self.assertLogs("absl", "ERROR"):
                await cache._save()
            await cache._save()
            self.assertEqual(disk.replace.call_count, 2)

        asyncio.run(save())

    def test_a_departure_is_saved_before_it_is_acknowledged(self) -> None:
        disk, directory = MemoryDisk(), EndpointDirectory()
        directory.merge(announcement(), 0.0)

        async def depart() -> None:
            cache = DirectoryCache(disk, directory)
            directory.merge_departure(Departure("e1", 1), 0.0)
            await cache.save_soon()

        asyncio.run(depart())
        saved = DirectoryCache(disk, EndpointDirectory()).load()
        departures = (Departure("e1", 1),)
        self.assertEqual(saved, SavedDirectory((), departures, (announcement(),)))


class SocketsTest(unittest.TestCase):
    """Real servers on the loopback interface; the relay uses simulated time."""

    def test_a_caller_is_served_over_tcp_and_invalid_input_closes_its_connection(
        self,
    ) -> None:
        asyncio.run(self._serve_callers())

    async def _serve_callers(self) -> None:
        rig = PlatformRig()
        rig.start()
        node = rig.entries["10.1.0.1:7440"]
        server = CallerServer(f"{LOCAL}:0", node, rig.timers)
        await server.start()
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()

        def advance() -> None:
            rig.timers.advance(20.0)
            loop.call_later(0.001, advance)

        advance()
        reader, writer = await asyncio.open_connection(LOCAL, port)
        writer.write(b"START strict u1\r\nQUERY q1 WRITE a x\r\nQUERY q2 REA")
        self.assertEqual(await reader.readline(), b"READY I -\r\n")
        self.assertEqual(await reader.readline(), b"DATAROW row of q1\r\n")
        self.assertEqual(await reader.readline(), b"COMPLETE signed q1\r\n")
        self.assertTrue((await reader.readline()).startswith(b"READY I 3."))
        writer.write(b"D a\r\nQUERY q3 NONSENSE\r\n")
        lines = [await reader.readline() for _ in range(5)]
        self.assertEqual(lines[0], b"DATAROW row of q2\r\n")
        self.assertTrue(lines[3].startswith(b"ERROR MALFORMED"))
        writer.write(b"QUERY q4 READ a\nQUERY q5 WRITE a y\r\n")
        self.assertTrue((await reader.readline()).startswith(b"ERROR TOOLONG"))
        self.assertEqual(await reader.read(), b"")
        writer.close()
        reader, writer = await asyncio.open_connection(LOCAL, port)
        writer.write(b"START nowhere u1\r\n")
        self.assertTrue((await reader.readline()).startswith(b"ERROR NODATABASE"))
        self.assertEqual(await reader.read(), b"")
        writer.close()
        await server.stop()

    def test_a_caller_in_the_middle_of_an_operation_is_answered_in_a_drain(
        self,
    ) -> None:
        """A caller sends its statement right after the reply to its SET.

        A connection closed in between cuts the statement off, and the caller of a write
        cannot know whether it has run.
        """
        asyncio.run(self._drain_callers())

    async def _drain_callers(self) -> None:
        rig = PlatformRig()
        rig.start()
        node = rig.entries["10.1.0.1:7440"]
        server = CallerServer(f"{LOCAL}:0", node, rig.timers)
        await server.start()
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        readers = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            writer.write(b"START strict u1\r\nQUERY q1 SET a b\r\n")
            for expected in (b"READY I -\r\n", b"COMPLETE -\r\n", b"READY I -\r\n"):
                self.assertEqual(await reader.readline(), expected)
            readers.append((reader, writer))
        server.close_idle_sessions()
        reader, writer = readers[0]
        writer.write(b"QUERY q2 WRITE a x\r\n")
        while all(caller.is_idle for caller in server._callers):
            self.assertEqual(server.connection_count, 2)
            await asyncio.sleep(0.001)
        rig.timers.advance(1_000.0)
        self.assertEqual(await reader.readline(), b"DATAROW row of q2\r\n")
        self.assertEqual(await reader.readline(), b"COMPLETE signed q2\r\n")
        self.assertTrue((await reader.readline()).startswith(b"READY I 3."))
        # Both connections are closed: one after its reply, the other one as it is quiet.
        ends = [await other.read() for other, _ in readers]
        self.assertEqual(ends, 2 * [b"ERROR BUSY the host is being stopped\r\n"])
        for _, other_writer in readers:
            other_writer.close()
        await server.stop()

    def test_a_caller_in_the_kernels_queue_is_refused_when_the_host_stops(
        self,
    ) -> None:
        asyncio.run(self._stop_with_a_queued_caller())

    async def _stop_with_a_queued_caller(self) -> None:
        rig = PlatformRig()
        rig.start()
        node = rig.entries["10.1.0.1:7440"]
        server = CallerServer(f"{LOCAL}:0", node, rig.timers)
        await server.start()
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        # Blocks the event loop, so that the connection stays in the kernel's queue.
        caller = socket.create_connection((LOCAL, port))
        caller.sendall(b"START strict u1\r\n")
        node.refuse_statements()
        server.stop_accepting()
        reader, writer = await asyncio.open_connection(sock=caller)
        self.assertEqual(
            await reader.read(), b"ERROR BUSY strict\r\n", "the reply and the close"
        )
        writer.close()
        await server.stop()

    def test_an_endpoint_connection_is_closed_on_an_invalid_reply(self) -> None:
        asyncio.run(self._receive_invalid_reply())

    async def _receive_invalid_reply(self) -> None:
        async def endpoint(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readline()
            writer.write(b"READY I 3.1\r\n")
            await reader.readline()
            writer.write(b"DATAROW half\r\nNONSENSE\r\n")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(endpoint, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        connector = TcpEndpointConnector(asyncio.get_running_loop())
        target = announcement(address=f"{LOCAL}:{port}")
        session = (await as_future(connector.connect(target))).ok_value
        outcome = await as_future(session.request(RunStatement("q", "READ a")))
        self.assertTrue(outcome.is_err())
        self.assertFalse(session.is_open)
        session.close()
        server.close()
        await asyncio.sleep(0)

    def test_a_reply_that_belongs_to_another_command_closes_the_connection(
        self,
    ) -> None:
        asyncio.run(self._receive_shifted_reply())

    def test_a_copy_of_a_reply_is_not_taken_for_that_of_the_next_command(self) -> None:
        asyncio.run(self._receive_doubled_reply())

    async def _connect_to(
        self, command_count: int, replies: bytes
    ) -> tuple[asyncio.Server, Any]:
        """Connect to an endpoint that sends `replies` after some commands."""

        async def endpoint(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readline()
            writer.write(b"READY I 3.1\r\n")
            for _ in range(command_count):
                await reader.readline()
            writer.write(replies)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(endpoint, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        connector = TcpEndpointConnector(asyncio.get_running_loop())
        target = announcement(address=f"{LOCAL}:{port}")
        return server, (await as_future(connector.connect(target))).ok_value

    async def _receive_shifted_reply(self) -> None:
        server, session = await self._connect_to(
            2, b"COMPLETE -\r\nREADY I 3.1\r\n" * 2
        )
        begun = session.request(BeginTransaction())
        rolled_back = session.request(RollbackTransaction())
        for promise in (begun, rolled_back):
            outcome = await as_future(promise)
            self.assertTrue(outcome.err_value.is_mismatch)
        self.assertFalse(session.is_open)
        server.close()
        await asyncio.sleep(0)

    async def _receive_doubled_reply(self) -> None:
        server, session = await self._connect_to(
            1, b"COMPLETE -\r\nREADY I 3.1\r\n" * 2
        )
        following: list[Any] = []
        first = session.request(SetSessionValue("a", "x"))
        first.add_callback(
            lambda: following.append(session.request(SetSessionValue("b", "y")))
        )
        self.assertTrue((await as_future(first)).is_ok())
        outcome = await as_future(following[0])
        self.assertTrue(outcome.err_value.is_mismatch)
        self.assertFalse(session.is_open)
        server.close()
        await asyncio.sleep(0)

    def test_a_connection_attempt_without_response_is_retried(self) -> None:
        """An endpoint with a full accept queue drops the first SYN packet."""
        asyncio.run(self._retry_connection_after_a_lost_packet())

    async def _retry_connection_after_a_lost_packet(self) -> None:
        async def endpoint(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readline()
            writer.write(b"READY I 3.1\r\n")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(endpoint, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        connect, attempts = loop.create_connection, 0

        async def hang_on_first_attempt(*arguments: Any) -> Any:
            nonlocal attempts
            attempts += 1
            if attempts == 1:
                await asyncio.Event().wait()
            return await connect(*arguments)

        loop.create_connection = hang_on_first_attempt  # type: ignore[assignment]
        connector = TcpEndpointConnector(loop)
        outcome = await as_future(
            connector.connect(announcement(address=f"{LOCAL}:{port}"))
        )
        self.assertTrue(outcome.is_ok())
        self.assertEqual(attempts, 2)
        outcome.ok_value.close()
        server.close()
        await asyncio.sleep(0)

    def test_an_address_that_cannot_be_connected_to_resolves_the_promise(self) -> None:
        """A pool counted such an attempt as under way for ever."""
        asyncio.run(self._connect_to_odd_addresses())

    async def _connect_to_odd_addresses(self) -> None:
        loop = asyncio.get_running_loop()
        connector = TcpEndpointConnector(loop)
        for address in ODD_ADDRESSES:
            with self.subTest(address[:30]):
                outcome = await asyncio.wait_for(
                    as_future(connector.connect(announcement(address=address))), 10.0
                )
                self.assertIsInstance(outcome.err_value, ConnectFailed)
                self.assertFalse(outcome.err_value.is_unreachable)

    def test_a_promotion_order_to_an_odd_address_gets_an_answer(self) -> None:
        """The failover of a group waited for the answer for ever."""
        asyncio.run(self._promote_at_odd_addresses())

    async def _promote_at_odd_addresses(self) -> None:
        loop = asyncio.get_running_loop()
        order = PromotionOrder("s1", "i-1", "core-1", 42)
        orders = [(address, order) for address in ODD_ADDRESSES]
        with self.assertLogs("absl", "WARNING"):
            for address, odd_order in (
                *orders,
                (f"{LOCAL}:1", PromotionOrder("s1", "i\ud800", "core-1", 42)),
            ):
                client = HttpPromotionClient(address, loop)
                answer = await asyncio.wait_for(
                    as_future(client.promote(odd_order)), 10.0
                )
                self.assertFalse(answer.is_answered)

    def test_split_pipelined_and_malformed_http_requests(self) -> None:
        asyncio.run(self._serve_http())

    async def _serve_http(self) -> None:
        async def handler(request: HttpRequest) -> HttpServerResponse:
            return HttpServerResponse(200, request.path.encode() + request.body)

        service = HttpService("test", f"{LOCAL}:0", handler)
        await service.start()
        assert service._server is not None
        port = service._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(LOCAL, port)
        raw_request = b"POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
        writer.write(raw_request + raw_request[:30])
        await asyncio.sleep(0.01)
        writer.write(raw_request[30:] + b"NONSENSE\r\n\r\n")
        data = await reader.read()
        self.assertEqual(data.count(b"/ahi"), 2)
        self.assertIn(b"400 Bad Request", data)
        writer.close()
        await service.stop()

    def test_metrics_are_served_in_the_prometheus_format(self) -> None:
        asyncio.run(self._read_metrics())

    async def _read_metrics(self) -> None:
        meters = Meters()
        meters.count("statements_total", statement="read", outcome="done")
        meters.observe("statement_duration_seconds", 30.0, consistency="bounded")
        service = MetricsService(LOCAL, meters, lambda: {"entry_hosts": 3.0})
        answer = await service._handle_request(HttpRequest("GET", "/metrics", b""))
        text = answer.body.decode()
        for expected in (
            'azurerelay_statements_total{outcome="done",statement="read"} 1.0',
            'azurerelay_statement_duration_seconds_bucket{consistency="bounded",'
            'le="0.05"} 1.0',
            "azurerelay_entry_hosts 3.0",
        ):
            self.assertIn(expected, text)


if __name__ == "__main__":
    unittest.main()
