"""Exchange heartbeats with peers, one task for each relation.

Each heartbeat carries freshness, the progress of the sender, news of
members and notices, within a bound of bytes.  While freshness is old,
random peers are asked besides, to learn whether they are out of touch too.
"""

import collections.abc
import dataclasses
import random
import typing
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
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
JUDGE_SECONDS: Final = 0.5
WATCHER_PERIOD_SECONDS: Final = 1.0
RING_PERIOD_SECONDS: Final = 3.0
ASK_SECONDS: Final = 0.8
ASKED_AT_ONCE: Final = 8
MEMBERS_SYNC_SECONDS: Final = 30.0
NOTICE_BYTES_A_MESSAGE: Final = 1200
NEVER: Final = freshness.NEVER
LOG: Final = logs.get("membership")

OwnProgress = collections.abc.Callable[[], peer_messages.Progress]
OnProgress = collections.abc.Callable[
    [ids.DaemonId, peer_messages.Progress], collections.abc.Awaitable[None]
]


@dataclasses.dataclass
class _Relation:
    task: typing.Any
    wake: curio.Event


@dataclasses.dataclass
class Heartbeats:
    """Keep the view, the freshness and the relay of a daemon going."""

    members: view.MembershipView
    peers: peer_service.PeerService
    gossip: gossip.Gossip
    freshness: freshness.Freshness
    progress: OwnProgress
    on_progress: OnProgress
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    _relation_by_id: dict[ids.DaemonId, _Relation] = dataclasses.field(
        default_factory=dict
    )
    _period_by_id: dict[ids.DaemonId, float] = dataclasses.field(
        default_factory=dict
    )
    _seen_revision: int = -1
    _judged: clock.MonotonicTime = NEVER
    _synced: clock.MonotonicTime = NEVER
    _asked_all: clock.MonotonicTime = NEVER

    def __post_init__(self) -> None:
        """Answer the requests of peers."""
        self.updates = member_updates.MemberUpdates(self.members)
        self.detector = failure_detector.FailureDetector(
            self.members, self.peers, self.updates, self.beat, self.rng
        )
        self.peers.register(peer_messages.HEARTBEAT_PATH, self._on_heartbeat)
        self.peers.register(peer_messages.MEMBERS_PATH, self._on_members)

    async def run(self) -> None:
        """Keep relations and judge silence until cancelled."""
        while True:
            now = clock.monotonic()
            if now - self._judged >= JUDGE_SECONDS:
                self._judged = now
                self.freshness.forget_old(now)
                self.detector.judge(now)
            if self._seen_revision != self.members.revision:
                await self._arrange_relations()
            if self.gossip.has_urgent:
                await self.wake_relations()
            await self._ask_when_stale(now)
            await self.detector.probe_dead(now)
            await curio.sleep(TICK_SECONDS)

    async def wake_relations(self) -> None:
        """Send a heartbeat to every relation at once."""
        self.gossip.has_urgent = False
        for relation in list(self._relation_by_id.values()):
            await relation.wake.set()

    async def leave(self) -> None:
        """Tell the relations that this daemon goes."""
        self.members.replace_own(state=view.PeerState.LEFT)
        async with curio.ignore_after(failure_detector.ASK_TIMEOUT_SECONDS):
            for peer in overlay.relations(self.members):
                await self.beat(peer)

    async def introduce(self, address: str) -> None:
        """Meet the daemon at an address, of which no more is known."""
        stranger = view.Peer(
            ids.DaemonId(""),
            address,
            self.members.own.zone,
            view.Role.ROUTER,
            ids.Incarnation(0),
        )
        await self.beat(stranger)

    async def beat(self, peer: view.Peer, fresh: bool = False) -> bool:
        """Exchange one heartbeat; tell whether the peer answered."""
        asked = clock.monotonic()
        message = self._compose(peer.id, asked)
        try:
            body = await self.peers.call_at(
                peer.address,
                peer_messages.HEARTBEAT_PATH,
                msgspec.json.encode(message),
                failure_detector.ASK_TIMEOUT_SECONDS,
                fresh,
            )
            answer = msgspec.json.decode(body, type=peer_messages.Heartbeat)
        except (errors.SycamoredaleError, msgspec.DecodeError) as error:
            LOG.debug("heartbeat_failed", peer=peer.id, reason=str(error))
            self.updates.requeue(peer.id, message.members)
            self.gossip.requeue(peer.id, message.notices)
            return False
        now = clock.monotonic()
        self._take_in(answer, now)
        self.freshness.on_answer(
            answer.sender.id,
            asked,
            answer.age if answer.age >= 0 else float("inf"),
            self.progress().generation >= answer.progress.generation,
        )
        await self.on_progress(answer.sender.id, answer.progress)
        if answer.digest != self.members.digest():
            await self._sync_members(answer.sender, now)
        return True

    def _compose(
        self, receiver: ids.DaemonId, now: clock.MonotonicTime
    ) -> peer_messages.Heartbeat:
        age = self.freshness.age(now)
        return peer_messages.Heartbeat(
            sender=self.members.own,
            age=round(age + 0.0005, 3) if age != float("inf") else -1.0,
            progress=self.progress(),
            digest=self.members.digest(),
            members=self.updates.dequeue(receiver, now),
            notices=self.gossip.dequeue(receiver, NOTICE_BYTES_A_MESSAGE, now),
        )

    def _take_in(
        self, message: peer_messages.Heartbeat, now: clock.MonotonicTime
    ) -> None:
        sender = message.sender
        for peer in [sender, *message.members]:
            if self.members.merge(peer, now):
                self.updates.add(peer.id, sender.id, now)
                LOG.info("member", id=peer.id, state=peer.state.value)
        self.gossip.receive(message.notices, sender.id, now)

    async def _on_heartbeat(self, body: bytes) -> bytes:
        message = msgspec.json.decode(body, type=peer_messages.Heartbeat)
        now = clock.monotonic()
        self._take_in(message, now)
        await self.on_progress(message.sender.id, message.progress)
        return msgspec.json.encode(self._compose(message.sender.id, now))

    async def _on_members(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=peer_messages.MembersRequest)
        known_by_id = {known.id: known for known in request.known}
        newer = [
            peer
            for peer in self.members.usable()
            if _is_newer(peer, known_by_id.get(peer.id))
        ]
        return msgspec.json.encode(peer_messages.Members(newer))

    async def _sync_members(
        self, peer: view.Peer, now: clock.MonotonicTime
    ) -> None:
        if now - self._synced < MEMBERS_SYNC_SECONDS:
            return
        self._synced = now
        request = peer_messages.MembersRequest(
            [
                peer_messages.Known(p.id, p.incarnation, p.state)
                for p in self.members.by_id.values()
            ]
        )
        try:
            body = await self.peers.call_at(
                peer.address,
                peer_messages.MEMBERS_PATH,
                msgspec.json.encode(request),
                failure_detector.ASK_TIMEOUT_SECONDS,
            )
        except errors.SycamoredaleError as error:
            LOG.info("member_sync_failed", peer=peer.id, reason=error.message)
            return
        for member in msgspec.json.decode(
            body, type=peer_messages.Members
        ).members:
            self.members.merge(member, clock.monotonic())

    async def _arrange_relations(self) -> None:
        self._seen_revision = self.members.revision
        wanted = {p.id: p for p in overlay.relations(self.members)}
        count = max(1, len(wanted))
        periods = dict.fromkeys(wanted, RING_PERIOD_SECONDS * count)
        watcher = overlay.own_watcher(self.members)
        if watcher is not None:
            periods[watcher.id] = WATCHER_PERIOD_SECONDS
        self._period_by_id = periods
        for peer in list(self._relation_by_id):
            if peer not in periods:
                await self._relation_by_id.pop(peer).task.cancel(
                    blocking=False
                )
        for peer in periods:
            if peer not in self._relation_by_id:
                wake = curio.Event()
                task = await curio.spawn(self._relate, peer, wake, daemon=True)
                self._relation_by_id[peer] = _Relation(task, wake)

    async def _relate(self, peer: ids.DaemonId, wake: curio.Event) -> None:
        wait = self.rng.random() * self._period_by_id[peer]
        while True:
            async with curio.ignore_after(wait):
                await wake.wait()
            wake.clear()
            known = self.members.by_id.get(peer)
            if known is not None:
                await self.detector.check(known)
            period = self._period_by_id.get(peer, RING_PERIOD_SECONDS)
            wait = period * self.rng.uniform(0.8, 1.0)

    async def _ask_when_stale(self, now: clock.MonotonicTime) -> None:
        if not self.freshness.is_stale(now):
            return
        if now - self._asked_all < ASK_SECONDS:
            return
        self._asked_all = now
        others = [p for p in self.members.voters() if p != self.members.own]
        for peer in self.rng.sample(others, min(ASKED_AT_ONCE, len(others))):
            await curio.spawn(self._ask, peer, daemon=True)

    async def _ask(self, peer: view.Peer) -> None:
        asked = clock.monotonic()
        if not await self.beat(peer, fresh=True):
            self.freshness.on_silence(peer.id, asked)


def _is_newer(peer: view.Peer, known: peer_messages.Known | None) -> bool:
    if known is None:
        return True
    return peer.incarnation > known.incarnation or (
        peer.incarnation == known.incarnation and peer.state is not known.state
    )
