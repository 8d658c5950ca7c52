"""Find the route of a request and who sends it."""

import collections
import dataclasses

import xxhash

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale import ids


@dataclasses.dataclass
class RouteTable:
    """Hold the newest catalogue; an older one is never taken."""

    current: catalogue.Catalogue = catalogue.EMPTY
    _routes_by_host: dict[str, list[catalogue.Route]] = dataclasses.field(
        default_factory=dict
    )

    def activate(self, newer: catalogue.Catalogue) -> bool:
        """Put a catalogue in force; tell whether it was newer."""
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
        self.current = newer
        return True

    def find_route(
        self, envelope: calls.Envelope, path: str
    ) -> catalogue.Route:
        """Return the route with the longest prefix; raise Refusal."""
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
            f"no route of host {envelope.host!r} has a prefix of {path!r}",
        )

    def authenticate(
        self, envelope: calls.Envelope, route: catalogue.Route
    ) -> ids.OrganisationName | None:
        """Return who calls, None on a public route; raise Refusal."""
        found = self.current.organisation_by_key.get(envelope.api_key or "")
        if found is not None or route.public or not self.current.requires_key:
            return found
        raise errors.Refusal(
            error_codes.UNKNOWN_KEY, "the API key belongs to no organisation"
        )

    def select_service(
        self, envelope: calls.Envelope, route: catalogue.Route
    ) -> catalogue.Service:
        """Return the service that the route's split names for a request.

        Raises Refusal if the catalogue has no such service.
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
