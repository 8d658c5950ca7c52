"""Poll the cache events of the engines that this router uses.

To limit traffic, engines in the router's own zone are polled one at a time
in turn, for a few events each.  If an engine produces events faster than
they are polled, a gap results and the index drops the engine's entries.
"""

import dataclasses
from typing import Final

import curio

from sycamoredale.engines import reports
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.routing import prefix_index
from sycamoredale.routing import table

POLL_INTERVAL_SECONDS: Final = 2.0
MAX_EVENTS_PER_POLL: Final = 16


@dataclasses.dataclass
class CacheEventPoller:
    """Poll engines for cache events in turn."""

    routing_table: table.RoutingTable
    cached_prefixes: prefix_index.PrefixIndex
    engine_reports: reports.EngineReportClient
    own_zone: ids.ZoneName
    _remaining: list[ids.EndpointId] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Poll one engine per interval, until cancelled."""
        while True:
            await curio.sleep(POLL_INTERVAL_SECONDS)
            endpoint = self._next_endpoint()
            if endpoint is not None:
                await self._poll(endpoint)

    async def _poll(self, endpoint: table.Endpoint) -> None:
        after = self.cached_prefixes.last_sequence(endpoint.id)
        try:
            events = await self.engine_reports.cache_events(
                endpoint.address, after, MAX_EVENTS_PER_POLL
            )
        except errors.SycamoredaleError:
            return
        self.cached_prefixes.apply_events(endpoint.id, events)

    def _next_endpoint(self) -> table.Endpoint | None:
        if not self._remaining:
            self._remaining = [
                id
                for id in self.cached_prefixes.endpoints()
                if (endpoint := self.routing_table.by_id.get(id))
                and endpoint.zone == self.own_zone
            ]
        while self._remaining:
            endpoint = self.routing_table.by_id.get(self._remaining.pop())
            if endpoint is not None:
                return endpoint
        return None
