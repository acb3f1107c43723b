"""Memory of what an entry keeps, counted over many of each, and of the libraries."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench._slopes_claims import ASKER, make_claims
from bench._slopes_cluster import rss_kb
from bench._slopes_config import make_configuration
from bench._slopes_figures import Sample
from zincwell.adapters import HttpWorkerTransport, SystemClock
from zincwell.core._jobs import Job, OwnedJobs, TaskState, make_answer
from zincwell.core._membership import Membership
from zincwell.core._messages import ClaimBatch, Load, OwnedKey
from zincwell.core._worker import Worker
from zincwell.metrics import HISTOGRAMS, Metrics
from zincwell.models import Outcome, Submission, TaskSpec
from zincwell.ports import Record, Vm
from zincwell.settings import MemorySettings, TimingSettings

TASKS = 1_200
PAYLOAD = msgspec.Raw(b'{"sleep_ms":250,"echo":1}')
OUTPUT = b'"0123456789012345678901234567890123456789"'
KEY_BATCH = 10
TENANTS = 190
URGENCIES = ("urgent", "normal", "batch")
#: Modules whose resident memory is told apart, each on top of those before it.
LAYERS = {
    "python with uvloop": "uvloop, asyncio",
    "and sanic, aiohttp and msgspec": "sanic, aiohttp, msgspec",
    "and OpenTelemetry and HDR histograms": "zincwell.metrics",
    "and all of zincwell": "zincwell.entry, zincwell.daemon",
}


async def measure_memory() -> list[Sample]:
    """Count the memory of each kind of state in this process."""
    job_and_tasks = _grown(lambda: [_make_job(TASKS) for _ in range(10)]) / 10
    job_alone = _grown(lambda: [_make_job(1) for _ in range(2_000)]) / 2_000
    per_task = (job_and_tasks - job_alone) / (TASKS - 1)
    kept_large = _grown(lambda: make_owned_jobs(10, TASKS)) / 10
    kept_small = _grown(lambda: make_owned_jobs(2_000, 1)) / 2_000
    per_kept_task = (kept_large - kept_small) / (TASKS - 1)
    values = {
        "queued job without its tasks": job_alone - per_task,
        "queued task": per_task,
        "kept job without its tasks": kept_small - per_kept_task,
        "kept task": per_kept_task,
        "key at a home": _grown(lambda: _make_keys(20_000)) / 20_000,
        "seat": _grown(lambda: _make_membership(1_000)) / 1_000,
        "worker without connections": await _grown_by_workers(300) / 300,
        "row of the list of VMs, while read": _grown(lambda: _make_rows(9_100)) / 9_100,
        "histogram": _grown(make_metrics) / (TENANTS * len(URGENCIES) * len(HISTOGRAMS)),
        f"configuration of {TENANTS} tenants with 100 verdicts": _grown(
            lambda: make_configuration(tenants=TENANTS, changes=100)
        ),
        "load of one peer, 325 workers in use": _grown(_make_loads) / 100,
    }
    return [Sample(name=name, value=value, unit="bytes") for name, value in values.items()]


async def measure_base() -> list[Sample]:
    """Measure the resident memory of fresh processes that import ever more."""
    samples, imports = [], []
    for name, modules in LAYERS.items():
        imports.append(modules)
        code = f"import {', '.join(imports)}; import sys; print(flush=True); sys.stdin.read()"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await process.stdout.readline()
        samples.append(Sample(name=f"resident: {name}", value=rss_kb(process.pid), unit="KB"))
        process.stdin.close()
        await process.wait()
    return samples


def _grown(make: Callable[[], Any]) -> float:
    """Return by how many bytes what is made and kept grows the memory."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return grown


