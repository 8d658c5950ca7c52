"""Take, record and release claims through the home router of a shard.

The home router of a shard batches the claims of all routers into few writes.
It only saves writes and is not needed for correctness: if it is suspect, slow
or unreachable, or if two routers both consider themselves the home router,
a router writes the shard itself and the conditional update decides.
"""

import dataclasses
import typing
from typing import Final

import curio
import msgspec
import xxhash

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.requests import claim_writer
from sycamoredale.requests import claims

PEER_PATH: Final = "/peer/claims"
PEER_TIMEOUT_SECONDS: Final = 0.3
TAKE_TIMEOUT_SECONDS: Final = 1.0
WRITE_TIMEOUT_SECONDS: Final = 3.0
WRITE_RETRY_SECONDS: Final = 0.5
MAX_WRITE_ATTEMPTS: Final = 600
PEER_BACKOFF_SECONDS: Final = 2.0
LOG: Final = logs.get("requests.claims")


class PeerClient(typing.Protocol):
    """Send requests to peers."""

    async def call(
        self, peer: ids.DaemonId, path: str, body: bytes, seconds: float
    ) -> bytes:
        """Return the response; raise ConnectionFailed or ConnectionBroken."""


class PeerOperation(msgspec.Struct, frozen=True):
    """Request one operation from the home router of a shard."""

    shard: int
    operation: claims.Operation


@dataclasses.dataclass
class ClaimService:
    """Send each operation to the home router of its shard.

    `pending_writes` counts background writes that have not ended.
    """

    writer: claim_writer.ClaimWriter
    members: view.MembershipView
    peers: PeerClient
    pending_writes: int = 0
    _backoff_until_by_id: dict[ids.DaemonId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )

    async def take(self, operation: claims.Take) -> claims.OperationResult:
        """Take a claim and return the result.

        Raises StoreUnavailable if the claim was not and will not be stored,
        and OutcomeUnknown if it may be; it is then released in the
        background.
        """
        try:
            return await self._apply(operation, TAKE_TIMEOUT_SECONDS)
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
        """Store an outcome in the background, with retries.

        None marks the outcome as unknown for good.
        """
        await self._write_in_background(claims.Record(name, attempt, outcome))

    async def release(self, name: str, claim: claims.Claim) -> None:
        """Release a claim in the background, with retries."""
        await self._write_in_background(claims.Release(name, claim))

    async def answer_peer(self, body: bytes) -> bytes:
        """Apply an operation of a peer and return the encoded result.

        Raises SycamoredaleError.
        """
        request = decoding.decode_json(body, PeerOperation)
        result = await self.writer.apply(
            request.shard, request.operation, TAKE_TIMEOUT_SECONDS
        )
        return msgspec.json.encode(result)

    async def _write_in_background(
        self, operation: claims.Record | claims.Release
    ) -> None:
        self.pending_writes += 1
        await curio.spawn(self._write_until_done, operation, daemon=True)

    async def _write_until_done(
        self, operation: claims.Record | claims.Release
    ) -> None:
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                try:
                    await self._apply(operation, WRITE_TIMEOUT_SECONDS)
                    return
                except errors.SycamoredaleError as error:
                    LOG.warning("claim_write_retried", reason=error.message)
                    await curio.sleep(WRITE_RETRY_SECONDS)
        finally:
            self.pending_writes -= 1

    async def _apply(
        self, operation: claims.Operation, seconds: float
    ) -> claims.OperationResult:
        shard = claims.shard_number(operation.name)
        home = self._remote_home(shard, clock.monotonic())
        if home is None:
            return await self.writer.apply(shard, operation, seconds)
        body = msgspec.json.encode(PeerOperation(shard, operation))
        try:
            answer = await self.peers.call(
                home.id, PEER_PATH, body, PEER_TIMEOUT_SECONDS
            )
            return decoding.decode_json(answer, claims.OperationResult)
        except (
            errors.ConnectionFailed,
            errors.ConnectionBroken,
            msgspec.DecodeError,
        ) as error:
            LOG.info("home_router_failed", peer=home.id, reason=str(error))
            self._back_off(home.id, clock.monotonic())
        try:
            return await self.writer.apply(shard, operation, seconds)
        except errors.StoreUnavailable as error:
            # The home router may still write the operation.
            raise errors.OutcomeUnknown(
                error.code, error.message, error.execution
            ) from error

    def _remote_home(
        self, shard: int, now: clock.MonotonicTime
    ) -> view.Peer | None:
        home = home_router(shard, self.members)
        if home is None or home.id == self.members.own.id:
            return None
        if now < self._backoff_until_by_id.get(home.id, 0.0):
            return None
        return home

    def _back_off(self, peer: ids.DaemonId, now: clock.MonotonicTime) -> None:
        until = clock.MonotonicTime(now + PEER_BACKOFF_SECONDS)
        self._backoff_until_by_id[peer] = until


def home_router(shard: int, members: view.MembershipView) -> view.Peer | None:
    """Return the home router of a shard, by rendezvous hashing."""
    return max(
        (
            peer
            for peer in members.live_routers()
            if peer.state is view.PeerState.ALIVE
        ),
        key=lambda peer: xxhash.xxh64_intdigest(f"{shard}:{peer.id}".encode()),
        default=None,
    )
