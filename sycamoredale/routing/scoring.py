"""Score candidate endpoints and select the best one.

The cost of a candidate is its expected load relative to its capacity,
raised for stragglers and lowered by the share of the prompt in its cache.
A cached prefix lowers the cost only while the endpoint's load stays within
a bound relative to the candidates' mean load (consistent hashing with
bounded loads), so that a popular prefix cannot overload one endpoint.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale.routing import table

# Relative load that a fully cached prompt outweighs.
CACHE_WEIGHT: Final = 0.5
LOAD_BOUND_FACTOR: Final = 1.25
LOAD_SLACK_REQUESTS: Final = 1.0
SPILLOVER_LOAD: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe the properties of an endpoint that determine its cost.

    `load` and `capacity` are in requests; `cached` is the share of the
    prompt in the endpoint's cache; `slowdown` is the latency relative to
    the endpoint's peers, at least 1.
    """

    endpoint: table.Endpoint
    load: float
    capacity: int
    slowdown: float = 1.0
    cached: float = 0.0

    @property
    def relative_load(self) -> float:
        """Return the load after one more request; 1 is the capacity."""
        return (self.load + 1) * self.slowdown / self.capacity


def select(
    candidates: collections.abc.Sequence[Candidate],
) -> Candidate | None:
    """Return the first candidate of the lowest cost, None without any."""
    if not candidates:
        return None
    mean = sum(c.load for c in candidates) / len(candidates)
    bound = LOAD_BOUND_FACTOR * mean + LOAD_SLACK_REQUESTS
    return min(candidates, key=lambda c: _cost(c, bound))


def should_spill_over(
    candidates: collections.abc.Sequence[Candidate],
) -> bool:
    """Return whether every candidate is near its capacity."""
    return all(c.relative_load > SPILLOVER_LOAD for c in candidates)


def _cost(candidate: Candidate, bound: float) -> float:
    load = candidate.relative_load
    if candidate.load > bound:
        return load
    return load - CACHE_WEIGHT * candidate.cached
