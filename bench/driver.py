"""Drive one scenario through real daemons and judge it by the workers' ledgers."""

from __future__ import annotations

import asyncio
import collections
import json
import random
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import numpy

from bench.scenarios import Scenario
from bench.workload import Arrival, make_arrivals
from tests.cluster import Cluster, Process
from zincwell.client import _confirms_not_run
from zincwell.models import Answer, Outcome, decode_answer

#: Hops between caller, entry and worker on loopback, as part of the ideal response time.
HOPS_MS = 5.0
DEADLINE_S = 30.0
LARGEST_SMALL_JOB = 10
SLOTS = 8
TICKS_PER_SECOND = 100
KB_PER_PAGE = 4


@dataclass(kw_only=True)
class Sent:
    """What became of one arrival.

    :ivar answers: outcomes of all attempts, the last one final.
    """

    arrival: Arrival
    key: str
    response_s: float = 0.0
    refused: int = 0
    lost: int = 0
    answer: Answer | None = None


@dataclass(kw_only=True)
class Report:
    """Figures of one run."""

    scenario: str
    system: str
    jobs: int
    tasks: int
    outcomes: dict[str, int]
    ratio: dict[str, dict[str, float]]
    wasted_per_task: float
    wasted: dict[str, float]
    refused_attempts: int
    false_not_run: int
    double_starts: int
    cpu_ms_per_task: float
    rss_mb: list[float] = field(default_factory=list)
    entry_messages: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Size:
    """Size of the system under load."""

    domains: int = 2
    entries: int = 2
    workers: int = 4

    @property
    def slots(self) -> int:
        """Slots of all workers."""
        return self.domains * self.workers * SLOTS


