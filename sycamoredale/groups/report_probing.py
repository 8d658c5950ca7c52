"""Probe the engines of all instances for their reports."""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import local_fault
from sycamoredale.groups import probe_status
from sycamoredale import ids
from sycamoredale.observability import logs

# Two failed probes in a row mark a member as unreachable; until then the
# streams of its group are stalled.
PROBE_INTERVAL_SECONDS: Final = 0.4

# Members of a group that makes progress are probed less often, only to learn
# their slowdown, which progress does not show.
ACTIVE_PROBE_INTERVAL_SECONDS: Final = 1.2
# Of all instances together: a probe costs the daemon a fraction of a
# millisecond and the engine a turn.
MAX_ACTIVE_PROBES_PER_SECOND: Final = 250.0
MAX_IDLE_PROBES_PER_SECOND: Final = 500.0
# A busy engine finishes all but its longest steps within this time.
PROGRESS_WINDOW_SECONDS: Final = 0.25
# Short compared with the duration of a probe.
SCHEDULING_INTERVAL_SECONDS: Final = 0.05

# A failed probe is repeated this long after its start.
RETRY_SECONDS: Final = 0.3
LOG: Final = logs.get("groups.probing")

GetReport = collections.abc.Callable[
    [instance_state.Instance], collections.abc.Awaitable[instance_state.Report]
]
# Called with each report that changes the state of a head.
OnHeadChange = collections.abc.Callable[
    [ids.InstanceId, instance_state.Report], None
]
GetLastProgressAt = collections.abc.Callable[
    [instance_state.Instance], clock.MonotonicTime
]


def no_progress(instance: instance_state.Instance) -> clock.MonotonicTime:
    """Return 0, the time of the last progress if there was none."""
    return clock.MonotonicTime(0.0)


IsIdle = collections.abc.Callable[
    [instance_state.Instance, clock.MonotonicTime], bool
]


def never_idle(
    instance: instance_state.Instance, now: clock.MonotonicTime
) -> bool:
    """Return False, as if requests always waited."""
    del instance, now
    return False


IsReachedByPeers = collections.abc.Callable[
    [instance_state.Instance], collections.abc.Awaitable[bool]
]


async def reached_by_nobody(instance: instance_state.Instance) -> bool:
    """Return False, the answer where there are no peers to ask."""
    del instance
    return False


GetUpdateDelay = collections.abc.Callable[[], float]
GetInstances = collections.abc.Callable[
    [], collections.abc.Iterable[instance_state.Instance]
]


@dataclasses.dataclass
class ReportProber:
    """Probe instances and record reports and probe results.

    `is_idle` tells whether the group of an instance has no requests, and
    `get_update_delay` how late the progress that others see is known, in
    seconds.
    """

    get_report: GetReport
    get_instances: GetInstances
    instances: instance_table.InstanceTable
    probe_statuses: probe_status.ProbeStatusTable
    on_head_change: OnHeadChange = lambda instance, report: None
    get_last_progress_at: GetLastProgressAt = no_progress
    is_reached_by_peers: IsReachedByPeers = reached_by_nobody
    is_idle: IsIdle = never_idle
    get_update_delay: GetUpdateDelay = lambda: 0.0
    _is_suspended: bool = False
    _probed_at: dict[ids.InstanceId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )
    _probing: set[ids.InstanceId] = dataclasses.field(default_factory=set)

    async def run(self) -> None:
        """Probe each engine when it is due; one timeout delays no other."""
        while True:
            now = clock.monotonic()
            instances = list(self.get_instances())
            for instance in instances:
                if instance.id not in self._probing and self.is_due(
                    instance, now, len(instances)
                ):
                    self._probed_at[instance.id] = now
                    self._probing.add(instance.id)
                    await curio.spawn(self._probe, instance, daemon=True)
            await curio.sleep(SCHEDULING_INTERVAL_SECONDS)

    def is_due(
        self,
        instance: instance_state.Instance,
        now: clock.MonotonicTime,
        count: int = 1,
    ) -> bool:
        """Return whether one of `count` instances is to be probed.

        An instance whose group makes progress is probed less often, since
        it must be running.  In a large site, so is one whose group has no
        requests: nobody waits for it.
        """
        pause = PROBE_INTERVAL_SECONDS
        window = PROGRESS_WINDOW_SECONDS + self.get_update_delay()
        if now - self.get_last_progress_at(instance) < window:
            pause = max(
                ACTIVE_PROBE_INTERVAL_SECONDS,
                count / MAX_ACTIVE_PROBES_PER_SECOND,
            )
        elif self.is_idle(instance, now):
            pause = max(pause, count / MAX_IDLE_PROBES_PER_SECOND)
        return now - self._probed_at.get(instance.id, 0.0) >= pause

    async def _probe(self, instance: instance_state.Instance) -> None:
        try:
            while not await self._probe_once(instance):
                if self.probe_statuses.is_unreachable(instance.id):
                    self.instances.remove_unlisted(instance.id)
                    return
        finally:
            self._probing.discard(instance.id)

    async def _probe_once(self, instance: instance_state.Instance) -> bool:
        """Probe once and return whether the instance answered.

        A failure returns only after RETRY_SECONDS: an engine with many
        connections resets a new one at once, but accepts one a moment
        later.
        """
        probed_at = clock.monotonic()
        try:
            report = await self.get_report(instance)
        except errors.SycamoredaleError as error:
            # Not logged here: the order that a lost member causes is logged.
            await self._record_failure(instance, error)
            remaining = probed_at + RETRY_SECONDS - clock.monotonic()
            await curio.sleep(max(0.0, remaining))
            return False
        self.probe_statuses.record_success(
            instance.id, clock.monotonic(), report.slowdown
        )
        if self.instances.apply_report(instance.id, report):
            self.on_head_change(instance.id, report)
        return True

    async def _record_failure(
        self,
        instance: instance_state.Instance,
        error: errors.SycamoredaleError,
    ) -> None:
        """Record a failure that is neither local nor refuted by a peer."""
        if isinstance(error, errors.LocalFailure):
            return
        if isinstance(error, errors.ConnectionFailed):
            if await self.is_reached_by_peers(instance):
                self.probe_statuses.forget_failures(instance.id)
                return
        self.probe_statuses.record_failure(instance.id)

    def may_act(self) -> bool:
        """Return whether the results of the probes may be acted on.

        Those of a local fault are dropped once it has ended.
        """
        if self._suspects_local_fault():
            if not self._is_suspended:
                LOG.warning("control_suspended", reason="most probes failed")
            self._is_suspended = True
            return False
        if self._is_suspended:
            self._is_suspended = False
            self.probe_statuses.by_id.clear()
            LOG.info("control_resumed")
        return True

    def _suspects_local_fault(self) -> bool:
        """Return whether this daemon, not the instances, is disconnected."""
        unreachable_by_domain: dict[ids.DomainName, list[bool]] = {}
        for instance in self.get_instances():
            if instance.id in self.probe_statuses.by_id:
                unreachable_by_domain.setdefault(instance.domain, []).append(
                    self.probe_statuses.is_unreachable(instance.id)
                )
        return local_fault.is_local_fault(
            local_fault.ProbeCount(domain, len(unreachable), sum(unreachable))
            for domain, unreachable in unreachable_by_domain.items()
        )
