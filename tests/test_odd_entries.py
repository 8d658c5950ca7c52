"""Test entries that another writer has spoilt: the others must still hold.

One odd entry is nested deeply, has a number out of range or an address that
cannot be used.  The lists, watches and tasks that read it go on.
"""

import json
import pathlib
import re

import curio
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import object_handlers
from sycamoredale.groups import group_lifecycle
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import instances
from sycamoredale.object_api import malformed_entries
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.platform import instance_decoder
from sycamoredale.platform import manifest
from sycamoredale.platform import store as store_module
from tests import fake_store
from tests import instance_fixtures

DEEP = b"[" * 100_000 + b"]" * 100_000
NESTED_BOTH_WAYS = b'[{"a":' * 30_000 + b"1" + b"}]" * 30_000
SOUND = (
    b'{"backend":"s","addr":"127.0.0.1:80","zone":"z","state":"ready",'
    b'"seq":1,"born":1000}'
)


def _with_field(field, value):
    return SOUND[:-1] + b',"' + field + b'":' + value + b"}"


ODD_ENTRIES = {
    "deep": _with_field(b"x", DEEP),
    "deep in both ways": _with_field(b"x", NESTED_BOTH_WAYS),
    "deep in a known field": _with_field(b"staged", DEEP),
    "bracket in a string": _with_field(b"x", b'"[\\"[["'),
    "large float": _with_field(b"cold_left_ms", b"1e308"),
    "larger float": _with_field(b"cold_left_ms", b"1e999"),
    "large start": _with_field(b"born", b"9" * 30),
    "endless start": _with_field(b"born", b"9" * 5000),
    "future start": _with_field(b"born", b"4102444800000"),
    "large sequence": _with_field(b"seq", b"9" * 30),
    "large epoch": _with_field(
        b"group",
        b'{"name":"g","epoch":1e30,"rank":0,"state":"open"}',
    ),
    "negative slots": _with_field(b"slots", b"-3"),
    "no slots": _with_field(b"slots", b"0"),
    "port out of range": SOUND.replace(b":80", b":70000"),
    "port 0": SOUND.replace(b":80", b":0"),
    "NUL in the host": SOUND.replace(b"127.0.0.1", b"a\\u0000b"),
    "long label": SOUND.replace(b"127.0.0.1", b"a" * 64 + b".x"),
    "no object": b"7",
    "no text": b'"\xff"',
}


class _ScriptedStore(store_module.PlatformStore):
    """Answer each read with the next body."""

    def __init__(self, *bodies):
        super().__init__(messages.Address("127.0.0.1", 1), None)
        self.bodies = list(bodies)
        self.targets = []

    async def _read(self, kind, target, *args):
        self.targets.append(target)
        return messages.Response(200, messages.Headers(), self.bodies.pop(0))


def _handler(table, metrics=None):
    return object_handlers.InstanceHandler(
        table,
        instance_decoder.decode_entry,
        malformed_entries.MalformedEntries(
            "servers", metrics or exposition.MetricRegistry()
        ),
    )


def _page(odd, more=False):
    sound = SOUND.replace(b":80", b":81")
    return (
        b'{"at":7,"has_more":'
        + (b"true" if more else b"false")
        + b',"items":[{"metadata":{"name":"odd","rev":5},"spec":'
        + odd
        + b'},{"metadata":{"name":"sound","rev":6},"spec":'
        + sound
        + b"}]}"
    )


def _events(odd):
    sound = SOUND.replace(b":80", b":81")
    return (
        b'{"at":7,"events":['
        b'{"object":{"metadata":{"name":"odd","rev":5},"spec":'
        + odd
        + b'}},{"object":{"metadata":{"name":"sound","rev":6},"spec":'
        + sound
        + b"}}]}"
    )


def _assert_sound(table):
    assert "sound" in table.by_id
    odd = table.by_id.get("odd")
    if odd is not None:
        assert 0 < odd.slots < 1e6
        assert 0 < odd.address.port < 65536
        assert odd.cold_seconds < 1e6
        assert odd.started_ms < 2**53 and odd.orders_taken < 2**53
        assert "\0" not in odd.address.host


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_one_odd_entry_of_a_list_leaves_the_others(kind):
    store = _ScriptedStore(_page(ODD_ENTRIES[kind]))
    table = instance_table.InstanceTable()
    listing = curio.run(store.list, "servers")
    _handler(table).apply(listing, True)
    _assert_sound(table)


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_one_odd_entry_of_a_watch_leaves_the_others(kind):
    store = _ScriptedStore(_events(ODD_ENTRIES[kind]))
    table = instance_table.InstanceTable()
    listing = curio.run(store.watch, "servers", 5, 1.0)
    _handler(table).apply(listing, False)
    assert listing.version == 7
    _assert_sound(table)


