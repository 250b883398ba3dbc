"""Decodes JSON that other processes have written."""

import functools
import re
from collections.abc import Iterator
from typing import TypeVar

import msgspec

T = TypeVar("T")

# Larger integers are not exact in many JSON implementations, and those above
# 64 bits cannot be stored as MessagePack.
MAX_INTEGER = (1 << 53) - 1
# Far more than any message has. How deep a decoder may recurse depends on the
# stack of its caller, so it differs from one process to another.
MAX_DEPTH = 100

# A string, also one that is not closed, or the begin or end of a container.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)|[\[{\]}]', re.DOTALL)


def decode_json(data: bytes | str | msgspec.Raw, expected_type: type[T]) -> T:
    """Decodes a JSON value of a type.

    Raises:
        msgspec.DecodeError: the data is malformed, of another type, or nested
            too deeply.
    """
    try:
        return _decoder_of(expected_type).decode(data)
    except RecursionError as error:
        # msgspec reports deep nesting by the error of the interpreter.
        raise msgspec.DecodeError("JSON is nested too deeply") from error
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(str(error)) from error


def is_too_deep(data: bytes) -> bool:
    """Whether values are nested deeper than MAX_DEPTH in JSON data."""
    if data.count(b"[") + data.count(b"{") <= MAX_DEPTH:
        return False
    return any(depth > MAX_DEPTH for depth in _depths(data))


def cut_deep_values(data: bytes) -> bytes:
    """Returns JSON data in which values below MAX_DEPTH are null.

    Other values of the same data can then be decoded.
    """
    parts = []
    copied = 0
    depth = 0
    for token in _TOKEN.finditer(data):
        match token.group()[:1]:
            case b"[" | b"{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    parts += (data[copied : token.start()], b"null")
            case b"]" | b"}":
                if depth == MAX_DEPTH + 1:
                    copied = token.end()
                depth -= 1
    if depth <= MAX_DEPTH:
        parts.append(data[copied:])
    return b"".join(parts)


def _depths(data: bytes) -> Iterator[int]:
    """Yields the depth after each begin and end of a container."""
    depth = 0
    for token in _TOKEN.finditer(data):
        match token.group()[:1]:
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
        yield depth


@functools.cache
def _decoder_of(expected_type: type[T]) -> msgspec.json.Decoder[T]:
    return msgspec.json.Decoder(expected_type)
