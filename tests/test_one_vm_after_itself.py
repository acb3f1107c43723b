"""Owners that follow a process of their own VM, or themselves, beside workers out of sight."""

from __future__ import annotations

import asyncio
import os
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan

from tests.dispatch_world import World, make_job
from tests.pool_jobs import finish, submit
from zincwell.dispatch._types import JobRequest, Outcome

pytestmark = pytest.mark.looptime

# Longer than a successor remembers a worker that has left the list.
LAPSED_LONG_AGO_S = 6.0
# Callers that lose their entry send their jobs again after this time.
RESEND_AFTER_S = 1.3


def hide_workers(world: World, how: str, *worker_ids: str) -> None:
    """Let workers run on, but out of sight of an owner that starts now.

    :param how: ``unlisted`` or ``silent``.
    """
    for worker_id in worker_ids:
        if how == "unlisted":
            world.list_worker(None, worker_id=worker_id)
        else:
            for name in world.lives:
                world.cut(name, worker_id)


async def restart_owner(world: World, *, after_s: float, with_others: bool) -> str:
    """Kill the owner and start it again; return its name once it is elected again.

    :param with_others: kill all other entries as well, which start later. Else the others don't
        reach the store, so that they can't claim the cell.
    """
    owner = world.owners()[0]
    zones_by_name = {name: node.me.zone for name, node in world.nodes.items()}
    others = sorted(set(zones_by_name) - {owner})
    if with_others:
        for name in others:
            world.kill_node(name)
            world.loop.call_later(after_s + 0.6, world.add_node, name, zones_by_name[name])
    else:
        world.store_down_for.update(others)
    world.kill_node(owner)
    await asyncio.sleep(after_s)
    world.add_node(owner, zones_by_name[owner])
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)
    assert_that(world.owners(), Equals([owner]))
    world.store_down_for.clear()
    return owner


def tasks_twice_from_one_vm(world: World) -> list[str]:
    """Return the tasks with concurrent runs that two orders of one VM have started."""
    return [
        str(overlap.first.task)
        for overlap in world.overlaps
        if overlap.first.sender.entry == overlap.second.sender.entry
    ]


@pytest.mark.parametrize("how", ["unlisted", "silent"])
@pytest.mark.parametrize("with_others", [False, True])
@pytest.mark.parametrize("lost_before_s", [0.2, 0.5, 0.8, 1.1])
@pytest.mark.parametrize("after_s", [0.02, 0.3])
async def test_a_job_sent_again_runs_once_after_its_owner_has_restarted(
    world: World,
    after_s: float,
    lost_before_s: float,
    with_others: bool,
    how: str,
):
    # Guards against a second run: an entry is lost, the owner's process restarts and is elected
    # again, and the caller's resend comes while workers that it can't see still have their leases.
    world.sends_born = True
    await world.open(zones="ab", entries=3, workers=3)
    hidden = sorted(world.workers)[:3]
    if how == "unlisted":
        hide_workers(world, how, *hidden)
        await asyncio.sleep(LAPSED_LONG_AGO_S)
    lost = next(name for name in sorted(world.nodes) if name not in world.owners())
    for number in range(4):
        submit(world, lost, f"job-{number}", count=2, run_ms=4000)
    await asyncio.sleep(0.4)
    world.kill_node(lost)
    lost_at = world.loop.time()
    await asyncio.sleep(lost_before_s)
    if how == "silent":
        hide_workers(world, how, *hidden)
    owner = await restart_owner(world, after_s=after_s, with_others=with_others)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = [submit(world, owner, f"job-{n}", count=2, run_ms=4000) for n in range(4)]
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)
    assert_that(tasks_twice_from_one_vm(world), Equals([]))
    assert_that({start.sender.entry for start in world.recorded_starts}, Contains(owner))


@pytest.mark.parametrize("how", ["unlisted", "silent"])
@pytest.mark.parametrize("lost_before_s", [0.0, 0.2, 0.4, 0.6])
@pytest.mark.parametrize("other_term_s", [0.0, 0.25])
async def test_a_job_sent_again_runs_once_after_its_owner_has_won_back_its_term(
    world: World, other_term_s: float, lost_before_s: float, how: str
):
    # Guards against a second run: a process loses its term to an entry that ends at once, is
    # elected again, and gets a job from a caller's resend that it has started in its first term.
    await world.open(zones="ab", entries=3, workers=3)
    hidden = sorted(world.workers)[:3]
    if how == "unlisted":
        hide_workers(world, how, *hidden)
        await asyncio.sleep(LAPSED_LONG_AGO_S)
    owner = world.owners()[0]
    lost = next(name for name in sorted(world.nodes) if name != owner)
    for number in range(4):
        submit(world, lost, f"job-{number}", count=2, run_ms=4000)
    await asyncio.sleep(0.4)
    world.kill_node(lost)
    lost_at = world.loop.time()
    await asyncio.sleep(lost_before_s)
    others = sorted(set(world.nodes) - {owner})
    for name in others:
        world.cut(owner, name)
    async with asyncio.timeout(3):
        while world.owners() in ([owner], []):
            await asyncio.sleep(0.005)
    other = next(name for name in world.owners() if name != owner)
    for name in others:
        world.cuts.discard(frozenset((owner, name)))
    async with asyncio.timeout(2):
        while owner in world.owners():
            await asyncio.sleep(0.005)
    await asyncio.sleep(other_term_s)
    if how == "silent":
        hide_workers(world, how, *hidden)
    world.store_down_for.update(set(world.nodes) - {owner})
    world.kill_node(other)
    async with asyncio.timeout(4):
        while owner not in world.owners():
            await asyncio.sleep(0.005)
    assert_that(world.lives[owner], Equals(1))
    world.store_down_for.clear()
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = [submit(world, owner, f"job-{n}", count=2, run_ms=4000) for n in range(4)]
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)
    assert_that(tasks_twice_from_one_vm(world), Equals([]))


