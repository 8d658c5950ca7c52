"""Test that changes are in force in time though the store goes silent."""

import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.forwarding import watch_timing
from tests import watch_simulation
from tests.watch_simulation import Change
from tests.watch_simulation import Faults
from tests.watch_simulation import Span

ALL_DAEMONS = ("publisher", *(f"peer{n}" for n in range(4)))
SOME_DAEMONS = ("publisher", "peer0", "peer1")
# Two pages, the later of which may be stale.
LONG_SHAPE = watch_simulation.Shape(entries=57, stale_seconds=3.0)
MANY_PAGES = watch_simulation.Shape(entries=180, stale_seconds=3.0)


@pytest.mark.parametrize("bound", [0.5, 2.0, 3.0, 5.0, 18.0])
def test_wait_and_calls_in_a_row_take_no_longer_than_the_bound(bound):
    timing = watch_timing.WatchTiming(bound)
    wait, margin = timing.watch_seconds(0.0), timing.watch_limits()
    listing = timing.list_limits(1, new_connection=True)
    assert 0 < wait
    assert wait + margin.answer_seconds <= timing.max_age_seconds
    assert timing.max_age_seconds + listing.answer_seconds <= bound + 1e-9
    assert timing.watch_seconds(timing.max_age_seconds) == 0


def _silence(start):
    """Return the faults of a store that drops its history after a silence.

    The store cuts the watches that wait, and drops its history a moment
    later.  A watch that begins in between is neither cut nor answered.
    """
    return Faults(
        silences=[Span(start, start + 1.26)],
        cuts=[start + 1.2],
        compactions=[start + 1.26],
    )


def _outages(names, start, seconds, silent):
    span = Span(start, start + seconds)
    return Faults(outages=[(name, span, silent) for name in names])


def _late_in_phases(play, phases=20):
    """Return what is late in runs that differ in the time of the fault."""
    return [found for n in range(phases) for found in play(111.0 + n / phases)]


# Guards against a watch that the store neither answers nor cuts: it was
# waited for longer than the time in which a change has to be in force.
@pytest.mark.parametrize("bound", [2.0, 3.0])
def test_watch_without_an_answer_does_not_delay_a_change(bound):
    def play(start):
        changes = [Change(start + 0.37), Change(start + 0.67)]
        return watch_simulation.late_changes(_silence(start), changes, bound)

    assert _late_in_phases(play) == []


# Guards against a list of several pages that fails while watches do.
@pytest.mark.parametrize("bound", [2.0, 3.0])
@pytest.mark.parametrize(
    "shape", [watch_simulation.Shape(), LONG_SHAPE, MANY_PAGES]
)
def test_removal_in_a_dropped_history_is_in_force_in_time(bound, shape):
    def play(start):
        return watch_simulation.late_changes(
            _silence(start),
            [watch_simulation.removal(start + 0.5)],
            bound,
            shape=shape,
        )

    assert _late_in_phases(play) == []


# Guards against a store that is taken for away since it answers no watch.
@pytest.mark.parametrize("seconds", [0.7, 1.0, 1.2, 2.0, 3.7])
@pytest.mark.parametrize("bound", [2.0, 3.0])
def test_removal_while_watches_get_no_answer(bound, seconds):
    def play(start):
        faults = Faults(silences=[Span(start, start + seconds)])
        changes = [
            watch_simulation.removal(start + part * seconds, f"e{number}")
            for number, part in enumerate((0.2, 0.5, 0.9))
        ]
        shape = watch_simulation.Shape(entries=10)
        return watch_simulation.late_changes(
            faults, changes, bound, shape=shape
        )

    assert _late_in_phases(play) == []


# Guards against removals that are kept back for entries that cannot have
# expired, since the store was away for some daemons only.
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("seconds", [0.9, 1.5, 2.5, 4.0])
def test_removal_while_some_daemons_have_lost_the_store(silent, seconds):
    def play(start):
        faults = _outages(SOME_DAEMONS, start, seconds, silent)
        removal = watch_simulation.removal(start + 0.5)
        return watch_simulation.late_changes(faults, [removal], 2.0)

    assert _late_in_phases(play) == []


