"""Select the endpoint of a call, or refuse the call at once.

Selection samples two endpoints and takes the less loaded one, as in "power of
two choices"; all endpoints are compared only if that one is full or would
be late.  Where calls have levels of urgency, the less urgent ones are refused
at lower loads; see `sycamoredale.scheduling.urgency`.  In a large fleet the
endpoints of an engine are sampled from subsets; see
`sycamoredale.scheduling.endpoint_subsets` and `.locality`.
"""

import collections
import collections.abc
import copy
import dataclasses
import enum
import random
import statistics
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import cold_quota
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import queue_priority
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs
from sycamoredale.scheduling import minimum_share
from sycamoredale.scheduling import pace
from sycamoredale.scheduling import return_time
from sycamoredale.scheduling import urgency as urgency_module
from sycamoredale.scheduling import work

# Cost of the network path to another zone, in queued requests.
OTHER_ZONE_LOAD_PENALTY: Final = 0.5
# A cross-domain group takes three times as long for each token, so it is used
# once the other groups are half full.
CROSS_DOMAIN_BASE_COST: Final = 0.5
CROSS_DOMAIN_COST_FACTOR: Final = 1.5
# A deferred request delays others only after it has started to run.
DEFERRED_LOAD_WEIGHT: Final = 0.3
# Two samples gain nearly as much as more would.  The staler the loads are, the
# more a larger sample concentrates the requests of all daemons on one endpoint
# (`tests/test_stale_loads.py`).
SAMPLED_ENDPOINTS: Final = 2
# A late call leaves the endpoints near by for one that is less loaded by this.
# The loads of two endpoints differ by about as much by chance.
MIN_LOAD_GAIN: Final = 0.2
# Largest random addition to a cost, smaller than the cost of one request on an
# engine.
COST_JITTER: Final = 0.05
# Above this load a request waits beyond its latency objective.
MAX_LOAD_PER_SLOT: Final = 1.5
# A half-open endpoint may still be stalled.  One request at a time, over all
# daemons, is enough to find out.
HALF_OPEN_MAX_LOAD: Final = 1.0
# Daemons hear of a trial call elsewhere after some tenths of a second.  If any
# call could be one, an idle slow endpoint would get several by then.
SLOW_TRIAL_SHARE: Final = 0.25
# An instance without an engine is full with this many requests per slot.
PLAIN_MAX_LOAD_PER_SLOT: Final = 4.0
# Forming a group from instances with staged weights takes about this long.
NO_ENDPOINT_RETRY_SECONDS: Final = 2.0
# A lost group is replaced within about two seconds; callers wait at most a
# third of their remaining time.
FULL_RETRY_SECONDS: Final = 1.5
# Loads of peers change five times a second.
LEAVING_INTERVAL_SECONDS: Final = 0.1
LOG: Final = logs.get("endpoint_selection")


class Exclusion(enum.Enum):
    """Classify what keeps an endpoint from being a candidate.

    RECOVERY_PROBE: it was suspected or is slow, and a single request tests it.
    MEMORY: the call does not fit in what is free.
    """

    COLD_QUOTA = "cold_quota"
    ANNOUNCED_LIMIT = "announced_limit"
    SUSPECT = "suspect"
    RECOVERY_PROBE = "recovery_probe"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """Describe an endpoint as a selection sees it."""

    endpoint: endpoints.Endpoint
    load_per_slot: float
    is_in_time: bool
    is_full: bool
    exclusions: tuple[Exclusion, ...]


