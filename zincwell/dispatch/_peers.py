"""Links between entries: ordered delivery of messages, each handled once."""

from __future__ import annotations

import abc
import asyncio
import logging
import math
from collections.abc import Callable, Iterator

from zincwell.dispatch._background import BackgroundTasks
from zincwell.dispatch._messages import Cancel, Envelope, Message, Receipt, Submit
from zincwell.dispatch._types import EntryInfo, Evacuations
from zincwell.dispatch.ports import PeerCallError, PeerClient

log = logging.getLogger("zincwell.peer")

# An acknowledgement takes 2 ms across failure domains. A connection that is silent for this many
# seconds is given up for a new one; a VM five times slower than usual still answers in time.
DELIVERY_TIMEOUT_S = 0.25
# Pause after a failed delivery.
RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.2
# An envelope that took this many seconds longer than others of its sender stood in a socket of a
# VM that was frozen, or on a cut link. Senders give a delivery up after 0.25 s, callers send again
# 1.3 s after they got no answer, and a VM that is five times slower needs 0.1 s.
LATE_S = 0.6
# Clocks drift apart by up to 0.1 s an hour; the quickest delivery of this many seconds is compared.
QUICKEST_OF_S = 60.0
# Beyond this many messages an unreachable entry is not served any more; it submits again.
MAX_QUEUED = 5_000


class LinkObserver(abc.ABC):
    """What a link tells the node."""

    @abc.abstractmethod
    def on_receipt(self, link: PeerLink, receipt: Receipt) -> None:
        """Take note of an acknowledgement."""

    @abc.abstractmethod
    def own_fence(self) -> int:
        """Return the fencing token of this entry if it is owner, else 0."""

    @abc.abstractmethod
    def configuration_version(self) -> int:
        """Return the newest version of the configuration that this entry knows."""

    @abc.abstractmethod
    def evacuations_known(self) -> Evacuations | None:
        """Return what other entries should be told of evacuations."""


