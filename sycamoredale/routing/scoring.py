"""Pick the best of some candidate endpoints.

The cost of a candidate is its expected load relative to its capacity,
raised for stragglers and lowered by the share of the prompt that it holds
in its cache.  A cached prefix counts only while the endpoint's load stays
within a bound of the mean of the candidates (bounded load), so that a
popular prefix cannot overload one endpoint.
"""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale.routing import table

CACHE_WEIGHT: Final = 0.5
LOAD_BOUND_FACTOR: Final = 1.25
LOAD_SLACK_REQUESTS: Final = 1.0
SPILLOVER_LOAD: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what is decided from.

    `load` and `capacity` are in requests; `cached` is the share of the
    prompt in the endpoint's cache; `slowness` is at least 1.
    """

    endpoint: table.Endpoint
    load: float
    capacity: int
    slowness: float = 1.0
    cached: float = 0.0

    @property
    def relative_load(self) -> float:
        """Return the load with one more request, 1 at the capacity."""
        return (self.load + 1) * self.slowness / self.capacity


def select(
    candidates: collections.abc.Sequence[Candidate],
) -> Candidate | None:
    """Return the candidate of the lowest cost, the first of equals."""
    if not candidates:
        return None
    mean = sum(c.load for c in candidates) / len(candidates)
    bound = LOAD_BOUND_FACTOR * mean + LOAD_SLACK_REQUESTS
    return min(candidates, key=lambda c: _cost(c, bound))


def should_spill_over(
    candidates: collections.abc.Sequence[Candidate],
) -> bool:
    """Tell if no candidate has room before its queue would grow."""
    return all(c.relative_load > SPILLOVER_LOAD for c in candidates)


def _cost(candidate: Candidate, bound: float) -> float:
    load = candidate.relative_load
    if candidate.load > bound:
        return load
    return load - CACHE_WEIGHT * candidate.cached
