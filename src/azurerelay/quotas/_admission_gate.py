"""Decides at an entry host which operations of customers are admitted."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from azurerelay.quotas._customer_admission import QUOTA_WINDOW_S, CustomerAdmission
from azurerelay.quotas._messages import AdmissionLimits, AdmissionReport, OperationCount
from azurerelay.quotas._operation_counts import OperationCounts
from azurerelay.quotas._sent_report import SentReport
from azurerelay.quotas._sliding_maximum import SlidingMaximum
from azurerelay.routes import Customer
from azurerelay.timing import TimerService

# Control answers every 500 ms. Once an answer is missing, a host admits no more than it
# did before: it may have missed that a customer is limited now.
HOLD_AFTER_MS: Final = 650.0
# Another control host is found within this time after the loss of one.
LOCAL_AFTER_MS: Final = 2_000.0
# Limits are repeated every 100 ms while there are any, so five in a row were lost, or
# the one that ended them was.
LIMITS_LIFETIME_MS: Final = 500.0
# Longer than control takes to notice that hosts are silent. A new control leader counts
# only its own hosts at first, so that each host's share of a quota would be too large.
FLEET_SIZE_WINDOW_MS: Final = 10_000.0
# The delays of messages, which the slack covers, are as long. In a quota window, later
# starts would add more than a twentieth of it.
LATE_START_MS: Final = 250.0
# Operations that waited together have few different times, which bounds the messages.
WAITED_STEP_MS: Final = 250
_MS_PER_S: Final = 1_000.0

OVER_QUOTA: Final = "the customer is over its quota"
OVER_LOCAL_SHARE: Final = (
    "control is silent, and the customer is over this host's share of its quota"
)


@dataclass(frozen=True, slots=True)
class QuotaState:
    """What limits a customer's operations at this host now.

    `fraction` of its operations may start, None once control has been silent for so
    long that they are limited to `local_share_per_s`. Between the two, while control
    is not heard, they start at most as fast as before. `control_silence_ms` is the time
    since the last message from control, None before the first.
    """

    rate_per_s: float
    burst: float
    fraction: float | None
    local_share_per_s: float
    is_control_heard: bool
    control_silence_ms: float | None


class AdmissionGate:
    """Admit or refuse each operation of a customer when it arrives.

    An operation is a statement outside a transaction, or a transaction. Control states
    which fraction of a limited customer's operations may start. Without a message from
    control, operations are admitted at the rate until then, and after `LOCAL_AFTER_MS`
    at the customer's rate divided by the number of entry hosts. Customers without a
    limit, and callers without a customer, are always admitted and not counted.

    An admitted operation is reported as started at once, since it may wait for an
    endpoint together with many others. It is refunded if it ends without a start.

    Reports that a lost control host did not confirm are repeated to the next one after
    a silence, without the number of offered operations, which is out of date by then.
    """

    def __init__(self, timers: TimerService, random_source: random.Random) -> None:
        self._timers = timers
        self._random = random_source
        self._customers: dict[str, Customer] = {}
        self._admissions: dict[str, CustomerAdmission] = {}
        self._fractions: dict[str, float] = {}
        self._limits_ms = float("-inf")
        self._contact_ms = float("-inf")
        self._entry_hosts = 1.0
        self._recent_entry_hosts = SlidingMaximum(FLEET_SIZE_WINDOW_MS)
        self._counts = OperationCounts()
        self._unconfirmed: list[SentReport] = []
        self._to_repeat: list[SentReport] = []

    @property
    def is_limiting(self) -> bool:
        """Whether any customer has a limit."""
        return bool(self._customers)

    @property
    def silence_ms(self) -> float:
        """The time since the last message from control; infinite before the first."""
        return self._timers.now_ms() - self._contact_ms

    @property
    def is_local(self) -> bool:
        """Whether customers are limited without control, because it is silent."""
        return self.is_limiting and self.silence_ms >= LOCAL_AFTER_MS

    @property
    def entry_hosts(self) -> int:
        """The highest recent number of entry hosts, which share the quotas."""
        return int(self._entry_hosts)

    @property
    def refusal_reason(self) -> str:
        """Why operations of customers are refused now."""
        return OVER_LOCAL_SHARE if self.is_local else OVER_QUOTA

    def update(self, customers: Iterable[Customer] | None) -> None:
        """Replace all customers; None if callers need no keys."""
        limited = [c for c in customers or () if c.rate_per_s is not None]
        self._customers = {customer.name: customer for customer in limited}
        self._admissions = {
            name: self._admissions.get(name) or CustomerAdmission()
            for name in self._customers
        }

    def record_contact(
        self,
        entry_hosts: int | None = None,
        confirmed_ms: float | None = None,
        control_host: str = "",
    ) -> None:
        """Record a message from the control host in use.

        It had received what was sent to it until `confirmed_ms`, if that is known.
        `entry_hosts` is the number of entry hosts, if the message states it.
        """
        now_ms = self._timers.now_ms()
        is_after_silence = self.silence_ms >= HOLD_AFTER_MS
        if confirmed_ms is not None:
            # A control host that was left without a silence has received its reports.
            self._unconfirmed = [
                report
                for report in self._unconfirmed
                if report.sent_ms > confirmed_ms
                or (is_after_silence and report.control_host != control_host)
            ]
        if is_after_silence:
            self._repeat_unconfirmed(control_host)
        self._contact_ms = now_ms
        if entry_hosts is not None:
            self._count_entry_hosts(entry_hosts)

    def record_distant_reply(self, entry_hosts: int) -> None:
        """Record the number of entry hosts that a control host not in use states.

        It counts only before the first contact, since that control host may be cut off
        from the others, and know only some of the entry hosts.
        """
        if self._contact_ms == float("-inf"):
            self._count_entry_hosts(entry_hosts)

    def apply_limits(self, limits: AdmissionLimits, control_host: str = "") -> None:
        """Replace the admission fractions by those of the control host in use."""
        self.record_contact(control_host=control_host)
        self._limits_ms = self._contact_ms
        self._fractions = dict(limits.fractions)

    def admit(self, customer: str) -> bool:
        """Decide whether an operation that has arrived may start."""
        limited = self._customers.get(customer)
        if limited is None:
            return True
        is_admitted = self._decide(customer, limited)
        self._counts.add(OperationCount(customer, 1, int(is_admitted)))
        if is_admitted:
            admission = self._admissions[customer]
            admission.follow_contact(self._contact_ms)
            admission.record_started(self._timers.now_ms())
        return is_admitted

    def record_started(self, customer: str, waited_ms: float = 0.0) -> None:
        """Record that the first attempt of an admitted operation was sent."""
        admission = self._admissions.get(customer)
        if admission is not None and waited_ms >= LATE_START_MS:
            admission.follow_contact(self._contact_ms)
            admission.record_late()
            self._counts.add(
                OperationCount(customer, 0, 0, late=1, waited_ms=_rounded(waited_ms))
            )

    def refund(self, customer: str, waited_ms: float) -> None:
        """Record that an admitted operation ended, and no attempt was sent."""
        admission = self._admissions.get(customer)
        if admission is not None:
            admission.follow_contact(self._contact_ms)
            admission.refund()
            self._counts.add(
                OperationCount(
                    customer, 0, 0, refunded=1, waited_ms=_rounded(waited_ms)
                )
            )

    def _decide(self, customer: str, limited: Customer) -> bool:
        assert limited.rate_per_s is not None
        if _admits_nothing(limited):
            return False
        now_ms = self._timers.now_ms()
        silence_ms = now_ms - self._contact_ms
        if silence_ms < LOCAL_AFTER_MS:
            fraction = self._fraction(customer)
            if fraction < 1.0 and self._random.random() >= fraction:
                return False
        if silence_ms < HOLD_AFTER_MS:
            return True
        admission = self._admissions[customer]
        admission.follow_contact(self._contact_ms)
        share_per_s = limited.rate_per_s / self._entry_hosts
        phase = self._random.random()
        if silence_ms < LOCAL_AFTER_MS:
            since_ms = self._contact_ms + HOLD_AFTER_MS
            return admission.take_held(now_ms, since_ms, share_per_s, phase)
        # Before the first contact, no time has passed in which tokens were added.
        has_contact = self._contact_ms > float("-inf")
        since_ms = self._contact_ms + LOCAL_AFTER_MS if has_contact else now_ms
        return admission.take_local(now_ms, since_ms, share_per_s, phase)

    def state(self, customer: str) -> QuotaState | None:
        """Return what limits a customer now, None without a limit; changes nothing."""
        limited = self._customers.get(customer)
        if limited is None:
            return None
        assert limited.rate_per_s is not None
        silence_ms = self.silence_ms
        fraction = None if self.is_local else self._fraction(customer)
        return QuotaState(
            limited.rate_per_s,
            limited.burst,
            0.0 if _admits_nothing(limited) else fraction,
            limited.rate_per_s / self._entry_hosts,
            silence_ms < HOLD_AFTER_MS,
            silence_ms if math.isfinite(silence_ms) else None,
        )

    def take_report(self, control_host: str = "") -> AdmissionReport | None:
        """Return what is to be reported to a control host; None if nothing is."""
        now_ms = self._timers.now_ms()
        counts = self._counts.take()
        sent = [SentReport(now_ms, now_ms, control_host, counts)] if counts else []
        sent += [
            replace(report, sent_ms=now_ms, control_host=control_host)
            for report in _recent(self._to_repeat, now_ms)
        ]
        self._to_repeat = []
        self._unconfirmed = _recent(self._unconfirmed, now_ms) + sent
        sums = OperationCounts()
        for report in sent:
            sums.add_all(report.counts)
        return AdmissionReport(sums.take()) if sent else None

    def _count_entry_hosts(self, count: int) -> None:
        recent = self._recent_entry_hosts.record(self._timers.now_ms(), count)
        self._entry_hosts = max(1.0, recent)

    def _fraction(self, customer: str) -> float:
        """Return the admission fraction that control last stated.

        Limits that were not repeated while there were other messages have ended.
        """
        if self._contact_ms - self._limits_ms > LIMITS_LIFETIME_MS:
            return 1.0
        return self._fractions.get(customer, 1.0)

    def _repeat_unconfirmed(self, control_host: str) -> None:
        """Repeat the reports that were sent to other control hosts.

        Those to this one may be under way; its next answer confirms them.
        """
        kept: list[SentReport] = []
        for report in self._unconfirmed:
            if report.control_host == control_host:
                kept.append(report)
            else:
                counts = tuple(count._replace(offered=0) for count in report.counts)
                self._to_repeat.append(replace(report, counts=counts))
        self._unconfirmed = kept


def _recent(reports: Iterable[SentReport], now_ms: float) -> list[SentReport]:
    """Return the reports of operations that are in the quota window."""
    oldest_ms = now_ms - QUOTA_WINDOW_S * _MS_PER_S
    return [report for report in reports if report.counted_ms >= oldest_ms]


def _rounded(waited_ms: float) -> int:
    return WAITED_STEP_MS * round(waited_ms / WAITED_STEP_MS)


def _admits_nothing(limited: Customer) -> bool:
    assert limited.rate_per_s is not None
    return limited.rate_per_s <= 0.0 and limited.burst <= 0.0
