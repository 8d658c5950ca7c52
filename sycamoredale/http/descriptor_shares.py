"""Divide the descriptors of a daemon among what opens sockets.

Callers, connections to endpoints, relays for peers and the daemon's own work
each have a share, so that none of them takes the last descriptor of another.
A daemon whose callers and endpoints have used up theirs still reaches the
store and its peers, and answers probes.
"""

import dataclasses
import resource
from typing import Final

# Logs, libraries and the event loop need some; the platform sets 200 aside.
FILE_DIVISOR: Final = 20
MAX_FILES: Final = 200
# Parts of the rest.  A request in progress takes one of the callers' and one
# of the endpoints'; idle callers and idle connections come on top.
PARTS: Final = 16
CALLER_PARTS: Final = 5
ENDPOINT_PARTS: Final = 4
RELAY_PARTS: Final = 1
# The holder of the lease keeps a connection to each instance that it probes;
# a new one for each probe would cost it processor time.
PROBE_PARTS: Final = 5
DESCRIPTORS_PER_RELAY: Final = 2
# For the heartbeats from and to the neighbours of a daemon, and some more.
MIN_PEERS: Final = 16
# With fewer, a share would be empty and nothing could be served.
MIN_SOCKETS: Final = 2 * PARTS


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Say how many connections of each kind a daemon may have.

    `reserve` is for the store, peers, readiness, metrics and single probes.
    `from_peers` and `to_peers` are the parts of it for connections that peers
    open, relays included, and for those that are opened to peers.
    """

    callers: int
    endpoints: int
    relays: int
    probes: int
    from_peers: int
    to_peers: int
    reserve: int


def divide(max_descriptors: int) -> DescriptorShares:
    """Return the shares of a daemon that may open so many descriptors."""
    files = min(MAX_FILES, max_descriptors // FILE_DIVISOR)
    sockets = max(max_descriptors - files, MIN_SOCKETS)
    callers = sockets * CALLER_PARTS // PARTS
    endpoints = sockets * ENDPOINT_PARTS // PARTS
    relays = max(1, sockets * RELAY_PARTS // PARTS // DESCRIPTORS_PER_RELAY)
    probes = max(1, sockets * PROBE_PARTS // PARTS)
    used = callers + endpoints + DESCRIPTORS_PER_RELAY * relays + probes
    reserve = max(1, sockets - used)
    return DescriptorShares(
        callers=callers,
        endpoints=endpoints,
        relays=relays,
        probes=probes,
        from_peers=relays + max(MIN_PEERS, reserve // 2),
        to_peers=max(MIN_PEERS, reserve // 4),
        reserve=reserve,
    )


def process_limit(configured: int) -> int:
    """Return the descriptors that the process may open, at most as set."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return configured
    return min(configured, allowed)
