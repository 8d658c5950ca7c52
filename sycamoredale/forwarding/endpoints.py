"""Keep the endpoints that accept requests, and estimate their load.

An endpoint of a service with an engine is the open head of a group; of
another service, each instance is an endpoint.  The load of an endpoint is the
number of requests in flight from this daemon and from its peers.  While there
are no recent updates of the peers, their part is taken from the load that the
endpoint reported with its last answer.
"""

import collections.abc
import dataclasses
import math
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import announced_limit
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.scheduling import pace as pace_module

# The load that the peers cause is halved each second after it was reported: a
# request takes about that long, and new requests arrive meanwhile.
LOAD_HALF_LIFE_SECONDS: Final = 1.0
# While the last known load of the peers is no older than this, the load
# reported with an answer is ignored.
PEER_LOAD_FRESH_SECONDS: Final = 0.5
# Weight of the newest count in the moving average.  With ten counts a second,
# the average covers about the time in which a lost group is replaced.
DEMAND_SMOOTHING: Final = 0.03
# After this time a stalled endpoint has recovered, or the controller of the
# groups has closed it.
SUSPECT_SECONDS: Final = 1.5
# Limits the time of a stalled endpoint to six seconds: by then a head that has
# lost a member reports its group as broken.
MAX_SUSPICION_DOUBLINGS: Final = 2
# The load that peers reported decays and does not become 0.
IDLE_LOAD: Final = 0.5
# Covers three updates of the peers.
RECENT_PROGRESS_SECONDS: Final = 0.3
# Longer than the pauses of a healthy engine, as seen by its peers.
WORKING_SECONDS: Final = 0.5


