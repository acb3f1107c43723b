"""Other entries as owners of keys: waiting for their answers, cancelling there."""

from __future__ import annotations

import asyncio
import logging

from zincwell.core._answers import answer_of, reused, unknown
from zincwell.core._jobs import digest_of
from zincwell.core._membership import Membership, Seat
from zincwell.core._messages import AttachCall, AttachKind, AttachReply, CancelCall, ClaimReply
from zincwell.core._peers import Peers
from zincwell.exceptions import PeerUnavailableError
from zincwell.models import Answer, Submission
from zincwell.ports import Clock

ATTACH_WAIT_S = 1.0
ATTACH_TIMEOUT_S = 2.0
ATTACH_PATIENCE_S = 2.0
ASK_AGAIN_S = 0.1
OWNER_RETRY_MS = 1_000

log = logging.getLogger("zincwell.owners")


class Owners:
    """Asks the owners that a home has named."""

    def __init__(self, *, peers: Peers, membership: Membership, clock: Clock):
        self._peers = peers
        self._membership = membership
        self._clock = clock

    async def follow(self, key: str, owned: ClaimReply, submission: Submission) -> Answer | None:
        """Wait for the answer of an owner, on a new call each second.

        :returns: the answer, or None if the owner never started the key and never will.
        """
        call = AttachCall(
            key=key,
            owner=owned.owner.id,
            serial=owned.serial,
            wait_s=ATTACH_WAIT_S,
            digest=digest_of(submission),
        )
        heard_at = self._clock.monotonic()
        while True:
            try:
                reply = await self._attach(owned.owner, call)
            except PeerUnavailableError as error:
                if self._clock.monotonic() - heard_at > ATTACH_PATIENCE_S:
                    log.info("owner_unreachable", extra={"owner": owned.owner.id, "error": error})
                    return self._explain_silence(submission.key, owned.owner)
                await asyncio.sleep(ASK_AGAIN_S)
                continue
            heard_at = self._clock.monotonic()
            if reply.kind is AttachKind.NEVER_STARTED:
                return None
            if reply.kind is not AttachKind.PENDING:
                return _read(submission.key, reply)

    async def look_up(self, key: str, name: str, owned: ClaimReply) -> Answer | None:
        """Return the answer that an owner has now, or None while the job runs.

        :param key: the caller's key.
        :param name: the key with its tenant.
        """
        call = AttachCall(key=name, owner=owned.owner.id, serial=owned.serial, wait_s=0.0)
        try:
            return _read(key, await self._attach(owned.owner, call))
        except PeerUnavailableError:
            return self._explain_silence(key, owned.owner)

    async def cancel(self, key: str, name: str, owned: ClaimReply) -> Answer | None:
        """Cancel a job at its owner and return its answer."""
        try:
            reply = await self._peers.call(
                url=owned.owner.url,
                path="/peer/cancel",
                message=CancelCall(key=name, owner=owned.owner.id),
                reply=AttachReply,
                timeout_s=ATTACH_TIMEOUT_S,
            )
        except PeerUnavailableError:
            return unknown(key, "owner_unreachable", OWNER_RETRY_MS)
        return _read(key, reply)

    async def _attach(self, owner: Seat, call: AttachCall) -> AttachReply:
        return await self._peers.call(
            url=owner.url,
            path="/peer/attach",
            message=call,
            reply=AttachReply,
            timeout_s=call.wait_s + ATTACH_TIMEOUT_S,
        )

    def _explain_silence(self, key: str, owner: Seat) -> Answer:
        """Say whether coming back may help: not if the owner's seat is closed."""
        if self._membership.is_open(vm=owner.vm, incarnation=owner.incarnation):
            return unknown(key, "owner_unreachable", OWNER_RETRY_MS)
        return unknown(key, "owner_lost", None)


def _read(key: str, reply: AttachReply) -> Answer | None:
    if reply.kind is AttachKind.OTHER_RUN:
        return unknown(key, "owner_lost", None)
    if reply.kind is AttachKind.REUSED:
        return reused(key)
    return answer_of(reply)
