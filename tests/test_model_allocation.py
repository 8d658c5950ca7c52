"""Check which groups free instances form, by pattern of loss and load."""

import collections
import dataclasses

import pytest

from sycamoredale.groups import model_allocation
from sycamoredale.groups import model_counts
from tests import instance_fixtures

MODELS = instance_fixtures.ENGINE.models


def _room(domain, *staged, zone="a"):
    return [
        instance_fixtures.instance(
            f"{domain}-{n}",
            domain=domain,
            zone=zone,
            staged=(model,) if model else (),
        )
        for n, model in enumerate(staged)
    ]


def _formed(free, may_load=False, standing=None, demand=None):
    groups = model_allocation.new_groups(
        free,
        MODELS,
        collections.Counter(standing or {}),
        demand or {},
        may_load,
    )
    return [(g.model.name, {m.id for m in g.members}) for g in groups]


def test_first_start_gives_each_domain_a_model_and_leaves_spares():
    free = [i for d in range(6) for i in _room(f"d{d}", *([""] * 9))]
    formed = _formed(free, may_load=True)
    counts = collections.Counter(m for m, _ in formed)
    assert counts == {"large": 6, "small": 9}
    models_by_domain = collections.defaultdict(set)
    for model, members in formed:
        for member in members:
            models_by_domain[member.partition("-")[0]].add(model)
    assert all(len(found) == 1 for found in models_by_domain.values())


@pytest.mark.parametrize(
    "zones, large, small",
    [("abcd", 8, 36), ("abc", 6, 27)],
)
def test_large_groups_get_their_share_of_large_domains(zones, large, small):
    """Pattern: few large groups beside many small ones, as a site grows."""
    models = tuple(
        dataclasses.replace(m, instances_per_replica=size, demand_share=0.5)
        for m, size in zip(MODELS, (16, 4), strict=True)
    )
    free = [
        i
        for zone in zones
        for d in range(2)
        for i in _room(f"{zone}{d}", *[""] * 37, zone=zone)
    ]
    formed = list(
        model_allocation.new_groups(
            free,
            models,
            collections.Counter(),
            {},
            True,
            model_counts.ModelCounts(),
        )
    )
    counts = collections.Counter(g.model.name for g in formed)
    assert counts["large"] >= large
    assert counts["small"] >= small
    places = {(g.members[0].zone, g.model.name) for g in formed}
    assert len(places) == 2 * len(zones)


def test_each_model_has_a_group_where_there_is_one_domain():
    counts = collections.Counter(
        m for m, _ in _formed(_room("d0", *[""] * 9), may_load=True)
    )
    assert counts == {"large": 1, "small": 1}


def test_each_model_stands_in_each_zone():
    free = [
        i
        for zone in "abc"
        for d in range(2)
        for i in _room(f"{zone}{d}", *[""] * 9, zone=zone)
    ]
    placed = {
        (next(iter(members))[0], model)
        for model, members in _formed(free, may_load=True)
    }
    assert len(placed) == 6


def test_empty_spares_stage_the_model_of_their_domain():
    held = model_counts.ModelCounts()
    free = _room("d0", "large", "", "")
    model_counts.add_all(held, free, {})
    staged = model_allocation.stagings(free, MODELS, {}, held)
    assert [s.model for s in staged] == ["large", "large"]


def test_no_group_spans_two_domains_while_one_has_room():
    free = [*_room("d0", "small", "small"), *_room("d1", "small")]
    assert _formed(free) == []
    assert _formed([*free, *_room("d2", *["small"] * 3)]) == [
        ("small", {"d2-0", "d2-1", "d2-2"})
    ]


def test_steady_losses_never_bind_warm_members_to_a_load():
    # Pattern: members are lost every few seconds and empty ones come.
    free = _room("d0", "small", "small", "")
    assert _formed(free) == []
    assert _formed(free, may_load=True) != []


def test_survivors_and_a_staged_spare_form_the_group_again():
    free = _room("d0", "large", "large", "large", "large", "small")
    assert _formed(free) == [("large", {f"d0-{n}" for n in range(4)})]


def test_shifted_load_gives_the_busier_model_the_next_group():
    free = _room("d0", *["large"] * 4) + _room("d1", *["small"] * 3)
    standing = {"large": 5, "small": 5}
    busy_small = _formed(
        free, standing=standing, demand={"large": 20.0, "small": 60.0}
    )
    assert busy_small[0][0] == "small"
    busy_large = _formed(
        free, standing=standing, demand={"large": 60.0, "small": 20.0}
    )
    assert busy_large[0][0] == "large"


