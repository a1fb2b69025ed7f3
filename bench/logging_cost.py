"""What log lines and figures of a statement cost the entry host's processor.

One process records the outcome of statements as a session does, at five times the
usual load of a host and at a load where almost all lines are left out, against the
same loop without a record. Its standard output is a file. No target is stated: the
figures are for docs/OPERATIONS.md.
"""

import tempfile
import time
from collections.abc import Callable

from azurerelay.hosts._json_event_log import JsonEventLog
from azurerelay.relay import StatementAttempt, StatementRecorder
from azurerelay.routes import Consistency, Route
from azurerelay.statements import CallerReply, Position, Read, SessionState
from azurerelay.telemetry import Meters
from azurerelay.timing import ManualTimerService
from bench.report import finish, percentile

STATEMENTS = 20_000
ROUNDS = 7
# A host of the standard sites answers about 23 statements a second.
GAP_AT_FIVE_TIMES_MS = 1_000.0 / (5 * 23)


def main() -> None:
    """Measure and print the report."""
    route = Route("r", "db", "g", Consistency.BOUNDED, 1_000, 500, 1, 1_500, 2)
    reply = CallerReply(
        SessionState.IDLE, ("row",), "signature", position=Position(3, 1207)
    )
    with tempfile.TemporaryFile() as output:
        timers = ManualTimerService()
        meters = Meters()
        log = JsonEventLog("entry-1", timers, meters, output.fileno())
        recorder = StatementRecorder("db", lambda: 7, timers, log, meters)

        def record(gap_ms: float) -> None:
            for number in range(STATEMENTS):
                timers.advance(gap_ms)
                statement = Read(f"{number:016x}", "READ 1a4")
                attempt = StatementAttempt(statement, route, 0.0, 1_000.0, 1, "i-1")
                recorder.note_outcome(statement, attempt, reply, 31.5)

        def bare(gap_ms: float) -> None:
            for number in range(STATEMENTS):
                timers.advance(gap_ms)
                statement = Read(f"{number:016x}", "READ 1a4")
                StatementAttempt(statement, route, 0.0, 1_000.0, 1, "i-1")

        five_times_us = added_us(record, bare, GAP_AT_FIVE_TIMES_MS)
        flood_us = added_us(record, bare, 0.01)
    finish(
        "logging_cost",
        {
            "us_a_statement_at_5_times": round(five_times_us, 2),
            "us_a_statement_beyond_the_budget": round(flood_us, 2),
        },
        {},
    )


def added_us(
    measured: Callable[[float], None], bare: Callable[[float], None], gap_ms: float
) -> float:
    """Return the median of what one loop takes longer than the other, a statement."""
    return percentile(
        [
            (timed(measured, gap_ms) - timed(bare, gap_ms)) * 1e6 / STATEMENTS
            for _ in range(ROUNDS)
        ],
        0.5,
    )


def timed(call: Callable[[float], None], gap_ms: float) -> float:
    """Return the processor time of a call in seconds."""
    started = time.process_time()
    call(gap_ms)
    return time.process_time() - started


if __name__ == "__main__":
    main()
