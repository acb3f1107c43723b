"""The entry daemon: wires its components together and runs them from start to drain."""

from __future__ import annotations

import asyncio
import logging
import uuid

import aiohttp

from zincwell._supervision import supervisor
from zincwell.adapters import (
    HttpLogService,
    HttpPeerTransport,
    HttpVmDirectory,
    HttpWorkerTransport,
    SystemClock,
    make_client_tls,
)
from zincwell.adapters._peer import key_headers
from zincwell.core._admission import Admission
from zincwell.core._configuration import Configuration
from zincwell.core._directory import DirectoryPoller
from zincwell.core._dispatch import Dispatcher
from zincwell.core._follow import Follower
from zincwell.core._home import Home
from zincwell.core._jobs import OwnedJobs, Task
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import HandoverCall, HandoverReply, Load
from zincwell.core._ownership import Ownership
from zincwell.core._peers import Heartbeats, Peers
from zincwell.core._publishing import Publisher
from zincwell.core._quotas import QuotaPeers
from zincwell.core._seat import SeatKeeper
from zincwell.core._slot_shares import Shares
from zincwell.core._snapshots import SnapshotWriter
from zincwell.core._spill import SpillManager
from zincwell.core._spilled_tasks import SpilledTaskRunner
from zincwell.core._submissions import Submissions
from zincwell.exceptions import LogUnavailableError, PeerUnavailableError
from zincwell.listeners import CallersListener, OperatorsListener, PeersListener
from zincwell.metrics import Metrics
from zincwell.models import Outcome
from zincwell.ports import Clock, Vm
from zincwell.settings import Settings, read_secret
from zincwell.status import Status, describe

PEER_KEEPALIVE_S = 10.0
WILDCARD_ADDRESS = "0.0.0.0"
LOG_LONG_POLL_S = 5.0
HANDOVER_TIMEOUT_S = 1.0
HANDOVER_RETRY_S = 0.1
EXPIRY_PERIOD_S = 1.0

log = logging.getLogger("zincwell.entry")


