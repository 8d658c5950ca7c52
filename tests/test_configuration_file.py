"""Test configuration files: findings, differences, parts and commands."""

import pathlib
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale.config import difference
from sycamoredale.config import findings
from sycamoredale.config import model
from sycamoredale.config import parser
from sycamoredale.config import parts
from sycamoredale.daemons import options
from sycamoredale.daemons import settings
from tests import processes

EXAMPLES: typing.Final = processes.ROOT / "examples"
KEY_HASH: typing.Final = "0" * 63 + "a"


@pytest.mark.parametrize("name", ["cellar", "consortium"])
def test_examples_have_no_findings(name: str) -> None:
    found = parser.parse((EXAMPLES / f"{name}.yaml").read_bytes())
    assert len(found.zones) == 3
    assert sorted(s.replicas for s in found.services) == [3, 50]
    assert len({o.weight for o in found.organisations}) > 2


def test_all_findings_are_reported_with_positions() -> None:
    text = """\
services:
  - name: assistant
    kind: model
    replicas: many
    version: v2
    colour: red
  - name: bookings
    kind: plain
    replicas: -1
    instances_per_replica: 3
adapters:
  - {name: x, service: nowhere, weights: w}
organisations:
  - name: a
    key_sha256: 12ab
  - name: a
    key_sha256: """ + (KEY_HASH + "\nzones:\n  - state: out\n")
    with pytest.raises(findings.InvalidFile) as caught:
        parser.parse(text.encode(), "site.yaml")
    found = [
        (f.position.line, f.position.column, f.code)
        for f in caught.value.findings
    ]
    code = findings.FindingCode
    assert found == [
        (4, 15, code.WRONG_TYPE),
        (5, 14, code.DANGLING_REFERENCE),
        (6, 5, code.UNKNOWN_KEY),
        (9, 15, code.BAD_VALUE),
        (10, 28, code.CONTRADICTION),
        (12, 24, code.DANGLING_REFERENCE),
        (15, 17, code.BAD_VALUE),
        (16, 11, code.DUPLICATE_NAME),
        (19, 5, code.MISSING_KEY),
    ]
    first = caught.value.message.splitlines()[0]
    assert first.startswith("site.yaml:4:15: 'replicas' of service")


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (b"", "empty_file"),
        (b"services: [", "not_yaml"),
        (b"\xff", "not_yaml"),
        (b"[]", "wrong_type"),
        (b"zones: []\nzones: []", "duplicate_key"),
        (b"zones: &a [*a]", "wrong_type"),
        (b"zones:\n  - {name: a, state: off}", "wrong_type"),
        (b"services:\n  - {name: m, kind: model, replicas: 1}", "contrad"),
    ],
)
def test_malformed_files_are_reported_as_findings(
    text: bytes, code: str
) -> None:
    with pytest.raises(findings.InvalidFile) as caught:
        parser.parse(text)
    assert code in caught.value.findings[0].code.value


def test_differences_are_described() -> None:
    old = parser.parse((EXAMPLES / "cellar.yaml").read_bytes())
    zones = [
        (
            msgspec.structs.replace(z, state=model.ZoneState.OUT)
            if z.name == "kochi"
            else z
        )
        for z in old.zones
    ]
    new = msgspec.structs.replace(
        old,
        zones=zones,
        services=[
            msgspec.structs.replace(old.services[0], replicas=40),
            old.services[1],
        ],
        organisations=old.organisations[1:],
        limits=model.Limits(queue_per_organisation=7),
    )
    assert list(difference.describe(old, old)) == []
    assert list(difference.describe(old, new)) == [
        "take availability zone 'kochi' out of service",
        "change service 'assistant': replicas from 50 to 40",
        "remove organisation 'concierge-desk'",
        "change limits: queue_per_organisation from 256 to 7",
    ]


def test_invalid_settings_are_reported_together() -> None:
    with pytest.raises(settings.InvalidSettings) as caught:
        options.read_router({"zone": "a b", "platform": "x", "listen": "y:1"})
    flags = [text.partition(" ")[0] for text in caught.value.findings]
    assert flags[:3] == ["--daemon-id", "--zone", "--platform"]
    assert "SYCAMOREDALE_DAEMON_ID" in caught.value.findings[0]
    assert len(flags) == 8


_NAMES = strategies.lists(
    strategies.from_regex(r"[a-z0-9]{1,8}", fullmatch=True),
    unique=True,
    max_size=300,
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(_NAMES, strategies.data())
def test_parts_join_to_the_configuration_and_one_change_alters_one_part(
    names: list[str], data: strategies.DataObject
) -> None:
    old = _with_organisations(names)
    split = parts.split(old)
    joined = parts.join(split.values())
    assert {o.name for o in joined.organisations} == set(names)
    assert parts.join(split.values()) == parts.join(
        dict(reversed(split.items())).values()
    )
    if not names:
        return
    changed = data.draw(strategies.sampled_from(names))
    new = msgspec.structs.replace(
        old,
        organisations=[
            msgspec.structs.replace(o, weight=2) if o.name == changed else o
            for o in reversed(old.organisations)
        ],
    )
    new_digests = set(parts.split(new)) - set(split)
    assert len(new_digests) == 1


def _with_organisations(names: list[str]) -> model.Configuration:
    text = "\n".join(
        f"  - {{name: '{n}', key_sha256: '{i:064x}'}}"
        for i, n in enumerate(names)
    )
    return parser.parse(f"organisations:\n{text or '  []'}\n".encode())


def test_commands_print_findings_and_exit_codes(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "site.yaml"
    file.write_text("zones: [{nam: kochi}]\n")
    with processes.Fleet() as fleet:
        checked = fleet.start("sycamoredale", "check", str(file))
        assert checked.popen.wait(20) == 3
        refused = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", "127.0.0.1:1"
        )
        assert refused.popen.wait(20) == 3
        file.write_text("zones: [{name: kochi}]\n")
        unreachable = fleet.start(
            "sycamoredale", "apply", str(file), "--platform", "127.0.0.1:1"
        )
        assert unreachable.popen.wait(20) == 5
