"""Jobs and their tasks, and the book of what this entry owns."""

from __future__ import annotations

import asyncio
import enum
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import xxhash
from msgspec import Raw

from zincwell.models import NO_VALUE, Answer, Outcome, Submission, TaskAnswer, TaskSpec
from zincwell.ports import Clock
from zincwell.settings import MemorySettings, TimingSettings

#: Tenant of tasks that run here for entries of other domains; no caller can name it.
GUEST_TENANT = "~guests"


#: Memory of a task of a kept answer besides its output (measured: 218 bytes).
KEPT_TASK_BYTES = 220


class TaskState(enum.Enum):
    """Where a task is."""

    QUEUED = enum.auto()
    PLACED = enum.auto()
    FINAL = enum.auto()


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    :ivar placement: number of the current placement; each gets an id of its own.
    :ivar worker: the worker of the current placement.
    :ivar started: whether a worker has accepted it.
    """

    job: Job
    index: int
    spec: TaskSpec
    state: TaskState = TaskState.QUEUED
    placement: int = 0
    worker: str = ""
    started: bool = False
    queued_at: float = 0.0
    started_at: float = 0.0
    outcome: Outcome | None = None
    reason: str = ""
    output: Raw = field(default_factory=lambda: NO_VALUE)

    @property
    def id(self) -> str:
        """Name of the task at its current placement."""
        return f"{self.job.key}#{self.index}.{self.placement}"


@dataclass(slots=True, eq=False)
class Job:
    """A submission or a request that this entry owns.

    :ivar key: the caller's key and its tenant; the tenant keeps equal keys of two apart.
    :ivar waiting: tasks that have no worker now.
    :ivar unfinished: number of tasks that are not final.
    :ivar retries_left: further starts allowed to an idempotent request.
    :ivar on_accepted: called with each task that a worker has accepted.
    """

    key: str
    tenant: str
    service: str
    pool: str
    urgency: str
    created_at: float
    deadline_at: float
    arrived_at: float
    digest: int = 0
    idempotent: bool = False
    retries_left: int = 0
    tasks: list[Task] = field(default_factory=list)
    waiting: deque[Task] = field(default_factory=deque)
    unfinished: int = 0
    on_accepted: Callable[[Task], None] | None = None
    answer: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def add_tasks(self, specs: list[TaskSpec], *, now: float) -> None:
        """Add the tasks, all queued."""
        for index, spec in enumerate(specs):
            self.tasks.append(Task(job=self, index=index, spec=spec, queued_at=now))
        self.waiting.extend(self.tasks)
        self.unfinished = len(self.tasks)

    @property
    def is_answered(self) -> bool:
        """Whether the answer is out."""
        return self.answer.done()


def full_key(*, key: str, tenant: str) -> str:
    """Return the key by which entries know a job."""
    return f"{key}@{tenant}"


def digest_of(submission: Submission) -> int:
    """Return a digest of what a submission asks for, to tell a reused key."""
    asked = (submission.service, submission.tasks)
    return xxhash.xxh3_64_intdigest(msgspec.json.encode(asked))


def make_answer(job: Job, *, reason: str = "") -> Answer:
    """Make the whole answer of a job whose outcome is decided.

    A task that is not final by now was given up: queued ones never ran, for placed ones
    nobody knows. Outputs go out only if the answer is complete, never a part of them.
    """
    for task in job.tasks:
        if task.state is not TaskState.FINAL:
            _give_up(task)
    outcome = _job_outcome({task.outcome for task in job.tasks})
    complete = outcome is Outcome.COMPLETED
    tasks = [
        TaskAnswer(
            index=task.index,
            outcome=task.outcome,
            reason=task.reason,
            output=task.output if complete else NO_VALUE,
        )
        for task in job.tasks
    ]
    return Answer(
        key=job.key.rpartition("@")[0],
        outcome=outcome,
        reason="" if complete else reason or _first_reason(job),
        tasks=tasks,
    )


def _give_up(task: Task) -> None:
    placed = task.state is TaskState.PLACED
    task.outcome = Outcome.OUTCOME_UNKNOWN if placed else Outcome.NOT_RUN
    task.reason = "given_up"


def _job_outcome(outcomes: set[Outcome]) -> Outcome:
    if len(outcomes) == 1:
        return next(iter(outcomes))
    if Outcome.FAILED in outcomes:
        return Outcome.FAILED
    if Outcome.OUTCOME_UNKNOWN in outcomes:
        return Outcome.OUTCOME_UNKNOWN
    return Outcome.FAILED


def _first_reason(job: Job) -> str:
    bad = (task for task in job.tasks if task.outcome is not Outcome.COMPLETED)
    bad = sorted(bad, key=lambda task: task.reason == "given_up")
    return bad[0].reason if bad else ""


@dataclass(slots=True)
class _Kept:
    """An answer that is kept for resubmissions."""

    job: Job
    size: int


class JobBook:
    """All jobs that this entry owns or has owned within the resubmission window."""

    def __init__(self, *, clock: Clock, timing: TimingSettings, memory: MemorySettings):
        self._clock = clock
        self._timing = timing
        self._memory = memory
        self.jobs_by_key: dict[str, Job] = {}
        self.serial_by_key: dict[str, int] = {}
        self._kept_by_key: OrderedDict[str, _Kept] = OrderedDict()
        self._kept_bytes = 0
        self._closed_by_key: dict[str, tuple[int, float]] = {}

    def add(self, job: Job, *, serial: int) -> None:
        """Take a job in."""
        self.jobs_by_key[job.key] = job
        self.serial_by_key[job.key] = serial

    def close_serial(self, key: str, serial: int) -> None:
        """Note that we never start a key under a grant up to this one."""
        serial = max(serial, self.closed_serial(key))
        self._closed_by_key[key] = (serial, self._clock.wall())

    def closed_serial(self, key: str) -> int:
        """Return the latest grant of a key under which we never start it."""
        return self._closed_by_key.get(key, (0, 0.0))[0]

    async def wait_answered(self) -> None:
        """Wait until all jobs are answered, also those that no open request waits for."""
        while True:
            open_answers = [job.answer for job in self.jobs_by_key.values() if not job.is_answered]
            if not open_answers:
                return
            await asyncio.wait(open_answers)

    def keep(self, job: Job) -> None:
        """Keep a finished job's answer, and drop the oldest outputs beyond the bound."""
        answer = job.answer.result()
        size = sum(KEPT_TASK_BYTES + len(bytes(task.output)) for task in answer.tasks)
        self._kept_by_key[job.key] = _Kept(job=job, size=size)
        self._kept_bytes += size
        job.tasks, job.waiting = [], deque()
        for kept in self._kept_by_key.values():
            if self._kept_bytes <= self._memory.max_answer_bytes:
                return
            self._drop_output(kept)

    def forget_old(self) -> None:
        """Drop finished jobs past the resubmission window."""
        oldest = self._clock.wall() - self._timing.resubmission_window_s
        oldest -= 2 * self._timing.clock_margin_s
        old = [
            key
            for key, job in self.jobs_by_key.items()
            if job.created_at < oldest and job.is_answered
        ]
        for key in [key for key, (_, at) in self._closed_by_key.items() if at < oldest]:
            del self._closed_by_key[key]
        for key in old:
            del self.jobs_by_key[key]
            del self.serial_by_key[key]
            kept = self._kept_by_key.pop(key, None)
            self._kept_bytes -= kept.size if kept else 0

    def _drop_output(self, kept: _Kept) -> None:
        """Drop an output; that the tasks have run is still remembered."""
        if kept.size == 0:
            return
        self._kept_bytes -= kept.size
        kept.size = 0
        gone = Answer(
            key=kept.job.key.rpartition("@")[0],
            outcome=Outcome.OUTCOME_UNKNOWN,
            reason="answer_dropped",
            detail="the job has run, but its answer is no longer kept",
        )
        kept.job.answer = asyncio.get_running_loop().create_future()
        kept.job.answer.set_result(gone)
