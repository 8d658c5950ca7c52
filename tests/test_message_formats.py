"""Test that builds of neighbouring landings understand each other.

While daemons are replaced one by one, each build reads what the other has
written: datagrams, messages between peers and records in the store.
"""

import copy
import json
import pathlib

import pytest

from tests import message_formats

FOLDER = pathlib.Path(__file__).parent / "messages"
SNAPSHOTS = {
    path.stem: json.loads(path.read_text())
    for path in sorted(FOLDER.glob("*.json"))
}


def _differences(old, new):
    """Yield what one of two builds could not read of the other."""
    for name, was in old["structs"].items():
        now = new["structs"].get(name)
        if now is None:
            yield f"{name}: is gone"
        elif was["array_like"] != now["array_like"]:
            yield f"{name}: is encoded in another way"
        else:
            texts = new["open_texts"]
            yield from _field_differences(name, was, now, texts)


def _field_differences(name, was, now, texts_by_field):
    now_by_name = {field["name"]: field for field in now["fields"]}
    for position, field in enumerate(was["fields"]):
        label = f"{name}, field {field['name']!r}"
        current = now_by_name.get(field["name"])
        if current is None:
            yield f"{label}: is gone"
        elif _is_opened(field, current):
            texts = texts_by_field[f"{name}.{field['name']}"]
            for text in sorted(set(texts) - _texts_of(field)):
                yield f"{label}: has no {text!r} in the earlier landing"
        elif current["type"] != field["type"]:
            yield f"{label}: {field['type']} became {current['type']}"
        elif current["required"] and not field["required"]:
            yield f"{label}: has no default any more"
        elif was["array_like"] and now["fields"][position] != current:
            yield f"{label}: is no longer at position {position}"
    known = {field["name"] for field in was["fields"]}
    for field in now["fields"]:
        label = f"{name}, field {field['name']!r}"
        if field["name"] in known:
            continue
        if field["required"]:
            yield f"{label}: is new and has no default"
        if was["forbids_unknown"]:
            yield f"{label}: is new, and the last landing rejects it"


def _is_opened(was, now):
    """Return whether an enum became a text, which reads as the same."""
    return was["type"].startswith("enum ") and now["type"] == "str"


def _texts_of(field):
    """Return the texts that an earlier landing reads in an enum."""
    return set(field["type"].removeprefix("enum ").split())


@pytest.mark.parametrize("commit", SNAPSHOTS)
def test_formats_of_an_earlier_landing_have_only_grown(commit):
    found = _differences(SNAPSHOTS[commit], message_formats.snapshot())
    assert list(found) == []


# A landing has no examples of formats that were added after it.
EXAMPLES = [
    (commit, name)
    for commit, snapshot in SNAPSHOTS.items()
    for name in snapshot["examples"]
]


@pytest.mark.parametrize(("commit", "name"), EXAMPLES)
def test_message_of_an_earlier_landing_means_the_same(commit, name):
    kind = message_formats.load(name)
    codec = message_formats.CODECS[message_formats.FORMATS[name]]
    data = bytes.fromhex(SNAPSHOTS[commit]["examples"][name])
    written = codec.decode(data)
    read = codec.decode(codec.encode(codec.decode(data, type=kind)))
    assert _includes(read, written)


def _includes(read, written):
    """Return whether what was written is in what was read."""
    if isinstance(written, dict):
        return isinstance(read, dict) and all(
            name in read and _includes(read[name], value)
            for name, value in written.items()
        )
    if isinstance(written, list):
        return len(read) >= len(written) and all(map(_includes, read, written))
    return read == written


def _changed(commit, change):
    new = copy.deepcopy(SNAPSHOTS[commit])
    name = "sycamoredale.forwarding.peer_updates.PeerUpdate"
    change(new["structs"][name]["fields"])
    return list(_differences(SNAPSHOTS[commit], new))


NEW_FIELD = {"name": "new", "type": "int", "required": False}


@pytest.mark.parametrize(
    "change, expected",
    [
        (lambda fields: fields.append(NEW_FIELD), ""),
        (lambda fields: fields.insert(0, NEW_FIELD), "no longer at position"),
        (lambda fields: fields.pop(), "is gone"),
        (lambda fields: fields[0].update(type="int"), "became int"),
        (
            lambda fields: fields.append({**NEW_FIELD, "required": True}),
            "no default",
        ),
    ],
)
def test_change_that_another_build_cannot_read_is_found(change, expected):
    found = _changed("3589211", change)
    assert any(expected in text for text in found) if expected else not found
