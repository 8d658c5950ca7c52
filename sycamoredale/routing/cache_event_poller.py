"""Follow the cache events of the engines that this router uses.

Events cost bytes, so one engine of the own zone is asked at a time, in
turn, for a few events only.  An engine that produces more than is asked
for shows a gap in the end, and the index then forgets what it knew.
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
    """Ask engines for cache events in turn."""

    routing_table: table.RoutingTable
    prefixes: prefix_index.PrefixIndex
    engine_reports: reports.EngineReports
    own_zone: ids.ZoneName
    _turns: list[ids.EndpointId] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await curio.sleep(POLL_INTERVAL_SECONDS)
            endpoint = self._next()
            if endpoint is not None:
                await self._ask(endpoint)

    async def _ask(self, endpoint: table.Endpoint) -> None:
        after = self.prefixes.last_sequence(endpoint.id)
        try:
            events = await self.engine_reports.cache_events(
                endpoint.address, after, MAX_EVENTS_PER_POLL
            )
        except errors.SycamoredaleError:
            return
        self.prefixes.apply(endpoint.id, events)

    def _next(self) -> table.Endpoint | None:
        if not self._turns:
            self._turns = [
                id
                for id in self.prefixes.used_endpoints()
                if (endpoint := self.routing_table.by_id.get(id))
                and endpoint.zone == self.own_zone
            ]
        while self._turns:
            endpoint = self.routing_table.by_id.get(self._turns.pop())
            if endpoint is not None:
                return endpoint
        return None
