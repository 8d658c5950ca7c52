"""Choose the endpoint that runs a call.

Endpoints of the own zone go first; others join in before queues grow.  A
random part of them is compared, so that routers which have heard the same
report do not all choose the same endpoint.  Endpoints that hold the
prompt's prefix or the caller's session always take part.
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

SAMPLE_SIZE: Final = 8
SESSION_WEIGHT: Final = 0.5
COLD_SELECTION_INTERVAL: Final = 4

OnSelected = collections.abc.Callable[[call_module.Call], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Hold what all routers share and what only this one may use.

    Both are in requests at once; the latter are its cold start slots.
    """

    shared: float
    own: float


@dataclasses.dataclass
class EndpointSelector:
    """Choose among the endpoints of a routing table."""

    routing_table: table.RoutingTable
    own_zone: ids.ZoneName
    health: health_module.HealthTracker
    cold: cold_start_limiter.ColdStartLimiter
    sampler: random.Random = dataclasses.field(default_factory=random.Random)
    on_chosen: OnSelected = lambda call: None
    loads: load_estimator.LoadEstimator = dataclasses.field(
        default_factory=load_estimator.LoadEstimator
    )
    prefixes: prefix_index.PrefixIndex = dataclasses.field(
        default_factory=prefix_index.PrefixIndex
    )
    _choices: int = 0

    def __post_init__(self) -> None:
        """Follow the changes of the table."""
        self.health.on_cold_again = self.cold.cold_again
        self.routing_table.on_change.append(self._follow_table)

    def choose(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return the endpoint for the call, or None if there is none."""
        self.cold.demand(call.service.name, now)
        self._choices += 1
        blocks = _prompt_blocks(call)
        shares = self.prefixes.holders(blocks)
        chosen = self._choose_warming(call, excluded, now)
        if chosen is None:
            chosen = self._choose_scored(call, excluded, shares, now)
        if chosen is None:
            return None
        self.health.started(chosen.id, now)
        self.prefixes.stored(chosen.id, blocks)
        self.on_chosen(call)
        return chosen

    def has_room(
        self, call: call_module.Call, unplaced: int, now: clock.MonotonicTime
    ) -> bool:
        """Tell if endpoints could take the call and some others now."""
        self.cold.demand(call.service.name, now)
        for must_be_healthy in (True, False):
            room = 0
            for endpoint in self._usable(call, (), must_be_healthy, now):
                room += self._room(endpoint, call, now)
                if room > unplaced:
                    return True
            if room:
                return False
        return False

    def capacity(
        self, service: config_model.Service, now: clock.MonotonicTime
    ) -> Capacity:
        """Return how many requests the service can run at once."""
        shared = 0.0
        own = 0.0
        for endpoint in self.routing_table.candidates(service.name):
            if not self.health.may_take(endpoint.id, True, now):
                continue
            requests = self.cold.capacity(endpoint, service, now)
            if self.cold.is_cold(endpoint.id):
                own += requests
            else:
                shared += requests
        return Capacity(shared, own)

    def confirm(
        self, endpoint: table.Endpoint, now: clock.MonotonicTime
    ) -> None:
        """Raise SlotLost if a request may no longer leave."""
        if not self.cold.confirm(endpoint.id, now):
            raise errors.SlotLost(
                error_codes.COLD_SLOT_LOST,
                f"endpoint {endpoint.id} is in cold start and this router "
                "holds no slot of it any more",
            )

    def heard_load(
        self,
        endpoint: table.Endpoint,
        headers: messages.Headers,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from the load that an answer carries."""
        reported = reports.load_on_answer(headers)
        if reported is not None:
            self.loads.report(endpoint, reported, now)

    def finished(
        self,
        endpoint: table.Endpoint,
        outcome: health_module.Outcome,
        sent: bool,
        first_token_seconds: float | None,
        token_gap_seconds: float | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from the end of an exchange; `sent` if it may have run."""
        if self.loads.has_waiting(endpoint.id, now):
            # The time in the engine's queue says nothing of its speed.
            first_token_seconds = None
        self.health.observe(
            endpoint.id, outcome, first_token_seconds, token_gap_seconds, now
        )
        if outcome is health_module.Outcome.ANSWERED:
            self.cold.served_well(endpoint.id)
        elif sent:
            self.cold.abandoned(endpoint.id, now)

    def _choose_warming(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return a cold endpoint for some calls, so that it gets warm."""
        if self._choices % COLD_SELECTION_INTERVAL:
            return None
        for endpoint in self.cold.held_endpoints(call.service.name, now):
            if endpoint.id in excluded or not _has_requested_version(
                endpoint, call
            ):
                continue
            if not self.health.may_take(endpoint.id, call.idempotent, now):
                continue
            if self._room(endpoint, call, now) > 0:
                return endpoint
        return None

    def _choose_scored(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        session = self._session_endpoint(call)
        candidates = [
            self._candidate(endpoint, call, session, shares, now)
            for endpoint in self._sample(call, excluded, session, shares, now)
        ]
        own = [c for c in candidates if c.endpoint.zone == self.own_zone]
        considered = candidates if scoring.should_spill_over(own) else own
        picked = scoring.select(considered)
        if picked is None:
            picked = self._pick_any(call, excluded, shares, now)
        return picked.endpoint if picked is not None else None

    def _sample(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        session: table.Endpoint | None,
        shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> list[table.Endpoint]:
        by_zone = self.routing_table.by_zone(call.service.name)
        own = by_zone.get(self.own_zone, [])
        others = [
            e for z, x in by_zone.items() if z != self.own_zone for e in x
        ]
        sampled = {e.id: e for e in self._some(own) + self._some(others)}
        for endpoint_id in shares:
            known = self.routing_table.by_id.get(endpoint_id)
            if known is not None and known.service == call.service.name:
                sampled[endpoint_id] = known
        if session is not None:
            sampled[session.id] = session
        return [
            e
            for e in sampled.values()
            if e.id not in excluded and self._may_use(e, call, True, now)
        ]

    def _some(self, endpoints: list[table.Endpoint]) -> list[table.Endpoint]:
        count = min(SAMPLE_SIZE, (len(endpoints) + 3) // 2, len(endpoints))
        return self.sampler.sample(endpoints, count)

    def _pick_any(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> scoring.Candidate | None:
        healthy = list(self._usable(call, (), True, now))
        usable = healthy or list(self._usable(call, (), False, now))
        return scoring.select(
            [
                self._candidate(endpoint, call, None, shares, now)
                for endpoint in usable
                if endpoint.id not in excluded
            ]
        )

    def _candidate(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        session: table.Endpoint | None,
        shares: dict[ids.EndpointId, float],
        now: clock.MonotonicTime,
    ) -> scoring.Candidate:
        is_session = session is not None and session.id == endpoint.id
        cached = shares.get(endpoint.id, 0.0)
        return scoring.Candidate(
            endpoint,
            load=self.loads.estimate(endpoint, now),
            capacity=call.service.capacity,
            slowness=self.health.latencies.slowness(endpoint.id, now),
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
        # While all endpoints look unhealthy, trying one beats refusing.
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
        if must_be_healthy and not self.health.may_take(
            endpoint.id, call.idempotent, now
        ):
            return False
        return self._room(endpoint, call, now) > 0

    def _room(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        now: clock.MonotonicTime,
    ) -> int:
        return self.cold.room(
            endpoint, call.service, call.deadline_seconds, now
        )

    def _follow_table(self) -> None:
        endpoints = self.routing_table.by_id
        self.cold.follow_table(clock.monotonic())
        self.health.follow({e.id: e.service for e in endpoints.values()})
        self.loads.forget(set(endpoints))
        self.prefixes.forget(set(endpoints))


def _has_requested_version(
    endpoint: table.Endpoint, call: call_module.Call
) -> bool:
    return call.version is None or call.version == endpoint.version


def _prompt_blocks(call: call_module.Call) -> list[int]:
    if not call.is_model:
        return []
    return reports.prompt_blocks(call.upstream.body)