async def run_scenario(
    scenario: Scenario, *, size: Size, seed: int, baseline: bool = False
) -> Report:
    """Run a scenario and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            cluster = Cluster(folder=Path(folder), session=session)
            try:
                return await _run(cluster, scenario, size, seed, baseline)
            finally:
                await cluster.close()


async def _run(
    cluster: Cluster, scenario: Scenario, size: Size, seed: int, baseline: bool
) -> Report:
    names = ["kariakoo", "mikocheni", "ubungo", "kinondoni"][: size.domains]
    entries = 0 if baseline else size.entries
    await cluster.open(
        domains={name: (entries, size.workers) for name in names},
        slots=SLOTS,
        **scenario.document,
    )
    urls = {
        entry.vm: entry.callers
        for entry in cluster.entry_by_vm.values()
        if scenario.domain in ("", entry.domain)
    }
    processes: list[Process] = list(cluster.entry_by_vm.values())
    if baseline:
        started = await _start_baseline(cluster)
        urls, processes = {"baseline": started.fields["url"]}, [started]
    arrivals = make_arrivals(
        streams=scenario.streams, slots=size.slots, duration_s=scenario.duration_s, seed=seed
    )
    cpu_before = sum(_cpu_s(process) for process in processes)
    driver = Driver(cluster=cluster, urls=urls, seed=seed)
    sent = await driver.run(scenario, arrivals)
    cpu_s = sum(_cpu_s(process) for process in processes) - cpu_before
    return await _report(cluster, scenario, sent, cpu_s, processes, baseline, size)


async def _start_baseline(cluster: Cluster) -> Process:
    urls = [worker.url for worker in cluster.worker_by_vm.values()]
    return await cluster._start("baseline", "-m", "bench.baseline", *urls)


class Driver:
    """Sends arrivals at their times, whatever the answers, as callers do."""

    def __init__(self, *, cluster: Cluster, urls: dict[str, str], seed: int):
        self._cluster = cluster
        self._urls = urls
        self._random = random.Random(seed)

    async def run(self, scenario: Scenario, arrivals: list[Arrival]) -> list[Sent]:
        """Send all and wait for all answers."""
        faults = [
            asyncio.ensure_future(self._break(scenario.duration_s * part, fault))
            for part, fault in scenario.faults
        ]
        began = time.monotonic()
        sending = []
        for arrival in arrivals:
            delay_s = began + arrival.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            sending.append(asyncio.ensure_future(self._send(arrival, began + arrival.at_s)))
        sent = list(await asyncio.gather(*sending))
        await asyncio.gather(*faults)
        return sent

    async def _break(self, after_s: float, fault: Any) -> None:
        await asyncio.sleep(after_s)
        await fault(self._cluster)

    async def _send(self, arrival: Arrival, due_at: float) -> Sent:
        """Send one job until it has a final answer or its deadline is over.

        The response time counts from when it was due, not from when it was sent.
        """
        vm = self._random.choice(list(self._urls))
        sent = Sent(arrival=arrival, key=f"{self._domain(vm)}job-{arrival.number}")
        submission = self._submission(arrival, sent.key)
        attempt, never_run = 0, True
        while True:
            attempt += 1
            submission["attempt"], submission["never_run"] = attempt, never_run
            submission["sent_at"] = time.time()
            remaining_s = due_at + DEADLINE_S - time.monotonic()
            submission["deadline_ms"] = max(1, round(remaining_s * 1000))
            answer = await self._post(self._urls[vm], submission, remaining_s)
            never_run &= _confirms_not_run(answer)
            pause_s = self._pause_s(sent, answer)
            if pause_s is None or time.monotonic() + pause_s > due_at + DEADLINE_S:
                sent.answer = answer
                sent.response_s = time.monotonic() - due_at
                return sent
            await asyncio.sleep(pause_s)
            vm = self._random.choice(list(self._urls))

    def _pause_s(self, sent: Sent, answer: Answer | None) -> float | None:
        if answer is None:
            sent.lost += 1
            return self._random.uniform(0.05, 0.3)
        if answer.outcome is Outcome.COMPLETED or answer.retry_after_ms is None:
            return None
        sent.refused += 1
        return answer.retry_after_ms / 1000 * self._random.uniform(1.0, 1.5)

    async def _post(self, url: str, submission: dict, remaining_s: float) -> Answer | None:
        timeout = aiohttp.ClientTimeout(total=max(remaining_s, 0.1), sock_connect=1.0)
        body = msgspec.json.encode(submission)
        try:
            async with self._cluster.session.post(
                url + "/v1/submissions", data=body, timeout=timeout
            ) as response:
                return decode_answer(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _domain(self, vm: str) -> str:
        entry = self._cluster.entry_by_vm.get(vm)
        return f"{entry.domain}/" if entry is not None else ""

    def _submission(self, arrival: Arrival, key: str) -> dict[str, Any]:
        return {
            "key": key,
            "created_at": time.time(),
            "tenant": arrival.tenant,
            "service": "transcriber",
            "urgency": "urgent",
            "tasks": [
                {"payload": {"sleep_ms": run_ms, "echo": n}, "run_ms": arrival.declared_ms}
                for n, run_ms in enumerate(arrival.run_ms)
            ],
        }


# -- figures -----------------------------------------------------------------------------


async def _report(
    cluster: Cluster,
    scenario: Scenario,
    sent: list[Sent],
    cpu_s: float,
    processes: list[Process],
    baseline: bool,
    size: Size,
) -> Report:
    starts = await cluster.starts_by_task()
    tasks = sum(len(one.arrival.run_ms) for one in sent)
    wasted, messages = await _wasted(cluster)
    outcomes = collections.Counter(
        one.answer.outcome.value if one.answer and one.answer.outcome else "no_answer"
        for one in sent
    )
    domain_slots = size.slots if baseline or scenario.domain else size.workers * SLOTS
    return Report(
        scenario=scenario.name,
        system="baseline" if baseline else "zincwell",
        jobs=len(sent),
        tasks=tasks,
        outcomes=dict(outcomes),
        ratio=_ratios(sent, domain_slots),
        wasted_per_task=round(sum(wasted.values()) / max(tasks, 1), 4),
        wasted={kind: round(count / max(tasks, 1), 4) for kind, count in wasted.items()},
        refused_attempts=sum(one.refused for one in sent),
        false_not_run=_count_false_not_run(sent, starts),
        double_starts=sum(1 for count in starts.values() if count > 1),
        cpu_ms_per_task=round(cpu_s * 1000 / max(tasks, 1), 3),
        rss_mb=[_rss_mb(process) for process in processes if _lives(process)],
        entry_messages=messages,
    )


def _ratios(sent: list[Sent], slots: int) -> dict[str, dict[str, float]]:
    ratios_by_name = collections.defaultdict(list)
    for one in sent:
        if one.answer is None or one.answer.outcome is not Outcome.COMPLETED:
            continue
        ideal_ms = max(max(one.arrival.run_ms), one.arrival.work_ms / slots) + HOPS_MS
        ratio = one.response_s * 1000 / ideal_ms
        size = "small" if len(one.arrival.run_ms) <= LARGEST_SMALL_JOB else "large"
        for name in (one.arrival.tenant, f"{one.arrival.tenant}/{size}", size, "all"):
            ratios_by_name[name].append(ratio)
    return {
        name: {
            "p50": round(float(numpy.percentile(ratios, 50)), 3),
            "p99": round(float(numpy.percentile(ratios, 99)), 3),
            "max": round(max(ratios), 3),
            "jobs": len(ratios),
        }
        for name, ratios in sorted(ratios_by_name.items())
    }


async def _wasted(cluster: Cluster) -> tuple[dict[str, int], dict[str, int]]:
    """Count messages that did no work: at the workers, and between entries."""
    wasted: collections.Counter[str] = collections.Counter()
    for worker in cluster.worker_by_vm.values():
        if not _lives(worker):
            continue
        calls = await cluster.get(worker.url + "/calls")
        for kind in ("refused", "watch", "stop", "stop_of_finished"):
            wasted[kind] += calls.get(kind, 0)
    messages: collections.Counter[str] = collections.Counter()
    for entry in cluster.live_entries():
        metrics = await cluster.get(entry.operators + "/metrics")
        for counter in metrics["counters"]:
            if counter["name"] == "wasted" and counter["kind"].startswith(("retry", "spill")):
                wasted[counter["kind"]] += counter["count"]
            if counter["name"] == "peer_messages":
                messages[counter["kind"]] += counter["count"]
    wasted["attach"] += messages.get("/peer/attach", 0)
    return dict(wasted), dict(messages)


def _count_false_not_run(sent: list[Sent], starts: dict[str, int]) -> int:
    """Count jobs and tasks that were finally said not to have run, yet were started."""
    false = 0
    for one in sent:
        if one.answer is None:
            continue
        names = {n: f"{one.key}@{one.arrival.tenant}#{n}" for n in range(len(one.arrival.run_ms))}
        if one.answer.tasks:
            not_run = [t.index for t in one.answer.tasks if t.outcome is Outcome.NOT_RUN]
        else:
            not_run = list(names) if one.answer.outcome is Outcome.NOT_RUN else []
        false += sum(1 for n in not_run if starts.get(names[n], 0))
    return false


def _lives(process: Process) -> bool:
    return process.process.returncode is None


def _cpu_s(process: Process) -> float:
    try:
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _rss_mb(process: Process) -> float:
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return round(pages * KB_PER_PAGE / 1024, 1)


def write_report(report: Report, folder: Path) -> Path:
    """Store a report as JSON and return where."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{report.scenario}-{report.system}.json"
    path.write_text(json.dumps(asdict(report), indent=2) + "\n")
    return path
