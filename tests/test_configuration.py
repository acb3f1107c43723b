"""The configuration: the same document on every entry, with versions that never go back."""

from __future__ import annotations

import asyncio
import copy
import time

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, Equals, LessThan

from tests.cluster import Cluster, EntryProcess
from tests.samples import make_submission

TWO_DOMAINS = {"kariakoo": (2, 1), "ubungo": (2, 1)}


async def publish(
    cluster: Cluster, entry: EntryProcess, *, change_id: str, weight: float, base: int | None = None
) -> tuple[int, dict]:
    """Publish the document in force with another weight of one tenant."""
    shown = await cluster.get(entry.operators + "/v1/config")
    document = copy.deepcopy(shown["document"])
    document.setdefault("tenants", {})["school"] = {"weight": weight}
    proposal = {
        "id": change_id,
        "base": shown["version"] if base is None else base,
        "document": document,
    }
    return await cluster.post(entry.operators + "/v1/config", proposal)


async def weights(cluster: Cluster) -> list[float | None]:
    """Return the weight of the tenant ``school`` on each live entry."""
    found = []
    for entry in cluster.live_entries():
        shown = await cluster.get(entry.operators + "/v1/config")
        found.append(shown["document"].get("tenants", {}).get("school", {}).get("weight"))
    return found


async def wait_in_force(cluster: Cluster, weight: float) -> float:
    """Wait until a weight is in force on every live entry; return the time taken in seconds."""
    started_at = time.monotonic()

    async def everywhere() -> bool:
        return set(await weights(cluster)) == {weight}

    await cluster.wait_for(f"weight {weight} everywhere", everywhere)
    return time.monotonic() - started_at


async def test_change_is_in_force_everywhere(cluster: Cluster):
    await cluster.open(domains=TWO_DOMAINS)
    entry = cluster.entry_by_vm["entry-0"]

    status, verdict = await publish(cluster, entry, change_id="a", weight=2.0)

    await wait_in_force(cluster, 2.0)
    assert_that((status, verdict["accepted"]), Equals((200, True)))


async def test_concurrent_changes_from_one_version(cluster: Cluster):
    """Of two changes made from the same version, one is accepted, the same on every entry.

    Two operators publish at the same time at two entries. If each entry applied the change that
    it saw first, half of the entries would run one document and half the other.
    """
    await cluster.open(domains=TWO_DOMAINS)
    one, other = cluster.entry_by_vm["entry-0"], cluster.entry_by_vm["entry-3"]

    answers = await asyncio.gather(
        publish(cluster, one, change_id="a", weight=2.0),
        publish(cluster, other, change_id="b", weight=3.0),
    )

    won = 2.0 if answers[0][1]["accepted"] else 3.0
    loser = next(answer for status, answer in answers if status == 409)
    assert_that(sorted(status for status, _ in answers), Equals([200, 409]))
    assert_that(loser["reason"], Contains("not the version in force"))
    assert_that(loser["since"][0]["patch"]["tenants"]["school"]["weight"], Equals(won))
    await wait_in_force(cluster, won)


async def test_answer_of_the_log_lost_after_the_append(cluster: Cluster):
    """A change whose append was not answered comes into force once.

    The log appends the record, but its answer is lost, which looks as if the append had failed.
    An operator who then repeats the change must not undo a change made in between.
    """
    await cluster.open(domains=TWO_DOMAINS)
    entry = cluster.entry_by_vm["entry-0"]
    await cluster.control(cluster.log, lose_answers=1)

    status, verdict = await publish(cluster, entry, change_id="a", weight=2.0)
    await publish(cluster, entry, change_id="b", weight=3.0)
    repeated, same = await publish(cluster, entry, change_id="a", weight=2.0, base=0)

    assert_that((status, verdict["accepted"]), Equals((200, True)))
    assert_that((repeated, same["accepted"]), Equals((200, True)))
    await wait_in_force(cluster, 3.0)


async def test_log_outage_keeps_the_configuration_and_the_service(cluster: Cluster):
    """While the log is down, jobs are served under the last configuration.

    The log and the list of VMs stop answering; jobs and a change arrive; then both services
    return. If serving jobs depended on the platform, entries would refuse work in the outage.
    """
    await cluster.open(domains=TWO_DOMAINS)
    entry = cluster.entry_by_vm["entry-0"]
    await cluster.control(cluster.log, down=True)
    await cluster.control(cluster.directory, down=True)
    await cluster.wait_for("log missed", lambda: _has_lost_log(cluster, entry))

    answers = [
        await cluster.submit(entry, make_submission(key=f"kariakoo/{n}"))
        for entry in cluster.live_entries()
        for n in range(entry.pid, entry.pid + 5)
    ]
    status, refusal = await publish(cluster, entry, change_id="a", weight=2.0)
    await cluster.control(cluster.log, down=False)
    await cluster.control(cluster.directory, down=False)
    again, _ = await publish(cluster, entry, change_id="a", weight=2.0)

    assert_that([answer["outcome"] for _, answer in answers], AllMatch(Equals("completed")))
    assert_that((status, refusal["reason"]), Equals((503, "log_unavailable")))
    assert_that(again, Equals(200))
    await wait_in_force(cluster, 2.0)


