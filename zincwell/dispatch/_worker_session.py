"""The owner's session with one worker: leases, starts, and what became of each run."""

from __future__ import annotations

import abc
import asyncio
import logging

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._runs import Run, RunOutcome
from zincwell.dispatch._types import Limits, TaskId, WorkerInfo
from zincwell.dispatch._worker_calls import HOLD_WAIT_S, WorkerCalls
from zincwell.dispatch.decisions import (
    MAX_ANSWER_TIMEOUT_S,
    MAX_LOOP_LAG_S,
    AnswerLossDetector,
    choose_long_poll_wait_s,
)
from zincwell.dispatch.ports import (
    ActiveRun,
    EndKind,
    HoldReply,
    StartStatus,
    WorkerCallError,
    WorkerClient,
    WorkerFencedError,
    WorkerReplacedError,
)

log = logging.getLogger("zincwell.worker")

# A stop is sent again if the run is still listed after this many seconds.
STOP_RETRY_S = 0.15
# Pause between attempts to reach a silent worker.
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4
UNLISTED_PAUSE_S = 1.0
# A worker that left the list without a word is forgotten after this long. Partitions of a
# failure domain last seconds, between regions minutes.
FORGET_S = 120.0
# One that said it would leave is gone; a lease on it has lapsed by then.
LEFT_S = 2.0
# A worker that did not answer for this long may obey another owner by now, so it has to show
# again what it runs.
UNSEEN_S = 0.5
# Starts nothing for this long after the worker called itself unhealthy.
UNHEALTHY_PAUSE_S = 0.5


class WorkerObserver(abc.ABC):
    """What a session tells the owner."""

    @abc.abstractmethod
    def on_held(self, session: WorkerSession) -> None:
        """Note that the worker took the fencing token and showed what it runs."""

    @abc.abstractmethod
    def on_capacity_available(self) -> None:
        """Note that a worker may have room again."""

    @abc.abstractmethod
    def on_run_added(self, session: WorkerSession, run: Run) -> None:
        """Note that a run was ordered or adopted."""

    @abc.abstractmethod
    def on_run_ended(self, session: WorkerSession, run: Run, outcome: RunOutcome) -> None:
        """Note that a run has left the worker."""

    @abc.abstractmethod
    def min_poll_interval_s(self) -> float:
        """Return the least time between two calls to a worker that this owner can bear."""

    @abc.abstractmethod
    def on_progress_reported(self, session: WorkerSession, clock_ms: int) -> None:
        """Note that the worker has shown how far its runs are, at a time of its clock."""

    @abc.abstractmethod
    def on_orphaned_run(self, session: WorkerSession, task: TaskId, number: int) -> Run | None:
        """Return the run to adopt for a task that an earlier owner started, or None."""

    @abc.abstractmethod
    def on_orphaned_run_ended(self, task: TaskId, kind: EndKind) -> None:
        """Note the end of a run that this owner did not order."""

    @abc.abstractmethod
    def on_fenced(self, session: WorkerSession) -> None:
        """Note that the worker obeys another owner now."""