# Guards against removals that are kept back for longer than a daemon may need
# after an outage.
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("seconds", [1.5, 2.5, 4.0])
def test_removal_after_the_store_was_away_for_all(silent, seconds):
    def play(start):
        faults = _outages(ALL_DAEMONS, start, seconds, silent)
        removal = watch_simulation.removal(start + seconds + 0.3)
        return watch_simulation.late_changes(faults, [removal], 2.0)

    assert _late_in_phases(play) == []


# Guards against calls and pauses that begin in an outage and together outlast
# the time in which a daemon has to be up to date after it.
@pytest.mark.parametrize("names", [ALL_DAEMONS, SOME_DAEMONS])
@pytest.mark.parametrize("seconds", [2.5, 4.0, 6.0, 9.0])
def test_configuration_is_in_force_in_time_after_an_outage(names, seconds):
    def play(start):
        faults = _outages(names, start, seconds, silent=True)
        change = Change(start + seconds - 0.1)
        return watch_simulation.late_changes(faults, [change], 2.0)

    assert _late_in_phases(play) == []


# Guards against a single failed call that counts as an outage long after the
# updates of a peer have replaced it.
@pytest.mark.parametrize("bound", [2.0, 3.0])
def test_removal_long_after_a_single_failed_call(bound):
    def play(start):
        start -= 3.0
        again = start + 10.0
        faults = _outages(["peer0"], start, 4.0, silent=True)
        faults.lost_updates = [
            ("peer0", Span(start - 1.0, start + 1.8)),
            ("peer0", Span(again, again + 3.0)),
        ]
        removal = watch_simulation.removal(again + 1.4)
        return watch_simulation.late_changes(faults, [removal], bound)

    assert _late_in_phases(play) == []


# Guards against live instances that are taken out of service because their
# entries expired while the store was away.
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("seconds", [1.5, 2.5, 4.0])
def test_entries_that_return_after_an_outage_stay_in_force(silent, seconds):
    def play(start):
        end = start + seconds
        faults = _outages(ALL_DAEMONS, start, seconds, silent)
        lapses = [
            *watch_simulation.lapse(end - 0.2, end + 2.0, "e0"),
            *watch_simulation.lapse(end + 0.5, end + 1.2, "e1"),
        ]
        shape = watch_simulation.Shape(entries=3)
        fleet = watch_simulation.play(faults, lapses, 2.0, shape=shape)
        return fleet.removed_by_mistake()

    assert _late_in_phases(play) == []


# Guards against two silent calls in a row at the end of the wait for entries
# that may have expired.
def test_removal_after_an_outage_for_all_and_a_silence_of_watches():
    start, end = 110.45534137750255, 114.8364561780833
    faults = _outages(ALL_DAEMONS, start, end - start, silent=True)
    faults.silences = [Span(116.39554120330308, 119.05441194447758)]
    faults.lost_updates = [("peer1", Span(105.66619696717243, 106.6))]
    changes = [
        watch_simulation.removal(115.22678083145681, "e0"),
        watch_simulation.removal(114.9464065304083, "e1"),
        Change(115.0364561780833),
        *watch_simulation.lapse(115.73559130067103, 116.18890286, "e8"),
        *watch_simulation.lapse(114.5364561780833, 116.8364561780833, "e9"),
    ]
    shape = watch_simulation.Shape(entries=180)
    late = watch_simulation.late_changes(faults, changes, 2.0, shape=shape)
    assert late == []


def _drills(starts, copy_seconds, away_seconds):
    """Return drills of the store, which is away for a moment before each."""
    return Faults(
        drills=[
            watch_simulation.Drill(start + away_seconds, copy_seconds)
            for start in starts
        ],
        outages=[
            (name, Span(start, start + away_seconds), False)
            for name in ALL_DAEMONS
            for start in starts
        ],
    )


# Guards against CONFIG after a drill: daemons ignored each answer of the store
# until its revisions had passed those from before the drill.
@pytest.mark.parametrize("copy_seconds", [1.5, 4.0, 9.0, 30.0])
@pytest.mark.parametrize("away_seconds", [0.05, 0.5, 2.5])
def test_change_after_a_drill_is_in_force_in_time(copy_seconds, away_seconds):
    def play(start):
        faults = _drills([start], copy_seconds, away_seconds)
        back_at = start + away_seconds
        changes = [
            *(Change(102.0 + n) for n in range(9)),
            watch_simulation.removal(start - 1.0, "e2"),
            Change(back_at + 3.0),
            watch_simulation.removal(back_at + 3.0, "e1"),
        ]
        shape = watch_simulation.Shape(entries=3)
        return watch_simulation.late_changes(faults, changes, 2.0, shape=shape)

    assert _late_in_phases(play, 5) == []


