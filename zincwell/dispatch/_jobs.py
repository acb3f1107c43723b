"""Jobs, tasks and runs as the owner of the pool knows them."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from zincwell.dispatch._types import JobRequest, Outcome, Step, TaskId

# Resends come 1.3 s after a caller saw no answer; an answer is kept for several of them.
ANSWER_KEPT_S = 6.0
ANSWERS_KEPT = 20_000


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job."""

    id: TaskId
    state: TaskState = TaskState.WAITING
    failures: int = 0
    runs: int = 0
    moves: int = 0
    avoided_workers: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A job in work.

    :param arrived_at: when its caller's request came, on this entry's clock.
    :param waiting_for: names of the entries whose callers wait for it.
    :param possibly_started: an earlier owner may have started tasks of it.
    :param accepted_at: when this owner got it, on this entry's clock.
    :param queued_in: the list of the queue in which it waits, or None.
    :param fits_workers_of: version of the owner's workers that were found large enough for it.
    :param min_run_s_by_step: shortest time that a task of a step took, for steps with one that is
        done.
    """

    request: JobRequest
    arrived_at: float
    possibly_started: bool
    accepted_at: float
    waiting_for: set[str] = field(default_factory=set)
    tasks: list[list[Task]] = field(default_factory=list)
    left: list[int] = field(default_factory=list)
    waiting: int = 0
    started: bool = False
    cancelled: bool = False
    estimate_s: float = 0.0
    slo_s: float = 0.0
    smallest_cpu: int = 0
    queued_in: list[Job] | None = None
    fits_workers_of: int = -1
    min_run_s_by_step: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make the tasks of all steps."""
        for number, step in enumerate(self.request.steps):
            ids = (TaskId(self.request.id, number, index) for index in range(step.count))
            self.tasks.append([Task(id=task_id) for task_id in ids])
            self.left.append(step.count)
        self.waiting = sum(self.left)
        self.estimate_s = self.request.critical_path_ms() / 1000
        self.slo_s = self.request.slo_s()
        self.smallest_cpu = min(step.cpu for step in self.request.steps)

    def task(self, task_id: TaskId) -> Task | None:
        """Return a task by its id, or None if the job has no such task."""
        if task_id.step >= len(self.tasks) or task_id.index >= len(self.tasks[task_id.step]):
            return None
        return self.tasks[task_id.step][task_id.index]

    def ready_steps(self) -> list[tuple[int, Step]]:
        """Return the steps with work left whose earlier steps are all done."""
        return [
            (number, step)
            for number, step in enumerate(self.request.steps)
            if self.left[number] and not any(self.left[earlier] for earlier in step.after)
        ]

    def mark_running(self, task: Task) -> None:
        """Note that a run of the task was ordered or found."""
        if task.state is TaskState.WAITING:
            self.waiting -= 1
        task.state = TaskState.RUNNING
        self.started = True

    def mark_waiting(self, task: Task) -> None:
        """Put a task back whose run ended without a result."""
        if task.state is TaskState.RUNNING:
            task.state = TaskState.WAITING
            self.waiting += 1

    def mark_done(self, task: Task) -> None:
        """Note that the task is done."""
        if task.state is TaskState.DONE:
            return
        if task.state is TaskState.WAITING:
            self.waiting -= 1
        task.state = TaskState.DONE
        self.started = True
        self.left[task.id.step] -= 1

    def waiting_work(self) -> float:
        """Return the estimated work of the tasks that wait, in core-seconds times a thousand."""
        return self.request.work() * self.waiting / sum(step.count for step in self.request.steps)

    def is_complete(self) -> bool:
        """Return whether all tasks are done."""
        return not any(self.left)


class AnswerCache:
    """Answers of ended jobs, for resends of requests that were answered already.

    A resend that comes seconds after the answer would run everything again; it gets the same
    answer instead.
    """

    def __init__(self) -> None:
        self._by_id: OrderedDict[str, tuple[float, Outcome]] = OrderedDict()

    def put(self, job_id: str, outcome: Outcome, *, now: float) -> None:
        """Remember an answer and forget old ones."""
        self._by_id[job_id] = (now, outcome)
        self._by_id.move_to_end(job_id)
        while self._by_id:
            at, _ = next(iter(self._by_id.values()))
            if now - at < ANSWER_KEPT_S and len(self._by_id) <= ANSWERS_KEPT:
                return
            self._by_id.popitem(last=False)

    def get(self, job_id: str) -> Outcome | None:
        """Return the answer of a job that ended a short while ago."""
        entry = self._by_id.get(job_id)
        return entry[1] if entry else None
