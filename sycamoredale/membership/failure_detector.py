"""Detect failed peers.

A peer that does not answer a heartbeat is probed again over a new
connection, because an established connection can stop delivering without
being closed, and then indirectly through other peers.  If all probes fail,
the peer is suspected; it is declared dead unless it refutes the suspicion
within SUSPECT_TIMEOUT_SECONDS, in which this daemon had to be able to hear it.
Probes that took longer than their timeouts allow are ignored, because then
this daemon itself was paused.
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
from sycamoredale.membership import member_updates
from sycamoredale.membership import peer_messages
from sycamoredale.membership import peer_service
from sycamoredale.membership import view
from sycamoredale.observability import logs

PROBE_TIMEOUT_SECONDS: Final = 1.0
# Probes that exceed their timeouts by more show that this daemon was paused.
PAUSE_TOLERANCE_SECONDS: Final = 1.0
INDIRECT_PROBES: Final = 2
SUSPECT_TIMEOUT_SECONDS: Final = 4.0
DEAD_RETENTION_SECONDS: Final = 600.0
LEFT_RETENTION_SECONDS: Final = 60.0
DEAD_PROBE_INTERVAL_SECONDS: Final = 5.0
NEVER: Final = clock.MonotonicTime(float("-inf"))
LOG: Final = logs.get("membership.detector")


class SendHeartbeat(typing.Protocol):
    """Exchange a heartbeat and return whether the peer answered.

    The result is None if this daemon could not send one.
    """

    def __call__(
        self, peer: view.Peer, new_connection: bool = False
    ) -> collections.abc.Awaitable[bool | None]:
        """Send to the peer, over a new connection if `new_connection`."""


@dataclasses.dataclass
class FailureDetector:
    """Suspect unresponsive peers, declare them dead and remove them."""

    members: view.MembershipView
    peers: peer_service.PeerService
    updates: member_updates.MemberUpdates
    send_heartbeat: SendHeartbeat
    rng: random.Random
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    _dead_probed_at: clock.MonotonicTime = NEVER

    def __post_init__(self) -> None:
        """Register the handler of indirect probes."""
        self.peers.register(peer_messages.PROBE_PATH, self._on_probe)

    async def check(self, peer: view.Peer) -> None:
        """Probe a peer and suspect it if every probe fails."""
        started = clock.monotonic()
        if await self.send_heartbeat(peer):
            return
        if await self.send_heartbeat(peer, new_connection=True) is not False:
            return
        try:
            if await self._probe_indirectly(peer):
                return
        except errors.LocalFailure:
            return
        now = clock.monotonic()
        max_seconds = (2 + INDIRECT_PROBES) * PROBE_TIMEOUT_SECONDS
        if now - started > max_seconds + PAUSE_TOLERANCE_SECONDS:
            return
        if peer.state is view.PeerState.ALIVE:
            self._set_state(peer, view.PeerState.SUSPECT, now)

    def apply_timeouts(self, now: clock.MonotonicTime) -> None:
        """Declare overdue suspects dead and remove expired members."""
        for peer in list(self.members.peers()):
            since = self.members.state_since_by_id.get(peer.id, now)
            in_state_seconds = now - since
            if peer.state is view.PeerState.SUSPECT:
                heard_nothing_seconds = self.delays.attentive_seconds(
                    since, now
                )
                if heard_nothing_seconds > SUSPECT_TIMEOUT_SECONDS:
                    self._set_state(peer, view.PeerState.DEAD, now)
            elif peer.state is view.PeerState.DEAD:
                if in_state_seconds > DEAD_RETENTION_SECONDS:
                    self.members.remove(peer.id)
            elif peer.state is view.PeerState.LEFT:
                if in_state_seconds > LEFT_RETENTION_SECONDS:
                    self.members.remove(peer.id)

    async def probe_dead(self, now: clock.MonotonicTime) -> None:
        """Probe a random dead peer at intervals, as a partition may end."""
        if now - self._dead_probed_at < DEAD_PROBE_INTERVAL_SECONDS:
            return
        self._dead_probed_at = now
        dead = [
            peer
            for peer in self.members.peers()
            if peer.state is view.PeerState.DEAD
        ]
        if dead:
            peer = self.rng.choice(dead)
            await curio.spawn(self.send_heartbeat, peer, True, daemon=True)

    def _set_state(
        self, peer: view.Peer, state: view.PeerState, now: clock.MonotonicTime
    ) -> None:
        if self.members.set_state(peer.id, peer.incarnation, state, now):
            self.updates.add(peer.id, self.members.own.id, now)
            LOG.info(f"member_{state.value}", id=peer.id)

    async def _on_probe(self, body: bytes) -> bytes:
        request = decoding.decode_json(body, peer_messages.ProbeRequest)
        reached = await self.send_heartbeat(
            request.target, new_connection=True
        )
        return msgspec.json.encode(peer_messages.ProbeAnswer(bool(reached)))

    async def _probe_indirectly(self, peer: view.Peer) -> bool:
        own = self.members.own.id
        others = [p for p in self.members.live() if p.id not in (peer.id, own)]
        count = min(INDIRECT_PROBES, len(others))
        for intermediary in self.rng.sample(others, count):
            if await self._probe_through(intermediary.id, peer):
                return True
        return False

    async def _probe_through(
        self, intermediary: ids.DaemonId, peer: view.Peer
    ) -> bool:
        body = msgspec.json.encode(peer_messages.ProbeRequest(peer))
        try:
            answer = await self.peers.call(
                intermediary,
                peer_messages.PROBE_PATH,
                body,
                PROBE_TIMEOUT_SECONDS,
            )
            decoded = decoding.decode_json(answer, peer_messages.ProbeAnswer)
        except errors.LocalFailure:
            raise
        except (errors.SycamoredaleError, msgspec.DecodeError):
            return False
        return decoded.reached
