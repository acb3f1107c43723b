"""Sample submissions, keys and outputs."""

from __future__ import annotations

import time
from typing import Any

from tests.cluster import Cluster


def make_submission(
    *, key: str, tasks: int = 8, sleep_ms: float = 50, attempt: int | None = 1, **fields: Any
) -> dict[str, Any]:
    """Return a submission of tasks that sleep and echo their number."""
    return {
        "key": key,
        "created_at": time.time(),
        "tenant": "school",
        "service": "transcriber",
        "tasks": [{"payload": {"sleep_ms": sleep_ms, "echo": n}} for n in range(tasks)],
        **({} if attempt is None else {"attempt": attempt}),
        **fields,
    }


def find_key_with_home(cluster: Cluster, *, domain: str, home: str) -> str:
    """Return a key with a given domain and home entry."""
    keys = (f"{domain}/page-{number}" for number in range(1_000))
    return next(key for key in keys if cluster.home_of(key).vm == home)


def list_outputs(answer: dict[str, Any]) -> list[Any]:
    """Return the outputs of an answer in the order of its tasks."""
    return [task.get("output") for task in answer["tasks"]]
