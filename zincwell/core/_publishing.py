"""Publish a change of the configuration and wait for its verdict."""

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

VERDICT_TIMEOUT_S = 3.0
MAX_APPEND_ATTEMPTS = 3

log = logging.getLogger("zincwell.publishing")


class Proposal(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A complete document that an operator proposes.

    :param id: chosen by the operator's client; a repetition with the same id has no effect.
    :param base: version that the document is based on.
    :param by: name of the operator, recorded with the change.
    """

    id: str
    base: int
    document: dict[str, Any]
    by: str = ""
    note: str = ""


class PublishFailure(Struct, frozen=True, kw_only=True):
    """The reason why a proposal has no verdict.

    :param is_open: whether the change may still come into force; if so, the proposal is to be
        published again with the same id.
    """

    reason: str
    detail: str
    is_open: bool = False


class Publisher:
    """Publishes proposals by appending changes to the log."""

    def __init__(self, *, configuration: Configuration, log_service: LogService):
        self._configuration = configuration
        self._log_service = log_service

    async def publish(self, proposal: Proposal) -> Result[Verdict, PublishFailure]:
        """Publish a proposal and return its verdict, which is the same on every entry.

        The answer to an append can be lost after the append took effect. The append is therefore
        repeated with the same id, of which only the first record counts, and the verdict comes
        only from a record read back from the log.
        """
        try:
            parse_document(proposal.document)
        except DocumentError as error:
            return Err(PublishFailure(reason="invalid_document", detail=str(error)))
        verdict = self._configuration.verdict_by_id.get(proposal.id)
        if verdict is not None:
            return Ok(verdict)
        if not await self._wait_for_version(proposal.base):
            version = self._configuration.version
            detail = f"this entry has read up to version {version}, not {proposal.base}"
            return Err(PublishFailure(reason="entry_behind", detail=detail))
        if proposal.base != self._configuration.version:
            return Ok(self._make_conflict_verdict(proposal))
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
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                await self._log_service.append(stream=self._configuration.stream, value=change)
            except LogUnavailableError as error:
                log.info("append_unanswered", extra={"change": change["id"], "error": error})
            verdict = await self._wait_for_verdict(change["id"])
            if verdict is not None:
                return Ok(verdict)
        detail = "the log did not answer; ask again with the same id"
        return Err(PublishFailure(reason="log_unavailable", detail=detail, is_open=True))

    async def _wait_for_version(self, version: int) -> bool:
        """Wait until this entry has read a version; return whether it has.

        An operator's next change can reach an entry that is some milliseconds behind the one
        that accepted the last change. Without the wait, it would be rejected as conflicting
        although no other operator has changed anything.
        """

        async def reached() -> None:
            while self._configuration.version < version:
                await self._configuration.changed()

        try:
            await asyncio.wait_for(reached(), VERDICT_TIMEOUT_S)
        except TimeoutError:
            return False
        return True

    async def _wait_for_verdict(self, change_id: str) -> Verdict | None:
        async def found() -> Verdict:
            while change_id not in self._configuration.verdict_by_id:
                await self._configuration.changed()
            return self._configuration.verdict_by_id[change_id]

        try:
            return await asyncio.wait_for(found(), VERDICT_TIMEOUT_S)
        except TimeoutError:
            return None

    def _make_conflict_verdict(self, proposal: Proposal) -> Verdict:
        """Return the rejection of a proposal whose base is no longer in force."""
        version = self._configuration.version
        reason = f"base {proposal.base} is not the version in force, {version}"
        return Verdict(id=proposal.id, accepted=False, reason=reason, by=proposal.by)
