"""Decides at an entry host which operations of customers are admitted."""

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.quotas._customer_admission import QUOTA_WINDOW_S, CustomerAdmission
from azurerelay.quotas._messages import AdmissionLimits, AdmissionReport, OperationCount
from azurerelay.quotas._operation_counts import OperationCounts
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

    Reports that control may not have received are repeated once it is back, without
    the number of offered operations, which is out of date by then.
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
        # Times and contents of the reports that control has not confirmed.
        self._unconfirmed: deque[tuple[float, tuple[OperationCount, ...]]] = deque()

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
        self, entry_hosts: int | None = None, confirmed_ms: float | None = None
    ) -> None:
        """Record a message from the control host in use.

        It had received what was sent to it until `confirmed_ms`, if that is known.
        `entry_hosts` is the number of entry hosts, if the message states it.
        """
        now_ms = self._timers.now_ms()
        if self.silence_ms >= HOLD_AFTER_MS:
            self._repeat_unconfirmed(now_ms)
        elif confirmed_ms is not None:
            while self._unconfirmed and self._unconfirmed[0][0] <= confirmed_ms:
                self._unconfirmed.popleft()
        self._contact_ms = now_ms
        if entry_hosts is not None:
            recent = self._recent_entry_hosts.record(now_ms, entry_hosts)
            self._entry_hosts = max(1.0, recent)

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Replace the admission fractions by those of the control host in use."""
        self.record_contact()
        self._limits_ms = self._contact_ms
        self._fractions = dict(limits.fractions)

    def admit(self, customer: str) -> bool:
        """Decide whether an operation that has arrived may start."""
        limited = self._customers.get(customer)
        if limited is None:
            return True
        assert limited.rate_per_s is not None
        self._counts.add(customer, 1, 0)
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
        since_ms = max(0.0, self._contact_ms + LOCAL_AFTER_MS)
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

    def record_started(self, customer: str) -> None:
        """Record that an operation got a connection for its first attempt."""
        admission = self._admissions.get(customer)
        if admission is not None:
            admission.follow_contact(self._contact_ms)
            admission.record_started(self._timers.now_ms())
            self._counts.add(customer, 0, 1)

    def take_report(self) -> AdmissionReport | None:
        """Return what has been counted since the last report; None if nothing was."""
        counts = self._counts.take()
        if not counts:
            return None
        now_ms = self._timers.now_ms()
        self._forget_old_reports(now_ms)
        self._unconfirmed.append((now_ms, counts))
        return AdmissionReport(counts)

    def _fraction(self, customer: str) -> float:
        """Return the admission fraction that control last stated.

        Limits that were not repeated while there were other messages have ended.
        """
        if self._contact_ms - self._limits_ms > LIMITS_LIFETIME_MS:
            return 1.0
        return self._fractions.get(customer, 1.0)

    def _repeat_unconfirmed(self, now_ms: float) -> None:
        self._forget_old_reports(now_ms)
        for _, counts in self._unconfirmed:
            for count in counts:
                self._counts.add(count.customer, 0, count.started)
        self._unconfirmed.clear()

    def _forget_old_reports(self, now_ms: float) -> None:
        """Forget the reports of operations that are outside of the quota window."""
        oldest_ms = now_ms - QUOTA_WINDOW_S * _MS_PER_S
        while self._unconfirmed and self._unconfirmed[0][0] < oldest_ms:
            self._unconfirmed.popleft()


def _admits_nothing(limited: Customer) -> bool:
    assert limited.rate_per_s is not None
    return limited.rate_per_s <= 0.0 and limited.burst <= 0.0
