"""Property tests of all decoders with input that no healthy sender produces.

Valid input is changed: odd values, deep nesting, duplicate and missing keys, truncation,
other encodings. A decoder returns an error or a value, and each value can be sent to
other hosts, saved and used.
"""

import json
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from azurerelay.attachment import ProvenLeader, SyncReply
from azurerelay.attachment._packed_update import unpack_update
from azurerelay.cluster import CONTROL_LINK_CODEC
from azurerelay.cluster._messages import (
    AnnouncementRelay,
    DepartureRelay,
    DirectoryDigest,
    LeaveRequest,
)
from azurerelay.discovery import Departure, EndpointDirectory
from azurerelay.hosts._directory_cache import DirectoryCache, SavedDirectory
from azurerelay.membership import COMMAND_CODEC, ReplaceConfiguration
from azurerelay.messages import compress
from azurerelay.platform import (
    LineSplitter,
    ReplyAssembler,
    decode_announcement,
    decode_caller_line,
    decode_configuration,
    decode_departure,
    encode_session_start,
    parse_host_settings,
)
from azurerelay.storage import MemoryDisk
from tests.platform_rig import configuration
from tests.property_settings import property_settings
from tests.test_cluster import announcement
from tests.test_odd_entries import HEARTBEAT
from tests.test_platform_codecs import SETTINGS, document

EXAMPLES = property_settings(150)
DEPTHS = st.sampled_from((1, 50, 400, 900, 990, 1_010, 5_000, 100_000))
ODD_NUMBERS = st.sampled_from(
    (-1, 0, 65_535, 65_536, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**24, -(2**70))
)
ODD_TEXTS = st.sampled_from(
    ("", " ", "a b", "a\r\nb", "\0", "\u202e", "٣.٤", "x" * 2_000, "10.0.0.1:99999")
)
ODD_ADDRESSES = st.builds(
    "{}:{}".format,
    st.sampled_from(("10.9.0.1", "10.9.0.256", "1.2.3", "::1", "a..b", "")),
    ODD_NUMBERS | st.text(max_size=6),
)
ODD_VALUES = (
    st.none()
    | st.booleans()
    | ODD_NUMBERS
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | ODD_TEXTS
    | ODD_ADDRESSES
    | st.text(max_size=8)
    | st.lists(st.integers(), max_size=2)
    | st.dictionaries(st.text(max_size=3), st.integers(), max_size=2)
)


def nested_json(depth: int, is_closed: bool) -> bytes:
    return b"[" * depth + (b"]" * depth if is_closed else b"")


RAW_VALUES = (
    ODD_VALUES.map(lambda value: json.dumps(value).encode())
    | st.builds(nested_json, DEPTHS, st.booleans())
    | st.sampled_from((b"NaN", b"1e999", b"-0", b"1" * 5_000, b'"\\ud800"', b"0x1"))
    | st.binary(max_size=4)
)


def json_bytes(fields: list[tuple[str, bytes]]) -> bytes:
    pairs = (json.dumps(key).encode() + b":" + value for key, value in fields)
    return b"{" + b",".join(pairs) + b"}"


@st.composite
def changed_json(draw: st.DrawFn, valid: dict[str, Any]) -> bytes:
    """Return the JSON of an object of which some fields, or all bytes, are changed."""
    fields = [(key, json.dumps(value).encode()) for key, value in valid.items()]
    for _ in range(draw(st.integers(0, 2))):
        key = draw(st.sampled_from([*valid, "unknown"]))
        match draw(st.sampled_from(("replace", "repeat", "leave out"))):
            case "replace":
                fields = [pair for pair in fields if pair[0] != key]
                fields.append((key, draw(RAW_VALUES)))
            case "repeat":
                fields.append((key, draw(RAW_VALUES)))
            case _:
                fields = [pair for pair in fields if pair[0] != key]
    return draw(changed_bytes(json_bytes(fields)))


