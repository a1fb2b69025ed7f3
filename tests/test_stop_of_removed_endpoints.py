"""Planned stops of an entry host while endpoints and groups go."""

import unittest

from azurerelay.routes import DatabaseGroup
from tests.caller_rig import Caller
from tests.platform_rig import configuration
from tests.test_planned_stop import StopCase

OTHER = "archive"
NEVER_MS = 20_000.0


class TimedStopCase(StopCase):
    def start_stop(self) -> None:
        self.stop_started_ms = self.rig.timers.now_ms()
        self.host.start_stop()

    def advance_to(self, since_stop_ms: float) -> None:
        self.advance(self.stop_started_ms + since_stop_ms - self.rig.timers.now_ms())


class RemovedEndpointStopTest(TimedStopCase):
    """An endpoint or a group is removed while a statement runs there."""

    def remove_group(self) -> None:
        groups = (DatabaseGroup(OTHER, 45, 0),)
        self.assertTrue(self.rig.replace(configuration(2, routes=(), groups=groups)))
        self.rig.wait_for(lambda: self.host.node.version == 2)

    def assert_answered(self, caller: Caller, error: str) -> None:
        self.rig.wait(self.host.stop)
        self.assertTrue(caller.is_answered, caller.lines)
        self.assertEqual(caller.error, error)
        self.assertTrue(caller.is_closed)

    def test_a_statement_of_a_removed_group_is_not_cut_off(self) -> None:
        caller = self.host.connect()
        caller.run("BEGIN")
        self.start_stop()
        self.advance_to(1_500.0)
        caller.run("READ a")
        self.rig.primary().work_ms = NEVER_MS
        self.advance_to(3_200.0)
        caller.query("WRITE a x")
        self.remove_group()
        self.assert_answered(caller, "ABORTED")

    def test_a_statement_of_a_removed_endpoint_is_not_cut_off(self) -> None:
        for text, error in (("WRITE a x", "INDOUBT"), ("READ a", "BUSY")):
            with self.subTest(text):
                self.setUp()
                caller = self.host.connect()
                for server in self.rig.servers.values():
                    server.work_ms = NEVER_MS
                self.start_stop()
                self.advance_to(2_000.0)
                caller.query(text)
                self.advance_to(2_300.0)
                for server in self.rig.servers.values():
                    found = self.host.node.find_route("strict")
                    assert found is not None
                    found[1].remove_departed(server.name, 10**18)
                self.assert_answered(caller, error)

    def test_a_commit_of_a_removed_group_is_not_cut_off(self) -> None:
        caller = self.host.connect()
        caller.run("BEGIN")
        self.start_stop()
        self.advance_to(1_500.0)
        caller.run("WRITE a x")
        self.rig.primary().work_ms = NEVER_MS
        self.advance_to(3_200.0)
        caller.query("COMMIT")
        self.remove_group()
        self.assert_answered(caller, "INDOUBT")


if __name__ == "__main__":
    unittest.main()
