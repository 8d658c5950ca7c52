"""Exchange heartbeats with peers, in one task for each neighbour.

Each heartbeat carries the age and versions of the sender's state, changed
members and notices, limited in size.  While the state of this daemon is
stale, it also queries random peers, to learn whether theirs is stale too.
"""

import collections.abc
import dataclasses
import random
import typing
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale import loop_delays
from sycamoredale.membership import failure_detector
from sycamoredale.membership import freshness
from sycamoredale.membership import gossip
from sycamoredale.membership import member_updates
from sycamoredale.membership import overlay
from sycamoredale.membership import peer_messages
from sycamoredale.membership import peer_service
from sycamoredale.membership import view
from sycamoredale.observability import logs

TICK_SECONDS: Final = 0.05
STATE_TIMEOUT_CHECK_SECONDS: Final = 0.5
WATCHER_PERIOD_SECONDS: Final = 1.0
# Multiplied by the number of neighbours, so that the total rate of heartbeats
# does not depend on it.
NEIGHBOUR_PERIOD_SECONDS: Final = 3.0
STALE_QUERY_INTERVAL_SECONDS: Final = 0.8
STALE_QUERY_PEERS: Final = 8
MEMBERS_SYNC_INTERVAL_SECONDS: Final = 30.0
MAX_NOTICE_BYTES_PER_MESSAGE: Final = 1200
NEVER: Final = freshness.NEVER
LOG: Final = logs.get("membership")

GetVersions = collections.abc.Callable[[], peer_messages.StateVersions]
OnPeerVersions = collections.abc.Callable[
    [ids.DaemonId, peer_messages.StateVersions],
    collections.abc.Awaitable[None],
]


@dataclasses.dataclass
class _Neighbour:
    task: typing.Any
    wake: curio.Event


