"""The owner of a cell: accepts jobs, schedules their tasks and reports the outcomes."""

from __future__ import annotations

import abc
import asyncio
import logging
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from time import perf_counter

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._earlier_runs import EarlierRuns, EntryLoss
from zincwell.dispatch._end_reports import EndReports
from zincwell.dispatch._health import WorkerHealthMonitor
from zincwell.dispatch._job_registry import JobRegistry
from zincwell.dispatch._jobs import Job, Task, TaskState
from zincwell.dispatch._lost_runs import LostRuns
from zincwell.dispatch._messages import Cancel
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._orphaned_runs import OrphanedRunStopper
from zincwell.dispatch._overload import OverloadControl
from zincwell.dispatch._placement import could_ever_fit
from zincwell.dispatch._run_times import JobRunTimeEstimator
from zincwell.dispatch._runs import EndCause, Run, RunEnd, RunIndex, RunOutcome
from zincwell.dispatch._scheduler import Scheduler
from zincwell.dispatch._types import (
    JobRequest,
    Limits,
    Outcome,
    TaskId,
    Verdict,
    WorkerInfo,
)
from zincwell.dispatch._unanswered_orders import UnansweredOrders
from zincwell.dispatch._unservable_jobs import UnservableJobs
from zincwell.dispatch._worker_calls import max_lease_s
from zincwell.dispatch._worker_observer import WorkerObserver
from zincwell.dispatch._worker_session import WorkerSession
from zincwell.dispatch._worker_set import WorkerSet
from zincwell.dispatch.decisions import (
    ANNOUNCE_AFTER_S,
    NO_WORKERS_BACKLOG_S,
    AnswerLossDetector,
    ListingDelayEstimator,
    is_slow_run,
    min_poll_interval_s,
)
from zincwell.dispatch.ports import EndKind, WorkerClient

log = logging.getLogger("zincwell.owner")

# Run numbers available to one owner for one task. The owner's fencing token supplies the high-order
# part, so run numbers increase from one owner to the next.
RUNS_PER_FENCE = 64
# A new owner starts no tasks for this long, unless all its workers report their runs earlier. A
# resubmitted job can't be told from a new one, and the runs that the previous owner started for it
# may be on a worker that answers a few milliseconds after the others.
STARTUP_DELAY_S = 0.06
# The oldest ends of tasks without an open job are forgotten beyond this number.
MAX_UNCLAIMED_ENDS = 20_000
# Interval between checks for jobs that can't be served and for unclaimed orphaned runs.
REVIEW_INTERVAL_S = 0.02


@dataclass(slots=True, frozen=True, kw_only=True)
class CapacityStatus:
    """Free capacity and backlog of an owner's workers.

    :param free_cpu: free CPU in millicores, counting only multiples of a typical task's demand.
    :param backlog_s: time in seconds that the workers need for the waiting tasks.
    """

    free_cpu: int
    backlog_s: float


class OwnerListener(abc.ABC):
    """Callbacks and queries of an owner to the entry that hosts it."""

    @abc.abstractmethod
    def on_job_ended(self, job: str, attempts: Mapping[str, int], outcome: Outcome) -> None:
        """Deliver a job's outcome to the entries whose callers wait for it.

        :param attempts: the callers' attempt at each entry, by entry.
        """

    @abc.abstractmethod
    def on_tasks_done(self, job: str, entries: set[str], tasks: list[tuple[int, int]]) -> None:
        """Tell the entries which tasks are done and must not run again."""

    @abc.abstractmethod
    def reaches_all_domains(self) -> bool:
        """Return whether every failure domain has been reachable through an entry for a while."""

    @abc.abstractmethod
    def knows_all_workers(self) -> bool:
        """Return whether no worker is unknown on which the previous owner may have runs."""

    @abc.abstractmethod
    def is_term_confirmed(self, entries: Collection[str], *, since: float) -> bool:
        """Return whether no other owner can have had the jobs of some entries until a given time.

        :param since: event loop time.
        """

    @abc.abstractmethod
    def is_superseded(self) -> bool:
        """Return whether another entry has become owner by a later claim."""

    @abc.abstractmethod
    def has_evacuation_state(self) -> bool:
        """Return whether the set of evacuated failure domains is known."""

    @abc.abstractmethod
    def has_usable_worker_list(self) -> bool:
        """Return whether the worker list is recent enough to start tasks from it."""

    @abc.abstractmethod
    def worker_list_age_s(self) -> float:
        """Return the age of the locally known worker list in seconds."""

    @abc.abstractmethod
    def may_start(self, job: Job) -> bool:
        """Return whether a task of a job may start, as no other owner can run it."""

    @abc.abstractmethod
    def on_superseded(self) -> None:
        """Look up the current owner, since a worker has accepted a higher fencing token."""


