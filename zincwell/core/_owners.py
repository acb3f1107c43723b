"""Calls to other entries that own keys: waiting for answers and cancelling jobs."""

from __future__ import annotations

import asyncio
import logging

from zincwell.core._answers import answer_from, reused_answer, unknown_answer
from zincwell.core._jobs import digest_submission
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import AttachCall, AttachKind, AttachReply, CancelCall, ClaimReply
from zincwell.core._peers import Peers
from zincwell.exceptions import PeerUnavailableError
from zincwell.models import Answer, Submission
from zincwell.ports import Clock

ATTACH_WAIT_S = 1.0
ATTACH_TIMEOUT_S = 2.0
OWNER_SILENCE_LIMIT_S = 2.0
ATTACH_RETRY_S = 0.1
OWNER_RETRY_MS = 1_000

log = logging.getLogger("zincwell.owners")


class Owners:
    """Calls the owners that a home has named."""

    def __init__(self, *, peers: Peers, membership: Membership, clock: Clock):
        self._peers = peers
        self._membership = membership
        self._clock = clock

    async def follow(self, key: str, owned: ClaimReply, submission: Submission) -> Answer | None:
        """Wait for the answer of an owner by long polling, one second per call.

        :param key: the key with its tenant.
        :returns: the answer, or None if the owner never started the key and never will.
        """
        call = AttachCall(
            key=key,
            owner=owned.owner.id,
            serial=owned.serial,
            wait_s=ATTACH_WAIT_S,
            digest=digest_submission(submission),
        )
        heard_at = self._clock.monotonic()
        while True:
            try:
                reply = await self._attach(owned.owner, call)
            except PeerUnavailableError as error:
                if self._clock.monotonic() - heard_at > OWNER_SILENCE_LIMIT_S:
                    log.info("owner_unreachable", extra={"owner": owned.owner.id, "error": error})
                    return self._answer_for_unreachable(submission.key, owned.owner)
                await asyncio.sleep(ATTACH_RETRY_S)
                continue
            heard_at = self._clock.monotonic()
            if reply.kind is AttachKind.NEVER_STARTED:
                return None
            if reply.kind is not AttachKind.PENDING:
                return _read_answer(submission.key, reply)

    async def look_up(self, key: str, tenant_key: str, owned: ClaimReply) -> Answer | None:
        """Return the current answer of an owner, or None while the job runs.

        :param key: the caller's key.
        :param tenant_key: the key with its tenant.
        """
        call = AttachCall(key=tenant_key, owner=owned.owner.id, serial=owned.serial, wait_s=0.0)
        try:
            return _read_answer(key, await self._attach(owned.owner, call))
        except PeerUnavailableError:
            return self._answer_for_unreachable(key, owned.owner)

    async def cancel(self, key: str, tenant_key: str, owned: ClaimReply) -> Answer | None:
        """Cancel a job at its owner and return its answer.

        :param key: the caller's key.
        :param tenant_key: the key with its tenant.
        """
        try:
            reply = await self._peers.call(
                url=owned.owner.url,
                path="/peer/cancel",
                message=CancelCall(key=tenant_key, owner=owned.owner.id),
                reply=AttachReply,
                timeout_s=ATTACH_TIMEOUT_S,
            )
        except PeerUnavailableError:
            return unknown_answer(key, "owner_unreachable", OWNER_RETRY_MS)
        return _read_answer(key, reply)

    async def _attach(self, owner: Seat, call: AttachCall) -> AttachReply:
        return await self._peers.call(
            url=owner.url,
            path="/peer/attach",
            message=call,
            reply=AttachReply,
            timeout_s=call.wait_s + ATTACH_TIMEOUT_S,
        )

    def _answer_for_unreachable(self, key: str, owner: Seat) -> Answer:
        """Return the answer for an unreachable owner; a retry helps only if its seat is open."""
        if self._membership.is_open(vm=owner.vm, incarnation=owner.incarnation):
            return unknown_answer(key, "owner_unreachable", OWNER_RETRY_MS)
        return unknown_answer(key, "owner_lost", None)


def _read_answer(key: str, reply: AttachReply) -> Answer | None:
    if reply.kind is AttachKind.OTHER_RUN:
        return unknown_answer(key, "owner_lost", None)
    if reply.kind is AttachKind.REUSED:
        return reused_answer(key)
    return answer_from(reply)
