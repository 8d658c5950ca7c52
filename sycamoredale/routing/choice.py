"""Choose the endpoint that runs a call."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import health as health_module
from sycamoredale.routing import table


@dataclasses.dataclass
class Chooser:
    """Choose among the endpoints of a routing table."""

    routing_table: table.RoutingTable
    own_zone: ids.ZoneName
    health: health_module.Health

    def __post_init__(self) -> None:
        """Follow the changes of the table."""
        self.routing_table.on_change.append(self._follow_table)

    def choose(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return the endpoint for the call, or None if there is none."""
        candidates = self.routing_table.candidates(call.service.name)
        endpoint = min(
            (
                c
                for c in candidates
                if c.id not in excluded
                and self.health.may_take(c.id, call.idempotent, now)
            ),
            key=lambda c: (c.in_flight, c.zone != self.own_zone, c.id),
            default=None,
        )
        if endpoint is not None:
            self.health.started(endpoint.id, now)
        return endpoint

    def _follow_table(self) -> None:
        self.health.follow(
            {e.id: e.service for e in self.routing_table.by_id.values()}
        )
