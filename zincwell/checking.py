"""Validation of external values that reports every fault with the path of its field.

msgspec stops at the first fault and writes ``[...]`` for an entry of a mapping. Operators need
all faults at once, each with the name of the service or pool and what is allowed there.
"""

from __future__ import annotations

import enum
import functools
from collections.abc import Iterator, Sequence
from typing import Any, Literal, get_args, get_origin

import msgspec
from msgspec import Struct

MAX_SHOWN_LENGTH = 40


class Fault(Struct, frozen=True, kw_only=True):
    """One invalid value.

    :param path: field names from the outermost to the invalid field.
    :param message: what is allowed there.
    """

    path: tuple[str, ...]
    message: str

    @property
    def key(self) -> str:
        """Return the path as written in a TOML file."""
        return ".".join(self.path)

    def __str__(self) -> str:
        return f"{self.message} - at `$.{self.key}`" if self.path else self.message


def find_faults(value: Any, type_: Any, path: Sequence[str] = ()) -> Iterator[Fault]:
    """Yield the faults of a decoded value.

    :param value: value made of plain Python types, as decoded from TOML or JSON.
    :param type_: a struct, a mapping of names, an enumeration or any type that msgspec supports.
    :param path: path of the value in the whole document.
    """
    path = tuple(path)
    if is_struct(type_):
        yield from _find_in_struct(value, type_, path)
    elif get_origin(type_) is dict:
        yield from _find_in_mapping(value, type_, path)
    else:
        message = check_value(value, type_)
        if message:
            yield Fault(path=path, message=message)


def check_value(value: Any, type_: Any) -> str:
    """Return why a value is invalid for a type, or an empty string if it is valid."""
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        choices = list_choices(type_)
        if choices:
            return f"Expected one of {', '.join(choices)}, got {_abbreviate(value)}"
        return f"{_strip_location(error)}, got {_abbreviate(value)}"
    return ""


def list_choices(type_: Any) -> list[str]:
    """Return the values of an enumeration or a literal type; an empty list for other types."""
    if get_origin(type_) is Literal:
        return [str(choice) for choice in get_args(type_)]
    if isinstance(type_, type) and issubclass(type_, enum.Enum):
        return [str(choice.value) for choice in type_]
    return []


@functools.cache
def list_fields(struct: type[Struct]) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return the fields of a struct, cached because msgspec resolves their types at each call."""
    return msgspec.structs.fields(struct)


def is_struct(type_: Any) -> bool:
    """Return whether a type is a msgspec struct."""
    return isinstance(type_, type) and issubclass(type_, Struct)


def _find_in_struct(value: Any, type_: Any, path: tuple[str, ...]) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path=path, message=f"Expected a table, got {_abbreviate(value)}")
        return
    fields = list_fields(type_)
    names = [field.encode_name for field in fields]
    for name in value:
        if name not in names:
            yield Fault(path=(*path, name), message=f"Unknown key, allowed: {', '.join(names)}")
    for field in fields:
        inner = (*path, field.encode_name)
        if field.encode_name in value:
            yield from find_faults(value[field.encode_name], field.type, inner)
        elif field.required:
            yield Fault(path=inner, message="Missing, a value is required")


def _find_in_mapping(value: Any, type_: Any, path: tuple[str, ...]) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path=path, message=f"Expected a table, got {_abbreviate(value)}")
        return
    name_type, inner_type = get_args(type_)
    for name, inner in value.items():
        message = check_value(name, name_type)
        if message:
            yield Fault(path=(*path, name), message=f"Not allowed as a name: {message}")
        yield from find_faults(inner, inner_type, (*path, name))


def _strip_location(error: msgspec.ValidationError) -> str:
    """Return what msgspec expected, without the location and the type that it got."""
    return str(error).partition(" - at `")[0].partition(", got `")[0]


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[:MAX_SHOWN_LENGTH] + "..."
