"""Entries without processes: the real homes, seats and submissions over a network kept by hand.

Each node has the classes that decide who owns a key, as a daemon has them; only the dispatch,
the admission and the wire are replaced. Messages wait in the network until they are delivered,
answered late or lost, and time moves only when it is told to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import msgspec

from zincwell.core._admission import Refusal
from zincwell.core._follow import NEVER
from zincwell.core._home import Home
from zincwell.core._jobs import Job, JobBook
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import HandoverCall, HandoverReply
from zincwell.core._ownership import Ownership
from zincwell.core._seat import SeatKeeper
from zincwell.core._submissions import Submissions
from zincwell.entry import Entry
from zincwell.exceptions import PeerUnavailableError
from zincwell.models import Answer, Outcome, Submission, TaskSpec
from zincwell.ports import Clock, Record
from zincwell.settings import MemorySettings, TimingSettings

DOMAINS = ["kariakoo", "ubungo"]
TIMING = TimingSettings(seat_lease_s=1.0, peer_silence_s=3.0, heartbeat_s=0.25, clock_margin_s=0.5)
REFUSED_CLASS = "refused"
ADMITTED_CLASS = "admitted"
SPINS = 12


class ManualClock(Clock):
    """Clock moved by hand."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1e9


class ManualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is the manual clock's, and that only runs what is ready."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._manual_clock = clock

    def time(self) -> float:
        return self._manual_clock.now

    def spin(self, rounds: int = SPINS) -> None:
        for _ in range(rounds):
            self.call_soon(self.stop)
            self.run_forever()

    def end(self) -> None:
        """Cancel all and close."""
        for task in asyncio.all_tasks(self):
            task.cancel()
        self.spin(3)
        self.close()


@dataclass(eq=False)
class Message:
    """A call between two nodes on its way, then its reply.

    :ivar has_arrived: the reply waits in the socket of a sender that is paused.
    """

    sender: Node
    to: str
    path: str
    body: Any
    expires_at: float
    is_held: bool
    future: asyncio.Future
    handled: asyncio.Task | None = None
    has_arrived: bool = False

    @property
    def is_replied(self) -> bool:
        return self.handled is not None and self.handled.done()


