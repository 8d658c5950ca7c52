"""Test the rules of streams, retries, selection, updates and routes."""

import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import route_table
from sycamoredale.forwarding import update_exchange
from sycamoredale.groups import load_rate
from sycamoredale import ids
from tests import instance_fixtures
from tests import test_platform_codec as codec
from tests import update_fixtures

NOW = clock.MonotonicTime(100.0)
LONG_AGO = clock.MonotonicTime(-100.0)


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_stream_relays_complete_events_once_and_in_order():
    stream = event_stream.EventStream()
    assert stream.feed(_event(1) + _event(2)[:5]) == _event(1)
    assert not stream.ends_at_boundary
    assert stream.feed(_event(2)[5:]) == _event(2)
    assert stream.last_event_id == 2
    stream.feed(b"id: 3\nda")
    stream.restart()
    assert stream.feed(_event(2) + _event(3)) == _event(3)
    assert stream.ends_at_boundary


def test_stream_stops_at_a_missing_event():
    stream = event_stream.EventStream(last_event_id=4)
    assert stream.feed(_event(5) + _event(7)) == _event(5)
    assert stream.has_gap


def test_event_without_an_id_is_relayed():
    stream = event_stream.EventStream()
    assert stream.feed(b"weight-versions: 2\n\n") == b"weight-versions: 2\n\n"


def test_retries_of_all_daemons_stay_within_the_budget():
    daemons = 7
    budgets = [
        retry_budget.RetryBudget(0.2, 132.0, 10.0, lambda: daemons, LONG_AGO)
        for _ in range(daemons)
    ]
    sent = 0
    for n in range(3000):
        now = clock.MonotonicTime(n * 0.003)
        budget = budgets[n % daemons]
        if n % 3 == 0:
            budget.record_request(instance_fixtures.SERVICE, now)
        sent += budget.try_withdraw(instance_fixtures.SERVICE, now)
    assert sent <= 0.2 * 1000 + 132


def test_retries_before_the_window_do_not_count():
    burst = 2.0 / retry_budget.BURST_SHARE
    budget = retry_budget.RetryBudget(0.0, burst, 10.0, lambda: 1, LONG_AGO)
    early = clock.MonotonicTime(0.0)
    taken = [
        budget.try_withdraw(instance_fixtures.SERVICE, early) for _ in range(3)
    ]
    assert taken == [True, True, False]
    assert budget.try_withdraw(
        instance_fixtures.SERVICE, clock.MonotonicTime(10.5)
    )


def test_restarted_daemon_has_no_second_burst_at_once():
    started = clock.MonotonicTime(50.0)
    budget = retry_budget.RetryBudget(0.0, 100.0, 10.0, lambda: 1, started)
    soon = clock.MonotonicTime(51.0)
    taken = sum(
        budget.try_withdraw(instance_fixtures.SERVICE, soon) for _ in range(99)
    )
    assert taken <= 10


def test_load_rate_of_two_controllers_is_limited():
    first, second = load_rate.LoadRateLimiter(5.0), load_rate.LoadRateLimiter(
        5.0
    )
    left = first.available(4.5, NOW)
    first.record(left, NOW)
    assert first.available(4.5, NOW) == 0
    assert left + second.available(4.5, NOW) <= 4.5 * 5.0
    assert first.available(4.5, clock.MonotonicTime(NOW + 5.1)) == left


