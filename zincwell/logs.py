"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys
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


def set_up_logs(level: str, *, stream: TextIO | None = None) -> None:
    """Send zincwell's events to a stream, standard error unless given.

    :param level: debug, info, warning or error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger("zincwell")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
