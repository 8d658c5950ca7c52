"""Describe the messages and records that leave a process, with examples.

Run as a program on the work tree of a commit, it writes the file of that
commit in `tests/messages`:

    cd WORK_TREE; PYTHONPATH=. python .../tests/message_formats.py > FILE
"""

import collections.abc
import enum
import importlib
import json
import types
import typing

import msgspec

# Encoding by module and class.
FORMATS: typing.Final = {
    "forwarding.peer_updates:PeerUpdate": "msgpack",
    "forwarding.kind_updates:Change": "msgpack",
    "membership.peer_messages:Heartbeat": "json",
    "membership.peer_messages:ProbeRequest": "json",
    "membership.peer_messages:ProbeAnswer": "json",
    "membership.peer_messages:MembersRequest": "json",
    "membership.peer_messages:MembersAnswer": "json",
    "membership.mirror:Request": "json",
    "membership.mirror:Answer": "json",
    "membership.registry:Registration": "json",
    "leases:LeaseRecord": "json",
    "requests.claim_service:PeerOperation": "json",
    "requests.claims:OperationResult": "json",
    "requests.claims:Shard": "json",
    "requests.quarantine_records:StoredRecord": "json",
    "requests.verdict_records:StoredVerdict": "json",
    "requests.evidence_exchange:EvidenceRequest": "json",
    "requests.evidence_exchange:EvidenceAnswer": "json",
    "requests.part_updates:PartUpdate": "json",
    "requests.poison:Crash": "json",
    "requests.poison:Answered": "json",
    "routing.health:HealthReport": "json",
    "routing.cold_slots:DomainSlots": "json",
    "routing.cold_start_records:DomainColdStartRecords": "json",
    "groups.model:Assignment": "json",
    "groups.load_slots:Slots": "json",
    "config.model:Configuration": "json",
    "config.model:Pointer": "json",
}
# Texts in fields that accept any, by field, as the enum of those written.
OPEN_TEXTS: typing.Final = {
    "sycamoredale.membership.gossip.Notice.topic": "membership.gossip:Topic",
}
CODECS: typing.Final = {"msgpack": msgspec.msgpack, "json": msgspec.json}
SCALARS: typing.Final = {
    int: 7,
    float: 1.5,
    str: "text",
    bool: True,
    bytes: b"bytes",
    msgspec.Raw: msgspec.Raw(b"1"),
}


def load(name: str) -> typing.Any:
    """Return the class of a format."""
    module, _, class_name = name.partition(":")
    loaded = importlib.import_module(f"sycamoredale.{module}")
    return getattr(loaded, class_name)


def example(kind: typing.Any) -> typing.Any:
    """Return a value of a type in which every field is filled."""
    kind = _resolve(kind)
    if kind in SCALARS:
        return SCALARS[kind]
    if _is_struct(kind):
        values = {
            f.name: example(f.type) for f in msgspec.structs.fields(kind)
        }
        return kind(**values)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    arguments = typing.get_args(kind)
    origin = typing.get_origin(kind)
    if origin in (list, collections.abc.Sequence):
        return [example(arguments[0])]
    if origin in (set, frozenset):
        return origin([example(arguments[0])])
    if origin is tuple and arguments[-1] is Ellipsis:
        return (example(arguments[0]),)
    if origin is tuple:
        return tuple(example(argument) for argument in arguments)
    if origin is dict:
        return {example(arguments[0]): example(arguments[1])}
    if origin in (typing.Union, types.UnionType):
        return example(arguments[0])
    return None


def describe(kind: typing.Any, found: dict[str, typing.Any]) -> str:
    """Return the name of a type; add the structs in it to `found`."""
    kind = _resolve(kind)
    if _is_struct(kind):
        name = f"{kind.__module__}.{kind.__qualname__}"
        if name not in found:
            found[name] = {}
            found[name] = _describe_struct(kind, found)
        return name
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return "enum " + " ".join(sorted(str(m.value) for m in kind))
    arguments = typing.get_args(kind)
    if not arguments:
        return getattr(kind, "__name__", str(kind))
    origin = typing.get_origin(kind)
    inner = ", ".join(
        "..." if a is Ellipsis else describe(a, found) for a in arguments
    )
    return f"{getattr(origin, '__name__', origin)}[{inner}]"


def _describe_struct(
    kind: type[msgspec.Struct], found: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    config = kind.__struct_config__
    return {
        "array_like": config.array_like,
        "forbids_unknown": config.forbid_unknown_fields,
        "fields": [
            {
                "name": field.encode_name,
                "type": describe(field.type, found),
                "required": field.required,
            }
            for field in msgspec.structs.fields(kind)
        ],
    }


def _resolve(kind: typing.Any) -> typing.Any:
    while hasattr(kind, "__supertype__"):
        kind = kind.__supertype__
    return kind


def _is_struct(kind: typing.Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def snapshot() -> dict[str, typing.Any]:
    """Return all formats of the installed code, with an example of each."""
    found: dict[str, typing.Any] = {}
    examples = {}
    for name, encoding in FORMATS.items():
        kind = load(name)
        describe(kind, found)
        examples[name] = CODECS[encoding].encode(example(kind)).hex()
    open_texts = {
        field: sorted(str(member.value) for member in load(name))
        for field, name in OPEN_TEXTS.items()
    }
    return {"structs": found, "examples": examples, "open_texts": open_texts}


if __name__ == "__main__":
    print(json.dumps(snapshot(), indent=1, sort_keys=True))
