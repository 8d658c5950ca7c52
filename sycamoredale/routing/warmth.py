"""Record which endpoints have ended their cold start.

An endpoint of which nothing is known is cold.  A round counts how often
it has turned cold.  Of two records the one with the higher round holds,
and in one round warm holds over cold, so records may arrive in any order
and from anyone.
"""

from typing import Final

import msgspec

from sycamoredale import ids

KIND: Final = "warm-endpoints"


class Warmth(msgspec.Struct, frozen=True):
    """Tell whether an endpoint is warm in one round of its life."""

    endpoint: ids.EndpointId
    round: int = 0
    warm: bool = False


class DomainWarmth(msgspec.Struct, frozen=True):
    """Hold the records of one fabric domain."""

    domain: ids.DomainName
    records: list[Warmth] = []


def newer(left: Warmth, right: Warmth) -> Warmth:
    """Return the record that holds."""
    return max(left, right, key=lambda x: (x.round, x.warm))


def cold_again(known: Warmth) -> Warmth:
    """Return the record of a warm endpoint that has turned cold."""
    if not known.warm:
        return known
    return Warmth(known.endpoint, known.round + 1, False)


def merge(
    stored: DomainWarmth, records: dict[ids.EndpointId, Warmth]
) -> DomainWarmth:
    """Return the stored records joined with those that exist here.

    Records of endpoints that are not among `records` are dropped.
    """
    by_id = {x.endpoint: x for x in stored.records}
    merged = [
        newer(record, by_id.get(endpoint, record))
        for endpoint, record in sorted(records.items())
    ]
    return msgspec.structs.replace(stored, records=merged)