@dataclasses.dataclass(eq=False)
class Endpoint:
    """Track the load and the failures of an endpoint.

    `model` is empty for a service without an engine.  The members of a
    cross-domain endpoint are in several fabric domains.  `deferred` counts
    the requests of this daemon that were sent with a low queue priority and
    do not run yet.  `peer_load` was set at `peer_load_at`, by an answer or by
    the peers, and by the peers last at `peers_heard_at`.

    `unread_tokens` are those of prompts of this daemon's requests whose first
    event has not arrived, without the deferred ones, and `held_tokens` those
    that the endpoint has to hold for its requests.  Both are counted only for
    calls with an estimate of their work.
    """

    instance: instance_state.Instance
    model: str
    slots: int
    is_cross_domain: bool = False
    in_flight: int = 0
    started_total: int = 0
    deferred: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0
    peer_load: float = 0.0
    deferred_peer_load: float = 0.0
    unread_peer_tokens: float = 0.0
    held_peer_tokens: float = 0.0
    peer_load_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    peers_heard_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    suspect_until: clock.MonotonicTime = clock.MonotonicTime(0.0)
    suspicions: int = 0
    last_progress_at: clock.MonotonicTime = clock.MonotonicTime(0.0)
    limit: announced_limit.AnnouncedLimit = dataclasses.field(
        default_factory=announced_limit.AnnouncedLimit
    )
    pace: pace_module.EndpointPace = dataclasses.field(
        default_factory=pace_module.EndpointPace
    )

    @property
    def id(self) -> ids.InstanceId:
        """Return the id of the instance that accepts the requests."""
        return self.instance.id

    def load(self, now: clock.MonotonicTime) -> float:
        """Return the expected number of requests at the endpoint."""
        return self.in_flight + self.peer_load * self._decay(now)

    def undeferred_load(self, now: clock.MonotonicTime) -> float:
        """Return the load without the deferred requests."""
        decay = self._decay(now)
        own = self.in_flight - self.deferred
        peers = self.peer_load - self.deferred_peer_load
        return max(0.0, own + peers * decay)

    def unread_tokens_at(self, now: clock.MonotonicTime) -> float:
        """Return the expected prompt tokens that are read before others."""
        if not self.unread_peer_tokens:
            return self.unread_tokens
        return self.unread_tokens + self.unread_peer_tokens * self._decay(now)

    def held_tokens_at(self, now: clock.MonotonicTime) -> float:
        """Return the expected tokens in the memory of the endpoint."""
        if not self.held_peer_tokens:
            return self.held_tokens
        return self.held_tokens + self.held_peer_tokens * self._decay(now)

    def _decay(self, now: clock.MonotonicTime) -> float:
        """Return the weight of the last known load of the peers."""
        age = now - self.peer_load_at
        return math.pow(0.5, age / LOAD_HALF_LIFE_SECONDS)

    def record_reported_load(
        self, load: calls.Load, now: clock.MonotonicTime
    ) -> None:
        """Derive the load of the peers from that reported with an answer.

        The report is ignored if the last known load of the peers is recent.
        """
        if now - self.peer_load_at < PEER_LOAD_FRESH_SECONDS:
            return
        # An answer reports no tokens: those of the peers go on to decay.
        decay = self._decay(now)
        self.unread_peer_tokens *= decay
        self.held_peer_tokens *= decay
        total = load.running + load.waiting
        self.peer_load = float(max(0, total - self.in_flight))
        self.deferred_peer_load = 0.0
        self.peer_load_at = now

    def set_peer_load(
        self,
        load: float,
        now: clock.MonotonicTime,
        deferred: float = 0.0,
        unread_tokens: float = 0.0,
        held_tokens: float = 0.0,
    ) -> None:
        """Set the number of requests of the other daemons, and their work."""
        self.peer_load = load
        self.deferred_peer_load = deferred
        self.unread_peer_tokens = unread_tokens
        self.held_peer_tokens = held_tokens
        self.peer_load_at = self.peers_heard_at = now

    def suspect(
        self, now: clock.MonotonicTime, seconds: float = SUSPECT_SECONDS
    ) -> None:
        """Exclude the endpoint from selection for some seconds.

        The time doubles with each further suspicion without progress in
        between, because each attempt costs its caller half a second.
        """
        if not self.is_suspect(now):
            seconds *= 2**self.suspicions
            self.suspicions = min(self.suspicions + 1, MAX_SUSPICION_DOUBLINGS)
        until = clock.MonotonicTime(now + seconds)
        self.suspect_until = max(self.suspect_until, until)

    def apply_peer_suspicion(
        self, now: clock.MonotonicTime, seconds: float
    ) -> None:
        """Exclude the endpoint for as long as a peer does."""
        self.suspicions = max(self.suspicions, 1)
        until = clock.MonotonicTime(now + seconds)
        self.suspect_until = max(self.suspect_until, until)

    def record_progress(self, at: clock.MonotonicTime) -> None:
        """Clear the suspicion of an endpoint that made progress."""
        self.last_progress_at = at
        self.clear_suspicion()

    def clear_suspicion(self) -> None:
        """Select the endpoint again as if it had never failed."""
        self.suspicions = 0
        self.suspect_until = clock.MonotonicTime(0.0)

    def is_idle(self, now: clock.MonotonicTime) -> bool:
        """Return whether the endpoint has no requests."""
        return self.load(now) < IDLE_LOAD

    def made_progress(self, now: clock.MonotonicTime) -> bool:
        """Return whether the endpoint has lately made progress."""
        return now - self.last_progress_at < WORKING_SECONDS

    def is_half_open(self, now: clock.MonotonicTime) -> bool:
        """Return whether a suspicion has expired without progress since.

        As with a half-open circuit breaker, a single request tests it.
        """
        return self.suspicions > 0 and not self.is_suspect(now)

    def is_suspect(self, now: clock.MonotonicTime) -> bool:
        """Return whether the endpoint is excluded as stalled or broken."""
        return now < self.suspect_until


_Incarnation = tuple[ids.InstanceId, int]
Group = tuple[ids.GroupId, ids.Epoch]
GetZonesOut = collections.abc.Callable[[], frozenset[ids.ZoneName]]
GetServices = collections.abc.Callable[
    [], collections.abc.Mapping[ids.ServiceName, catalogue.Service]
]


