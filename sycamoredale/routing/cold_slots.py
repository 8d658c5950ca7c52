"""Share the slots of endpoints in cold start among routers.

One object for each fabric domain holds the leases of all slots there, so
that a conditional update decides who may send what.  The aggregate keeps
one rule: the slots leased on an endpoint, those of lapsed leases included
until their requests must have ended, never exceed its cold limit.

A lease is judged by two clocks, never compared with each other.  The
holder counts from before its write.  Everyone else counts from after the
first read that showed the renewal, adds the longest request, and allows
for a difference in the rates of the clocks.
"""

import collections.abc
import dataclasses
import typing
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale import ids

KIND: Final = "cold-slots"
LEASE_SECONDS: Final = 6.0
CLOCK_RATE_ALLOWANCE: Final = 0.05

Holder = typing.NewType("Holder", str)


class Lease(msgspec.Struct, frozen=True):
    """Lease slots of one endpoint to one run of a router.

    The holder's name is unique to one start of a process.  `renewal`
    grows with each renewal.  No request under the lease lasts longer than
    `request_seconds`.
    """

    endpoint: ids.EndpointId
    holder: Holder
    slots: int
    renewal: int
    lease_seconds: float
    request_seconds: float


class DomainSlots(msgspec.Struct, frozen=True):
    """Hold the leases of one fabric domain."""

    domain: ids.DomainName
    leases: list[Lease] = []
    write_id: ids.WriteId = ids.WriteId("")


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Ask for slots of an endpoint with its cold limit."""

    endpoint: ids.EndpointId
    limit: int
    max_request_seconds: float


HasExpired = collections.abc.Callable[[Lease], bool]


def renew(
    slots: DomainSlots,
    holder: Holder,
    slot_requests: collections.abc.Collection[SlotRequest],
    idle_endpoints: collections.abc.Container[ids.EndpointId],
    has_expired: HasExpired,
) -> DomainSlots:
    """Return the slots after the holder's renewal of its leases.

    The holder gets the free slots of each endpoint that it wishes, gives
    back those of other endpoints that are `idle`, and lets the rest of its
    leases lapse.  `is_over` tells which leases have ended, their requests
    included.
    """
    requested = {slot_request.endpoint for slot_request in slot_requests}
    kept = [
        lease
        for lease in slots.leases
        if not has_expired(lease)
        and not (
            lease.holder == holder
            and (
                lease.endpoint in requested or lease.endpoint in idle_endpoints
            )
        )
    ]
    own = {x.endpoint: x for x in slots.leases if x.holder == holder}
    renewed = [
        lease
        for slot_request in slot_requests
        if (
            lease := _grant(
                kept, own.get(slot_request.endpoint), holder, slot_request
            )
        )
    ]
    return msgspec.structs.replace(slots, leases=kept + renewed)


def count_leased_slots(
    leases: collections.abc.Iterable[Lease], endpoint: ids.EndpointId
) -> int:
    """Return how many slots of an endpoint are leased."""
    return sum(x.slots for x in leases if x.endpoint == endpoint)


@dataclasses.dataclass
class LeaseExpiryTracker:
    """Tell when leases of others are over by this instance's clock."""

    _first_seen_by_lease: dict[Lease, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def observe(self, slots: DomainSlots, now: clock.MonotonicTime) -> None:
        """Note the leases that a read has shown; `now` is after the read."""
        seen = set(slots.leases)
        known = self._first_seen_by_lease
        self._first_seen_by_lease = {x: known.get(x, now) for x in seen}

    def has_expired(self, lease: Lease, now: clock.MonotonicTime) -> bool:
        """Tell if neither the lease nor its requests can still run."""
        first_seen = self._first_seen_by_lease.get(lease)
        if first_seen is None:
            return False
        max_seconds = lease.lease_seconds + lease.request_seconds
        return now - first_seen > max_seconds * (1 + CLOCK_RATE_ALLOWANCE)


def _grant(
    others: list[Lease],
    own: Lease | None,
    holder: Holder,
    slot_request: SlotRequest,
) -> Lease | None:
    free = slot_request.limit - count_leased_slots(
        others, slot_request.endpoint
    )
    if free <= 0:
        return None
    max_request_seconds = max(
        slot_request.max_request_seconds, own.request_seconds if own else 0.0
    )
    return Lease(
        endpoint=slot_request.endpoint,
        holder=holder,
        slots=free,
        renewal=own.renewal + 1 if own else 1,
        lease_seconds=LEASE_SECONDS,
        request_seconds=max_request_seconds,
    )
