"""Split a configuration into parts that are stored separately.

The entities of a section are distributed over shards by a hash of their
names, so that a change to one entity replaces one small part, wherever the
entity is in the file. The number of shards doubles as a section grows. A
part is immutable and is named by the digest of its content.
"""

import collections
import collections.abc
import hashlib
import typing
from typing import Final

import msgspec
import xxhash

from sycamoredale.config import model
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids

ENTITIES_PER_SHARD: Final = 32
DIGEST_BYTES: Final = 16
LIMITS_SECTION: Final = "limits"

TYPE_BY_SECTION: Final[dict[str, typing.Any]] = {
    "services": list[model.Service],
    "versions": list[model.ModelVersion],
    "adapters": list[model.Adapter],
    "organisations": list[model.Organisation],
    "zones": list[model.Zone],
    LIMITS_SECTION: list[model.Limits],
}


class Part(msgspec.Struct, frozen=True):
    """Contain one shard of a section; `entities` is a JSON array."""

    section: str
    entities: msgspec.Raw


def compute_digest(part: Part) -> str:
    """Return the digest of a part's content in hexadecimal."""
    content = part.section.encode() + b"\0" + bytes(part.entities)
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def split(configuration: model.Configuration) -> dict[str, Part]:
    """Return the parts of a configuration by digest."""
    parts = [
        part
        for section in TYPE_BY_SECTION
        for part in _split_section(configuration, section)
    ]
    return {compute_digest(part): part for part in parts}


def join(
    parts: collections.abc.Iterable[Part],
) -> model.Configuration:
    """Return the configuration that parts make up.

    Entities are sorted by name. Raises SycamoredaleError if a section is
    unknown.
    """
    entities_by_section: dict[str, list[typing.Any]] = collections.defaultdict(
        list
    )
    for part in parts:
        entity_type = TYPE_BY_SECTION.get(part.section)
        if entity_type is None:
            raise errors.SycamoredaleError(
                error_codes.INVALID_CONFIGURATION,
                f"section {part.section!r} is not supported by this version",
            )
        entities_by_section[part.section] += decoding.decode_json(
            part.entities, entity_type
        )
    limits = entities_by_section.pop(LIMITS_SECTION, [model.Limits()])[0]
    for entities in entities_by_section.values():
        entities.sort(key=lambda entity: str(entity.name))
    return model.Configuration(limits=limits, **entities_by_section)


def _split_section(
    configuration: model.Configuration, section: str
) -> collections.abc.Iterator[Part]:
    if section == LIMITS_SECTION:
        yield _encode_part(section, [configuration.limits])
        return
    entities = getattr(configuration, section)
    count = shard_count(len(entities))
    entities_by_shard: dict[int, list[typing.Any]] = collections.defaultdict(
        list
    )
    for entity in sorted(entities, key=lambda e: str(e.name)):
        entities_by_shard[_shard_index(entity, count)].append(entity)
    for shard in sorted(entities_by_shard):
        yield _encode_part(section, entities_by_shard[shard])


def shard_count(entities: int) -> int:
    """Return the number of shards of a section: a power of two."""
    count = 1
    while count * ENTITIES_PER_SHARD < entities:
        count *= 2
    return count


def _shard_index(entity: typing.Any, count: int) -> int:
    name = _qualified_name(entity)
    return xxhash.xxh64_intdigest(name.encode()) % count


def _qualified_name(entity: typing.Any) -> str:
    service = getattr(entity, "service", ids.ServiceName(""))
    return f"{service}/{entity.name}"


def _encode_part(section: str, entities: list[typing.Any]) -> Part:
    return Part(section, msgspec.Raw(msgspec.json.encode(entities)))
