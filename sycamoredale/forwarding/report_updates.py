"""Tell peers which heads have changed, before the list does.

The keeper of the groups asks all instances, so it knows first which heads
are open.  It passes on what they said; their own count of orders says which
word is newer, so a word may come late, twice or not at all.  The list holds
the same a little later.
"""

import dataclasses
from typing import Final

import msgspec

from sycamoredale.forwarding import instance_state
from sycamoredale import ids

# Datagrams are lost now and then, three in a row rarely.
SENDS_PER_REPORT: Final = 3
# About 2 KB of a datagram; the others follow with the next one.
MAX_REPORTS_PER_DATAGRAM: Final = 16


class ReportUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Hold what one instance said; `group` is empty outside of groups."""

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
    """Return the news of a report."""
    place = report.membership
    return ReportUpdate(
        instance,
        report.started_ms,
        report.orders_taken,
        place.group if place else "",
        place.epoch if place else 0,
        place.rank if place else 0,
        place.state.value if place else "",
        report.staged,
    )


def decode(news: ReportUpdate) -> instance_state.Report:
    """Return the report in the news; raise ValueError for a bad state."""
    place = None
    if news.group:
        place = instance_state.Membership(
            ids.GroupId(news.group),
            ids.Epoch(news.epoch),
            news.rank,
            instance_state.MemberState(news.state),
        )
    return instance_state.Report(
        news.started_ms, news.orders_taken, place, news.staged
    )


@dataclasses.dataclass
class Outbox:
    """Hold the newest reports that are still to be told, by instance."""

    _pending_by_id: dict[ids.InstanceId, tuple[ReportUpdate, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def put(
        self, instance: ids.InstanceId, report: instance_state.Report
    ) -> None:
        """Tell a report with the next news."""
        self._pending_by_id[instance] = (
            encode(instance, report),
            SENDS_PER_REPORT,
        )

    def take(self) -> list[ReportUpdate]:
        """Return what is told now; what was told often enough is dropped."""
        told: list[ReportUpdate] = []
        for instance in list(self._pending_by_id)[:MAX_REPORTS_PER_DATAGRAM]:
            news, left = self._pending_by_id.pop(instance)
            told.append(news)
            if left > 1:
                self._pending_by_id[instance] = news, left - 1
        return told