class PeerLink:
    """Delivers messages to one entry in order, with one delivery under way at a time.

    A delivery whose acknowledgement is lost is repeated under the same number, so the receiver
    can tell it from a new one.

    :param clock: this entry's clock; it counts the time that the VM was suspended.
    :param sequences: numbers for deliveries, rising over all links of this entry. A link that
        takes the place of another to the same process would otherwise begin with numbers that
        the process has seen, and its messages would be taken for repetitions.
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
        self.last_receipt_at = -1e9
        self.last_receipt: Receipt | None = None
        self.me = me
        self._client = client
        self._observer = observer
        self._queue: list[Message] = []
        self._queued_at = 0.0
        self._under_way: list[Message] = []
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._heard_at = self._loop.time()
        self._tasks = BackgroundTasks()
        self._tasks.spawn(self._run())

    def send(self, message: Message) -> None:
        """Queue a message."""
        if len(self._queue) >= MAX_QUEUED:
            log.warning("peer_queue_full peer=%s dropped=%d", self.peer.name, len(self._queue))
            self._queue.clear()
        if isinstance(message, Cancel):
            self._withdraw(message)
        if not self._queue:
            self._queued_at = self._clock()
        self._queue.append(message)
        self._wake.set()

    def withdraw_jobs(self) -> set[str]:
        """Take back the jobs that still wait to be delivered: another owner has them now.

        Returns the ids of those that were never sent. What is under way may have got through.
        """
        sent = {message.job.id for message in self._under_way if isinstance(message, Submit)}
        queued = {message.job.id for message in self._queue if isinstance(message, Submit)}
        for job_id in sorted(sent | queued):
            self.send(Cancel(job=job_id))
        return queued - sent

    def withdraw_unsent(self) -> set[str]:
        """Take back the jobs that were never sent, and return their ids."""
        sent = {message.job.id for message in self._under_way if isinstance(message, Submit)}
        unsent = {
            message.job.id
            for message in self._queue
            if isinstance(message, Submit) and message.job.id not in sent
        }
        self._queue = [
            message
            for message in self._queue
            if not (isinstance(message, Submit) and message.job.id in unsent)
        ]
        return unsent

    def _withdraw(self, cancel: Cancel) -> None:
        """Put a job's cancellation in the place of the job.

        Delivered later, when a cut has healed, the job would look new to an owner and run beside
        what another owner has started of it. A try that is under way may have got through, so the
        cancellation is queued as well.
        """
        for messages in (self._under_way, self._queue):
            for place, message in enumerate(messages):
                if isinstance(message, Submit) and message.job.id == cancel.job:
                    messages[place] = cancel

    def is_idle(self) -> bool:
        """Return whether everything queued was acknowledged."""
        return not self._queue and not self._under_way

    def silence_s(self) -> float:
        """Return seconds since the entry was last heard."""
        return self._loop.time() - self._heard_at

    def note_heard(self) -> None:
        """Note that something came from the entry."""
        self._heard_at = self._loop.time()

    def close(self) -> None:
        """Deliver nothing more."""
        self._tasks.close()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                self._under_way, self._queue = self._queue, []
                receipt = await self._deliver(self._queued_at)
                self._under_way = []
                # Only now, or an answer to the receipt would find the link busy and not be sent.
                self._observer.on_receipt(self, receipt)

    async def _deliver(self, queued_at: float) -> Receipt:
        """Deliver what is under way, as it stands at each try.

        :param queued_at: since when the first of the messages has waited, by the clock.
        """
        sequence = next(self._sequences)
        failures = 0
        while True:
            now = self._clock()
            envelope = Envelope(
                sender=self.me,
                sequence=sequence,
                sent_at=now,
                messages=self._under_way,
                waited_s=now - queued_at,
                version=self._observer.configuration_version(),
                fence=self._observer.own_fence(),
                evacuations=self._observer.evacuations_known(),
            )
            try:
                receipt = await self._client.deliver(
                    self.peer.address, envelope, timeout_s=DELIVERY_TIMEOUT_S
                )
                break
            except PeerCallError as error:
                failures += 1
                if failures == 1:
                    log.info('peer_silent peer=%s error="%s"', self.peer.name, error)
                await asyncio.sleep(min(RETRY_PAUSE_S * failures, MAX_RETRY_PAUSE_S))
        self.note_heard()
        self.last_receipt_at = self._loop.time()
        self.last_receipt = receipt
        return receipt


class Inbox:
    """Tells new envelopes from repeated ones, and how late they are."""

    def __init__(self) -> None:
        self._seen_by_incarnation: dict[str, int] = {}
        self._quickest_by_incarnation: dict[str, QuickestDelivery] = {}

    def lateness_s(self, envelope: Envelope, *, now: float) -> float:
        """Return how much longer an envelope took than the quickest of its sender.

        What a late one asks for may have been given up meanwhile and done elsewhere: a job in it
        would run twice. Clocks of two entries can't be compared, but the difference between them
        is the same for all envelopes, so the quickest one tells what of it is delay.
        """
        quickest = self._quickest_by_incarnation.setdefault(
            envelope.sender.incarnation, QuickestDelivery()
        )
        difference = now - envelope.sent_at
        quickest.note(difference, now=now)
        return difference - quickest.difference()

    def is_new(self, envelope: Envelope) -> bool:
        """Return whether the envelope has not been handled yet, and note it."""
        incarnation = envelope.sender.incarnation
        if envelope.sequence <= self._seen_by_incarnation.get(incarnation, 0):
            return False
        self._seen_by_incarnation[incarnation] = envelope.sequence
        return True


class QuickestDelivery:
    """The smallest difference between two entries' clocks that was seen lately."""

    def __init__(self) -> None:
        self._since = 0.0
        self._current = math.inf
        self._previous = math.inf

    def note(self, difference: float, *, now: float) -> None:
        """Take a delivery into account."""
        if now - self._since > QUICKEST_OF_S:
            self._since, self._previous, self._current = now, self._current, math.inf
        self._current = min(self._current, difference)

    def difference(self) -> float:
        """Return the smallest difference."""
        return min(self._current, self._previous)
