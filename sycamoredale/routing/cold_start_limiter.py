"""Bound what this router sends to endpoints in cold start.

An endpoint is cold from the time that it exists until its engines report
ready and it has served some requests well.  While it is cold, this router
sends only as many requests as it holds slots for, under a lease that is
checked again right before the first byte leaves.  A request that ended
without its whole answer may still run there, so it keeps its slot until a
later report of the engine shows that it does not, or for the longest time
that it may take.

After the cold start the allowed concurrency doubles at a fixed pace until
it reaches the capacity.  The same ramp follows the return of a zone.
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

DEMAND_WINDOW_SECONDS: Final = 2.0
MAX_PENDING_RECORDS: Final = 10_000


@dataclasses.dataclass
class ColdStartLimiter:
    """Hold the cold start of each endpoint by its id."""

    routing_table: table.RoutingTable
    routers: collections.abc.Callable[[], int] = lambda: 1
    by_id: dict[ids.EndpointId, cold_start_state.ColdStartState] = (
        dataclasses.field(default_factory=dict)
    )
    on_change: collections.abc.Callable[
        [cold_start_records.ColdStartRecord], None
    ] = lambda record: None
    _cold: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    _unplaced: dict[ids.EndpointId, cold_start_records.ColdStartRecord] = (
        dataclasses.field(default_factory=dict)
    )
    _called_at_by_service: dict[ids.ServiceName, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    _zones_out: set[ids.ZoneName] = dataclasses.field(default_factory=set)

    def follow_table(self, now: clock.MonotonicTime) -> None:
        """Know the endpoints of the table; start ramps of zones.

        A draining endpoint is cold by the time that it comes back.
        """
        ready = self.routing_table.by_id
        draining = self.routing_table.draining_by_id
        self.by_id = {
            id: self.by_id.get(id)
            or cold_start_state.ColdStartState(
                cold_start_records.ColdStartRecord(id), since=now
            )
            for id in (*ready, *draining)
        }
        self._cold = {id for id, x in self.by_id.items() if not x.warmth.warm}
        for id in [id for id in self._unplaced if id in self.by_id]:
            self.learn(self._unplaced.pop(id), now)
        for id in draining:
            self.cold_again(id, now)
        self._follow_zones(now)

    def is_cold(self, endpoint: ids.EndpointId) -> bool:
        """Tell if the endpoint is in cold start."""
        known = self.by_id.get(endpoint)
        return known is None or not known.warmth.warm

    def room(
        self,
        endpoint: table.Endpoint,
        service: config_model.Service,
        deadline_seconds: float,
        now: clock.MonotonicTime,
    ) -> int:
        """Return how many more requests this router may send there."""
        known = self.by_id.get(endpoint.id)
        if known is None:
            return 0
        if known.warmth.warm:
            return self._ramp(known, service, now) - endpoint.in_flight
        if not known.holds(now):
            return 0
        if deadline_seconds > known.request_seconds:
            return 0
        slots = min(known.slots, service.cold_limit)
        return slots - known.open_requests(endpoint.in_flight, now)

    def capacity(
        self,
        endpoint: table.Endpoint,
        service: config_model.Service,
        now: clock.MonotonicTime,
    ) -> float:
        """Return how many requests the endpoint can run at once."""
        known = self.by_id.get(endpoint.id)
        if known is None:
            return 0.0
        if known.warmth.warm:
            return min(known.ramped(service, now), service.capacity)
        return known.slots if known.holds(now) else 0.0

    def held_endpoints(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[table.Endpoint]:
        """Yield the cold endpoints of a service that have slots here."""
        for endpoint_id in self._cold:
            endpoint = self.routing_table.by_id.get(endpoint_id)
            if endpoint is None or endpoint.service != service:
                continue
            if endpoint.zone in self._zones_out:
                continue
            if self.by_id[endpoint_id].holds(now):
                yield endpoint

    def confirm(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> bool:
        """Tell if a chosen request may still leave for the endpoint."""
        known = self.by_id.get(endpoint)
        if known is None:
            return False
        return known.warmth.warm or known.holds(now)

    def demand(
        self, service: ids.ServiceName, now: clock.MonotonicTime
    ) -> None:
        """Note that a call of the service wants an endpoint."""
        self._called_at_by_service[service] = now

    def served_well(self, endpoint: ids.EndpointId) -> None:
        """Note a whole answer of the endpoint."""
        known = self.by_id.get(endpoint)
        if known is not None and not known.warmth.warm:
            known.served += 1

    def abandoned(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Keep the slot of a request that may still run there."""
        known = self.by_id.get(endpoint)
        if known is not None and not known.warmth.warm:
            known.abandon(now)

    def cold_again(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> None:
        """Note that this router saw a warm endpoint turn cold."""
        known = self.by_id.get(endpoint)
        if known is not None and known.warmth.warm:
            self.learn(cold_start_records.mark_cold(known.warmth), now)
            self.on_change(known.warmth)

    def learn(
        self,
        record: cold_start_records.ColdStartRecord,
        now: clock.MonotonicTime,
    ) -> None:
        """Take over a record, unless a newer one is known."""
        known = self.by_id.get(record.endpoint)
        if known is None:
            self._keep_unplaced(record)
            return
        holds = cold_start_records.newest(known.warmth, record)
        if holds == known.warmth:
            return
        known.take(holds, now)
        if holds.warm:
            self._cold.discard(record.endpoint)
        else:
            self._cold.add(record.endpoint)

    def reported(
        self,
        endpoint: table.Endpoint,
        is_ready: bool,
        running: int,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from a report of the engines of an endpoint."""
        known = self.by_id.get(endpoint.id)
        if known is None or known.warmth.warm:
            return
        known.reported(endpoint.in_flight, is_ready, running, now)

    def end_if_warm(
        self, endpoint: table.Endpoint, kind: config_model.ServiceKind
    ) -> cold_start_records.ColdStartRecord | None:
        """Return the record that ends the cold start, if it is over."""
        known = self.by_id.get(endpoint.id)
        if known is None or known.warmth.warm:
            return None
        if not known.has_ended(kind):
            return None
        return cold_start_records.ColdStartRecord(
            endpoint.id, known.warmth.round, True
        )

    def wanted(
        self, domain: ids.DomainName, now: clock.MonotonicTime
    ) -> list[table.Endpoint]:
        """Return the cold endpoints of a domain that calls could use."""
        return [e for e in self.wanted_endpoints(now) if e.domain == domain]

    def wanted_endpoints(
        self, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[table.Endpoint]:
        """Yield the cold endpoints of services called lately."""
        for endpoint_id in self._cold:
            endpoint = self.routing_table.find(endpoint_id)
            if endpoint is None:
                continue
            if self.by_id[endpoint_id].open_requests(endpoint.in_flight, now):
                yield endpoint
                continue
            if endpoint_id in self.routing_table.draining_by_id:
                continue
            if endpoint.zone in self._zones_out:
                continue
            called = self._called_at_by_service.get(
                endpoint.service, cold_start_state.NEVER
            )
            if now - called < DEMAND_WINDOW_SECONDS:
                yield endpoint

    def idle(
        self,
        endpoints: collections.abc.Iterable[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> set[ids.EndpointId]:
        """Return the known ones without a request of this router."""
        return {
            endpoint_id
            for endpoint_id in endpoints
            if (endpoint := self.routing_table.find(endpoint_id))
            and not self.by_id[endpoint_id].open_requests(
                endpoint.in_flight, now
            )
        }

    def lease(
        self,
        leases: collections.abc.Iterable[cold_slots.Lease],
        before_write: clock.MonotonicTime,
    ) -> None:
        """Take over own leases whose write is confirmed."""
        for lease in leases:
            known = self.by_id.get(lease.endpoint)
            if known is None:
                continue
            known.slots = lease.slots
            known.request_seconds = lease.request_seconds
            known.lease_until = clock.MonotonicTime(
                before_write + lease.lease_seconds
            )

    def give_up(
        self, endpoints: collections.abc.Iterable[ids.EndpointId]
    ) -> None:
        """Stop using slots, before a write may give them away."""
        for endpoint_id in endpoints:
            known = self.by_id.get(endpoint_id)
            if known is not None:
                known.lease_until = cold_start_state.NEVER

    def _follow_zones(self, now: clock.MonotonicTime) -> None:
        endpoints = self.routing_table.by_id.values()
        zones = {e.zone for e in endpoints}
        out = {z for z in zones if self.routing_table.is_zone_out(z)}
        returned = (self._zones_out - out) & zones
        self._zones_out = out
        for endpoint in endpoints:
            if endpoint.zone in returned:
                self.by_id[endpoint.id].ramp_from = now

    def _keep_unplaced(
        self, record: cold_start_records.ColdStartRecord
    ) -> None:
        known = self._unplaced.pop(record.endpoint, record)
        self._unplaced[record.endpoint] = cold_start_records.newest(
            known, record
        )
        if len(self._unplaced) > MAX_PENDING_RECORDS:
            del self._unplaced[next(iter(self._unplaced))]

    def _ramp(
        self,
        known: cold_start_state.ColdStartState,
        service: config_model.Service,
        now: clock.MonotonicTime,
    ) -> int:
        total = known.ramped(service, now)
        if total >= service.capacity:
            return service.capacity
        return max(1, math.ceil(total / max(1, self.routers())))
