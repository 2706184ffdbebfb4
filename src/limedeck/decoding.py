"""Decoding of bytes that other programs write: they end as a value or as one error."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from limedeck import errors

Decoded = TypeVar("Decoded")
MAX_INTEGER = (1 << 63) - 1
"""Largest integer accepted: messages between nodes hold no larger ones."""
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]


class Undecodable(errors.LimedeckError):
    """The bytes are not what they should be."""


def decode(
    decoder: Callable[[bytes], Decoded],
    value: bytes,
    error_type: Callable[..., Exception] = Undecodable,
    *details: str,
) -> Decoded:
    """Decode a value.

    Besides its own error, the decoder raises `RecursionError` for values that are nested deeply,
    and the interpreter's `ValueError` for numbers of thousands of digits.

    Parameters
    ----------
    error_type, details
        The error to raise if the value cannot be decoded, and what it is created with before a
        description of the problem.
    """
    try:
        return decoder(value)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise error_type(*details, str(error)) from error
