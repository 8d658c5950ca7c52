"""Describe instances as they report themselves."""

import dataclasses
import enum
from typing import Final

from sycamoredale.http import messages
from sycamoredale import ids

# A group is named MODEL.EPOCH.
GROUP_NAME_SEPARATOR: Final = "."


class MemberState(enum.Enum):
    """Describe the state of a member in the life cycle of its group.

    Only the head, which accepts the requests of the group, is ever OPEN or
    CLOSING.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


def model_of_group(group: ids.GroupId) -> str:
    """Return the name of the model that a group runs."""
    return group.rpartition(GROUP_NAME_SEPARATOR)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Describe the membership of an instance in a group.

    The head of a group has rank 0.
    """

    group: ids.GroupId
    epoch: ids.Epoch
    rank: int
    state: MemberState

    @property
    def model(self) -> str:
        """Return the name of the model that the group runs."""
        return model_of_group(self.group)


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """Describe one instance.

    `started_ms` is the start time in milliseconds, which distinguishes the
    incarnations of one id; `orders_taken` counts the orders that this
    incarnation has accepted and versions its states.  `cold_seconds` is how
    much longer it is cold.  `staged` names the models whose weights are on
    its host.
    """

    id: ids.InstanceId
    service: ids.ServiceName
    address: messages.Address
    zone: ids.ZoneName
    domain: ids.DomainName
    slots: int
    leaving: bool
    cold_seconds: float
    started_ms: int
    orders_taken: int
    membership: Membership | None
    staged: tuple[str, ...]

    @property
    def state_version(self) -> tuple[int, int]:
        """Return the version that orders the states of one instance id."""
        return self.started_ms, self.orders_taken

    @property
    def is_open_head(self) -> bool:
        """Return whether the instance accepts the requests of a group."""
        membership = self.membership
        return (
            membership is not None
            and membership.rank == 0
            and membership.state is MemberState.OPEN
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Describe the answer of an instance to a probe.

    `slowdown` is the factor by which its work takes longer than usual.
    `leaving` is true if the instance says that it leaves.
    """

    started_ms: int
    orders_taken: int
    membership: Membership | None
    staged: tuple[str, ...]
    slowdown: float = 1.0
    leaving: bool = False
