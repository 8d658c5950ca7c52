"""Join the parts that make a daemon a member of the fleet."""

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

SEED_SECONDS: Final = 2.0
PEER_LIMITS: Final = server.Limits(header_bytes=8 * 1024, request_seconds=5.0)
LOG: Final = logs.get("membership.node")


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Say who a daemon is and where its peers find it."""

    daemon: ids.DaemonId
    zone: ids.ZoneName
    role: view.Role
    listen: messages.Address
    seeds: tuple[messages.Address, ...] = ()
    advertise: messages.Address | None = None


class Node:
    """Hold view, relay, freshness and service for peers of one daemon."""

    def __init__(
        self,
        identity: Identity,
        store: objects.ObjectStore,
        started: clock.WallTime,
    ) -> None:
        """Build the parts; nothing listens until `start`.

        The wall clock gives the first incarnation; should it have gone
        back, the peers' answers raise the incarnation above the old one.
        """
        incarnation = ids.Incarnation(int(started * 1000))
        self.members: Final = view.MembershipView(
            view.Peer(
                identity.daemon,
                str(identity.listen),
                identity.zone,
                identity.role,
                incarnation,
            )
        )
        self.gossip: Final = gossip.Gossip(
            identity.daemon, first_sequence=gossip.first_sequence(started)
        )
        self.freshness: Final = freshness.Freshness()
        self.pool: Final = client.Pool()
        self.peers: Final = peer_service.PeerService(self.members, self.pool)
        self.progress: peer_messages.Progress = peer_messages.Progress()
        self._listeners: list[heartbeats.OnProgress] = []
        self._watcher = False
        self._watcher_revision = -1
        self.heartbeats: Final = heartbeats.Heartbeats(
            self.members,
            self.peers,
            self.gossip,
            self.freshness,
            lambda: self.progress,
            self._on_progress,
            random.Random(incarnation),
        )
        self.registry: Final = registry.Registry(
            store.with_priority(budget.Priority.BACKGROUND), self.members
        )
        self.peers.register(status.PATH, self._answer_status)
        self._identity = identity
        self._server = server.Server(self.peers.handle, PEER_LIMITS)

    async def start(self) -> messages.Address:
        """Listen to peers, look for them and return the bound address."""
        bound = self._server.bind(self._identity.listen)
        self.members.replace_own(
            address=str(self._identity.advertise or bound)
        )
        await self._server.start()
        LOG.info("peer_service_listening", address=str(bound))
        await curio.spawn(self.heartbeats.run, daemon=True)
        await curio.spawn(self.registry.run, daemon=True)
        await curio.spawn(self._meet_seeds, daemon=True)
        return bound

    async def stop(self) -> None:
        """Tell the peers and the object API that this daemon goes."""
        await self.heartbeats.leave()
        async with curio.ignore_after(SEED_SECONDS):
            await self.registry.leave()

    def listen_to_progress(self, listener: heartbeats.OnProgress) -> None:
        """Call the listener with what each peer that is heard has."""
        self._listeners.append(listener)

    def advance(
        self,
        generation: ids.Generation | None = None,
        assignments: ids.ObjectVersion | None = None,
    ) -> None:
        """Tell the peers at once that this daemon has newer state."""
        known = self.progress
        self.progress = peer_messages.Progress(
            known.generation if generation is None else generation,
            known.assignments if assignments is None else assignments,
        )
        self.gossip.has_urgent = True

    def is_watcher(self) -> bool:
        """Tell whether this daemon polls the object API for its zone."""
        if self._watcher_revision != self.members.revision:
            self._watcher_revision = self.members.revision
            self._watcher = overlay.is_watcher(self.members)
        return self._watcher

    def has_listed_no_peer(self) -> bool:
        """Tell whether the object API showed that there is no peer."""
        return self.registry.listed and self.live_daemons() == 1

    def live_daemons(self) -> int:
        """Return how many daemons share the budget of the platform."""
        return sum(1 for _ in self.members.usable())

    def standing(self, now: clock.MonotonicTime) -> freshness.Standing:
        """Decide whether this daemon knows enough to give out work."""
        if self.freshness.age(now) <= freshness.BOUND_SECONDS:
            return freshness.Standing.FRESH
        voters = {peer.id for peer in self.members.voters()}
        return self.freshness.standing(voters, now)

    async def _answer_status(self, body: bytes) -> bytes:
        del body
        now = clock.monotonic()
        age = self.freshness.age(now)
        report = status.DaemonStatus(
            daemon=self.members.own.id,
            generation=self.progress.generation,
            standing=self.standing(now),
            age_seconds=round(age, 3) if age != float("inf") else -1.0,
            daemons_alive=self.live_daemons(),
            watcher=self.is_watcher(),
        )
        return msgspec.json.encode(report)

    async def _meet_seeds(self) -> None:
        while self._identity.seeds:
            if len(self.members.by_id) == 1:
                for address in self._identity.seeds:
                    await self.heartbeats.introduce(str(address))
            await curio.sleep(SEED_SECONDS)

    async def _on_progress(
        self, peer: ids.DaemonId, progress: peer_messages.Progress
    ) -> None:
        for listener in self._listeners:
            await listener(peer, progress)
