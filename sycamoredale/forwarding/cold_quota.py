"""Share what a cold endpoint bears among all daemons.

Each daemon sends its part without asking the others, so that the bound
holds while they are out of touch.  Where there are more daemons than sends,
one draw by endpoint and daemon, the same everywhere, says whose turn it is.
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
    """Bound the sends to cold endpoints over all daemons."""

    factor: float
    burst: float


@dataclasses.dataclass(frozen=True)
class ColdQuota:
    """Tell how many requests a second this daemon may send.

    `count_daemons` counts rather too many; `get_daemons` names those that
    are known, this one among them.
    """

    bounds: ColdLimits
    own_id: ids.DaemonId
    count_daemons: collections.abc.Callable[[], int]
    get_daemons: GetDaemons

    def sends_per_second(
        self, endpoint: ids.InstanceId, capacity: float
    ) -> int:
        """Return the sends a second to an endpoint that bears a rate."""
        whole = int(capacity * self.bounds.factor + self.bounds.burst)
        count = self.count_daemons()
        if whole >= count:
            return whole // count
        drawn = sorted(
            self.get_daemons(),
            key=lambda d: xxhash.xxh64_intdigest(f"{endpoint}:{d}".encode()),
        )
        return int(self.own_id in drawn[:whole])
