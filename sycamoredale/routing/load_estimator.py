"""Estimate the load of endpoints from stale reports and own counts.

A report counts the requests of all routers on the endpoint.  Subtracting
those of this router leaves the load of the other routers.  An estimate adds
this router's current count to it, so that requests sent since the report are
included at once.

A report is stale by the time it is used, and routers that rely on a single
one all send to the endpoint that was idle when it was made (herding).  The
load of the other routers is therefore averaged over reports, and decays with
age to the mean of the service in the zone (Dahlin, "Interpreting Stale Load
Information").
"""

import dataclasses
import math
from typing import Final

from sycamoredale import clock
from sycamoredale.engines import reports
from sycamoredale import ids
from sycamoredale.routing import table

REPORT_EWMA_WEIGHT: Final = 0.2
MEAN_EWMA_WEIGHT: Final = 0.02
# Age at which the weight of the averaged reports has decayed to 1/e.
REPORT_DECAY_SECONDS: Final = 2.0
WAITING_REPORT_TTL_SECONDS: Final = 5.0

_Pool = tuple[ids.ServiceName, ids.ZoneName]


@dataclasses.dataclass(slots=True)
class _PeerLoad:
    requests: float
    has_waiting: bool
    reported_at: clock.MonotonicTime


@dataclasses.dataclass
class LoadEstimator:
    """Estimate the number of requests on each endpoint."""

    _peer_load_by_id: dict[ids.EndpointId, _PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    _mean_by_pool: dict[_Pool, float] = dataclasses.field(default_factory=dict)

    def apply_report(
        self,
        endpoint: table.Endpoint,
        load: reports.Load,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply a load report that arrived at `now`."""
        requests = float(
            max(0, load.running + load.waiting - endpoint.in_flight)
        )
        pool = endpoint.service, endpoint.zone
        mean = self._mean_by_pool.get(pool, requests)
        mean += MEAN_EWMA_WEIGHT * (requests - mean)
        self._mean_by_pool[pool] = mean
        previous = self._peer_load_by_id.get(endpoint.id)
        if previous is not None:
            difference = requests - previous.requests
            requests = previous.requests + REPORT_EWMA_WEIGHT * difference
        self._peer_load_by_id[endpoint.id] = _PeerLoad(
            requests, load.waiting > 0, now
        )

    def estimate(
        self, endpoint: table.Endpoint, now: clock.MonotonicTime
    ) -> float:
        """Return the expected number of requests on the endpoint."""
        pool = endpoint.service, endpoint.zone
        mean = self._mean_by_pool.get(pool, 0.0)
        peer_load = self._peer_load_by_id.get(endpoint.id)
        if peer_load is None:
            return endpoint.in_flight + mean
        age = now - peer_load.reported_at
        report_weight = math.exp(-age / REPORT_DECAY_SECONDS)
        return (
            endpoint.in_flight
            + mean
            + report_weight * (peer_load.requests - mean)
        )

    def has_waiting(
        self, endpoint: ids.EndpointId, now: clock.MonotonicTime
    ) -> bool:
        """Return whether the last report had requests queued in the engine.

        A report older than WAITING_REPORT_TTL_SECONDS is ignored.
        """
        peer_load = self._peer_load_by_id.get(endpoint)
        if (
            peer_load is None
            or now - peer_load.reported_at >= WAITING_REPORT_TTL_SECONDS
        ):
            return False
        return peer_load.has_waiting

    def retain(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop all endpoints except those given."""
        for removed in self._peer_load_by_id.keys() - endpoints:
            del self._peer_load_by_id[removed]
