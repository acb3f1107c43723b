"""Ends of runs: which entries have yet to learn of them, and which ends workers may forget.

A worker forgets an end once it is acknowledged. If the owner is lost before the waiting entries
know of the end, nobody does, and the next owner runs the task again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from zincwell.dispatch._types import TaskId

# An end is acknowledged after this time even if an entry has not confirmed its report. Workers
# require acknowledgements within 4 s.
REPORT_TIMEOUT_S = 3.0


@dataclass(slots=True, kw_only=True, eq=False)
class _Report:
    """An end that is reported to entries.

    :param entries: names of the entries that have not confirmed it. Empty if no entry has claimed
        the job yet.
    :param due_at: event loop time at which it counts as known.
    :param listeners: called once it is known.
    """

    entries: set[str]
    due_at: float
    listeners: list[Callable[[], None]] = field(default_factory=list)


class EndReports:
    """Ends of tasks that the entries with waiting callers do not know for certain yet."""

    def __init__(self) -> None:
        self._reports_by_job: dict[str, dict[TaskId, _Report]] = {}

    def expect(self, task: TaskId, entries: Collection[str], *, now: float) -> None:
        """Wait until each of these entries has confirmed the end of a task.

        :param entries: empty for a task of a job that no entry has submitted to this owner yet.
        """
        report = self._find(task)
        if report is None:
            report = _Report(entries=set(), due_at=now + REPORT_TIMEOUT_S)
            self._reports_by_job.setdefault(task.job, {})[task] = report
        report.entries.update(entries)

    def call_when_known(self, task: TaskId, listener: Callable[[], None]) -> bool:
        """Call a listener once the end of a task is known; return False if it is known already."""
        report = self._find(task)
        if report is None:
            return False
        report.listeners.append(listener)
        return True

    def note_known(self, entry: str, job: str, tasks: Collection[TaskId] | None = None) -> None:
        """Record that an entry knows of the ends of tasks of a job.

        :param tasks: None for all tasks, because the entry knows the outcome of the job.
        """
        for task, report in list(self._reports_by_job.get(job, {}).items()):
            if tasks is not None and task not in tasks:
                continue
            report.entries.discard(entry)
            if not report.entries:
                self._finish(task)

    def finish_overdue(self, now: float) -> None:
        """Count the reports as known that were not confirmed in time."""
        for task, report in list(self._all()):
            if report.due_at <= now:
                self._finish(task)

    def _find(self, task: TaskId) -> _Report | None:
        return self._reports_by_job.get(task.job, {}).get(task)

    def _all(self) -> Iterator[tuple[TaskId, _Report]]:
        for reports_by_task in self._reports_by_job.values():
            yield from reports_by_task.items()

    def _finish(self, task: TaskId) -> None:
        reports_by_task = self._reports_by_job[task.job]
        report = reports_by_task.pop(task)
        if not reports_by_task:
            del self._reports_by_job[task.job]
        for listener in report.listeners:
            listener()


class EndAcknowledgements:
    """Which of the ends that one incarnation of a worker has reported it may forget.

    :ivar processed: number of the last end that was processed.
    """

    def __init__(self) -> None:
        self.processed = 0
        self._held: set[int] = set()
        self._released = asyncio.Event()

    def acknowledged(self) -> int:
        """Return the number up to which the worker may forget all ends."""
        return min(self._held) - 1 if self._held else self.processed

    def has_held(self) -> bool:
        """Return whether a processed end may not be acknowledged yet."""
        return bool(self._held)

    def hold(self, number: int) -> None:
        """Acknowledge neither an end nor those after it until it is released."""
        self._held.add(number)

    def release(self, number: int) -> None:
        """Let an end be acknowledged."""
        self._held.discard(number)
        self._released.set()

    async def wait_until_released(self, timeout_s: float) -> None:
        """Wait until all processed ends may be acknowledged, at most for a time in seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._held:
                    self._released.clear()
                    await self._released.wait()
        except TimeoutError:
            pass  # The worker reports the held ends again.
