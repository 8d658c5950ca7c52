"""Choose the endpoint that runs a call."""

import collections.abc
import dataclasses

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import cold_start
from sycamoredale.routing import health as health_module
from sycamoredale.routing import table


@dataclasses.dataclass
class Chooser:
    """Choose among the endpoints of a routing table."""

    routing_table: table.RoutingTable
    own_zone: ids.ZoneName
    health: health_module.Health
    cold: cold_start.ColdStart

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
        usable = self._usable(call, now) or self._usable(call, now, False)
        endpoint = min(
            (c for c in usable if c.id not in excluded),
            key=lambda c: (c.in_flight, c.zone != self.own_zone, c.id),
            default=None,
        )
        if endpoint is not None:
            self.health.started(endpoint.id, now)
        return endpoint

    def has_room(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> bool:
        """Tell if an endpoint could take the call now."""
        self.cold.demand(call.service.name, now)
        return bool(self._usable(call, now) or self._usable(call, now, False))

    def _usable(
        self,
        call: call_module.Call,
        now: clock.MonotonicTime,
        healthy: bool = True,
    ) -> list[table.Endpoint]:
        # While all endpoints look unhealthy, trying one beats refusing.
        return [
            endpoint
            for endpoint in self.routing_table.candidates(call.service.name)
            if not healthy
            or self.health.may_take(endpoint.id, call.idempotent, now)
            if self.cold.room(
                endpoint, call.service, call.deadline_seconds, now
            )
            > 0
        ]

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
        del endpoint, headers, now

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
        self.health.observe(
            endpoint.id, outcome, first_token_seconds, token_gap_seconds, now
        )
        if outcome is health_module.Outcome.ANSWERED:
            self.cold.served_well(endpoint.id)
        elif sent:
            self.cold.abandoned(endpoint.id, now)

    def _follow_table(self) -> None:
        self.cold.follow_table(clock.monotonic())
        self.health.follow(
            {e.id: e.service for e in self.routing_table.by_id.values()}
        )
