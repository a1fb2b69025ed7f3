"""How many connections to an endpoint a host may open, and how long it keeps them."""

import math
import zlib
from dataclasses import dataclass
from typing import Final

# Connections of each endpoint that are not divided among the entry hosts: control
# hosts query positions before a promotion, and an entry host may open connections
# before the control hosts count it.
RESERVED_CONNECTIONS: Final = 2
# Reserved in addition where an endpoint takes fewer connections than there are entry
# hosts: each of up to seven control hosts then keeps one connection open.
RESERVED_FOR_CONTROL: Final = 7
# Where there are fewer connections than hosts, the fraction of its fair share that a
# host holds idle on average. The rest is for connections in use and for hosts that
# reconnect after a failure.
HELD_FRACTION: Final = 0.7
# How much larger than its part of the fleet a region is expected to be at most.
REGION_SIZE_MARGIN: Final = 1.25
MIN_IDLE_TIMEOUT_MS: Final = 100.0  # a few times the cost of opening a connection
MAX_IDLE_TIMEOUT_MS: Final = 60_000.0
_HASH_SPACE: Final = 2**32


@dataclass(frozen=True, slots=True)
class ConnectionShare:
    """One host's share of the connections that an endpoint takes.

    `limit` is the most connections that the host may have open. `fair_share` is the
    number of connections available divided by the number of hosts; below one, not
    every host can have a connection at the same time.
    """

    limit: int
    fair_share: float

    @property
    def is_scarce(self) -> bool:
        """Whether fewer connections are available than there are hosts."""
        return self.fair_share < 1.0


def connection_share(
    limit: int, hosts: int, own_name: str, endpoint: str
) -> ConnectionShare:
    """Return this host's share of an endpoint's connections; its limit is at least 1.

    The remainder of the division goes to hosts selected by a hash of the names of the
    host and the endpoint, so that without coordination few connections are left unused
    or claimed twice. Where there are fewer connections than hosts, the limit is twice
    the fair share, rounded up, so that a host may exceed its share for a short time.
    """
    fair_share = _fair_share(limit, hosts)
    if fair_share < 1.0:
        return ConnectionShare(max(1, math.ceil(2.0 * fair_share)), fair_share)
    guaranteed = int(fair_share)
    hash_fraction = zlib.crc32(f"{own_name} {endpoint}".encode()) / _HASH_SPACE
    return ConnectionShare(
        guaranteed + (hash_fraction < fair_share - guaranteed), fair_share
    )


def regional_connection_share(
    share: ConnectionShare, region_fraction: float
) -> ConnectionShare:
    """Return a host's share of a replica that only hosts of its region read from.

    `share` is the host's share if all hosts used the endpoint, and `region_fraction`
    the expected part of the fleet in the region. Where connections are scarce for all
    hosts, they may suffice for those of the region, which then need not take turns. The
    limit does not shrink.
    """
    if not share.is_scarce:
        return share
    regional = share.fair_share / min(1.0, region_fraction * REGION_SIZE_MARGIN)
    return ConnectionShare(max(share.limit, int(regional)), regional)


def idle_timeout_ms(share: ConnectionShare, use_gap_ms: float) -> float:
    """Return how long a host keeps its last connection open while it is idle.

    The timeout is infinite where each host can have a connection. Otherwise it limits
    how many hosts hold one: if uses arrive at random, on average every `use_gap_ms`,
    and an idle connection is closed after t, it is open for a fraction
    1 - exp(-t / use_gap_ms) of the time. The timeout sets this fraction to
    `HELD_FRACTION` of the fair share, within the minimum and the maximum.
    """
    if not share.is_scarce:
        return math.inf
    timeout_ms = -math.log(1.0 - HELD_FRACTION * share.fair_share) * use_gap_ms
    return min(MAX_IDLE_TIMEOUT_MS, max(MIN_IDLE_TIMEOUT_MS, timeout_ms))


def connected_hosts(limit: int, hosts: int) -> float:
    """Return how many hosts are expected to have a connection to an endpoint."""
    fair_share = _fair_share(limit, hosts)
    return (
        hosts * min(1.0, HELD_FRACTION * fair_share)
        if fair_share < 1.0
        else float(hosts)
    )


def _fair_share(limit: int, hosts: int) -> float:
    available = max(0, limit - RESERVED_CONNECTIONS)
    if available < hosts:
        available = max(0, available - RESERVED_FOR_CONTROL)
    return available / max(1, hosts)
