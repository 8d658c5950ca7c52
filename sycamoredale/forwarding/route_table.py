"""Find the route, the organisation and the service of a request."""

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
    """Look up routes in the newest catalogue."""

    current: catalogue.Catalogue = catalogue.EMPTY
    _routes_by_host: dict[str, list[catalogue.Route]] = dataclasses.field(
        default_factory=dict
    )

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
