"""Decode JSON and MessagePack that other processes have written.

Whatever is wrong with the input, also its nesting or the size of a number,
raises `MalformedInput`, so that a caller needs to expect one error only.
"""

import re
import typing
from typing import Final

import msgspec

# Deeper than any message of the system or of the platform.
MAX_DEPTH: Final = 64
# Numbers up to here survive each encoding, and arithmetic with them is exact.
MAX_INTEGER: Final = 2**53
# Skips strings, and takes brackets of one direction together.
_BRACKETS: Final = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"|([\[{]++)|([\]}]++)', re.DOTALL
)
# What the decoders raise beside msgspec.DecodeError.
_DECODER_ERRORS: Final = (ValueError, RecursionError, OverflowError)

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

_T = typing.TypeVar("_T")
_T_co = typing.TypeVar("_T_co", covariant=True)


class MalformedInput(msgspec.DecodeError):
    """Report that input cannot be decoded."""


class _Decoder(typing.Protocol[_T_co]):
    def decode(self, data: typing.Any, /) -> _T_co: ...


class JsonDecoder(typing.Generic[_T]):
    """Decode JSON as one type; reuse is faster than `decode_json`."""

    def __init__(self, kind: type[_T]) -> None:
        """Compile the decoder of a type."""
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, data: bytes | msgspec.Raw) -> _T:
        """Decode a value; raise MalformedInput."""
        return _decode(self._decoder, data)


class MessagePackDecoder(typing.Generic[_T]):
    """Decode MessagePack as one type."""

    def __init__(self, kind: type[_T]) -> None:
        """Compile the decoder of a type."""
        self._decoder = msgspec.msgpack.Decoder(kind)

    def decode(self, data: bytes) -> _T:
        """Decode a value; raise MalformedInput."""
        return _decode(self._decoder, data)


@typing.overload
def decode_json(data: bytes | msgspec.Raw) -> typing.Any: ...


@typing.overload
def decode_json(data: bytes | msgspec.Raw, kind: type[_T]) -> _T: ...


def decode_json(
    data: bytes | msgspec.Raw, kind: typing.Any = typing.Any
) -> typing.Any:
    """Decode JSON as a type; raise MalformedInput."""
    try:
        return msgspec.json.decode(data, type=kind)
    except _DECODER_ERRORS as error:
        raise _malformed(error) from error


def without_deep_values(data: bytes) -> bytes:
    """Replace each value below MAX_DEPTH levels of JSON by null.

    Decoders refuse a document for the depth of a value that they would skip.
    """
    kept: list[bytes] = []
    depth = 0
    copied_to = 0
    for match in _BRACKETS.finditer(data):
        opened, closed = match.group(1), match.group(2)
        if opened is not None:
            if depth <= MAX_DEPTH < depth + len(opened):
                cut_at = match.start() + MAX_DEPTH - depth
                kept.append(data[copied_to:cut_at] + b"null")
            depth += len(opened)
        elif closed is not None:
            if depth > MAX_DEPTH >= depth - len(closed):
                copied_to = match.start() + depth - MAX_DEPTH
            depth -= len(closed)
    if depth > MAX_DEPTH:
        return b"".join(kept)
    return b"".join([*kept, data[copied_to:]])


def _decode(decoder: _Decoder[_T], data: bytes | msgspec.Raw) -> _T:
    try:
        return decoder.decode(data)
    except _DECODER_ERRORS as error:
        raise _malformed(error) from error


def _malformed(error: Exception) -> MalformedInput:
    if isinstance(error, RecursionError):
        return MalformedInput("the input is nested too deeply")
    return MalformedInput(str(error))
