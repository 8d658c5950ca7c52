"""Maintain the table of endpoints that may run requests.

The table joins the assignments of all fabric domains with the accepted
configuration.  An endpoint is one ready group, addressed by its first
member.
"""

import collections.abc
import dataclasses

from sycamoredale.config import model as config_model
from sycamoredale.groups import model as groups_model
from sycamoredale.http import messages
from sycamoredale import ids


@dataclasses.dataclass
class Endpoint:
    """Describe one endpoint and count this router's requests on it."""

    id: ids.EndpointId
    service: ids.ServiceName
    version: ids.VersionName
    zone: ids.ZoneName
    address: messages.Address
    domain: ids.DomainName = ids.DomainName("")
    group: ids.GroupId = ids.GroupId("")
    epoch: ids.Epoch = ids.Epoch(0)
    members: tuple[messages.Address, ...] = ()
    in_flight: int = 0
    started_total: int = 0


OnChange = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _DomainEndpoints:
    epoch: ids.Epoch
    ready: list[Endpoint]
    draining: list[Endpoint]


@dataclasses.dataclass
class RoutingTable:
    """Index endpoints by id, service and zone; call back on changes.

    Endpoints in `draining_by_id` finish their open requests and take no
    new ones.
    """

    by_id: dict[ids.EndpointId, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    draining_by_id: dict[ids.EndpointId, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    on_change: list[OnChange] = dataclasses.field(default_factory=list)
    _by_service: dict[ids.ServiceName, list[Endpoint]] = dataclasses.field(
        default_factory=dict
    )
    _by_domain: dict[ids.DomainName, _DomainEndpoints] = dataclasses.field(
        default_factory=dict
    )
    _by_zone_of_service: (
        dict[ids.ServiceName, dict[ids.ZoneName, list[Endpoint]]] | None
    ) = None
    _zones_out: frozenset[ids.ZoneName] = frozenset()

    def apply_configuration(
        self, configuration: config_model.Configuration
    ) -> None:
        """Apply the zone states of a configuration."""
        self._zones_out = frozenset(
            zone.name
            for zone in configuration.zones
            if zone.state is config_model.ZoneState.OUT
        )
        self._notify()

    def apply_assignment(self, assignment: groups_model.Assignment) -> None:
        """Replace the groups of one domain unless the epoch is older."""
        self.apply([assignment])

    def apply(
        self,
        assignments: collections.abc.Iterable[groups_model.Assignment],
        deleted: collections.abc.Iterable[ids.DomainName] = (),
    ) -> None:
        """Replace the groups of domains and drop deleted domains.

        Only the endpoints of these domains are rebuilt, and the callbacks
        are called once for the whole batch.
        """
        has_changed = False
        for assignment in assignments:
            has_changed |= self._replace(assignment)
        for domain in deleted:
            has_changed |= self._by_domain.pop(domain, None) is not None
        if has_changed:
            self._rebuild_indexes()

    def candidates(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[Endpoint]:
        """Yield the endpoints of a service that may take new requests."""
        for endpoint in self._by_service.get(service, ()):
            if endpoint.zone not in self._zones_out:
                yield endpoint

    def by_zone(
        self, service: ids.ServiceName
    ) -> dict[ids.ZoneName, list[Endpoint]]:
        """Return by zone the endpoints that may take new requests."""
        if self._by_zone_of_service is None:
            self._by_zone_of_service = {}
            for name in self._by_service:
                lists: dict[ids.ZoneName, list[Endpoint]] = {}
                for endpoint in self.candidates(name):
                    lists.setdefault(endpoint.zone, []).append(endpoint)
                self._by_zone_of_service[name] = lists
        return self._by_zone_of_service.get(service, {})

    def find(self, endpoint: ids.EndpointId) -> Endpoint | None:
        """Return an endpoint, ready or draining, None if there is none."""
        return self.by_id.get(endpoint) or self.draining_by_id.get(endpoint)

    def takes_requests(self, endpoint: ids.EndpointId) -> bool:
        """Return whether an endpoint may take new requests."""
        known = self.by_id.get(endpoint)
        return known is not None and known.zone not in self._zones_out

    def is_zone_out(self, zone: ids.ZoneName) -> bool:
        """Return whether operators took the availability zone out."""
        return zone in self._zones_out

    def _replace(self, assignment: groups_model.Assignment) -> bool:
        current = self._by_domain.get(assignment.domain)
        if current is not None and assignment.epoch < current.epoch:
            return False
        self._by_domain[assignment.domain] = _DomainEndpoints(
            assignment.epoch,
            list(self._endpoints(assignment, groups_model.GroupState.READY)),
            list(
                self._endpoints(assignment, groups_model.GroupState.DRAINING)
            ),
        )
        return True

    def _endpoints(
        self,
        assignment: groups_model.Assignment,
        state: groups_model.GroupState,
    ) -> collections.abc.Iterator[Endpoint]:
        for group in assignment.groups:
            if group.state is state:
                endpoint = _endpoint(assignment.domain, group)
                yield self.find(endpoint.id) or endpoint

    def _rebuild_indexes(self) -> None:
        domains = self._by_domain.values()
        self.by_id = {e.id: e for d in domains for e in d.ready}
        self.draining_by_id = {e.id: e for d in domains for e in d.draining}
        self._by_service = {}
        for endpoint in self.by_id.values():
            self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._notify()

    def _notify(self) -> None:
        self._by_zone_of_service = None
        for callback in self.on_change:
            callback()


def _endpoint(domain: ids.DomainName, group: groups_model.Group) -> Endpoint:
    members = tuple(messages.parse_address(m.address) for m in group.members)
    return Endpoint(
        id=ids.EndpointId(f"{group.id}@{group.epoch}"),
        service=group.service,
        version=group.version,
        zone=group.zone,
        address=members[0],
        domain=domain,
        group=group.id,
        epoch=group.epoch,
        members=members,
    )
