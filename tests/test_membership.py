import unittest

from azurerelay.membership import (
    HostHeartbeat,
    HostRecord,
    HostTable,
    choose_serving_set,
)
from azurerelay.requests import ErrorCode, Outcome
from tests.support import GROUP, Rig


def _hosts(count: int) -> list[HostRecord]:
    return [HostRecord(f"h{n}", f"a{n}", f"d{n % 6}", 1) for n in range(count)]


class ServingSetTest(unittest.TestCase):
    def test_a_serving_set_is_spread_over_failure_domains(self) -> None:
        hosts = _hosts(60)
        domains = {host.name: host.failure_domain for host in hosts}
        for number in range(200):
            chosen = choose_serving_set(f"g{number}", hosts, 3)
            self.assertEqual(len({domains[name] for name in chosen}), 3)

    def test_removing_a_host_reassigns_only_the_groups_that_it_served(self) -> None:
        hosts = _hosts(60)
        groups = [f"g{number}" for number in range(300)]
        before = {group: choose_serving_set(group, hosts, 3) for group in groups}
        remaining = [host for host in hosts if host.name != "h7"]
        for group in groups:
            after = choose_serving_set(group, remaining, 3)
            if "h7" not in before[group]:
                self.assertEqual(after, before[group])
            else:
                self.assertEqual(len(set(after) & set(before[group])), 2)

    def test_draining_hosts_are_not_chosen(self) -> None:
        hosts = [
            HostRecord("h1", "a", "d1", 1, is_draining=True),
            HostRecord("h2", "b", "d2", 1),
        ]
        self.assertEqual(choose_serving_set("g", hosts, 3), ("h2",))


class HostTableTest(unittest.TestCase):
    def _heartbeat(
        self,
        sequence: int,
        applied_index: int,
        unready: tuple[str, ...] = (),
        incarnation: int = 1,
    ) -> HostHeartbeat:
        return HostHeartbeat(
            "h",
            "a",
            "d",
            incarnation,
            sequence,
            applied_index,
            0,
            False,
            (),
            unready,
            (),
        )

    def test_a_heartbeat_that_arrives_out_of_order_makes_no_group_ready(self) -> None:
        table = HostTable(0.0, 1_000.0)
        table.record_heartbeat(self._heartbeat(2, 55, ("g",)), 10.0)
        session = table.record_heartbeat(self._heartbeat(1, 54), 20.0)
        self.assertEqual((session.acked_index, session.unready_groups), (55, {"g"}))

    def test_a_restarted_host_does_not_keep_its_acknowledged_index(self) -> None:
        table = HostTable(0.0, 1_000.0)
        table.record_heartbeat(self._heartbeat(9, 55), 10.0)
        session = table.record_heartbeat(self._heartbeat(1, 0, incarnation=2), 20.0)
        self.assertEqual(session.acked_index, 0)

    def test_a_new_leader_assumes_that_every_host_holds_a_full_lease(self) -> None:
        table = HostTable(500.0, 1_000.0)
        self.assertEqual(
            table.lagging_leases_until_ms(["never heard"], 7, 600.0), 1_500.0
        )
        table.record_heartbeat(self._heartbeat(1, 7), 700.0)
        self.assertIsNone(table.lagging_leases_until_ms(["h"], 7, 700.0))
        table.extend_lease("h", 2_000.0)
        self.assertEqual(table.lagging_leases_until_ms(["h"], 8, 700.0), 2_000.0)


class LeavingTest(unittest.TestCase):
    def test_a_leaving_endpoint_gets_no_new_work_after_three_seconds(self) -> None:
        from azurerelay.endpoints import KnobsCall

        rig = Rig()
        leaving = rig.system.standins[rig.replicas[0]]
        leaving.request(KnobsCall(is_leaving=True))
        rig.timers.advance(3_000)
        executed = leaving.executed_statements
        for number in range(60):
            rig.read(f"entry-{number % 6 + 1}", "get", "k")
        self.assertEqual(leaving.executed_statements, executed)

    def test_an_endpoint_without_announcements_expires_until_it_announces_again(
        self,
    ) -> None:
        rig = Rig()
        name = rig.replicas[0]
        rig.system.kill_endpoint(name)
        rig.timers.advance(5_000)
        presence = rig.system.leader.state.endpoints[name].presence.value
        self.assertEqual(presence, "expired")
        rig.system.restart_endpoint(name)
        rig.timers.advance(3_000)
        presence = rig.system.leader.state.endpoints[name].presence.value
        self.assertEqual(presence, "present")

    def test_a_restarted_host_is_not_taken_for_its_earlier_incarnation(self) -> None:
        rig = Rig()
        record = rig.system.leader.state.groups[GROUP]
        host = record.serving[0]
        rig.system.kill_entry(host)
        rig.system.start_entry(host)
        rig.timers.advance(200)
        rig.settle()
        self.assertGreater(rig.system.leader.state.groups[GROUP].epoch, record.epoch)


class LeaseTest(unittest.TestCase):
    def test_a_host_without_connection_to_control_stops_confirming_writes(self) -> None:
        rig = Rig()
        host = rig.system.leader.state.groups[GROUP].serving[0]
        for control in rig.system.controls:
            rig.system.network.cut(host, control)
        rig.timers.advance(2_000)
        answer = rig.write(host, "put", "k", 1, timeout_ms=500)
        self.assertEqual(
            (answer.outcome, answer.code), (Outcome.NOT_RUN, ErrorCode.NO_PRIMARY)
        )
        self.assertIn("no lease", answer.detail)

    def test_a_frozen_host_confirms_nothing_from_an_ended_term(self) -> None:
        rig = Rig()
        host = rig.system.leader.state.groups[GROUP].serving[0]
        for step in range(2, 14):
            with self.subTest(frozen_after_ms=step):
                rig = Rig()
                answer_promise = rig.send(
                    host, *_write_operation(), idempotency_key="k", timeout_ms=20_000
                )
                rig.timers.advance(step)
                rig.system.freeze(host)
                rig.system.kill_endpoint(rig.primary)
                rig.timers.advance(6_000)
                term = rig.system.leader.state.groups[GROUP].term
                rig.system.thaw(host)
                answer = rig.wait(answer_promise, 30_000)
                if answer is not None and answer.is_done and not answer.is_replay:
                    self.assertEqual(answer.term, term)


def _write_operation() -> tuple[object, ...]:
    from azurerelay.requests import Operation

    return (Operation.WRITE, "append", "log", "x")
