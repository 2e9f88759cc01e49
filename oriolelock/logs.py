"""
oriolelock.logs
~~~~~~~~~~~~~~~

    Log set-up: short sentences with a fixed prefix per part, as text or as JSON lines.
"""

import json
import sys

import logbook

__all__ = ["get_logger", "set_up"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: {record.message}"
)


def get_logger(prefix: str) -> logbook.Logger:
    """Return the logger of one part; ``prefix`` starts each of its lines."""
    return logbook.Logger(prefix)


def _json_line(record, handler) -> str:
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    fields.update(record.extra)
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields, default=str)


def set_up(level: str = "INFO", json_lines: bool = False) -> None:
    """Send all log records of the process to standard error.

    ``level`` is a logbook level name. Raises LookupError for an unknown one.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=TEXT_FORMAT)
    if json_lines:
        handler.formatter = _json_line
    handler.push_application()
