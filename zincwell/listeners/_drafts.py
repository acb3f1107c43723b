"""Draft of a configuration document, kept in a form field so that entries store nothing."""

from __future__ import annotations

import difflib
import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec
import tomli_w
from msgspec import Struct

from zincwell._decoding import make_decoder
from zincwell.core._configuration import Configuration, make_patch, merge_patch
from zincwell.exceptions import BadRequestError, MalformedJsonError

Path = tuple[str, ...]


class Draft(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A draft and the document that it is based on.

    :param base: version of the document that the draft is based on.
    :param before: document of that version, needed to rebase the draft.
    :param document: document as typed; may hold invalid values.
    """

    base: int
    before: dict[str, Any]
    document: dict[str, Any]

    def id(self) -> str:
        """Return the id of the change that publishes the draft.

        It is a hash of the content: publishing again after a lost response is the same change,
        publishing after an edit is another one.
        """
        content = msgspec.json.encode([self.base, self.document], order="deterministic")
        return hashlib.sha256(content).hexdigest()[:32]


class Conflict(Struct, frozen=True, kw_only=True):
    """A field that was changed both by the draft and by a version published after its base."""

    key: str
    mine: str
    theirs: str


def begin_draft(configuration: Configuration) -> Draft:
    """Return an unchanged draft of the document in force."""
    value = configuration.value
    return Draft(base=configuration.version, before=value, document=value)


def encode_draft(draft: Draft) -> str:
    """Encode a draft for a form field."""
    return msgspec.json.encode(draft).decode()


_decode_draft = make_decoder(Draft)


def decode_draft(text: str) -> Draft:
    """Decode a draft from a form field.

    :raises BadRequestError: if the text is not a valid draft.
    """
    try:
        return _decode_draft(text.encode(errors="replace"))
    except MalformedJsonError as error:
        raise BadRequestError(f"the form has no draft in it: {error}") from error


def rebase(draft: Draft, configuration: Configuration) -> tuple[Draft, list[Conflict]]:
    """Apply the changes of a draft to the version in force.

    A draft that is based on a version this entry has not read yet is returned unchanged.

    :returns: the new draft and the fields where it overrides a change published after its base.
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
    """Return the unified diff from the base document to the draft, as lines of TOML."""
    lines = difflib.unified_diff(
        format_document(draft.before).splitlines(),
        format_document(draft.document).splitlines(),
        fromfile=f"version {draft.base}",
        tofile="draft",
        lineterm="",
    )
    return list(lines)


def format_document(document: dict[str, Any]) -> str:
    """Return a document in TOML with sorted keys."""
    return tomli_w.dumps(_sort_keys(document))


def format_value(value: Any) -> str:
    """Return a value of a merge patch as text; None means that the field is removed."""
    return "removed" if value is None else msgspec.json.encode(value).decode()


def list_changes(patch: dict[str, Any], path: Path = ()) -> Iterator[tuple[Path, Any]]:
    """Yield the path and new value of each field that a merge patch sets."""
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
            yield Conflict(key=key, mine=format_value(my_value), theirs=format_value(their_value))


def _overlap(one: Path, other: Path) -> bool:
    """Return whether one path is a prefix of the other.

    Removing a pool, for example, conflicts with a change of any of its fields.
    """
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def _sort_keys(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {name: _sort_keys(value[name]) for name in sorted(value)}