class Owner(WorkerObserver):
    """Schedules the jobs of a cell on its workers.

    :param fence: fencing token of this owner.
    :param domain: failure domain whose workers are used, or None for all workers. A stand-in for
        an owner behind a partition uses only the workers of its own domain.
    :param cores: CPU cores that this entry may use.
    :param cell: name of the cell.
    :param covers: returns whether a worker belongs to the cell.
    :param renew_only_adopted: renew no leases on workers with orphaned runs. Owners of other cells
        may rely on these runs' leases expiring.
    :param clock: clock of this entry, including time during which the VM was suspended; by default
        that of the event loop.
    :param previous_owner_active_until: event loop time until which an owner that is cut off from a
        stand-in may request leases.
    :param loss: see `EarlierRuns`.
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
        cell: str = "",
        covers: Callable[[WorkerInfo], bool] = lambda info: True,
        renew_only_adopted: bool = False,
        previous_owner_active_until: float = -math.inf,
        loss: EntryLoss,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._metrics = metrics
        self._cores = cores
        self._cell = cell
        self._covers = covers
        self._renew_only_adopted = renew_only_adopted or domain is not None
        self._typical_task_cpu = 1
        self.fence = fence
        self.domain = domain
        self._clock = clock or asyncio.get_running_loop().time
        self.jobs = JobRegistry(
            on_ended=self._on_job_ended,
            answer=listener.on_job_ended,
            metrics=metrics,
            clock=self._clock,
        )
        self._client = client
        self._listener = listener
        self._limits = limits
        # Ends "done" of tasks whose jobs are not known here, or not any more.
        self._unclaimed_ends: dict[TaskId, None] = {}
        self._lost_runs = LostRuns(
            jobs=self.jobs,
            is_term_confirmed=lambda entries, since: listener.is_term_confirmed(
                entries, since=since
            ),
        )
        self._end_reports = EndReports()
        self._loop = asyncio.get_running_loop()
        self._loss_detector = AnswerLossDetector()
        self._listing_delay = ListingDelayEstimator()
        self._unanswered_orders = UnansweredOrders(max_lease_s=max_lease_s(limits))
        self._workers = WorkerSet(
            is_assigned=self._is_assigned,
            make_session=self._make_session,
            on_restarted=self._forget_worker,
        )
        self._orphans = OrphanedRunStopper(
            sessions_by_id=self._workers.sessions_by_id, is_cancelled=self.jobs.is_cancelled
        )
        self._earlier_runs = EarlierRuns(
            workers=self._workers,
            limits=limits,
            reaches_all_domains=listener.reaches_all_domains,
            knows_all_workers=listener.knows_all_workers,
            stands_in=domain is not None,
            previous_owner_active_until=previous_owner_active_until,
            loss=loss,
        )
        self._runs = RunIndex()
        self._run_times = JobRunTimeEstimator()
        self._scheduler = Scheduler(
            sessions_by_id=self._workers.sessions_by_id,
            may_start_tasks=self._may_start_tasks,
            may_run_already=self._may_run_already,
            may_run_unseen=self._unanswered_orders.may_start,
            next_run_number=self._next_run_number,
            run_times=self._run_times,
            worker_list_age_s=listener.worker_list_age_s,
            metrics=metrics,
        )
        self._overload = OverloadControl(
            queue=self._scheduler.queue,
            sessions_by_id=self._workers.sessions_by_id,
            run_times=self._run_times,
            start_delay_s=self._earlier_runs.start_delay_s,
            clock=perf_counter,
        )
        self._unservable_jobs = UnservableJobs(
            jobs=self.jobs,
            workers=self._workers,
            overload=self._overload,
            queue=self._scheduler.queue,
            metrics=metrics,
        )
        self._health = WorkerHealthMonitor(
            sessions_by_id=self._workers.sessions_by_id,
            on_capacity_available=self.on_capacity_available,
            expected_run_s=self._expected_run_s,
            run_times=self._run_times,
            moves_of=self._moves_of,
            metrics=metrics,
        )
        self._opened_at = self._loop.time()
        self._loop.call_later(STARTUP_DELAY_S, self.on_capacity_available)
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(self._review_forever, name="owner")

    def close(self) -> None:
        """Stop scheduling and close all worker sessions."""
        self._tasks.close()
        self._workers.close()

    def promote(self, fence: int, *, loss: EntryLoss) -> None:
        """Turn a stand-in into the owner of all workers, under a higher fencing token.

        Jobs and runs are kept. An owner that started from scratch would lose the runs of its
        workers, whose entries in the worker list have often expired during the partition.

        :param loss: see `EarlierRuns`.
        """
        self.fence = fence
        self.domain = None
        self._earlier_runs.promote(loss=loss)
        self._await_leases_of_others()
        self._renew_only_adopted = False
        self._workers.raise_fence(fence)
        self.resume()

    def _await_leases_of_others(self) -> None:
        """Treat the open jobs as if another owner had them under the earlier token.

        A stand-in may have adopted their runs, renewed them and moved them to other workers.
        """
        for job in self.jobs.jobs_by_id.values():
            if job.started:
                self._lost_runs.forget(job)
                job.possibly_started = True
                job.accepted_at = self._loop.time()

    # -- workers ----------------------------------------------------------------------------

    def set_workers(self, infos: dict[str, WorkerInfo]) -> None:
        """Update the sessions from the platform's worker list."""
        if not self._workers.sessions_by_id:
            # A new owner may receive its first worker list late; see `STARTUP_DELAY_S`.
            self._opened_at = self._loop.time()
            self._loop.call_later(STARTUP_DELAY_S, self.on_capacity_available)
        self._workers.update(infos)
        self._note_workers()
        self.on_capacity_available()

    def probe_unlisted_workers(self, infos: list[WorkerInfo]) -> None:
        """Open sessions with workers that have left the list but may still answer."""
        self._workers.probe_unlisted(infos)
        self._note_workers()

    def unlisted_workers(self) -> list[WorkerInfo]:
        """Return the workers that have left the list, but may be running tasks."""
        return self._workers.unlisted()

    def _note_workers(self) -> None:
        """Learn the workers' kinds, and forget the speeds of those whose sessions were closed."""
        sessions_by_id = self._workers.sessions_by_id
        self._run_times.set_workers({name: s.info for name, s in sessions_by_id.items()})

    def evacuate(self, domains: Collection[str]) -> None:
        """Start no tasks on the workers of these failure domains; runs already there continue.

        Tasks started later would be hit by the event for which operators evacuate the domain.
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
            loss_detector=self._loss_detector,
            listing_delay=self._listing_delay,
            unanswered_orders=self._unanswered_orders,
            renew_only_adopted=self._renew_only_adopted,
        )

    def on_replaced(self, session: WorkerSession) -> None:
        """Give up the runs of a worker whose address has been taken, if that is certain."""
        self._workers.review_replaced(session)

    def on_newer_incarnation(self, session: WorkerSession, born_ms: int) -> None:
        """Open a session with the newer incarnation of a worker that has answered."""
        self._workers.replace(session, info=session.info, born_ms=born_ms)

    def _forget_worker(self, worker_id: str) -> None:
        """Forget the learned speed of a worker that has restarted, as its kind may differ."""
        self._metrics.count("workers_restarted")
        self._run_times.forget(worker_id)

    def _is_assigned(self, info: WorkerInfo) -> bool:
        return self.domain in (None, info.zone) and self._covers(info)

    def _may_start_tasks(self, now: float) -> bool:
        """Return whether tasks may be started yet; see `STARTUP_DELAY_S`.

        A new owner may receive jobs before it knows the evacuations, and its worker list may be
        stale. One that hears of a later claim leaves the waiting tasks to the next owner, although
        it can't read from the store yet who that is.
        """
        if not self._listener.has_evacuation_state() or not self._listener.has_usable_worker_list():
            return False
        if self._listener.is_superseded():
            return False
        return now - self._opened_at >= STARTUP_DELAY_S or self._workers.all_probed()

    def _may_run_already(self, job: Job, now: float) -> bool:
        """Return whether tasks of the job may be running without this owner knowing.

        Under an earlier owner, or in another cell if its caller has sent it there, too.
        """
        if self._earlier_runs.start_delay_s(job, now) > 0 or not self._listener.may_start(job):
            return True
        if self._lost_runs.may_be_active(job):
            return True
        self._earlier_runs.note_excluded(job)
        return False

    # -- jobs -------------------------------------------------------------------------------

    def submit(
        self,
        request: JobRequest,
        *,
        entry: str,
        age_s: float,
        possibly_started: bool,
        done: list[tuple[int, int]],
        moved: bool = False,
        delay_s: float = 0.0,
        unsure_s: float = 0.0,
        refused_by: Collection[str] = (),
        attempt: int = 0,
    ) -> None:
        """Accept a job, or add an entry to those that wait for it.

        :param entry: name of the entry whose caller waits for the outcome.
        :param age_s: time since the caller's request arrived, in seconds.
        :param possibly_started: whether a previous owner may have started tasks of the job.
        :param done: step and index of each task that is already done.
        :param moved: whether that owner's cell was dissolved, so that it may have started tasks on
            workers of other cells.
        :param delay_s: how long the submission was on its way, in seconds.
        :param unsure_s: how long the request may have waited before its entry read it, in seconds.
        :param refused_by: names of the cells that have refused it; a report that they sent before
            may still name it.
        :param attempt: see `Submit.attempt`.
        """
        job = self.jobs.open(
            request,
            entry=entry,
            age_s=age_s,
            possibly_started=possibly_started,
            moved=moved,
            may_be_resent=self._earlier_runs.may_be_hidden(self._loop.time()),
            delay_s=delay_s,
            unsure_s=unsure_s,
            refused_by=refused_by,
            attempt=attempt,
        )
        known = {TaskId(request.id, step, index) for step, index in done}
        if job is None:
            self._update_job(request.id, entry, known)
            return
        self._lost_runs.attach(job)
        for task_id in known:
            self._mark_task_done(job, task_id)
        self._typical_task_cpu = max(job.smallest_cpu, 1)
        self._adopt_existing_runs(job)
        self._overload.note_arrival(job, self._loop.time())
        log.info(
            "job_taken job=%s entry=%s cell=%s fence=%d age_ms=%d unsure_ms=%d delay_ms=%d"
            " exposed=%s moved=%s tasks=%d waiting=%d",
            request.id,
            entry,
            self._cell,
            self.fence,
            age_s * 1000,
            unsure_s * 1000,
            delay_s * 1000,
            possibly_started,
            moved,
            sum(job.unfinished_by_step),
            job.waiting,
        )
        self._report_unknown_ends(job, entry, known)
        if not job.is_complete():
            self._enqueue(job)

    def _update_job(self, job_id: str, entry: str, known: set[TaskId]) -> None:
        """Exchange the done tasks of an open job with an entry that submits it as well.

        An entry that has the job from a caller's retry has never heard of them, and a previous
        owner may have reported some of them to the entry only now.

        :param known: done tasks that the entry knows of.
        """
        job = self.jobs.jobs_by_id.get(job_id)
        if job is None:
            return
        for task_id in known:
            self._mark_task_done(job, task_id)
        for session, run in list(self._runs.of_job(job_id)):
            if run.task in known and not run.stopping:
                session.stop(run)
        self._report_unknown_ends(job, entry, known)

    def _report_unknown_ends(self, job: Job, entry: str, known: set[TaskId]) -> None:
        """Report the done tasks of a job to an entry that does not know of them all.

        :param known: done tasks that it knows of.
        """
        self._end_reports.note_known(entry, job.request.id, known)
        self._report_ends(job, {entry}, [id for id in job.done_tasks() if id not in known])

    def _report_ends(self, job: Job, entries: set[str], tasks: list[TaskId]) -> None:
        """Report done tasks to entries, or the outcome to all entries if the job is complete."""
        now = self._loop.time()
        for task in tasks:
            self._end_reports.expect(task, entries, now=now)
        if job.is_complete():
            self.jobs.end(job, Outcome(verdict=Verdict.SUCCEEDED))
        elif tasks:
            keys = [(task.step, task.index) for task in tasks]
            self._listener.on_tasks_done(job.request.id, entries, keys)

    def note_tasks_known(self, entry: str, job: str, tasks: list[tuple[int, int]]) -> None:
        """Record that an entry knows of done tasks, or is gone."""
        ids = [TaskId(job, step, index) for step, index in tasks]
        self._end_reports.note_known(entry, job, ids)

    def note_outcome_known(self, entry: str, job: str) -> None:
        """Record that an entry knows the outcome of a job, or is gone."""
        self._end_reports.note_known(entry, job)

    def call_when_end_is_known(self, task: TaskId, listener: Callable[[], None]) -> bool:
        """Call a listener once the waiting entries know that a task is done."""
        return self._end_reports.call_when_known(task, listener)

    def cancel(self, message: Cancel, *, entry: str, delay_s: float) -> None:
        """Cancel a job for the callers of one entry, or for all if a caller asked for it.

        :param delay_s: how long the message was on its way, in seconds.
        """
        self.jobs.cancel(
            message.job,
            entry=entry,
            age_s=message.age_s + delay_s,
            by_request=message.by_request,
        )
        if self.jobs.is_cancelled(message.job):
            self._orphans.stop_job(message.job)

    def capacity_status(self) -> CapacityStatus:
        """Return the free capacity of the workers and the time they need for the waiting tasks."""
        sessions = self._workers.sessions_by_id.values()
        now = self._loop.time()
        typical = self._typical_task_cpu
        free = sum(max(s.free_cpu, 0) // typical * typical for s in sessions if s.can_start(now))
        usable = sum(s.info.cpu for s in sessions if s.can_serve(now))
        waiting = sum(job.waiting_work() for job in self._scheduler.queue)
        return CapacityStatus(
            free_cpu=free, backlog_s=waiting / usable if usable else NO_WORKERS_BACKLOG_S
        )

    def waiting_entries(self) -> set[str]:
        """Return the names of all entries that wait for outcomes from this owner."""
        return {name for job in self.jobs.jobs_by_id.values() for name in job.waiting_entries}

    def jobs_to_announce(self) -> list[str]:
        """Return the ids of the jobs that no other cell may start.

        These are the open jobs of a certain age, and all that have runs, also if they have ended.
        """
        now = self._clock()
        jobs = self.jobs.jobs_by_id.values()
        ids = {job.request.id for job in jobs if now - job.times.sent_since >= ANNOUNCE_AFTER_S}
        ids.update(job_id for job_id in self._runs.job_ids() if job_id not in self.jobs.jobs_by_id)
        for session in self._workers.sessions_by_id.values():
            ids.update(task.job for task in session.orphaned_runs)
        return sorted(ids)

    def has_no_run(self, job_id: str, *, not_refused_by: str = "") -> bool:
        """Return whether a job is open here, and certainly has no run in this cell.

        :param not_refused_by: name of a cell that must not have refused it before.
        """
        job = self.jobs.jobs_by_id.get(job_id)
        if job is None or job.may_have_runs():
            return False
        return not_refused_by not in job.refused_by

    def has_job(self, job_id: str) -> bool:
        """Return whether a job is open here, or was answered for good."""
        return job_id in self.jobs.jobs_by_id or self.jobs.is_answered(job_id)

    def gauges(self) -> dict[str, float]:
        """Return the values of this owner's gauges by metric name."""
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
            "orders_unanswered": len(self._unanswered_orders),
            **self._health.gauges(),
            **self._run_times.gauges(),
        }

    def _adopt_existing_runs(self, job: Job) -> None:
        """Attach the runs that already exist for a job's tasks.

        A caller that got no answer submits its job again. Runs of the first submission may still
        be running or stopping, and a second run would execute the task twice.
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
        for task_id in list(self._unclaimed_ends):
            if task_id.job == job.request.id:
                del self._unclaimed_ends[task_id]
                self._mark_task_done(job, task_id)

    def _enqueue(self, job: Job) -> None:
        """Add a job to the queue if any of its tasks are waiting."""
        if job.waiting:
            self._scheduler.queue.add(job, now=self._loop.time())
            self.on_capacity_available()

    def _mark_task_done(self, job: Job, task_id: TaskId) -> None:
        task = job.task(task_id)
        if task is not None:
            job.mark_done(task)

    def _on_job_ended(self, job: Job) -> None:
        """Stop the remaining runs of a job."""
        self._scheduler.queue.discard(job)
        for session, run in self._runs.of_job(job.request.id):
            if not run.stopping:
                session.stop(run)

    # -- scheduling -------------------------------------------------------------------------

    def on_capacity_available(self) -> None:
        """Request placement of waiting tasks, since capacity or tasks may have become available."""
        self._scheduler.request_placement()

    def _next_run_number(self, task: Task) -> int:
        task.runs += 1
        return self.fence * RUNS_PER_FENCE + task.runs

    # -- worker events ----------------------------------------------------------------------

    def on_held(self, session: WorkerSession) -> None:
        """Handle a worker that has accepted the fencing token and reported its runs."""
        log.info(
            "worker_held worker=%s fence=%d runs=%d strangers=%d",
            session.info.id,
            self.fence,
            len(session.runs),
            len(session.orphaned_runs),
        )
        self.on_capacity_available()

    def on_run_added(self, session: WorkerSession, run: Run) -> None:
        """Index a run that was ordered or adopted on a worker."""
        self._runs.add(session, run)

    def on_run_ended(
        self, session: WorkerSession, run: Run, outcome: RunOutcome, cause: EndCause
    ) -> None:
        """Complete, retry or fail the task of a run that has ended on a worker."""
        self._runs.discard(run)
        if cause is EndCause.LEASES_EXPIRED:
            self._lost_runs.note(run.task.job)
        self.on_capacity_available()
        job = self.jobs.jobs_by_id.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        self._health.note_end(session, run, outcome)
        labels = f'service="{session.info.service}",fate="{outcome.name.lower()}"'
        self._metrics.record("run", self._loop.time() - run.ordered_at, labels)
        if job is None and outcome is RunOutcome.DONE:
            self._note_unclaimed_end(run.task)
        if job is None or task is None or task.state is not TaskState.RUNNING:
            return
        if outcome is RunOutcome.DONE:
            self._health.note_done(session, run, self._note_run_time(session, job, run))
            job.mark_done(task)
            self._report_ends(job, set(job.waiting_entries), [task.id])
            return
        task.failures += outcome is RunOutcome.FAILED
        log.info(
            "run_ended job=%s task=%s run=%d worker=%s fate=%s cause=%s failures=%d",
            run.task.job,
            run.task,
            run.number,
            session.info.id,
            outcome.name,
            cause.name,
            task.failures,
        )
        task.previous = RunEnd(
            number=run.number, worker_id=session.info.id, outcome=outcome, cause=cause
        )
        if outcome is RunOutcome.NOT_STARTED:
            # Prefer other workers, since this one may lose the next start order as well.
            task.avoided_workers.add(session.info.id)
        if outcome is RunOutcome.STOPPED:
            # A run is stopped while its job is open only to move the task to another worker.
            task.moves += 1
            task.avoided_workers.add(session.info.id)
        if outcome is RunOutcome.FAILED:
            task.avoided_workers.add(session.info.id)
            if task.failures >= job.request.attempts:
                self.jobs.end(job, Outcome(verdict=Verdict.FAILED, reason="task failed"))
                return
        job.mark_waiting(task)
        self._enqueue(job)

    def on_run_missing(self) -> None:
        """Count a run that a worker does not list and has not reported as ended."""
        self._metrics.count("runs_missing")

    def may_order_again(self, session: WorkerSession, task: TaskId) -> bool:
        """Return whether a start order may be sent again, also after a restart of the worker."""
        job = self.jobs.jobs_by_id.get(task.job)
        known = job.task(task) if job is not None else None
        return (
            known is not None
            and known.state is TaskState.RUNNING
            and job.request.service == session.info.service
            and could_ever_fit(session, step=job.request.steps[task.step])
        )

    def min_poll_interval_s(self) -> float:
        """Return the shortest interval in seconds between polls of one worker."""
        return min_poll_interval_s(workers=len(self._workers.sessions_by_id), cores=self._cores)

    def on_progress_reported(self, session: WorkerSession, clock_ms: int) -> None:
        """Check a worker's health by the progress of its runs."""
        self._health.check_progress(session, clock_ms)

    def _expected_run_s(self, session: WorkerSession, run: Run) -> float:
        """Return the time in seconds that the task of a run takes on a typical worker.

        If tasks of the same step also take longer than estimated on other workers, this worker is
        not the slow one.
        """
        job = self.jobs.jobs_by_id.get(run.task.job)
        if job is None:
            return run.expected_s
        expected_s = self._run_times.expect_task_s(job, run.task.step)
        others = [
            total_s / self._run_times.lasting_slowdown(other.info)
            for other, sibling in self._runs.of_job(run.task.job)
            if other is not session
            and sibling.task.step == run.task.step
            and (total_s := sibling.projected_total_s()) is not None
        ]
        return max(expected_s, min(others, default=0.0))

    def _note_run_time(self, session: WorkerSession, job: Job, run: Run) -> float:
        """Learn from a run that succeeded; return its run time divided by the expected one.

        A run that seems slow is compared with the runs of the same step on other workers.
        """
        now = self._loop.time()
        run_s = now - run.ordered_at
        compared = 0.0
        if run.expected_s and is_slow_run(run_s / run.expected_s):
            # Before the run is noted, since it would be compared with itself afterwards.
            lasting_slowdown = self._run_times.lasting_slowdown(session.info)
            compared = run_s / (self._expected_run_s(session, run) * lasting_slowdown)
        ratio = self._run_times.note_done(job, run, worker=session.info, now=now)
        return min(ratio, compared) if compared else ratio

    def _moves_of(self, run: Run) -> int:
        job = self.jobs.jobs_by_id.get(run.task.job)
        task = job.task(run.task) if job is not None else None
        return task.moves if task is not None else 0

    def on_orphaned_run(self, session: WorkerSession, task: TaskId, number: int) -> Run | None:
        """Return the run to adopt for a task that a previous owner started, or None."""
        job = self.jobs.jobs_by_id.get(task.job)
        known = job.task(task) if job is not None else None
        if known is None or known.state is not TaskState.WAITING:
            self._orphans.note(session, task, number)
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
            expected_s=self._run_times.expect_run_s(job, task.step, session.info),
            adopted=True,
        )

    def on_orphaned_run_ended(self, task: TaskId, kind: EndKind) -> None:
        """Record the end of a run that this owner did not order."""
        if kind is not EndKind.DONE:
            return
        job = self.jobs.jobs_by_id.get(task.job)
        if job is None:
            self._note_unclaimed_end(task)
            return
        known = job.task(task)
        if known is not None and known.state is TaskState.WAITING:
            job.mark_done(known)
            self._report_ends(job, set(job.waiting_entries), [task])

    def _note_unclaimed_end(self, task: TaskId) -> None:
        """Remember a done task of a job that is not open here, but may be submitted (again)."""
        if not self.jobs.may_return(task.job):
            return
        self._unclaimed_ends[task] = None
        if len(self._unclaimed_ends) > MAX_UNCLAIMED_ENDS:
            del self._unclaimed_ends[next(iter(self._unclaimed_ends))]
        self._end_reports.expect(task, (), now=self._loop.time())

    def on_fenced(self, session: WorkerSession) -> None:
        """Suspend scheduling until the current owner is known."""
        self._metrics.count("workers_fenced")
        log.warning("worker_fenced worker=%s fence=%d", session.info.id, self.fence)
        if not self._scheduler.suspended:
            self._scheduler.suspended = True
            self._listener.on_superseded()

    def resume(self) -> None:
        """Resume scheduling: the fenced worker follows a stand-in, all others follow this owner."""
        self._scheduler.suspended = False
        self.on_capacity_available()

    # -- periodic review --------------------------------------------------------------------

    async def _review_forever(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            now = self._loop.time()
            self._end_reports.finish_overdue(now)
            self._unservable_jobs.end_due(now)
            self._orphans.stop_due(now)
            if self._lost_runs.review(now):
                self.on_capacity_available()
            awaits_certainty = any(
                (job.may_run_unseen() or job.may_be_resent) and job.waiting
                for job in self.jobs.jobs_by_id.values()
            )
            if awaits_certainty or self._scheduler.starts_blocked:
                self.on_capacity_available()