def test_changes_between_drills_in_series_are_in_force_in_time():
    def play(start):
        faults = _drills([start, start + 1.3, start + 4.0], 6.0, 0.4)
        changes = [Change(start + n / 3 - 2.0) for n in range(24)]
        return watch_simulation.late_changes(faults, changes, 2.0)

    assert _late_in_phases(play, 10) == []


# The reads a second that the store of the grown sites serves.
GROWN_READS_PER_SECOND = 6000


@pytest.mark.parametrize("away_seconds", [0.05, 0.5, 2.5])
def test_calls_after_a_drill_are_within_the_rate_of_the_store(away_seconds):
    names = ["publisher", *(f"peer{n}" for n in range(61))]
    back_at = 111.0 + away_seconds
    faults = Faults(
        drills=[watch_simulation.Drill(back_at, 6.0)],
        outages=[(name, Span(111.0, back_at), False) for name in names],
    )
    changes = [Change(104.0 + n / 2) for n in range(20)]
    shape = watch_simulation.Shape(entries=300, stale_seconds=3.0)
    fleet = watch_simulation.play(
        faults, changes, 2.0, 18.0, shape, len(names) - 1
    )
    times = [at for d in fleet.daemons for at in d.client.called_at]
    for start in (back_at, back_at + 0.5, back_at + 1.0, back_at + 2.0):
        count = sum(start <= at < start + 1.0 for at in times)
        assert count <= GROWN_READS_PER_SECOND


# The other side: what the copy lacks is written again, so it stays in force
# meanwhile.
def test_entry_that_the_copy_lacks_stays_until_it_is_written_again():
    for phase in range(10):
        start = 111.0 + phase / 10
        changes = watch_simulation.lapse(103.0, start - 1.0, "e1")
        faults = _drills([start], 4.0, 0.4)
        faults.drills = [
            watch_simulation.Drill(d.at, d.copy_seconds, 1.2)
            for d in faults.drills
        ]
        shape = watch_simulation.Shape(entries=3)
        fleet = watch_simulation.play(faults, changes, 2.0, shape=shape)
        removed = [at for _, _, at in fleet.removed_by_mistake()]
        assert all(at < start for at in removed)


def _spans(longest):
    """Return spans that begin between 5 and 15 s after the start."""
    return strategies.builds(
        lambda start, seconds: Span(start, start + seconds),
        strategies.floats(105.0, 115.0),
        strategies.floats(0.1, longest),
    )


DAEMONS = strategies.sampled_from(SOME_DAEMONS)
FAULTS = strategies.builds(
    Faults,
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
    drills=strategies.lists(
        strategies.builds(
            watch_simulation.Drill,
            strategies.floats(105.0, 115.0),
            strategies.sampled_from([0.5, 4.0, 9.0]),
        ),
        max_size=2,
        unique_by=lambda drill: drill.at,
    ),
)
TIMES = strategies.floats(104.0, 117.0)
CHANGES = strategies.tuples(
    strategies.lists(TIMES.map(Change), min_size=1, max_size=4),
    strategies.lists(
        strategies.builds(
            watch_simulation.removal,
            TIMES,
            strategies.integers(0, 9).map(lambda n: f"e{n}"),
        ),
        max_size=3,
        unique_by=lambda change: change.name,
    ),
).map(lambda lists: sum(lists, []))
SHAPES = strategies.builds(
    watch_simulation.Shape,
    entries=strategies.sampled_from([10, 57, 180]),
    stale_seconds=strategies.sampled_from([0.0, 3.0]),
    max_events=strategies.sampled_from([1, 2, 1000]),
)


# Guards against the whole class: knowledge that grows older than the bound
# while the daemon could have read the store.
@hypothesis.given(
    faults=FAULTS,
    changes=CHANGES,
    bound=strategies.sampled_from([2.0, 3.0, 4.0]),
    shape=SHAPES,
)
@hypothesis.settings(max_examples=120)
def test_change_is_in_force_within_the_bound_under_any_faults(
    faults, changes, bound, shape
):
    late = watch_simulation.late_changes(faults, changes, bound, 24.0, shape)
    assert late == []
