"""Maintain this daemon's view of the fleet.

Reports on a peer are totally ordered: a higher incarnation wins, and within
an incarnation alive < suspect < dead < left.  Merging takes the maximum, so
daemons that received the same reports in any order have the same view.
Only the peer itself raises its incarnation, which is how it refutes a
suspicion (SWIM, Das and others, 2002).
"""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec
import xxhash

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.observability import logs

DAEMON_KIND: Final = "daemon"
DIGEST_MASK: Final = (1 << 48) - 1
LOG: Final = logs.get("membership.view")


class PeerState(enum.Enum):
    """Classify the liveness of a peer, in order of precedence."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(enum.Enum):
    """Distinguish the kinds of daemons."""

    ROUTER = "router"
    CONTROLLER = "controller"


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon as seen by others; `address` is its peer address.

    The incarnation increases with each start under the same id.
    `cores` is the processor time that the daemon may use, 0 if its build does
    not tell.
    """

    id: ids.DaemonId
    address: str
    zone: ids.ZoneName
    role: Role
    incarnation: ids.Incarnation
    state: PeerState = PeerState.ALIVE
    cores: float = 0.0


_RANK_BY_STATE: Final = {state: rank for rank, state in enumerate(PeerState)}


def precedence(peer: Peer) -> tuple[int, int, str, str, str]:
    """Return the sort key by which the latest report on a peer wins."""
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
    """Record the latest report on each daemon, this one included.

    `revision` increases with each change of the view.
    """

    own: Peer
    by_id: dict[ids.DaemonId, Peer] = dataclasses.field(default_factory=dict)
    state_since_by_id: dict[ids.DaemonId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )
    revision: int = 0
    _digest: int = 0
    _digest_revision: int = -1

    def __post_init__(self) -> None:
        """Add this daemon to the view."""
        self.by_id[self.own.id] = self.own

    def merge(self, peer: Peer, now: clock.MonotonicTime) -> bool:
        """Apply a report if it takes precedence; return whether it did.

        A report on this daemon is never applied; if it takes precedence, it
        raises the incarnation of this daemon.
        """
        recorded = self.by_id.get(peer.id)
        if recorded is not None and precedence(peer) <= precedence(recorded):
            return False
        try:
            check_peer(peer.address, peer.incarnation)
        except ValueError as error:
            LOG.warning("member_malformed", id=peer.id, reason=str(error))
            return False
        if peer.id == self.own.id:
            return self._refute(peer)
        self.by_id[peer.id] = peer
        self.state_since_by_id[peer.id] = now
        self.revision += 1
        return True

    def update_own(self, **changes: object) -> None:
        """Replace fields in the description of this daemon."""
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
        """Set the state of an incarnation; return whether it changed."""
        recorded = self.by_id.get(peer)
        if recorded is None or recorded.incarnation != incarnation:
            return False
        return self.merge(msgspec.structs.replace(recorded, state=state), now)

    def remove(self, peer: ids.DaemonId) -> None:
        """Remove a peer that is dead or has left."""
        if self.by_id.pop(peer, None) is not None:
            self.state_since_by_id.pop(peer, None)
            self.revision += 1

    def incarnation_of(self, peer: ids.DaemonId) -> ids.Incarnation:
        """Return the last known incarnation of a daemon, 0 without any."""
        known = self.by_id.get(peer)
        return known.incarnation if known else ids.Incarnation(0)

    def peers(self) -> collections.abc.Iterator[Peer]:
        """Yield all daemons except this one."""
        return (p for p in self.by_id.values() if p.id != self.own.id)

    def live(self) -> collections.abc.Iterator[Peer]:
        """Yield the alive and suspected daemons, including this one."""
        for peer in self.by_id.values():
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT):
                yield peer

    def live_routers(self) -> collections.abc.Iterator[Peer]:
        """Yield the alive and suspected routers."""
        return (p for p in self.live() if p.role is Role.ROUTER)

    def voters(self) -> collections.abc.Iterator[Peer]:
        """Yield the daemons that have not left, including dead ones."""
        return (
            p for p in self.by_id.values() if p.state is not PeerState.LEFT
        )

    def possible_senders(
        self, leaving_seconds: float, now: clock.MonotonicTime
    ) -> collections.abc.Iterator[Peer]:
        """Yield the daemons that may still send requests, including this one.

        Those that have announced their end go on for `leaving_seconds`, and
        those that count as dead may only be disconnected.
        """
        for peer in self.by_id.values():
            left_at = self.state_since_by_id.get(peer.id, now)
            if (
                peer.state is not PeerState.LEFT
                or peer.id == self.own.id
                or now - left_at < leaving_seconds
            ):
                yield peer

    def alive_share(self) -> float:
        """Return the alive fraction of the voters, including this daemon.

        It falls to 1 / n on a daemon that is disconnected from all peers.
        """
        voters = list(self.voters())
        alive = sum(p.state is PeerState.ALIVE for p in voters)
        return alive / len(voters)

    def digest(self) -> int:
        """Return an order-independent hash of the live daemons."""
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


def check_peer(address: str, incarnation: int) -> None:
    """Raise ValueError if no daemon can have this address or incarnation."""
    messages.parse_destination(address)
    if not 0 <= incarnation <= decoding.MAX_INTEGER:
        raise ValueError(f"incarnation {incarnation} is out of range")
