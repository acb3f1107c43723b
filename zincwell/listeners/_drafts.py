"""A document that an operator is editing. It travels in the form: entries keep nothing."""

from __future__ import annotations

import difflib
import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec
import tomli_w
from msgspec import Struct

from zincwell.core._configuration import Configuration, make_patch, merge_patch
from zincwell.exceptions import BadRequestError

Path = tuple[str, ...]


class Draft(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A draft and what it was made from.

    :param base: version that it was made from.
    :param before: document of that version, kept to rebase the draft.
    :param document: document as typed; may have values that are not allowed.
    """

    base: int
    before: dict[str, Any]
    document: dict[str, Any]

    def id(self) -> str:
        """Return the id of the change that publishes it.

        Made from the content: pressing the button again, after an answer that was lost, is the
        same change, and after an edit it is another one.
        """
        content = msgspec.json.encode([self.base, self.document], order="deterministic")
        return hashlib.sha256(content).hexdigest()[:32]


class Conflict(Struct, frozen=True, kw_only=True):
    """A place that both the draft and a change in between have changed."""

    key: str
    mine: str
    theirs: str


def begin_draft(configuration: Configuration) -> Draft:
    """Return a draft of the document in force."""
    value = configuration.value
    return Draft(base=configuration.version, before=value, document=value)


def encode_draft(draft: Draft) -> str:
    """Return a draft as it travels in a form."""
    return msgspec.json.encode(draft).decode()


def decode_draft(text: str) -> Draft:
    """Read a draft from a form.

    :raises BadRequestError: if it is not one.
    """
    try:
        return msgspec.json.decode(text, type=Draft)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BadRequestError(f"the form has no draft in it: {error}") from error


def rebase(draft: Draft, configuration: Configuration) -> tuple[Draft, list[Conflict]]:
    """Put what a draft changes onto the version in force.

    A draft of a version that this entry has not read yet stays as it is.

    :returns: the new draft and the places where it overrides a change made in between.
    """
    if draft.base >= configuration.version:
        return draft, []
    mine = make_patch(draft.before, draft.document)
    theirs = make_patch(draft.before, configuration.value)
    rebased = Draft(
        base=configuration.version,
        before=configuration.value,
        document=merge_patch(configuration.value, mine),
    )
    return rebased, list(_find_conflicts(mine, theirs))


def diff_draft(draft: Draft) -> list[str]:
    """Return the lines of a unified diff of a draft and what it was made from, in TOML."""
    lines = difflib.unified_diff(
        format_document(draft.before).splitlines(),
        format_document(draft.document).splitlines(),
        fromfile=f"version {draft.base}",
        tofile="draft",
        lineterm="",
    )
    return list(lines)


def format_document(document: dict[str, Any]) -> str:
    """Return a document in TOML, its names in order."""
    return tomli_w.dumps(_sort(document))


def show_value(value: Any) -> str:
    """Return a value of a patch for a reader; None stands for a removal."""
    return "removed" if value is None else msgspec.json.encode(value).decode()


def list_changes(patch: dict[str, Any], path: Path = ()) -> Iterator[tuple[Path, Any]]:
    """Yield the places that a merge patch sets, with their new values."""
    for name, value in patch.items():
        if isinstance(value, dict) and value:
            yield from list_changes(value, (*path, name))
        else:
            yield (*path, name), value


def _find_conflicts(mine: dict[str, Any], theirs: dict[str, Any]) -> Iterator[Conflict]:
    for my_path, my_value in list_changes(mine):
        for their_path, their_value in list_changes(theirs):
            if not _overlap(my_path, their_path):
                continue
            if my_path == their_path and my_value == their_value:
                continue
            key = ".".join(max(my_path, their_path, key=len))
            yield Conflict(key=key, mine=show_value(my_value), theirs=show_value(their_value))


def _overlap(one: Path, other: Path) -> bool:
    """Tell whether one place is within the other: removing a pool touches all its fields."""
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def _sort(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {name: _sort(value[name]) for name in sorted(value)}
