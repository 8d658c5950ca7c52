"""Test the choice of an endpoint from what a router knows."""

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


def _chooser(
    zones: list[str], versions: list[str] | None = None, seed: int = 1
) -> endpoint_selection.EndpointSelector:
    """Build a chooser in zone `a` with one warm endpoint in each zone."""
    routing_table = table.RoutingTable()
    cold = cold_start_limiter.ColdStartLimiter(routing_table)
    judged = health.HealthTracker(gossip.Gossip(ids.DaemonId("router")))
    chooser = endpoint_selection.EndpointSelector(
        routing_table, ids.ZoneName("a"), judged, cold, random.Random(seed)
    )
    groups = [
        groups_model.Group(
            id=ids.GroupId(f"g{n}"),
            service=SERVICE.name,
            version=ids.VersionName(versions[n] if versions else "v1"),
            zone=ids.ZoneName(zone),
            epoch=ids.Epoch(1),
            state=groups_model.GroupState.READY,
            members=[
                groups_model.Member(ids.InstanceId(f"i{n}"), "127.0.0.1:1")
            ],
        )
        for n, zone in enumerate(zones)
    ]
    routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(1), groups)
    )
    for endpoint in routing_table.by_id:
        cold.learn(
            cold_start_records.ColdStartRecord(endpoint, 0, True),
            clock.MonotonicTime(0.0),
        )
    return chooser


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
    chooser: endpoint_selection.EndpointSelector, number: int
) -> table.Endpoint:
    return chooser.routing_table.by_id[ids.EndpointId(f"g{number}@1")]


def _choose(
    chooser: endpoint_selection.EndpointSelector, call: call_module.Call
) -> str:
    chosen = chooser.choose(call, frozenset(), LATER)
    assert chosen is not None
    return chosen.id


def _report(
    chooser: endpoint_selection.EndpointSelector,
    number: int,
    running: int,
    waiting: int = 0,
) -> None:
    chooser.loads.report(
        _endpoint(chooser, number), reports.Load(running, waiting), LATER
    )


def test_own_zone_goes_first_and_spills_before_queues_grow() -> None:
    chooser = _chooser(["a", "a", "b"])
    assert {_choose(chooser, _call()) for _ in range(30)} <= {"g0@1", "g1@1"}
    _report(chooser, 0, 9)
    _report(chooser, 1, 9)
    assert _choose(chooser, _call()) == "g2@1"


def test_requests_sent_since_the_report_count() -> None:
    chooser = _chooser(["a", "a"])
    _report(chooser, 0, 1)
    _report(chooser, 1, 3)
    assert _choose(chooser, _call()) == "g0@1"
    _endpoint(chooser, 0).in_flight = 4
    assert _choose(chooser, _call()) == "g1@1"


def test_own_requests_are_not_counted_twice() -> None:
    chooser = _chooser(["a", "a"])
    _endpoint(chooser, 0).in_flight = 4
    _report(chooser, 0, 4)
    _report(chooser, 1, 6)
    assert _choose(chooser, _call()) == "g0@1"


def test_cached_prefix_attracts_within_the_load_bound() -> None:
    chooser = _chooser(["a", "a", "a", "a"])
    first = _choose(chooser, _call(PROMPT))
    number = int(first[1])
    for other in range(4):
        _report(chooser, other, 2)
    assert {_choose(chooser, _call(PROMPT)) for _ in range(9)} == {first}
    for _ in range(20):
        _report(chooser, number, 6)
    assert first not in {_choose(chooser, _call()) for _ in range(9)}
    assert _choose(chooser, _call(PROMPT)) != first


def test_gap_in_cache_events_drops_what_was_known() -> None:
    index = prefix_index.PrefixIndex()
    endpoint = ids.EndpointId("e")
    index.stored(endpoint, [5])
    index.apply(endpoint, [reports.CacheEvent(2, [20]), _event(1, [10])])
    assert index.holders([5]) == {endpoint: 1.0}
    assert index.holders([10, 20]) == {endpoint: 1.0}
    index.apply(endpoint, [reports.CacheEvent(3, [], [20])])
    assert index.holders([10, 20]) == {endpoint: 0.5}
    index.apply(endpoint, [_event(5, [50])])
    assert index.holders([10, 20]) == {}
    assert index.holders([50]) == {endpoint: 1.0}
    assert index.holders([5]) == {}


def _event(sequence: int, stored: list[int]) -> reports.CacheEvent:
    return reports.CacheEvent(sequence, stored)


def test_index_is_bounded() -> None:
    index = prefix_index.PrefixIndex()
    index.stored(ids.EndpointId("e"), range(prefix_index.MAX_BLOCKS + 5))
    assert index.holders([0]) == {}
    assert index.holders([prefix_index.MAX_BLOCKS + 4])


