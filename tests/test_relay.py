"""Statements of callers against a simulated platform, on simulated time."""

import random
import unittest
from functools import partial

from azurerelay.attachment import ProvenLeader, SyncReply, SyncRequest
from azurerelay.groups import PrimaryTracker
from azurerelay.routes import DatabaseGroup
from azurerelay.statements import (
    CallerError,
    EndpointError,
    Position,
    SessionState,
    SetSessionValue,
)
from azurerelay.timing import spawn
from tests.platform_rig import GROUP, PlatformRig, configuration


class RelayCase(unittest.TestCase):
    def setUp(self) -> None:
        self.rig = PlatformRig()
        self.rig.start()

    def tearDown(self) -> None:
        self.assertEqual(self.rig.stale_reads, [])
        self.assertEqual(len(self.rig.committed), len(set(self.rig.committed)))


class StatementsTest(RelayCase):
    def test_reads_and_writes_of_all_kinds_are_answered_with_a_signature(self) -> None:
        for database, bound_ms in (("strict", 0.0), ("bounded", 1.5e3), ("own", 2.5e3)):
            session = self.rig.open(database)
            for text in ("WRITE a x", "READ a"):
                with self.subTest(database=database, text=text):
                    reply = self.rig.run(session, text, bound_ms)
                    self.assertIsNone(reply.error)
                    self.assertTrue(reply.signature.startswith("signed "))

    def test_a_session_reads_its_own_write_on_replicas_that_lag(self) -> None:
        for replica in self.rig.replicas():
            replica.lag_ms = 3_000.0
        session = self.rig.open("own")
        for _ in range(5):
            self.assertIsNone(self.rig.run(session, "WRITE a x").error)
            self.assertIsNone(self.rig.run(session, "READ a", 2_500.0).error)

    def test_a_replica_of_the_same_domain_serves_bounded_reads(self) -> None:
        session = self.rig.open("bounded", entry=2)
        for _ in range(60):
            self.rig.run(session, "READ a", 1_500.0)
            self.rig.timers.advance(40.0)
        served = {run.endpoint for run in self.rig.runs}
        nearest = next(s for s in self.rig.replicas() if s.domain == "west-1")
        self.assertEqual(served, {nearest.name})

    def test_values_and_prepared_statements_do_not_mix_between_callers(self) -> None:
        sessions = [self.rig.open("bounded") for _ in range(6)]
        for number, session in enumerate(sessions):
            self.rig.run(session, f"SET zone z{number}")
            self.rig.run(session, f"PREPARE same READ shape{number}")
        promises = []
        for _ in range(4):
            for session in sessions:
                promises.append(self.rig.send(session, "EXECUTE same item"))
            self.rig.timers.advance(2_000.0)
        self.assertTrue(all(p.is_done and not p.value.error for p in promises))
        for run in self.rig.runs:
            number = run.text.split(" ")[1].removeprefix("shape")
            self.assertEqual(run.values, {"zone": f"z{number}"})

    def test_a_caller_without_values_does_not_see_those_of_another(self) -> None:
        first, second = self.rig.open("strict"), self.rig.open("strict")
        self.rig.run(first, "SET zone z1")
        self.rig.run(first, "WRITE a x")
        self.rig.run(second, "WRITE b x")
        self.assertEqual([run.values for run in self.rig.runs], [{"zone": "z1"}, {}])

    def test_unknown_names_are_refused_and_the_session_continues(self) -> None:
        session = self.rig.open("strict")
        for text in ("EXECUTE nothing item", "DEALLOCATE nothing"):
            reply = self.rig.run(session, text)
            self.assertIs(reply.error, CallerError.UNKNOWN_NAME)
        self.assertIsNone(self.rig.run(session, "READ a").error)


