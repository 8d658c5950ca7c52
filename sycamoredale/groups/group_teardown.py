"""Decide whether a group is torn down and which order does so.

A group that has lost a member cannot answer any more, so its requests are
cancelled and resumed on another group.  A graceful teardown lets the
requests finish first.
"""

import collections
import dataclasses
import math
from typing import Final

from sycamoredale.forwarding import instance_state
from sycamoredale.groups import cluster_snapshot
from sycamoredale.groups import reported

# A group across fabric domains is several times slower than its replacement
# within one domain, where most answers take about a second.
CROSS_DOMAIN_DRAIN_SECONDS: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Teardown:
    """Describe why a group is torn down and how.

    A graceful teardown lets requests finish; those that exceed the drain
    timeout are cancelled and resumed on another group.
    """

    reason: str
    is_graceful: bool = False
    drain_timeout_seconds: float = math.inf


def find_teardown(
    group: reported.ReportedGroup,
    snapshot: cluster_snapshot.ClusterSnapshot,
    is_joining: bool,
) -> Teardown | None:
    """Return the teardown that a group needs, or None.

    Members of a group that is joining may not report the group yet.
    """
    if group.model is None:
        return Teardown("model is not configured")
    if group.state is instance_state.MemberState.BROKEN:
        return Teardown("head is broken")
    teardowns = [
        _member_teardown(m, snapshot) for m in group.member_by_rank.values()
    ]
    found = sorted(
        filter(None, teardowns), key=lambda teardown: teardown.is_graceful
    )
    if found:
        # A lost member overrides the graceful teardown for another member.
        return found[0]
    if not group.has_all_members and not is_joining:
        return Teardown("group has too few members")
    # Only an unlisted head matters: other members receive no requests and
    # keep working while they run.
    if group.head is not None and group.head.id in snapshot.unlisted:
        return Teardown(f"head {group.head.id} is no longer listed", True)
    if len(group.domains) > 1 and _fits_one_domain(group, snapshot):
        return Teardown(
            "group fits into one fabric domain",
            True,
            CROSS_DOMAIN_DRAIN_SECONDS,
        )
    return None


def _member_teardown(
    member: instance_state.Instance, snapshot: cluster_snapshot.ClusterSnapshot
) -> Teardown | None:
    if snapshot.probe_statuses.is_unreachable(member.id):
        return Teardown(f"member {member.id} is unreachable")
    if member.leaving:
        return Teardown(f"member {member.id} is leaving", True)
    if member.zone in snapshot.zones_out:
        return Teardown(f"zone {member.zone} is out of service", True)
    if member.id in snapshot.stragglers:
        return Teardown(f"member {member.id} is slow")
    return None


def teardown_order(
    group: reported.ReportedGroup,
    head: instance_state.Instance,
    teardown: Teardown,
) -> reported.DueOrder:
    """Return the order that tears down a group in its present state."""
    if group.state in (
        instance_state.MemberState.OPEN,
        instance_state.MemberState.CLOSING,
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
    """Return whether one domain of the group suffices to form it again.

    Members and free instances with the model staged are counted.
    """
    assert group.model is not None
    ready_by_domain = collections.Counter(
        m.domain for m in group.member_by_rank.values()
    )
    for instance in snapshot.instances.values():
        is_free = instance.membership is None and not instance.leaving
        if is_free and group.key.model in instance.staged:
            ready_by_domain[instance.domain] += 1
    return (
        max(ready_by_domain[d] for d in group.domains)
        >= group.model.instances_per_replica
    )
