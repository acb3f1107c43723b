"""Processor time and messages of an entry by tasks and jobs, and by workers of its domain."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Iterable

import msgspec

from bench._slopes_cluster import CountedCluster, cpu_s, open_cluster
from bench._slopes_figures import Sample, fit_line
from tests.cluster import EntryProcess

#: All slots together, so that the largest job starts at once whatever the number of workers.
SLOTS_OF_ALL = 2_600
WORKERS = (4, 40, 325)
JOBS_BY_SIZE = {1: 150, 10: 80, 100: 30, 1_200: 4}
AT_ONCE = 4
RUN_MS = 50
ECHO_BYTES = (2, 1_000, 10_000)
_numbers = itertools.count()


async def measure_tasks() -> list[Sample]:
    """Measure jobs of several sizes through one entry."""
    samples = []
    async with open_cluster(entries=1) as cluster:
        entry = next(iter(cluster.entry_by_vm.values()))
        for workers in WORKERS:
            await cluster.set_rows("kariakoo", workers, slots=SLOTS_OF_ALL // workers)
            await cluster.wait_workers(workers)
            idle_share = await idle_cpu_share(entry)
            samples.append(
                Sample(name=f"idle,workers={workers}", value=100 * idle_share, unit="% of a core")
            )
            samples += await _measure_sizes(cluster, entry, workers, idle_share)
    return samples


async def _measure_sizes(
    cluster: CountedCluster, entry: EntryProcess, workers: int, idle_share: float
) -> list[Sample]:
    samples, sizes, costs = [], [], []
    for tasks, jobs in JOBS_BY_SIZE.items():
        calls = await _start_messages(cluster)
        began, before = time.monotonic(), cpu_s(entry.pid)
        await run_jobs(cluster, entry, jobs=jobs, tasks=tasks)
        used_s = cpu_s(entry.pid) - before - idle_share * (time.monotonic() - began)
        messages = (await _start_messages(cluster) - calls) / jobs
        us_per_job = used_s * 1e6 / jobs
        sizes.append((messages, tasks))
        costs.append(us_per_job)
        case = f"workers={workers},tasks={tasks}"
        samples += [
            Sample(name=f"cpu per job,{case}", value=us_per_job, unit="us"),
            Sample(name=f"cpu per task,{case}", value=us_per_job / tasks, unit="us"),
            Sample(name=f"start messages per job,{case}", value=messages, unit="messages"),
        ]
    line = fit_line(sizes, costs)
    for name, value in zip(
        ("job", "start message", "task"), (line.base, *line.slopes), strict=True
    ):
        samples.append(
            Sample(name=f"slope of cpu per {name},workers={workers}", value=value, unit="us")
        )
    return samples


async def measure_answers() -> list[Sample]:
    """Measure the processor time that larger answers of tasks cost."""
    samples = []
    async with open_cluster(entries=1) as cluster:
        entry = next(iter(cluster.entry_by_vm.values()))
        await cluster.set_rows("kariakoo", 4, slots=SLOTS_OF_ALL // 4)
        await cluster.wait_workers(4)
        for size in ECHO_BYTES:
            before = cpu_s(entry.pid)
            await run_jobs(cluster, entry, jobs=30, tasks=100, echo="x" * (size - 2))
            us_per_task = (cpu_s(entry.pid) - before) * 1e6 / 3_000
            samples.append(
                Sample(name=f"cpu per task,echo bytes={size}", value=us_per_task, unit="us")
            )
    return samples


async def run_jobs(
    cluster: CountedCluster,
    entry: EntryProcess,
    *,
    jobs: int,
    tasks: int,
    echo: object = 1,
    keys: Iterable[str] = (),
    at_once: int = AT_ONCE,
) -> None:
    """Send jobs, a few at once, and see that each is completed.

    :param keys: keys of the jobs, made here if none are given.
    """
    left = iter(list(keys) or [""] * jobs)

    async def send() -> None:
        for key in left:
            submission = make_job(tasks=tasks, run_ms=RUN_MS, echo=echo, key=key)
            _, answer = await cluster.submit(entry, submission)
            if answer["outcome"] != "completed":
                raise AssertionError(f"a job was not completed: {answer['reason']}")

    await asyncio.gather(*(send() for _ in range(at_once)))


def make_job(
    *, tasks: int, run_ms: float, echo: object = 1, key: str = "", domain: str = "kariakoo"
) -> dict:
    """A submission of tasks that sleep."""
    return {
        "key": key or f"{domain}/job-{next(_numbers):012}",
        "created_at": time.time(),
        "tenant": "school",
        "service": "transcriber",
        "attempt": 1,
        "tasks": [{"payload": {"sleep_ms": run_ms, "echo": echo}}] * tasks,
    }


async def idle_cpu_share(entry: EntryProcess, *, seconds: float = 1.5) -> float:
    """Return the share of a core that an entry uses while nothing is asked of it."""
    await asyncio.sleep(0.5)
    before = cpu_s(entry.pid)
    await asyncio.sleep(seconds)
    return (cpu_s(entry.pid) - before) / seconds


async def _start_messages(cluster: CountedCluster) -> int:
    async with cluster.session.get(cluster.many.fields["url"] + "/calls") as response:
        return msgspec.json.decode(await response.read()).get("start", 0)
