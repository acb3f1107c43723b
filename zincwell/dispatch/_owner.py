"""The owner of a cell: takes jobs in, places their tasks, and tells how they ended."""

from __future__ import annotations

import abc
import asyncio
import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass
from time import perf_counter

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._clocks import MAX_CLOCK_DRIFT_RATE
from zincwell.dispatch._health import WorkerHealthMonitor
from zincwell.dispatch._job_registry import JobRegistry
from zincwell.dispatch._jobs import Job, Task, TaskState
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._overload import OverloadControl
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import Run, RunIndex, RunOutcome
from zincwell.dispatch._scheduler import Scheduler
from zincwell.dispatch._types import JobRequest, Limits, Outcome, TaskId, Verdict, WorkerInfo
from zincwell.dispatch._worker_session import WorkerObserver, WorkerSession
from zincwell.dispatch._worker_set import WorkerSet
from zincwell.dispatch.decisions import (
    NO_WORKERS_BACKLOG_S,
    AnswerLossDetector,
    min_poll_interval_s,
)
from zincwell.dispatch.ports import EndKind, WorkerClient

log = logging.getLogger("zincwell.owner")

# Run numbers of one owner for one task; the fencing token, which rises, makes up the rest.
RUNS_PER_FENCE = 64
# Entries hand their jobs over within some 10 ms of the new owner's first heartbeat. What belongs
# to no job after this many seconds is stopped. A partitioned owner counts its runs as lapsed
# 1.3 s after its last renewal at the earliest, so this must stay well below.
ORPHAN_GRACE_S = 0.3
# A new owner that is also an heir to workers it can't reach waits until every lease there must
# have lapsed before it starts tasks that may run there.
SETTLE_MARGIN_S = 0.05
# A new owner starts nothing for this many seconds, unless all its workers have shown earlier what
# they run. A job that a caller has sent again looks like any other, and its runs, which the last
# owner began, may be on a worker that answers a few milliseconds after the others.
OPENING_S = 0.06
# Coming back is worth a try after this many seconds if workers are closed by operators, who take
# evacuations back by hand.
EVACUATED_RETRY_S = 5.0
# How often waiting jobs are looked at for having waited too long, in seconds.
REVIEW_S = 0.02


@dataclass(slots=True, frozen=True, kw_only=True)
class RunVisibility:
    """Whether everything that runs could be seen at a moment of the loop's clock."""

    at: float = -1.0
    complete: bool = False


@dataclass(slots=True, frozen=True, kw_only=True)
class CapacityStatus:
    """How an owner's workers stand.

    :param free_cpu: thousandths of a core where a usual task fits.
    :param backlog_s: seconds that the workers need for what waits.
    """

    free_cpu: int
    backlog_s: float


class OwnerListener(abc.ABC):
    """What an owner tells the entry that runs it."""

    @abc.abstractmethod
    def on_job_ended(self, job: str, entries: set[str], outcome: Outcome) -> None:
        """Pass an answer to the entries whose callers wait for it."""

    @abc.abstractmethod
    def on_tasks_done(self, job: str, entries: set[str], tasks: list[tuple[int, int]]) -> None:
        """Tell the entries which tasks need not run again."""

    @abc.abstractmethod
    def reaches_all_domains(self) -> bool:
        """Return whether an entry of each failure domain answers, and has for a while."""

    @abc.abstractmethod
    def has_evacuation_state(self) -> bool:
        """Return whether it is known which failure domains are evacuated."""

    @abc.abstractmethod
    def has_usable_worker_list(self) -> bool:
        """Return whether the list of workers is young enough to start tasks by it."""

    @abc.abstractmethod
    def worker_list_age_s(self) -> float:
        """Return how old the list of workers is that is known here, in seconds."""

    @abc.abstractmethod
    def on_superseded(self) -> None:
        """Find out who the owner is: a worker obeys a higher fencing token."""


