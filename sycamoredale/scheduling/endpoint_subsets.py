"""Assign to each daemon a subset of the endpoints of a model.

Answers the load of many daemons that each send few requests to each of many
endpoints: an idle connection is closed before its daemon needs it again, so
that nearly every request opens a new one.  With a subset, the daemon returns
to the same few endpoints in time.

Endpoints and daemons are ranked alike, so that each daemon computes its subset
alone.  Daemon i of n begins at i * m / n of m endpoints and takes the next
ones.  Each endpoint is in as many subsets as any other, give or take one for
each of its places, and a daemon that joins or leaves shifts the others by one
place at most if there are as many daemons as endpoints.

Ranked by zone first, a daemon gets endpoints of its own zone, and a zone with
too few endpoints for its daemons gets the nearest places of the next zone.
Ranked by hash alone, it gets endpoints of all zones.
"""

import collections.abc
import functools
from typing import Final

import xxhash

from sycamoredale import ids

# Two of them are sampled for a call, and others may be full, slow or lost.
# With six of 45 endpoints and 63 daemons, a quarter of the calls of a model
# opens a connection; with all of them, two thirds do.
SUBSET_ENDPOINTS: Final = 6

# The id of an endpoint or daemon, and its zone.
Member = tuple[str, ids.ZoneName]


def near_subset(
    endpoints: collections.abc.Iterable[Member],
    daemons: collections.abc.Iterable[Member],
    own: Member,
) -> frozenset[str]:
    """Return the endpoints for a daemon, of its zone as far as they suffice.

    The own daemon counts also if it is not among `daemons`.
    """
    return _subset(endpoints, daemons, own, _zone_order)


def wide_subset(
    endpoints: collections.abc.Iterable[Member],
    daemons: collections.abc.Iterable[Member],
    own: Member,
) -> frozenset[str]:
    """Return the endpoints for a daemon without regard to zones."""
    return _subset(endpoints, daemons, own, _order)


def _subset(
    endpoints: collections.abc.Iterable[Member],
    daemons: collections.abc.Iterable[Member],
    own: Member,
    order: collections.abc.Callable[[Member], tuple[object, ...]],
) -> frozenset[str]:
    ranked = [name for name, _ in sorted(endpoints, key=order)]
    if len(ranked) <= SUBSET_ENDPOINTS:
        return frozenset(ranked)
    ranked_daemons = sorted({*daemons, own}, key=order)
    position = ranked_daemons.index(own)
    first = position * len(ranked) // len(ranked_daemons)
    return frozenset(
        ranked[(first + offset) % len(ranked)]
        for offset in range(SUBSET_ENDPOINTS)
    )


@functools.lru_cache(maxsize=4096)
def _order(member: Member) -> tuple[object, ...]:
    return xxhash.xxh64_intdigest(f"subset/{member[0]}".encode()), member[0]


def _zone_order(member: Member) -> tuple[object, ...]:
    return member[1], *_order(member)