class TransactionsTest(RelayCase):
    def test_a_transaction_stays_on_one_connection_and_commits_once(self) -> None:
        session = self.rig.open("strict")
        for text in ("BEGIN", "READ a", "WRITE a x", "READ a", "COMMIT"):
            self.assertIsNone(self.rig.run(session, text).error, text)
        self.assertEqual(len({run.transaction for run in self.rig.runs}), 1)
        self.assertEqual(len(self.rig.committed), 1)
        self.assertIs(session.state, SessionState.IDLE)

    def test_a_commit_runs_with_the_values_that_were_set_before_it(self) -> None:
        for texts in (
            ("BEGIN", "WRITE a x", "SET zone z1", "COMMIT"),
            ("BEGIN READ", "READ a", "SET zone z2", "SET mode m2", "COMMIT"),
        ):
            with self.subTest(texts):
                session = self.rig.open("strict")
                for text in texts:
                    self.assertIsNone(self.rig.run(session, text).error, text)
                values = list(self.rig.commit_values.values())[-1]
                names = [t.split(" ")[1:] for t in texts if t.startswith("SET")]
                self.assertEqual(values, dict(names))

    def test_a_commit_whose_values_cannot_be_set_is_rolled_back(self) -> None:
        session = self.rig.open("strict")
        for text in ("BEGIN", "WRITE a x", "SET zone z1"):
            self.assertIsNone(self.rig.run(session, text).error, text)
        self.rig.primary().reply_copies = lambda command: not isinstance(
            command, SetSessionValue
        )
        self.assertIs(self.rig.run(session, "COMMIT").error, CallerError.ABORTED)
        self.rig.run(session, "ROLLBACK")
        self.rig.timers.advance(2_000.0)
        self.assertEqual(self.rig.committed, [])

    def test_read_only_transactions_run_on_any_endpoint(self) -> None:
        session = self.rig.open("bounded")
        for text in ("BEGIN READ", "READ a", "READ b", "COMMIT"):
            self.assertIsNone(self.rig.run(session, text, 1_500.0).error, text)

    def test_a_rolled_back_transaction_commits_nothing(self) -> None:
        session = self.rig.open("strict")
        for text in ("BEGIN", "WRITE a x", "ROLLBACK"):
            self.assertIsNone(self.rig.run(session, text).error, text)
        self.rig.timers.advance(500.0)
        self.assertEqual(self.rig.committed, [])

    def test_closing_a_session_rolls_back_and_frees_the_connection(self) -> None:
        for _ in range(40):
            session = self.rig.open("strict")
            self.rig.run(session, "BEGIN")
            self.rig.run(session, "WRITE a x")
            session.close()
        self.assertEqual(self.rig.committed, [])
        self.assertIsNone(self.rig.run(self.rig.open("strict"), "WRITE a x").error)

    def test_an_idle_transaction_is_rolled_back_and_the_caller_is_told(self) -> None:
        session = self.rig.open("strict")
        self.rig.run(session, "BEGIN")
        self.rig.run(session, "WRITE a x")
        self.rig.timers.advance(4_000.0)
        self.assertIs(self.rig.run(session, "READ a").error, CallerError.ABORTED)
        self.assertIs(self.rig.run(session, "COMMIT").error, CallerError.ABORTED)
        self.assertIs(session.state, SessionState.IDLE)
        self.assertEqual(self.rig.committed, [])

    def test_an_idle_abort_is_reported_only_to_its_own_transaction(self) -> None:
        session = self.rig.open("strict")
        self.rig.run(session, "BEGIN")
        self.rig.timers.advance(3_500.0)
        self.assertIs(self.rig.run(session, "COMMIT").error, CallerError.ABORTED)
        self.rig.run(session, "BEGIN")
        self.rig.primary().crash(silent=False)
        self.assertIs(self.rig.run(session, "READ a").error, CallerError.ABORTED)
        # This transaction has failed as well, but was not idle.
        reply = self.rig.run(session, "READ a")
        self.assertIs(reply.error, CallerError.MALFORMED)

    def test_a_lost_connection_aborts_and_a_lost_commit_is_in_doubt(self) -> None:
        session = self.rig.open("strict")
        self.rig.run(session, "BEGIN")
        self.rig.primary().lost_answers = 1
        self.assertIs(self.rig.run(session, "WRITE a x").error, CallerError.ABORTED)
        self.rig.run(session, "ROLLBACK")
        self.assertEqual(self.rig.committed, [])
        self.rig.run(session, "BEGIN")
        self.rig.run(session, "WRITE a x")
        self.rig.primary().lost_answers = 1
        self.assertIs(self.rig.run(session, "COMMIT").error, CallerError.IN_DOUBT)
        self.assertEqual(len(self.rig.committed), 1)


