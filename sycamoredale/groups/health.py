"""Know what the instances of one fabric domain report of themselves.

An instance counts as unreachable after a number of failed probes in a row,
so that one lost packet changes nothing.  A silent one may be paused and come
back with all it had loaded, so it is given time.  One whose host refuses
connections has lost its process, and with it what was loaded.
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
    """Hold the last report of one instance and when it came.

    `state` is None for a plain service and before the first report.
    """

    address: str
    state: orders.EngineState | None = None
    probed_at: clock.MonotonicTime | None = None
    failures: int = 0
    failing_since: clock.MonotonicTime | None = None
    connection_refused: bool = False
    ordered_at: clock.MonotonicTime | None = None
    failed_loads: int = 0
    failed_since: clock.MonotonicTime | None = None

    @property
    def is_reachable(self) -> bool:
        """Tell whether the instance answers."""
        if self.failures >= FAILURES_UNTIL_UNREACHABLE:
            return False
        return self.probed_at is not None

    def is_lost(self, now: clock.MonotonicTime) -> bool:
        """Tell whether the instance has been unreachable for long."""
        if self.is_reachable or self.failing_since is None:
            return False
        wait = REPLACE_AFTER_SECONDS
        if self.connection_refused:
            wait = REPLACE_REFUSED_AFTER_SECONDS
        return now >= self.failing_since + wait


@dataclasses.dataclass
class HealthTable:
    """Hold the health of instances by id."""

    by_id: dict[ids.InstanceId, InstanceHealth] = dataclasses.field(
        default_factory=dict
    )

    def register(self, instance: ids.InstanceId, address: str) -> None:
        """Know an instance; a new address is a new machine."""
        entry = self.by_id.get(instance)
        if entry is None or entry.address != address:
            self.by_id[instance] = InstanceHealth(address)

    def retain(self, kept: set[ids.InstanceId]) -> None:
        """Drop the instances that are no longer listed or assigned."""
        for instance in self.by_id.keys() - kept:
            del self.by_id[instance]

    def record_report(
        self,
        instance: ids.InstanceId,
        state: orders.EngineState | None,
        probed_at: clock.MonotonicTime,
    ) -> None:
        """Take over a report that was asked for at a time."""
        entry = self.by_id[instance]
        if entry.probed_at is not None and probed_at < entry.probed_at:
            return
        entry.failed_loads = _failed_loads(entry, state)
        if state is None or state.phase is not orders.Phase.FAILED:
            entry.failed_since = None
        elif entry.failed_since is None:
            entry.failed_since = probed_at
        entry.state = state
        entry.probed_at = probed_at
        entry.failures = 0
        entry.failing_since = None

    def record_failure(
        self,
        instance: ids.InstanceId,
        now: clock.MonotonicTime,
        connection_refused: bool = False,
    ) -> None:
        """Count a probe that failed, as refused or without an answer."""
        entry = self.by_id[instance]
        entry.connection_refused = connection_refused
        entry.failures += 1
        if entry.failing_since is None:
            entry.failing_since = now

    def record_order(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> None:
        """Remember when the last order to an instance may have left."""
        self.by_id[instance].ordered_at = now

    def is_reachable(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance answers."""
        entry = self.by_id.get(instance)
        return entry is not None and entry.is_reachable

    def is_lost(
        self, instance: ids.InstanceId, now: clock.MonotonicTime
    ) -> bool:
        """Tell whether an instance has been unreachable for long."""
        entry = self.by_id.get(instance)
        return entry is not None and entry.is_lost(now)

    def state(self, instance: ids.InstanceId) -> orders.EngineState | None:
        """Return the last report of an instance, None if there is none."""
        entry = self.by_id.get(instance)
        return entry.state if entry else None

    def fails_to_load(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance has failed to load many times."""
        entry = self.by_id.get(instance)
        return (
            entry is not None
            and entry.failed_loads >= FAILED_LOADS_UNTIL_AVOIDED
        )

    def has_restarted(self, instance: ids.InstanceId) -> bool:
        """Tell whether an engine has forgotten every order."""
        state = self.state(instance)
        return state is not None and state.epoch == INITIAL_EPOCH

    def no_orders_in_flight(
        self,
        instance: ids.InstanceId,
        lease_acquired_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> bool:
        """Tell whether no order to the instance can still be under way.

        The last report must have been asked for after that time.
        """
        entry = self.by_id.get(instance)
        if entry is None or entry.probed_at is None:
            return False
        last = max(lease_acquired_at, entry.ordered_at or lease_acquired_at)
        quiet_from = last + leases.with_clock_allowance(
            orders.ORDER_LIFETIME_SECONDS
        )
        return now >= quiet_from and entry.probed_at >= quiet_from


def confirms(
    state: orders.EngineState | None,
    group: model.Group,
    adapters: list[str],
) -> bool:
    """Tell whether an engine serves in a group at the group's epoch."""
    return (
        has_loaded(state, group)
        and state is not None
        and state.phase in SERVING_PHASES
        and set(adapters) <= set(state.adapters)
    )


def has_loaded(state: orders.EngineState | None, group: model.Group) -> bool:
    """Tell whether an engine has taken the orders of a group."""
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
    again = before is not orders.Phase.FAILED
    return entry.failed_loads + again
