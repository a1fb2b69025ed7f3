"""Reads of many hosts at one group of endpoints, on simulated time without a network.

Compares ways to choose endpoints while each host knows only its own statements.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Final, Protocol

from azurerelay.groups import Topology
from azurerelay.pooling import (
    MAX_RETRY_DELAY_MS,
    RETRY_DELAY_MS,
    DurationAverage,
    LoadEstimate,
    ReadCandidate,
    RequiredPosition,
    connection_share,
)
from azurerelay.statements import Position
from azurerelay.timing import ManualTimerService

ENDPOINTS: Final = 3
SLOTS: Final = 4
QUEUE_LIMIT: Final = 32
DOMAINS: Final = 6
REGIONS: Final = 3
CONNECTION_LIMIT: Final = 46
CONNECT_WORK_MS: Final = 12.0
# How long a connection stays open unused. It is of the order of the idle timeouts where
# connections are scarce.
CONNECTION_KEPT_MS: Final = 1_000.0
MEAN_SERVICE_MS: Final = 16.0
PRIMARY_SHARE: Final = 0.25  # statements that only the primary may run
WAVE: Final = 0.55
WAVE_PERIOD_MS: Final = 13_000.0
TARGET_MS: Final = 800.0
BUDGET_MS: Final = 4_000.0
SILENT_TIMEOUT_MS: Final = 300.0  # how long a statement waits for a missing answer
RETRY_WAIT_MS: Final = 50.0
SLOW_FACTOR: Final = 5.0
FAILURE_SHARE: Final = 0.5
FLAP_MS: Final = 1_500.0  # an endpoint is down, then up, for this time each
SAMPLE_MS: Final = 20.0
RETURN_WATCH_MS: Final = 3_000.0
CALLER_ROUND_TRIP_MS: Final = 2.0
_POSITION: Final = Position(1, 1)
_REQUIRED: Final = RequiredPosition(_POSITION, 0.0)


class PlacementPolicy(Protocol):
    """Chooses the endpoint of a read."""

    def __call__(
        self,
        candidates: list[ReadCandidate],
        required: RequiredPosition,
        random_source: random.Random,
        /,
    ) -> ReadCandidate | None:
        """Return the endpoint of a read, if any qualifies."""


class Disruption(Enum):
    """What is wrong with an endpoint for some time."""

    SLOW = "slow"
    FAILING = "failing"
    FLAPPING = "flapping"
    SILENT = "silent"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class DisruptedPeriod:
    """A disruption of one endpoint from a time on, for a duration."""

    disruption: Disruption
    endpoint: int
    start_ms: float
    duration_ms: float

    def is_active(self, now_ms: float) -> bool:
        """Return whether the period includes a time."""
        return self.start_ms <= now_ms < self.start_ms + self.duration_ms


@dataclass(frozen=True, slots=True)
class PlacementScenario:
    """Hosts, load, knowledge and disruptions of one run.

    `knowledge_age_ms` passes between an answer and its use by the host's estimates;
    lost connections are known at once. With `is_spread` each endpoint is in another
    region, otherwise all are in one.
    """

    hosts: int
    knowledge_age_ms: float
    seed: int
    statements_per_s: float = 320.0
    duration_ms: float = 55_000.0
    is_spread: bool = False
    periods: tuple[DisruptedPeriod, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """What callers got, and how evenly slots were used.

    `in_time` is the share of statements answered within the target, `worst_domain` that
    of the worst failure domain, `unevenness` the mean coefficient of variation of busy
    slots, `full_and_idle` the fraction of time with one endpoint full and another idle,
    both over the endpoints without a disruption. `messages` is the number of statements
    sent to endpoints for each one of a caller, `failed_attempts` counts those without
    success, and `return_queue` is the longest queue within `RETURN_WATCH_MS` at an
    endpoint that was down.
    """

    statements: int
    in_time: float
    worst_domain: float
    p99_ms: float
    unevenness: float
    full_and_idle: float
    messages: float
    failed_attempts: int
    return_queue: int


@dataclass(slots=True, eq=False)
class _Statement:
    host: int
    domain: int
    is_write: bool
    started_ms: float
    excluded: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Attempt:
    statement: _Statement
    endpoint: int
    sent_ms: float = 0.0
    work_ms: float = 0.0
    is_over: bool = False


class _Connections:
    """One host's connections to one endpoint, and what it knows of the endpoint."""

    def __init__(self, limit: int, random_source: random.Random) -> None:
        self.limit = limit
        self.durations = DurationAverage(0.0)
        self.load = LoadEstimate(random_source)
        self.in_progress: list[_Attempt] = []
        self.waiting: deque[_Attempt] = deque()
        self.last_use_ms = -math.inf
        self.lost_until_ms = 0.0
        self.retry_delay_ms = RETRY_DELAY_MS


