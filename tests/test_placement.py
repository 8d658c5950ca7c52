"""Compare placement with an exhaustive one, and check fairness."""

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


def _need(
    name: str, size: int, missing: int, wanted: int | None = None
) -> placement.ReplicaDemand:
    return placement.ReplicaDemand(
        ids.ServiceName(name),
        instances.ENGINE,
        size,
        missing if wanted is None else wanted,
        missing,
    )


def _room(name: str, free: int) -> placement.FreeCapacity:
    return placement.FreeCapacity(
        ids.DomainName(name), ids.ZoneName("kochi"), instances.ENGINE, free
    )


def _exhaustive(free: tuple[int, ...], missing: tuple[int, ...]) -> int:
    """Return the most instances that any placement uses."""

    @functools.cache
    def best(rooms: tuple[int, ...], left: tuple[int, ...]) -> int:
        found = 0
        for index, size in enumerate(SIZES):
            if not left[index]:
                continue
            rest = (*left[:index], left[index] - 1, *left[index + 1 :])
            for room in {r for r in rooms if r >= size}:
                others = list(rooms)
                others.remove(room)
                after = tuple(sorted([*others, room - size]))
                found = max(found, size + best(after, rest))
        return found

    return best(tuple(sorted(free)), missing)


def _used(
    needs: list[placement.ReplicaDemand], placements: list[placement.Placement]
) -> int:
    sizes = {need.service: need.size for need in needs}
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
def test_uses_as_much_as_an_exhaustive_placement(
    free: list[int], missing: list[int]
) -> None:
    needs = [_need(f"s{s}", s, m) for s, m in zip(SIZES, missing)]
    rooms = [_room(f"d{n}", f) for n, f in enumerate(free)]
    placements = placement.allocate(needs, rooms)
    _assert_fits(needs, rooms, placements)
    best = _exhaustive(tuple(free), tuple(missing))
    assert _used(needs, placements) >= best - max(SIZES) + 1
    if best == sum(need.size * need.missing for need in needs):
        assert _used(needs, placements) == best


def _assert_fits(
    needs: list[placement.ReplicaDemand],
    rooms: list[placement.FreeCapacity],
    placements: list[placement.Placement],
) -> None:
    sizes = {need.service: need.size for need in needs}
    used: collections.Counter[ids.DomainName] = collections.Counter()
    for item in placements:
        used[item.domain] += sizes[item.service]
    assert all(used[room.domain] <= room.free for room in rooms)
    placed = collections.Counter(item.service for item in placements)
    assert all(placed[need.service] <= need.missing for need in needs)


def test_small_groups_leave_whole_domains_to_large_ones() -> None:
    needs = [_need("small", 2, 1), _need("large", 4, 1)]
    rooms = [_room("a", 4), _room("b", 6)]
    placements = placement.allocate(needs, rooms)
    assert len(placements) == 2


def test_rebuilds_where_the_weights_are() -> None:
    need = placement.ReplicaDemand(
        ids.ServiceName("s"), instances.ENGINE, 2, 1, 1, weights="w"
    )
    held = placement.FreeCapacity(
        ids.DomainName("z"),
        ids.ZoneName("kochi"),
        instances.ENGINE,
        4,
        collections.Counter({"w": 2}),
    )
    placements = placement.allocate([need], [_room("a", 2), held])
    assert [item.domain for item in placements] == ["z"]


def test_scarcity_goes_to_the_largest_missing_share() -> None:
    needs = [
        _need("a-large", 2, missing=1, wanted=10),
        _need("b-small", 2, missing=1, wanted=1),
    ]
    placements = placement.allocate(needs, [_room("d", 2)])
    assert [item.service for item in placements] == ["b-small"]


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    strategies.lists(strategies.integers(1, 8), min_size=2, max_size=4),
    strategies.integers(0, 20),
)
def test_shares_under_scarcity_differ_by_one_group(
    wanted: list[int], free: int
) -> None:
    needs = [_need(f"s{n}", 1, w) for n, w in enumerate(wanted)]
    placements = placement.allocate(needs, [_room("d", free)])
    placed = collections.Counter(item.service for item in placements)
    for need in needs:
        for other in needs:
            if placed[need.service] < need.missing:
                ahead = (placed[other.service] - 1) / other.wanted
                assert ahead <= placed[need.service] / need.wanted + 1e-9


def test_plans_of_all_domains_settle_after_each_failure() -> None:
    fleet = stranded_accelerators.Fleet(domains=8, per_domain=24, scale=1)
    source = random.Random(0)
    assert fleet.settle(stranded_accelerators.plan_ours)
    for _ in range(60):
        fleet.suffer_event(source)
        assert fleet.settle(stranded_accelerators.plan_ours)
