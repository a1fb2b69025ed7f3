"""Compression of log commands and snapshots.

Each change sends the whole configuration to every control host, and to most of them
across regions. The text of one with hundreds of routes shrinks to an eighth.
"""

import zlib
from typing import Final

LEVEL: Final = 6  # the zlib default: a compromise between speed and size
_ZLIB_FIRST_BYTE: Final = 0x78  # cannot start a MessagePack map or array


def compress(data: bytes) -> bytes:
    """Return the data compressed with zlib; empty data stays empty."""
    return zlib.compress(data, LEVEL) if data else b""


def decompress(data: bytes) -> bytes:
    """Return the uncompressed data; raise `zlib.error` if it is not zlib data."""
    return zlib.decompress(data) if data else b""


def is_compressed(data: bytes) -> bool:
    """Return whether data is compressed; plain snapshots are MessagePack maps."""
    return data[:1] == bytes((_ZLIB_FIRST_BYTE,))
