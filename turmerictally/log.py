"""Set up logging: short sentences with a fixed prefix for each part."""

import contextvars
import json
import logging
import sys

request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)

_PACKAGE = "turmerictally."


class PlainFormatter(logging.Formatter):
    """Write ``time LEVEL part: message [request id]``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of text, followed by a traceback if there is one."""
        when = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        line = f"{when} {record.levelname} {part(record)}: {record.getMessage()}"
        current = request_id.get()
        if current:
            line = f"{line} [{current}]"
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


class JsonFormatter(logging.Formatter):
    """Write one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        entry = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname,
            "part": part(record),
            "message": record.getMessage(),
        }
        current = request_id.get()
        if current:
            entry["request_id"] = current
        if record.exc_info:
            entry["traceback"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def part(record: logging.LogRecord) -> str:
    """Return the part of the system that logged a record."""
    name = record.name.removeprefix(_PACKAGE)
    return name.split(".")[0]


def setup(level: str, json_lines: bool) -> None:
    """Send all logs to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if json_lines else PlainFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "hypercorn.access", "h2", "hpack"):
        logging.getLogger(noisy).setLevel("WARNING")