class OutcomesTest(RelayCase):
    def test_a_write_whose_answer_is_lost_is_in_doubt_and_never_run_again(self) -> None:
        self.rig.primary().lost_answers = 1
        session = self.rig.open("strict")
        reply = self.rig.run(session, "WRITE a x")
        self.assertIs(reply.error, CallerError.IN_DOUBT)
        self.rig.timers.advance(5_000.0)
        self.assertEqual(len(self.rig.committed), 1)

    def test_a_read_whose_answer_is_lost_is_retried_on_another_endpoint(self) -> None:
        session = self.rig.open("bounded")
        self.rig.run(session, "READ a", 1_500.0)
        for server in self.rig.members(GROUP):
            server.lost_answers = 1
        self.assertIsNone(self.rig.run(session, "READ a", 1_500.0).error)

    def test_a_write_that_did_not_run_is_retried(self) -> None:
        self.rig.primary().refuse_next = [EndpointError.BUSY] * 3
        session = self.rig.open("strict")
        self.assertIsNone(self.rig.run(session, "WRITE a x").error)
        self.assertEqual(len(self.rig.committed), 1)

    def test_a_write_refused_as_busy_has_not_run(self) -> None:
        self.rig.primary().refuse_next = [EndpointError.BUSY] * 500
        session = self.rig.open("strict")
        self.assertIs(self.rig.run(session, "WRITE a x").error, CallerError.BUSY)
        self.rig.timers.advance(3_000.0)
        self.assertEqual(self.rig.committed, [])

    def test_a_failed_write_is_reported_and_not_retried(self) -> None:
        self.rig.primary().refuse_next = [EndpointError.FAILED]
        session = self.rig.open("strict")
        self.assertIs(self.rig.run(session, "WRITE a x").error, CallerError.FAILED)
        self.assertEqual(self.rig.committed, [])

    def test_a_failed_read_is_retried_on_another_endpoint(self) -> None:
        for server in self.rig.members(GROUP):
            server.refuse_next = [EndpointError.FAILED]
        session = self.rig.open("bounded")
        self.assertIsNone(self.rig.run(session, "READ a", 1_500.0).error)


