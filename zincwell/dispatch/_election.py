"""Who owns a cell: claims in the store, silence, and stand-ins behind a partition.

An entry becomes owner by a record in the store, appended under the condition that nobody else
appended meanwhile. The record's offset makes the fencing token, so tokens are unique and rise.
Workers refuse lower tokens: they are the lock, the record only orders the claimants.
"""

from __future__ import annotations

import abc
import asyncio
import logging
import math
from collections import Counter

import msgspec

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._cells import LAYOUT_KEY, WHOLE_POOL, Cell
from zincwell.dispatch._messages import OwnerHeartbeat, Receipt
from zincwell.dispatch._types import EntryInfo, OwnerClaim
from zincwell.dispatch.ports import (
    Store,
    StoreConflictError,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)

log = logging.getLogger("zincwell.election")

# Tokens between two claims are reserved for stand-ins, one for each member of the older claim.
FENCES_PER_CLAIM = 4096
TICK_S = 0.03
# Entries ask each other whether they hear the owner after this much silence, and one of them
# claims after the second one. Heartbeats come every 0.1 s; leases last 1 s, of which 0.25 s may
# have passed at the last heartbeat, so 0.45 s leaves time to claim, hold and adopt what runs.
SUSPECT_AFTER_S = 0.3
SILENCE_S = 0.45
# With too few entries answering, the store is asked after this much silence: early, since a
# silent connection to it takes 0.6 s to show.
PROBE_STORE_S = 0.36
# Candidates claim one after the other, this much apart, so that the first can succeed.
RANK_DELAY_S = 0.08
# Beyond this rank all wait the same; the store's condition lets one of them through.
MAX_RANK = 10
# A member of the claim stands in for an unreachable owner after this much silence, if the store
# can't be reached either.
STAND_IN_S = 0.7
# So many entries of each failure domain are named in a claim. A domain that loses more of them
# while it is cut off has no stand-in until it is back.
MEMBERS_PER_DOMAIN = 6
# Each member may stand in this often under one claim, with a higher token each time: workers may
# have seen the token of another member that stood in before and is gone.
STAND_IN_ROUNDS = 8
# With fewer than half of the entries answering, a claim waits this long, and for the proof that
# the owner does not write to the store either.
MINORITY_SILENCE_S = 2.0
# The owner shows the store this often that it lives; twice that without a sign means it does not.
LIVENESS_INTERVAL_S = 1.0
LIVENESS_LOST_S = 2.2
# Receipts older than this say nothing about now.
FRESH_S = 0.3
# Time that a new claimant or a new process gets to be heard.
START_GRACE_S = 0.6
# Stands for "never" in acknowledgements, in seconds.
NEVER_HEARD_S = 3600.0
# Between two tries to claim while the store does not answer.
CLAIM_PAUSE_S = 0.2
# Claims of all cells stand in one log. After a restart of all VMs the owners of 28 domains claim at
# once, and one of them gets through each time.
CLAIM_TRIES = 32
# When all cells claim at once, one after the other does so this many seconds apart. Each claim that
# finds the log moved on reads it again, which for all together is the square of their number.
CLAIM_TURN_S = 0.006


def make_fencing_token(offset: int, place: int = 0) -> int:
    """Return the fencing token of a claim, or of the member at a place (from 1) of its list."""
    return (offset + 1) * FENCES_PER_CLAIM + place