@dataclasses.dataclass
class EndpointTable:
    """Derive the endpoints from the instances, and index them."""

    instances: instance_table.InstanceTable
    get_services: GetServices
    get_zones_out: GetZonesOut
    by_id: dict[ids.InstanceId, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    demand_by_model: dict[str, float] = dataclasses.field(default_factory=dict)
    _head_by_group: dict[Group, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    _limit_by_incarnation: dict[
        _Incarnation, announced_limit.AnnouncedLimit
    ] = dataclasses.field(default_factory=dict)
    _by_service_and_model: dict[
        tuple[ids.ServiceName, str], list[Endpoint]
    ] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Subscribe to changes of the instances."""
        self.instances.on_change.append(self.rebuild)

    def for_model(
        self, service: ids.ServiceName, model: str
    ) -> collections.abc.Sequence[Endpoint]:
        """Return the endpoints of a service that serve a model."""
        return self._by_service_and_model.get((service, model), ())

    def is_current(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint still accepts requests."""
        return self.by_id.get(endpoint.id) is endpoint

    def last_progress_at(
        self, instance: instance_state.Instance
    ) -> clock.MonotonicTime:
        """Return when the group of an instance last made progress, 0 if never.

        A group makes progress only while all of its members work.
        """
        head = self._head_of(instance)
        return head.last_progress_at if head else clock.MonotonicTime(0.0)

    def is_idle(
        self, instance: instance_state.Instance, now: clock.MonotonicTime
    ) -> bool:
        """Return whether an instance is in an open group without requests."""
        head = self._head_of(instance)
        return head is not None and head.is_idle(now)

    def _head_of(self, instance: instance_state.Instance) -> Endpoint | None:
        membership = instance.membership
        if membership is None:
            return None
        group = membership.group, membership.epoch
        return self._head_by_group.get(group)

    def addresses(self) -> list[messages.Address]:
        """Return the addresses of all endpoints."""
        return [e.instance.address for e in self.by_id.values()]

    def waiting_addresses(
        self, now: clock.MonotonicTime
    ) -> list[messages.Address]:
        """Return the endpoints that work, if one has a request that waits."""
        working = [
            endpoint
            for endpoint in self.by_id.values()
            if now - endpoint.last_progress_at < RECENT_PROGRESS_SECONDS
        ]
        if not any(endpoint.in_flight for endpoint in working):
            return []
        return [endpoint.instance.address for endpoint in working]

    def clear_suspicions(self) -> None:
        """Trust all endpoints again, after a fault of this daemon."""
        for endpoint in self.by_id.values():
            endpoint.clear_suspicion()

    def update_demand(self, now: clock.MonotonicTime) -> None:
        """Update the moving average of the load of each model.

        A model without endpoints keeps its last average.
        """
        present: dict[str, float] = {}
        for (_, model), serving in self._by_service_and_model.items():
            if model:
                present[model] = sum(e.load(now) for e in serving)
        for model, load in present.items():
            before = self.demand_by_model.get(model, load)
            self.demand_by_model[model] = before + DEMAND_SMOOTHING * (
                load - before
            )

    def rebuild(self) -> None:
        """Rebuild the endpoints from the instances, zones and services."""
        by_id: dict[ids.InstanceId, Endpoint] = {}
        by_model: dict[tuple[ids.ServiceName, str], list[Endpoint]] = {}
        head_by_group: dict[Group, Endpoint] = {}
        zones_out = self.get_zones_out()
        services = self.get_services()
        domains = self._domains_by_group()
        for instance in self.instances.by_id.values():
            service = services.get(instance.service)
            if service is None or instance.leaving:
                continue
            if instance.zone in zones_out:
                continue
            model = _model_of(instance, service)
            if model is None:
                continue
            endpoint = self._update_or_create(instance, model, service)
            membership = instance.membership
            if membership is not None:
                group = membership.group, membership.epoch
                endpoint.is_cross_domain = len(domains[group]) > 1
                head_by_group[group] = endpoint
            by_id[instance.id] = endpoint
            by_model.setdefault((service.name, model), []).append(endpoint)
        self.by_id = by_id
        self._drop_ended_incarnations()
        self._by_service_and_model = by_model
        self._head_by_group = head_by_group

    def _update_or_create(
        self,
        instance: instance_state.Instance,
        model: str,
        service: catalogue.Service,
    ) -> Endpoint:
        known = self.by_id.get(instance.id)
        if known is not None and _is_same(known, instance):
            known.instance = instance
            return known
        engine = service.engine
        slots = engine.slots if engine else instance.slots
        limit = self._limit_by_incarnation.setdefault(
            _incarnation_of(instance), announced_limit.AnnouncedLimit()
        )
        return Endpoint(instance, model, slots, limit=limit)

    def _drop_ended_incarnations(self) -> None:
        incarnations = set(map(_incarnation_of, self.instances.by_id.values()))
        for ended in self._limit_by_incarnation.keys() - incarnations:
            del self._limit_by_incarnation[ended]

    def _domains_by_group(
        self,
    ) -> dict[Group, set[ids.DomainName]]:
        domains: dict[Group, set[ids.DomainName]] = {}
        for instance in self.instances.by_id.values():
            membership = instance.membership
            if membership is not None:
                group = membership.group, membership.epoch
                domains.setdefault(group, set()).add(instance.domain)
        return domains


def _incarnation_of(instance: instance_state.Instance) -> _Incarnation:
    return instance.id, instance.started_ms


def _is_same(known: Endpoint, instance: instance_state.Instance) -> bool:
    before = known.instance
    return (
        before.started_ms == instance.started_ms
        and before.address == instance.address
        and before.membership == instance.membership
    )


def _model_of(
    instance: instance_state.Instance, service: catalogue.Service
) -> str | None:
    if service.engine is None:
        return ""
    if not instance.is_open_head or instance.membership is None:
        return None
    return instance.membership.model
