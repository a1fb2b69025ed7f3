"""Tests that a settings change reaches all hosts in time."""

import unittest
from typing import Any

from azurerelay.consensus import AppendRequest
from tests.support import Rig

# The time within which a change of settings must be in force on all hosts.
IN_FORCE_LIMIT_MS = 6_000.0


class IncompleteControlHostTest(unittest.TestCase):
    def test_hosts_leave_a_control_host_that_hears_its_leader_but_lacks_entries(
        self,
    ) -> None:
        rig = Rig()
        leader = rig.system.leader
        assert leader is not None
        followed = {node.session.control_host for node in rig.system.entries.values()}
        behind = min(followed - {leader.name})
        network = rig.system.network
        send = network.send

        def lose_entries(sender: str, receiver: str, message: Any) -> None:
            is_append = isinstance(message, AppendRequest) and message.entries
            if not (is_append and receiver == behind):
                send(sender, receiver, message)

        network.send = lose_entries  # type: ignore[method-assign]
        rig.change_setting("/", "reads.max_staleness_ms", 700)
        rig.timers.advance(IN_FORCE_LIMIT_MS)
        newest = leader.state.settings_number
        numbers = [n.state.settings_number for n in rig.system.entries.values()]
        self.assertEqual(numbers, [newest] * len(numbers))


if __name__ == "__main__":
    unittest.main()