def _site(*listed, own_zone="a", daemons=1):
    instances = instance_table.InstanceTable()
    table = endpoints.EndpointTable(
        instances, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    for instance in listed:
        instances.apply_listed(instance, NOW)
    selector = endpoint_selection.EndpointSelector(
        table,
        instances,
        ids.ZoneName(own_zone),
        instance_fixtures.cold_quota_of(daemons),
    )
    return table, selector


def _open_head(name, epoch, **changes):
    key = instance_fixtures.key("large", epoch)
    membership = (key, 0, instance_state.MemberState.OPEN)
    return instance_fixtures.instance(name, membership=membership, **changes)


def _call():
    return codec._call([("Model", "large")])


def test_only_open_heads_are_selected():
    key = instance_fixtures.key("large")
    group = instance_fixtures.members(
        key, ("i0", "i1", "i2", "i3"), instance_state.MemberState.READY
    )
    _, selector = _site(*group)
    with pytest.raises(errors.Refusal):
        selector.select(_call(), set(), NOW)


def test_least_loaded_endpoint_is_selected():
    table, selector = _site(_open_head("i0", 1), _open_head("i1", 2))
    table.by_id["i0"].in_flight = 6
    assert selector.select(_call(), set(), NOW).id == "i1"
    table.by_id["i1"].set_peer_load(9.0, NOW)
    assert selector.select(_call(), set(), NOW).id == "i0"


def test_call_to_full_endpoints_is_refused_with_a_retry_time():
    table, selector = _site(_open_head("i0", 1))
    table.by_id["i0"].in_flight = 20
    with pytest.raises(errors.Refusal) as raised:
        selector.select(_call(), set(), NOW)
    assert raised.value.code.status == 503
    assert raised.value.retry_after == endpoint_selection.FULL_RETRY_SECONDS


def test_started_answer_continues_on_a_full_endpoint():
    table, selector = _site(_open_head("i0", 1))
    table.by_id["i0"].in_flight = 20
    chosen = selector.select(_call(), set(), NOW, allow_full=True)
    assert chosen.id == "i0"


def test_stalled_endpoint_is_excluded_until_it_makes_progress():
    table, selector = _site(_open_head("i0", 1), _open_head("i1", 2))
    table.by_id["i1"].in_flight = 5
    table.by_id["i0"].suspect(NOW)
    assert selector.select(_call(), set(), NOW).id == "i1"
    table.by_id["i0"].record_progress(NOW)
    assert selector.select(_call(), set(), NOW).id == "i0"


def test_attempts_on_a_stalled_endpoint_back_off():
    # The list is not updated, so that a lost group still looks open.
    table, _ = _site(_open_head("i0", 1))
    endpoint = table.by_id["i0"]
    now = 100.0
    tries = 0
    while now < 112.0:
        if not endpoint.is_suspect(now):
            tries += 1
            for _ in range(5):  # All streams there stall at once.
                endpoint.suspect(clock.MonotonicTime(now))
        now += 0.1
    assert tries <= 4
    endpoint.record_progress(clock.MonotonicTime(now))
    endpoint.suspect(clock.MonotonicTime(now))
    assert not endpoint.is_suspect(clock.MonotonicTime(now + 1.6))


def test_endpoint_is_replaced_when_its_instance_leaves_or_its_group_changes():
    table, _ = _site(_open_head("i0", 1), _open_head("i1", 2))
    old = table.by_id["i1"]
    table.instances.apply_listed(_open_head("i0", 1, leaving=True), NOW)
    table.instances.apply_listed(_open_head("i1", 3, orders_taken=9), NOW)
    assert "i0" not in table.by_id
    assert table.by_id["i1"] is not old


def test_requests_to_a_cold_endpoint_are_limited():
    cold = _open_head("i0", 1)
    table, selector = _site(cold, daemons=4)
    table.instances.cold_until_by_id["i0"] = clock.MonotonicTime(NOW + 3.0)
    sent = 0
    for n in range(50):
        now = clock.MonotonicTime(NOW + n * 0.015)
        try:
            endpoint = selector.select(_call(), set(), now)
        except errors.Refusal:
            continue
        selector.record_send(endpoint, now)
        sent += 1
    assert 0 < 4 * sent <= 26 * 1.5 + 5


def test_cross_domain_group_is_used_once_the_other_is_half_full():
    single_domain = _open_head("i0", 1)
    cross_domain = _open_head("i1", 2)
    member = instance_fixtures.instance(
        "i2",
        domain="d1",
        membership=(
            instance_fixtures.key("large", 2),
            1,
            instance_state.MemberState.READY,
        ),
    )
    table, selector = _site(single_domain, cross_domain, member)
    assert table.by_id["i1"].is_cross_domain
    table.by_id["i0"].in_flight = 4
    assert selector.select(_call(), set(), NOW).id == "i0"
    table.by_id["i0"].in_flight = 10
    assert selector.select(_call(), set(), NOW).id == "i1"


def _exchange(table):
    return update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"), table, update_fixtures.selector("d1")
    )


def test_loads_of_peers_are_summed_and_replaced():
    table, _ = _site(_open_head("i0", 1))
    exchange = _exchange(table)
    for daemon, count in (("d2", 3), ("d3", 4)):
        item = peer_updates.EndpointUpdate("i0", count, -1, 0)
        exchange.receive(peer_updates.PeerUpdate(daemon, [item]), NOW)
    exchange.apply_peer_loads(NOW)
    assert table.by_id["i0"].load(NOW) == 7
    exchange.receive(peer_updates.PeerUpdate("d2", []), NOW)
    exchange.apply_peer_loads(NOW)
    assert table.by_id["i0"].load(NOW) == 4


