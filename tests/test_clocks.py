"""Clocks of VMs that jump: nothing that decides goes by the time of day."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.dispatch_world import World
from tests.pool_jobs import finish, submit
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._types import EntryInfo

PACKAGE = Path(__file__).parent.parent / "zincwell"
TIME_OF_DAY = ("time.time(", "time.time_ns(", "CLOCK_REALTIME", "datetime", "utcnow")

pytestmark = pytest.mark.looptime


def make_life(name: str, *, incarnation: str, registered: int = -1) -> EntryInfo:
    return EntryInfo(
        name=name, address=name, zone="a", incarnation=incarnation, registered=registered
    )


async def open_directory() -> EntryDirectory:
    me = make_life("me", incarnation="me", registered=0)
    return EntryDirectory(me=me, client=None, observer=None, clock=itertools.count().__next__)


@pytest.mark.parametrize("folder", ["dispatch", "platform"])
def test_nothing_that_decides_reads_the_time_of_day(folder: str):
    # Symptom: for 0.45 s after a restart of all VMs no job begins. Sequence: the clock of the
    # owner's VM is set back by seconds before its process starts again. The others compare the
    # times at which its two lives began, take the new one for the earlier, and wait for the old
    # one as for an owner that is just silent.
    # Cause: lives of an entry were ordered by the time of day.
    found = [
        f"{path.name}: {line.strip()}"
        for path in sorted((PACKAGE / folder).rglob("*.py"))
        for line in path.read_text().splitlines()
        if any(word in line for word in TIME_OF_DAY)
    ]
    assert_that(found, Equals([]))


async def test_lives_are_ordered_by_their_registrations():
    directory = await open_directory()
    later = make_life("e", incarnation="2", registered=9)
    earlier = make_life("e", incarnation="1", registered=5)
    directory.note(later)
    directory.note(earlier)
    assert_that(directory.entries_by_name["e"], Equals(later))
    assert_that(directory.is_superseded(earlier), Equals(True))
    assert_that(directory.is_superseded(later), Equals(False))


async def test_a_life_that_is_not_registered_yet_takes_the_place_of_a_known_one():
    directory = await open_directory()
    earlier = make_life("e", incarnation="1", registered=5)
    later = make_life("e", incarnation="2")
    directory.note(earlier)
    directory.note(later)
    directory.note(make_life("e", incarnation="1"))
    assert_that(directory.entries_by_name["e"], Equals(later))
    assert_that(directory.is_superseded(earlier), Equals(True))


async def test_an_entry_that_is_only_named_takes_no_place():
    # An owner in an old claim may be gone; its VM's later life is known and not registered yet.
    directory = await open_directory()
    later = make_life("e", incarnation="2")
    directory.note(later)
    directory.note(make_life("e", incarnation="1", registered=5), named=True)
    assert_that(directory.entries_by_name["e"], Equals(later))


async def test_a_late_message_of_an_earlier_life_changes_nothing(world: World):
    # Symptom it guards against: answers go to a process that is gone. Sequence: an envelope of an
    # entry's earlier life is held up on the way and comes after its later life was heard.
    await world.open()
    owner = world.owners()[0]
    entry = next(name for name in world.nodes if name != owner)
    zone = world.nodes[entry].me.zone
    world.delayed_links.add((entry, owner))
    submit(world, entry, "held-up", run_ms=100)
    await asyncio.sleep(0.1)
    world.kill_node(entry)
    world.delayed_links.clear()
    world.add_node(entry, zone)
    await asyncio.sleep(1)
    world.deliver_late()
    job = submit(world, entry, "job", run_ms=100)
    await finish([job], within_s=0.5)
