"""Events and program log records as JSON lines on standard output."""

import logging as standard_logging
import os
import sys
from collections import deque
from dataclasses import fields
from typing import Any, Final

import msgspec
from absl import logging

from azurerelay.events import (
    Event,
    StatementRefused,
)
from azurerelay.telemetry import Meters
from azurerelay.timing import TimerService

# Rate limit for each event class; events beyond it are counted but not written.
LINES_PER_S: Final = 20
# Higher for `StatementRefused`: these events show the failures that callers saw, and
# whether the statement can have run.
REFUSAL_LINES_PER_S: Final = 60
MAX_QUEUED_LINES: Final = 2_000
# Longer lines, as with a traceback or long names, fill the queue sooner.
MAX_QUEUED_BYTES: Final = 4 * 1024 * 1024
WINDOW_MS: Final = 1_000.0
_MS_PER_S: Final = 1_000


class JsonEventLog:
    """Write one JSON object per line without ever blocking on the reader.

    Standard output may be a full pipe, so lines wait in a bounded queue. Lines that
    do not fit are dropped, counted as `queue_full` and reported in the next
    `EventsLeftOut` line.
    """

    def __init__(
        self, host: str, timers: TimerService, meters: Meters, descriptor: int = 1
    ) -> None:
        self._meters = meters
        self._host = host
        self._timers = timers
        self._descriptor = descriptor
        self._window_ms = 0.0
        self._written_counts: dict[str, int] = {}
        self._left_out_counts: dict[str, int] = {}
        self._queued_lines: deque[bytes] = deque()
        self._queued_bytes = 0
        os.set_blocking(descriptor, False)

    @property
    def left_out_counts(self) -> dict[str, int]:
        """Number of lines not written in the current window.

        The key is the event class, or the place of a program log record. `queue_full`
        counts lines of any kind that did not fit into the queue.
        """
        return dict(self._left_out_counts)

    def record(self, event: Event) -> None:
        """Write an event, or only count it beyond the rate limit of its class."""
        event_name = type(event).__name__
        self._meters.count("events_total", event=event_name)
        max_lines = (
            REFUSAL_LINES_PER_S if isinstance(event, StatementRefused) else LINES_PER_S
        )
        if not self._may_write(event_name, max_lines):
            self._meters.count("events_left_out_total", event=event_name)
            return
        line: dict[str, Any] = {
            "time_ms": self._timers.wall_clock_ms(),
            "host": self._host,
            "event": event_name,
        }
        for field in fields(event):
            value = getattr(event, field.name)
            line[field.name] = round(value, 1) if isinstance(value, float) else value
        self._enqueue_line(_encode_line(line))

    def write_log_record(
        self, level: str, message: str, location: str, error: str
    ) -> None:
        """Write a program log record.

        It is only counted beyond the rate limit of its place in the program, so that an
        error that repeats leaves room for the lines that tell its cause.
        """
        self._meters.count("log_records_total", level=level)
        if not self._may_write(location, LINES_PER_S):
            return
        line = {
            "time_ms": self._timers.wall_clock_ms(),
            "host": self._host,
            "level": level,
            "message": message,
            "place": location,
        }
        if error:
            line["error"] = error
        self._enqueue_line(_encode_line(line))

    def flush(self) -> None:
        """Write queued lines until the queue is empty or a write would block."""
        while self._queued_lines:
            data = self._queued_lines[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the host goes on without a log.
                self._queued_lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= count
            if count < len(data):
                self._queued_lines[0] = data[count:]
                return
            self._queued_lines.popleft()

    def _may_write(self, kind: str, max_lines: int) -> bool:
        """Count a line of a kind; False beyond the limit of the current window."""
        now_ms = self._timers.now_ms()
        if now_ms - self._window_ms >= WINDOW_MS:
            self._begin_window(now_ms)
        is_allowed = self._written_counts.get(kind, 0) < max_lines
        counts = self._written_counts if is_allowed else self._left_out_counts
        counts[kind] = counts.get(kind, 0) + 1
        return is_allowed

    def _begin_window(self, now_ms: float) -> None:
        left_out_counts, self._left_out_counts = self._left_out_counts, {}
        self._window_ms = now_ms
        self._written_counts.clear()
        if left_out_counts:
            line = {
                "time_ms": self._timers.wall_clock_ms(),
                "host": self._host,
                "event": "EventsLeftOut",
                "counts": left_out_counts,
            }
            self._enqueue_line(_encode_line(line))

    def _enqueue_line(self, line: bytes) -> None:
        is_full = self._queued_bytes + len(line) > MAX_QUEUED_BYTES
        if is_full or len(self._queued_lines) >= MAX_QUEUED_LINES:
            self._left_out_counts["queue_full"] = (
                self._left_out_counts.get("queue_full", 0) + 1
            )
        else:
            self._queued_lines.append(line)
            self._queued_bytes += len(line)
        self.flush()


def _encode_line(line: dict[str, Any]) -> bytes:
    """Encode a line; values that JSON cannot hold are written as text."""
    try:
        return msgspec.json.encode(line) + b"\n"
    except (OverflowError, UnicodeEncodeError):
        texts = {
            key: str(value).encode(errors="backslashreplace").decode()
            for key, value in line.items()
        }
        return msgspec.json.encode(texts) + b"\n"


class _EventLogHandler(standard_logging.Handler):
    """Logging handler that forwards records to the event log."""

    def __init__(self, log: JsonEventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Forward one record."""
        error = ""
        if record.exc_info:
            error = standard_logging.Formatter().formatException(record.exc_info)
        self._log.write_log_record(
            record.levelname.lower(),
            record.getMessage(),
            f"{record.filename}:{record.lineno}",
            error,
        )


def route_absl_logging(log: JsonEventLog) -> None:
    """Send absl log records and uncaught exceptions to the event log."""
    logging.set_verbosity(logging.INFO)
    logger = logging.get_absl_logger()
    logger.handlers = [_EventLogHandler(log)]
    logger.propagate = False
    sys.excepthook = lambda error_type, error, traceback: logging.error(
        "uncaught exception", exc_info=(error_type, error, traceback)
    )
