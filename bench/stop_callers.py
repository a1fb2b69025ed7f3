"""Callers of `bench.stop_under_load`, and the platform's balancer before the hosts."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from bench.stop_history import (
    CLOSED,
    CONFIGURATION_APPLY_S,
    PROMISES,
    SILENT,
    AttemptRecord,
    StatementRecord,
)
from bench.stop_load import MIN_BUDGET_S, Operation, RunShape, draw_operation

PROBE_INTERVAL_S: Final = 1.0
SHORT_SESSION_SHARE: Final = 0.25  # of the number of long sessions, started a second
LEAVE_SHARE: Final = 0.02  # of transactions that their caller leaves in the middle
ADDED_ROUTE_SHARE: Final = 0.1  # of short sessions, while there are added routes
ADDED_ROUTE_TIMEOUT_MS: Final = 2_500


class Balancer:
    """The platform's choice of an entry host for each new connection."""

    def __init__(self, harness: Any, fleet: Any) -> None:
        self._harness = harness
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.entries, 0)

    def is_in_rotation(self, host: str) -> bool:
        """Whether the host has not missed two readiness checks in a row."""
        return self._misses[host] < 2

    async def probe(self, host: str) -> None:
        """Check a host's readiness once a second."""
        address = self._fleet.readiness_address(host)
        while True:
            answer = await self._harness.http(address, "GET", "/v1/readiness")
            is_ready = answer is not None and answer[0] == 200
            self._misses[host] = 0 if is_ready else self._misses[host] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose(self, domain: str, source: random.Random, avoided: str | None) -> Any:
        """Return a host for a connection from a failure domain."""
        local = [h for h in self._fleet.entries if self._fleet.zones[h] == domain]
        ready = [h for h in local if self.is_in_rotation(h)]
        others = [h for h in self._fleet.entries if self.is_in_rotation(h)]
        if not ready:
            candidates = others or local
        else:
            candidates = local if 2 * len(ready) < len(local) else ready
        return source.choice([h for h in candidates if h != avoided] or candidates)


class Routes:
    """The routes of the newest configuration, and time-outs that may be in force."""

    def __init__(self, shape: RunShape) -> None:
        self._shape = shape
        self.timeouts_ms = dict(shape.timeouts_ms)
        self.added: list[str] = []
        self._possible_ms = {name: [ms] for name, ms in shape.timeouts_ms.items()}

    def rows(self) -> list[tuple[str, str, str, int]]:
        """Return database, kind, group and time-out of each route."""
        shape = self._shape
        rows = [
            (name, shape.kinds[name], shape.groups[name], timeout_ms)
            for name, timeout_ms in self.timeouts_ms.items()
        ]
        timeout_ms = ADDED_ROUTE_TIMEOUT_MS
        return rows + [(name, "primary", "core", timeout_ms) for name in self.added]

    def record_sent(self) -> dict[str, int]:
        """Record that the routes were sent; return their time-outs."""
        for name, timeout_ms in self.timeouts_ms.items():
            self._possible_ms[name].append(timeout_ms)
        return dict(self.timeouts_ms)

    def record_acknowledged(self, sent: dict[str, int]) -> None:
        """Forget older time-outs once the acknowledged ones must be in force."""
        loop = asyncio.get_running_loop()
        loop.call_later(CONFIGURATION_APPLY_S, self._forget_older, sent)

    def shortest_timeout_s(self, database: str) -> float:
        """Return the shortest time-out that may be in force for a database."""
        return min(self._possible_ms.get(database, [ADDED_ROUTE_TIMEOUT_MS])) / 1_000.0

    def _forget_older(self, confirmed: dict[str, int]) -> None:
        for name, timeout_ms in confirmed.items():
            possible = self._possible_ms[name]
            if timeout_ms in possible:
                del possible[: possible.index(timeout_ms)]


