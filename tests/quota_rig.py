"""Entry hosts and control hosts that keep quotas, on simulated time."""

import random
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from typing import Any

from azurerelay.cluster._quota_exchange import QuotaExchange
from azurerelay.events import NullEventLog
from azurerelay.quotas import AdmissionGate, AdmissionLimits
from azurerelay.routes import Customer
from azurerelay.timing import ManualTimerService

CONTROL_HOSTS = 5
WINDOW_MS = 5_000.0
SLACK = 20.0


class ExactQuota:
    """The token bucket of a customer, without delays, tolerances or shares."""

    def __init__(self, customer: Customer) -> None:
        assert customer.rate_per_s is not None
        self._rate_per_s = customer.rate_per_s
        self._capacity = self._tokens = max(1.0, customer.burst)
        self._updated_ms = 0.0

    def allows(self, now_ms: float) -> bool:
        added = self._rate_per_s * (now_ms - self._updated_ms) / 1_000.0
        self._updated_ms = now_ms
        self._tokens = min(self._capacity, self._tokens + added)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class QuotaHost:
    """An entry host: its gate, and how it follows a control host."""

    def __init__(self, rig: "QuotaRig", number: int) -> None:
        self.rig = rig
        self.number = number
        self.gate = AdmissionGate(rig.timers, rig.random)
        self.control = number % CONTROL_HOSTS
        self.is_cut_off = False
        self._tried: set[int] = set()
        self._unanswered_ms: float | None = None
        rig.timers.call_later(rig.random.uniform(0.0, 100.0), self._start_reports)
        rig.timers.call_later(rig.random.uniform(0.0, 500.0), self._sync)

    def update(self, customers: tuple[Customer, ...]) -> None:
        """Apply customers, once the host is in contact with control."""
        if self.is_cut_off:
            self.rig.timers.call_later(500.0, lambda: self.update(customers))
        else:
            self.gate.update(customers)

    def offer(self, customer: str) -> None:
        now_ms = self.rig.timers.now_ms()
        self.rig.offered[customer].append(now_ms)
        if self.gate.admit(customer):
            delay_ms = self.rig.random.uniform(0.0, 30.0)
            delay_ms += max(0.0, self.rig.group_waits_until_ms - now_ms)
            self.rig.timers.call_later(
                delay_ms, lambda: self._begin(customer, delay_ms)
            )
        else:
            self.rig.refused[customer].append(now_ms)

    def _begin(self, customer: str, waited_ms: float) -> None:
        self.rig.started[customer].append(self.rig.timers.now_ms())
        self.gate.record_started(customer, waited_ms)

    def _start_reports(self) -> None:
        self.rig.timers.call_every(100.0, self._report)

    def _report(self) -> None:
        report = self.gate.take_report(str(self.control))
        if report is not None:
            report = replace(report, sent_ms=int(self.rig.timers.now_ms()))
            name = f"entry {self.number}"
            self.rig.to_control(self, lambda c: c.on_message(name, report))

    def _sync(self) -> None:
        """Send a request, as `ControlFollower` does, and follow a control host."""
        now_ms = self.rig.timers.now_ms()
        self.rig.timers.call_later(500.0, self._sync)
        if self._unanswered_ms is not None and now_ms - self._unanswered_ms > 900.0:
            self._tried.add(self.control)
            untried = set(range(CONTROL_HOSTS)) - self._tried
            if not untried:
                self._tried.clear()
                untried = set(range(CONTROL_HOSTS))
            self.control = self.rig.random.choice(sorted(untried))
            self._unanswered_ms = None
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms
        control = self.control

        def answer(_: QuotaExchange) -> None:
            self.rig.attached[control][self.number] = self.rig.timers.now_ms()
            count = self.rig.entry_hosts
            self.rig.to_host(
                control, self, lambda: self._on_reply(control, count, now_ms)
            )

        self.rig.to_control(self, answer)

    def _on_reply(self, control: int, count: int, sent_ms: float) -> None:
        if control == self.control:
            self._unanswered_ms = None
            self._tried.clear()
            self.gate.record_contact(count, sent_ms, str(control))

    def on_limits(self, control: int, limits: AdmissionLimits) -> None:
        if control == self.control:
            self.gate.apply_limits(limits, str(control))


class _ControlLink:
    def __init__(self, rig: "QuotaRig", number: int) -> None:
        self.rig = rig
        self.number = number

    def send(self, peer: str, message: Any) -> None:
        self.rig.deliver(self.number, peer, message)


