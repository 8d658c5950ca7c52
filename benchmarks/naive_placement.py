"""Plan the groups of one fabric domain greedily, for comparison.

The plan keeps the groups whose members are all live, and forms new groups
from free instances while a service has fewer replicas than configured.
"""

import collections
import collections.abc

import msgspec

from sycamoredale.config import model as config_model
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale.object_api import instances


def plan(
    configuration: config_model.Configuration,
    listed: collections.abc.Iterable[instances.Instance],
    current: model.Assignment,
    others: collections.abc.Iterable[model.Assignment],
) -> model.Assignment:
    """Return the wanted assignment of the domain of `current`."""
    live = {
        i.id: i
        for i in listed
        if i.domain == current.domain
        and i.state is instances.InstanceState.LIVE
    }
    kept = [
        group
        for group in current.groups
        if all(member.instance in live for member in group.members)
    ]
    replicas = collections.Counter(g.service for g in kept)
    for other in others:
        replicas.update(g.service for g in other.groups)
    used = {m.instance for g in kept for m in g.members}
    free = [i for i in live.values() if i.id not in used]
    epoch = ids.Epoch(current.epoch + 1)
    formed = list(_form(configuration, free, replicas, current.domain, epoch))
    if len(kept) == len(current.groups) and not formed:
        return current
    return msgspec.structs.replace(current, epoch=epoch, groups=kept + formed)


def _form(
    configuration: config_model.Configuration,
    free: list[instances.Instance],
    replicas: collections.Counter[ids.ServiceName],
    domain: ids.DomainName,
    epoch: ids.Epoch,
) -> collections.abc.Iterator[model.Group]:
    for service in configuration.services:
        runs = (
            instances.ENGINE
            if service.kind is config_model.ServiceKind.MODEL
            else service.name
        )
        usable = [i for i in free if i.runs == runs]
        size = service.instances_per_replica
        while replicas[service.name] < service.replicas:
            members, usable = usable[:size], usable[size:]
            if len(members) < size:
                break
            replicas[service.name] += 1
            for member in members:
                free.remove(member)
            yield _group(service, members, domain, epoch)


def _group(
    service: config_model.Service,
    members: list[instances.Instance],
    domain: ids.DomainName,
    epoch: ids.Epoch,
) -> model.Group:
    return model.Group(
        id=ids.GroupId(f"{domain}/{members[0].id}"),
        service=service.name,
        version=service.version,
        zone=members[0].zone,
        epoch=epoch,
        state=model.GroupState.FORMING,
        members=[model.Member(i.id, i.address) for i in members],
    )
