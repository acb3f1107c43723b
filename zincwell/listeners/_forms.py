"""Form fields of the console, derived from the types of the document, and edits of a draft."""

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
from zincwell.reference import FieldDoc, list_field_docs, nested_struct

FIELD_PREFIX = "field/"
SEPARATOR = "/"
GENERAL = "general"
HIDDEN_FIELDS = {"format"}
MAX_EXACT_NUMBER = 2**53
BOOLEANS = ("true", "false")


@dataclass(frozen=True, kw_only=True)
class FieldView:
    """One input field.

    :param note: type, default and meaning of the field.
    :param value: current value as text.
    :param options: values of a drop-down list; empty for a text field.
    :param is_list: whether the value is a list, shown one item a line.
    :param error: message for an invalid value; empty if it is valid.
    """

    name: str
    note: FieldDoc
    value: str
    options: list[str] = field(default_factory=list)
    is_list: bool = False
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class RowView:
    """The input fields of one service, pool, urgency class or tenant."""

    name: str
    fields: list[FieldView]
    error: str = ""


@dataclass(frozen=True, kw_only=True)
class SectionView:
    """One page of the form.

    :param rows: one row for each named entry, or a single row without a name.
    :param faults: number of faults in the section.
    """

    name: str
    title: str
    hint: str
    notes: tuple[FieldDoc, ...]
    rows: list[RowView]
    faults: int

    @property
    def is_mapping(self) -> bool:
        """Return whether entries can be added and removed."""
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
    """Return the view of one section of a draft."""
    title, hint = TITLE_BY_SECTION[name]
    error_by_path = {fault.path: fault.message for fault in faults}
    if name == GENERAL:
        rows, notes = [_general_row(document, error_by_path)], ()
    else:
        struct = _entry_struct(name)
        notes = list_field_docs(struct)
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
    """Return the name of the section that shows a fault."""
    first = fault.path[0] if fault.path else GENERAL
    return first if first in TITLE_BY_SECTION else GENERAL


def list_unplaced_faults(faults: list[Fault], section: SectionView) -> list[str]:
    """Return the messages of a section's faults that belong to none of its input fields."""
    shown = {part.name for row in section.rows for part in row.fields}
    shown |= {input_name((section.name, row.name)) for row in section.rows}
    return [
        f"{fault.key}: {fault.message}"
        for fault in faults
        if section_of(fault) == section.name and input_name(fault.path) not in shown
    ]


def apply_fields(document: dict[str, Any], form: Iterable[tuple[str, str]]) -> dict[str, Any]:
    """Return a document with the form's values; an invalid value is kept as typed."""
    changed = copy.deepcopy(document)
    for name, text in form:
        path = tuple(name.removeprefix(FIELD_PREFIX).split(SEPARATOR))
        type_ = _type_at(path) if name.startswith(FIELD_PREFIX) else None
        if type_ is not None:
            _set_at(changed, path, _parse(text, type_))
    return changed


def add_entry(document: dict[str, Any], section: str, name: str) -> tuple[dict[str, Any], str]:
    """Add an empty entry to a section.

    :returns: the document and an error message, empty if the entry was added.
    """
    message = check_value(name, Name)
    if not message and name in _table(document, section):
        message = f"{name} is already there"
    if message:
        return document, message
    changed = copy.deepcopy(document)
    changed.setdefault(section, {})[name] = {}
    return changed, ""


def remove_entry(document: dict[str, Any], section: str, name: str) -> dict[str, Any]:
    """Return a copy of a document without an entry of a section."""
    changed = copy.deepcopy(document)
    _table(changed, section).pop(name, None)
    return changed


def find_draft_faults(document: dict[str, Any]) -> list[Fault]:
    """Return all faults of a draft's document."""
    return list(find_document_faults(document))


def input_name(path: tuple[str, ...]) -> str:
    """Return the name of the input field for a path in the document."""
    return FIELD_PREFIX + SEPARATOR.join(path)


def _general_row(document: dict[str, Any], error_by_path: dict) -> RowView:
    plain = [note for note in list_field_docs(Document) if note.name not in HIDDEN_FIELDS]
    fields = [_field(document, (note.name,), note, error_by_path) for note in plain]
    fields += [
        _field(document, ("retries", note.name), note, error_by_path)
        for note in list_field_docs(Retries)
    ]
    return RowView(name="", fields=fields)


def _row(
    document: dict[str, Any], path: tuple[str, str], struct: type[Struct], error_by_path: dict
) -> RowView:
    notes = list_field_docs(struct)
    fields = [_field(document, (*path, note.name), note, error_by_path) for note in notes]
    return RowView(name=path[1], fields=fields, error=error_by_path.get(path, ""))


def _field(
    document: dict[str, Any], path: tuple[str, ...], note: FieldDoc, error_by_path: dict
) -> FieldView:
    value, type_ = _get_at(document, path), _type_at(path)
    is_list = get_origin(_strip_annotation(type_)) is list
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
    document: dict[str, Any], path: tuple[str, ...], note: FieldDoc, text: str
) -> list[str]:
    """Return the values to choose from, always including the current one; empty for free text."""
    if _type_at(path) is bool:
        options = list(BOOLEANS)
    elif path[0] == "services" and path[-1] == "pool":
        options = list(_table(document, "pools"))
    else:
        options = list(note.choices)
    if options and text and text not in options:
        options.append(text)
    return options


def _entry_struct(section: str) -> type[Struct]:
    return nested_struct(_fields_of(Document)[section].type)


@functools.cache
def _fields_of(struct: type[Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {one.name: one for one in list_fields(struct)}


def _type_at(path: tuple[str, ...]) -> Any:
    """Return the type of the scalar or list field at a path; None if there is no such field."""
    top = _fields_of(Document).get(path[0])
    if top is None:
        return None
    struct = nested_struct(top.type)
    if struct is None:
        return top.type if len(path) == 1 else None
    depth = 3 if get_origin(top.type) is dict else 2
    found = _fields_of(struct).get(path[-1]) if len(path) == depth else None
    return found.type if found is not None else None


def _strip_annotation(type_: Any) -> Any:
    return get_args(type_)[0] if get_origin(type_) is Annotated else type_


def _parse(text: str, type_: Any) -> Any:
    """Parse a text as a type; return None for a blank scalar and the text itself if invalid."""
    text, plain = text.strip(), _strip_annotation(type_)
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
    # Infinity, NaN and numbers too large to survive the form unchanged stay text.
    return number if abs(number) <= MAX_EXACT_NUMBER else text


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


def _get_at(document: dict[str, Any], path: tuple[str, ...]) -> Any:
    value: Any = document
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _set_at(document: dict[str, Any], path: tuple[str, ...], value: Any) -> None:
    """Set the value at a path, or remove it for None.

    Does not recreate an entry that has been removed.
    """
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
