"""Divide capacity among organisations by weighted max-min fairness.

No organisation gets more than its demand.  Capacity that one does not need
is divided among the others by weight, so capacity remains unused only when
all demands are satisfied (work conservation).
"""

import collections.abc
import dataclasses

from sycamoredale import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Describe the concurrent requests that an organisation demands."""

    requests: float
    weight: float = 1.0


def divide(
    capacity: float,
    by_organisation: collections.abc.Mapping[ids.OrganisationName, Demand],
) -> dict[ids.OrganisationName, float]:
    """Return the capacity allocated to each organisation."""
    shares: dict[ids.OrganisationName, float] = {}
    remaining = capacity
    remaining_weight = sum(d.weight for d in by_organisation.values())
    by_relative_demand = sorted(
        by_organisation.items(),
        key=lambda item: item[1].requests / item[1].weight,
    )
    for name, demand in by_relative_demand:
        fair_share = remaining * demand.weight / remaining_weight
        shares[name] = min(demand.requests, fair_share)
        remaining -= shares[name]
        remaining_weight -= demand.weight
    return shares