@dataclasses.dataclass
class EndpointSelector:
    """Select among the known endpoints of a service and model."""

    endpoint_table: endpoints.EndpointTable
    instances: instance_table.InstanceTable
    own_zone: ids.ZoneName
    quota: cold_quota.ColdQuota
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    subsets: daemon_subsets.DaemonSubsets | None = None
    _window_by_service: dict[ids.ServiceName, minimum_share.Window] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(
                minimum_share.Window
            )
        )
    )

    def select(
        self,
        call: calls.Call,
        excluded: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
        allow_full: bool = False,
    ) -> endpoints.Endpoint:
        """Return the endpoint for a call; raise Refusal if none has capacity.

        With `allow_full`, an overloaded or suspect endpoint is returned
        rather than none.
        """
        if call.urgency is None or allow_full:
            return self._select(call, excluded, now, allow_full)
        urgency = call.urgency
        window = self._window_by_service[call.service.name]
        arrival = window.record(urgency.level, call.organisation, now)
        if window.is_dominant(call.organisation) and self._is_overloaded(
            call, now
        ):
            urgency.demote()
        try:
            endpoint = self._select(call, excluded, now, False)
        except errors.Refusal as refusal:
            if refusal.code is not error_codes.OVERLOADED or (
                not window.has_claim(arrival, self.rng)
            ):
                self._count_refusal(urgency)
                raise
            endpoint = self._select_as_most_urgent(
                call, urgency, excluded, now
            )
        window.admit(arrival)
        return endpoint

    def _select_as_most_urgent(
        self,
        call: calls.Call,
        urgency: urgency_module.Urgency,
        excluded: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
    ) -> endpoints.Endpoint:
        """Return the endpoint for a call of the minimum share."""
        before = urgency.in_force
        urgency.in_force = urgency_module.MOST_URGENT
        try:
            return self._select(call, excluded, now, False)
        except errors.Refusal:
            urgency.in_force = before
            self._count_refusal(urgency)
            raise

    def _count_refusal(self, urgency: urgency_module.Urgency) -> None:
        self.metrics.count("refusals_by_level", str(urgency.level))

    def _is_overloaded(
        self, call: calls.Call, now: clock.MonotonicTime
    ) -> bool:
        """Return whether no endpoint has room for the least urgent calls."""
        limit = urgency_module.LOAD_LIMITS[urgency_module.LEAST_URGENT]
        known = self.endpoint_table.for_model(
            call.service.name, _model_name(call)
        )
        return all(
            e.load(now) >= limit * e.slots
            for e in known
            if not e.is_suspect(now)
        )

    def _select(
        self,
        call: calls.Call,
        excluded: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
        allow_full: bool,
    ) -> endpoints.Endpoint:
        known = self.endpoint_table.for_model(
            call.service.name, _model_name(call)
        )
        usable = [
            e
            for e in known
            if e.id not in excluded
            and self._has_cold_quota(e, call.service, now)
        ]
        held_back = self._held_back(usable, now)
        if held_back:
            usable = [e for e in usable if e not in held_back]
        trusted = [e for e in usable if not e.is_suspect(now)]
        candidates = [
            e
            for e in trusted
            if not _has_recovery_probe(e, now) and self._may_try(e)
        ] or trusted
        if not candidates and allow_full:
            candidates = usable
        if not candidates:
            if held_back:
                raise _limited_refusal(call, held_back, now)
            raise _no_endpoint_refusal(call, len(known))
        # What another endpoint has failed may have been lost with its zone, so
        # that those near by may fail it as well.
        subsets = None if excluded else self.subsets_for(call, known, now)
        sampled = self._sample(call, subsets, candidates, now)
        is_full = _is_full(sampled, call, now)
        if (
            not is_full
            and self._meets_objective(call, sampled, now)
            and _starts_before_deadline(call, sampled, now)
        ):
            return sampled
        # Slow endpoints get more than trial calls if all others are full, or
        # have no memory for the call.
        slow = [
            e for e in trusted if e.pace.is_slow and not e.pace.is_untested
        ]
        slow = _with_memory(call, slow, now)
        candidates = _with_memory(call, candidates, now) or slow
        if not candidates:
            raise self._overloaded_refusal(call, [sampled], now)
        best = self._best(call, subsets, candidates, now)
        if _is_full(best, call, now):
            best = min([best, *slow], key=lambda e: self._cost(e, now))
        if allow_full or self._would_serve(call, best, now):
            return best
        others = [
            e
            for e in candidates
            if call.urgency is not None and self._would_serve(call, e, now)
        ]
        if not others:
            raise self._overloaded_refusal(call, candidates, now)
        return self._best(call, subsets, others, now)

    def _would_serve(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether a call may be sent to an endpoint and is of use."""
        return _starts_before_deadline(call, endpoint, now) and (
            not _is_full(endpoint, call, now)
            or self._meets_objective(call, endpoint, now)
        )

    def has_working_endpoint(
        self,
        call: calls.Call,
        excluded: collections.abc.Set[ids.InstanceId],
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether an endpoint that is not excluded is at work or idle.

        One with requests that makes no progress may be as silent as those
        that are excluded.
        """
        known = self.endpoint_table.for_model(
            call.service.name, _model_name(call)
        )
        return any(
            e.id not in excluded
            and not e.is_suspect(now)
            and self._has_cold_quota(e, call.service, now)
            and (e.is_idle(now) or e.made_progress(now))
            for e in known
        )

    def _may_try(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether a call may find out if an endpoint is still slow."""
        return (
            not endpoint.pace.is_untested
            or self.rng.random() < SLOW_TRIAL_SHARE
        )

    def _held_back(
        self,
        usable: collections.abc.Iterable[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints at the limit that they announced."""
        held_back = [e for e in usable if self._is_held_back(e, now)]
        if held_back:
            self.metrics.count("announced_limits", "held_back")
        return held_back

    def _is_held_back(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> bool:
        limit = endpoint.limit
        return limit.was_limited and not limit.may_send(
            endpoint.id, self.quota.shares, now
        )

    def snapshot(self, now: clock.MonotonicTime) -> "EndpointSelector":
        """Return a copy that selects likewise and changes nothing here."""
        return dataclasses.replace(
            self,
            rng=random.Random(),
            metrics=exposition.MetricRegistry(),
            subsets=self.subsets and self.subsets.snapshot(now),
            _window_by_service=copy.deepcopy(self._window_by_service),
        )

    def assess(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> Assessment:
        """Return how a selection for a call sees an endpoint now."""
        applies_by_exclusion = {
            Exclusion.COLD_QUOTA: not self._has_cold_quota(
                endpoint, call.service, now
            ),
            Exclusion.ANNOUNCED_LIMIT: self._is_held_back(endpoint, now),
            Exclusion.SUSPECT: endpoint.is_suspect(now),
            Exclusion.RECOVERY_PROBE: _has_recovery_probe(endpoint, now),
            Exclusion.MEMORY: not _with_memory(call, [endpoint], now),
        }
        return Assessment(
            endpoint,
            _load_cost(endpoint, now),
            self._meets_objective(call, endpoint, now),
            _is_full(endpoint, call, now),
            tuple(e for e, applies in applies_by_exclusion.items() if applies),
        )

    def _sample(
        self,
        call: calls.Call,
        subsets: daemon_subsets.ModelSubsets | None,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> endpoints.Endpoint:
        """Return a sampled endpoint, of a subset if there are any."""
        if subsets is None:
            return self._sample_least_loaded(candidates, now)
        self._update_leaving(call, subsets, now)
        leaves = self.rng.random() < subsets.leaving.share
        near = [e for e in candidates if e.id in subsets.near]
        wide = [e for e in candidates if e.id in subsets.wide]
        for sampled in (wide, near) if leaves else (near, wide):
            # A single one that is left would get all calls of many daemons.
            if len(sampled) >= SAMPLED_ENDPOINTS:
                return self._sample_least_loaded(sampled, now)
        return self._sample_least_loaded(candidates, now)

    def subsets_for(
        self,
        call: calls.Call,
        known: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> daemon_subsets.ModelSubsets | None:
        """Return the subsets for a call, None if it may use all endpoints."""
        if call.service.engine is None or self.subsets is None:
            return None
        key = call.service.name, _model_name(call)
        return self.subsets.get(key, known, now)

    def _best(
        self,
        call: calls.Call,
        subsets: daemon_subsets.ModelSubsets | None,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> endpoints.Endpoint:
        """Return the least loaded endpoint, near by if others gain little."""
        best = min(candidates, key=lambda e: self._cost(e, now))
        near = [e for e in candidates if subsets and e.id in subsets.near]
        if not near:
            return best
        nearest = min(near, key=lambda e: self._cost(e, now))
        gain = _load_cost(nearest, now) - _load_cost(best, now)
        if (
            gain >= MIN_LOAD_GAIN
            or (_is_full(nearest, call, now) and not _is_full(best, call, now))
            or (
                self._meets_objective(call, best, now)
                and not self._meets_objective(call, nearest, now)
            )
        ):
            return best
        return nearest

    def _update_leaving(
        self,
        call: calls.Call,
        subsets: daemon_subsets.ModelSubsets,
        now: clock.MonotonicTime,
    ) -> None:
        """Update the share of calls that leave the endpoints near by."""
        leaving = subsets.leaving
        if not leaving.is_due(now, LEAVING_INTERVAL_SECONDS):
            return
        near = [e for e in subsets.known if e.id in subsets.near]
        if leaving.update(
            statistics.fmean(_load_cost(e, now) for e in near),
            statistics.fmean(_load_cost(e, now) for e in subsets.known),
            now,
        ):
            LOG.info(
                "zone_left" if leaving.is_leaving else "zone_kept",
                service=call.service.name,
                model=_model_name(call),
                near_load=round(leaving.near_load, 2),
                fleet_load=round(leaving.fleet_load, 2),
                share=round(leaving.share, 2),
            )

    def _sample_least_loaded(
        self,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> endpoints.Endpoint:
        """Return the endpoint of least cost in a random sample.

        All daemons have similar load data, some tenths of a second old.  If
        each selected the least loaded of all, they would all select the same
        endpoint.
        """
        count = min(SAMPLED_ENDPOINTS, len(candidates))
        sampled = self.rng.sample(candidates, count)
        return min(sampled, key=lambda e: self._cost(e, now))

    def _meets_objective(
        self,
        call: calls.Call,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> bool:
        if call.service.engine is None:
            return endpoint.load(now) < endpoint.slots
        priority = queue_priority.queue_priority_of(call, endpoint, False, now)
        return (
            priority is queue_priority.QueuePriority.IN_TIME
            and _has_spare_memory(call, endpoint, now)
        )

    def _cost(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> float:
        other_zone = endpoint.instance.zone != self.own_zone
        penalty = OTHER_ZONE_LOAD_PENALTY if other_zone else 0.0
        cost = _load_cost(endpoint, now, penalty)
        # Without jitter, daemons with the same data select the same endpoint.
        return cost + COST_JITTER * self.rng.random()

    def _has_cold_quota(
        self,
        endpoint: endpoints.Endpoint,
        service: catalogue.Service,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether this daemon may send to the endpoint now.

        Only cold endpoints of services with a cold rate are limited.
        """
        if not service.cold_requests_per_second:
            return True
        if not self.instances.is_cold(endpoint.id, now):
            return True
        allowed = self.quota.sends_per_second(
            endpoint.id, service.cold_requests_per_second, now
        )
        return endpoint.limit.sends_within(1.0, now) < allowed

    def _overloaded_refusal(
        self,
        call: calls.Call,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> errors.Refusal:
        return errors.Refusal(
            error_codes.OVERLOADED,
            f"all {len(candidates)} available endpoints of service "
            f"{call.service.name!r} are at capacity",
            retry_after=self._return_seconds(call, candidates, now),
        )

    def _return_seconds(
        self,
        call: calls.Call,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        now: clock.MonotonicTime,
    ) -> float:
        """Return when a refused caller should come back."""
        engine = call.service.engine
        if engine is None or call.urgency is None:
            return FULL_RETRY_SECONDS
        seconds = FULL_RETRY_SECONDS
        if engine.mean_answer_tokens:
            least = min(candidates, key=lambda e: e.load(now))
            model = call.service.model(least.model)
            factor = model.time_factor if model is not None else 1.0
            seconds = return_time.forecast_seconds(
                least.load(now),
                call.urgency.load_limit * least.slots,
                least.slots,
                factor * engine.usual_answer_seconds,
            )
        return return_time.spread_seconds(seconds, self.rng)

    def record_send(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> None:
        """Count a request that is sent to an endpoint."""
        endpoint.limit.record_send(now)

    def record_answered(self, endpoint: endpoints.Endpoint) -> None:
        """Count a call by the zone that answered it."""
        self.metrics.count("calls_by_zone", self._zone_kind(endpoint))

    def record_bytes(self, endpoint: endpoints.Endpoint, count: int) -> None:
        """Count the bytes of a request and of what was read of its answer."""
        self.metrics.count("zone_bytes", self._zone_kind(endpoint), count)

    def _zone_kind(self, endpoint: endpoints.Endpoint) -> str:
        return "own" if endpoint.instance.zone == self.own_zone else "other"


def _model_name(call: calls.Call) -> str:
    if call.service.engine is None:
        return ""
    return call.envelope.model or ""


def _load_cost(
    endpoint: endpoints.Endpoint,
    now: clock.MonotonicTime,
    extra_load: float = 0.0,
) -> float:
    """Return the load per slot, adjusted for queueing and slow groups."""
    deferred = endpoint.load(now) - endpoint.undeferred_load(now)
    load = endpoint.undeferred_load(now) + DEFERRED_LOAD_WEIGHT * deferred
    cost = (load + extra_load) / max(1, endpoint.slots)
    if endpoint.is_cross_domain:
        cost = CROSS_DOMAIN_BASE_COST + CROSS_DOMAIN_COST_FACTOR * cost
    return pace.load_cost(cost, endpoint.pace.slowdown)


def _has_recovery_probe(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> bool:
    """Return whether a request tests an endpoint that stalled or is slow."""
    is_tested = endpoint.is_half_open(now) or endpoint.pace.is_slow
    return is_tested and endpoint.load(now) >= HALF_OPEN_MAX_LOAD


def _is_full(
    endpoint: endpoints.Endpoint, call: calls.Call, now: clock.MonotonicTime
) -> bool:
    return endpoint.load(now) >= _max_load_per_slot(call) * endpoint.slots


def _max_load_per_slot(call: calls.Call) -> float:
    if call.service.engine is None:
        return PLAIN_MAX_LOAD_PER_SLOT
    if call.urgency is None:
        return MAX_LOAD_PER_SLOT
    return call.urgency.load_limit


def _has_spare_memory(
    call: calls.Call, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> bool:
    return call.work is None or call.work.fits(
        endpoint.held_tokens_at(now), work.FULL_MEMORY_SHARE
    )


def _with_memory(
    call: calls.Call,
    candidates: list[endpoints.Endpoint],
    now: clock.MonotonicTime,
) -> list[endpoints.Endpoint]:
    """Return the candidates whose memory the call does not exceed.

    Those that it nearly fills are returned if there are no others.
    """
    if call.work is None or not call.work.capacity_tokens:
        return candidates
    spare = [e for e in candidates if _has_spare_memory(call, e, now)]
    return spare or [
        e for e in candidates if call.work.fits(e.held_tokens_at(now))
    ]


def _starts_before_deadline(
    call: calls.Call, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> bool:
    """Return whether an endpoint is expected to begin the answer by then.

    Without levels no call is refused for this.  Nor is one refused for its
    own prompt by an endpoint without requests: the stated size may be wrong,
    and the call would not be served later either.
    """
    if call.urgency is None:
        return True
    seconds = queue_priority.first_event_seconds(
        call, endpoint, now, counts_own_prompt=not endpoint.is_idle(now)
    )
    return seconds <= call.deadline - now


def _no_endpoint_refusal(call: calls.Call, count: int) -> errors.Refusal:
    return errors.Refusal(
        error_codes.NO_ENDPOINT,
        f"none of the {count} endpoints of service {call.service.name!r} "
        "accepts requests now",
        retry_after=NO_ENDPOINT_RETRY_SECONDS,
    )


def _limited_refusal(
    call: calls.Call,
    held_back: collections.abc.Sequence[endpoints.Endpoint],
    now: clock.MonotonicTime,
) -> errors.Refusal:
    return errors.Refusal(
        error_codes.OVERLOADED,
        f"{len(held_back)} endpoints of service {call.service.name!r} "
        "are at the limits that they announced",
        retry_after=min(e.limit.seconds_until_next(now) for e in held_back),
    )
