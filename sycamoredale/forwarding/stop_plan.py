"""Decide which work a stopping daemon still begins.

The grace of a stop ends open requests without an answer.  So a daemon that
stops begins only work that will probably be answered before that: it compares
the time left with what requests of the route have lately taken.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import catalogue

# Weights of a new observation, as in the estimate of round trip times of TCP.
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATIONS: Final = 2.0


@dataclasses.dataclass
class _Duration:
    mean: float
    deviation: float

    def observe(self, seconds: float) -> None:
        error = seconds - self.mean
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.mean += MEAN_WEIGHT * error


@dataclasses.dataclass
class StopPlan:
    """Hold when a stop ends, and how long the requests of a route take.

    `answers_until` is None unless the daemon stops.
    """

    answers_until: clock.MonotonicTime | None = None
    _duration_by_route: dict[str, _Duration] = dataclasses.field(
        default_factory=dict
    )

    def record_answered(self, route: catalogue.Route, seconds: float) -> None:
        """Record how long a request took until its answer was complete."""
        duration = self._duration_by_route.get(route.name)
        if duration is None:
            self._duration_by_route[route.name] = _Duration(
                seconds, seconds / 4
            )
        else:
            duration.observe(seconds)

    def usual_seconds(self, route: catalogue.Route) -> float:
        """Return how long nearly all requests of a route take."""
        duration = self._duration_by_route.get(route.name)
        if duration is None:
            return route.objective_seconds
        return duration.mean + DEVIATIONS * duration.deviation

    def may_begin(
        self, route: catalogue.Route, now: clock.MonotonicTime
    ) -> bool:
        """Return whether a request begun now is probably answered."""
        if self.answers_until is None:
            return True
        return now + self.usual_seconds(route) <= self.answers_until
