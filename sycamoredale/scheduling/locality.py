"""Select an endpoint near by, and leave the zone for what does not fit there.

Answers uneven zones: traffic between zones is slower and costs money, yet the
endpoints of a zone are too few while its callers are many or a part of its
endpoints is lost.

Endpoints are divided into tiers by their distance.  In each tier two are
sampled, because loads are tenths of a second old and daemons with the same
data would all select the least loaded endpoint.  A tier is left only for a
call for which its sample has no capacity, so that what leaves a zone is what
does not fit.  No share has to be agreed on, and opposite waves of two zones
need no forecast.  A farther endpoint has to be better by a margin: zones that
are all at capacity do not exchange their calls.
"""

import collections.abc
import dataclasses
import enum
import random
import typing
from typing import Final

# Up to this load nine calls of ten get their first event soon enough for an
# objective of 250 ms; at 0.7 they no longer do, as other daemons send to the
# endpoint at the same time.
MAX_LOAD_PER_SLOT: Final = 0.5
# A farther endpoint is worth a longer way if it is less loaded by this.  The
# loads of two endpoints differ by about as much by chance.
MIN_LOAD_GAIN: Final = 0.2
SAMPLED_ENDPOINTS: Final = 2


class Tier(enum.Enum):
    """Classify endpoints by their distance.

    SUBSET: those of the own zone that this daemon keeps connections to.
    ZONE: the others of the own zone.  OTHER_ZONES: all others.
    """

    SUBSET = "subset"
    ZONE = "zone"
    OTHER_ZONES = "other_zones"


EndpointT = typing.TypeVar("EndpointT")


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate how an endpoint would serve a call.

    `load_per_slot` counts the requests that are there before the call, and
    `is_in_time` tells whether the call would meet its objective, with the
    round trip to the zone of the endpoint.
    """

    load_per_slot: float
    is_in_time: bool

    @property
    def has_capacity(self) -> bool:
        """Return whether a nearer endpoint like this is good enough."""
        return self.is_in_time and self.load_per_slot < MAX_LOAD_PER_SLOT

    def is_worth_leaving_for(self, nearer: "Estimate") -> bool:
        """Return whether this one is better than a nearer one by a margin."""
        if self.is_in_time != nearer.is_in_time:
            return self.is_in_time
        return self.load_per_slot <= nearer.load_per_slot - MIN_LOAD_GAIN


@dataclasses.dataclass(frozen=True, slots=True)
class Choice(typing.Generic[EndpointT]):
    """Hold a selected endpoint, its tier and its estimate."""

    endpoint: EndpointT
    tier: Tier
    estimate: Estimate


def select(
    endpoints_by_tier: collections.abc.Mapping[
        Tier, collections.abc.Sequence[EndpointT]
    ],
    estimate: collections.abc.Callable[[EndpointT], Estimate],
    rng: random.Random,
    sample_size: int = SAMPLED_ENDPOINTS,
) -> Choice[EndpointT] | None:
    """Return the endpoint for a call, or None if no tier has any."""
    chosen: Choice[EndpointT] | None = None
    for sampled in _samples(endpoints_by_tier, estimate, rng, sample_size):
        if chosen is None or sampled.estimate.is_worth_leaving_for(
            chosen.estimate
        ):
            chosen = sampled
        if chosen.estimate.has_capacity:
            break
    return chosen


def _samples(
    endpoints_by_tier: collections.abc.Mapping[
        Tier, collections.abc.Sequence[EndpointT]
    ],
    estimate: collections.abc.Callable[[EndpointT], Estimate],
    rng: random.Random,
    sample_size: int,
) -> collections.abc.Iterator[Choice[EndpointT]]:
    """Yield the best of a sample of each tier, nearest first."""
    for tier in Tier:
        endpoints = endpoints_by_tier.get(tier, ())
        if not endpoints:
            continue
        count = min(sample_size, len(endpoints))
        yield min(
            (
                Choice(endpoint, tier, estimate(endpoint))
                for endpoint in rng.sample(endpoints, count)
            ),
            key=lambda choice: (
                not choice.estimate.is_in_time,
                choice.estimate.load_per_slot,
            ),
        )
