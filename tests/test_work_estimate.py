"""Test the estimate of work, the memory limit and values from outside."""

import contextlib
import dataclasses
import random

import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import queue_priority
from sycamoredale.forwarding import route_table
from sycamoredale.forwarding import sends
from sycamoredale.forwarding import update_exchange
from sycamoredale import ids
from sycamoredale import lenient_values
from sycamoredale.platform import manifest
from sycamoredale.platform import settings
from sycamoredale.platform import wire_format
from sycamoredale.scheduling import urgency
from sycamoredale.scheduling import work
from tests import instance_fixtures
from tests import test_platform_codec as codec
from tests import test_urgency
from tests import update_fixtures

NOW = clock.MonotonicTime(100.0)
BAD_NUMBERS = ["-1", "1e400", "99999999999999999999", '"x"', "null", "0.5"]
BAD_NUMBERS += ["true", "[]", '{"a": 1}']


def _manifest(route_priorities=(), tenant_priority="1", capacity="930000"):
    """Return a manifest with values as they are written, None for absent."""

    def field(name, text):
        return f', "{name}": {text}' if text is not None else ""

    routes = ", ".join(
        f'{{"name": "r{n}", "hostname": "h", "path_prefix": "/{n}", '
        f'"kind": "streaming", "backend": "llm"{field("priority", text)}}}'
        for n, text in enumerate(route_priorities)
    )
    engine = f'{{"slots": 10{field("kv_capacity", capacity)}}}'
    tenant = f'{{"name": "t2"{field("priority", tenant_priority)}}}'
    return manifest.decode(
        f'{{"version": 3, "routes": [{routes}], "services": [{{"name": "llm", '
        f'"engine": {engine}}}], "tenants": [{{"name": "t1", "priority": 0}}, '
        f"{tenant}]}}".encode()
    )


def _levels(configuration, **options):
    table = route_table.RouteTable(**options)
    table.activate(configuration)
    service = configuration.service_by_name["llm"]
    return table, [
        table.urgency_of(route, service, None)
        and table.urgency_of(route, service, None).level
        for route in configuration.routes
    ]


@pytest.mark.parametrize("text", [*BAD_NUMBERS, None])
def test_bad_priority_counts_as_the_default(text):
    """Guard against a manifest that one value keeps from being in force."""
    found = _manifest(
        [text, "2", "2", "9", "7"], tenant_priority=text, capacity=text
    )
    assert [route.priority for route in found.routes] == [0, 2, 2, 9, 7]
    assert found.priority_by_organisation == {"t1": 0, "t2": None}
    assert found.service_by_name["llm"].engine.memory_tokens == 0
    assert _levels(found)[1] == [1, 2, 2, 3, 3]


@pytest.mark.parametrize("priorities", [["1", "1"], ["1"], []])
def test_priorities_of_organisations_alone_change_nothing(priorities):
    table, levels = _levels(_manifest(priorities))
    assert levels == [None] * len(priorities)
    envelope = codec._call().envelope
    service = table.current.service_by_name["llm"]
    assert table.estimate_work(envelope, service) is None


def test_preferred_organisation_is_most_urgent():
    table, _ = _levels(_manifest(["0", "2"]))
    route = table.current.routes[1]
    service = table.current.service_by_name["llm"]
    found = [table.urgency_of(route, service, o).level for o in ("t1", "t2")]
    assert found == [urgency.MOST_URGENT, 2]


def test_bad_value_is_logged_once(monkeypatch):
    """Guard against a log line for each call or decoded manifest."""
    logged = []
    log = type("Log", (), {"warning": lambda *args, **kw: logged.append(kw)})
    monkeypatch.setattr(lenient_values, "LOG", log())
    reader = lenient_values.LenientReader()
    for _ in range(3):
        assert reader.priority(b"-1", "r1") is None
    assert reader.priority(b"", "r2") is None
    assert [entry["owner"] for entry in logged] == ["r1"]


@pytest.mark.parametrize(
    "hint, tokens, expected",
    [
        ("100", "40,500", (40, 100)),
        (None, "40,500", (40, 178)),
        (None, "40,50", (40, 50)),
        ("501", "40,500", (40, 178)),
        ("0", "40,500", (40, 178)),
        ("-5", "40,500", (40, 178)),
        ("9" * 5000, "40,500", (40, 178)),
        ("nan", "40,500", (40, 178)),
        ("100", "9" * 5000 + ",500", (0, 178)),
        ("100", f"{10**14},500", (0, 178)),
    ],
)
def test_work_of_a_call_is_estimated(hint, tokens, expected):
    """Guard against a call that is refused for its hint or its size."""
    headers = [("Token-Count", tokens)]
    headers += [("Length-Hint", hint)] if hint else []
    envelope = codec._call(headers).envelope
    found = work.estimate(
        envelope.prompt_tokens,
        envelope.answer_tokens,
        envelope.length_hint,
        178.0,
    )
    assert (found.prompt_tokens, found.answer_tokens) == expected


