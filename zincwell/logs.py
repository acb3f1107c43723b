"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any, TextIO

from pythonjsonlogger.core import BaseJsonFormatter

FIELDS = ["asctime", "levelname", "name", "message"]
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger", "message": "event"}


class KeyValueFormatter(BaseJsonFormatter):
    """Renders the fields that python-json-logger collects as key=value pairs."""

    default_msec_format = "%s.%03d"

    def __init__(self) -> None:
        super().__init__(FIELDS, rename_fields=RENAMED)

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line; values with spaces, quotes or line breaks are quoted."""
        return " ".join(f"{key}={format_value(value)}" for key, value in log_data.items())


def format_value(value: object) -> str:
    """Return a value as it stands in a line of key=value pairs."""
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def configure_logging(level: str, *, stream: TextIO | None = None) -> None:
    """Send zincwell's events to a stream, standard error unless given.

    :param level: debug, info, warning or error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger("zincwell")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False


# A busy owner of 70 jobs a second writes some 300 lines a second; more than this is dropped.
MAX_LINES_PER_S = 1_000
STANDARD_OUTPUT = 1


class BoundedHandler(logging.Handler):
    """Writes lines to standard output without ever waiting for whoever reads them.

    A reader that stops reading would stop the process at the next line. Lines that can't be
    written at once, or beyond a number each second, are dropped, and a line tells how many.
    """

    def __init__(self, *, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                self._write(f"level=WARNING logger=zincwell event=lines_dropped count={dropped}")
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self._dropped += 1
            return
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:
            # Nobody reads, or not fast enough; the next line that passes tells the count.
            self._dropped += 1


def configure_bounded_logging(level: int) -> None:
    """Send zincwell's events to standard output; messages begin with the event's name."""
    handler = BoundedHandler()
    handler.setFormatter(
        logging.Formatter(
            "time=%(created).3f level=%(levelname)s logger=%(name)s event=%(message)s"
        )
    )
    root = logging.getLogger("zincwell")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
