"""Publish a change of the configuration and learn its verdict."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from msgspec import Struct
from result import Err, Ok, Result

from zincwell.core._configuration import Configuration, Verdict, make_patch
from zincwell.document import parse_document
from zincwell.exceptions import DocumentError, LogUnavailableError
from zincwell.ports import LogService

VERDICT_WAIT_S = 3.0
APPEND_TRIES = 3

log = logging.getLogger("zincwell.publishing")


class Proposal(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole document that an operator wants in force.

    :param id: chosen by the operator's program; the same again changes nothing.
    :param base: version that it was made from.
    :param by: name of the operator, for the record.
    """

    id: str
    base: int
    document: dict[str, Any]
    by: str = ""
    note: str = ""


class PublishFailure(Struct, frozen=True, kw_only=True):
    """Why there is no verdict.

    :param is_open: whether the change may still come into force; ask again with its id.
    """

    reason: str
    detail: str
    is_open: bool = False


class Publisher:
    """Publishes proposals through the log."""

    def __init__(self, *, configuration: Configuration, log_service: LogService):
        self._configuration = configuration
        self._log_service = log_service

    async def publish(self, proposal: Proposal) -> Result[Verdict, PublishFailure]:
        """Publish a proposal and return its verdict, which is the same on every entry.

        The answer to an append can be lost after it took effect. So the append is repeated
        with the same id, of which the first alone counts, and only our own record read back
        from the log makes it accepted.
        """
        try:
            parse_document(proposal.document)
        except DocumentError as error:
            return Err(PublishFailure(reason="invalid_document", detail=str(error)))
        verdict = self._configuration.verdict_by_id.get(proposal.id)
        if verdict is not None:
            return Ok(verdict)
        if not await self._reach(proposal.base):
            version = self._configuration.version
            detail = f"this entry has read up to version {version}, not {proposal.base}"
            return Err(PublishFailure(reason="entry_behind", detail=detail))
        if proposal.base != self._configuration.version:
            return Ok(self._lost(proposal))
        change = {
            "kind": "change",
            "id": proposal.id,
            "base": proposal.base,
            "patch": make_patch(self._configuration.value, proposal.document),
            "by": proposal.by,
            "note": proposal.note,
        }
        return await self._append(change)

    async def _append(self, change: dict[str, Any]) -> Result[Verdict, PublishFailure]:
        for _ in range(APPEND_TRIES):
            try:
                await self._log_service.append(stream=self._configuration.stream, value=change)
            except LogUnavailableError as error:
                log.info("append_unanswered", extra={"change": change["id"], "error": error})
            verdict = await self._wait_for_verdict(change["id"])
            if verdict is not None:
                return Ok(verdict)
        detail = "the log did not answer; ask again with the same id"
        return Err(PublishFailure(reason="log_unavailable", detail=detail, is_open=True))

    async def _reach(self, version: int) -> bool:
        """Wait until a version has been read here and tell whether it has.

        An operator's next change can come by an entry that is some milliseconds behind the one
        that took the last. Without this, it would be told of a lost race with nobody.
        """

        async def reached() -> None:
            while self._configuration.version < version:
                await self._configuration.changed()

        try:
            await asyncio.wait_for(reached(), VERDICT_WAIT_S)
        except TimeoutError:
            return False
        return True

    async def _wait_for_verdict(self, change_id: str) -> Verdict | None:
        async def found() -> Verdict:
            while change_id not in self._configuration.verdict_by_id:
                await self._configuration.changed()
            return self._configuration.verdict_by_id[change_id]

        try:
            return await asyncio.wait_for(found(), VERDICT_WAIT_S)
        except TimeoutError:
            return None

    def _lost(self, proposal: Proposal) -> Verdict:
        version = self._configuration.version
        reason = f"base {proposal.base} is not the version in force, {version}"
        return Verdict(id=proposal.id, accepted=False, reason=reason, by=proposal.by)
