"""Limit the requests that this router sends to endpoints in cold start.

An endpoint is cold from its creation until its engines report ready and it
has answered some requests completely.  While it is cold, this router sends
only as many concurrent requests as it leases slots; the lease is checked
again right before the first byte is sent.  A request that ended without a
complete answer may still be running on the engine, so it occupies its slot
until a later engine report shows that it has ended, or for the longest time
that a request may take.

After the cold start the allowed concurrency doubles at a fixed interval
until it reaches the capacity (slow start).  The same ramp applies when a
zone returns to service.
"""

import collections.abc
import dataclasses
import math
from typing import Final

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale import ids
from sycamoredale.routing import cold_slots
from sycamoredale.routing import cold_start_records
from sycamoredale.routing import cold_start_state
from sycamoredale.routing import table

# A service is in demand for this long after a call to it.
DEMAND_WINDOW_SECONDS: Final = 2.0
# Records of endpoints that are not in the routing table yet.
MAX_PENDING_RECORDS: Final = 10_000


@dataclasses.dataclass
class ColdStartLimiter:
    """Limit concurrency on each endpoint by its cold start state."""

    routing_table: table.RoutingTable
    count_routers: collections.abc.Callable[[], int] = lambda: 1
    by_id: dict[ids.EndpointId, cold_start_state.ColdStartState] = (
        dataclasses.field(default_factory=dict)
    )
    on_turned_cold: collections.abc.Callable[
        [cold_start_records.ColdStartRecord], None
    ] = lambda record: None
    _cold_ids: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    _pending_records: dict[
        ids.EndpointId, cold_start_records.ColdStartRecord
    ] = dataclasses.field(default_factory=dict)
    _called_at_by_service: dict[ids.ServiceName, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _zones_out: set[ids.ZoneName] = dataclasses.field(default_factory=set)

    def sync_with_table(self, now: clock.MonotonicTime) -> None:
        """Track the endpoints of the table; start ramps of returned zones.

        A draining endpoint is marked as cold, since it starts cold when it
        returns to service.
        """
        ready = self.routing_table.by_id
        draining = self.routing_table.draining_by_id
        self.by_id = {
            id: self.by_id.get(id)
            or cold_start_state.ColdStartState(
                cold_start_records.ColdStartRecord(id), record_since=now
            )
            for id in (*ready, *draining)
        }
        self._cold_ids = {
            id for id, x in self.by_id.items() if not x.record.warm
        }
        for id in [id for id in self._pending_records if id in self.by_id]:
            self.apply_record(self._pending_records.pop(id), now)
        for id in draining:
            self.mark_cold(id, now)
        self._start_zone_ramps(now)

    def is_cold(self, endpoint: ids.EndpointId) -> bool:
        """Return whether the endpoint is in cold start."""
        state = self.by_id.get(endpoint)
        return state is None or not state.record.warm

    def free_capacity(
        self,
        endpoint: table.Endpoint,
        service: config_model.Service,
        deadline_seconds: float,
        now: clock.MonotonicTime,
    ) -> int:
        """Return how many more requests this router may send there.

        A cold endpoint takes none without usable slots, or if the call's
        deadline exceeds the longest request that the lease allows.
        """
        state = self.by_id.get(endpoint.id)
        if state is None:
            return 0
        if state.record.warm:
            return self._ramped_share(state, service, now) - endpoint.in_flight
        if not state.may_use_slots(now):
            return 0
        if deadline_seconds > state.max_request_seconds:
            return 0
        slots = min(state.slots, service.cold_limit)
        return slots - state.count_open_requests(endpoint.in_flight, now)

    def capacity(
        self,
        endpoint: table.Endpoint,
        service: config_model.Service,
        now: clock.MonotonicTime,
    ) -> float:
        """Return how many requests the endpoint can run concurrently.

        For a cold endpoint these are the slots leased by this router.
        """
        state = self.by_id.get(endpoint.id)
        if state is None:
            return 0.0
        if state.record.warm:
            return min(state.ramped_capacity(service, now), service.capacity)
        return state.slots if state.may_use_slots(now) else 0.0

    def usable_cold_endpoints(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[table.Endpoint]:
        """Yield a service's cold endpoints with slots of this router."""
        for endpoint_id in self._cold_ids:
            endpoint = self.routing_table.by_id.get(endpoint_id)
            if endpoint is None or endpoint.service != service:
                continue
            if endpoint.zone in self._zones_out:
                continue
            if self.by_id[endpoint_id].may_use_slots(now):
                yield endpoint

    def may_send(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a request may still be sent to the endpoint.

        The lease may have expired since the endpoint was selected.
        """
        state = self.by_id.get(endpoint)
        if state is None:
            return False
        return state.record.warm or state.may_use_slots(now)

    def record_demand(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> None:
        """Record that a call needs an endpoint of the service."""
        self._called_at_by_service[service] = now

    def record_complete_answer(self, endpoint: ids.EndpointId) -> None:
        """Count a complete answer towards the end of the cold start."""
        state = self.by_id.get(endpoint)
        if state is not None and not state.record.warm:
            state.complete_answers += 1

    def record_abandoned(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Keep occupying the slot of a request that may still run there."""
        state = self.by_id.get(endpoint)
        if state is not None and not state.record.warm:
            state.add_abandoned(now)

    def mark_cold(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Mark a warm endpoint as cold, as observed by this router."""
        state = self.by_id.get(endpoint)
        if state is not None and state.record.warm:
            self.apply_record(cold_start_records.mark_cold(state.record), now)
            self.on_turned_cold(state.record)

    def apply_record(
        self,
        record: cold_start_records.ColdStartRecord,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply a record unless a newer one has been applied.

        A record of an unknown endpoint is kept until the table contains
        the endpoint.
        """
        state = self.by_id.get(record.endpoint)
        if state is None:
            self._keep_pending(record)
            return
        newest = cold_start_records.newest(state.record, record)
        if newest == state.record:
            return
        state.replace_record(newest, now)
        if newest.warm:
            self._cold_ids.discard(record.endpoint)
        else:
            self._cold_ids.add(record.endpoint)

    def apply_report(
        self,
        endpoint: table.Endpoint,
        is_ready: bool,
        running: int,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply a report of the engines of a cold endpoint.

        `running` counts the requests running or queued on the engines;
        `now` is when they were asked.
        """
        state = self.by_id.get(endpoint.id)
        if state is None or state.record.warm:
            return
        state.apply_report(endpoint.in_flight, is_ready, running, now)

    def warm_record(
        self, endpoint: table.Endpoint, kind: config_model.ServiceKind
    ) -> cold_start_records.ColdStartRecord | None:
        """Return the record that ends the cold start, None before its end."""
        state = self.by_id.get(endpoint.id)
        if state is None or state.record.warm:
            return None
        if not state.has_ended(kind):
            return None
        return cold_start_records.ColdStartRecord(
            endpoint.id, state.record.round, True
        )

    def cold_endpoints_in_demand(
        self, domain: ids.DomainName, now: clock.MonotonicTime
    ) -> list[table.Endpoint]:
        """Return the cold endpoints in demand in one fabric domain."""
        return [
            e
            for e in self.all_cold_endpoints_in_demand(now)
            if e.domain == domain
        ]

    def all_cold_endpoints_in_demand(
        self, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[table.Endpoint]:
        """Yield the cold endpoints that need slots or polls.

        These are the endpoints with open requests of this router, and
        those of recently called services that can take new requests.
        """
        for endpoint_id in self._cold_ids:
            endpoint = self.routing_table.find(endpoint_id)
            if endpoint is None:
                continue
            if self.by_id[endpoint_id].count_open_requests(
                endpoint.in_flight, now
            ):
                yield endpoint
                continue
            if endpoint_id in self.routing_table.draining_by_id:
                continue
            if endpoint.zone in self._zones_out:
                continue
            called_at = self._called_at_by_service.get(
                endpoint.service, cold_start_state.NEVER
            )
            if now - called_at < DEMAND_WINDOW_SECONDS:
                yield endpoint

    def idle_endpoints(
        self,
        endpoints: collections.abc.Iterable[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> set[ids.EndpointId]:
        """Return the endpoints on which this router has no open requests.

        Endpoints that are not in the routing table are left out.
        """
        return {
            endpoint_id
            for endpoint_id in endpoints
            if (endpoint := self.routing_table.find(endpoint_id))
            and not self.by_id[endpoint_id].count_open_requests(
                endpoint.in_flight, now
            )
        }

    def apply_leases(
        self,
        leases: collections.abc.Iterable[cold_slots.Lease],
        before_write: clock.MonotonicTime,
    ) -> None:
        """Apply leases of this router whose write is confirmed.

        Their expiry is counted from before the write.
        """
        for lease in leases:
            state = self.by_id.get(lease.endpoint)
            if state is None:
                continue
            state.slots = lease.slots
            state.max_request_seconds = lease.request_seconds
            state.lease_expires_at = clock.MonotonicTime(
                before_write + lease.lease_seconds
            )

    def stop_using_slots(
        self, endpoints: collections.abc.Iterable[ids.EndpointId]
    ) -> None:
        """Stop using slots before a write that releases them."""
        for endpoint_id in endpoints:
            state = self.by_id.get(endpoint_id)
            if state is not None:
                state.lease_expires_at = cold_start_state.NEVER

    def _start_zone_ramps(self, now: clock.MonotonicTime) -> None:
        endpoints = self.routing_table.by_id.values()
        zones = {e.zone for e in endpoints}
        out = {z for z in zones if self.routing_table.is_zone_out(z)}
        returned = (self._zones_out - out) & zones
        self._zones_out = out
        for endpoint in endpoints:
            if endpoint.zone in returned:
                self.by_id[endpoint.id].ramp_started_at = now

    def _keep_pending(
        self, record: cold_start_records.ColdStartRecord
    ) -> None:
        pending = self._pending_records.pop(record.endpoint, record)
        self._pending_records[record.endpoint] = cold_start_records.newest(
            pending, record
        )
        if len(self._pending_records) > MAX_PENDING_RECORDS:
            del self._pending_records[next(iter(self._pending_records))]

    def _ramped_share(
        self,
        state: cold_start_state.ColdStartState,
        service: config_model.Service,
        now: clock.MonotonicTime,
    ) -> int:
        total = state.ramped_capacity(service, now)
        if total >= service.capacity:
            return service.capacity
        return max(1, math.ceil(total / max(1, self.count_routers())))
