"""Compressed commands and snapshots.

A configuration of hundreds of routes is sent to every control host at each change, and
to most of them between regions; its text shrinks to an eighth.
"""

import zlib
from typing import Final

LEVEL: Final = 6  # zlib's usual balance of time and size
_ZLIB_FIRST_BYTE: Final = 0x78  # no MessagePack map or array begins with it


def compress(data: bytes) -> bytes:
    """Return the data in fewer bytes; empty stays empty."""
    return zlib.compress(data, LEVEL) if data else b""


def decompress(data: bytes) -> bytes:
    """Return what was compressed; raise `zlib.error` for anything else."""
    return zlib.decompress(data) if data else b""


def is_compressed(data: bytes) -> bool:
    """Return whether data was compressed; plain snapshots are MessagePack maps."""
    return data[:1] == bytes((_ZLIB_FIRST_BYTE,))
