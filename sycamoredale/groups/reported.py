"""Define the groups that instances report and the orders that change them.

On a platform whose instances report their group, epoch and rank, the
instances themselves are the only record of the groups: no other record can
contradict it, and any controller can continue where another one stopped.
The name of a group contains the model that it runs.
"""

import collections.abc
import dataclasses

from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale import ids


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """Identify a group at one epoch."""

    group: ids.GroupId
    epoch: ids.Epoch

    @property
    def model(self) -> str:
        """Return the name of the model that the group runs."""
        return instance_state.model_of_group(self.group)


def new_key(model: str, epoch: ids.Epoch) -> GroupKey:
    """Return the key of a new group."""
    name = f"{model}{instance_state.GROUP_NAME_SEPARATOR}{epoch}"
    return GroupKey(ids.GroupId(name), epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Order an instance to join a group; the first member is the head."""

    key: GroupKey
    members: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Order the head of a group to accept requests."""

    key: GroupKey


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Order the head to reject new requests; `cancel` aborts running ones."""

    key: GroupKey
    cancel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Order an instance to leave its group."""

    key: GroupKey


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """Order an instance to load a model onto its host while it serves."""

    model: str


Order = Join | Open | Close | Leave | Stage


@dataclasses.dataclass(frozen=True, slots=True)
class DueOrder:
    """Combine an order with its target instance and the reason for it."""

    instance: instance_state.Instance
    order: Order
    reason: str


@dataclasses.dataclass
class ReportedGroup:
    """Represent a group with its members by rank.

    `model` is None if the model is not configured, as for a group that
    another system formed.
    """

    key: GroupKey
    service: ids.ServiceName
    model: catalogue.Model | None
    member_by_rank: dict[int, instance_state.Instance] = dataclasses.field(
        default_factory=dict
    )

    @property
    def head(self) -> instance_state.Instance | None:
        """Return the member that receives the requests, if it is listed."""
        return self.member_by_rank.get(0)

    @property
    def state(self) -> instance_state.MemberState | None:
        """Return the state that the head reports."""
        head = self.head
        return head.membership.state if head and head.membership else None

    @property
    def has_all_members(self) -> bool:
        """Return whether as many members report the group as it needs."""
        return (
            self.model is not None
            and len(self.member_by_rank) == self.model.instances_per_replica
        )

    @property
    def domains(self) -> frozenset[ids.DomainName]:
        """Return the fabric domains of the members."""
        return frozenset(m.domain for m in self.member_by_rank.values())

    @property
    def members(self) -> tuple[ids.InstanceId, ...]:
        """Return the members that report the group, by rank."""
        ranks = sorted(self.member_by_rank)
        return tuple(self.member_by_rank[rank].id for rank in ranks)

    @property
    def is_ready(self) -> bool:
        """Return whether the group is formed and its head is not open."""
        return (
            self.is_formed and self.state is instance_state.MemberState.READY
        )

    @property
    def is_formed(self) -> bool:
        """Return whether every member has loaded the model."""
        return self.has_all_members and not any(
            m.membership.state is instance_state.MemberState.JOINING
            for m in self.member_by_rank.values()
            if m.membership is not None
        )


def collect_groups(
    instances: collections.abc.Iterable[instance_state.Instance],
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
