"""Which entry may grant keys: fixed sequences of faults against the simulated entries."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.test_ownership_property import Ownership


@pytest.fixture
def system() -> Iterator[Ownership]:
    """Entries a, b and c of one domain and d of another, all seats open."""
    system = Ownership()
    yield system
    system.teardown()


def starts(system: Ownership) -> list[int]:
    """Return the attempts of the last key that were started."""
    return system.callers[-1].started


def test_last_entry_of_a_domain_wakes_from_a_pause(system: Ownership):
    """An entry without peers grants nothing after a pause until it reaches the log.

    Guards against a double start after a VM was suspended. Two of three entries die and the
    last is paused; a new entry closes the silent seat and grants a key; the paused one resumes
    with the same key in its socket. As far as it knows, no other seat is open, so the check that
    all other seats have acknowledged it holds for an empty set.
    """
    system.outlive("b", "kill")
    system.outlive("a", "kill")
    system.pass_time(0.4)
    system.pause("c")
    system.restart("a")
    system._live_until_closed("c")
    system.pass_time(2.6)
    system.make_key("c", True)
    system.send(0, "a", False, False)
    system.wake("c")
    system.send(0, "c", False, False)

    assert_that(starts(system), Equals([1]))


def test_close_record_lands_after_its_sender_died(system: Ownership):
    """No entry acknowledges a closed seat, whichever entry closed it.

    Guards against two homes of one key while one of them can't reach the log. An entry appends
    the close record of a seat, and the append is slow; the entry dies and its own seat is
    closed; then the record takes effect. The holder of the seat, which has lost the log in the
    meantime, needs only the third entry's acknowledgements. The third entry didn't decide the
    closing itself, so it must refuse to acknowledge a seat that isn't open in its membership.
    """
    system.network.cut.add(frozenset("ac"))
    for _ in range(15):
        system.stand_still(0.2)
        system.keep_seat("a", True)
        for vm in "bc":
            system.read_log(vm)
        for one, other in ["ab", "ba", "bc", "cb"]:
            system._beat(one, other)
    system.read_log("a")
    system.stand_still(0.2)
    system.keep_seat("a", True)
    system.outlive("a", "kill")
    system.heal_links()
    system.pass_time(0.4)
    system.cut_off_log("c")
    closings = [record.vm for record in system.log.on_the_way]
    system.land_append(0)
    system.pass_time(4.0)
    system.send_on_both_sides("c", "b", True)

    assert_that(closings, Equals(["c"]))
    assert_that(len(starts(system)), Equals(1))
