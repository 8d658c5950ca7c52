"""Track the demand of organisations on all routers together.

Each router publishes how many requests of each organisation it has running
and queued.  The period between two notices grows with the number of routers,
so that each router receives all notices at a bounded rate.  The usage of a
router that stops publishing expires after a few periods.  The share of the
capacity that belongs to routers without a current notice is not used, since
they may be using it.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import ids
from sycamoredale.membership import gossip

MAX_USAGE_BYTES: Final = 700
MIN_PUBLISH_PERIOD_SECONDS: Final = 0.5
MAX_RECEIVED_BYTES_PER_SECOND: Final = 600
# Estimated encoded sizes of an entry without its name, and of a notice
# without its payload.
ENTRY_OVERHEAD_BYTES: Final = 8
NOTICE_OVERHEAD_BYTES: Final = 120
EXPIRY_PERIODS: Final = 4

CountByOrganisation = dict[ids.OrganisationName, int]


class RouterUsage(msgspec.Struct, frozen=True, array_like=True):
    """Report the running and queued calls of one router.

    They are counted by service and organisation.
    """

    period_seconds: float
    demand_by_service: dict[ids.ServiceName, CountByOrganisation] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerUsage:
    usage: RouterUsage
    expires_at: clock.MonotonicTime


@dataclasses.dataclass
class UsageTracker:
    """Track the usage of other routers and publish this router's."""

    notices: gossip.Gossip
    count_routers: collections.abc.Callable[[], int] = lambda: 1
    _usage_by_router: dict[ids.DaemonId, _PeerUsage] = dataclasses.field(
        default_factory=dict
    )
    _next_publish_at: clock.MonotonicTime = clock.MonotonicTime(0.0)

    def handle_notice(
        self, notice: gossip.Notice, now: clock.MonotonicTime
    ) -> None:
        """Store the usage that a peer has published."""
        if notice.origin == self.notices.own_id:
            return
        try:
            usage = decoding.decode_json(notice.payload, RouterUsage)
        except msgspec.DecodeError:
            return
        expires = now + EXPIRY_PERIODS * usage.period_seconds
        self._usage_by_router[notice.origin] = _PeerUsage(
            usage, clock.MonotonicTime(expires)
        )

    def publish_if_due(
        self,
        demand_by_service: dict[ids.ServiceName, CountByOrganisation],
        now: clock.MonotonicTime,
    ) -> None:
        """Publish this router's usage if the period has passed."""
        if now < self._next_publish_at:
            return
        demand_by_service = _largest_entries(demand_by_service)
        size = len(msgspec.json.encode(demand_by_service))
        received_bytes = self.count_routers() * (size + NOTICE_OVERHEAD_BYTES)
        period = max(
            MIN_PUBLISH_PERIOD_SECONDS,
            received_bytes / MAX_RECEIVED_BYTES_PER_SECOND,
        )
        self._next_publish_at = clock.MonotonicTime(now + period)
        self.notices.publish(
            gossip.Topic.USAGE,
            self.notices.own_id,
            RouterUsage(period, demand_by_service),
        )

    def peer_demand(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> collections.Counter[ids.OrganisationName]:
        """Return the other routers' demand by organisation."""
        self._expire(now)
        total: collections.Counter[ids.OrganisationName] = (
            collections.Counter()
        )
        for peer in self._usage_by_router.values():
            total.update(peer.usage.demand_by_service.get(service, {}))
        return total

    def reporting_share(self, now: clock.MonotonicTime) -> float:
        """Return the share of routers with current usage, this included."""
        self._expire(now)
        reporting = len(self._usage_by_router) + 1
        return min(1.0, reporting / max(1, self.count_routers()))

    def _expire(self, now: clock.MonotonicTime) -> None:
        expired = [
            daemon
            for daemon, peer in self._usage_by_router.items()
            if now > peer.expires_at
        ]
        for daemon in expired:
            del self._usage_by_router[daemon]


def _largest_entries(
    demand_by_service: dict[ids.ServiceName, CountByOrganisation],
) -> dict[ids.ServiceName, CountByOrganisation]:
    """Return as many of the largest entries as fit into one notice."""
    entries = [
        (count, service, organisation)
        for service, demand in demand_by_service.items()
        for organisation, count in demand.items()
    ]
    entries.sort(reverse=True)
    kept: dict[ids.ServiceName, CountByOrganisation] = {}
    size = 0
    for count, service, organisation in entries:
        size += len(organisation) + ENTRY_OVERHEAD_BYTES
        size += (
            len(service) + ENTRY_OVERHEAD_BYTES if service not in kept else 0
        )
        if size > MAX_USAGE_BYTES:
            break
        kept.setdefault(service, {})[organisation] = count
    return kept
