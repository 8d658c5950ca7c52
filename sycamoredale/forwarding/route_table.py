"""Find the route, the organisation and the service of a request."""

import collections
import dataclasses

import xxhash

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale import ids
from sycamoredale.scheduling import urgency
from sycamoredale.scheduling import work


@dataclasses.dataclass
class RouteTable:
    """Look up routes in the newest catalogue.

    `limits_memory` tells whether endpoints fail if the tokens of their
    requests exceed their memory.
    """

    current: catalogue.Catalogue = catalogue.EMPTY
    limits_memory: bool = False
    _routes_by_host: dict[str, list[catalogue.Route]] = dataclasses.field(
        default_factory=dict
    )
    _levels_by_service: dict[ids.ServiceName, urgency.Levels] = (
        dataclasses.field(default_factory=dict)
    )
    _preferred: frozenset[ids.OrganisationName] = frozenset()

    def activate(self, newer: catalogue.Catalogue) -> bool:
        """Put a newer catalogue in force; return whether it was newer."""
        if newer.version <= self.current.version:
            return False
        by_host: dict[str, list[catalogue.Route]] = collections.defaultdict(
            list
        )
        for route in newer.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        self._routes_by_host = dict(by_host)
        self._levels_by_service = _levels_by_service(newer)
        self._preferred = urgency.preferred_organisations(
            newer.priority_by_organisation
        )
        self.current = newer
        return True

    def find_route(
        self, envelope: calls.Envelope, path: str
    ) -> catalogue.Route:
        """Return the route with the longest matching path prefix.

        Raises Refusal if there is no configuration or no such route.
        """
        if self.current.version == catalogue.EMPTY.version:
            raise errors.Refusal(
                error_codes.NOT_READY,
                "this daemon has read no configuration yet",
                retry_after=1.0,
            )
        for route in self._routes_by_host.get(envelope.host, ()):
            if path.startswith(route.path_prefix):
                return route
        raise errors.Refusal(
            error_codes.NOT_FOUND,
            f"host {envelope.host!r} has no route for path {path!r}",
        )

    def authenticate(
        self, envelope: calls.Envelope, route: catalogue.Route
    ) -> ids.OrganisationName | None:
        """Return the organisation of the API key, None if it has none.

        Raises Refusal if the key is unknown and the route needs one.
        """
        organisation = self.current.organisation_by_key.get(
            envelope.api_key or ""
        )
        if (
            organisation is not None
            or route.public
            or not self.current.requires_key
        ):
            return organisation
        raise errors.Refusal(
            error_codes.UNKNOWN_KEY,
            "the API key is missing or belongs to no organisation",
        )

    def select_service(
        self, envelope: calls.Envelope, route: catalogue.Route
    ) -> catalogue.Service:
        """Return the service for a request, by the weights of its route.

        Repeated requests with one id get the same service.  Raises Refusal
        if the service is not configured.
        """
        name = _weighted_choice(envelope.id, route.weight_by_service)
        service = self.current.service_by_name.get(name)
        if service is None:
            raise errors.Refusal(
                error_codes.NO_ENDPOINT,
                f"service {name!r} of route {route.name!r} is not configured",
                retry_after=1.0,
            )
        return service

    def urgency_of(
        self,
        route: catalogue.Route,
        service: catalogue.Service,
        organisation: ids.OrganisationName | None,
    ) -> urgency.Urgency | None:
        """Return the urgency of a call, None if its service has no levels."""
        levels = self._levels_by_service.get(service.name)
        if levels is None:
            return None
        is_preferred = organisation in self._preferred
        return levels.urgency_of(route.priority, is_preferred)

    def estimate_work(
        self, envelope: calls.Envelope, service: catalogue.Service
    ) -> work.Work | None:
        """Return the work of a call, None if nothing depends on it."""
        engine = service.engine
        if engine is None:
            return None
        capacity = engine.memory_tokens if self.limits_memory else 0
        if not capacity and service.name not in self._levels_by_service:
            return None
        return work.estimate(
            envelope.prompt_tokens,
            envelope.answer_tokens,
            envelope.length_hint,
            engine.mean_answer_tokens,
            capacity,
        )


def _levels_by_service(
    newer: catalogue.Catalogue,
) -> dict[ids.ServiceName, urgency.Levels]:
    """Return the levels of services with an engine that have any."""
    priorities: dict[ids.ServiceName, set[int]] = collections.defaultdict(set)
    for route in newer.routes:
        if route.retry_policy is catalogue.RetryPolicy.STREAM:
            for name, _ in route.weight_by_service:
                priorities[name].add(route.priority)
    levels_by_service = {}
    for name, service in newer.service_by_name.items():
        levels = urgency.levels_of(priorities.get(name, ()))
        if service.engine is not None and levels is not None:
            levels_by_service[name] = levels
    return levels_by_service


def _weighted_choice(
    request_id: ids.RequestId,
    weights: tuple[tuple[ids.ServiceName, int], ...],
) -> ids.ServiceName:
    total = sum(weight for _, weight in weights)
    if total <= 0:
        return weights[0][0]
    point = xxhash.xxh64_intdigest(request_id.encode()) % total
    for name, weight in weights:
        point -= weight
        if point < 0:
            return name
    return weights[-1][0]