@st.composite
def changed_bytes(draw: st.DrawFn, data: bytes) -> bytes:
    """Return data that is unchanged, truncated, overwritten or encoded otherwise."""
    match draw(st.sampled_from(("keep", "keep", "truncate", "overwrite", "encode"))):
        case "truncate":
            return data[: draw(st.integers(0, len(data)))]
        case "overwrite":
            start = draw(st.integers(0, len(data)))
            odd = draw(st.binary(max_size=8))
            return data[:start] + odd + data[start + len(odd) :]
        case "encode":
            encoding = draw(st.sampled_from(("utf-16", "utf-8-sig", "cp500")))
            return data.decode(errors="replace").encode(encoding, errors="replace")
    return data


class JsonDecodersTest(unittest.TestCase):
    @EXAMPLES
    @given(ODD_TEXTS | st.just("i-1"), changed_json(HEARTBEAT))
    def test_heartbeats(self, endpoint: str, body: bytes) -> None:
        decoded = decode_announcement(endpoint, body)
        if isinstance(decoded, Err):
            self.assertTrue(decoded.err_value)
            return
        entry = decoded.ok_value
        refused: list[str] = []
        directory = EndpointDirectory(refused.append)
        self.assertTrue(directory.merge(entry, 0.0))
        self.assertEqual(refused, [])
        message = AnnouncementRelay(entry)
        frame = CONTROL_LINK_CODEC.encode(message)
        self.assertEqual(CONTROL_LINK_CODEC.decode(frame).ok_value, message)
        line = encode_session_start(entry)
        self.assertEqual(len(line.split(" ")), 4)
        self.assertEqual(LineSplitter().feed(line.encode()).ok_value, [line[:-2]])
        self.assertLess(int(entry.address.rpartition(":")[2]), 65_536)

    @EXAMPLES
    @given(changed_json({"born": 99}))
    def test_deregistrations(self, body: bytes) -> None:
        decoded = decode_departure("i-1", body)
        if decoded.is_ok() and decoded.ok_value is not None:
            departure = Departure("i-1", decoded.ok_value)
            directory = EndpointDirectory(self.fail)
            directory.merge_departure(departure, 0.0)
            CONTROL_LINK_CODEC.encode(DepartureRelay(departure))

    @EXAMPLES
    @given(
        changed_json(document())
        | changed_json(document()["routes"][0]).map(
            lambda route: document_bytes("routes", route)
        )
        | changed_json(document()["services"][0]).map(
            lambda service: document_bytes("services", service)
        )
    )
    def test_configuration_orders(self, body: bytes) -> None:
        decoded = decode_configuration(body)
        if isinstance(decoded, Err):
            self.assertTrue(decoded.err_value)
            return
        command = ReplaceConfiguration(1, "operator", decoded.ok_value)
        frame = COMMAND_CODEC.encode(command)
        self.assertEqual(COMMAND_CODEC.decode(frame).ok_value, command)
        self.assertEqual(decoded.ok_value.document, body)

    @EXAMPLES
    @given(changed_json(SETTINGS))
    def test_settings(self, body: bytes) -> None:
        parsed = parse_host_settings(body, "file")
        if parsed.is_ok():
            self.assertGreater(parsed.ok_value.heartbeat_interval_ms, 0.0)


def document_bytes(key: str, item: bytes) -> bytes:
    """Return a configuration whose list `key` holds one item of the given bytes."""
    fields = [(k, json.dumps(value).encode()) for k, value in document().items()]
    return json_bytes([(k, b"[" + item + b"]" if k == key else v) for k, v in fields])


