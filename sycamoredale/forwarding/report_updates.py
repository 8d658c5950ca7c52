"""Send reports of changed heads to peers before the list shows the change.

The daemon that controls the groups probes all instances, so it is the first to
see which heads are open, and sends their reports to its peers.  Reports are
versioned by the instances' own count of orders, so a report may arrive late,
twice or not at all.  The instance list shows the same state a little later.
"""

import dataclasses
from typing import Final

import msgspec

from sycamoredale.forwarding import instance_state
from sycamoredale import ids

# Single datagrams are lost now and then, three in a row rarely.
SENDS_PER_REPORT: Final = 3
# About 2 KB of a datagram; further reports follow in the next ones.
MAX_REPORTS_PER_DATAGRAM: Final = 16


class ReportUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Encode the report of one instance.

    `group` is empty if the instance is no member of a group.
    """

    instance: ids.InstanceId
    started_ms: int
    orders_taken: int
    group: str
    epoch: int
    rank: int
    state: str
    staged: tuple[str, ...]


def encode(
    instance: ids.InstanceId, report: instance_state.Report
) -> ReportUpdate:
    """Return the update for a report."""
    membership = report.membership
    return ReportUpdate(
        instance,
        report.started_ms,
        report.orders_taken,
        membership.group if membership else "",
        membership.epoch if membership else 0,
        membership.rank if membership else 0,
        membership.state.value if membership else "",
        report.staged,
    )


def decode(update: ReportUpdate) -> instance_state.Report:
    """Return the report in an update; raise ValueError for a bad state."""
    membership = None
    if update.group:
        membership = instance_state.Membership(
            ids.GroupId(update.group),
            ids.Epoch(update.epoch),
            update.rank,
            instance_state.MemberState(update.state),
        )
    return instance_state.Report(
        update.started_ms, update.orders_taken, membership, update.staged
    )


@dataclasses.dataclass
class Outbox:
    """Queue the newest report of each instance for several datagrams."""

    _pending_by_id: dict[ids.InstanceId, tuple[ReportUpdate, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def put(
        self, instance: ids.InstanceId, report: instance_state.Report
    ) -> None:
        """Queue a report, instead of an older one of the same instance."""
        self._pending_by_id[instance] = (
            encode(instance, report),
            SENDS_PER_REPORT,
        )

    def take(self) -> list[ReportUpdate]:
        """Return the reports for the next datagram, and count them as sent.

        A report is dropped after it was sent SENDS_PER_REPORT times.
        """
        updates: list[ReportUpdate] = []
        for instance in list(self._pending_by_id)[:MAX_REPORTS_PER_DATAGRAM]:
            update, sends_left = self._pending_by_id.pop(instance)
            updates.append(update)
            if sends_left > 1:
                self._pending_by_id[instance] = update, sends_left - 1
        return updates
