"""Decide why a group ends, and by which order.

A group that loses a member answers nothing more, so its requests are cut
off and go on elsewhere.  One that ends as planned finishes its requests.
"""

import collections
import dataclasses
import math
from typing import Final

from sycamoredale.forwarding import listing
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import reported

# A group across domains is several times slower than the one that replaces
# it; most answers take about a second within one domain.
CROSS_DOMAIN_DRAIN_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Teardown:
    """Say why a group ends, and whether it may end its requests first.

    Those that take longer than the patience go on elsewhere.
    """

    reason: str
    is_graceful: bool = False
    drain_timeout_seconds: float = math.inf


def find_teardown(
    group: reported.ReportedGroup,
    snapshot: cluster_snapshot.ClusterSnapshot,
    is_joining: bool,
) -> Teardown | None:
    """Return why a group ends, or None if it is to stay.

    Members of a group that is joining may not report it yet.
    """
    if group.model is None:
        return Teardown("the model is not configured")
    if group.state is listing.MemberState.BROKEN:
        return Teardown("the head is broken")
    teardowns = [
        _member_teardown(m, snapshot) for m in group.member_by_rank.values()
    ]
    found = sorted(
        filter(None, teardowns), key=lambda teardown: teardown.is_graceful
    )
    if found:
        return found[0]  # A lost member cuts off what another would end.
    if not group.has_all_members and not is_joining:
        return Teardown("a member is missing")
    # A member takes no requests, and works on while it lives.
    if group.head is not None and group.head.id in snapshot.unlisted:
        return Teardown(f"head {group.head.id} has left the list", True)
    if len(group.domains) > 1 and _fits_one_domain(group, snapshot):
        return Teardown(
            "its model can have a group in one domain",
            True,
            CROSS_DOMAIN_DRAIN_SECONDS,
        )
    return None


def _member_teardown(
    member: listing.Instance, snapshot: cluster_snapshot.ClusterSnapshot
) -> Teardown | None:
    if snapshot.probe_statuses.is_unreachable(member.id):
        return Teardown(f"member {member.id} is lost")
    if member.leaving:
        return Teardown(f"member {member.id} is leaving", True)
    if member.zone in snapshot.zones_out:
        return Teardown(f"zone {member.zone} is out of service", True)
    if member.id in snapshot.stragglers:
        return Teardown(f"member {member.id} is slow")
    return None


def teardown_order(
    group: reported.ReportedGroup, head: listing.Instance, teardown: Teardown
) -> reported.DueOrder:
    """Return the order that ends a group in its present state."""
    if group.state in (
        listing.MemberState.OPEN,
        listing.MemberState.CLOSING,
    ):
        order: reported.Order = reported.Close(
            group.key, cancel=not teardown.is_graceful
        )
    else:
        order = reported.Leave(group.key)
    return reported.DueOrder(head, order, teardown.reason)


def _fits_one_domain(
    group: reported.ReportedGroup, snapshot: cluster_snapshot.ClusterSnapshot
) -> bool:
    """Tell whether one of its domains has enough that hold its model."""
    assert group.model is not None
    ready_by_domain = collections.Counter(
        m.domain for m in group.member_by_rank.values()
    )
    for instance in snapshot.instances.values():
        is_free = instance.membership is None and not instance.leaving
        if is_free and group.key.model in instance.staged:
            ready_by_domain[instance.domain] += 1
    return max(ready_by_domain[d] for d in group.domains) >= group.model.size
