"""How many tasks a second one entry can carry when all callers wait for it."""

from __future__ import annotations

import time

from bench._slopes_cluster import cpu_s, open_cluster
from bench._slopes_figures import Sample
from bench._slopes_tasks import SLOTS_OF_ALL, run_jobs

WORKERS = (40, 325)
#: Jobs by tasks in one, about as many tasks for each.
JOBS_BY_SIZE = {1: 1_000, 30: 150, 1_200: 6}
TASKS_AT_ONCE = 1_800
PROCESSES = 3


async def measure_saturation() -> list[Sample]:
    """Measure one entry with far more jobs at once than it can carry.

    Much that an entry does once for all that has come in meanwhile is shared by more tasks
    then, so that a task costs less than under the light load of ``tasks``.
    """
    samples = []
    async with open_cluster(entries=1) as cluster:
        entry = cluster.live_entries()[0]
        more = [await cluster.start_many() for _ in range(PROCESSES)]
        for workers in WORKERS:
            slots = SLOTS_OF_ALL // workers
            await cluster.set_rows("kariakoo", workers, slots=slots, more=more)
            await cluster.wait_workers(workers)
            for tasks, jobs in JOBS_BY_SIZE.items():
                at_once = max(2, TASKS_AT_ONCE // tasks)
                began, before = time.monotonic(), cpu_s(entry.pid)
                await run_jobs(cluster, entry, jobs=jobs, tasks=tasks, at_once=at_once)
                took_s, used_s = time.monotonic() - began, cpu_s(entry.pid) - before
                case = f"workers={workers},tasks={tasks}"
                samples += [
                    Sample(name=f"tasks a second,{case}", value=jobs * tasks / took_s, unit="1/s"),
                    Sample(
                        name=f"cpu used,{case}", value=100 * used_s / took_s, unit="% of a core"
                    ),
                    Sample(
                        name=f"cpu per task,{case}", value=used_s * 1e6 / jobs / tasks, unit="us"
                    ),
                ]
    return samples
