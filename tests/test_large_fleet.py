"""Tests of a fleet of 200 hosts on simulated time."""

import unittest
from dataclasses import replace
from typing import Any

from azurerelay.cluster import CONTROL_LINK_CODEC
from azurerelay.events import PromotionDecided
from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from tests.platform_rig import PlatformRig, configuration, route

ENTRY_HOSTS = 195
GROUPS = 4
ROUTES = 1_400
CONNECTION_LIMIT = 144
# Link of an entry host: 2 Mbit/s.
LINK_BYTES_PER_MS = 250.0
GROWN_ENTRY_HOSTS = 145
GROWN_LINK_BYTES_PER_MS = 175.0  # 1.4 Mbit/s
# The platform's shortest limit from the acknowledgement of a version to its use.
APPLY_LIMIT_MS = 3_000.0
KINDS = {"strict": Consistency.PRIMARY, "bounded": Consistency.BOUNDED}


def large_configuration(version: int) -> Configuration:
    """Return a configuration with 1,400 routes, and one for each group and kind."""
    groups = tuple(
        DatabaseGroup(f"ledger-{n}", CONNECTION_LIMIT, 0) for n in range(GROUPS)
    )
    routes = [
        replace(
            route(kind, KINDS[kind]),
            name=f"{kind} {group.name}",
            database=f"{kind}-{group.name}",
            group=group.name,
        )
        for group in groups
        for kind in ("strict", "bounded")
    ]
    routes += [
        replace(
            route(f"tenant-{n}", Consistency.BOUNDED),
            name=f"r-{n * 7919 % 99991:x}",
            database=f"d{n * 104729 % 99991:x}",
            group=groups[n % GROUPS].name,
        )
        for n in range(ROUTES - len(routes))
    ]
    return configuration(version, groups=groups, routes=tuple(routes))


class HostLinks:
    """Delay messages by the bandwidth of the links of entry hosts."""

    def __init__(
        self, rig: PlatformRig, bytes_per_ms: float = LINK_BYTES_PER_MS
    ) -> None:
        self._rig = rig
        self._bytes_per_ms = bytes_per_ms
        self._deliver = rig.deliver
        self._free_at_ms: dict[str, float] = {}
        self.received_bytes: dict[str, int] = {}
        self.control_bytes = 0
        rig.deliver = self.deliver  # type: ignore[method-assign]

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        size = len(CONTROL_LINK_CODEC.encode(message))
        if peer not in self._rig.entries:
            self.control_bytes += size if sender not in self._rig.entries else 0
            self._deliver(sender, peer, message)
            return
        now_ms = self._rig.timers.now_ms()
        self.received_bytes[peer] = self.received_bytes.get(peer, 0) + size
        free_at_ms = max(now_ms, self._free_at_ms.get(peer, 0.0))
        free_at_ms += size / self._bytes_per_ms
        self._free_at_ms[peer] = free_at_ms
        self._rig.timers.call_later(
            free_at_ms - now_ms, lambda: self._deliver(sender, peer, message)
        )


class ReturnOfAllHostsTest(unittest.TestCase):
    """All hosts lose power and return at once; the endpoints go on all the while."""

    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=ENTRY_HOSTS)
        for number in range(GROUPS):
            self.rig.add_group(f"ledger-{number}")
        for server in self.rig.servers.values():
            server.max_connections = CONNECTION_LIMIT
            server.slots = 4
        self.rig.start(initial_configuration=large_configuration(1))
        self.links = HostLinks(self.rig)
        for address in list(self.rig.entries):
            self.rig.cut_power(address)
        for address in list(self.rig.controls):
            self.rig.stop_control(address)
        self.rig.timers.advance(1_000.0)
        for address in self.rig.addresses:
            self.rig.start_control(address)
        # Control hosts know the endpoints from their disks.
        self.rig.send_heartbeats()
        for number in range(1, ENTRY_HOSTS + 1):
            self.rig.start_entry(number)

    def test_hosts_are_ready_soon_and_no_live_primary_is_replaced(self) -> None:
        entries = self.rig.entries
        # The target response time of a route, and an election before it.
        self.rig.timers.advance(1_000.0)
        ready = sum(entry.is_ready for entry in entries.values())
        self.assertEqual(ready, ENTRY_HOSTS)
        # A second of its link, for everything that a host must know after its start.
        most = max(self.links.received_bytes.values())
        self.assertLess(most, 1_000.0 * LINK_BYTES_PER_MS)
        for number in range(1, ENTRY_HOSTS + 1):
            for group in range(GROUPS):
                for kind in ("strict", "bounded"):
                    database = f"{kind}-ledger-{group}"
                    self.rig.send(self.rig.open(database, number), "READ a", 1_500.0)
        self.rig.timers.advance(10_000.0)
        promotions = self.rig.events.of(PromotionDecided)
        self.assertEqual([p.reason for p in promotions], [])


class ChangeAfterReturnTest(unittest.TestCase):
    """Changes that are acknowledged while a crowd of hosts has just returned."""

    def test_changes_are_in_force_in_time_while_hosts_load_their_configuration(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=GROWN_ENTRY_HOSTS)
        for number in range(GROUPS):
            rig.add_group(f"ledger-{number}")
        current = large_configuration(1)
        rig.start(initial_configuration=current)
        HostLinks(rig, GROWN_LINK_BYTES_PER_MS)
        returning = list(range(1, GROWN_ENTRY_HOSTS - 13))
        for number in returning:
            rig.cut_power(f"10.1.0.{number}:7440")
        rig.timers.advance(1_000.0)
        for number in returning:
            rig.start_entry(number)
        for version in range(2, 6):
            rig.timers.advance(500.0)
            added = replace(
                current.routes[0], name=f"r{version}", database=f"d{version}"
            )
            current = replace(current, version=version, routes=(*current.routes, added))
            self.assertTrue(rig.replace(current))
            rig.timers.advance(APPLY_LIMIT_MS)
            late = sum(entry.version < version for entry in rig.entries.values())
            self.assertEqual(late, 0, f"hosts without version {version}")
