"""Describe the instances behind the system, as they do it themselves."""

import dataclasses
import enum
from typing import Final

from sycamoredale.http import messages
from sycamoredale import ids

# The name of a group is that of its model, this, and its epoch.
GROUP_NAME_SEPARATOR: Final = "."


class MemberState(enum.Enum):
    """State how far a member is in the life of its group.

    Only the first member, which takes the requests, opens and closes.
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
    """Name the place of an instance in a group; the head has rank 0."""

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

    `started_ms` tells lives of one id apart, `orders_taken` words of one
    life.  `staged` names the models on its host.
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
        """Return what orders the words of one instance."""
        return self.started_ms, self.orders_taken

    @property
    def is_open_head(self) -> bool:
        """Tell whether the instance takes the requests of a group."""
        place = self.membership
        return (
            place is not None
            and place.rank == 0
            and place.state is MemberState.OPEN
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold what an instance said when it was asked.

    `slowness` is how many times as long as usual its work takes.
    """

    started_ms: int
    orders_taken: int
    membership: Membership | None
    staged: tuple[str, ...]
    slowness: float = 1.0
