"""Owner election of a cell: claims in the store, failure detection, and stand-ins.

An entry becomes the owner by appending a claim to the store, on condition that no other record was
appended since its last read. The fencing token is derived from the offset of the claim, so tokens
are unique and increasing. Workers reject lower tokens: they enforce mutual exclusion, the claims
only order the candidates.

A stand-in is a temporary owner of the workers of one failure domain. An entry becomes a stand-in if
a partition separates it from both the owner and the store.
"""

from __future__ import annotations

import abc
import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable

import msgspec

from zincwell._decoding import make_decoder
from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._cells import LAYOUT_KEY, WHOLE_POOL_CELL, Cell
from zincwell.dispatch._messages import OwnerHeartbeat, Receipt
from zincwell.dispatch._types import EntryInfo, OwnerClaim
from zincwell.dispatch.ports import (
    Store,
    StoreConflictError,
    StoreRecord,
    StoreUnavailableError,
    Topic,
)
from zincwell.exceptions import MalformedJsonError

log = logging.getLogger("zincwell.election")

_decode_owner_claim = make_decoder(OwnerClaim)

# The tokens between two claims are reserved for stand-ins: in each round, one for each member of
# the older claim.
TOKENS_PER_CLAIM = 4096
POLL_INTERVAL_S = 0.03
# After the first of these times without contact to the owner, entries ask each other whether they
# are still in contact with it; after the second, one of them claims the cell. Heartbeats are sent
# every 0.1 s. Leases last 1 s, of which 0.25 s may have elapsed at the last heartbeat, so 0.45 s
# leaves time to claim the cell, renew the leases and adopt the runs.
SUSPECT_AFTER_S = 0.3
OWNER_TIMEOUT_S = 0.45
# If too few entries answer, the store is read after this time without contact. This is earlier than
# the owner timeout because it takes 0.6 s to detect that a connection to the store is dead.
STORE_CHECK_AFTER_S = 0.36
# Delay between the claims of successive candidates, so that the first can succeed.
DELAY_PER_RANK_S = 0.08
# Candidates beyond this rank wait equally long; the conditional append admits one of them.
MAX_RANK = 10
# A member of the claim becomes the stand-in after this time without contact to the owner, if the
# store is unreachable as well.
STAND_IN_AFTER_S = 0.7
# A stand-in may become active after this time in a pool of several cells. Every owner there ends
# the jobs of a lost entry before its callers retry them elsewhere, so a job that was never sent to
# an owner runs nowhere else. In a single cell such a retry may meet a run of the owner, which ends
# up to 0.9 s after the start of the partition, and the stand-in must not start earlier.
EARLY_STAND_IN_AFTER_S = OWNER_TIMEOUT_S
# Time without contact after which the store is checked for such an early stand-in: one poll after
# the first probes, which are answered by then.
EARLY_STORE_CHECK_AFTER_S = SUSPECT_AFTER_S + POLL_INTERVAL_S
# Timeout of the store check of such an early stand-in. A slow store responds within 0.24 s.
STORE_CHECK_TIMEOUT_S = 0.3
# An early stand-in ignores older acknowledgements. Those of 0.3 s ago may report a contact with the
# owner from before the partition, and the first member would miss its turn. Probes are answered
# every 0.18 s.
EARLY_RECEIPT_AGE_S = 0.2
# The owner that is cut off may request leases until this time after the last contact: it detects
# the partition after 0.7 s and stops its runs within 0.2 s; 0.1 s is a margin. A stand-in starts no
# job that the owner may have started before leases requested then have expired.
OWNER_ACTIVE_AFTER_CONTACT_S = 1.0
# Number of entries of each failure domain that a claim lists. A domain that loses all of them while
# it is cut off has no stand-in until the partition ends.
MEMBERS_PER_DOMAIN = 6
# How often a member may become the stand-in under one claim. Each round uses higher tokens, because
# workers may have seen the token of an earlier stand-in that has stopped.
MAX_STAND_IN_ROUNDS = 8
# Owner timeout while no majority of the entries answers. The claim then also requires that the
# owner has stopped writing to the store.
MINORITY_OWNER_TIMEOUT_S = 2.0
# Interval of the owner's liveness records in the store, and the time without a new record after
# which the owner is considered dead: two intervals and a margin.
LIVENESS_INTERVAL_S = 1.0
LIVENESS_TIMEOUT_S = 2.2
# Acknowledgements older than this are ignored as stale.
MAX_RECEIPT_AGE_S = 0.3
# Grace period of a new election, in which the first message of the owner can arrive before the
# owner timeout starts.
START_GRACE_S = 0.6
# Largest owner silence reported in acknowledgements, in seconds; also reported if there was never
# any contact.
MAX_OWNER_SILENCE_S = 3600.0
# Delay between attempts to claim, for example while the store does not answer.
CLAIM_RETRY_DELAY_S = 0.2
# The claims of all cells share one log. After a restart of all VMs, the owners of 28 domains claim
# concurrently, and only one conditional append succeeds at a time.
MAX_CLAIM_ATTEMPTS = 32
# Delay between the claims of successive cells if all of them claim at the same time. A claim that
# conflicts with another reads the log again, so without the delay the number of reads grows with
# the square of the number of cells.
CLAIM_STAGGER_S = 0.006


