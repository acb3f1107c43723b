"""Links between entries: ordered, deduplicated delivery of messages."""

from __future__ import annotations

import abc
import asyncio
import logging
from collections.abc import Callable, Iterator

import msgspec

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._clocks import PeerClock, floor_ms
from zincwell.dispatch._messages import (
    Cancel,
    Envelope,
    Message,
    Ping,
    Receipt,
    Submit,
    WorkerListSnapshot,
)
from zincwell.dispatch._types import EntryInfo, Evacuations
from zincwell.dispatch.ports import PeerCallError, PeerClient

log = logging.getLogger("zincwell.peer")

# Timeout of one delivery attempt, after which a new connection is used. An acknowledgement takes
# 2 ms across failure domains, and a VM that is five times slower than usual still answers in time.
DELIVERY_TIMEOUT_S = 0.25
# Pause after a failed delivery attempt; it grows linearly up to the maximum.
RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.2
# A job is sent to a peer only if its clock was read within this time, or is read first. The bound
# on the time that the job is on its way grows by 2% of it.
MAX_CLOCK_AGE_S = 5.0
# The queue to an unreachable entry is dropped when it reaches this length. The entry submits its
# waiting jobs again.
MAX_QUEUED_MESSAGES = 5_000


class LinkObserver(abc.ABC):
    """Callbacks of a link to its node."""

    @abc.abstractmethod
    def on_receipt(self, link: PeerLink, receipt: Receipt, messages: list[Message]) -> None:
        """Process the acknowledgement of a delivery.

        :param messages: the messages that were delivered.
        """

    @abc.abstractmethod
    def own_fence(self) -> int:
        """Return the fencing token of this entry if it is an owner, else 0."""

    @abc.abstractmethod
    def layout_offset(self) -> int:
        """Return the log offset of the layout that this entry follows, -1 if none."""

    @abc.abstractmethod
    def configuration_version(self) -> int:
        """Return the newest configuration version known to this entry, 0 if none."""

    @abc.abstractmethod
    def evacuations_to_share(self) -> Evacuations | None:
        """Return the evacuations to announce to other entries, None if none was ever known."""


