"""Record the reports and probe failures of the instances of one domain.

An instance is unreachable after a number of consecutive failed probes, so
that one lost packet has no effect.  An instance that does not answer may be
paused and resume with its weights still loaded, so it is replaced only after
a longer wait.  If its host refuses connections, the process has ended and
its weights are lost.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.engines import orders
from sycamoredale.groups import model
from sycamoredale import ids
from sycamoredale import leases

FAILURES_UNTIL_UNREACHABLE: Final = 2
REPLACE_AFTER_SECONDS: Final = 4.0
REPLACE_REFUSED_AFTER_SECONDS: Final = 1.0
FAILED_LOADS_UNTIL_AVOIDED: Final = 3
INITIAL_EPOCH: Final = ids.Epoch(0)
SERVING_PHASES: Final = frozenset((orders.Phase.COLD, orders.Phase.READY))


@dataclasses.dataclass
class InstanceHealth:
    """Represent the last report and the probe failures of one instance.

    `state` is None for a plain service and before the first report.
    `probed_at` is when the last report was requested, and `failures` counts
    the failed probes since then.  `engine_failed_since` is set while the
    engine answers but reports that it has failed.
    """

    address: str
    state: orders.EngineState | None = None
    probed_at: clock.MonotonicTime | None = None
    failures: int = 0
    probes_failing_since: clock.MonotonicTime | None = None
    connection_refused: bool = False
    ordered_at: clock.MonotonicTime | None = None
    failed_loads: int = 0
    engine_failed_since: clock.MonotonicTime | None = None

    @property
    def is_reachable(self) -> bool:
        """Return whether the instance answers probes."""
        if self.failures >= FAILURES_UNTIL_UNREACHABLE:
            return False
        return self.probed_at is not None

    def is_lost(self, now: clock.MonotonicTime) -> bool:
        """Return whether the instance has to be replaced."""
        if self.is_reachable or self.probes_failing_since is None:
            return False
        wait = REPLACE_AFTER_SECONDS
        if self.connection_refused:
            wait = REPLACE_REFUSED_AFTER_SECONDS
        return now >= self.probes_failing_since + wait


@dataclasses.dataclass
class HealthTable:
    """Map instance ids to their health."""

    by_id: dict[ids.InstanceId, InstanceHealth] = dataclasses.field(
        default_factory=dict
    )

    def register(self, instance: ids.InstanceId, address: str) -> None:
        """Add an instance; a new address discards its previous health."""
        entry = self.by_id.get(instance)
        if entry is None or entry.address != address:
            self.by_id[instance] = InstanceHealth(address)

    def retain(self, kept: set[ids.InstanceId]) -> None:
        """Remove all instances that are not in `kept`."""
        for instance in self.by_id.keys() - kept:
            del self.by_id[instance]

    def record_report(
        self,
        instance: ids.InstanceId,
        state: orders.EngineState | None,
        probed_at: clock.MonotonicTime,
    ) -> None:
        """Record a report, unless a later one was recorded.

        Reports are ordered by the times at which they were requested.
        """
        entry = self.by_id[instance]
        if entry.probed_at is not None and probed_at < entry.probed_at:
            return
        entry.failed_loads = _failed_loads(entry, state)
        if state is None or state.phase is not orders.Phase.FAILED:
            entry.engine_failed_since = None
        elif entry.engine_failed_since is None:
            entry.engine_failed_since = probed_at
        entry.state = state
        entry.probed_at = probed_at
        entry.failures = 0
        entry.probes_failing_since = None

    def record_failure(
        self,
        instance: ids.InstanceId,
        now: clock.MonotonicTime,
        connection_refused: bool = False,
    ) -> None:
        """Record a probe that was refused or not answered."""
        entry = self.by_id[instance]
        entry.connection_refused = connection_refused
        entry.failures += 1
        if entry.probes_failing_since is None:
            entry.probes_failing_since = now

    def record_order(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> None:
        """Record when the last order to an instance may have been sent."""
        self.by_id[instance].ordered_at = now

    def is_reachable(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance answers probes."""
        entry = self.by_id.get(instance)
        return entry is not None and entry.is_reachable

    def is_lost(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether an instance has to be replaced."""
        entry = self.by_id.get(instance)
        return entry is not None and entry.is_lost(now)

    def state(self, instance: ids.InstanceId) -> orders.EngineState | None:
        """Return the last report of an instance, None if there is none."""
        entry = self.by_id.get(instance)
        return entry.state if entry else None

    def fails_to_load(self, instance: ids.InstanceId) -> bool:
        """Return whether several loads in a row failed on an instance."""
        entry = self.by_id.get(instance)
        return (
            entry is not None
            and entry.failed_loads >= FAILED_LOADS_UNTIL_AVOIDED
        )

    def has_restarted(self, instance: ids.InstanceId) -> bool:
        """Return whether an engine reports no order, as after a restart."""
        state = self.state(instance)
        return state is not None and state.epoch == INITIAL_EPOCH

    def no_orders_in_flight(
        self,
        instance: ids.InstanceId,
        lease_acquired_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether no order to the instance can still be in flight.

        The last report must have been requested after the lifetime of the
        last order had ended.
        """
        entry = self.by_id.get(instance)
        if entry is None or entry.probed_at is None:
            return False
        last = max(lease_acquired_at, entry.ordered_at or lease_acquired_at)
        expired_at = last + leases.with_clock_allowance(
            orders.ORDER_LIFETIME_SECONDS
        )
        return now >= expired_at and entry.probed_at >= expired_at


def confirms(
    state: orders.EngineState | None,
    group: model.Group,
    adapters: list[str],
) -> bool:
    """Return whether an engine serves in a group at the group's epoch."""
    return (
        has_joined(state, group)
        and state is not None
        and state.phase in SERVING_PHASES
        and set(adapters) <= set(state.adapters)
    )


def has_joined(state: orders.EngineState | None, group: model.Group) -> bool:
    """Return whether an engine has accepted the orders of a group."""
    return (
        state is not None
        and state.epoch == group.epoch
        and state.group == group.id
        and state.phase not in (orders.Phase.EMPTY, orders.Phase.FAILED)
    )


def _failed_loads(
    entry: InstanceHealth, state: orders.EngineState | None
) -> int:
    if state is None or state.phase in SERVING_PHASES:
        return 0
    if state.phase is not orders.Phase.FAILED:
        return entry.failed_loads
    before = entry.state.phase if entry.state else None
    newly_failed = before is not orders.Phase.FAILED
    return entry.failed_loads + newly_failed
