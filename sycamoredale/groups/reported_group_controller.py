"""Control the groups that instances report, in all domains.

The daemon that holds the lease plans in rounds from the reports of the
instances and sends the orders that are due.  The epochs of its orders are
greater than those of earlier lease owners, whose late orders are rejected.
"""

import collections
import collections.abc
import dataclasses
import itertools
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import formation_planner
from sycamoredale.groups import group_lifecycle
from sycamoredale.groups import probe_status
from sycamoredale.groups import report_probing
from sycamoredale.groups import reported
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.observability import logs
from sycamoredale import supervision

LEASE_NAME: Final = "groups"
# Short, because no group is repaired between the failure of the owner and
# the end of its lease.
LEASE_SECONDS: Final = 2.0
LEASE_RENEWAL_SECONDS: Final = 0.4
# Each read of the lease is charged for, so only one daemon of each zone polls
# often and the others poll rarely.  This delays a repair only after the loss
# of an owner, which happens about once a day.
LEASE_POLL_SECONDS: Final = 1.0
RARE_LEASE_POLL_SECONDS: Final = 4.0
# Longest pause before a poll that is timed for the end of the lease, in poll
# intervals.  A poll that is too early would lose half an interval on average.
MAX_PAUSE_POLLS: Final = 1.5
# Polls are sent this long after the lease is free, to allow for latency.
LEASE_FREE_SLACK_SECONDS: Final = 0.01
# Each step of forming a group waits for the next round.
ROUND_INTERVAL_SECONDS: Final = 0.05
# Instances register within one heartbeat of their start, in any order.
LIST_STABLE_SECONDS: Final = 1.0
# Hundreds of instances register within five seconds.  The first requests
# arrive after 12 s, of which even the fast first loads need several.
MAX_LIST_WAIT_SECONDS: Final = 6.0
# A shorter interval would only increase the volume of the log.
STATUS_INTERVAL_SECONDS: Final = 2.0
LOG: Final = logs.get("groups.reported")


class EngineClient(typing.Protocol):
    """Read reports from engines and send orders to them."""

    async def report(
        self, instance: instance_state.Instance
    ) -> instance_state.Report:
        """Return the report of an instance.

        Raises a connection error.
        """

    async def order(
        self,
        instance: instance_state.Instance,
        order: reported.Order,
        guard: collections.abc.Callable[[], None],
    ) -> bool:
        """Send an order and return whether it was accepted.

        The guard is called immediately before the first byte is sent.
        Raises a connection error.
        """


GetCatalogue = collections.abc.Callable[[], catalogue.Catalogue]
GetZonesOut = collections.abc.Callable[[], frozenset[ids.ZoneName]]


