"""Judgement of what callers and endpoints saw around planned work.

Times are seconds on one clock.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

GRACE_PERIOD_S: Final = 6.0
STOP_WINDOW_S: Final = GRACE_PERIOD_S + 1.0
LOSS_SLACK_S: Final = 0.2
CONFIGURATION_APPLY_S: Final = 3.0
CHANGE_WINDOW_S: Final = CONFIGURATION_APPLY_S + 1.0  # after the acknowledgement
# An endpoint that works until the last part of the grace period excuses a close, if
# the statement was sent soon enough after the SIGTERM.
LAST_PART_FROM_S: Final = GRACE_PERIOD_S * 5.0 / 6.0
SENT_SOON_S: Final = 3.0
# Beside a change of configuration, a close counts only before this share of the
# statement's time has passed, and if the host closes this much more often than else.
USED_TIME_SHARE: Final = 0.7
CHANGE_RATE_FACTOR: Final = 3.0

CLOSED: Final = "CLOSED"  # outcome of a statement: the host closed the connection
SILENT: Final = "SILENT"  # outcome of a statement: the caller's time budget is over
PROMISES: Final = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
)


class Cause(StrEnum):
    """The planned work beside which a statement was lost."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    CHANGE = "configuration"


@dataclass(frozen=True, slots=True)
class Passage:
    """One arrival of a statement at an endpoint."""

    endpoint: str
    received_s: float
    started_s: float | None = None  # when work began
    ended_s: float | None = None  # when the answer was written
    broken_off_s: float | None = None  # when the endpoint closed the connection


