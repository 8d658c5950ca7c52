"""Write operations on claims to the object API, many in one write.

Each shard with waiting operations has one task.  What arrives while its
write is under way goes into the next write together.  A lost answer is
followed by a read: an operation that is found there has taken effect, and
one that is not found is applied again over the version read, which shuts
out the lost write.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import claims

KIND: Final = "claims"
MAX_TRIES: Final = 6
RETRY_SECONDS: Final = 0.02
RECORD_GATHER_SECONDS: Final = 0.25
CONCURRENT_WRITES: Final = 4
CACHE_BYTES: Final = 8 * 1024 * 1024
DOWN_SECONDS: Final = 0.5
LOG: Final = logs.get("requests.claims")

RetentionSeconds = collections.abc.Callable[[], float]


@dataclasses.dataclass(eq=False)
class _Pending:
    operation: claims.Operation
    since: clock.MonotonicTime
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    verdict: claims.Verdict | None = None
    failure: errors.SycamoredaleError | None = None
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
        """Keep the store; the retention is read at each write."""
        self._store = store
        self._retention_seconds = retention_seconds
        self._waiting_by_shard: dict[int, list[_Pending]] = {}
        self._cached_by_shard: dict[int, _Cached] = {}
        self._slots = curio.Semaphore(CONCURRENT_WRITES)
        self._down_until = clock.MonotonicTime(0.0)

    async def apply(
        self, shard: int, operation: claims.Operation, seconds: float
    ) -> claims.Verdict:
        """Return the verdict on an operation once it is in the store.

        Raises StoreUnavailable if it has had and will have no effect, and
        OutcomeUnknown if it may have one.
        """
        now = clock.monotonic()
        if isinstance(operation, claims.Take) and now < self._down_until:
            raise errors.StoreUnavailable(
                error_codes.STORE_UNAVAILABLE,
                "the object API failed a moment ago",
            )
        pending = _Pending(operation, now)
        await self._enqueue(shard, pending)
        try:
            async with curio.timeout_after(seconds):
                await pending.done.wait()
        except curio.TaskTimeout as error:
            raise _late(pending, seconds) from error
        finally:
            pending.abandoned = True
        if pending.failure is not None:
            raise pending.failure
        assert pending.verdict is not None
        return pending.verdict

    async def _enqueue(self, shard: int, pending: _Pending) -> None:
        waiting = self._waiting_by_shard.get(shard)
        if waiting is not None:
            waiting.append(pending)
            return
        self._waiting_by_shard[shard] = [pending]
        await curio.spawn(self._work, shard, daemon=True)

    async def _work(self, shard: int) -> None:
        while self._waiting_by_shard[shard]:
            await self._gather(shard)
            async with self._slots:
                batch = self._waiting_by_shard[shard]
                self._waiting_by_shard[shard] = []
                try:
                    await self._write(shard, batch)
                except Exception as error:
                    LOG.exception("claim_write_failed", shard=shard)
                    await _fail(batch, _unknown(str(error)))
        del self._waiting_by_shard[shard]

    async def _gather(self, shard: int) -> None:
        # Outcomes can wait a little for company; whoever asks for a claim
        # cannot.
        waiting = self._waiting_by_shard[shard]
        until = waiting[0].since + RECORD_GATHER_SECONDS
        while all(isinstance(p.operation, claims.Record) for p in waiting):
            if clock.monotonic() >= until:
                return
            await curio.sleep(RETRY_SECONDS)

    async def _write(self, shard: int, batch: list[_Pending]) -> None:
        unknown: errors.SycamoredaleError | None = None
        for _ in range(MAX_TRIES):
            live = [p for p in batch if not p.abandoned]
            if not live:
                return
            try:
                await self._write_once(shard, live)
                return
            except errors.VersionConflict:
                self._cached_by_shard.pop(shard, None)
            except errors.OutcomeUnknown as error:
                self._cached_by_shard.pop(shard, None)
                unknown = error
                await curio.sleep(RETRY_SECONDS)
            except errors.StoreUnavailable as error:
                self._cached_by_shard.pop(shard, None)
                await self._give_up(live, unknown or error)
                return
        await self._give_up(batch, unknown or _contended(shard))

    async def _write_once(self, shard: int, live: list[_Pending]) -> None:
        seen = self._cached_by_shard.get(shard)
        fresh = seen is None
        if seen is None:
            seen = await self._read(shard)
        target = claims.OpenShard(_decode(seen.value), len(seen.value))
        target.expire(clock.wall(), self._retention_seconds())
        verdicts = [claims.apply(p.operation, target) for p in live]
        if not target.changed:
            if not fresh and not _final(verdicts):
                # Another router may have finished the claim meanwhile.
                raise _contended(shard)
            await _resolve(live, verdicts)
            return
        target.shard.write_id = ids.WriteId(uuid.uuid4().hex)
        value = msgspec.json.encode(target.shard)
        for pending in live:
            pending.sent = True
        version = await self._store.put(
            KIND, _object_name(shard), value, seen.version
        )
        self._remember(shard, _Cached(version, value))
        await _resolve(live, verdicts)

    async def _read(self, shard: int) -> _Cached:
        stored = await self._store.get(KIND, _object_name(shard))
        if stored is None:
            return _Cached(objects.ABSENT, b"{}")
        return _Cached(stored.version, bytes(stored.value))

    def _remember(self, shard: int, cached: _Cached) -> None:
        self._cached_by_shard.pop(shard, None)
        self._cached_by_shard[shard] = cached
        sizes = {n: len(c.value) for n, c in self._cached_by_shard.items()}
        total = sum(sizes.values())
        for oldest, size in sizes.items():
            if total <= CACHE_BYTES:
                return
            del self._cached_by_shard[oldest]
            total -= size

    async def _give_up(
        self, batch: list[_Pending], error: errors.SycamoredaleError
    ) -> None:
        LOG.warning("claims_not_written", reason=error.message)
        if not isinstance(error, errors.VersionConflict):
            self._down_until = clock.MonotonicTime(
                clock.monotonic() + DOWN_SECONDS
            )
        await _fail(batch, error)


def _final(verdicts: collections.abc.Iterable[claims.Verdict]) -> bool:
    return all(
        verdict.decision in (claims.Decision.FINISHED, claims.Decision.UNKNOWN)
        for verdict in verdicts
    )


async def _resolve(
    batch: collections.abc.Iterable[_Pending],
    verdicts: collections.abc.Iterable[claims.Verdict],
) -> None:
    for pending, verdict in zip(batch, verdicts):
        pending.verdict = verdict
        await pending.done.set()


async def _fail(
    batch: collections.abc.Iterable[_Pending],
    error: errors.SycamoredaleError,
) -> None:
    for pending in batch:
        pending.failure = error if pending.sent else _unavailable(error)
        await pending.done.set()


def _unavailable(error: errors.SycamoredaleError) -> errors.SycamoredaleError:
    return errors.StoreUnavailable(
        error_codes.STORE_UNAVAILABLE, error.message
    )


def _unknown(reason: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        error_codes.OUTCOME_UNKNOWN,
        f"the write of claims failed: {reason}",
        error_codes.Execution.UNKNOWN,
    )


def _contended(shard: int) -> errors.VersionConflict:
    return errors.VersionConflict(
        error_codes.VERSION_CONFLICT,
        f"claims object {_object_name(shard)!r} changed since it was read",
    )


def _late(pending: _Pending, seconds: float) -> errors.SycamoredaleError:
    reason = f"the object API took no claim within {seconds:g} s"
    if pending.sent:
        return errors.OutcomeUnknown(
            error_codes.OUTCOME_UNKNOWN, reason, error_codes.Execution.UNKNOWN
        )
    return errors.StoreUnavailable(error_codes.STORE_UNAVAILABLE, reason)


def _object_name(shard: int) -> str:
    return f"shard-{shard:03d}"


def _decode(value: bytes) -> claims.Shard:
    return msgspec.json.decode(value, type=claims.Shard)
