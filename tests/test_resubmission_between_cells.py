"""Callers that send a job again to an entry of another cell: it must not run in both."""

from __future__ import annotations

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit, verdicts
from tests.test_pool_faults import USUAL_PAUSE_S, FaultSeries, random_seeds
from zincwell.dispatch._types import JobRequest, Verdict
from zincwell.dispatch.decisions import ANNOUNCEMENT_KEPT_S

pytestmark = pytest.mark.looptime

# Callers send a job again no earlier than this after they have lost its connection.
RETRANSMIT_S = 1.3
RUN_MS = 4000


@pytest.mark.parametrize("later_s", [RETRANSMIT_S, 2.0])
async def test_a_job_sent_again_to_another_cell_runs_once(world: World, later_s: float):
    # Failure: two concurrent runs of one task. The connection between caller and entry goes silent,
    # so the entry does not notice that the caller is gone, and the caller sends its job again to an
    # entry of another cell.
    await world.open_cells()
    first = submit(world, world.entry_in("a"), "job", run_ms=RUN_MS)
    await asyncio.sleep(later_s)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))
    assert_that(verdicts([first, again]), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(2))


async def test_a_job_sent_again_to_the_home_cell_while_another_runs_it_runs_once(world: World):
    # Failure: two concurrent runs of one task. The entry has sent the job to another cell, because
    # the owner of its own was lost. The caller sends it again to another entry of the home cell.
    await world.open_cells(entries=5)
    entry = world.entry_in("b")
    world.kill_node(world.owner_in("b"))
    await asyncio.sleep(0.27)
    first = submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, world.owner_in("b"), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize("owner_later_s", [0.0, 0.3, 0.7, 0.85, 1.2])
async def test_a_job_whose_entry_and_owner_are_lost_runs_once(world: World, owner_later_s: float):
    # Failure: two concurrent runs of one task. The entry is killed, and the owner just before it
    # ends the jobs of the lost entry. Their leases have not expired when the caller comes back.
    await world.open_cells()
    entry, owner = world.entry_in("a"), world.owner_in("a")
    submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(0.5)
    world.kill_node(entry)
    await asyncio.sleep(owner_later_s)
    world.kill_node(owner)
    await asyncio.sleep(RETRANSMIT_S - owner_later_s)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([again])
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize("running_s", [0.1, 0.5])
async def test_a_job_in_a_domain_that_is_cut_off_is_not_run_outside(world: World, running_s: float):
    # Failure: two concurrent runs of one task. A domain with the entry, the owner and the worker of
    # a job is cut off from the others and from the caller, which sends the job again elsewhere.
    await world.open_cells()
    submit(world, world.entry_in("a"), "job", run_ms=RUN_MS)
    await asyncio.sleep(running_s)
    world.cut_zone("a")
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await asyncio.sleep(4)
    world.heal()
    await finish([again])
    assert_that(world.violations, Equals([]))


async def test_a_job_that_its_caller_sends_to_both_sides_of_a_cut_runs_once(world: World):
    # Failure: two concurrent runs of one task. A domain is cut off, and a caller that reaches both
    # sides sends a job into the domain, loses its connection there, and sends it again outside.
    await world.open_cells()
    world.cut_zone("a")
    await asyncio.sleep(1.0)
    first = submit(world, world.entry_in("a"), "job", run_ms=RUN_MS)
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))


async def test_a_caller_of_a_lost_cell_is_answered_and_served_later(world: World):
    # Failure: a caller waits for ever, or is never served, since its job was announced by a cell
    # that is lost with all its entries.
    await world.open_cells()
    entry = world.entry_in("a")
    submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(0.6)
    for name in [name for name in world.nodes if name[2] == "a"]:
        world.kill_node(name)
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([again], within_s=5)
    assert_that(verdicts([again]), Equals({Verdict.UNKNOWN}))
    await asyncio.sleep(ANNOUNCEMENT_KEPT_S)
    later = submit(world, world.entry_in("b"), "job", run_ms=200)
    await finish([later], within_s=1)
    assert_that(verdicts([later]), Equals({Verdict.SUCCEEDED}))


async def test_a_job_sent_again_gets_the_answer_of_the_run_that_exists(world: World):
    # Failure: a caller that comes back to another cell is refused, or waits for a second run.
    await world.open_cells()
    submit(world, world.entry_in("a"), "job", run_ms=2000)
    await asyncio.sleep(RETRANSMIT_S)
    again = submit(world, world.entry_in("b"), "job", run_ms=2000)
    await finish([again], within_s=0.8)
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


async def test_a_cell_that_has_refused_a_job_does_not_get_it_back(world: World):
    # Failure: a job goes to and fro between two cells, since the owner that has refused it had
    # announced it before.
    await world.open_cells()
    directory = world.nodes[world.owner_in("b")]._cell_directory
    submit(world, world.entry_in("a"), "job", run_ms=2000)
    await asyncio.sleep(0.6)
    cell = directory.cell_with_job("job", refused_by=())
    assert_that(cell[0], Equals("a"))
    assert_that(directory.cell_with_job("job", refused_by=[cell]), Is(None))


async def test_long_jobs_go_on_while_the_new_owner_of_another_cell_is_cut_off(world: World):
    # Failure: all long jobs of two sound cells end as unknown. The owner of a third cell, which
    # knew of them, is lost while its domain is cut off, and its successor can't be told.
    await world.open_cells(entries=5)
    jobs = [submit(world, world.entry_in(zone), f"job-{zone}", run_ms=9000) for zone in "bc"]
    await asyncio.sleep(3)
    world.kill_node(world.owner_in("a"))
    for zone in "bc":
        world.cut("a", zone)
    await asyncio.sleep(3)
    world.heal()
    await finish(jobs)
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("delayed_s", [1.2, 1.25])
async def test_a_job_that_reaches_its_owner_late_runs_once(world: World, delayed_s: float):
    # Failure: two concurrent runs of one task. The entry reaches its owner only just before the
    # caller comes back to another cell. Neither owner has announced the job when it starts.
    await world.open_cells()
    entry = world.entry_in("a")
    for other in world.nodes:
        world.cut(entry, other)
    first = submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(delayed_s)
    world.heal()
    await asyncio.sleep(RETRANSMIT_S - delayed_s)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize(("zone", "other"), [("a", "b"), ("b", "a")])