@dataclass(frozen=True, slots=True)
class StatementRecord:
    """A statement as its caller saw it."""

    request: str
    host: str
    sent_s: float
    ended_s: float
    outcome: str
    is_in_transaction: bool
    timeout_s: float  # of the route
    budget_s: float  # that the caller had left when it sent the statement
    passages: tuple[Passage, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt at an operation: a single statement or a transaction."""

    host: str
    began_s: float
    ended_s: float
    result: str  # "served", "refused" (a promise), "failed" or "in doubt"
    commit_request: str | None  # of the statement that would make writes durable


@dataclass(frozen=True, slots=True)
class Stop:
    """A SIGTERM to a host and the end of its process."""

    host: str
    at_s: float
    ended_s: float
    is_entry: bool = True
    waited_s: float = 0.0  # for a processor
    kill: str = ""  # the state in which it was killed, if it was
    exit_status: int = 0

    def covers(self, now_s: float) -> bool:
        """Whether the time is in the window in which the stop counts as planned."""
        return 0.0 <= now_s - self.at_s <= STOP_WINDOW_S


@dataclass(frozen=True, slots=True)
class Reload:
    """A SIGHUP to a host."""

    host: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Change:
    """A configuration that was sent, and perhaps acknowledged."""

    sent_s: float
    acknowledged_s: float | None

    def may_apply(self, now_s: float) -> bool:
        """Whether hosts may be taking up the configuration now."""
        if now_s < self.sent_s or self.acknowledged_s is None:
            return now_s >= self.sent_s
        return now_s <= self.acknowledged_s + CHANGE_WINDOW_S


@dataclass(frozen=True, slots=True)
class PlannedWork:
    """Everything planned that happened in a run of `duration_s`.

    In a stall the process that observes the run did not run itself.
    """

    duration_s: float
    stops: tuple[Stop, ...] = ()
    reloads: tuple[Reload, ...] = ()
    changes: tuple[Change, ...] = ()
    stalls: tuple[tuple[float, float], ...] = ()  # from, until

    def stalled_s(self, from_s: float, until_s: float) -> float:
        """Return for how long the observer was stalled between two times."""
        return sum(
            max(0.0, min(until_s, stall_until_s) - max(from_s, stall_from_s))
            for stall_from_s, stall_until_s in self.stalls
        )

    def stop_at(self, host: str, now_s: float) -> Stop | None:
        """Return the stop of a host that covers a time."""
        for stop in self.stops:
            if stop.host == host and stop.covers(now_s):
                return stop
        return None


@dataclass(frozen=True, slots=True)
class Loss:
    """A statement that was lost, and how."""

    statement: StatementRecord
    cause: Cause
    shape: str


@dataclass(frozen=True, slots=True)
class Judgement:
    """What the rule says on the statements whose connection was closed."""

    losses: tuple[Loss, ...]
    unplanned: tuple[StatementRecord, ...]  # closed beside no planned work
    excuses: Counter[str]  # of all others


def shape(statement: StatementRecord) -> str:
    """Return how far a statement had come when its connection was closed."""
    passages = _passages_before_end(statement)
    if not passages:
        text = "never passed on"
    elif all(passage.started_s is None for passage in passages):
        text = "passed on, not started"
    elif any(passage.ended_s is None for passage in passages):
        text = "passed on, running"
    elif max(p.ended_s or 0.0 for p in passages) > statement.ended_s:
        text = "passed on, running"
    else:
        text = "passed on, had run"
    return f"{text}, in transaction" if statement.is_in_transaction else text


def judge_closes(statements: Iterable[StatementRecord], work: PlannedWork) -> Judgement:
    """Judge the statements whose connection the host closed without an answer."""
    losses, excuses = [], Counter[str]()
    beside: dict[Cause | None, list[StatementRecord]] = defaultdict(list)
    for statement in statements:
        if statement.outcome != CLOSED:
            continue
        excuse = _excuse(statement, work)
        if excuse is not None:
            excuses[excuse] += 1
        else:
            beside[_cause(statement, work)].append(statement)
    for cause in (Cause.STOP, Cause.RELOAD):
        losses += [Loss(s, cause, shape(s)) for s in beside[cause]]
    change_s = _change_time_s(work)
    other_s = max(0.0, work.duration_s - change_s)
    counts = Counter(statement.host for statement in beside[Cause.CHANGE])
    others = Counter(statement.host for statement in beside[None])
    for statement in beside[Cause.CHANGE]:
        used_s = statement.ended_s - statement.sent_s
        expected = CHANGE_RATE_FACTOR * others[statement.host] * change_s
        if used_s >= USED_TIME_SHARE * _time_s(statement):
            excuses["most of the time was over"] += 1
        elif counts[statement.host] * other_s <= expected:
            excuses["as often at other times"] += 1
        else:
            losses.append(Loss(statement, Cause.CHANGE, shape(statement)))
    return Judgement(tuple(losses), tuple(beside[None]), excuses)


def find_false_refusals(
    attempts: Iterable[AttemptRecord], committed: Collection[str]
) -> list[AttemptRecord]:
    """Return attempts with a promise that nothing is kept whose writes are durable."""
    return [
        attempt
        for attempt in attempts
        if attempt.result == "refused" and attempt.commit_request in committed
    ]


def find_repeated_commits(logs: Iterable[Sequence[str]]) -> list[str]:
    """Return the requests that are in a log of a primary more than once."""
    return [
        request for log in logs for request, count in Counter(log).items() if count > 1
    ]


def describe_stop(stop: Stop) -> str:
    """Return how long a process took to stop, and how much of it without processor."""
    text = f"{stop.host} {stop.ended_s - stop.at_s:.2f} waited {stop.waited_s:.2f}"
    return f"{text} {stop.kill}".strip()


def describe_loss(loss: Loss, work: PlannedWork) -> str:
    """Return one line about a lost statement, with times after the SIGTERM, if any."""
    statement = loss.statement
    stop = work.stop_at(statement.host, statement.ended_s)
    start_s = stop.at_s if stop is not None else 0.0
    passages = [
        f"{p.endpoint} received {p.received_s - start_s:+.3f}"
        + (f" began {p.started_s - start_s:+.3f}" if p.started_s else "")
        + (f" ended {p.ended_s - start_s:+.3f}" if p.ended_s else "")
        for p in statement.passages
    ]
    return (
        f"LOST {statement.request} at {statement.host} beside {loss.cause}"
        f" (at {start_s:.3f}): sent {statement.sent_s - start_s:+.3f}"
        f" closed {statement.ended_s - start_s:+.3f}"
        f" timeout {statement.timeout_s:g} s, {loss.shape}"
        + (f" [{'; '.join(passages)}]" if passages else "")
    )


def _passages_before_end(statement: StatementRecord) -> list[Passage]:
    return [p for p in statement.passages if p.received_s <= statement.ended_s]


def _time_s(statement: StatementRecord) -> float:
    return min(statement.timeout_s, statement.budget_s)


def _excuse(statement: StatementRecord, work: PlannedWork) -> str | None:
    """Return why the rule does not count a close without an answer, None if it may."""
    used_s = statement.ended_s - statement.sent_s
    passages = _passages_before_end(statement)
    if used_s >= _time_s(statement):
        return "the time was over"
    if any(
        passage.broken_off_s is not None and passage.broken_off_s <= statement.ended_s
        for passage in passages
    ):
        return "the endpoint broke off"
    if not passages and used_s <= LOSS_SLACK_S:
        return "crossed the close"
    stalled_s = work.stalled_s(statement.sent_s, statement.ended_s)
    if not passages and used_s - stalled_s <= LOSS_SLACK_S:
        return "the observer was stalled"
    stop = work.stop_at(statement.host, statement.ended_s)
    if stop is not None and _works_until_kill(statement, stop):
        return "an endpoint worked until the kill"
    return None


def _cause(statement: StatementRecord, work: PlannedWork) -> Cause | None:
    if work.stop_at(statement.host, statement.ended_s) is not None:
        return Cause.STOP
    for reload in work.reloads:
        is_sent_in_time = statement.sent_s <= reload.at_s + CONFIGURATION_APPLY_S
        if reload.host == statement.host and is_sent_in_time:
            if statement.ended_s >= reload.at_s:
                return Cause.RELOAD
    if any(change.may_apply(statement.ended_s) for change in work.changes):
        return Cause.CHANGE
    return None


def _works_until_kill(statement: StatementRecord, stop: Stop) -> bool:
    """Return whether an endpoint works on the statement until the host is killed."""
    if statement.sent_s > stop.at_s + SENT_SOON_S:
        return False
    last_part_s = stop.at_s + LAST_PART_FROM_S
    return any(
        passage.started_s is not None
        and (passage.ended_s is None or passage.ended_s >= last_part_s)
        for passage in _passages_before_end(statement)
    )


def _change_time_s(work: PlannedWork) -> float:
    """Return for how long some configuration may have been taken up."""
    total_s = covered_until_s = 0.0
    for change in sorted(work.changes, key=lambda change: change.sent_s):
        until_s = work.duration_s
        if change.acknowledged_s is not None:
            until_s = min(until_s, change.acknowledged_s + CHANGE_WINDOW_S)
        from_s = max(change.sent_s, covered_until_s)
        total_s += max(0.0, until_s - from_s)
        covered_until_s = max(covered_until_s, until_s)
    return total_s
