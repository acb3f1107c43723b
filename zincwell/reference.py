"""Reference of the settings and the configuration document, generated from the code.

Run ``zincwell reference > docs/settings.md`` after changing either; a test compares the two.
"""

from __future__ import annotations

import enum
import functools
import re
from collections.abc import Iterator
from typing import Annotated, Any, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Meta, Struct

from zincwell.checking import is_struct, list_choices, list_fields
from zincwell.document import Document
from zincwell.settings import Settings

INTRODUCTION = """\
# Settings and the configuration document

Made by `zincwell reference` from the code; change the code, not this page.

*Settings* tell one process what differs from VM to VM: addresses, failure domain, files of
secrets. They are a TOML file, read once at the start by `zincwell entry FILE`.

The *configuration document* is what operators agree on for the whole system. It is published
through the platform's log (`zincwell config publish`, or the console) and comes into force on
every entry without a restart. Write it in TOML, too.

In both, an unknown key is refused, and so is a value that is not allowed; the error names the
file, the key and what is allowed.
"""
SETTINGS_NOTE = """\
Besides: `timing.peer_silence_s` must be over twice `timing.seat_lease_s`, which must be over
three times `timing.heartbeat_s`. A listener for peers or operators without its secret must be
on a loopback address.
"""
DOCUMENT_NOTE = """\
Each service must name one of the pools, and no domain may stand twice. Names are 1 to 64
letters, digits, dots, underscores and hyphens.
"""
PARAM_PATTERN = re.compile(r":param (\w+):(.*?)(?=\n\s*:param |\Z)", re.DOTALL)


class FieldDoc(Struct, frozen=True, kw_only=True):
    """Documentation of one field.

    :param default: default value in TOML syntax; empty if the field is required.
    """

    name: str
    type: str
    default: str
    meaning: str
    choices: list[str] = []


@functools.cache
def list_field_docs(struct: type[Struct]) -> tuple[FieldDoc, ...]:
    """Return the documentation of each field of a struct that is not a table itself."""
    meaning_by_name = parse_field_docs(struct)
    return tuple(
        FieldDoc(
            name=field.name,
            type=describe_type(field.type),
            default=describe_default(field),
            meaning=meaning_by_name.get(field.name, ""),
            choices=list_choices(field.type),
        )
        for field in list_fields(struct)
        if nested_struct(field.type) is None
    )


def parse_field_docs(struct: type[Struct]) -> dict[str, str]:
    """Return the ``:param:`` texts of a struct's docstring by field name."""
    found = PARAM_PATTERN.findall(struct.__doc__ or "")
    return {name: " ".join(text.split()) for name, text in found}


def describe_type(type_: Any) -> str:
    """Return the description of a type with its bounds."""
    choices = list_choices(type_)
    if choices:
        return "one of " + ", ".join(f"`{choice}`" for choice in choices)
    if get_origin(type_) is Annotated:
        base, meta = get_args(type_)
        return describe_type(base) + describe_bounds(meta)
    if get_origin(type_) is list:
        return f"list of {describe_type(get_args(type_)[0])}"
    return {"str": "string", "int": "integer", "float": "number", "bool": "true or false"}[
        type_.__name__
    ]


def describe_bounds(meta: Meta) -> str:
    """Return the description of the bounds of a value."""
    if meta.pattern is not None:
        return " (a name)"
    bounds = {"≥": meta.ge, ">": meta.gt, "≤": meta.le, "<": meta.lt}
    limits = [f"{sign} {bound:,}" for sign, bound in bounds.items() if bound is not None]
    if meta.min_length:
        limits.append("not empty")
    return f", {', '.join(limits)}" if limits else ""


def describe_default(field: msgspec.structs.FieldInfo) -> str:
    """Return a field's default in TOML syntax; empty if there is none."""
    if field.default is NODEFAULT:
        return ""
    value = field.default
    if isinstance(value, enum.Enum):
        return f'"{value.value}"'
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def nested_struct(type_: Any) -> type[Struct] | None:
    """Return the struct that a field, or each value of a mapping, holds; None if there is none."""
    if get_origin(type_) is dict:
        type_ = get_args(type_)[1]
    return type_ if is_struct(type_) else None


def make_reference() -> str:
    """Return the reference page in Markdown."""
    lines = [INTRODUCTION, "## Settings", "", SETTINGS_NOTE]
    lines += _describe_tables(Settings)
    lines += ["## Configuration document", "", DOCUMENT_NOTE]
    lines += _describe_tables(Document)
    return "\n".join(lines).rstrip() + "\n"


def _describe_tables(struct: type[Struct]) -> Iterator[str]:
    yield from _describe_table("at the top", struct)
    for field in list_fields(struct):
        inner = nested_struct(field.type)
        if inner is not None:
            yield from _describe_table(_heading(field), inner)


def _heading(field: msgspec.structs.FieldInfo) -> str:
    is_mapping = get_origin(field.type) is dict
    return f"`[{field.name}.NAME]`" if is_mapping else f"`[{field.name}]`"


def _describe_table(heading: str, struct: type[Struct]) -> Iterator[str]:
    yield f"### {heading}"
    yield ""
    yield struct.__doc__.partition("\n")[0]
    yield ""
    yield "| key | type | default | meaning |"
    yield "|---|---|---|---|"
    for note in list_field_docs(struct):
        default = f"`{note.default}`" if note.default else "required"
        yield f"| `{note.name}` | {note.type} | {default} | {_capitalize_first(note.meaning)} |"
    yield ""


def _capitalize_first(text: str) -> str:
    return text[:1].upper() + text[1:]
