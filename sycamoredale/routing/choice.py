"""Choose the endpoint that runs a call."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import table


@dataclasses.dataclass
class Chooser:
    """Choose among the endpoints of a routing table."""

    routing_table: table.RoutingTable
    own_zone: ids.ZoneName

    def choose(
        self,
        call: call_module.Call,
        excluded: collections.abc.Set[ids.EndpointId],
        now: clock.MonotonicTime,
    ) -> table.Endpoint | None:
        """Return the endpoint for the call, or None if there is none."""
        del now
        candidates = self.routing_table.candidates(call.service.name)
        return min(
            (c for c in candidates if c.id not in excluded),
            key=lambda c: (c.in_flight, c.zone != self.own_zone, c.id),
            default=None,
        )
