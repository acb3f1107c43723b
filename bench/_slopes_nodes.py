"""What an entry spends while nothing is asked of it, by entries and workers of its domain."""

from __future__ import annotations

import asyncio
import statistics
import time
from collections import Counter
from dataclasses import dataclass

import msgspec

from bench._slopes_cluster import SLOTS, CountedCluster, cpu_s, open_cluster, rss_kb
from bench._slopes_figures import Sample, fit_line
from bench._slopes_tasks import idle_cpu_share, make_job
from tests.cluster import EntryProcess
from zincwell.core._membership import Seat
from zincwell.core._messages import Heartbeat
from zincwell.models import MAX_TASKS

ENTRIES = (2, 4, 8)
WORKERS = (4, 325)
#: With few entries the leases go through a relay that counts them; it can't carry those of all.
COUNTED_ENTRIES = 2
WINDOW_S = 3.0
SETTLE_S = 1.0
LONG_RUN_MS = 120_000
FILLED_SHARE = 0.9
QUEUED_TASKS = 500
HEARTBEATS = 500
ROWS = (0, 9_100)


@dataclass(kw_only=True)
class Window:
    """What an entry used over a while, per second; the median of all entries."""

    cpu_percent: float
    bytes_by_kind: dict[str, float]
    connections_to_workers: float


async def measure_nodes() -> list[Sample]:
    """Measure idle entries, entries that use most slots, and entries with tasks queued."""
    samples: list[Sample] = []
    window_by_case: dict[tuple[int, int], Window] = {}
    for entries in ENTRIES:
        async with open_cluster(entries=entries) as cluster:
            for workers in WORKERS:
                counted = entries <= COUNTED_ENTRIES
                await cluster.set_rows("kariakoo", workers, counted=counted)
                await cluster.wait_workers(workers)
                window = await _watch(cluster)
                window_by_case[entries, workers] = window
                case = f"entries={entries},workers={workers}"
                samples += _samples(f"idle,{case}", window)
                samples.append(
                    Sample(name=f"resident,{case}", value=_median_rss(cluster), unit="KB")
                )
                if entries == ENTRIES[0]:
                    samples += await _measure_answers(cluster, workers)
            if entries > 1:
                await _fill(cluster, entries)
                window = await _watch(cluster)
                samples += _samples(f"most slots in use,entries={entries},workers=325", window)
                await _submit_everywhere(cluster, QUEUED_TASKS)
                window = await _watch(cluster)
                samples += _samples(f"tasks queued,entries={entries},workers=325", window)
    return samples + _lines(window_by_case)


def _lines(window_by_case: dict[tuple[int, int], Window]) -> list[Sample]:
    """Fit idle processor time and bytes by peers and workers."""
    sizes = [(e - 1, w, (e - 1) * w) for e, w in window_by_case]
    line = fit_line(sizes, [window.cpu_percent for window in window_by_case.values()])
    names = ("base", "per peer", "per worker", "per peer and worker")
    samples = [
        Sample(name=f"slope of idle cpu {name}", value=value, unit="% of a core")
        for name, value in zip(names, (line.base, *line.slopes), strict=True)
    ]
    few = {
        e: w.bytes_by_kind["peers"] for (e, workers), w in window_by_case.items() if workers == 4
    }
    peers = fit_line([(entries - 1,) for entries in few], list(few.values()))
    samples.append(Sample(name="slope of bytes per peer", value=peers.slopes[0], unit="bytes/s"))
    return samples


def _samples(case: str, window: Window) -> list[Sample]:
    samples = [Sample(name=f"cpu,{case}", value=window.cpu_percent, unit="% of a core")]
    for kind, value in window.bytes_by_kind.items():
        samples.append(Sample(name=f"bytes of {kind},{case}", value=value, unit="bytes/s"))
    if "leases" in window.bytes_by_kind:
        samples.append(
            Sample(
                name=f"connections to workers,{case}",
                value=window.connections_to_workers,
                unit="opened/s",
            )
        )
    return samples


