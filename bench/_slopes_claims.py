"""Processor time and memory of a home by claims, and of handing its keys over."""

from __future__ import annotations

import itertools
import time

import msgspec

from bench._slopes_cluster import CountedCluster, cpu_s, open_cluster, rss_kb
from bench._slopes_figures import Sample, fit_line
from bench._slopes_tasks import idle_cpu_share, run_jobs
from tests.cluster import EntryProcess
from zincwell.adapters import SystemClock
from zincwell.core._home import Home
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import Claim, ClaimBatch, HandoverCall, HandoverReply
from zincwell.core._seat import SeatKeeper
from zincwell.settings import TimingSettings

CLAIMS_BY_BATCH = {1: 1_000, 10: 4_000, 100: 20_000, 500: 25_000}
KEYS = (0, 10_000, 30_000)
JOBS = 400
ASKER = Seat(vm="entry-99", incarnation="0123456789ab", domain="kariakoo", url="http://127.0.0.1:1")
_numbers = itertools.count()


async def measure_claims() -> list[Sample]:
    """Measure claims at a home by the number in one message, and a claim's whole round."""
    samples, sizes, costs = [], [], []
    async with open_cluster(entries=1) as cluster:
        entry = next(iter(cluster.entry_by_vm.values()))
        idle_share = await idle_cpu_share(entry)
        for batch, claims in CLAIMS_BY_BATCH.items():
            rss_before = rss_kb(entry.pid)
            began, before = time.monotonic(), cpu_s(entry.pid)
            sent = await send_claims(cluster, entry, claims=claims, batch=batch)
            used_s = cpu_s(entry.pid) - before - idle_share * (time.monotonic() - began)
            us_per_claim = used_s * 1e6 / claims
            sizes.append((batch,))
            costs.append(us_per_claim * batch)
            samples += [
                Sample(
                    name=f"cpu of the home per claim,batch={batch}", value=us_per_claim, unit="us"
                ),
                Sample(
                    name=f"body bytes per claim,batch={batch}", value=sent / claims, unit="bytes"
                ),
            ]
            if batch == max(CLAIMS_BY_BATCH):
                grown = (rss_kb(entry.pid) - rss_before) * 1024 / claims
                samples.append(Sample(name="memory per key at a home", value=grown, unit="bytes"))
    line = fit_line(sizes, costs)
    samples.append(Sample(name="slope of cpu per message of claims", value=line.base, unit="us"))
    samples.append(Sample(name="slope of cpu per claim", value=line.slopes[0], unit="us"))
    return samples + await _measure_round()


async def _measure_round() -> list[Sample]:
    """Measure jobs of one task whose key has its home here, and at the other entry."""
    samples = []
    async with open_cluster(entries=2) as cluster:
        await cluster.set_rows("kariakoo", 4, slots=650)
        await cluster.wait_workers(4)
        asker, home = cluster.entry_by_vm.values()
        for where, wanted in (("here", asker), ("at the other entry", home)):
            keys = _keys_of(cluster, wanted, JOBS)
            idle = [await idle_cpu_share(entry) for entry in (asker, home)]
            began = time.monotonic()
            before = [cpu_s(entry.pid) for entry in (asker, home)]
            await run_jobs(cluster, asker, jobs=JOBS, tasks=1, keys=keys)
            took_s = time.monotonic() - began
            for name, entry, share, start in zip(
                ("asker", "other entry"), (asker, home), idle, before, strict=True
            ):
                used_s = cpu_s(entry.pid) - start - share * took_s
                samples.append(
                    Sample(
                        name=f"cpu of the {name} per job of 1 task,home {where}",
                        value=used_s * 1e6 / JOBS,
                        unit="us",
                    )
                )
    return samples


def _keys_of(cluster: CountedCluster, home: EntryProcess, count: int) -> list[str]:
    made = (f"kariakoo/claim-{next(_numbers):010}" for _ in itertools.count())
    return list(itertools.islice((k for k in made if cluster.home_of(k).vm == home.vm), count))


