"""What the forms show, made from the types of the document, and how they change a draft."""

from __future__ import annotations

import copy
import functools
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any, get_args, get_origin

import msgspec
from msgspec import Struct

from zincwell.checking import Fault, check_value, list_fields
from zincwell.document import Document, Retries, find_document_faults
from zincwell.models import Name
from zincwell.reference import FieldNote, inner_struct, list_notes

FIELD_PREFIX = "field/"
SEPARATOR = "/"
GENERAL = "general"
HIDDEN_FIELDS = {"format"}
LARGEST_NUMBER = 2**53
BOOLEANS = ("true", "false")


@dataclass(frozen=True, kw_only=True)
class FieldView:
    """One input.

    :param options: values to choose from; none for a text.
    :param error: what is allowed, if what was typed is not.
    """

    name: str
    note: FieldNote
    value: str
    options: list[str] = field(default_factory=list)
    is_list: bool = False
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class RowView:
    """The inputs of one service, pool, class or tenant."""

    name: str
    fields: list[FieldView]
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class SectionView:
    """One page of the forms.

    :param rows: by name, for a section of named entries; one row without a name otherwise.
    :param faults: number of faults in it.
    """

    name: str
    title: str
    hint: str
    notes: tuple[FieldNote, ...]
    rows: list[RowView]
    faults: int

    @property
    def is_mapping(self) -> bool:
        """Whether entries can be added and removed."""
        return self.name != GENERAL


TITLE_BY_SECTION = {
    "services": ("Services", "What callers name in a job, and the pool of workers that runs it."),
    "pools": ("Pools of workers", "Ordering, admission and health rules of each pool."),
    "urgencies": (
        "Urgent work",
        "Classes of urgency: how each is admitted, weighed, limited and stopped.",
    ),
    "tenants": ("Tenants", "Customers, their shares and quotas."),
    GENERAL: ("Domains and retries", "Failure domains, unlisted tenants, limits on retries."),
}


def make_section(name: str, document: dict[str, Any], faults: list[Fault]) -> SectionView:
    """Return what the page of one section shows of a draft."""
    title, hint = TITLE_BY_SECTION[name]
    error_by_path = {fault.path: fault.message for fault in faults}
    if name == GENERAL:
        rows, notes = [_general_row(document, error_by_path)], ()
    else:
        struct = _struct_of(name)
        notes = list_notes(struct)
        rows = [
            _row(document, (name, entry), struct, error_by_path) for entry in _table(document, name)
        ]
    return SectionView(
        name=name,
        title=title,
        hint=hint,
        notes=notes,
        rows=rows,
        faults=sum(section_of(fault) == name for fault in faults),
    )


def section_of(fault: Fault) -> str:
    """Return the section that shows a fault."""
    first = fault.path[0] if fault.path else GENERAL
    return first if first in TITLE_BY_SECTION else GENERAL


def list_unplaced(faults: list[Fault], section: SectionView) -> list[str]:
    """Return the faults of a section that none of its inputs shows."""
    shown = {part.name for row in section.rows for part in row.fields}
    shown |= {input_name((section.name, row.name)) for row in section.rows}
    return [
        f"{fault.key}: {fault.message}"
        for fault in faults
        if section_of(fault) == section.name and input_name(fault.path) not in shown
    ]


def take_fields(document: dict[str, Any], form: Iterable[tuple[str, str]]) -> dict[str, Any]:
    """Return a document with what was typed; a value that is not allowed stays as typed."""
    changed = copy.deepcopy(document)
    for name, text in form:
        path = tuple(name.removeprefix(FIELD_PREFIX).split(SEPARATOR))
        type_ = _type_at(path) if name.startswith(FIELD_PREFIX) else None
        if type_ is not None:
            _set(changed, path, _parse(text, type_))
    return changed


def add_entry(document: dict[str, Any], section: str, name: str) -> tuple[dict[str, Any], str]:
    """Add an empty entry to a section; return the document and what is wrong, if anything."""
    message = check_value(name, Name)
    if not message and name in _table(document, section):
        message = f"{name} is already there"
    if message:
        return document, message
    changed = copy.deepcopy(document)
    changed.setdefault(section, {})[name] = {}
    return changed, ""


def remove_entry(document: dict[str, Any], section: str, name: str) -> dict[str, Any]:
    """Return a document without an entry."""
    changed = copy.deepcopy(document)
    _table(changed, section).pop(name, None)
    return changed


