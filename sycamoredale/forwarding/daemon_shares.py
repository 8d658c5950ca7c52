"""Divide a number of requests to an endpoint among all daemons.

Each daemon computes its share without asking the others, so that the sum
holds while they cannot communicate.  The daemons are ranked by a hash of
endpoint and daemon id, with the same result everywhere, and the first ones
get the requests that are left over.
"""

import collections.abc
import dataclasses
from typing import Final

import xxhash

from sycamoredale import clock
from sycamoredale import ids

# Ranking hundreds of daemons for each endpoint and call would take too long.
RANK_TTL_SECONDS: Final = 1.0

GetDaemons = collections.abc.Callable[
    [], collections.abc.Collection[ids.DaemonId]
]


@dataclasses.dataclass
class DaemonShares:
    """Compute the share of this daemon.

    `count_daemons` returns an upper bound, so that the sum is kept;
    `get_daemons` returns the known daemons, including this one.
    """

    own_id: ids.DaemonId
    count_daemons: collections.abc.Callable[[], int]
    get_daemons: GetDaemons
    _rank_by_endpoint: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )
    _count: int = 0
    _ranked_at: clock.MonotonicTime = clock.MonotonicTime(float("-inf"))

    def share(
        self, endpoint: ids.InstanceId, total: int, now: clock.MonotonicTime
    ) -> int:
        """Return how many of `total` requests this daemon may send."""
        if now - self._ranked_at > RANK_TTL_SECONDS:
            self._rank_by_endpoint.clear()
            self._count = self.count_daemons()
            self._ranked_at = now
        base, rest = divmod(total, self._count)
        return base + (rest > 0 and self._rank(endpoint) < rest)

    def _rank(self, endpoint: ids.InstanceId) -> int:
        rank = self._rank_by_endpoint.get(endpoint)
        if rank is None:
            own = _order(endpoint, self.own_id)
            rank = sum(
                _order(endpoint, daemon) < own for daemon in self.get_daemons()
            )
            self._rank_by_endpoint[endpoint] = rank
        return rank


def _order(endpoint: ids.InstanceId, daemon: ids.DaemonId) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint}:{daemon}".encode())