class FailoverTest(RelayCase):
    def _crash_primary(self, silent: bool) -> float:
        """Crash the primary; return how long no write is accepted, in milliseconds."""
        self.rig.primary().crash(silent)
        lost_ms = self.rig.timers.now_ms()
        while self.rig.timers.now_ms() - lost_ms < 12_000.0:
            if self.rig.run(self.rig.open("strict"), "WRITE a x").error is None:
                return self.rig.timers.now_ms() - lost_ms
        raise AssertionError("no write was accepted within 12 s of the crash")

    def test_a_crashed_or_silent_primary_is_replaced(self) -> None:
        for silent in (False, True):
            with self.subTest(silent=silent):
                self.rig = PlatformRig()
                self.rig.start()
                self.rig.run(self.rig.open("strict"), "WRITE a x")
                self.rig.timers.advance(200.0)
                before = self.rig.primary()
                outage_ms = self._crash_primary(silent)
                self.assertIsNot(self.rig.primary(), before)
                self.assertLess(outage_ms, 7_000.0)
                self.assertIsNone(self.rig.run(self.rig.open("strict"), "READ a").error)

    def test_a_new_control_leader_replaces_a_lost_primary_without_delay(self) -> None:
        leader = self.rig.leader
        frozen = next(a for a, n in self.rig.controls.items() if n is leader)
        self.rig.scopes[frozen].pause()
        others = [n for a, n in self.rig.controls.items() if a != frozen]
        self.rig.wait_for(lambda: any(n.raft.is_ready_leader for n in others))
        self.rig.timers.advance(400.0)
        self.rig.primary().crash(silent=True)
        lost_ms = self.rig.timers.now_ms()
        for _ in range(20):
            for entry in (1, 2, 3):
                self.rig.send(self.rig.open("strict", entry), "READ a")
            self.rig.timers.advance(100.0)
            if self.rig.promotions.orders:
                break
        self.assertLess(self.rig.timers.now_ms() - lost_ms, 2_000.0)

    def test_a_lost_primary_whose_address_another_endpoint_has_is_replaced(
        self,
    ) -> None:
        """The endpoint at that address answers, but it is not the primary."""
        self.rig.run(self.rig.open("strict"), "WRITE a x")
        before = self.rig.primary()
        before.is_replaced_by_another = True
        outage_ms = self._crash_primary(silent=False)
        self.assertIsNot(self.rig.primary(), before)
        self.assertLess(outage_ms, 7_000.0)

    def test_the_most_advanced_replica_is_promoted(self) -> None:
        behind, ahead = self.rig.replicas()
        self.rig.run(self.rig.open("strict"), "WRITE a x")
        self.rig.timers.advance(100.0)
        behind.log = behind.log[:1]
        behind.applied = 1
        self._crash_primary(False)
        self.assertIs(self.rig.primary(), ahead)

    def test_a_replica_serves_reads_again_once_it_has_caught_up(self) -> None:
        replica = next(s for s in self.rig.replicas() if s.domain == "west-1")
        session, writer = self.rig.open("bounded", 2), self.rig.open("strict")

        def run_load(seconds: int) -> set[str]:
            before = len(self.rig.runs)
            for _ in range(10 * seconds):
                self.rig.run(writer, "WRITE a x")
                self.rig.run(session, "READ a", 1_500.0)
                self.rig.timers.advance(60.0)
            reads = [r for r in self.rig.runs[before:] if r.text.startswith("READ")]
            return {run.endpoint for run in reads}

        self.assertIn(replica.name, run_load(2))
        replica.lag_ms = 60_000.0
        run_load(8)
        replica.lag_ms = 20.0
        replica.applied = len(replica.log)
        run_load(4)
        self.assertEqual(run_load(2), {replica.name})

    def test_a_replaced_primary_that_hosts_still_reach_serves_no_stale_read(
        self,
    ) -> None:
        old = self.rig.primary()
        sessions = [self.rig.open("strict", entry) for entry in (1, 2, 3)]
        for session in sessions:
            self.rig.run(session, "READ a")
        target = self.rig.replicas()[0]
        old.unreachable_from = {"10.1.0.2:7440", "10.1.0.3:7440", *self.rig.addresses}
        old.announcement()
        self.rig.make_primary(target)
        for _ in range(10):
            self.rig.run(sessions[1], "WRITE a x")
            self.rig.run(sessions[0], "READ a")
            self.rig.run(sessions[0], "WRITE a x")
        self.assertTrue(all(self.rig.primary() is target for _ in sessions))

    def test_reads_continue_after_a_promotion_that_rolls_commits_back(self) -> None:
        """Reads must not go on requiring a position that a promotion has rolled back.

        The new primary reports a lower position than the old one until its first own
        commit.
        """
        own, bounded = self.rig.open("own"), self.rig.open("bounded")
        self.rig.run(own, "WRITE a x")
        self.rig.timers.advance(300.0)
        target = self.rig.replicas()[0]
        for replica in self.rig.replicas():
            replica.is_up = False
        self.rig.run(own, "WRITE b y")
        self.rig.run(bounded, "READ a", 1_500.0)
        for replica in self.rig.replicas():
            replica.is_up = True
        self.rig.primary().crash()
        self.rig.make_primary(target)
        self.rig.timers.advance(400.0)  # the timeout of a leadership proof
        for database, session in (("own", own), ("bounded", bounded)):
            with self.subTest(database=database):
                started_ms = self.rig.timers.now_ms()
                self.assertIsNone(self.rig.run(session, "READ a", 1_500.0).error)
                # The target latency of the route.
                self.assertLess(self.rig.timers.now_ms() - started_ms, 500.0)

    def test_a_primary_that_one_host_cannot_reach_is_not_replaced(self) -> None:
        self.rig.primary().unreachable_from = {"10.1.0.3:7440"}
        before = self.rig.primary()
        self.rig.timers.advance(8_000.0)
        self.assertIs(self.rig.primary(), before)
        self.assertEqual(self.rig.promotions.orders, [])

    def test_a_late_promotion_does_not_undo_a_later_one(self) -> None:
        self.rig.promotions.unanswered = 1
        self.rig.run(self.rig.open("strict"), "WRITE a x")
        self.rig.timers.advance(200.0)
        self._crash_primary(False)
        first = self.rig.primary()
        self.rig.timers.advance(12_000.0)
        self.assertIs(self.rig.primary(), first)
        tokens = [order.fencing_token for order in self.rig.promotions.orders]
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_a_draining_primary_is_replaced_and_writes_continue(self) -> None:
        old = self.rig.primary()
        old.is_draining = True
        self.rig.send_heartbeat(old)
        errors = 0
        for _ in range(60):
            session = self.rig.open("strict")
            errors += self.rig.run(session, "WRITE a x").error is not None
            self.rig.timers.advance(50.0)
        self.assertIsNot(self.rig.primary(), old)
        self.assertLess(errors, 5)


