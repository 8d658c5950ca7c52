"""Test that the keeper tells its peers which heads have changed.

Pattern: groups are lost and formed again while requests keep coming; a
router that learns late of a new head leaves its slots empty.
"""

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_book
from sycamoredale.forwarding import listing
from sycamoredale.forwarding import load_news
from sycamoredale.forwarding import report_news
from sycamoredale import ids
from tests import instance_fixtures

NOW = clock.MonotonicTime(100.0)
KEY = instance_fixtures.key("large", 7)


def _report(state, orders_taken, rank=0):
    place = None
    if state is not None:
        place = listing.Membership(KEY.group, KEY.epoch, rank, state)
    return listing.Report(1000, orders_taken, place, ("large",))


def _router(**changes):
    book = instance_book.InstanceBook()
    known = endpoints.EndpointTable(
        book, lambda: instance_fixtures.SERVICES, lambda: frozenset()
    )
    book.note(instance_fixtures.instance("i0", **changes), NOW)
    news = load_news.LoadNews(ids.DaemonId("d1"), known, lambda: [])
    return book, known, news


def _told(report):
    keeper = load_news.LoadNews(ids.DaemonId("d2"), _router()[1], lambda: [])
    keeper.outbox.put(ids.InstanceId("i0"), report)
    data = load_news._ENCODER.encode(keeper.own(NOW))
    return load_news._DECODER.decode(data)


def test_router_sends_to_a_head_that_the_keeper_saw_open():
    _, known, news = _router()
    assert "i0" not in known.by_id
    news.hear(_told(_report(listing.MemberState.OPEN, 2)), NOW)
    assert known.by_id["i0"].model == "large"
    news.hear(_told(_report(listing.MemberState.READY, 3)), NOW)
    assert "i0" not in known.by_id


@pytest.mark.parametrize("orders_taken", [1, 2])
def test_word_that_comes_late_changes_nothing(orders_taken):
    _, known, news = _router()
    news.hear(_told(_report(listing.MemberState.READY, 3)), NOW)
    late = _report(listing.MemberState.OPEN, orders_taken)
    news.hear(_told(late), NOW)
    assert "i0" not in known.by_id


def test_older_entry_of_the_list_does_not_take_the_word_back():
    book, known, news = _router()
    news.hear(_told(_report(listing.MemberState.OPEN, 2)), NOW)
    book.note(instance_fixtures.instance("i0", orders_taken=1), NOW)
    assert "i0" in known.by_id


def test_leaving_head_that_is_told_open_gets_no_request():
    _, known, news = _router(leaving=True)
    news.hear(_told(_report(listing.MemberState.OPEN, 2)), NOW)
    assert "i0" not in known.by_id


def test_instance_that_is_not_listed_gets_no_request():
    book, known, news = _router()
    book.remove(ids.InstanceId("i0"), NOW)
    news.hear(_told(_report(listing.MemberState.OPEN, 2)), NOW)
    assert not known.by_id


def test_only_changes_of_heads_are_told():
    book, _, _ = _router()
    name = ids.InstanceId("i0")
    ready = listing.MemberState.READY
    assert not book.note_report(name, _report(ready, 1, rank=1))
    assert book.note_report(name, _report(ready, 2))
    assert not book.note_report(name, _report(ready, 2))
    assert book.note_report(name, _report(listing.MemberState.OPEN, 3))
    assert book.note_report(name, _report(None, 4))
    assert not book.note_report(name, _report(ready, 1))


def test_report_is_told_some_times_and_a_newer_one_replaces_it():
    outbox = report_news.Outbox()
    name = ids.InstanceId("i0")
    outbox.put(name, _report(listing.MemberState.READY, 1))
    outbox.take()
    outbox.put(name, _report(listing.MemberState.OPEN, 2))
    told = [n.orders_taken for _ in range(5) for n in outbox.take()]
    assert told == [2] * report_news.REPEATS


def test_many_reports_are_told_in_parts_and_none_is_left_out():
    outbox = report_news.Outbox()
    names = {f"i{n}" for n in range(3 * report_news.MAX_REPORTS)}
    for name in names:
        outbox.put(ids.InstanceId(name), _report(None, 1))
    parts = [outbox.take() for _ in range(12)]
    assert all(len(p) <= report_news.MAX_REPORTS for p in parts)
    assert {n.instance for p in parts for n in p} == names


def test_unknown_state_is_an_error_of_the_news():
    news = report_news.ReportNews("i0", 1, 1, "g", 1, 0, "asleep", ())
    with pytest.raises(ValueError):
        report_news.decode(news)


def test_holder_of_the_lease_tells_the_version_that_it_wrote():
    heard = []
    holder = load_news.LoadNews(
        ids.DaemonId("d1"), _router()[1], lambda: [], lambda: 7
    )
    other = load_news.LoadNews(
        ids.DaemonId("d2"),
        _router()[1],
        lambda: [],
        hear_lease=lambda version, now: heard.append((version, now)),
    )
    other.hear(holder.own(NOW), NOW)
    other.hear(other.own(NOW), NOW)
    assert heard == [(7, NOW)]
