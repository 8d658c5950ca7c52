"""Test how long a place among the loads is taken by a staging."""

from sycamoredale.groups import staging_tracker
from tests import instance_fixtures

EMPTY = instance_fixtures.instance("i0")
HOLDS = instance_fixtures.instance("i0", staged=("small",))


def _record():
    record = staging_tracker.StagingTracker()
    record.record_order("i0", "small", 10.0)
    return record


def test_staging_is_under_way_until_the_host_holds_the_model():
    record = _record()
    during = instance_fixtures.snapshot([EMPTY], 20.0)
    assert record.in_progress(during) == {"i0": "small"}
    assert not record.in_progress(instance_fixtures.snapshot([HOLDS], 22.0))


def test_staging_without_a_result_is_given_up():
    late = 10.0 + staging_tracker.REPEAT_STAGE_SECONDS
    assert not _record().in_progress(instance_fixtures.snapshot([EMPTY], late))


def test_unanswered_order_to_stage_is_given_again_soon():
    """Pattern: orders get no answer, and some are never carried out."""
    record = _record()
    record.record_unanswered("i0", "small", 11.0)
    soon = instance_fixtures.snapshot([EMPTY], 12.0)
    assert record.in_progress(soon) == {"i0": "small"}
    later = 11.1 + staging_tracker.UNANSWERED_RETRY_SECONDS
    assert not record.in_progress(instance_fixtures.snapshot([EMPTY], later))


def test_instance_that_is_gone_takes_no_place():
    assert not _record().in_progress(instance_fixtures.snapshot([], 11.0))
