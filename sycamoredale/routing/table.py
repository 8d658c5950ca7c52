"""Know the endpoints that may run requests.

The table joins the assignments of all fabric domains with the accepted
configuration.  An endpoint is one ready group, reached at its first member.
"""

import collections.abc
import dataclasses

from sycamoredale.config import model as config_model
from sycamoredale.groups import model as groups_model
from sycamoredale.http import messages
from sycamoredale import ids


@dataclasses.dataclass
class Endpoint:
    """Describe one endpoint and what this router has running on it."""

    id: ids.EndpointId
    service: ids.ServiceName
    version: ids.VersionName
    zone: ids.ZoneName
    address: messages.Address
    in_flight: int = 0
    domain: ids.DomainName = ids.DomainName("")


@dataclasses.dataclass
class RoutingTable:
    """Hold the endpoints by id."""

    by_id: dict[ids.EndpointId, Endpoint] = dataclasses.field(
        default_factory=dict
    )
    _by_domain: dict[ids.DomainName, groups_model.Assignment] = (
        dataclasses.field(default_factory=dict)
    )
    _zones_out: frozenset[ids.ZoneName] = frozenset()

    def apply_configuration(
        self, configuration: config_model.Configuration
    ) -> None:
        """Take over the zone states of a configuration."""
        self._zones_out = frozenset(
            zone.name
            for zone in configuration.zones
            if zone.state is config_model.ZoneState.OUT
        )

    def apply_assignment(self, assignment: groups_model.Assignment) -> None:
        """Replace the groups of one domain, unless they are older."""
        known = self._by_domain.get(assignment.domain)
        if known is not None and assignment.epoch < known.epoch:
            return
        self._by_domain[assignment.domain] = assignment
        self._rebuild()

    def remove_domain(self, domain: ids.DomainName) -> None:
        """Drop all groups of a domain whose assignment was deleted."""
        if self._by_domain.pop(domain, None) is not None:
            self._rebuild()

    def candidates(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[Endpoint]:
        """Yield the endpoints of a service that may take new work."""
        for endpoint in self.by_id.values():
            if endpoint.service != service:
                continue
            if endpoint.zone not in self._zones_out:
                yield endpoint

    def _rebuild(self) -> None:
        known = self.by_id
        self.by_id = {}
        for assignment in self._by_domain.values():
            for group in assignment.groups:
                if group.state is groups_model.GroupState.READY:
                    endpoint = _endpoint(group, assignment.domain)
                    self.by_id[endpoint.id] = known.get(endpoint.id, endpoint)


def _endpoint(group: groups_model.Group, domain: ids.DomainName) -> Endpoint:
    return Endpoint(
        id=ids.EndpointId(f"{group.id}@{group.epoch}"),
        service=group.service,
        version=group.version,
        zone=group.zone,
        address=messages.parse_address(group.members[0].address),
        domain=domain,
    )