def make_fencing_token(offset: int, position: int = 0) -> int:
    """Return the fencing token of a claim, or one of the tokens reserved for its stand-ins.

    :param offset: offset of the claim in the store.
    :param position: number of the reserved token, from 1; 0 for the claim itself.
    """
    return (offset + 1) * TOKENS_PER_CLAIM + position


def claim_of_token(fence: int) -> int:
    """Return a number that rises with the claims that tokens belong to."""
    return fence // TOKENS_PER_CLAIM


class ElectionObserver(abc.ABC):
    """Callbacks of the election to the node."""

    @abc.abstractmethod
    def on_layout(self, record: StoreRecord) -> None:
        """Process the newest layout of the cells, which may end this election."""

    @abc.abstractmethod
    async def create_initial_layout(self) -> bool:
        """Divide a pool that never had an owner if it needs several; return whether it does."""

    @abc.abstractmethod
    def on_claiming(self) -> None:
        """Prepare for ownership: a claim is about to be appended to the store."""

    @abc.abstractmethod
    def on_owner(self, owner: EntryInfo, fence: int, domain: str) -> None:
        """Follow another entry as the owner."""

    @abc.abstractmethod
    def on_owner_contact(self) -> None:
        """Handle the first contact with the owner that is followed."""

    @abc.abstractmethod
    def on_elected(self, fence: int, domain: str) -> None:
        """Start to act as the owner, or as the stand-in for a failure domain."""

    @abc.abstractmethod
    def known_entries(self) -> list[EntryInfo]:
        """Return the entries of the cell that are not known to have stopped, including this one."""

    @abc.abstractmethod
    def probe(self) -> None:
        """Ask the other entries whether they are in contact with the owner."""

    @abc.abstractmethod
    def fresh_receipts(self, age_s: float) -> list[Receipt]:
        """Return the acknowledgements of other entries that are younger than ``age_s``."""


