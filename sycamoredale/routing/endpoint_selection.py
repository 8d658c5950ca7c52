"""Select the endpoint that runs a call.

Endpoints in the router's own zone are preferred; calls spill over to other
zones once the local endpoints are nearly full.  Only a random sample of the
endpoints is scored, so that routers with the same load report do not all
select the same endpoint.  Endpoints that cache a prefix of the prompt, and
the endpoint of the caller's session, are always added to the sample.
"""

import collections.abc
import dataclasses
import random
from typing import Final

import xxhash

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import reports
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import cold_start_limiter
from sycamoredale.routing import health as health_module
from sycamoredale.routing import load_estimator
from sycamoredale.routing import prefix_index
from sycamoredale.routing import scoring
from sycamoredale.routing import table

# Largest sample of the own zone, and of all other zones together.
SAMPLE_SIZE: Final = 8
# The endpoint of a session scores as if it cached this share of the prompt.
SESSION_WEIGHT: Final = 0.5
# One in this many selections tries the endpoints in cold start first.
COLD_SELECTION_INTERVAL: Final = 4

OnSelected = collections.abc.Callable[[call_module.Call], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Describe how many requests can run concurrently on a service.

    All routers together share `shared`.  `cold_slots` are the cold start
    slots leased by this router, which no other router can use.
    """

    shared: float
    cold_slots: float


@dataclasses.dataclass
class EndpointSelector:
    """Select endpoints from a routing table."""

    routing_table: table.RoutingTable
    own_zone: ids.ZoneName
    health: health_module.HealthTracker
    cold_limiter: cold_start_limiter.ColdStartLimiter
    sampler: random.Random = dataclasses.field(default_factory=random.Random)
    on_selected: OnSelected = lambda call: None
    load_estimates: load_estimator.LoadEstimator = dataclasses.field(
        default_factory=load_estimator.LoadEstimator
    )
    cached_prefixes: prefix_index.PrefixIndex = dataclasses.field(
        default_factory=prefix_index.PrefixIndex
    )
    _selections: int = 0

    def __post_init__(self) -> None:
        """Subscribe to changes of the table and to cold restarts."""
        self.health.on_turned_cold = self.cold_limiter.mark_cold
        self.routing_table.on_change.append(self._sync_with_table)

    def select(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return the endpoint for the call, or None if none can take it."""
        self.cold_limiter.record_demand(call.service.name, now)
        self._selections += 1
        blocks = _prompt_blocks(call)
        cached_shares = self.cached_prefixes.cached_shares(blocks)
        selected = self._select_cold(call, excluded, now)
        if selected is None:
            selected = self._select_by_score(
                call, excluded, cached_shares, now
            )
        if selected is None:
            return None
        self.health.record_start(selected.id, now)
        self.cached_prefixes.record_blocks(selected.id, blocks)
        self.on_selected(call)
        return selected

    def has_free_capacity(
        self,
        call: call_module.Call,
        awaiting_endpoint: int,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether the call could run now.

        `awaiting_endpoint` calls that were admitted before it and have no
        endpoint yet are counted as taking capacity.
        """
        self.cold_limiter.record_demand(call.service.name, now)
        for must_be_healthy in (True, False):
            free = 0
            for endpoint in self._usable(call, (), must_be_healthy, now):
                free += self._free_capacity(endpoint, call, now)
                if free > awaiting_endpoint:
                    return True
            if free:
                return False
        return False

    def capacity(
        self, service: config_model.Service, now: clock.MonotonicTime
    ) -> Capacity:
        """Return how many requests the service can run concurrently."""
        shared = 0.0
        cold_slots = 0.0
        for endpoint in self.routing_table.candidates(service.name):
            if not self.health.allows_request(endpoint.id, True, now):
                continue
            requests = self.cold_limiter.capacity(endpoint, service, now)
            if self.cold_limiter.is_cold(endpoint.id):
                cold_slots += requests
            else:
                shared += requests
        return Capacity(shared, cold_slots)

    def check_may_send(
        self, endpoint: table.Endpoint, now: clock.MonotonicTime
    ) -> None:
        """Raise if a request may no longer be sent to a selected endpoint.

        That is EndpointRefused if the endpoint takes no new requests, and
        ColdSlotLost if this router has no slot on it.
        """
        if not self.routing_table.takes_requests(endpoint.id):
            raise errors.EndpointRefused(
                f"endpoint {endpoint.id} takes no new requests"
            )
        if not self.cold_limiter.may_send(endpoint.id, now):
            raise errors.ColdSlotLost(
                error_codes.COLD_SLOT_LOST,
                f"endpoint {endpoint.id} is in cold start and this router "
                "no longer leases a slot on it",
            )

    def record_load(
        self,
        endpoint: table.Endpoint,
        headers: messages.Headers,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply the load report in the headers of an answer, if any."""
        reported = reports.load_from_headers(headers)
        if reported is not None:
            self.load_estimates.apply_report(endpoint, reported, now)

    def record_end(
        self,
        endpoint: table.Endpoint,
        outcome: health_module.Outcome,
        may_have_run: bool,
        first_token_seconds: float | None,
        token_gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Record the end of an exchange with an endpoint.

        `may_have_run` is whether the request may have reached the engine,
        which then may still be running it.
        """
        if self.load_estimates.has_waiting(endpoint.id, now):
            # Time spent in the engine's queue does not measure its speed.
            first_token_seconds = None
        self.health.record_outcome(
            endpoint.id, outcome, first_token_seconds, token_gap_seconds, now
        )
        if outcome is health_module.Outcome.ANSWERED:
            self.cold_limiter.record_complete_answer(endpoint.id)
        elif may_have_run:
            self.cold_limiter.record_abandoned(endpoint.id, now)

    def _select_cold(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return an endpoint in cold start for one in a few selections.

        Without these requests a cold endpoint would never become warm
        while warm endpoints score better.
        """
        if self._selections % COLD_SELECTION_INTERVAL:
            return None
        for endpoint in self.cold_limiter.usable_cold_endpoints(
            call.service.name, now
        ):
            if endpoint.id in excluded or not _has_requested_version(
                endpoint, call
            ):
                continue
            if not self.health.allows_request(
                endpoint.id, call.idempotent, now
            ):
                continue
            if self._free_capacity(endpoint, call, now) > 0:
                return endpoint
        return None

    def _select_by_score(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        cached_shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        session = self._session_endpoint(call)
        candidates = [
            self._candidate(endpoint, call, session, cached_shares, now)
            for endpoint in self._sample_candidates(
                call, excluded, session, cached_shares, now
            )
        ]
        local = [c for c in candidates if c.endpoint.zone == self.own_zone]
        considered = candidates if scoring.should_spill_over(local) else local
        selected = scoring.select(considered)
        if selected is None:
            selected = self._select_from_all(
                call, excluded, cached_shares, now
            )
        return selected.endpoint if selected is not None else None

    def _sample_candidates(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        session: table.Endpoint | None,
        cached_shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> list[table.Endpoint]:
        by_zone = self.routing_table.by_zone(call.service.name)
        local = by_zone.get(self.own_zone, [])
        remote = [
            e for z, x in by_zone.items() if z != self.own_zone for e in x
        ]
        sampled = {
            e.id: e
            for e in self._random_sample(local) + self._random_sample(remote)
        }
        for endpoint_id in cached_shares:
            endpoint = self.routing_table.by_id.get(endpoint_id)
            if endpoint is not None and endpoint.service == call.service.name:
                sampled[endpoint_id] = endpoint
        if session is not None:
            sampled[session.id] = session
        return [
            e
            for e in sampled.values()
            if e.id not in excluded and self._may_use(e, call, True, now)
        ]

    def _random_sample(
        self, endpoints: list[table.Endpoint]
    ) -> list[table.Endpoint]:
        count = min(SAMPLE_SIZE, (len(endpoints) + 3) // 2, len(endpoints))
        return self.sampler.sample(endpoints, count)

    def _select_from_all(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        cached_shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> scoring.Candidate | None:
        healthy = list(self._usable(call, (), True, now))
        # If all endpoints look unhealthy, one is tried rather than refusing.
        usable = healthy or list(self._usable(call, (), False, now))
        return scoring.select(
            [
                self._candidate(endpoint, call, None, cached_shares, now)
                for endpoint in usable
                if endpoint.id not in excluded
            ]
        )

    def _candidate(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        session: table.Endpoint | None,
        cached_shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> scoring.Candidate:
        is_session = session is not None and session.id == endpoint.id
        cached = cached_shares.get(endpoint.id, 0.0)
        return scoring.Candidate(
            endpoint,
            load=self.load_estimates.estimate(endpoint, now),
            capacity=call.service.capacity,
            slowdown=self.health.latencies.slowdown(endpoint.id, now),
            cached=max(cached, SESSION_WEIGHT if is_session else 0.0),
        )

    def _session_endpoint(
        self, call: call_module.Call
    ) -> table.Endpoint | None:
        """Return the session's endpoint by rendezvous hashing."""
        if call.session is None:
            return None
        by_zone = self.routing_table.by_zone(call.service.name)
        session = f"{call.organisation}/{call.session}"
        return max(
            by_zone.get(self.own_zone, []),
            key=lambda e: xxhash.xxh3_64_intdigest(
                f"{session}/{e.id}".encode()
            ),
            default=None,
        )

    def _usable(
        self,
        call: call_module.Call,
        excluded: collections.abc.Container[ids.EndpointId],
        must_be_healthy: bool,
        now: clock.MonotonicTime,
    ) -> collections.abc.Iterator[table.Endpoint]:
        for endpoint in self.routing_table.candidates(call.service.name):
            if endpoint.id in excluded:
                continue
            if self._may_use(endpoint, call, must_be_healthy, now):
                yield endpoint

    def _may_use(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        must_be_healthy: bool,
        now: clock.MonotonicTime,
    ) -> bool:
        if not _has_requested_version(endpoint, call):
            return False
        if must_be_healthy and not self.health.allows_request(
            endpoint.id, call.idempotent, now
        ):
            return False
        return self._free_capacity(endpoint, call, now) > 0

    def _free_capacity(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        now: clock.MonotonicTime,
    ) -> int:
        return self.cold_limiter.free_capacity(
            endpoint, call.service, call.deadline_seconds, now
        )

    def _sync_with_table(self) -> None:
        endpoints = self.routing_table.by_id
        self.cold_limiter.sync_with_table(clock.monotonic())
        self.health.set_endpoints(
            {e.id: e.service for e in endpoints.values()}
        )
        self.load_estimates.retain(set(endpoints))
        self.cached_prefixes.retain(set(endpoints))


def _has_requested_version(
    endpoint: table.Endpoint, call: call_module.Call
) -> bool:
    return call.version is None or call.version == endpoint.version


def _prompt_blocks(call: call_module.Call) -> list[int]:
    if not call.is_model:
        return []
    return reports.hash_prompt_blocks(call.upstream.body)
