"""Count what is sent to the own zone and to others, and log changes.

Traffic between zones costs money; operators see its share here.
"""

import dataclasses
import statistics
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import endpoint_tiers
from sycamoredale.forwarding import endpoints
from sycamoredale import ids
from sycamoredale.observability import exposition
from sycamoredale.observability import logs
from sycamoredale.scheduling import zone_use

LOG: Final = logs.get("zone_traffic")


@dataclasses.dataclass
class ZoneTraffic:
    """Record sends, answers and bytes by the zone of their endpoint."""

    endpoint_table: endpoints.EndpointTable
    own_zone: ids.ZoneName
    metrics: exposition.MetricRegistry
    tiers: endpoint_tiers.EndpointTiers | None = None
    _zone_use: zone_use.ZoneUse[endpoint_tiers.ModelKey] = dataclasses.field(
        default_factory=zone_use.ZoneUse
    )

    def record_send(
        self, endpoint: endpoints.Endpoint, now: clock.MonotonicTime
    ) -> None:
        """Count a send by tier, and log when sends begin to leave the zone."""
        if self.tiers is None or not endpoint.model:
            return
        key = endpoint.instance.service, endpoint.model
        known = self.endpoint_table.for_model(*key)
        tier = self.tiers.tier_of(key, known, endpoint, now)
        if tier is None:
            return
        self.metrics.count("sends_by_tier", tier.value)
        leaves = self._zone_use.record(key, tier, now)
        if leaves is not None:
            self._log_change(leaves, endpoint, now)

    def record_answered(self, endpoint: endpoints.Endpoint) -> None:
        """Count a call by the zone that answered it."""
        self.metrics.count("calls_by_zone", self._kind(endpoint))

    def record_bytes(self, endpoint: endpoints.Endpoint, count: int) -> None:
        """Count the bytes of a request and of what was read of its answer."""
        self.metrics.count("zone_bytes", self._kind(endpoint), count)

    def _kind(self, endpoint: endpoints.Endpoint) -> str:
        return "own" if endpoint.instance.zone == self.own_zone else "other"

    def _log_change(
        self,
        leaves: bool,
        endpoint: endpoints.Endpoint,
        now: clock.MonotonicTime,
    ) -> None:
        service, model = endpoint.instance.service, endpoint.model
        own_loads = [
            _load_per_slot(e, now)
            for e in self.endpoint_table.for_model(service, model)
            if e.instance.zone == self.own_zone
        ]
        LOG.info(
            "zone_left" if leaves else "zone_kept",
            service=service,
            model=model,
            endpoint=endpoint.id,
            zone=endpoint.instance.zone,
            load_per_slot=round(_load_per_slot(endpoint, now), 2),
            own_endpoints=len(own_loads),
            own_load_per_slot=(
                round(statistics.fmean(own_loads), 2) if own_loads else None
            ),
        )


def _load_per_slot(
    endpoint: endpoints.Endpoint, now: clock.MonotonicTime
) -> float:
    return endpoint.load(now) / max(1, endpoint.slots)
