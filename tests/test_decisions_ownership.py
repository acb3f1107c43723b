"""Who may grant keys, decided by real classes in sequences set by hand."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.test_ownership_property import Ownership


@pytest.fixture
def system() -> Iterator[Ownership]:
    """Entries a, b and c of one domain and d of another, settled."""
    system = Ownership()
    yield system
    system.teardown()


def starts(system: Ownership) -> list[int]:
    """Return the attempts of the last key that were started."""
    return system.callers[-1].started


def test_last_entry_of_a_domain_wakes_from_a_pause(system: Ownership):
    """An entry that is alone in its domain grants nothing on waking until it has the log.

    Symptom: a double start after a VM was suspended. Sequence: two of three entries die; the
    last is paused; a new one comes, closes the silent seat and grants a key; the paused one
    wakes with the same key in its socket. Cause: nobody is left whose acknowledgement it needs,
    and none of none missing counts as all.
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


def test_closing_that_lands_after_its_author_is_gone(system: Ownership):
    """An entry whose seat is closed is acknowledged by nobody, whoever closed it.

    Symptom: two homes of one key, for as long as one of them lacks the log. Sequence: an entry
    decides to close a seat, and its append is slow; it dies and its own seat is closed; the
    append lands. The holder of the seat, which has lost the log in between, needs only the
    third entry's acknowledgements. Cause: only who closes a seat remembers not to acknowledge
    it; to the others a closed seat looks like one not yet heard of.
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
