"""Test that the keeper tells its peers which heads have changed.

Pattern: groups are lost and formed again while requests keep coming; a
router that learns late of a new head leaves its slots empty.
"""

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import report_updates
from sycamoredale import ids
from tests import instance_fixtures

NOW = clock.MonotonicTime(100.0)
KEY = instance_fixtures.key("large", 7)


def _report(state, orders_taken, rank=0):
    place = None
    if state is not None:
        place = instance_state.Membership(KEY.group, KEY.epoch, rank, state)
    return instance_state.Report(1000, orders_taken, place, ("large",))


def _router(**changes):
    book = instance_table.InstanceTable()
    known = endpoints.EndpointTable(
        book, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    book.apply_listed(instance_fixtures.instance("i0", **changes), NOW)
    exchange = peer_updates.PeerUpdateExchange(
        ids.DaemonId("d1"), known, lambda: []
    )
    return book, known, exchange


def _received(report):
    keeper = peer_updates.PeerUpdateExchange(
        ids.DaemonId("d2"), _router()[1], lambda: []
    )
    keeper.outbox.put(ids.InstanceId("i0"), report)
    data = peer_updates._ENCODER.encode(keeper.build_update(NOW))
    return peer_updates._DECODER.decode(data)


def test_router_sends_to_a_head_that_the_keeper_saw_open():
    _, known, exchange = _router()
    assert "i0" not in known.by_id
    exchange.receive(
        _received(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert known.by_id["i0"].model == "large"
    exchange.receive(
        _received(_report(instance_state.MemberState.READY, 3)), NOW
    )
    assert "i0" not in known.by_id


@pytest.mark.parametrize("orders_taken", [1, 2])
def test_word_that_comes_late_changes_nothing(orders_taken):
    _, known, exchange = _router()
    exchange.receive(
        _received(_report(instance_state.MemberState.READY, 3)), NOW
    )
    late = _report(instance_state.MemberState.OPEN, orders_taken)
    exchange.receive(_received(late), NOW)
    assert "i0" not in known.by_id


def test_older_entry_of_the_list_does_not_take_the_word_back():
    book, known, exchange = _router()
    exchange.receive(
        _received(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    book.apply_listed(instance_fixtures.instance("i0", orders_taken=1), NOW)
    assert "i0" in known.by_id


def test_leaving_head_that_is_told_open_gets_no_request():
    _, known, exchange = _router(leaving=True)
    exchange.receive(
        _received(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert "i0" not in known.by_id


def test_instance_that_is_not_listed_gets_no_request():
    book, known, exchange = _router()
    book.remove_listed(ids.InstanceId("i0"), NOW)
    exchange.receive(
        _received(_report(instance_state.MemberState.OPEN, 2)), NOW
    )
    assert not known.by_id


def test_only_changes_of_heads_are_told():
    book, _, _ = _router()
    name = ids.InstanceId("i0")
    ready = instance_state.MemberState.READY
    assert not book.apply_report(name, _report(ready, 1, rank=1))
    assert book.apply_report(name, _report(ready, 2))
    assert not book.apply_report(name, _report(ready, 2))
    assert book.apply_report(name, _report(instance_state.MemberState.OPEN, 3))
    assert book.apply_report(name, _report(None, 4))
    assert not book.apply_report(name, _report(ready, 1))


def test_report_is_told_some_times_and_a_newer_one_replaces_it():
    outbox = report_updates.Outbox()
    name = ids.InstanceId("i0")
    outbox.put(name, _report(instance_state.MemberState.READY, 1))
    outbox.take()
    outbox.put(name, _report(instance_state.MemberState.OPEN, 2))
    told = [n.orders_taken for _ in range(5) for n in outbox.take()]
    assert told == [2] * report_updates.SENDS_PER_REPORT


def test_many_reports_are_told_in_parts_and_none_is_left_out():
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


def test_unknown_state_is_an_error_of_the_news():
    news = report_updates.ReportUpdate("i0", 1, 1, "g", 1, 0, "asleep", ())
    with pytest.raises(ValueError):
        report_updates.decode(news)


def test_holder_of_the_lease_tells_the_version_that_it_wrote():
    heard = []
    holder = peer_updates.PeerUpdateExchange(
        ids.DaemonId("d1"), _router()[1], lambda: [], lambda: 7
    )
    other = peer_updates.PeerUpdateExchange(
        ids.DaemonId("d2"),
        _router()[1],
        lambda: [],
        on_lease=lambda version, now: heard.append((version, now)),
    )
    other.receive(holder.build_update(NOW), NOW)
    other.receive(other.build_update(NOW), NOW)
    assert heard == [(7, NOW)]
