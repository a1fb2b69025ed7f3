"""Tests for quotas: the gate, the ledger, their messages, and the whole way."""

import random
import unittest
from bisect import bisect_left
from dataclasses import replace
from functools import partial
from typing import Any

from result import Err

from azurerelay.attachment import ATTACHMENT_MESSAGES, Detach, SyncReply, SyncRequest
from azurerelay.cluster import CONTROL_LINK_CODEC
from azurerelay.events import (
    CustomerLimited,
    CustomerUnlimited,
    LocalQuotasEnded,
    LocalQuotasStarted,
    StatementRefused,
)
from azurerelay.messages import TaggedCodec
from azurerelay.quotas import (
    AdmissionCounts,
    AdmissionFraction,
    AdmissionGate,
    AdmissionLimits,
    AdmissionReport,
    OperationCount,
    QuotaLedger,
)
from azurerelay.relay._admission_control import MAX_CUSTOMER_LABELS
from azurerelay.routes import Customer
from azurerelay.statements import CallerError, SessionState
from azurerelay.timing import ManualTimerService
from tests.platform_rig import GROUP, PlatformRig, configuration
from tests.quota_rig import QuotaRig

ACME = Customer("acme", ("key-1",), 100.0, 40.0)
FREE = Customer("free", ("key-9",))
CLOSED = Customer("closed", ("key-3",), 0.0, 0.0)


class GateTest(unittest.TestCase):
    """The gate of one of ten entry hosts."""

    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.gate = AdmissionGate(self.timers, random.Random(1))
        self.gate.update((ACME, FREE, CLOSED))
        self.gate.record_contact(10, 0.0)

    def _offer(self, duration_ms: int, customer: str = "acme") -> int:
        """Offer an operation each ms; return how many were admitted and started."""
        count = 0
        for _ in range(duration_ms):
            self.timers.advance(1.0)
            if self.gate.admit(customer):
                self.gate.record_started(customer)
                count += 1
        return count

    def test_control_states_the_fraction_of_limited_customers(self) -> None:
        self.gate.apply_limits(AdmissionLimits((AdmissionFraction("acme", 0.3),)))
        for customer, low, high in (
            ("acme", 120, 180),
            ("free", 500, 500),
            ("", 500, 500),
            ("closed", 0, 0),
        ):
            self.assertTrue(low <= self._offer(500, customer) <= high, customer)
            self.gate.record_contact()

    def test_limits_end_with_an_empty_list_or_when_they_are_not_repeated(self) -> None:
        """Guards against a limit for ever if the message that ends it is lost."""
        limits = AdmissionLimits((AdmissionFraction("acme", 0.0),))
        self.gate.apply_limits(limits)
        self.assertEqual(self._offer(100), 0)
        self.gate.apply_limits(AdmissionLimits(()))
        self.assertEqual(self._offer(100), 100)
        self.gate.apply_limits(limits)
        self.timers.advance(501.0)
        self.gate.record_contact()
        self.assertEqual(self._offer(100), 100)

    def test_a_silence_of_control_limits_by_itself(self) -> None:
        """Guards against a jump of demand that control cannot limit here."""
        for _ in range(10):
            self.gate.record_contact()
            self.assertTrue(self.gate.admit("acme"))
            self.gate.record_started("acme")
            self.timers.advance(200.0)
        self.gate.record_contact()
        self._offer(650)
        held = self._offer(1_349)
        self.assertTrue(5 <= held <= 30, held)
        # A tenth of the quota, of which the jump has used up more than a window.
        self.assertEqual(self._offer(5_000), 0)
        self.assertTrue(95 <= self._offer(10_000) <= 105)
        self.assertEqual(self._offer(1_000, "free"), 1_000)
        self.gate.record_contact()
        self.assertEqual(self._offer(100), 100)

    def test_unconfirmed_reports_are_repeated_after_a_silence(self) -> None:
        """Guards against operations that a lost control host alone has counted."""
        self.assertIsNone(self.gate.take_report())
        self._offer(10)
        self.assertEqual(
            self.gate.take_report(), AdmissionReport((OperationCount("acme", 10, 10),))
        )
        self.gate.record_contact(10, self.timers.now_ms())
        self.timers.advance(500.0)
        self._offer(20)
        self.gate.take_report()
        self.timers.advance(900.0)
        self.gate.record_contact(control_host="next")
        repeated = AdmissionReport((OperationCount("acme", 0, 20),))
        self.assertEqual(self.gate.take_report("next"), repeated)
        self.timers.advance(2_000.0)
        self.gate.record_contact(control_host="third")
        self.assertEqual(self.gate.take_report("third"), repeated)
        # Their original time counts, not that of the repetition.
        self.timers.advance(2_500.0)
        self.gate.record_contact(control_host="fourth")
        self.assertIsNone(self.gate.take_report("fourth"))

    def test_the_local_mode_starts_with_a_part_of_an_operation(self) -> None:
        """Guards against no operations, or one at each host at once, at some clocks."""
        for start_ms in (-1e6, 0.0, 1e9):
            timers = ManualTimerService(start_ms)
            gates = [AdmissionGate(timers, random.Random(n)) for n in range(100)]
            for gate in gates:
                gate.update((ACME,))
                gate.record_distant_reply(100)
            at_once = sum(gate.admit("acme") for gate in gates)
            timers.advance(1_001.0)
            later = sum(gate.admit("acme") for gate in gates)
            self.assertEqual((at_once, later), (0, 100), start_ms)

    def test_late_answers_repeat_nothing_that_was_received(self) -> None:
        """Guards against operations that control counts twice, so that it refuses."""
        reported = 0
        for _ in range(20):
            for _ in range(7):
                self._offer(10)
                self.timers.advance(90.0)
                report = self.gate.take_report("control")
                reported += sum(c.started for c in report.counts) if report else 0
            self.gate.apply_limits(AdmissionLimits(()), "control")
            self.gate.record_contact(10, self.timers.now_ms() - 20.0, "control")
        self.timers.advance(100.0)
        self.assertIsNone(self.gate.take_report("control"))
        self.assertLessEqual(reported, 20 * 7 * 10)