def test_first_spares_of_a_domain_hold_one_model_each():
    staged = model_allocation.stagings(_room("d0", "", ""), MODELS, {})
    assert {s.model for s in staged} == {"large", "small"}


def test_spare_completes_a_broken_group_before_anything_else():
    free = [*_room("d0", "", ""), *_room("d1", "small", "small", "")]
    first = model_allocation.stagings(free, MODELS, {})[0]
    assert (first.instance.id, first.model) == ("d1-2", "small")


def test_staging_under_way_is_counted():
    free = _room("d0", "small", "small", "", "")
    under_way = {free[2].id: "small"}
    staged = model_allocation.stagings(free, MODELS, under_way)
    assert [(s.instance.id, s.model) for s in staged] == [("d0-3", "large")]


def test_idle_spares_exchange_a_model_where_that_completes_a_group():
    free = _room("d0", "large", "large", "large", "small", "small")
    staged = model_allocation.stagings(free, MODELS, {})
    assert [s.model for s in staged] == ["large"]
    assert staged[0].instance.staged == ("small",)


@pytest.mark.parametrize(
    "rooms,expected",
    [
        ((("small",), ("small",)), []),
        ((("small",), ("small",), ("small",)), ["small"]),
        ((("small", "small"), ("large",) * 2, ("small",)), ["small"]),
        ((("large",) * 3, ("large",) * 3), ["large"]),
        ((("large",) * 3, ("large", "small", "small")), ["large"]),
    ],
)
def test_model_without_any_group_gets_one_across_domains(rooms, expected):
    """Pattern: losses leave survivors of one model in several domains."""
    free = [i for n, room in enumerate(rooms) for i in _room(f"d{n}", *room)]
    groups = list(
        model_allocation.cross_domain_groups(
            free, MODELS, collections.Counter()
        )
    )
    assert [g.model.name for g in groups] == expected


def test_group_across_domains_stands_in_as_few_as_it_can():
    free = [
        i
        for n, count in enumerate((1, 1, 3))
        for i in _room(f"d{n}", *["large"] * count)
    ]
    (group,) = model_allocation.cross_domain_groups(
        free, MODELS, collections.Counter()
    )
    assert len({m.domain for m in group.members}) == 2


def test_no_far_group_binds_instances_while_a_near_one_stands():
    """Pattern: streams of a slow far group are taken for stalled."""
    free = [i for n in range(3) for i in _room(f"d{n}", "small", "small")]
    standing = collections.Counter({"small": 1})
    assert not list(
        model_allocation.cross_domain_groups(free, MODELS, standing)
    )


def test_large_groups_get_their_share_when_few_may_load_at_once():
    """Pattern: the weight store lets a large site form groups in steps."""
    models = tuple(
        dataclasses.replace(m, instances_per_replica=size, demand_share=0.5)
        for m, size in zip(MODELS, (16, 4), strict=True)
    )
    free = [
        i
        for zone in "abcd"
        for d in range(2)
        for i in _room(f"{zone}{d}", *[""] * 37, zone=zone)
    ]
    held = model_counts.ModelCounts()
    counts = collections.Counter()
    while True:
        found = model_allocation.new_groups(
            free, models, counts, {}, True, held
        )
        group = next(found, None)
        if group is None:
            break
        counts[group.model.name] += 1
        free = [i for i in free if i not in group.members]
    assert counts == {"large": 8, "small": 36}


@pytest.mark.parametrize("shares", [(0.0, 1.0), (1.0, 0.0), (0.0, 0.0)])
def test_model_without_a_share_of_the_work_stops_no_placement(shares):
    """Pattern: a model is configured before any caller knows it."""
    models = tuple(
        dataclasses.replace(m, demand_share=share)
        for m, share in zip(MODELS, shares, strict=True)
    )
    free = [i for d in range(4) for i in _room(f"d{d}", *[""] * 9)]
    formed = model_allocation.new_groups(
        free,
        models,
        collections.Counter(),
        {},
        True,
        model_counts.ModelCounts(),
    )
    assert {g.model.name for g in formed} == {"large", "small"}
