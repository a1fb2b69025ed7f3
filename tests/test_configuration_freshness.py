"""Tests of what an entry host knows, and logs, about the age of its configuration."""

import unittest
from dataclasses import replace
from typing import Any

from azurerelay.attachment import SyncReply
from azurerelay.events import (
    ConfigurationConfirmed,
    ConfigurationInForce,
    ConfigurationUnconfirmed,
)
from tests.platform_rig import PlatformRig, configuration

ENTRY = "10.1.0.1:7440"


class ConfigurationFreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=1)
        self.rig.start()
        self.entry = self.rig.entries[ENTRY]
        self.freshness = self.entry.control_follower.freshness

    def _hold_back_replies(self, delay_ms: float) -> None:
        deliver = self.rig.deliver

        def hold_back(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncReply):
                self.rig.timers.call_later(
                    delay_ms, lambda: deliver(sender, peer, message)
                )
            else:
                deliver(sender, peer, message)

        self.rig.deliver = hold_back  # type: ignore[method-assign]

    def _lose_updates(self) -> None:
        """Deliver replies without the configuration that they bring."""
        deliver = self.rig.deliver

        def strip(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncReply):
                message = replace(message, configuration=None, packed_update=None)
            deliver(sender, peer, message)

        self.rig.deliver = strip  # type: ignore[method-assign]

    def test_a_host_in_contact_with_control_is_confirmed_at_each_reply(self) -> None:
        for _ in range(50):
            self.rig.timers.advance(100.0)
            self.assertLess(self.freshness.age_ms, 1_000.0)
        self.assertEqual(self.rig.events.of(ConfigurationUnconfirmed), [])

    def test_a_cut_off_host_logs_that_its_configuration_is_unconfirmed(self) -> None:
        self.rig.isolate(ENTRY, self.rig.addresses)
        self.rig.timers.advance(6_000.0)
        self.assertGreater(self.freshness.age_ms, 5_000.0)
        self.rig.heal()
        self.rig.timers.advance(2_000.0)
        (lost,) = self.rig.events.of(ConfigurationUnconfirmed)
        self.assertEqual(lost.version, 1)
        self.assertLess(lost.age_ms, 3_000.0)
        (regained,) = self.rig.events.of(ConfigurationConfirmed)
        self.assertGreater(regained.unconfirmed_ms, 3_000.0)

    def test_late_replies_do_not_confirm_more_than_their_requests_asked(self) -> None:
        """Replies that arrive regularly may all have waited on a crowded link."""
        self._hold_back_replies(4_000.0)
        self.rig.timers.advance(9_000.0)
        self.assertGreater(self.freshness.age_ms, 3_900.0)
        (unconfirmed,) = self.rig.events.of(ConfigurationUnconfirmed)
        self.assertTrue(self.rig.replace(configuration(2)))
        self.rig.timers.advance(6_000.0)
        in_force = self.rig.events.of(ConfigurationInForce)[-1]
        self.assertEqual(in_force.version, 2)
        self.assertGreater(in_force.reply_delay_ms, 3_900.0)

    def test_a_lost_change_is_logged_with_the_version_that_control_has(self) -> None:
        self._lose_updates()
        self.assertTrue(self.rig.replace(configuration(2)))
        self.rig.timers.advance(4_000.0)
        (unconfirmed,) = self.rig.events.of(ConfigurationUnconfirmed)
        self.assertEqual(unconfirmed.version, 1)
        self.assertEqual(unconfirmed.control_version, 2)
        self.assertLess(unconfirmed.reply_delay_ms, 100.0)

    def test_a_control_host_that_does_not_hear_its_leader_confirms_nothing(
        self,
    ) -> None:
        for address in self.rig.addresses:
            others = [a for a in self.rig.addresses if a != address]
            self.rig.isolate(address, others)
        self.rig.timers.advance(6_000.0)
        self.assertGreater(self.freshness.age_ms, 5_000.0)

    def test_replies_of_builds_that_state_no_version_confirm_as_before(self) -> None:
        deliver = self.rig.deliver

        def strip(sender: str, peer: str, message: Any) -> None:
            if isinstance(message, SyncReply):
                message = replace(message, configuration_version=None)
            deliver(sender, peer, message)

        self.rig.deliver = strip  # type: ignore[method-assign]
        self.rig.timers.advance(5_000.0)
        self.assertLess(self.freshness.age_ms, 1_000.0)


if __name__ == "__main__":
    unittest.main()
