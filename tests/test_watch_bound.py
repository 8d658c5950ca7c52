"""Test that changes are in force in time though the store goes silent."""

import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.forwarding import watch_timing
from tests import watch_simulation
from tests.watch_simulation import Span


@pytest.mark.parametrize("bound", [0.5, 2.0, 3.0, 5.0, 18.0])
def test_wait_and_calls_in_a_row_take_no_longer_than_the_bound(bound):
    timing = watch_timing.WatchTiming(bound)
    wait, margin = timing.watch_seconds(0.0), timing.watch_limits()
    listing = timing.list_limits(1, new_connection=True)
    assert 0 < wait
    assert wait + margin.answer_seconds <= timing.max_age_seconds
    assert timing.max_age_seconds + listing.answer_seconds <= bound + 1e-9
    assert timing.watch_seconds(timing.max_age_seconds) == 0


def _play(faults, change_times, bound, seconds=30.0):
    fleet = watch_simulation.Fleet(faults, change_times, bound)
    end = fleet.scheduler.now + seconds
    fleet.scheduler.run_until(end)
    fleet.scheduler.close()
    return fleet.late_changes(end)


def _silence(start):
    """Return the faults of a store that drops its history after a silence.

    The store cuts the watches that wait, and drops its history a moment
    later.  A watch that begins in between is neither cut nor answered.
    """
    return watch_simulation.Faults(
        silences=[Span(start, start + 1.26)],
        cuts=[start + 1.2],
        compactions=[start + 1.26],
    )


# Guards against a watch that the store neither answers nor cuts: it was
# waited for longer than the time in which a change has to be in force.
@pytest.mark.parametrize("bound", [2.0, 3.0])
def test_watch_without_an_answer_does_not_delay_a_change(bound):
    late = [
        found
        for tenth in range(30)
        for start in [111.0 + tenth / 30]
        for found in _play(
            _silence(start), [start + 0.37, start + 0.67], bound
        )
    ]
    assert late == []


def _spans(longest):
    """Return spans that begin between 5 and 15 s after the start."""
    return strategies.builds(
        lambda start, seconds: Span(start, start + seconds),
        strategies.floats(105.0, 115.0),
        strategies.floats(0.1, longest),
    )


DAEMONS = strategies.sampled_from(["publisher", "peer0", "peer1"])
FAULTS = strategies.builds(
    watch_simulation.Faults,
    silences=strategies.lists(_spans(4.0), max_size=2),
    cuts=strategies.lists(strategies.floats(105.0, 117.0), max_size=2),
    compactions=strategies.lists(strategies.floats(105.0, 117.0), max_size=2),
    slow=strategies.lists(_spans(4.0), max_size=1),
    outages=strategies.lists(
        strategies.tuples(DAEMONS, _spans(4.0), strategies.booleans()),
        max_size=2,
    ),
    lost_updates=strategies.lists(
        strategies.tuples(DAEMONS, _spans(4.0)), max_size=2
    ),
)


# Guards against the whole class: knowledge that grows older than the bound
# while the daemon could have listed the store.
@hypothesis.given(
    faults=FAULTS,
    change_times=strategies.lists(
        strategies.floats(104.0, 117.0), min_size=1, max_size=4
    ),
    bound=strategies.sampled_from([2.0, 3.0, 4.0]),
)
@hypothesis.settings(max_examples=120)
def test_change_is_in_force_within_the_bound_under_any_faults(
    faults, change_times, bound
):
    assert _play(faults, sorted(change_times), bound, seconds=20.0) == []
