import unittest

from azurerelay.endpoints import KnobsCall
from azurerelay.requests import Outcome
from tests.support import GROUP, Rig


class FailoverTest(unittest.TestCase):
    def _begin_term_reasons(self, rig: Rig) -> list[str]:
        return [
            record.reason
            for record in rig.system.leader.state.audit
            if record.action == "begin term"
            and record.path == f"groups/{GROUP}/primary"
        ]

    def test_an_isolated_primary_is_replaced_while_callers_write(self) -> None:
        rig = Rig()
        rig.write("entry-1", "put", "kept", 1)
        isolated = rig.primary
        rig.system.standins[isolated].request(KnobsCall(is_isolated=True))
        in_flight = rig.send(
            "entry-2", *_append_operation("k-1"), idempotency_key="k-1"
        )
        answer = rig.write("entry-3", "put", "after", 2, timeout_ms=4_000)
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertNotEqual(rig.primary, isolated)
        # The request was sent to the isolated primary and may have been executed there.
        self.assertEqual(rig.wait(in_flight).outcome, Outcome.UNKNOWN)
        rig.system.standins[isolated].request(KnobsCall(is_isolated=False))
        rig.settle()
        rig.timers.advance(1_000)
        states = {
            str(standin.data.values)
            for name, standin in rig.system.standins.items()
            if name.startswith(GROUP)
        }
        self.assertEqual(len(states), 1)

    def test_a_single_slow_probe_answer_causes_no_failover(self) -> None:
        rig = Rig()
        for _ in range(20):
            standin = rig.system.standins[rig.primary]
            standin.request(KnobsCall(status_delay_ms=350.0))
            rig.timers.advance(90)
            standin.request(KnobsCall(status_delay_ms=0.0))
            rig.timers.advance(1_000)
        self.assertEqual(len(self._begin_term_reasons(rig)), 1)

    def test_one_serving_host_cut_off_from_the_primary_causes_no_failover(
        self,
    ) -> None:
        rig = Rig()
        host = rig.system.leader.state.groups[GROUP].serving[0]
        address = rig.system.standins[rig.primary].config.address
        rig.system.network.cut(host, address)
        rig.timers.advance(10_000)
        self.assertEqual(len(self._begin_term_reasons(rig)), 1)

    def test_without_a_majority_of_endpoints_none_is_promoted_and_the_reason_is_reported(
        self,
    ) -> None:
        rig = Rig()
        rig.write("entry-1", "put", "kept", 1)
        killed = [rig.primary, rig.replicas[0]]
        for name in killed:
            rig.system.kill_endpoint(name)
        rig.timers.advance(5_000)
        leader = rig.system.leader
        group = leader.state.groups[GROUP]
        self.assertIsNone(group.primary)
        self.assertIn(
            "2 endpoints are needed", leader.leader_controller.failover.trouble(GROUP)
        )
        actions = [
            r.action for r in leader.state.audit if r.path == f"groups/{GROUP}/primary"
        ]
        self.assertIn("refuse promotion", actions)
        refused = rig.write("entry-1", "put", "x", 1, timeout_ms=300)
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
        for name in killed:
            rig.system.restart_endpoint(name)
        rig.settle()
        self.assertEqual(
            rig.read("entry-1", "get", "kept", max_staleness_ms=0).rows, ((1,),)
        )

    def test_a_primary_that_restarts_between_probes_is_replaced(self) -> None:
        rig = Rig()
        name = rig.primary
        rig.system.kill_endpoint(name)
        rig.timers.advance(30)
        rig.system.restart_endpoint(name)
        answer = rig.write("entry-1", "put", "a", 1)
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertIn("not as the primary", self._begin_term_reasons(rig)[-1])

    def test_a_lagging_replica_is_not_promoted_over_an_up_to_date_one(self) -> None:
        rig = Rig()
        lagging = rig.replicas[0]
        rig.system.standins[lagging].request(KnobsCall(lag_ms=3_600_000.0))
        for number in range(5):
            rig.write("entry-1", "put", f"k{number}", number)
        rig.system.kill_endpoint(rig.primary)
        rig.timers.advance(1_500)
        self.assertNotEqual(rig.primary, lagging)
        # Of the three endpoints one is stopped and one lags by an hour, so no majority
        # can hold the write before its timeout.
        answer = rig.write("entry-2", "put", "after", 1, timeout_ms=500)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    def test_a_simultaneous_loss_of_control_leader_and_primary_is_repaired(
        self,
    ) -> None:
        rig = Rig()
        rig.write("entry-1", "put", "kept", 1)
        rig.system.kill_endpoint(rig.primary)
        rig.system.kill_control(rig.system.leader.name)
        answer = rig.write(
            "entry-2", "append", "log", "x", idempotency_key="k", timeout_ms=8_000
        )
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertEqual(answer.rows, (("x",),))

    def test_a_planned_switchover_delays_writes_by_less_than_300_ms(self) -> None:
        rig = Rig()
        target = rig.replicas[0]
        rig.change_setting(f"/trinidad/roster/{GROUP}", "primary.preferred", target)
        longest_ms = 0.0
        while rig.primary != target:
            began_ms = rig.timers.now_ms()
            answer = rig.write("entry-1", "put", "k", began_ms)
            self.assertEqual(answer.outcome, Outcome.DONE)
            longest_ms = max(longest_ms, rig.timers.now_ms() - began_ms)
        answer = rig.write("entry-1", "put", "k", "last")
        self.assertEqual(answer.endpoint, target)
        self.assertLess(longest_ms, 300)

    def test_writes_held_by_a_lost_leader_are_released_by_its_successor(self) -> None:
        rig = Rig()
        path = f"/trinidad/roster/{GROUP}"
        target = rig.replicas[0]
        lag = KnobsCall(lag_ms=60_000.0)
        rig.system.standins[target].request(lag)
        rig.write("entry-1", "put", "k", 1)
        rig.change_setting(path, "primary.preferred", target)
        rig.timers.advance_until(
            lambda: rig.system.leader.state.groups[GROUP].is_held, 5_000
        )
        rig.change_setting(path, "primary.preferred", "")
        rig.system.kill_control(rig.system.leader.name)
        rig.timers.advance_until(lambda: rig.system.leader is not None, 5_000)
        self.assertTrue(rig.system.leader.state.groups[GROUP].is_held)
        answer = rig.write("entry-2", "put", "k", 2)
        self.assertEqual(answer.outcome, Outcome.DONE)

    def test_repeated_failures_of_primaries_are_damped(self) -> None:
        rig = Rig()
        changes = 0
        for _ in range(6):
            name = rig.primary
            rig.system.kill_endpoint(name)
            rig.timers.advance(1_000)
            rig.system.restart_endpoint(name)
            rig.timers.advance(1_000)
        changes = len(self._begin_term_reasons(rig))
        self.assertLess(changes, 6)
        rig.settle(120_000)


def _append_operation(key: str) -> tuple[object, ...]:
    from azurerelay.requests import Operation

    return (Operation.WRITE, "append", "log", key)
