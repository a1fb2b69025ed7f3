"""Length-prefixed, checksummed records in an append-only file."""

import struct
import zlib
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from azurerelay.storage._corrupt_record import CorruptRecord

_HEADER: Final = struct.Struct(">III")
_HEADER_BYTES: Final = _HEADER.size
MAX_RECORD_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RecordScan:
    """The payloads of a file and the length of its undamaged part in bytes."""

    payloads: tuple[bytes, ...]
    valid_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Return length, header checksum, payload checksum and payload."""
    length = len(payload)
    return _HEADER.pack(length, _length_checksum(length), zlib.crc32(payload)) + payload


def scan_records(file: str, data: bytes) -> Result[RecordScan, CorruptRecord]:
    """Read all records; a torn tail ends the scan, damage before it is an error."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        if len(data) - offset < _HEADER_BYTES:
            break
        length, length_checksum, payload_checksum = _HEADER.unpack_from(data, offset)
        if length_checksum != _length_checksum(length):
            if _is_blank(data, offset):
                break
            return Err(CorruptRecord(file, offset, "record length is damaged"))
        end = offset + _HEADER_BYTES + length
        if end > len(data):
            break
        payload = data[offset + _HEADER_BYTES : end]
        if zlib.crc32(payload) != payload_checksum:
            if end == len(data):
                break
            return Err(CorruptRecord(file, offset, "record checksum differs"))
        payloads.append(payload)
        offset = end
    return Ok(RecordScan(tuple(payloads), offset))


def _length_checksum(length: int) -> int:
    return zlib.crc32(length.to_bytes(4, "big")) ^ 0x5A5A5A5A


def _is_blank(data: bytes, offset: int) -> bool:
    """Return whether only zeroes follow, as after a torn extension of a file."""
    return not data[offset:].strip(b"\0")
