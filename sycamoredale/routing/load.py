"""Estimate the load of endpoints from lagging reports and own counts.

A report counts what all routers had on the endpoint.  What this router
had at that moment is taken off, which leaves the load of the others; what
this router has now is added again, so that requests sent since the report
count at once.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.engines import reports
from sycamoredale import ids
from sycamoredale.routing import table

REPORT_SECONDS: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Others:
    requests: int
    expires_at: clock.MonotonicTime


@dataclasses.dataclass
class LoadBook:
    """Hold the load that other routers put on each endpoint."""

    _others_by_id: dict[ids.EndpointId, _Others] = dataclasses.field(
        default_factory=dict
    )

    def report(
        self,
        endpoint: table.Endpoint,
        load: reports.Load,
        now: clock.MonotonicTime,
    ) -> None:
        """Learn from a report that arrived now."""
        others = load.running + load.waiting - endpoint.in_flight
        self._others_by_id[endpoint.id] = _Others(
            max(0, others), clock.MonotonicTime(now + REPORT_SECONDS)
        )

    def estimate(
        self, endpoint: table.Endpoint, now: clock.MonotonicTime
    ) -> int:
        """Return the expected number of requests on the endpoint."""
        others = self._others_by_id.get(endpoint.id)
        if others is None or now >= others.expires_at:
            return endpoint.in_flight
        return others.requests + endpoint.in_flight

    def forget(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the endpoints that are not among those given."""
        for gone in self._others_by_id.keys() - endpoints:
            del self._others_by_id[gone]
