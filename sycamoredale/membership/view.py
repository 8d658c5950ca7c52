"""Hold what this daemon knows of its peers.

What is known of one peer only moves forward: a higher incarnation wins,
and within an incarnation alive < suspect < dead < left.  Because merging
takes the maximum of a total order, daemons that have heard the same
reports in any order hold the same view.  Only the peer itself raises its
incarnation; that is how it refutes a suspicion (SWIM, Das and others,
2002).
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec
import xxhash

from sycamoredale import clock
from sycamoredale import ids

DAEMON_KIND: Final = "daemon"
DIGEST_MASK: Final = (1 << 48) - 1


class PeerState(enum.Enum):
    """State what this daemon believes of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(enum.Enum):
    """Distinguish the daemons."""

    ROUTER = "router"
    CONTROLLER = "controller"


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon; `address` is where peers reach it.

    The incarnation grows with each start under the same id.
    """

    id: ids.DaemonId
    address: str
    zone: ids.ZoneName
    role: Role
    incarnation: ids.Incarnation
    state: PeerState = PeerState.ALIVE


_RANK_BY_STATE: Final = {state: rank for rank, state in enumerate(PeerState)}


def precedence(peer: Peer) -> tuple[int, int, str, str, str]:
    """Return the key whose maximum is the latest word on a peer."""
    rank = _RANK_BY_STATE[peer.state]
    return (
        peer.incarnation,
        rank,
        peer.address,
        peer.zone,
        peer.role.value,
    )


@dataclasses.dataclass
class MembershipView:
    """Hold the peers by id, this daemon included."""

    own: Peer
    by_id: dict[ids.DaemonId, Peer] = dataclasses.field(default_factory=dict)
    state_since_by_id: dict[ids.DaemonId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    revision: int = 0
    _digest: int = 0
    _digest_revision: int = -1

    def __post_init__(self) -> None:
        """Know this daemon."""
        self.by_id[self.own.id] = self.own

    def merge(self, peer: Peer, now: clock.MonotonicTime) -> bool:
        """Take over a report if it is news; tell whether it was."""
        if peer.id == self.own.id:
            return self._refute(peer)
        recorded = self.by_id.get(peer.id)
        if recorded is not None and precedence(peer) <= precedence(recorded):
            return False
        self.by_id[peer.id] = peer
        self.state_since_by_id[peer.id] = now
        self.revision += 1
        return True

    def update_own(self, **changes: object) -> None:
        """Change the description of this daemon."""
        self.own = msgspec.structs.replace(self.own, **changes)
        self.by_id[self.own.id] = self.own
        self.revision += 1

    def set_state(
        self,
        peer: ids.DaemonId,
        incarnation: ids.Incarnation,
        state: PeerState,
        now: clock.MonotonicTime,
    ) -> bool:
        """Move an incarnation of a peer on to a state; tell if it moved."""
        recorded = self.by_id.get(peer)
        if recorded is None or recorded.incarnation != incarnation:
            return False
        return self.merge(msgspec.structs.replace(recorded, state=state), now)

    def remove(self, peer: ids.DaemonId) -> None:
        """Drop a peer that is dead or has left."""
        if self.by_id.pop(peer, None) is not None:
            self.state_since_by_id.pop(peer, None)
            self.revision += 1

    def peers(self) -> collections.abc.Iterator[Peer]:
        """Yield all known peers but this daemon."""
        return (p for p in self.by_id.values() if p.id != self.own.id)

    def live(self) -> collections.abc.Iterator[Peer]:
        """Yield the daemons, this one too, not known dead or gone."""
        for peer in self.by_id.values():
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT):
                yield peer

    def live_routers(self) -> collections.abc.Iterator[Peer]:
        """Yield the routers that are not known to be dead or gone."""
        return (p for p in self.live() if p.role is Role.ROUTER)

    def voters(self) -> collections.abc.Iterator[Peer]:
        """Yield the daemons that did not leave, dead ones included."""
        return (
            p for p in self.by_id.values() if p.state is not PeerState.LEFT
        )

    def alive_share(self) -> float:
        """Return the share of daemons believed alive, this one included.

        It falls to 1 / n on a daemon that is cut off from all peers.
        """
        voters = list(self.voters())
        alive = sum(p.state is PeerState.ALIVE for p in voters)
        return alive / len(voters)

    def digest(self) -> int:
        """Return a hash of the daemons that are not dead or gone."""
        if self._digest_revision != self.revision:
            total = sum(_peer_hash(peer) for peer in self.live())
            self._digest = total & DIGEST_MASK
            self._digest_revision = self.revision
        return self._digest

    def _refute(self, peer: Peer) -> bool:
        own = self.own
        if precedence(peer) <= precedence(own):
            return False
        if own.state is PeerState.LEFT:
            return False
        incarnation = ids.Incarnation(peer.incarnation + 1)
        self.update_own(incarnation=incarnation)
        return True


def _peer_hash(peer: Peer) -> int:
    return xxhash.xxh64_intdigest(f"{precedence(peer)}{peer.id}".encode())
