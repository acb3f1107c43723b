"""Simulation of entries in one process: real ownership classes over a simulated network.

Each node has the classes that decide who owns a key, as the daemon has them; only the
dispatcher, the admission control and the transport are replaced. Messages wait in the network
until the test delivers, delays or loses them, and the test advances the clock.
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
from zincwell.core._jobs import Job, OwnedJobs
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
LOOP_ROUNDS = 12


class ManualClock(Clock):
    """Clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1e9


class ManualLoop(asyncio.SelectorEventLoop):
    """Event loop on the manual clock that runs only callbacks that are ready."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._manual_clock = clock

    def time(self) -> float:
        return self._manual_clock.now

    def spin(self, rounds: int = LOOP_ROUNDS) -> None:
        for _ in range(rounds):
            self.call_soon(self.stop)
            self.run_forever()

    def end(self) -> None:
        """Cancel all tasks and close the loop."""
        for task in asyncio.all_tasks(self):
            task.cancel()
        self.spin(3)
        self.close()


@dataclass(eq=False)
class Message:
    """A call in flight between two nodes, and its reply.

    :ivar is_held: the test delivers the call itself.
    :ivar handled: task of the receiver that handles the call.
    :ivar has_arrived: the reply waits in the socket of a paused sender.
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
    """Network between the nodes, with faults that the test sets.

    :ivar cut: pairs of nodes that can't reach each other.
    :ivar off_log: nodes that can't reach the log.
    :ivar paused: nodes whose process is paused.
    :ivar holds: whether new messages are held.
    """

    def __init__(self, *, clock: ManualClock, loop: ManualLoop):
        self.clock = clock
        self.loop = loop
        self.messages: list[Message] = []
        self.cut: set[frozenset[str]] = set()
        self.off_log: set[str] = set()
        self.paused: set[str] = set()
        self.holds = False

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether two nodes can reach each other now."""
        return not {one, other} & self.paused and frozenset((one, other)) not in self.cut

    async def call(
        self, *, sender: Node, url: str, path: str, message: Any, timeout_s: float
    ) -> Any:
        """Send a message and wait for the reply."""
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
        """Let the receiver handle a message; the reply stays in flight."""
        if message.handled is not None or receiver is None:
            return
        if self.reaches(message.sender.vm, message.to):
            message.handled = self.loop.create_task(receiver.handle(message.path, message.body))
            self.loop.spin()

    def give_reply(self, message: Message) -> None:
        """Deliver the reply to the sender, unless the sender is paused or the link is cut."""
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
        """Pause a node; its messages wait, and replies already sent stay in its socket."""
        self.paused.add(vm)
        for message in self.messages:
            if message.sender.vm == vm and message.is_replied:
                message.has_arrived = True

    def expire(self) -> None:
        """Time out calls past their deadline; those of a paused sender only after it resumes."""
        for message in list(self.messages):
            if message.expires_at < self.clock.now and message.sender.vm not in self.paused:
                self.lose(message)
        self.loop.spin()

    def lose(self, message: Message) -> None:
        """Break the connection of a call, which may already have been handled."""
        self.messages.remove(message)
        if not message.future.done():
            message.future.set_exception(PeerUnavailableError("no answer"))


class NodePeers:
    """Stands in for ``Peers`` of one node."""

    def __init__(self, *, node: Node, network: Network):
        self._node = node
        self._network = network

    async def call(self, *, url: str, path: str, message: Any, reply: Any, timeout_s: float) -> Any:
        return await self._network.call(
            sender=self._node, url=url, path=path, message=message, timeout_s=timeout_s
        )


@dataclass(frozen=True)
class PoolStub:
    """Stands in for a pool, of which only the name is used."""

    name: str


class RecordingDispatcher:
    """Stands in for the dispatcher: records each start and completes the job."""

    document = SimpleNamespace(services={"transcriber": SimpleNamespace(pool="braille")})

    def __init__(self, *, node: Node, on_start: Callable[[Job], None]):
        self._node = node
        self._on_start = on_start

    def pool_of(self, service: str) -> PoolStub:
        return PoolStub(self.document.services[service].pool)

    def run(self, job: Job) -> None:
        if not self._node.is_dead:
            self._on_start(job)
        answer = Answer(key=job.key, outcome=Outcome.COMPLETED)
        job.answer.set_result(answer)


class OneClassAdmission:
    """Stands in for admission control: refuses one class of urgency and admits the rest."""

    def check(self, job: Job, **_: Any) -> Refusal | None:
        if not job.urgency.startswith(REFUSED_CLASS):
            return None
        return Refusal(reason="overload", detail="", retry_after_ms=100)


@dataclass
class FollowerStub:
    """Stands in for a follower of the log: holds the time of the last contact."""

    contact_at: float = NEVER


class Node:
    """One run of one entry, without a process."""

    # Handovers run the daemon's own code.
    _recover_from = Entry._recover_from
    _answer_handover = Entry.hand_over

    def __init__(
        self, *, vm: str, domain: str, incarnation: int, network: Network, on_start: Callable
    ):
        self.vm = vm
        self.is_dead = False
        self.seat = Seat(vm=vm, incarnation=str(incarnation), domain=domain, url=vm)
        self.membership = Membership()
        self.contact = FollowerStub()
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
            find_owned=lambda key: self.submissions.owned_key(key),
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
            owned_jobs=OwnedJobs(clock=clock, timing=TIMING, memory=MemorySettings()),
            dispatcher=RecordingDispatcher(node=self, on_start=on_start),
            admission=OneClassAdmission(),
            clock=clock,
            timing=TIMING,
            observe_refusal=lambda *_: None,
        )

    def _domains(self) -> list[str]:
        return DOMAINS

    async def handle(self, path: str, body: Any) -> Any:
        """Handle a message from a peer and return the reply."""
        if path == "/peer/claims":
            return [self.home.claim(asker=body.asker, claim=claim) for claim in body.claims]
        if path == "/peer/attach":
            return await self.submissions.attach(body)
        return self.hand_over(body)

    def hand_over(self, call: HandoverCall) -> HandoverReply:
        return self._answer_handover(call)

    def recover(self, loop: ManualLoop) -> None:
        """Ask for the pending handovers, with one call at a time to each seat."""
        for seat in self.home.seats_pending_handover():
            asking = self.recovering_by_seat.get(seat.id)
            if asking is None or asking.done():
                self.recovering_by_seat[seat.id] = loop.create_task(self._recover_from(seat))


class PlatformLog:
    """Log stream of the seats.

    :ivar on_the_way: appends in flight; they may take effect after their sender has died.
    """

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.on_the_way: list[dict] = []

    def append(self, value: Any) -> None:
        value = msgspec.to_builtins(value)
        self.records.append(Record(offset=len(self.records), value=value))


@dataclass
class Caller:
    """State of a caller for one key, and what the checks need of it.

    :ivar counts: whether the caller numbers its attempts.
    :ivar attempts: number of attempts sent.
    :ivar told_not_run: highest attempt that was answered ``not_run``.
    :ivar started: attempts that were started; the class of urgency carries their number.
    :ivar waiting: attempts that are sent but have not arrived at an entry.
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
