"""What callers ask for, from arrival to the whole answer."""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from zincwell.core._admission import Admission, Refusal
from zincwell.core._answers import attach_reply_of, not_run, reused, unknown
from zincwell.core._dispatch import Dispatcher
from zincwell.core._jobs import Job, JobBook, digest_of, full_key
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import (
    AttachCall,
    AttachKind,
    AttachReply,
    CancelCall,
    Claim,
    ClaimKind,
    ClaimReply,
    Intent,
    OwnedKey,
)
from zincwell.core._owners import Owners
from zincwell.core._ownership import Ownership
from zincwell.core._peers import Peers
from zincwell.models import Answer, Outcome, Request, Submission, TaskSpec
from zincwell.ports import Clock
from zincwell.settings import TimingSettings

CONFIGURATION_RETRY_MS = 1_000
DRAIN_RETRY_MS = 100
NO_CONFIGURATION = Refusal(
    reason="no_configuration",
    detail="this entry has no configuration yet",
    retry_after_ms=CONFIGURATION_RETRY_MS,
)

log = logging.getLogger("zincwell.submissions")


class Submissions:
    """Takes callers' work in, owns it or finds its owner, and answers it."""

    def __init__(
        self,
        *,
        seat: Seat,
        membership: Membership,
        ownership: Ownership,
        peers: Peers,
        book: JobBook,
        dispatcher: Dispatcher,
        admission: Admission,
        clock: Clock,
        timing: TimingSettings,
        observe_refusal: Callable[[str, str, str], None],
    ):
        self._seat = seat
        self._ownership = ownership
        self._owners = Owners(peers=peers, membership=membership, clock=clock)
        self._book = book
        self._dispatcher = dispatcher
        self._admission = admission
        self._clock = clock
        self._timing = timing
        self._observe_refusal = observe_refusal
        self._claiming_by_key: dict[str, asyncio.Future[Result[Job | ClaimReply, Answer]]] = {}

    # -- callers -------------------------------------------------------------------------

    async def submit(self, submission: Submission) -> Answer:
        """Run a submission, or find the one that its key stands for; return the answer."""
        found = await self.accept(submission)
        if isinstance(found, Err):
            return found.err_value
        return await asyncio.shield(found.ok_value)

    async def accept(self, submission: Submission) -> Result[asyncio.Future[Answer], Answer]:
        """Take a submission in and return its answer to come, or a final answer."""
        early = self._check_age(submission)
        if early is not None:
            return Err(early)
        never_run = self._can_never_have_run(submission)
        submission = msgspec.structs.replace(submission, never_run=never_run)
        key = full_key(key=submission.key, tenant=submission.tenant)
        job = self._book.jobs_by_key.get(key)
        if job is not None:
            return self._rejoin(job, submission)
        result = await self._claim_once(key, submission)
        if isinstance(result, Err):
            return result
        if isinstance(result.ok_value, Job):
            return self._rejoin(result.ok_value, submission)
        return Ok(asyncio.ensure_future(self._follow(key, result.ok_value, submission)))

    async def request(self, request: Request) -> Answer:
        """Run a single request; no other entry can know its key, so none is asked."""
        spec = TaskSpec(payload=request.payload, run_ms=request.run_ms, memory_mb=request.memory_mb)
        submission = Submission(
            key=f"{self._seat.domain}/{uuid.uuid4().hex}",
            created_at=self._clock.wall(),
            tenant=request.tenant,
            service=request.service,
            tasks=[spec],
            urgency=request.urgency,
            deadline_ms=request.deadline_ms,
            never_run=True,
        )
        key = full_key(key=submission.key, tenant=request.tenant)
        admitted = self._admit(key, submission)
        if isinstance(admitted, Err):
            return admitted.err_value
        job = admitted.ok_value
        if request.idempotent:
            job.idempotent = True
            job.retries_left = self._dispatcher.document.retries.max_attempts - 1
        self._start(job, serial=1)
        return await asyncio.shield(job.answer)

    async def poll(self, *, key: str, tenant: str, created_at: float) -> Answer | None:
        """Return the answer of a submission if it is out, or None while it runs."""
        name = full_key(key=key, tenant=tenant)
        job = self._book.jobs_by_key.get(name)
        if job is not None:
            return job.answer.result() if job.is_answered else None
        reply = await self._ownership.acquire(
            Claim(key=name, created_at=created_at, intent=Intent.LOOK_UP)
        )
        if reply.kind is not ClaimKind.OWNED:
            return unknown(key, reply.reason or "unknown_key", reply.retry_after_ms)
        return await self._owners.look_up(key, name, reply)

    async def cancel(self, *, key: str, tenant: str, created_at: float) -> Answer | None:
        """Cancel a submission; return its answer, or None if it can't be reached now."""
        name = full_key(key=key, tenant=tenant)
        job = self._book.jobs_by_key.get(name)
        if job is not None:
            self._dispatcher.give_up(job, "cancelled")
            return job.answer.result()
        reply = await self._ownership.acquire(
            Claim(key=name, created_at=created_at, intent=Intent.LOOK_UP)
        )
        if reply.kind is not ClaimKind.OWNED:
            return unknown(key, reply.reason or "unknown_key", reply.retry_after_ms)
        return await self._owners.cancel(key, name, reply)

    # -- peers ---------------------------------------------------------------------------

    async def attach(self, call: AttachCall) -> AttachReply:
        """Answer a peer that was told we own a key."""
        if call.owner != self._seat.id:
            return AttachReply(kind=AttachKind.OTHER_RUN)
        claiming = self._claiming_by_key.get(call.key)
        if claiming is not None:
            await asyncio.wait([claiming], timeout=call.wait_s)
            if not claiming.done():
                return AttachReply(kind=AttachKind.PENDING)
        job = self._book.jobs_by_key.get(call.key)
        if job is None:
            # Said for good: from now on we refuse to start the key under this grant, so the
            # home may give it to another.
            self._book.close_serial(call.key, call.serial)
            return AttachReply(kind=AttachKind.NEVER_STARTED)
        if call.digest not in (0, job.digest):
            return AttachReply(kind=AttachKind.REUSED)
        await asyncio.wait([job.answer], timeout=call.wait_s)
        return attach_reply_of(job)

    def cancel_owned(self, call: CancelCall) -> AttachReply:
        """Cancel a job that we own for a peer."""
        if call.owner != self._seat.id:
            return AttachReply(kind=AttachKind.OTHER_RUN)
        job = self._book.jobs_by_key.get(call.key)
        if job is None:
            return AttachReply(kind=AttachKind.NEVER_STARTED)
        self._dispatcher.give_up(job, "cancelled")
        return attach_reply_of(job)

    def owned_keys(self) -> list[OwnedKey]:
        """Return all keys that we own, for a new home."""
        return [self.owned_key(key) for key in self._book.jobs_by_key]

    def owned_key(self, key: str) -> OwnedKey | None:
        """Return what we own under a key, or None."""
        job = self._book.jobs_by_key.get(key)
        if job is None:
            return None
        return OwnedKey(
            key=key,
            owner=self._seat,
            serial=self._book.serial_by_key[key],
            created_at=job.created_at,
        )

    # -- owning --------------------------------------------------------------------------

    async def _claim_once(self, key: str, submission: Submission) -> Result:
        """Claim a key; those who bring the same key meanwhile share the result.

        Runs as a task of its own: a caller that hangs up must not leave the claim undecided
        for the others, nor a granted job unstarted.
        """
        task = self._claiming_by_key.get(key)
        if task is None:
            task = asyncio.ensure_future(self._claim(key, submission))
            self._claiming_by_key[key] = task
            task.add_done_callback(lambda _: self._claiming_by_key.pop(key))
        return await asyncio.shield(task)

    async def _claim(self, key: str, submission: Submission) -> Result:
        admitted = self._admit(key, submission)
        if isinstance(admitted, Err) and submission.never_run:
            return admitted
        claim = Claim(
            key=key,
            created_at=submission.created_at,
            attempt=submission.attempt or 0,
            never_run=submission.never_run,
            sent_at=submission.sent_at or submission.created_at,
            intent=Intent.REFUSE if isinstance(admitted, Err) else Intent.OWN,
            disown=self._book.closed_serial(key),
        )
        reply = await self._ownership.acquire(claim)
        if reply.kind is not ClaimKind.GRANTED:
            log.info(
                "claim_answered",
                extra={
                    "job": submission.key,
                    "intent": claim.intent,
                    "kind": reply.kind,
                    "reason": reply.reason,
                },
            )
        if reply.kind is ClaimKind.OWNED and reply.owner.id != self._seat.id:
            return Ok(reply)
        if reply.kind in (ClaimKind.ABSENT, ClaimKind.OWNED):
            return admitted
        if reply.kind is not ClaimKind.GRANTED:
            return Err(self._explain(submission, reply))
        if reply.serial <= self._book.closed_serial(key):
            return Err(unknown(submission.key, "grant_closed", DRAIN_RETRY_MS))
        self._start(admitted.ok_value, serial=reply.serial)
        return admitted

    def _explain(self, submission: Submission, reply: ClaimReply) -> Answer:
        """Say truly what is known of a key that we got no grant for.

        Only a caller none of whose attempts can have run is told that it has not run.
        """
        if submission.never_run and reply.kind not in (ClaimKind.UNKNOWN, ClaimKind.STALE):
            return not_run(submission.key, reply.reason, reply.retry_after_ms)
        return unknown(submission.key, reply.reason, reply.retry_after_ms)

    def _admit(self, key: str, submission: Submission) -> Result[Job, Answer]:
        """Make a job of a submission, or an answer that says why it is refused."""
        document = self._dispatcher.document
        pool = self._dispatcher.pool_of(submission.service)
        if document is None:
            refusal = NO_CONFIGURATION
        elif pool is None:
            detail = f"no service {submission.service!r}"
            refusal = Refusal(reason="unknown_service", detail=detail)
        else:
            job = self._make_job(key, submission, pool.name)
            refusal = self._admission.check(job, document=document, pool=pool)
            if refusal is None:
                return Ok(job)
        return Err(self._tell_refusal(submission, refusal))

    def _tell_refusal(self, submission: Submission, refusal: Refusal) -> Answer:
        self._observe_refusal(submission.tenant, submission.urgency, refusal.reason)
        log.info(
            "refused",
            extra={"job": submission.key, "tenant": submission.tenant, "reason": refusal.reason},
        )
        return Answer(
            key=submission.key,
            outcome=Outcome.NOT_RUN,
            reason=refusal.reason,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
        )

    def _make_job(self, key: str, submission: Submission, pool: str) -> Job:
        now = self._clock.monotonic()
        job = Job(
            key=key,
            tenant=submission.tenant,
            service=submission.service,
            pool=pool,
            urgency=submission.urgency,
            created_at=submission.created_at,
            deadline_at=now + submission.deadline_ms / 1000,
            arrived_at=now,
            digest=digest_of(submission),
        )
        job.add_tasks(submission.tasks, now=now)
        return job

    def _start(self, job: Job, *, serial: int) -> None:
        self._book.add(job, serial=serial)
        job.answer.add_done_callback(lambda _: self._book.keep(job))
        self._dispatcher.run(job)

    def _rejoin(self, job: Job, submission: Submission) -> Result:
        if job.digest != digest_of(submission):
            return Err(reused(submission.key))
        return Ok(job.answer)

    def _can_never_have_run(self, submission: Submission) -> bool:
        """Tell whether an attempt states that the key has never run, and came in good time.

        One that was held up on its way may have been overtaken by a later attempt, which has
        run since: told "not run" then, the caller would be told an untruth.
        """
        if not submission.never_run and submission.attempt != 1:
            return False
        sent_at = submission.sent_at or submission.created_at
        longest_s = self._timing.seat_lease_s - self._timing.clock_margin_s
        return self._clock.wall() - sent_at < longest_s

    def _check_age(self, submission: Submission) -> Answer | None:
        """Refuse a key made in the future, or so long ago that it may have been forgotten."""
        now = self._clock.wall()
        if submission.created_at > now + self._timing.clock_margin_s:
            return Answer(
                key=submission.key,
                reason="created_in_future",
                detail="created_at is later than this entry's clock - at `$.created_at`",
            )
        if submission.created_at < now - self._timing.resubmission_window_s:
            return unknown(submission.key, "key_expired", None)
        return None

    async def _follow(self, key: str, owned: ClaimReply, submission: Submission) -> Answer:
        """Wait for another owner's answer, or own the key if that one never started it."""
        answer = await self._owners.follow(key, owned, submission)
        if answer is not None:
            return answer
        self._book.close_serial(key, owned.serial)
        return await self.submit(submission)
