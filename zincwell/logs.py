"""Logging set-up: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any, TextIO

from pythonjsonlogger.core import BaseJsonFormatter

FIELDS = ["asctime", "levelname", "name", "message"]
FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger", "message": "event"}


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the fields that python-json-logger collects as key=value pairs."""

    default_msec_format = "%s.%03d"

    def __init__(self) -> None:
        super().__init__(FIELDS, rename_fields=FIELD_NAMES)

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the line of one event; values are quoted as needed, see :func:`format_value`."""
        return " ".join(f"{key}={format_value(value)}" for key, value in log_data.items())


def format_value(value: object) -> str:
    """Return a value as text, in double quotes if it is empty or has spaces, quotes or an ``=``."""
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def configure_logging(level: str, *, stream: TextIO | None = None) -> None:
    """Write zincwell's log events to a stream.

    :param level: debug, info, warning or error.
    :param stream: standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger("zincwell")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False


# An owner under a load of 70 jobs/s writes about 300 lines/s. Lines above the limit are dropped.
MAX_LINES_PER_S = 1_000
STDOUT_DESCRIPTOR = 1


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, up to a limit per second.

    With blocking writes, a reader that stops reading would stall the process. Lines that can't be
    written at once or exceed the limit are dropped; a ``lines_dropped`` event reports their count.

    :param descriptor: standard output by default; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line or count it as dropped."""
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
            # The pipe is full or closed; the next ``lines_dropped`` event reports the count.
            self._dropped += 1


def configure_bounded_logging(level: int) -> None:
    """Write zincwell's log events to standard output without blocking.

    :param level: numeric level of :mod:`logging`.
    """
    handler = NonBlockingHandler()
    handler.setFormatter(
        logging.Formatter(
            "time=%(created).3f level=%(levelname)s logger=%(name)s event=%(message)s"
        )
    )
    root = logging.getLogger("zincwell")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
