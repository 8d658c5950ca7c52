"""Lease slots of cold endpoints and detect when the endpoints are warm.

One task per fabric domain renews this router's leases there and polls the
engines.  It runs only while calls need cold endpoints of the domain.  While
the object API is down, leases expire but polling continues, since an engine
that reports ready is warm regardless of who holds the leases.
"""

import collections.abc
import dataclasses
import enum
import random
from typing import Final
import uuid

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale import decoding
from sycamoredale.engines import orders
from sycamoredale.engines import reports
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.routing import cold_slots
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import cold_start_record_store
from sycamoredale.routing import table

SCAN_INTERVAL_SECONDS: Final = 0.1
POLL_TIMEOUT_SECONDS: Final = 1.0
# Routers in the endpoint's own zone lease its slots first.
OTHER_ZONE_DELAY_SECONDS: Final = 5.0
# Limit on the domains that have a task at the same time.
MAX_DOMAINS: Final = 16
MAX_JITTER_SECONDS: Final = 0.1
LOG: Final = logs.get("routing.slot_leases")


class _LeaseState(enum.Enum):
    """Enumerate whether this router holds leases in a domain.

    UNKNOWN means that the object API did not answer.
    """

    SOME = "some"
    NONE = "none"
    UNKNOWN = "unknown"


RENEWAL_SECONDS_BY_LEASE_STATE: Final = {
    _LeaseState.SOME: cold_slots.LEASE_SECONDS / 3,
    _LeaseState.NONE: 1.0,
    _LeaseState.UNKNOWN: 1.0,
}
POLL_SECONDS_BY_LEASE_STATE: Final = {
    _LeaseState.SOME: 0.5,
    _LeaseState.NONE: 0.5,
    _LeaseState.UNKNOWN: 2.0,
}

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]


