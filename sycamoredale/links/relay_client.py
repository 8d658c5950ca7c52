"""Reach endpoints through peers."""

import collections.abc
import dataclasses
import enum
import random
import typing
from typing import Final

import curio

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.links import relay_protocol
from sycamoredale.membership import view
from sycamoredale.observability import logs

PEER_CONNECT_SECONDS: Final = 0.15
# Includes the connection of the peer to the endpoint.
ANSWER_SECONDS: Final = 0.5
PEERS_ASKED_AT_ONCE: Final = 2
MAX_PEERS_ASKED: Final = 6
MAX_PEERS_TRIED: Final = 3
LOG: Final = logs.get("links.relay")


class Reachability(enum.Enum):
    """Classify what peers say of an endpoint; UNKNOWN if none could tell."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


IsIsolated = collections.abc.Callable[[ids.DaemonId], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Say whether an endpoint is reachable, and by which peer."""

    reachability: Reachability
    peer: view.Peer | None = None


NO_ANSWER: Final = Answer(Reachability.UNKNOWN)


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
        for peer in self._candidates()[:MAX_PEERS_TRIED]:
            try:
                return await open_through(peer, address)
            except errors.NoRelayAvailable as error:
                LOG.info("relay_failed", peer=peer.id, reason=error.message)
        raise errors.NoRelayAvailable(
            error_codes.CONNECTION_FAILED,
            f"no peer with links could relay to {address}",
        )

    async def check(self, address: messages.Address) -> Answer:
        """Return the first answer of a peer that can tell.

        Two are asked at once, because one that has just lost its links as
        well may take long to say that it cannot tell.
        """
        candidates = iter(self._candidates()[:MAX_PEERS_ASKED])
        async with curio.TaskGroup() as group:
            for _ in range(PEERS_ASKED_AT_ONCE):
                await group.spawn(_check_in_turn, candidates, address)
            async for task in group:
                answer = task.result
                if answer.reachability is not Reachability.UNKNOWN:
                    await group.cancel_remaining()
                    return typing.cast("Answer", answer)
        return NO_ANSWER

    def has_peers(self) -> bool:
        """Return whether this daemon knows any other."""
        return any(True for _ in self.members.peers())

    def may_ask(self, daemon: ids.DaemonId) -> bool:
        """Return whether a peer is alive, not leaving and has links."""
        peer = self.members.by_id.get(daemon)
        return (
            peer is not None
            and peer.state is view.PeerState.ALIVE
            and peer.role is view.Role.ROUTER
            and not self.is_isolated(daemon)
        )

    def _candidates(self) -> list[view.Peer]:
        """Return the peers to ask, in random order.

        A peer of the own zone goes before a single other one, so that it
        gets more of the load and not all of it.
        """
        peers = [
            peer for peer in self.members.peers() if self.may_ask(peer.id)
        ]
        self.rng.shuffle(peers)
        zone = self.members.own.zone
        return sorted(peers[:2], key=lambda p: p.zone != zone) + peers[2:]


async def _check_in_turn(
    peers: collections.abc.Iterator[view.Peer], address: messages.Address
) -> Answer:
    """Ask peers one after the other until one can tell."""
    for peer in peers:
        answer = await _check_through(peer, address)
        if answer.reachability is not Reachability.UNKNOWN:
            return answer
    return NO_ANSWER


async def _check_through(peer: view.Peer, address: messages.Address) -> Answer:
    try:
        connection = await open_through(peer, address)
    except errors.NoRelayAvailable as error:
        LOG.info("relay_failed", peer=peer.id, reason=error.message)
        return NO_ANSWER
    except errors.ConnectionFailed:
        return Answer(Reachability.UNREACHABLE, peer)
    await connection.close()
    return Answer(Reachability.REACHABLE, peer)


async def open_through(
    peer: view.Peer, address: messages.Address
) -> client.Connection:
    """Return a connection through a peer.

    Raises ConnectionFailed if it does not reach the endpoint either, and
    NoRelayAvailable if it cannot tell.
    """
    try:
        sock = await client.open_socket(
            messages.parse_address(peer.address), PEER_CONNECT_SECONDS
        )
    except errors.ConnectionFailed as error:
        raise _cannot_relay(error.message) from error
    status = 0
    try:
        async with curio.timeout_after(ANSWER_SECONDS):
            status = await relay_protocol.request_relay(sock, address)
    except (OSError, curio.TaskTimeout) as error:
        raise _cannot_relay(repr(error)) from error
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
    raise _cannot_relay(f"status {status}")


def _cannot_relay(reason: str) -> errors.NoRelayAvailable:
    return errors.NoRelayAvailable(error_codes.CONNECTION_FAILED, reason)
