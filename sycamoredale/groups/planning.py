"""Plan the next assignment of one fabric domain."""

import collections.abc
import dataclasses

import msgspec

from sycamoredale.groups import formation
from sycamoredale.groups import model
from sycamoredale.groups import placement
from sycamoredale.groups import relocation
from sycamoredale.groups import repair
from sycamoredale.groups import retirement
from sycamoredale import ids
from sycamoredale.object_api import instances


@dataclasses.dataclass(frozen=True)
class PlanInput:
    """Combine the inputs of one plan."""

    snapshot: repair.DomainSnapshot
    other_assignments: list[model.Assignment]
    stragglers: retirement.DomainStragglers


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Combine the planned assignment with whether it stays valid.

    The assignment is the current object if nothing changes.  The plan is
    reusable if the same shared inputs lead to the same plan as long as
    nothing changes in the domain itself.
    """

    assignment: model.Assignment
    is_reusable: bool


def revise(
    current: model.Assignment, plan_input: PlanInput
) -> model.Assignment:
    """Return the assignment updated by the reports of its instances."""
    snapshot = plan_input.snapshot
    revised = (repair.revise(group, snapshot) for group in current.groups)
    kept = [group for group in revised if group is not None]
    return _with_groups(current, kept, plan_input)


def plan(current: model.Assignment, plan_input: PlanInput) -> Plan:
    """Plan one domain with regard to the assignments of all others."""
    snapshot = plan_input.snapshot
    revised = revise(current, plan_input)
    assignments = [revised, *plan_input.other_assignments]
    demands = placement.demands_of(
        snapshot.configuration, (g for a in assignments for g in a.groups)
    )
    capacities = placement.capacities_of(
        snapshot.configuration, snapshot.listed_by_id.values(), assignments
    )
    planner = relocation.RelocationPlanner(
        _placed_groups(assignments, snapshot), demands, capacities
    )
    kept = _retire(revised.groups, planner, plan_input)
    epoch = _next_epoch(current, snapshot)
    demands = relocation.with_extra(demands, planner.extra_demand())
    names = [
        item.service
        for item in placement.allocate(demands, capacities)
        if item.domain == current.domain
    ]
    formed = _form(revised, names, plan_input, epoch)
    planned = _with_groups(current, kept + formed, plan_input)
    if planned == current:
        reusable = not names and not plan_input.stragglers.instances
        return Plan(current, reusable)
    return Plan(msgspec.structs.replace(planned, epoch=epoch), False)


def _placed_groups(
    assignments: list[model.Assignment], snapshot: repair.DomainSnapshot
) -> list[relocation.PlacedGroup]:
    configured = {s.name for s in snapshot.configuration.services}
    return [
        relocation.PlacedGroup(assignment.domain, group)
        for assignment in assignments
        for group in assignment.groups
        if group.service in configured
    ]


def _retire(
    kept: list[model.Group],
    planner: relocation.RelocationPlanner,
    plan_input: PlanInput,
) -> list[model.Group]:
    chosen = retirement.choose(
        plan_input.snapshot.configuration, planner, plan_input.stragglers
    )
    reason_by_group = {item.group: item.reason for item in chosen}
    return [
        (
            repair.drain(group, reason_by_group[group.id])
            if group.id in reason_by_group
            else group
        )
        for group in kept
    ]


def _form(
    revised: model.Assignment,
    names: list[ids.ServiceName],
    plan_input: PlanInput,
    epoch: ids.Epoch,
) -> list[model.Group]:
    candidates = formation.Candidates(
        plan_input.snapshot,
        list(_free(revised, plan_input.snapshot)),
    )
    return list(
        formation.form_groups(names, candidates, revised.domain, epoch)
    )


def _free(
    assignment: model.Assignment, snapshot: repair.DomainSnapshot
) -> collections.abc.Iterator[instances.Instance]:
    excluded = model.instances_in_use(assignment) | set(assignment.unusable)
    for instance in snapshot.listed_by_id.values():
        if instance.domain != assignment.domain or instance.id in excluded:
            continue
        if snapshot.is_zone_out(instance.zone):
            continue
        if instance.state is instances.InstanceState.LIVE:
            yield instance


def _with_groups(
    current: model.Assignment,
    groups: list[model.Group],
    plan_input: PlanInput,
) -> model.Assignment:
    snapshot = plan_input.snapshot
    in_use = {m.instance for group in groups for m in group.members}
    own = [
        instance
        for instance in snapshot.listed_by_id.values()
        if instance.domain == current.domain and instance.id not in in_use
    ]
    avoided = _avoided(current, plan_input)
    unusable = [
        instance.id
        for instance in own
        if instance.id in avoided
        or not snapshot.health_table.is_reachable(instance.id)
    ]
    weights_by_id = {
        member.instance: group.weights
        for group in current.groups
        for member in group.members
    }
    weights_by_id.update(current.held)
    return msgspec.structs.replace(
        current,
        groups=groups,
        unusable=sorted(unusable),
        avoided=sorted(avoided),
        held={i.id: weights_by_id[i.id] for i in own if i.id in weights_by_id},
    )


def _avoided(
    current: model.Assignment, plan_input: PlanInput
) -> set[ids.InstanceId]:
    snapshot = plan_input.snapshot
    avoided = set(current.avoided)
    for group in current.groups:
        avoided |= repair.members_failing_to_load(group, snapshot)
        if group.drain_reason is model.DrainReason.STRAGGLER:
            avoided |= plan_input.stragglers.instances & {
                member.instance for member in group.members
            }
    return {
        instance
        for instance in avoided
        if instance in snapshot.listed_by_id
        and not snapshot.health_table.has_restarted(instance)
    }


def _next_epoch(
    current: model.Assignment, snapshot: repair.DomainSnapshot
) -> ids.Epoch:
    reported = [
        entry.state.epoch
        for entry in snapshot.health_table.by_id.values()
        if entry.state is not None
    ]
    return ids.Epoch(max([current.epoch, *reported]) + 1)
