"""Configuration of logging as JSON lines or as text."""

import logging as standard_logging

import msgspec
from absl import logging

_MS_PER_S = 1_000


class _JsonFormatter(standard_logging.Formatter):
    """Format each record as a JSON object on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as JSON, with its traceback if it has one."""
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
    """Log at level INFO to standard error; `log_format` is "json" or "text"."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    if log_format == "json":
        handler.setFormatter(_JsonFormatter())