class PeerLink:
    """Delivers messages to one entry in order, with one delivery in flight at a time.

    A delivery without acknowledgement is retransmitted under the same sequence number, so that
    the receiver can detect duplicates.

    :param clock: monotonic clock of this entry, including time during which the VM was suspended.
    :param sequences: sequence numbers, shared by all links of this entry. A replacement link to
        the same process with numbers of its own would restart at numbers that the process has
        seen, and its messages would be dropped as duplicates.
    """

    def __init__(
        self,
        *,
        me: EntryInfo,
        peer: EntryInfo,
        client: PeerClient,
        observer: LinkObserver,
        sequences: Iterator[int],
        clock: Callable[[], float],
    ) -> None:
        self._sequences = sequences
        self._clock = clock
        self.peer = peer
        self.peer_clock = PeerClock(clock=clock)
        self.last_receipt_at = -1e9
        # When the delivery was sent that the last receipt acknowledges.
        self.last_receipt_asked_at = -1e9
        self.last_receipt: Receipt | None = None
        self.me = me
        self._client = client
        self._observer = observer
        self._queue: list[Message] = []
        self._queued_at = 0.0
        self._in_flight: list[Message] = []
        self._in_flight_queued_at = 0.0
        self._failures = 0
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._tasks = BackgroundTasks()
        self._tasks.keep_running(
            self._run, name="peer", essential=False, on_failure=self._requeue_in_flight
        )

    def send(self, message: Message) -> None:
        """Queue a message."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            log.warning("peer_queue_full peer=%s dropped=%d", self.peer.name, len(self._queue))
            self._queue.clear()
        if isinstance(message, Cancel):
            self._replace_by_cancellation(message)
        now = self._clock()
        if not self._queue:
            self._queued_at = now
        elif isinstance(message, Cancel):
            # The envelope states how long its first message has waited, see `Envelope.waited_s`.
            age_s = message.age_s - (now - self._queued_at)
            message = msgspec.structs.replace(message, age_s=age_s)
        self._queue.append(message)
        self._wake.set()

    def send_if_idle(self, message: Message) -> None:
        """Queue a message unless others wait for an acknowledgement."""
        if self.is_idle():
            self.send(message)

    def has_answered_within(self, age_s: float) -> bool:
        """Return whether the peer has acknowledged a delivery within a time."""
        return self._loop.time() - self.last_receipt_at < age_s

    def withdraw_jobs(self) -> set[str]:
        """Cancel all jobs that are queued or in flight, because another owner has them now.

        Returns the ids of the jobs that were never sent. Jobs in flight may have been received.
        """
        sent = {message.job.id for message in self._in_flight if isinstance(message, Submit)}
        queued = {message.job.id for message in self._queue if isinstance(message, Submit)}
        for job_id in sorted(sent | queued):
            self.send(Cancel(job=job_id))
        return queued - sent

    def withdraw_unsent(self, job_id: str = "") -> set[str]:
        """Remove the jobs that were never sent from the queue and return their ids.

        :param job_id: the only job to remove; empty for all.
        """
        sent = {message.job.id for message in self._in_flight if isinstance(message, Submit)}
        unsent = {
            message.job.id
            for message in self._queue
            if isinstance(message, Submit)
            and message.job.id not in sent
            and job_id in ("", message.job.id)
        }
        if not unsent:
            return unsent
        self._queue = [
            message
            for message in self._queue
            if not (isinstance(message, Submit) and message.job.id in unsent)
        ]
        return unsent

    def _replace_by_cancellation(self, cancel: Cancel) -> None:
        """Replace undelivered submissions of a job by its cancellation.

        Delivered after the end of a partition, the submission would look new to an owner and the
        job would run in parallel with the runs that another owner has started. The attempt in
        flight may already have been received, so `send` queues the cancellation as well.
        """
        for messages in (self._in_flight, self._queue):
            for index, message in enumerate(messages):
                if isinstance(message, Submit) and message.job.id == cancel.job:
                    messages[index] = cancel

    def is_failing(self) -> bool:
        """Return whether the delivery in flight has failed and is being repeated."""
        return self._failures > 0

    def undelivered_cancellations(self) -> list[Cancel]:
        """Return the cancellations that wait behind a failed delivery, with their current ages."""
        if not self._failures:
            return []
        now = self._clock()
        return [
            msgspec.structs.replace(message, age_s=message.age_s + now - queued_at)
            for messages, queued_at in (
                (self._in_flight, self._in_flight_queued_at),
                (self._queue, self._queued_at),
            )
            for message in messages
            if isinstance(message, Cancel)
        ]

    def is_idle(self) -> bool:
        """Return whether all messages were acknowledged."""
        return not self._queue and not self._in_flight

    def silence_s(self) -> float:
        """Return the time since the peer was last heard, in seconds."""
        return self._loop.time() - self._heard_at

    def note_heard(self) -> None:
        """Record that a message from the peer arrived."""
        self._heard_at = self._loop.time()

    def close(self) -> None:
        """Stop delivering messages."""
        self._tasks.close()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                if self._must_read_clock():
                    await self._exchange([Ping()], queued_at=self._clock())
                    continue
                messages, self._queue = self._queue, []
                await self._exchange(messages, queued_at=self._queued_at)

    def _requeue_in_flight(self) -> None:
        """Queue the messages again whose delivery has failed in an unforeseen way."""
        if self._in_flight:
            self._queued_at = self._in_flight_queued_at
            self._queue = self._in_flight + self._queue
            self._in_flight = []
        self._wake.set()

    def _must_read_clock(self) -> bool:
        """Return whether the peer's clock must be read before the queued messages are sent.

        The peer would drop jobs, could not order cancellations, and could not rely on a list of
        workers, since it can't tell how long they were on their way.
        """
        if self.peer_clock.age_s() < MAX_CLOCK_AGE_S or self.has_answered_within(MAX_CLOCK_AGE_S):
            return False
        return any(isinstance(m, Submit | Cancel | WorkerListSnapshot) for m in self._queue)

    async def _exchange(self, messages: list[Message], *, queued_at: float) -> None:
        """Deliver messages and let the observer process the acknowledgement.

        :param queued_at: clock time at which the first of the messages was queued.
        """
        self._in_flight, self._in_flight_queued_at = messages, queued_at
        receipt = await self._deliver(queued_at)
        delivered, self._in_flight = self._in_flight, []
        # After the delivery has ended, since replies to the receipt are only sent on an idle link.
        self._observer.on_receipt(self, receipt, delivered)

    async def _deliver(self, queued_at: float) -> Receipt:
        """Deliver the messages in flight until acknowledged, in their current state each time.

        :param queued_at: clock time at which the first of the messages was queued.
        """
        sequence = next(self._sequences)
        self._failures = 0
        while True:
            now = self._clock()
            envelope = Envelope(
                sender=self.me,
                sequence=sequence,
                sent_at=floor_ms(now),
                messages=self._in_flight,
                receiver=self.peer.incarnation,
                receiver_clock_s=self._read_peer_clock(),
                waited_s=now - queued_at,
                version=self._observer.configuration_version(),
                fence=self._observer.own_fence(),
                evacuations=self._observer.evacuations_to_share(),
                layout_offset=self._observer.layout_offset(),
            )
            asked_at = self._loop.time()
            try:
                receipt = await self._client.deliver(
                    self.peer.address, envelope, timeout_s=DELIVERY_TIMEOUT_S
                )
                break
            except PeerCallError as error:
                self._failures += 1
                if self._failures == 1:
                    log.info('peer_silent peer=%s error="%s"', self.peer.name, error)
                await asyncio.sleep(min(RETRY_PAUSE_S * self._failures, MAX_RETRY_PAUSE_S))
        self._failures = 0
        if receipt.receiver.incarnation == self.peer.incarnation:
            # A new process at the address says nothing about the jobs of the one before it.
            self.note_heard()
            if receipt.clock_s is not None:
                self.peer_clock.update(receipt.clock_s)
        self.last_receipt_at = self._loop.time()
        self.last_receipt_asked_at = asked_at
        self.last_receipt = receipt
        return receipt

    def _read_peer_clock(self) -> float | None:
        return floor_ms(self.peer_clock.lower_bound_s()) if self.peer_clock.is_known() else None
