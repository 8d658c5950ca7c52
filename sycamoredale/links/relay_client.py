"""Reach endpoints through peers."""

import collections.abc
import dataclasses
import enum
import random
from typing import Final

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.links import relay_protocol
from sycamoredale.membership import view

PEER_CONNECT_SECONDS: Final = 0.15
# Includes the connection of the peer to the endpoint.
ANSWER_SECONDS: Final = 0.7
MAX_PEERS_ASKED: Final = 3


class Reachability(enum.Enum):
    """Classify what peers say of an endpoint; UNKNOWN if none could tell."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


IsIsolated = collections.abc.Callable[[ids.DaemonId], bool]


@dataclasses.dataclass
class RelayClient:
    """Open connections to endpoints through peers that have links."""

    members: view.MembershipView
    is_isolated: IsIsolated = lambda daemon: False
    rng: random.Random = dataclasses.field(default_factory=random.Random)

    async def open(self, address: messages.Address) -> client.Connection:
        """Return a connection through a peer.

        Raises ConnectionFailed if a peer with links does not reach the
        endpoint, and NoRelayAvailable if there is no such peer.
        """
        for peer in self._candidates()[:MAX_PEERS_ASKED]:
            try:
                connection = await _open_through(peer, address)
            except (OSError, curio.TaskTimeout):
                continue
            if connection is not None:
                return connection
        raise errors.NoRelayAvailable(
            error_codes.CONNECTION_FAILED,
            f"no peer with links could relay to {address}",
        )

    async def check(self, address: messages.Address) -> Reachability:
        """Return whether peers reach an endpoint."""
        try:
            connection = await self.open(address)
        except errors.NoRelayAvailable:
            return Reachability.UNKNOWN
        except errors.ConnectionFailed:
            return Reachability.UNREACHABLE
        await connection.close()
        return Reachability.REACHABLE

    def has_peers(self) -> bool:
        """Return whether this daemon knows any other."""
        return any(True for _ in self.members.peers())

    def _candidates(self) -> list[view.Peer]:
        """Return the peers to ask, in random order.

        A peer of the own zone goes before a single other one, so that it
        gets more of the load and not all of it.
        """
        peers = [
            peer
            for peer in self.members.peers()
            if peer.state is view.PeerState.ALIVE
            and peer.role is view.Role.ROUTER
            and not self.is_isolated(peer.id)
        ]
        self.rng.shuffle(peers)
        zone = self.members.own.zone
        return sorted(peers[:2], key=lambda p: p.zone != zone) + peers[2:]


async def _open_through(
    peer: view.Peer, address: messages.Address
) -> client.Connection | None:
    """Return a connection through a peer, None if it cannot tell.

    Raises ConnectionFailed if it does not reach the endpoint, and OSError or
    TaskTimeout if the peer itself cannot be reached.
    """
    try:
        sock = await client.open_socket(
            messages.parse_address(peer.address), PEER_CONNECT_SECONDS
        )
    except errors.ConnectionFailed:
        return None
    status = 0
    try:
        async with curio.timeout_after(ANSWER_SECONDS):
            status = await relay_protocol.request_relay(sock, address)
    finally:
        if status != relay_protocol.SWITCHING_STATUS:
            await sock.close()
    if status == relay_protocol.SWITCHING_STATUS:
        relayed = relay_protocol.RelayedSocket(sock)
        return client.Connection(address, relayed, relayed_by=peer.id)
    if status == relay_protocol.UNREACHABLE_STATUS:
        raise errors.ConnectionFailed(
            error_codes.CONNECTION_FAILED,
            f"daemon {peer.id} does not reach {address} either",
        )
    return None
