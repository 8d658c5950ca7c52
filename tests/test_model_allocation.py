"""Test which groups and stagings are allocated to free instances."""

import collections
import dataclasses

import pytest

from sycamoredale.groups import model_allocation
from sycamoredale.groups import model_counts
from tests import instance_fixtures

MODELS = instance_fixtures.ENGINE.models


def _domain(domain, *staged, zone="a"):
    return [
        instance_fixtures.instance(
            f"{domain}-{n}",
            domain=domain,
            zone=zone,
            staged=(model,) if model else (),
        )
        for n, model in enumerate(staged)
    ]


def _formed(free, may_load=False, existing=None, demand=None):
    groups = model_allocation.new_groups(
        free,
        MODELS,
        collections.Counter(existing or {}),
        demand or {},
        may_load,
    )
    return [(g.model.name, {m.id for m in g.members}) for g in groups]


def test_initial_groups_use_one_model_per_domain_and_leave_spares():
    free = [i for d in range(6) for i in _domain(f"d{d}", *([""] * 9))]
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
    """Scenario: a growing site with few large and many small groups."""
    models = tuple(
        dataclasses.replace(m, instances_per_replica=size, demand_share=0.5)
        for m, size in zip(MODELS, (16, 4), strict=True)
    )
    free = [
        i
        for zone in zones
        for d in range(2)
        for i in _domain(f"{zone}{d}", *[""] * 37, zone=zone)
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
    placements = {(g.members[0].zone, g.model.name) for g in formed}
    assert len(placements) == 2 * len(zones)


def test_each_model_has_a_group_if_there_is_only_one_domain():
    counts = collections.Counter(
        m for m, _ in _formed(_domain("d0", *[""] * 9), may_load=True)
    )
    assert counts == {"large": 1, "small": 1}


def test_each_model_has_a_group_in_each_zone():
    free = [
        i
        for zone in "abc"
        for d in range(2)
        for i in _domain(f"{zone}{d}", *[""] * 9, zone=zone)
    ]
    placed = {
        (next(iter(members))[0], model)
        for model, members in _formed(free, may_load=True)
    }
    assert len(placed) == 6


def test_empty_spares_stage_the_model_of_their_domain():
    placed = model_counts.ModelCounts()
    free = _domain("d0", "large", "", "")
    model_counts.add_all(placed, free, {})
    staged = model_allocation.stagings(free, MODELS, {}, placed)
    assert [s.model for s in staged] == ["large", "large"]


def test_group_is_formed_in_one_domain_with_enough_instances():
    free = [*_domain("d0", "small", "small"), *_domain("d1", "small")]
    assert _formed(free) == []
    assert _formed([*free, *_domain("d2", *["small"] * 3)]) == [
        ("small", {"d2-0", "d2-1", "d2-2"})
    ]


def test_staged_instances_do_not_wait_for_a_load():
    # Scenario: every few seconds a member is lost and an empty one is added.
    free = _domain("d0", "small", "small", "")
    assert _formed(free) == []
    assert _formed(free, may_load=True) != []


def test_remaining_members_and_a_staged_spare_form_a_group():
    free = _domain("d0", "large", "large", "large", "large", "small")
    assert _formed(free) == [("large", {f"d0-{n}" for n in range(4)})]


def test_model_with_more_demand_gets_the_next_group():
    free = _domain("d0", *["large"] * 4) + _domain("d1", *["small"] * 3)
    existing = {"large": 5, "small": 5}
    busy_small = _formed(
        free, existing=existing, demand={"large": 20.0, "small": 60.0}
    )
    assert busy_small[0][0] == "small"
    busy_large = _formed(
        free, existing=existing, demand={"large": 60.0, "small": 20.0}
    )
    assert busy_large[0][0] == "large"


def test_first_spares_of_a_domain_stage_different_models():
    staged = model_allocation.stagings(_domain("d0", "", ""), MODELS, {})
    assert {s.model for s in staged} == {"large", "small"}


def test_staging_that_completes_a_group_goes_first():
    free = [*_domain("d0", "", ""), *_domain("d1", "small", "small", "")]
    first = model_allocation.stagings(free, MODELS, {})[0]
    assert (first.instance.id, first.model) == ("d1-2", "small")


def test_staging_in_progress_is_counted():
    free = _domain("d0", "small", "small", "", "")
    in_progress = {free[2].id: "small"}
    staged = model_allocation.stagings(free, MODELS, in_progress)
    assert [(s.instance.id, s.model) for s in staged] == [("d0-3", "large")]


def test_spare_replaces_its_model_if_that_completes_a_group():
    free = _domain("d0", "large", "large", "large", "small", "small")
    staged = model_allocation.stagings(free, MODELS, {})
    assert [s.model for s in staged] == ["large"]
    assert staged[0].instance.staged == ("small",)


@pytest.mark.parametrize(
    "staged_by_domain,expected",
    [
        ((("small",), ("small",)), []),
        ((("small",), ("small",), ("small",)), ["small"]),
        ((("small", "small"), ("large",) * 2, ("small",)), ["small"]),
        ((("large",) * 3, ("large",) * 3), ["large"]),
        ((("large",) * 3, ("large", "small", "small")), ["large"]),
    ],
)
def test_model_without_any_group_gets_a_cross_domain_group(
    staged_by_domain, expected
):
    """Scenario: instances of one model remain in several domains."""
    free = [
        i
        for n, staged in enumerate(staged_by_domain)
        for i in _domain(f"d{n}", *staged)
    ]
    groups = list(
        model_allocation.cross_domain_groups(
            free, MODELS, collections.Counter()
        )
    )
    assert [g.model.name for g in groups] == expected


def test_cross_domain_group_uses_as_few_domains_as_possible():
    free = [
        i
        for n, count in enumerate((1, 1, 3))
        for i in _domain(f"d{n}", *["large"] * count)
    ]
    (group,) = model_allocation.cross_domain_groups(
        free, MODELS, collections.Counter()
    )
    assert len({m.domain for m in group.members}) == 2


def test_model_with_a_group_gets_no_cross_domain_group():
    """Scenario: streams of a slow cross-domain group seem to be stalled."""
    free = [i for n in range(3) for i in _domain(f"d{n}", "small", "small")]
    existing = collections.Counter({"small": 1})
    assert not list(
        model_allocation.cross_domain_groups(free, MODELS, existing)
    )


def test_large_groups_get_their_share_if_few_may_load_at_once():
    """Scenario: the weight store limits how fast a large site forms groups."""
    models = tuple(
        dataclasses.replace(m, instances_per_replica=size, demand_share=0.5)
        for m, size in zip(MODELS, (16, 4), strict=True)
    )
    free = [
        i
        for zone in "abcd"
        for d in range(2)
        for i in _domain(f"{zone}{d}", *[""] * 37, zone=zone)
    ]
    placed = model_counts.ModelCounts()
    counts = collections.Counter()
    while True:
        found = model_allocation.new_groups(
            free, models, counts, {}, True, placed
        )
        group = next(found, None)
        if group is None:
            break
        counts[group.model.name] += 1
        free = [i for i in free if i not in group.members]
    assert counts == {"large": 8, "small": 36}


@pytest.mark.parametrize("shares", [(0.0, 1.0), (1.0, 0.0), (0.0, 0.0)])
def test_model_without_a_demand_share_is_placed(shares):
    """Scenario: a model is configured before it receives requests."""
    models = tuple(
        dataclasses.replace(m, demand_share=share)
        for m, share in zip(MODELS, shares, strict=True)
    )
    free = [i for d in range(4) for i in _domain(f"d{d}", *[""] * 9)]
    formed = model_allocation.new_groups(
        free,
        models,
        collections.Counter(),
        {},
        True,
        model_counts.ModelCounts(),
    )
    assert {g.model.name for g in formed} == {"large", "small"}
