"""An entry of the pool: wires election, owner, caller jobs, peer links and store topics."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from zincwell._decoding import make_decoder
from zincwell._supervision import supervisor
from zincwell.dispatch._announcements import Announcements
from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._cell_directory import CellDirectory
from zincwell.dispatch._cell_jobs import CellJobs
from zincwell.dispatch._cell_reporter import CellReporter
from zincwell.dispatch._cells import LAYOUT_KEY, OWNER_KEY, Layout, decode_layout
from zincwell.dispatch._clocks import floor_ms
from zincwell.dispatch._configurations import ConfigurationManager
from zincwell.dispatch._directory import EntryDirectory
from zincwell.dispatch._domains import DomainMonitor
from zincwell.dispatch._earlier_runs import LEASE_EXPIRY_MARGIN_S, EntryLoss
from zincwell.dispatch._election import (
    LIVENESS_INTERVAL_S,
    SUSPECT_AFTER_S,
    Election,
    ElectionObserver,
    decode_claim,
    make_fencing_token,
)
from zincwell.dispatch._evacuations import EvacuationTracker
from zincwell.dispatch._inbox import LATE_DELIVERY_S, UNKNOWN_DELAY_S, Inbox
from zincwell.dispatch._jobs import Job
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
from zincwell.dispatch._peers import LinkObserver, PeerLink
from zincwell.dispatch._pending_jobs import PendingJobTracker
from zincwell.dispatch._reachability import ReachabilityMonitor
from zincwell.dispatch._router import OwnerRouter
from zincwell.dispatch._term_confirmation import TermConfirmation
from zincwell.dispatch._topic_follower import TopicFollower
from zincwell.dispatch._types import (
    Configuration,
    EntryInfo,
    Evacuation,
    Evacuations,
    Limits,
    Outcome,
)
from zincwell.dispatch._worker_calls import max_lease_s
from zincwell.dispatch._worker_list import WorkerList
from zincwell.dispatch._worker_reports import WorkerReports
from zincwell.dispatch.decisions import (
    SILENT_OWNER_HAS_ENDED_JOBS_S,
    may_have_left_runs,
)
from zincwell.dispatch.ports import (
    PeerClient,
    Store,
    StoreRecord,
    StoreUnavailableError,
    Topic,
    WorkerClient,
)
from zincwell.exceptions import MalformedJsonError

log = logging.getLogger("zincwell.node")

decode_entry = make_decoder(EntryInfo)

# Interval between the owner's heartbeats. Entries suspect the owner after three missed ones.
HEARTBEAT_INTERVAL_S = 0.1
# Entries ask owners of other cells whether they are reachable when the owner of the home cell has
# missed a heartbeat. They send jobs there 0.25 s after the last one.
PROBE_OTHERS_AFTER_S = 0.16
# Long-poll timeout of reads of the configuration topic. A dead connection is detected only after
# it expires, and configuration changes must take effect within 2 s.
CONFIGURATION_LONG_POLL_S = 1.0
# Long-poll timeout of reads of the claims and entries topics. Heartbeats announce new owners and
# entries sooner, so these reads are not urgent.
ENTRIES_LONG_POLL_S = 4.0
# Pause between two reads of the entries and claims topics, multiplied by the number of entries.
# Every entry writes a record when it starts and every entry reads it, so after a full restart the
# number of unpaced reads would grow with the square of the number of entries and the store would
# reject calls. With the pause, many records are returned by each of a few reads.
READ_PAUSE_PER_ENTRY_S = 0.0005
# Timeout of the first read of the worker list. A page of the list has 1 MB.
FIRST_WORKER_LIST_TIMEOUT_S = 0.15
# Interval at which an entry checks whether it has to read the worker list itself.
WORKER_LIST_CHECK_INTERVAL_S = 0.2
# Callers wait for the first configuration only during this time after the start of the entry;
# without a configuration, later callers are refused at once.
STARTUP_GRACE_S = 0.4
# The load balancer removes an entry after two failed health checks of 1 s each and sends callers
# to it until then.
DRAIN_LINGER_S = 2.5
# Reserved before SIGKILL for answering the jobs that are still open.
DRAIN_MARGIN_S = 0.8
DRAIN_CHECK_INTERVAL_S = 0.05
CLAIM_READ_RETRY_PAUSE_S = 0.3
# Reported in logs and metrics as the age of a worker list that was never read.
NEVER_READ_AGE_S = 3600.0
# Owners send cell reports to other cells and to their own entries with every Nth heartbeat. Jobs
# are sent to other cells based on reports of up to this age, so the jobs of a burst stay queued
# in the home cell for as long.
HEARTBEATS_PER_REPORT = 2
# An owner whose heartbeat is late by more than this stood still, and logs it.
STOOD_STILL_S = 0.3
# After a layout change, runs started under the previous layout may be active on any worker for
# this long: until their lease expires and the new owners have stopped the runs that no job claims.
LAYOUT_SETTLE_S = 3.0


class Node(LinkObserver, OwnerListener, ElectionObserver):
    """An entry of the pool, in one of its cells.

    :param me: name, peer address, failure domain and incarnation of this process.
    :param clock: monotonic clock that includes the time during which the VM was suspended, unlike
        the event loop's clock, which is the default.
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
        self._home_pending_by_route: dict[str, int] = {}
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
        self._announcements = Announcements(clock=self._clock)
        self._reporter = CellReporter(
            cell_directory=self._cell_directory,
            directory=self._directory,
            announcements=self._announcements,
        )
        self._router = OwnerRouter(
            me=me,
            cell_directory=self._cell_directory,
            directory=self._directory,
            handle=lambda message: self._handle(self.me, message),
        )
        self._inbox = Inbox(incarnation=me.incarnation)
        self._metrics = Metrics()
        self.configurations = ConfigurationManager(client=peers, metrics=self._metrics)
        self.evacuations = EvacuationTracker(on_change=self._on_evacuations, metrics=self._metrics)
        self._owner: Owner | None = None
        self._owner_lag = OwnerLagDetector()
        self._layouts = LayoutManager(
            me=me, store=store, cell_directory=self._cell_directory, on_layout=self.on_layout
        )
        self._layout_settled_at = 0.0
        self._elected_at = 0.0
        self._opened_at = 0.0
        self._heartbeat_count = 0
        self._cell_jobs = CellJobs(
            cell_directory=self._cell_directory,
            announcements=self._announcements,
            reporter=self._reporter,
            metrics=self._metrics,
            get_owner=lambda: self._owner,
            send=lambda entry, message: self._send_to_entries({entry}, message),
        )
        self._tasks = BackgroundTasks()

    def open(self) -> None:
        """Start to follow the store, register this entry and join the election of its cell."""
        self._opened_at = self._loop.time()
        self._join_cell(at_once=False)
        self.pending_jobs = PendingJobTracker(
            channel=self._router, metrics=self._metrics, clock=self._clock
        )
        self._configuration_feed = TopicFollower(
            store=self._store,
            topic=Topic.CONFIGURATION,
            on_change=self._on_configuration,
            clock=self._clock,
            wait_s=CONFIGURATION_LONG_POLL_S,
        )
        self._worker_list = WorkerList(
            store=self._store,
            cell_directory=self._cell_directory,
            leave_notice_s=self._limits.leave_notice_s,
            has_service=self._has_service,
            on_change=self._on_workers,
            clock=self._clock,
        )
        self._worker_reports = WorkerReports(
            cell_directory=self._cell_directory,
            directory=self._directory,
            worker_list=self._worker_list,
            limits=self._limits,
            clock=self._clock,
        )
        self._term_confirmation = TermConfirmation(
            store=self._store,
            directory=self._directory,
            get_election=lambda: self.election,
            lease_s=max_lease_s(self._limits) + LEASE_EXPIRY_MARGIN_S,
        )
        self._start_reachability_monitoring()
        self._entries_feed = TopicFollower(
            store=self._store,
            topic=Topic.ENTRIES,
            on_change=self._on_entries,
            clock=self._clock,
            wait_s=ENTRIES_LONG_POLL_S,
        )
        self._claims_feed = TopicFollower(
            store=self._store,
            topic=Topic.CLAIMS,
            on_change=self._on_claims,
            clock=self._clock,
            wait_s=ENTRIES_LONG_POLL_S,
        )
        for name, loop in (
            ("registration", self._register),
            ("heartbeats", self._send_heartbeats_forever),
            ("liveness", self._write_liveness_forever),
            ("layout", self._check_layout_forever),
            ("worker_list_reading", self._update_worker_list_reading_forever),
        ):
            self._tasks.keep_running(loop, name=name)

    def _start_reachability_monitoring(self) -> None:
        """Start to track which failure domains of the home cell are reachable."""
        self._domains = DomainMonitor(me=self.me)
        self._reachability = ReachabilityMonitor(
            me=self.me,
            cell_directory=self._cell_directory,
            directory=self._directory,
            worker_list=self._worker_list,
            domains=self._domains,
        )

    def close(self) -> None:
        """Stop all tasks and close all links at once."""
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
        self._term_confirmation.close()
        self._tasks.close()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in effect, None until the first one is known."""
        return self.configurations.current

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        if supervisor.has_failing_loops():
            return False
        if self.leaving or self.configuration is None or not self.election.fence:
            return False
        if self.election.owner is not None and self.election.silence_s() < 1.0:
            return True
        # While the home cell has no owner, jobs are submitted to other cells.
        return any(
            self._cell_directory.silence_s(cell.name) < 1.0
            for cell in self._cell_directory.other_cells()
        )

    def render_metrics(self) -> str:
        """Return counters, histograms and gauges in the text exposition format."""
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
        for loop, failures in supervisor.failures_by_loop.items():
            gauges[f'loop_failures_total{{loop="{loop}"}}'] = failures
        return self._metrics.render(gauges)

    async def drain(self) -> None:
        """Transfer ownership, divert callers to other entries and answer all open jobs."""
        started = self._loop.time()
        deadline = started + self._limits.drain_grace_s - DRAIN_MARGIN_S
        self.leaving = True
        self.election.leaving = True
        log.info(
            "draining open_jobs=%d owner=%s", self.pending_jobs.count(), self.election.is_owner()
        )
        while self._loop.time() < deadline:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            lingered = self._loop.time() - started > DRAIN_LINGER_S
            if lingered and not self._must_hand_over():
                # Refuse new requests on open connections from now on: the end of the process would
                # break the connection of a job that is accepted now.
                self.refusing = True
                if not self.pending_jobs.count():
                    break
        self.refusing = True
        self.pending_jobs.give_up_all()
        log.info("drained after_s=%.1f", self._loop.time() - started)

    def _must_hand_over(self) -> bool:
        return self.election.is_owner() and len(self._directory.cell_members()) > 1

    # -- changes in the store ---------------------------------------------------------------

    def _on_configuration(self, keys: set[str]) -> None:
        values = [r.value for r in self._configuration_feed.records_by_key.values()]
        evacuated = [value.domain for value in values if isinstance(value, Evacuation)]
        # Evacuations are applied first: an owner that learns both at once must not start tasks on
        # evacuated workers.
        self.evacuations.update_from_store(evacuated, offset=self._configuration_feed.offset)
        for value in values:
            if isinstance(value, Configuration):
                self.configurations.apply(value, source="store")
        self._worker_list.refresh()

    def _on_evacuations(self) -> None:
        if self._owner is None:
            return
        self._owner.evacuate(self.evacuations.domains)
        # Send reports at once, so that other entries stop sending jobs to a cell that can't run
        # them.
        self._send_heartbeats(with_reports=True)

    def evacuations_to_share(self) -> Evacuations | None:
        """Return the evacuations to announce to other entries, None if none was ever known."""
        return self.evacuations.state_to_share()

    def has_evacuation_state(self) -> bool:
        """Return whether this entry knows the evacuations in effect.

        Every source of the configuration, the store or another entry, announces the evacuations
        as well.
        """
        return self.configuration is not None

    async def wait_for_configuration(self) -> Configuration | None:
        """Return the configuration in effect, waiting for the first one while this entry starts.

        After a restart callers reconnect within milliseconds of the socket being opened, some
        milliseconds before the configuration is known. Most callers that are refused then do not
        retry.
        """
        remaining_s = self._opened_at + STARTUP_GRACE_S - self._loop.time()
        if self.configuration is not None or remaining_s <= 0:
            return self.configuration
        return await self.configurations.wait_for_first(remaining_s)

    def configuration_version(self) -> int:
        """Return the newest configuration version known to this entry, 0 if none."""
        return self.configurations.version()

    def _on_workers(self) -> None:
        if self._owner is not None:
            self._owner.set_workers(self._worker_list.listed_by_id)

    def _has_service(self, service: str) -> bool:
        """Return whether the configuration has a service; True while no configuration is known."""
        return self.configuration is None or self.configuration.has_service(service)

    def _on_entries(self, keys: set[str]) -> None:
        # Every entry reads the record of every other entry; see `READ_PAUSE_PER_ENTRY_S`.
        pause_s = len(self._entries_feed.records_by_key) * READ_PAUSE_PER_ENTRY_S
        self._entries_feed.pause_s = self._claims_feed.pause_s = pause_s
        for key in keys:
            record = self._entries_feed.records_by_key.get(key)
            if record is not None:
                self._note_entry(key, record)
        self._check_owner_restart()

    def _on_claims(self, keys: set[str]) -> None:
        layout = self._claims_feed.records_by_key.get(LAYOUT_KEY)
        if layout is not None:
            self.on_layout(layout)
        for key in keys:
            record = self._claims_feed.records_by_key.get(key)
            if record is not None and key.partition("/")[0] == OWNER_KEY:
                self._note_claim(record)
        self._check_owner_restart()

    def _note_claim(self, record: StoreRecord) -> None:
        """Process the newest ownership claim of a cell."""
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
            if self._owner is not None:
                # The new owner does not know which jobs are in this cell.
                self._reporter.report(self._owner, self.me)

    def on_layout(self, record: StoreRecord) -> None:
        """Switch to a layout of the cells if it is newer than the current one."""
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
        changes_cell = self._cell_directory.home != home
        if changes_cell:
            self._leave_cell()
        self.pending_jobs.follow_layout()
        self.pending_jobs.note_unsent(
            self._directory.withdraw_jobs(owners=self._router.owner_names())
        )
        if changes_cell:
            self._directory.close_links_except(self._router.owner_names())
            self._note_known_claims()

    def _leave_cell(self) -> None:
        """Leave the former home cell, and join the election of the present one."""
        self._layout_settled_at = self._loop.time() + LAYOUT_SETTLE_S
        self.election.close()
        self._close_owner()
        self._start_reachability_monitoring()
        self._join_cell(at_once=True)

    def _note_known_claims(self) -> None:
        """Process the claims that owners of other cells wrote before this entry got the layout."""
        for key in list(self._claims_feed.records_by_key):
            claimed = self._claims_feed.records_by_key[key]
            if key.partition("/")[0] == OWNER_KEY:
                self._note_claim(claimed)

    def _join_cell(self, *, at_once: bool) -> None:
        """Join the election of the home cell.

        :param at_once: the cell is new, so it can have no owner whose silence must be awaited.
        """
        self.election = Election(
            me=self.me,
            store=self._store,
            observer=self,
            cell=self._cell_directory.home,
            at_once=at_once,
            turn=self._cell_directory.layout.cells.index(self._cell_directory.home),
            has_other_cells=lambda: bool(self._cell_directory.other_cells()),
        )
        self._router.election = self.election

    async def create_initial_layout(self) -> bool:
        """Divide a pool that has never had an owner, if it needs several owners."""
        await self._worker_list.read_now(within_s=FIRST_WORKER_LIST_TIMEOUT_S)
        return await self._layouts.create_initial_layout(
            entries=self._directory.entries_by_name.values(),
            workers=self._worker_list.listed_by_id.values(),
        )

    async def _update_worker_list_reading_forever(self) -> None:
        while True:
            await asyncio.sleep(WORKER_LIST_CHECK_INTERVAL_S)
            self._update_worker_list_reading()

    async def _check_layout_forever(self) -> None:
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
                await self._layouts.write_layout()

    def _note_entry(self, key: str, record: StoreRecord) -> None:
        try:
            entry = decode_entry(record.value)
        except MalformedJsonError as error:
            log.error('entry_unreadable key=%s error="%s"', key, error)
            return
        self._directory.note(msgspec.structs.replace(entry, registered=record.offset))

    def _check_owner_restart(self) -> None:
        """Notify the election if a later incarnation of the owner is known."""
        owner = self.election.owner
        if owner is not None and self._directory.is_superseded(owner):
            self.election.note_owner_restarted()

    async def _register(self) -> None:
        value = msgspec.json.encode(self.me)
        while True:
            try:
                key = f"entry/{self.me.name}"
                offset = await self._store.append(Topic.ENTRIES, key=key, value=value)
            except StoreUnavailableError as error:
                log.warning('not_registered error="%s"', error)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            self.me = self.election.me = msgspec.structs.replace(self.me, registered=offset)
            self._directory.register(self.me)
            return

    # -- other entries ----------------------------------------------------------------------

    def receive(self, envelope: Envelope) -> Receipt:
        """Handle an envelope from another entry and return its acknowledgement."""
        self._directory.note(envelope.sender)
        self._directory.note_heard(envelope.sender, sent_at=envelope.sent_at)
        self._reachability.note_layout(envelope.sender.name, envelope.layout_offset)
        self.evacuations.update_from_peer(envelope.evacuations, entry=envelope.sender.name)
        self._check_owner_restart()
        self.election.note_delivery(envelope.sender.incarnation, envelope.fence)
        delay_s = self._inbox.delay_s(envelope, now=self._clock())
        if self._inbox.is_new(envelope):
            self._handle_messages(envelope, delay_s)
        self.configurations.note_version(envelope.sender, envelope.version)
        return Receipt(
            receiver=self.me,
            fence=self.election.fence,
            cell=self._cell_directory.home.name,
            layout_offset=self.layout_offset(),
            owner_silence_s=self.election.owner_contact_age_s(),
            leaving=self.leaving or self._owner_lag.is_ineligible(self._loop.time()),
            version=self.configuration_version(),
            clock_s=floor_ms(self._clock()),
            late=self._inbox.has_dropped(envelope),
            evacuations=self.evacuations.state_to_share(),
            jobs_here=self._cell_jobs.find_jobs_here(envelope),
            cancelled=self._directory.undelivered_cancellations(envelope.sender),
        )

    def _handle_messages(self, envelope: Envelope, delay_s: float) -> None:
        """Process the messages of an envelope, but for jobs that may have been given up meanwhile.

        :param delay_s: how long it was on its way at most, in seconds.
        """
        is_late = delay_s > LATE_DELIVERY_S
        for message in envelope.messages:
            if is_late and isinstance(message, Submit | JobEnded):
                _log_late(envelope.sender, message, delay_s=delay_s)
            if is_late and isinstance(message, Submit):
                self._inbox.note_dropped(envelope)
                continue
            age_s = envelope.waited_s + delay_s
            if isinstance(message, Cancel) and not LATE_DELIVERY_S < delay_s < UNKNOWN_DELAY_S:
                # The bound would make it older than a request that it is meant for.
                age_s = envelope.waited_s
            try:
                self._handle(envelope.sender, message, delay_s=age_s)
            except Exception:
                # It must cost only itself: the sender is told that all of them have arrived.
                self._metrics.count("messages_failed")
                log.exception("message_failed entry=%s", envelope.sender.name)

    def _handle(self, sender: EntryInfo, message: Message, *, delay_s: float = 0.0) -> None:
        """Dispatch one message to its handler.

        :param delay_s: greatest possible age of the message content on arrival, in seconds.
        """
        if isinstance(message, Submit):
            self._handle_submission(sender, message, delay_s=delay_s)
        elif isinstance(message, JobEnded):
            self.pending_jobs.handle_answer(message)
        elif isinstance(message, TasksDone):
            self.pending_jobs.note_done(message.job, message.tasks, fence=message.fence)
        elif isinstance(message, Cancel):
            if self._owner is not None:
                self._owner.cancel(message, entry=sender.name, delay_s=delay_s)
        elif isinstance(message, CellReport):
            self._cell_directory.note_report(message, delay_s=delay_s)
            if message.jobs is not None:
                self._cell_directory.note_jobs(message)
                self._cell_jobs.hand_over_announced(message)
        elif isinstance(message, WorkerListSnapshot):
            self._worker_list.note_snapshot(message, entry=sender.name, delay_s=delay_s)
            self._worker_reports.note_report(message, delay_s=delay_s, owner=self._owner)
        elif isinstance(message, LayoutNotice):
            self._follow_layout(message.offset, message.layout)
        elif isinstance(message, OwnerHeartbeat):
            self._handle_heartbeat(message, delay_s)

    def _handle_heartbeat(self, heartbeat: OwnerHeartbeat, delay_s: float) -> None:
        self._worker_reports.forward(heartbeat)
        self.election.note_heartbeat(heartbeat)
        if heartbeat.cell != self._cell_directory.home.name:
            return
        if self._owner is None and heartbeat.fence >= self.election.fence:
            self._domains.note_heartbeat(heartbeat, delay_s=delay_s)
        for report in heartbeat.reports:
            if report.cell == heartbeat.cell:
                self._cell_directory.note_owner(report.cell, heartbeat.owner, report.fence)
            self._cell_directory.note_report(report, delay_s=delay_s)
        self._home_pending_by_route = heartbeat.pending

    @property
    def pending_by_route(self) -> dict[str, int]:
        """Known number of jobs without a started task in all cells, by route."""
        counts = self._cell_directory.pending_by_route()
        for route, count in self._home_pending_by_route.items():
            counts[route] = counts.get(route, 0) + count
        return counts

    def _handle_submission(self, sender: EntryInfo, message: Submit, *, delay_s: float) -> None:
        home = self._cell_directory.home.name
        if message.cell is not None and message.cell != home:
            self._reject_misrouted(sender, message)
            return
        if self._owner is None:
            # The sender already follows another owner, or soon will, and submits its jobs there.
            log.info("not_owner job=%s entry=%s cell=%s", message.job.id, sender.name, home)
            return
        owner = self._owner
        other_cell = self._cell_jobs.find_other_cell(owner, message)
        if other_cell is not None:
            self._cell_jobs.redirect(
                owner, sender.name, message.job.id, other_cell, attempt=message.attempt
            )
            return
        self._owner.submit(
            message.job,
            entry=sender.name,
            age_s=message.age_s,
            possibly_started=message.exposed,
            moved=message.moved,
            done=message.done,
            delay_s=delay_s,
            unsure_s=message.unsure_s,
            refused_by=message.refused_by,
            attempt=message.attempt,
        )
        job = self._owner.jobs.jobs_by_id.get(message.job.id)
        if job is not None:
            self._cell_jobs.note_accepted(job)

    def _reject_misrouted(self, sender: EntryInfo, message: Submit) -> None:
        """Drop a job for a cell of another layout, and tell its sender the layout.

        The sender submits the job to its new cell once it follows the layout. If this owner ran it
        as well, it would run in both cells.
        """
        self._metrics.count("jobs_misrouted")
        log.info(
            "job_misrouted job=%s entry=%s cell=%s home=%s",
            message.job.id,
            sender.name,
            message.cell,
            self._cell_directory.home.name,
        )
        if sender.name != self.me.name and self._cell_directory.layout_offset >= 0:
            self._directory.link(sender).send_if_idle(self._layout_notice())

    def _layout_notice(self) -> LayoutNotice:
        directory = self._cell_directory
        return LayoutNotice(layout=directory.layout, offset=directory.layout_offset)

    def is_superseded(self) -> bool:
        """Return whether another entry has become owner of the cell by a later claim."""
        return self.election.is_superseded()

    def is_term_confirmed(self, entries: Collection[str], *, since: float) -> bool:
        """Return whether no other owner can have had the jobs of some entries until a given time.

        :param since: event loop time.
        """
        return self._term_confirmation.is_confirmed(entries, since=since)

    def has_usable_worker_list(self) -> bool:
        """Return whether the worker list is recent enough for starting tasks.

        A stand-in owner does not wait for a recent list: it serves because the store is
        unreachable from its failure domain.
        """
        stands_in = self._owner is not None and self._owner.domain is not None
        if stands_in or self._worker_list.is_usable():
            return True
        self._worker_list.request_read()
        return False

    def layout_offset(self) -> int:
        """Return the log offset of the layout that this entry follows, -1 if none."""
        return self._cell_directory.layout_offset

    def worker_list_age_s(self) -> float:
        """Return the age of the worker list in seconds, at most `NEVER_READ_AGE_S`."""
        return min(self._worker_list.age_s(), NEVER_READ_AGE_S)

    def own_fence(self) -> int:
        """Return the fencing token of this entry if it is an owner, else 0."""
        return self._owner.fence if self._owner is not None else 0

    def on_receipt(self, link: PeerLink, receipt: Receipt, messages: list[Message]) -> None:
        """Process the acknowledgement of a delivery."""
        for message in messages:
            self._note_delivered(link.peer.name, message)
            if isinstance(message, CellReport):
                self._cell_jobs.note_announced(link.peer, message, receipt)
        self.evacuations.update_from_peer(receipt.evacuations, entry=receipt.receiver.name)
        if receipt.receiver.incarnation != link.peer.incarnation:
            self._directory.note(receipt.receiver)
        if receipt.layout_offset < self._cell_directory.layout_offset:
            # The receiver lags behind, for instance because it has just started and can't read
            # the store.
            link.send(self._layout_notice())
        self._reachability.note_layout(receipt.receiver.name, receipt.layout_offset)
        self._note_former_owner(link, receipt)
        self._check_owner_restart()
        if receipt.cell == self._cell_directory.home.name:
            self.election.note_receipt(receipt)
            self._term_confirmation.note_following(receipt.receiver, receipt.fence)
        for cancel in receipt.cancelled:
            self._handle(receipt.receiver, cancel)
        if receipt.late and receipt.receiver.incarnation == link.peer.incarnation:
            self._resubmit_dropped(link, receipt, messages)
        self.configurations.note_version(receipt.receiver, receipt.version)

    def _resubmit_dropped(self, link: PeerLink, receipt: Receipt, messages: list[Message]) -> None:
        """Submit the jobs again that the receiver of a delivery has dropped."""
        if receipt.clock_s is None:
            # An earlier build, which may have accepted them at an earlier attempt.
            self.pending_jobs.resubmit(after_s=0)
            return
        job_ids = [message.job.id for message in messages if isinstance(message, Submit)]
        self.pending_jobs.resubmit_dropped(job_ids, owner=link.peer)

    def _note_former_owner(self, link: PeerLink, receipt: Receipt) -> None:
        """Release the jobs of an owner that follows the layout, or whose process has ended."""
        replaced = receipt.receiver.incarnation != link.peer.incarnation
        if replaced or receipt.layout_offset >= self._cell_directory.layout_offset:
            self.pending_jobs.note_term_ended(link.peer.incarnation)

    def known_entries(self) -> list[EntryInfo]:
        """Return the entries of the home cell that count as reachable, including this one."""
        return self._directory.reachable_entries()

    def probe(self) -> None:
        """Ask the other entries of the cell whether they receive the owner's heartbeats."""
        self._directory.probe()

    def fresh_receipts(self, age_s: float) -> list[Receipt]:
        """Return the last acknowledgements of other entries of the cell, up to a maximum age."""
        return self._directory.fresh_receipts(self._cell_directory.home.name, age_s)

    # -- ownership --------------------------------------------------------------------------

    def on_claiming(self) -> None:
        """Read the worker list now, so that it is known when the claim succeeds."""
        self._worker_list.request_read()

    def on_owner(self, owner: EntryInfo, fence: int, domain: str) -> None:
        """Follow another entry as owner and stop owning the cell."""
        self._owner_lag.end_term(self._loop.time())
        was_owner = self._owner is not None and self._owner.domain is None
        self._close_owner()
        self._directory.note(owner, named=True)
        if was_owner:
            self._worker_reports.send_last(owner)
        self.pending_jobs.note_unsent(
            self._directory.withdraw_jobs(owners=self._router.owner_names())
        )
        self._directory.link(owner).send(Ping())

    def on_owner_contact(self) -> None:
        """Submit all waiting jobs of the home cell to its owner."""
        self.pending_jobs.submit_pending(self._cell_directory.home.name)

    def on_elected(self, fence: int, domain: str) -> None:
        """Act as owner, or as stand-in owner of one failure domain."""
        self._metrics.count("elections", f'domain="{domain}"')
        self._term_confirmation.note_following(self.me, fence)
        self._owner_lag.begin_term(self._loop.time())
        self._domains.note_elected(was_owner=self._owner is not None)
        previous_workers = self._worker_reports.previous_workers()
        if not domain and (self._owner is None or self._owner.domain is not None):
            self._worker_reports.begin_term(previous_fence=self.election.previous_fence)
        loss = self._entry_loss()
        if self._owner is not None and not domain:
            self._owner.promote(fence, loss=loss)
        else:
            self._close_owner()
            self._announcements.begin_term()
            self._owner = Owner(
                fence=fence,
                domain=domain or None,
                client=self._worker_client,
                listener=self,
                limits=self._limits,
                metrics=self._metrics,
                cores=self.me.cores,
                cell=self._cell_directory.home.name,
                covers=lambda info: self._cell_directory.covers(info.zone, info.id),
                renew_only_adopted=self._loop.time() < self._layout_settled_at,
                previous_owner_active_until=(
                    self.election.previous_owner_active_until() if domain else -math.inf
                ),
                loss=loss,
                clock=self._clock,
            )
            self._owner.evacuate(self.evacuations.domains)
        self._elected_at = self._clock()
        log.info(
            "workers_known workers=%d from=%s age_ms=%d",
            len(self._worker_list.listed_by_id),
            self._worker_list.source,
            self.worker_list_age_s() * 1000,
        )
        self._update_worker_list_reading()
        self._worker_list.request_read()
        self._owner.set_workers(self._worker_list.listed_by_id)
        self._owner.probe_unlisted_workers(self._worker_list.recently_lapsed())
        self._owner.probe_unlisted_workers(previous_workers)
        self.pending_jobs.note_unsent(
            self._directory.withdraw_jobs(owners=self._router.owner_names())
        )
        self._send_heartbeats(with_reports=True)
        self.pending_jobs.submit_pending(self._cell_directory.home.name)

    def _entry_loss(self) -> EntryLoss:
        """Return what is known of the entries that ended before the term that begins now."""
        if not self.election.previous_fence:
            return EntryLoss()
        within_s = SILENT_OWNER_HAS_ENDED_JOBS_S
        # The process before this one may have had callers.
        is_new = self._loop.time() - self._opened_at < within_s
        was_heard = may_have_left_runs(silence_s=self.election.previous_silence_s)
        if not is_new and not was_heard:
            return EntryLoss()
        previous = self.election.previous_owner
        alive = [*self.election.successors, previous.name if previous is not None else ""]
        others_lost = is_new or self._directory.has_lost_entries(alive=alive, within_s=within_s)
        return EntryLoss(
            callers_may_return=others_lost or not self.election.previous_owner_left,
            left_runs=others_lost and was_heard,
        )

    def _close_owner(self) -> None:
        if self._owner is not None:
            log.info(
                "owner_closed fence=%d jobs=%d", self._owner.fence, len(self._owner.jobs.jobs_by_id)
            )
            self._worker_reports.end_term(self._owner)
            self._owner.close()
            self._owner = None
            self._update_worker_list_reading()

    def _update_worker_list_reading(self) -> None:
        self._worker_list.update_reading(is_owner=self._owner is not None)

    def on_job_ended(self, job: str, attempts: Mapping[str, int], outcome: Outcome) -> None:
        """Send the outcome of a job to the entries whose callers wait for it."""
        fence, shared = self.election.fence, len(attempts) > 1
        for entry, attempt in sorted(attempts.items()):
            message = JobEnded(
                job=job, outcome=outcome, fence=fence, attempt=attempt, shared=shared
            )
            self._send_to_entries({entry}, message)

    def on_tasks_done(self, job: str, entries: set[str], tasks: list[tuple[int, int]]) -> None:
        """Report finished tasks to the entries, so that a later owner does not run them again."""
        self._send_to_entries(entries, TasksDone(job=job, tasks=tasks, fence=self.election.fence))

    def _send_to_entries(self, entries: set[str], message: Message) -> None:
        for name in sorted(entries):
            if name == self.me.name:
                self._loop.call_soon(self._deliver_to_self, message)
                continue
            entry = self._directory.entries_by_name.get(name)
            if entry is not None:
                self._directory.link(entry).send(message)
            else:
                self._note_delivered(name, message)

    def _deliver_to_self(self, message: Message) -> None:
        self._handle(self.me, message)
        self._note_delivered(self.me.name, message)

    def _note_delivered(self, entry: str, message: Message) -> None:
        """Tell the owner which ends an entry knows of, or that the entry is gone."""
        if self._owner is None:
            return
        if isinstance(message, TasksDone):
            self._owner.note_tasks_known(entry, message.job, message.tasks)
        elif isinstance(message, JobEnded):
            self._owner.note_outcome_known(entry, message.job)

    def on_superseded(self) -> None:
        """Look up the current owner after a worker has refused this owner's fencing token."""
        self._tasks.keep_running(self._resolve_ownership, name="ownership")

    async def _resolve_ownership(self) -> None:
        election, fence = self.election, self.election.fence
        try:
            page = await self._store.newest(Topic.CLAIMS)
        except StoreUnavailableError as error:
            log.warning('owner_unknown error="%s"', error)
            await asyncio.sleep(CLAIM_READ_RETRY_PAUSE_S)
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

    async def _send_heartbeats_forever(self) -> None:
        while True:
            due_at = self._loop.time() + HEARTBEAT_INTERVAL_S
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if self._owner is not None:
                self._check_owner_lag(due_at)
                # Before the heartbeats, which report the unreachable failure domains.
                self._reachability.end_jobs_of_unreachable_entries(self._owner)
                self._cell_jobs.end_unannounced(self._owner)
                self._send_heartbeats()
                if self._owner.domain is None:
                    self._worker_reports.send_due(self._owner, self._heartbeat_count)
            elif self.election.owner is not None:
                if self.election.silence_s() > PROBE_OTHERS_AFTER_S:
                    self._router.probe_other_owners()
                if self.election.silence_s() > SUSPECT_AFTER_S:
                    self._reroute_unsent_jobs(self.election.owner)

    def _reroute_unsent_jobs(self, owner: EntryInfo) -> None:
        """Reroute to other cells the jobs that were not yet sent to a silent owner.

        Otherwise they would wait half a second for the failover to finish and miss their
        objectives.
        """
        if self._cell_directory.other_cells():
            self.pending_jobs.note_unsent(self._directory.withdraw_unsent(owner))

    def _check_owner_lag(self, due_at: float) -> None:
        now = self._loop.time()
        if now - due_at > STOOD_STILL_S:
            log.warning("stood_still late_ms=%d", (now - due_at) * 1000)
        had_to_hand_over = self._owner_lag.should_hand_over
        self._owner_lag.note_heartbeat(now - due_at, now)
        if self._owner_lag.should_hand_over and not had_to_hand_over:
            self._metrics.count("slow_terms")
            log.warning("too_slow_to_own late_ms=%d", (now - due_at) * 1000)

    def _send_heartbeats(self, *, with_reports: bool = False) -> None:
        self._heartbeat_count += 1
        due = with_reports or self._heartbeat_count % HEARTBEATS_PER_REPORT == 0
        reports = self._reporter.report(self._owner, self.me) if due else []
        heartbeat = OwnerHeartbeat(
            fence=self._owner.fence,
            owner=self.me,
            successors=self._directory.successors(),
            domain=self._owner.domain or "",
            complete_s=self._domains.complete_s(),
            leaving=self.leaving or self._owner_lag.should_hand_over,
            pending=self._owner.jobs.pending_by_route(),
            cell=self._cell_directory.home.name,
            reports=reports,
            missing_fence=0 if self._owner.domain else self._worker_reports.missing_fence(),
        )
        self._home_pending_by_route = heartbeat.pending
        for link in self._directory.idle_links():
            link.send(heartbeat)

    def may_start(self, job: Job) -> bool:
        """Return whether a task of a job may start, as no other owner can run it.

        One whose request was read late may be on the other side of a partition of this cell.
        """
        stands_in = self._owner.domain is not None
        if job.read_late and (stands_in or not self.reaches_all_domains()):
            return False
        return self._announcements.may_start(job)

    def reaches_all_domains(self) -> bool:
        """Return whether all failure domains of the cell have been reachable for a while."""
        return self._reachability.reaches_all_domains(elected_at=self._elected_at)

    def knows_all_workers(self) -> bool:
        """Return whether no worker is unknown on which the previous owner may have runs."""
        return self._worker_reports.are_all_workers_known()

    async def _write_liveness_forever(self) -> None:
        """Write the owner's liveness to the store, for entries that its heartbeats don't reach."""
        while True:
            await asyncio.sleep(LIVENESS_INTERVAL_S)
            if self._owner is None or self._owner.domain is not None:
                continue
            key = self._cell_directory.home.claim_key()
            try:
                await self._store.append(Topic.LIVENESS, key=key, value=self.me.name.encode())
            except StoreUnavailableError as error:
                log.info('liveness_not_written error="%s"', error)


def _log_late(sender: EntryInfo, message: Submit | JobEnded, *, delay_s: float) -> None:
    if isinstance(message, Submit):
        event, job_id = "late_job", message.job.id
    else:
        event, job_id = "late_answer", message.job
    log.info("%s job=%s entry=%s late_ms=%d", event, job_id, sender.name, delay_s * 1000)
