"""Choose the peers that a daemon keeps a relation with.

Every daemon orders the members on a few rings by a hash of their ids and
keeps a relation with its successor on each.  Rings within its zone carry
most traffic; rings over all daemons join the zones.  Each daemon so has a
bounded number of relations and the same number of daemons that watch it,
at any fleet size, and the links form an expander graph, on which news
travels in a number of hops that grows with the logarithm of the fleet
(Rapid, Suresh and others, 2018).  Daemons whose views differ choose
different relations for a while, which harms nothing.

A share of the daemons of each zone, its watchers, polls the object API;
the others hear from the watcher that the hash names.
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
    """Return the successors of this daemon on all rings, each once."""
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

    Routers come first, because they follow all that is shared.
    """
    live = [p for p in members.live() if p.zone == zone]
    count = -(-len(live) // DAEMONS_PER_WATCHER)
    ordered = sorted(
        live,
        key=lambda p: (p.role is not view.Role.ROUTER, _hash(p.id, "watcher")),
    )
    return ordered[:count]


def is_watcher(members: view.MembershipView) -> bool:
    """Tell whether this daemon polls the object API for its zone."""
    chosen = watchers(members, members.own.zone)
    return any(p.id == members.own.id for p in chosen)


def assigned_watcher(members: view.MembershipView) -> view.Peer | None:
    """Return the watcher that this daemon hears from, if it is another."""
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
    """Add the nearest successor on a ring that was not found before."""
    own_position = _hash(own.id, ring)
    best: view.Peer | None = None
    best_distance = 0
    for peer in candidates:
        if peer.id == own.id or peer.id in successors:
            continue
        distance = (_hash(peer.id, ring) - own_position) % (1 << 64)
        if best is None or distance < best_distance:
            best, best_distance = peer, distance
    if best is not None:
        successors[best.id] = best


def _hash(daemon: ids.DaemonId, salt: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{daemon}".encode())
