"""How long keys have no home that can grant: after a kill, a drain and a join."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bench._slopes_cluster import CountedCluster, open_cluster
from bench._slopes_figures import Sample
from bench._slopes_tasks import make_job
from tests.cluster import EntryProcess

ENTRIES = 3
EVERY_S = 0.02
BEFORE_S = 1.0
AFTER_S = 7.0
#: A job of one task without run time that takes longer than this had to wait for its home.
SLOW_S = 0.1


@dataclass(frozen=True, kw_only=True)
class Probe:
    """One job of one task, sent to an entry that stays.

    :ivar at_s: when it was sent, from the event on.
    """

    at_s: float
    took_s: float
    outcome: str


async def measure_recovery() -> list[Sample]:
    """Send small jobs at a steady rate to one entry while another goes or comes."""
    samples = []
    for name, event in (("kill", _kill), ("drain", _drain), ("join", _join)):
        async with open_cluster(entries=ENTRIES) as cluster:
            await cluster.set_rows("kariakoo", 4, slots=650)
            await cluster.wait_workers(4)
            probes = await _probe(cluster, event)
        samples += _judge(name, probes)
    return samples


async def _kill(cluster: CountedCluster) -> None:
    await cluster.live_entries()[-1].kill()


async def _drain(cluster: CountedCluster) -> None:
    await cluster.live_entries()[-1].terminate()


async def _join(cluster: CountedCluster) -> None:
    await cluster.add_entry("kariakoo")


async def _probe(
    cluster: CountedCluster, event: Callable[[CountedCluster], Awaitable[None]]
) -> list[Probe]:
    entry = cluster.live_entries()[0]
    began = time.monotonic()
    event_at = began + BEFORE_S
    happening, sending = None, []
    while time.monotonic() < event_at + AFTER_S:
        if happening is None and time.monotonic() >= event_at:
            happening = asyncio.ensure_future(event(cluster))
        sending.append(asyncio.ensure_future(_send(cluster, entry, event_at)))
        await asyncio.sleep(EVERY_S)
    probes = list(await asyncio.gather(*sending))
    await happening
    return probes


async def _send(cluster: CountedCluster, entry: EntryProcess, event_at: float) -> Probe:
    began = time.monotonic()
    _, answer = await cluster.submit(entry, make_job(tasks=1, run_ms=0))
    return Probe(
        at_s=began - event_at,
        took_s=time.monotonic() - began,
        outcome=answer.get("outcome", answer.get("reason", "")),
    )


def _judge(name: str, probes: list[Probe]) -> list[Sample]:
    """Return what the probes sent from the event on have met."""
    after = [probe for probe in probes if probe.at_s >= 0]
    hindered = [probe for probe in after if probe.took_s > SLOW_S or probe.outcome != "completed"]
    refused = [probe for probe in after if probe.outcome != "completed"]
    since_s = min((probe.at_s for probe in hindered), default=0.0)
    until_s = max((probe.at_s + probe.took_s for probe in hindered), default=0.0)
    return [
        Sample(name=f"{name}: from the event until all keys are granted", value=until_s, unit="s"),
        Sample(
            name=f"{name}: from the first job hindered to the last",
            value=until_s - since_s,
            unit="s",
        ),
        Sample(
            name=f"{name}: longest time of one job",
            value=max(probe.took_s for probe in after),
            unit="s",
        ),
        Sample(name=f"{name}: jobs hindered", value=len(hindered), unit="jobs"),
        Sample(name=f"{name}: jobs not completed", value=len(refused), unit="jobs"),
    ]
