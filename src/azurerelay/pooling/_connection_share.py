"""How many connections one of many hosts may hold."""

import zlib
from typing import Final

# Connections of an endpoint that no entry host takes: control asks for positions
# before a promotion, and a host may start before control counts it.
RESERVED_CONNECTIONS: Final = 2
_HASH_SPACE: Final = 2**32


def connection_share(limit: int, hosts: int, own_name: str, endpoint: str) -> int:
    """Return this host's part of an endpoint's connections, at least one.

    What division leaves over goes to hosts that are drawn by the hash of their name
    and the endpoint's, so that few connections are neither unused nor asked for twice.
    """
    share = max(1.0, (limit - RESERVED_CONNECTIONS) / max(1, hosts))
    whole = int(share)
    drawn = zlib.crc32(f"{own_name} {endpoint}".encode()) / _HASH_SPACE
    return whole + (drawn < share - whole)
