"""Remember which endpoints hold the prefix of a prompt in their cache.

The index holds what this router sent where, corrected by the engines'
cache events.  Events come late and with gaps; after a gap all that was
known of the endpoint is dropped, since a wrong hit costs more than a
missed one.
"""

import collections
import collections.abc
import dataclasses
from typing import Final

from sycamoredale.engines import reports
from sycamoredale import ids

MAX_BLOCKS: Final = 20_000
MAX_ENDPOINTS_PER_BLOCK: Final = 4


@dataclasses.dataclass
class _CacheEventPosition:
    sequence: int | None = None
    generation: int = 0


@dataclasses.dataclass
class PrefixIndex:
    """Hold endpoints by the chained hash of each prefix block."""

    _generations_by_block: collections.OrderedDict[
        int, dict[ids.EndpointId, int]
    ] = dataclasses.field(default_factory=collections.OrderedDict)
    _position_by_id: dict[ids.EndpointId, _CacheEventPosition] = (
        dataclasses.field(default_factory=dict)
    )

    def record_blocks(
        self,
        endpoint: ids.EndpointId,
        blocks: collections.abc.Iterable[int],
    ) -> None:
        """Note that an endpoint now holds blocks."""
        generation = self._position(endpoint).generation
        for block in blocks:
            endpoints = self._generations_by_block.setdefault(block, {})
            endpoints.pop(endpoint, None)
            endpoints[endpoint] = generation
            if len(endpoints) > MAX_ENDPOINTS_PER_BLOCK:
                del endpoints[next(iter(endpoints))]
            self._generations_by_block.move_to_end(block)
        while len(self._generations_by_block) > MAX_BLOCKS:
            self._generations_by_block.popitem(last=False)

    def cached_shares(self, blocks: list[int]) -> dict[ids.EndpointId, float]:
        """Return the share of the blocks that endpoints hold."""
        shares: dict[ids.EndpointId, float] = {}
        for index in range(len(blocks) - 1, -1, -1):
            endpoints = self._generations_by_block.get(blocks[index], {})
            for endpoint, generation in endpoints.items():
                position = self._position_by_id.get(endpoint)
                if position is not None and generation == position.generation:
                    shares.setdefault(endpoint, (index + 1) / len(blocks))
        return shares

    def last_sequence(self, endpoint: ids.EndpointId) -> int | None:
        """Return the number of the last event known, None before any."""
        return self._position(endpoint).sequence

    def endpoints(self) -> list[ids.EndpointId]:
        """Return the endpoints that blocks were noted for."""
        return list(self._position_by_id)

    def apply_events(
        self,
        endpoint: ids.EndpointId,
        events: collections.abc.Iterable[reports.CacheEvent],
    ) -> None:
        """Take over events in any order; forget the endpoint at a gap."""
        for event in sorted(events, key=lambda e: e.sequence):
            position = self._position(endpoint)
            last = position.sequence
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence != last + 1:
                position.generation += 1
            position.sequence = event.sequence
            self.record_blocks(endpoint, event.stored)
            for block in event.dropped:
                self._generations_by_block.get(block, {}).pop(endpoint, None)

    def retain(self, endpoints: set[ids.EndpointId]) -> None:
        """Drop the endpoints that are not among those given."""
        for removed in self._position_by_id.keys() - endpoints:
            del self._position_by_id[removed]

    def _position(self, endpoint: ids.EndpointId) -> _CacheEventPosition:
        return self._position_by_id.setdefault(endpoint, _CacheEventPosition())
