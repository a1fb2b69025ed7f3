"""Property tests of how changes of the configuration reach entry hosts.

Hosts crash, are cut off in one or both directions, and lose or delay messages, while
operators add databases and endpoints change.
"""

import unittest
from typing import Any

from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from

from azurerelay.routes import Configuration, Consistency
from azurerelay.statements import CallerError
from azurerelay.timing import spawn
from tests.platform_rig import GROUP, PlatformRig, configuration, route
from tests.property_settings import property_settings

CONTROL_HOSTS = integers(0, 4)
ENTRY_HOSTS = integers(1, 3)
WAITS_MS = sampled_from((50, 500, 2_000, 4_000))
STEP_MS = 50
DIRECTIONS = sampled_from(("both", "in", "out"))
# The platform's shortest limit from the acknowledgement of a version to its use by all
# hosts, and its shortest time without a fault after which this limit holds for a host.
APPLY_LIMIT_MS = 3_000.0
CONTACT_MS = 5_000.0


class ConfigurationMachine(RuleBasedStateMachine):
    """Check that no host denies a database long after its addition was acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = PlatformRig(entry_hosts=3)
        self.rig.start()
        self.newest: Configuration = configuration(1)
        self.orders: list[tuple[str, Any]] = []
        # When the addition of a database was acknowledged.
        self.added_ms: dict[str, float] = {}
        self.loss_rate = 0.0
        self.delay_ms = 0.0
        self._deliver = self.rig.deliver
        self.rig.deliver = self.deliver  # type: ignore[method-assign]

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        if self.rig.random.random() < self.loss_rate:
            return
        delay_ms = self.rig.random.uniform(0.0, self.delay_ms)
        self.rig.timers.call_later(
            delay_ms, lambda: self._deliver(sender, peer, message)
        )

    def advance(self, duration_ms: int) -> None:
        """Pass time in small steps, so that acknowledgements get their time."""
        for _ in range(0, duration_ms, STEP_MS):
            self.rig.timers.advance(STEP_MS)
            self.collect()

    def collect(self) -> None:
        for database, promise in self.orders:
            if promise.is_done and promise.value.value == "durable":
                self.added_ms.setdefault(database, self.rig.timers.now_ms())
        self.orders = [order for order in self.orders if not order[1].is_done]

    def add_database(self, address: str) -> None:
        version = self.newest.version + 1
        added = route(f"d{version}", Consistency.BOUNDED)
        self.newest = configuration(version, routes=(*self.newest.routes, added))
        node = self.rig.controls[address]
        order = node.replace_configuration(self.newest)
        self.orders.append((added.database, order))

    def cut(self, address: str, others: list[str], how: str) -> None:
        if how == "both":
            self.rig.isolate(address, others)
        elif how == "in":
            self.rig.one_way_cuts |= {(other, address) for other in others}
        else:
            self.rig.one_way_cuts |= {(address, other) for other in others}

    @rule(host=CONTROL_HOSTS, wait_ms=WAITS_MS)
    def change(self, host: int, wait_ms: int) -> None:
        if self.rig.addresses[host] in self.rig.controls:
            self.add_database(self.rig.addresses[host])
            self.advance(wait_ms)

    @rule(count=integers(1, 10))
    def change_an_endpoint(self, count: int) -> None:
        server = self.rig.servers[f"{GROUP}-3"]
        for _ in range(count):
            server.is_draining = not server.is_draining
            self.rig.send_heartbeat(server)
            self.advance(200)

    @rule(percent=integers(0, 60), delay_ms=integers(0, 300))
    def disturb_links(self, percent: int, delay_ms: int) -> None:
        self.loss_rate = percent / 100.0
        self.delay_ms = float(delay_ms)

    @rule(host=ENTRY_HOSTS, how=DIRECTIONS)
    def cut_entry_host(self, host: int, how: str) -> None:
        self.cut(f"10.1.0.{host}:7440", self.rig.addresses, how)

    @rule(host=CONTROL_HOSTS, how=DIRECTIONS)
    def cut_control_host(self, host: int, how: str) -> None:
        address = self.rig.addresses[host]
        others = [a for a in self.rig.addresses if a != address]
        self.cut(address, others, how)

    @rule(host=CONTROL_HOSTS)
    def crash_control_host(self, host: int) -> None:
        if self.rig.addresses[host] in self.rig.controls:
            self.rig.stop_control(self.rig.addresses[host])

    @rule(host=ENTRY_HOSTS)
    def restart_entry_host(self, host: int) -> None:
        self.rig.cut_power(f"10.1.0.{host}:7440")
        self.rig.start_entry(host)

    @rule()
    def heal(self) -> None:
        self.rig.heal()
        self.loss_rate = self.delay_ms = 0.0
        for address in self.rig.addresses:
            if address not in self.rig.controls:
                self.rig.start_control(address)

    @invariant()
    def no_host_denies_a_database_that_was_added(self) -> None:
        self.collect()
        oldest_ms = self.rig.timers.now_ms() - APPLY_LIMIT_MS
        expected = [d for d, at_ms in self.added_ms.items() if at_ms < oldest_ms]
        for node in self.rig.entries.values():
            if node.version < 0:
                continue
            for database in expected:
                opened = spawn(node.open_session(database)).value
                assert opened is not CallerError.UNKNOWN_DATABASE, database

    @rule(host=CONTROL_HOSTS)
    def change_after_a_time_without_faults(self, host: int) -> None:
        self.heal()
        self.rig.timers.advance(CONTACT_MS)
        self.collect()
        self.add_database(self.rig.addresses[host])
        (order,) = [o for _, o in self.orders[-1:]]
        outcome = self.rig.wait(order)
        assert outcome.value == "durable"
        self.rig.timers.advance(APPLY_LIMIT_MS)
        self.collect()
        versions = [entry.version for entry in self.rig.entries.values()]
        assert min(versions) >= self.newest.version, versions


ConfigurationMachine.TestCase.settings = property_settings(25)
ConfigurationTest = ConfigurationMachine.TestCase

if __name__ == "__main__":
    unittest.main()
