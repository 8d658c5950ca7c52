"""Index the endpoints that cache a prefix of a prompt.

The index is built from the prompts that this router sent to each endpoint
and corrected by the engines' cache events.  Events arrive late and with
gaps.  After a gap all entries of the endpoint are invalidated, since a
wrong hit costs more than a miss.
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
    """Record up to which event an endpoint's cache events were applied.

    Index entries of an older generation than the position's are invalid.
    """

    sequence: int | None = None
    generation: int = 0


@dataclasses.dataclass
class PrefixIndex:
    """Map the chained hash of each prefix block to its endpoints.

    Both the blocks and the endpoints of a block are bounded; the least
    recently recorded ones are evicted.
    """

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
        """Record that an endpoint caches the blocks."""
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
        """Return the share of the blocks that each endpoint caches.

        Block hashes are chained, so an endpoint that caches a block
        caches all blocks before it.
        """
        shares: dict[ids.EndpointId, float] = {}
        for index in range(len(blocks) - 1, -1, -1):
            endpoints = self._generations_by_block.get(blocks[index], {})
            for endpoint, generation in endpoints.items():
                position = self._position_by_id.get(endpoint)
                if position is not None and generation == position.generation:
                    shares.setdefault(endpoint, (index + 1) / len(blocks))
        return shares

    def last_sequence(self, endpoint: ids.EndpointId) -> int | None:
        """Return the sequence number of the last event, None before any."""
        return self._position(endpoint).sequence

    def endpoints(self) -> list[ids.EndpointId]:
        """Return the endpoints that the index tracks."""
        return list(self._position_by_id)

    def apply_events(
        self,
        endpoint: ids.EndpointId,
        events: collections.abc.Iterable[reports.CacheEvent],
    ) -> None:
        """Apply events given in any order; a gap invalidates the endpoint."""
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
        """Drop all endpoints except those given."""
        for removed in self._position_by_id.keys() - endpoints:
            del self._position_by_id[removed]

    def _position(self, endpoint: ids.EndpointId) -> _CacheEventPosition:
        return self._position_by_id.setdefault(endpoint, _CacheEventPosition())
