"""Property tests of a cluster of five control hosts with a changing voter set.

Hosts crash, lose up to two disks at the same time and are cut off in one or both
directions, so that messages are lost, while operators replace and read the
configuration at any host.
"""

import unittest
from typing import Any

from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.strategies import integers, sampled_from

from tests.platform_rig import PlatformRig, configuration
from tests.property_settings import property_settings

HOSTS = integers(0, 4)
MAX_LOST_DISKS = 2


class ClusterMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.rig = PlatformRig(entry_hosts=0)
        for address in self.rig.addresses:
            self.rig.start_control(address, is_first_start=True)
        self.rig.wait_for(lambda: len(self.rig.voters) == 5)
        # Wait until the fifth voter is committed. If two of the three initial voters
        # were lost earlier, there would be no majority. That is no fault, since nothing
        # has been acknowledged by then.
        self.rig.timers.advance(1_000.0)
        self.version = 0
        self.acknowledged = 0
        self.orders: list[tuple[int, Any]] = []
        self.reads: list[tuple[int, Any]] = []
        self.leaders: dict[int, set[str]] = {}

    @property
    def recovering(self) -> set[str]:
        """Hosts that are down, do not vote, or have not caught up yet."""
        leader = self.rig.leader
        followers = leader.raft.followers() if leader else ()
        behind = {f.name for f in followers if not f.has_all_committed}
        voters = self.rig.voters
        return {
            address
            for address in self.rig.addresses
            if address not in self.rig.controls
            or f"{address}#{self.rig.identities[address]}" not in voters - behind
        }

    def collect(self) -> None:
        for version, promise in self.orders:
            if promise.is_done and promise.value.value == "durable":
                self.acknowledged = max(self.acknowledged, version)
        self.orders = [order for order in self.orders if not order[1].is_done]
        for floor, promise in self.reads:
            if promise.is_done and promise.value is not None:
                found = promise.value.version
                assert found >= floor, f"read {found} after {floor} was acknowledged"
        self.reads = [read for read in self.reads if not read[1].is_done]

    @rule(duration_ms=integers(1, 2_500))
    def advance(self, duration_ms: int) -> None:
        self.rig.timers.advance(duration_ms)
        self.collect()

    @rule(host=HOSTS)
    def order(self, host: int) -> None:
        node = self.rig.controls.get(self.rig.addresses[host])
        if node is not None:
            self.version += 1
            wanted = configuration(self.version)
            self.orders.append((self.version, node.replace_configuration(wanted)))

    @rule(host=HOSTS)
    def read(self, host: int) -> None:
        node = self.rig.controls.get(self.rig.addresses[host])
        if node is not None:
            self.collect()
            self.reads.append((self.acknowledged, node.read_configuration()))

    @rule(host=HOSTS)
    def crash(self, host: int) -> None:
        address = self.rig.addresses[host]
        if address in self.rig.controls:
            self.rig.stop_control(address)

    @precondition(lambda self: len(self.recovering) < MAX_LOST_DISKS)
    @rule(host=HOSTS)
    def lose_disk(self, host: int) -> None:
        address = self.rig.addresses[host]
        if address in self.rig.controls and not self.rig.cut_links:
            self.rig.stop_control(address, lose_disk=True)

    @rule()
    def crash_all(self) -> None:
        for address in list(self.rig.controls):
            self.rig.stop_control(address)

    @rule()
    def restart(self) -> None:
        for address in self.rig.addresses:
            if address not in self.rig.controls:
                self.rig.start_control(address)

    @rule(host=HOSTS, how=sampled_from(("both", "in", "out")))
    def cut(self, host: int, how: str) -> None:
        isolated = self.rig.addresses[host]
        others = [a for a in self.rig.addresses if a != isolated]
        if how == "both":
            self.rig.isolate(isolated, others)
        elif how == "in":
            self.rig.one_way_cuts |= {(other, isolated) for other in others}
        else:
            self.rig.one_way_cuts |= {(isolated, other) for other in others}

    @rule()
    def heal(self) -> None:
        self.rig.heal()

    @invariant()
    def at_most_one_leader_per_term(self) -> None:
        for address, node in self.rig.controls.items():
            if node.raft.is_leader:
                self.leaders.setdefault(node.raft.term, set()).add(address)
        for term, leaders in self.leaders.items():
            assert len(leaders) == 1, f"term {term} has leaders {leaders}"

    def teardown(self) -> None:
        self.rig.heal()
        self.restart()
        self.rig.wait_for(lambda: len(self.rig.controls) == 5)
        self.rig.wait_for(lambda: self.rig.leader is not None, 30_000.0)
        self.rig.timers.advance(8_000.0)
        self.collect()
        for address in self.rig.addresses:
            found = self.rig.wait(self.rig.controls[address].read_configuration())
            version = found.version if found else 0
            assert version >= self.acknowledged, (address, version, self.acknowledged)
        current = {f"{a}#{i}" for a, i in self.rig.identities.items()}
        assert self.rig.voters == current, (self.rig.voters, current)


ClusterMachine.TestCase.settings = property_settings(25)
ClusterPropertiesTest = ClusterMachine.TestCase

if __name__ == "__main__":
    unittest.main()
