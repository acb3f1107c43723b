"""How long an envelope was on its way, by its receiver's own clock."""

from __future__ import annotations

import itertools

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from zincwell.dispatch._clocks import PeerClock
from zincwell.dispatch._inbox import UNKNOWN_DELAY_S, Inbox
from zincwell.dispatch._messages import Envelope
from zincwell.dispatch._types import EntryInfo

SENDER = EntryInfo(name="e", address="e", zone="a", incarnation="e-1")


def make_envelope(sequence: int = 1, **fields) -> Envelope:
    return Envelope(sender=SENDER, sequence=sequence, sent_at=500.0, messages=[], **fields)


@pytest.mark.parametrize(
    ("fields", "delay_s"),
    [
        ({"receiver": "me-1", "receiver_clock_s": 97.0}, 3.0),
        ({"receiver": "me-1", "receiver_clock_s": 100.5}, 0.0),
        ({"receiver": "me-1"}, UNKNOWN_DELAY_S),
        ({"receiver": "me-0", "receiver_clock_s": 99.9}, UNKNOWN_DELAY_S),
        ({}, 0.0),
    ],
    ids=["late", "no earlier than now", "no time", "for an earlier process", "earlier build"],
)
def test_a_first_envelope_is_measured_by_the_clock_of_its_receiver(fields, delay_s: float):
    # Failure: a first envelope counts as timely, however late it is.
    inbox = Inbox(incarnation="me-1")
    assert_that(inbox.delay_s(make_envelope(**fields), now=100.0), Equals(delay_s))


def test_a_duplicate_tells_whether_the_jobs_were_dropped():
    # Failure: an entry takes a job for dropped that was accepted at an earlier attempt.
    inbox = Inbox(incarnation="me-1")
    first, second = make_envelope(1), make_envelope(2)
    inbox.is_new(first)
    inbox.note_dropped(first)
    assert_that([inbox.is_new(first), inbox.has_dropped(first)], Equals([False, True]))
    inbox.is_new(second)
    assert_that([inbox.has_dropped(first), inbox.has_dropped(second)], Equals([False, False]))


def test_the_bound_of_a_clock_never_exceeds_it():
    # Failure: a late message looks timely, since its sender believes the receiver's clock to be
    # ahead of where it is. The sender's clock runs 2% too fast.
    peer = PeerClock(clock=itertools.count(0.0, 1.02).__next__)
    peer.update(50.0)
    assert_that([peer.lower_bound_s() < 50.0 + passed for passed in (2, 3, 4)], Equals([True] * 3))


def test_the_best_reading_of_a_clock_counts():
    # Failure: a timely message looks late, since a held-up message was the last one to tell the
    # receiver's clock.
    now = 0.0
    peer = PeerClock(clock=lambda: now)
    assert_that(peer.is_known(), Equals(False))
    peer.update(50.0)
    now = 2.0
    peer.update(49.0)
    assert_that(peer.lower_bound_s(), Equals(50.0 + 2 * 0.98))
