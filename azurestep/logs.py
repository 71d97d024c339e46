"""Log output: JSON lines for programs, one short line for people."""

import logging
from datetime import UTC, datetime
from typing import Any, TextIO

import orjson

LOGGER_NAME = "azurestep"


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of a record."""
        line: dict[str, Any] = {
            **getattr(record, "fields", {}),
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "event": getattr(record, "event", 0),
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class HumanFormatter(logging.Formatter):
    """Formats a record as a line for a terminal."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        at = datetime.fromtimestamp(record.created).strftime("%H:%M:%S")
        number = getattr(record, "event", 0)
        fields = getattr(record, "fields", {})
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{at} {record.levelname:<7} {number:04d} {record.getMessage()}"
        return f"{line} {details}".rstrip()


FORMATTERS: dict[str, type[logging.Formatter]] = {
    "json": JsonFormatter,
    "human": HumanFormatter,
}


def configure_logs(stream: TextIO, log_format: str, log_level: str) -> None:
    """Send the program's log, and warnings of libraries, to a stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(FORMATTERS[log_format]())
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(log_level.upper())
    logger.propagate = False
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
