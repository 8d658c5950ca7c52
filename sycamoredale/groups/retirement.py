"""Choose the groups to drain although they work.

These are groups of an older version, surplus groups, groups with a straggler
and groups that occupy the instances that a larger group needs.  At most one
group of each service is chosen at a time.  A ready group is chosen only if the
remaining ready groups are as many as wanted; or if another ready group remains
and either there is no other way to a new version, or a straggler can be
replaced.  Every controller computes the same choice for all domains.
"""

import collections.abc
import dataclasses

from sycamoredale.config import model as config_model
from sycamoredale.groups import model
from sycamoredale.groups import placement
from sycamoredale.groups import relocation
from sycamoredale import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Retirement:
    """Represent a group to drain and the reason."""

    group: ids.GroupId
    reason: model.DrainReason


@dataclasses.dataclass(frozen=True, slots=True)
class DomainStragglers:
    """Represent the stragglers detected in one domain."""

    domain: ids.DomainName
    instances: frozenset[ids.InstanceId] = frozenset()


def choose(
    configuration: config_model.Configuration,
    planner: relocation.RelocationPlanner,
    stragglers: DomainStragglers,
) -> collections.abc.Iterator[Retirement]:
    """Yield at most one retirement for each service."""
    demand_by_service = {demand.service: demand for demand in planner.demands}
    for service in configuration.services:
        own = [
            placed.group
            for placed in planner.placed
            if placed.group.service == service.name
            and _is_not_draining(placed.group)
        ]
        demand = demand_by_service[service.name]
        found = _for_service(service, own, demand, planner, stragglers)
        if found is not None:
            yield found


def _for_service(
    service: config_model.Service,
    own: list[model.Group],
    demand: placement.ReplicaDemand,
    planner: relocation.RelocationPlanner,
    stragglers: DomainStragglers,
) -> Retirement | None:
    ready = [g for g in own if g.state is model.GroupState.READY]
    old = [g for g in own if g.version != service.version]
    current = [g for g in own if g.version == service.version]
    capacities = planner.capacities
    if old:
        return _roll_out(service, ready, old, current, demand, capacities)
    if len(current) > service.replicas:
        return _surplus(service, ready, current, planner)
    return _replace_straggler(service, ready, demand, capacities, stragglers)


def _roll_out(
    service: config_model.Service,
    ready: list[model.Group],
    old: list[model.Group],
    current: list[model.Group],
    demand: placement.ReplicaDemand,
    capacities: collections.abc.Sequence[placement.FreeCapacity],
) -> Retirement | None:
    broken = [g for g in old if g.state is not model.GroupState.READY]
    if broken:
        return Retirement(_first(broken), model.DrainReason.OLD_VERSION)
    if len(ready) > service.replicas:
        return Retirement(_first(old), model.DrainReason.OLD_VERSION)
    forming = [g for g in current if g.state is model.GroupState.FORMING]
    if forming or placement.has_capacity(demand, capacities):
        return None  # The new group is formed first.
    if len(ready) > 1 and len(ready) == service.replicas:
        return Retirement(_first(old), model.DrainReason.OLD_VERSION)
    return None


def _surplus(
    service: config_model.Service,
    ready: list[model.Group],
    current: list[model.Group],
    planner: relocation.RelocationPlanner,
) -> Retirement | None:
    if len(ready) < service.replicas:
        return None  # It is not known yet which groups will be ready.
    if len(ready) > service.replicas:
        best = planner.best_surplus(service.name)
        chosen = best.id if best else _in_fullest_zone(ready)
        return Retirement(chosen, model.DrainReason.SURPLUS)
    if planner.blocked_demands():
        return None  # The forming group replaces a ready one.
    forming = [g for g in current if g.state is model.GroupState.FORMING]
    return Retirement(_newest(forming), model.DrainReason.SURPLUS)


def _replace_straggler(
    service: config_model.Service,
    ready: list[model.Group],
    demand: placement.ReplicaDemand,
    capacities: collections.abc.Sequence[placement.FreeCapacity],
    stragglers: DomainStragglers,
) -> Retirement | None:
    if len(ready) < service.replicas or len(ready) < 2:
        return None
    found = [
        group
        for group in ready
        if _slow_members(group, stragglers)
        and _replaceable(group, demand, capacities, stragglers)
    ]
    if not found:
        return None
    return Retirement(_first(found), model.DrainReason.STRAGGLER)


def _replaceable(
    group: model.Group,
    demand: placement.ReplicaDemand,
    capacities: collections.abc.Sequence[placement.FreeCapacity],
    stragglers: DomainStragglers,
) -> bool:
    if placement.has_capacity(demand, capacities):
        return True
    spares = sum(
        capacity.free
        for capacity in capacities
        if capacity.domain == stragglers.domain
        and capacity.runs == demand.runs
    )
    return spares >= _slow_members(group, stragglers)


def _is_not_draining(group: model.Group) -> bool:
    return group.state is not model.GroupState.DRAINING


def _slow_members(group: model.Group, stragglers: DomainStragglers) -> int:
    return sum(
        member.instance in stragglers.instances for member in group.members
    )


def _first(groups: list[model.Group]) -> ids.GroupId:
    return min(group.id for group in groups)


def _newest(groups: list[model.Group]) -> ids.GroupId:
    return max(groups, key=lambda g: (g.epoch, g.id)).id


def _in_fullest_zone(groups: list[model.Group]) -> ids.GroupId:
    zones = [group.zone for group in groups]
    return max(groups, key=lambda g: (zones.count(g.zone), g.epoch, g.id)).id
