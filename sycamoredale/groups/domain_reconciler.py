"""Reconcile the groups of one fabric domain while its lease is held.

Each round probes the instances of the domain, plans the next assignment
from their reports, writes it and sends the orders that are due.  A round
depends only on the stored assignment and the reports, so that any
controller can continue where another one stopped.
"""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import model_engine
from sycamoredale.engines import orders
from sycamoredale import errors
from sycamoredale.groups import assignment_store
from sycamoredale.groups import health
from sycamoredale.groups import load_slots
from sycamoredale.groups import local_fault
from sycamoredale.groups import model
from sycamoredale.groups import order_planning
from sycamoredale.groups import planning
from sycamoredale.groups import probing
from sycamoredale.groups import repair
from sycamoredale.groups import retirement
from sycamoredale.groups import stragglers
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import instances
from sycamoredale.observability import logs

SLOT_RETRY_SECONDS: Final = 1.0
LOG: Final = logs.get("groups.domain")


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """Combine the inputs that all domains of this controller share."""

    configuration: config_model.Configuration
    listed_by_id: dict[ids.InstanceId, instances.Instance]


@dataclasses.dataclass(frozen=True, slots=True)
class PlanCacheKey:
    """Identify the shared inputs of a plan.

    `changes` counts the changes of the assignments of all domains.
    """

    configuration: config_model.Configuration
    listed_by_id: dict[ids.InstanceId, instances.Instance]
    changes: int

    def matches(self, other: "PlanCacheKey") -> bool:
        """Return whether another key identifies the same inputs."""
        return (
            self.configuration is other.configuration
            and self.listed_by_id is other.listed_by_id
            and self.changes == other.changes
        )


