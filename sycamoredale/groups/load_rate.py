"""Limit how many loads from the weight store start in a time window.

The limit of the store covers all controllers.  A new owner of the lease has
no record of the loads that the previous owner ordered just before, so each
owner uses half of the limit.
"""

import collections
import dataclasses
from typing import Final

from sycamoredale import clock

# Two owners of the lease may order loads within one window.
OWNER_SHARE: Final = 0.5


@dataclasses.dataclass
class LoadRateLimiter:
    """Limit the loads ordered in a sliding window."""

    window_seconds: float
    _ordered: collections.deque[clock.MonotonicTime] = dataclasses.field(
        default_factory=collections.deque
    )

    def available(self, per_second: float, now: clock.MonotonicTime) -> int:
        """Return how many loads may be ordered now."""
        while self._ordered and (
            self._ordered[0] <= now - self.window_seconds
        ):
            self._ordered.popleft()
        allowed = per_second * self.window_seconds * OWNER_SHARE
        return int(allowed) - len(self._ordered)

    def record(self, loads: int, now: clock.MonotonicTime) -> None:
        """Record loads that are ordered now."""
        self._ordered.extend([now] * loads)
