"""Connects the quota ledger of a control host with entry hosts and control hosts."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Final

from azurerelay.events import CustomerLimited, CustomerUnlimited, EventLog
from azurerelay.messages import Link
from azurerelay.quotas import (
    AdmissionCounts,
    AdmissionFraction,
    AdmissionLimits,
    AdmissionReport,
    CustomerLimit,
    MessageDelays,
    QuotaLedger,
)
from azurerelay.routes import Customer
from azurerelay.timing import TimerService

LIMITS_INTERVAL_MS: Final = 100.0
# Bytes between regions are expensive; with 200 ms a jump of a customer's demand is
# limited within 0.45 s, before the customer exceeds its quota by more than a tenth.
COUNTS_INTERVAL_MS: Final = 200.0
# A customer at its quota may be limited in every other interval, which is one event.
UNLIMITED_AFTER_MS: Final = 1_000.0


class QuotaExchange:
    """Collect the counts of all entry hosts, and send limits to the attached ones."""

    def __init__(
        self, slack: float, link: Link, timers: TimerService, events: EventLog
    ) -> None:
        self._link = link
        self._timers = timers
        self._events = events
        self._ledger = QuotaLedger(timers, slack)
        self._has_sent_limits = False
        self._delays = MessageDelays()
        self._late_count = 0
        # For each limited customer, since when, and when it last was.
        self._limited: dict[str, tuple[float, float]] = {}
        self._attached: Callable[[], Iterable[str]] = tuple
        self._peers: Callable[[], Iterable[str]] = tuple
        self._count_entry_hosts: Callable[[], int] = lambda: 1
        self._silent_share: Callable[[], float] = lambda: 0.0

    @property
    def late_count(self) -> int:
        """The number of messages with counts that arrived too late to be used."""
        return self._late_count

    @property
    def limited_count(self) -> int:
        """The number of customers that are limited."""
        return len(self._limited)

    def start(
        self,
        attached: Callable[[], Iterable[str]],
        peers: Callable[[], Iterable[str]],
        count_entry_hosts: Callable[[], int],
        silent_share: Callable[[], float],
    ) -> None:
        """Start to send limits to attached entry hosts, and counts to control hosts."""
        self._attached = attached
        self._peers = peers
        self._count_entry_hosts = count_entry_hosts
        self._silent_share = silent_share
        self._timers.call_every(LIMITS_INTERVAL_MS, self._send_limits)
        self._timers.call_every(COUNTS_INTERVAL_MS, self._send_counts)

    def update(self, customers: Iterable[Customer] | None) -> None:
        """Replace all customers; None if callers need no keys."""
        self._ledger.update(customers)

    def on_message(self, sender: str, message: Any) -> None:
        """Count the operations in a message; other messages are ignored.

        Counts that waited on their way are left out: see `MessageDelays`.
        """
        if not isinstance(message, (AdmissionReport, AdmissionCounts)):
            return
        now_ms = self._timers.now_ms()
        if self._delays.is_late(sender, message.sent_ms, now_ms):
            self._late_count += 1
        else:
            self._record(message)

    @singledispatchmethod
    def _record(self, message: Any) -> None:
        raise TypeError(f"not a count of operations: {type(message).__name__}")

    @_record.register
    def _(self, message: AdmissionReport) -> None:
        self._ledger.record_report(message)

    @_record.register
    def _(self, message: AdmissionCounts) -> None:
        self._ledger.record_counts(message)

    def _send_counts(self) -> None:
        counts = self._ledger.take_counts()
        if counts is not None:
            counts = replace(counts, sent_ms=int(self._timers.now_ms()))
            for peer in self._peers():
                self._link.send(peer, counts)

    def _send_limits(self) -> None:
        if not (self._ledger.is_limiting or self._has_sent_limits or self._limited):
            return
        self._ledger.set_entry_hosts(self._count_entry_hosts(), self._silent_share())
        limits = self._ledger.limits()
        self._record_limits(limits)
        if limits or self._has_sent_limits:
            self._has_sent_limits = bool(limits)
            message = AdmissionLimits(
                tuple(
                    AdmissionFraction(limit.customer, limit.fraction)
                    for limit in limits
                )
            )
            for entry_host in self._attached():
                self._link.send(entry_host, message)

    def _record_limits(self, limits: Iterable[CustomerLimit]) -> None:
        now_ms = self._timers.now_ms()
        for limit in limits:
            since_ms, _ = self._limited.get(limit.customer, (None, None))
            if since_ms is None:
                since_ms = now_ms
                self._events.record(
                    CustomerLimited(
                        limit.customer,
                        limit.fraction,
                        limit.tokens,
                        limit.demand_per_s,
                        limit.count_age_ms,
                    )
                )
            self._limited[limit.customer] = (since_ms, now_ms)
        for customer, (since_ms, last_ms) in list(self._limited.items()):
            if now_ms - last_ms >= UNLIMITED_AFTER_MS:
                del self._limited[customer]
                self._events.record(CustomerUnlimited(customer, last_ms - since_ms))
