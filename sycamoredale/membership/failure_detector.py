"""Find out which peers are dead.

A peer that does not answer is asked again over a new connection, because
an open one can go silent for good, and then through other peers.  Only
when all that fails is it suspected, and declared dead if it does not
refute the suspicion in time.  A daemon that was itself paused meanwhile
draws no conclusion.
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
from sycamoredale.membership import member_updates
from sycamoredale.membership import peer_messages
from sycamoredale.membership import peer_service
from sycamoredale.membership import view
from sycamoredale.observability import logs

ASK_TIMEOUT_SECONDS: Final = 1.0
PAUSE_SLACK_SECONDS: Final = 1.0
INDIRECT_PROBES: Final = 2
SUSPECT_SECONDS: Final = 4.0
DEAD_FORGOTTEN_SECONDS: Final = 600.0
LEFT_FORGOTTEN_SECONDS: Final = 60.0
DEAD_PROBE_SECONDS: Final = 5.0
NEVER: Final = clock.MonotonicTime(float("-inf"))
LOG: Final = logs.get("membership.detector")


class Beat(typing.Protocol):
    """Exchange a heartbeat; tell whether the peer answered."""

    def __call__(
        self, peer: view.Peer, fresh: bool = False
    ) -> collections.abc.Awaitable[bool]:
        """Ask the peer, over a new connection if `fresh`."""


@dataclasses.dataclass
class FailureDetector:
    """Suspect, declare dead and forget the peers of a view."""

    members: view.MembershipView
    peers: peer_service.PeerService
    updates: member_updates.MemberUpdates
    beat: Beat
    rng: random.Random
    _dead_probed: clock.MonotonicTime = NEVER

    def __post_init__(self) -> None:
        """Answer indirect probes."""
        self.peers.register(peer_messages.PROBE_PATH, self._on_probe)

    async def check(self, peer: view.Peer) -> None:
        """Exchange a heartbeat with a peer; suspect it if all fails."""
        started = clock.monotonic()
        if await self.beat(peer) or await self.beat(peer, fresh=True):
            return
        if await self._reached_through_others(peer):
            return
        now = clock.monotonic()
        longest = (2 + INDIRECT_PROBES) * ASK_TIMEOUT_SECONDS
        if now - started > longest + PAUSE_SLACK_SECONDS:
            return
        if peer.state is view.PeerState.ALIVE:
            self._mark(peer, view.PeerState.SUSPECT, now)

    def judge(self, now: clock.MonotonicTime) -> None:
        """Move on the peers whose time in their state is over."""
        for peer in list(self.members.peers()):
            waited = now - self.members.since_by_id.get(peer.id, now)
            if peer.state is view.PeerState.SUSPECT:
                if waited > SUSPECT_SECONDS:
                    self._mark(peer, view.PeerState.DEAD, now)
            elif peer.state is view.PeerState.DEAD:
                if waited > DEAD_FORGOTTEN_SECONDS:
                    self.members.forget(peer.id)
            elif peer.state is view.PeerState.LEFT:
                if waited > LEFT_FORGOTTEN_SECONDS:
                    self.members.forget(peer.id)

    async def probe_dead(self, now: clock.MonotonicTime) -> None:
        """Try a dead peer now and then, for partitions heal."""
        if now - self._dead_probed < DEAD_PROBE_SECONDS:
            return
        self._dead_probed = now
        dead = [
            peer
            for peer in self.members.peers()
            if peer.state is view.PeerState.DEAD
        ]
        if dead:
            peer = self.rng.choice(dead)
            await curio.spawn(self.beat, peer, True, daemon=True)

    def _mark(
        self, peer: view.Peer, state: view.PeerState, now: clock.MonotonicTime
    ) -> None:
        if self.members.mark(peer.id, peer.incarnation, state, now):
            self.updates.add(peer.id, self.members.own.id, now)
            LOG.info(f"member_{state.value}", id=peer.id)

    async def _on_probe(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=peer_messages.ProbeRequest)
        reached = await self.beat(request.target, fresh=True)
        return msgspec.json.encode(peer_messages.ProbeAnswer(reached))

    async def _reached_through_others(self, peer: view.Peer) -> bool:
        own = self.members.own.id
        others = [
            p for p in self.members.usable() if p.id not in (peer.id, own)
        ]
        count = min(INDIRECT_PROBES, len(others))
        for helper in self.rng.sample(others, count):
            if await self._reached_through(helper.id, peer):
                return True
        return False

    async def _reached_through(
        self, helper: ids.DaemonId, peer: view.Peer
    ) -> bool:
        body = msgspec.json.encode(peer_messages.ProbeRequest(peer))
        try:
            answer = await self.peers.call(
                helper, peer_messages.PROBE_PATH, body, ASK_TIMEOUT_SECONDS
            )
            decoded = msgspec.json.decode(
                answer, type=peer_messages.ProbeAnswer
            )
        except (errors.SycamoredaleError, msgspec.DecodeError):
            return False
        return decoded.reached
