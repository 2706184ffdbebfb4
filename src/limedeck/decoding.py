"""Decoding of bytes that other programs write: they end as a value or as one error."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from limedeck import errors

Decoded = TypeVar("Decoded")


class Undecodable(errors.LimedeckError):
    """The bytes are not what they should be."""


def decode(decoder: Callable[[bytes], Decoded], value: bytes) -> Decoded:
    """Decode a value.

    Besides its own error, the decoder raises `RecursionError` for values that are nested deeply,
    and the interpreter's `ValueError` for numbers of thousands of digits.

    Raises
    ------
    Undecodable
        The value cannot be decoded.
    """
    try:
        return decoder(value)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise Undecodable(str(error)) from error