@dataclasses.dataclass
class SlotLeaseManager:
    """Run a task for each domain with cold endpoints in demand."""

    cold_limiter: cold_start_limiter.ColdStartLimiter
    store: objects.ObjectStore
    engine_reports: reports.EngineReportClient
    record_store: cold_start_record_store.ColdStartRecordStore
    configuration: CurrentConfiguration
    daemon: ids.DaemonId
    own_zone: ids.ZoneName
    _running_domains: set[ids.DomainName] = dataclasses.field(
        default_factory=set
    )

    def __post_init__(self) -> None:
        """Generate a holder name that is unique to this process."""
        self._holder = cold_slots.Holder(f"{self.daemon}/{uuid.uuid4().hex}")
        self._expiry_tracker = cold_slots.LeaseExpiryTracker()
        self._random = random.Random(self._holder)

    async def run(self) -> None:
        """Start tasks of domains until cancelled."""
        while True:
            await curio.sleep(SCAN_INTERVAL_SECONDS)
            for domain in self._domains_to_start(clock.monotonic()):
                if len(self._running_domains) >= MAX_DOMAINS:
                    break
                self._running_domains.add(domain)
                await curio.spawn(self._run_domain, domain, daemon=True)

    def _domains_to_start(
        self, now: clock.MonotonicTime
    ) -> set[ids.DomainName]:
        return {
            endpoint.domain
            for endpoint in self.cold_limiter.all_cold_endpoints_in_demand(now)
            if self._may_lease(endpoint, now)
        } - self._running_domains

    def _may_lease(
        self, endpoint: table.Endpoint, now: clock.MonotonicTime
    ) -> bool:
        if endpoint.zone == self.own_zone:
            return True
        since = self.cold_limiter.by_id[endpoint.id].record_since
        return now - since >= OTHER_ZONE_DELAY_SECONDS

    async def _run_domain(self, domain: ids.DomainName) -> None:
        try:
            await curio.sleep(self._random.uniform(0, MAX_JITTER_SECONDS))
            await self._run_while_in_demand(domain)
        finally:
            self._running_domains.discard(domain)

    async def _run_while_in_demand(self, domain: ids.DomainName) -> None:
        lease_state = _LeaseState.NONE
        renew_at = clock.MonotonicTime(0)
        while endpoints := self.cold_limiter.cold_endpoints_in_demand(
            domain, clock.monotonic()
        ):
            if clock.monotonic() >= renew_at:
                lease_state = await self._renew(domain)
                renew_at = clock.MonotonicTime(
                    clock.monotonic()
                    + RENEWAL_SECONDS_BY_LEASE_STATE[lease_state]
                )
            if lease_state is not _LeaseState.NONE:
                async with curio.TaskGroup() as group:
                    for endpoint in endpoints:
                        await group.spawn(self._poll_endpoint, endpoint)
            await curio.sleep(POLL_SECONDS_BY_LEASE_STATE[lease_state])
        await self._renew(domain)

    async def _renew(self, domain: ids.DomainName) -> "_LeaseState":
        try:
            stored = await self.store.get(cold_slots.KIND, domain)
        except errors.StoreUnavailable as error:
            LOG.warning("cold_slots_read_failed", reason=error.message)
            return _LeaseState.UNKNOWN
        now = clock.monotonic()
        current, version = _decode(domain, stored)
        self._expiry_tracker.observe(current, now)
        slot_requests = list(self._slot_requests(domain, now))
        leased = {x.endpoint for x in current.leases}
        idle = self.cold_limiter.idle_endpoints(leased, now) - {
            x.endpoint for x in slot_requests
        }
        planned = cold_slots.renew(
            current,
            self._holder,
            slot_requests,
            idle,
            lambda lease: self._expiry_tracker.has_expired(lease, now),
        )
        if planned.leases == current.leases:
            return _LeaseState.NONE
        self.cold_limiter.stop_using_slots(idle)
        return await self._write(planned, version)

    async def _write(
        self, planned: cold_slots.DomainSlots, version: ids.ObjectVersion
    ) -> "_LeaseState":
        planned_with_id = msgspec.structs.replace(
            planned, write_id=ids.WriteId(uuid.uuid4().hex)
        )
        before_write = clock.monotonic()
        try:
            await self.store.put(
                cold_slots.KIND,
                planned.domain,
                msgspec.json.encode(planned_with_id),
                version,
            )
        except errors.VersionConflict:
            return _LeaseState.NONE
        except errors.StoreUnavailable as error:
            LOG.warning("cold_slots_write_failed", reason=error.message)
            return _LeaseState.UNKNOWN
        except errors.OutcomeUnknown:
            if not await self._is_stored(planned_with_id):
                return _LeaseState.UNKNOWN
        own = [x for x in planned_with_id.leases if x.holder == self._holder]
        self.cold_limiter.apply_leases(own, before_write)
        return _LeaseState.SOME if own else _LeaseState.NONE

    async def _is_stored(
        self, planned_with_id: cold_slots.DomainSlots
    ) -> bool:
        try:
            stored = await self.store.get(
                cold_slots.KIND, planned_with_id.domain
            )
        except errors.StoreUnavailable:
            return False
        current, _ = _decode(planned_with_id.domain, stored)
        return current.write_id == planned_with_id.write_id

    def _slot_requests(
        self, domain: ids.DomainName, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[cold_slots.SlotRequest]:
        configuration = self.configuration()
        services = {s.name: s for s in configuration.services}
        max_request_seconds = configuration.limits.default_deadline_seconds
        for endpoint in self.cold_limiter.cold_endpoints_in_demand(
            domain, now
        ):
            service = services.get(endpoint.service)
            if service is not None:
                yield cold_slots.SlotRequest(
                    endpoint.id, service.cold_limit, max_request_seconds
                )

    async def _poll_endpoint(self, endpoint: table.Endpoint) -> None:
        kind = self._kind(endpoint)
        if kind is config_model.ServiceKind.MODEL:
            await self._poll_engines(endpoint)
        record = self.cold_limiter.warm_record(endpoint, kind)
        if record is not None:
            self.cold_limiter.apply_record(record, clock.monotonic())
            LOG.info("cold_start_ended", endpoint=endpoint.id)
            await self.record_store.publish(endpoint.domain, record)

    async def _poll_engines(self, endpoint: table.Endpoint) -> None:
        polled_at = clock.monotonic()
        running = 0
        is_ready = True
        try:
            async with curio.timeout_after(POLL_TIMEOUT_SECONDS):
                for address in endpoint.members:
                    state = await self.engine_reports.state(address)
                    running += state.running + state.waiting
                    if not _is_ready(endpoint, state):
                        is_ready = False
                        break
        except (curio.TaskTimeout, errors.SycamoredaleError):
            return
        self.cold_limiter.apply_report(endpoint, is_ready, running, polled_at)

    def _kind(self, endpoint: table.Endpoint) -> config_model.ServiceKind:
        for service in self.configuration().services:
            if service.name == endpoint.service:
                return service.kind
        return config_model.ServiceKind.PLAIN


def _is_ready(endpoint: table.Endpoint, state: orders.EngineState) -> bool:
    return (
        state.phase is orders.Phase.READY
        and state.epoch == endpoint.epoch
        and state.group == endpoint.group
    )


def _decode(
    domain: ids.DomainName, stored: objects.StoredObject | None
) -> tuple[cold_slots.DomainSlots, ids.ObjectVersion]:
    if stored is None:
        return cold_slots.DomainSlots(domain), objects.ABSENT_VERSION
    decoded = decoding.decode_json(stored.value, cold_slots.DomainSlots)
    return decoded, stored.version