def test_entry_at_a_used_address_from_the_future_displaces_nobody():
    table = instance_table.InstanceTable()
    handler = _handler(table)
    sound = objects.StoredObject("sound", 6, msgspec.Raw(SOUND))
    odd = _with_field(b"born", b"4102444800000")
    handler.apply(objects.Listing(6, [sound]), True)
    handler.apply(
        objects.Listing(7, [objects.StoredObject("odd", 7, msgspec.Raw(odd))]),
        False,
    )
    assert list(table.by_id) == ["sound"]


# Guards against TWO: the members of an open head were free, and joined other
# groups, once another writer's entry named the address of the head.
def test_entry_of_another_writer_at_the_address_of_a_head_frees_no_member():
    State = instance_state.MemberState
    key = instance_fixtures.key()
    names = ("i0", "i1", "i2")
    table = instance_table.InstanceTable()
    for port, rank_state in enumerate((State.OPEN, State.READY, State.READY)):
        member = instance_fixtures.instance(
            names[port],
            staged=("small",),
            membership=(key, port, rank_state),
            address=messages.Address("127.0.0.1", 8100 + port),
        )
        table.apply_listed(member, 1.0)
    odd = instance_fixtures.instance(
        "agent-7",
        service="inventory-agent",
        started_ms=2000,
        address=messages.Address("127.0.0.1", 8100),
    )
    lifecycle = group_lifecycle.GroupLifecycle()
    lifecycle.record_join(key, names, 1.0)
    table.apply_listed(odd, 10.0)
    unlisted = {i: u.instance for i, u in table.unlisted_by_id.items()}
    snapshot = instance_fixtures.snapshot(
        [*table.by_id.values(), *unlisted.values()],
        20.0,
        unlisted=unlisted,
        replaced=table.incarnations.ended_ids(),
    )
    free = {i.id for i in lifecycle.free_instances(snapshot)}
    assert not free & set(names)


def test_odd_state_of_a_known_instance_changes_nothing():
    table = instance_table.InstanceTable()
    handler = _handler(table)
    for version, value in ((6, SOUND), (7, ODD_ENTRIES["negative slots"])):
        stored = objects.StoredObject("a", version, msgspec.Raw(value))
        handler.apply(objects.Listing(version, [stored]), True)
    assert table.by_id["a"].slots == 1


def test_odd_entry_is_counted_once_for_each_version():
    metrics = exposition.MetricRegistry()
    handler = _handler(instance_table.InstanceTable(), metrics)
    for version in (6, 6, 7):
        stored = objects.StoredObject("odd", version, msgspec.Raw(b"7"))
        handler.apply(objects.Listing(version, [stored]), True)
    assert metrics.counts["malformed_entries", "servers"] == 2


@pytest.mark.parametrize(
    "body",
    [b"", b"null", b"[]", b'{"at":7}', b'{"at":7,"items":null}', DEEP],
)
def test_list_that_cannot_be_read_is_no_empty_list(body):
    with pytest.raises(errors.StoreUnavailable):
        curio.run(_ScriptedStore(body).list, "servers")


def test_long_list_goes_on_after_an_odd_object():
    odd_last = b'{"at":7,"has_more":true,"items":[%s,{"metadata":7}]}' % (
        b'{"metadata":{"name":"a","rev":5},"spec":' + SOUND + b"}"
    )
    no_changes = b'{"at":8,"events":[]}'
    store = _ScriptedStore(odd_last, _page(SOUND), no_changes)
    listing = curio.run(store.list, "servers")
    assert [item.name for item in listing.objects] == ["a", "odd", "sound"]
    assert store.targets[1].endswith("after=a")


def test_list_without_any_readable_object_does_not_repeat_for_ever():
    page = b'{"at":7,"has_more":true,"items":[7]}'
    with pytest.raises(errors.StoreUnavailable):
        curio.run(_ScriptedStore(page).list, "servers")


