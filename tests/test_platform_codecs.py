"""Tests of the platform's codecs with split, combined and invalid input."""

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from azurerelay.discovery import Announcement
from azurerelay.membership import COMMAND_CODEC, ReplaceConfiguration
from azurerelay.platform import (
    LineSplitter,
    MalformedStatement,
    OpenSession,
    ReplyAssembler,
    decode_announcement,
    decode_caller_line,
    decode_configuration,
    decode_departure,
    decode_promotion_status,
    encode_caller_reply,
    encode_command,
    encode_error_line,
    encode_promotion_order,
    encode_session_start,
    parse_host_settings,
    parse_position,
)
from azurerelay.promotions import PromotionOrder
from azurerelay.routes import Consistency, apply_change, change_between
from azurerelay.statements import (
    Begin,
    CallerError,
    CallerReply,
    Commit,
    EndpointError,
    Execute,
    PauseReceiving,
    Position,
    Prepare,
    PrepareShape,
    Read,
    ResumeReceiving,
    RunPrepared,
    RunStatement,
    SessionState,
    SetValue,
    Write,
)
from tests.platform_rig import configuration

PROPERTY_SETTINGS = settings(max_examples=150)
PRINTABLE_LINE = st.text(
    st.characters(codec="utf-8", exclude_categories=("C", "Z")), min_size=1, max_size=30
)


def document(**changes: Any) -> dict[str, Any]:
    base = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "db1",
                "path_prefix": "/",
                "kind": "primary",
                "timeout_ms": 800,
                "target_latency_ms": 400,
                "priority": 1,
                "service": "s1",
                "max_attempts": 2,
            }
        ],
        "services": [{"name": "s1", "max_connections": 45, "sync_replicas": 0}],
        "limits": {"transaction_idle_ms": 2_000},
        "unknown": 1,
    }
    return base | changes


class LinesTest(unittest.TestCase):
    @PROPERTY_SETTINGS
    @given(
        st.lists(PRINTABLE_LINE, max_size=6), st.lists(st.integers(0, 200), max_size=8)
    )
    def test_lines_are_the_same_however_the_bytes_are_split(
        self, lines: list[str], split_points: list[int]
    ) -> None:
        data = "".join(f"{line}\r\n" for line in lines).encode()
        chunk_bounds = sorted(
            {min(point, len(data)) for point in split_points} | {0, len(data)}
        )
        splitter = LineSplitter()
        received: list[str] = []
        for start, end in zip(chunk_bounds, chunk_bounds[1:], strict=False):
            received += splitter.feed(data[start:end]).ok_value
        self.assertEqual(received, lines)

    @PROPERTY_SETTINGS
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_yield_lines_or_an_error(self, data: bytes) -> None:
        lines = LineSplitter().feed(data)
        if not isinstance(lines, Err):
            for line in lines.ok_value:
                self.assertNotIn("\n", line)
                decode_caller_line(line)

    def test_control_characters_and_long_lines_are_errors(self) -> None:
        cases = [b"QUERY a READ x\nQUERY b WRITE y z\r\n", b"a\0\r\n", b"\xff\r\n"]
        cases += [b"x" * (1024 * 1024 + 3), b"x" * (1024 * 1024 + 1) + b"\r\n"]
        for data in cases:
            with self.subTest(data[:20]):
                self.assertIsInstance(LineSplitter().feed(data), Err)