class Network:
    """Messages between nodes."""

    def __init__(self, *, clock: ManualClock, loop: ManualLoop):
        self.clock = clock
        self.loop = loop
        self.messages: list[Message] = []
        self.cut: set[frozenset[str]] = set()
        self.off_log: set[str] = set()
        self.paused: set[str] = set()
        self.holds = False

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether a message gets through between two nodes now."""
        return not {one, other} & self.paused and frozenset((one, other)) not in self.cut

    async def call(
        self, *, sender: Node, url: str, path: str, message: Any, timeout_s: float
    ) -> Any:
        """Put a message on its way and wait for the reply."""
        future = self.loop.create_future()
        parked = Message(
            sender=sender,
            to=url,
            path=path,
            body=message,
            expires_at=self.clock.now + timeout_s,
            is_held=self.holds,
            future=future,
        )
        self.messages.append(parked)
        return await future

    def deliver(self, message: Message, receiver: Node | None) -> None:
        """Let the receiver handle a message; the reply stays on its way."""
        if message.handled is not None or receiver is None:
            return
        if self.reaches(message.sender.vm, message.to):
            message.handled = self.loop.create_task(receiver.handle(message.path, message.body))
            self.loop.spin()

    def give_reply(self, message: Message) -> None:
        """Bring the reply to the sender, unless something is in the way."""
        if not message.is_replied or message.sender.vm in self.paused:
            return
        is_cut = frozenset((message.sender.vm, message.to)) in self.cut
        if is_cut and not message.has_arrived:
            return
        self.messages.remove(message)
        if not message.future.done():
            message.future.set_result(message.handled.result())
        self.loop.spin()

    def pause(self, vm: str) -> None:
        """Let the messages of a node wait; replies that are there stay in its socket."""
        self.paused.add(vm)
        for message in self.messages:
            if message.sender.vm == vm and message.is_replied:
                message.has_arrived = True

    def expire(self) -> None:
        """End the calls whose time is over; a paused sender notices only when it wakes."""
        for message in list(self.messages):
            if message.expires_at < self.clock.now and message.sender.vm not in self.paused:
                self.lose(message)
        self.loop.spin()

    def lose(self, message: Message) -> None:
        """Break the connection of a call, which may have been handled."""
        self.messages.remove(message)
        if not message.future.done():
            message.future.set_exception(PeerUnavailableError("no answer"))


class NodePeers:
    """Takes the place of Peers for one node."""

    def __init__(self, *, node: Node, network: Network):
        self._node = node
        self._network = network

    async def call(self, *, url: str, path: str, message: Any, reply: Any, timeout_s: float) -> Any:
        return await self._network.call(
            sender=self._node, url=url, path=path, message=message, timeout_s=timeout_s
        )


@dataclass(frozen=True)
class PoolName:
    """Takes the place of a pool, of which only the name is asked."""

    name: str


class Ledger:
    """Takes the place of the dispatch: notes each start and completes the job."""

    document = SimpleNamespace(services={"transcriber": SimpleNamespace(pool="braille")})

    def __init__(self, *, node: Node, on_start: Callable[[Job], None]):
        self._node = node
        self._on_start = on_start

    def pool_of(self, service: str) -> PoolName:
        return PoolName(self.document.services[service].pool)

    def run(self, job: Job) -> None:
        if not self._node.is_dead:
            self._on_start(job)
        answer = Answer(key=job.key, outcome=Outcome.COMPLETED)
        job.answer.set_result(answer)


class OneClassAdmission:
    """Refuses one class of urgency and admits the rest."""

    def check(self, job: Job, **_: Any) -> Refusal | None:
        if not job.urgency.startswith(REFUSED_CLASS):
            return None
        return Refusal(reason="overload", detail="", retry_after_ms=100)


@dataclass
class Contact:
    """Takes the place of a follower: when the log was last reached."""

    contact_at: float = NEVER


class Node:
    """One run of one entry, without its process."""

    # The handover is driven as the daemon does it.
    _recover_from = Entry._recover_from
    _answer_handover = Entry.hand_over

    def __init__(
        self, *, vm: str, domain: str, incarnation: int, network: Network, on_start: Callable
    ):
        self.vm = vm
        self.is_dead = False
        self.seat = Seat(vm=vm, incarnation=str(incarnation), domain=domain, url=vm)
        self.membership = Membership()
        self.contact = Contact()
        self.peers = NodePeers(node=self, network=network)
        self.recovering_by_seat: dict[str, asyncio.Task] = {}
        clock = network.clock
        self.keeper = SeatKeeper(
            seat=self.seat,
            membership=self.membership,
            follower=self.contact,
            log_service=None,
            clock=clock,
            timing=TIMING,
        )
        self.home = Home(
            keeper=self.keeper,
            membership=self.membership,
            clock=clock,
            timing=TIMING,
            domains=self._domains,
            owned_here=lambda key: self.submissions.owned_key(key),
        )
        self.submissions = self._make_submissions(clock, on_start)

    def _make_submissions(self, clock: Clock, on_start: Callable) -> Submissions:
        ownership = Ownership(
            seat=self.seat,
            home=self.home,
            membership=self.membership,
            peers=self.peers,
            clock=clock,
            timing=TIMING,
            domains=self._domains,
        )
        return Submissions(
            seat=self.seat,
            membership=self.membership,
            ownership=ownership,
            peers=self.peers,
            book=JobBook(clock=clock, timing=TIMING, memory=MemorySettings()),
            dispatcher=Ledger(node=self, on_start=on_start),
            admission=OneClassAdmission(),
            clock=clock,
            timing=TIMING,
            observe_refusal=lambda *_: None,
        )

    def _domains(self) -> list[str]:
        return DOMAINS

    async def handle(self, path: str, body: Any) -> Any:
        """Answer a peer."""
        if path == "/peer/claims":
            return [self.home.claim(asker=body.asker, claim=claim) for claim in body.claims]
        if path == "/peer/attach":
            return await self.submissions.attach(body)
        return self.hand_over(body)

    def hand_over(self, call: HandoverCall) -> HandoverReply:
        return self._answer_handover(call)

    def recover(self, loop: ManualLoop) -> None:
        """Ask those that have yet to tell us what they know, one call at a time to each."""
        for seat in self.home.awaited():
            asking = self.recovering_by_seat.get(seat.id)
            if asking is None or asking.done():
                self.recovering_by_seat[seat.id] = loop.create_task(self._recover_from(seat))


class PlatformLog:
    """Stream of seats; an append may be on its way for any time, whatever became of its sender."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.on_the_way: list[dict] = []

    def append(self, value: Any) -> None:
        value = msgspec.to_builtins(value)
        self.records.append(Record(offset=len(self.records), value=value))


@dataclass
class Caller:
    """What a caller remembers of a key, and what the judge knows of it.

    :ivar started: attempts that were started; the class of urgency carries their number.
    :ivar waiting: attempts that have been sent and have not arrived anywhere.
    """

    key: str
    created_at: float
    counts: bool = True
    attempts: int = 0
    told_not_run: int = 0
    started: list[int] = field(default_factory=list)
    waiting: list[int] = field(default_factory=list)
    sent_by_task: dict[asyncio.Task, int] = field(default_factory=dict)

    def note_start(self, job: Job) -> None:
        self.started.append(int(job.urgency.rpartition("-")[2]))

    def submission(self, attempt: int, *, refuses: bool) -> Submission:
        return Submission(
            key=self.key,
            created_at=self.created_at,
            tenant="school",
            service="transcriber",
            tasks=[TaskSpec(payload=msgspec.Raw(b"1"))],
            urgency=f"{REFUSED_CLASS if refuses else ADMITTED_CLASS}-{attempt}",
            attempt=attempt if self.counts else None,
        )
