"""Compression of log commands, snapshots and large messages.

A configuration of hundreds of routes shrinks to an eighth. Each change sends one to
every control host, mostly across regions, and after a loss of power every entry host
gets one over a slow link.
"""

import zlib
from typing import Final

LEVEL: Final = 6  # the zlib default: a compromise between speed and size
# As much as a link carries in one message. A small message could otherwise take all
# memory of a host.
MAX_DECOMPRESSED_BYTES: Final = 64 * 1024 * 1024
_ZLIB_FIRST_BYTE: Final = 0x78  # cannot start a MessagePack map or array


def compress(data: bytes) -> bytes:
    """Return the data compressed with zlib; empty data stays empty."""
    return zlib.compress(data, LEVEL) if data else b""


def decompress(data: bytes) -> bytes:
    """Return the uncompressed data.

    Raises `zlib.error` if it is not zlib data, or larger than `MAX_DECOMPRESSED_BYTES`.
    """
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error(
            f"the data is incomplete or exceeds {MAX_DECOMPRESSED_BYTES} bytes"
        )
    return content


def is_compressed(data: bytes) -> bool:
    """Return whether data is compressed; plain snapshots are MessagePack maps."""
    return data[:1] == bytes((_ZLIB_FIRST_BYTE,))
