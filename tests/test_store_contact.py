"""Test how daemons learn since when the store has answered without a gap."""

from sycamoredale import clock
from sycamoredale.forwarding import store_contact


def _at(seconds):
    return clock.MonotonicTime(float(seconds))


def _contact(since, until, failed_at=None):
    contact = store_contact.StoreContact()
    contact.record_answer(_at(since))
    if failed_at is not None:
        contact.record_failure(_at(failed_at))
    contact.record_answer(_at(until))
    return contact


def test_outage_begins_an_interval_at_its_end():
    contact = _contact(100, 104, failed_at=101)
    assert contact.since == 104
    assert contact.settles_at() == 104 + store_contact.SETTLE_SECONDS


def test_time_in_which_nobody_called_is_no_outage():
    assert _contact(100, 104).since == 100


def test_failed_call_in_a_short_gap_is_no_outage():
    assert _contact(100, 100.9, failed_at=100.5).since == 100


def test_failure_before_the_last_answer_is_forgotten():
    contact = _contact(100, 100.5, failed_at=100.2)
    contact.record_answer(_at(104))
    assert contact.since == 100


def _exchange(sender, receiver, now):
    receiver.receive(sender.ages(_at(now)), _at(now))


# Guards against a daemon that takes its own return for that of the store.
def test_outage_of_one_daemon_ends_with_the_word_of_a_peer():
    cut_off = _contact(100, 104, failed_at=101)
    peer = _contact(99, 103.9)
    peer.record_answer(_at(104))
    _exchange(peer, cut_off, 104.1)
    assert abs(cut_off.since - 99) < 0.01


def test_return_of_the_store_is_the_earliest_that_any_daemon_has_seen():
    first = _contact(100, 104.0, failed_at=101)
    last = _contact(100, 104.6, failed_at=101)
    _exchange(first, last, 104.7)
    _exchange(last, first, 104.7)
    assert abs(last.since - 104.0) < 0.01
    assert abs(first.since - 104.0) < 0.01


def test_daemon_that_made_no_call_learns_of_an_outage():
    waiting = _contact(90, 100)
    _exchange(_contact(100, 104, failed_at=101), waiting, 104.1)
    assert abs(waiting.since - 104) < 0.01


def test_daemon_that_has_just_started_tells_nothing():
    started = store_contact.StoreContact()
    assert started.ages(_at(100)) == store_contact.NO_AGES
    started.record_answer(_at(100))
    assert started.ages(_at(100.1)) == store_contact.NO_AGES
    assert started.settles_at() == store_contact.NEVER
    later = 100.1 + store_contact.SETTLE_SECONDS
    assert started.ages(_at(later)) != store_contact.NO_AGES


def test_daemon_that_has_just_started_learns_of_an_outage():
    started = store_contact.StoreContact()
    started.record_answer(_at(104.2))
    _exchange(_contact(100, 104, failed_at=101), started, 104.3)
    assert started.settles_at() > 106


def test_malformed_ages_change_nothing():
    contact = _contact(100, 104)
    for ages in (store_contact.NO_AGES, (5, 10), (-5, -7)):
        contact.receive(ages, _at(105))
    assert (contact.since, contact.heard_at) == (100, 104)