class QuotaRig:
    """All hosts, the operations that callers offered, and those that started."""

    def __init__(self, seed: int, hosts: int, customers: tuple[Customer, ...]) -> None:
        self.timers = ManualTimerService()
        self.random = random.Random(seed)
        self.customers = {customer.name: customer for customer in customers}
        self.offered: dict[str, list[float]] = {name: [] for name in self.customers}
        self.started: dict[str, list[float]] = {name: [] for name in self.customers}
        self.refused: dict[str, list[float]] = {name: [] for name in self.customers}
        self.lost: set[int] = set()
        # Operations that are admitted before then start together.
        self.group_waits_until_ms = 0.0
        self.entry_hosts = hosts
        self.attached: list[dict[int, float]] = [{} for _ in range(CONTROL_HOSTS)]
        self.controls = []
        for number in range(CONTROL_HOSTS):
            exchange = QuotaExchange(
                SLACK, _ControlLink(self, number), self.timers, NullEventLog()
            )
            self.controls.append(exchange)
            phase_ms = self.random.uniform(0.0, 200.0)
            self.timers.call_later(phase_ms, partial(self._start_control, number))
        self.hosts = [QuotaHost(self, number) for number in range(hosts)]
        self.update(customers, 0.0)
        self.timers.call_every(1_000.0, self._count_hosts)

    def update(self, customers: tuple[Customer, ...], within_ms: float) -> None:
        """Replace the customers on all hosts within a time."""
        for part in (*self.controls, *self.hosts):
            delay_ms = self.random.uniform(0.0, within_ms)
            self.timers.call_later(delay_ms, partial(part.update, customers))

    def offer_from(
        self,
        customer: str,
        rate: Callable[[float], float],
        hosts: list[QuotaHost],
        quota: ExactQuota | None = None,
    ) -> None:
        """Offer operations at random times, as often as `rate` of the time says.

        With a `quota`, those beyond it are left out.
        """
        now_ms = self.timers.now_ms()
        self.timers.call_later(
            self.random.expovariate(rate(now_ms)) * 1_000.0,
            lambda: self.offer_from(customer, rate, hosts, quota),
        )
        if quota is None or quota.allows(now_ms):
            self.random.choice(hosts).offer(customer)

    def cut_off(self, victims: Iterable[QuotaHost]) -> None:
        """Cut off these entry hosts from all control hosts, and no others."""
        cut = set(victims)
        for host in self.hosts:
            host.is_cut_off = host in cut

    def busiest_window(self, customer: str, from_ms: float = 0.0) -> int:
        """Return the most operations in a sliding window that begins after a time."""
        times = self.started[customer]
        return max(
            (
                bisect_left(times, at_ms + WINDOW_MS) - first
                for first, at_ms in enumerate(times)
                if at_ms >= from_ms
            ),
            default=0,
        )

    def to_control(
        self, host: QuotaHost, handle: Callable[[QuotaExchange], None]
    ) -> None:
        control = host.control
        if control not in self.lost and not host.is_cut_off:
            self.timers.call_later(
                self._delay_ms(host, control), lambda: handle(self.controls[control])
            )

    def to_host(
        self, control: int, host: QuotaHost, handle: Callable[[], None]
    ) -> None:
        if control not in self.lost and not host.is_cut_off:
            self.timers.call_later(self._delay_ms(host, control), handle)

    def deliver(self, sender: int, peer: str, message: Any) -> None:
        if isinstance(message, AdmissionLimits):
            host = self.hosts[int(peer)]
            self.to_host(sender, host, lambda: host.on_limits(sender, message))
        elif sender not in self.lost and int(peer) not in self.lost:
            exchange = self.controls[int(peer)]
            name = f"control {sender}"
            self.timers.call_later(12.0, lambda: exchange.on_message(name, message))

    def _delay_ms(self, host: QuotaHost, control: int) -> float:
        return 1.4 if host.number % CONTROL_HOSTS == control else 12.0

    def _start_control(self, number: int) -> None:
        peers = [str(n) for n in range(CONTROL_HOSTS) if n != number]
        self.controls[number].start(
            lambda: [str(host) for host in self._heard(number)],
            lambda: peers,
            lambda: self.entry_hosts,
            lambda: self._silent_share(number),
        )

    def _silent_share(self, number: int) -> float:
        attached = self._heard(number)
        return 1.0 - len(self._heard(number, 750.0)) / max(1, len(attached))

    def _heard(self, number: int, within_ms: float = 2_000.0) -> list[int]:
        oldest_ms = self.timers.now_ms() - within_ms
        attached = self.attached[number]
        return [host for host, at_ms in attached.items() if at_ms >= oldest_ms]

    def _count_hosts(self) -> None:
        """Count the entry hosts as the control leader does."""
        live = [n for n in range(CONTROL_HOSTS) if n not in self.lost]
        heard = {host for number in live for host in self._heard(number)}
        self.timers.call_later(400.0, lambda: setattr(self, "entry_hosts", len(heard)))
