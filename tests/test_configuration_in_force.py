"""Tests that an acknowledged configuration reaches all entry hosts in time."""

import unittest
from typing import Any

from azurerelay.attachment import SyncReply
from azurerelay.routes import Consistency
from tests.platform_rig import GROUP, PlatformRig, configuration, route

# The platform's shortest limit from the acknowledgement of a version to its use by all
# hosts that control can reach.
APPLY_LIMIT_MS = 3_000.0


class LostConfigurationTest(unittest.TestCase):
    def test_a_lost_configuration_is_resent_while_endpoints_keep_changing(self) -> None:
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        entry = rig.entries["10.1.0.1:7440"]
        deliver = rig.deliver
        is_lost = False

        def lose_first_configuration(sender: str, peer: str, message: Any) -> None:
            nonlocal is_lost
            if isinstance(message, SyncReply) and message.configuration is not None:
                if not is_lost:
                    is_lost = True
                    return
            deliver(sender, peer, message)

        rig.deliver = lose_first_configuration  # type: ignore[method-assign]
        added = route("added", Consistency.BOUNDED)
        self.assertTrue(
            rig.replace(configuration(2, routes=(*configuration(1).routes, added)))
        )
        server = rig.servers[f"{GROUP}-3"]
        for _ in range(int(APPLY_LIMIT_MS / 200.0)):
            server.is_draining = not server.is_draining
            rig.send_heartbeat(server)
            rig.timers.advance(200.0)
        self.assertTrue(is_lost)
        self.assertEqual(entry.version, 2)


if __name__ == "__main__":
    unittest.main()
