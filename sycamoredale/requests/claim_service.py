"""Take, record and release claims through the home router of a shard.

The home router of a shard gathers the claims of all routers into few
writes.  It is a way to save writes only: where it is suspect, slow or
unreachable, or where two routers take themselves for the home, a router
writes the shard itself and the conditional update decides.
"""

import dataclasses
import typing
from typing import Final

import curio
import msgspec
import xxhash

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.requests import claim_writer
from sycamoredale.requests import claims

PEER_PATH: Final = "/peer/claims"
PEER_SECONDS: Final = 0.3
TAKE_SECONDS: Final = 1.0
SETTLE_SECONDS: Final = 3.0
SETTLE_RETRY_SECONDS: Final = 0.5
SETTLE_TRIES: Final = 600
AVOID_SECONDS: Final = 2.0
LOG: Final = logs.get("requests.claims")


class Peers(typing.Protocol):
    """Make requests to peers."""

    async def call(
        self, peer: ids.DaemonId, path: str, body: bytes, seconds: float
    ) -> bytes:
        """Return the peer's answer; raise ConnectionFailed or Broken."""


class PeerOperation(msgspec.Struct, frozen=True):
    """Ask the home router of a shard for one operation."""

    shard: int
    operation: claims.Operation


@dataclasses.dataclass
class ClaimService:
    """Send each operation to the router that writes its shard."""

    writer: claim_writer.ClaimWriter
    members: view.MembershipView
    peers: Peers
    unsettled: int = 0
    _avoided_until_by_id: dict[ids.DaemonId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )

    async def take(self, operation: claims.Take) -> claims.Verdict:
        """Return the verdict on a claim.

        Raises StoreUnavailable if no claim can come of it and
        OutcomeUnknown if one may; the latter is released in time.
        """
        try:
            return await self._apply(operation, TAKE_SECONDS)
        except errors.OutcomeUnknown:
            await self.release(operation.name, operation.claim)
            raise
        except curio.CancelledError:
            await self.release(operation.name, operation.claim)
            raise

    async def record(
        self,
        name: str,
        attempt: ids.RequestId,
        outcome: claims.Outcome | None,
    ) -> None:
        """Keep an outcome, going on in the background until it is kept.

        None says that the outcome will never be known.
        """
        await self._settle(claims.Record(name, attempt, outcome))

    async def release(self, name: str, claim: claims.Claim) -> None:
        """Release a claim, going on in the background until it is done."""
        await self._settle(claims.Release(name, claim))

    async def answer_peer(self, body: bytes) -> bytes:
        """Apply an operation of a peer; raise SycamoredaleError."""
        asked = msgspec.json.decode(body, type=PeerOperation)
        verdict = await self.writer.apply(
            asked.shard, asked.operation, TAKE_SECONDS
        )
        return msgspec.json.encode(verdict)

    async def _settle(self, operation: claims.Record | claims.Release) -> None:
        self.unsettled += 1
        await curio.spawn(self._settle_until_done, operation, daemon=True)

    async def _settle_until_done(
        self, operation: claims.Record | claims.Release
    ) -> None:
        try:
            for _ in range(SETTLE_TRIES):
                try:
                    await self._apply(operation, SETTLE_SECONDS)
                    return
                except errors.SycamoredaleError as error:
                    LOG.warning("claim_not_settled", reason=error.message)
                    await curio.sleep(SETTLE_RETRY_SECONDS)
        finally:
            self.unsettled -= 1

    async def _apply(
        self, operation: claims.Operation, seconds: float
    ) -> claims.Verdict:
        shard = claims.shard_of(operation.name)
        home = self._home(shard, clock.monotonic())
        if home is None:
            return await self.writer.apply(shard, operation, seconds)
        body = msgspec.json.encode(PeerOperation(shard, operation))
        try:
            answer = await self.peers.call(
                home.id, PEER_PATH, body, PEER_SECONDS
            )
            return msgspec.json.decode(answer, type=claims.Verdict)
        except (
            errors.ConnectionFailed,
            errors.ConnectionBroken,
            msgspec.DecodeError,
        ) as error:
            LOG.info("home_router_failed", peer=home.id, reason=str(error))
            self._avoid(home.id, clock.monotonic())
        try:
            return await self.writer.apply(shard, operation, seconds)
        except errors.StoreUnavailable as error:
            # The home may yet write what it was sent.
            raise errors.OutcomeUnknown(
                error.code, error.message, error.execution
            ) from error

    def _home(self, shard: int, now: clock.MonotonicTime) -> view.Peer | None:
        home = home_of(shard, self.members)
        if home is None or home.id == self.members.own.id:
            return None
        if now < self._avoided_until_by_id.get(home.id, 0.0):
            return None
        return home

    def _avoid(self, peer: ids.DaemonId, now: clock.MonotonicTime) -> None:
        until = clock.MonotonicTime(now + AVOID_SECONDS)
        self._avoided_until_by_id[peer] = until


def home_of(shard: int, members: view.MembershipView) -> view.Peer | None:
    """Return the router that writes a shard, by rendezvous hashing."""
    return max(
        (
            peer
            for peer in members.live_routers()
            if peer.state is view.PeerState.ALIVE
        ),
        key=lambda peer: xxhash.xxh64_intdigest(f"{shard}:{peer.id}".encode()),
        default=None,
    )