@pytest.mark.parametrize("delayed_s", [0.4, 0.9, 1.1, 1.28, 1.32])
async def test_a_late_job_goes_to_the_cell_that_has_it(
    world: World, zone: str, other: str, delayed_s: float
):
    # Failure: two concurrent runs of one task, or none. The same, whichever of the two cells comes
    # first by name; the later one hands over a job that neither has started.
    await world.open_cells()
    entry = world.entry_in(zone)
    for name in world.nodes:
        world.cut(entry, name)
    first = submit(world, entry, "job", run_ms=RUN_MS, objective_ms=9000)
    await asyncio.sleep(min(delayed_s, RETRANSMIT_S))
    again = None
    if delayed_s > RETRANSMIT_S:
        again = submit(world, world.entry_in(other), "job", run_ms=RUN_MS)
        await asyncio.sleep(delayed_s - RETRANSMIT_S)
    world.heal()
    if again is None:
        await asyncio.sleep(RETRANSMIT_S - delayed_s)
        again = submit(world, world.entry_in(other), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))
    assert_that(verdicts([again]), Equals({Verdict.SUCCEEDED}))


@pytest.mark.parametrize("zones", ["ab", "ba"])
async def test_a_job_that_waits_in_two_cells_starts_in_one(world: World, zones: str):
    # Failure: two concurrent runs of one task, or none. A job comes late to the owners of two
    # cells, each of which waits for the other before it starts it.
    await world.open_cells()
    entries = [world.entry_in(zone) for zone in zones]
    for entry in entries:
        for name in world.nodes:
            world.cut(entry, name)
    jobs = [submit(world, entry, "job", run_ms=RUN_MS, objective_ms=9000) for entry in entries]
    await asyncio.sleep(0.7)
    world.heal()
    await finish(jobs)
    assert_that(world.violations, Equals([]))
    assert_that(verdicts(jobs), Equals({Verdict.SUCCEEDED}))
    assert_that(world.starts, HasLength(2))


async def test_a_job_sent_again_in_a_pool_of_twelve_cells_runs_once(world: World):
    # Failure: two concurrent runs of one task. Owners announce their jobs to the owners of the next
    # eight cells only.
    await world.open(zones="abcdefghijkl", entries=2, workers=8, cores=8 / 50)
    await asyncio.sleep(6)
    assert_that(world.owners(), HasLength(12))
    zones = [cell.domains[0] for cell in world.current_layout().cells]
    first = submit(world, world.entry_in(zones[0]), "job", run_ms=RUN_MS)
    await asyncio.sleep(2.0)
    again = submit(world, world.entry_in(zones[10]), "job", run_ms=RUN_MS)
    await finish([first, again])
    assert_that(world.violations, Equals([]))


@pytest.mark.parametrize("owner_later_s", [0.5, 0.7])
async def test_a_job_on_a_worker_that_the_new_owner_does_not_see_runs_once(
    world: World, owner_later_s: float
):
    # Failure: two concurrent runs of one task. Entry and owner are lost, and the new owner can't
    # reach the worker, so its reports don't name the job while the lease lasts.
    await world.open_cells(entries=5)
    entry, owner = world.entry_in("a"), world.owner_in("a")
    submit(world, entry, "job", run_ms=RUN_MS)
    await asyncio.sleep(0.6)
    for name in world.nodes:
        if name != owner:
            world.cut(name, world.starts[0][1])
    world.kill_node(entry)
    await asyncio.sleep(owner_later_s)
    world.kill_node(owner)
    await asyncio.sleep(RETRANSMIT_S - owner_later_s)
    again = submit(world, world.entry_in("b"), "job", run_ms=RUN_MS)
    await finish([again])
    assert_that(world.violations, Equals([]))


class ResendSeries(FaultSeries):
    """Random faults; some callers lose their connections unnoticed and send their jobs again."""

    RUN_MS = (200, 900, 3000)
    LOST_SHARE = 0.3

    async def _call(self, job: JobRequest) -> None:
        entry = self.random.choice(sorted(self.world.nodes))
        if self.random.random() > self.LOST_SHARE:
            await self.world.run_job(entry, job)
            return
        first = asyncio.ensure_future(self.world.run_job(entry, job))
        on_same_side = self._zones_reached_from(entry[2])
        await asyncio.sleep(self.random.uniform(0.0, 1.0) + RETRANSMIT_S)
        entries = [name for name in sorted(self.world.nodes) if name[2] in on_same_side]
        if entries:
            await self.world.run_job(self.random.choice(entries), job)
        await first

    def _zones_reached_from(self, zone: str) -> set[str]:
        """Return the zones that a caller of a zone reaches, on its side of a partition."""
        return {other for other in "abc" if not self.world.is_partitioned((zone,), (other,))}


# Seeds with concurrent runs.
RESEND_SEEDS = [27, 36]


@pytest.mark.parametrize("seed", sorted({*random_seeds(), *RESEND_SEEDS}))
async def test_random_faults_with_lost_callers_run_no_job_in_two_cells(world: World, seed: int):
    await world.open_cells()
    await ResendSeries(world, seed, USUAL_PAUSE_S).inject(faults=8)