@dataclasses.dataclass
class Heartbeats:
    """Run the heartbeats that update view, freshness and gossip."""

    members: view.MembershipView
    peers: peer_service.PeerService
    gossip: gossip.Gossip
    freshness: freshness.Freshness
    get_versions: GetVersions
    on_peer_versions: OnPeerVersions
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    _neighbour_by_id: dict[ids.DaemonId, _Neighbour] = dataclasses.field(
        default_factory=dict
    )
    _period_by_id: dict[ids.DaemonId, float] = dataclasses.field(
        default_factory=dict
    )
    _applied_revision: int = -1
    _timeouts_applied_at: clock.MonotonicTime = NEVER
    _members_synced_at: clock.MonotonicTime = NEVER
    _peers_queried_at: clock.MonotonicTime = NEVER

    def __post_init__(self) -> None:
        """Register the handlers of heartbeats and member requests."""
        self.updates = member_updates.MemberUpdates(self.members)
        self.detector = failure_detector.FailureDetector(
            self.members,
            self.peers,
            self.updates,
            self.send,
            self.rng,
            self.delays,
        )
        self.peers.register(peer_messages.HEARTBEAT_PATH, self._on_heartbeat)
        self.peers.register(peer_messages.MEMBERS_PATH, self._on_members)

    async def run(self) -> None:
        """Maintain neighbours and member states until cancelled."""
        while True:
            now = clock.monotonic()
            if now - self._timeouts_applied_at >= STATE_TIMEOUT_CHECK_SECONDS:
                self._timeouts_applied_at = now
                self.freshness.drop_expired_votes(now)
                self.detector.apply_timeouts(now)
            if self._applied_revision != self.members.revision:
                await self._update_neighbours()
            if self.gossip.has_urgent:
                await self.wake_neighbours()
            await self._query_peers_when_stale(now)
            await self.detector.probe_dead(now)
            await curio.sleep(TICK_SECONDS)

    async def wake_neighbours(self) -> None:
        """Send a heartbeat to every neighbour immediately."""
        self.gossip.has_urgent = False
        for neighbour in list(self._neighbour_by_id.values()):
            await neighbour.wake.set()

    async def leave(self) -> None:
        """Announce to the neighbours that this daemon is leaving."""
        self.members.update_own(state=view.PeerState.LEFT)
        async with curio.ignore_after(failure_detector.PROBE_TIMEOUT_SECONDS):
            for peer in overlay.neighbours(self.members):
                await self.send(peer)

    async def contact_seed(self, address: str) -> None:
        """Exchange a heartbeat with a daemon known only by its address."""
        seed = view.Peer(
            ids.DaemonId(""),
            address,
            self.members.own.zone,
            view.Role.ROUTER,
            ids.Incarnation(0),
        )
        await self.send(seed)

    async def send(
        self, peer: view.Peer, new_connection: bool = False
    ) -> bool | None:
        """Exchange one heartbeat and return whether the peer answered.

        Returns None if this daemon could not send it.
        """
        sent_at = clock.monotonic()
        message = self._build_heartbeat(peer.id, sent_at)
        try:
            body = await self.peers.call_address(
                peer.address,
                peer_messages.HEARTBEAT_PATH,
                msgspec.json.encode(message),
                failure_detector.PROBE_TIMEOUT_SECONDS,
                new_connection,
            )
            answer = decoding.decode_json(body, peer_messages.Heartbeat)
        except (errors.SycamoredaleError, msgspec.DecodeError) as error:
            LOG.debug("heartbeat_failed", peer=peer.id, reason=str(error))
            self.updates.requeue(peer.id, message.members)
            self.gossip.requeue(peer.id, message.notices)
            return None if isinstance(error, errors.LocalFailure) else False
        now = clock.monotonic()
        self._merge_heartbeat(answer, now)
        self.freshness.on_answer(
            answer.sender.id,
            sent_at,
            answer.age_seconds if answer.age_seconds >= 0 else float("inf"),
            self.get_versions().generation >= answer.versions.generation,
        )
        await self.on_peer_versions(answer.sender.id, answer.versions)
        if answer.digest != self.members.digest():
            await self._sync_members(answer.sender, now)
        return True

    def _build_heartbeat(
        self, receiver: ids.DaemonId, now: clock.MonotonicTime
    ) -> peer_messages.Heartbeat:
        age = self.freshness.age(now)
        return peer_messages.Heartbeat(
            sender=self.members.own,
            # Rounded up, so that this daemon never appears fresher than it is.
            age_seconds=(
                round(age + 0.0005, 3) if age != float("inf") else -1.0
            ),
            versions=self.get_versions(),
            digest=self.members.digest(),
            members=self.updates.dequeue(receiver, now),
            notices=self.gossip.dequeue(
                receiver, MAX_NOTICE_BYTES_PER_MESSAGE, now
            ),
        )

    def _merge_heartbeat(
        self, message: peer_messages.Heartbeat, now: clock.MonotonicTime
    ) -> None:
        sender = message.sender
        for peer in [sender, *message.members]:
            if self.members.merge(peer, now):
                self.updates.add(peer.id, sender.id, now)
                LOG.info("member_changed", id=peer.id, state=peer.state.value)
        self.gossip.receive(message.notices, sender.id, now)

    async def _on_heartbeat(self, body: bytes) -> bytes:
        message = decoding.decode_json(body, peer_messages.Heartbeat)
        now = clock.monotonic()
        self._merge_heartbeat(message, now)
        await self.on_peer_versions(message.sender.id, message.versions)
        return msgspec.json.encode(
            self._build_heartbeat(message.sender.id, now)
        )

    async def _on_members(self, body: bytes) -> bytes:
        request = decoding.decode_json(body, peer_messages.MembersRequest)
        known_by_id = {known.id: known for known in request.known}
        newer = [
            peer
            for peer in self.members.live()
            if _is_newer(peer, known_by_id.get(peer.id))
        ]
        return msgspec.json.encode(peer_messages.MembersAnswer(newer))

    async def _sync_members(
        self, peer: view.Peer, now: clock.MonotonicTime
    ) -> None:
        if now - self._members_synced_at < MEMBERS_SYNC_INTERVAL_SECONDS:
            return
        self._members_synced_at = now
        request = peer_messages.MembersRequest(
            [
                peer_messages.KnownMember(p.id, p.incarnation, p.state)
                for p in self.members.by_id.values()
            ]
        )
        try:
            body = await self.peers.call_address(
                peer.address,
                peer_messages.MEMBERS_PATH,
                msgspec.json.encode(request),
                failure_detector.PROBE_TIMEOUT_SECONDS,
            )
        except errors.SycamoredaleError as error:
            LOG.info("member_sync_failed", peer=peer.id, reason=error.message)
            return
        for member in decoding.decode_json(
            body, peer_messages.MembersAnswer
        ).members:
            self.members.merge(member, clock.monotonic())

    async def _update_neighbours(self) -> None:
        self._applied_revision = self.members.revision
        neighbours = {p.id: p for p in overlay.neighbours(self.members)}
        count = max(1, len(neighbours))
        periods = dict.fromkeys(neighbours, NEIGHBOUR_PERIOD_SECONDS * count)
        watcher = overlay.assigned_watcher(self.members)
        if watcher is not None:
            periods[watcher.id] = WATCHER_PERIOD_SECONDS
        self._period_by_id = periods
        for peer in list(self._neighbour_by_id):
            if peer not in periods:
                await self._neighbour_by_id.pop(peer).task.cancel(
                    blocking=False
                )
        for peer in periods:
            if peer not in self._neighbour_by_id:
                wake = curio.Event()
                task = await curio.spawn(
                    self._exchange_periodically, peer, wake, daemon=True
                )
                self._neighbour_by_id[peer] = _Neighbour(task, wake)

    async def _exchange_periodically(
        self, peer: ids.DaemonId, wake: curio.Event
    ) -> None:
        wait = self.rng.random() * self._period_by_id[peer]
        while True:
            async with curio.ignore_after(wait):
                await wake.wait()
            wake.clear()
            known = self.members.by_id.get(peer)
            if known is not None:
                await self.detector.check(known)
            period = self._period_by_id.get(peer, NEIGHBOUR_PERIOD_SECONDS)
            wait = period * self.rng.uniform(0.8, 1.0)

    async def _query_peers_when_stale(self, now: clock.MonotonicTime) -> None:
        if not self.freshness.is_stale(now):
            return
        if self.members.own.state is view.PeerState.LEFT:
            # A task that begins while the event loop shuts down makes the
            # process fail.
            return
        if now - self._peers_queried_at < STALE_QUERY_INTERVAL_SECONDS:
            return
        self._peers_queried_at = now
        others = [p for p in self.members.voters() if p != self.members.own]
        for peer in self.rng.sample(
            others, min(STALE_QUERY_PEERS, len(others))
        ):
            await curio.spawn(self._query_peer, peer, daemon=True)

    async def _query_peer(self, peer: view.Peer) -> None:
        sent_at = clock.monotonic()
        if await self.send(peer, new_connection=True) is False:
            self.freshness.on_no_answer(peer.id, sent_at)


def _is_newer(
    peer: view.Peer, known: peer_messages.KnownMember | None
) -> bool:
    if known is None:
        return True
    return peer.incarnation > known.incarnation or (
        peer.incarnation == known.incarnation and peer.state is not known.state
    )
