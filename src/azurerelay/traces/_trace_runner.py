"""Replays a trace against the embedded system on simulated time."""

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
    REPEAT_INTERVAL_MS,
    ChangeStep,
    CheckStep,
    Expectation,
    FaultStep,
    RequestStep,
)

SETTLE_TIMEOUT_MS: Final = 60_000.0
IDLE_BEFORE_STEPS_MS: Final = 500.0
FINAL_ANSWERS_TIMEOUT_MS: Final = 15_000.0
DRAIN_TIMEOUT_MS: Final = 10_000.0
_SHAPES: Final = {"childcare": CHILDCARE, "alert desk": ALERT_DESK}


@dataclass(frozen=True, slots=True)
class Difference:
    """An expected outcome that did not occur."""

    place: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.place}: expected {self.expected}, found {self.found}"


@dataclass(slots=True)
class _Session:
    """The newest term and position that a session has seen."""

    term: int = 0
    position: int = 0


class TraceRunner:
    """Replay one trace and collect differences from the expected outcomes."""

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._timers = ManualTimerService()
        self._system = EmbeddedSystem(
            _SHAPES[trace.header.shape],
            self._timers,
            random.Random(trace.header.seed),
        )
        self._sessions: dict[str, _Session] = {}
        self._transaction_ids: dict[str, str] = {}
        self._differences: list[Difference] = []
        self._pending_count = 0

    def run(self) -> tuple[Difference, ...]:
        """Replay the trace and return the differences, empty if it passes."""
        self._system.start()
        if not self._timers.advance_until(self._system.is_settled, SETTLE_TIMEOUT_MS):
            return (Difference(self._trace.source, "a settled system", "none"),)
        self._timers.advance(IDLE_BEFORE_STEPS_MS)
        last_ms = 0.0
        for numbered in self._trace.steps:
            last_ms = max(last_ms, numbered.step.at_ms)
            self._timers.call_later(numbered.step.at_ms, self._step_callback(numbered))
        self._timers.advance(last_ms)
        self._timers.advance_until(
            lambda: self._pending_count == 0, FINAL_ANSWERS_TIMEOUT_MS
        )
        if self._pending_count:
            found = f"{self._pending_count} requests or changes without an answer"
            self._add_difference(
                self._trace.source, "an answer to every request", found
            )
        return tuple(self._differences)

    def _step_callback(self, numbered: NumberedStep) -> Callable[[], None]:
        place = f"{self._trace.source}:{numbered.line}"
        return lambda: self._run_step(numbered.step, place)

    def _add_difference(self, place: str, expected: object, found: object) -> None:
        self._differences.append(Difference(place, str(expected), str(found)))

    @singledispatchmethod
    def _run_step(self, step: Any, place: str) -> None:
        raise TypeError(f"unsupported trace step {type(step).__name__}")

    @_run_step.register
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
            transaction=self._transaction_id(step),
            token_term=session.term,
            token_position=session.position,
            max_staleness_ms=step.max_staleness_ms,
        )
        started_ms = self._timers.now_ms()
        answer = self._system.call(step.entry, request)
        self._pending_count += 1

        def finish() -> None:
            self._pending_count -= 1
            self._check_answer(step, place, answer, self._timers.now_ms() - started_ms)

        answer.add_callback(finish)

    @_run_step.register
    def _(self, step: FaultStep, place: str) -> None:
        target = self._resolve_target(step.target)
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
                spawn(system.entries[target].drain(DRAIN_TIMEOUT_MS))
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

    @_run_step.register
    def _(self, step: ChangeStep, place: str) -> None:
        if step.times > 1:
            self._schedule_repeats(step, place)
            return
        promise = self._system.change_settings(
            step.path,
            step.key,
            step.value,
            based_on=step.based_on,
            change_id=step.change_id,
            control=step.control,
        )
        self._pending_count += 1

        def finish() -> None:
            self._pending_count -= 1
            self._check_change(step, place, promise.value)

        promise.add_callback(finish)

    @_run_step.register
    def _(self, step: CheckStep, place: str) -> None:
        for expected, found in self._check_conditions(step):
            if expected != found:
                self._add_difference(place, expected, found)

    def _schedule_repeats(self, step: ChangeStep, place: str) -> None:
        for count in range(step.times):
            repeated = replace(
                step,
                times=1,
                value=int(step.value) + count,
                based_on=step.based_on + count,
                change_id=f"{step.change_id}-{count}",
            )
            delay_ms = count * REPEAT_INTERVAL_MS
            self._timers.call_later(delay_ms, partial(self._run_step, repeated, place))

    def _transaction_id(self, step: RequestStep) -> str | None:
        if step.step == "begin" or step.transaction is None:
            return None
        return self._transaction_ids.get(step.transaction, step.transaction)

    def _resolve_target(self, target: str) -> str:
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

    def _check_answer(
        self,
        step: RequestStep,
        place: str,
        promise: Promise[CallerAnswer | None],
        duration_ms: float,
    ) -> None:
        answer = promise.value
        if answer is not None and answer.is_done:
            self._update_session(step, answer)
        for expected, found in _compare(step.expect, answer, duration_ms):
            detail = f" ({answer.detail})" if answer and answer.detail else ""
            self._add_difference(place, expected, f"{found}{detail}")

    def _update_session(self, step: RequestStep, answer: CallerAnswer) -> None:
        if step.step == "begin" and step.transaction and answer.transaction:
            self._transaction_ids[step.transaction] = answer.transaction
        if step.session is not None:
            session = self._sessions[step.session]
            seen = (session.term, session.position)
            newest = max(seen, (answer.term, answer.position))
            session.term, session.position = newest

    def _check_change(
        self, step: ChangeStep, place: str, outcome: ChangeOutcome | None
    ) -> None:
        found = outcome.status.value if outcome else "unknown"
        if found != step.expect:
            self._add_difference(place, step.expect, found)
        if outcome and step.number is not None and outcome.number != step.number:
            self._add_difference(
                place,
                f"settings number {step.number}",
                f"settings number {outcome.number}",
            )

    def _check_conditions(self, step: CheckStep) -> Iterator[tuple[object, object]]:
        system = self._system
        if step.number_everywhere is not None:
            numbers = {node.state.settings_number for node in system.entries.values()}
            yield {step.number_everywhere}, numbers
        if step.primary_of is not None:
            yield step.is_primary, system.primary(step.primary_of)
        if step.promotions_of is not None:
            path = f"groups/{step.promotions_of}/primary"
            records = system.leader.state.audit if system.leader else ()
            found = [r for r in records if r.action == "install primary"]
            # The first installation in a group replaces no primary.
            yield step.promotions, sum(r.path == path for r in found) - 1
        if step.audit_contains is not None:
            records = system.leader.state.audit if system.leader else ()
            is_found = any(step.audit_contains in str(record) for record in records)
            yield f"audit with {step.audit_contains!r}", (
                f"audit with {step.audit_contains!r}" if is_found else "none"
            )
        if step.leaders is not None:
            yield step.leaders, sum(n.raft.is_leader for n in system.controls.values())


def _compare(
    expect: Expectation, answer: CallerAnswer | None, duration_ms: float
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
    for expected, found in pairs:
        if expected is not None and expected != found:
            yield expected, found
    if expect.within_ms is not None and duration_ms > expect.within_ms:
        yield f"an answer within {expect.within_ms} ms", f"{duration_ms:.1f} ms"
    staleness_ms = answer.staleness_ms
    if expect.max_staleness_ms is not None and staleness_ms is not None:
        if staleness_ms > expect.max_staleness_ms:
            expected_text = f"staleness of up to {expect.max_staleness_ms} ms"
            yield expected_text, f"{staleness_ms:.0f} ms"
