"""Test what the logs and metrics tell of the objects that a daemon knows."""

import structlog

from sycamoredale import clock
from sycamoredale.forwarding import knowledge
from sycamoredale.forwarding import watch_observer
from sycamoredale import ids
from sycamoredale.object_api import objects

VERSION = ids.ObjectVersion(7)


def _at(seconds):
    return clock.MonotonicTime(float(seconds))


def _observer():
    known = knowledge.Knowledge(bound_seconds=3.0)
    return watch_observer.WatchObserver("config", known, logs_changes=True)


def test_age_counts_from_the_last_proof():
    known = knowledge.Knowledge(bound_seconds=3.0)
    known.advance(_at(10), knowledge.Source.STORE_LIST)
    known.advance(_at(8), knowledge.Source.PEER)
    assert known.source is knowledge.Source.STORE_LIST
    assert known.age(_at(13)) == 3.0
    assert not known.is_late(_at(13))
    assert known.is_late(_at(13.1))


def test_late_knowledge_is_logged_and_counted_once_with_its_age():
    observer = _observer()
    observer.known.advance(_at(10), knowledge.Source.PEER)
    with structlog.testing.capture_logs() as lines:
        for now in (12, 14, 15):
            observer.check(VERSION, _at(now))
        observer.known.advance(_at(15), knowledge.Source.STORE_LIST)
        observer.check(VERSION, _at(15.5))
    late, recovered = lines
    assert late["event"] == "knowledge_late"
    assert (late["known_seconds_ago"], late["source"]) == (4.0, "peer")
    assert recovered["event"] == "knowledge_recovered"
    assert recovered["late_seconds"] == 5.5
    assert observer.metrics.counts["late", "config"] == 1


def test_delay_of_a_change_counts_from_when_it_was_not_confirmed():
    observer = _observer()
    seen = objects.Listing(VERSION, deleted=["old"])
    observer.known.advance(_at(10), knowledge.Source.STORE_WATCH)
    with structlog.testing.capture_logs() as lines:
        observer.on_change(knowledge.Source.STORE_LIST, seen, _at(12.5))
    assert lines[0]["confirmed_seconds_ago_at_most"] == 2.5
    assert lines[0]["source"] == "store_list"
    text = observer.metrics.render()
    assert 'sycamoredale_change_delay_seconds_count{kind="config"} 1' in text


def test_first_list_has_no_delay():
    observer = _observer()
    observer.on_change(
        knowledge.Source.STORE_LIST, objects.Listing(VERSION), _at(5)
    )
    assert "change_delay" not in observer.metrics.render()


def test_metrics_have_the_age_the_version_and_the_calls_of_a_kind():
    observer = _observer()
    observer.known.advance(_at(10), knowledge.Source.PEER)
    observer.check(VERSION, _at(11.5))
    observer.on_call_ended(
        knowledge.Source.STORE_WATCH, watch_observer.Outcome.FAILED, 2.3
    )
    text = observer.metrics.render()
    assert 'sycamoredale_known_age_seconds{kind="config"} 1.5' in text
    assert 'sycamoredale_object_version{kind="config"} 7' in text
    assert 'store_calls_total{kind="config.store_watch.failed"} 1' in text


# Guards against removals that are kept back while the knowledge seems recent.
def test_removal_that_is_kept_back_makes_the_knowledge_late():
    observer = _observer()
    observer.known.advance(_at(10), knowledge.Source.STORE_LIST)
    with structlog.testing.capture_logs() as lines:
        observer.on_removals_kept(["a"], VERSION, _at(14), _at(10))
        observer.on_removals_kept(["a"], VERSION, _at(14), _at(11))
        observer.known.advance(_at(13), knowledge.Source.STORE_LIST)
        observer.check(VERSION, _at(13.5))
        observer.on_removals_settled(["a"], _at(14))
        observer.check(VERSION, _at(14))
    kept, late, in_force, recovered = lines
    assert (kept["names"], kept["seconds"]) == (["a"], 4.0)
    assert late["event"] == "knowledge_late"
    assert (late["known_seconds_ago"], late["removals_kept_back"]) == (
        3.5,
        ["a"],
    )
    assert (in_force["names"], in_force["kept_seconds"]) == (["a"], 4.0)
    assert recovered["event"] == "knowledge_recovered"
