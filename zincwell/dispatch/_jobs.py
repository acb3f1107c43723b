"""State of jobs and tasks at the owner, and cached answers."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from dataclasses import dataclass, field

from zincwell.dispatch._runs import RunEnd
from zincwell.dispatch._types import JobRequest, Outcome, Step, TaskId, WorkerInfo
from zincwell.dispatch.decisions import JobTimes

# Callers without an answer resubmit after 1.3 s. An answer is kept for several resubmissions.
ANSWER_TTL_S = 6.0
MAX_CACHED_ANSWERS = 20_000


class TaskState(enum.Enum):
    """Scheduling state of a task."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job.

    :param failures: number of failed runs.
    :param runs: number of runs that this owner has ordered.
    :param moves: how often the task was moved away from a slow or stalled worker.
    :param previous: the end of its latest run that did not succeed, or None.
    :param avoided_workers: ids of workers that are chosen only if no other fits.
    """

    id: TaskId
    state: TaskState = TaskState.WAITING
    failures: int = 0
    runs: int = 0
    moves: int = 0
    previous: RunEnd | None = None
    avoided_workers: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True, kw_only=True)
class DoneRun:
    """A run that succeeded, from which speeds are learned.

    :param run_s: its run time in seconds.
    :param expected_s: what was expected of its route on a typical worker, in seconds.
    """

    worker: WorkerInfo
    run_s: float
    expected_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """An open job.

    :param arrived_at: when the caller's request arrived, on this entry's clock.
    :param times: when its first caller can have sent it and when it was accepted, on the clock that
        includes time during which the VM was suspended.
    :param refused_by: names of the cells that have refused it.
    :param read_late: whether its entry may have read the request long after its caller sent it, so
        that a previous owner may have it from another entry.
    :param possibly_started: whether a previous owner may have started tasks of it.
    :param moved: whether that owner's cell was dissolved by a new layout.
    :param may_be_resent: whether a previous owner may have started it for the same caller, whose
        entry has ended, and its runs may not be seen here.
    :param lost_at: event loop time at which a run of it was given up since its leases had expired;
        None once no other owner can have renewed them.
    :param earlier_runs_excluded: whether it is known since that no task of it runs unseen.
    :param accepted_at: when this owner received it, on this entry's clock.
    :param waiting_entries: names of the entries whose callers wait for the outcome, each with the
        time of its last submission, on this entry's clock.
    :param attempts_by_entry: the attempt of each of them, see `Submit.attempt`.
    :param requested_at: when the newest request of a caller for it arrived at an entry, on this
        entry's clock.
    :param answer_by: when the owner's answer must be sent for the last caller to get it in time, on
        this entry's clock.
    :param unfinished_by_step: number of tasks of each step that are not done.
    :param waiting: number of tasks that wait for a run.
    :param started: whether any task has been running or done.
    :param estimate_s: estimated run time of its critical path.
    :param slo_s: age up to which an answer counts as in time.
    :param smallest_cpu: smallest CPU demand of its steps, in millicores.
    :param queued_in: list of the queue that holds it, or None.
    :param forecast_start_at: when its first task would start by the first forecast after its
        arrival, or None before that.
    :param fit_checked_version: version of the worker set that it was last checked against.
    :param expected_end_at: latest expected end of the runs that placement by objective has started.
    :param left_waiting: whether placement by objective has left tasks of it waiting.
    :param min_run_s_by_step: shortest run time of a done task, for each step that has one, as on a
        typical worker.
    :param done_runs_by_step: for each step with tasks that are not done, the runs of the others.
    """

    request: JobRequest
    arrived_at: float
    possibly_started: bool
    accepted_at: float
    times: JobTimes = JobTimes(sent_since=-math.inf, accepted_at=-math.inf)
    refused_by: frozenset[str] = frozenset()
    read_late: bool = False
    moved: bool = False
    may_be_resent: bool = False
    lost_at: float | None = None
    earlier_runs_excluded: bool = False
    waiting_entries: dict[str, float] = field(default_factory=dict)
    attempts_by_entry: dict[str, int] = field(default_factory=dict)
    requested_at: float = -math.inf
    answer_by: float = math.inf
    tasks: list[list[Task]] = field(default_factory=list)
    unfinished_by_step: list[int] = field(default_factory=list)
    waiting: int = 0
    started: bool = False
    cancelled: bool = False
    estimate_s: float = 0.0
    slo_s: float = 0.0
    smallest_cpu: int = 0
    queued_in: list[Job] | None = None
    forecast_start_at: float | None = None
    fit_checked_version: int = -1
    expected_end_at: float = 0.0
    left_waiting: bool = False
    min_run_s_by_step: dict[int, float] = field(default_factory=dict)
    done_runs_by_step: dict[int, list[DoneRun]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the tasks of all steps."""
        for number, step in enumerate(self.request.steps):
            ids = (TaskId(self.request.id, number, index) for index in range(step.count))
            self.tasks.append([Task(id=task_id) for task_id in ids])
            self.unfinished_by_step.append(step.count)
        self.waiting = sum(self.unfinished_by_step)
        self.estimate_s = self.request.critical_path_ms() / 1000
        self.slo_s = self.request.slo_s()
        self.smallest_cpu = min(step.cpu for step in self.request.steps)

    def task(self, task_id: TaskId) -> Task | None:
        """Return the task with an id, or None if the job has no such task."""
        if task_id.step >= len(self.tasks) or task_id.index >= len(self.tasks[task_id.step]):
            return None
        return self.tasks[task_id.step][task_id.index]

    def ready_steps(self) -> list[tuple[int, Step]]:
        """Return number and step of each unfinished step whose predecessors are all done."""
        return [
            (number, step)
            for number, step in enumerate(self.request.steps)
            if self.unfinished_by_step[number]
            and not any(self.unfinished_by_step[earlier] for earlier in step.after)
        ]

    def mark_running(self, task: Task) -> None:
        """Mark a task as running, after a run was ordered or found, unless it is done."""
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.WAITING:
            self.waiting -= 1
        task.state = TaskState.RUNNING
        self.started = True

    def mark_waiting(self, task: Task) -> None:
        """Mark a task as waiting again, after its run ended without a result."""
        if task.state is TaskState.RUNNING:
            task.state = TaskState.WAITING
            self.waiting += 1

    def mark_done(self, task: Task) -> None:
        """Mark a task as done."""
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.WAITING:
            self.waiting -= 1
        task.state = TaskState.DONE
        self.started = True
        self.unfinished_by_step[task.id.step] -= 1

    def done_tasks(self) -> list[TaskId]:
        """Return the ids of the tasks that are done."""
        return [task.id for step in self.tasks for task in step if task.state is TaskState.DONE]

    def waiting_attempts(self) -> dict[str, int]:
        """Return the attempts of the entries that wait for the outcome, by entry."""
        return {name: self.attempts_by_entry.get(name, 0) for name in self.waiting_entries}

    def may_run_unseen(self) -> bool:
        """Return whether a previous owner may have started tasks of it for any caller."""
        return self.possibly_started or self.read_late

    def may_have_runs(self) -> bool:
        """Return whether tasks of the job may be running or done."""
        return self.started or self.possibly_started or self.may_be_resent

    def waiting_work(self) -> float:
        """Return the estimated work of the waiting tasks, in millicore-seconds."""
        return self.request.work() * self.waiting / sum(step.count for step in self.request.steps)

    def is_complete(self) -> bool:
        """Return whether all tasks are done."""
        return not any(self.unfinished_by_step)


class AnswerCache:
    """Cache of the answers to ended jobs.

    A request that is resubmitted after its answer gets the same answer again. Without the cache
    all its tasks would run a second time.
    """

    def __init__(self) -> None:
        self._by_id: OrderedDict[str, tuple[float, Outcome]] = OrderedDict()

    def put(self, job_id: str, outcome: Outcome, *, now: float) -> None:
        """Add an answer and evict old ones."""
        self._by_id[job_id] = (now, outcome)
        self._by_id.move_to_end(job_id)
        while self._by_id:
            at, _ = next(iter(self._by_id.values()))
            if now - at < ANSWER_TTL_S and len(self._by_id) <= MAX_CACHED_ANSWERS:
                return
            self._by_id.popitem(last=False)

    def get(self, job_id: str) -> Outcome | None:
        """Return the cached answer to a job, or None."""
        entry = self._by_id.get(job_id)
        return entry[1] if entry else None