@dataclasses.dataclass
class DomainReconciler:
    """Run the rounds of one domain."""

    domain: ids.DomainName
    lease: leases.Lease
    assignments: assignment_store.AssignmentStore
    slots: load_slots.LoadSlots
    engines: model_engine.ModelEngineClient
    prober: probing.Prober
    fault_detector: local_fault.LocalFaultDetector
    health_table: health.HealthTable = dataclasses.field(
        default_factory=health.HealthTable
    )
    straggler_detector: stragglers.StragglerDetector = dataclasses.field(
        default_factory=stragglers.StragglerDetector
    )
    _draining_since: dict[ids.GroupId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _granted_fetches: dict[ids.GroupId, int] | None = None
    _slots_requested_at: clock.MonotonicTime | None = None
    _cached_plan_key: PlanCacheKey | None = None

    async def reconcile(self, shared: SharedState) -> None:
        """Probe the instances, write the next assignment and send orders.

        Raises LeaseLost if the lease has ended, and StoreUnavailable,
        VersionConflict or OutcomeUnknown if the assignment is not written.
        """
        targets = self._probe_targets(shared)
        await self.prober.probe_all(targets, self.health_table)
        if await self._suspects_local_fault(targets, shared):
            return
        term = self.lease.term_at(self.lease.read_clock())
        snapshot = self._take_snapshot(shared, term)
        current = await self._plan_and_write(snapshot, term.epoch)
        await self._send_orders(current.assignment, snapshot, term.epoch)

    async def _plan_and_write(
        self, snapshot: repair.DomainSnapshot, epoch: ids.Epoch
    ) -> assignment_store.VersionedAssignment:
        current = self.assignments.get(self.domain)
        plan_input = planning.PlanInput(
            snapshot,
            self.assignments.all_except(self.domain),
            retirement.DomainStragglers(self.domain, self._find_stragglers()),
        )
        planned = self._plan(current.assignment, plan_input)
        if planned is current.assignment:
            return current
        self._check_lease(epoch)
        try:
            current = await self.assignments.write(planned, current.version)
        except (errors.VersionConflict, errors.OutcomeUnknown):
            await self.assignments.refresh(self.domain)
            raise
        _log_changes(self.domain, current.assignment)
        return current

    def _plan(
        self, current: model.Assignment, plan_input: planning.PlanInput
    ) -> model.Assignment:
        """Plan again unless no input has changed since a reusable plan."""
        snapshot = plan_input.snapshot
        key = PlanCacheKey(
            snapshot.configuration,
            snapshot.listed_by_id,
            self.assignments.changes,
        )
        if (
            self._cached_plan_key is not None
            and self._cached_plan_key.matches(key)
        ):
            if planning.revise(current, plan_input) == current:
                return current
        plan = planning.plan(current, plan_input)
        self._cached_plan_key = key if plan.is_reusable else None
        return plan.assignment

    async def _send_orders(
        self,
        assignment: model.Assignment,
        snapshot: repair.DomainSnapshot,
        epoch: ids.Epoch,
    ) -> None:
        due = list(order_planning.due_orders(assignment, snapshot))
        allowed = await self._limit_fetches(assignment, due, snapshot)
        async with curio.TaskGroup() as group:
            for item in allowed:
                await group.spawn(self._send_order, item, epoch)

    async def _send_order(
        self, item: order_planning.DueOrder, epoch: ids.Epoch
    ) -> None:
        """Send an order unless the term in which it was decided has ended."""
        address = messages.parse_address(item.address)
        asked_at = self.lease.read_clock()

        def guard() -> None:
            self._check_lease(epoch)
            self.health_table.record_order(
                item.instance, self.lease.read_clock()
            )

        try:
            state = await self.engines.order(address, item.order, guard)
        except errors.SycamoredaleError as error:
            LOG.warning("order_failed", reason=error.message)
            return
        self.health_table.record_report(item.instance, state, asked_at)

    async def _limit_fetches(
        self,
        assignment: model.Assignment,
        due: list[order_planning.DueOrder],
        snapshot: repair.DomainSnapshot,
    ) -> collections.abc.Iterable[order_planning.DueOrder]:
        current_fetches = self._count_fetches(assignment)
        wanted = dict(current_fetches)
        for item in due:
            if item.fetches:
                group = item.order.group
                wanted[group] = wanted.get(group, 0) + 1
        await self._request_slots(wanted, snapshot.now)
        return list(
            _within_fetch_limits(
                due, current_fetches, self._granted_fetches or {}
            )
        )

    async def _request_slots(
        self,
        wanted: dict[ids.GroupId, int],
        now: clock.MonotonicTime,
    ) -> None:
        granted = self._granted_fetches
        if granted is not None:
            enough = all(granted.get(g, 0) >= n for g, n in wanted.items())
            if enough and granted.keys() == wanted.keys():
                return
        requested_at = self._slots_requested_at
        if (
            requested_at is not None
            and now < requested_at + SLOT_RETRY_SECONDS
        ):
            return
        self._slots_requested_at = now
        slots = [
            load_slots.Slot(self.domain, group, count)
            for group, count in sorted(wanted.items())
        ]
        try:
            self._granted_fetches = await self.slots.reserve(
                self.domain, slots, self._is_loading
            )
        except (errors.VersionConflict, errors.OutcomeUnknown) as error:
            LOG.info("load_slots_contended", reason=error.message)

    def _is_loading(self, slot: load_slots.Slot) -> bool:
        current = self.assignments.by_domain.get(slot.domain)
        assignment = current.assignment if current else None
        return load_slots.is_loading(slot, assignment)

    def _count_fetches(
        self, assignment: model.Assignment
    ) -> dict[ids.GroupId, int]:
        """Count the engines of each group that now fetch weights."""
        counts: dict[ids.GroupId, int] = {}
        for group in assignment.groups:
            states = (
                self.health_table.state(m.instance) for m in group.members
            )
            count = sum(
                state is not None
                and state.phase is orders.Phase.LOADING
                and state.group == group.id
                and group.weights not in state.held
                for state in states
            )
            if count:
                counts[group.id] = count
        return counts

    async def _suspects_local_fault(
        self, targets: list[instances.Instance], shared: SharedState
    ) -> bool:
        now = self.lease.read_clock()
        failed = sum(not self.health_table.is_reachable(i.id) for i in targets)
        count = local_fault.ProbeCount(self.domain, len(targets), failed)
        if failed > local_fault.MAX_FAILED_SHARE * len(targets):
            other_targets = local_fault.cross_check_targets(
                shared.listed_by_id.values(), self.domain
            )
            results = [
                (i, await self.prober.responds(i)) for i in other_targets
            ]
            for other, answered in results:
                self.fault_detector.update(
                    local_fault.ProbeCount(other.domain, 1, int(not answered)),
                    now,
                )
        return self.fault_detector.update(count, now)

    def _take_snapshot(
        self, shared: SharedState, term: leases.Term
    ) -> repair.DomainSnapshot:
        now = self.lease.read_clock()
        draining = {
            group.id: self._draining_since.get(group.id, now)
            for group in self.assignments.get(self.domain).assignment.groups
            if group.state is model.GroupState.DRAINING
        }
        self._draining_since = draining
        return repair.DomainSnapshot(
            shared.configuration,
            shared.listed_by_id,
            self.health_table,
            draining,
            term.acquired_at,
            now,
        )

    def _probe_targets(self, shared: SharedState) -> list[instances.Instance]:
        found = {
            instance.id: instance
            for instance in shared.listed_by_id.values()
            if instance.domain == self.domain
        }
        for group in self.assignments.get(self.domain).assignment.groups:
            for member in group.members:
                if member.instance not in found:
                    found[member.instance] = _instance_of_member(member, group)
        for instance in found.values():
            self.health_table.register(instance.id, instance.address)
        self.health_table.retain(set(found))
        return list(found.values())

    def _find_stragglers(self) -> frozenset[ids.InstanceId]:
        states = (entry.state for entry in self.health_table.by_id.values())
        return self.straggler_detector.update(
            s for s in states if s is not None
        )

    def _check_lease(self, epoch: ids.Epoch) -> None:
        self.lease.check(self.lease.read_clock(), epoch)


def _within_fetch_limits(
    due: collections.abc.Iterable[order_planning.DueOrder],
    current_fetches: dict[ids.GroupId, int],
    granted: dict[ids.GroupId, int],
) -> collections.abc.Iterator[order_planning.DueOrder]:
    remaining = {
        group: count - current_fetches.get(group, 0)
        for group, count in granted.items()
    }
    for item in due:
        if item.fetches:
            group = item.order.group
            remaining[group] = remaining.get(group, 0) - 1
            if remaining[group] < 0:
                continue
        yield item


def _instance_of_member(
    member: model.Member, group: model.Group
) -> instances.Instance:
    plain = not group.weights
    return instances.Instance(
        member.instance,
        member.address,
        group.zone,
        ids.DomainName(""),
        runs=group.service if plain else instances.ENGINE,
    )


def _log_changes(domain: ids.DomainName, assignment: model.Assignment) -> None:
    states = {group.id: group.state.value for group in assignment.groups}
    LOG.info(
        "assignment_written",
        domain=domain,
        epoch=assignment.epoch,
        groups=states,
    )
