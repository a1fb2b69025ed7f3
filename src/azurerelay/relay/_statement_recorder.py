"""Events and metrics of the statements of one session."""

from collections.abc import Callable

from azurerelay.events import (
    EventLog,
    StatementRefused,
    StatementRetried,
    StatementServed,
    StatementUnanswered,
)
from azurerelay.relay._statement_progress import StatementProgress
from azurerelay.statements import CallerReply, Statement
from azurerelay.telemetry import Meters
from azurerelay.timing import TimerService


class StatementRecorder:
    """Record the outcome of each statement as an event and in the metrics.

    `version` returns the version of the configuration in force.
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

    def record_outcome(
        self,
        statement: Statement,
        progress: StatementProgress | None,
        reply: CallerReply,
        duration_ms: float,
    ) -> None:
        """Count a statement and record its duration, and an event if it succeeded.

        `progress` is None if the statement was answered without an endpoint; it is
        then only counted.
        """
        outcome = "done" if reply.error is None else reply.error.name.lower()
        kind = type(statement).__name__.lower()
        self._meters.count("statements_total", statement=kind, outcome=outcome)
        if progress is None:
            return
        consistency = progress.route.consistency.value
        self._meters.observe(
            "statement_duration_seconds", duration_ms, consistency=consistency
        )
        if reply.error is None:
            self._events.record(
                StatementServed(
                    statement.request_id,
                    self._database,
                    kind,
                    progress.endpoint,
                    progress.required_position,
                    str(reply.position),
                    duration_ms,
                    progress.attempt_count,
                    self._version(),
                    progress.customer,
                )
            )

    def record_retry(self, progress: StatementProgress) -> None:
        """Record that a statement is retried."""
        self._meters.count("statement_retries_total")
        self._events.record(
            StatementRetried(
                progress.statement.request_id,
                progress.endpoint,
                progress.reason,
                progress.attempt_count,
                progress.required_position,
            )
        )

    def record_refusal(self, progress: StatementProgress, has_run: str) -> None:
        """Record that a statement is refused.

        `has_run` is the text of the event field, "no" only if it is certain that the
        statement has not run.
        """
        self._events.record(
            StatementRefused(
                progress.statement.request_id,
                self._database,
                progress.reason,
                has_run,
                self._timers.now_ms() - progress.started_ms,
                progress.attempt_count,
                progress.endpoint,
                self._version(),
                progress.customer,
            )
        )

    def record_unanswered(
        self, progress: StatementProgress, is_in_transaction: bool, reason: str
    ) -> None:
        """Record that a connection ended before its statement was answered."""
        phase = "sent" if progress.is_sent else "waiting"
        self._meters.count("statements_unanswered_total", phase=phase)
        self._events.record(
            StatementUnanswered(
                progress.statement.request_id,
                self._database,
                phase,
                progress.endpoint,
                is_in_transaction,
                self._timers.now_ms() - progress.started_ms,
                progress.attempt_count,
                reason,
            )
        )
