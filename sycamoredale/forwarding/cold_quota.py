"""Divide the request rate of a cold endpoint among all daemons.

Each daemon uses its part without asking the others, so that the limit holds
while they cannot communicate.  Where there are more daemons than requests,
the daemons are ranked by a hash of endpoint and daemon id, with the same
result everywhere, and the first ones may send.
"""

import collections.abc
import dataclasses

import xxhash

from sycamoredale import ids

GetDaemons = collections.abc.Callable[
    [], collections.abc.Collection[ids.DaemonId]
]


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimits:
    """Limit the requests of all daemons to a cold endpoint.

    In one second they send up to the rate that it sustains times `factor`,
    plus `burst`.
    """

    factor: float
    burst: float


@dataclasses.dataclass(frozen=True)
class ColdQuota:
    """Compute how many requests this daemon may send to a cold endpoint.

    `count_daemons` returns an upper bound, so that the limit is kept;
    `get_daemons` returns the known daemons, including this one.
    """

    limits: ColdLimits
    own_id: ids.DaemonId
    count_daemons: collections.abc.Callable[[], int]
    get_daemons: GetDaemons

    def sends_per_second(
        self, endpoint: ids.InstanceId, capacity: float
    ) -> int:
        """Return how many requests a second this daemon may send.

        `capacity` is the rate that the endpoint sustains, per second.
        """
        total = int(capacity * self.limits.factor + self.limits.burst)
        count = self.count_daemons()
        if total >= count:
            return total // count
        ranked = sorted(
            self.get_daemons(),
            key=lambda d: xxhash.xxh64_intdigest(f"{endpoint}:{d}".encode()),
        )
        return int(self.own_id in ranked[:total])
