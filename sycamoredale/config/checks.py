"""Validate the records of a configuration file.

The reader has already checked types and keys. The checks in this module
yield a finding for each value that is not allowed and for each conflict
between records.
"""

import collections.abc
import functools
import itertools
import math
import re
import typing
from typing import Final

from sycamoredale.config import findings
from sycamoredale.config import model
from sycamoredale.config import reader

FindingIterator = collections.abc.Iterator[findings.Finding]
NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KEY_HASH_PATTERN: Final = re.compile(r"[0-9a-f]{64}")
METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
NAMED_SECTIONS: Final = {
    "services": "service",
    "versions": "version",
    "adapters": "adapter",
    "organisations": "organisation",
    "zones": "availability zone",
}


def check(document: reader.Document) -> FindingIterator:
    """Yield the findings of all records, alone and in combination."""
    for path, record in document.records_by_path.items():
        yield from _check_record(record, document, path)
    yield from _check_duplicate_names(document)
    yield from _check_duplicate_keys(document)
    yield from _check_references(document)


@functools.singledispatch
def _check_record(
    record: object, document: reader.Document, path: reader.Path
) -> FindingIterator:
    """Yield the findings that concern one record alone."""
    del record, document, path
    yield from ()


@_check_record.register
def _check_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> FindingIterator:
    field = functools.partial(_check_field, document, path)
    yield from _check_name(document, path, record.name)
    yield from field("replicas", record.replicas, record.replicas >= 0)
    for name in ("instances_per_replica", "cold_limit", "capacity"):
        value = getattr(record, name)
        yield from field(name, value, value >= 1, "1 or more")
    if record.cold_limit > record.capacity >= 1:
        yield _contradiction(
            document,
            (*path, "cold_limit"),
            f"has cold_limit {record.cold_limit} above its capacity "
            f"{record.capacity}",
        )
    if record.kind is model.ServiceKind.PLAIN:
        yield from _check_plain_service(record, document, path)
    else:
        yield from _check_model_service(record, document, path)


@_check_record.register
def _check_route(
    record: model.Route, document: reader.Document, path: reader.Path
) -> FindingIterator:
    is_valid = record.path.startswith("/") and "?" not in record.path
    yield from _check_field(
        document,
        path,
        "path",
        record.path,
        is_valid,
        "a path that begins with /",
    )
    for method in record.methods:
        yield from _check_field(
            document,
            path,
            "methods",
            method,
            method in METHODS,
            f"one of {', '.join(METHODS)}",
        )


@_check_record.register(model.ModelVersion)
@_check_record.register(model.Adapter)
def _check_weights(
    record: model.ModelVersion | model.Adapter,
    document: reader.Document,
    path: reader.Path,
) -> FindingIterator:
    yield from _check_name(document, path, record.name)
    yield from _check_field(
        document,
        path,
        "weights",
        record.weights,
        bool(record.weights.strip()),
        "the name of weights in the weight store",
    )


@_check_record.register
def _check_organisation(
    record: model.Organisation, document: reader.Document, path: reader.Path
) -> FindingIterator:
    yield from _check_name(document, path, record.name)
    yield from _check_field(
        document,
        path,
        "key_sha256",
        record.key_sha256,
        KEY_HASH_PATTERN.fullmatch(record.key_sha256) is not None,
        "64 hexadecimal digits in lower case, the SHA-256 of the key",
    )
    for name in ("weight", "max_concurrent"):
        value = getattr(record, name)
        yield from _check_field(
            document, path, name, value, value >= 1, "1 or more"
        )


@_check_record.register
def _check_zone(
    record: model.Zone, document: reader.Document, path: reader.Path
) -> FindingIterator:
    yield from _check_name(document, path, record.name)


