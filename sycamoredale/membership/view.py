"""Hold what this daemon knows of its peers."""

import collections.abc
import dataclasses
import enum
from typing import Final

import msgspec

from sycamoredale import ids

DAEMON_KIND: Final = "daemon"


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


class Peer(msgspec.Struct, frozen=True):
    """Describe a daemon; `address` is where peers reach it.

    The incarnation grows with each start under the same id.
    """

    id: ids.DaemonId
    address: str
    zone: ids.ZoneName
    role: Role
    incarnation: ids.Incarnation
    state: PeerState = PeerState.ALIVE


@dataclasses.dataclass
class MembershipView:
    """Hold the peers by id, this daemon included."""

    own: Peer
    by_id: dict[ids.DaemonId, Peer] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Know this daemon."""
        self.by_id[self.own.id] = self.own

    def usable_routers(self) -> collections.abc.Iterator[Peer]:
        """Yield the routers that are not known to be dead or gone."""
        for peer in self.by_id.values():
            if peer.role is Role.ROUTER and peer.state in (
                PeerState.ALIVE,
                PeerState.SUSPECT,
            ):
                yield peer