class CallerCodecTest(unittest.TestCase):
    def test_statements_are_decoded(self) -> None:
        cases = {
            "BEGIN": Begin("q", "BEGIN", False),
            "BEGIN READ": Begin("q", "BEGIN READ", True),
            "COMMIT": Commit("q", "COMMIT"),
            "READ 1a4": Read("q", "READ 1a4"),
            "WRITE 1a4 x y": Write("q", "WRITE 1a4 x y"),
            "SET zone a b": SetValue("q", "SET zone a b", "zone", "a b"),
            "PREPARE s1 WRITE q2": Prepare(
                "q", "PREPARE s1 WRITE q2", "s1", "q2", True
            ),
            "EXECUTE s1 1a4 z": Execute("q", "EXECUTE s1 1a4 z", "s1", "1a4 z"),
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(
                    decode_caller_line(f"QUERY q {text}").ok_value, expected
                )

    def test_malformed_statements_do_not_end_the_session(self) -> None:
        for text in (
            "",
            "DROP x",
            "AFTER 3.4 READ x",
            "BEGIN WRITE",
            "READ",
            "WRITE x",
            "SET x",
            "PREPARE a OTHER b",
            "EXECUTE a",
            "STATUS",
            "COMMIT now",
        ):
            with self.subTest(text):
                message = decode_caller_line(f"QUERY q {text}").ok_value
                self.assertIsInstance(message, MalformedStatement)

    def test_malformed_messages_are_errors(self) -> None:
        for line in ("", "QUERY", "QUERY - READ x", "START", "HELLO x", "TERMINATE x"):
            with self.subTest(line):
                self.assertIsInstance(decode_caller_line(line), Err)

    def test_names_that_are_too_long_for_a_log_line_are_errors(self) -> None:
        """Each refused caller wrote its database name into the log, up to 1 MiB."""
        for line in (
            f"START {'x' * 1_025} u1",
            "START  u1",
            f"QUERY {'x' * 257} READ a",
        ):
            with self.subTest(line[:20]):
                self.assertIsInstance(decode_caller_line(line), Err)
        opened = decode_caller_line(f"START {'x' * 1_024} {'u' * 5_000}").ok_value
        self.assertEqual(opened, OpenSession("x" * 1_024, "u" * 1_025))
        long_write = f"WRITE a {'x' * 1_000_000}"
        unknown = encode_error_line(CallerError.UNKNOWN_NAME, "x" * 1_000_000)
        self.assertLess(len(unknown), 5_000)
        statement = decode_caller_line(f"QUERY {'q' * 256} {long_write}").ok_value
        self.assertEqual(statement, Write("q" * 256, long_write))

    def test_replies_are_encoded(self) -> None:
        success = CallerReply(SessionState.IDLE, ("r",), "sig", position=Position(3, 4))
        self.assertEqual(
            encode_caller_reply(success), "DATAROW r\r\nCOMPLETE sig\r\nREADY I 3.4\r\n"
        )
        refused = CallerReply(SessionState.FAILED, error=CallerError.ABORTED)
        self.assertEqual(
            encode_caller_reply(refused), "ERROR ABORTED aborted\r\nREADY E -\r\n"
        )


class EndpointCodecTest(unittest.TestCase):
    def test_commands_are_encoded(self) -> None:
        after = Position(3, 7)
        cases = {
            "QUERY q AFTER 3.7 READ x\r\n": RunStatement("q", "READ x", after),
            "QUERY q WRITE x y\r\n": RunStatement("q", "WRITE x y"),
            "QUERY q AFTER 3.7 EXECUTE r_s x\r\n": RunPrepared("q", "r_s", "x", after),
            "QUERY - PREPARE w_s WRITE s\r\n": PrepareShape("w_s", "s", True),
            "QUERY - PAUSE 5\r\n": PauseReceiving(5),
            "QUERY - RESUME\r\n": ResumeReceiving(),
        }
        for line, command in cases.items():
            self.assertEqual(encode_command(command), line)
        announcement = Announcement("i-1", "s1", "a:1", "z", 3, False, True, 0, 1, 1)
        self.assertEqual(
            encode_session_start(announcement), "START s1 azurerelay i-1\r\n"
        )

    def _assemble(self, *lines: str, is_status: bool = False) -> Any:
        assembler = ReplyAssembler(is_status)
        for line in lines[:-1]:
            self.assertIsNone(assembler.feed(line).ok_value)
        return assembler.feed(lines[-1])

    def test_replies_are_complete_or_invalid(self) -> None:
        success = self._assemble("DATAROW a", "COMPLETE s", "READY T 3.4").ok_value
        self.assertEqual((success.rows, success.signature), (("a",), "s"))
        self.assertEqual(success.position, Position(3, 4))
        self.assertIs(success.state, SessionState.IN_TRANSACTION)
        busy = self._assemble("ERROR BUSY all busy", "READY I -").ok_value
        self.assertIs(busy.error, EndpointError.BUSY)
        self.assertTrue(busy.has_not_run)
        for lines in (
            ("COMPLETE s", "DATAROW a"),
            ("COMPLETE s", "READY X -"),
            ("READY X -",),
            ("READY T 3.4",),
            ("HELLO",),
        ):
            self.assertIsInstance(self._assemble(*lines), Err)

    def test_a_status_reply_states_the_received_position(self) -> None:
        row = "DATAROW replica 3 3.1209 0 12 2 17"
        lines = (row, "COMPLETE -", "READY I 3.1204")
        status = self._assemble(*lines, is_status=True).ok_value
        self.assertEqual(status.received, Position(3, 1209))
        self.assertEqual(status.position, Position(3, 1204))
        self.assertEqual(status.term, 3)
        self.assertTrue(status.is_replica)
        lines = ("DATAROW replica x", "COMPLETE -", "READY I -")
        self.assertIsNone(self._assemble(*lines, is_status=True).ok_value.term)

    def test_invalid_positions_are_none(self) -> None:
        for text in ("-", "", "3", "3.x", "-1.2", ".4", "3.4.5", "٣.٤", " 3.4"):
            self.assertIsNone(parse_position(text))
        for number in (2**63, 10**24, "9" * 5_000):
            self.assertIsNone(parse_position(f"3.{number}"))
            self.assertIsNone(parse_position(f"{number}.3"))
        largest = 2**63 - 1
        self.assertEqual(parse_position(f"3.{largest}"), Position(3, largest))

    def test_a_reply_with_an_odd_position_is_invalid(self) -> None:
        """Control hosts could not encode the position in any of their replies."""
        for text in (f"3.{10**24}", f"{2**63}.1", "3." + "9" * 5_000, "3.x", "٣.٤"):
            for lines in (("COMPLETE s",), ("ERROR BUSY x",), ()):
                reply = self._assemble(*lines, f"READY I {text}")
                self.assertIsInstance(reply, Err)

    def test_an_odd_position_in_a_status_row_is_no_position(self) -> None:
        """The endpoint is then no candidate for a promotion."""
        for field in (f"3.{10**24}", "3." + "9" * 5_000, "-", "x"):
            row = f"DATAROW replica 3 {field} 0 12 2 17"
            lines = (row, "COMPLETE -", "READY I 3.1204")
            self.assertIsNone(self._assemble(*lines, is_status=True).ok_value.received)

    def test_a_reply_without_end_is_invalid(self) -> None:
        assembler = ReplyAssembler()
        line = "DATAROW " + "x" * 1_000_000
        for _ in range(16):
            self.assertIsNone(assembler.feed(line).ok_value)
        self.assertIsInstance(assembler.feed(line), Err)

    def test_a_long_error_text_is_cut(self) -> None:
        reply = self._assemble("ERROR FAILED " + "x" * 1_000_000, "READY I -").ok_value
        self.assertEqual(len(reply.error_text), 4_096)


class ConfigurationCodecTest(unittest.TestCase):
    def test_a_document_is_decoded_and_kept_unchanged(self) -> None:
        body = json.dumps(document()).encode()
        decoded = decode_configuration(body).ok_value
        self.assertEqual((decoded.version, decoded.transaction_idle_ms), (7, 2_000))
        self.assertEqual(decoded.document, body)
        self.assertIs(decoded.routes[0].consistency, Consistency.PRIMARY)

    def test_all_findings_are_reported_with_their_json_path(self) -> None:
        valid = document()["routes"][0]
        cases: dict[str, tuple[dict[str, Any], list[str]]] = {
            "unknown service": (
                document(routes=[valid | {"service": "s9"}]),
                ["$.routes[0].service"],
            ),
            "no timeout": (
                document(routes=[valid | {"timeout_ms": 0}]),
                ["$.routes[0].timeout_ms"],
            ),
            "same host and path prefix": (
                document(routes=[valid, valid | {"name": "r-2"}]),
                ["$.routes[1]"],
            ),
            "several": (
                document(version="7", routes=[valid | {"kind": "x", "host": ""}]),
                ["$.version", "$.routes[0].kind", "$.routes[0].host"],
            ),
            "no lists": ({"version": 1}, ["$.routes", "$.services"]),
        }
        for name, (invalid_document, expected_places) in cases.items():
            with self.subTest(name):
                findings = decode_configuration(
                    json.dumps(invalid_document).encode()
                ).err_value
                self.assertEqual(
                    sorted(finding.place for finding in findings),
                    sorted(expected_places),
                )

    def test_a_document_with_an_odd_field_is_rejected_with_its_json_path(self) -> None:
        """It was answered with 500, and sent again to all control hosts in turn."""
        route, service = document()["routes"][0], document()["services"][0]
        numbers = ("timeout_ms", "target_latency_ms", "priority", "max_attempts")
        cases: list[tuple[str, dict[str, Any]]] = []
        for value in (10**24, 2**63, -1, 1.5, True, "1", [1]):
            cases.append(("$.version", document(version=value)))
            limits = {"transaction_idle_ms": value}
            cases.append(("$.limits.transaction_idle_ms", document(limits=limits)))
            for key in (*numbers, "max_staleness_ms"):
                changed = document(routes=[route | {key: value}])
                cases.append((f"$.routes[0].{key}", changed))
            for key in ("max_connections", "sync_replicas"):
                changed = document(services=[service | {key: value}])
                cases.append((f"$.services[0].{key}", changed))
        for text in ("x" * 1_025, "", None, 7, ["a"]):
            for key in ("name", "host", "service"):
                changed = document(routes=[route | {key: text}])
                cases.append((f"$.routes[0].{key}", changed))
        for prefix in (None, 7, {"a": 1}):
            changed = document(routes=[route | {"path_prefix": prefix}])
            cases.append(("$.routes[0].path_prefix", changed))
        for place, odd_document in cases:
            with self.subTest(place=place, document=str(odd_document)[:40]):
                rejected = decode_configuration(json.dumps(odd_document).encode())
                self.assertIn(place, {f.place for f in rejected.err_value})

    def test_a_document_that_is_nested_too_deeply_is_rejected(self) -> None:
        body = json.dumps(document()).encode()
        for data in (b"[" * 50_000, body[:-1] + b', "x": ' + b"[" * 50_000):
            self.assertIsInstance(decode_configuration(data), Err)

    def test_documents_at_the_limits_are_accepted(self) -> None:
        route = document()["routes"][0]
        for changed in (
            document(version=2**63 - 1),
            document(routes=[route | {"timeout_ms": 2**63 - 1}]),
            document(routes=[route | {"host": "x" * 1_024}]),
            document(routes=[route, route | {"name": "r-2", "path_prefix": ""}]),
            document(unknown={"a": [[[10**30]]]}, limits={}),
        ):
            decoded = decode_configuration(json.dumps(changed).encode()).ok_value
            frame = COMMAND_CODEC.encode(ReplaceConfiguration(1, "operator", decoded))
            read_back = COMMAND_CODEC.decode(frame).ok_value
            self.assertEqual(read_back.configuration, decoded)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 500))
    def test_a_truncated_document_is_rejected(self, length: int) -> None:
        body = json.dumps(document()).encode()
        if length < len(body):
            self.assertIsInstance(decode_configuration(body[:length]), Err)

    @PROPERTY_SETTINGS
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=4),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["version", "routes", "services", "limits", "host"]),
                inner,
                max_size=4,
            ),
            max_leaves=12,
        )
    )
    def test_arbitrary_json_never_raises(self, value: Any) -> None:
        decode_configuration(json.dumps(value).encode())

    def test_a_change_rebuilds_the_configuration(self) -> None:
        before, after = configuration(1), configuration(2, transaction_idle_ms=5)
        after = configuration(2, routes=before.routes[1:], groups=before.groups)
        change = change_between(before, after)
        rebuilt = apply_change(before, change)
        assert rebuilt is not None
        self.assertEqual(rebuilt.routes, after.routes)
        self.assertIsNone(apply_change(configuration(9), change))