class LineDecodersTest(unittest.TestCase):
    WORDS = st.sampled_from(
        "START QUERY TERMINATE BEGIN READ WRITE SET PREPARE EXECUTE DATAROW COMPLETE "
        "ERROR READY I T E - 3.7 BUSY q1 STATUS replica".split(" ")
    )
    FIELDS = (
        WORDS | ODD_TEXTS | ODD_NUMBERS.map(lambda n: f"3.{n}") | st.text(max_size=6)
    )
    LINES = st.lists(FIELDS, max_size=6).map(" ".join)

    @EXAMPLES
    @given(LINES)
    def test_caller_lines(self, line: str) -> None:
        decode_caller_line(line)

    @EXAMPLES
    @given(st.lists(LINES, max_size=4), st.booleans())
    def test_endpoint_replies(self, lines: list[str], is_status: bool) -> None:
        assembler = ReplyAssembler(is_status)
        for line in (*lines, "READY I 3.7"):
            fed = assembler.feed(line)
            if isinstance(fed, Err):
                return
            if fed.ok_value is None:
                continue
            for position in (fed.ok_value.position, fed.ok_value.received):
                leader = ProvenLeader("g", position, 0.0, 0.0)
                reply = SyncReply(1, 0.0, 1, None, None, (), (leader,))
                CONTROL_LINK_CODEC.encode(reply)
            return

    @EXAMPLES
    @given(changed_bytes(b"QUERY q1 READ a\r\nSTART db u\r\n"), st.binary(max_size=9))
    def test_byte_streams(self, data: bytes, rest: bytes) -> None:
        splitter = LineSplitter()
        for part in (data, rest):
            lines = splitter.feed(part)
            if isinstance(lines, Err):
                return
            for line in lines.ok_value:
                decode_caller_line(line)


def nested_msgpack(depth: int) -> bytes:
    return b"\x91" * depth + b"\xc0"


class FrameDecodersTest(unittest.TestCase):
    MESSAGES = (
        AnnouncementRelay(announcement()),
        DirectoryDigest((announcement(), announcement(endpoint="e2")), (), 2),
        DirectoryDigest((), (), 2, former_members=(announcement(endpoint="e3"),)),
        LeaveRequest(1, announcement(), Departure("e1", 1)),
    )
    FRAMES = tuple(CONTROL_LINK_CODEC.encode(message) for message in MESSAGES)
    ODD_FRAMES = (
        st.sampled_from(FRAMES).flatmap(changed_bytes)
        | DEPTHS.map(nested_msgpack)
        | DEPTHS.map(
            lambda depth: b"\x93\x01\xb1AnnouncementRelay\x81\xa1x"
            + nested_msgpack(depth)
        )
        | st.binary(max_size=40)
    )

    def _check(self, decode: Callable[[bytes], Any], frame: bytes) -> None:
        decoded = decode(frame)
        if decoded.is_ok():
            msgspec.msgpack.encode(decoded.ok_value)

    @EXAMPLES
    @given(ODD_FRAMES)
    def test_link_messages(self, frame: bytes) -> None:
        self._check(CONTROL_LINK_CODEC.decode, frame)

    @EXAMPLES
    @given(ODD_FRAMES, st.booleans())
    def test_packed_updates(self, frame: bytes, is_compressed: bool) -> None:
        self._check(unpack_update, compress(frame) if is_compressed else frame)

    @EXAMPLES
    @given(
        changed_bytes(
            COMMAND_CODEC.encode(ReplaceConfiguration(1, "a", configuration()))
        )
        | ODD_FRAMES
    )
    def test_commands(self, frame: bytes) -> None:
        self._check(COMMAND_CODEC.decode, frame)

    @EXAMPLES
    @given(
        changed_bytes(
            msgspec.msgpack.encode(
                SavedDirectory(
                    (announcement(),) * 3,
                    (Departure("e2", 7),),
                    (announcement(endpoint="e3"),),
                )
            )
        )
        | ODD_FRAMES
    )
    def test_saved_directories(self, data: bytes) -> None:
        disk = MemoryDisk()
        disk.replace("directory.cache", data)
        saved = DirectoryCache(disk, EndpointDirectory()).load()
        directory = EndpointDirectory()
        directory.merge_all(saved.announcements, saved.departures, 0.0)
        directory.merge_former_members(saved.former_members, 0.0)
        msgspec.msgpack.encode(
            SavedDirectory(
                directory.announcements,
                directory.departures,
                directory.former_members.announcements,
            )
        )


if __name__ == "__main__":
    unittest.main()
