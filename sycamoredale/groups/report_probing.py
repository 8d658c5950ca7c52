"""Ask the engines of all instances for their report, at a pace."""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import instance_book
from sycamoredale.forwarding import listing
from sycamoredale.groups import local_fault
from sycamoredale.groups import probe_status
from sycamoredale import ids

# Two in a row without an answer take a member for lost; streams of its
# group stand still meanwhile.
PROBE_INTERVAL_SECONDS: Final = 0.4

# The members of a group that was heard are asked this rarely, for what no
# event shows: how slow they are.
ACTIVE_PROBE_INTERVAL_SECONDS: Final = 1.2
# An engine at work ends a pass within this time, but for the longest ones.
PROGRESS_WINDOW_SECONDS: Final = 0.25
# How often it is looked who is due; small beside the time of a probe.
SCHEDULING_INTERVAL_SECONDS: Final = 0.05

# The second question comes at once after the time of the first one.
RETRY_SECONDS: Final = 0.3

GetReport = collections.abc.Callable[
    [listing.Instance], collections.abc.Awaitable[listing.Report]
]
# Called with a report by which a head has changed.
OnHeadChange = collections.abc.Callable[[ids.InstanceId, listing.Report], None]
GetLastProgressAt = collections.abc.Callable[
    [listing.Instance], clock.MonotonicTime
]


def no_progress(instance: listing.Instance) -> clock.MonotonicTime:
    """Tell nothing of the work of any group."""
    return clock.MonotonicTime(0.0)


GetInstances = collections.abc.Callable[
    [], collections.abc.Iterable[listing.Instance]
]


@dataclasses.dataclass
class ReportProber:
    """Fill the books of reports and contacts."""

    get_report: GetReport
    get_instances: GetInstances
    book: instance_book.InstanceBook
    probe_statuses: probe_status.ProbeStatusTable
    on_head_change: OnHeadChange = lambda instance, report: None
    get_last_progress_at: GetLastProgressAt = no_progress
    _probed_at: dict[ids.InstanceId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )
    _probing: set[ids.InstanceId] = dataclasses.field(default_factory=set)

    async def run(self) -> None:
        """Probe all engines at a pace; a silent one delays no other."""
        while True:
            now = clock.monotonic()
            for instance in list(self.get_instances()):
                if instance.id not in self._probing and self.is_due(
                    instance, now
                ):
                    self._probed_at[instance.id] = now
                    self._probing.add(instance.id)
                    await curio.spawn(self._probe, instance, daemon=True)
            await curio.sleep(SCHEDULING_INTERVAL_SECONDS)

    def is_due(
        self, instance: listing.Instance, now: clock.MonotonicTime
    ) -> bool:
        """Tell whether an instance is to be asked.

        While its group makes progress it is surely there.
        """
        pause = PROBE_INTERVAL_SECONDS
        if now - self.get_last_progress_at(instance) < PROGRESS_WINDOW_SECONDS:
            pause = ACTIVE_PROBE_INTERVAL_SECONDS
        return now - self._probed_at.get(instance.id, 0.0) >= pause

    async def _probe(self, instance: listing.Instance) -> None:
        try:
            while not await self._probe_once(instance):
                if self.probe_statuses.is_unreachable(instance.id):
                    self.book.forget_unlisted(instance.id)
                    return
        finally:
            self._probing.discard(instance.id)

    async def _probe_once(self, instance: listing.Instance) -> bool:
        """Take over a report, or count a failure once its time is over.

        An engine with many connections resets a new one at once, and has
        room again a moment later.
        """
        probed_at = clock.monotonic()
        try:
            report = await self.get_report(instance)
        except errors.SycamoredaleError:
            # Told by the order that a lost member leads to.
            self.probe_statuses.record_failure(instance.id)
            remaining = probed_at + RETRY_SECONDS - clock.monotonic()
            await curio.sleep(max(0.0, remaining))
            return False
        self.probe_statuses.record_success(
            instance.id, clock.monotonic(), report.slowness
        )
        if self.book.note_report(instance.id, report):
            self.on_head_change(instance.id, report)
        return True

    def suspects_local_fault(self) -> bool:
        """Tell whether this daemon rather than the instances is cut off."""
        lost_by_domain: dict[ids.DomainName, list[bool]] = {}
        for instance in self.get_instances():
            if instance.id in self.probe_statuses.by_id:
                lost_by_domain.setdefault(instance.domain, []).append(
                    self.probe_statuses.is_unreachable(instance.id)
                )
        return local_fault.is_local_fault(
            local_fault.ProbeCount(domain, len(lost), sum(lost))
            for domain, lost in lost_by_domain.items()
        )