class Owner(WorkerObserver):
    """Schedules all jobs on the workers that it holds.

    :param domain: only workers of this failure domain, or all if None. An entry that stands in
        for an owner behind a partition takes just its own.
    :param covers: tells which workers belong to the cell.
    :param renew_only_adopted: owners of other cells may count on the lapsing of runs that nobody
        here claims, so these are not extended.
    :param cores: processor that this entry may use.
    """

    def __init__(
        self,
        *,
        fence: int,
        domain: str | None,
        client: WorkerClient,
        listener: OwnerListener,
        limits: Limits,
        metrics: Metrics,
        cores: float = 1.0,
        covers: Callable[[WorkerInfo], bool] = lambda info: True,
        renew_only_adopted: bool = False,
    ) -> None:
        self._metrics = metrics
        self._cores = cores
        self._covers = covers
        self._renew_only_adopted = renew_only_adopted or domain is not None
        self._usual_cpu = 1
        self.fence = fence
        self.domain = domain
        self.jobs = JobRegistry(
            on_ended=self._on_job_ended, answer=listener.on_job_ended, metrics=metrics
        )
        self._client = client
        self._listener = listener
        self._limits = limits
        self._ended_elsewhere: dict[TaskId, EndKind] = {}
        self._loop = asyncio.get_running_loop()
        self._losses = AnswerLossDetector()
        self._workers = WorkerSet(serves=self._serves, make_session=self._make_session)
        self._run_visibility = RunVisibility()
        self._runs = RunIndex()
        self._run_times = JobRunTimeEstimator()
        self._scheduler = Scheduler(
            sessions_by_id=self._workers.sessions_by_id,
            may_start_tasks=self._may_start_tasks,
            may_have_orphaned_runs=self._may_have_orphaned_runs,
            next_run_number=self._next_run_number,
            run_times=self._run_times,
            worker_list_age_s=listener.worker_list_age_s,
            metrics=metrics,
        )
        self._overload = OverloadControl(
            queue=self._scheduler.queue,
            sessions_by_id=self._workers.sessions_by_id,
            run_times=self._run_times,
            start_delay_s=self._start_delay_s,
            clock=perf_counter,
        )
        self._health = WorkerHealthMonitor(
            sessions_by_id=self._workers.sessions_by_id,
            on_capacity_available=self.on_capacity_available,
            expect_s=self._expect_s,
            moves_of=self._moves_of,
            metrics=metrics,
        )
        self._opened_at = self._loop.time()
        self._loop.call_later(OPENING_S, self.on_capacity_available)
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._review_forever())

    def close(self) -> None:
        """Give no more orders."""
        self._tasks.close()
        self._workers.close()

    def promote(self, fence: int) -> None:
        """Own all workers from now on under a higher fencing token, with all jobs and runs.

        A stand-in that began anew as owner would lose what its workers run: they have often
        lapsed in the list by then and are not back yet.
        """
        self.fence = fence
        self.domain = None
        self._renew_only_adopted = False
        self._workers.raise_fence(fence)
        self.resume()

    # -- workers ----------------------------------------------------------------------------

    def set_workers(self, infos: dict[str, WorkerInfo]) -> None:
        """Follow the platform's list of workers."""
        if not self._workers.sessions_by_id:
            # A new owner may get the list only now; see `OPENING_S`.
            self._opened_at = self._loop.time()
            self._loop.call_later(OPENING_S, self.on_capacity_available)
        self._workers.follow(infos)
        self.on_capacity_available()

    def probe_unlisted_workers(self, infos: list[WorkerInfo]) -> None:
        """Hold workers that are not listed any more, if they still answer."""
        self._workers.probe_unlisted(infos)

    def evacuate(self, domains: Collection[str]) -> None:
        """Start nothing on the workers of these failure domains; what runs there ends by itself.

        Tasks that were sent there after operators had asked for it would run into whatever they
        emptied the domain for.
        """
        self._workers.evacuate(domains)
        self.on_capacity_available()

    def _make_session(self, info: WorkerInfo) -> WorkerSession:
        return WorkerSession(
            info=info,
            client=self._client,
            observer=self,
            fence=self.fence,
            limits=self._limits,
            losses=self._losses,
            renew_only_adopted=self._renew_only_adopted,
        )

    def _serves(self, info: WorkerInfo) -> bool:
        return self.domain in (None, info.zone) and self._covers(info)

    def _may_start_tasks(self, now: float) -> bool:
        """Return whether tasks may be started yet; see `OPENING_S`.

        An owner that has just started may hear of jobs before it hears of evacuations. What it
        knows of the workers it may have been told some time ago.
        """
        if not self._listener.has_evacuation_state() or not self._listener.has_usable_worker_list():
            return False
        return now - self._opened_at >= OPENING_S or self._workers.all_asked()

    def _sees_all_runs(self, now: float) -> bool:
        """Return whether nothing can run that no worker has shown.

        Workers of a failure domain that is cut off lapse in the list, so with a domain that can't
        be heard there may be more workers than the list shows. Looked up once for each moment:
        right after a take-over hundreds of jobs ask for it.
        """
        if self._run_visibility.at != now:
            complete = self.domain is None and self._listener.reaches_all_domains()
            self._run_visibility = RunVisibility(
                at=now, complete=complete and self._workers.all_held()
            )
        return self._run_visibility.complete

    def _may_have_orphaned_runs(self, job: Job, now: float) -> bool:
        """Return whether tasks of the job may run where this owner can't see them.

        A job that another owner had may run on a worker that does not answer here. Started again
        it would run twice. Either all workers have shown what they run, or every lease that the
        other owner can have asked for has lapsed since the job was handed over.
        """
        return self._start_delay_s(job, now) > 0

    def _start_delay_s(self, job: Job, now: float) -> float:
        """Return for how long no task of the job may be started; see `_may_have_orphaned_runs`."""
        if not job.possibly_started or self._sees_all_runs(now):
            return 0.0
        lease_s = self._limits.max_lease_s * (1 + MAX_CLOCK_DRIFT_RATE)
        lapsed_at = job.accepted_at + lease_s + self._limits.thaw_slack_s + SETTLE_MARGIN_S
        return max(lapsed_at - now, 0.0)

    # -- jobs -------------------------------------------------------------------------------

    def submit(
        self,
        request: JobRequest,
        *,
        entry: str,
        age_s: float,
        possibly_started: bool,
        done: list[tuple[int, int]],
    ) -> None:
        """Take a job in, or let one more entry wait for it."""
        job = self.jobs.open(request, entry=entry, age_s=age_s, possibly_started=possibly_started)
        if job is None:
            return
        for step, index in done:
            self._note_done(job, TaskId(request.id, step, index))
        self._usual_cpu = max(job.smallest_cpu, 1)
        self._claim_runs(job)
        self._overload.note_arrival(job, self._loop.time())
        log.info(
            "job_taken job=%s entry=%s age_ms=%d exposed=%s tasks=%d waiting=%d",
            request.id,
            entry,
            age_s * 1000,
            possibly_started,
            sum(job.left),
            job.waiting,
        )
        if job.is_complete():
            self.jobs.end(job, Outcome(verdict=Verdict.SUCCEEDED))
            return
        self._wait_for_room(job)

    def capacity_status(self) -> CapacityStatus:
        """Return what the workers have free, and how long they need for what waits."""
        sessions = self._workers.sessions_by_id.values()
        now = self._loop.time()
        usual = self._usual_cpu
        free = sum(max(s.free_cpu, 0) // usual * usual for s in sessions if s.can_start(now))
        usable = sum(s.info.cpu for s in sessions if s.can_serve(now))
        waiting = sum(job.waiting_work() for job in self._scheduler.queue)
        return CapacityStatus(
            free_cpu=free, backlog_s=waiting / usable if usable else NO_WORKERS_BACKLOG_S
        )

    def waiting_entries(self) -> set[str]:
        """Return the names of all entries that wait for jobs of this owner."""
        return {name for job in self.jobs.jobs_by_id.values() for name in job.waiting_for}

    def gauges(self) -> dict[str, float]:
        """Return what this owner believes now."""
        sessions = self._workers.sessions_by_id.values()
        return {
            "jobs": len(self.jobs.jobs_by_id),
            "jobs_not_started": sum(1 for j in self.jobs.jobs_by_id.values() if not j.started),
            "workers": len(sessions),
            "workers_held": sum(1 for s in sessions if s.held),
            "workers_evacuated": sum(1 for s in sessions if s.evacuated),
            "workers_silent": sum(1 for s in sessions if s.silent),
            "workers_over_capacity": sum(1 for s in sessions if s.free_cpu < 0),
            "runs": sum(len(s.runs) for s in sessions),
        }

    def _claim_runs(self, job: Job) -> None:
        """Let a job have what runs of it already.

        A caller that saw no answer sends its job again. Runs of the first sending may still be at
        work or on their way to a stop, and a second run beside them would double the task.
        """
        for _, run in self._runs.of_job(job.request.id):
            task = job.task(run.task)
            if task is not None:
                job.mark_running(task)
        for session in self._workers.sessions_by_id.values():
            if not session.orphaned_runs:
                continue
            for task_id, number in list(session.orphaned_runs.items()):
                if task_id.job == job.request.id:
                    run = self.on_orphaned_run(session, task_id, number)
                    if run is not None:
                        session.adopt(run)
        for task_id, kind in list(self._ended_elsewhere.items()):
            if task_id.job == job.request.id:
                del self._ended_elsewhere[task_id]
                if kind is EndKind.DONE:
                    self._note_done(job, task_id)

    def _wait_for_room(self, job: Job) -> None:
        """Queue a job if any of its tasks wait."""
        if job.waiting:
            self._scheduler.queue.add(job, now=self._loop.time())
            self.on_capacity_available()

    def _note_done(self, job: Job, task_id: TaskId) -> None:
        task = job.task(task_id)
        if task is not None:
            job.mark_done(task)

    def _on_job_ended(self, job: Job) -> None:
        """Stop what still runs of a job."""
        self._scheduler.queue.discard(job)
        for session, run in self._runs.of_job(job.request.id):
            if not run.stopping:
                session.stop(run)

    # -- placing ----------------------------------------------------------------------------

    def on_capacity_available(self) -> None:
        """Place waiting tasks soon: there may be room, or something new to place."""
        self._scheduler.request_placement()

    def _next_run_number(self, task: Task) -> int:
        task.runs += 1
        return self.fence * RUNS_PER_FENCE + task.runs

    # -- what workers tell ------------------------------------------------------------------

    def on_held(self, session: WorkerSession) -> None:
        """Note that the worker took the fencing token and showed what it runs."""
        log.info(
            "worker_held worker=%s fence=%d runs=%d strangers=%d",
            session.info.id,
            self.fence,
            len(session.runs),
            len(session.orphaned_runs),
        )
        self.on_capacity_available()

    def on_run_added(self, session: WorkerSession, run: Run) -> None:
        """Note that a worker has a run."""
        self._runs.add(session, run)

    def on_run_ended(self, session: WorkerSession, run: Run, outcome: RunOutcome) -> None:
        """Decide what becomes of a task whose run has left a worker."""
        self._runs.discard(run)
        self.on_capacity_available()
        job = self.jobs.jobs_by_id.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        self._health.note_end(session, run, outcome)
        labels = f'service="{session.info.service}",fate="{outcome.name.lower()}"'
        self._metrics.record("run", self._loop.time() - run.ordered_at, labels)
        if job is None or task is None or task.state is not TaskState.RUNNING:
            return
        if outcome is RunOutcome.DONE:
            ratio = self._run_times.note_done(
                job, run, worker=session.info.id, now=self._loop.time()
            )
            self._health.note_done(session, ratio)
            job.mark_done(task)
            self._tell_done(job, task)
            return
        if outcome is not RunOutcome.NOT_STARTED:
            log.info(
                "run_ended job=%s task=%s worker=%s fate=%s failures=%d",
                run.task.job,
                run.task,
                session.info.id,
                outcome.name,
                task.failures,
            )
        if outcome is RunOutcome.NOT_STARTED:
            # Elsewhere first: this worker may lose the next order, too.
            task.avoided_workers.add(session.info.id)
        if outcome is RunOutcome.STOPPED:
            # Only a run that was moved is stopped while its job goes on.
            task.moves += 1
            task.avoided_workers.add(session.info.id)
        if outcome is RunOutcome.FAILED:
            task.failures += 1
            task.avoided_workers.add(session.info.id)
            if task.failures >= job.request.attempts:
                self.jobs.end(job, Outcome(verdict=Verdict.FAILED, reason="task failed"))
                return
        job.mark_waiting(task)
        self._wait_for_room(job)

    def min_poll_interval_s(self) -> float:
        """Return the least time between two calls to a worker that this owner can bear."""
        return min_poll_interval_s(workers=len(self._workers.sessions_by_id), cores=self._cores)

    def on_progress_reported(self, session: WorkerSession, clock_ms: int) -> None:
        """Judge a worker by how far its runs are."""
        self._health.check_progress(session, clock_ms)

    def _expect_s(self, session: WorkerSession, run: Run) -> float:
        """Return how long the task of a run takes on a usual worker.

        If other tasks of the job run on other workers and take longer than estimated as well, it
        is not this worker that is slow.
        """
        job = self.jobs.jobs_by_id.get(run.task.job)
        if job is None:
            return run.expected_s
        expected_s = self._run_times.expect_task_s(job, run.task.step)
        others = [
            total_s
            for other, sibling in self._runs.of_job(run.task.job)
            if other is not session
            and sibling.task.step == run.task.step
            and (total_s := sibling.projected_total_s()) is not None
        ]
        return max(expected_s, min(others, default=0.0))

    def _moves_of(self, run: Run) -> int:
        job = self.jobs.jobs_by_id.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        return task.moves if task is not None else 0

    def _tell_done(self, job: Job, task: Task) -> None:
        if job.is_complete():
            self.jobs.end(job, Outcome(verdict=Verdict.SUCCEEDED))
            return
        place = (task.id.step, task.id.index)
        self._listener.on_tasks_done(job.request.id, job.waiting_for, [place])

    def on_orphaned_run(self, session: WorkerSession, task: TaskId, number: int) -> Run | None:
        """Return the run to adopt for a task that an earlier owner started, or None."""
        job = self.jobs.jobs_by_id.get(task.job)
        known = job.task(task) if job is not None else None
        if known is None or known.state is not TaskState.WAITING:
            return None
        step = job.request.steps[task.step]
        job.mark_running(known)
        self._metrics.count("runs_adopted")
        log.info("run_adopted task=%s run=%d worker=%s", task, number, session.info.id)
        return Run(
            task=task,
            number=number,
            cpu=step.cpu,
            memory_mb=step.memory_mb,
            gpu=step.gpu,
            ordered_at=self._loop.time(),
            expected_s=self._run_times.expect_task_s(job, task.step),
            adopted=True,
        )

    def on_orphaned_run_ended(self, task: TaskId, kind: EndKind) -> None:
        """Note the end of a run that this owner did not order."""
        job = self.jobs.jobs_by_id.get(task.job)
        if job is None:
            self._ended_elsewhere[task] = kind
            return
        known = job.task(task)
        if kind is EndKind.DONE and known is not None and known.state is TaskState.WAITING:
            job.mark_done(known)
            self._tell_done(job, known)

    def on_fenced(self, session: WorkerSession) -> None:
        """Start nothing more until it is known who the owner is."""
        self._metrics.count("workers_fenced")
        log.warning("worker_fenced worker=%s fence=%d", session.info.id, self.fence)
        if not self._scheduler.suspended:
            self._scheduler.suspended = True
            self._listener.on_superseded()

    def resume(self) -> None:
        """Go on: the worker that was fenced obeys a stand-in, all others are still ours."""
        self._scheduler.suspended = False
        self.on_capacity_available()

    # -- what time brings -------------------------------------------------------------------

    async def _review_forever(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_S)
            now = self._loop.time()
            self._end_unservable_jobs(now)
            self._stop_orphaned_runs(now)
            possibly_started = any(
                job.possibly_started and job.waiting for job in self.jobs.jobs_by_id.values()
            )
            if possibly_started or self._scheduler.starts_blocked:
                self.on_capacity_available()

    def _end_unservable_jobs(self, now: float) -> None:
        for refusal in self._overload.find_jobs_to_refuse(now):
            job = refusal.job
            log.info(
                "job_hopeless job=%s age_ms=%d wait_ms=%.0f run_ms=%.0f slo_ms=%d tasks=%d"
                " waiting=%d exposed=%s",
                job.request.id,
                (now - job.arrived_at) * 1000,
                refusal.wait_s * 1000,
                job.estimate_s * 1000,
                job.slo_s * 1000,
                job.waiting,
                len(self._scheduler.queue),
                job.possibly_started,
            )
            self.jobs.refuse(job, "no room in time", retry_after_s=refusal.retry_after_s)
        for job in list(self.jobs.jobs_by_id.values()):
            if job.waiting and not self._may_ever_fit(job):
                self._end_unplaceable(job)

    def _end_unplaceable(self, job: Job) -> None:
        """Answer a job that no worker here can take.

        One that has begun can't go to another cell, where its runs can't be seen; told at once,
        its caller comes again and finds another one.
        """
        if not self._workers.could_fit_but_for_evacuation(job.request):
            if not job.started:
                self.jobs.refuse(job, "no worker is large enough")
            return
        reason = "failure domain evacuated"
        if not job.started:
            self.jobs.refuse(job, reason, retry_after_s=EVACUATED_RETRY_S)
            return
        outcome = Outcome(verdict=Verdict.UNKNOWN, reason=reason, retry_after_s=EVACUATED_RETRY_S)
        self.jobs.end(job, outcome, remember=False)

    def _may_ever_fit(self, job: Job) -> bool:
        """Return whether the workers known now are large enough for a job.

        Looked up once for each job and list of workers: hundreds of jobs wait under overload, and
        looking through hundreds of workers for each of them takes milliseconds.
        """
        if job.fits_workers_of == self._workers.version:
            return True
        job.fits_workers_of = self._workers.version
        return self._workers.could_ever_fit(job.request)

    def _stop_orphaned_runs(self, now: float) -> None:
        for session in self._workers.sessions_by_id.values():
            if session.orphaned_runs and now - session.orphaned_since > ORPHAN_GRACE_S:
                log.info(
                    "strangers_stopped worker=%s tasks=%d",
                    session.info.id,
                    len(session.orphaned_runs),
                )
                session.orphaned_since = now
                session.stop_orphaned_runs()