def test_straggler_and_silent_endpoint_are_avoided() -> None:
    chooser = _chooser(["a"] * 5)
    for _ in range(10):
        for number in range(5):
            seconds = 0.8 if number == 0 else 0.1
            chooser.health.observe(
                _endpoint(chooser, number).id,
                health.Outcome.ANSWERED,
                seconds,
                None,
                LATER,
            )
    chooser.health.observe(
        _endpoint(chooser, 1).id, health.Outcome.SILENT, None, None, LATER
    )
    chosen = [_choose(chooser, _call()) for _ in range(200)]
    assert chosen.count("g0@1") < 10
    assert chosen.count("g1@1") == 0


def test_version_of_the_call_is_honoured() -> None:
    chooser = _chooser(["a", "a"], ["v1", "v2"])
    wanted = _call(version=ids.VersionName("v2"))
    assert {_choose(chooser, wanted) for _ in range(20)} == {"g1@1"}
    assert len({_choose(chooser, _call()) for _ in range(40)}) == 2


def test_one_old_report_does_not_outweigh_the_mean() -> None:
    chooser = _chooser(["a"] * 4)
    for _ in range(30):
        for number in range(4):
            _report(chooser, number, 5)
    _report(chooser, 3, 0)
    estimate = chooser.loads.estimate(_endpoint(chooser, 3), LATER)
    assert 3.5 < estimate < 5
    much_later = clock.MonotonicTime(LATER + 60)
    estimate = chooser.loads.estimate(_endpoint(chooser, 3), much_later)
    assert estimate > 4.8


def test_queue_in_an_engine_is_not_taken_for_a_cold_start() -> None:
    chooser = _chooser(["a"] * 5)
    cold: list[str] = []
    chooser.health.on_cold_again = lambda endpoint, now: cold.append(endpoint)
    for step in range(40):
        for number in range(5):
            if number == 0 and step > 20:
                _report(chooser, 0, 10, 30)
            seconds = 3.0 if number == 0 and step > 20 else 0.1
            chooser.finished(
                _endpoint(chooser, number),
                health.Outcome.ANSWERED,
                True,
                seconds,
                None,
                LATER,
            )
    assert cold == []


def test_session_stays_on_its_endpoint() -> None:
    chooser = _chooser(["a"] * 8)
    chosen = {_choose(chooser, _call(session="s")) for _ in range(20)}
    assert len(chosen) == 1
    sessions = {_choose(chooser, _call(session=f"s{n}")) for n in range(60)}
    assert len(sessions) >= 5


def test_routers_with_the_same_report_do_not_all_choose_alike() -> None:
    chosen = set()
    for seed in range(12):
        chooser = _chooser(["a"] * 6, seed=seed)
        for number in range(6):
            _report(chooser, number, number)
        chosen.add(_choose(chooser, _call()))
    assert len(chosen) >= 3


def test_one_endpoint_is_tried_when_none_looks_healthy() -> None:
    chooser = _chooser(["a", "a"])
    for number in range(2):
        chooser.health.observe(
            _endpoint(chooser, number).id,
            health.Outcome.BROKEN,
            None,
            None,
            LATER,
        )
    assert _choose(chooser, _call()) in ("g0@1", "g1@1")


def test_resumed_endpoint_is_cold_again() -> None:
    chooser = _chooser(["a"])
    (group,) = [_group(chooser, groups_model.GroupState.DRAINING)]
    chooser.routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(2), [group])
    )
    ready = _group(chooser, groups_model.GroupState.READY)
    chooser.routing_table.apply_assignment(
        groups_model.Assignment(ids.DomainName("d"), ids.Epoch(3), [ready])
    )
    assert chooser.choose(_call(), frozenset(), LATER) is None


def _group(
    chooser: endpoint_selection.EndpointSelector,
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


def test_load_ramps_up_after_the_cold_start() -> None:
    chooser = _chooser(["a"])
    endpoint = _endpoint(chooser, 0)
    known = chooser.cold.by_id[endpoint.id]
    known.ramp_from = LATER
    rooms = [
        chooser.cold.room(
            endpoint, SERVICE, 1.0, clock.MonotonicTime(LATER + second)
        )
        for second in range(4)
    ]
    assert rooms == [2, 4, 8, 10]


def test_zone_that_returns_is_ramped() -> None:
    chooser = _chooser(["a"])
    out = model.Zone(ids.ZoneName("a"), model.ZoneState.OUT)
    chooser.routing_table.apply_configuration(model.Configuration(zones=[out]))
    assert chooser.choose(_call(), frozenset(), LATER) is None
    back = model.Zone(ids.ZoneName("a"))
    chooser.routing_table.apply_configuration(
        model.Configuration(zones=[back])
    )
    endpoint = _endpoint(chooser, 0)
    now = chooser.cold.by_id[endpoint.id].ramp_from
    assert chooser.cold.room(endpoint, SERVICE, 1.0, now) == 2
