"""Background tasks with error logging."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from zincwell._supervision import supervisor

log = logging.getLogger("zincwell.tasks")


class BackgroundTasks:
    """Group of background tasks that are cancelled together.

    Exceptions of these tasks are logged with a traceback at once, since nothing awaits the tasks.
    """

    def __init__(self) -> None:
        # A dict, in order of creation: a set of tasks is ordered by their addresses in memory, and
        # the order of cancellation would differ from run to run.
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task that runs a coroutine, whose result is not used."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)

    def keep_running(
        self,
        run: Callable[[], Awaitable[None]],
        *,
        name: str,
        essential: bool = True,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Start a loop that is started again if it fails; see `LoopSupervisor.keep_running`."""
        self.spawn(
            supervisor.keep_running(run, name=name, essential=essential, on_failure=on_failure)
        )

    def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("task_failed task=%s", task.get_coro(), exc_info=task.exception())
