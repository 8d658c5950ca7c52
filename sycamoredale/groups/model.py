"""Hold the groups of each fabric domain.

One assignment object holds every group of one fabric domain.  Because a
single conditional update replaces the whole object, an instance can never
stand in two groups of its domain, and no group spans two domains.
"""

import enum
from typing import Final

import msgspec

from sycamoredale import ids

ASSIGNMENT_KIND: Final = "assignment"


class GroupState(enum.Enum):
    """State how far a group is in its life."""

    FORMING = "forming"
    READY = "ready"
    DRAINING = "draining"


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


class Assignment(msgspec.Struct, frozen=True):
    """Hold all groups of one fabric domain."""

    domain: ids.DomainName
    epoch: ids.Epoch = ids.Epoch(0)
    groups: list[Group] = []
    write_id: ids.WriteId = ids.WriteId("")


def instances_in_use(assignment: Assignment) -> set[ids.InstanceId]:
    """Return the instances that stand in a group."""
    return {
        member.instance
        for group in assignment.groups
        for member in group.members
    }
