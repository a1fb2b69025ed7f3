"""Log lines and figures of one session's statements."""

from collections.abc import Callable

from azurerelay.events import (
    EventLog,
    StatementRefused,
    StatementRetried,
    StatementServed,
)
from azurerelay.relay._statement_attempt import StatementAttempt
from azurerelay.statements import CallerReply, Statement
from azurerelay.telemetry import Meters
from azurerelay.timing import TimerService


class StatementRecorder:
    """Record what became of each statement, and count it.

    `version` tells which configuration is in force.
    """

    def __init__(
        self,
        database: str,
        version: Callable[[], int],
        timers: TimerService,
        events: EventLog,
        meters: Meters,
    ) -> None:
        self._database = database
        self._version = version
        self._timers = timers
        self._events = events
        self._meters = meters

    def note_outcome(
        self,
        statement: Statement,
        attempt: StatementAttempt | None,
        reply: CallerReply,
        duration_ms: float,
    ) -> None:
        """Record an answer; `attempt` is None when no endpoint was needed."""
        outcome = "done" if reply.error is None else reply.error.name.lower()
        kind = type(statement).__name__.lower()
        self._meters.count("statements_total", statement=kind, outcome=outcome)
        if attempt is None:
            return
        consistency = attempt.route.consistency.value
        self._meters.observe(
            "statement_duration_seconds", duration_ms, consistency=consistency
        )
        if reply.error is None:
            self._events.record(
                StatementServed(
                    statement.request_id,
                    self._database,
                    kind,
                    attempt.endpoint,
                    attempt.required,
                    str(reply.position),
                    duration_ms,
                    attempt.count,
                    self._version(),
                )
            )

    def note_retry(self, attempt: StatementAttempt) -> None:
        """Record that a statement is tried again."""
        self._meters.count("statement_retries_total")
        self._events.record(
            StatementRetried(
                attempt.statement.request_id,
                attempt.endpoint,
                attempt.reason,
                attempt.count,
                attempt.required,
            )
        )

    def note_refusal(self, attempt: StatementAttempt, has_run: str) -> None:
        """Record that a statement is given up; `has_run` is "no" only if certain."""
        self._events.record(
            StatementRefused(
                attempt.statement.request_id,
                self._database,
                attempt.reason,
                has_run,
                self._timers.now_ms() - attempt.started_ms,
                attempt.count,
                attempt.endpoint,
                self._version(),
            )
        )
