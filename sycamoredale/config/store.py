"""Store accepted configurations in the object API.

The parts of a configuration are written first. A conditional update of the
pointer object then accepts the configuration as a whole, so that an
incomplete upload has no effect.

A stored part contains the generation that it was last uploaded for. An
uploader that finds the part already stored writes it again with its own
generation if that is higher. A part that the pointer doesn't list may
therefore be deleted if its generation is not above the accepted one: an
update of the pointer to that generation has already succeeded or can only
fail. The deletion is conditional on the version that was read.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import msgspec

from sycamoredale.config import model
from sycamoredale.config import parts as parts_module
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects

MAX_ATTEMPTS: Final = 3


class StoredPart(msgspec.Struct, frozen=True):
    """Contain a part and the generation that it was last uploaded for."""

    generation: ids.Generation
    part: parts_module.Part


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """Contain a configuration, its generation and its pointer's version.

    `parts_by_digest` keeps the encoded parts, which are sent to peers.
    """

    generation: ids.Generation
    version: ids.ObjectVersion
    configuration: model.Configuration
    parts_by_digest: collections.abc.Mapping[str, parts_module.Part] = (
        dataclasses.field(default_factory=dict)
    )


NOTHING_ACCEPTED: Final = AcceptedConfiguration(
    ids.Generation(0), objects.ABSENT_VERSION, model.Configuration()
)


async def read(
    store: objects.ObjectStore,
    cached: AcceptedConfiguration = NOTHING_ACCEPTED,
) -> AcceptedConfiguration:
    """Return the accepted configuration.

    Parts in `cached` are not read again. Raises StoreUnavailable.
    """
    for _ in range(MAX_ATTEMPTS):
        stored = await store.get(model.POINTER_KIND, model.POINTER_NAME)
        if stored is None:
            return NOTHING_ACCEPTED
        accepted = await read_configuration(store, stored, cached)
        if accepted is not None:
            return accepted
    raise errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE,
        "parts of the accepted configuration are not in the store",
    )


async def read_configuration(
    store: objects.ObjectStore,
    stored: objects.StoredObject,
    cached: AcceptedConfiguration,
) -> AcceptedConfiguration | None:
    """Return the configuration that a pointer refers to.

    Returns None if a part has been deleted, because a newer configuration
    has been accepted meanwhile. Raises StoreUnavailable.
    """
    pointer = decode_pointer(stored)
    part_by_digest: dict[str, parts_module.Part] = {}
    for digest in pointer.parts:
        part = cached.parts_by_digest.get(digest)
        if part is None:
            stored_part = await store.get(model.PART_KIND, digest)
            if stored_part is None:
                return None
            part = _decode_part(stored_part).part
        part_by_digest[digest] = part
    return build(pointer.generation, stored.version, part_by_digest)


def build(
    generation: ids.Generation,
    version: ids.ObjectVersion,
    parts_by_digest: dict[str, parts_module.Part],
) -> AcceptedConfiguration:
    """Return the configuration that parts make up.

    Raises SycamoredaleError if a section is unknown.
    """
    configuration = parts_module.join(parts_by_digest.values())
    return AcceptedConfiguration(
        generation, version, configuration, parts_by_digest
    )


async def accept(
    store: objects.ObjectStore,
    base: AcceptedConfiguration,
    configuration: model.Configuration,
) -> AcceptedConfiguration:
    """Replace the accepted configuration `base` by a new one.

    Raises VersionConflict if another configuration has been accepted since
    `base` was read, and StoreUnavailable if the store is down. In both
    cases the accepted configuration is unchanged. Raises OutcomeUnknown if
    it is not known whether the update took effect.
    """
    generation = ids.Generation(base.generation + 1)
    part_by_digest = parts_module.split(configuration)
    for digest, part in part_by_digest.items():
        if digest not in base.parts_by_digest:
            await _write_part(store, digest, StoredPart(generation, part))
    pointer = model.Pointer(
        generation=generation,
        parts=list(part_by_digest),
        write_id=ids.WriteId(uuid.uuid4().hex),
    )
    version = await _write_pointer(store, pointer, base)
    return AcceptedConfiguration(
        generation, version, configuration, part_by_digest
    )


async def delete_unreferenced_parts(store: objects.ObjectStore) -> int:
    """Delete parts that no pointer can refer to; return their number.

    Raises StoreUnavailable.
    """
    listing = await store.list(model.PART_KIND)
    stored = await store.get(model.POINTER_KIND, model.POINTER_NAME)
    if stored is None:
        return 0
    pointer = decode_pointer(stored)
    deleted = 0
    for candidate in listing.objects:
        if candidate.name in pointer.parts:
            continue
        if _decode_part(candidate).generation > pointer.generation:
            continue
        try:
            await store.delete(
                model.PART_KIND,
                candidate.name,
                candidate.version,
            )
            deleted += 1
        except (errors.VersionConflict, errors.OutcomeUnknown):
            continue
    return deleted


def decode_pointer(stored: objects.StoredObject) -> model.Pointer:
    """Decode the pointer to the accepted configuration."""
    return decoding.decode_json(stored.value, model.Pointer)


async def _write_part(
    store: objects.ObjectStore, digest: str, part: StoredPart
) -> None:
    value = msgspec.json.encode(part)
    expected = objects.ABSENT_VERSION
    for _ in range(MAX_ATTEMPTS):
        try:
            await store.put(model.PART_KIND, digest, value, expected)
            return
        except (errors.VersionConflict, errors.OutcomeUnknown):
            existing = await store.get(model.PART_KIND, digest)
        expected = (
            objects.ABSENT_VERSION if existing is None else existing.version
        )
        if existing and _decode_part(existing).generation >= part.generation:
            return
    raise errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE,
        f"configuration part {digest} could not be written",
    )


async def _write_pointer(
    store: objects.ObjectStore,
    pointer: model.Pointer,
    base: AcceptedConfiguration,
) -> ids.ObjectVersion:
    value = msgspec.json.encode(pointer)
    try:
        return await store.put(
            model.POINTER_KIND, model.POINTER_NAME, value, base.version
        )
    except (errors.OutcomeUnknown, errors.VersionConflict) as error:
        return await _resolve_write(store, pointer, base, error)


async def _resolve_write(
    store: objects.ObjectStore,
    pointer: model.Pointer,
    base: AcceptedConfiguration,
    error: errors.SycamoredaleError,
) -> ids.ObjectVersion:
    """Return the version of a write that took effect, or raise its error.

    The stored pointer shows by its write ID whether the write took effect.
    If it cannot be read, the error of the write says what is known.
    """
    try:
        stored = await store.get(model.POINTER_KIND, model.POINTER_NAME)
    except errors.StoreUnavailable:
        raise error from None
    current = decode_pointer(stored) if stored else None
    if stored and current and current.write_id == pointer.write_id:
        return stored.version
    if current is None or current.generation <= base.generation:
        raise error
    raise errors.VersionConflict(
        error_codes.VERSION_CONFLICT,
        f"the file was prepared against generation {base.generation}, "
        f"but generation {current.generation} has been accepted since",
    )


def _decode_part(stored: objects.StoredObject) -> StoredPart:
    return decoding.decode_json(stored.value, StoredPart)
