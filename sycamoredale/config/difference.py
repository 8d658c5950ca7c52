"""Describe the differences between two configurations as text."""

import collections.abc
import enum
import functools
import typing
from typing import Final

import msgspec

from sycamoredale.config import model

SECTIONS: Final = (
    "zones",
    "services",
    "versions",
    "adapters",
    "organisations",
)
SECRET_FIELDS: Final = frozenset(("key_sha256",))


def describe(
    old: model.Configuration, new: model.Configuration
) -> collections.abc.Iterator[str]:
    """Yield one line for each difference."""
    for section in SECTIONS:
        yield from _compare_sections(
            getattr(old, section), getattr(new, section)
        )
    if old.limits != new.limits:
        yield f"change limits: {_format_changes(old.limits, new.limits)}"


def _compare_sections(
    old: collections.abc.Iterable[typing.Any],
    new: collections.abc.Iterable[typing.Any],
) -> collections.abc.Iterator[str]:
    old_by_title = {_title(entity): entity for entity in old}
    new_by_title = {_title(entity): entity for entity in new}
    for title, entity in old_by_title.items():
        if title not in new_by_title:
            yield f"remove {title}"
        elif new_by_title[title] != entity:
            yield _describe_change(entity, new_by_title[title])
    for title, entity in new_by_title.items():
        if title not in old_by_title:
            yield f"add {title}: {_format_fields(entity)}"


@functools.singledispatch
def _title(entity: object) -> str:
    """Return the kind and the name of an entity for a message."""
    raise TypeError(f"entity {entity!r} has no title")


@_title.register
def _service_title(entity: model.Service) -> str:
    return f"service {entity.name!r}"


@_title.register
def _version_title(entity: model.ModelVersion) -> str:
    return f"version {entity.name!r} of service {entity.service!r}"


@_title.register
def _adapter_title(entity: model.Adapter) -> str:
    return f"adapter {entity.name!r} of service {entity.service!r}"


@_title.register
def _organisation_title(entity: model.Organisation) -> str:
    return f"organisation {entity.name!r}"


@_title.register
def _zone_title(entity: model.Zone) -> str:
    return f"availability zone {entity.name!r}"


def _describe_change(old: typing.Any, new: typing.Any) -> str:
    if isinstance(old, model.Zone) and old.state is not new.state:
        if new.state is model.ZoneState.OUT:
            return f"take {_title(new)} out of service"
        return f"bring {_title(new)} back into service"
    return f"change {_title(new)}: {_format_changes(old, new)}"


def _format_changes(old: msgspec.Struct, new: msgspec.Struct) -> str:
    return ", ".join(
        _format_change(name, getattr(old, name), getattr(new, name))
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    )


def _format_change(name: str, old: object, new: object) -> str:
    if name in SECRET_FIELDS:
        return f"{name} replaced"
    return f"{name} from {_format_value(old)} to {_format_value(new)}"


def _format_fields(entity: msgspec.Struct) -> str:
    fields = (
        f"{name} {_format_value(getattr(entity, name))}"
        for name in entity.__struct_fields__
        if name not in ("name", "service", *SECRET_FIELDS)
    )
    return ", ".join(fields)


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, list):
        return msgspec.json.encode(value).decode()
    return repr(value) if isinstance(value, str) else str(value)
