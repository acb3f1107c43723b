"""Cost of the configuration: folding a change, its bytes, and the time until it is in force."""

from __future__ import annotations

import asyncio
import copy
import time
from typing import Any

import msgspec

from bench._slopes_cluster import CountedCluster, cpu_s, open_cluster
from bench._slopes_figures import Sample
from bench._slopes_tasks import idle_cpu_share
from tests.cluster import EntryProcess
from zincwell.core._configuration import Change, Configuration
from zincwell.core._membership import Membership, OpenSeat
from zincwell.ports import Record

TENANTS = (0, 190)
FOLDED = 500
PUBLISHED = 20
ENTRIES = (2, 4, 8)
SEATS = 196


def make_document(tenants: int) -> dict[str, Any]:
    """A document as plain values, with two services, a pool each and classes of urgency."""
    return {
        "format": 1,
        "domains": [f"domain-{number:02}" for number in range(28)],
        "services": {"transcriber": {"pool": "braille"}, "newsdesk": {"pool": "audio"}},
        "pools": {"braille": {}, "audio": {}},
        "urgencies": {
            name: {"weight": 1.0, "max_queue_ms": 1_000, "max_run_ms": 60_000}
            for name in ("urgent", "normal", "batch")
        },
        "tenants": {
            f"tenant-{number:03}": {"weight": 1.0, "max_running": 400, "max_queued": 5_000}
            for number in range(tenants)
        },
    }


def make_configuration(*, tenants: int, changes: int) -> Configuration:
    """A configuration that has folded so many changes of one tenant."""
    configuration = Configuration()
    configuration.take(_record(0, -1, make_document(tenants)))
    for number in range(changes):
        configuration.take(_record(number + 1, number, _patch(number)))
    return configuration


def _patch(number: int) -> dict[str, Any]:
    return {"tenants": {f"tenant-{number % 190:03}": {"max_running": 400 + number}}}


def _record(offset: int, base: int, patch: dict[str, Any]) -> Record:
    change = Change(
        id=f"{offset:032x}", base=base, patch=patch, by="operator", note="a change of one quota"
    )
    raw = msgspec.json.encode(Record(offset=offset, value=msgspec.to_builtins(change)))
    return msgspec.json.decode(raw, type=Record)


async def measure_fold() -> list[Sample]:
    """Measure folding changes in this process, and the bytes of changes and snapshots."""
    samples = []
    for tenants in TENANTS:
        configuration = make_configuration(tenants=tenants, changes=0)
        records = [_record(n + 1, n, _patch(n)) for n in range(FOLDED)]
        before = time.process_time()
        for record in records:
            configuration.take(record)
        fold_us = (time.process_time() - before) * 1e6 / FOLDED
        snapshot = msgspec.json.encode(configuration.snapshot())
        document = msgspec.json.encode(make_document(tenants))
        case = f"tenants={tenants}"
        samples += [
            Sample(name=f"cpu per change folded,{case}", value=fold_us, unit="us"),
            Sample(
                name=f"bytes of a change,{case}",
                value=len(msgspec.json.encode(records[0])),
                unit="bytes",
            ),
            Sample(
                name=f"bytes of a snapshot with 100 verdicts,{case}",
                value=len(snapshot),
                unit="bytes",
            ),
            Sample(name=f"bytes of the document,{case}", value=len(document), unit="bytes"),
        ]
    samples.append(
        Sample(name=f"bytes of a snapshot of {SEATS} seats", value=_seats_bytes(), unit="bytes")
    )
    return samples


def _seats_bytes() -> int:
    membership = Membership()
    for number in range(SEATS):
        seat = OpenSeat(
            vm=f"entry-{number:05}",
            incarnation=f"{number:012x}",
            domain=f"domain-{number % 28:02}",
            url=f"http://10.0.{number // 256}.{number % 256}:7001",
        )
        membership.take(Record(offset=number, value=msgspec.to_builtins(seat)))
    return len(msgspec.json.encode(membership.snapshot()))


async def measure_changes() -> list[Sample]:
    """Measure the time from publishing to in force on all entries, and what it costs each."""
    samples = []
    for entries in ENTRIES:
        document = make_document(190)
        del document["domains"]
        async with open_cluster(entries=entries, **_own(document)) as cluster:
            publisher, last = cluster.live_entries()[0], cluster.live_entries()[-1]
            idle_share = await idle_cpu_share(last)
            read = cluster.log_relay.bytes_by_source[last.address]
            began, before = time.monotonic(), cpu_s(last.pid)
            took_ms = [await _publish(cluster, publisher, n) for n in range(PUBLISHED)]
            used_s = cpu_s(last.pid) - before - idle_share * (time.monotonic() - began)
            read = cluster.log_relay.bytes_by_source[last.address] - read
            case = f"entries={entries}"
            took_ms.sort()
            samples += [
                Sample(
                    name=f"median time to in force everywhere,{case}",
                    value=took_ms[PUBLISHED // 2],
                    unit="ms",
                ),
                Sample(
                    name=f"longest time to in force everywhere,{case}",
                    value=took_ms[-1],
                    unit="ms",
                ),
                Sample(
                    name=f"cpu of a follower per change,{case}",
                    value=used_s * 1e6 / PUBLISHED,
                    unit="us",
                ),
                Sample(
                    name=f"bytes with the log per change,{case}",
                    value=read / PUBLISHED,
                    unit="bytes",
                ),
            ]
    return samples


def _own(document: dict[str, Any]) -> dict[str, Any]:
    """Leave to the cluster what it sets itself."""
    return {name: value for name, value in document.items() if name != "format"}


async def _publish(cluster: CountedCluster, publisher: EntryProcess, number: int) -> float:
    """Publish a change and return the milliseconds until each entry has it in force.

    Whether it is in force is seen in each entry's log of events, not asked for: asking would
    cost the followers time that is measured.
    """
    shown = await cluster.get(publisher.operators + "/v1/config")
    document = copy.deepcopy(shown["document"])
    document["tenants"][f"tenant-{number:03}"]["max_running"] = 500 + number
    change_id = f"change-{number}-of-one-quota"
    proposal = {"id": change_id, "base": shown["version"], "document": document}
    began = time.monotonic()
    status, _ = await cluster.post(publisher.operators + "/v1/config", proposal)
    if status != 200:
        raise AssertionError(f"change {number} was answered {status}")

    def seen(entry: EntryProcess) -> bool:
        return change_id in entry.log_text()[-20_000:]

    while not all(seen(entry) for entry in cluster.live_entries()):
        await asyncio.sleep(0.001)
    return (time.monotonic() - began) * 1000
