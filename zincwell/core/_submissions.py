"""Handling of callers' submissions, from arrival to the final answer."""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from zincwell.core._admission import Admission, Refusal
from zincwell.core._answers import attach_reply_of, not_run_answer, reused_answer, unknown_answer
from zincwell.core._dispatch import Dispatcher
from zincwell.core._jobs import Job, OwnedJobs, digest_submission, full_key
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
    """Accepts submissions, runs those that this entry owns and follows the owners of the others.

    :param seat: seat of this entry.
    :param ownership: asks the home of a key for a grant.
    :param owned_jobs: jobs that this entry owns, and their answers.
    :param observe_refusal: called with the tenant, the urgency and the reason of each refusal.
    """

    def __init__(
        self,
        *,
        seat: Seat,
        membership: Membership,
        ownership: Ownership,
        peers: Peers,
        owned_jobs: OwnedJobs,
        dispatcher: Dispatcher,
        admission: Admission,
        clock: Clock,
        timing: TimingSettings,
        observe_refusal: Callable[[str, str, str], None],
    ):
        self._seat = seat
        self._ownership = ownership
        self._owners = Owners(peers=peers, membership=membership, clock=clock)
        self._owned_jobs = owned_jobs
        self._dispatcher = dispatcher
        self._admission = admission
        self._clock = clock
        self._timing = timing
        self._observe_refusal = observe_refusal
        self._claiming_by_key: dict[str, asyncio.Future[Result[Job | ClaimReply, Answer]]] = {}

    # -- callers -------------------------------------------------------------------------

    async def submit(self, submission: Submission) -> Answer:
        """Run a submission, or join the one that already has its key; return the answer."""
        accepted = await self.accept(submission)
        if isinstance(accepted, Err):
            return accepted.err_value
        return await asyncio.shield(accepted.ok_value)

    async def accept(self, submission: Submission) -> Result[asyncio.Future[Answer], Answer]:
        """Accept a submission; return a future of its answer, or the final answer if refused."""
        refusal = self._check_age(submission)
        if refusal is not None:
            return Err(refusal)
        never_run = self._can_never_have_run(submission)
        submission = msgspec.structs.replace(submission, never_run=never_run)
        key = full_key(key=submission.key, tenant=submission.tenant)
        job = self._owned_jobs.jobs_by_key.get(key)
        if job is not None:
            return self._join_job(job, submission)
        result = await self._claim_once(key, submission)
        if isinstance(result, Err):
            return result
        if isinstance(result.ok_value, Job):
            return self._join_job(result.ok_value, submission)
        return Ok(asyncio.ensure_future(self._follow(key, result.ok_value, submission)))

    async def request(self, request: Request) -> Answer:
        """Run a single request.

        Its key is generated here, so no other entry can know it and no home is asked.
        """
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
        """Return the answer of a submission, or None while it runs."""
        tenant_key = full_key(key=key, tenant=tenant)
        job = self._owned_jobs.jobs_by_key.get(tenant_key)
        if job is not None:
            return job.answer.result() if job.is_answered else None
        reply = await self._ownership.acquire(
            Claim(key=tenant_key, created_at=created_at, intent=Intent.LOOK_UP)
        )
        if reply.kind is not ClaimKind.OWNED:
            return unknown_answer(key, reply.reason or "unknown_key", reply.retry_after_ms)
        return await self._owners.look_up(key, tenant_key, reply)

    async def cancel(self, *, key: str, tenant: str, created_at: float) -> Answer | None:
        """Cancel a submission; return its answer, or None if its owner has none yet."""
        tenant_key = full_key(key=key, tenant=tenant)
        job = self._owned_jobs.jobs_by_key.get(tenant_key)
        if job is not None:
            self._dispatcher.give_up(job, "cancelled")
            return job.answer.result()
        reply = await self._ownership.acquire(
            Claim(key=tenant_key, created_at=created_at, intent=Intent.LOOK_UP)
        )
        if reply.kind is not ClaimKind.OWNED:
            return unknown_answer(key, reply.reason or "unknown_key", reply.retry_after_ms)
        return await self._owners.cancel(key, tenant_key, reply)

    # -- peers ---------------------------------------------------------------------------

    async def attach(self, call: AttachCall) -> AttachReply:
        """Answer a peer to which a home named this entry as the owner of a key.

        Waits up to ``call.wait_s`` seconds for the job's answer.
        """
        if call.owner != self._seat.id:
            return AttachReply(kind=AttachKind.OTHER_RUN)
        claiming = self._claiming_by_key.get(call.key)
        if claiming is not None:
            await asyncio.wait([claiming], timeout=call.wait_s)
            if not claiming.done():
                return AttachReply(kind=AttachKind.PENDING)
        job = self._owned_jobs.jobs_by_key.get(call.key)
        if job is None:
            # The reply is final: this entry no longer starts the key under this grant, so the
            # home may grant the key to another entry.
            self._owned_jobs.close_serial(call.key, call.serial)
            return AttachReply(kind=AttachKind.NEVER_STARTED)
        if call.digest not in (0, job.digest):
            return AttachReply(kind=AttachKind.REUSED)
        await asyncio.wait([job.answer], timeout=call.wait_s)
        return attach_reply_of(job)

    def cancel_for_peer(self, call: CancelCall) -> AttachReply:
        """Cancel a job of this entry on behalf of a peer."""
        if call.owner != self._seat.id:
            return AttachReply(kind=AttachKind.OTHER_RUN)
        job = self._owned_jobs.jobs_by_key.get(call.key)
        if job is None:
            return AttachReply(kind=AttachKind.NEVER_STARTED)
        self._dispatcher.give_up(job, "cancelled")
        return attach_reply_of(job)

    def owned_keys(self) -> list[OwnedKey]:
        """Return all keys that this entry owns, for a new home."""
        return [self.owned_key(key) for key in self._owned_jobs.jobs_by_key]

    def owned_key(self, key: str) -> OwnedKey | None:
        """Return the ownership record of a key, or None if this entry doesn't own it."""
        job = self._owned_jobs.jobs_by_key.get(key)
        if job is None:
            return None
        return OwnedKey(
            key=key,
            owner=self._seat,
            serial=self._owned_jobs.serial_by_key[key],
            created_at=job.created_at,
        )

    # -- owning --------------------------------------------------------------------------

    async def _claim_once(self, key: str, submission: Submission) -> Result:
        """Claim a key; concurrent submissions of the same key share the result.

        The claim runs as a separate task, so that a caller that disconnects can't leave it
        undecided for the others, or leave a granted job unstarted.
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
            disown=self._owned_jobs.closed_serial(key),
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
            return Err(self._answer_ungranted(submission, reply))
        if reply.serial <= self._owned_jobs.closed_serial(key):
            return Err(unknown_answer(submission.key, "grant_closed", DRAIN_RETRY_MS))
        self._start(admitted.ok_value, serial=reply.serial)
        return admitted

    def _answer_ungranted(self, submission: Submission, reply: ClaimReply) -> Answer:
        """Return the answer for a key that was not granted to this entry.

        The answer is ``not_run`` only if no attempt of the caller can have run, and
        ``outcome_unknown`` otherwise.
        """
        if submission.never_run and reply.kind not in (ClaimKind.UNKNOWN, ClaimKind.STALE):
            return not_run_answer(submission.key, reply.reason, reply.retry_after_ms)
        return unknown_answer(submission.key, reply.reason, reply.retry_after_ms)

    def _admit(self, key: str, submission: Submission) -> Result[Job, Answer]:
        """Apply admission control; return the job, or the answer with the reason of the refusal."""
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
        return Err(self._report_refusal(submission, refusal))

    def _report_refusal(self, submission: Submission, refusal: Refusal) -> Answer:
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
            digest=digest_submission(submission),
        )
        job.add_tasks(submission.tasks, now=now)
        return job

    def _start(self, job: Job, *, serial: int) -> None:
        self._owned_jobs.add(job, serial=serial)
        job.answer.add_done_callback(lambda _: self._owned_jobs.cache_answer(job))
        self._dispatcher.run(job)

    def _join_job(self, job: Job, submission: Submission) -> Result:
        if job.digest != digest_submission(submission):
            return Err(reused_answer(submission.key))
        return Ok(job.answer)

    def _can_never_have_run(self, submission: Submission) -> bool:
        """Tell whether this is the caller's first attempt, and it arrived without long delay.

        A delayed attempt may have been overtaken by a later one that has run since, and then
        the answer ``not_run`` would be false.
        """
        if not submission.never_run and submission.attempt != 1:
            return False
        sent_at = submission.sent_at or submission.created_at
        longest_s = self._timing.seat_lease_s - self._timing.clock_margin_s
        return self._clock.wall() - sent_at < longest_s

    def _check_age(self, submission: Submission) -> Answer | None:
        """Refuse a key created in the future, or before the resubmission window.

        The records of keys are dropped after the window.
        """
        now = self._clock.wall()
        if submission.created_at > now + self._timing.clock_margin_s:
            return Answer(
                key=submission.key,
                reason="created_in_future",
                detail="created_at is later than this entry's clock - at `$.created_at`",
            )
        if submission.created_at < now - self._timing.resubmission_window_s:
            return unknown_answer(submission.key, "key_expired", None)
        return None

    async def _follow(self, key: str, owned: ClaimReply, submission: Submission) -> Answer:
        """Wait for the owner's answer; submit the key here if the owner never started it."""
        answer = await self._owners.follow(key, owned, submission)
        if answer is not None:
            return answer
        self._owned_jobs.close_serial(key, owned.serial)
        return await self.submit(submission)