@dataclasses.dataclass
class ReportedGroupController:
    """Form, open, tear down and replace groups while the lease is held.

    `is_lease_candidate` returns whether this daemon is the one of its zone
    that polls the lease often, `is_isolated` whether it has lost its links to
    the instances; it then neither takes nor keeps the lease.
    """

    lease: leases.Lease
    engines: EngineClient
    instances: instance_table.InstanceTable
    get_catalogue: GetCatalogue
    get_zones_out: GetZonesOut
    stall_seconds: float
    formation: formation_planner.FormationPlanner
    count_daemons: collections.abc.Callable[[], int]
    is_lease_candidate: collections.abc.Callable[[], bool] = lambda: True
    on_head_change: report_probing.OnHeadChange = lambda instance, report: None
    get_last_progress_at: report_probing.GetLastProgressAt = (
        report_probing.no_progress
    )
    is_isolated: collections.abc.Callable[[], bool] = lambda: False
    is_reached_by_peers: report_probing.IsReachedByPeers = (
        report_probing.reached_by_nobody
    )
    is_idle: report_probing.IsIdle = report_probing.never_idle
    get_update_delay: report_probing.GetUpdateDelay = lambda: 0.0
    probe_statuses: probe_status.ProbeStatusTable = dataclasses.field(
        default_factory=probe_status.ProbeStatusTable
    )
    lifecycle: group_lifecycle.GroupLifecycle = dataclasses.field(
        default_factory=group_lifecycle.GroupLifecycle
    )
    _stopping: bool = False
    _store_unavailable: bool = False
    _status_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _active_since: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _list_complete: bool = False
    _listed_count: int = 0
    _listed_count_changed_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    async def run(self) -> None:
        """Acquire the lease when it is free; run rounds while it is held."""
        lease_task = await supervision.spawn(
            "group_lease", self._maintain_lease
        )
        try:
            await self._run_terms()
        finally:
            await lease_task.cancel()

    async def _run_terms(self) -> None:
        while True:
            term = self.lease.term
            if term is None or not self._holds_lease(term.epoch):
                await curio.sleep(ROUND_INTERVAL_SECONDS)
                continue
            if not self.is_isolated():
                await self._run_term(term)
            if self._holds_lease(term.epoch):
                await self._step_down()

    async def stop(self) -> None:
        """Release the lease and do not acquire it again."""
        self._stopping = True
        await self._release()

    async def _step_down(self) -> None:
        """Leave the groups to a daemon that reaches the instances."""
        LOG.warning("lease_given_up", reason="this daemon is isolated")
        await self._release()

    async def _release(self) -> None:
        try:
            await self.lease.release()
        except errors.StoreUnavailable as error:
            LOG.warning("lease_release_failed", reason=error.message)

    async def _maintain_lease(self) -> None:
        while not self._stopping:
            now = clock.monotonic()
            held = self.lease.is_held(now)
            if self.is_isolated() or (not held and self._can_skip_poll(now)):
                await curio.sleep(LEASE_RENEWAL_SECONDS)
                continue
            try:
                await self.lease.renew_or_acquire()
                self._store_unavailable = False
            except errors.StoreUnavailable as error:
                self._store_unavailable = True
                LOG.warning("lease_renewal_failed", reason=error.message)
            now = clock.monotonic()
            now_held = self.lease.is_held(now)
            if held != now_held:
                LOG.info("lease_changed", held=now_held)
            if held and not now_held and self.lease.can_acquire(now):
                continue  # The term ended before its renewal was answered.
            await curio.sleep(self._pause_seconds(now_held))

    def _can_skip_poll(self, now: clock.MonotonicTime) -> bool:
        """Return whether the lease is known to be held for long enough.

        Candidates poll before the lease can be free, other daemons only
        when a candidate should have acquired it.
        """
        held_until = self.lease.possibly_held_until()
        if held_until is None:
            return False
        if self.is_lease_candidate():
            return now < held_until - LEASE_RENEWAL_SECONDS
        return now < held_until + LEASE_POLL_SECONDS

    def _pause_seconds(self, held: bool) -> float:
        # No daemon holds the lease while the store is unavailable.  The last
        # owner and the candidates retry often, to acquire it soon afterwards.
        is_candidate = self.is_lease_candidate()
        if (
            held
            or self.lease.last_owner_is_self
            or (is_candidate and self._store_unavailable)
        ):
            return LEASE_RENEWAL_SECONDS
        if not is_candidate:
            return RARE_LEASE_POLL_SECONDS
        return self._seconds_until_free(clock.monotonic())

    def _seconds_until_free(self, now: clock.MonotonicTime) -> float:
        """Return the seconds until the lease is free, or the poll interval.

        A poll just before the lease is free would be followed by another
        full interval.
        """
        free_at = self.lease.free_at()
        longest = MAX_PAUSE_POLLS * LEASE_POLL_SECONDS
        if free_at is None or not now < free_at < now + longest:
            return LEASE_POLL_SECONDS
        return free_at - now + LEASE_FREE_SLACK_SECONDS

    async def _run_term(self, term: leases.Term) -> None:
        """Run rounds until the lease term ends or this daemon is isolated."""
        self.probe_statuses.by_id.clear()
        self._active_since = clock.monotonic()
        self._list_complete = False
        self.lifecycle = group_lifecycle.GroupLifecycle()
        LOG.info("group_term_began", epoch=term.epoch)
        self.formation.begin_term(term.epoch, self.lifecycle)
        prober = report_probing.ReportProber(
            self.engines.report,
            self._engine_instances,
            self.instances,
            self.probe_statuses,
            self.on_head_change,
            self.get_last_progress_at,
            self.is_reached_by_peers,
            self.is_idle,
            self.get_update_delay,
        )
        probing = await supervision.spawn("group_probes", prober.run)
        try:
            while self._holds_lease(term.epoch) and not self.is_isolated():
                if prober.may_act():
                    await self._run_round(term.epoch)
                await curio.sleep(ROUND_INTERVAL_SECONDS)
        finally:
            await probing.cancel()

    def _holds_lease(self, epoch: ids.Epoch) -> bool:
        return self.lease.is_held_in(epoch, clock.monotonic())

    async def _run_round(self, epoch: ids.Epoch) -> None:
        now = clock.monotonic()
        snapshot = self._take_snapshot(now)
        if not snapshot.services or not self._is_list_complete(now):
            return
        self._log_status(snapshot)
        due = list(self.lifecycle.due_orders(snapshot))
        due.extend(self.formation.due_orders(snapshot))
        for item in due:
            await curio.spawn(self._send_order, item, epoch, daemon=True)

    def _is_list_complete(self, now: clock.MonotonicTime) -> bool:
        """Return whether the instances of a new installation are all listed.

        This is assumed once an instance reports a group, once the number of
        instances is stable, or after MAX_LIST_WAIT_SECONDS.
        Groups formed from the first few instances would leave the others
        unable to form groups.
        """
        if self._list_complete:
            return True
        engines = list(self._engine_instances())
        if len(engines) != self._listed_count:
            self._listed_count = len(engines)
            self._listed_count_changed_at = now
        has_groups = any(i.membership is not None for i in engines)
        is_stable = now >= self._listed_count_changed_at + LIST_STABLE_SECONDS
        timed_out = now >= self._active_since + MAX_LIST_WAIT_SECONDS
        self._list_complete = bool(engines) and (
            has_groups or is_stable or timed_out
        )
        return self._list_complete

    def _log_status(self, snapshot: cluster_snapshot.ClusterSnapshot) -> None:
        if snapshot.now < self._status_at + STATUS_INTERVAL_SECONDS:
            return
        self._status_at = snapshot.now
        states: collections.Counter[str] = collections.Counter()
        for key, group in reported.collect_groups(
            snapshot.instances.values(), snapshot.services
        ).items():
            state = group.state.value if group.state else "headless"
            states[f"{key.model} {state}"] += 1
        statuses = snapshot.probe_statuses
        free = list(self.lifecycle.free_instances(snapshot))
        LOG.info(
            "group_status",
            by_state=dict(states),
            listed=len(snapshot.instances),
            lost=sum(map(statuses.is_unreachable, snapshot.instances)),
            slow=sorted(snapshot.stragglers),
            free=_free_by_domain(free),
            daemons=self.count_daemons(),
        )

    def _engine_instances(
        self,
    ) -> collections.abc.Iterator[instance_state.Instance]:
        services = self.get_catalogue().service_by_name
        unlisted = (u.instance for u in self.instances.unlisted_by_id.values())
        for instance in itertools.chain(
            self.instances.by_id.values(), unlisted
        ):
            service = services.get(instance.service)
            if service is not None and service.engine is not None:
                yield instance

    def _take_snapshot(
        self, now: clock.MonotonicTime
    ) -> cluster_snapshot.ClusterSnapshot:
        unlisted = {
            name: entry.instance
            for name, entry in self.instances.unlisted_by_id.items()
            if self.probe_statuses.responds(name)
        }
        return cluster_snapshot.ClusterSnapshot(
            {**self.instances.by_id, **unlisted},
            self.get_catalogue().service_by_name,
            self.probe_statuses,
            self.get_zones_out(),
            self.stall_seconds,
            now,
            frozenset(unlisted),
            self.probe_statuses.stragglers(),
            self.instances.incarnations.ended_ids(),
        )

    async def _send_order(
        self, item: reported.DueOrder, epoch: ids.Epoch
    ) -> None:
        """Send an order unless the term in which it was decided has ended."""
        lifecycle = self.lifecycle

        def guard() -> None:
            self.lease.check(clock.monotonic(), epoch)

        outcome = "accepted"
        try:
            if not await self.engines.order(item.instance, item.order, guard):
                outcome = "refused"
        except errors.SycamoredaleError as error:
            outcome = error.message
            self.formation.record_unanswered(item, clock.monotonic())
        now = clock.monotonic()
        lifecycle.record_outcome(item, outcome == "accepted", now)
        LOG.info(
            "order_given",
            instance=item.instance.id,
            order=repr(item.order),
            reason=item.reason,
            outcome=outcome,
        )


def _free_by_domain(
    free: collections.abc.Iterable[instance_state.Instance],
) -> dict[str, list[str]]:
    """Return the staged models of each free instance, by domain."""
    found: dict[str, list[str]] = {}
    for instance in free:
        staged = ",".join(instance.staged)
        found.setdefault(instance.domain, []).append(staged)
    return found
