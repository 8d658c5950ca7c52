"""Turn free instances into orders to join and to stage.

What is formed and staged is bounded by how many loads the weight store
serves.  Each group gets an epoch of its own, above those of all earlier
tenures of the lease.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import listing
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import holdings
from sycamoredale.groups import load_rate
from sycamoredale.groups import mix
from sycamoredale.groups import reported
from sycamoredale.groups import staging_record
from sycamoredale.groups import upkeep
from sycamoredale import ids

# Epochs of one tenure; one group takes one.
EPOCHS_PER_TENURE: Final = 1_000_000
# A little more than the weight store serves at full speed.
MORE_LOADS_THAN_AT_ONCE: Final = 2


@dataclasses.dataclass
class Forming:
    """Form groups and stage spares; `tenure` is the epoch of the lease."""

    rate: load_rate.LoadRate
    has_traffic: collections.abc.Callable[[], bool]
    get_demand: collections.abc.Callable[[], mix.Demand]
    state: upkeep.Upkeep = dataclasses.field(default_factory=upkeep.Upkeep)
    stagings: staging_record.StagingRecord = dataclasses.field(
        default_factory=staging_record.StagingRecord
    )
    tenure: ids.Epoch = ids.Epoch(0)
    _epochs: int = 0

    def begin_tenure(self, tenure: ids.Epoch, state: upkeep.Upkeep) -> None:
        """Count epochs anew under a new tenure."""
        self.tenure = tenure
        self.state = state
        self.stagings = staging_record.StagingRecord()
        self._epochs = 0

    def note_unanswered(
        self, item: reported.Due, now: clock.MonotonicTime
    ) -> None:
        """Take note of an order that nothing answered."""
        if isinstance(item.order, reported.Stage):
            self.stagings.unanswered(item.instance.id, item.order.model, now)

    def due(
        self, situation: cluster_snapshot.ClusterSnapshot
    ) -> collections.abc.Iterator[reported.Due]:
        """Yield the orders that form groups and stage models now."""
        free = list(self.state.free(situation))
        for name, service in situation.services.items():
            if service.engine is not None:
                own = [i for i in free if i.service == name]
                yield from self._form_of(service, own, situation)

    def _form_of(
        self,
        service: catalogue.Service,
        free: list[listing.Instance],
        situation: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[reported.Due]:
        assert service.engine is not None
        engine = service.engine
        under_way = self.stagings.under_way(situation)
        held = self._holdings_of(service, under_way, situation)
        left = self._loads_left(engine, len(under_way), situation)
        used: set[ids.InstanceId] = set()
        for group in self._groups_to_form(
            engine, free, under_way, held, situation
        ):
            used.update(m.id for m in group.members)
            if group.loads and left <= 0:
                break
            left -= group.loads
            self.rate.note(group.loads, situation.now)
            yield from self._join(group, situation.now)
        spares = [i for i in free if i.id not in used]
        staged = mix.stagings(spares, engine.models, under_way, held)
        for staging in staged[: max(0, left)]:
            yield self._stage(staging, situation.now)

    def _groups_to_form(
        self,
        engine: catalogue.BatchEngine,
        free: list[listing.Instance],
        under_way: collections.abc.Mapping[ids.InstanceId, str],
        held: holdings.Holdings,
        situation: cluster_snapshot.ClusterSnapshot,
    ) -> collections.abc.Iterator[mix.NewGroup]:
        idle = [i for i in free if i.id not in under_way]
        standing = self.state.standing(situation)
        may_load = not self.has_traffic()
        used: set[ids.InstanceId] = set()
        demand = self.get_demand()
        for group in mix.new_groups(
            idle, engine.models, standing, demand, may_load, held
        ):
            used.update(m.id for m in group.members)
            standing[group.model.name] += 1
            yield group
        if not may_load:
            left = [i for i in idle if i.id not in used]
            yield from mix.far_groups(left, engine.models, standing)

    def _holdings_of(
        self,
        service: catalogue.Service,
        under_way: collections.abc.Mapping[ids.InstanceId, str],
        situation: cluster_snapshot.ClusterSnapshot,
    ) -> holdings.Holdings:
        own = (
            i
            for i in situation.instances.values()
            if i.service == service.name
        )
        awaited = {**under_way, **self.state.joining(situation.now)}
        held = holdings.Holdings()
        holdings.note_all(held, own, awaited)
        return held

    def _stage(
        self, staging: mix.Staging, now: clock.MonotonicTime
    ) -> reported.Due:
        self.rate.note(1, now)
        self.stagings.ordered(staging.instance.id, staging.model, now)
        order = reported.Stage(staging.model)
        return reported.Due(staging.instance, order, "a spare is empty")

    def _loads_left(
        self,
        engine: catalogue.BatchEngine,
        stagings: int,
        situation: cluster_snapshot.ClusterSnapshot,
    ) -> int:
        """Return how many more loads may start now.

        More at once would only take longer each.  Before the first call
        loads are not bound in rate.
        """
        joining = sum(
            1
            for instance in situation.instances.values()
            if instance.membership is not None
            and instance.membership.state is listing.MemberState.JOINING
        )
        at_once = engine.loads_at_once - stagings
        if not self.has_traffic():
            return at_once + MORE_LOADS_THAN_AT_ONCE - joining
        rate = self.rate.left(engine.loads_per_second, situation.now)
        return min(at_once, rate)

    def _join(
        self, group: mix.NewGroup, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[reported.Due]:
        self._epochs += 1
        epoch = ids.Epoch(self.tenure * EPOCHS_PER_TENURE + self._epochs)
        key = reported.new_key(group.model.name, epoch)
        members = tuple(m.id for m in group.members)
        self.state.note_join(key, members, now)
        for member in group.members:
            yield reported.Due(
                member, reported.Join(key, members), "a group is missing"
            )