@pytest.mark.parametrize(
    "decode", [instance_decoder.decode_report, manifest.decode]
)
@pytest.mark.parametrize("value", [DEEP, NESTED_BOTH_WAYS])
def test_deep_document_is_a_decode_error(decode, value):
    with pytest.raises(msgspec.DecodeError):
        decode(b'{"seq":1,"version":1,"x":' + value + b"}")


def test_deep_values_are_replaced_and_the_rest_is_kept():
    data = b'{"a":' + DEEP + b',"b":"[\\"{","c":[[1],{"d":2}]}'
    decoded = json.loads(decoding.without_deep_values(data))
    assert decoded["b"] == '["{'
    assert decoded["c"] == [[1], {"d": 2}]


def test_shallow_document_is_kept_as_it_is():
    data = b'{"a":' + b"[" * 60 + b"]" * 60 + b"}"
    assert decoding.without_deep_values(data) == data


def test_outside_input_is_decoded_in_one_module():
    package = pathlib.Path(decoding.__file__).parent
    pattern = re.compile(r"msgspec\.(json|msgpack)\.(decode|Decoder)\b")
    found = [
        path.relative_to(package).as_posix()
        for path in package.rglob("*.py")
        if pattern.search(path.read_text())
    ]
    assert [f for f in found if not f.startswith("standins/")] == [
        "decoding.py"
    ]


def test_malformed_lease_is_an_unavailable_one():
    store = fake_store.FakeStore()
    lease = leases.Lease(store, "groups", ids.DaemonId("a"))
    stored = objects.StoredObject("groups", 3, msgspec.Raw(DEEP))
    with pytest.raises(errors.StoreUnavailable):
        lease.observe(stored, clock.MonotonicTime(0.0))
    assert not lease.can_acquire(clock.MonotonicTime(100.0))


class _Pool:
    """Answer each call of the own object API with one body."""

    def __init__(self, body):
        self.body = body

    async def call(self, *args):
        return messages.Response(200, messages.Headers(), self.body)


OWN_SOUND = b'{"id":"b","address":"10.0.0.1:80","zone":"z","domain":"d"}'


@pytest.mark.parametrize(
    "odd",
    [
        b"7",
        b'{"id":"a"}',
        OWN_SOUND[:-1] + b',"x":' + DEEP + b"}",
        OWN_SOUND.replace(b":80", b":70000"),
        OWN_SOUND.replace(b":80", b":0"),
        OWN_SOUND[:-1] + b',"accelerators":' + b"9" * 30 + b"}",
    ],
)
def test_one_odd_instance_of_the_own_list_leaves_the_others(odd):
    body = b"[" + odd.replace(b'"b"', b'"odd"') + b"," + OWN_SOUND + b"]"
    listed = curio.run(
        instances.InstanceList(
            messages.Address("127.0.0.1", 1), _Pool(body)
        ).read
    )
    assert "b" in {item.id for item in listed}
    assert all(item.accelerators == 8 for item in listed)


@pytest.mark.parametrize("odd", [b"7", b'{"name":"odd"}', DEEP])
@pytest.mark.parametrize("call", ["list", "watch"])
def test_one_odd_object_of_the_own_interface_leaves_the_others(odd, call):
    sound = b'{"name":"sound","version":6,"value":{"a":1}}'
    body = b'{"version":7,"objects":[%s,%s]}' % (odd, sound)
    store = objects.ObjectStore(messages.Address("127.0.0.1", 1), _Pool(body))
    arguments = ("lease",) if call == "list" else ("lease", 5, 1.0)
    listing = curio.run(getattr(store, call), *arguments)
    assert [item.name for item in listing.objects] == ["sound"]
    assert listing.version == 7


@pytest.mark.parametrize("body", [b"", b"null", b'{"version":7}', DEEP])
def test_own_list_that_cannot_be_read_is_no_empty_list(body):
    address = messages.Address("127.0.0.1", 1)
    store = objects.ObjectStore(address, _Pool(body))
    with pytest.raises(errors.StoreUnavailable):
        curio.run(store.list, "lease")
    if body != DEEP:
        with pytest.raises(errors.StoreUnavailable):
            curio.run(instances.InstanceList(address, _Pool(body)).read)