class Entry:
    """One entry daemon.

    Call :meth:`open` to start it and :meth:`drain` to stop it gracefully, so that no request in
    progress is cut off.

    :param clock: time source; the system clock unless given.
    """

    def __init__(self, *, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.incarnation = uuid.uuid4().hex[:12]
        self.is_draining = False
        self.drain_requested = asyncio.Event()
        self._entries_of_domain: list[str] | None = None
        self._session: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task] = []

    # -- lifecycle -----------------------------------------------------------------------

    async def open(self) -> None:
        """Open the listeners and start the background tasks.

        :raises SettingsError: if a file named in the settings can't be read.
        """
        peer_key = read_secret(self.settings.peer_key_file)
        self.operator_token = read_secret(self.settings.operator_token_file)
        self.callers = CallersListener(entry=self, settings=self.settings.callers)
        self.peers_listener = PeersListener(entry=self, settings=self.settings.peers, key=peer_key)
        self.operators = OperatorsListener(entry=self, settings=self.settings.operators)
        peers_url = self.peers_listener.bind()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=PEER_KEEPALIVE_S,
                local_addr=self._local_address(),
                ssl=make_client_tls(self.settings.ca_file),
            )
        )
        self._assemble(self.settings.peers_url or peers_url, peer_key)
        for listener in (self.peers_listener, self.callers, self.operators):
            await listener.open()
        if self.settings.otlp_endpoint:
            self.metrics.export(self.settings.otlp_endpoint, vm=self.settings.vm)
        self._tasks = [
            asyncio.create_task(supervisor.keep_running(loop, name=name))
            for name, loop in (
                ("seats", self.seats_follower.run),
                ("configuration", self.config_follower.run),
                ("keeper", self.keeper.run),
                ("heartbeats", self.heartbeats.run),
                ("directory", self.directory_poller.run),
                ("snapshots", self.snapshots.run),
                ("run_limits", self.dispatcher.enforce_run_limits),
                ("spill", self.spill.run),
                ("recovery", self._recover_keys),
                ("expiry", self._expire_old_state),
            )
        ]
        log.info(
            "entry_open",
            extra={
                "vm": self.settings.vm,
                "domain": self.settings.domain,
                "callers": self.callers.url,
                "peers": self.peers_listener.url,
                "operators": self.operators.url,
            },
        )

    async def drain(self) -> None:
        """Shut down gracefully: report not ready, refuse new work, finish what is in progress."""
        self.is_draining = True
        log.info("drain_begins", extra={"vm": self.settings.vm})
        await asyncio.sleep(self.settings.timing.drain_notice_s)
        await self.callers.close()
        await self.owned_jobs.wait_answered()
        await self._hand_over_seat()
        await self.spilled_tasks.drain()
        await self.close()
        log.info("drain_ends", extra={"vm": self.settings.vm})

    def request_drain(self) -> None:
        """Request a drain; the process that runs this entry waits on ``drain_requested``."""
        self.drain_requested.set()

    async def close(self) -> None:
        """Stop at once, without waiting for work in progress."""
        for task in self._tasks:
            task.cancel()
        await self.spill.close()
        await self.dispatcher.close()
        for listener in (self.callers, self.peers_listener, self.operators):
            await listener.close()
        await self._session.close()
        self.metrics.close()

    # -- state ---------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether this entry accepts callers: not draining, configured, loops running."""
        if supervisor.has_failing_loops():
            return False
        return not self.is_draining and self.configuration.document is not None

    def has_workers(self) -> bool:
        """Return whether any pool has a usable worker."""
        return any(pool.usable_workers() for pool in self.dispatcher.pool_by_name.values())

    def progress(self) -> int:
        """Return the number of tasks completed since the start."""
        return self.metrics.total("tasks", kind=Outcome.COMPLETED)

    def load(self) -> Load:
        """Return the queued and running tasks of this entry, as sent to its peers."""
        pools = self.dispatcher.pool_by_name.values()
        queued_by_pool = {pool.name: pool.queue.size for pool in pools if pool.queue.size}
        running_by_worker = {
            worker.name: len(worker.placed_by_id)
            for pool in pools
            for worker in pool.worker_by_name.values()
            if worker.placed_by_id
        }
        return Load(
            queued_by_pool=queued_by_pool,
            running_by_worker=running_by_worker,
            running_by_tenant=dict(self.dispatcher.quotas.running_by_tenant),
            queued_by_tenant=self.dispatcher.queued_by_tenant(),
        )

    def status(self) -> Status:
        """Return the state of this entry, for operators."""
        return describe(self)

    def hand_over(self, call: HandoverCall) -> HandoverReply:
        """Return the keys that the calling entry needs to serve as their new home."""
        keys = self.home.hand_over(seat=call.seat, owned=self.submissions.owned_keys())
        return HandoverReply(
            seat=self.seat,
            epoch=self.membership.next_offset,
            floor=self.home.floor(),
            keys=keys,
        )

    # -- assembly ------------------------------------------------------------------------

    def _assemble(self, peers_url: str, peer_key: str) -> None:
        settings, timing, clock = self.settings, self.settings.timing, self.clock
        platform = settings.platform
        log_service = HttpLogService(url=platform.log_url, session=self._session)
        directory = HttpVmDirectory(url=platform.directory_url, session=self._session)
        self.log_service = log_service
        self.seat = Seat(
            vm=settings.vm,
            incarnation=self.incarnation,
            domain=settings.domain,
            url=peers_url,
        )
        self.membership = Membership()
        self.configuration = Configuration()
        self.seats_follower = Follower(
            fold=self.membership, log_service=log_service, clock=clock, wait_s=self._seats_poll_s
        )
        self.config_follower = Follower(
            fold=self.configuration,
            log_service=log_service,
            clock=clock,
            wait_s=lambda: LOG_LONG_POLL_S,
        )
        self.keeper = SeatKeeper(
            seat=self.seat,
            membership=self.membership,
            follower=self.seats_follower,
            log_service=log_service,
            clock=clock,
            timing=timing,
        )
        self.home = Home(
            keeper=self.keeper,
            membership=self.membership,
            clock=clock,
            timing=timing,
            domains=self._domains,
            find_owned=lambda key: self.submissions.owned_key(key),
        )
        transport = HttpPeerTransport(session=self._session, key=peer_key)
        self.peers = Peers(
            transport=transport,
            count=lambda path: self.metrics.count("peer_messages", kind=path),
        )
        self.publisher = Publisher(configuration=self.configuration, log_service=log_service)
        self.snapshots = SnapshotWriter(
            folds=[self.membership, self.configuration],
            log_service=log_service,
            clock=clock,
            is_writer=self.keeper.is_first_by_name,
            period_s=timing.snapshot_s,
        )
        self.shares = Shares(
            vm=settings.vm,
            entries=self._domain_entries,
            demand=lambda pool: self.dispatcher.has_demand(pool),
            clock=clock,
        )
        self.membership.on_change.append(self._handle_seat_change)
        self.dispatcher = Dispatcher(
            entry=self.seat.id,
            domain=settings.domain,
            clock=clock,
            timing=timing,
            shares=self.shares,
            quota_peers=self._quota_peers,
            open_worker=self._open_worker,
            on_backlog=self._handle_backlog,
            observe=self._record_task,
            observe_waste=self._record_waste,
        )
        self.spilled_tasks = SpilledTaskRunner(
            dispatcher=self.dispatcher,
            clock=clock,
            timing=timing,
            is_draining=lambda: self.is_draining,
            observe_waste=self._record_waste,
        )
        self.spill = SpillManager(
            dispatcher=self.dispatcher,
            membership=self.membership,
            domain=settings.domain,
            clock=clock,
            timing=timing,
            open_lender=lambda seat, pool: self._open_lender(seat, pool, peer_key),
            seed=self.seat.id,
        )
        self.configuration.on_change.append(self.dispatcher.configure)
        self.directory_poller = DirectoryPoller(
            directory=directory,
            domain=settings.domain,
            poll_s=timing.directory_poll_s,
            answers=self._worker_answers,
            on_workers=self.dispatcher.update_workers,
        )
        self.heartbeats = Heartbeats(
            peers=self.peers,
            keeper=self.keeper,
            membership=self.membership,
            configuration=self.configuration,
            clock=clock,
            timing=timing,
            load=self.load,
            seeds=lambda: self.directory_poller.entry_urls,
            shares=self.shares,
            dispatcher=self.dispatcher,
        )
        ownership = Ownership(
            seat=self.seat,
            home=self.home,
            membership=self.membership,
            peers=self.peers,
            clock=clock,
            timing=timing,
            domains=self._domains,
        )
        admission = Admission(
            memory=settings.memory,
            run_times=self.dispatcher.run_times,
            clock=clock,
            queued_by_tenant=self.dispatcher.queued_by_tenant,
            peer_loads=lambda: self.heartbeats.loads(),
        )
        self.owned_jobs = OwnedJobs(clock=clock, timing=timing, memory=settings.memory)
        self.submissions = Submissions(
            seat=self.seat,
            membership=self.membership,
            ownership=ownership,
            peers=self.peers,
            owned_jobs=self.owned_jobs,
            dispatcher=self.dispatcher,
            admission=admission,
            clock=clock,
            timing=timing,
            observe_refusal=self._record_refusal,
        )

    def _local_address(self) -> tuple[str, int] | None:
        """Return the source address of outgoing connections: that of the peers' listener."""
        host = self.settings.peers.host
        return None if host == WILDCARD_ADDRESS else (host, 0)

    def _open_worker(self, vm: Vm) -> HttpWorkerTransport:
        timing = self.settings.timing
        return HttpWorkerTransport(
            url=vm.url,
            accept_silence_s=timing.accept_silence_s,
            stream_silence_s=timing.stream_silence_s,
            local_address=self._local_address(),
        )

    def _open_lender(self, seat: Seat, pool: str, peer_key: str) -> HttpWorkerTransport:
        timing = self.settings.timing
        return HttpWorkerTransport(
            url=f"{seat.url}/spill/{seat.incarnation}/{pool}",
            accept_silence_s=timing.accept_silence_s,
            stream_silence_s=timing.stream_silence_s,
            local_address=self._local_address(),
            headers=key_headers(peer_key),
        )

    def _handle_backlog(self) -> None:
        self.heartbeats.send_heartbeats_now()
        self.spill.note_backlog()

    def _domains(self) -> list[str]:
        document = self.configuration.document
        return document.domains if document is not None else [self.settings.domain]

    def _seats_poll_s(self) -> float:
        """Return how long a read of the seats waits for new records.

        A long poll is enough while heartbeats from all peers renew the lease. Otherwise the log
        has to renew it, and is read once per heartbeat period.
        """
        if self.keeper.is_open and self.keeper.others() and self.keeper.has_recent_acks():
            return LOG_LONG_POLL_S
        return self.settings.timing.heartbeat_s

    def _handle_seat_change(self, domain: str, _: bool) -> None:
        if domain == self.settings.domain:
            self._entries_of_domain = None
            self.shares.reset()

    def _domain_entries(self) -> list[str]:
        """Return the VM names of the entries in this domain.

        Cached until the seats change, as it is called several times per worker.
        """
        if self._entries_of_domain is None:
            names = {seat.vm for seat in self.keeper.others()} | {self.seat.vm}
            self._entries_of_domain = sorted(names)
        return self._entries_of_domain

    def _quota_peers(self) -> QuotaPeers:
        others = self.keeper.others()
        domains = {seat.domain for seat in self.membership.seats_by_vm.values()}
        return QuotaPeers(
            domains=len(domains | {self.settings.domain}),
            peers=len(others),
            loads=self.heartbeats.loads(),
        )

    def _worker_answers(self, name: str) -> bool:
        workers = (pool.worker_by_name.get(name) for pool in self.dispatcher.pool_by_name.values())
        return any(worker.has_valid_lease for worker in workers if worker is not None)

    # -- metrics -------------------------------------------------------------------------

    def _record_task(self, task: Task) -> None:
        job = task.job
        self.metrics.count("tasks", kind=task.outcome, tenant=job.tenant)
        if task.outcome is not Outcome.COMPLETED:
            return
        now = self.clock.monotonic()
        labels = {"tenant": job.tenant, "urgency": job.urgency}
        if task.started_at:
            self.metrics.observe("queueing", task.started_at - task.queued_at, **labels)
            self.metrics.observe("run", now - task.started_at, **labels)
        if job.unfinished == 0:
            self.metrics.observe("response", now - job.arrived_at, **labels)

    def _record_waste(self, kind: str) -> None:
        self.metrics.count("wasted", kind=kind)

    def _record_refusal(self, tenant: str, _: str, reason: str) -> None:
        self.metrics.count("refused", kind=reason, tenant=tenant)

    # -- background tasks ----------------------------------------------------------------

    async def _recover_keys(self) -> None:
        """Fetch from peers the keys for which this entry has become the home."""
        while True:
            for seat in self.home.seats_pending_handover():
                await self._recover_from(seat)
            await asyncio.sleep(HANDOVER_RETRY_S)

    async def _recover_from(self, seat: Seat) -> None:
        try:
            reply = await self.peers.call(
                url=seat.url,
                path="/peer/handover",
                message=HandoverCall(seat=self.seat),
                reply=HandoverReply,
                timeout_s=HANDOVER_TIMEOUT_S,
            )
        except PeerUnavailableError as error:
            log.info("handover_unreachable", extra={"from": seat.id, "error": error})
            return
        # A peer that has read less of the membership stream may still grant keys whose home is
        # now this entry. The offset is compared after the reply, because the membership may have
        # changed again during the call.
        if reply.epoch >= self.membership.next_offset and reply.seat.id == seat.id:
            self.home.merge_handover(reply)

    async def _expire_old_state(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.home.expire_old()
            self.spilled_tasks.expire_old()
            self.owned_jobs.expire_old()

    async def _hand_over_seat(self) -> None:
        """Close the seat and leave the peers time to fetch the keys granted here."""
        try:
            await self.keeper.close()
        except LogUnavailableError as error:
            log.warning("seat_left_open", extra={"error": error})
            return
        await asyncio.sleep(4 * self.settings.timing.heartbeat_s + 2 * HANDOVER_RETRY_S)
