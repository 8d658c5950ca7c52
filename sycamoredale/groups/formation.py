"""Choose the instances of new groups inside one fabric domain."""

import collections.abc
import dataclasses

from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.groups import model
from sycamoredale.groups import repair
from sycamoredale import ids
from sycamoredale.object_api import instances


@dataclasses.dataclass(frozen=True)
class Candidates:
    """Represent the free instances of a domain."""

    snapshot: repair.DomainSnapshot
    free: list[instances.Instance]

    def choose(
        self, service: config_model.Service, used: set[ids.InstanceId]
    ) -> list[instances.Instance]:
        """Return the members of a new group, empty if there are too few.

        Instances that have the weights of the service come first.
        """
        plain = service.kind is config_model.ServiceKind.PLAIN
        runs = service.name if plain else instances.ENGINE
        size = 1 if plain else service.instances_per_replica
        weights = model.weights_of(self.snapshot.configuration, service)
        usable = [
            instance
            for instance in self.free
            if instance.runs == runs
            and instance.id not in used
            and self._usable(instance, service)
        ]
        usable.sort(key=lambda i: (not self._has_weights(i, weights), i.id))
        return usable[:size] if len(usable) >= size else []

    def _has_weights(self, instance: instances.Instance, weights: str) -> bool:
        state = self.snapshot.health_table.state(instance.id)
        return state is not None and weights in state.held

    def _usable(
        self, instance: instances.Instance, service: config_model.Service
    ) -> bool:
        health_table = self.snapshot.health_table
        if not health_table.is_reachable(instance.id):
            return False
        if service.kind is config_model.ServiceKind.PLAIN:
            return True
        state = health_table.state(instance.id)
        if state is None:
            return False
        ignores = service.fencing is config_model.Fencing.IGNORED
        if not ignores and not self.snapshot.ignores_fencing(state.service):
            return True
        empty = state.phase is orders.Phase.EMPTY and state.group is None
        return empty and self.snapshot.no_orders_in_flight(instance.id)


def form_groups(
    names: collections.abc.Iterable[ids.ServiceName],
    candidates: Candidates,
    domain: ids.DomainName,
    epoch: ids.Epoch,
) -> collections.abc.Iterator[model.Group]:
    """Yield a new group for each service name with enough candidates."""
    used: set[ids.InstanceId] = set()
    for name in names:
        service = candidates.snapshot.service(name)
        if service is None:
            continue
        members = candidates.choose(service, used)
        if not members:
            continue
        used.update(member.id for member in members)
        yield model.Group(
            id=ids.GroupId(f"{domain}/{members[0].id}/{epoch}"),
            service=service.name,
            version=service.version,
            zone=members[0].zone,
            epoch=epoch,
            state=model.GroupState.FORMING,
            members=[model.Member(i.id, i.address) for i in members],
            weights=_weights(candidates.snapshot, service),
        )


def _weights(
    snapshot: repair.DomainSnapshot, service: config_model.Service
) -> str:
    if service.kind is config_model.ServiceKind.PLAIN:
        return ""
    return model.weights_of(snapshot.configuration, service)
