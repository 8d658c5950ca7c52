"""Test the selection of endpoints by load, cache, health and zone."""

import json
import random
import typing

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale.engines import reports
from sycamoredale.groups import model as groups_model
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.requests import call as call_module
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import health
from sycamoredale.routing import prefix_index
from sycamoredale.routing import table

SERVICE = model.Service(
    ids.ServiceName("assistant"), model.ServiceKind.MODEL, 4, capacity=10
)
LATER = clock.MonotonicTime(1e9)
PROMPT = json.dumps({"model": "assistant", "prompt": "w" * 2000}).encode()


def groups_of(
    zones: list[str],
    state: groups_model.GroupState = groups_model.GroupState.READY,
    versions: list[str] | None = None,
) -> list[groups_model.Group]:
    """Return one group per zone."""
    return [
        groups_model.Group(
            id=ids.GroupId(f"g{n}"),
            service=SERVICE.name,
            version=ids.VersionName(versions[n] if versions else "v1"),
            zone=ids.ZoneName(zone),
            epoch=ids.Epoch(1),
            state=state,
            members=[
                groups_model.Member(ids.InstanceId(f"i{n}"), "127.0.0.1:1")
            ],
        )
        for n, zone in enumerate(zones)
    ]


def build_selector(
    zones: list[str], versions: list[str] | None = None, seed: int = 1
) -> endpoint_selection.EndpointSelector:
    """Build a selector in zone `a` with one warm endpoint per item."""
    routing_table = table.RoutingTable()
    cold_limiter = cold_start_limiter.ColdStartLimiter(routing_table)
    tracker = health.HealthTracker(gossip.Gossip(ids.DaemonId("router")))
    selector = endpoint_selection.EndpointSelector(
        routing_table,
        ids.ZoneName("a"),
        tracker,
        cold_limiter,
        random.Random(seed),
    )
    groups = groups_of(zones, versions=versions)
    routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(1), groups)
    )
    for endpoint in routing_table.by_id:
        cold_limiter.apply_record(
            cold_start_records.ColdStartRecord(endpoint, 0, True),
            clock.MonotonicTime(0.0),
        )
    return selector


def _call(body: bytes = b"{}", **fields: typing.Any) -> call_module.Call:
    return call_module.Call(
        id=ids.RequestId("r"),
        organisation=ids.OrganisationName("o"),
        service=SERVICE,
        upstream=messages.Request("POST", "/", body=body),
        idempotent=True,
        stream=True,
        key=None,
        deadline_seconds=10.0,
        **fields,
    )


def _endpoint(
    selector: endpoint_selection.EndpointSelector, number: int
) -> table.Endpoint:
    return selector.routing_table.by_id[ids.EndpointId(f"g{number}@1")]


def _select(
    selector: endpoint_selection.EndpointSelector, call: call_module.Call
) -> str:
    selected = selector.select(call, frozenset(), LATER)
    assert selected is not None
    return selected.id


def _report(
    selector: endpoint_selection.EndpointSelector,
    number: int,
    running: int,
    waiting: int = 0,
) -> None:
    selector.load_estimates.apply_report(
        _endpoint(selector, number), reports.Load(running, waiting), LATER
    )


def test_own_zone_is_preferred_until_nearly_full() -> None:
    selector = build_selector(["a", "a", "b"])
    assert {_select(selector, _call()) for _ in range(30)} <= {"g0@1", "g1@1"}
    _report(selector, 0, 9)
    _report(selector, 1, 9)
    assert _select(selector, _call()) == "g2@1"


def test_requests_sent_since_report_are_counted() -> None:
    selector = build_selector(["a", "a"])
    _report(selector, 0, 1)
    _report(selector, 1, 3)
    assert _select(selector, _call()) == "g0@1"
    _endpoint(selector, 0).in_flight = 4
    assert _select(selector, _call()) == "g1@1"


def test_own_requests_are_not_counted_twice() -> None:
    selector = build_selector(["a", "a"])
    _endpoint(selector, 0).in_flight = 4
    _report(selector, 0, 4)
    _report(selector, 1, 6)
    assert _select(selector, _call()) == "g0@1"


def test_cached_prefix_is_preferred_within_load_bound() -> None:
    selector = build_selector(["a", "a", "a", "a"])
    first = _select(selector, _call(PROMPT))
    number = int(first[1])
    for other in range(4):
        _report(selector, other, 2)
    assert {_select(selector, _call(PROMPT)) for _ in range(9)} == {first}
    for _ in range(20):
        _report(selector, number, 6)
    assert first not in {_select(selector, _call()) for _ in range(9)}
    assert _select(selector, _call(PROMPT)) != first


def test_gap_in_cache_events_invalidates_endpoint() -> None:
    index = prefix_index.PrefixIndex()
    endpoint = ids.EndpointId("e")
    index.record_blocks(endpoint, [5])
    index.apply_events(
        endpoint, [reports.CacheEvent(2, [20]), _event(1, [10])]
    )
    assert index.cached_shares([5]) == {endpoint: 1.0}
    assert index.cached_shares([10, 20]) == {endpoint: 1.0}
    index.apply_events(endpoint, [reports.CacheEvent(3, [], [20])])
    assert index.cached_shares([10, 20]) == {endpoint: 0.5}
    index.apply_events(endpoint, [_event(5, [50])])
    assert index.cached_shares([10, 20]) == {}
    assert index.cached_shares([50]) == {endpoint: 1.0}
    assert index.cached_shares([5]) == {}


def _event(sequence: int, stored: list[int]) -> reports.CacheEvent:
    return reports.CacheEvent(sequence, stored)


