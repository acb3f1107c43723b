"""Background tasks whose errors are not lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("zincwell.tasks")


class BackgroundTasks:
    """Background tasks of one object, ended together.

    An error in a task that nobody awaits would show only as something that no longer happens;
    here it is logged with its traceback at once.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _note_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task_failed task=%s", task.get_coro(), exc_info=task.exception())
