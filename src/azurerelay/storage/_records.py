"""Length-prefixed, checksummed records in an append-only file.

The header is the payload length, a checksum of that length and a checksum of the
payload. Because the length has its own checksum, a damaged length is not mistaken for
a record that a crash left incomplete at the end of the file.
"""

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
    """The payloads of a file and the length in bytes of the records that hold them."""

    payloads: tuple[bytes, ...]
    valid_bytes: int


def encode_record(payload: bytes) -> bytes:
    """Return a record: header and payload."""
    length = len(payload)
    return _HEADER.pack(length, _length_checksum(length), zlib.crc32(payload)) + payload


def scan_records(file: str, data: bytes) -> Result[RecordScan, CorruptRecord]:
    """Read all records of a file's content.

    An incomplete last record, one with a wrong payload checksum, or a tail of zeroes
    is taken for a write that a crash interrupted and ends the scan. A damaged header,
    or a damaged payload before the last record, is an error, which names `file`.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        if len(data) - offset < _HEADER_BYTES:
            break
        length, length_checksum, payload_checksum = _HEADER.unpack_from(data, offset)
        if length_checksum != _length_checksum(length):
            if _is_zero_filled(data, offset):
                break
            return Err(
                CorruptRecord(file, offset, "record length does not match its checksum")
            )
        end = offset + _HEADER_BYTES + length
        if end > len(data):
            break
        payload = data[offset + _HEADER_BYTES : end]
        if zlib.crc32(payload) != payload_checksum:
            if end == len(data):
                break
            return Err(
                CorruptRecord(file, offset, "record does not match its checksum")
            )
        payloads.append(payload)
        offset = end
    return Ok(RecordScan(tuple(payloads), offset))


def _length_checksum(length: int) -> int:
    return zlib.crc32(length.to_bytes(4, "big")) ^ 0x5A5A5A5A


def _is_zero_filled(data: bytes, offset: int) -> bool:
    """Return whether only zeroes follow: the file grew, but no data was written."""
    return not data[offset:].strip(b"\0")
