"""Read the groups that instances report, and the orders that change them.

On a platform whose instances name their group, epoch and rank themselves,
the instances are the record of what stands: no second one can contradict
it, and any controller can go on where another one stopped.  The name of a
group says which model it runs.
"""

import collections.abc
import dataclasses

from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale import ids


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Name one group at one epoch."""

    group: ids.GroupId
    epoch: ids.Epoch

    @property
    def model(self) -> str:
        """Return the name of the model that the group runs."""
        return listing.model_of_group(self.group)


def new_key(model: str, epoch: ids.Epoch) -> GroupKey:
    """Return the key of a new group."""
    name = f"{model}{listing.GROUP_NAME_SEPARATOR}{epoch}"
    return GroupKey(ids.GroupId(name), epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Make an instance a member; the first of the members is the head."""

    key: GroupKey
    members: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Let the head of a group take requests."""

    key: GroupKey


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Let the head take no more requests; `cancel` ends the open ones."""

    key: GroupKey
    cancel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Take an instance out of a group."""

    key: GroupKey


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Load a model onto the host of an instance, beside its work."""

    model: str


Order = Join | Open | Close | Leave | Stage


@dataclasses.dataclass(frozen=True, slots=True)
class DueOrder:
    """Hold an order, the instance that it is for, and why it is given."""

    instance: listing.Instance
    order: Order
    reason: str


@dataclasses.dataclass
class ReportedGroup:
    """Hold the members of one group by rank.

    `model` is None for a group that another system formed.
    """

    key: GroupKey
    service: ids.ServiceName
    model: catalogue.Model | None
    member_by_rank: dict[int, listing.Instance] = dataclasses.field(
        default_factory=dict
    )

    @property
    def head(self) -> listing.Instance | None:
        """Return the member that takes the requests, if it is known."""
        return self.member_by_rank.get(0)

    @property
    def state(self) -> listing.MemberState | None:
        """Return the state that the head reports."""
        head = self.head
        return head.membership.state if head and head.membership else None

    @property
    def has_all_members(self) -> bool:
        """Tell whether as many members report the group as it needs."""
        return (
            self.model is not None
            and len(self.member_by_rank) == self.model.size
        )

    @property
    def domains(self) -> frozenset[ids.DomainName]:
        """Return the fabric domains that its members stand in."""
        return frozenset(m.domain for m in self.member_by_rank.values())

    @property
    def is_formed(self) -> bool:
        """Tell whether every member has loaded the model."""
        return self.has_all_members and not any(
            m.membership.state is listing.MemberState.JOINING
            for m in self.member_by_rank.values()
            if m.membership is not None
        )


def collect_groups(
    instances: collections.abc.Iterable[listing.Instance],
    services: collections.abc.Mapping[ids.ServiceName, catalogue.Service],
) -> dict[GroupKey, ReportedGroup]:
    """Return the groups that instances report, by key."""
    found: dict[GroupKey, ReportedGroup] = {}
    for instance in instances:
        membership = instance.membership
        if membership is None:
            continue
        key = GroupKey(membership.group, membership.epoch)
        service = services.get(instance.service)
        group = found.setdefault(
            key,
            ReportedGroup(
                key,
                instance.service,
                service.model(key.model) if service else None,
            ),
        )
        group.member_by_rank[membership.rank] = instance
    return found
