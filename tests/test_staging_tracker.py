"""Test how long a staging counts as a load in progress."""

from sycamoredale.groups import staging_tracker
from tests import instance_fixtures

EMPTY = instance_fixtures.instance("i0")
STAGED = instance_fixtures.instance("i0", staged=("small",))


def _tracker():
    tracker = staging_tracker.StagingTracker()
    tracker.record_order("i0", "small", 10.0)
    return tracker


def test_staging_is_in_progress_until_the_model_is_staged():
    tracker = _tracker()
    during = instance_fixtures.snapshot([EMPTY], 20.0)
    assert tracker.in_progress(during) == {"i0": "small"}
    assert not tracker.in_progress(instance_fixtures.snapshot([STAGED], 22.0))


def test_staging_without_a_result_times_out():
    late = 10.0 + staging_tracker.REPEAT_STAGE_SECONDS
    assert not _tracker().in_progress(
        instance_fixtures.snapshot([EMPTY], late)
    )


def test_unanswered_order_to_stage_is_repeated_soon():
    """Scenario: orders are not answered, and some are never carried out."""
    tracker = _tracker()
    tracker.record_unanswered("i0", "small", 11.0)
    soon = instance_fixtures.snapshot([EMPTY], 12.0)
    assert tracker.in_progress(soon) == {"i0": "small"}
    later = 11.1 + staging_tracker.UNANSWERED_RETRY_SECONDS
    assert not tracker.in_progress(instance_fixtures.snapshot([EMPTY], later))


def test_staging_of_a_missing_instance_is_dropped():
    assert not _tracker().in_progress(instance_fixtures.snapshot([], 11.0))
