"""Define the stored assignment of instances to groups.

One assignment object contains all groups of one fabric domain.  Because a
conditional update replaces the whole object, an instance is never in two
groups of its domain, and no group spans two domains.
"""

import enum
from typing import Final

import msgspec

from sycamoredale.config import model as config_model
from sycamoredale import ids

ASSIGNMENT_KIND: Final = "assignment"


class GroupState(enum.Enum):
    """Enumerate the states of a group."""

    FORMING = "forming"
    READY = "ready"
    DRAINING = "draining"


class DrainReason(enum.Enum):
    """Enumerate the reasons why a group accepts no new requests."""

    ZONE_OUT = "zone_out"
    LEAVING = "leaving"
    STRAGGLER = "straggler"
    OLD_VERSION = "old_version"
    SURPLUS = "surplus"


class Member(msgspec.Struct, frozen=True):
    """Represent one instance of a group; `address` is `host:port`."""

    instance: ids.InstanceId
    address: str


class Group(msgspec.Struct, frozen=True):
    """Represent one group; requests are sent to the first member.

    `epoch` is the fencing token of the orders that formed the group.
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
    """Store all groups of one fabric domain.

    No group is formed from the free instances in `unusable`, which include
    those in `avoided`, which were slow or failed to load.  `held` gives the
    weights that each free instance had loaded last.
    """

    domain: ids.DomainName
    epoch: ids.Epoch = ids.Epoch(0)
    groups: list[Group] = []
    write_id: ids.WriteId = ids.WriteId("")
    unusable: list[ids.InstanceId] = []
    avoided: list[ids.InstanceId] = []
    held: dict[ids.InstanceId, str] = {}


def instances_in_use(assignment: Assignment) -> set[ids.InstanceId]:
    """Return the instances that belong to a group."""
    return {
        member.instance
        for group in assignment.groups
        for member in group.members
    }


def weights_of(
    configuration: config_model.Configuration, service: config_model.Service
) -> str:
    """Return the name of the weights of the configured version."""
    for version in configuration.versions:
        if version.service == service.name and version.name == service.version:
            return version.weights
    return f"{service.name}/{service.version}"


def adapters_of(
    configuration: config_model.Configuration, service: ids.ServiceName
) -> list[str]:
    """Return the weights of the adapters of a service."""
    return [a.weights for a in configuration.adapters if a.service == service]
