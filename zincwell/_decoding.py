"""Decoding of JSON that other programs have written."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from zincwell.exceptions import MalformedJsonError

T = TypeVar("T")


@functools.cache
def make_decoder(type_: type[T] | Any, *, strict: bool = True) -> Callable[[bytes], T]:
    """Return a function that decodes JSON to a type.

    It raises `MalformedJsonError`, and nothing else, for whatever it is given. msgspec raises
    RecursionError for values that are nested more than about 1,000 levels deep, also where it
    skips them, and UnicodeDecodeError for some texts.

    :param strict: whether numbers must not be given as text.
    """
    decoder = msgspec.json.Decoder(type_, strict=strict)

    def decode(raw: bytes) -> T:
        try:
            return decoder.decode(raw)
        except RecursionError as error:
            raise MalformedJsonError("nested too deeply") from error
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedJsonError(str(error)) from error

    return decode


def convert(value: object, type_: type[T], *, strict: bool = True) -> T:
    """Convert a decoded JSON value to a type.

    :raises MalformedJsonError: if it has another type, or is nested too deeply.
    """
    try:
        return msgspec.convert(value, type_, strict=strict)
    except RecursionError as error:
        raise MalformedJsonError("nested too deeply") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedJsonError(str(error)) from error
