"""Property tests of changes of the primary under synchronous replicas.

A primary drains, falls silent or crashes while callers write. Until the platform has
switched, replicas restart and join, the primary returns, the leader of control is lost
or cut off, and the platform is down or carries out orders late.
"""

import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis.strategies import composite, integers, lists, sampled_from, tuples

from azurerelay.timing import sleep, spawn
from tests.platform_rig import GROUP, FakeServer
from tests.property_settings import property_settings
from tests.test_durability import SynchronousRig

TRIGGERS = ("drain", "go dark", "crash", "be cut off")
EVENTS = (
    "restart the ordered replica",
    "restart the other replica",
    "add a replica",
    "primary returns",
    "primary crashes and returns",
    "lose the leader",
    "cut the leader off",
    "platform goes down",
    "platform answers late",
)
# Longer than the time for which the platform keeps an order, and than all events.
SETTLING_MS = 25_000.0


class ChangeOfPrimary:
    """One change of the primary, with the events that happen meanwhile."""

    def __init__(self, seed: int) -> None:
        self.rig = SynchronousRig(seed)
        self.rig.write_constantly()
        self.rig.timers.advance(500.0)
        self._added = 0

    def trigger(self, name: str) -> None:
        primary = self.rig.first_primary
        if name == "drain":
            primary.is_draining = True
            self.rig.send_heartbeat(primary)
        elif name == "go dark":
            primary.go_dark()
        elif name == "crash":
            primary.crash()
        else:
            primary.unreachable_from |= {*self.rig.addresses, "10.1.0.1:7440"}
            primary.unreachable_from |= {"10.1.0.2:7440"}

    def happen(self, event: str, duration_ms: int) -> None:
        rig = self.rig
        if event.startswith("restart"):
            spawn(self._restart(self._replica("ordered" in event), duration_ms))
        elif event == "add a replica":
            self._add_replica()
        elif event == "primary returns":
            self._return(rig.first_primary)
        elif event == "primary crashes and returns":
            spawn(self._restart(rig.first_primary, duration_ms))
        elif event == "lose the leader":
            self._with_leader(lambda a: rig.stop_control(a), rig.start_control, 3_000)
        elif event == "cut the leader off":
            self._with_leader(
                lambda a: rig.isolate(a, rig.addresses), lambda _: rig.heal(), 3_000
            )
        elif event == "platform goes down":
            rig.promotions.is_down = True
            rig.timers.call_later(4.0 * duration_ms, self._start_platform)
        else:
            rig.promotions.unanswered = 2
            rig.promotions.late_execution_ms = 10.0 * duration_ms

    def settle(self) -> None:
        """Let everything return, and wait until no order is under way."""
        self._start_platform()
        self.rig.timers.advance(2_000.0)
        for server in self.rig.servers.values():
            server.unreachable_from.clear()
            self._return(server)
        self.rig.timers.advance(SETTLING_MS)

    def _start_platform(self) -> None:
        self.rig.promotions.is_down = False

    def _replica(self, is_ordered: bool) -> FakeServer | None:
        orders = self.rig.promotions.orders
        ordered = orders[-1].endpoint if orders else self.rig.first_replica.name
        found = [r for r in self.rig.replicas() if (r.name == ordered) == is_ordered]
        return found[0] if found else None

    async def _restart(self, server: FakeServer | None, down_ms: float) -> None:
        if server is not None and server.is_up:
            server.crash()
            await sleep(self.rig.timers, down_ms)
            self._return(server)

    def _return(self, server: FakeServer) -> None:
        if server.is_up:
            return
        if server.is_silent:
            server.come_back()
        else:
            server.restart()
            self.rig.send_heartbeat(server)

    def _add_replica(self) -> None:
        if self._added:
            return
        self._added += 1
        added = FakeServer(self.rig, "added", GROUP, "10.9.9.1:9000", "east-1")
        added.log, added.applied = [self.rig.first_primary.log[0]], 1
        self.rig.servers[added.name] = added
        self.rig.catch_up(added)
        self.rig.send_heartbeat(added)

    def _with_leader(
        self,
        take: Callable[[str], object],
        give_back: Callable[[str], object],
        after_ms: float,
    ) -> None:
        controls = self.rig.controls
        leader = self.rig.leader
        address = next((a for a, n in controls.items() if n is leader), None)
        if address is not None and len(controls) == 5 and not self.rig.cut_links:
            take(address)
            self.rig.timers.call_later(after_ms, lambda: give_back(address))


@composite
def changes(draw):  # type: ignore[no-untyped-def]
    """Return a trigger, and up to three events with their delays and durations."""
    event = tuples(sampled_from(EVENTS), integers(0, 1_500), integers(100, 1_200))
    return draw(sampled_from(TRIGGERS)), draw(lists(event, min_size=1, max_size=3))


class PrimaryChangePropertiesTest(unittest.TestCase):
    @property_settings(15)
    @given(changes(), integers(1, 5))
    def test_no_acknowledged_commit_is_lost_and_callers_can_write_afterwards(
        self, change: tuple[str, list[tuple[str, int, int]]], seed: int
    ) -> None:
        trigger, events = change
        played = ChangeOfPrimary(seed)
        rig = played.rig
        played.trigger(trigger)
        rig.timers.advance_until(lambda: bool(rig.promotions.orders), 4_000.0)
        for event, delay_ms, duration_ms in events:
            rig.timers.advance(delay_ms)
            played.happen(event, duration_ms)
        played.settle()
        self.assertEqual(rig.lost_commits, [])
        paused = [s.name for s in rig.servers.values() if s.paused_term]
        self.assertEqual(paused, [])
        rig.write()


if __name__ == "__main__":
    unittest.main()
