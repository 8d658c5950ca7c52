"""Hold the groups of each fabric domain.

One assignment object holds every group of one fabric domain.  Because a
single conditional update replaces the whole object, an instance can never
stand in two groups of its domain, and no group spans two domains.
"""

import enum
from typing import Final

import msgspec

from sycamoredale.config import model as config_model
from sycamoredale import ids

ASSIGNMENT_KIND: Final = "assignment"


class GroupState(enum.Enum):
    """State how far a group is in its life."""

    FORMING = "forming"
    READY = "ready"
    DRAINING = "draining"


class DrainReason(enum.Enum):
    """State why a group takes no new work."""

    ZONE_OUT = "zone_out"
    LEAVING = "leaving"
    STRAGGLER = "straggler"
    OLD_VERSION = "old_version"
    SURPLUS = "surplus"


class Member(msgspec.Struct, frozen=True):
    """Name one instance of a group; `address` is `host:port`."""

    instance: ids.InstanceId
    address: str


class Group(msgspec.Struct, frozen=True):
    """Hold one group; the first member is the one that takes requests.

    `epoch` is the fencing number of the orders that formed the group.
    """

    id: ids.GroupId
    service: ids.ServiceName
    version: ids.VersionName
    zone: ids.ZoneName
    epoch: ids.Epoch
    state: GroupState
    members: list[Member]
    weights: str = ""
    drain_reason: DrainReason | None = None


class Assignment(msgspec.Struct, frozen=True):
    """Hold all groups of one fabric domain.

    `unusable` are free instances that no group is formed from, among them
    those `avoided` because they were slow or failed to load.  `held` names
    the weights that free instances had loaded last.
    """

    domain: ids.DomainName
    epoch: ids.Epoch = ids.Epoch(0)
    groups: list[Group] = []
    write_id: ids.WriteId = ids.WriteId("")
    unusable: list[ids.InstanceId] = []
    avoided: list[ids.InstanceId] = []
    held: dict[ids.InstanceId, str] = {}


def instances_in_use(assignment: Assignment) -> set[ids.InstanceId]:
    """Return the instances that stand in a group."""
    return {
        member.instance
        for group in assignment.groups
        for member in group.members
    }


def weights_of(
    configuration: config_model.Configuration, service: config_model.Service
) -> str:
    """Return the name of the weights that a service needs now."""
    for version in configuration.versions:
        if version.service == service.name and version.name == service.version:
            return version.weights
    return f"{service.name}/{service.version}"


def adapters_of(
    configuration: config_model.Configuration, service: ids.ServiceName
) -> list[str]:
    """Return the weights of the adapters of a service."""
    return [a.weights for a in configuration.adapters if a.service == service]
