"""Talking to the other entries: heartbeats, catching up, and batches of claims."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from msgspec import Struct

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
from zincwell.core._shares import NO_LENDING, Shares
from zincwell.exceptions import PeerUnavailableError
from zincwell.ports import Clock, PeerTransport
from zincwell.settings import TimingSettings

MAX_CLAIMS_IN_BATCH = 500
STRANGER_EVERY = 8
LOAD_S = 1.0

log = logging.getLogger("zincwell.peers")
Message = TypeVar("Message")


class Peers:
    """The other entries as this one reaches them.

    :param count: called with the path of each message sent, for metrics.
    """

    def __init__(self, *, transport: PeerTransport, count: Callable[[str], None]):
        self._transport = transport
        self._count = count

    async def call(
        self, *, url: str, path: str, message: Struct, reply: type[Message], timeout_s: float
    ) -> Message:
        """Send a message and decode the answer.

        :raises PeerUnavailableError: if no sound answer comes in time.
        """
        self._count(path)
        body = msgspec.json.encode(message)
        raw = await self._transport.call(url=url, path=path, body=body, timeout_s=timeout_s)
        try:
            return msgspec.json.decode(raw, type=reply)
        except msgspec.MsgspecError as error:
            raise PeerUnavailableError(f"{url}{path}: malformed answer: {error}") from error


class ClaimSender:
    """Sends claims to one home, all that wait together in one message."""

    def __init__(self, *, asker: Seat, url: str, peers: Peers, timeout_s: float):
        self._asker = asker
        self._url = url
        self._peers = peers
        self._timeout_s = timeout_s
        self._waiting: list[tuple[Claim, asyncio.Future[ClaimReply]]] = []
        self._task: asyncio.Task | None = None

    async def send(self, claim: Claim) -> ClaimReply:
        """Send a claim with the next message.

        :raises PeerUnavailableError: if the home does not answer.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((claim, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._send_all())
        return await future

    async def _send_all(self) -> None:
        while self._waiting:
            batch = self._waiting[:MAX_CLAIMS_IN_BATCH]
            del self._waiting[:MAX_CLAIMS_IN_BATCH]
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
                raise PeerUnavailableError(f"{self._url}: {len(replies)} replies to {len(batch)}")
        except PeerUnavailableError as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), reply in zip(batch, replies, strict=True):
            if not future.done():
                future.set_result(reply)


@dataclass(frozen=True, kw_only=True)
class HeardLoad:
    """A peer's load and when it told it."""

    load: Load
    at: float


class Heartbeats:
    """Sends heartbeats to the domain's peers and now and then to a stranger.

    A peer's answer shows how far its folds are; whoever is behind asks the other for both.
    So a domain that is cut off from the platform has the newest that any of it knows.

    :param seeds: returns entries named by the list of VMs, for when no seat is known yet.
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
        self._heard_by_vm: dict[str, HeardLoad] = {}

    async def run(self) -> None:
        """Send heartbeats until cancelled, never more than one at a time to a peer."""
        while True:
            for seat in self._keeper.others():
                self._send(seat.url, seat.vm)
            if self._round % STRANGER_EVERY == 0:
                for url in self._strangers():
                    self._send(url, "")
            self._round += 1
            await asyncio.sleep(self._timing.heartbeat_s)

    def loads(self) -> list[Load]:
        """Return what the domain's other entries have lately told of their use.

        What an entry told before it died or was cut off is no longer so, and a quota counted
        from it would be refused for ever.
        """
        oldest = self._clock.monotonic() - LOAD_S
        heard = (self._heard_by_vm.get(seat.vm) for seat in self._keeper.others())
        return [one.load for one in heard if one is not None and one.at > oldest]

    def beat_now(self) -> None:
        """Send heartbeats to the domain's peers at once, to have lent slots back.

        Tasks that wait call this at each turn of the loop; peers that have been told already
        are not told again before their time.
        """
        if not self._shares.may_get_back():
            return
        for seat in self._keeper.others():
            self._send(seat.url, seat.vm)

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a peer's heartbeat and make the answer."""
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
        """Return both folds, for a peer that is behind."""
        return StateReply(
            epoch=self._membership.next_offset,
            seats=self._membership.snapshot(),
            config=self._configuration.next_offset,
            configuration=self._configuration.snapshot(),
        )

    def _send(self, url: str, vm: str) -> None:
        """Send a heartbeat, unless one is on its way already.

        :param vm: name of a peer of our domain; empty for a stranger.
        """
        task = self._task_by_url.get(url)
        if task is None or task.done():
            self._task_by_url[url] = asyncio.create_task(self._beat(url, vm))

    def _strangers(self) -> list[str]:
        """Pick one entry of another domain, or of the VM list while there are no seats."""
        own = self._keeper.seat
        urls = [s.url for s in self._membership.seats_by_vm.values() if s.domain != own.domain]
        urls = sorted(set(urls) | set(self._seeds()) - {own.url})
        if not urls:
            return []
        return [urls[(self._round // STRANGER_EVERY) % len(urls)]]

    async def _beat(self, url: str, vm: str) -> None:
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
            self._heard_by_vm[heartbeat.seat.vm] = HeardLoad(load=heartbeat.load, at=now)

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