@_check_record.register
def _check_limits(
    record: model.Limits, document: reader.Document, path: reader.Path
) -> FindingIterator:
    for name in record.__struct_fields__:
        value = getattr(record, name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        is_valid = math.isfinite(value) and value > 0
        yield from _check_field(
            document, path, name, value, is_valid, "above 0"
        )


def _check_plain_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> FindingIterator:
    if record.instances_per_replica > 1:
        yield _contradiction(
            document,
            (*path, "instances_per_replica"),
            "is a plain service, which has 1 instance per replica, not "
            f"{record.instances_per_replica}",
        )
    if record.version:
        yield _contradiction(
            document,
            (*path, "version"),
            "is a plain service, which must not have a model version",
        )
    declared: set[tuple[str, str]] = set()
    for index, route in enumerate(record.routes):
        for operation in itertools.product((route.path,), route.methods):
            if operation in declared:
                yield _contradiction(
                    document,
                    (*path, "routes", index),
                    f"declares {operation[1]} {operation[0]!r} twice",
                )
            declared.add(operation)


def _check_model_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> FindingIterator:
    if not record.version:
        yield _contradiction(
            document, path, "is a model service and has no version"
        )
    if record.routes:
        yield _contradiction(
            document,
            (*path, "routes"),
            "is a model service, whose paths are fixed and which must not "
            "have routes",
        )


def _check_duplicate_names(document: reader.Document) -> FindingIterator:
    for section, kind in NAMED_SECTIONS.items():
        first_by_name: dict[tuple[str, str], findings.Position] = {}
        for index, name in _names_in_section(document, section):
            service = document.value_by_path.get(
                (section, index, "service"), ""
            )
            position = document.position_of(section, index, "name")
            first = first_by_name.setdefault((service, name), position)
            if first is not position:
                yield findings.duplicate_name(kind, name, first).at(position)


def _check_duplicate_keys(document: reader.Document) -> FindingIterator:
    first_by_hash: dict[str, findings.Position] = {}
    for index, _ in _names_in_section(document, "organisations"):
        path = ("organisations", index, "key_sha256")
        key_hash = document.value_by_path.get(path)
        if key_hash is None:
            continue
        position = document.position_of(*path)
        first = first_by_hash.setdefault(key_hash, position)
        if first is not position:
            yield findings.duplicate_name("API key", key_hash, first).at(
                position
            )


def _check_references(document: reader.Document) -> FindingIterator:
    services = {name for _, name in _names_in_section(document, "services")}
    versions = {
        (document.value_by_path.get(("versions", index, "service")), name)
        for index, name in _names_in_section(document, "versions")
    }
    for section in ("versions", "adapters"):
        for index, _ in _names_in_section(document, section):
            path = (section, index, "service")
            service = document.value_by_path.get(path)
            if service is not None and service not in services:
                yield _dangling_reference(document, path, "service", service)
    for index, name in _names_in_section(document, "services"):
        path = ("services", index, "version")
        version = document.value_by_path.get(path)
        kind = document.value_by_path.get(("services", index, "kind"))
        if version and kind == model.ServiceKind.MODEL.value:
            if (name, version) not in versions:
                yield _dangling_reference(document, path, "version", version)


def _names_in_section(
    document: reader.Document, section: str
) -> collections.abc.Iterator[tuple[int, str]]:
    for path, value in document.value_by_path.items():
        match path:
            case (path_section, int(index), "name") if path_section == section:
                yield index, value


def _check_name(
    document: reader.Document, path: reader.Path, name: str
) -> FindingIterator:
    yield from _check_field(
        document,
        path,
        "name",
        name,
        NAME_PATTERN.fullmatch(name) is not None,
        "at most 63 letters, digits, dots, dashes and underscores, "
        "beginning with a letter or digit",
    )


def _check_field(
    document: reader.Document,
    path: reader.Path,
    name: str,
    value: typing.Any,
    is_valid: bool,
    expected: str = "0 or more",
) -> FindingIterator:
    if not is_valid:
        subject = f"{name!r} of {reader.record_label(path, document)}"
        problem = findings.bad_value(subject, value, expected)
        yield problem.at(document.position_of(*path, name))


def _contradiction(
    document: reader.Document, path: reader.Path, description: str
) -> findings.Finding:
    record = reader.record_label(path[:2], document)
    return findings.contradiction(record, description).at(
        document.position_of(*path)
    )


def _dangling_reference(
    document: reader.Document, path: reader.Path, kind: str, name: str
) -> findings.Finding:
    record = reader.record_label(path[:2], document)
    problem = findings.dangling_reference(record, kind, name)
    return problem.at(document.position_of(*path))
