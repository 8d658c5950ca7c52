"""Test subsets of endpoints and the share that leaves a zone, without network.

Each simulated daemon has its own requests and old loads of the others; an
endpoint is a count of requests that end after some time.
"""

import collections
import heapq
import random

import pytest

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.scheduling import endpoint_subsets
from sycamoredale.scheduling import locality

SLOTS = 10
SIZE = endpoint_subsets.SUBSET_ENDPOINTS
# Endpoints and daemons of each zone; zone c has half of the endpoints.
ZONES = {"a": (18, 21), "b": (18, 20), "c": (9, 16)}


def _members(kind, counts):
    return [
        (f"{kind}{zone}{n}", ids.ZoneName(zone))
        for zone, count in counts.items()
        for n in range(count)
    ]


ENDPOINTS = _members("e", {zone: counts[0] for zone, counts in ZONES.items()})
DAEMONS = _members("d", {zone: counts[1] for zone, counts in ZONES.items()})


@pytest.mark.parametrize("daemon_count", [30, 57, 400])
@pytest.mark.parametrize(
    "subset_of",
    [endpoint_subsets.near_subset, endpoint_subsets.wide_subset],
)
def test_endpoints_are_in_equally_many_subsets(subset_of, daemon_count):
    """Guard against endpoints that few daemons use while others are full."""
    daemons = [
        (f"d{n}", ids.ZoneName("abc"[n % 3])) for n in range(daemon_count)
    ]
    counts = collections.Counter(
        name for own in daemons for name in subset_of(ENDPOINTS, daemons, own)
    )
    assert counts.total() == SIZE * daemon_count
    mean = SIZE * daemon_count / len(ENDPOINTS)
    assert all(abs(counts[name] - mean) <= SIZE for name, _ in ENDPOINTS)


def test_subset_is_near_as_far_as_the_zone_suffices():
    """Guard against a zone with few endpoints that all its daemons fill."""
    zone_by_id = dict(ENDPOINTS)
    subsets = {
        own: endpoint_subsets.near_subset(ENDPOINTS, DAEMONS, own)
        for own in DAEMONS
    }
    near_share = {}
    for zone in ZONES:
        zones = [
            zone_by_id[name]
            for own, subset in subsets.items()
            for name in subset
            if own[1] == zone
        ]
        near_share[zone] = zones.count(zone) / len(zones)
    assert near_share["a"] > 0.8 and near_share["b"] > 0.7
    # Its endpoints are a fifth of all, its daemons more than a quarter.
    assert 0.5 < near_share["c"] < 0.9


def test_subsets_are_stable_when_a_daemon_joins():
    """Guard against new connections from all daemons at each change."""
    joined = [*DAEMONS, ("d-new", ids.ZoneName("b"))]
    kept = sum(
        len(
            endpoint_subsets.near_subset(ENDPOINTS, DAEMONS, own)
            & endpoint_subsets.near_subset(ENDPOINTS, joined, own)
        )
        for own in DAEMONS
    )
    assert kept >= 0.8 * SIZE * len(DAEMONS)


def test_few_endpoints_are_all_in_the_subset():
    few = ENDPOINTS[:3]
    for subset_of in (
        endpoint_subsets.near_subset,
        endpoint_subsets.wide_subset,
    ):
        subset = subset_of(few, DAEMONS, ("unlisted", ids.ZoneName("c")))
        assert subset == {name for name, _ in few}
        assert not subset_of([], DAEMONS, DAEMONS[0])


def _share_after(near, fleet, seconds=5.0):
    leaving = locality.LeavingShare()
    for step in range(int(seconds * 10)):
        leaving.update(near, fleet, clock.MonotonicTime(step / 10))
    return leaving.share


@pytest.mark.parametrize(
    "near, fleet", [(0.0, 0.0), (0.28, 0.1), (0.9, 0.85), (1.5, 1.5)]
)
def test_calls_stay_while_the_zone_is_free_or_all_are_busy(near, fleet):
    """Guard against calls that leave a free zone, or that full ones swap."""
    assert _share_after(near, fleet) == 0.0


def test_share_grows_with_the_excess():
    shares = [_share_after(near, 0.4) for near in (0.5, 0.8, 1.2)]
    assert shares == sorted(shares)
    assert shares[0] == pytest.approx(0.36, abs=0.01)
    assert shares[2] < 0.9