async def _watch(cluster: CountedCluster) -> Window:
    """Watch all entries for a while."""
    await asyncio.sleep(SETTLE_S)
    entries = cluster.live_entries()
    counted = cluster.many_relay.connections_by_source.total() > 0
    before = [(cpu_s(entry.pid), _bytes_of(cluster, entry)) for entry in entries]
    opened = cluster.many_relay.connections_by_source.total()
    await asyncio.sleep(WINDOW_S)
    opened = cluster.many_relay.connections_by_source.total() - opened
    used, grown = [], []
    for entry, (cpu_before, bytes_before) in zip(entries, before, strict=True):
        used.append((cpu_s(entry.pid) - cpu_before) / WINDOW_S)
        grown.append(_bytes_of(cluster, entry) - bytes_before)
    kinds = ["peers", "log", "list", "leases"] if counted else ["peers", "log", "list"]
    return Window(
        cpu_percent=100 * statistics.median(used),
        bytes_by_kind={
            kind: statistics.median(one[kind] for one in grown) / WINDOW_S for kind in kinds
        },
        connections_to_workers=opened / len(entries) / WINDOW_S,
    )


def _bytes_of(cluster: CountedCluster, entry: EntryProcess) -> Counter[str]:
    """Return the bytes that an entry has sent and received, by kind of the other end."""
    others = [other.relay for other in cluster.entry_by_vm.values() if other is not entry]
    source = entry.address
    called = sum(relay.bytes_by_source[source] for relay in others)
    return Counter(
        peers=called + entry.relay.total_bytes(),
        log=cluster.log_relay.bytes_by_source[source],
        list=cluster.directory_relay.bytes_by_source[source],
        leases=cluster.many_relay.bytes_by_source[source],
    )


def _median_rss(cluster: CountedCluster) -> float:
    return statistics.median(rss_kb(entry.pid) for entry in cluster.live_entries())


async def _fill(cluster: CountedCluster, entries: int) -> None:
    """Have each entry use most of its part of every worker's slots for the rest of the run."""
    tasks = round(FILLED_SHARE * WORKERS[-1] * SLOTS / entries)
    while tasks > 0:
        await _submit_everywhere(cluster, min(tasks, MAX_TASKS))
        tasks -= MAX_TASKS


async def _submit_everywhere(cluster: CountedCluster, tasks: int) -> None:
    for entry in cluster.live_entries():
        job = make_job(tasks=tasks, run_ms=LONG_RUN_MS)
        await cluster.submit(entry, {**job, "deadline_ms": 600_000}, wait=False)


async def _measure_answers(cluster: CountedCluster, workers: int) -> list[Sample]:
    """Measure the processor time of answering a heartbeat."""
    entry = cluster.live_entries()[0]
    idle_share = await idle_cpu_share(entry)
    seat = Seat(vm="entry-99", incarnation="0123456789ab", domain="kariakoo", url="")
    body = msgspec.json.encode(Heartbeat(seat=seat, epoch=0, config=0))
    url = entry.fields["peers"] + "/peer/heartbeat"
    began, before = time.monotonic(), cpu_s(entry.pid)
    for _ in range(HEARTBEATS):
        async with cluster.session.post(url, data=body) as response:
            await response.read()
    used_s = cpu_s(entry.pid) - before - idle_share * (time.monotonic() - began)
    return [
        Sample(
            name=f"cpu per heartbeat answered,workers={workers}",
            value=used_s * 1e6 / HEARTBEATS,
            unit="us",
        )
    ]


async def measure_list() -> list[Sample]:
    """Measure reading a list of VMs that holds the workers of other domains too."""
    samples, costs, sizes = [], [], []
    async with open_cluster(entries=1) as cluster:
        entry = cluster.live_entries()[0]
        for rows in ROWS:
            await cluster.set_rows("mikocheni", rows)
            rss_before = rss_kb(entry.pid)
            window = await _watch(cluster)
            sizes.append(rows)
            costs.append((window.cpu_percent, window.bytes_by_kind["list"], rss_before))
            samples += _samples(f"idle,rows of other domains={rows}", window)
            samples.append(
                Sample(
                    name=f"resident,rows of other domains={rows}",
                    value=rss_kb(entry.pid),
                    unit="KB",
                )
            )
    reads_per_s = 2
    per_row = ROWS[-1] * reads_per_s
    samples += [
        Sample(
            name="slope of cpu per row read",
            value=(costs[-1][0] - costs[0][0]) * 1e4 / per_row,
            unit="us",
        ),
        Sample(
            name="slope of bytes per row read",
            value=(costs[-1][1] - costs[0][1]) / per_row,
            unit="bytes",
        ),
    ]
    return samples