def find_faults_of(document: dict[str, Any]) -> list[Fault]:
    """Return everything that is wrong in a draft."""
    return list(find_document_faults(document))


def input_name(path: tuple[str, ...]) -> str:
    """Return the name of the input for a place in the document."""
    return FIELD_PREFIX + SEPARATOR.join(path)


def _general_row(document: dict[str, Any], error_by_path: dict) -> RowView:
    plain = [note for note in list_notes(Document) if note.name not in HIDDEN_FIELDS]
    fields = [_field(document, (note.name,), note, error_by_path) for note in plain]
    fields += [
        _field(document, ("retries", note.name), note, error_by_path)
        for note in list_notes(Retries)
    ]
    return RowView(name="", fields=fields)


def _row(
    document: dict[str, Any], path: tuple[str, str], struct: type[Struct], error_by_path: dict
) -> RowView:
    notes = list_notes(struct)
    fields = [_field(document, (*path, note.name), note, error_by_path) for note in notes]
    return RowView(name=path[1], fields=fields, error=error_by_path.get(path, ""))


def _field(
    document: dict[str, Any], path: tuple[str, ...], note: FieldNote, error_by_path: dict
) -> FieldView:
    value, type_ = _get(document, path), _type_at(path)
    is_list = get_origin(_plain(type_)) is list
    text = _format(value)
    return FieldView(
        name=input_name(path),
        note=note,
        value=text,
        options=_list_options(document, path, note, text),
        is_list=is_list,
        error=error_by_path.get(path, ""),
    )


def _list_options(
    document: dict[str, Any], path: tuple[str, ...], note: FieldNote, text: str
) -> list[str]:
    """Return what a field can be chosen from; what it has now is always among it."""
    if _type_at(path) is bool:
        options = list(BOOLEANS)
    elif path[0] == "services" and path[-1] == "pool":
        options = list(_table(document, "pools"))
    else:
        options = list(note.choices)
    if options and text and text not in options:
        options.append(text)
    return options


def _struct_of(section: str) -> type[Struct]:
    return inner_struct(_fields_of(Document)[section].type)


@functools.cache
def _fields_of(struct: type[Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {one.name: one for one in list_fields(struct)}


def _type_at(path: tuple[str, ...]) -> Any:
    """Return the type of a plain field by its place; None if there is no such field."""
    top = _fields_of(Document).get(path[0])
    if top is None:
        return None
    struct = inner_struct(top.type)
    if struct is None:
        return top.type if len(path) == 1 else None
    depth = 3 if get_origin(top.type) is dict else 2
    found = _fields_of(struct).get(path[-1]) if len(path) == depth else None
    return found.type if found is not None else None


def _plain(type_: Any) -> Any:
    return get_args(type_)[0] if get_origin(type_) is Annotated else type_


def _parse(text: str, type_: Any) -> Any:
    """Return the value that a text stands for; None if blank, the text if it stands for none."""
    text, plain = text.strip(), _plain(type_)
    if get_origin(plain) is list:
        return text.replace(",", " ").split()
    if not text:
        return None
    if plain is bool and text in BOOLEANS:
        return text == BOOLEANS[0]
    if plain is int or plain is float:
        return _parse_number(text, plain)
    return text


def _parse_number(text: str, type_: type) -> Any:
    try:
        number = type_(text)
    except ValueError:
        return text
    # Infinity, what is no number, and what would change on its way through the form.
    return number if abs(number) <= LARGEST_NUMBER else text


def _format(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return BOOLEANS[0] if value else BOOLEANS[1]
    if isinstance(value, list):
        return "\n".join(map(str, value))
    return str(value)


def _table(document: dict[str, Any], name: str) -> dict[str, Any]:
    table = document.get(name)
    return table if isinstance(table, dict) else {}


def _get(document: dict[str, Any], path: tuple[str, ...]) -> Any:
    value: Any = document
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _set(document: dict[str, Any], path: tuple[str, ...], value: Any) -> None:
    """Set a place, or clear it for None; an entry that is not there is not brought back."""
    *outer, last = path
    parent = document
    for depth, name in enumerate(outer):
        if not isinstance(parent.get(name), dict):
            if depth > 0 or value is None:
                return
            parent[name] = {}
        parent = parent[name]
    if value is None:
        parent.pop(last, None)
    else:
        parent[last] = value