@pytest.mark.parametrize("contracts", ["base,pressure", "base"])
def test_memory_is_limited_only_where_the_settings_say_so(contracts):
    read = settings.read(f"{codec.SETTINGS_TEXT}contracts={contracts}\n")
    table, _ = _levels(
        _manifest(["0", "1"]), limits_memory=read.limits_engine_memory
    )
    service = table.current.service_by_name["llm"]
    found = table.estimate_work(codec._call().envelope, service)
    assert found.capacity_tokens == 930_000 * (contracts != "base")


@pytest.mark.parametrize(
    "held, expected",
    [
        ((995, 100), {"i1"}),  # The first one would crash.
        ((950, 100), {"i1"}),  # The first one is nearly full.
        ((950, 970), {"i0"}),
        ((0, 0), {"i0", "i1"}),
        ((995, 995), set()),
    ],
)
def test_endpoint_gets_no_more_than_its_memory(held, expected):
    """Guard against an instance that crashes with all of its requests."""
    call = test_urgency.call_of(NOW, work=work.Work(30, 20, 1000))
    selector = test_urgency.selector_of(
        [
            test_urgency.endpoint(f"i{n}", held_tokens=count)
            for n, count in enumerate(held)
        ],
        random.Random(1),
    )
    for allow_full in (False, True):
        found = set()
        with contextlib.suppress(errors.Refusal):
            for _ in range(30):
                found.add(selector.select(call, set(), NOW, allow_full).id)
        assert found == expected


def test_tokens_are_counted_until_they_are_read_and_released():
    endpoint = test_urgency.endpoint("i0")
    call = test_urgency.call_of(NOW, work=work.Work(700, 100))
    send = sends.begin(endpoint, event_stream.EventStream())
    send.begin_queueing(call, False, NOW)
    assert (endpoint.unread_tokens, endpoint.held_tokens) == (700, 800)
    send.end_reading()
    assert (endpoint.unread_tokens, endpoint.held_tokens) == (0, 800)
    send.release()
    assert (endpoint.unread_tokens, endpoint.held_tokens) == (0, 0)


def _update(unread, held):
    return peer_updates.EndpointUpdate(
        "i0", 1, -1, 0, unread_tokens=unread, held_tokens=held
    )


def test_tokens_of_peers_are_summed_without_the_own_ones():
    endpoint = test_urgency.endpoint("i0", unread_tokens=50)
    table = endpoints.EndpointTable(
        instance_table.InstanceTable(), dict, frozenset, {"i0": endpoint}
    )
    exchange = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"), table, update_fixtures.selector("d1")
    )
    for daemon in ("d2", "d3"):
        update = peer_updates.PeerUpdate(daemon, [_update(300, 400)])
        exchange.receive(update, NOW)
    exchange.apply_peer_loads(NOW)
    assert endpoint.unread_tokens_at(NOW) == 650
    assert endpoint.held_tokens_at(NOW) == 800
    found = update_exchange._counts_without(_update(600, 800), _update(1, 2))
    assert found == (0.0, 0.0, 599.0, 798.0)


def test_unread_prompts_delay_the_first_event():
    """Guard against long prompts that count as little as short ones."""
    endpoint = test_urgency.endpoint("i0")
    call = test_urgency.call_of(NOW)
    level = urgency.Levels((0, 1)).urgency_of(0, False)
    levelled = dataclasses.replace(call, urgency=level)
    seconds = queue_priority.first_event_seconds
    before = seconds(levelled, endpoint, NOW)
    endpoint.unread_tokens = 20_000
    assert seconds(levelled, endpoint, NOW) == pytest.approx(before + 0.4)
    assert seconds(call, endpoint, NOW) == pytest.approx(before)


def test_place_in_the_queue_follows_the_level():
    for level, places in enumerate([(3, 7), (4, 7), (5, 8), (6, 9)]):
        call = dataclasses.replace(
            codec._call(), urgency=urgency.Urgency(level, level)
        )
        kinds = queue_priority.QueuePriority
        for kind, place in zip((kinds.IN_TIME, kinds.LATE), places):
            sent = wire_format.request_for(
                call, instance_fixtures.instance("i-1"), 1.5, None, kind
            )
            assert sent.headers.get("Request-Priority") == str(place)
