"""Tests of the explanation of where a statement would go."""

import random
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from result import Err

from azurerelay.groups import GroupConnections
from azurerelay.pooling import ConnectionShare
from azurerelay.quotas import AdmissionFraction, AdmissionLimits
from azurerelay.relay import (
    PlacementError,
    PlacementExplanation,
    PlacementQuery,
    RelayNode,
    StatementKind,
)
from azurerelay.routes import Customer
from azurerelay.statements import EndpointError, EndpointReply, SessionState
from tests.platform_rig import GROUP, PlatformRig, configuration

ACME = Customer("acme", ("key-1",), 100.0, 50.0)
FAILED = EndpointReply((), "", EndpointError.FAILED, "", SessionState.IDLE, None)
HOST = "10.1.0.1:7440"


class PlacementTest(unittest.TestCase):
    """One of three hosts that serve a customer."""

    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start(configuration(1, customers=(ACME,)))
        self.node: RelayNode = self.rig.entries[HOST]
        self.group: GroupConnections = self.node._groups[GROUP]

    def _explain(
        self, database: str = "bounded", kind: str = "read", customer: str = "acme"
    ) -> PlacementExplanation:
        query = PlacementQuery(database, StatementKind(kind), customer)
        return self.node.explain_placement(query).ok_value

    def _exclusions(self, explained: PlacementExplanation) -> dict[str, str]:
        return {
            e.evaluation.candidate.name: e.evaluation.exclusion
            for e in explained.endpoints
        }

    def _make_scarce(self) -> None:
        servers = [server.announcement() for server in self.rig.servers.values()]
        self.group.update(servers, lambda _: ConnectionShare(1, 0.5))

    def _chosen(self) -> set[str]:
        position = self.group.samples.newest[1]
        pools = [
            self.group.choose_for_read(position, frozenset(), "acme") for _ in range(60)
        ]
        return {pool.endpoint.endpoint for pool in pools if pool}

    def test_reads_go_where_the_explanation_says(self) -> None:
        """Guards against an explanation that differs from the decision."""

        def fail(server: Any) -> None:
            pool = self.group._members[server.name].pool
            for _ in range(3):
                self.group.record_reply(pool, self.rig.timers.now_ms(), FAILED)

        def lose(server: Any) -> None:
            self.group._members[server.name].pool.mark_lost()

        def drain(server: Any) -> None:
            server.is_draining = True
            self._update()

        def lag(server: Any) -> None:
            lag = self.group._members[server.name].lag
            lag.record_missing_commit(9_000.0, self.rig.timers.now_ms())
            self.group._members[server.name].position = None

        for is_scarce in (False, True):
            for change in (None, fail, lose, drain, lag):
                with self.subTest(is_scarce=is_scarce, change=change):
                    self.setUp()
                    self._update = self._make_scarce if is_scarce else self._update_all
                    self._update()
                    self.rig.run(self.rig.open("strict", key="key-1"), "WRITE 1 a")
                    target = self.rig.replicas()[0]
                    if change is not None:
                        change(target)
                    explained = self._explain("strict")
                    self.assertEqual(explained.are_connections_scarce, is_scarce)
                    options = [e.evaluation for e in explained.endpoints]
                    shares = {o.candidate.name: o.share for o in options}
                    chosen = self._chosen()
                    self.assertEqual(chosen, {n for n, s in shares.items() if s > 0})
                    costs = [o.cost_ms for o in options if o.cost_ms is not None]
                    for option in options:
                        self.assertEqual(option.cost_ms is None, bool(option.exclusion))
                        if option.share:
                            self.assertLessEqual(option.cost_ms, min(costs) + 4.0)
                    is_left = change is not None and (is_scarce or change is not fail)
                    self.assertEqual(
                        bool(self._exclusions(explained)[target.name]), is_left
                    )

    def _update_all(self) -> None:
        servers = [server.announcement() for server in self.rig.servers.values()]
        self.group.update(servers, lambda _: ConnectionShare(2, 2.0))

    def test_writes_go_where_the_explanation_says(self) -> None:
        """Guards against an explanation of another endpoint than the primary."""
        primary = self.rig.primary()
        for kind in ("write", "begin"):
            explained = self._explain("strict", kind)
            self.assertIsNone(explained.required)
            first = explained.endpoints[0].evaluation
            self.assertEqual((first.candidate.name, first.share), (primary.name, 1.0))
            self.assertEqual(explained.obstacle, "")
        self.group.record_not_primary(primary.name)
        explained = self._explain("strict", "write")
        self.assertIsNone(self.group.primary())
        self.assertEqual(explained.obstacle, "waits: no endpoint leads the group")
        self.assertTrue(all(self._exclusions(explained).values()))
        proof = self._explain("strict").obstacle
        self.assertEqual(proof, "waits: no endpoint proves that it leads")

    def test_asking_has_no_side_effects(self) -> None:
        """Guards against proofs, connections, tokens, counts and random numbers."""
        gate = self.node._admission_control._gate
        gate.apply_limits(AdmissionLimits((AdmissionFraction("acme", 0.5),)))
        for is_scarce in (False, True):
            if is_scarce:
                self._make_scarce()
            for server in self.rig.replicas():
                self.group._members[server.name].pool.mark_lost()
                with self._unchanged():
                    self._ask_everything()
        self.group._samples._samples.clear()
        with self._unchanged():
            self._ask_everything()

    def _ask_everything(self) -> None:
        for database in ("strict", "bounded", "own"):
            for kind in StatementKind:
                for customer in (None, "acme", "nobody"):
                    query = PlacementQuery(database, kind, customer)
                    self.node.explain_placement(query)

    @contextmanager
    def _unchanged(self) -> Iterator[None]:
        def state() -> Any:
            gate = self.node._admission_control._gate
            return (
                self.node._random.getstate(),
                random.getstate(),
                self.group._is_proving,
                self.group._next_proof,
                self.group.connection_count,
                dict(self.rig.meters.counters),
                list(self.rig.events.events),
                dict(gate._counts._sums),
                [vars(a).copy() for a in gate._admissions.values()],
                len(self.rig.timers._queue),
                [vars(m.pool).copy() for m in self.group._members.values()],
            )

        before = state()
        yield
        self.assertEqual(state(), before)

    def test_the_quota_is_that_of_the_gate(self) -> None:
        """Guards against a quota that is shown for another state of control."""
        self.assertEqual(self._explain().quota.fraction, 1.0)
        gate = self.node._admission_control._gate
        gate.apply_limits(AdmissionLimits((AdmissionFraction("acme", 0.25),)))
        quota = self._explain().quota
        self.assertEqual((quota.fraction, quota.is_control_heard), (0.25, True))
        for control in self.rig.controls:
            self.rig.isolate(control, [HOST])
        self.rig.timers.advance(3_000.0)
        quota = self._explain().quota
        self.assertTrue(gate.is_local)
        self.assertIsNone(quota.fraction)
        self.assertFalse(quota.is_control_heard)
        self.assertGreater(quota.control_silence_ms, 2_000.0)

    def test_answers_hold_no_key(self) -> None:
        """Guards against keys on a page that anyone in the network may read."""
        explained = self._explain()
        self.assertNotIn("key-1", repr(explained))
        no_name = self.node.explain_placement(
            PlacementQuery("bounded", StatementKind.READ)
        ).ok_value
        self.assertEqual(
            no_name.obstacle, "refused: the key is not accepted (unknown key)"
        )

    def test_a_host_without_a_configuration_says_so(self) -> None:
        node = self.rig.start_entry(9)
        refused = node.explain_placement(PlacementQuery("own", StatementKind.READ))
        self.assertEqual(refused, Err(PlacementError.NO_CONFIGURATION))


if __name__ == "__main__":
    unittest.main()
