"""The CPU time that an entry host spends on log lines and metrics per statement.

One process records the outcome of statements as a session does: at five times the
usual load of a host, and at a load where the rate limit of the event log drops almost
all lines. The baseline is the same loop without recording. Log lines go to a file.
There is no target: docs/OPERATIONS.md states the results.
"""

import tempfile
import time
from collections.abc import Callable

from azurerelay.hosts._json_event_log import JsonEventLog
from azurerelay.relay import StatementProgress, StatementRecorder
from azurerelay.routes import Consistency, Route
from azurerelay.statements import CallerReply, Position, Read, SessionState
from azurerelay.telemetry import Meters
from azurerelay.timing import ManualTimerService
from bench.report import percentile, print_report_and_exit

STATEMENTS = 20_000
ROUNDS = 7
# A host of the standard deployments answers about 23 statements per second.
INTERVAL_AT_FIVE_TIMES_MS = 1_000.0 / (5 * 23)


def main() -> None:
    """Measure both loads and print the report."""
    route = Route("r", "db", "g", Consistency.BOUNDED, 1_000, 500, 1, 1_500, 2)
    reply = CallerReply(
        SessionState.IDLE, ("row",), "signature", position=Position(3, 1207)
    )
    with tempfile.TemporaryFile() as output:
        timers = ManualTimerService()
        meters = Meters()
        log = JsonEventLog("entry-1", timers, meters, output.fileno())
        recorder = StatementRecorder("db", lambda: 7, timers, log, meters)

        def record(interval_ms: float) -> None:
            for number in range(STATEMENTS):
                timers.advance(interval_ms)
                statement = Read(f"{number:016x}", "READ 1a4")
                progress = StatementProgress(statement, route, 0.0, 1_000.0, 1, "i-1")
                recorder.record_outcome(statement, progress, reply, 31.5)

        def baseline(interval_ms: float) -> None:
            for number in range(STATEMENTS):
                timers.advance(interval_ms)
                statement = Read(f"{number:016x}", "READ 1a4")
                StatementProgress(statement, route, 0.0, 1_000.0, 1, "i-1")

        five_times_us = added_cpu_us(record, baseline, INTERVAL_AT_FIVE_TIMES_MS)
        over_budget_us = added_cpu_us(record, baseline, 0.01)
    print_report_and_exit(
        "logging_cost",
        {
            "us_a_statement_at_5_times": round(five_times_us, 2),
            "us_a_statement_beyond_the_budget": round(over_budget_us, 2),
        },
        {},
    )


def added_cpu_us(
    measured: Callable[[float], None],
    baseline: Callable[[float], None],
    interval_ms: float,
) -> float:
    """Return the median CPU time in microseconds that recording adds per statement."""
    return percentile(
        [
            (cpu_time_s(measured, interval_ms) - cpu_time_s(baseline, interval_ms))
            * 1e6
            / STATEMENTS
            for _ in range(ROUNDS)
        ],
        0.5,
    )


def cpu_time_s(call: Callable[[float], None], interval_ms: float) -> float:
    """Return the CPU time of a call in seconds."""
    started = time.process_time()
    call(interval_ms)
    return time.process_time() - started


if __name__ == "__main__":
    main()
