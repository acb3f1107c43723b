"""Communication with other entries: heartbeats, state transfer, and batches of claims."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.core._configuration import Configuration
from zincwell.core._dispatch import Dispatcher
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import (
    Claim,
    ClaimBatch,
    ClaimReply,
    Heartbeat,
    Lending,
    Load,
    StateReply,
)
from zincwell.core._seat import SeatKeeper
from zincwell.core._slot_shares import NO_LENDING, Shares
from zincwell.exceptions import MalformedJsonError, PeerUnavailableError
from zincwell.ports import Clock, PeerTransport
from zincwell.settings import TimingSettings

MAX_CLAIMS_IN_BATCH = 500
CROSS_DOMAIN_ROUNDS = 8
LOAD_MAX_AGE_S = 1.0

log = logging.getLogger("zincwell.peers")
Message = TypeVar("Message")


class Peers:
    """Sends messages to other entries and decodes their replies.

    :param count: called with the path of each message sent, for metrics.
    """

    def __init__(self, *, transport: PeerTransport, count: Callable[[str], None]):
        self._transport = transport
        self._count = count

    async def call(
        self, *, url: str, path: str, message: Struct, reply: type[Message], timeout_s: float
    ) -> Message:
        """Send a message and decode the reply.

        :raises PeerUnavailableError: if no valid reply arrives within ``timeout_s`` seconds.
        """
        self._count(path)
        body = msgspec.json.encode(message)
        raw = await self._transport.call(url=url, path=path, body=body, timeout_s=timeout_s)
        try:
            return make_decoder(reply)(raw)
        except MalformedJsonError as error:
            raise PeerUnavailableError(f"{url}{path}: malformed answer: {error}") from error


class ClaimSender:
    """Sends claims to one home, batching all pending claims into one message.

    :param asker: seat of this entry.
    :param url: base URL of the home's listener for peers.
    """

    def __init__(self, *, asker: Seat, url: str, peers: Peers, timeout_s: float):
        self._asker = asker
        self._url = url
        self._peers = peers
        self._timeout_s = timeout_s
        self._pending: list[tuple[Claim, asyncio.Future[ClaimReply]]] = []
        self._task: asyncio.Task | None = None

    async def send(self, claim: Claim) -> ClaimReply:
        """Send a claim in the next batch and return the home's reply.

        :raises PeerUnavailableError: if the home doesn't reply in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append((claim, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send_all())
        return await future

    async def _send_all(self) -> None:
        while self._pending:
            batch = self._pending[:MAX_CLAIMS_IN_BATCH]
            del self._pending[:MAX_CLAIMS_IN_BATCH]
            await self._send_batch(batch)

    async def _send_batch(self, batch: list[tuple[Claim, asyncio.Future[ClaimReply]]]) -> None:
        message = ClaimBatch(asker=self._asker, claims=[claim for claim, _ in batch])
        try:
            replies = await self._peers.call(
                url=self._url,
                path="/peer/claims",
                message=message,
                reply=list[ClaimReply],
                timeout_s=self._timeout_s,
            )
            if len(replies) != len(batch):
                raise PeerUnavailableError(
                    f"{self._url}: {len(replies)} replies instead of {len(batch)}"
                )
        except PeerUnavailableError as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), reply in zip(batch, replies, strict=True):
            if not future.done():
                future.set_result(reply)


@dataclass(frozen=True, kw_only=True)
class ReceivedLoad:
    """Load that a peer reported.

    :ivar at: monotonic time of receipt.
    """

    load: Load
    at: float


