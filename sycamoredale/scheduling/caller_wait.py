"""Estimate how long a caller has waited before it sent a request.

Answers the crowd after an outage of all daemons: callers come back at once
with requests that have missed their objective already, and with as many new
ones.  In the order of their arrival all of them are late.  Requests whose
callers have certainly waited are queued behind the new ones.

A caller that comes back has less time left.  Callers of one route have similar
time limits, so that a shorter one shows the wait.  Some callers always have
short limits, so waits are estimated only until all that waited for the first
call of this daemon are gone.
"""

import dataclasses
from typing import Final

from sycamoredale import clock

# The time limits of the callers of a route differ by an eighth.  A wait that
# is shorter than that is not recognized.
MIN_LIMIT_SHARE: Final = 0.87
# A longer limit than those of the other callers counts for this time at least.
WINDOW_SECONDS: Final = 10.0


@dataclasses.dataclass(slots=True)
class _LongestLimit:
    """Hold the longest limits of the present window and of the one before."""

    began_at: clock.MonotonicTime
    present_seconds: float = 0.0
    last_seconds: float = 0.0

    def record(self, limit_seconds: float, now: clock.MonotonicTime) -> float:
        """Record a limit and return the longest one."""
        if now - self.began_at >= WINDOW_SECONDS:
            self.last_seconds = self.present_seconds
            self.present_seconds = 0.0
            self.began_at = now
        self.present_seconds = max(self.present_seconds, limit_seconds)
        return max(self.present_seconds, self.last_seconds)


@dataclasses.dataclass
class CallerWaits:
    """Learn the usual time limit of each route."""

    _first_at: clock.MonotonicTime | None = None
    _longest_by_route: dict[str, _LongestLimit] = dataclasses.field(
        default_factory=dict
    )

    def estimate_seconds(
        self,
        route: str,
        limit_seconds: float,
        timeout_seconds: float,
        now: clock.MonotonicTime,
    ) -> float:
        """Return how long the caller of a request has waited at least.

        Limits over the timeout of the route count as that.  It is 0 once a
        timeout has passed since the first call of any route.
        """
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at >= timeout_seconds:
            return 0.0
        limit_seconds = min(limit_seconds, timeout_seconds)
        longest = self._longest_by_route.setdefault(route, _LongestLimit(now))
        usual = longest.record(limit_seconds, now)
        return max(0.0, MIN_LIMIT_SHARE * usual - limit_seconds)

    def retain(self, routes: frozenset[str]) -> None:
        """Forget the routes that are no longer configured."""
        self._longest_by_route = {
            route: longest
            for route, longest in self._longest_by_route.items()
            if route in routes
        }
