"""Allocate free instances to new groups, and models to stage to spares.

A group is placed in one fabric domain if possible, preferably in a domain
whose instances already have its model; see `model_counts`.  The model with
the fewest groups relative to its demand goes first.  Instances that are not
needed for a group stay spares with a model staged on their host, because a
member with a staged model joins in a tenth of the time of a load.

Once there is traffic, no group is formed that would have to load its model:
its members would wait for the load, although the next broken group may need
them.  Instead the model is staged on spares, first where that completes a
group.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math
import typing
from typing import Final

from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import model_counts
from sycamoredale import ids

# Minimum demand share of a model that is configured before it has requests.
MIN_SHARE: Final = 0.001
# The rank of a staging is one plus the number of instances with the model that
# a group still lacks after it.  The first spare for a model in a domain ranks
# just after completing a group, because it completes the next group that loses
# a member.
FIRST_SPARE_RANK: Final = 1.5
REPLACEMENT_RANK: Final = 1.2
# Share of the instances of a domain that are kept as spares.  Two groups of
# four leave a ninth of nine instances, two groups of sixteen a seventh of 37.
SPARE_SHARE: Final = 1 / 7


# Average number of requests by model.  A model that is absent or has 0 counts
# with its configured share.
Demand = collections.abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class NewGroup:
    """Represent a group to form; the first member is the head."""

    model: catalogue.Model
    members: tuple[instance_state.Instance, ...]

    @property
    def loads(self) -> int:
        """Return how many members have to load the model."""
        return sum(self.model.name not in m.staged for m in self.members)


@dataclasses.dataclass(frozen=True, slots=True)
class Staging:
    """Represent a model to stage on the host of a spare.

    The staging with the lowest rank is the most useful.
    """

    instance: instance_state.Instance
    model: str
    rank: float


def new_groups(
    free: collections.abc.Iterable[instance_state.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    existing: collections.Counter[str],
    demand: Demand,
    may_load: bool,
    placed: model_counts.ModelCounts | None = None,
) -> collections.abc.Iterator[NewGroup]:
    """Yield the groups to form; `existing` counts the groups by model.

    The members of the new groups are added to `placed`.
    """
    group_counts = collections.Counter(existing)
    free_by_domain = _by_domain(free)
    placed = model_counts.ModelCounts() if placed is None else placed
    while True:
        chosen = _next_group(
            free_by_domain, models, group_counts, demand, may_load, placed
        )
        if chosen is None:
            return
        domain, model = chosen
        members = _choose_members(free_by_domain[domain], model, models)
        free_by_domain[domain] = [
            i for i in free_by_domain[domain] if i not in members
        ]
        group_counts[model.name] += 1
        for member in members:
            if model.name not in member.staged:
                placed.add(member, model.name)
        yield NewGroup(model, members)


def cross_domain_groups(
    free: collections.abc.Iterable[instance_state.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    existing: collections.Counter[str],
) -> collections.abc.Iterator[NewGroup]:
    """Yield groups across fabric domains for models that have no group.

    Other models get none: such a group runs several times slower, and it
    occupies instances that the next groups within one domain need.
    """
    for model in models:
        staged = [i for i in free if model.name in i.staged]
        if (
            not existing[model.name]
            and len(staged) >= model.instances_per_replica
        ):
            yield NewGroup(
                model, _from_few_domains(staged, model.instances_per_replica)
            )


def _from_few_domains(
    staged: collections.abc.Iterable[instance_state.Instance], size: int
) -> tuple[instance_state.Instance, ...]:
    largest_first = sorted(_by_domain(staged).values(), key=len, reverse=True)
    return tuple(itertools.chain.from_iterable(largest_first))[:size]


def stagings(
    free: collections.abc.Iterable[instance_state.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    in_progress: collections.abc.Mapping[ids.InstanceId, str],
    placed: model_counts.ModelCounts | None = None,
) -> list[Staging]:
    """Return the models to stage on spares, the most useful first.

    `in_progress` gives the models being staged, by instance.
    """
    placed = model_counts.ModelCounts() if placed is None else placed
    chosen = [
        staging
        for domain, spares in _by_domain(free).items()
        for staging in _stagings_of(
            spares,
            _allowed_models(models, placed.most_common_model(domain)),
            in_progress,
        )
    ]
    return sorted(chosen, key=lambda s: (s.rank, s.instance.id))


def _allowed_models(
    models: collections.abc.Sequence[catalogue.Model], common_model: str | None
) -> collections.abc.Sequence[catalogue.Model]:
    """Return the most common model of a domain, or all if it has none."""
    return [m for m in models if m.name == common_model] or models


def _stagings_of(
    spares: list[instance_state.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    in_progress: collections.abc.Mapping[ids.InstanceId, str],
) -> collections.abc.Iterator[Staging]:
    placed = collections.Counter(
        name
        for spare in spares
        if spare.id not in in_progress
        for name in spare.staged
    )
    placed.update(in_progress[s.id] for s in spares if s.id in in_progress)
    idle = [s for s in spares if s.id not in in_progress]
    empty = [s for s in idle if not s.staged]
    for spare in empty:
        model = min(models, key=lambda m: (_rank(m, placed), m.name))
        yield Staging(spare, model.name, _rank(model, placed))
        placed[model.name] += 1
    if not empty and len(idle) == len(spares):
        yield from _replacements(spares, models, placed)


def _replacements(
    spares: list[instance_state.Instance],
    models: collections.abc.Sequence[catalogue.Model],
    placed: collections.Counter[str],
) -> collections.abc.Iterator[Staging]:
    """Yield a staging that replaces another model and completes a group."""
    for model in models:
        if (
            len(spares) < model.instances_per_replica
            or model.instances_per_replica - placed[model.name] != 1
        ):
            continue
        other = [s for s in spares if model.name not in s.staged]
        spare = max(other, key=lambda s: (placed[s.staged[0]], s.id))
        yield Staging(spare, model.name, REPLACEMENT_RANK)
        return


def _rank(model: catalogue.Model, placed: collections.Counter[str]) -> float:
    if not placed[model.name]:
        return FIRST_SPARE_RANK
    return (
        model.instances_per_replica
        - placed[model.name] % model.instances_per_replica
    )


def _next_group(
    free_by_domain: dict[ids.DomainName, list[instance_state.Instance]],
    models: collections.abc.Sequence[catalogue.Model],
    group_counts: collections.Counter[str],
    demand: Demand,
    may_load: bool,
    placed: model_counts.ModelCounts,
) -> tuple[ids.DomainName, catalogue.Model] | None:
    candidates = [
        (domain, model)
        for model in models
        for domain, instances in free_by_domain.items()
        if _has_staged_group(instances, model)
        or (may_load and len(instances) >= model.instances_per_replica)
    ]
    if may_load:
        candidates = [
            c
            for c in candidates
            if not _depletes_spares(*c, free_by_domain, group_counts, placed)
        ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda c: (
            group_counts[c[1].name] > 0,
            placed.count_others(c[0], c[1].name) > 0,
            _supply(c[1], group_counts, demand),
            may_load
            and _exceeds_domain_share(
                c[0], c[1], models, free_by_domain, placed
            ),
            placed.count_in_zone(free_by_domain[c[0]][0].zone, c[1].name),
            _fit_cost(free_by_domain[c[0]], c[1]),
            c[0],
        ),
    )


def _depletes_spares(
    domain: ids.DomainName,
    model: catalogue.Model,
    free_by_domain: collections.abc.Mapping[
        ids.DomainName, list[instance_state.Instance]
    ],
    group_counts: collections.Counter[str],
    placed: model_counts.ModelCounts,
) -> bool:
    """Return whether a group would use the spares of another model."""
    others = placed.count_others(domain, model.name)
    if not others or not group_counts[model.name]:
        return False
    free = len(free_by_domain[domain])
    size = free + others + placed.count(domain, model.name)
    return free <= SPARE_SHARE * size


def _exceeds_domain_share(
    domain: ids.DomainName,
    model: catalogue.Model,
    models: collections.abc.Sequence[catalogue.Model],
    free_by_domain: collections.abc.Mapping[ids.DomainName, typing.Any],
    placed: model_counts.ModelCounts,
) -> bool:
    """Return whether a model would spread to more domains than its share.

    A small model that takes a new domain for each of its groups would leave
    no domain to a large model.
    """
    if placed.count(domain, model.name):
        return False
    total = sum(max(m.demand_share, MIN_SHARE) for m in models)
    share = max(model.demand_share, MIN_SHARE) / total
    domains = placed.domains_with(model.name)
    all_domains = placed.domains() | free_by_domain.keys()
    return len(domains) >= math.ceil(share * len(all_domains))


def _supply(
    model: catalogue.Model,
    group_counts: collections.Counter[str],
    demand: Demand,
) -> float:
    """Return the number of groups of a model relative to its demand."""
    # The configured share is a share of instances, not of groups.
    share = max(model.demand_share, MIN_SHARE) / model.instances_per_replica
    return group_counts[model.name] / (demand.get(model.name) or share)


def _has_staged_group(
    instances: list[instance_state.Instance], model: catalogue.Model
) -> bool:
    return (
        sum(model.name in i.staged for i in instances)
        >= model.instances_per_replica
    )


def _fit_cost(
    instances: list[instance_state.Instance], model: catalogue.Model
) -> tuple[int, int]:
    staged = sum(model.name in i.staged for i in instances)
    return -min(staged, model.instances_per_replica), -len(instances)


def _choose_members(
    instances: list[instance_state.Instance],
    model: catalogue.Model,
    models: collections.abc.Sequence[catalogue.Model],
) -> tuple[instance_state.Instance, ...]:
    def preference(
        instance: instance_state.Instance,
    ) -> tuple[bool, bool, bool, str]:
        other = any(
            m.name in instance.staged for m in models if m is not model
        )
        # An instance that ran the model last joins without delay.
        membership = instance.membership
        ran_model = membership is not None and membership.model == model.name
        return (
            model.name not in instance.staged,
            other,
            not ran_model,
            instance.id,
        )

    return tuple(
        sorted(instances, key=preference)[: model.instances_per_replica]
    )


def _by_domain(
    free: collections.abc.Iterable[instance_state.Instance],
) -> dict[ids.DomainName, list[instance_state.Instance]]:
    free_by_domain: dict[ids.DomainName, list[instance_state.Instance]] = {}
    for instance in sorted(free, key=lambda i: i.id):
        free_by_domain.setdefault(instance.domain, []).append(instance)
    return free_by_domain
