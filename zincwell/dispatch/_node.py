"""One entry: puts election, owner, callers, links and feeds together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._callers import PendingJobTracker
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cell_reporter import CellReporter
from zincwell.dispatch._cells import LAYOUT_KEY, OWNER_KEY, Layout, decode_layout
from zincwell.dispatch._configurations import ConfigurationManager
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._domains import DomainMonitor
from zincwell.dispatch._election import (
    LIVENESS_INTERVAL_S,
    SUSPECT_AFTER_S,
    Election,
    ElectionObserver,
    decode_claim,
    make_fencing_token,
)
from zincwell.dispatch._evacuations import EvacuationTracker
from zincwell.dispatch._feeds import TopicFollower
from zincwell.dispatch._layout_manager import LAYOUT_CHECK_INTERVAL_S, LayoutManager
from zincwell.dispatch._messages import (
    Cancel,
    CellReport,
    Envelope,
    JobEnded,
    LayoutNotice,
    Message,
    OwnerHeartbeat,
    Ping,
    Receipt,
    Submit,
    TasksDone,
    WorkerListSnapshot,
)
from zincwell.dispatch._metrics import Metrics
from zincwell.dispatch._owner import Owner, OwnerListener
from zincwell.dispatch._owner_lag import OwnerLagDetector
from zincwell.dispatch._peers import LATE_S, Inbox, LinkObserver, PeerLink
from zincwell.dispatch._reachability import ReachabilityMonitor
from zincwell.dispatch._router import OwnerRouter
from zincwell.dispatch._types import (
    Configuration,
    EntryInfo,
    Evacuation,
    Evacuations,
    Limits,
    Outcome,
)
from zincwell.dispatch._worker_list import WorkerList
from zincwell.dispatch._worker_list_sender import WorkerListSender
from zincwell.dispatch.ports import (
    PeerClient,
    Store,
    StoreRecord,
    StoreUnavailableError,
    Topic,
    WorkerClient,
)

log = logging.getLogger("zincwell.node")

# The owner's heartbeats. Three missed ones make entries suspicious.
BEAT_S = 0.1
# The store answers a read for the configuration after this long without a change. A silent
# connection is noticed after it, and changes must be in force within 2 s.
CONFIGURATION_WAIT_S = 1.0
# New claims and entries are not urgent: heartbeats tell them sooner.
ENTRIES_WAIT_S = 4.0
# Pause between two readings of entries and of claims, in seconds for each entry. Each entry writes
# there when it starts, and all read it: after a restart of all, readings without a pause would be
# the square of the entries, and the store turns calls away. Half a pause later they come in few.
PAUSE_PER_ENTRY_S = 0.0005
# Time for the first reading of the list of workers, of which 1 MB is a page.
FIRST_LIST_S = 0.15
# How often an entry looks whether it is to read the list of workers.
LIST_LOOK_S = 0.2
# An entry that has no configuration so many seconds after its start refuses callers at once.
STARTING_S = 0.4
# The balancer takes an entry out after two probes of 1 s; until then callers still come.
DRAIN_LINGER_S = 2.5
# Time kept before SIGKILL to answer what is still open.
DRAIN_MARGIN_S = 0.8
DRAIN_STEP_S = 0.05
CLAIM_CHECK_S = 0.3
# Stands in logs and metrics for the age of a list that was never read, in seconds.
NEVER_READ_S = 3600.0
# Each so many heartbeats owners tell other cells and their own entries how cells stand. Jobs go
# elsewhere by reports that are this old, so callers of a burst wait at home for as long.
REPORT_BEATS = 2
# After the cells have changed, runs that the cells before them began may live anywhere for this
# many seconds: for a lease, and until the owners there have stopped what nobody claims.
CELLS_NEW_S = 3.0


class Node(LinkObserver, OwnerListener, ElectionObserver):
    """An entry of the pool, in one of its cells.

    :param me: name, address for other entries, failure domain and incarnation of this process.
    :param clock: a steady clock that counts the time that the VM was suspended, which the loop's
        clock need not do; that one by default.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        store: Store,
        workers: WorkerClient,
        peers: PeerClient,
        limits: Limits,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.me = me
        self.leaving = False
        self.refusing = False
        self._home_pending: dict[str, int] = {}
        self._store = store
        self._worker_client = workers
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._clock = clock or self._loop.time
        self._cell_directory = CellDirectory(me=me)
        self._directory = EntryDirectory(
            me=me,
            client=peers,
            observer=self,
            clock=self._clock,
            is_cell_member=lambda entry: self._cell_directory.covers(entry.zone, entry.name),
        )
        self._reporter = CellReporter(
            cell_directory=self._cell_directory, directory=self._directory
        )
        self._router = OwnerRouter(
            me=me,
            cell_directory=self._cell_directory,
            directory=self._directory,
            handle=lambda message: self._handle(self.me, message),
        )
        self._inbox = Inbox()
        self._metrics = Metrics()
        self.configurations = ConfigurationManager(client=peers, metrics=self._metrics)
        self.evacuations = EvacuationTracker(on_change=self._on_evacuations, metrics=self._metrics)
        self._owner: Owner | None = None
        self._owner_lag = OwnerLagDetector()
        self._layouts = LayoutManager(
            me=me, store=store, cell_directory=self._cell_directory, on_layout=self.on_layout
        )
        self._cells_new_until = 0.0
        self._elected_at = 0.0
        self._opened_at = 0.0
        self._beats = 0
        self._tasks = BackgroundTasks()

    def open(self) -> None:
        """Start to follow the store, to register and to take part."""
        self._opened_at = self._loop.time()
        self._join_cell(at_once=False)
        self.pending_jobs = PendingJobTracker(channel=self._router, metrics=self._metrics)
        self._configuration_feed = TopicFollower(
            store=self._store,
            topic=Topic.CONFIGURATION,
            on_change=self._on_configuration,
            clock=self._clock,
            wait_s=CONFIGURATION_WAIT_S,
        )
        self._worker_list = WorkerList(
            store=self._store,
            cell_directory=self._cell_directory,
            leave_notice_s=self._limits.leave_notice_s,
            has_service=self._has_service,
            on_change=self._on_workers,
            clock=self._clock,
        )
        self._worker_list_sender = WorkerListSender(
            cell_directory=self._cell_directory,
            directory=self._directory,
            worker_list=self._worker_list,
        )
        self._watch_domains()
        self._entries_feed = TopicFollower(
            store=self._store,
            topic=Topic.ENTRIES,
            on_change=self._on_entries,
            clock=self._clock,
            wait_s=ENTRIES_WAIT_S,
        )
        self._claims_feed = TopicFollower(
            store=self._store,
            topic=Topic.CLAIMS,
            on_change=self._on_claims,
            clock=self._clock,
            wait_s=ENTRIES_WAIT_S,
        )
        self._tasks.spawn(self._register())
        self._tasks.spawn(self._beat_forever())
        self._tasks.spawn(self._show_life_forever())
        self._tasks.spawn(self._tend_layout_forever())
        self._tasks.spawn(self._tend_worker_list_forever())

    def _watch_domains(self) -> None:
        """Begin to watch which failure domains of the own cell can be heard."""
        self._domains = DomainMonitor(me=self.me)
        self._reachability = ReachabilityMonitor(
            me=self.me,
            cell_directory=self._cell_directory,
            directory=self._directory,
            worker_list=self._worker_list,
            domains=self._domains,
        )

    def close(self) -> None:
        """Stop everything at once."""
        self.election.close()
        self.pending_jobs.close()
        for feed in (
            self._configuration_feed,
            self._worker_list,
            self._entries_feed,
            self._claims_feed,
        ):
            feed.close()
        if self._owner is not None:
            self._owner.close()
        self._directory.close()
        self.configurations.close()
        self._tasks.close()

    @property
    def configuration(self) -> Configuration | None:
        """The operators' document in force, None before the first."""
        return self.configurations.current

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        if self.leaving or self.configuration is None or not self.election.fence:
            return False
        if self.election.owner is not None and self.election.silence_s() < 1.0:
            return True
        # Without an owner of its own an entry hands its jobs to other cells.
        return any(
            self._cell_directory.silence_s(cell.name) < 1.0
            for cell in self._cell_directory.other_cells()
        )

    def render_metrics(self) -> str:
        """Return counters, histograms and what this entry believes now, as text."""
        gauges = {
            "is_owner": float(self.election.is_owner()),
            "fence": self.election.fence,
            "owner_silence_seconds": self.election.silence_s(),
            "configuration_version": self.configuration_version(),
            "configuration_age_seconds": self._clock() - self._configuration_feed.read_at,
            "callers_waiting": self.pending_jobs.count(),
            "entries_known": len(self._directory.entries_by_name),
            "cells": len(self._cell_directory.layout.cells),
            "domains_evacuated": len(self.evacuations.domains),
            "worker_list_age_seconds": self.worker_list_age_s(),
        }
        if self._owner is not None:
            gauges.update(self._owner.gauges())
        return self._metrics.render(gauges)

    async def drain(self) -> None:
        """Hand the pool over, let callers go elsewhere, and answer all that is open."""
        started = self._loop.time()
        deadline = started + self._limits.drain_grace_s - DRAIN_MARGIN_S
        self.leaving = True
        self.election.leaving = True
        log.info(
            "draining open_jobs=%d owner=%s", self.pending_jobs.count(), self.election.is_owner()
        )
        while self._loop.time() < deadline:
            await asyncio.sleep(DRAIN_STEP_S)
            lingered = self._loop.time() - started > DRAIN_LINGER_S
            if lingered and not self._must_hand_over():
                # From here on callers on open connections are told to go elsewhere at once. One
                # that was let in now would be cut off when the process ends.
                self.refusing = True
                if not self.pending_jobs.count():
                    break
        self.refusing = True
        self.pending_jobs.give_up_all()
        log.info("drained after_s=%.1f", self._loop.time() - started)

    def _must_hand_over(self) -> bool:
        return self.election.is_owner() and len(self._directory.cell_members()) > 1

    # -- what the store tells ---------------------------------------------------------------

    def _on_configuration(self, keys: set[str]) -> None:
        values = [r.value for r in self._configuration_feed.records_by_key.values()]
        evacuated = [value.domain for value in values if isinstance(value, Evacuation)]
        # First, or an owner that learns both at once would begin with evacuated workers.
        self.evacuations.update_from_store(evacuated, offset=self._configuration_feed.offset)
        for value in values:
            if isinstance(value, Configuration):
                self.configurations.apply(value, source="store")
        self._worker_list.refresh()

    def _on_evacuations(self) -> None:
        if self._owner is None:
            return
        self._owner.evacuate(self.evacuations.domains)
        # Entries would send jobs to a cell that can't take them until they hear of it.
        self._send_beats(with_reports=True)

    def evacuations_known(self) -> Evacuations | None:
        """Return what other entries should be told of evacuations."""
        return self.evacuations.state_to_share()

    def has_evacuation_state(self) -> bool:
        """Return whether this entry has heard what operators have in force, from anybody.

        Whoever has the document tells the evacuations as well.
        """
        return self.configuration is not None

    async def wait_for_configuration(self) -> Configuration | None:
        """Return the document in force, waiting for the first one while this entry starts.

        After a restart callers come back within milliseconds of the listening, and the document
        is some milliseconds later. Refused for that, most of them do not come again.
        """
        left_s = self._opened_at + STARTING_S - self._loop.time()
        if self.configuration is not None or left_s <= 0:
            return self.configuration
        return await self.configurations.wait_for_first(left_s)

    def configuration_version(self) -> int:
        """Return the newest version of the configuration that this entry knows."""
        return self.configurations.version()

    def _on_workers(self) -> None:
        if self._owner is not None:
            self._owner.set_workers(self._worker_list.listed_by_id)

    def _has_service(self, service: str) -> bool:
        """Return whether the configuration has a service; before the first, whether it may."""
        return self.configuration is None or self.configuration.has_service(service)

    def _on_entries(self, keys: set[str]) -> None:
        # All entries read what each of them writes; see `PAUSE_PER_ENTRY_S`.
        pause_s = len(self._entries_feed.records_by_key) * PAUSE_PER_ENTRY_S
        self._entries_feed.pause_s = self._claims_feed.pause_s = pause_s
        for key in keys:
            record = self._entries_feed.records_by_key.get(key)
            if record is not None:
                self._note_entry(key, record)
        self._check_owner_life()

    def _on_claims(self, keys: set[str]) -> None:
        layout = self._claims_feed.records_by_key.get(LAYOUT_KEY)
        if layout is not None:
            self.on_layout(layout)
        for key in keys:
            record = self._claims_feed.records_by_key.get(key)
            if record is not None and key.partition("/")[0] == OWNER_KEY:
                self._note_claim(record)
        self._check_owner_life()

    def _note_claim(self, record: StoreRecord) -> None:
        """Take note of the newest claim of any cell."""
        claim = decode_claim(record.value)
        if claim is None:
            return
        cell = record.key.partition("/")[2]
        if cell == self._cell_directory.home.name:
            self.election.note_claim(record.offset, claim)
            return
        if self._cell_directory.note_owner(cell, claim.owner, make_fencing_token(record.offset)):
            self._directory.note(claim.owner, named=True)
            self.pending_jobs.note_unsent(
                self._directory.withdraw_jobs(owners=self._router.owner_names())
            )
            self.pending_jobs.submit_pending(cell)

    def on_layout(self, record: StoreRecord) -> None:
        """Follow a newer layout of the cells."""
        if record.offset <= self._cell_directory.layout_offset:
            return
        layout = decode_layout(record.value)
        if layout is None:
            log.error("layout_unreadable offset=%d", record.offset)
            return
        self._follow_layout(record.offset, layout)

    def _follow_layout(self, offset: int, layout: Layout) -> None:
        if offset <= self._cell_directory.layout_offset:
            return
        home = self._cell_directory.home
        self._cell_directory.set_layout(offset, layout)
        if self._cell_directory.home == home:
            return
        self._cells_new_until = self._loop.time() + CELLS_NEW_S
        self.election.close()
        self._close_owner()
        self._watch_domains()
        self._join_cell(at_once=True)
        self.pending_jobs.reassign_to_home_cell()
        self.pending_jobs.note_unsent(self._directory.withdraw_jobs(owners=()))
        self._directory.close_links_but_to(self._router.owner_names())
        # Other cells may have claimed before this entry heard of the layout.
        for key in list(self._claims_feed.records_by_key):
            claimed = self._claims_feed.records_by_key[key]
            if key.partition("/")[0] == OWNER_KEY:
                self._note_claim(claimed)

    def _join_cell(self, *, at_once: bool) -> None:
        """Take part in the election of the own cell; at once if nobody can own it yet."""
        self.election = Election(
            me=self.me,
            store=self._store,
            observer=self,
            cell=self._cell_directory.home,
            at_once=at_once,
            turn=self._cell_directory.layout.cells.index(self._cell_directory.home),
        )
        self._router.election = self.election

    async def create_initial_layout(self) -> bool:
        """Divide a pool that nobody has owned yet, if it needs several owners."""
        await self._worker_list.read_now(within_s=FIRST_LIST_S)
        return await self._layouts.create_initial_layout(
            entries=self._directory.entries_by_name.values(),
            workers=self._worker_list.listed_by_id.values(),
        )

    async def _tend_worker_list_forever(self) -> None:
        while True:
            await asyncio.sleep(LIST_LOOK_S)
            self._follow_workers()

    async def _tend_layout_forever(self) -> None:
        while True:
            await asyncio.sleep(LAYOUT_CHECK_INTERVAL_S)
            first = self._cell_directory.layout.cells[0] == self._cell_directory.home
            if self._owner is None or self._owner.domain is not None or self.leaving or not first:
                continue
            due = self._layouts.is_change_due(
                entries=self._directory.entries_by_name.values(),
                workers=self._worker_list.listed_by_id.values(),
            )
            if due:
                await self._layouts.change()

    def _note_entry(self, key: str, record: StoreRecord) -> None:
        try:
            entry = msgspec.json.decode(record.value, type=EntryInfo)
            self._directory.note(msgspec.structs.replace(entry, registered=record.offset))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log.error('entry_unreadable key=%s error="%s"', key, error)

    def _check_owner_life(self) -> None:
        """Tell the election if a later life of the owner's VM is known."""
        owner = self.election.owner
        if owner is not None and self._directory.is_superseded(owner):
            self.election.note_owner_restarted()

    async def _register(self) -> None:
        value = msgspec.json.encode(self.me)
        while True:
            try:
                key = f"entry/{self.me.name}"
                place = await self._store.append(Topic.ENTRIES, key=key, value=value)
            except StoreUnavailableError as error:
                log.warning('not_registered error="%s"', error)
                await asyncio.sleep(BEAT_S)
                continue
            self.me = self.election.me = msgspec.structs.replace(self.me, registered=place)
            self._directory.register(self.me)
            return

    # -- other entries ----------------------------------------------------------------------

    def receive(self, envelope: Envelope) -> Receipt:
        """Handle an envelope of another entry."""
        self._directory.note(envelope.sender)
        self._directory.note_heard(envelope.sender.name)
        self.evacuations.update_from_peer(envelope.evacuations, entry=envelope.sender.name)
        self._check_owner_life()
        self.election.note_owner_alive(envelope.sender.incarnation, envelope.fence)
        late_s = self._inbox.lateness_s(envelope, now=self._clock())
        late = late_s > LATE_S
        if self._inbox.is_new(envelope):
            for message in envelope.messages:
                if late and isinstance(message, Submit):
                    log.info("late_job job=%s entry=%s", message.job.id, envelope.sender.name)
                    continue
                self._handle(envelope.sender, message, delay_s=envelope.waited_s + late_s)
        self.configurations.note_version(envelope.sender, envelope.version)
        return Receipt(
            receiver=self.me,
            fence=self.election.fence,
            cell=self._cell_directory.home.name,
            layout_offset=self._cell_directory.layout_offset,
            owner_silence_s=self.election.owner_contact_age_s(),
            leaving=self.leaving or self._owner_lag.is_ineligible(self._loop.time()),
            version=self.configuration_version(),
            late=late,
            evacuations=self.evacuations.state_to_share(),
        )

    def _handle(self, sender: EntryInfo, message: Message, *, delay_s: float = 0.0) -> None:
        """Handle one message.

        :param delay_s: how long ago it said what holds now.
        """
        if isinstance(message, Submit):
            self._take_job(sender.name, message)
        elif isinstance(message, JobEnded):
            self.pending_jobs.handle_answer(message)
        elif isinstance(message, TasksDone):
            self.pending_jobs.note_done(message.job, message.tasks)
        elif isinstance(message, Cancel):
            if self._owner is not None:
                self._owner.jobs.cancel(message.job, entry=sender.name)
        elif isinstance(message, CellReport):
            self._cell_directory.note_report(message, delay_s=delay_s)
        elif isinstance(message, WorkerListSnapshot):
            self._worker_list.note_snapshot(message, entry=sender.name, delay_s=delay_s)
        elif isinstance(message, LayoutNotice):
            self._follow_layout(message.offset, message.layout)
        elif isinstance(message, OwnerHeartbeat):
            self._take_beat(message, delay_s)

    def _take_beat(self, beat: OwnerHeartbeat, delay_s: float) -> None:
        self.election.note_heartbeat(beat)
        if beat.cell != self._cell_directory.home.name:
            return
        if self._owner is None and beat.fence >= self.election.fence:
            self._domains.note_heartbeat(beat, delay_s=delay_s)
        for report in beat.reports:
            if report.cell == beat.cell:
                self._cell_directory.note_owner(report.cell, beat.owner, report.fence)
            self._cell_directory.note_report(report, delay_s=delay_s)
        self._home_pending = beat.pending

    @property
    def pending_by_route(self) -> dict[str, int]:
        """By route, how many jobs of all cells have no task started, as far as known."""
        counts = self._cell_directory.pending_by_route()
        for route, count in self._home_pending.items():
            counts[route] = counts.get(route, 0) + count
        return counts

    def _take_job(self, entry: str, message: Submit) -> None:
        if self._owner is None:
            # The sender follows another owner by now, or will, and hands its jobs to that one.
            log.info("not_owner job=%s entry=%s", message.job.id, entry)
            return
        self._owner.submit(
            message.job,
            entry=entry,
            age_s=message.age_s,
            possibly_started=message.exposed,
            done=message.done,
        )

    def has_usable_worker_list(self) -> bool:
        """Return whether the list of workers is young enough to start tasks by it.

        A stand-in does not wait for it: it serves because the store does not answer here.
        """
        stands_in = self._owner is not None and self._owner.domain is not None
        if stands_in or self._worker_list.is_usable():
            return True
        self._worker_list.read_soon()
        return False

    def worker_list_age_s(self) -> float:
        """Return how old the list of workers is that is known here, at most `NEVER_READ_S`."""
        return min(self._worker_list.age_s(), NEVER_READ_S)

    def own_fence(self) -> int:
        """Return the fencing token of this entry if it is owner, else 0."""
        return self._owner.fence if self._owner is not None else 0

    def on_receipt(self, link: PeerLink, receipt: Receipt) -> None:
        """Take note of an acknowledgement."""
        self.evacuations.update_from_peer(receipt.evacuations, entry=receipt.receiver.name)
        if receipt.receiver.incarnation != link.peer.incarnation:
            self._directory.note(receipt.receiver)
        if receipt.layout_offset < self._cell_directory.layout_offset:
            # It has just started, and can't read the store.
            layout, offset = self._cell_directory.layout, self._cell_directory.layout_offset
            link.send(LayoutNotice(layout=layout, offset=offset))
        self._check_owner_life()
        if receipt.cell == self._cell_directory.home.name:
            self.election.note_receipt(receipt)
        if receipt.late:
            self.pending_jobs.resubmit(after_s=0)
        self.configurations.note_version(receipt.receiver, receipt.version)

    def known_entries(self) -> list[EntryInfo]:
        """Return all entries that are not known to be gone, this one included."""
        return self._directory.known()

    def probe(self) -> None:
        """Ask the other entries whether they hear the owner."""
        self._directory.probe()

    def fresh_receipts(self, age_s: float) -> list[Receipt]:
        """Return the acknowledgements of other entries that are younger than an age."""
        return self._directory.fresh_receipts(self._cell_directory.home.name, age_s)

    # -- the owner's part -------------------------------------------------------------------

    def on_claiming(self) -> None:
        """Read the list of workers now, so that it is known when the claim has come through."""
        self._worker_list.read_soon()

    def on_owner(self, owner: EntryInfo, fence: int, domain: str) -> None:
        """Follow another entry as owner."""
        self._owner_lag.end_term(self._loop.time())
        self._close_owner()
        self._directory.note(owner, named=True)
        self.pending_jobs.note_unsent(
            self._directory.withdraw_jobs(owners=self._router.owner_names())
        )
        self._directory.link(owner).send(Ping())

    def on_owner_contact(self) -> None:
        """Hand all waiting jobs over."""
        self.pending_jobs.submit_pending(self._cell_directory.home.name)

    def on_elected(self, fence: int, domain: str) -> None:
        """Be the owner, or the stand-in for a failure domain."""
        self._metrics.count("elections", f'domain="{domain}"')
        self._owner_lag.begin_term(self._loop.time())
        self._domains.note_elected(was_owner=self._owner is not None)
        if self._owner is not None and not domain:
            self._owner.promote(fence)
        else:
            self._close_owner()
            self._owner = Owner(
                fence=fence,
                domain=domain or None,
                client=self._worker_client,
                listener=self,
                limits=self._limits,
                metrics=self._metrics,
                cores=self.me.cores,
                covers=lambda info: self._cell_directory.covers(info.zone, info.id),
                renew_only_adopted=self._loop.time() < self._cells_new_until,
            )
            self._owner.evacuate(self.evacuations.domains)
        self._elected_at = self._clock()
        log.info(
            "workers_known workers=%d from=%s age_ms=%d",
            len(self._worker_list.listed_by_id),
            self._worker_list.source,
            self.worker_list_age_s() * 1000,
        )
        self._follow_workers()
        self._worker_list.read_soon()
        self._owner.set_workers(self._worker_list.listed_by_id)
        self._owner.probe_unlisted_workers(self._worker_list.recently_lapsed())
        self.pending_jobs.note_unsent(
            self._directory.withdraw_jobs(owners=self._router.owner_names())
        )
        self._send_beats()
        self.pending_jobs.submit_pending(self._cell_directory.home.name)

    def _close_owner(self) -> None:
        if self._owner is not None:
            self._owner.close()
            self._owner = None
            self._follow_workers()

    def _follow_workers(self) -> None:
        self._worker_list.follow(owns=self._owner is not None)

    def on_job_ended(self, job: str, entries: set[str], outcome: Outcome) -> None:
        """Pass an answer to the entries whose callers wait for it."""
        fence, shared = self.election.fence, len(entries) > 1
        self._tell(entries, JobEnded(job=job, outcome=outcome, fence=fence, shared=shared))

    def on_tasks_done(self, job: str, entries: set[str], tasks: list[tuple[int, int]]) -> None:
        """Tell the entries which tasks need not run again."""
        self._tell(entries, TasksDone(job=job, tasks=tasks))

    def _tell(self, entries: set[str], message: Message) -> None:
        for name in entries:
            if name == self.me.name:
                self._loop.call_soon(self._handle, self.me, message)
                continue
            entry = self._directory.entries_by_name.get(name)
            if entry is not None:
                self._directory.link(entry).send(message)

    def on_superseded(self) -> None:
        """Find out who the owner is: a worker obeys a higher fencing token."""
        self._tasks.spawn(self._resolve_fenced())

    async def _resolve_fenced(self) -> None:
        election, fence = self.election, self.election.fence
        try:
            page = await self._store.newest(Topic.CLAIMS)
        except StoreUnavailableError as error:
            log.warning('owner_unknown error="%s"', error)
            await asyncio.sleep(CLAIM_CHECK_S)
        else:
            election.note_records(page.records)
        if self.election is not election:
            return
        if self._owner is None or self.election.fence != fence:
            return
        if self._owner.domain is not None:
            self.election.step_down()
            self._close_owner()
            return
        self.election.reclaim = True
        self._owner.resume()

    async def _beat_forever(self) -> None:
        while True:
            due_at = self._loop.time() + BEAT_S
            await asyncio.sleep(BEAT_S)
            if self._owner is not None:
                self._watch_slowness(due_at)
                # First, so that the heartbeats say which domains are out of hearing by now.
                self._reachability.drop_jobs_of_unreachable_entries(self._owner)
                self._send_beats()
                if self._owner.domain is None:
                    self._worker_list_sender.send_due(self._beats)
            elif self.election.owner is not None and self.election.silence_s() > SUSPECT_AFTER_S:
                self._turn_elsewhere(self.election.owner)

    def _turn_elsewhere(self, owner: EntryInfo) -> None:
        """Let other cells have the jobs that have not left for an owner that is silent.

        They would wait for the end of the take-over, half a second, and be late.
        """
        if self._cell_directory.other_cells():
            self.pending_jobs.note_unsent(self._directory.withdraw_unsent(owner.name))

    def _watch_slowness(self, due_at: float) -> None:
        now = self._loop.time()
        handed_over = self._owner_lag.should_hand_over
        self._owner_lag.note_heartbeat(now - due_at, now)
        if self._owner_lag.should_hand_over and not handed_over:
            self._metrics.count("slow_terms")
            log.warning("too_slow_to_own late_ms=%d", (now - due_at) * 1000)

    def _send_beats(self, *, with_reports: bool = False) -> None:
        self._beats += 1
        due = with_reports or self._beats % REPORT_BEATS == 0
        reports = self._reporter.report(self._owner, self.me) if due else []
        beat = OwnerHeartbeat(
            fence=self._owner.fence,
            owner=self.me,
            successors=self._directory.successors(),
            domain=self._owner.domain or "",
            complete_s=self._domains.complete_s(),
            leaving=self.leaving or self._owner_lag.should_hand_over,
            pending=self._owner.jobs.pending_by_route(),
            cell=self._cell_directory.home.name,
            reports=reports,
        )
        self._home_pending = beat.pending
        for link in self._directory.idle_links():
            link.send(beat)

    def reaches_all_domains(self) -> bool:
        """Return whether an entry of each failure domain answers, and has for a while."""
        return self._reachability.reaches_all_domains(elected_at=self._elected_at)

    async def _show_life_forever(self) -> None:
        """Show the store that the owner lives, for entries that can't hear it."""
        while True:
            await asyncio.sleep(LIVENESS_INTERVAL_S)
            if self._owner is None or self._owner.domain is not None:
                continue
            key = self._cell_directory.home.claim_key()
            try:
                await self._store.append(Topic.LIVENESS, key=key, value=self.me.name.encode())
            except StoreUnavailableError as error:
                log.info('liveness_not_shown error="%s"', error)
