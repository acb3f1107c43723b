"""Runs of a worker that it lists neither as active nor as ended."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._clocks import MAX_CLOCK_DRIFT_RATE
from zincwell.dispatch._runs import Run
from zincwell.dispatch._types import TaskId
from zincwell.dispatch.decisions import ListingDelayEstimator, MissingRun, judge_missing_run

log = logging.getLogger("zincwell.worker")

# The clock of the event loop counts in milliseconds.
CLOCK_RESOLUTION_S = 0.002


class SharedPolls:
    """Polls of one worker that are shared by all who ask for one before it begins.

    One list may leave out hundreds of runs, and each answer lists all runs.

    :param poll: see `RunsInDoubt`.
    """

    def __init__(
        self,
        *,
        poll: Callable[[], Awaitable[bool]],
        min_interval_s: Callable[[], float],
        tasks: BackgroundTasks,
    ) -> None:
        self._poll = poll
        self._min_interval_s = min_interval_s
        self._tasks = tasks
        self._next: asyncio.Future[bool] | None = None
        self._began_at = -math.inf
        self._loop = asyncio.get_running_loop()

    async def poll(self) -> bool:
        """Wait for a poll that begins from now on; return its result."""
        if self._next is None:
            self._next = self._loop.create_future()
            self._tasks.spawn(self._poll_next())
        return await self._next

    async def _poll_next(self) -> None:
        # Others that wait for the same time join in this iteration of the event loop.
        await asyncio.sleep(max(self._began_at + self._min_interval_s() - self._loop.time(), 0.0))
        waiting, self._next = self._next, None
        self._began_at = self._loop.time()
        has_answered = False
        try:
            has_answered = await self._poll()
        finally:
            if not waiting.done():
                waiting.set_result(has_answered)


class RunsInDoubt:
    """Finds out whether runs that a worker does not list are active, and ends the doubt if not.

    The worker is asked once more. If it still does not list the run, it is sent a stop order. Once
    that is answered and the time for a stop has passed, the run has ended and can't start any more.
    Without this, the task would wait for the deadline of its order or for the end of its lease.

    :param is_known: returns whether a run still counts as one of the worker.
    :param poll: polls the worker once; returns whether its answer tells which runs are missing.
    :param min_poll_interval_s: returns the shortest interval in seconds between polls.
    :param stop: sends a stop order; returns whether the worker has answered it.
    :param on_missing: called for each run that a list leaves out.
    :param listing_delay: shared by the owner's sessions.
    :param stop_timeout_s: time in seconds that the platform allows for a stop.
    :param tasks: background tasks of the session with the worker.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        is_known: Callable[[Run], bool],
        poll: Callable[[], Awaitable[bool]],
        min_poll_interval_s: Callable[[], float],
        stop: Callable[[Run], Awaitable[bool]],
        on_missing: Callable[[], None],
        listing_delay: ListingDelayEstimator,
        stop_timeout_s: float,
        tasks: BackgroundTasks,
    ) -> None:
        self._worker_id = worker_id
        self._is_known = is_known
        self._polls = SharedPolls(poll=poll, min_interval_s=min_poll_interval_s, tasks=tasks)
        self._stop = stop
        self._on_missing = on_missing
        self._stop_timeout_s = stop_timeout_s * (1 + MAX_CLOCK_DRIFT_RATE)
        self._listing_delay = listing_delay
        self._tasks = tasks
        self._resolving: set[Run] = set()
        # Confirmed runs whose stop orders may have ended them.
        self._stopped: set[Run] = set()
        # Orphaned runs that the newest list leaves out.
        self._orphans: dict[TaskId, Run] = {}
        self._loop = asyncio.get_running_loop()

    def review(
        self,
        runs: Iterable[Run],
        *,
        listed: Collection[TaskId],
        asked_at: float,
        may_start: Callable[[Run], bool],
    ) -> list[Run]:
        """Review the runs that a list leaves out, and return those that have ended.

        :param listed: tasks of the runs that are listed as active.
        :param asked_at: event loop time at which the list was asked for.
        :param may_start: returns whether the worker may still execute an order of a run that was
            never confirmed.
        """
        verdicts = {
            run: self._judge(run, asked_at=asked_at, may_start=may_start)
            for run in runs
            if run.task not in listed
        }
        missing = [run for run, verdict in verdicts.items() if verdict is not MissingRun.UNKNOWN]
        for run in missing:
            has_ended = verdicts[run] is MissingRun.ENDED
            if has_ended or not run.missing:
                self._log(run, asked_at, missing=len(missing))
            run.missing = True
            if not has_ended:
                self.resolve(run)
        return [run for run in missing if verdicts[run] is MissingRun.ENDED]

    def _judge(self, run: Run, *, asked_at: float, may_start: Callable[[Run], bool]) -> MissingRun:
        if run.ended_with_incarnation:
            return MissingRun.ENDED
        return judge_missing_run(
            asked_at=asked_at,
            confirmed_at=run.confirmed_at,
            refused_since=run.refused_since,
            stop_timeout_s=self._stop_timeout_s,
            may_start=run.confirmed_at is None and may_start(run),
        )

    def review_orphans(
        self, number_by_task: Mapping[TaskId, int], *, listed: Collection[TaskId], asked_at: float
    ) -> list[TaskId]:
        """Review the orphaned runs that a list leaves out, and return the tasks of those ended.

        :param number_by_task: numbers of the orphaned runs.
        :param listed: tasks of the runs that are listed as active.
        :param asked_at: event loop time at which the list was asked for.
        """
        for task in [task for task in self._orphans if task in listed]:
            del self._orphans[task]
        for task, number in number_by_task.items():
            run = self._orphans.get(task)
            if task not in listed and (run is None or run.number != number):
                run = Run(task=task, number=number, cpu=0, memory_mb=0, gpu=0, ordered_at=asked_at)
                # A list has named it before.
                run.confirmed_at = asked_at - CLOCK_RESOLUTION_S
                self._orphans[task] = run
        ended = self.review(
            self._orphans.values(), listed=listed, asked_at=asked_at, may_start=lambda run: False
        )
        return [run.task for run in ended]

    def forget_orphan(self, task: TaskId) -> None:
        """Forget an orphaned run that has ended or belongs to a job."""
        self._orphans.pop(task, None)

    def forget_orphans(self) -> None:
        """Forget all orphaned runs."""
        self._orphans.clear()

    def note_stopped(self, run: Run) -> None:
        """Learn from a run that the worker has reported as stopped."""
        if run in self._stopped:
            self._stopped.discard(run)
            self._listing_delay.note_stopped_at_work()

    def resolve(self, run: Run) -> None:
        """Begin to find out about a run, unless that has begun."""
        if run not in self._resolving:
            self._resolving.add(run)
            self._tasks.spawn(self._resolve(run))

    async def _resolve(self, run: Run) -> None:
        try:
            if run.confirmed_at is not None:
                await asyncio.sleep(self._listing_delay.delay_s)
            if not await self._polls.poll():
                log.info("start_in_doubt worker=%s task=%s", self._worker_id, run.task)
                return
            if not self._is_in_doubt(run):
                return
            if run.confirmed_at is not None:
                self._stopped.add(run)
            if not await self._stop(run):
                log.info("start_in_doubt worker=%s task=%s", self._worker_id, run.task)
                return
            log.info("start_voided worker=%s task=%s run=%d", self._worker_id, run.task, run.number)
            await asyncio.sleep(self._stop_timeout_s + CLOCK_RESOLUTION_S)
            await self._polls.poll()
        finally:
            self._resolving.discard(run)
            self._stopped.discard(run)

    def _is_in_doubt(self, run: Run) -> bool:
        """Return whether a run was never confirmed, or is missing in the newest list."""
        is_known = self._is_known(run) or self._orphans.get(run.task) is run
        return is_known and (run.missing or run.confirmed_at is None)

    def _log(self, run: Run, asked_at: float, *, missing: int) -> None:
        """Log what is known of a run that the worker does not list and has not reported as ended.

        :param missing: number of such runs in the list.
        """
        now = self._loop.time()
        log.info(
            "run_missing worker=%s task=%s run=%d asked_ms=%d confirmed_ms=%s refused_ms=%s"
            " missing=%d",
            self._worker_id,
            run.task,
            run.number,
            (now - asked_at) * 1000,
            _format_age_ms(run.confirmed_at, now),
            _format_age_ms(run.refused_since, now),
            missing,
        )
        self._on_missing()


def _format_age_ms(at: float | None, now: float) -> str:
    return "" if at is None else str(int((now - at) * 1000))
