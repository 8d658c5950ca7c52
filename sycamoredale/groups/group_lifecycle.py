"""Decide which orders the reported groups need.

Three rules ensure that a group serves only with all of its members, and
that an instance belongs to one group at a time:

- A head is opened only after every member has reported the model as loaded,
  and only if no join order to another group may still be carried out on one
  of them.  This is known only of a group that was formed in this lease term
  and whose members were not ordered elsewhere since.  The members of any
  other group with a ready head join a new group, whose epoch makes them
  reject the earlier orders.
- A join order is never sent twice with the same epoch.
- The members of a group are free only after its head has left the group,
  has restarted, or has been unreachable for so long that it has become
  broken.  A head that refuses connections may be shutting down and still
  serve requests.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import group_teardown
from sycamoredale.groups import head_tracker
from sycamoredale.groups import reported
from sycamoredale import ids

# Reports lag by a few hundred milliseconds and an order is answered within
# one second.
REPEAT_ORDER_SECONDS: Final = 1.5
# A member that does not report the group within this time has not joined it.
JOIN_TIMEOUT_SECONDS: Final = 2.0
# An unreachable head is broken after the stall time; the slack covers
# differences between clock rates.
UNREACHABLE_HEAD_SLACK_SECONDS: Final = 1.0


@dataclasses.dataclass
class GroupLifecycle:
    """Derive the due orders and the free instances from snapshots.

    Recent orders and unreachable heads are kept between snapshots.
    """

    _ordered_at: dict[
        tuple[ids.InstanceId, reported.Order], clock.MonotonicTime
    ] = dataclasses.field(default_factory=dict)
    _joined_at: dict[reported.GroupKey, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _members_by_key: dict[reported.GroupKey, tuple[ids.InstanceId, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    _last_key_by_id: dict[ids.InstanceId, reported.GroupKey] = (
        dataclasses.field(default_factory=dict)
    )
    _head_id_by_key: dict[reported.GroupKey, ids.InstanceId] = (
        dataclasses.field(default_factory=dict)
    )
    _head_unreachable_since: dict[reported.GroupKey, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _head_tracker_by_key: dict[reported.GroupKey, head_tracker.HeadTracker] = (
        dataclasses.field(default_factory=dict)
    )
    _teardown_since: dict[reported.GroupKey, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _reserved_until: dict[ids.InstanceId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )

    def record_join(
        self,
        key: reported.GroupKey,
        members: tuple[ids.InstanceId, ...],
        now: clock.MonotonicTime,
    ) -> None:
        """Record that the join orders of a group are sent."""
        self._joined_at[key] = now
        self._members_by_key[key] = members
        self._last_key_by_id.update(dict.fromkeys(members, key))
        self._head_id_by_key[key] = members[0]

    def due_orders(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> collections.abc.Iterator[reported.DueOrder]:
        """Yield the orders that existing groups need now.

        An order is not repeated within REPEAT_ORDER_SECONDS.
        """
        groups = reported.collect_groups(
            snapshot.instances.values(), snapshot.services
        )
        self._drop_old_records(groups, snapshot)
        for group in groups.values():
            for item in self._orders_for_group(group, snapshot):
                if self._record_unless_repeated(item, snapshot.now):
                    yield item

    def free_instances(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> collections.abc.Iterator[instance_state.Instance]:
        """Yield the instances that may join a new group."""
        groups = reported.collect_groups(
            snapshot.instances.values(), snapshot.services
        )
        joining = self.joining_models(snapshot.now)
        for instance in snapshot.instances.values():
            service = snapshot.services.get(instance.service)
            if service is None or service.engine is None:
                continue
            if instance.leaving or instance.zone in snapshot.zones_out:
                continue
            if instance.id in snapshot.unlisted | snapshot.stragglers:
                continue
            if instance.id in snapshot.replaced:
                continue
            if instance.id in joining or self._is_reserved(
                instance, snapshot.now
            ):
                continue
            if not snapshot.probe_statuses.responds(instance.id):
                continue
            if self._may_join(instance, groups, snapshot):
                yield instance

    def count_groups(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> collections.Counter[str]:
        """Count the groups of each model that are not to be torn down.

        A group whose join orders were just sent is included although its
        head does not report it yet.
        """
        groups = reported.collect_groups(
            snapshot.instances.values(), snapshot.services
        )
        staying = {
            group.key
            for group in groups.values()
            if group.head is not None
            and not snapshot.probe_statuses.is_unreachable(group.head.id)
            and self._find_teardown(group, snapshot) is None
            and not (self._is_closed(group) and self._must_rejoin(group))
        }
        staying.update(
            key
            for key in self._joined_at
            if self._is_joining(key, snapshot.now)
            and (key not in groups or groups[key].head is None)
        )
        return collections.Counter(key.model for key in staying)

    def record_outcome(
        self, item: reported.DueOrder, accepted: bool, now: clock.MonotonicTime
    ) -> None:
        """Record whether an order to open or close a head was accepted."""
        match item.order:
            case reported.Open(key=key) if key in self._head_tracker_by_key:
                self._head_tracker_by_key[key].record_open(accepted, now)
            case reported.Close(key=key) if key in self._head_tracker_by_key:
                decided_at = self._ordered_at.get(
                    (item.instance.id, item.order)
                )
                if accepted and decided_at is not None:
                    self._head_tracker_by_key[key].record_close(
                        item.instance.state_version, decided_at, now
                    )

    def _orders_for_group(
        self,
        group: reported.ReportedGroup,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[reported.DueOrder]:
        head = group.head
        if head is None or snapshot.probe_statuses.is_unreachable(head.id):
            yield from self._orders_without_head(group, snapshot)
            return
        self._head_unreachable_since.pop(group.key, None)
        teardown = self._find_teardown(group, snapshot)
        if teardown is not None:
            if not self._is_closing(group, snapshot.now):
                teardown = self._escalate(group.key, teardown, snapshot.now)
                yield group_teardown.teardown_order(group, head, teardown)
        elif self._must_rejoin(group):
            if not self._is_closing(group, snapshot.now):
                yield reported.DueOrder(
                    head,
                    reported.Leave(group.key),
                    "other join orders may be in flight",
                )
        elif group.is_ready:
            tracker = self._head_tracker_by_key.setdefault(
                group.key, head_tracker.HeadTracker(snapshot.now)
            )
            tracker.mark_opening(snapshot.now)
            yield reported.DueOrder(
                head,
                reported.Open(group.key),
                "every member has loaded the model",
            )

    def _must_rejoin(self, group: reported.ReportedGroup) -> bool:
        """Return whether a ready group must be formed again to be opened."""
        if not group.is_ready:
            return False
        members = self._members_by_key.get(group.key)
        return group.members != members or any(
            self._last_key_by_id.get(member) != group.key
            for member in group.members
        )

    def _escalate(
        self,
        key: reported.GroupKey,
        teardown: group_teardown.Teardown,
        now: clock.MonotonicTime,
    ) -> group_teardown.Teardown:
        """Return the teardown, no longer graceful after its drain timeout."""
        since = self._teardown_since.setdefault(key, now)
        if now < since + teardown.drain_timeout_seconds:
            return teardown
        return dataclasses.replace(teardown, is_graceful=False)

    def _find_teardown(
        self,
        group: reported.ReportedGroup,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> group_teardown.Teardown | None:
        is_joining = self._is_joining(group.key, snapshot.now)
        return group_teardown.find_teardown(group, snapshot, is_joining)

    def _orders_without_head(
        self,
        group: reported.ReportedGroup,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[reported.DueOrder]:
        """Yield the orders for a group with an unreachable or unlisted head.

        The head may still serve on the other side of a network partition.
        Its group breaks once the members have left, and only after that may
        they join another group.
        """
        if self._head_has_left(group, snapshot):
            return
        if self._is_joining(group.key, snapshot.now):
            return
        if group.head is not None and group.head.leaving:
            return  # The head finishes its requests and leaves the list.
        since = self._head_unreachable_since.setdefault(
            group.key, snapshot.now
        )
        until = clock.MonotonicTime(
            since + snapshot.stall_seconds + UNREACHABLE_HEAD_SLACK_SECONDS
        )
        for rank, member in group.member_by_rank.items():
            if rank and not snapshot.probe_statuses.is_unreachable(member.id):
                self._reserved_until[member.id] = until
                yield reported.DueOrder(
                    member,
                    reported.Leave(group.key),
                    "head is unreachable",
                )

    def _head_has_left(
        self,
        group: reported.ReportedGroup,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> bool:
        last_head = self._head_id_by_key.get(group.key)
        if group.head is not None or last_head is None:
            return False
        # The former head now reports another group or none, or was replaced.
        return (
            last_head in snapshot.instances or last_head in snapshot.replaced
        )

    def _may_join(
        self,
        instance: instance_state.Instance,
        groups: dict[reported.GroupKey, reported.ReportedGroup],
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> bool:
        membership = instance.membership
        if membership is None:
            return True
        group = groups[reported.GroupKey(membership.group, membership.epoch)]
        if self._is_joining(group.key, snapshot.now):
            return False
        if self._is_closed(group) and (
            self._find_teardown(group, snapshot) or self._must_rejoin(group)
        ):
            return True
        return membership.rank > 0 and self._head_has_left(group, snapshot)

    def _is_closing(
        self, group: reported.ReportedGroup, now: clock.MonotonicTime
    ) -> bool:
        """Return whether the head is closed or has just been closed."""
        tracker = self._head_tracker_by_key.get(group.key)
        closing = tracker is not None and tracker.recently_closed(now)
        return closing or self._is_closed(group)

    def _is_closed(self, group: reported.ReportedGroup) -> bool:
        """Return whether this controller has opened and closed the head.

        The members may then join another group without leaving this one.
        """
        tracker = self._head_tracker_by_key.get(group.key)
        if tracker is None or group.head is None:
            return False
        return tracker.is_closed(group.head)

    def _is_joining(
        self, key: reported.GroupKey, now: clock.MonotonicTime
    ) -> bool:
        joined = self._joined_at.get(key)
        return joined is not None and now < joined + JOIN_TIMEOUT_SECONDS

    def joining_models(
        self, now: clock.MonotonicTime
    ) -> dict[ids.InstanceId, str]:
        """Return the models of the groups being formed, by instance."""
        return {
            member: key.model
            for key, members in self._members_by_key.items()
            if self._is_joining(key, now)
            for member in members
        }

    def _is_reserved(
        self, instance: instance_state.Instance, now: clock.MonotonicTime
    ) -> bool:
        return now < self._reserved_until.get(instance.id, now)

    def _record_unless_repeated(
        self, item: reported.DueOrder, now: clock.MonotonicTime
    ) -> bool:
        """Record an order and return True, unless it was recorded recently."""
        key = (item.instance.id, item.order)
        last = self._ordered_at.get(key)
        if last is not None and now < last + REPEAT_ORDER_SECONDS:
            return False
        self._ordered_at[key] = now
        return True

    def _drop_old_records(
        self,
        groups: dict[reported.GroupKey, reported.ReportedGroup],
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> None:
        now = snapshot.now
        for key, group in groups.items():
            if group.head is not None:
                self._head_id_by_key[key] = group.head.id
        for key in list(self._head_id_by_key):
            if key not in groups and not self._is_joining(key, now):
                del self._head_id_by_key[key]
                self._members_by_key.pop(key, None)
                self._joined_at.pop(key, None)
                self._head_unreachable_since.pop(key, None)
                self._head_tracker_by_key.pop(key, None)
                self._teardown_since.pop(key, None)
        self._last_key_by_id = {
            member: key
            for member, key in self._last_key_by_id.items()
            if key in groups
            or member in snapshot.instances
            or self._is_joining(key, now)
        }
        self._ordered_at = {
            key: at
            for key, at in self._ordered_at.items()
            if now < at + REPEAT_ORDER_SECONDS
        }
