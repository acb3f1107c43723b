"""Jobs, their tasks, and the registry of the jobs that this entry owns."""

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

#: Tenant of tasks that run here for entries of other domains; not available to callers.
SPILLED_TENANT = "~guests"


#: Memory charged per task of a cached answer besides its output: 218 bytes, rounded up.
CACHED_TASK_OVERHEAD_BYTES = 220


class TaskState(enum.Enum):
    """Life cycle state of a task."""

    QUEUED = enum.auto()
    PLACED = enum.auto()
    FINAL = enum.auto()


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    :ivar placement: number of the current placement, a part of the task's id.
    :ivar worker: name of the worker of the current placement.
    :ivar started: whether that worker has accepted the task.
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
        """Id of the task in its current placement."""
        return f"{self.job.key}#{self.index}.{self.placement}"


@dataclass(slots=True, eq=False)
class Job:
    """A submission or a request that this entry owns.

    :ivar key: the caller's key qualified by its tenant; see :func:`full_key`.
    :ivar created_at: wall time at which the caller created the key.
    :ivar deadline_at: monotonic time by which the job is answered.
    :ivar arrived_at: monotonic time of arrival at this entry.
    :ivar digest: digest of the content, by which a reused key is detected.
    :ivar waiting: tasks that are queued, in order.
    :ivar unfinished: number of tasks that are not final.
    :ivar retries_left: number of further starts allowed for an idempotent request.
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
        """Add the tasks as queued.

        :param now: monotonic time, in seconds.
        """
        for index, spec in enumerate(specs):
            self.tasks.append(Task(job=self, index=index, spec=spec, queued_at=now))
        self.waiting.extend(self.tasks)
        self.unfinished = len(self.tasks)

    @property
    def is_answered(self) -> bool:
        """Whether the answer is set."""
        return self.answer.done()


def full_key(*, key: str, tenant: str) -> str:
    """Return a job's key among entries; the tenant keeps equal keys of two tenants apart."""
    return f"{key}@{tenant}"


def digest_submission(submission: Submission) -> int:
    """Return a digest of a submission's service and tasks, to detect a reused key."""
    content = (submission.service, submission.tasks)
    return xxhash.xxh3_64_intdigest(msgspec.json.encode(content))


def make_answer(job: Job, *, reason: str = "") -> Answer:
    """Create the answer of a job whose outcome is decided.

    A task that is not final by now is given up: a queued one has not run, the outcome of a
    placed one is unknown. Outputs are included only if all tasks have completed.

    :param reason: reason of a job that has not completed; by default that of one of its tasks.
    """
    for task in job.tasks:
        if task.state is not TaskState.FINAL:
            _mark_given_up(task)
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


def _mark_given_up(task: Task) -> None:
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
    incomplete = (task for task in job.tasks if task.outcome is not Outcome.COMPLETED)
    incomplete = sorted(incomplete, key=lambda task: task.reason == "given_up")
    return incomplete[0].reason if incomplete else ""


@dataclass(slots=True)
class _CachedAnswer:
    """An answered job whose answer is cached for resubmissions.

    :ivar size: memory that its outputs are charged with in bytes; 0 once they are dropped.
    """

    job: Job
    size: int


class OwnedJobs:
    """Registry of the jobs that this entry owns or has owned within the resubmission window.

    :ivar jobs_by_key: jobs, running and answered.
    :ivar serial_by_key: serial of the grant under which each job was started.
    """

    def __init__(self, *, clock: Clock, timing: TimingSettings, memory: MemorySettings):
        self._clock = clock
        self._timing = timing
        self._memory = memory
        self.jobs_by_key: dict[str, Job] = {}
        self.serial_by_key: dict[str, int] = {}
        self._cached_by_key: OrderedDict[str, _CachedAnswer] = OrderedDict()
        self._cached_bytes = 0
        self._closed_by_key: dict[str, tuple[int, float]] = {}

    def add(self, job: Job, *, serial: int) -> None:
        """Register a job.

        :param serial: serial of the grant of its key.
        """
        self.jobs_by_key[job.key] = job
        self.serial_by_key[job.key] = serial

    def close_serial(self, key: str, serial: int) -> None:
        """Close a key's grants up to a serial: this entry never starts the key under them."""
        serial = max(serial, self.closed_serial(key))
        self._closed_by_key[key] = (serial, self._clock.wall())

    def closed_serial(self, key: str) -> int:
        """Return the highest closed serial of a key, or 0."""
        return self._closed_by_key.get(key, (0, 0.0))[0]

    async def wait_answered(self) -> None:
        """Wait until all jobs are answered, including those without an open request."""
        while True:
            open_answers = [job.answer for job in self.jobs_by_key.values() if not job.is_answered]
            if not open_answers:
                return
            await asyncio.wait(open_answers)

    def cache_answer(self, job: Job) -> None:
        """Cache a job's answer, and drop the oldest outputs until the memory limit is met."""
        answer = job.answer.result()
        size = sum(CACHED_TASK_OVERHEAD_BYTES + len(bytes(task.output)) for task in answer.tasks)
        self._cached_by_key[job.key] = _CachedAnswer(job=job, size=size)
        self._cached_bytes += size
        job.tasks, job.waiting = [], deque()
        for cached in self._cached_by_key.values():
            if self._cached_bytes <= self._memory.max_answer_bytes:
                return
            self._drop_outputs(cached)

    def expire_old(self) -> None:
        """Drop answered jobs and closed serials past the resubmission window."""
        cutoff = self._clock.wall() - self._timing.resubmission_window_s
        cutoff -= 2 * self._timing.clock_margin_s
        expired = [
            key
            for key, job in self.jobs_by_key.items()
            if job.created_at < cutoff and job.is_answered
        ]
        for key in [key for key, (_, at) in self._closed_by_key.items() if at < cutoff]:
            del self._closed_by_key[key]
        for key in expired:
            del self.jobs_by_key[key]
            del self.serial_by_key[key]
            cached = self._cached_by_key.pop(key, None)
            self._cached_bytes -= cached.size if cached else 0

    def _drop_outputs(self, cached: _CachedAnswer) -> None:
        """Replace a cached answer by one without outputs, which still says that the job has run."""
        if cached.size == 0:
            return
        self._cached_bytes -= cached.size
        cached.size = 0
        placeholder = Answer(
            key=cached.job.key.rpartition("@")[0],
            outcome=Outcome.OUTCOME_UNKNOWN,
            reason="answer_dropped",
            detail="the job has run, but its answer is no longer kept",
        )
        cached.job.answer = asyncio.get_running_loop().create_future()
        cached.job.answer.set_result(placeholder)
