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
    """Hold what one round knows; `others` are the other domains."""

    snapshot: repair.DomainSnapshot
    other_assignments: list[model.Assignment]
    stragglers: retirement.DomainStragglers


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Hold the wanted assignment, `current` itself if nothing changes.

    The plan is settled if the same one would follow from the same shared
    knowledge and no change in the domain itself.
    """

    assignment: model.Assignment
    is_reusable: bool


def revise(
    current: model.Assignment, situation: PlanInput
) -> model.Assignment:
    """Return the assignment after what its own instances report."""
    facts = situation.snapshot
    revised = (repair.revise(group, facts) for group in current.groups)
    kept = [group for group in revised if group is not None]
    return _with_groups(current, kept, situation)


def plan(current: model.Assignment, situation: PlanInput) -> Plan:
    """Return the plan for one domain among all others."""
    facts = situation.snapshot
    revised = revise(current, situation)
    known = [revised, *situation.other_assignments]
    needs = placement.demands_of(
        facts.configuration, (g for a in known for g in a.groups)
    )
    rooms = placement.capacities_of(
        facts.configuration, facts.listed_by_id.values(), known
    )
    moves = relocation.RelocationPlanner(_placed(known, facts), needs, rooms)
    kept = _retire(revised.groups, moves, situation)
    epoch = _next_epoch(current, facts)
    needs = relocation.with_extra(needs, moves.extra_demand())
    names = [
        item.service
        for item in placement.allocate(needs, rooms)
        if item.domain == current.domain
    ]
    formed = _form(revised, names, situation, epoch)
    planned = _with_groups(current, kept + formed, situation)
    if planned == current:
        settled = not names and not situation.stragglers.instances
        return Plan(current, settled)
    return Plan(msgspec.structs.replace(planned, epoch=epoch), False)


def _placed(
    known: list[model.Assignment], facts: repair.DomainSnapshot
) -> list[relocation.PlacedGroup]:
    configured = {s.name for s in facts.configuration.services}
    return [
        relocation.PlacedGroup(assignment.domain, group)
        for assignment in known
        for group in assignment.groups
        if group.service in configured
    ]


def _retire(
    kept: list[model.Group],
    moves: relocation.RelocationPlanner,
    situation: PlanInput,
) -> list[model.Group]:
    chosen = retirement.choose(
        situation.snapshot.configuration, moves, situation.stragglers
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
    situation: PlanInput,
    epoch: ids.Epoch,
) -> list[model.Group]:
    candidates = formation.Candidates(
        situation.snapshot,
        list(_free(revised, situation.snapshot)),
    )
    return list(
        formation.form_groups(names, candidates, revised.domain, epoch)
    )


def _free(
    assignment: model.Assignment, facts: repair.DomainSnapshot
) -> collections.abc.Iterator[instances.Instance]:
    taken = model.instances_in_use(assignment) | set(assignment.unusable)
    for instance in facts.listed_by_id.values():
        if instance.domain != assignment.domain or instance.id in taken:
            continue
        if facts.is_zone_out(instance.zone):
            continue
        if instance.state is instances.InstanceState.LIVE:
            yield instance


def _with_groups(
    current: model.Assignment,
    groups: list[model.Group],
    situation: PlanInput,
) -> model.Assignment:
    facts = situation.snapshot
    in_use = {m.instance for group in groups for m in group.members}
    own = [
        instance
        for instance in facts.listed_by_id.values()
        if instance.domain == current.domain and instance.id not in in_use
    ]
    avoided = _avoided(current, situation)
    unusable = [
        instance.id
        for instance in own
        if instance.id in avoided
        or not facts.health_table.reachable(instance.id)
    ]
    held = {
        member.instance: group.weights
        for group in current.groups
        for member in group.members
    }
    held.update(current.held)
    return msgspec.structs.replace(
        current,
        groups=groups,
        unusable=sorted(unusable),
        avoided=sorted(avoided),
        held={i.id: held[i.id] for i in own if i.id in held},
    )


def _avoided(
    current: model.Assignment, situation: PlanInput
) -> set[ids.InstanceId]:
    facts = situation.snapshot
    avoided = set(current.avoided)
    for group in current.groups:
        avoided |= repair.members_failing_to_load(group, facts)
        if group.drain_reason is model.DrainReason.STRAGGLER:
            avoided |= situation.stragglers.instances & {
                member.instance for member in group.members
            }
    return {
        instance
        for instance in avoided
        if instance in facts.listed_by_id
        and not facts.health_table.restarted(instance)
    }


def _next_epoch(
    current: model.Assignment, facts: repair.DomainSnapshot
) -> ids.Epoch:
    reported = [
        known.state.epoch
        for known in facts.health_table.by_id.values()
        if known.state is not None
    ]
    return ids.Epoch(max([current.epoch, *reported]) + 1)