class ElectionObserver(abc.ABC):
    """What the election asks and tells the node."""

    @abc.abstractmethod
    def on_layout(self, record: StoreRecord) -> None:
        """Take note of the newest layout of the cells, which may end this election."""

    @abc.abstractmethod
    async def create_initial_layout(self) -> bool:
        """Divide a pool that nobody has owned yet, if it needs several owners; return if so."""

    @abc.abstractmethod
    def on_claiming(self) -> None:
        """Prepare for owning the cell: a claim is on its way to the store."""

    @abc.abstractmethod
    def on_owner(self, owner: EntryInfo, fence: int, domain: str) -> None:
        """Follow another entry as owner."""

    @abc.abstractmethod
    def on_owner_contact(self) -> None:
        """Take note of the first sign of the owner that is followed."""

    @abc.abstractmethod
    def on_elected(self, fence: int, domain: str) -> None:
        """Be the owner, or the stand-in for a failure domain."""

    @abc.abstractmethod
    def known_entries(self) -> list[EntryInfo]:
        """Return all entries of the cell that are not known to be gone, this one included."""

    @abc.abstractmethod
    def probe(self) -> None:
        """Ask the other entries whether they hear the owner."""

    @abc.abstractmethod
    def fresh_receipts(self, age_s: float) -> list[Receipt]:
        """Return the acknowledgements of other entries that are younger than an age."""


