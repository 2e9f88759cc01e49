"""
oriolelock.events
~~~~~~~~~~~~~~~~~

    Structured log lines on standard output: what was decided, from which inputs, about what.

    Each line is one JSON object with ``t`` (Unix seconds), ``part``, ``event`` and the fields
    of the event. Lines beyond a budget, or that the reader of the pipe does not take, are
    dropped and counted; writing never blocks.
"""

import fcntl
import json
import os

import logbook

from oriolelock import clock

__all__ = ["Events", "LineHandler", "set_up"]

# A line is written whole or not at all: pipes take up to this many bytes at once.
MAX_LINE_BYTES = 3900
MAX_VALUE_CHARS = 200
# At 60 requests a second with two lines each there is room for as much again.
LINES_PER_S = 240.0
BURST_LINES = 600.0
# Usual outcomes leave this part of the budget to refusals, failures and changes.
RESERVED_PART = 0.4

STDOUT = 1


class LineHandler(logbook.Handler):
    """A log handler that writes JSON lines to a file descriptor without ever waiting."""

    def __init__(self, fd: int = STDOUT, level: str = "INFO"):
        super().__init__(level=level, bubble=False)
        self._fd = fd
        self._room = BURST_LINES
        self._at_s = clock.monotonic_s()
        self.dropped = 0
        fcntl.fcntl(fd, fcntl.F_SETFL, fcntl.fcntl(fd, fcntl.F_GETFL) | os.O_NONBLOCK)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        fields = {"t": round(clock.wall_s(), 3), "level": record.level_name.lower()}
        fields["part"] = record.channel
        fields["event"] = record.extra.get("event") or "message"
        for key, value in record.extra.items():
            if key != "event":
                fields[key] = _bounded(value)
        if "event" not in record.extra:
            fields["text"] = _bounded(record.message)
        if record.exc_info:
            fields["exception"] = str(record.formatted_exception)[-1500:]
        self.write(fields, is_usual=record.level <= logbook.INFO)

    def write(self, fields: dict, is_usual: bool) -> None:
        """Write a line if there is room; ``is_usual`` lines leave room to others."""
        now = clock.monotonic_s()
        self._room = min(BURST_LINES, self._room + (now - self._at_s) * LINES_PER_S)
        self._at_s = now
        if self._room < (RESERVED_PART * BURST_LINES if is_usual else 1.0):
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped_before"] = self.dropped
        line = json.dumps(fields, default=str, separators=(",", ":")).encode()
        try:
            os.write(self._fd, line[:MAX_LINE_BYTES] + b"\n")
        except OSError:
            # Nobody reads, or the reader is gone: the process must go on.
            self.dropped += 1
            return
        self._room -= 1.0
        self.dropped = 0


def _bounded(value):
    if isinstance(value, str) and len(value) > MAX_VALUE_CHARS:
        return value[:MAX_VALUE_CHARS] + "..."
    return round(value, 4) if isinstance(value, float) else value


class Events:
    """The events of one part of the process."""

    def __init__(self, part: str):
        self._log = logbook.Logger(part)

    def usual(self, event: str, **fields) -> None:
        """Log an expected outcome."""
        self._log.info(event, extra={"event": event, **fields})

    def notable(self, event: str, **fields) -> None:
        """Log a refusal, a failure, or a change of what the process believes."""
        self._log.notice(event, extra={"event": event, **fields})


def set_up(level: str = "INFO", fd: int = STDOUT) -> LineHandler:
    """Send all log records of the process to ``fd`` as JSON lines."""
    handler = LineHandler(fd, level.upper())
    handler.push_application()
    return handler
