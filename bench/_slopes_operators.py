"""Cost of what operators ask for and of what an entry does for itself each second."""

from __future__ import annotations

import time

import msgspec

from bench._slopes_claims import make_claims, make_home
from bench._slopes_cluster import CountedCluster, cpu_s, open_cluster
from bench._slopes_config import make_document
from bench._slopes_figures import Sample
from bench._slopes_memory import TENANTS, URGENCIES, make_metrics, make_owned_jobs
from bench._slopes_tasks import idle_cpu_share
from tests.cluster import EntryProcess
from zincwell.metrics import HISTOGRAMS, Metrics

WORKERS = 325
VIEWS = 50
PATHS = ("/status", "/v1/config")
KEYS = 50_000
JOBS = 20_000
RECORDS = 20_000


async def measure_operators() -> list[Sample]:
    """Measure what one view costs an entry with many workers and tenants."""
    document = make_document(TENANTS)
    del document["domains"], document["format"]
    async with open_cluster(entries=1, **document) as cluster:
        entry = cluster.live_entries()[0]
        await cluster.set_rows("kariakoo", WORKERS)
        await cluster.wait_workers(WORKERS)
        idle_share = await idle_cpu_share(entry)
        samples = []
        for path in PATHS:
            samples += await _measure_view(cluster, entry, path, idle_share)
    return samples


async def _measure_view(
    cluster: CountedCluster, entry: EntryProcess, path: str, idle_share: float
) -> list[Sample]:
    began, before = time.monotonic(), cpu_s(entry.pid)
    size = 0
    for _ in range(VIEWS):
        async with cluster.session.get(entry.operators + path) as response:
            size += len(await response.read())
    used_s = cpu_s(entry.pid) - before - idle_share * (time.monotonic() - began)
    return [
        Sample(name=f"cpu per view of {path}", value=used_s * 1e3 / VIEWS, unit="ms"),
        Sample(name=f"bytes per view of {path}", value=size / VIEWS, unit="bytes"),
    ]


async def measure_upkeep() -> list[Sample]:
    """Measure in this process what is looked through each second, and metrics."""
    home = make_home()
    for claim in make_claims(KEYS):
        home._grant(home._keeper.seat, claim, serial=1)
    owned_jobs = make_owned_jobs(JOBS, 1)
    metrics = make_metrics()
    count = TENANTS * len(URGENCIES) * len(HISTOGRAMS)
    before = time.process_time()
    shown = msgspec.json.encode(await metrics.snapshot())
    shown_us = (time.process_time() - before) * 1e6
    return [
        _timed("cpu per key to look for old ones", home.expire_old, KEYS),
        _timed("cpu per kept job to look for old ones", owned_jobs.expire_old, JOBS),
        _timed("cpu per duration noted", lambda: _observe(metrics), RECORDS),
        Sample(name="cpu per histogram shown", value=shown_us / count, unit="us"),
        Sample(name="bytes per histogram shown", value=len(shown) / count, unit="bytes"),
    ]


def _observe(metrics: Metrics) -> None:
    for _ in range(RECORDS):
        metrics.observe("run", 0.25, tenant="tenant-001", urgency="urgent")


def _timed(name: str, act, count: int) -> Sample:
    before = time.process_time()
    act()
    used_us = (time.process_time() - before) * 1e6
    return Sample(name=name, value=used_us / count, unit="us")
