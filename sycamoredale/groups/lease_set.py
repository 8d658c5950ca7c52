"""Distribute the fabric domains over controllers by leases.

Domains are hashed to a fixed number of shards with one lease each.  A
single read lists all leases, so the cost of waiting for them does not grow
with their number.  A controller acquires one free lease at a time, so that
several waiting controllers share the free leases.
"""

import collections.abc
import dataclasses
from typing import Final

import xxhash

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

SHARDS: Final = 64
POLL_SECONDS: Final = leases.LEASE_SECONDS / 2
LOG: Final = logs.get("groups.leases")


@dataclasses.dataclass
class LeaseSet:
    """Renew and acquire the leases of all shards."""

    store: objects.ObjectStore
    owner: ids.DaemonId
    by_name: dict[str, leases.Lease] = dataclasses.field(default_factory=dict)
    _polled_at: clock.MonotonicTime | None = None
    _more_free: bool = False

    def lease_of(self, domain: ids.DomainName) -> leases.Lease:
        """Return the lease that covers a domain."""
        name = shard_name(domain)
        if name not in self.by_name:
            self.by_name[name] = leases.Lease(self.store, name, self.owner)
        return self.by_name[name]

    async def renew_or_acquire(
        self,
        domains: collections.abc.Iterable[ids.DomainName],
        now: clock.MonotonicTime,
    ) -> None:
        """Renew the held leases and acquire one free lease of the domains."""
        wanted = {shard_name(d): self.lease_of(d) for d in domains}
        for lease in self.by_name.values():
            if lease.term is not None:
                await _renew(lease)
        if self._more_free or self._is_poll_due(now):
            await self._poll(wanted, now)

    async def release(self) -> None:
        """Release all leases."""
        for lease in self.by_name.values():
            try:
                await lease.release()
            except errors.StoreUnavailable as error:
                LOG.warning("lease_release_failed", reason=error.message)

    def _is_poll_due(self, now: clock.MonotonicTime) -> bool:
        polled_at = self._polled_at
        return polled_at is None or now >= polled_at + POLL_SECONDS

    async def _poll(
        self, wanted: dict[str, leases.Lease], now: clock.MonotonicTime
    ) -> None:
        self._polled_at = now
        missing = {n: x for n, x in wanted.items() if x.term is None}
        if not missing:
            self._more_free = False
            return
        listing = await self.store.list(leases.LEASE_KIND)
        arrived = clock.monotonic()
        stored_by_name = {stored.name: stored for stored in listing.objects}
        for name, lease in missing.items():
            lease.observe(stored_by_name.get(name), arrived)
        free = [x for x in missing.values() if x.can_acquire(arrived)]
        self._more_free = len(free) > 1
        if free:
            lease = self._choose(free)
            if await _renew(lease):
                LOG.info("lease_acquired", lease=lease.name)

    def _choose(self, free: list[leases.Lease]) -> leases.Lease:
        """Return a free lease, chosen by a hash of its name and the owner.

        Controllers thus rarely compete for the same lease.
        """
        return max(free, key=lambda x: _digest(f"{x.name} {self.owner}"))


def shard_name(domain: ids.DomainName) -> str:
    """Return the name of the lease that covers a domain."""
    return f"groups-{_digest(domain) % SHARDS}"


async def _renew(lease: leases.Lease) -> bool:
    before = lease.term
    held = False
    try:
        held = await lease.renew_or_acquire()
    except errors.StoreUnavailable as error:
        LOG.warning(
            "lease_renewal_failed", lease=lease.name, reason=error.message
        )
    if before is not None and lease.term is None:
        LOG.warning("lease_lost", lease=lease.name)
    return held


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