@pytest.mark.parametrize("lost_before_s", [0.2, 0.5, 0.8, 1.1])
@pytest.mark.parametrize("silent", [1, 3])
async def test_a_job_sent_again_runs_once_beside_listed_workers_that_do_not_answer(
    world: World, silent: int, lost_before_s: float
):
    # Guards against a second run: an entry is lost, then the owner, and the caller's resend comes
    # to the next owner while a listed worker that runs the job answers nothing.
    await world.open(zones="ab", entries=3, workers=3)
    owner = world.owners()[0]
    lost, caller = [name for name in sorted(world.nodes) if name != owner][:2]
    for number in range(4):
        submit(world, lost, f"job-{number}", count=2, run_ms=4000)
    await asyncio.sleep(0.4)
    world.kill_node(lost)
    lost_at = world.loop.time()
    await asyncio.sleep(lost_before_s)
    hide_workers(world, "silent", *sorted(world.workers)[:silent])
    world.kill_node(owner)
    async with asyncio.timeout(3):
        while not world.owners():
            await asyncio.sleep(0.005)
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    jobs = [submit(world, caller, f"job-{n}", count=2, run_ms=4000) for n in range(4)]
    await asyncio.sleep(2.0)
    world.heal()
    await finish(jobs, within_s=30)
    assert_that(world.overlaps, Equals([]))


async def call_until_answered(
    world: World, draw: random.Random, job: JobRequest, *, resends: bool
) -> Outcome:
    """Call as a caller does that turns to another entry when it has lost its own.

    :param resends: whether it does; else it gives up.
    """
    while True:
        outcome = await world.run_job(draw.choice(sorted(world.nodes)), job)
        if not resends or outcome.reason != "connection closed":
            return outcome
        await asyncio.sleep(RESEND_AFTER_S)


class RandomFaults:
    """Faults of one pool that overlap; each ends by itself but for lapsed list entries."""

    def __init__(self, *, world: World, draw: random.Random) -> None:
        self._world = world
        self._draw = draw
        self._unlisted: set[str] = set()
        self._zones_by_name = {name: node.me.zone for name, node in world.nodes.items()}
        self._faults = (
            self.restart_owner,
            self.restart_entry_then_owner,
            self.restart_entry,
            self.unlist_worker,
            self.unlist_worker,
            self.list_workers,
            self.silence_worker,
            self.cut_owner,
            self.lose_answers,
        )

    def inject(self) -> None:
        """Let one fault begin."""
        self._draw.choice(self._faults)()

    def restart_owner(self) -> None:
        if not self._world.owners() or len(self._world.nodes) < len(self._zones_by_name):
            return
        owner = self._world.owners()[0]
        if self._draw.random() < 0.7:
            # Then no other entry can claim the cell.
            others = set(self._world.nodes) - {owner}
            self._world.store_down_for.update(others)
            self._world.loop.call_later(0.8, self._world.store_down_for.difference_update, others)
        self._restart(owner, after_s=self._draw.uniform(0.02, 0.3))

    def restart_entry_then_owner(self) -> None:
        self.restart_entry()
        self._world.loop.call_later(self._draw.uniform(0.2, 1.2), self.restart_owner)

    def restart_entry(self) -> None:
        if len(self._world.nodes) == len(self._zones_by_name):
            name = self._draw.choice(sorted(self._world.nodes))
            self._restart(name, after_s=self._draw.uniform(0.05, 1.0))

    def _restart(self, name: str, *, after_s: float) -> None:
        self._world.kill_node(name)
        self._world.loop.call_later(after_s, self._world.add_node, name, self._zones_by_name[name])

    def unlist_worker(self) -> None:
        listed = sorted(set(self._world.workers) - self._unlisted)
        if len(self._unlisted) < len(self._world.workers) // 2:
            worker_id = self._draw.choice(listed)
            self._unlisted.add(worker_id)
            self._world.list_worker(None, worker_id=worker_id)

    def list_workers(self) -> None:
        for worker_id in sorted(self._unlisted):
            self._world.list_worker(self._world.workers[worker_id].info)
        self._unlisted.clear()

    def silence_worker(self) -> None:
        worker_id = self._draw.choice(sorted(self._world.workers))
        self._cut(worker_id, sorted(self._zones_by_name), for_s=self._draw.uniform(0.3, 3.0))

    def cut_owner(self) -> None:
        if not self._world.owners():
            return
        owner = self._world.owners()[0]
        others = self._draw.choice(
            [["store"], sorted(self._zones_by_name), sorted(self._world.workers)[:2]]
        )
        self._cut(owner, others, for_s=self._draw.uniform(0.3, 2.0))

    def lose_answers(self) -> None:
        world, worker_id = self._world, self._draw.choice(sorted(self._world.workers))
        world.lose_start_answers.add(worker_id)
        world.lose_every_nth_hold = 7
        world.loop.call_later(1.0, world.lose_start_answers.discard, worker_id)
        world.loop.call_later(1.0, setattr, world, "lose_every_nth_hold", 0)

    def _cut(self, one: str, others: list[str], *, for_s: float) -> None:
        cuts = {frozenset((one, other)) for other in others if other != one} - self._world.cuts
        self._world.cuts.update(cuts)
        self._world.loop.call_later(for_s, self._world.cuts.difference_update, cuts)


