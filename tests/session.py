"""Recorder of a session as text for a golden file, with varying values masked."""

from __future__ import annotations

import json
import re
from typing import Any

from tests.cluster import task_name

UUID = re.compile(r"\b[0-9a-f]{32}\b")
MASKED_FIELDS = {"created_at", "at"}


class Session:
    """Messages between callers and entries, in order, and the tasks that workers started."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def sent(self, actor: str, to: str, message: Any) -> None:
        self._lines.append(f"{actor} -> {to}: {_text(message)}")

    def answered(self, actor: str, by: str, status: int, message: Any) -> None:
        self._lines.append(f"{actor} <- {by}: {status} {_text(message)}")

    def note(self, text: str) -> None:
        self._lines.append(f"-- {text}")

    def ledger(self, starts: list[dict]) -> None:
        """Record the started tasks by name; their workers and their order vary between runs."""
        names = sorted(_text(task_name(start["id"])) for start in starts)
        self._lines.append(f"-- {len(names)} starts at the workers")
        self._lines += [f"started {name}" for name in names]

    def text(self) -> str:
        return "\n".join(self._lines) + "\n"


def _text(message: Any) -> str:
    return UUID.sub("<id>", json.dumps(_mask(message), sort_keys=True))


def _mask(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: "<time>" if k in MASKED_FIELDS else _mask(v) for k, v in value.items()}
    if isinstance(value, list):
        return [_mask(item) for item in value]
    return value
