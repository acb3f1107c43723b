"""What callers and workers see, held against what zincwell promises."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.soak._worker import StandInWorker

# A leaving worker gets nothing new this long after it said so, if nothing disturbed meanwhile.
DRAIN_S = 2.0
# Workers of an evacuated zone get nothing new this long after the record, if nothing disturbed.
EVACUATE_S = 1.0
# A worker that has shrunk gets nothing beyond its capacity this long after it said so.
SHRUNK_S = 2.0
# Faults end this long before a bounded promise is held against zincwell.
CALM_S = 4.0


@dataclass(kw_only=True, eq=False)
class SoakJob:
    """A caller's job and what became of it.

    :param budget_s: how long its caller waits for an answer, None for as long as it takes.
    """

    id: str
    spec: str
    count: int
    cpu: int
    run_s: float
    budget_s: float | None = None
    sendings: int = 0
    refusals: int = 0
    done: set[int] = field(default_factory=set)


@dataclass(kw_only=True, eq=False)
class ObservedRun:
    """A run as its worker saw it, whatever the worker's lists say of it.

    :param fence: fencing token of the order that began it.
    :param at: when it began, in seconds since the epoch.
    :ivar end: how and when it ended, in words; empty while it is at work.
    """

    worker_id: str
    number: int
    fence: int
    at: float
    end: str = ""

    def describe(self, entries_by_fence: Mapping[int, str]) -> str:
        """Return the run in words, with the entry whose order began it."""
        entry = entries_by_fence.get(self.fence, "unknown")
        return (
            f"run {self.number} on {self.worker_id} at {self.at:.3f}"
            f" from {entry} under fence {self.fence}{self.end}"
        )


@dataclass(frozen=True, kw_only=True)
class ConcurrentRuns:
    """A run that began while others of its task were at work."""

    task: str
    run: ObservedRun
    others: list[ObservedRun]


class Checks:
    """Collects each broken promise as a line."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.jobs_by_id: dict[str, SoakJob] = {}
        self.starts = 0
        self.answers_by_status: dict[str, int] = defaultdict(int)
        self.disturbed_at = time.monotonic()
        self.harmed_at = time.monotonic()
        self._started_at_by_job: dict[str, float] = {}
        self._running_by_task: dict[str, list[ObservedRun]] = defaultdict(list)
        self._concurrent_runs: list[ConcurrentRuns] = []

    def fail(self, rule: str, text: str, *, at: float | None = None) -> None:
        """Note a broken promise.

        :param at: when it was broken, in seconds since the epoch; now by default.
        """
        self.broken.append(f"{rule} at {time.time() if at is None else at:.3f}: {text}")

    def disturb(self, *, harms: bool) -> None:
        """Note that a fault begins or ends now.

        :param harms: it also harms entries that live on: links, the store, processes that stand
            still. The loss of an entry excuses nothing that the others do.
        """
        self.disturbed_at = time.monotonic()
        if harms:
            self.harmed_at = self.disturbed_at

    def is_calm(self) -> bool:
        """Return whether no fault began or ended lately."""
        return time.monotonic() - self.disturbed_at > CALM_S

    def is_unharmed(self) -> bool:
        """Return whether no fault that harms living entries began or ended lately."""
        return time.monotonic() - self.harmed_at > CALM_S

    def demands_of(self, task: str) -> tuple[int, float]:
        """Return how many thousandths of a core a task takes, and for how many seconds."""
        job = self.jobs_by_id.get(task.split(".")[0])
        return (job.cpu, job.run_s) if job else (0, 0.1)

    def note_start(
        self, worker: StandInWorker, task: str, number: int, spec: str, *, fence: int = 0
    ) -> None:
        """Check a start as the worker sees it.

        :param fence: fencing token of the order.
        """
        self.starts += 1
        job_id, _, _, index = task.split(".")
        job = self.jobs_by_id.get(job_id)
        if job is None or spec != job.spec or int(index) >= job.count:
            self.fail("UNASKED", f"{task} run {number} on {worker.id}")
        running = self._running_by_task[task]
        run = ObservedRun(worker_id=worker.id, number=number, fence=fence, at=time.time())
        if running:
            self._concurrent_runs.append(ConcurrentRuns(task=task, run=run, others=[*running]))
        running.append(run)
        self._started_at_by_job[job_id] = time.monotonic()
        since = worker.draining_since
        if since and time.monotonic() - since > DRAIN_S and self.is_unharmed():
            self.fail("DRAIN", f"{task} run {number} on {worker.id}, leaving since {since:.1f}")
        since = worker.shrunk_since
        shrunk = worker.is_over_capacity() and time.monotonic() - since > SHRUNK_S
        if shrunk and self.is_unharmed():
            self.fail("LIMIT", f"{task} run {number} on {worker.id}, shrunk since {since:.1f}")
        since = worker.evacuated_since
        if since and time.monotonic() - since > EVACUATE_S and self.is_calm():
            self.fail("EVAC", f"{task} run {number} on {worker.id}, evacuated since {since:.1f}")

    def note_end(self, worker: StandInWorker, task: str, number: int, how: str) -> None:
        """Take note of an end at a worker."""
        running = self._running_by_task[task]
        ended = (worker.id, number)
        run = next(run for run in running if (run.worker_id, run.number) == ended)
        run.end = f" until {time.time():.3f} {how}"
        running.remove(run)
        job = self.jobs_by_id.get(task.split(".")[0])
        if job is not None and how == "done":
            job.done.add(int(task.rsplit(".", 1)[1]))

    def has_started(self, job: SoakJob, *, since: float = -math.inf) -> bool:
        """Return whether a worker has begun a task of a job since a time."""
        return self._started_at_by_job.get(job.id, -math.inf) > since

    def note_answer(self, job: SoakJob, status: int, state: str) -> None:
        """Check an answer to a caller."""
        self.answers_by_status[str(status)] += 1
        if status in (429, 503):
            job.refusals += 1
        elif status == 200 and state == "succeeded" and len(job.done) < job.count:
            self.fail("STATE", f"{job.id} succeeded with {sorted(job.done)} of {job.count} done")
        elif status not in (200, 502, 504):
            self.fail("ANSWER", f"{job.id} got status {status}")

    def note_broken_off(self, job: SoakJob, entry: str, after_s: float) -> None:
        """Note that an entry that nobody killed closed the connection without an answer."""
        self.fail("LOST", f"{job.id} at {entry}, {after_s:.2f} s after it was sent")

    def finish(self, entries_by_fence: Mapping[int, str] | None = None) -> None:
        """Check what is only known at the end.

        :param entries_by_fence: the entry that each fencing token belongs to.
        """
        entries = entries_by_fence or {}
        for found in self._concurrent_runs:
            others = " and ".join(run.describe(entries) for run in found.others)
            text = f"{found.task} {found.run.describe(entries)} beside {others}"
            self.fail("TWICE", text, at=found.run.at)
        for job in self.jobs_by_id.values():
            if job.refusals and job.refusals == job.sendings and self.has_started(job):
                self.fail("REFUSED", f"{job.id}: all {job.sendings} sendings refused, and it ran")