def _make_job(tasks: int) -> Job:
    """Make a job as it arrives, so that no payload is shared with another."""
    number = time.monotonic_ns()
    submission = Submission(
        key=f"kariakoo/{number:032x}",
        created_at=time.time(),
        tenant="school",
        service="transcriber",
        tasks=[TaskSpec(payload=PAYLOAD)] * tasks,
    )
    read = msgspec.json.decode(msgspec.json.encode(submission), type=Submission)
    job = Job(
        key=f"{read.key}@{read.tenant}",
        tenant=read.tenant,
        service=read.service,
        pool="braille",
        urgency=read.urgency,
        created_at=read.created_at,
        deadline_at=0.0,
        arrived_at=0.0,
    )
    job.add_tasks(read.tasks, now=0.0)
    return job


def make_owned_jobs(jobs: int, tasks: int) -> OwnedJobs:
    """Make a store of finished jobs."""
    owned_jobs = OwnedJobs(clock=SystemClock(), timing=TimingSettings(), memory=MemorySettings())
    for _ in range(jobs):
        job = _make_job(tasks)
        owned_jobs.add(job, serial=1)
        for task in job.tasks:
            task.state, task.outcome = TaskState.FINAL, Outcome.COMPLETED
            task.output = msgspec.Raw(bytes(bytearray(OUTPUT)))
        job.answer.set_result(make_answer(job))
        owned_jobs.cache_answer(job)
    return owned_jobs


def _make_keys(keys: int) -> dict[str, OwnedKey]:
    """Make keys as a home has them from messages of claims."""
    owned_by_key = {}
    for _ in range(keys // KEY_BATCH):
        batch = ClaimBatch(asker=ASKER, claims=make_claims(KEY_BATCH))
        read = msgspec.json.decode(msgspec.json.encode(batch), type=ClaimBatch)
        for claim in read.claims:
            owned_by_key[claim.key] = OwnedKey(
                key=claim.key, owner=read.asker, serial=1, created_at=claim.created_at
            )
    return owned_by_key


def _make_membership(seats: int) -> Membership:
    membership = Membership()
    for number in range(seats):
        value = {
            "kind": "open",
            "vm": f"entry-{number:05}",
            "incarnation": f"{number:012x}",
            "domain": "kariakoo",
            "url": f"http://10.0.{number // 256}.{number % 256}:7001",
        }
        raw = msgspec.json.encode(Record(offset=number, value=value))
        membership.take(msgspec.json.decode(raw, type=Record))
    return membership


def _make_rows(rows: int) -> list[Vm]:
    made = [
        Vm(
            vm=f"worker-mikocheni-{number:04}",
            role="worker",
            domain="mikocheni",
            url=f"http://10.1.{number // 256}.{number % 256}:7100",
            pool="braille",
            rack=f"rack-{number // 6:03}",
            slots=8,
            memory_mb=256_000,
        )
        for number in range(rows)
    ]
    return msgspec.json.decode(msgspec.json.encode(made), type=list[Vm])


def _make_workers(workers: int) -> list[Worker]:
    def ignore(*_: object) -> None:
        return

    return [
        Worker(
            vm=vm,
            entry="entry-1:0123456789ab",
            transport=HttpWorkerTransport(url=vm.url, accept_silence_s=0.5, stream_silence_s=1.5),
            clock=SystemClock(),
            timing=TimingSettings(),
            on_event=ignore,
            on_lost=ignore,
            on_unsent=ignore,
            on_change=ignore,
        )
        for vm in _make_rows(workers)
    ]


async def _grown_by_workers(count: int) -> float:
    made: list[Worker] = []
    grown = _grown(lambda: made.extend(_make_workers(count)))
    for worker in made:
        await worker.close()
    return grown


def _make_loads() -> list[Load]:
    running = {f"worker-kariakoo-{number:04}": 1 for number in range(325)}
    raw = msgspec.json.encode(Load(running_by_worker=running))
    return [msgspec.json.decode(raw, type=Load) for _ in range(100)]


def make_metrics() -> Metrics:
    metrics = Metrics()
    for number in range(TENANTS):
        for urgency in URGENCIES:
            for name in HISTOGRAMS:
                metrics.observe(name, 0.25, tenant=f"tenant-{number:03}", urgency=urgency)
    return metrics