class ProofTest(RelayCase):
    def test_concurrent_proofs_are_shared_and_fail_without_a_primary(
        self,
    ) -> None:
        group = self.rig.entries["10.1.0.1:7440"].find_route("strict")[1]
        before = self.rig.primary()
        group.record_not_primary(before.name)
        promises = [group.prove_primary() for _ in range(5)]
        self.assertTrue(all(p.is_done and p.value is None for p in promises))
        self.rig.timers.advance(200.0)
        shared = [group.prove_primary() for _ in range(5)]
        self.rig.timers.advance(200.0)
        self.assertTrue(all(p.is_done and p.value is not None for p in shared))
        self.assertLessEqual(len({id(p) for p in shared}), 2)


class StartTest(unittest.TestCase):
    def test_a_host_opens_one_connection_per_endpoint_right_after_its_start(
        self,
    ) -> None:
        rig = PlatformRig(entry_hosts=3)
        rig.start()
        started_ms = rig.timers.now_ms()
        node = rig.start_entry(4)
        rig.wait_for(lambda: node.is_ready)
        sessions = [rig.open("strict", 4) for _ in range(40)]
        for session in sessions:
            rig.send(session, "BEGIN")
        rig.timers.advance(300.0)
        connections = [s for s in rig.primary().sessions if s.client == "10.1.0.4:7440"]
        self.assertEqual(len(connections), 1)
        rig.timers.advance(4_500.0 - (rig.timers.now_ms() - started_ms))
        for session in sessions:
            rig.send(session, "BEGIN")
        rig.timers.advance(300.0)
        connections = [s for s in rig.primary().sessions if s.client == "10.1.0.4:7440"]
        self.assertGreater(len(connections), 1)

    def test_reads_that_waited_for_a_start_are_spread_over_all_endpoints(self) -> None:
        """Reads right after a start must not all go to the primary.

        They require the newest position, and the primary alone would need about a
        second for them.
        """
        rig = PlatformRig(entry_hosts=3)
        rig.start()
        for server in rig.servers.values():
            server.work_ms = 30.0
        node = rig.start_entry(4)
        opened = [spawn(node.open_session("bounded")) for _ in range(18)]
        rig.wait_for(lambda: all(promise.is_done for promise in opened))
        replies = [rig.send(p.value, "READ a", 1_500.0) for p in opened]
        # Each endpoint runs a third of the reads one at a time; 100 ms for the proof.
        rig.timers.advance(18 / 3 * (30.0 + 12.0) + 100.0)
        self.assertEqual([p.is_done for p in replies], [True] * 18)
        self.assertEqual(rig.stale_reads, [])

    def test_all_hosts_accept_writes_soon_after_all_lost_power_under_load(self) -> None:
        """Endpoints count the connections of hosts that lost power for 3 s more.

        These must leave room for the connections of the restarted hosts.
        """
        hosts = 15
        rig = PlatformRig(entry_hosts=hosts)
        rig.add_group()
        for server in rig.servers.values():
            server.max_connections = 45
        rig.start()
        # At least the load of one group on the busiest standard day: nine transactions
        # of about half a second and a dozen writes per second.
        random_source = random.Random(7)
        for _ in range(9 * 6):
            session = rig.open("strict", random_source.randrange(1, hosts + 1))
            rig.send(session, "BEGIN")
            pause_ms = random_source.uniform(200.0, 1_000.0)
            rig.timers.call_later(pause_ms, partial(rig.send, session, "ROLLBACK"))
            for _ in range(2):
                other = rig.open("own", random_source.randrange(1, hosts + 1))
                rig.send(other, "WRITE a x")
            rig.timers.advance(random_source.expovariate(9.0) * 1_000.0)
        addresses = list(rig.entries)
        for address in addresses:
            rig.cut_power(address)
        rig.timers.advance(1_000.0)
        for number in range(1, hosts + 1):
            rig.start_entry(number)
        rig.wait_for(lambda: all(e.is_ready for e in rig.entries.values()))
        replies = [
            rig.send(rig.open("strict", number), "WRITE a x")
            for number in range(1, hosts + 1)
        ]
        rig.timers.advance(500.0)  # the target latency of the route
        self.assertEqual(
            [p.is_done and p.value.error is None for p in replies], [True] * hosts
        )