@dataclass(slots=True)
class _Endpoint:
    domain: str
    busy: int = 0
    queue: deque[_Attempt] = field(default_factory=deque)
    running: list[_Attempt] = field(default_factory=list)
    is_down: bool = False


class PlacementExperiment:
    """Plays one scenario with one policy."""

    def __init__(self, scenario: PlacementScenario, policy: PlacementPolicy) -> None:
        self._scenario = scenario
        self._policy = policy
        self._random = random.Random(scenario.seed)
        # Of its own, so that all policies get the same arrivals.
        self._arrivals = random.Random(f"{scenario.seed} arrivals")
        self._timers = ManualTimerService()
        regions = {
            _domain(number): f"region-{number * REGIONS // DOMAINS}"
            for number in range(DOMAINS)
        }
        self._topologies = [
            Topology(_domain(number), regions) for number in range(DOMAINS)
        ]
        self._endpoints = [
            _Endpoint(_domain(2 * number if scenario.is_spread else number % 2))
            for number in range(ENDPOINTS)
        ]
        self._connections = [
            [
                _Connections(
                    connection_share(
                        CONNECTION_LIMIT, scenario.hosts, f"host-{host}", str(endpoint)
                    ).limit,
                    random.Random(f"{scenario.seed} {host} {endpoint}"),
                )
                for endpoint in range(ENDPOINTS)
            ]
            for host in range(scenario.hosts)
        ]
        self._latencies: list[list[float]] = [[] for _ in range(DOMAINS)]
        self._variations: list[float] = []
        self._full_and_idle = 0
        self._messages = 0
        self._failed_attempts = 0
        self._return_queue = 0

    def run(self) -> PlacementReport:
        """Play the scenario and return its report."""
        for domain in range(DOMAINS):
            self._schedule_arrival(domain)
        self._timers.call_every(SAMPLE_MS, self._sample)
        for period in self._scenario.periods:
            if period.disruption in (Disruption.FLAPPING, Disruption.DOWN):
                self._timers.call_later(
                    period.start_ms, partial(self._set_down, period)
                )
        self._timers.advance(self._scenario.duration_ms + BUDGET_MS)
        latencies = sorted(ms for domain in self._latencies for ms in domain)
        return PlacementReport(
            len(latencies),
            _share_in_time(latencies),
            min(_share_in_time(domain) for domain in self._latencies if domain),
            latencies[int(0.99 * len(latencies))],
            sum(self._variations) / max(1, len(self._variations)),
            self._full_and_idle * SAMPLE_MS / self._timers.now_ms(),
            self._messages / len(latencies),
            self._failed_attempts,
            self._return_queue,
        )

    # Callers

    def _schedule_arrival(self, domain: int) -> None:
        """Schedule the next candidate of a Poisson process thinned by the wave."""
        peak_per_ms = self._scenario.statements_per_s * (1.0 + WAVE) / DOMAINS / 1_000.0
        self._timers.call_later(
            self._arrivals.expovariate(peak_per_ms), partial(self._arrive, domain)
        )

    def _arrive(self, domain: int) -> None:
        now_ms = self._timers.now_ms()
        if now_ms >= self._scenario.duration_ms:
            return
        self._schedule_arrival(domain)
        phase = now_ms / WAVE_PERIOD_MS - domain / DOMAINS
        level = (1.0 + WAVE * math.sin(2.0 * math.pi * phase)) / (1.0 + WAVE)
        if self._arrivals.random() >= level:
            return
        hosts = self._scenario.hosts
        local = range(domain, hosts, DOMAINS) or range(hosts)
        self._place(
            _Statement(
                self._arrivals.choice(local),
                domain,
                self._arrivals.random() < PRIMARY_SHARE,
                now_ms,
            )
        )

    def _answer(self, statement: _Statement) -> None:
        now_ms = self._timers.now_ms()
        self._latencies[statement.domain].append(
            now_ms - statement.started_ms + CALLER_ROUND_TRIP_MS
        )

    # Hosts

    def _place(self, statement: _Statement) -> None:
        now_ms = self._timers.now_ms()
        if now_ms - statement.started_ms >= BUDGET_MS:
            self._latencies[statement.domain].append(math.inf)
            return
        endpoint = 0 if statement.is_write else self._choose(statement)
        if endpoint is None or (statement.is_write and endpoint in statement.excluded):
            statement.excluded.clear()
            self._timers.call_later(RETRY_WAIT_MS, partial(self._place, statement))
            return
        connections = self._connections[statement.host][endpoint]
        connections.waiting.append(_Attempt(statement, endpoint))
        self._send_waiting(statement.host, endpoint)

    def _choose(self, statement: _Statement) -> int | None:
        candidates = [
            self._candidate(statement.host, endpoint)
            for endpoint in range(ENDPOINTS)
            if endpoint not in statement.excluded
            and self._connections[statement.host][endpoint].lost_until_ms
            <= self._timers.now_ms()
        ]
        chosen = self._policy(candidates, _REQUIRED, self._random)
        return int(chosen.name) if chosen is not None else None

    def _candidate(self, host: int, endpoint: int) -> ReadCandidate:
        now_ms = self._timers.now_ms()
        known = self._connections[host][endpoint]
        topology = self._topologies[host % DOMAINS]
        domain = self._endpoints[endpoint].domain
        pending = len(known.in_progress) + len(known.waiting)
        unanswered_ms = now_ms - known.in_progress[0].sent_ms if pending else 0.0
        return ReadCandidate(
            str(endpoint),
            topology.round_trip_ms(domain),
            topology.cross_region_penalty_ms(domain),
            known.durations.service_ms(now_ms),
            pending,
            pending < known.limit,
            _POSITION,
            0.0,
            endpoint == 0,
            known.load.knowledge(now_ms, unanswered_ms, pending),
        )

    def _send_waiting(self, host: int, endpoint: int) -> None:
        known = self._connections[host][endpoint]
        now_ms = self._timers.now_ms()
        while known.waiting and len(known.in_progress) < known.limit:
            attempt = known.waiting.popleft()
            known.in_progress.append(attempt)
            attempt.sent_ms = now_ms
            attempt.work_ms = self._random.expovariate(1.0 / MEAN_SERVICE_MS)
            if now_ms - known.last_use_ms > CONNECTION_KEPT_MS:
                attempt.work_ms += CONNECT_WORK_MS
            known.last_use_ms = now_ms
            self._messages += 1
            self._timers.call_later(
                self._one_way_ms(attempt), partial(self._receive, attempt)
            )
            self._timers.call_later(
                BUDGET_MS - (now_ms - attempt.statement.started_ms),
                partial(self._end_attempt, attempt, True),
            )

    def _one_way_ms(self, attempt: _Attempt) -> float:
        topology = self._topologies[attempt.statement.host % DOMAINS]
        domain = self._endpoints[attempt.endpoint].domain
        return topology.round_trip_ms(domain) / 2.0

    def _end_attempt(self, attempt: _Attempt, is_lost: bool = False) -> None:
        """Record that a host gets no success from an attempt; try elsewhere."""
        if attempt.is_over:
            return
        self._finish(attempt)
        self._failed_attempts += 1
        known = self._connections[attempt.statement.host][attempt.endpoint]
        now_ms = self._timers.now_ms()
        if is_lost:
            known.load.record_failure(now_ms)
        else:
            self._learn(lambda: known.load.record_failure(self._timers.now_ms()))
        attempt.statement.excluded.add(attempt.endpoint)
        self._place(attempt.statement)
        self._send_waiting(attempt.statement.host, attempt.endpoint)

    def _succeed(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        self._finish(attempt)
        known = self._connections[attempt.statement.host][attempt.endpoint]
        duration_ms = (
            self._timers.now_ms() - attempt.sent_ms - 2.0 * self._one_way_ms(attempt)
        )

        def record() -> None:
            known.durations.record(duration_ms, self._timers.now_ms())
            known.load.record_answer(duration_ms, self._timers.now_ms())

        self._learn(record)
        known.retry_delay_ms = RETRY_DELAY_MS
        self._answer(attempt.statement)
        self._send_waiting(attempt.statement.host, attempt.endpoint)

    def _learn(self, record: Callable[[], None]) -> None:
        self._timers.call_later(self._scenario.knowledge_age_ms, record)

    def _finish(self, attempt: _Attempt) -> None:
        attempt.is_over = True
        self._connections[attempt.statement.host][attempt.endpoint].in_progress.remove(
            attempt
        )

    def _lose_connections(self, host: int, endpoint: int) -> None:
        """Record at a host that an endpoint is lost, and fail what waits for it."""
        known = self._connections[host][endpoint]
        now_ms = self._timers.now_ms()
        if known.lost_until_ms <= now_ms:
            known.lost_until_ms = now_ms + known.retry_delay_ms
            known.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * known.retry_delay_ms)
            self._timers.call_later(
                known.retry_delay_ms / 2.0,
                partial(self._try_connection, host, endpoint),
            )
        known.load.record_loss(now_ms)
        waiting, known.waiting = known.waiting, deque()
        for attempt in waiting:
            attempt.statement.excluded.add(endpoint)
            self._place(attempt.statement)

    def _try_connection(self, host: int, endpoint: int) -> None:
        """Connect in the background; no caller waits for it."""
        known = self._connections[host][endpoint]
        if self._endpoints[endpoint].is_down:
            known.lost_until_ms = 0.0
            self._lose_connections(host, endpoint)
        else:
            known.retry_delay_ms = RETRY_DELAY_MS

    # Endpoints

    def _is_disrupted(self, endpoint: int, disruption: Disruption) -> bool:
        now_ms = self._timers.now_ms()
        return any(
            period.disruption is disruption
            and period.endpoint == endpoint
            and period.is_active(now_ms)
            for period in self._scenario.periods
        )

    def _set_down(self, period: DisruptedPeriod) -> None:
        endpoint = self._endpoints[period.endpoint]
        endpoint.is_down = True
        lost = [*endpoint.running, *endpoint.queue]
        endpoint.running.clear()
        endpoint.queue.clear()
        endpoint.busy = 0
        for attempt in lost:
            self._timers.call_later(
                self._one_way_ms(attempt), partial(self._refuse_connection, attempt)
            )
        is_flapping = period.disruption is Disruption.FLAPPING
        self._timers.call_later(
            FLAP_MS if is_flapping else period.duration_ms,
            partial(self._set_up, period),
        )

    def _set_up(self, period: DisruptedPeriod) -> None:
        self._endpoints[period.endpoint].is_down = False
        if period.disruption is Disruption.FLAPPING and period.is_active(
            self._timers.now_ms() + FLAP_MS
        ):
            self._timers.call_later(FLAP_MS, partial(self._set_down, period))

    def _refuse_connection(self, attempt: _Attempt) -> None:
        if not attempt.is_over:
            self._end_attempt(attempt, True)
            self._lose_connections(attempt.statement.host, attempt.endpoint)

    def _receive(self, attempt: _Attempt) -> None:
        endpoint = self._endpoints[attempt.endpoint]
        if endpoint.is_down:
            self._timers.call_later(
                self._one_way_ms(attempt), partial(self._refuse_connection, attempt)
            )
        elif self._is_disrupted(attempt.endpoint, Disruption.SILENT):
            self._timers.call_later(
                SILENT_TIMEOUT_MS, partial(self._end_attempt, attempt, True)
            )
        elif endpoint.busy < SLOTS:
            self._start(attempt)
        elif len(endpoint.queue) < QUEUE_LIMIT:
            endpoint.queue.append(attempt)
        else:
            self._timers.call_later(
                self._one_way_ms(attempt), partial(self._end_attempt, attempt)
            )

    def _start(self, attempt: _Attempt) -> None:
        endpoint = self._endpoints[attempt.endpoint]
        endpoint.busy += 1
        endpoint.running.append(attempt)
        is_slow = self._is_disrupted(attempt.endpoint, Disruption.SLOW)
        self._timers.call_later(
            attempt.work_ms * (SLOW_FACTOR if is_slow else 1.0),
            partial(self._complete, attempt),
        )

    def _complete(self, attempt: _Attempt) -> None:
        endpoint = self._endpoints[attempt.endpoint]
        if attempt not in endpoint.running:
            return
        endpoint.running.remove(attempt)
        endpoint.busy -= 1
        if endpoint.queue:
            self._start(endpoint.queue.popleft())
        fails = (
            self._is_disrupted(attempt.endpoint, Disruption.FAILING)
            and self._random.random() < FAILURE_SHARE
        )
        self._timers.call_later(
            self._one_way_ms(attempt),
            partial(self._end_attempt if fails else self._succeed, attempt),
        )

    def _sample(self) -> None:
        now_ms = self._timers.now_ms()
        disrupted = {
            period.endpoint
            for period in self._scenario.periods
            if period.is_active(now_ms)
        }
        busy = [
            endpoint.busy
            for number, endpoint in enumerate(self._endpoints)
            if number not in disrupted
        ]
        mean = sum(busy) / len(busy)
        if mean:
            variance = sum((count - mean) ** 2 for count in busy) / len(busy)
            self._variations.append(math.sqrt(variance) / mean)
        self._full_and_idle += SLOTS in busy and 0 in busy
        for period in self._scenario.periods:
            end_ms = period.start_ms + period.duration_ms
            if (
                period.disruption is Disruption.DOWN
                and end_ms <= now_ms < end_ms + RETURN_WATCH_MS
            ):
                queue = len(self._endpoints[period.endpoint].queue)
                self._return_queue = max(self._return_queue, queue)


def _domain(number: int) -> str:
    return f"domain-{number}"


def _share_in_time(latencies: Sequence[float]) -> float:
    return sum(ms <= TARGET_MS for ms in latencies) / len(latencies)
