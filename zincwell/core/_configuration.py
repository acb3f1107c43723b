"""The configuration in force, computed from the operators' changes in the log.

Every entry applies the same records by the same rule: a change is rejected if its base is not
the version in force, and ignored if its id was seen before. This keeps all entries on the same
document when two operators publish from the same version, and a change that is published again
after a lost answer does not undo a change made in between.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct

from zincwell.core._follow import Fold
from zincwell.document import Document, parse_document
from zincwell.exceptions import DocumentError
from zincwell.ports import Record

STREAM = "config"
MAX_VERDICTS = 100

log = logging.getLogger("zincwell.configuration")


class Change(Struct, frozen=True, kw_only=True, tag_field="kind", tag="change"):
    """A change that an operator publishes.

    :param id: chosen by the publisher; a second record with the same id is ignored.
    :param base: version that the change is based on; -1 for the first.
    :param patch: JSON merge patch (RFC 7396); null removes a name.
    :param by: name of the operator.
    """

    id: str
    base: int
    patch: dict[str, Any]
    by: str = ""
    note: str = ""


class Verdict(Struct, frozen=True, kw_only=True):
    """Whether a change was accepted; the same on every entry.

    :param version: version that the change created, if accepted.
    :param patch: the merge patch of the change, if accepted.
    """

    id: str
    accepted: bool
    version: int = -1
    reason: str = ""
    by: str = ""
    note: str = ""
    patch: dict[str, Any] = {}


class Configuration(Fold):
    """The document in force.

    :ivar version: offset of the change that created the document; -1 before the first change.
    :ivar on_change: called with each new document.
    """

    stream = STREAM

    def __init__(self) -> None:
        super().__init__()
        self.version = -1
        self.document: Document | None = None
        self.value: dict[str, Any] = {}
        self.verdict_by_id: OrderedDict[str, Verdict] = OrderedDict()
        self.on_change: list[Callable[[Document], None]] = []

    def _apply(self, record: Record) -> None:
        try:
            change = msgspec.convert(record.value, Change)
        except msgspec.ValidationError as error:
            log.warning("config_record_malformed", extra={"offset": record.offset, "error": error})
            return
        if change.id not in self.verdict_by_id:
            self._evaluate(change, record.offset)

    def _evaluate(self, change: Change, offset: int) -> None:
        if change.base != self.version:
            reason = f"base {change.base} is not the version in force, {self.version}"
            self._record_verdict(Verdict(id=change.id, accepted=False, reason=reason, by=change.by))
            return
        merged = merge_patch(self.value, change.patch)
        try:
            document = parse_document(merged)
        except DocumentError as error:
            self._record_verdict(
                Verdict(id=change.id, accepted=False, reason=str(error), by=change.by)
            )
            return
        self.version, self.value, self.document = offset, merged, document
        self._record_verdict(
            Verdict(
                id=change.id,
                accepted=True,
                version=offset,
                by=change.by,
                note=change.note,
                patch=change.patch,
            )
        )
        self._notify_listeners()

    def changes_since(self, version: int) -> list[Verdict]:
        """Return the accepted changes after a version that are among the last ``MAX_VERDICTS``."""
        verdicts = self.verdict_by_id.values()
        return [verdict for verdict in verdicts if verdict.accepted and verdict.version > version]

    def _record_verdict(self, verdict: Verdict) -> None:
        self.verdict_by_id[verdict.id] = verdict
        while len(self.verdict_by_id) > MAX_VERDICTS:
            self.verdict_by_id.popitem(last=False)
        log.info(
            "config_verdict",
            extra={
                "change": verdict.id,
                "accepted": verdict.accepted,
                "version": verdict.version,
                "reason": verdict.reason,
            },
        )

    def _load(self, snapshot: dict[str, Any]) -> None:
        verdicts = msgspec.convert(snapshot["verdicts"], list[Verdict])
        self.version = snapshot["version"]
        self.value = snapshot["value"]
        self.document = parse_document(self.value) if self.version >= 0 else None
        self.verdict_by_id = OrderedDict((verdict.id, verdict) for verdict in verdicts)
        if self.document is not None:
            self._notify_listeners()

    def snapshot(self) -> dict[str, Any]:
        """Return the document, its version and the latest verdicts."""
        verdicts = msgspec.to_builtins(list(self.verdict_by_id.values()))
        return {"version": self.version, "value": self.value, "verdicts": verdicts}

    def _notify_listeners(self) -> None:
        for callback in self.on_change:
            callback(self.document)


def merge_patch(value: Any, patch: Any) -> Any:
    """Return a value with a JSON merge patch (RFC 7396) applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(value) if isinstance(value, dict) else {}
    for name, change in patch.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), change)
    return merged


def make_patch(before: Any, after: Any) -> dict[str, Any]:
    """Return the merge patch that turns one object into another."""
    patch: dict[str, Any] = {name: None for name in before if name not in after}
    for name, value in after.items():
        if isinstance(value, dict) and isinstance(before.get(name), dict):
            nested = make_patch(before[name], value)
            if nested:
                patch[name] = nested
        elif name not in before or before[name] != value:
            patch[name] = value
    return patch
