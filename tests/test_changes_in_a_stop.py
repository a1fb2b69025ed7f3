"""Planned stops of an entry host while configurations and endpoints change."""

import os
import random
import unittest

from azurerelay.routes import Configuration, Consistency, DatabaseGroup
from tests.caller_rig import GRACE_PERIOD_MS, StoppingHost
from tests.platform_rig import GROUP, PlatformRig, configuration, route
from tests.test_planned_stop import _BusyCaller

OTHER = "archive"
STOP_SEEDS = int(os.environ.get("AZURERELAY_STOP_SEEDS", "12"))


def _configuration(
    version: int, group: str, groups: tuple[str, ...], limit: int, timeout_ms: int
) -> Configuration:
    """Return a configuration with a strict and a bounded route to one group."""
    kinds = (("strict", Consistency.PRIMARY), ("bounded", Consistency.BOUNDED))
    return configuration(
        version,
        routes=tuple(
            route(name, kind, 2_500, statement_timeout_ms=timeout_ms, group=group)
            for name, kind in kinds
        ),
        groups=tuple(DatabaseGroup(name, limit, 0) for name in groups),
    )


class ChangingStopTest(unittest.TestCase):
    def test_callers_are_answered_truthfully_while_groups_and_endpoints_go(
        self,
    ) -> None:
        for seed in range(STOP_SEEDS):
            with self.subTest(seed=seed):
                self._play(seed)

    def _play(self, seed: int) -> None:
        source = random.Random(seed)
        rig = PlatformRig(seed=seed)
        for group in (GROUP, OTHER):
            rig.add_group(group)
        limit = source.choice((rig.entry_count, 3 * rig.entry_count, 45))
        timeout_ms = source.choice((800, 3_000, 8_000))
        rig.start(_configuration(1, GROUP, (GROUP, OTHER), limit, timeout_ms))
        rig.timers.advance(3_500.0)
        for server in rig.servers.values():
            server.work_ms = source.choice((8.0, 40.0, 200.0, 900.0, 2_500.0))
        host = StoppingHost(rig)
        callers = [
            _BusyCaller(host, source.randrange(1_000_000))
            for _ in range(source.choice((3, 12, 30)))
        ]
        rig.timers.advance(source.uniform(500.0, 1_500.0))
        started_ms = rig.timers.now_ms()
        host.start_stop()
        version = 1
        while rig.timers.now_ms() - started_ms < GRACE_PERIOD_MS:
            rig.timers.advance(source.uniform(100.0, 700.0))
            server = source.choice(list(rig.servers.values()))
            draw = source.random()
            if draw < 0.3:
                version += 1
                group = source.choice((GROUP, OTHER))
                groups = source.choice(((group,), (GROUP, OTHER)))
                rig.replace(_configuration(version, group, groups, limit, timeout_ms))
            elif draw < 0.45:
                found = host.node._groups.get(server.group)
                if found is not None:
                    found.remove_departed(server.name, server.incarnation)
            elif draw < 0.55:
                server.is_draining = True
                rig.send_heartbeat(server)
        rig.timers.advance(10_000.0)
        assert host.stopped_at_ms is not None
        self.assertLess(host.stopped_at_ms - started_ms, GRACE_PERIOD_MS)
        self.assertEqual([c.unanswered for c in callers if c.unanswered], [])
        self.assertEqual(rig.stale_reads, [])
        self.assertEqual(len(rig.committed), len(set(rig.committed)))
        refused = {request for caller in callers for request in caller.refused}
        self.assertEqual(refused & set(rig.committed), set())


if __name__ == "__main__":
    unittest.main()
