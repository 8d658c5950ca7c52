"""Decide which share of the calls of a zone leaves it.

Answers uneven zones: traffic between zones is slower and costs money, yet the
endpoints of a zone are too few while its callers are many, or while a part of
its endpoints is lost.

A daemon compares the mean load of the endpoints near by with that of all
endpoints.  While the near ones are busier by a margin, a share of its calls
goes to endpoints of all zones; the share grows with the difference.  Loads are
tenths of a second old, so a call is not moved because a single endpoint looks
busy: the daemons that move it there would fill the next one.  Below a load at
which callers notice nothing, all calls stay.  Zones that are all busy have
equal loads and do not exchange their calls.
"""

import dataclasses
import math
from typing import Final

from sycamoredale import clock

# Up to this load per slot, the first event of an answer comes as soon as on an
# idle endpoint.
FREE_LOAD_PER_SLOT: Final = 0.3
# The mean of six endpoints differs by a tenth from that of all by chance.
MIN_EXCESS: Final = 1.15
# Calls stop to leave below this, so that the decision does not alternate.
MAX_EXCESS_AT_END: Final = 1.05
# With an exponent of 2, two thirds of a difference are levelled out once the
# calls that leave no longer count in the load near by.
SHARE_EXPONENT: Final = 2.0
# Longer than loads are old, and short against waves of demand.
SMOOTHING_SECONDS: Final = 1.0


@dataclasses.dataclass
class LeavingShare:
    """Hold the smoothed loads per slot, near by and of all endpoints."""

    near_load: float = 0.0
    fleet_load: float = 0.0
    is_leaving: bool = False
    _updated_at: clock.MonotonicTime | None = None

    def is_due(
        self, now: clock.MonotonicTime, interval_seconds: float
    ) -> bool:
        """Return whether the last update was an interval ago."""
        updated_at = self._updated_at
        return updated_at is None or now - updated_at >= interval_seconds

    def update(
        self, near_load: float, fleet_load: float, now: clock.MonotonicTime
    ) -> bool:
        """Add loads; return whether calls begin or stop to leave."""
        weight = 1.0
        if self._updated_at is not None:
            age = now - self._updated_at
            weight = 1.0 - math.exp(-age / SMOOTHING_SECONDS)
        self._updated_at = now
        self.near_load += weight * (near_load - self.near_load)
        self.fleet_load += weight * (fleet_load - self.fleet_load)
        was_leaving = self.is_leaving
        excess = MAX_EXCESS_AT_END if was_leaving else MIN_EXCESS
        self.is_leaving = self.near_load > max(
            FREE_LOAD_PER_SLOT, excess * self.fleet_load
        )
        return self.is_leaving != was_leaving

    @property
    def share(self) -> float:
        """Return the share of the calls that leave, 0 to 1."""
        if not self.is_leaving:
            return 0.0
        ratio = self.fleet_load / self.near_load
        return 1.0 - math.pow(ratio, SHARE_EXPONENT)
