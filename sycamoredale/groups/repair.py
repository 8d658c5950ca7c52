"""Compute the next state of each existing group.

A group is ready only while every member confirms its epoch.  Otherwise it
returns to forming, which removes it from all routing tables; if the member
returns with its weights still loaded, the group becomes ready again without
a load.  If a member stays unreachable or is replaced, the group is dissolved
and its other members become free.  If no member answers, there is nothing to
free, and the group waits for its fabric domain to recover.
"""

import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.groups import health
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import instances

DRAIN_GRACE_SECONDS: Final = 3.0
MAX_DRAIN_SECONDS: Final = 600.0


@dataclasses.dataclass(frozen=True)
class DomainSnapshot:
    """Represent the inputs of the decisions on one domain at one time.

    `draining_since_by_group` is kept by the caller between rounds;
    `lease_acquired_at` is the start of the present lease term.
    """

    configuration: config_model.Configuration
    listed_by_id: dict[ids.InstanceId, instances.Instance]
    health_table: health.HealthTable
    draining_since_by_group: dict[ids.GroupId, clock.MonotonicTime]
    lease_acquired_at: clock.MonotonicTime
    now: clock.MonotonicTime

    def service(self, name: ids.ServiceName) -> config_model.Service | None:
        """Return the configured service with a name, None if absent."""
        for service in self.configuration.services:
            if service.name == name:
                return service
        return None

    def ignores_fencing(self, loaded: ids.ServiceName) -> bool:
        """Return whether the engine of a loaded service may obey old orders.

        For a service that is no longer configured this is unknown, and
        assumed if any configured service has engines that ignore fencing.
        """
        loaded_service = self.service(loaded)
        if loaded_service is not None:
            return loaded_service.fencing is config_model.Fencing.IGNORED
        return any(
            service.fencing is config_model.Fencing.IGNORED
            for service in self.configuration.services
        )

    def no_orders_in_flight(self, instance: ids.InstanceId) -> bool:
        """Return whether no earlier order to an instance can still arrive."""
        return self.health_table.no_orders_in_flight(
            instance, self.lease_acquired_at, self.now
        )

    def is_zone_out(self, name: ids.ZoneName) -> bool:
        """Return whether operators have taken a zone out of service."""
        return any(
            zone.name == name and zone.state is config_model.ZoneState.OUT
            for zone in self.configuration.zones
        )


def revise(group: model.Group, snapshot: DomainSnapshot) -> model.Group | None:
    """Return the group in its next state, or None to dissolve it."""
    service = snapshot.service(group.service)
    if service is None or _must_dissolve(group, snapshot):
        return None
    match group.state:
        case model.GroupState.READY:
            return _revise_ready(group, service, snapshot)
        case model.GroupState.FORMING:
            return _revise_forming(group, service, snapshot)
        case model.GroupState.DRAINING:
            return _revise_draining(group, snapshot)


def drain(group: model.Group, reason: model.DrainReason) -> model.Group:
    """Return a draining copy of the group with the given reason."""
    return msgspec.structs.replace(
        group, state=model.GroupState.DRAINING, drain_reason=reason
    )


def members_failing_to_load(
    group: model.Group, snapshot: DomainSnapshot
) -> set[ids.InstanceId]:
    """Return the members that fail to load while most others do not.

    If at least half of them fail, the fault is in the version or the weight
    store, and the result is empty.
    """
    failing = {
        member.instance
        for member in group.members
        if snapshot.health_table.fails_to_load(member.instance)
    }
    return failing if 2 * len(failing) < len(group.members) else set()


def is_confirmed(
    group: model.Group, service: config_model.Service, snapshot: DomainSnapshot
) -> bool:
    """Return whether every member confirms the group's epoch.

    The instances of a plain service have no epoch and need only be reachable.
    """
    if service.kind is config_model.ServiceKind.PLAIN:
        return all(
            snapshot.health_table.is_reachable(m.instance)
            for m in group.members
        )
    adapters = model.adapters_of(snapshot.configuration, group.service)
    if group.state is model.GroupState.READY:
        adapters = []  # A ready group serves while it loads new adapters.
    return all(
        snapshot.health_table.is_reachable(m.instance)
        and health.confirms(
            snapshot.health_table.state(m.instance), group, adapters
        )
        for m in group.members
    )


def _must_dissolve(group: model.Group, snapshot: DomainSnapshot) -> bool:
    if any(_replaced(member, snapshot) for member in group.members):
        return True
    if any(_fenced_out(member, group, snapshot) for member in group.members):
        return True
    if members_failing_to_load(group, snapshot):
        return True
    lost_count = sum(
        snapshot.health_table.is_lost(m.instance, snapshot.now)
        for m in group.members
    )
    return 0 < lost_count < len(group.members)


def _replaced(member: model.Member, snapshot: DomainSnapshot) -> bool:
    listed = snapshot.listed_by_id.get(member.instance)
    if listed is not None:
        return listed.address != member.address
    return not snapshot.health_table.is_reachable(member.instance)


def _fenced_out(
    member: model.Member, group: model.Group, snapshot: DomainSnapshot
) -> bool:
    state = snapshot.health_table.state(member.instance)
    return state is not None and state.epoch > group.epoch


def _leaving(group: model.Group, snapshot: DomainSnapshot) -> bool:
    listed = (snapshot.listed_by_id.get(m.instance) for m in group.members)
    return any(
        i is None or i.state is instances.InstanceState.LEAVING for i in listed
    )


def _revise_ready(
    group: model.Group, service: config_model.Service, snapshot: DomainSnapshot
) -> model.Group:
    if snapshot.is_zone_out(group.zone):
        return drain(group, model.DrainReason.ZONE_OUT)
    if _leaving(group, snapshot):
        return drain(group, model.DrainReason.LEAVING)
    if not is_confirmed(group, service, snapshot):
        return _return_to_forming(group)
    return group


def _revise_forming(
    group: model.Group, service: config_model.Service, snapshot: DomainSnapshot
) -> model.Group | None:
    if snapshot.is_zone_out(group.zone) or _leaving(group, snapshot):
        return None
    if is_confirmed(group, service, snapshot):
        return msgspec.structs.replace(group, state=model.GroupState.READY)
    return group


def _revise_draining(
    group: model.Group, snapshot: DomainSnapshot
) -> model.Group | None:
    if group.drain_reason is model.DrainReason.ZONE_OUT:
        if snapshot.is_zone_out(group.zone):
            return group
        return _return_to_forming(group)
    since = snapshot.draining_since_by_group.get(group.id, snapshot.now)
    if snapshot.now >= since + MAX_DRAIN_SECONDS:
        return None
    if snapshot.now >= since + DRAIN_GRACE_SECONDS and _idle(group, snapshot):
        return None
    return group


def _return_to_forming(group: model.Group) -> model.Group:
    return msgspec.structs.replace(
        group, state=model.GroupState.FORMING, drain_reason=None
    )


def _idle(group: model.Group, snapshot: DomainSnapshot) -> bool:
    state = snapshot.health_table.state(group.members[0].instance)
    if state is None or not health.has_joined(state, group):
        return True
    refuses = state.phase is orders.Phase.DRAINING
    return refuses and state.running == 0 and state.waiting == 0