def test_short_excess_and_return_do_not_alternate():
    """Guard against a decision that changes with each update."""
    leaving = locality.LeavingShare()
    changes = 0
    for step in range(100):
        near = 0.44 + (0.04 if step % 2 else -0.04)
        now = clock.MonotonicTime(step / 10)
        changes += leaving.update(near, 0.4, now)
    assert changes <= 1
    assert not leaving.is_due(clock.MonotonicTime(9.95), 0.1)
    assert leaving.is_due(clock.MonotonicTime(10.1), 0.1)


class _Fleet:
    """Play calls of daemons that know loads that are tenths of a second old.

    `rate_by_zone` has the calls a second of the callers of each zone.
    """

    UPDATE_SECONDS = 0.2
    DELAY_SECONDS = 0.45
    MEAN_SECONDS = 0.85

    def __init__(self, rate_by_zone, uses_subsets):
        self.rng = random.Random(3)
        self.rate_by_zone = rate_by_zone
        self.uses_subsets = uses_subsets
        self.load = dict.fromkeys((name for name, _ in ENDPOINTS), 0)
        self.own = {d: collections.Counter() for d in DAEMONS}
        self.seen = dict(self.load)
        self.leaving = {d: locality.LeavingShare() for d in DAEMONS}
        self.near = self._subsets(endpoint_subsets.near_subset)
        self.wide = self._subsets(endpoint_subsets.wide_subset)
        self.hot = self.left = self.new = self.count = 0

    def _subsets(self, subset_of):
        return {
            own: sorted(subset_of(ENDPOINTS, DAEMONS, own)) for own in DAEMONS
        }

    def _select(self, daemon, now):
        if not self.uses_subsets:
            return self._less_loaded(list(self.seen))
        near = [self.seen[name] / SLOTS for name in self.near[daemon]]
        fleet = sum(self.seen.values()) / SLOTS / len(self.seen)
        leaving = self.leaving[daemon]
        leaving.update(sum(near) / len(near), fleet, clock.MonotonicTime(now))
        leaves = self.rng.random() < leaving.share
        return self._less_loaded((self.wide if leaves else self.near)[daemon])

    def _less_loaded(self, names):
        return min(self.rng.sample(names, 2), key=lambda name: self.seen[name])

    def play(self, seconds):
        now, updates, ends, used_at = 0.0, [], [], {}
        zones, rates = zip(*self.rate_by_zone.items())
        by_zone = {z: [d for d in DAEMONS if d[1] == z] for z in zones}
        zone_by_id = dict(ENDPOINTS)
        while now < seconds:
            now += self.rng.expovariate(sum(rates))
            while ends and ends[0][0] <= now:
                self.load[heapq.heappop(ends)[1]] -= 1
            if not updates or now >= updates[-1][0] + self.UPDATE_SECONDS:
                updates.append((now, dict(self.load)))
            while updates and updates[0][0] + self.DELAY_SECONDS <= now:
                self.seen = updates.pop(0)[1]
            zone = self.rng.choices(zones, rates)[0]
            daemon = self.rng.choice(by_zone[zone])
            name = self._select(daemon, now)
            self.count += 1
            self.hot += self.load[name] >= 0.7 * SLOTS
            self.left += zone_by_id[name] != zone
            self.new += now - used_at.get((daemon, name), -9.0) > 5.0
            used_at[daemon, name] = now
            self.load[name] += 1
            length = self.rng.uniform(0.2, 1.8) * self.MEAN_SECONDS
            heapq.heappush(ends, (now + length, name))
        return self

    def shares(self):
        return [n / self.count for n in (self.hot, self.left, self.new)]


EVEN = {"a": 60.0, "b": 65.0, "c": 62.0}


def test_subsets_of_an_even_load_save_connections_and_cost_no_caller():
    """Guard against subsets whose endpoints are fuller than those of all."""
    hot, left, new = _Fleet(EVEN, uses_subsets=True).play(20.0).shares()
    hot_without, left_without, new_without = (
        _Fleet(EVEN, uses_subsets=False).play(20.0).shares()
    )
    assert hot <= hot_without + 0.01
    assert left < 0.35 * left_without
    assert new < 0.5 * new_without


def test_zone_with_many_callers_sends_away_what_does_not_fit(monkeypatch):
    """Guard against callers of a busy zone that wait beside free zones."""
    rates = {"a": 30.0, "b": 80.0, "c": 110.0}
    hot, left, _ = _Fleet(rates, uses_subsets=True).play(20.0).shares()
    monkeypatch.setattr(locality, "FREE_LOAD_PER_SLOT", 100.0)
    hot_if_none_leave, *_ = (
        _Fleet(rates, uses_subsets=True).play(20.0).shares()
    )
    assert hot < 0.8 * hot_if_none_leave
    assert left < 0.5
