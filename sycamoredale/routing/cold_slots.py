"""Lease the slots of endpoints in cold start to routers.

One object per fabric domain stores the leases of all slots there, and a
conditional update of it grants them.  The invariant is that the slots
leased on an endpoint never exceed its cold limit.  Slots of an expired
lease count until every request sent under the lease must have ended.

The expiry of a lease is measured by two clocks that are never compared with
each other.  The holder measures from before its write.  Other routers
measure from after the first read that returned the renewal, add the longest
time that a request may take, and allow for a difference in clock rates.
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
# Largest relative difference between the clock rates of two instances.
CLOCK_RATE_ALLOWANCE: Final = 0.05

Holder = typing.NewType("Holder", str)


class Lease(msgspec.Struct, frozen=True):
    """Grant slots of one endpoint to one router process.

    The holder's name is unique to one start of a process.  `renewal` is
    incremented by each renewal.  No request under the lease lasts longer
    than `request_seconds`.
    """

    endpoint: ids.EndpointId
    holder: Holder
    slots: int
    renewal: int
    lease_seconds: float
    request_seconds: float


class DomainSlots(msgspec.Struct, frozen=True):
    """Store the slot leases of one fabric domain."""

    domain: ids.DomainName
    leases: list[Lease] = []
    write_id: ids.WriteId = ids.WriteId("")


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request the free slots of an endpoint up to its cold limit."""

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

    The holder is granted the free slots of each endpoint that it requests,
    releases those of other endpoints in `idle_endpoints`, and keeps its
    remaining leases without renewal until they expire.  `has_expired`
    returns whether a lease and all requests under it have ended.
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
    """Return the number of leased slots of an endpoint."""
    return sum(x.slots for x in leases if x.endpoint == endpoint)


@dataclasses.dataclass
class LeaseExpiryTracker:
    """Determine by this instance's clock when leases have expired."""

    _first_seen_by_lease: dict[Lease, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def observe(self, slots: DomainSlots, now: clock.MonotonicTime) -> None:
        """Record the leases returned by a read that has ended at `now`."""
        seen = set(slots.leases)
        previous = self._first_seen_by_lease
        self._first_seen_by_lease = {x: previous.get(x, now) for x in seen}

    def has_expired(self, lease: Lease, now: clock.MonotonicTime) -> bool:
        """Return whether the lease and all requests under it have ended."""
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
