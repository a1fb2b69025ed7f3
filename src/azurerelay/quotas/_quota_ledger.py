"""Decides on a control host how many operations of each customer may start."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.quotas._customer_tokens import CustomerTokens
from azurerelay.quotas._messages import AdmissionCounts, AdmissionReport, OperationCount
from azurerelay.quotas._operation_counts import OperationCounts
from azurerelay.quotas._sliding_maximum import SlidingMaximum
from azurerelay.routes import Customer
from azurerelay.timing import TimerService

# Half of the tolerated slack is used by the buckets; the other half covers what starts
# before a limit reaches the entry hosts.
BUCKET_SLACK_SHARE: Final = 0.5
# Entry hosts that control has lost may still serve callers, each with its share of the
# quotas. Shares are reserved for them for this long, which is longer than a window.
SILENT_HOST_WINDOW_MS: Final = 10_000.0
# A host that moves between control hosts is counted by both for about a second.
MOVE_WINDOW_MS: Final = 2_000.0
# Customers use 62 % of their rate on average, so a fifth of it can be reserved without
# refusing their operations. Hosts that have lost power run nothing.
MAX_RESERVED_SHARE: Final = 0.2
# Until the number of entry hosts has been counted anew after the loss of some.
SILENT_SHARE_WINDOW_MS: Final = 3_000.0


@dataclass(frozen=True, slots=True)
class CustomerLimit:
    """A customer whose demand exceeds its quota, and what that was decided from."""

    customer: str
    fraction: float
    tokens: float
    demand_per_s: float
    count_age_ms: float


class QuotaLedger:
    """Token buckets and recent demand of the limited customers, in memory only.

    Each control host keeps them from the counts of all hosts: reports of its own entry
    hosts, and the sums that the other control hosts send.
    """

    def __init__(self, timers: TimerService, slack: float) -> None:
        self._timers = timers
        self._extra = BUCKET_SLACK_SHARE * slack
        self._buckets: dict[str, CustomerTokens] = {}
        self._own_counts = OperationCounts()
        self._recent_negative_count = SlidingMaximum(MOVE_WINDOW_MS)
        self._recent_entry_hosts = SlidingMaximum(SILENT_HOST_WINDOW_MS)
        self._recent_silent_share = SlidingMaximum(SILENT_SHARE_WINDOW_MS)
        self._reserved_share = 0.0

    @property
    def is_limiting(self) -> bool:
        """Whether any customer has a limit."""
        return bool(self._buckets)

    def update(self, customers: Iterable[Customer] | None) -> None:
        """Replace all customers; None if callers need no keys."""
        now_ms = self._timers.now_ms()
        previous, self._buckets = self._buckets, {}
        for customer in customers or ():
            if customer.rate_per_s is None:
                continue
            bucket = previous.get(customer.name)
            if bucket is None:
                bucket = CustomerTokens(customer, self._extra, now_ms)
            else:
                bucket.refill(now_ms, self._reserved_share)
                bucket.replace_quota(customer, self._extra)
            self._buckets[customer.name] = bucket

    def set_entry_hosts(self, count: int, silent_share: float) -> None:
        """Set the number of entry hosts, and which share of the attached is silent.

        The share is known earlier than that hosts are missing from the number.
        """
        now_ms = self._timers.now_ms()
        steady_count = -self._recent_negative_count.record(now_ms, -count)
        recent = self._recent_entry_hosts.record(now_ms, steady_count)
        missing_share = 1.0 - count / max(1.0, recent)
        silent_share = self._recent_silent_share.record(now_ms, silent_share)
        reserved_share = max(missing_share, silent_share)
        self._reserved_share = min(MAX_RESERVED_SHARE, reserved_share)

    def record_report(self, report: AdmissionReport) -> None:
        """Count the operations of an attached entry host."""
        self._record(report.counts)
        self._own_counts.add_all(report.counts)

    def record_counts(self, counts: AdmissionCounts) -> None:
        """Count the operations of the entry hosts of another control host."""
        self._record(counts.counts)

    def take_counts(self) -> AdmissionCounts | None:
        """Return the sums of reports since the last call; None if there are none."""
        counts = self._own_counts.take()
        return AdmissionCounts(counts) if counts else None

    def limits(self) -> tuple[CustomerLimit, ...]:
        """Return the customers whose admission fraction is below 1."""
        now_ms = self._timers.now_ms()
        limits: list[CustomerLimit] = []
        for name, bucket in self._buckets.items():
            bucket.refill(now_ms, self._reserved_share)
            demand_per_s = bucket.demand_per_s(now_ms)
            fraction = bucket.fraction(now_ms, demand_per_s, self._reserved_share)
            if fraction < 1.0:
                age_ms = bucket.count_age_ms(now_ms)
                limits.append(
                    CustomerLimit(name, fraction, bucket.tokens, demand_per_s, age_ms)
                )
        return tuple(limits)

    def _record(self, counts: Iterable[OperationCount]) -> None:
        now_ms = self._timers.now_ms()
        for count in counts:
            bucket = self._buckets.get(count.customer)
            if bucket is not None:
                bucket.refill(now_ms, self._reserved_share)
                numbers = (max(0, number) for number in count[1:])
                bucket.record(now_ms, OperationCount(count.customer, *numbers))
