"""Check that the records of a file make sense, alone and together.

Each check yields findings; the reader has settled types and keys.
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

Found = collections.abc.Iterator[findings.Finding]
NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KEY_HASH: Final = re.compile(r"[0-9a-f]{64}")
METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
NAMED_SECTIONS: Final = {
    "services": "service",
    "versions": "version",
    "adapters": "adapter",
    "organisations": "organisation",
    "zones": "availability zone",
}


def check(document: reader.Document) -> Found:
    """Yield the findings of a document that has been read."""
    for path, record in document.records_by_path.items():
        yield from _check(record, document, path)
    yield from _duplicate_names(document)
    yield from _duplicate_keys(document)
    yield from _references(document)


@functools.singledispatch
def _check(
    record: object, document: reader.Document, path: reader.Path
) -> Found:
    """Yield what is wrong in one record, seen alone."""
    del record, document, path
    yield from ()


@_check.register
def _check_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> Found:
    field = functools.partial(_field, document, path)
    yield from _name(document, path, record.name)
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
        yield from _plain_service(record, document, path)
    else:
        yield from _model_service(record, document, path)


@_check.register
def _check_route(
    record: model.Route, document: reader.Document, path: reader.Path
) -> Found:
    right = record.path.startswith("/") and "?" not in record.path
    yield from _field(
        document, path, "path", record.path, right, "a path that begins with /"
    )
    for method in record.methods:
        yield from _field(
            document,
            path,
            "methods",
            method,
            method in METHODS,
            f"one of {', '.join(METHODS)}",
        )


@_check.register(model.ModelVersion)
@_check.register(model.Adapter)
def _check_weights(
    record: model.ModelVersion | model.Adapter,
    document: reader.Document,
    path: reader.Path,
) -> Found:
    yield from _name(document, path, record.name)
    yield from _field(
        document,
        path,
        "weights",
        record.weights,
        bool(record.weights.strip()),
        "the name of weights in the weight store",
    )


@_check.register
def _check_organisation(
    record: model.Organisation, document: reader.Document, path: reader.Path
) -> Found:
    yield from _name(document, path, record.name)
    yield from _field(
        document,
        path,
        "key_sha256",
        record.key_sha256,
        KEY_HASH.fullmatch(record.key_sha256) is not None,
        "64 hexadecimal digits in lower case, the SHA-256 of the key",
    )
    for name in ("weight", "max_concurrent"):
        value = getattr(record, name)
        yield from _field(document, path, name, value, value >= 1, "1 or more")


@_check.register
def _check_zone(
    record: model.Zone, document: reader.Document, path: reader.Path
) -> Found:
    yield from _name(document, path, record.name)


@_check.register
def _check_limits(
    record: model.Limits, document: reader.Document, path: reader.Path
) -> Found:
    for name in record.__struct_fields__:
        value = getattr(record, name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        right = math.isfinite(value) and value > 0
        yield from _field(document, path, name, value, right, "above 0")


def _plain_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> Found:
    if record.instances_per_replica > 1:
        yield _contradiction(
            document,
            (*path, "instances_per_replica"),
            "is a plain service, which runs on 1 instance a replica, not on "
            f"{record.instances_per_replica}",
        )
    if record.version:
        yield _contradiction(
            document,
            (*path, "version"),
            "is a plain service and has no model version",
        )
    declared: set[tuple[str, str]] = set()
    for index, route in enumerate(record.routes):
        for pair in itertools.product((route.path,), route.methods):
            if pair in declared:
                yield _contradiction(
                    document,
                    (*path, "routes", index),
                    f"declares {pair[1]} {pair[0]!r} twice",
                )
            declared.add(pair)


def _model_service(
    record: model.Service, document: reader.Document, path: reader.Path
) -> Found:
    if not record.version:
        yield _contradiction(
            document, path, "is a model and names no version to run"
        )
    if record.routes:
        yield _contradiction(
            document,
            (*path, "routes"),
            "is a model, whose paths are given; it takes no routes",
        )


def _duplicate_names(document: reader.Document) -> Found:
    for section, word in NAMED_SECTIONS.items():
        first_by_name: dict[tuple[str, str], findings.Place] = {}
        for index, name in _names(document, section):
            service = document.value_by_path.get(
                (section, index, "service"), ""
            )
            place = document.place(section, index, "name")
            first = first_by_name.setdefault((service, name), place)
            if first is not place:
                yield findings.duplicate_name(word, name, first).at(place)


def _duplicate_keys(document: reader.Document) -> Found:
    first_by_hash: dict[str, findings.Place] = {}
    for index, _ in _names(document, "organisations"):
        path = ("organisations", index, "key_sha256")
        key_hash = document.value_by_path.get(path)
        if key_hash is None:
            continue
        place = document.place(*path)
        first = first_by_hash.setdefault(key_hash, place)
        if first is not place:
            yield findings.duplicate_name("API key", key_hash, first).at(place)


def _references(document: reader.Document) -> Found:
    services = {name for _, name in _names(document, "services")}
    versions = {
        (document.value_by_path.get(("versions", index, "service")), name)
        for index, name in _names(document, "versions")
    }
    for section in ("versions", "adapters"):
        for index, _ in _names(document, section):
            path = (section, index, "service")
            service = document.value_by_path.get(path)
            if service is not None and service not in services:
                yield _dangling(document, path, "service", service)
    for index, name in _names(document, "services"):
        path = ("services", index, "version")
        version = document.value_by_path.get(path)
        plain = document.value_by_path.get(("services", index, "kind"))
        if version and plain == model.ServiceKind.MODEL.value:
            if (name, version) not in versions:
                yield _dangling(document, path, "version", version)


def _names(
    document: reader.Document, section: str
) -> collections.abc.Iterator[tuple[int, str]]:
    for path, value in document.value_by_path.items():
        match path:
            case (found, int(index), "name") if found == section:
                yield index, value


def _name(document: reader.Document, path: reader.Path, name: str) -> Found:
    yield from _field(
        document,
        path,
        "name",
        name,
        NAME.fullmatch(name) is not None,
        "at most 63 letters, digits, dots, dashes and underscores, "
        "beginning with a letter or digit",
    )


def _field(
    document: reader.Document,
    path: reader.Path,
    name: str,
    value: typing.Any,
    right: bool,
    expected: str = "0 or more",
) -> Found:
    if not right:
        what = f"{name!r} of {reader.owner_name(path, document)}"
        wording = findings.bad_value(what, value, expected)
        yield wording.at(document.place(*path, name))


def _contradiction(
    document: reader.Document, path: reader.Path, problem: str
) -> findings.Finding:
    owner = reader.owner_name(path[:2], document)
    return findings.contradiction(owner, problem).at(document.place(*path))


def _dangling(
    document: reader.Document, path: reader.Path, what: str, name: str
) -> findings.Finding:
    owner = reader.owner_name(path[:2], document)
    wording = findings.dangling_reference(owner, what, name)
    return wording.at(document.place(*path))