class LedgerTest(unittest.TestCase):
    """The ledger of one control host; the bucket of acme holds 40 + 10."""

    def setUp(self) -> None:
        self.timers = ManualTimerService()
        self.ledger = QuotaLedger(self.timers, 20.0)
        self.ledger.update((ACME, FREE))

    def _record(self, offered: int, started: int) -> None:
        counts = (
            OperationCount("acme", offered, started),
            OperationCount("free", 9_999, 9_999),
            OperationCount("unknown", 9_999, 9_999),
        )
        self.ledger.record_counts(AdmissionCounts(counts))

    def test_the_fraction_is_what_rate_and_tokens_allow(self) -> None:
        self._record(100, 50)
        (limit,) = self.ledger.limits()
        self.assertEqual((limit.tokens, limit.demand_per_s), (0.0, 500.0))
        self.assertAlmostEqual(limit.fraction, 100.0 / 500.0)
        self._record(0, 200)
        self.assertEqual(self.ledger.limits()[0].fraction, 0.0)
        self.timers.advance(3_000.0)
        self.assertEqual(self.ledger.limits(), ())

    def test_operations_that_never_start_do_not_limit(self) -> None:
        """Guards against `TOOMANY` below the quota while a group is down."""
        fractions = []
        for step in range(100):
            fractions.append(min((c.fraction for c in self.ledger.limits()), default=1))
            started = round(40 * fractions[-1])
            refunded = started if step % 3 else started - 20
            self.ledger.record_counts(
                AdmissionCounts((OperationCount("acme", 40, started, refunded),))
            )
            self.timers.advance(100.0)
        self.assertGreater(sum(fractions) / len(fractions), 0.99)

    def test_operations_that_start_late_count_from_their_start(self) -> None:
        """Guards against a window with all that waited, and a whole quota beside it."""
        self._record(90, 90)
        self.timers.advance(4_600.0)
        late = OperationCount("acme", 0, 0, late=90, waited_ms=4_500)
        self.ledger.record_counts(AdmissionCounts((late,)))
        self.timers.advance(400.0)
        self._record(440, 440)
        self.timers.advance(4_000.0)
        self._record(1_000, 0)
        (limit,) = self.ledger.limits()
        self.assertGreater(limit.tokens, 0.0)
        # 550 operations may run in a window; 530 have.
        self.assertAlmostEqual(limit.fraction, 20 / 0.5 / limit.demand_per_s)

    def test_a_lowered_rate_lowers_the_tokens(self) -> None:
        self.ledger.update((replace(ACME, rate_per_s=10.0, burst=0.0),))
        self._record(100, 0)
        (limit,) = self.ledger.limits()
        self.assertEqual(limit.tokens, 10.0)
        self.assertAlmostEqual(limit.fraction, 30.0 / 500.0)  # 10 and 10 / 0.5 s

    def test_a_raised_burst_is_usable(self) -> None:
        """Guards against the smallest capacity of all versions that were applied."""
        self.ledger.update((replace(ACME, burst=0.0),))
        self.ledger.update((replace(ACME, burst=240.0),))
        self._record(450, 50)
        (limit,) = self.ledger.limits()
        self.assertEqual(limit.tokens, 200.0)
        # A change back and forth adds no tokens.
        self.ledger.update((replace(ACME, burst=0.0),))
        self.ledger.update((replace(ACME, burst=240.0),))
        self.assertEqual(self.ledger.limits()[0].tokens, 200.0)

    def test_a_share_is_reserved_for_hosts_that_control_lost(self) -> None:
        """Guards against a quota that other hosts use up beside the silent ones."""
        for count, silent_share, reserved in (
            (100, 0.0, 0),
            (100, 0.1, 10),
            (50, 0.0, 20),
        ):
            self.timers.advance(3_000.0)
            self.ledger.set_entry_hosts(count, silent_share)
            self._record(1_000, 90)
            before = self.ledger.limits()[0].tokens
            self.timers.advance(100.0)
            gained = self.ledger.limits()[0].tokens - before
            self.assertAlmostEqual(gained, (100 - reserved) / 10)


