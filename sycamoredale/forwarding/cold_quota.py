"""Limit the requests of this daemon to a cold endpoint."""

import dataclasses

from sycamoredale import clock
from sycamoredale.forwarding import daemon_shares
from sycamoredale import ids


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
    """Compute how many requests this daemon may send to a cold endpoint."""

    limits: ColdLimits
    shares: daemon_shares.DaemonShares

    def sends_per_second(
        self,
        endpoint: ids.InstanceId,
        capacity: float,
        now: clock.MonotonicTime,
    ) -> int:
        """Return how many requests a second this daemon may send.

        `capacity` is the rate that the endpoint sustains, per second.  Where
        each daemon has a share, what is left over is not used.
        """
        total = int(capacity * self.limits.factor + self.limits.burst)
        count = self.shares.count_daemons()
        if total >= count:
            return total // count
        return self.shares.share(endpoint, total, now)
