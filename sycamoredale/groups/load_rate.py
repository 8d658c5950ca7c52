"""Bound how many loads from the weight store start in a window.

The bound of the store holds whoever orders the loads.  A successor in the
lease knows nothing of the loads that were ordered just before, so each
owner takes a half.
"""

import collections
import dataclasses
from typing import Final

from sycamoredale import clock

# Two owners of the lease may order loads within one window.
OWNER_SHARE: Final = 0.5


@dataclasses.dataclass
class LoadRateLimiter:
    """Count the loads that were ordered in a sliding window of seconds."""

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
        """Count loads that are ordered now."""
        self._ordered.extend([now] * loads)
