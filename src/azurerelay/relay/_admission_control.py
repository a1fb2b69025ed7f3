"""Connects the admission gate of an entry host with its control host."""

import random
from collections.abc import Iterable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Final

from azurerelay.attachment import ControlFollower, SyncReply
from azurerelay.events import EventLog, LocalQuotasEnded, LocalQuotasStarted
from azurerelay.messages import Link
from azurerelay.quotas import AdmissionGate, AdmissionLimits, QuotaState
from azurerelay.routes import Customer
from azurerelay.telemetry import Meters
from azurerelay.timing import TimerService

REPORT_INTERVAL_MS: Final = 100.0
# Each customer has its own counters up to this number, which bounds the metrics page.
MAX_CUSTOMER_LABELS: Final = 100
OTHER_CUSTOMERS: Final = "other"


class AdmissionControl:
    """Admit operations, report them to control, and apply its limits."""

    def __init__(
        self,
        control_follower: ControlFollower,
        link: Link,
        timers: TimerService,
        random_source: random.Random,
        events: EventLog,
        meters: Meters,
    ) -> None:
        self._control_follower = control_follower
        self._link = link
        self._timers = timers
        self._events = events
        self._meters = meters
        self._gate = AdmissionGate(timers, random_source)
        self._labels: set[str] = set()
        self._local_since_ms: float | None = None

    def start(self) -> None:
        """Start to send reports."""
        self._timers.call_every(REPORT_INTERVAL_MS, self._send_report)

    def update(self, customers: Iterable[Customer] | None) -> None:
        """Replace all customers; None if callers need no keys."""
        self._gate.update(customers)

    def on_message(self, sender: str, message: Any) -> None:
        """Handle a message that the follower has handled.

        Other control hosts than the current one only state the number of entry hosts.
        """
        address = sender.partition("#")[0]
        if address == self._control_follower.current_control_host:
            self._apply(message, address)
        elif isinstance(message, SyncReply):
            self._gate.record_distant_reply(self._control_follower.entry_hosts)

    def admit(self, customer: str) -> str | None:
        """Decide whether an operation may start; return why not, or None."""
        is_admitted = self._gate.admit(customer)
        if customer:
            self._meters.count(
                "operations_total",
                customer=self._label(customer),
                outcome="admitted" if is_admitted else "refused",
            )
        if is_admitted:
            return None
        return f"{self._gate.refusal_reason}: {customer}"

    def quota_state(self, customer: str) -> QuotaState | None:
        """Return what limits a customer now, None without a limit."""
        return self._gate.state(customer)

    def record_started(self, customer: str, waited_ms: float = 0.0) -> None:
        """Record that the first attempt of an admitted operation was sent."""
        self._gate.record_started(customer, waited_ms)
        if customer:
            label = self._label(customer)
            self._meters.count("operations_started_total", customer=label)

    def refund(self, customer: str, waited_ms: float) -> None:
        """Record that an admitted operation ended, and no attempt was sent."""
        self._gate.refund(customer, waited_ms)

    @singledispatchmethod
    def _apply(self, message: Any, control_host: str) -> None:
        """Ignore other messages."""

    @_apply.register
    def _(self, message: SyncReply, control_host: str) -> None:
        sent_ms = self._control_follower.request_sent_ms(message.sequence)
        entry_hosts = self._control_follower.entry_hosts
        self._gate.record_contact(entry_hosts, sent_ms, control_host)

    @_apply.register
    def _(self, message: AdmissionLimits, control_host: str) -> None:
        self._gate.apply_limits(message, control_host)

    def _send_report(self) -> None:
        self._record_mode()
        control_host = self._control_follower.current_control_host
        if control_host is None:
            return
        report = self._gate.take_report(control_host)
        if report is not None:
            sent_ms = int(self._timers.now_ms())
            self._link.send(control_host, replace(report, sent_ms=sent_ms))

    def _record_mode(self) -> None:
        now_ms = self._timers.now_ms()
        if self._gate.is_local and self._local_since_ms is None:
            self._local_since_ms = now_ms
            silent_ms = min(1e9, self._gate.silence_ms)
            self._events.record(LocalQuotasStarted(silent_ms, self._gate.entry_hosts))
        elif self._local_since_ms is not None and not self._gate.is_local:
            self._events.record(LocalQuotasEnded(now_ms - self._local_since_ms))
            self._local_since_ms = None

    def _label(self, customer: str) -> str:
        """Return the name of a customer in metrics."""
        if customer not in self._labels:
            if len(self._labels) >= MAX_CUSTOMER_LABELS:
                return OTHER_CUSTOMERS
            self._labels.add(customer)
        return customer
