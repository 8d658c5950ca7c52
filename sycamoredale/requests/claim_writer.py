"""Write operations on claims to the object API in batches.

Each shard with waiting operations has one task.  Operations that arrive
during a write go into the next write together.  When the answer to a write is
lost, the shard is read again.  Operations found there have taken effect; the
others are applied again to the version that was read, after which the lost
write can no longer take effect.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import claims

KIND: Final = "claims"
MAX_WRITE_ATTEMPTS: Final = 6
RETRY_DELAY_SECONDS: Final = 0.02
RECORD_BATCH_DELAY_SECONDS: Final = 0.25
MAX_CONCURRENT_WRITES: Final = 4
MAX_CACHE_BYTES: Final = 8 * 1024 * 1024
STORE_BACKOFF_SECONDS: Final = 0.5
LOG: Final = logs.get("requests.claims")

RetentionSeconds = collections.abc.Callable[[], float]


@dataclasses.dataclass(eq=False)
class _PendingOperation:
    operation: claims.Operation
    enqueued_at: clock.MonotonicTime
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    result: claims.OperationResult | None = None
    error: errors.SycamoredaleError | None = None
    sent: bool = False
    abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Cached:
    version: ids.ObjectVersion
    value: bytes


class ClaimWriter:
    """Apply operations to shard objects by conditional updates."""

    def __init__(
        self,
        store: objects.ObjectStore,
        retention_seconds: RetentionSeconds,
    ) -> None:
        """Set the store; `retention_seconds` is called at each write."""
        self._store = store
        self._retention_seconds = retention_seconds
        self._waiting_by_shard: dict[int, list[_PendingOperation]] = {}
        self._cached_by_shard: dict[int, _Cached] = {}
        self._write_slots = curio.Semaphore(MAX_CONCURRENT_WRITES)
        self._store_backoff_until = clock.MonotonicTime(0.0)

    async def apply(
        self, shard: int, operation: claims.Operation, seconds: float
    ) -> claims.OperationResult:
        """Apply an operation within a timeout and return its result.

        Raises StoreUnavailable if the operation did not and will not take
        effect, and OutcomeUnknown if it may.
        """
        now = clock.monotonic()
        if (
            isinstance(operation, claims.Take)
            and now < self._store_backoff_until
        ):
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                "no claim is taken right after a failure of the object API",
            )
        pending = _PendingOperation(operation, now)
        await self._enqueue(shard, pending)
        try:
            async with curio.timeout_after(seconds):
                await pending.done.wait()
        except curio.TaskTimeout as error:
            raise _timeout_error(pending, seconds) from error
        finally:
            pending.abandoned = True
        if pending.error is not None:
            raise pending.error
        assert pending.result is not None
        return pending.result

    async def _enqueue(self, shard: int, pending: _PendingOperation) -> None:
        waiting = self._waiting_by_shard.get(shard)
        if waiting is not None:
            waiting.append(pending)
            return
        self._waiting_by_shard[shard] = [pending]
        await curio.spawn(self._write_batches, shard, daemon=True)

    async def _write_batches(self, shard: int) -> None:
        while self._waiting_by_shard[shard]:
            await self._wait_for_batch(shard)
            async with self._write_slots:
                batch = self._waiting_by_shard[shard]
                self._waiting_by_shard[shard] = []
                try:
                    await self._write_batch(shard, batch)
                except Exception as error:
                    LOG.exception("claim_write_failed", shard=shard)
                    await _set_errors(
                        batch, _outcome_unknown_error(str(error))
                    )
        del self._waiting_by_shard[shard]

    async def _wait_for_batch(self, shard: int) -> None:
        # A batch of outcomes alone is delayed to collect more of them, as
        # no caller waits for them.  Other operations are not delayed.
        waiting = self._waiting_by_shard[shard]
        until = waiting[0].enqueued_at + RECORD_BATCH_DELAY_SECONDS
        while all(isinstance(p.operation, claims.Record) for p in waiting):
            if clock.monotonic() >= until:
                return
            await curio.sleep(RETRY_DELAY_SECONDS)

    async def _write_batch(
        self, shard: int, batch: list[_PendingOperation]
    ) -> None:
        unknown: errors.SycamoredaleError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            active = [p for p in batch if not p.abandoned]
            if not active:
                return
            try:
                await self._try_write(shard, active)
                return
            except errors.VersionConflict:
                self._cached_by_shard.pop(shard, None)
            except errors.OutcomeUnknown as error:
                self._cached_by_shard.pop(shard, None)
                unknown = error
                await curio.sleep(RETRY_DELAY_SECONDS)
            except errors.StoreUnavailable as error:
                self._cached_by_shard.pop(shard, None)
                await self._give_up(active, unknown or error)
                return
        await self._give_up(batch, unknown or _conflict_error(shard))

    async def _try_write(
        self, shard: int, active: list[_PendingOperation]
    ) -> None:
        base = self._cached_by_shard.get(shard)
        is_fresh = base is None
        if base is None:
            base = await self._read(shard)
        update = claims.ShardUpdate(_decode(base.value), len(base.value))
        update.expire(clock.wall(), self._retention_seconds())
        results = [claims.apply(p.operation, update) for p in active]
        if not update.changed:
            if not is_fresh and not _all_final(results):
                # Another router may have finished the claim since the read.
                raise _conflict_error(shard)
            await _set_results(active, results)
            return
        update.shard.write_id = ids.WriteId(uuid.uuid4().hex)
        value = msgspec.json.encode(update.shard)
        for pending in active:
            pending.sent = True
        version = await self._store.put(
            KIND, _object_name(shard), value, base.version
        )
        self._cache(shard, _Cached(version, value))
        await _set_results(active, results)

    async def _read(self, shard: int) -> _Cached:
        stored = await self._store.get(KIND, _object_name(shard))
        if stored is None:
            return _Cached(objects.ABSENT_VERSION, b"{}")
        return _Cached(stored.version, bytes(stored.value))

    def _cache(self, shard: int, cached: _Cached) -> None:
        self._cached_by_shard.pop(shard, None)
        self._cached_by_shard[shard] = cached
        sizes = {n: len(c.value) for n, c in self._cached_by_shard.items()}
        total = sum(sizes.values())
        for oldest, size in sizes.items():
            if total <= MAX_CACHE_BYTES:
                return
            del self._cached_by_shard[oldest]
            total -= size

    async def _give_up(
        self, batch: list[_PendingOperation], error: errors.SycamoredaleError
    ) -> None:
        LOG.warning("claims_not_written", reason=error.message)
        if not isinstance(error, errors.VersionConflict):
            self._store_backoff_until = clock.MonotonicTime(
                clock.monotonic() + STORE_BACKOFF_SECONDS
            )
        await _set_errors(batch, error)


def _all_final(
    results: collections.abc.Iterable[claims.OperationResult],
) -> bool:
    return all(
        result.decision in (claims.Decision.FINISHED, claims.Decision.UNKNOWN)
        for result in results
    )


async def _set_results(
    batch: collections.abc.Iterable[_PendingOperation],
    results: collections.abc.Iterable[claims.OperationResult],
) -> None:
    for pending, result in zip(batch, results):
        pending.result = result
        await pending.done.set()


async def _set_errors(
    batch: collections.abc.Iterable[_PendingOperation],
    error: errors.SycamoredaleError,
) -> None:
    for pending in batch:
        pending.error = error if pending.sent else _unavailable_error(error)
        await pending.done.set()


def _unavailable_error(
    error: errors.SycamoredaleError,
) -> errors.SycamoredaleError:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, error.message
    )


def _outcome_unknown_error(reason: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        error_codes.OUTCOME_UNKNOWN,
        f"the write of a claims shard failed: {reason}",
        error_codes.Execution.UNKNOWN,
    )


def _conflict_error(shard: int) -> errors.VersionConflict:
    return errors.VersionConflict(
        error_codes.VERSION_CONFLICT,
        f"claims object {_object_name(shard)!r} changed since it was read",
    )


def _timeout_error(
    pending: _PendingOperation, seconds: float
) -> errors.SycamoredaleError:
    reason = f"the object API stored no claim within {seconds:g} s"
    if pending.sent:
        return errors.OutcomeUnknown(
            error_codes.OUTCOME_UNKNOWN, reason, error_codes.Execution.UNKNOWN
        )
    return errors.StoreUnavailable(error_codes.STORE_UNAVAILABLE, reason)


def _object_name(shard: int) -> str:
    return f"shard-{shard:03d}"


def _decode(value: bytes) -> claims.Shard:
    return decoding.decode_json(value, claims.Shard)
