"""Test that the group controller sends reports of changed heads to its peers.

Groups are lost and replaced under load.  A router that learns of a new head
only from the instance list leaves its slots empty meanwhile.
"""

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import report_updates
from sycamoredale.forwarding import update_exchange
from sycamoredale.http import messages
from sycamoredale import ids
from tests import instance_fixtures
from tests import update_fixtures

NOW = clock.MonotonicTime(100.0)
KEY = instance_fixtures.key("large", 7)


def _report(state, orders_taken, rank=0):
    membership = None
    if state is not None:
        membership = instance_state.Membership(
            KEY.group, KEY.epoch, rank, state
        )
    return instance_state.Report(1000, orders_taken, membership, ("large",))


def _router(**changes):
    instances = instance_table.InstanceTable()
    table = endpoints.EndpointTable(
        instances, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    instances.apply_listed(instance_fixtures.instance("i0", **changes), NOW)
    exchange = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"), table, update_fixtures.selector("d1")
    )
    return instances, table, exchange


def _update_with(report):
    controller = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d2"), _router()[1], update_fixtures.selector("d2")
    )
    controller.outbox.put(ids.InstanceId("i0"), report)
    data = peer_updates.encode(controller.build_update(NOW))
    return peer_updates.decode(data)


def test_reported_open_head_becomes_an_endpoint():
    _, table, exchange = _router()
    assert "i0" not in table.by_id
    exchange.receive(
        _update_with(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert table.by_id["i0"].model == "large"
    exchange.receive(
        _update_with(_report(instance_state.MemberState.READY, 3)), NOW
    )
    assert "i0" not in table.by_id


@pytest.mark.parametrize("orders_taken", [1, 2])
def test_report_that_arrives_late_is_ignored(orders_taken):
    _, table, exchange = _router()
    exchange.receive(
        _update_with(_report(instance_state.MemberState.READY, 3)), NOW
    )
    late = _report(instance_state.MemberState.OPEN, orders_taken)
    exchange.receive(_update_with(late), NOW)
    assert "i0" not in table.by_id


def test_older_list_entry_does_not_revert_a_report():
    instances, table, exchange = _router()
    exchange.receive(
        _update_with(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    instances.apply_listed(
        instance_fixtures.instance("i0", orders_taken=1), NOW
    )
    assert "i0" in table.by_id


def test_leaving_head_that_is_reported_open_is_no_endpoint():
    _, table, exchange = _router(leaving=True)
    exchange.receive(
        _update_with(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert "i0" not in table.by_id


def test_unlisted_head_that_is_reported_open_is_no_endpoint():
    instances, table, exchange = _router()
    instances.remove_listed(ids.InstanceId("i0"), NOW)
    exchange.receive(
        _update_with(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert not table.by_id


def test_only_changes_of_heads_are_signalled():
    instances, _, _ = _router()
    name = ids.InstanceId("i0")
    ready = instance_state.MemberState.READY
    assert not instances.apply_report(name, _report(ready, 1, rank=1))
    assert instances.apply_report(name, _report(ready, 2))
    assert not instances.apply_report(name, _report(ready, 2))
    assert instances.apply_report(
        name, _report(instance_state.MemberState.OPEN, 3)
    )
    assert instances.apply_report(name, _report(None, 4))
    assert not instances.apply_report(name, _report(ready, 1))


def test_report_is_sent_several_times_unless_a_newer_one_replaces_it():
    outbox = report_updates.Outbox()
    name = ids.InstanceId("i0")
    outbox.put(name, _report(instance_state.MemberState.READY, 1))
    outbox.take()
    outbox.put(name, _report(instance_state.MemberState.OPEN, 2))
    sent = [n.orders_taken for _ in range(5) for n in outbox.take()]
    assert sent == [2] * report_updates.SENDS_PER_REPORT


def test_many_reports_are_sent_in_several_datagrams():
    outbox = report_updates.Outbox()
    names = {
        f"i{n}" for n in range(3 * report_updates.MAX_REPORTS_PER_DATAGRAM)
    }
    for name in names:
        outbox.put(ids.InstanceId(name), _report(None, 1))
    parts = [outbox.take() for _ in range(12)]
    assert all(
        len(p) <= report_updates.MAX_REPORTS_PER_DATAGRAM for p in parts
    )
    assert {n.instance for p in parts for n in p} == names


def test_unknown_state_is_malformed():
    update = report_updates.ReportUpdate("i0", 1, 1, "g", 1, 0, "asleep", ())
    with pytest.raises(ValueError):
        report_updates.decode(update)


def test_lease_holder_sends_the_version_that_it_wrote():
    received = []
    holder = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"),
        _router()[1],
        update_fixtures.selector("d1"),
        lambda: 7,
    )
    other = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d2"),
        _router()[1],
        update_fixtures.selector("d2"),
        on_lease=lambda version, now: received.append((version, now)),
    )
    other.receive(holder.build_update(NOW), NOW)
    other.receive(other.build_update(NOW), NOW)
    assert received == [(7, NOW)]


# Pattern: hundreds of heads change at once, and the endpoints of a site of
# 1,100 instances are rebuilt for each of them.
def test_reports_of_one_update_rebuild_the_endpoints_once():
    instances, table, exchange = _router()
    for number in range(1, 12):
        instances.apply_listed(
            instance_fixtures.instance(
                f"i{number}",
                address=messages.Address("10.0.0.1", number),
            ),
            NOW,
        )
    updates = [
        report_updates.encode(
            ids.InstanceId(f"i{number}"),
            _report(instance_state.MemberState.OPEN, 2),
        )
        for number in range(12)
    ]
    rebuilt = []
    instances.on_change.append(lambda: rebuilt.append(1))
    exchange.receive(
        peer_updates.PeerUpdate(ids.DaemonId("d2"), [], updates), NOW
    )
    assert len(rebuilt) == 1
    assert len(table.by_id) == 12