class ScarceConnectionsTest(unittest.TestCase):
    """Endpoints accept fewer connections than there are entry hosts."""

    HOSTS = 40
    LIMIT = 30

    def setUp(self) -> None:
        self.rig = PlatformRig(entry_hosts=self.HOSTS)
        self.rig.add_group()
        for server in self.rig.servers.values():
            server.max_connections = self.LIMIT
        groups = (DatabaseGroup(GROUP, self.LIMIT, 0),)
        self.rig.start(initial_configuration=configuration(1, groups=groups))
        self.random_source = random.Random(11)

    def tearDown(self) -> None:
        self.assertEqual(self.rig.stale_reads, [])

    def _run_load(self, seconds: float) -> list[bool]:
        """Send about 20 writes and 60 reads per second to randomly chosen hosts.

        Returns for each statement whether it succeeded within a second of the end.
        """
        replies = []
        for _ in range(int(80 * seconds)):
            number = self.random_source.randrange(1, self.HOSTS + 1)
            is_write = self.random_source.random() < 0.25
            session = self.rig.open("own" if is_write else "bounded", number)
            text = "WRITE a x" if is_write else "READ a"
            replies.append(self.rig.send(session, text, 1_500.0))
            self.rig.timers.advance(self.random_source.expovariate(80.0) * 1_000.0)
        self.rig.timers.advance(1_000.0)
        return [p.is_done and p.value.error is None for p in replies]

    def test_all_hosts_serve_and_few_connections_are_refused(self) -> None:
        served = self._run_load(8.0)
        self.assertGreaterEqual(sum(served) / len(served), 0.99)
        refused = sum(s.refused_connections for s in self.rig.servers.values())
        self.assertLess(refused, 0.05 * len(served))

    def test_hosts_keep_a_connection_to_a_replica_of_their_region(self) -> None:
        """Reads that open a connection each would take a slot of the endpoint twice.

        Only hosts of its region read from a replica, so there are enough for them.
        """
        self._read_everywhere(2)
        opened_before = self.rig.opened_connections
        reads = 0
        for _ in range(10):
            self.rig.timers.advance(3_000.0)
            reads += self._read_everywhere(1)
        opened = self.rig.opened_connections - opened_before
        # Hosts of the primary's domain, a third, still take turns.
        self.assertLess(opened, 0.4 * reads)
        for server in self.rig.servers.values():
            self.assertEqual(server.refused_connections, 0)

    def _fill_primary(self) -> None:
        """Hold all connections of the primary by open transactions."""
        primary = self.rig.primary()
        for number in range(1, self.HOSTS + 1):
            for _ in range(2):
                self.rig.send(self.rig.open("strict", number), "BEGIN")
                self.rig.timers.advance(5.0)
        self.rig.timers.advance(1_500.0)
        self.assertEqual(len(primary.sessions), self.LIMIT)

    def test_a_statement_without_a_connection_is_refused_early(self) -> None:
        """Its caller can still reach a host that has one, twice, within its target."""
        self._fill_primary()
        connected = {session.client for session in self.rig.primary().sessions}
        number = next(
            n for n in range(1, self.HOSTS + 1) if f"10.1.0.{n}:7440" not in connected
        )
        for database, text in (("own", "WRITE a x"), ("strict", "READ a")):
            with self.subTest(text):
                session = self.rig.open(database, number)
                promise = self.rig.send(session, text)
                # A quarter of the target latency of the route, 500 ms, and two waits
                # between attempts.
                self.rig.timers.advance(125.0 + 2 * 15.0)
                self.assertTrue(promise.is_done)
                self.assertIs(promise.value.error, CallerError.BUSY)

    def test_statements_wait_while_connections_of_the_dead_are_counted(self) -> None:
        """All hosts have restarted, so no other host is better off."""
        self._fill_primary()
        for address in list(self.rig.entries):
            self.rig.cut_power(address)
        self.rig.timers.advance(1_000.0)
        for number in range(1, self.HOSTS + 1):
            self.rig.start_entry(number)
        self.rig.wait_for(lambda: all(e.is_ready for e in self.rig.entries.values()))
        promise = self.rig.send(self.rig.open("own", 3), "WRITE a x")
        self.rig.timers.advance(400.0)
        self.assertFalse(promise.is_done)

    def test_statements_wait_for_a_new_primary_in_a_failover(self) -> None:
        self._read_everywhere(1)
        self.rig.primary().crash(silent=True)
        self.rig.timers.advance(200.0)
        promise = self.rig.send(self.rig.open("own", 3), "WRITE a x")
        self.rig.timers.advance(400.0)
        self.assertFalse(promise.is_done)

    def _read_everywhere(self, rounds: int) -> int:
        for _ in range(rounds):
            for number in range(1, self.HOSTS + 1):
                session = self.rig.open("bounded", number)
                self.rig.send(session, "READ a", 1_500.0)
                self.rig.timers.advance(10.0)
        self.rig.timers.advance(500.0)
        return rounds * self.HOSTS

    def test_statements_succeed_again_after_a_failover(self) -> None:
        """All hosts look for the new primary after a failover.

        The connections that they open for this must not exhaust the limit and keep
        the hosts with statements away from it.
        """
        self._run_load(4.0)
        self.rig.primary().crash(silent=True)
        self._run_load(7.0)
        self.rig.timers.advance(3_000.0)
        before = sum(s.refused_connections for s in self.rig.servers.values())
        served = self._run_load(4.0)
        self.assertGreaterEqual(sum(served) / len(served), 0.99)
        refused = sum(s.refused_connections for s in self.rig.servers.values())
        self.assertLess(refused - before, 0.05 * len(served))

    def test_a_silent_primary_is_replaced_within_the_target(self) -> None:
        self._run_load(4.0)
        before = self.rig.primary()
        before.crash(silent=True)
        lost_ms = self.rig.timers.now_ms()
        while self.rig.primary() is before:
            self._run_load(0.2)
            self.assertLess(self.rig.timers.now_ms() - lost_ms, 7_000.0)


