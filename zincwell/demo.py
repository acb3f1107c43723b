"""Demo that runs a job on an entry, a platform and workers in one process."""

from __future__ import annotations

import asyncio
import time

from zincwell.client import Client
from zincwell.entry import Entry
from zincwell.exceptions import ZincwellError
from zincwell.logs import configure_logging
from zincwell.loops import new_event_loop
from zincwell.models import Answer, Outcome
from zincwell.ports import Vm
from zincwell.settings import PlatformSettings, Settings, TimingSettings
from zincwell.standins import StandinDirectory, StandinLog, StandinWorker

DOMAIN = "kariakoo"
WORKERS = 4
SLOTS = 8
PAGES = 40
OPEN_TIMEOUT_S = 10.0
DOCUMENT = {
    "format": 1,
    "domains": [DOMAIN],
    "services": {"transcriber": {"pool": "braille"}},
    "pools": {"braille": {}},
    "tenants": {"school": {"weight": 1.0}},
}


def run_demo() -> None:
    """Run the demo and print its progress.

    :raises ZincwellError: if the job does not complete.
    """
    configure_logging("warning")
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_demo())


async def _demo() -> None:
    log, directory = StandinLog(), StandinDirectory()
    await log.open()
    await directory.open()
    workers = [StandinWorker(slots=SLOTS) for _ in range(WORKERS)]
    for number, worker in enumerate(workers):
        await worker.open()
        directory.put(_make_vm(number, worker))
    print(f"platform: a log, a VM directory and {WORKERS} workers with {SLOTS} slots each")
    await log._store("config", {"kind": "change", "id": "demo", "base": -1, "patch": DOCUMENT})
    entry = Entry(settings=_make_settings(log, directory))
    await entry.open()
    await _wait_until_ready(entry)
    print(f"entry: callers at {entry.callers.url}")
    try:
        await _run_job(entry, workers)
    finally:
        await entry.drain()
        for standin in (log, directory, *workers):
            await standin.close()


def _make_vm(number: int, worker: StandinWorker) -> Vm:
    return Vm(
        vm=f"worker-{number}",
        role="worker",
        domain=DOMAIN,
        url=worker.url,
        pool="braille",
        slots=SLOTS,
        memory_mb=256_000,
    )


def _make_settings(log: StandinLog, directory: StandinDirectory) -> Settings:
    return Settings(
        vm="entry-0",
        domain=DOMAIN,
        platform=PlatformSettings(log_url=log.url, directory_url=directory.url),
        timing=TimingSettings(drain_notice_s=0.1),
    )


async def _wait_until_ready(entry: Entry) -> None:
    async def ready() -> None:
        while not (entry.is_ready() and entry.keeper.may_grant() and entry.has_workers()):
            await asyncio.sleep(0.05)

    try:
        await asyncio.wait_for(ready(), OPEN_TIMEOUT_S)
    except TimeoutError as error:
        raise ZincwellError("the entry did not become ready in time") from error


async def _run_job(entry: Entry, workers: list[StandinWorker]) -> None:
    pages = [{"sleep_ms": 50 + 10 * (n % 20), "echo": f"page {n}"} for n in range(PAGES)]
    ideal_ms = max(page["sleep_ms"] for page in pages)
    async with Client(urls=[entry.callers.url], tenant="school") as client:
        began = time.monotonic()
        key = await client.make_key()
        running = asyncio.ensure_future(client.submit("transcriber", pages, key=key))
        while not running.done():
            print(f"progress: {entry.progress()} of {PAGES} tasks done")
            await asyncio.wait([running], timeout=0.1)
        answer = running.result()
        took_ms = (time.monotonic() - began) * 1000
        again = await client.submit("transcriber", pages, key=key)
    starts = sum(len(worker.ledger) for worker in workers)
    _print_summary(answer, again, starts, took_ms, ideal_ms)


def _print_summary(
    answer: Answer, again: Answer, starts: int, took_ms: float, ideal_ms: float
) -> None:
    if answer.outcome is not Outcome.COMPLETED:
        raise ZincwellError(f"the job is {answer.outcome}: {answer.reason} {answer.detail}")
    for task in answer.tasks[:3]:
        print(f"task {task.index}: {task.outcome} {task.json()!r}")
    print(f"... {len(answer.tasks)} tasks, outcome {answer.outcome}")
    print(f"response {took_ms:.0f} ms, longest task {ideal_ms} ms")
    print(f"resubmitted with the same key: {again.outcome}, starts at the workers: {starts}")
    if again != answer or starts != PAGES:
        raise ZincwellError("the second submission changed the answer or started tasks again")
