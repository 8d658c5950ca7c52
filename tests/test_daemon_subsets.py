"""Test the selection of endpoints from subsets in a large fleet."""

import dataclasses
import random

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.scheduling import endpoint_subsets
from tests import instance_fixtures
from tests import test_platform_codec as codec

NOW = clock.MonotonicTime(100.0)
SLOTS = instance_fixtures.ENGINE.slots
CALLS = 200
# Of the first event alone.
IN_TIME, LATE = 10.0, 0.001


def members(zones="abc", per_zone=20):
    """Return the view of a daemon whose near subset is in the first zone.

    The subset begins at the first endpoint; that of a later daemon may end in
    the next zone.
    """
    names = [f"d{number}" for number in range(per_zone)]
    own = min(names, key=lambda n: endpoint_subsets._order((n, zones[0])))
    found = view.MembershipView(_peer(own, zones[0]))
    for zone in zones:
        for name in names:
            found.merge(_peer(name + zone.strip(zones[0]), zone), NOW)
    return found


def _peer(name, zone):
    return view.Peer(
        ids.DaemonId(name),
        "127.0.0.1:1",
        ids.ZoneName(zone),
        view.Role.ROUTER,
        ids.Incarnation(1),
    )


def _selector(zones="abc", per_zone=6, loads=None):
    """Return a selector in zone a; `loads` are per slot, by zone."""
    instances = instance_table.InstanceTable()
    table = endpoints.EndpointTable(
        instances, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    for zone in zones:
        for number in range(per_zone):
            key = instance_fixtures.key("large", len(instances.by_id) + 1)
            instances.apply_listed(
                instance_fixtures.instance(
                    f"{zone}{number}",
                    zone=zone,
                    membership=(key, 0, instance_state.MemberState.OPEN),
                ),
                NOW,
            )
    selector = endpoint_selection.EndpointSelector(
        table,
        instances,
        ids.ZoneName("a"),
        instance_fixtures.cold_quota_of(1),
        random.Random(1),
        subsets=daemon_subsets.DaemonSubsets(members(), lambda: True),
    )
    if loads is not None:
        _set_loads(selector, loads)
    return selector


def _set_loads(selector, load_by_zone):
    for endpoint in selector.endpoint_table.by_id.values():
        load = load_by_zone[endpoint.instance.zone]
        endpoint.set_peer_load(load * SLOTS, NOW)


def _call(objective=IN_TIME):
    call = codec._call([("Model", "large")])
    route = dataclasses.replace(call.route, objective_seconds=objective)
    return dataclasses.replace(call, route=route, arrived_at=NOW)


def _share_of_own_zone(selector, call, **options):
    own = 0
    for _ in range(CALLS):
        selected = selector.select(call, frozenset(), NOW, **options)
        own += selected.instance.zone == "a"
    return own / CALLS


@pytest.mark.parametrize("load", [0.1, 0.9, 1.4])
def test_late_calls_stay_near_at_equal_loads(load):
    """Guard against late calls that go to any endpoint without a benefit."""
    selector = _selector(loads={"a": load, "b": load - 0.05, "c": load})
    assert _share_of_own_zone(selector, _call(LATE)) == 1.0


def test_late_call_goes_to_a_less_loaded_zone():
    selector = _selector(loads={"a": 1.2, "b": 0.9, "c": 1.2})
    assert _share_of_own_zone(selector, _call(LATE)) == 0.0


def test_call_is_not_refused_while_another_zone_has_capacity():
    """Guard against a refusal within the margin for leaving a zone."""
    selector = _selector(loads={"a": 1.55, "b": 1.45, "c": 1.6})
    assert _share_of_own_zone(selector, _call(LATE)) == 0.0


def test_load_reported_with_an_answer_does_not_tell_all_loads():
    """Guard against a zone that is filled by its daemons after a start.

    The first answer reports the load of its endpoint only.
    """
    selector = _selector()
    first = next(iter(selector.endpoint_table.by_id.values()))
    first.record_reported_load(calls.Load(0, 0, SLOTS), NOW)
    # Five pairs of nine have an endpoint of the own zone.
    share = _share_of_own_zone(selector, _call())
    assert share == pytest.approx(5 / 9, abs=0.1)
    _set_loads(selector, {"a": 0.0, "b": 0.0, "c": 0.0})
    assert _share_of_own_zone(selector, _call()) == 1.0


def test_resend_is_not_limited_to_endpoints_near_by():
    """Guard against a call that is lost again with the rest of its zone."""
    selector = _selector(loads={"a": 0.0, "b": 0.0, "c": 0.0})
    excluded = frozenset(("a0",))
    zones = {
        selector.select(_call(), excluded, NOW, True).instance.zone
        for _ in range(CALLS)
    }
    assert zones == {"a", "b", "c"}
