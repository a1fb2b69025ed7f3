"""Selection of the hosts that serve a group."""

import hashlib
from collections.abc import Iterable

from azurerelay.membership._records import HostRecord


def choose_serving_set(
    group: str, hosts: Iterable[HostRecord], size: int
) -> tuple[str, ...]:
    """Return up to `size` hosts by rendezvous hashing, spread over failure domains.

    Draining hosts are left out. The host with the highest weight in each failure
    domain comes before the second of any domain, so that the loss of one domain
    removes as few members as possible.
    """
    ranked = sorted(
        (host for host in hosts if not host.is_draining),
        key=lambda host: rendezvous_weight(group, host.name),
        reverse=True,
    )
    domain_counts: dict[str, int] = {}
    order: list[tuple[int, int, str]] = []
    for rank, host in enumerate(ranked):
        domain_rank = domain_counts.get(host.failure_domain, 0)
        domain_counts[host.failure_domain] = domain_rank + 1
        order.append((domain_rank, rank, host.name))
    return tuple(name for _, _, name in sorted(order)[:size])


def rendezvous_weight(group: str, host: str) -> int:
    """Return the rendezvous weight of a host for a group."""
    digest = hashlib.blake2b(f"{group}\0{host}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
