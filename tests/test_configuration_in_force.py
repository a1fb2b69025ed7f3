"""Tests that an acknowledged configuration reaches all entry hosts in time."""

import unittest
from typing import Any

from azurerelay.attachment import SyncReply
from azurerelay.consensus import AppendRequest
from azurerelay.relay import CallerSession
from azurerelay.routes import Consistency
from azurerelay.statements import CallerError
from azurerelay.timing import spawn
from tests.platform_rig import GROUP, PlatformRig, configuration, route

# The platform's shortest limit from the acknowledgement of a version to its use by all
# hosts that control can reach.
APPLY_LIMIT_MS = 3_000.0
ENTRY = "10.1.0.1:7440"


class LostConfigurationTest(unittest.TestCase):
    def test_a_lost_configuration_is_resent_while_endpoints_keep_changing(self) -> None:
        rig = PlatformRig(entry_hosts=1)
        rig.start()
        entry = rig.entries[ENTRY]
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


class IncompleteControlHostTest(unittest.TestCase):
    def test_entry_hosts_leave_a_control_host_that_hears_its_leader_but_lacks_entries(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=6)
        rig.start()
        rig.timers.advance(10_000.0)
        leader = rig.leader
        assert leader is not None
        followed = {
            str(entry.control_follower.current_control_host)
            for entry in rig.entries.values()
        }
        behind = min(a for a in followed if rig.controls[a] is not leader)
        deliver = rig.deliver

        def lose_entries(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, AppendRequest) and message.entries:
                if peer.startswith(behind):
                    return
            deliver(sender, peer, message)

        rig.deliver = lose_entries  # type: ignore[method-assign]
        self.assertTrue(rig.replace(configuration(2)))
        rig.timers.advance(APPLY_LIMIT_MS)
        self.assertEqual([e.version for e in rig.entries.values()], [2] * 6)


class UnconfirmedRefusalTest(unittest.TestCase):
    """A host that may have missed a change knows of no database that it is missing."""

    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=1)
        self.rig.start()
        self.added = route("added", Consistency.BOUNDED)

    def _open(self, database: str) -> Any:
        node = self.rig.entries[ENTRY]
        return self.rig.wait(spawn(node.open_session(database)))

    def test_a_cut_off_host_does_not_deny_a_database_that_was_added(self) -> None:
        self.rig.isolate(ENTRY, self.rig.addresses)
        routes = (*configuration(1).routes, self.added)
        self.assertTrue(self.rig.replace(configuration(2, routes=routes)))
        self.rig.timers.advance(APPLY_LIMIT_MS)
        self.assertIs(self._open("added"), CallerError.BUSY)
        self.assertIsInstance(self._open("bounded"), CallerSession)
        self.rig.heal()
        self.rig.timers.advance(2_000.0)
        self.assertIsInstance(self._open("added"), CallerSession)
        self.assertIs(self._open("missing"), CallerError.UNKNOWN_DATABASE)

    def test_a_session_is_not_told_that_its_database_is_gone_by_an_old_version(
        self,
    ) -> None:
        session = self.rig.open("bounded")
        others = tuple(r for r in configuration(1).routes if r.database != "bounded")
        self.assertTrue(self.rig.replace(configuration(2, routes=others)))
        self.rig.timers.advance(1_000.0)
        reply = self.rig.run(session, "READ a")
        self.assertIs(reply.error, CallerError.UNKNOWN_DATABASE)
        self.rig.isolate(ENTRY, self.rig.addresses)
        # Version 3 brings the database back.
        self.assertTrue(self.rig.replace(configuration(3)))
        self.rig.timers.advance(APPLY_LIMIT_MS)
        reply = self.rig.run(session, "READ a")
        self.assertIs(reply.error, CallerError.BUSY)
        reply = self.rig.run(session, "BEGIN READ")
        self.assertIs(reply.error, CallerError.BUSY)


if __name__ == "__main__":
    unittest.main()