class Heartbeats:
    """Exchanges heartbeats with the domain's peers, and less often with other domains.

    A heartbeat carries the log offsets of the sender's replicated state (seats and
    configuration); an entry that is behind fetches both from the other. A domain that is
    partitioned from the platform thus converges on the newest state that any of its entries has.

    :param load: returns this entry's current load.
    :param seeds: returns the URLs of entries on the list of VMs, so that an entry finds others
        before it knows any seat.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        keeper: SeatKeeper,
        membership: Membership,
        configuration: Configuration,
        clock: Clock,
        timing: TimingSettings,
        load: Callable[[], Load],
        seeds: Callable[[], list[str]],
        shares: Shares,
        dispatcher: Dispatcher,
    ):
        self._shares = shares
        self._dispatcher = dispatcher
        self._peers = peers
        self._keeper = keeper
        self._membership = membership
        self._configuration = configuration
        self._clock = clock
        self._timing = timing
        self._load = load
        self._seeds = seeds
        self._task_by_url: dict[str, asyncio.Task] = {}
        self._round = 0
        self._load_by_vm: dict[str, ReceivedLoad] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled, with at most one in flight to each peer."""
        while True:
            for seat in self._keeper.others():
                self._start_heartbeat(seat.url, seat.vm)
            if self._round % CROSS_DOMAIN_ROUNDS == 0:
                for url in self._cross_domain_urls():
                    self._start_heartbeat(url, "")
            self._round += 1
            await asyncio.sleep(self._timing.heartbeat_s)

    def loads(self) -> list[Load]:
        """Return the loads that the domain's other entries reported recently.

        The last report of an entry that died or was cut off is outdated. If it still counted,
        a tenant with a quota could be refused for ever.
        """
        oldest = self._clock.monotonic() - LOAD_MAX_AGE_S
        received = (self._load_by_vm.get(seat.vm) for seat in self._keeper.others())
        return [one.load for one in received if one is not None and one.at > oldest]

    def send_heartbeats_now(self) -> None:
        """Send heartbeats to the domain's peers at once, to reclaim lent slots.

        Called in each iteration of the event loop while tasks wait. Does nothing if the latest
        offers to the peers lend no slots.
        """
        if not self._shares.has_active_lendings():
            return
        for seat in self._keeper.others():
            self._start_heartbeat(seat.url, seat.vm)

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a peer's heartbeat and return the answer."""
        ack = self._keeper.acknowledges(heartbeat.seat)
        self._note_load(heartbeat)
        vm = heartbeat.seat.vm
        if heartbeat.seat.domain == self._keeper.seat.domain:
            self._shares.take_offer(vm, heartbeat.lending)
            self._dispatcher.wake()
        if self._is_ahead(heartbeat):
            url = heartbeat.seat.url
            self._task_by_url[url + "#pull"] = asyncio.create_task(self._catch_up(url))
        used = self._shares.used_of(vm, self._dispatcher.workers())
        return self._heartbeat(ack=ack, seen=self._shares.seen(vm), used=used)

    def state(self) -> StateReply:
        """Return the seats and the configuration, for a peer that is behind."""
        return StateReply(
            epoch=self._membership.next_offset,
            seats=self._membership.snapshot(),
            config=self._configuration.next_offset,
            configuration=self._configuration.snapshot(),
        )

    def _start_heartbeat(self, url: str, vm: str) -> None:
        """Send a heartbeat, unless one is already in flight.

        :param vm: name of a peer of this entry's domain; empty for an entry of another domain.
        """
        task = self._task_by_url.get(url)
        if task is None or task.done():
            self._task_by_url[url] = asyncio.create_task(self._send_heartbeat(url, vm))

    def _cross_domain_urls(self) -> list[str]:
        """Return the URL of one entry of another domain or of the VM list, in rotation."""
        own = self._keeper.seat
        urls = [s.url for s in self._membership.seats_by_vm.values() if s.domain != own.domain]
        urls = sorted(set(urls) | set(self._seeds()) - {own.url})
        if not urls:
            return []
        return [urls[(self._round // CROSS_DOMAIN_ROUNDS) % len(urls)]]

    async def _send_heartbeat(self, url: str, vm: str) -> None:
        lending = NO_LENDING
        if vm:
            lending = self._shares.offer(vm, self._dispatcher.workers())
        sent_at = self._clock.monotonic()
        try:
            answer = await self._peers.call(
                url=url,
                path="/peer/heartbeat",
                message=self._heartbeat(lending=lending),
                reply=Heartbeat,
                timeout_s=2 * self._timing.heartbeat_s,
            )
        except PeerUnavailableError:
            return
        self._keeper.note_answer(
            seat=answer.seat, epoch=answer.epoch, sent_at=sent_at, ack=answer.ack
        )
        self._note_load(answer)
        if vm and self._shares.note_use(
            vm, seen=answer.lending_seen, used_by_worker=answer.used_by_worker
        ):
            self._dispatcher.wake()
        if self._is_ahead(answer):
            await self._catch_up(url)

    async def _catch_up(self, url: str) -> None:
        try:
            state = await self._peers.call(
                url=url,
                path="/peer/state",
                message=self._heartbeat(),
                reply=StateReply,
                timeout_s=1.0,
            )
        except PeerUnavailableError:
            return
        self._membership.adopt(next_offset=state.epoch, snapshot=state.seats)
        self._configuration.adopt(next_offset=state.config, snapshot=state.configuration)

    def _note_load(self, heartbeat: Heartbeat) -> None:
        if heartbeat.seat.domain == self._keeper.seat.domain:
            now = self._clock.monotonic()
            self._load_by_vm[heartbeat.seat.vm] = ReceivedLoad(load=heartbeat.load, at=now)

    def _is_ahead(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.epoch > self._membership.next_offset
            or heartbeat.config > self._configuration.next_offset
        )

    def _heartbeat(
        self,
        *,
        ack: bool = False,
        lending: Lending = NO_LENDING,
        seen: int = 0,
        used: dict[str, int] | None = None,
    ) -> Heartbeat:
        return Heartbeat(
            seat=self._keeper.seat,
            epoch=self._membership.next_offset,
            config=self._configuration.next_offset,
            load=self._load(),
            ack=ack,
            lending=lending,
            lending_seen=seen,
            used_by_worker=used or {},
        )