class ControlProofTest(RelayCase):
    """Leadership proofs that control passes on must not be dated too late.

    A proof dated later than it was made lets a read miss an acknowledged commit.
    """

    POSITION_AHEAD = Position(3, 10_000)

    def setUp(self) -> None:
        super().setUp()
        self.node = self.rig.entries["10.1.0.1:7440"]
        self.samples = self.node.find_route("bounded")[1].samples
        self.requests: list[tuple[float, int]] = []
        deliver = self.rig.deliver

        def record_request(sender: str, peer: str, message: object) -> None:
            if isinstance(message, SyncRequest) and sender == "10.1.0.1:7440":
                self.requests.append((self.rig.timers.now_ms(), message.sequence))
            deliver(sender, peer, message)

        self.rig.deliver = record_request  # type: ignore[method-assign]
        self.rig.wait_for(lambda: bool(self.requests))

    def _deliver_proof(self, sequence: int, age_ms: float) -> None:
        leader = ProvenLeader(GROUP, self.POSITION_AHEAD, age_ms, 0.0)
        reply = SyncReply(sequence, 0.0, 3, None, None, (), (leader,))
        self.node.on_message(self.rig.addresses[0], reply)

    def test_a_proof_is_dated_from_the_request(self) -> None:
        requested_ms, sequence = self.requests[-1]
        self.rig.timers.advance(6.0)
        self._deliver_proof(sequence, 0.0)
        self.assertEqual(self.samples.newest, (requested_ms, self.POSITION_AHEAD))

    def test_a_delayed_reply_does_not_advance_the_newest_position(self) -> None:
        _, sequence = self.requests[-1]
        self.rig.timers.advance(5_000.0)
        self._deliver_proof(sequence, 0.0)
        self.assertLess(self.samples.newest[1], self.POSITION_AHEAD)

    def test_a_reply_to_an_earlier_process_adds_no_proof(self) -> None:
        _, sequence = self.requests[-1]
        self._deliver_proof(sequence + 1_000_000, 0.0)
        self.assertLess(self.samples.newest[1], self.POSITION_AHEAD)


