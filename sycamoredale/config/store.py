"""Keep accepted configurations in the object API.

A file is split into parts under the size that the store holds; each part
is named by its digest and never changes.  One conditional update of the
pointer object then accepts the file as a whole, so a half-finished upload
has no effect.
"""

import collections.abc
import dataclasses
import hashlib
from typing import Final
import uuid

import msgspec

from sycamoredale.config import model
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.platform import objects

PART_TEXT_CHARACTERS: Final = 400_000


class Part(msgspec.Struct, frozen=True):
    """Hold one piece of a configuration in JSON text."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Hold a configuration with its generation and pointer version."""

    generation: ids.Generation
    version: ids.ObjectVersion
    configuration: model.Configuration


NOTHING_ACCEPTED: Final = Accepted(
    ids.Generation(0), objects.ABSENT, model.Configuration()
)


async def read(store: objects.ObjectStore) -> Accepted:
    """Return the accepted configuration; raise StoreUnavailable."""
    stored = await store.get(model.KIND, model.POINTER_NAME)
    if stored is None:
        return NOTHING_ACCEPTED
    pointer = decode_pointer(stored)
    texts = [await _read_part(store, digest) for digest in pointer.parts]
    configuration = msgspec.json.decode(
        "".join(texts), type=model.Configuration
    )
    return Accepted(pointer.generation, stored.version, configuration)


async def accept(
    store: objects.ObjectStore,
    seen: Accepted,
    configuration: model.Configuration,
) -> Accepted:
    """Replace the configuration that the operator saw.

    Raises VersionConflict if another operator was faster and
    StoreUnavailable if the store is down; both change nothing.
    """
    digests = []
    for text in _split(configuration):
        digests.append(await _write_part(store, text))
    pointer = model.Pointer(
        generation=ids.Generation(seen.generation + 1),
        parts=digests,
        write_id=ids.WriteId(uuid.uuid4().hex),
    )
    version = await _write_pointer(store, pointer, seen.version)
    return Accepted(pointer.generation, version, configuration)


def decode_pointer(stored: objects.StoredObject) -> model.Pointer:
    """Return the pointer that an object holds."""
    return msgspec.json.decode(stored.value, type=model.Pointer)


def _split(
    configuration: model.Configuration,
) -> collections.abc.Iterator[str]:
    text = msgspec.json.encode(configuration).decode()
    for start in range(0, len(text), PART_TEXT_CHARACTERS):
        yield text[start : start + PART_TEXT_CHARACTERS]


async def _read_part(store: objects.ObjectStore, digest: str) -> str:
    stored = await store.get(model.PART_KIND, digest)
    if stored is None:
        raise errors.StoreUnavailable(
            error_codes.STORE_UNAVAILABLE,
            f"configuration part {digest} is not in the store",
        )
    return msgspec.json.decode(stored.value, type=Part).text


async def _write_part(store: objects.ObjectStore, text: str) -> str:
    digest = hashlib.sha256(text.encode()).hexdigest()
    value = msgspec.json.encode(Part(text))
    try:
        await store.put(model.PART_KIND, digest, value, objects.ABSENT)
    except errors.VersionConflict:
        pass  # The name is the digest, so the same part is there already.
    return digest


async def _write_pointer(
    store: objects.ObjectStore,
    pointer: model.Pointer,
    expected: ids.ObjectVersion,
) -> ids.ObjectVersion:
    value = msgspec.json.encode(pointer)
    try:
        return await store.put(model.KIND, model.POINTER_NAME, value, expected)
    except errors.OutcomeUnknown:
        stored = await store.get(model.KIND, model.POINTER_NAME)
        if stored is None:
            raise
        if decode_pointer(stored).write_id != pointer.write_id:
            raise
        return stored.version
