"""Run the membership of one daemon in the fleet."""

import dataclasses
import random
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.membership import freshness
from sycamoredale.membership import gossip
from sycamoredale.membership import heartbeats
from sycamoredale.membership import overlay
from sycamoredale.membership import peer_messages
from sycamoredale.membership import peer_service
from sycamoredale.membership import registry
from sycamoredale.membership import status
from sycamoredale.membership import view
from sycamoredale.object_api import budget
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale import supervision

SEED_INTERVAL_SECONDS: Final = 2.0
DEREGISTER_TIMEOUT_SECONDS: Final = 2.0
# Neighbours send every three seconds.  A daemon that has lost the store asks
# ten peers a second over new connections, which are not needed again.
PEER_LIMITS: Final = server.Limits(
    header_limit_bytes=8 * 1024,
    request_timeout_seconds=5.0,
    idle_timeout_seconds=10.0,
)
LOG: Final = logs.get("membership.node")


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOptions:
    """Configure the identity and the addresses of a node.

    `advertise` is the address given to peers if it differs from `listen`.
    `seeds` are addresses of daemons to contact while no peer is known.
    `cores` is the processor time that the daemon may use.
    """

    daemon: ids.DaemonId
    zone: ids.ZoneName
    role: view.Role
    listen: messages.Address
    seeds: tuple[messages.Address, ...] = ()
    advertise: messages.Address | None = None
    cores: float = 0.0


class Node:
    """Combine view, heartbeats, gossip, registry and peer service."""

    def __init__(
        self,
        options: NodeOptions,
        store: objects.ObjectStore,
        started: clock.WallTime,
        delays: loop_delays.LoopDelays | None = None,
    ) -> None:
        """Initialize the node without listening.

        The incarnation is derived from the wall clock.  If the clock was set
        back since the last start, answers of peers raise the incarnation
        above the previous one.
        """
        incarnation = ids.Incarnation(int(started * 1000))
        self.members: Final = view.MembershipView(
            view.Peer(
                options.daemon,
                str(options.listen),
                options.zone,
                options.role,
                incarnation,
                cores=options.cores,
            )
        )
        self.gossip: Final = gossip.Gossip(
            options.daemon,
            first_sequence=gossip.first_sequence(started),
            get_incarnation=self.members.incarnation_of,
        )
        self.freshness: Final = freshness.Freshness()
        self.pool: Final = client.Pool()
        self.peers: Final = peer_service.PeerService(self.members, self.pool)
        self.versions: peer_messages.StateVersions = (
            peer_messages.StateVersions()
        )
        self._versions_listeners: list[heartbeats.OnPeerVersions] = []
        self._is_watcher = False
        self._watcher_revision = -1
        self.heartbeats: Final = heartbeats.Heartbeats(
            self.members,
            self.peers,
            self.gossip,
            self.freshness,
            lambda: self.versions,
            self._on_peer_versions,
            random.Random(incarnation),
            delays or loop_delays.LoopDelays(),
        )
        self.registry: Final = registry.Registry(
            store.with_priority(budget.Priority.BACKGROUND), self.members
        )
        self.peers.register(status.PATH, self._answer_status)
        self._options = options
        self._server = server.Server(self.peers.handle, PEER_LIMITS)

    async def start(self) -> messages.Address:
        """Start the peer service and return the address it is bound to."""
        bound = self._server.bind(self._options.listen)
        self.members.update_own(address=str(self._options.advertise or bound))
        await self._server.start()
        LOG.info("peer_service_listening", address=str(bound))
        await supervision.spawn("heartbeats", self.heartbeats.run)
        await supervision.spawn("registry", self.registry.run)
        await supervision.spawn("seeds", self._contact_seeds)
        return bound

    async def stop(self) -> None:
        """Announce to the peers that this daemon leaves, and deregister."""
        await self.heartbeats.leave()
        async with curio.ignore_after(DEREGISTER_TIMEOUT_SECONDS):
            await self.registry.deregister()

    def limit_connections(self, from_peers: int, to_peers: int) -> None:
        """Set how many connections peers and this daemon may open."""
        self._server.set_limits(
            dataclasses.replace(PEER_LIMITS, max_connections=from_peers)
        )
        self.pool.max_open = to_peers

    def peer_connection_count(self) -> int:
        """Return how many connections of peers are open."""
        return self._server.connection_count()

    def add_versions_listener(
        self, listener: heartbeats.OnPeerVersions
    ) -> None:
        """Call the listener with the versions in each heartbeat received."""
        self._versions_listeners.append(listener)

    def update_versions(
        self,
        generation: ids.Generation | None = None,
        assignments: ids.ObjectVersion | None = None,
    ) -> None:
        """Set the versions in force and announce them immediately."""
        current = self.versions
        self.versions = peer_messages.StateVersions(
            current.generation if generation is None else generation,
            current.assignments if assignments is None else assignments,
        )
        self.gossip.has_urgent = True

    def is_watcher(self) -> bool:
        """Return whether this daemon polls the object API for its zone."""
        if self._watcher_revision != self.members.revision:
            self._watcher_revision = self.members.revision
            self._is_watcher = overlay.is_watcher(self.members)
        return self._is_watcher

    def has_confirmed_no_peers(self) -> bool:
        """Return whether the object API was listed and no peer is live."""
        return self.registry.has_listed and self.count_live_daemons() == 1

    def count_live_daemons(self) -> int:
        """Return the number of daemons that are not dead and have not left."""
        return sum(1 for _ in self.members.live())

    def standing(self, now: clock.MonotonicTime) -> freshness.Standing:
        """Decide whether this daemon may dispatch new work."""
        if self.freshness.age(now) <= freshness.MAX_AGE_SECONDS:
            return freshness.Standing.FRESH
        voters = {peer.id for peer in self.members.voters()}
        return self.freshness.standing(voters, now)

    async def _answer_status(self, body: bytes) -> bytes:
        del body
        now = clock.monotonic()
        age = self.freshness.age(now)
        report = status.DaemonStatus(
            daemon=self.members.own.id,
            generation=self.versions.generation,
            standing=self.standing(now),
            age_seconds=round(age, 3) if age != float("inf") else -1.0,
            daemons_alive=self.count_live_daemons(),
            watcher=self.is_watcher(),
        )
        return msgspec.json.encode(report)

    async def _contact_seeds(self) -> None:
        while self._options.seeds:
            if len(self.members.by_id) == 1:
                for address in self._options.seeds:
                    await self.heartbeats.contact_seed(str(address))
            await curio.sleep(SEED_INTERVAL_SECONDS)

    async def _on_peer_versions(
        self, peer: ids.DaemonId, versions: peer_messages.StateVersions
    ) -> None:
        for listener in self._versions_listeners:
            await listener(peer, versions)