class DrainingTest(RelayCase):
    def test_a_draining_replica_gets_no_new_work(self) -> None:
        replica = self.rig.replicas()[0]
        replica.is_draining = True
        self.assertTrue(self.rig.wait(self.rig.send_heartbeat(replica)))
        self.rig.timers.advance(200.0)
        before = len(self.rig.runs)
        for _ in range(40):
            self.rig.run(self.rig.open("bounded"), "READ a", 1_500.0)
        served = {run.endpoint for run in self.rig.runs[before:]}
        self.assertNotIn(replica.name, served)

    def test_a_draining_primary_gets_no_new_work_after_the_limit(self) -> None:
        self.rig.promotions.unanswered = 10_000
        primary = self.rig.primary()
        primary.is_draining = True
        self.rig.wait(self.rig.send_heartbeat(primary))
        self.rig.timers.advance(7_000.0)
        before = len(self.rig.runs)
        for _ in range(5):
            self.rig.run(self.rig.open("strict"), "WRITE a x")
        served = {run.endpoint for run in self.rig.runs[before:]}
        self.assertNotIn(primary.name, served)


class PrimaryTrackerTest(unittest.TestCase):
    def test_the_newest_claim_ranks_first_and_a_denied_one_is_held_off(self) -> None:
        rig = PlatformRig()
        rig.add_group()
        first, second, _ = rig.members(GROUP)
        tracker = PrimaryTracker()
        tracker.update([first.announcement()])
        tracker.record_proof(first.name, Position(3, 1))
        self.assertEqual(tracker.ranked(0.0), (first.name,))
        second.is_primary = True
        tracker.update([first.announcement(), second.announcement()])
        self.assertEqual(tracker.ranked(0.0)[0], second.name)
        tracker.record_not_primary(second.name, 0.0)
        self.assertEqual(tracker.ranked(50.0), (first.name,))
        self.assertEqual(tracker.ranked(200.0)[0], second.name)


if __name__ == "__main__":
    unittest.main()