class WorkerSession:
    """Gives one worker orders under a fencing token and follows its runs.

    A worker that answers nothing is not dead: what it runs goes on until its lease lapses. So a
    run is given up only once no lease that was ever asked for can still be valid.
    """

    def __init__(
        self,
        *,
        info: WorkerInfo,
        client: WorkerClient,
        observer: WorkerObserver,
        fence: int,
        limits: Limits,
        losses: AnswerLossDetector,
        renew_only_adopted: bool = False,
    ) -> None:
        self.info = info
        self.runs: dict[TaskId, Run] = {}
        self.orphaned_runs: dict[TaskId, int] = {}
        self.orphaned_since = 0.0
        self.held = False
        self.silent = False
        self.fenced = False
        self.replaced = False
        self.evacuated = False
        self.pause_until = 0.0
        self.quarantined_until = 0.0
        self.on_probation = False
        self.consecutive_failures = 0
        self.failed_jobs: set[str] = set()
        self._used_cpu = 0
        self._used_memory = 0
        self._used_gpu = 0
        self.last_answer_at = 0.0
        self._busy_at = 0.0
        self._asked_until = 0.0
        self._renew_only_adopted = renew_only_adopted
        self._losses = losses
        self._observer = observer
        self._calls = WorkerCalls(info=info, client=client, fence=fence, limits=limits)
        self._loop = asyncio.get_running_loop()
        self._listed = True
        self._unlisted_at = 0.0
        self._retry = asyncio.Event()
        self._tasks = BackgroundTasks()

    # -- life -------------------------------------------------------------------------------

    def open(self) -> None:
        """Begin to hold the worker."""
        self._tasks.spawn(self._hold_forever())

    def close(self) -> None:
        """Stop giving orders."""
        self.held = False
        self._tasks.close()

    def set_listed(self, listed: bool) -> None:
        """Note whether the platform's list has the worker."""
        if listed == self._listed:
            return
        self._listed = listed
        self._unlisted_at = self._loop.time()
        self._retry.set()

    def is_gone(self) -> bool:
        """Return whether the worker need not be looked after any more.

        A worker that is cut off together with its failure domain leaves the list, too, and runs
        on under whoever is the owner there. It must be seen again before anything is started
        that it may run.
        """
        if self._listed or self.runs or not self.silent:
            return False
        forget_s = LEFT_S if self.info.draining else FORGET_S
        return self.replaced or self._loop.time() - self._unlisted_at > forget_s

    def update(self, info: WorkerInfo) -> None:
        """Take over what the platform's list says now."""
        self.info = info

    def raise_fence(self, fence: int) -> None:
        """Give orders under a higher fencing token from now on.

        A silent worker is tried at once: with a healed partition behind the new token, what runs
        there lapses within a second unless it is held.
        """
        self._calls.fence = fence
        self._renew_only_adopted = False
        self._retry.set()
        if self.fenced:
            self.fenced = False
            self.held = False

    def can_start(self, now: float) -> bool:
        """Return whether tasks may be placed here at all."""
        return (
            self.held
            and not self.silent
            and not self.fenced
            and self.is_schedulable()
            and not self.orphaned_runs
            and now >= self.pause_until
            and now >= self.quarantined_until
            and not (self.on_probation and self.runs)
        )

    def can_serve(self, now: float) -> bool:
        """Return whether the worker takes part in what the owner can do."""
        return (
            self.held
            and not self.silent
            and self.is_schedulable()
            and now >= self.quarantined_until
        )

    def is_schedulable(self) -> bool:
        """Return whether the worker is to get new work: it neither leaves nor is evacuated."""
        return not self.info.draining and not self.evacuated

    def quarantine(self, *, until: float) -> None:
        """Start nothing until a moment, and one run at a time after it until one shows speed."""
        self.quarantined_until = until
        self.on_probation = True

    def count_of_step(self, job: str, step: int) -> int:
        """Return how many tasks of a step run here."""
        return sum(1 for task in self.runs if task.job == job and task.step == step)

    # -- orders -----------------------------------------------------------------------------

    def start(self, run: Run, *, spec: str) -> None:
        """Order a run; the observer learns how it ends."""
        if self._asked_until - self._loop.time() > HOLD_WAIT_S:
            self._loop.call_later(HOLD_WAIT_S, self._extend_early, self._asked_until)
        self._add(run)
        self._tasks.spawn(self._start(run, spec))

    def _extend_early(self, asked_until: float) -> None:
        """Extend the lease though a long call of a quiet worker is still open.

        Left to that call, a run that began meanwhile could be near the end of its lease when the
        owner is lost, and lapse before the next one holds it.
        """
        if self._asked_until == asked_until and self._loop.time() < asked_until and self.runs:
            self._tasks.spawn(self._extend())

    async def _extend(self) -> None:
        try:
            await self._hold(0.0)
        except WorkerFencedError:
            self._note_fenced()
        except (WorkerCallError, WorkerReplacedError) as error:
            # The open call shows it as well, and decides what becomes of the runs.
            log.info('hold_unanswered worker=%s error="%s"', self.info.id, error)

    def stop(self, run: Run) -> None:
        """Order the end of a run; it keeps its room until the worker lists it as ended."""
        run.stopping = True
        run.stop_sent_at = self._loop.time()
        self._tasks.spawn(self._stop(run.task, run.number))

    def stop_orphaned_runs(self) -> None:
        """Order the end of runs that belong to no job of this owner."""
        for task, number in self.orphaned_runs.items():
            self._tasks.spawn(self._stop(task, number))

    def adopt(self, run: Run) -> None:
        """Take over a run that an earlier owner started."""
        self.orphaned_runs.pop(run.task, None)
        run.confirmed_at = self._loop.time()
        run.answered = True
        self._add(run)

    async def _start(self, run: Run, spec: str) -> None:
        self._look_later(run)
        try:
            reply = await self._calls.start(run, spec)
        except WorkerCallError as error:
            self._note_unanswered(run, error)
            return
        except WorkerFencedError:
            self._leave(run, RunOutcome.NOT_STARTED)
            self._note_fenced()
            return
        except WorkerReplacedError:
            self._note_replaced()
            return
        run.answered = True
        if reply.status is StartStatus.STARTED:
            run.confirmed_at = run.confirmed_at or self._loop.time()
            if reply.clock_ms is not None:
                run.note_started(reply.clock_ms)
            return
        self._refused(run, reply.status)

    def _note_unanswered(self, run: Run, error: WorkerCallError) -> None:
        """Leave a start in doubt: the next holds tell whether it runs.

        Past its deadline it can't begin any more. A worker that has answered other calls since
        then is not silent.
        """
        log.warning(
            'start_unanswered worker=%s task=%s run=%d error="%s"',
            self.info.id,
            run.task,
            run.number,
            error,
        )
        run.answered = True
        if self.last_answer_at < run.ordered_at:
            self.silent = True

    def _look_later(self, run: Run) -> None:
        due_at = self._loop.time() + self._calls.answer_timeout_s()
        self._loop.call_at(due_at, self._look_into, run, due_at)

    def _look_into(self, run: Run, due_at: float) -> None:
        """Find out what became of a start if its answer is overdue.

        If this entry itself is late, answers lie unread in its sockets. Two calls more for each
        start would make it later still, so it looks again after another while.
        """
        if run.answered or run.confirmed_at is not None or self.runs.get(run.task) is not run:
            return
        if self._loop.time() - due_at > MAX_LOOP_LAG_S:
            self._look_later(run)
        else:
            self._tasks.spawn(self._resolve(run))

    async def _resolve(self, run: Run) -> None:
        """Find out at once what became of a start that is not answered.

        An order that got lost may be carried out until its deadline, so a task of 60 ms would wait
        for 400. If the worker does not show the run, it is told to stop it: from then on it
        refuses that run, and the task can start elsewhere. With one order in fifteen lost, this
        is what jobs of several tasks mostly wait for.
        """
        try:
            await self._hold(0.0)
            if run.confirmed_at is not None or self.runs.get(run.task) is not run:
                return
            await self._calls.stop(run.task, run.number)
            run.voided_at = self._loop.time()
            log.info("start_voided worker=%s task=%s run=%d", self.info.id, run.task, run.number)
            await self._hold(0.0)
        except WorkerFencedError:
            self._note_fenced()
        except WorkerReplacedError:
            self._note_replaced()
        except WorkerCallError as error:
            log.info('start_in_doubt worker=%s task=%s error="%s"', self.info.id, run.task, error)

    def _refused(self, run: Run, status: StartStatus) -> None:
        log.info(
            "start_refused worker=%s task=%s run=%d status=%s free_cpu=%d",
            self.info.id,
            run.task,
            run.number,
            status.name,
            self.free_cpu,
        )
        if status in (StartStatus.UNHEALTHY, StartStatus.NO_ROOM):
            pause = UNHEALTHY_PAUSE_S if status is StartStatus.UNHEALTHY else RETRY_PAUSE_S
            self.pause_until = self._loop.time() + pause
            self._loop.call_later(pause, self._observer.on_capacity_available)
        outcome = RunOutcome.FAILED if status is StartStatus.INVALID else RunOutcome.NOT_STARTED
        self._leave(run, outcome)

    async def _stop(self, task: TaskId, number: int) -> None:
        try:
            await self._calls.stop(task, number)
        except WorkerFencedError:
            self._note_fenced()
        except (WorkerCallError, WorkerReplacedError) as error:
            # The hold loop sees whether it still runs, and orders the stop again.
            log.info('stop_unanswered worker=%s task=%s error="%s"', self.info.id, task, error)

    # -- the lease --------------------------------------------------------------------------

    async def _hold_forever(self) -> None:
        failures = 0
        while True:
            try:
                if failures == 0 and not self.silent and self.held:
                    await self._hold_until_an_end()
                else:
                    await self._hold(0.0)
                failures = 0
                continue
            except WorkerFencedError:
                self._note_fenced()
            except WorkerReplacedError:
                self._note_replaced()
            except WorkerCallError as error:
                if failures == 0:
                    log.warning(
                        'worker_silent worker=%s runs=%d error="%s"',
                        self.info.id,
                        len(self.runs),
                        error,
                    )
                self.silent = True
            failures += 1
            if self._loop.time() - self.last_answer_at > UNSEEN_S:
                self.held = False
            if self.runs and self._calls.has_lapsed():
                log.warning("lease_lapsed worker=%s runs=%d", self.info.id, len(self.runs))
                self._leave_all()
            await self._pause(failures)

    async def _pause(self, failures: int) -> None:
        """Wait before the next try; a worker that is back in the list is tried at once."""
        pause_s = min(RETRY_PAUSE_S * failures, MAX_RETRY_PAUSE_S)
        if not self._listed or self.replaced:
            pause_s = UNLISTED_PAUSE_S
        self._retry.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._retry.wait()
        except TimeoutError:
            pass  # The pause is over.

    async def _hold_until_an_end(self) -> None:
        """Hold the worker and wait for an end; if the answer is lost, ask again at once.

        Ends that come meanwhile would be heard half a second later: that is ten times the run time
        of the shortest tasks, and with one call in fifteen lost it is what most jobs wait for.
        """
        now = self._loop.time()
        wait_s = choose_long_poll_wait_s(
            max_wait_s=HOLD_WAIT_S,
            next_end_s=self._next_end_s(now),
            lossy=self._losses.is_lossy(now),
            min_wait_s=self._observer.min_poll_interval_s(),
            idle_s=now - self._busy_at,
        )
        self._asked_until = now + wait_s
        answer_timeout_s = self._calls.answer_timeout_s()
        try:
            await self._hold(wait_s, answer_timeout_s=answer_timeout_s)
        except WorkerCallError as error:
            late_s = self._loop.time() - now - wait_s - answer_timeout_s
            log.info('hold_lost worker=%s error="%s"', self.info.id, error)
            asked_at = self._loop.time()
            await self._hold(0.0)
            self._losses.note_timeout(
                self._loop.time(),
                late_s=late_s,
                answer_timeout_s=answer_timeout_s,
                next_answer_s=self._loop.time() - asked_at,
            )

    def _next_end_s(self, now: float) -> float | None:
        """Return when the next run here should end, in seconds from now; None if there is none."""
        lefts = (run.left_s(now, expected_s=run.expected_s) for run in self.runs.values())
        return min(lefts, default=None)

    async def _hold(self, wait_s: float, *, answer_timeout_s: float = MAX_ANSWER_TIMEOUT_S) -> None:
        sent_at = self._loop.time()
        reply = await self._calls.hold(
            extend=self._may_extend(), wait_s=wait_s, answer_timeout_s=answer_timeout_s
        )
        self.last_answer_at = self._loop.time()
        self._apply(reply, sent_at)
        if self.silent:
            log.info("worker_back worker=%s runs=%d", self.info.id, len(self.runs))
            self.silent = False
            self._observer.on_capacity_available()
        if not self.held:
            self.held = True
            self._observer.on_held(self)

    def _may_extend(self) -> bool:
        """Return whether what runs on the worker may run on.

        A silent worker is asked without a lease: it may hear what it does not answer, and every
        lease that was asked for puts off the moment when its runs are surely dead.

        Unknown runs of an owner that may live behind a partition are not extended when
        ``renew_only_adopted`` is set: it counts on their lapsing and starts them elsewhere.
        """
        if self.silent:
            return False
        return not self._renew_only_adopted or (self.held and not self.orphaned_runs)

    def _apply(self, reply: HoldReply, sent_at: float) -> None:
        now = self._loop.time()
        for row in reply.ended:
            if row.number <= self._calls.acknowledged:
                continue
            self._calls.acknowledged = row.number
            self.orphaned_runs.pop(row.task, None)
            run = self.runs.get(row.task)
            if run is None or run.number != row.run:
                self._observer.on_orphaned_run_ended(row.task, row.kind)
                continue
            self._leave(run, _outcome_of(row.kind))
        if not self._calls.clock.update(reply.clock_ms):
            # Overtaken by a later answer on another connection, so what it lists may have ended.
            return
        listed = set()
        for row in reply.running:
            listed.add(row.task)
            self._see_running(row, reply.clock_ms, now)
        for run in list(self.runs.values()):
            if run.task not in listed and self._is_gone(run, reply.clock_ms, sent_at):
                outcome = (
                    RunOutcome.LOST if run.confirmed_at is not None else RunOutcome.NOT_STARTED
                )
                self._leave(run, outcome)
        for task in list(self.orphaned_runs):
            if task not in listed:
                del self.orphaned_runs[task]
        self._observer.on_progress_reported(self, reply.clock_ms)

    def _see_running(self, row: ActiveRun, clock_ms: int, now: float) -> None:
        run = self.runs.get(row.task)
        if run is None:
            run = self._observer.on_orphaned_run(self, row.task, row.run)
            if run is None:
                if not self.orphaned_runs:
                    self.orphaned_since = now
                self.orphaned_runs[row.task] = row.run
                return
            self.adopt(run)
        if run.number != row.run:
            return
        run.confirmed_at = run.confirmed_at or now
        run.note_progress(clock_ms, percent=row.percent)
        if run.stopping and now - run.stop_sent_at > STOP_RETRY_S:
            self.stop(run)

    def _is_gone(self, run: Run, clock_ms: int, sent_at: float) -> bool:
        """Return whether a run that is not listed is neither there nor can still begin.

        A worker refuses runs that it was told to stop, and starts whose deadline has passed.
        """
        if run.confirmed_at is not None:
            return sent_at > run.confirmed_at
        if run.voided_at is not None:
            return sent_at >= run.voided_at
        return run.answered and sent_at > run.ordered_at and clock_ms > run.start_deadline_ms

    # -- room -------------------------------------------------------------------------------
    # Negative while the worker's capacity has shrunk below what runs there.

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that are not in use."""
        return self.info.cpu - self._used_cpu

    @property
    def free_memory(self) -> int:
        """Memory that is not in use, in MB."""
        return self.info.memory_mb - self._used_memory

    @property
    def free_gpu(self) -> int:
        """GPUs that are not in use."""
        return self.info.gpu - self._used_gpu

    def _add(self, run: Run) -> None:
        self.runs[run.task] = run
        self._observer.on_run_added(self, run)
        self._used_cpu += run.cpu
        self._used_memory += run.memory_mb
        self._used_gpu += run.gpu

    def _leave(self, run: Run, outcome: RunOutcome) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._busy_at = self._loop.time()
        self._used_cpu -= run.cpu
        self._used_memory -= run.memory_mb
        self._used_gpu -= run.gpu
        self._observer.on_run_ended(self, run, outcome)

    def _leave_all(self) -> None:
        """Give up all runs: the worker's life or its lease has ended."""
        self.orphaned_runs.clear()
        for run in list(self.runs.values()):
            self._leave(run, RunOutcome.LOST)

    def _note_replaced(self) -> None:
        if not self.silent:
            log.warning("worker_replaced worker=%s runs=%d", self.info.id, len(self.runs))
        self.silent = True
        self.replaced = True
        self._leave_all()

    def _note_fenced(self) -> None:
        self.fenced = True
        self._observer.on_fenced(self)


def _outcome_of(kind: EndKind) -> RunOutcome:
    if kind is EndKind.DONE:
        return RunOutcome.DONE
    if kind is EndKind.FAILED:
        return RunOutcome.FAILED
    return RunOutcome.STOPPED if kind is EndKind.STOPPED else RunOutcome.LOST