def test_half_open_endpoint_gets_one_request_at_a_time():
    """A lost head is listed for some seconds and has the least load."""
    table, selector = _site(_open_head("i0", 1), _open_head("i1", 2))
    table.by_id["i0"].suspect(NOW)
    table.by_id["i1"].in_flight = 5
    later = clock.MonotonicTime(NOW + endpoints.SUSPECT_SECONDS + 0.1)
    assert selector.select(_call(), set(), later).id == "i0"
    table.by_id["i0"].in_flight = 1
    assert selector.select(_call(), set(), later).id == "i1"
    # A half-open endpoint is selected if there is no other.
    assert selector.select(_call(), {"i1"}, later).id == "i0"
    table.by_id["i0"].record_progress(later)
    assert selector.select(_call(), set(), later).id == "i0"


def test_progress_seen_by_one_peer_overrides_the_suspicion_of_another():
    table, _ = _site(_open_head("i0", 1))
    exchange = _exchange(table)
    progress = peer_updates.EndpointUpdate("i0", 1, 50, 0)
    suspected = peer_updates.EndpointUpdate("i0", 1, 2000, 1200)
    exchange.receive(peer_updates.PeerUpdate("d2", [progress]), NOW)
    exchange.receive(peer_updates.PeerUpdate("d3", [suspected]), NOW)
    assert not table.by_id["i0"].is_suspect(NOW)
    later = clock.MonotonicTime(NOW + 1.0)
    exchange.receive(peer_updates.PeerUpdate("d3", [suspected]), later)
    assert table.by_id["i0"].is_suspect(later)


def test_interval_of_updates_grows_with_the_peers():
    assert (
        update_exchange.interval_seconds(8) == update_exchange.INTERVAL_SECONDS
    )
    daemons = 87
    sent = daemons / update_exchange.interval_seconds(daemons)
    assert sent <= update_exchange.MAX_DATAGRAMS_PER_SECOND


class _Datagrams:
    def __init__(self):
        self._socket = self
        self.sent = []

    def sendto(self, data, address):
        self.sent.append(peer_updates.PeerUpdate("d1", []))


def test_idle_daemon_sends_one_empty_update():
    table, _ = _site(_open_head("i0", 1))
    exchange = _exchange(table)
    sock = _Datagrams()
    peers = [codec.messages.Address("127.0.0.1", 1)]
    sent = []
    for in_flight in (0, 2, 0, 0, 0, 1):
        table.by_id["i0"].in_flight = in_flight
        exchange._send(sock, peers, exchange.build_update(NOW))
        sent.append(len(sock.sent))
    assert sent == [0, 1, 2, 2, 2, 3]


def _table():
    configuration = codec.manifest.decode(
        codec.json.dumps(codec.MANIFEST).encode()
    )
    table = route_table.RouteTable()
    table.activate(configuration)
    return table


def _envelope(**fields):
    headers = [(n.replace("_", "-"), v) for n, v in fields.items()]
    return codec.wire_format.read_envelope(
        codec.messages.Request("GET", "/", codec.messages.Headers(headers))
    )


def test_longest_prefix_of_the_host_is_found():
    table = _table()
    host = _envelope(Host="a.example:80")
    assert table.find_route(host, "/a/x").name == "r1"
    with pytest.raises(errors.Refusal) as raised:
        table.find_route(host, "/ab")
    assert raised.value.code.status == 404


def test_call_is_refused_without_a_configuration():
    with pytest.raises(errors.Refusal) as raised:
        route_table.RouteTable().find_route(_envelope(Host="x"), "/a/")
    assert raised.value.code.status == 503


def test_older_configuration_is_never_put_in_force():
    table = _table()
    assert not table.activate(catalogue.Catalogue(version=6))
    assert table.current.version == 7


@pytest.mark.parametrize("key,caller", [("k1", "t1"), ("k2", "t1")])
def test_key_identifies_the_organisation(key, caller):
    table = _table()
    envelope = _envelope(Host="a.example", Authorization=f"Bearer {key}")
    route = table.find_route(envelope, "/a/")
    assert table.authenticate(envelope, route) == caller


def test_unknown_key_is_refused():
    table = _table()
    envelope = _envelope(Host="a.example", Authorization="Bearer unknown")
    with pytest.raises(errors.Refusal) as raised:
        table.authenticate(envelope, table.find_route(envelope, "/a/"))
    assert raised.value.code.status == 401
