"""Test that placement is close to an exhaustive search, and fair."""

import collections
import functools
import random

import hypothesis
from hypothesis import strategies

from benchmarks import stranded_accelerators
from sycamoredale.groups import placement
from sycamoredale import ids
from sycamoredale.object_api import instances

SIZES = (1, 2, 3, 4)


def _demand(
    name: str, size: int, missing: int, wanted: int | None = None
) -> placement.ReplicaDemand:
    return placement.ReplicaDemand(
        ids.ServiceName(name),
        instances.ENGINE,
        size,
        missing if wanted is None else wanted,
        missing,
    )


def _capacity(name: str, free: int) -> placement.FreeCapacity:
    return placement.FreeCapacity(
        ids.DomainName(name), ids.ZoneName("kochi"), instances.ENGINE, free
    )


def _exhaustive(free: tuple[int, ...], missing: tuple[int, ...]) -> int:
    """Return the largest number of instances that a placement can use."""

    @functools.cache
    def best(capacities: tuple[int, ...], missing: tuple[int, ...]) -> int:
        found = 0
        for index, size in enumerate(SIZES):
            if not missing[index]:
                continue
            rest = (
                *missing[:index],
                missing[index] - 1,
                *missing[index + 1 :],
            )
            for capacity in {r for r in capacities if r >= size}:
                others = list(capacities)
                others.remove(capacity)
                after = tuple(sorted([*others, capacity - size]))
                found = max(found, size + best(after, rest))
        return found

    return best(tuple(sorted(free)), missing)


def _used(
    demands: list[placement.ReplicaDemand],
    placements: list[placement.Placement],
) -> int:
    sizes = {demand.service: demand.size for demand in demands}
    return sum(sizes[item.service] for item in placements)


def _cases() -> tuple[
    strategies.SearchStrategy[list[int]],
    strategies.SearchStrategy[list[int]],
]:
    free = strategies.lists(strategies.integers(0, 7), min_size=1, max_size=3)
    missing = strategies.lists(
        strategies.integers(0, 2), min_size=len(SIZES), max_size=len(SIZES)
    )
    return free, missing


@hypothesis.settings(max_examples=300)
@hypothesis.given(*_cases())
def test_placement_uses_about_as_many_instances_as_the_best_one(
    free: list[int], missing: list[int]
) -> None:
    demands = [_demand(f"s{s}", s, m) for s, m in zip(SIZES, missing)]
    capacities = [_capacity(f"d{n}", f) for n, f in enumerate(free)]
    placements = placement.allocate(demands, capacities)
    _assert_fits(demands, capacities, placements)
    best = _exhaustive(tuple(free), tuple(missing))
    assert _used(demands, placements) >= best - max(SIZES) + 1
    if best == sum(demand.size * demand.missing for demand in demands):
        assert _used(demands, placements) == best


def _assert_fits(
    demands: list[placement.ReplicaDemand],
    capacities: list[placement.FreeCapacity],
    placements: list[placement.Placement],
) -> None:
    sizes = {demand.service: demand.size for demand in demands}
    used: collections.Counter[ids.DomainName] = collections.Counter()
    for item in placements:
        used[item.domain] += sizes[item.service]
    assert all(
        used[capacity.domain] <= capacity.free for capacity in capacities
    )
    placed = collections.Counter(item.service for item in placements)
    assert all(placed[demand.service] <= demand.missing for demand in demands)


def test_small_group_leaves_a_domain_to_a_large_one() -> None:
    demands = [_demand("small", 2, 1), _demand("large", 4, 1)]
    capacities = [_capacity("a", 4), _capacity("b", 6)]
    placements = placement.allocate(demands, capacities)
    assert len(placements) == 2


def test_domain_with_the_weights_is_preferred() -> None:
    demand = placement.ReplicaDemand(
        ids.ServiceName("s"), instances.ENGINE, 2, 1, 1, weights="w"
    )
    with_weights = placement.FreeCapacity(
        ids.DomainName("z"),
        ids.ZoneName("kochi"),
        instances.ENGINE,
        4,
        collections.Counter({"w": 2}),
    )
    placements = placement.allocate(
        [demand], [_capacity("a", 2), with_weights]
    )
    assert [item.domain for item in placements] == ["z"]


def test_largest_missing_share_goes_first_under_scarcity() -> None:
    demands = [
        _demand("a-large", 2, missing=1, wanted=10),
        _demand("b-small", 2, missing=1, wanted=1),
    ]
    placements = placement.allocate(demands, [_capacity("d", 2)])
    assert [item.service for item in placements] == ["b-small"]


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    strategies.lists(strategies.integers(1, 8), min_size=2, max_size=4),
    strategies.integers(0, 20),
)
def test_shares_differ_by_at_most_one_group_under_scarcity(
    wanted: list[int], free: int
) -> None:
    demands = [_demand(f"s{n}", 1, w) for n, w in enumerate(wanted)]
    placements = placement.allocate(demands, [_capacity("d", free)])
    placed = collections.Counter(item.service for item in placements)
    for demand in demands:
        for other in demands:
            if placed[demand.service] < demand.missing:
                other_share = (placed[other.service] - 1) / other.wanted
                assert (
                    other_share
                    <= placed[demand.service] / demand.wanted + 1e-9
                )


def test_plans_of_all_domains_converge_after_each_failure() -> None:
    fleet = stranded_accelerators.Fleet(domains=8, per_domain=24, scale=1)
    sampler = random.Random(0)
    assert fleet.plan_until_stable(stranded_accelerators.plan_optimized)
    for _ in range(60):
        fleet.apply_random_event(sampler)
        assert fleet.plan_until_stable(stranded_accelerators.plan_optimized)