async def send_claims(
    cluster: CountedCluster, home: EntryProcess, *, claims: int, batch: int
) -> int:
    """Have new keys granted by a home and return the bytes of all bodies sent to it."""
    sent = 0
    for _ in range(claims // batch):
        body = msgspec.json.encode(ClaimBatch(asker=ASKER, claims=make_claims(batch)))
        sent += len(body)
        url = home.fields["peers"] + "/peer/claims"
        async with cluster.session.post(url, data=body) as response:
            replies = msgspec.json.decode(await response.read())
        if any(reply["kind"] != "granted" for reply in replies):
            raise AssertionError(f"not granted: {replies[0]}")
    return sent


def make_claims(count: int) -> list[Claim]:
    """Claims of new keys."""
    now = time.time()
    return [
        Claim(key=f"kariakoo/{next(_numbers):032x}@school", created_at=now, attempt=1)
        for _ in range(count)
    ]


async def measure_handover() -> list[Sample]:
    """Measure what handing keys over costs the entry that has them, and the one that takes them.

    The entry that asks is made up; half of the keys are homed at it by rendezvous hashing.
    """
    samples, sizes, costs, sent, receive = [], [], [], [], []
    for keys in KEYS:
        async with open_cluster(entries=1) as cluster:
            entry = next(iter(cluster.entry_by_vm.values()))
            await send_claims(cluster, entry, claims=keys, batch=500)
            call = HandoverCall(seat=await _open_seat(cluster, entry), domains=["kariakoo"])
            before = cpu_s(entry.pid)
            began = time.monotonic()
            raw = await _ask_handover(cluster, entry, call)
            took_ms = (time.monotonic() - began) * 1000
            used_ms = (cpu_s(entry.pid) - before) * 1000
        reply = msgspec.json.decode(raw, type=HandoverReply)
        sizes.append((keys, len(reply.keys)))
        costs.append(used_ms)
        samples += [
            Sample(name=f"keys handed over,keys known={keys}", value=len(reply.keys), unit="keys"),
            Sample(name=f"time until the answer,keys known={keys}", value=took_ms, unit="ms"),
            Sample(name=f"cpu of the entry asked,keys known={keys}", value=used_ms, unit="ms"),
        ]
        if reply.keys:
            per_key = len(raw) / len(reply.keys)
            sent.append(per_key)
            receive.append(_take_over_us(raw) / len(reply.keys))
    for name, values, unit in (
        ("bytes per key handed over", sent, "bytes"),
        ("cpu of the new home per key taken over", receive, "us"),
    ):
        samples.append(Sample(name=name, value=values[-1], unit=unit))
    known = KEYS[-1] - KEYS[1]
    per_key_us = (costs[-1] - costs[1]) * 1000 / known
    samples.append(
        Sample(name="slope of cpu of the entry asked per key known", value=per_key_us, unit="us")
    )
    return samples


async def _open_seat(cluster: CountedCluster, entry: EntryProcess) -> Seat:
    """Open the seat of a made-up entry through the log, and wait until the entry knows it."""
    record = {
        "kind": "open",
        "vm": ASKER.vm,
        "incarnation": ASKER.incarnation,
        "domain": ASKER.domain,
        "url": ASKER.url,
    }
    _, answer = await cluster.post(cluster.log.fields["url"] + "/streams/seats", record)

    async def known() -> bool:
        return ASKER.vm in (await cluster.status(entry))["seats"]

    await cluster.wait_for("seat known", known)
    return msgspec.structs.replace(ASKER, opened=answer["offset"])


async def _ask_handover(cluster: CountedCluster, entry: EntryProcess, call: HandoverCall) -> bytes:
    body = msgspec.json.encode(call)
    url = entry.fields["peers"] + "/peer/handover"
    async with cluster.session.post(url, data=body) as response:
        return await response.read()


def _take_over_us(raw: bytes) -> float:
    """Return the processor time of decoding an answer and learning its keys, in µs."""
    home = make_home()
    before = time.process_time()
    home.merge_handover(msgspec.json.decode(raw, type=HandoverReply))
    return (time.process_time() - before) * 1e6


def make_home() -> Home:
    """A home whose seat is made up."""
    clock, timing, membership = SystemClock(), TimingSettings(), Membership()
    keeper = SeatKeeper(
        seat=ASKER,
        membership=membership,
        follower=None,
        log_service=None,
        clock=clock,
        timing=timing,
    )
    return Home(
        keeper=keeper,
        membership=membership,
        clock=clock,
        timing=timing,
        domains=lambda: [ASKER.domain],
        find_owned=lambda _: None,
    )