@pytest.mark.parametrize("resends", [True, False], ids=["resend", "give up"])
@pytest.mark.parametrize("seed", [int(n) for n in os.environ.get("SEEDS", "1 2 3").split()])
async def test_random_restarts_of_owners_start_nothing_twice(
    world: World, seed: int, resends: bool
):
    # Guards against second runs when owners follow themselves beside workers out of their sight.
    draw = random.Random(seed)
    world.sends_born = bool(seed % 2)
    await world.open(zones="abc", entries=2, workers=3)
    faults = RandomFaults(world=world, draw=draw)
    jobs = []
    for number in range(40):
        await asyncio.sleep(draw.uniform(0.1, 0.9))
        if draw.random() < 0.7:
            faults.inject()
        run_ms = draw.choice([60, 200, 900, 1800])
        world.run_s_by_job[f"job-{number}"] = run_ms / 1000
        job = make_job(f"job-{number}", count=draw.randint(1, 3), run_ms=run_ms)
        caller = random.Random(f"{seed}/{number}")
        call = call_until_answered(world, caller, job, resends=resends)
        jobs.append(asyncio.ensure_future(call))
    await finish(jobs, within_s=40)
    await asyncio.sleep(2)
    assert_that(len(world.starts), GreaterThan(20))
    assert_that(tasks_twice_from_one_vm(world), Equals([]))


async def test_a_job_sent_again_runs_once_if_its_stand_in_steps_down_and_stands_in_again(
    world: World,
):
    # Guards against a second run: a stand-in steps down, stands in again under a higher token, and
    # gets a job from a caller's resend that runs on a worker which answers nothing.
    await world.open(entries=3, workers=3)
    owner_zone = world.nodes[world.owners()[0]].me.zone
    zone = next(zone for zone in "abc" if zone != owner_zone)
    world.cut_zone(zone)
    inside = [f"e-{zone}{number}" for number in (1, 2, 3)]
    async with asyncio.timeout(3):
        while not set(world.owners()) & set(inside):
            await asyncio.sleep(0.005)
    # Several may have stood in at once; the others follow the one with the highest token.
    await asyncio.sleep(1.0)
    stand_ins = sorted(set(world.owners()) & set(inside))
    owner = max(stand_ins, key=lambda name: world.nodes[name].election.fence)
    lost, caller = [name for name in inside if name != owner]
    # It is about to shut down, so that it doesn't stand in itself.
    world.nodes[caller].election.leaving = True
    submit(world, lost, "job", count=2, run_ms=4000, objective_ms=20_000)
    await asyncio.sleep(0.4)
    busy = next(worker for worker in world.workers.values() if worker.runs)
    for worker in world.workers.values():
        if worker.info.zone == zone and worker is not busy:
            worker.fence = world.nodes[owner].election.fence + 1
    await asyncio.sleep(0.3)
    world.kill_node(lost)
    lost_at = world.loop.time()
    async with asyncio.timeout(4):
        while owner in world.owners():
            await asyncio.sleep(0.005)
    hide_workers(world, "silent", busy.info.id)
    async with asyncio.timeout(4):
        while not set(world.owners()) & set(inside):
            await asyncio.sleep(0.005)
    assert_that(world.owners(), Contains(owner))
    await asyncio.sleep(max(lost_at + RESEND_AFTER_S - world.loop.time(), 0))
    job = submit(world, caller, "job", count=2, run_ms=4000, objective_ms=20_000)
    await asyncio.sleep(2.0)
    world.heal()
    await finish([job], within_s=30)
    assert_that(tasks_twice_from_one_vm(world), Equals([]))
