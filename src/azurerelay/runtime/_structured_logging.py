"""Log lines as JSON objects or as text."""

import logging as standard_logging

import msgspec
from absl import logging

_MS_PER_S = 1_000


class _JsonFormatter(standard_logging.Formatter):
    """Format a record as one JSON object a line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        line = {
            "time_ms": int(record.created * _MS_PER_S),
            "level": record.levelname.lower(),
            "process": record.process,
            "message": record.getMessage(),
            "place": f"{record.filename}:{record.lineno}",
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logging(log_format: str) -> None:
    """Log to standard error in the given format, "json" or "text"."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    if log_format == "json":
        handler.setFormatter(_JsonFormatter())