class Callers:
    """Callers with long and with short sessions, and what they saw."""

    def __init__(
        self,
        harness: Any,
        record: Any,
        fleet: Any,
        shape: RunShape,
        routes: Routes,
        seed: int,
    ) -> None:
        self._harness = harness
        self._record = record
        self._fleet = fleet
        self._shape = shape
        self._routes = routes
        self._seed = seed
        self._balancer = Balancer(harness, fleet)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_loading = True
        self.statements: list[StatementRecord] = []
        self.attempts: list[AttemptRecord] = []
        self.operations: list[tuple[float, str]] = []  # when they ended, and how
        self.unopened: Counter[str] = Counter()
        self.ended_with_error: Counter[str] = Counter()  # of statements, by its code

    def start(self) -> None:
        """Start readiness checks and callers."""
        for host in self._fleet.entries:
            self._spawn(self._balancer.probe(host))
        for number in range(self._shape.session_count):
            self._spawn(self._long_session(number))
        self._spawn(self._short_sessions())

    async def stop(self) -> None:
        """Start no more operations; leave those that do not end soon."""
        self._is_loading = False
        await asyncio.sleep(0.5)
        for task in list(self._tasks):
            task.cancel()

    def _now(self) -> float:
        return float(self._record.now())

    async def _long_session(self, number: int) -> None:
        """Use one connection until the host closes it, then open another one."""
        source = random.Random(f"{self._seed}/long/{number}")
        domain = self._fleet.zones[source.choice(self._fleet.entries)]
        database = source.choice(list(self._routes.timeouts_ms))
        pause_s = 0.02 if source.random() < 0.2 else source.uniform(0.1, 0.8)
        client: Any = None
        sessions = 0
        await asyncio.sleep(source.uniform(0.0, 1.0))

        async def open_session(avoided: str | None) -> Any:
            nonlocal client, sessions
            if client is None or client.is_over():
                if client is not None:
                    client.close()
                sessions += 1
                name = f"l{number}s{sessions}"
                client = await self._open(name, database, domain, source, avoided)
            return client

        while self._is_loading:
            await self._serve(database, source, open_session)
            await asyncio.sleep(source.expovariate(1.0 / pause_s))

    async def _short_sessions(self) -> None:
        """Start sessions that serve one operation each."""
        source = random.Random(f"{self._seed}/short")
        rate = SHORT_SESSION_SHARE * self._shape.session_count
        number = 0
        while self._is_loading:
            await asyncio.sleep(source.expovariate(rate))
            number += 1
            self._spawn(self._short_session(number))

    async def _short_session(self, number: int) -> None:
        source = random.Random(f"{self._seed}/short/{number}")
        domain = self._fleet.zones[source.choice(self._fleet.entries)]
        is_added = source.random() < ADDED_ROUTE_SHARE
        added = self._routes.added if is_added else []
        database = source.choice(added or list(self._routes.timeouts_ms))
        clients: list[Any] = []

        async def open_session(avoided: str | None) -> Any:
            name = f"s{number}a{len(clients)}"
            client = await self._open(name, database, domain, source, avoided)
            clients.append(client)
            return client

        await self._serve(database, source, open_session)
        for client in clients:
            if client is not None:
                client.close()

    async def _open(
        self,
        name: str,
        database: str,
        domain: str,
        source: random.Random,
        avoided: str | None,
    ) -> Any:
        """Return an open session of the harness, or None."""
        host = self._balancer.choose(domain, source, avoided)
        client = self._harness.Client(name, self._fleet, host, database, self._record)
        client.prepared = set()
        opened = await client.open()
        if opened is True:
            return client
        reason = "no READY" if client.reader is not None else "not accepted"
        self.unopened[opened.split(" ")[1] if opened else reason] += 1
        return None

    async def _serve(
        self, database: str, source: random.Random, open_session: Callable[..., Any]
    ) -> None:
        """Run an operation and repeat it while the protocol and its budget allow."""
        kind = self._shape.kinds.get(database, "primary")
        operation = draw_operation(kind, source)
        deadline_s = self._now() + self._shape.budgets_s.get(database, MIN_BUDGET_S)
        result, avoided = "unopened", None
        while self._is_loading and self._now() < deadline_s:
            client = await open_session(avoided)
            if client is None:
                await asyncio.sleep(0.05)
                continue
            avoided = client.entry
            result, may_repeat = await self._attempt(
                client, operation, deadline_s, source
            )
            if not may_repeat:
                break
            await asyncio.sleep(source.uniform(0.01, 0.2))
        self.operations.append((self._now(), result))

    async def _attempt(
        self, client: Any, operation: Operation, deadline_s: float, source: Any
    ) -> tuple[str, bool]:
        """Return the result of an attempt and whether the operation may be repeated."""
        began_s, database = self._now(), client.database
        texts = list(operation.texts)
        if operation.prepared and operation.prepared not in client.prepared:
            texts.insert(0, f"PREPARE {operation.prepared}")
        state, outcome, commit_request, is_final_sent = "I", "", None, False
        for number, text in enumerate(texts):
            if number and operation.pause_s:
                pause_s = source.expovariate(1.0 / operation.pause_s)
                deadline_s += pause_s  # The caller's own pauses use no budget.
                await asyncio.sleep(pause_s)
                if state == "T" and source.random() < LEAVE_SHARE / len(texts):
                    outcome = "left"
                    break
            if client.is_over():
                outcome = "closed in transaction" if state == "T" else "closed idle"
                break
            left_s = deadline_s - self._now()
            is_in_transaction = state == "T"
            timeout_s = self._routes.shortest_timeout_s(database)
            sent_s = self._now()
            is_final = operation.is_write and number == len(texts) - 1
            is_final_sent = is_final_sent or is_final
            request, outcome, state = await client.query(text, max(0.05, left_s))
            words = (outcome or "COMPLETE").split(" ")
            outcome = words[1] if words[0] == "ERROR" else words[0]
            if outcome == CLOSED and self._now() >= deadline_s:
                outcome = SILENT
            commit_request = request if is_final else None
            timeout_s = min(timeout_s, self._routes.shortest_timeout_s(database))
            self.statements.append(
                StatementRecord(
                    request,
                    client.entry,
                    sent_s,
                    self._now(),
                    outcome,
                    is_in_transaction,
                    timeout_s,
                    left_s,
                )
            )
            if outcome != "COMPLETE":
                break
            if text.startswith("PREPARE"):
                client.prepared.add(operation.prepared)
        if state != "I" and client.writer is not None:
            client.close()  # Rolls back an open transaction.
        if outcome == CLOSED and str(client.last_error).startswith("ERROR"):
            # The session ended with an error, which the caller takes for its reply.
            outcome = client.last_error.split(" ")[1]
            self.ended_with_error[outcome] += 1
        result = _result(outcome)
        self.attempts.append(
            AttemptRecord(client.entry, began_s, self._now(), result, commit_request)
        )
        if result in ("served", "refused", "left"):
            return result, result == "refused"
        return result, not (operation.is_write if result == "failed" else is_final_sent)

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _result(outcome: str) -> str:
    """Return the result of an attempt whose last statement has this outcome."""
    if outcome in PROMISES:
        return "refused"
    if outcome in ("FAILED", "NODATABASE", "NOSUCHNAME", "MALFORMED"):
        return "failed"
    if outcome in ("left", "closed idle", "closed in transaction"):
        return outcome
    return "served" if outcome == "COMPLETE" else "in doubt"
