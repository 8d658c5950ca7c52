"""Plan the next assignment of one fabric domain."""

import collections.abc
import dataclasses

import msgspec

from sycamoredale.groups import formation
from sycamoredale.groups import model
from sycamoredale.groups import placement
from sycamoredale.groups import repair
from sycamoredale.groups import retirement
from sycamoredale import ids
from sycamoredale.platform import instances


@dataclasses.dataclass(frozen=True)
class Situation:
    """Hold what one round knows; `others` are the other domains."""

    facts: repair.Facts
    others: list[model.Assignment]
    slow: retirement.Slow


def plan(current: model.Assignment, situation: Situation) -> model.Assignment:
    """Return the wanted assignment, `current` itself if nothing changes."""
    facts = situation.facts
    kept = _revise(current, facts)
    revised = _with_groups(current, kept, situation)
    groups = [
        group
        for assignment in (revised, *situation.others)
        for group in assignment.groups
    ]
    needs = placement.needs_of(facts.configuration, groups)
    rooms = placement.rooms_of(
        facts.configuration,
        facts.listed_by_id.values(),
        [revised, *situation.others],
    )
    kept = _retire(kept, groups, needs, rooms, situation)
    epoch = _next_epoch(current, facts)
    formed = _form(revised, needs, rooms, situation, epoch)
    planned = _with_groups(current, kept + formed, situation)
    if planned == current:
        return current
    return msgspec.structs.replace(planned, epoch=epoch)


def _revise(
    current: model.Assignment, facts: repair.Facts
) -> list[model.Group]:
    revised = (repair.revise(group, facts) for group in current.groups)
    return [group for group in revised if group is not None]


def _retire(
    kept: list[model.Group],
    groups: list[model.Group],
    needs: list[placement.Need],
    rooms: list[placement.Room],
    situation: Situation,
) -> list[model.Group]:
    chosen = retirement.choose(
        situation.facts.configuration, groups, needs, rooms, situation.slow
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
    needs: list[placement.Need],
    rooms: list[placement.Room],
    situation: Situation,
    epoch: ids.Epoch,
) -> list[model.Group]:
    names = (
        item.service
        for item in placement.allot(needs, rooms)
        if item.domain == revised.domain
    )
    candidates = formation.Candidates(
        situation.facts,
        list(_free(revised, situation.facts)),
    )
    return list(formation.form(names, candidates, revised.domain, epoch))


def _free(
    assignment: model.Assignment, facts: repair.Facts
) -> collections.abc.Iterator[instances.Instance]:
    taken = model.instances_in_use(assignment) | set(assignment.unusable)
    for instance in facts.listed_by_id.values():
        if instance.domain != assignment.domain or instance.id in taken:
            continue
        if facts.zone_out(instance.zone):
            continue
        if instance.state is instances.InstanceState.LIVE:
            yield instance


def _with_groups(
    current: model.Assignment,
    groups: list[model.Group],
    situation: Situation,
) -> model.Assignment:
    facts = situation.facts
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
        if instance.id in avoided or not facts.book.reachable(instance.id)
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
    current: model.Assignment, situation: Situation
) -> set[ids.InstanceId]:
    facts = situation.facts
    avoided = set(current.avoided)
    for group in current.groups:
        avoided |= repair.blamed(group, facts)
        if group.drain_reason is model.DrainReason.STRAGGLER:
            avoided |= situation.slow.instances & {
                member.instance for member in group.members
            }
    return {
        instance
        for instance in avoided
        if instance in facts.listed_by_id
        and not facts.book.restarted(instance)
    }


def _next_epoch(current: model.Assignment, facts: repair.Facts) -> ids.Epoch:
    reported = [
        known.state.epoch
        for known in facts.book.by_id.values()
        if known.state is not None
    ]
    return ids.Epoch(max([current.epoch, *reported]) + 1)