def test_index_is_bounded() -> None:
    index = prefix_index.PrefixIndex()
    index.record_blocks(
        ids.EndpointId("e"), range(prefix_index.MAX_BLOCKS + 5)
    )
    assert index.cached_shares([0]) == {}
    assert index.cached_shares([prefix_index.MAX_BLOCKS + 4])


def test_straggler_and_silent_endpoint_are_avoided() -> None:
    selector = build_selector(["a"] * 5)
    for _ in range(10):
        for number in range(5):
            seconds = 0.8 if number == 0 else 0.1
            selector.health.record_outcome(
                _endpoint(selector, number).id,
                health.Outcome.ANSWERED,
                seconds,
                None,
                LATER,
            )
    selector.health.record_outcome(
        _endpoint(selector, 1).id, health.Outcome.SILENT, None, None, LATER
    )
    selected = [_select(selector, _call()) for _ in range(200)]
    assert selected.count("g0@1") < 10
    assert selected.count("g1@1") == 0


def test_version_of_the_call_is_honoured() -> None:
    selector = build_selector(["a", "a"], ["v1", "v2"])
    wanted = _call(version=ids.VersionName("v2"))
    assert {_select(selector, wanted) for _ in range(20)} == {"g1@1"}
    assert len({_select(selector, _call()) for _ in range(40)}) == 2


def test_single_report_does_not_outweigh_mean() -> None:
    selector = build_selector(["a"] * 4)
    for _ in range(30):
        for number in range(4):
            _report(selector, number, 5)
    _report(selector, 3, 0)
    estimate = selector.load_estimates.estimate(_endpoint(selector, 3), LATER)
    assert 3.5 < estimate < 5
    much_later = clock.MonotonicTime(LATER + 60)
    estimate = selector.load_estimates.estimate(
        _endpoint(selector, 3), much_later
    )
    assert estimate > 4.8


def test_queue_in_engine_is_not_taken_for_cold_start() -> None:
    selector = build_selector(["a"] * 5)
    turned_cold: list[str] = []
    selector.health.on_turned_cold = lambda endpoint, now: turned_cold.append(
        endpoint
    )
    for step in range(40):
        for number in range(5):
            if number == 0 and step > 20:
                _report(selector, 0, 10, 30)
            seconds = 3.0 if number == 0 and step > 20 else 0.1
            selector.record_end(
                _endpoint(selector, number),
                health.Outcome.ANSWERED,
                True,
                seconds,
                None,
                LATER,
            )
    assert turned_cold == []


def test_session_stays_on_its_endpoint() -> None:
    selector = build_selector(["a"] * 8)
    selected = {_select(selector, _call(session="s")) for _ in range(20)}
    assert len(selected) == 1
    sessions = {_select(selector, _call(session=f"s{n}")) for n in range(60)}
    assert len(sessions) >= 5


def test_routers_with_same_reports_select_different_endpoints() -> None:
    selected = set()
    for seed in range(12):
        selector = build_selector(["a"] * 6, seed=seed)
        for number in range(6):
            _report(selector, number, number)
        selected.add(_select(selector, _call()))
    assert len(selected) >= 3


def test_unhealthy_endpoint_is_selected_if_none_is_healthy() -> None:
    selector = build_selector(["a", "a"])
    for number in range(2):
        selector.health.record_outcome(
            _endpoint(selector, number).id,
            health.Outcome.BROKEN,
            None,
            None,
            LATER,
        )
    assert _select(selector, _call()) in ("g0@1", "g1@1")


def test_endpoint_is_cold_after_draining() -> None:
    selector = build_selector(["a"])
    (group,) = [_group(selector, groups_model.GroupState.DRAINING)]
    selector.routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(2), [group])
    )
    ready = _group(selector, groups_model.GroupState.READY)
    selector.routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(3), [ready])
    )
    assert selector.select(_call(), frozenset(), LATER) is None


def _group(
    selector: endpoint_selection.EndpointSelector,
    state: groups_model.GroupState,
) -> groups_model.Group:
    return groups_model.Group(
        id=ids.GroupId("g0"),
        service=SERVICE.name,
        version=ids.VersionName("v1"),
        zone=ids.ZoneName("a"),
        epoch=ids.Epoch(1),
        state=state,
        members=[groups_model.Member(ids.InstanceId("i0"), "127.0.0.1:1")],
    )


def test_capacity_ramps_up_after_cold_start() -> None:
    selector = build_selector(["a"])
    endpoint = _endpoint(selector, 0)
    state = selector.cold_limiter.by_id[endpoint.id]
    state.ramp_started_at = LATER
    capacities = [
        selector.cold_limiter.free_capacity(
            endpoint, SERVICE, 1.0, clock.MonotonicTime(LATER + second)
        )
        for second in range(4)
    ]
    assert capacities == [2, 4, 8, 10]


def test_capacity_ramps_up_in_returned_zone() -> None:
    selector = build_selector(["a"])
    out = model.Zone(ids.ZoneName("a"), model.ZoneState.OUT)
    selector.routing_table.apply_configuration(
        model.Configuration(zones=[out])
    )
    assert selector.select(_call(), frozenset(), LATER) is None
    back = model.Zone(ids.ZoneName("a"))
    selector.routing_table.apply_configuration(
        model.Configuration(zones=[back])
    )
    endpoint = _endpoint(selector, 0)
    now = selector.cold_limiter.by_id[endpoint.id].ramp_started_at
    assert (
        selector.cold_limiter.free_capacity(endpoint, SERVICE, 1.0, now) == 2
    )
