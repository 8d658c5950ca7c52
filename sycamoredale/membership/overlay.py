"""Select the neighbours and the watchers of a daemon.

Every daemon orders the members on several hash rings, by a hash of their
ids, and exchanges heartbeats with its successor on each.  The rings within a
zone carry most traffic, and the rings over all daemons connect the zones.
At any fleet size, each daemon has a bounded number of neighbours and is
monitored by as many daemons.  The links form an expander graph, so the
number of hops until every daemon is reached grows with the logarithm of the
fleet size (Rapid, Suresh and others, 2018).  Daemons with different views
temporarily select different neighbours, which does no harm.

Some daemons of each zone, its watchers, poll the object API.  Each of the
others is assigned one watcher by hash and receives changes from it.
"""

import collections.abc
from typing import Final

import xxhash

from sycamoredale import ids
from sycamoredale.membership import view

ZONE_RINGS: Final = 3
GLOBAL_RINGS: Final = 2
DAEMONS_PER_WATCHER: Final = 3


def neighbours(members: view.MembershipView) -> list[view.Peer]:
    """Return the distinct successors of this daemon on all rings."""
    live = list(members.live())
    zone = [p for p in live if p.zone == members.own.zone]
    successors: dict[ids.DaemonId, view.Peer] = {}
    for ring in range(ZONE_RINGS):
        _add_successor(successors, zone, members.own, f"zone-{ring}")
    for ring in range(GLOBAL_RINGS):
        _add_successor(successors, live, members.own, f"global-{ring}")
    return list(successors.values())


def watchers(
    members: view.MembershipView, zone: ids.ZoneName
) -> list[view.Peer]:
    """Return the daemons of a zone that poll the object API.

    Routers are preferred, because they follow all shared state.
    """
    live = [p for p in members.live() if p.zone == zone]
    count = -(-len(live) // DAEMONS_PER_WATCHER)
    ordered = sorted(
        live,
        key=lambda p: (p.role is not view.Role.ROUTER, _hash(p.id, "watcher")),
    )
    return ordered[:count]


def is_watcher(members: view.MembershipView) -> bool:
    """Return whether this daemon polls the object API for its zone."""
    chosen = watchers(members, members.own.zone)
    return any(p.id == members.own.id for p in chosen)


def assigned_watcher(members: view.MembershipView) -> view.Peer | None:
    """Return the watcher assigned to this daemon, None if it is one."""
    chosen = watchers(members, members.own.zone)
    if any(p.id == members.own.id for p in chosen):
        return None
    return min(chosen, key=lambda p: _hash(p.id, members.own.id), default=None)


def _add_successor(
    successors: dict[ids.DaemonId, view.Peer],
    candidates: collections.abc.Iterable[view.Peer],
    own: view.Peer,
    ring: str,
) -> None:
    """Add the nearest successor on a ring that is not yet included."""
    own_position = _hash(own.id, ring)
    nearest: view.Peer | None = None
    nearest_distance = 0
    for peer in candidates:
        if peer.id == own.id or peer.id in successors:
            continue
        distance = (_hash(peer.id, ring) - own_position) % (1 << 64)
        if nearest is None or distance < nearest_distance:
            nearest, nearest_distance = peer, distance
    if nearest is not None:
        successors[nearest.id] = nearest


def _hash(daemon: ids.DaemonId, salt: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{daemon}".encode())