class MessagesTest(unittest.TestCase):
    """Links between builds, and what is sent when."""

    def test_hosts_of_earlier_builds_drop_the_messages(self) -> None:
        """Guards against links that fail while both builds run."""
        earlier = TaggedCodec((SyncRequest, SyncReply, Detach))
        counts = (OperationCount("acme", 3, 2),)
        for message in (
            AdmissionReport(counts),
            AdmissionCounts(counts),
            AdmissionLimits((AdmissionFraction("acme", 0.5),)),
        ):
            frame = CONTROL_LINK_CODEC.encode(message)
            self.assertEqual(CONTROL_LINK_CODEC.decode(frame).ok_value, message)
            self.assertIsInstance(earlier.decode(frame), Err)
        self.assertNotIn(AdmissionCounts, ATTACHMENT_MESSAGES)

    def test_a_jump_is_limited_in_time_on_all_hosts(self) -> None:
        """Guards against delays with which a customer would exceed its quota."""
        for seed in range(10):
            rig = QuotaRig(seed, 140, (replace(ACME, burst=0.0),))
            rig.offer_from("acme", lambda at: 62.0 if at < 3e3 else 465.0, rig.hosts)
            rig.timers.advance(3_450.0)
            limited = [control.limited_count for control in rig.controls]
            self.assertEqual(limited, [1] * len(rig.controls), seed)


