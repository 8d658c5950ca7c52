"""Divide capacity among organisations by weighted max-min fairness.

No organisation gets more than it wants.  What one leaves is divided among
the others by weight, so that capacity stands idle only when all have what
they want.
"""

import collections.abc
import dataclasses

from sycamoredale import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Hold how many requests an organisation wants to run at once."""

    requests: float
    weight: float = 1.0


def divide(
    capacity: float,
    by_organisation: collections.abc.Mapping[ids.OrganisationName, Demand],
) -> dict[ids.OrganisationName, float]:
    """Return the share of each organisation in the capacity."""
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