class Election:
    """Decides when this entry claims its cell, and which owner it follows.

    :param at_once: claim without a grace period, because no other entry owns the cell.
    :param turn: position of the cell in the layout; staggers the claims if all cells claim at the
        same time.
    :param has_other_cells: returns whether the pool has other cells.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        store: Store,
        observer: ElectionObserver,
        cell: Cell = WHOLE_POOL_CELL,
        at_once: bool = False,
        turn: int = 0,
        has_other_cells: Callable[[], bool] = lambda: False,
    ) -> None:
        self.owner: EntryInfo | None = None
        self.fence = 0
        # Highest token of an owner of the cell that another entry has acknowledged.
        self.newest_fence = 0
        # What was known at the election of this entry: the owner before, whether it handed over in
        # order to leave, its fencing token, and the time since any entry has heard it.
        self.previous_owner: EntryInfo | None = None
        self.previous_owner_left = False
        self.previous_fence = 0
        self.previous_silence_s = math.inf
        self.cell = cell
        self._key = cell.claim_key()
        self._closed = False
        self._has_other_cells = has_other_cells
        self.domain = ""
        self.successors: list[str] = []
        self.owner_leaving = False
        self.leaving = False
        self.reclaim = False
        self.me = me
        self._store = store
        self._observer = observer
        self._loop = asyncio.get_running_loop()
        self._claim_delay_s = turn * CLAIM_STAGGER_S
        # The owner timeout runs from _silent_since, which may lie in the future. _last_contact_at
        # is the time of the last message from the owner itself.
        grace_s = self._claim_delay_s - OWNER_TIMEOUT_S if at_once else START_GRACE_S
        self._silent_since = self._loop.time() + grace_s
        self._last_contact_at = -math.inf
        self._restarted_owner = ""
        self._other_owner_seen_at = -1e9
        self._claim: OwnerClaim | None = None
        self._claim_offset = -1
        self._store_failed = False
        self._leaving_since = 0.0
        self._stand_in_round = 0
        self._liveness_offset: int | None = None
        self._liveness_changed_at = self._loop.time()
        self._liveness_read_at = 0.0
        self._is_checking_store = False
        self._store_failed_at = -math.inf
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(self._run, name="election")

    def close(self) -> None:
        """Stop taking part in the election."""
        self._closed = True
        self._tasks.close()

    def silence_s(self) -> float:
        """Return the time without contact to the owner, in seconds; 0 for the owner itself."""
        if self.is_owner():
            return 0.0
        return max(0.0, self._loop.time() - self._silent_since)

    def has_owner_contact(self) -> bool:
        """Return whether the owner itself has sent anything, besides its claim in the store."""
        return self.is_owner() or self._last_contact_at > -math.inf

    def owner_contact_age_s(self) -> float:
        """Return the age of the last contact with the owner, at most `MAX_OWNER_SILENCE_S`."""
        if self.is_owner():
            return 0.0
        return min(self._loop.time() - self._last_contact_at, MAX_OWNER_SILENCE_S)

    def previous_owner_active_until(self) -> float:
        """Return the event loop time until which a cut-off owner may request leases."""
        return self._silent_since + OWNER_ACTIVE_AFTER_CONTACT_S

    def is_owner(self) -> bool:
        """Return whether this entry is the owner or a stand-in."""
        return self.owner is not None and self.owner.incarnation == self.me.incarnation

    def is_superseded(self) -> bool:
        """Return whether this entry is the owner by a claim that a later one has followed.

        Stand-ins have higher tokens as well, but under the same claim.
        """
        return self.is_owner() and claim_of_token(self.newest_fence) > claim_of_token(self.fence)

    # -- incoming information ---------------------------------------------------------------

    def note_claim(self, offset: int, claim: OwnerClaim | None) -> None:
        """Process the newest claim in the store.

        :param claim: None if the record is invalid.
        """
        if claim is None or offset <= self._claim_offset:
            return
        self._claim, self._claim_offset = claim, offset
        fence = make_fencing_token(offset)
        log.info("claim_seen offset=%d owner=%s fence=%d", offset, claim.owner.name, fence)
        if fence <= self.fence:
            return
        self._stand_in_round = 0
        if claim.owner.incarnation == self.me.incarnation:
            self._take_ownership(fence, "")
        else:
            self._follow(claim.owner, fence, "")

    def note_owner_restarted(self) -> None:
        """Handle that a newer incarnation of the owner is known, so the owner has stopped.

        After a restart of all VMs, the newest claim names a process that no longer exists. Waiting
        for the regular owner timeout would leave all jobs unserved for another 0.42 s.
        """
        owner = self.owner
        if owner is None or self.is_owner() or self._restarted_owner == owner.incarnation:
            return
        log.info("owner_gone owner=%s incarnation=%s", owner.name, owner.incarnation)
        self._restarted_owner = owner.incarnation
        self._silent_since = min(
            self._silent_since, self._loop.time() + self._claim_delay_s - OWNER_TIMEOUT_S
        )

    def note_heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        """Process the heartbeat of an owner."""
        if heartbeat.cell != self.cell.name:
            # The sender follows another layout; one of the two has not received the newer one yet.
            return
        now = self._loop.time()
        if heartbeat.domain and heartbeat.domain != self.me.zone:
            # The sender is the stand-in for another failure domain. The owner needs a new claim
            # with a higher token to use the workers there again.
            if self.is_owner() and heartbeat.fence > self.fence:
                self.reclaim = True
            return
        if heartbeat.owner.incarnation == self.me.incarnation:
            return
        if heartbeat.fence < self.fence:
            self._other_owner_seen_at = now
            return
        if heartbeat.fence > self.fence:
            self._follow(heartbeat.owner, heartbeat.fence, heartbeat.domain)
        self._note_contact()
        self.successors = heartbeat.successors
        if heartbeat.leaving and not self.owner_leaving:
            self._leaving_since = now
            log.info(
                "owner_leaving owner=%s successors=%s",
                heartbeat.owner.name,
                heartbeat.successors[:3],
            )
        self.owner_leaving = heartbeat.leaving

    def note_delivery(self, incarnation: str, fence: int) -> None:
        """Process any delivery from an entry, which counts as contact if it comes from the owner.

        A former owner with an outdated token does not count: its followers would wait for it as
        long as its process runs.
        """
        if self.owner is None or incarnation != self.owner.incarnation:
            return
        if fence >= self.fence:
            self._note_contact()

    def note_receipt(self, receipt: Receipt) -> None:
        """Process the acknowledgement of another entry."""
        if self.is_owner() and receipt.fence > self.fence:
            self.reclaim = True
            self.newest_fence = max(self.newest_fence, receipt.fence)
        owner = self.owner
        if owner is None or self.is_owner():
            return
        if receipt.receiver.incarnation == owner.incarnation and receipt.fence == self.fence:
            self._note_contact()

    def _note_contact(self) -> None:
        """Record contact with the owner."""
        is_first = not self.has_owner_contact()
        self._last_contact_at = self._loop.time()
        self._silent_since = max(self._silent_since, self._last_contact_at)
        if is_first:
            self._observer.on_owner_contact()

    def step_down(self) -> None:
        """Give up ownership because a worker has seen the token of another owner."""
        if self.is_owner():
            log.warning("stepped_down fence=%d domain=%s", self.fence, self.domain)
            self.owner = None
            self._stand_in_round += 1
            self._silent_since = self._loop.time()

    def _follow(self, owner: EntryInfo, fence: int, domain: str) -> None:
        log.info("owner_followed owner=%s fence=%d domain=%s", owner.name, fence, domain)
        self.owner, self.fence, self.domain = owner, fence, domain
        self.owner_leaving = False
        self.reclaim = False
        self._silent_since = self._loop.time()
        self._last_contact_at = -math.inf
        self._observer.on_owner(owner, fence, domain)

    def _take_ownership(self, fence: int, domain: str) -> None:
        log.info("owner_elected fence=%d domain=%s", fence, domain)
        self.previous_owner, self.previous_fence = self.owner, self.fence
        self.previous_owner_left = self.owner_leaving
        self.previous_silence_s = self._owner_silence_of_all_s()
        self.owner, self.fence, self.domain = self.me, fence, domain
        self.owner_leaving = False
        self.reclaim = False
        self._observer.on_elected(fence, domain)

    def _owner_silence_of_all_s(self) -> float:
        """Return the time since this entry or one that answers has heard the owner, in seconds."""
        receipts = self._observer.fresh_receipts(MAX_RECEIPT_AGE_S)
        silences_s = [r.owner_silence_s for r in receipts if r.fence >= self.fence]
        return min([self.owner_contact_age_s(), *silences_s])

    # -- decisions --------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.is_owner():
                await self._maintain_ownership()
            elif not self.leaving:
                await self._watch_owner()

    async def _maintain_ownership(self) -> None:
        """Claim again if a stand-in holds some workers, or if this entry is a stand-in."""
        if self.leaving:
            return
        if self.domain:
            other_owner_silence_s = self._loop.time() - self._other_owner_seen_at
            if other_owner_silence_s > LIVENESS_INTERVAL_S:
                await self._claim_unless_owner_alive()
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
            return
        if self.reclaim:
            await self._claim_cell()
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)

    async def _claim_unless_owner_alive(self) -> None:
        """As a stand-in, claim the whole cell unless the store shows that its owner is alive."""
        if await self._is_owner_writing_to_store():
            return
        if not self._store_failed:
            await self._claim_cell()

    async def _watch_owner(self) -> None:
        silence_s = self.silence_s()
        if self.owner_leaving and silence_s < OWNER_TIMEOUT_S:
            if self.rank() * 2 * DELAY_PER_RANK_S <= self._loop.time() - self._leaving_since:
                await self._claim_cell()
            return
        if silence_s < SUSPECT_AFTER_S:
            return
        if not self._has_no_known_owner():
            self._observer.probe()
        several = self._has_other_cells()
        check_after_s = EARLY_STORE_CHECK_AFTER_S if several else STORE_CHECK_AFTER_S
        if silence_s > check_after_s and self._is_probably_cut_off():
            # If the store is unreachable, too, this entry may become the stand-in; otherwise it
            # waits for the owner's liveness records.
            if several:
                self._start_store_check()
                if not self._is_store_checked():
                    return
            else:
                await self._is_owner_writing_to_store()
            silence_s = self.silence_s()
        if self._is_early_stand_in_due(silence_s) and self._can_stand_in():
            self._stand_in()
            return
        if silence_s < OWNER_TIMEOUT_S + self.rank() * DELAY_PER_RANK_S:
            return
        may_stand_in = self._store_failed and not several
        if may_stand_in and silence_s > STAND_IN_AFTER_S and self._can_stand_in():
            self._stand_in()
            return
        if not await self._may_claim(silence_s):
            return
        await self._claim_cell()
        if not self.is_owner() and self._store_failed:
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)

    def rank(self) -> int:
        """Return the position of this entry among the candidates for take-over; 0 is the first."""
        if self.me.name in self.successors:
            return min(self.successors.index(self.me.name), MAX_RANK)
        entries = sorted(self._observer.known_entries(), key=EntryInfo.owner_preference_key)
        names = [entry.name for entry in entries]
        position = names.index(self.me.name) if self.me.name in names else len(names)
        return min(position + len(self.successors), MAX_RANK)

    async def _may_claim(self, silence_s: float) -> bool:
        """Return whether the owner has failed, as opposed to this entry being cut off from it.

        An entry that is cut off from a healthy owner must not take the cell away from all others.
        So either a majority of the entries must answer without being in contact with the owner, or
        the owner must have stopped writing to the store. Neither is required if the owner is known
        to have restarted: after a restart of all VMs, the first entry that is up would otherwise
        wait for a majority, which accounts for 0.3 s of 0.55 s without an owner.
        """
        if self._is_owner_reachable():
            return False
        if self._has_no_known_owner() or self._has_owner_restarted() or self._has_majority():
            return True
        if silence_s < MINORITY_OWNER_TIMEOUT_S:
            return False
        return not await self._is_owner_writing_to_store()

    def _is_owner_reachable(self, max_age_s: float = MAX_RECEIPT_AGE_S) -> bool:
        """Return whether an entry that answers is in contact with the owner.

        :param max_age_s: age up to which an answer counts.
        """
        if self.owner is None:
            return False
        return any(
            receipt.fence >= self.fence and receipt.owner_silence_s < SUSPECT_AFTER_S
            for receipt in self._observer.fresh_receipts(max_age_s)
        )

    def _has_owner_restarted(self) -> bool:
        """Return whether a newer incarnation of the owner is known, and no newer owner."""
        return self.owner is not None and self._restarted_owner == self.owner.incarnation

    def _has_no_known_owner(self) -> bool:
        """Return whether no owner of the cell is known, so that there is no reason to probe.

        An owner that exists nevertheless is found by the claim, which reads the store first. If 300
        entries probe each other after the first start, they open 90,000 connections.
        """
        return self.owner is None and self._claim_offset < 0

    def _has_majority(self) -> bool:
        """Return whether a majority of the entries answers.

        This entry counts as answering; the owner is not counted.
        """
        answering = len(self._observer.fresh_receipts(MAX_RECEIPT_AGE_S)) + 1
        return 2 * answering > len(self._observer.known_entries()) - 1

    async def _is_owner_writing_to_store(self) -> bool:
        """Return whether an owner has recently written a liveness record to the store.

        Also true if the store can't be read.
        """
        if self._loop.time() - self._liveness_read_at > LIVENESS_INTERVAL_S / 2:
            await self._read_liveness()
            self._liveness_read_at = self._loop.time()
        if self._store_failed:
            return True
        return self._loop.time() - self._liveness_changed_at < LIVENESS_TIMEOUT_S

    async def _read_liveness(self) -> None:
        try:
            page = await self._store.newest(Topic.LIVENESS)
        except StoreUnavailableError as error:
            log.info('liveness_unread error="%s"', error)
            self._store_failed = True
            return
        self._store_failed = False
        newest_offset = max((r.offset for r in page.records if r.key == self._key), default=-1)
        if newest_offset != self._liveness_offset:
            self._liveness_offset = newest_offset
            self._liveness_changed_at = self._loop.time()

    def _is_probably_cut_off(self) -> bool:
        """Return whether this entry is probably cut off from the owner or the store.

        In a cell of two failure domains, half of the entries answer on each side of a partition,
        and the owner does not count. So in a pool of several cells, a majority says nothing if all
        of it is in this entry's domain.
        """
        if self._has_no_known_owner():
            return False
        if not self._has_majority():
            return True
        if not self._has_other_cells():
            return False
        if self._store_failed:
            # A claim or an earlier check has failed; the next check shows whether it is back.
            return True
        receipts = self._observer.fresh_receipts(MAX_RECEIPT_AGE_S)
        if any(receipt.receiver.zone != self.me.zone for receipt in receipts):
            return False
        return any(entry.zone != self.me.zone for entry in self._observer.known_entries())

    def _start_store_check(self) -> None:
        """Check in the background whether the store is reachable, to go on probing meanwhile."""
        recent = self._loop.time() - self._liveness_read_at < LIVENESS_INTERVAL_S / 2
        if not self._is_checking_store and not (recent and self._is_store_checked()):
            self._is_checking_store = True
            self._tasks.spawn(self._check_store())

    async def _check_store(self) -> None:
        try:
            async with asyncio.timeout(STORE_CHECK_TIMEOUT_S):
                await self._read_liveness()
        except TimeoutError:
            log.info("store_check_timed_out")
            self._store_failed = True
        finally:
            self._liveness_read_at = self._loop.time()
            self._is_checking_store = False
            if self._store_failed and self._store_failed_at < self._silent_since:
                self._store_failed_at = self._liveness_read_at

    def _is_store_checked(self) -> bool:
        """Return whether the store was checked since the owner is suspected to have failed.

        An earlier outage of the store says nothing about the cause of the owner's silence.
        """
        return self._liveness_read_at > self._silent_since + SUSPECT_AFTER_S

    def _is_early_stand_in_due(self, silence_s: float) -> bool:
        """Return whether this entry's turn as the stand-in has come in a pool of several cells."""
        if not (self._has_other_cells() and self._store_failed and self._is_store_checked()):
            return False
        members = [] if self._claim is None else self._claim.members
        names = [member.name for member in members if member.zone == self.me.zone]
        if self.me.name not in names:
            return False
        # All members find the store unreachable at about the same time. Two stand-ins at once would
        # exclude each other at the workers, but every job would be submitted to both of them and
        # wait until the leases of the first one have expired.
        delay_s = names.index(self.me.name) * DELAY_PER_RANK_S
        failed_s = self._loop.time() - self._store_failed_at
        return silence_s > EARLY_STAND_IN_AFTER_S and failed_s >= delay_s

    def _can_stand_in(self) -> bool:
        if self._claim is None or self._stand_in_round >= MAX_STAND_IN_ROUNDS:
            return False
        members = [member for member in self._claim.members if member.zone == self.me.zone]
        if self.me.incarnation not in [member.incarnation for member in members]:
            return False
        early = self._has_other_cells()
        if self._is_owner_reachable(EARLY_RECEIPT_AGE_S if early else MAX_RECEIPT_AGE_S):
            return False
        # If no entry answers, probably only this one is cut off, and its failure domain is still
        # served by the owner.
        return len(members) == 1 or bool(self._observer.fresh_receipts(MAX_RECEIPT_AGE_S))

    def _stand_in(self) -> None:
        incarnations = [member.incarnation for member in self._claim.members]
        position = incarnations.index(self.me.incarnation) + 1
        position += self._stand_in_round * (len(incarnations) + 1)
        if position < TOKENS_PER_CLAIM:
            self._take_ownership(make_fencing_token(self._claim_offset, position), self.me.zone)

    async def _claim_cell(self) -> None:
        """Try to append a claim, and follow the newest claim.

        Another claim for the cell may arrive through the store feed while this one is prepared. A
        second claim would then move the cell twice, and the jobs just submitted to the first owner
        would wait for 1.4 s because they may have orphaned runs. If the append conflicts with a
        claim of another cell, it is repeated at once.
        """
        known_offset = self._claim_offset
        if (
            known_offset < 0
            and self.cell is WHOLE_POOL_CELL
            and await self._observer.create_initial_layout()
        ):
            return
        for _ in range(MAX_CLAIM_ATTEMPTS):
            if not await self._try_claim(known_offset):
                return

    async def _try_claim(self, known_offset: int) -> bool:
        """Try once to append a claim; return whether to repeat it.

        :param known_offset: offset of the newest claim of this cell at the time of the decision.
        """
        if self.me.registered < 0:
            # The claim identifies the incarnation of the owner by its registration. While the store
            # has not accepted the registration, it would not accept a claim either.
            return False
        claim = OwnerClaim(owner=self.me, members=self._choose_members())
        try:
            page = await self._store.newest(Topic.CLAIMS)
            self._store_failed = False
            self.note_records(page.records)
            if self._closed or self._claim_offset > known_offset:
                return False
            self._observer.on_claiming()
            offset = await self._store.append(
                Topic.CLAIMS, key=self._key, value=msgspec.json.encode(claim), at=page.end
            )
        except StoreConflictError:
            log.info("claim_lost cell=%s at=%d", self.cell.name, page.end)
            return True
        except StoreUnavailableError as error:
            # The append may have taken effect; the next read of the store shows whether it has.
            log.warning('claim_unanswered error="%s"', error)
            self._store_failed = True
            return False
        self.note_claim(offset, claim)
        return False

    def _choose_members(self) -> list[EntryInfo]:
        """Return the entries that may become stand-ins: the preferred ones of each failure domain.

        Every entry of every cell reads each claim, so its size must not grow with the number of
        entries.
        """
        members: list[EntryInfo] = []
        count_by_domain: Counter[str] = Counter()
        for entry in sorted(self._observer.known_entries(), key=EntryInfo.owner_preference_key):
            if count_by_domain[entry.zone] < MEMBERS_PER_DOMAIN:
                count_by_domain[entry.zone] += 1
                members.append(entry)
        return members

    def note_records(self, records: list[StoreRecord]) -> None:
        """Process the newest records of the claims topic."""
        for record in records:
            if record.key == LAYOUT_KEY:
                self._observer.on_layout(record)
        for record in records:
            if record.key == self._key and not self._closed:
                self.note_claim(record.offset, decode_claim(record.value))


def decode_claim(value: bytes) -> OwnerClaim | None:
    """Decode a claim; log an error and return None if it is invalid."""
    try:
        return _decode_owner_claim(value)
    except MalformedJsonError as error:
        log.error('claim_unreadable error="%s"', error)
        return None