class QuotaSystemTest(unittest.TestCase):
    """Callers of three entry hosts, with five control hosts."""

    def setUp(self) -> None:
        self.rig = PlatformRig()
        busy = Customer("busy", ("key-1",), 20.0, 10.0)
        calm = Customer("calm", ("key-2",), 20.0, 10.0)
        self.rig.start(configuration(customers=(busy, calm, FREE)))
        self.replies: dict[str, list[Any]] = {"key-1": [], "key-2": []}

    def _call_regularly(self, key: str, interval_ms: float) -> None:
        for entry in (1, 2, 3):
            session = self.rig.open("strict", entry, key)
            self.rig.timers.call_every(
                interval_ms, partial(self._call, session, key, [])
            )

    def _call(self, session: Any, key: str, pending: list[Any]) -> None:
        if pending and not pending[-1].is_done:
            return
        pending.append(self.rig.send(session, "WRITE 1 a"))
        pending[-1].add_callback(lambda: self.replies[key].append(pending[-1].value))

    def test_the_quota_holds_over_all_hosts_together(self) -> None:
        for _ in range(4):
            self._call_regularly("key-1", 50.0)
        self._call_regularly("key-2", 300.0)
        self.rig.timers.advance(12_000.0)
        times = [run.at_ms for run in self.rig.runs if run.customer == "busy"]
        windows = [
            bisect_left(times, at_ms + 5_000.0) - first
            for first, at_ms in enumerate(times)
        ]
        self.assertLessEqual(max(windows), (20 * 5 + 10) * 1.1 + 20)
        self.assertGreaterEqual(len(times), 20 * 12 * 0.9)
        refused = [r for r in self.replies["key-1"] if r.error is not None]
        self.assertEqual({r.error for r in refused}, {CallerError.OVER_QUOTA})
        self.assertEqual({r.state for r in refused}, {SessionState.IDLE})
        self.assertTrue(all(r.error is None for r in self.replies["key-2"]))
        events = self.rig.events.of(StatementRefused)
        self.assertEqual(len(events), len(refused))
        self.assertEqual({(e.has_run, e.attempts) for e in events}, {("no", 0)})
        self.assertEqual(
            {e.customer for e in self.rig.events.of(CustomerLimited)}, {"busy"}
        )

    def test_an_operation_that_was_not_sent_is_refunded(self) -> None:
        """Guards against a quota that is used up while a group has no primary."""
        counts: list[OperationCount] = []
        for node in self.rig.entries.values():
            gate = node._admission_control._gate
            take = gate.take_report

            def record(*args: Any, take: Any = take) -> AdmissionReport | None:
                report: AdmissionReport | None = take(*args)
                counts.extend(report.counts if report else ())
                return report

            gate.take_report = record  # type: ignore[method-assign]
        session = self.rig.open("strict", key="key-1")
        self.assertIsNone(self.rig.run(session, "WRITE 1 a").error)
        self.rig.timers.advance(200.0)
        self.assertEqual(counts, [OperationCount("busy", 1, 1)])
        counts.clear()
        for server in self.rig.members(GROUP):
            server.crash()
        reply = self.rig.run(session, "WRITE 1 a")
        self.assertIs(reply.error, CallerError.BUSY)
        self.rig.timers.advance(200.0)
        self.assertEqual([c.refunded for c in counts], [0, 1])
        self.assertGreater(counts[1].waited_ms, 0)

    def test_statements_of_a_transaction_are_one_operation(self) -> None:
        """Guards against refusals inside a transaction, and against counting twice."""
        session = self.rig.open("strict", key="key-1")
        node = self.rig.entries["10.1.0.1:7440"]
        self.rig.run(session, "BEGIN")
        gate = node._admission_control._gate
        gate.apply_limits(AdmissionLimits((AdmissionFraction("busy", 0.0),)))
        for text in ("WRITE 1 a", "READ 1", "COMMIT"):
            self.assertIsNone(self.rig.run(session, text).error)
        gate.apply_limits(AdmissionLimits((AdmissionFraction("busy", 0.0),)))
        for text in ("BEGIN", "READ 1", "WRITE 1 a"):
            reply = self.rig.run(session, text)
            self.assertIs(reply.error, CallerError.OVER_QUOTA)
        self.assertIsNone(
            self.rig.run(self.rig.open("strict", key="key-2"), "READ 1").error
        )
        counters = self.rig.meters.counters
        started = counters[("operations_started_total", (("customer", "busy"),))]
        self.assertEqual(started, 1)

    def test_a_host_without_control_says_that_it_limits_by_itself(self) -> None:
        self.rig.isolate("10.1.0.1:7440", self.rig.addresses)
        self.rig.timers.advance(3_000.0)
        (event,) = self.rig.events.of(LocalQuotasStarted)
        self.assertEqual(event.entry_hosts, 3)
        session = self.rig.open("strict", key="key-1")
        outcomes = {self.rig.run(session, "READ 1").error for _ in range(10)}
        self.assertEqual(outcomes, {None, CallerError.OVER_QUOTA})
        self.rig.heal()
        self.rig.timers.advance(2_000.0)
        self.assertEqual(len(self.rig.events.of(LocalQuotasEnded)), 1)

    def test_a_host_without_a_leader_knows_the_number_of_entry_hosts(self) -> None:
        """Guards against a whole quota at each entry host before the first contact."""
        control = self.rig.entries["10.1.0.1:7440"]._admission_control
        control._gate = AdmissionGate(self.rig.timers, random.Random(1))
        follower = control._control_follower
        other = next(
            a for a in self.rig.addresses if a != follower.current_control_host
        )
        reply = SyncReply(1, 5_000.0, 3, None, None, (), (), None, 3)
        control.on_message(other, reply)
        self.assertEqual(control._gate.entry_hosts, 3)
        self.assertEqual(control._gate.silence_ms, float("inf"))

    def test_idle_fleets_send_nothing_and_ended_limits_are_reported(self) -> None:
        sent: list[Any] = []
        deliver = self.rig.deliver

        def record(sender: str, peer: str, message: Any) -> None:
            sent.append(message)
            deliver(sender, peer, message)

        self.rig.deliver = record  # type: ignore[method-assign]
        quota_messages = (AdmissionReport, AdmissionCounts, AdmissionLimits)
        session = self.rig.open("strict", key="key-2")
        self.rig.timers.advance(2_000.0)
        self.assertFalse([m for m in sent if isinstance(m, quota_messages)])
        self.rig.run(session, "READ 1")
        for control in self.rig.controls.values():
            now_ms = int(self.rig.timers.now_ms())
            over = AdmissionCounts((OperationCount("calm", 500, 60),), now_ms)
            control.on_message(self.rig.addresses[0], over)
        self.rig.timers.advance(8_000.0)
        self.assertTrue(self.rig.events.of(CustomerUnlimited))
        self.assertTrue([m for m in sent if isinstance(m, AdmissionLimits)])
        sent.clear()
        self.rig.timers.advance(2_000.0)
        self.assertFalse([m for m in sent if isinstance(m, quota_messages)])

    def test_metrics_name_a_bounded_number_of_customers(self) -> None:
        control = self.rig.entries["10.1.0.1:7440"]._admission_control
        for number in range(3 * MAX_CUSTOMER_LABELS):
            control.admit(f"customer-{number}")
        labels = {
            dict(labels)["customer"]
            for name, labels in self.rig.meters.counters
            if name == "operations_total"
        }
        self.assertEqual(len(labels), MAX_CUSTOMER_LABELS + 1)
        self.assertIn("other", labels)
