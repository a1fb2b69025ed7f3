"""How many connections one of many hosts may hold, and for how long."""

import math
import zlib
from dataclasses import dataclass
from typing import Final

# Connections of an endpoint that no entry host takes: control asks for positions
# before a promotion, and a host may start before control counts it.
RESERVED_CONNECTIONS: Final = 2
# Where hosts take turns, each of up to seven control hosts keeps one as well.
RESERVED_FOR_CONTROL: Final = 7
# The part of its share that a host holds unused where there are fewer connections than
# hosts; the rest is for those in use, and for hosts that come back after a loss.
HELD_PART: Final = 0.7
MIN_HOLDING_MS: Final = 100.0  # a few times what it costs to open a connection
MAX_HOLDING_MS: Final = 60_000.0
_HASH_SPACE: Final = 2**32


@dataclass(frozen=True, slots=True)
class ConnectionShare:
    """What one host may take of an endpoint's connections.

    `limit` is how many it may have at a time, and `fair` how many there are for each
    host; less than one means that hosts take turns.
    """

    limit: int
    fair: float

    @property
    def is_scarce(self) -> bool:
        """Whether there are fewer connections than hosts."""
        return self.fair < 1.0


def connection_share(
    limit: int, hosts: int, own_name: str, endpoint: str
) -> ConnectionShare:
    """Return this host's part of an endpoint's connections, at least one.

    What division leaves over goes to hosts that are drawn by the hash of their name
    and the endpoint's, so that few connections are neither unused nor asked for twice.
    Where hosts take turns, one may use twice its share for a moment.
    """
    fair = _fair_share(limit, hosts)
    if fair < 1.0:
        return ConnectionShare(max(1, math.ceil(2.0 * fair)), fair)
    whole = int(fair)
    drawn = zlib.crc32(f"{own_name} {endpoint}".encode()) / _HASH_SPACE
    return ConnectionShare(whole + (drawn < fair - whole), fair)


def holding_ms(share: ConnectionShare, use_gap_ms: float) -> float:
    """Return for how long a host keeps its last connection unused.

    Answers fleets with more hosts than an endpoint takes connections. Uses that come
    at random every `use_gap_ms` find a connection that is kept for t open with the
    probability 1 - exp(-t / gap), and that many of all hosts hold one at a time.
    """
    if not share.is_scarce:
        return math.inf
    kept_ms = -math.log(1.0 - HELD_PART * share.fair) * use_gap_ms
    return min(MAX_HOLDING_MS, max(MIN_HOLDING_MS, kept_ms))


def connected_hosts(limit: int, hosts: int) -> float:
    """Return how many hosts are expected to have a connection to an endpoint."""
    fair = _fair_share(limit, hosts)
    return hosts * min(1.0, HELD_PART * fair) if fair < 1.0 else float(hosts)


def _fair_share(limit: int, hosts: int) -> float:
    free = max(0, limit - RESERVED_CONNECTIONS)
    if free < hosts:
        free = max(0, free - RESERVED_FOR_CONTROL)
    return free / max(1, hosts)
