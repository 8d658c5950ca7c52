"""Test the selection by distance under uneven load, without a network."""

import random

import pytest

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.scheduling import endpoint_subsets
from sycamoredale.scheduling import locality
from sycamoredale.scheduling import zone_use

SUBSET, ZONE, OTHER = locality.Tier
CALLS = 2000


def _share_by_tier(load_by_tier, seed=1, late=frozenset()):
    """Return the share of calls that each tier gets; loads are per slot.

    Each tier has a list of loads; `late` names tiers whose endpoints miss the
    objective.
    """
    by_tier = {
        tier: [(tier, load) for load in loads]
        for tier, loads in load_by_tier.items()
    }
    rng = random.Random(seed)
    counts = dict.fromkeys(locality.Tier, 0)
    for _ in range(CALLS):
        choice = locality.select(
            by_tier,
            lambda e: locality.Estimate(e[1], e[0] not in late),
            rng,
        )
        counts[choice.tier] += 1
    return {tier: count / CALLS for tier, count in counts.items()}


def test_idle_zones_keep_all_calls():
    """Guard against leaving the zone without a reason.

    Of two endpoints sampled over three equal zones, four pairs of nine have
    none of the own zone.
    """
    idle = {SUBSET: [0.1] * 4, ZONE: [0.0] * 9, OTHER: [0.0] * 26}
    assert _share_by_tier(idle)[SUBSET] == 1.0


def test_calls_that_do_not_fit_leave():
    burst = {SUBSET: [1.2] * 4, ZONE: [1.1] * 9, OTHER: [0.3] * 26}
    assert _share_by_tier(burst)[OTHER] == 1.0


def test_only_calls_without_capacity_leave():
    """Guard against a zone that sends away more than what does not fit."""
    half_full = {SUBSET: [0.4, 0.4, 0.9, 0.9], ZONE: [0.9] * 9, OTHER: [0.1]}
    shares = _share_by_tier(half_full)
    # One pair of six has no free endpoint of the subset.
    assert shares[OTHER] == pytest.approx(1 / 6, abs=0.05)
    assert shares[SUBSET] == pytest.approx(5 / 6, abs=0.05)


@pytest.mark.parametrize("difference", [0.0, 0.15])
def test_full_zones_do_not_exchange_calls(difference):
    """Guard against two full zones that send their calls to each other."""
    full = {SUBSET: [1.4] * 4, ZONE: [1.4] * 4, OTHER: [1.4 - difference] * 8}
    assert _share_by_tier(full)[OTHER] == 0.0


def test_endpoint_in_time_is_preferred_to_nearer_late_one():
    loads = {SUBSET: [0.4] * 4, OTHER: [0.4] * 8}
    assert _share_by_tier(loads, late={SUBSET})[OTHER] == 1.0
    assert _share_by_tier(loads, late={SUBSET, OTHER})[SUBSET] == 1.0


def test_zone_without_endpoints_uses_the_others():
    assert _share_by_tier({OTHER: [0.9, 0.9]})[OTHER] == 1.0
    assert locality.select({}, lambda e: None, random.Random(1)) is None


def _subsets(endpoint_count, daemon_count, size=4):
    endpoints = [ids.InstanceId(f"i{n}") for n in range(endpoint_count)]
    daemons = [ids.DaemonId(f"d{n}") for n in range(daemon_count)]
    return {
        daemon: endpoint_subsets.subset_of(endpoints, daemons, daemon, size)
        for daemon in daemons
    }


@pytest.mark.parametrize("endpoints, daemons", [(13, 21), (40, 127), (60, 9)])
def test_endpoints_are_in_equally_many_subsets(endpoints, daemons):
    """Guard against endpoints that few daemons use while others are full."""
    counts = {f"i{n}": 0 for n in range(endpoints)}
    for subset in _subsets(endpoints, daemons).values():
        assert len(subset) == 4
        for endpoint in subset:
            counts[endpoint] += 1
    assert max(counts.values()) - min(counts.values()) <= 1


def test_subsets_are_stable_when_a_daemon_joins():
    """Guard against new connections from all daemons at each change."""
    before, after = _subsets(13, 21), _subsets(13, 22)
    kept = sum(len(before[d] & after[d]) for d in before)
    assert kept >= 0.75 * 4 * len(before)


def test_few_endpoints_are_all_in_the_subset():
    assert _subsets(3, 20)["d0"] == {"i0", "i1", "i2"}
    own = ids.DaemonId("unlisted")
    listed = [ids.DaemonId("d0")]
    endpoints = [ids.InstanceId(f"i{n}") for n in range(9)]
    assert len(endpoint_subsets.subset_of(endpoints, listed, own)) == 4


def test_change_of_zone_use_is_reported_once():
    """Guard against a log line for each call of an overloaded zone."""
    use = zone_use.ZoneUse()
    steps = [
        (0.0, OTHER, True),
        (0.1, SUBSET, None),
        (0.2, OTHER, None),
        (5.1, SUBSET, None),
        (5.3, SUBSET, False),
        (5.4, SUBSET, None),
        (6.0, OTHER, True),
    ]
    for at, tier, expected in steps:
        assert use.record("m", tier, clock.MonotonicTime(at)) is expected
