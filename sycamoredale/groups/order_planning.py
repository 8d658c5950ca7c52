"""Derive the orders that make engines match an assignment.

Orders are derived again in each round from the reports of the engines, so a
lost order or answer needs no record.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.groups import health
from sycamoredale.groups import model
from sycamoredale.groups import repair
from sycamoredale import ids
from sycamoredale.object_api import instances

REPEAT_LOAD_SECONDS: Final = 2.0
# How long an engine that failed may finish its requests before it is ordered
# to load again; as long as the shortest drain.
FINISH_AFTER_FAILURE_SECONDS: Final = repair.DRAIN_GRACE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class DueOrder:
    """Combine an order with its target instance.

    `fetches` is true if the engine has to fetch the weights.
    """

    instance: ids.InstanceId
    address: str
    order: orders.Order
    fetches: bool = False


def due_orders(
    assignment: model.Assignment, snapshot: repair.DomainSnapshot
) -> collections.abc.Iterator[DueOrder]:
    """Yield the orders that the engines of a domain need now."""
    for group in assignment.groups:
        service = snapshot.service(group.service)
        if service is None or service.kind is config_model.ServiceKind.PLAIN:
            continue
        for member in group.members:
            if not snapshot.health_table.is_reachable(member.instance):
                continue
            found = _order_for_member(group, service, member, snapshot)
            if found is not None:
                yield found
    yield from _unload_orders(assignment, snapshot)


def _order_for_member(
    group: model.Group,
    service: config_model.Service,
    member: model.Member,
    snapshot: repair.DomainSnapshot,
) -> DueOrder | None:
    state = snapshot.health_table.state(member.instance)
    if state is None or state.epoch > group.epoch:
        return None
    action = _action(group, service, state, snapshot)
    if action is None:
        return None
    if action is orders.Action.LOAD:
        if _is_backing_off(member, snapshot) or _is_finishing(
            member, snapshot
        ):
            return None
    order = orders.Order(
        action=action,
        epoch=group.epoch,
        group=group.id,
        service=group.service,
        version=group.version,
        weights=group.weights,
        adapters=model.adapters_of(snapshot.configuration, group.service),
        members=[m.address for m in group.members],
        role=orders.Role(service.role.value),
    )
    fetches = action is orders.Action.LOAD and group.weights not in state.held
    return DueOrder(member.instance, member.address, order, fetches)


def _action(
    group: model.Group,
    service: config_model.Service,
    state: orders.EngineState,
    snapshot: repair.DomainSnapshot,
) -> orders.Action | None:
    has_joined = health.has_joined(state, group)
    if group.state is model.GroupState.DRAINING:
        draining = state.phase is orders.Phase.DRAINING
        return orders.Action.DRAIN if has_joined and not draining else None
    if not has_joined:
        forming = group.state is model.GroupState.FORMING
        return orders.Action.LOAD if forming else None
    if state.phase is orders.Phase.DRAINING:
        return orders.Action.RESUME
    wanted = model.adapters_of(snapshot.configuration, group.service)
    same_role = state.role.value == service.role.value
    if state.adapters != wanted or not same_role:
        return orders.Action.UPDATE
    return None


def _is_backing_off(
    member: model.Member, snapshot: repair.DomainSnapshot
) -> bool:
    member_health = snapshot.health_table.by_id[member.instance]
    if member_health.state is None or member_health.ordered_at is None:
        return False
    if member_health.state.phase is not orders.Phase.FAILED:
        return False
    wait = REPEAT_LOAD_SECONDS * (1 + member_health.failed_loads)
    return snapshot.now < clock.MonotonicTime(member_health.ordered_at + wait)


def _is_finishing(
    member: model.Member, snapshot: repair.DomainSnapshot
) -> bool:
    """Return whether an engine that failed still finishes requests."""
    member_health = snapshot.health_table.by_id[member.instance]
    if (
        member_health.state is None
        or member_health.engine_failed_since is None
    ):
        return False
    if not member_health.state.running + member_health.state.waiting:
        return False
    until = member_health.engine_failed_since + FINISH_AFTER_FAILURE_SECONDS
    return snapshot.now < until


def _unload_orders(
    assignment: model.Assignment, snapshot: repair.DomainSnapshot
) -> collections.abc.Iterator[DueOrder]:
    in_use = model.instances_in_use(assignment)
    for instance in snapshot.listed_by_id.values():
        if instance.domain != assignment.domain or instance.id in in_use:
            continue
        if instance.runs != instances.ENGINE:
            continue
        state = snapshot.health_table.state(instance.id)
        if state is None or not snapshot.health_table.is_reachable(
            instance.id
        ):
            continue
        if state.phase is orders.Phase.EMPTY or state.group is None:
            continue
        ignores = snapshot.ignores_fencing(state.service)
        if ignores and not snapshot.no_orders_in_flight(instance.id):
            continue
        order = orders.Order(
            orders.Action.UNLOAD, assignment.epoch, state.group
        )
        yield DueOrder(instance.id, instance.address, order)
