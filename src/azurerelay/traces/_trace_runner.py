"""Replay a trace against the embedded system on fake time."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod
from typing import Any, Final

from azurerelay.embedded import ALERT_DESK, CHILDCARE, EmbeddedSystem
from azurerelay.endpoints import KnobsCall
from azurerelay.membership import ChangeOutcome
from azurerelay.requests import CallerAnswer, CallerRequest, Operation
from azurerelay.timing import ManualTimerService, Promise, spawn
from azurerelay.traces._trace import NumberedStep, Trace
from azurerelay.traces._trace_steps import (
    EVERY_MS,
    ChangeStep,
    CheckStep,
    Expectation,
    FaultStep,
    RequestStep,
)

SETTLE_LIMIT_MS: Final = 60_000.0
QUIET_MS: Final = 500.0
AFTER_LAST_MS: Final = 15_000.0
DRAIN_LIMIT_MS: Final = 10_000.0
_SHAPES: Final = {"childcare": CHILDCARE, "alert desk": ALERT_DESK}


@dataclass(frozen=True, slots=True)
class Difference:
    """A stated outcome that did not come about."""

    place: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.place}: expected {self.expected}, found {self.found}"


@dataclass(slots=True)
class _Session:
    """The newest position that a named session has seen."""

    term: int = 0
    position: int = 0


class TraceRunner:
    """Run one trace and collect the differences from its stated outcomes."""

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._timers = ManualTimerService()
        self._system = EmbeddedSystem(
            _SHAPES[trace.header.shape],
            self._timers,
            random.Random(trace.header.seed),
        )
        self._sessions: dict[str, _Session] = {}
        self._transactions: dict[str, str] = {}
        self._differences: list[Difference] = []
        self._open = 0

    def run(self) -> tuple[Difference, ...]:
        """Return the differences; none when the trace holds."""
        self._system.start()
        if not self._timers.advance_until(self._system.is_settled, SETTLE_LIMIT_MS):
            return (Difference(self._trace.source, "a settled system", "none"),)
        self._timers.advance(QUIET_MS)
        last_ms = 0.0
        for numbered in self._trace.steps:
            last_ms = max(last_ms, numbered.step.at_ms)
            self._timers.call_later(numbered.step.at_ms, self._starter(numbered))
        self._timers.advance(last_ms)
        self._timers.advance_until(lambda: self._open == 0, AFTER_LAST_MS)
        if self._open:
            found = f"{self._open} requests without an answer"
            self._differ(self._trace.source, "an answer to every request", found)
        return tuple(self._differences)

    def _starter(self, numbered: NumberedStep) -> Callable[[], None]:
        place = f"{self._trace.source}:{numbered.line}"
        return lambda: self._start(numbered.step, place)

    def _differ(self, place: str, expected: object, found: object) -> None:
        self._differences.append(Difference(place, str(expected), str(found)))

    @singledispatchmethod
    def _start(self, step: Any, place: str) -> None:
        raise TypeError(f"no rule for {type(step).__name__}")

    @_start.register
    def _(self, step: RequestStep, place: str) -> None:
        session = self._sessions.setdefault(step.session or place, _Session())
        request = CallerRequest(
            operation=Operation(step.step),
            group=step.group,
            timeout_ms=step.timeout_ms,
            caller=step.session or "",
            statement=step.statement,
            parameters=tuple(step.parameters),
            is_idempotent=step.idempotent,
            idempotency_key=step.key,
            transaction=self._transaction(step),
            token_term=session.term,
            token_position=session.position,
            max_staleness_ms=step.max_staleness_ms,
        )
        began_ms = self._timers.now_ms()
        answer = self._system.call(step.entry, request)
        self._open += 1

        def finish() -> None:
            self._open -= 1
            self._take(step, place, answer, self._timers.now_ms() - began_ms)

        answer.add_callback(finish)

    @_start.register
    def _(self, step: FaultStep, place: str) -> None:
        target = self._target(step.target)
        system = self._system
        match step.do:
            case "kill endpoint":
                system.kill_endpoint(target)
            case "restart endpoint":
                system.restart_endpoint(target)
            case "isolate endpoint":
                system.standins[target].request(KnobsCall(is_isolated=True))
            case "rejoin endpoint":
                system.standins[target].request(KnobsCall(is_isolated=False))
            case "lag endpoint":
                system.standins[target].request(KnobsCall(lag_ms=step.lag_ms))
            case "leave endpoint":
                system.standins[target].request(KnobsCall(is_leaving=True))
            case "kill entry":
                system.kill_entry(target)
            case "start entry":
                system.start_entry(target)
            case "drain entry":
                spawn(system.entries[target].drain(DRAIN_LIMIT_MS))
            case "kill control":
                system.kill_control(target)
            case "start control":
                system.start_control(target)
            case "lose disk":
                system.lose_disk(target)
            case "isolate host":
                system.network.isolate(target)
            case "heal host":
                system.network.heal(target)
            case "freeze host":
                system.freeze(target)
            case "thaw host":
                system.thaw(target)

    @_start.register
    def _(self, step: ChangeStep, place: str) -> None:
        if step.times > 1:
            self._repeat(step, place)
            return
        promise = self._system.change_settings(
            step.path,
            step.key,
            step.value,
            based_on=step.based_on,
            change_id=step.change_id,
            control=step.control,
        )
        self._open += 1

        def finish() -> None:
            self._open -= 1
            self._take_change(step, place, promise.value)

        promise.add_callback(finish)

    @_start.register
    def _(self, step: CheckStep, place: str) -> None:
        for expected, found in self._conditions(step):
            if expected != found:
                self._differ(place, expected, found)

    def _repeat(self, step: ChangeStep, place: str) -> None:
        for count in range(step.times):
            one = replace(
                step,
                times=1,
                value=int(step.value) + count,
                based_on=step.based_on + count,
                change_id=f"{step.change_id}-{count}",
            )
            delay_ms = count * EVERY_MS
            self._timers.call_later(delay_ms, partial(self._start, one, place))

    def _transaction(self, step: RequestStep) -> str | None:
        if step.step == "begin" or step.transaction is None:
            return None
        return self._transactions.get(step.transaction, step.transaction)

    def _target(self, target: str) -> str:
        kind, _, group = target.partition(":")
        if kind == "leader":
            leader = self._system.leader
            return leader.name if leader else "control-1"
        if not group:
            return target
        primary = self._system.primary(group)
        if kind == "primary":
            return primary or f"{group}-1"
        names = [n for n in self._system.standins if n.startswith(f"{group}-")]
        return next(name for name in names if name != primary)

    def _take(
        self,
        step: RequestStep,
        place: str,
        promise: Promise[CallerAnswer | None],
        took_ms: float,
    ) -> None:
        answer = promise.value
        if answer is not None and answer.is_done:
            self._remember(step, answer)
        for expected, found in _compare(step.expect, answer, took_ms):
            detail = f" ({answer.detail})" if answer and answer.detail else ""
            self._differ(place, expected, f"{found}{detail}")

    def _remember(self, step: RequestStep, answer: CallerAnswer) -> None:
        if step.step == "begin" and step.transaction and answer.transaction:
            self._transactions[step.transaction] = answer.transaction
        if step.session is not None:
            session = self._sessions[step.session]
            seen = (session.term, session.position)
            newest = max(seen, (answer.term, answer.position))
            session.term, session.position = newest

    def _take_change(
        self, step: ChangeStep, place: str, outcome: ChangeOutcome | None
    ) -> None:
        found = outcome.status.value if outcome else "unknown"
        if found != step.expect:
            self._differ(place, step.expect, found)
        if outcome and step.number is not None and outcome.number != step.number:
            self._differ(place, f"number {step.number}", f"number {outcome.number}")

    def _conditions(self, step: CheckStep) -> Iterator[tuple[object, object]]:
        system = self._system
        if step.number_everywhere is not None:
            numbers = {node.state.number for node in system.entries.values()}
            yield {step.number_everywhere}, numbers
        if step.primary_of is not None:
            yield step.is_primary, system.primary(step.primary_of)
        if step.promotions_of is not None:
            path = f"groups/{step.promotions_of}/primary"
            records = system.leader.state.audit if system.leader else ()
            found = [r for r in records if r.action == "install primary"]
            # The first installation brings the group up and replaces nobody.
            yield step.promotions, sum(r.path == path for r in found) - 1
        if step.audit_contains is not None:
            records = system.leader.state.audit if system.leader else ()
            is_there = any(step.audit_contains in str(record) for record in records)
            yield f"audit with {step.audit_contains!r}", (
                f"audit with {step.audit_contains!r}" if is_there else "none"
            )
        if step.leaders is not None:
            yield step.leaders, sum(n.raft.is_leader for n in system.controls.values())


def _compare(
    expect: Expectation, answer: CallerAnswer | None, took_ms: float
) -> Iterator[tuple[object, object]]:
    if answer is None:
        if expect.outcome not in (None, "host died"):
            yield expect.outcome, "host died"
        return
    pairs: tuple[tuple[object, object], ...] = (
        (expect.outcome, answer.outcome.value),
        (expect.code, answer.code.value),
        (expect.rows, [list(row) for row in answer.rows]),
        (expect.from_replica, answer.is_from_replica),
        (expect.replay, answer.is_replay),
    )
    for wanted, found in pairs:
        if wanted is not None and wanted != found:
            yield wanted, found
    if expect.within_ms is not None and took_ms > expect.within_ms:
        yield f"an answer within {expect.within_ms} ms", f"{took_ms:.1f} ms"
    staleness_ms = answer.staleness_ms
    if expect.max_staleness_ms is not None and staleness_ms is not None:
        if staleness_ms > expect.max_staleness_ms:
            wanted_text = f"staleness of up to {expect.max_staleness_ms} ms"
            yield wanted_text, f"{staleness_ms:.0f} ms"
