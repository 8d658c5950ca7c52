"""Plan the join and stage orders for free instances.

The number of new groups and stagings is limited by how many loads the
weight store serves.  Each group has its own epoch, which is greater than
all epochs of earlier lease terms.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import group_lifecycle
from sycamoredale.groups import load_rate
from sycamoredale.groups import model_allocation
from sycamoredale.groups import model_counts
from sycamoredale.groups import reported
from sycamoredale.groups import staging_tracker
from sycamoredale import ids

# Each new group uses one epoch.
EPOCHS_PER_TERM: Final = 1_000_000
# Before the first request, this many more loads may run than the weight store
# serves at full speed.
EXTRA_STARTUP_LOADS: Final = 2


@dataclasses.dataclass
class FormationPlanner:
    """Plan the formation of groups and the staging of models on spares.

    `term` is the epoch of the lease.
    """

    rate_limiter: load_rate.LoadRateLimiter
    has_traffic: collections.abc.Callable[[], bool]
    get_demand: collections.abc.Callable[[], model_allocation.Demand]
    lifecycle: group_lifecycle.GroupLifecycle = dataclasses.field(
        default_factory=group_lifecycle.GroupLifecycle
    )
    stagings: staging_tracker.StagingTracker = dataclasses.field(
        default_factory=staging_tracker.StagingTracker
    )
    term: ids.Epoch = ids.Epoch(0)
    _epochs: int = 0

    def begin_term(
        self, term: ids.Epoch, lifecycle: group_lifecycle.GroupLifecycle
    ) -> None:
        """Begin a lease term; a term that is begun again counts on."""
        if term != self.term:
            self._epochs = 0
        self.term = term
        self.lifecycle = lifecycle
        self.stagings = staging_tracker.StagingTracker()

    def record_unanswered(
        self, item: reported.DueOrder, now: clock.MonotonicTime
    ) -> None:
        """Record an order that was not answered."""
        if isinstance(item.order, reported.Stage):
            self.stagings.record_unanswered(
                item.instance.id, item.order.model, now
            )

    def due_orders(
        self, snapshot: cluster_snapshot.ClusterSnapshot
    ) -> collections.abc.Iterator[reported.DueOrder]:
        """Yield the orders that form groups and stage models now."""
        free = list(self.lifecycle.free_instances(snapshot))
        for name, service in snapshot.services.items():
            if service.engine is not None:
                own = [i for i in free if i.service == name]
                yield from self._orders_for_service(service, own, snapshot)

    def _orders_for_service(
        self,
        service: catalogue.Service,
        free: list[instance_state.Instance],
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[reported.DueOrder]:
        assert service.engine is not None
        engine = service.engine
        in_progress = self.stagings.in_progress(snapshot)
        placed = self._count_models(service, in_progress, snapshot)
        quota = self._load_quota(engine, len(in_progress), snapshot)
        used: set[ids.InstanceId] = set()
        for group in self._groups_to_form(
            engine, free, in_progress, placed, snapshot
        ):
            # If the group has to wait for quota, its members are kept for it.
            used.update(m.id for m in group.members)
            if group.loads and quota <= 0:
                break
            quota -= group.loads
            self.rate_limiter.record(group.loads, snapshot.now)
            yield from self._join(group, snapshot.now)
        spares = [i for i in free if i.id not in used]
        staged = model_allocation.stagings(
            spares, engine.models, in_progress, placed
        )
        for staging in staged[: max(0, quota)]:
            yield self._stage(staging, snapshot.now)

    def _groups_to_form(
        self,
        engine: catalogue.BatchEngine,
        free: list[instance_state.Instance],
        in_progress: collections.abc.Mapping[ids.InstanceId, str],
        placed: model_counts.ModelCounts,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[model_allocation.NewGroup]:
        idle = [i for i in free if i.id not in in_progress]
        group_counts = self.lifecycle.count_groups(snapshot)
        may_load = not self.has_traffic()
        used: set[ids.InstanceId] = set()
        demand = self.get_demand()
        for group in model_allocation.new_groups(
            idle, engine.models, group_counts, demand, may_load, placed
        ):
            used.update(m.id for m in group.members)
            group_counts[group.model.name] += 1
            yield group
        if not may_load:
            unused = [i for i in idle if i.id not in used]
            yield from model_allocation.cross_domain_groups(
                unused, engine.models, group_counts
            )

    def _count_models(
        self,
        service: catalogue.Service,
        in_progress: collections.abc.Mapping[ids.InstanceId, str],
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> model_counts.ModelCounts:
        own = (
            i for i in snapshot.instances.values() if i.service == service.name
        )
        expected = {
            **in_progress,
            **self.lifecycle.joining_models(snapshot.now),
        }
        placed = model_counts.ModelCounts()
        model_counts.add_all(placed, own, expected)
        return placed

    def _stage(
        self, staging: model_allocation.Staging, now: clock.MonotonicTime
    ) -> reported.DueOrder:
        self.rate_limiter.record(1, now)
        self.stagings.record_order(staging.instance.id, staging.model, now)
        order = reported.Stage(staging.model)
        return reported.DueOrder(
            staging.instance, order, "spare has no staged model"
        )

    def _load_quota(
        self,
        engine: catalogue.BatchEngine,
        stagings: int,
        snapshot: cluster_snapshot.ClusterSnapshot,
    ) -> int:
        """Return how many more loads may start now.

        More concurrent loads would only make each one slower.  Before the
        first request, the rate at which loads start is not limited.
        """
        joining = sum(
            1
            for instance in snapshot.instances.values()
            if instance.membership is not None
            and instance.membership.state is instance_state.MemberState.JOINING
        )
        at_once = engine.max_concurrent_loads - stagings
        if not self.has_traffic():
            return at_once + EXTRA_STARTUP_LOADS - joining
        rate = self.rate_limiter.available(
            engine.loads_per_second, snapshot.now
        )
        return min(at_once, rate)

    def _join(
        self, group: model_allocation.NewGroup, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[reported.DueOrder]:
        self._epochs += 1
        epoch = ids.Epoch(self.term * EPOCHS_PER_TERM + self._epochs)
        key = reported.new_key(group.model.name, epoch)
        members = tuple(m.id for m in group.members)
        self.lifecycle.record_join(key, members, now)
        for member in group.members:
            yield reported.DueOrder(
                member, reported.Join(key, members), "model has too few groups"
            )
