"""Assign to each daemon a subset of the endpoints of its zone.

Answers the load of many daemons that each send few requests to each of many
endpoints: an idle connection is closed before its daemon needs it again, so
that nearly every request opens a new one.  With a subset, the daemon returns
to the same few endpoints in time.

Endpoints and daemons are ordered by hashes of their ids, so that each daemon
computes its subset alone.  Daemon i of n begins at i * m / n of m endpoints
and takes the next ones.  Each endpoint is in as many subsets as any other,
give or take one, and a daemon that joins or leaves shifts the others by one
position at most if there are as many daemons as endpoints.
"""

import collections.abc
import functools
from typing import Final

import xxhash

from sycamoredale import ids

# Two are sampled for a call, and two may be full, slow or lost.
SUBSET_ENDPOINTS: Final = 4


def subset_of(
    endpoints: collections.abc.Iterable[ids.InstanceId],
    daemons: collections.abc.Iterable[ids.DaemonId],
    own: ids.DaemonId,
    size: int = SUBSET_ENDPOINTS,
) -> frozenset[ids.InstanceId]:
    """Return the endpoints of one zone that the own daemon uses first.

    `daemons` are those of the zone.  A daemon that is not among them counts
    as one more.
    """
    ranked = sorted(endpoints, key=_order)
    if len(ranked) <= size:
        return frozenset(ranked)
    members = {*daemons, own}
    position = sum(_order(daemon) < _order(own) for daemon in members)
    first = position * len(ranked) // len(members)
    return frozenset(
        ranked[(first + offset) % len(ranked)] for offset in range(size)
    )


@functools.lru_cache(maxsize=4096)
def _order(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"subset/{name}".encode()), name