SETTINGS: dict[str, Any] = {
    "node_name": "core-1",
    "serves": ["control_plane"],
    "ip_address": "10.1.0.11",
    "zone": "a",
    "zones": {"a": "r"},
    "listen_addresses": {"control_plane": "10.1.0.11:8782"},
    "internal_port_range": [7440, 7455],
    "seeds": ["10.1.0.11:8782"],
    "bootstrap": True,
    "heartbeat_interval_ms": 1200,
    "fault_tolerance": {"machines": 2, "zones": 0},
    "new": 1,
}


class CallsTest(unittest.TestCase):
    def test_heartbeats_are_decoded_and_invalid_ones_rejected(self) -> None:
        valid = {
            "service": "s1",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_remaining_ms": 0,
            "database_role": "primary",
            "seq": 4,
            "born": 99,
        }
        announcement = decode_announcement("i-1", json.dumps(valid).encode()).ok_value
        self.assertEqual((announcement.incarnation, announcement.sequence), (99, 4))
        self.assertTrue(announcement.is_primary)
        field_changes: list[dict[str, Any]] = [
            {"service": 3},
            {"slots": "3"},
            {"slots": True},
            {"seq": 1.5},
            {"state": "gone"},
            {"database_role": "x"},
            {"address": "nowhere"},
        ]
        for field_change in field_changes:
            with self.subTest(field_change):
                body = json.dumps(valid | field_change).encode()
                self.assertIsInstance(decode_announcement("i-1", body), Err)
        for body in (b"", b"[]", b"{", b"\xff"):
            self.assertIsInstance(decode_announcement("i-1", body), Err)

    def test_deregistrations_are_decoded(self) -> None:
        self.assertEqual(decode_departure("i-1", b'{"born": 5}'), Ok(5))
        for body in (b"", b"{}"):
            self.assertEqual(decode_departure("i-1", body), Ok(None))

    def test_promotion_requests_and_statuses(self) -> None:
        call = encode_promotion_order(PromotionOrder("s1", "i-1", "core-1", 42))
        self.assertEqual(json.loads(call.body), {"service": "s1", "id": "i-1"})
        self.assertEqual(call.headers["X-Azurerelay-Fencing-Token"], "42")
        self.assertTrue(decode_promotion_status(200).is_done)
        self.assertTrue(decode_promotion_status(409).is_fenced)
        self.assertFalse(decode_promotion_status(429).is_done)

    def test_platform_settings_are_parsed(self) -> None:
        parsed = parse_host_settings(json.dumps(SETTINGS).encode(), "file").ok_value
        self.assertEqual(parsed.seed_addresses, ("10.1.0.11:7440",))
        self.assertEqual(parsed.max_disk_losses, 2)
        self.assertIsInstance(parse_host_settings(b"{}", "file"), Err)

    def test_odd_settings_are_findings_with_their_json_path(self) -> None:
        """A host that runs keeps its settings then; one that starts says why not."""
        cases: list[tuple[str, dict[str, Any]]] = [
            ("$.heartbeat_interval_ms", {"heartbeat_interval_ms": value})
            for value in (0, -1, 1e300, 10**18)
        ]
        for port in (0, -1, 65_536, 10**18):
            cases += [
                ("$.internal_port_range[0]", {"internal_port_range": [port, 7455]}),
                ("$.internal_port_range[1]", {"internal_port_range": [7440, port]}),
            ]
        for address in ("", "nowhere", "10.1.0.11:", "10.1.0.11:99999", ":80", "a:٨٠"):
            cases += [
                ("$.seeds[1]", {"seeds": ["10.1.0.11:8782", address]}),
                ("$.cloud_api.address", {"cloud_api": {"address": address}}),
                (
                    "$.listen_addresses.frontend",
                    {"listen_addresses": {"frontend": address}},
                ),
            ]
        cases += [
            ("$.node_name", {"node_name": "a\r\nb"}),
            ("$.zone", {"zone": ""}),
            ("$.ip_address", {"ip_address": ""}),
            ("$.bounds.grace_period_s", {"bounds": {"grace_period_s": 1e300}}),
            ("$.fault_tolerance.machines", {"fault_tolerance": {"machines": -1}}),
        ]
        for path, changes in cases:
            with self.subTest(path=path, changes=str(changes)[:40]):
                body = json.dumps(SETTINGS | changes).encode()
                findings = parse_host_settings(body, "file").err_value
                self.assertEqual([f.place for f in findings], [f"file: {path}"])
        nested = json.dumps(SETTINGS).encode()[:-1] + b', "x": ' + b"[" * 50_000
        self.assertIsInstance(parse_host_settings(nested, "file"), Err)


if __name__ == "__main__":
    unittest.main()
