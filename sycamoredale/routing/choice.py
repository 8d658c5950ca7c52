"""Choose the endpoint that runs a request."""

import collections.abc

from sycamoredale import ids
from sycamoredale.routing import table


def least_in_flight(
    candidates: collections.abc.Iterable[table.Endpoint],
    own_zone: ids.ZoneName,
    excluded: collections.abc.Set[ids.EndpointId],
) -> table.Endpoint | None:
    """Return the least loaded candidate, in the own zone on a tie."""
    usable = (c for c in candidates if c.id not in excluded)
    return min(
        usable,
        key=lambda c: (c.in_flight, c.zone != own_zone, c.id),
        default=None,
    )
