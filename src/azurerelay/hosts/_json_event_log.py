"""Events as JSON lines on standard output."""

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

# Lines of each kind of event a second; what goes beyond is counted, not written.
LINES_PER_S: Final = 20
REFUSALS_PER_S: Final = 60  # promises and failures are the last to go
BACKLOG_LINES: Final = 2_000
WINDOW_MS: Final = 1_000.0
_MS_PER_S: Final = 1_000


class JsonEventLog:
    """Write one JSON object a line, and never wait for the reader.

    Standard output may be a full pipe: lines wait in a bounded queue, and what finds
    it full is counted and reported with the next line that is written.
    """

    def __init__(
        self, host: str, timers: TimerService, meters: Meters, descriptor: int = 1
    ) -> None:
        self._meters = meters
        self._host = host
        self._timers = timers
        self._descriptor = descriptor
        self._window_ms = 0.0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self._queue: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    @property
    def left_out(self) -> dict[str, int]:
        """Events that were counted and not written, by kind, in this window."""
        return dict(self._left_out)

    def record(self, event: Event) -> None:
        """Write an event, or count it where the budget of its kind is used up."""
        now_ms = self._timers.now_ms()
        if now_ms - self._window_ms >= WINDOW_MS:
            self._begin_window(now_ms)
        kind = type(event).__name__
        self._meters.count("events_total", event=kind)
        budget = REFUSALS_PER_S if isinstance(event, StatementRefused) else LINES_PER_S
        if self._written.get(kind, 0) >= budget:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            self._meters.count("events_left_out_total", event=kind)
            return
        self._written[kind] = self._written.get(kind, 0) + 1
        line: dict[str, Any] = {
            "time_ms": self._timers.wall_ms(),
            "host": self._host,
            "event": kind,
        }
        for field in fields(event):
            value = getattr(event, field.name)
            line[field.name] = round(value, 1) if isinstance(value, float) else value
        self._push(msgspec.json.encode(line) + b"\n")

    def write_record(self, level: str, message: str, place: str, error: str) -> None:
        """Write a line of the program's own log."""
        line = {
            "time_ms": self._timers.wall_ms(),
            "host": self._host,
            "level": level,
            "message": message,
            "place": place,
        }
        if error:
            line["error"] = error
        self._push(msgspec.json.encode(line) + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._queue:
            data = self._queue[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; decisions go on without a log.
                self._queue.clear()
                return
            if count < len(data):
                self._queue[0] = data[count:]
                return
            self._queue.popleft()

    def _begin_window(self, now_ms: float) -> None:
        left_out, self._left_out = self._left_out, {}
        self._window_ms = now_ms
        self._written.clear()
        if left_out:
            line = {
                "time_ms": self._timers.wall_ms(),
                "host": self._host,
                "event": "EventsLeftOut",
                "counts": left_out,
            }
            self._push(msgspec.json.encode(line) + b"\n")

    def _push(self, line: bytes) -> None:
        if len(self._queue) >= BACKLOG_LINES:
            self._left_out["queue_full"] = self._left_out.get("queue_full", 0) + 1
        else:
            self._queue.append(line)
        self.flush()


class _AbslHandler(standard_logging.Handler):
    """Hand absl's records to the event log."""

    def __init__(self, log: JsonEventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one record."""
        error = ""
        if record.exc_info:
            error = standard_logging.Formatter().formatException(record.exc_info)
        self._log.write_record(
            record.levelname.lower(),
            record.getMessage(),
            f"{record.filename}:{record.lineno}",
            error,
        )


def route_absl(log: JsonEventLog) -> None:
    """Send all of absl's log lines to the event log."""
    logging.set_verbosity(logging.INFO)
    logger = logging.get_absl_logger()
    logger.handlers = [_AbslHandler(log)]
    logger.propagate = False
    sys.excepthook = lambda kind, error, trace: logging.error(
        "unexpected error", exc_info=(kind, error, trace)
    )