class Election:
    """Decides when this entry claims its cell, and whom it follows.

    :param at_once: nobody else has the cell, so there is nobody to wait for.
    :param turn: place of the cell among those that claim when all do.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        store: Store,
        observer: ElectionObserver,
        cell: Cell = WHOLE_POOL,
        at_once: bool = False,
        turn: int = 0,
    ) -> None:
        self.owner: EntryInfo | None = None
        self.fence = 0
        self.cell = cell
        self._key = cell.claim_key()
        self._closed = False
        self.domain = ""
        self.successors: list[str] = []
        self.owner_leaving = False
        self.leaving = False
        self.reclaim = False
        self.me = me
        self._store = store
        self._observer = observer
        self._loop = asyncio.get_running_loop()
        self._turn_s = turn * CLAIM_TURN_S
        # Until when silence is patiently borne, and when a sign of the owner really came.
        patience_s = self._turn_s - SILENCE_S if at_once else START_GRACE_S
        self._heard_at = self._loop.time() + patience_s
        self._sign_at = -math.inf
        self._gone = ""
        self._other_owner_heard_at = -1e9
        self._claim: OwnerClaim | None = None
        self._claim_offset = -1
        self._store_failed = False
        self._leaving_since = 0.0
        self._stand_in_round = 0
        self._liveness_end: int | None = None
        self._liveness_moved_at = self._loop.time()
        self._liveness_read_at = 0.0
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._run())

    def close(self) -> None:
        """Take no further part."""
        self._closed = True
        self._tasks.close()

    def silence_s(self) -> float:
        """Return for how long the owner was not heard; 0 for the owner itself."""
        if self.is_owner():
            return 0.0
        return max(0.0, self._loop.time() - self._heard_at)

    def has_owner_contact(self) -> bool:
        """Return whether a sign of the owner itself has come, not just a record in the store."""
        return self.is_owner() or self._sign_at > -math.inf

    def owner_contact_age_s(self) -> float:
        """Return for how long no sign of the owner has come; at most `NEVER_HEARD_S`."""
        if self.is_owner():
            return 0.0
        return min(self._loop.time() - self._sign_at, NEVER_HEARD_S)

    def is_owner(self) -> bool:
        """Return whether this entry is the owner or a stand-in."""
        return self.owner is not None and self.owner.incarnation == self.me.incarnation

    # -- what is heard ----------------------------------------------------------------------

    def note_claim(self, offset: int, claim: OwnerClaim | None) -> None:
        """Take note of the newest claim in the store; None if it can't be read."""
        if claim is None or offset <= self._claim_offset:
            return
        self._claim, self._claim_offset = claim, offset
        fence = make_fencing_token(offset)
        log.info("claim_seen offset=%d owner=%s fence=%d", offset, claim.owner.name, fence)
        if fence <= self.fence:
            return
        self._stand_in_round = 0
        if claim.owner.incarnation == self.me.incarnation:
            self._become(fence, "")
        else:
            self._follow(claim.owner, fence, "")

    def note_owner_restarted(self) -> None:
        """Take note that a later life of the owner's VM is known, so the owner is gone.

        After a restart of all VMs the newest claim names a process that is no more. Waiting for
        it as for an owner that is just silent took 0.42 s, in which no job was served.
        """
        owner = self.owner
        if owner is None or self.is_owner() or self._gone == owner.incarnation:
            return
        log.info("owner_gone owner=%s incarnation=%s", owner.name, owner.incarnation)
        self._gone = owner.incarnation
        self._heard_at = min(self._heard_at, self._loop.time() + self._turn_s - SILENCE_S)

    def note_heartbeat(self, beat: OwnerHeartbeat) -> None:
        """Take note of an owner's heartbeat."""
        if beat.cell != self.cell.name:
            # Sent under another layout, which one side has not heard of yet.
            return
        now = self._loop.time()
        if beat.domain and beat.domain != self.me.zone:
            # A stand-in of another failure domain: the owner has to claim anew to get it back.
            if self.is_owner() and beat.fence > self.fence:
                self.reclaim = True
            return
        if beat.owner.incarnation == self.me.incarnation:
            return
        if beat.fence < self.fence:
            self._other_owner_heard_at = now
            return
        if beat.fence > self.fence:
            self._follow(beat.owner, beat.fence, beat.domain)
        self._note_sign()
        self.successors = beat.successors
        if beat.leaving and not self.owner_leaving:
            self._leaving_since = now
            log.info("owner_leaving owner=%s successors=%s", beat.owner.name, beat.successors[:3])
        self.owner_leaving = beat.leaving

    def note_owner_alive(self, incarnation: str, fence: int) -> None:
        """Take note of any delivery from an entry.

        A process that was owner and is not any more is no sign of an owner: those who follow it
        would wait for it as long as it lives.
        """
        if self.owner is None or incarnation != self.owner.incarnation:
            return
        if fence >= self.fence:
            self._note_sign()

    def note_receipt(self, receipt: Receipt) -> None:
        """Take note of another entry's acknowledgement."""
        if self.is_owner() and receipt.fence > self.fence:
            self.reclaim = True
        owner = self.owner
        if owner is None or self.is_owner():
            return
        if receipt.receiver.incarnation == owner.incarnation and receipt.fence == self.fence:
            self._note_sign()

    def _note_sign(self) -> None:
        """Take note of a sign of life of the owner."""
        first = not self.has_owner_contact()
        self._sign_at = self._loop.time()
        self._heard_at = max(self._heard_at, self._sign_at)
        if first:
            self._observer.on_owner_contact()

    def step_down(self) -> None:
        """Give no more orders; another owner has been seen at a worker."""
        if self.is_owner():
            log.warning("stepped_down fence=%d domain=%s", self.fence, self.domain)
            self.owner = None
            self._stand_in_round += 1
            self._heard_at = self._loop.time()

    def _follow(self, owner: EntryInfo, fence: int, domain: str) -> None:
        log.info("owner_followed owner=%s fence=%d domain=%s", owner.name, fence, domain)
        self.owner, self.fence, self.domain = owner, fence, domain
        self.owner_leaving = False
        self.reclaim = False
        self._heard_at = self._loop.time()
        self._sign_at = -math.inf
        self._observer.on_owner(owner, fence, domain)

    def _become(self, fence: int, domain: str) -> None:
        log.info("owner_elected fence=%d domain=%s", fence, domain)
        self.owner, self.fence, self.domain = self.me, fence, domain
        self.owner_leaving = False
        self.reclaim = False
        self._observer.on_elected(fence, domain)

    # -- what is decided --------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.is_owner():
                await self._tend_ownership()
            elif not self.leaving:
                await self._watch_owner()

    async def _tend_ownership(self) -> None:
        """Claim anew when a stand-in holds some workers, or when this is one."""
        if self.leaving:
            return
        if self.domain:
            quiet_s = self._loop.time() - self._other_owner_heard_at
            if quiet_s > LIVENESS_INTERVAL_S:
                await self._claim_if_unclaimed()
                await asyncio.sleep(CLAIM_PAUSE_S)
            return
        if self.reclaim:
            await self._claim_pool()
            await asyncio.sleep(CLAIM_PAUSE_S)

    async def _claim_if_unclaimed(self) -> None:
        """As a stand-in: own everything, unless the store has an owner that is alive."""
        if await self._owner_writes():
            return
        if not self._store_failed:
            await self._claim_pool()

    async def _watch_owner(self) -> None:
        silence_s = self.silence_s()
        if self.owner_leaving and silence_s < SILENCE_S:
            if self.rank() * 2 * RANK_DELAY_S <= self._loop.time() - self._leaving_since:
                await self._claim_pool()
            return
        if silence_s < SUSPECT_AFTER_S:
            return
        if not self._was_never_owned():
            self._observer.probe()
        if silence_s > PROBE_STORE_S and not (self._was_never_owned() or self._heard_by_half()):
            # Probably this entry is the one that is cut off. Whether the store can be reached
            # decides between standing in and waiting for the owner's signs of life there.
            await self._owner_writes()
            silence_s = self.silence_s()
        if silence_s < SILENCE_S + self.rank() * RANK_DELAY_S:
            return
        if silence_s > STAND_IN_S and self._store_failed and self._can_stand_in():
            self._stand_in()
            return
        if not await self._may_claim(silence_s):
            return
        await self._claim_pool()
        if not self.is_owner() and self._store_failed:
            await asyncio.sleep(CLAIM_PAUSE_S)

    def rank(self) -> int:
        """Return this entry's place among those that may take over; 0 is the first."""
        if self.me.name in self.successors:
            return min(self.successors.index(self.me.name), MAX_RANK)
        entries = sorted(self._observer.known_entries(), key=EntryInfo.owner_preference_key)
        names = [entry.name for entry in entries]
        place = names.index(self.me.name) if self.me.name in names else len(names)
        return min(place + len(self.successors), MAX_RANK)

    async def _may_claim(self, silence_s: float) -> bool:
        """Return whether the owner is gone, and not just this entry cut off from it.

        An entry that can't hear a healthy owner would take the pool away from all others. So
        those who don't hear it must be half of the entries, or the owner must have been silent
        at the store, too. An owner that is known to be gone can't be taken anything away from:
        after a restart of all VMs the first that is up need not wait for half of the others, which
        took 0.3 s of the 0.55 s without an owner.
        """
        if self._is_owner_heard():
            return False
        if self._was_never_owned() or self._is_owner_gone() or self._heard_by_half():
            return True
        if silence_s < MINORITY_SILENCE_S:
            return False
        return not await self._owner_writes()

    def _is_owner_heard(self) -> bool:
        """Return whether an entry that answers hears the owner."""
        if self.owner is None:
            return False
        return any(
            receipt.fence >= self.fence and receipt.owner_silence_s < SUSPECT_AFTER_S
            for receipt in self._observer.fresh_receipts(FRESH_S)
        )

    def _is_owner_gone(self) -> bool:
        """Return whether a later life of the owner's VM is known, and no newer owner."""
        return self.owner is not None and self._gone == self.owner.incarnation

    def _was_never_owned(self) -> bool:
        """Return whether no owner of the cell is known, so that there is nobody to ask about.

        A claim reads the store first, which tells of an owner that was not heard of. With 300
        entries that all ask each other after the first start, 90,000 connections are opened.
        """
        return self.owner is None and self._claim_offset < 0

    def _heard_by_half(self) -> bool:
        """Return whether half of the entries besides the owner answer, this one included."""
        answering = len(self._observer.fresh_receipts(FRESH_S)) + 1
        return 2 * answering > len(self._observer.known_entries()) - 1

    async def _owner_writes(self) -> bool:
        """Return whether the store has had a sign of life of an owner lately."""
        if self._loop.time() - self._liveness_read_at > LIVENESS_INTERVAL_S / 2:
            await self._read_liveness()
            self._liveness_read_at = self._loop.time()
        if self._store_failed:
            return True
        return self._loop.time() - self._liveness_moved_at < LIVENESS_LOST_S

    async def _read_liveness(self) -> None:
        try:
            page = await self._store.newest(Topic.LIVENESS)
        except StoreUnavailableError as error:
            log.info('liveness_unread error="%s"', error)
            self._store_failed = True
            return
        self._store_failed = False
        shown = max((r.offset for r in page.records if r.key == self._key), default=-1)
        if shown != self._liveness_end:
            self._liveness_end = shown
            self._liveness_moved_at = self._loop.time()

    def _can_stand_in(self) -> bool:
        if self._claim is None or self._stand_in_round >= STAND_IN_ROUNDS:
            return False
        members = [member for member in self._claim.members if member.zone == self.me.zone]
        if self.me.incarnation not in [member.incarnation for member in members]:
            return False
        if self._is_owner_heard():
            return False
        # Without an answer of anybody, it is probably this entry alone that is cut off, and its
        # failure domain is well served.
        return len(members) == 1 or bool(self._observer.fresh_receipts(FRESH_S))

    def _stand_in(self) -> None:
        incarnations = [member.incarnation for member in self._claim.members]
        place = incarnations.index(self.me.incarnation) + 1
        place += self._stand_in_round * (len(incarnations) + 1)
        if place < FENCES_PER_CLAIM:
            self._become(make_fencing_token(self._claim_offset, place), self.me.zone)

    async def _claim_pool(self) -> None:
        """Try to append a claim, and follow whatever claim is the newest.

        Another claim may come by the store's feed while this one is prepared. Claiming over it
        would move the cell twice, and the jobs that the first owner had just got would wait for
        1.4 s, since they may run unseen. A claim of another cell that comes between is no reason
        to wait, nor is it one to give up.
        """
        known = self._claim_offset
        if known < 0 and self.cell is WHOLE_POOL and await self._observer.create_initial_layout():
            return
        for _ in range(CLAIM_TRIES):
            if not await self._try_claim(known):
                return

    async def _try_claim(self, known: int) -> bool:
        """Try once to append a claim; return whether to try again.

        :param known: offset of the newest claim of this cell when the decision was made.
        """
        if self.me.registered < 0:
            # The claim tells by the registration which life of this VM owns the cell. While that
            # has not come through, a claim would not either.
            return False
        claim = OwnerClaim(owner=self.me, members=self._choose_members())
        try:
            page = await self._store.newest(Topic.CLAIMS)
            self._store_failed = False
            self.note_records(page.records)
            if self._closed or self._claim_offset > known:
                return False
            self._observer.on_claiming()
            offset = await self._store.append(
                Topic.CLAIMS, key=self._key, value=msgspec.json.encode(claim), at=page.end
            )
        except StoreConflictError:
            log.info("claim_lost cell=%s at=%d", self.cell.name, page.end)
            return True
        except StoreUnavailableError as error:
            # It may have taken effect; the next look at the store tells.
            log.warning('claim_unanswered error="%s"', error)
            self._store_failed = True
            return False
        self.note_claim(offset, claim)
        return False

    def _choose_members(self) -> list[EntryInfo]:
        """Return the entries that may stand in, the strongest of each failure domain.

        All entries of all cells read each claim, so it must not grow with the entries.
        """
        members: list[EntryInfo] = []
        chosen: Counter[str] = Counter()
        for entry in sorted(self._observer.known_entries(), key=EntryInfo.owner_preference_key):
            if chosen[entry.zone] < MEMBERS_PER_DOMAIN:
                chosen[entry.zone] += 1
                members.append(entry)
        return members

    def note_records(self, records: list[StoreRecord]) -> None:
        """Take note of the newest records of the log of claims."""
        for record in records:
            if record.key == LAYOUT_KEY:
                self._observer.on_layout(record)
        for record in records:
            if record.key == self._key and not self._closed:
                self.note_claim(record.offset, decode_claim(record.value))


def decode_claim(value: bytes) -> OwnerClaim | None:
    """Return a claim as it stands in the store; None, with a log line, if it can't be read."""
    try:
        return msgspec.json.decode(value, type=OwnerClaim)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        log.error('claim_unreadable error="%s"', error)
        return None