async def test_entry_started_in_an_outage_loads_configuration_from_peers(cluster: Cluster):
    """An entry that starts while the log is down serves under the configuration of its peers.

    An entry is replaced while its domain can't reach the log. If the configuration could be read
    only from the log, replaced VMs would serve nothing until the platform is back.
    """
    await cluster.open(domains=TWO_DOMAINS)
    await cluster.control(cluster.log, down=True)

    new_entry = await cluster.add_entry("kariakoo")
    await cluster.wait_for("ready", lambda: _is_ready(cluster, new_entry))
    await cluster.wait_for("workers", lambda: _has_worker(cluster, new_entry))
    status, answer = await cluster.submit(new_entry, make_submission(key="kariakoo/a"))

    assert_that((status, answer["outcome"]), Equals((200, "completed")))


async def test_entry_started_after_log_retention_loads_snapshot(cluster: Cluster):
    """An entry that starts after the log has dropped the first records loads a snapshot.

    The log drops the records from which the configuration and the seats were computed. The
    streams can't be read from their beginning, so without snapshots a replaced VM would never
    become ready.
    """
    cluster.timing = {"snapshot_s": 1.0}
    await cluster.open(domains={"kariakoo": (2, 1)})
    entry = cluster.entry_by_vm["entry-0"]
    await publish(cluster, entry, change_id="a", weight=2.0)
    await cluster.wait_for("snapshot", lambda: _has_snapshot(cluster, "config"))
    await cluster.wait_for("snapshot", lambda: _has_snapshot(cluster, "seats"))
    for stream in ("config", "seats"):
        await _drop_before_snapshot(cluster, stream)
    for old in cluster.live_entries():
        await old.kill()

    new_entry = await cluster.add_entry("kariakoo")
    await cluster.wait_for("ready", lambda: _is_ready(cluster, new_entry))

    assert_that(await weights(cluster), Equals([2.0]))


async def test_version_never_goes_back(cluster: Cluster):
    """An entry that receives an older configuration from a peer keeps its own.

    One domain is partitioned from the platform while the other gets a change; then the
    partition heals. If the latest message were taken for the latest version, the change would
    come into force and be reverted.
    """
    await cluster.open(domains=TWO_DOMAINS)
    ahead = next(e for e in cluster.entry_by_vm.values() if e.domain == "kariakoo")
    cluster.cut_domains("kariakoo", "ubungo")
    cluster.cut_platform("ubungo")

    await publish(cluster, ahead, change_id="a", weight=2.0)
    seen = []
    cluster.heal_domains("kariakoo", "ubungo")
    await wait_in_force(cluster, 2.0)
    cluster.heal_platform("ubungo")
    for _ in range(20):
        seen += await weights(cluster)

    assert_that(seen, AllMatch(Equals(2.0)))


async def test_invalid_document_is_refused_with_its_field(cluster: Cluster):
    await cluster.open(domains={"kariakoo": (1, 1)})
    entry = cluster.entry_by_vm["entry-0"]
    shown = await cluster.get(entry.operators + "/v1/config")
    document = {**shown["document"], "services": {"transcriber": {"pool": "nowhere"}}}

    proposal = {"id": "a", "base": shown["version"], "document": document}
    status, answer = await cluster.post(entry.operators + "/v1/config", proposal)

    assert_that((status, answer["reason"]), Equals((400, "invalid_document")))
    assert_that(answer["detail"], Contains("$.services.transcriber.pool"))
    assert_that(shown["version"], LessThan(1))


async def _has_lost_log(cluster: Cluster, entry: EntryProcess) -> bool:
    return not (await cluster.status(entry))["log_reached"]


async def _is_ready(cluster: Cluster, entry: EntryProcess) -> bool:
    return (await cluster.status(entry))["ready"]


async def _has_worker(cluster: Cluster, entry: EntryProcess) -> bool:
    return any(worker["usable"] for worker in (await cluster.status(entry))["workers"])


async def _has_snapshot(cluster: Cluster, stream: str) -> bool:
    return await _last_snapshot(cluster, stream) is not None


async def _last_snapshot(cluster: Cluster, stream: str) -> dict | None:
    shown = await cluster.get(f"{cluster.log.fields['url']}/streams/{stream}?from=0")
    snapshots = [r for r in shown["records"] if r["value"]["kind"] == "snapshot"]
    return snapshots[-1] if snapshots else None


async def _drop_before_snapshot(cluster: Cluster, stream: str) -> None:
    snapshot = await _last_snapshot(cluster, stream)
    await cluster.control(cluster.log, drop={stream: snapshot["value"]["through"]})
