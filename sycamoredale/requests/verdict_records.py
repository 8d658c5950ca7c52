"""Keep the verdicts on requests that crash endpoints in the store.

Daemons hand the evidence on to those that start, so it is lost only if all of
them end.  For that case one daemon writes a record of each request that is
refused, and each daemon lists the records when it starts.  A record is removed
once an answer refutes it, or an hour after the crashes.  Without the store
nothing is forgotten.
"""

import collections.abc
import dataclasses
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import crash_evidence
from sycamoredale.requests import part_evidence
from sycamoredale.requests import poison

RECORD_KIND: Final = "crashing_request"
MAX_RECORDS: Final = 256
SYNC_INTERVAL_SECONDS: Final = 0.5
LIST_RETRY_SECONDS: Final = 1.0
# The answer of a peer that refutes a verdict arrives earlier.
HOLD_SECONDS: Final = 1.0
# The writer before, or an older copy of the store, may have changed records.
LIST_INTERVAL_SECONDS: Final = 60.0
LOG: Final = logs.get("requests.verdict_records")

ReadWallClock = collections.abc.Callable[[], clock.WallTime]


class StoredLoss(msgspec.Struct, array_like=True, frozen=True):
    """Store the loss of an endpoint, at a Unix time in milliseconds."""

    incarnation: ids.IncarnationKey
    at_ms: int
    domain: ids.DomainName
    alone: bool


class StoredVerdict(msgspec.Struct, frozen=True):
    """Store the losses for which a request is refused."""

    losses: list[StoredLoss]


@dataclasses.dataclass
class VerdictRecords:
    """Write the verdicts of a detector to the store and read those there.

    `is_writer` returns whether this daemon is the one to write them.
    """

    store: objects.ObjectStore
    detector: poison.PoisonDetector
    is_writer: collections.abc.Callable[[], bool]
    read_clock: clock.ReadClock = clock.monotonic
    read_wall_clock: ReadWallClock = clock.wall
    is_loaded: bool = False
    _version_by_fingerprint: dict[ids.Fingerprint, ids.ObjectVersion] = (
        dataclasses.field(default_factory=dict)
    )
    _refused_since_by_fingerprint: dict[
        ids.Fingerprint, clock.MonotonicTime
    ] = dataclasses.field(default_factory=dict)
    _listed_at: clock.MonotonicTime = part_evidence.NEVER

    async def run(self) -> None:
        """Read the records, then write changes until cancelled."""
        while not await self.load():
            await curio.sleep(LIST_RETRY_SECONDS)
        while True:
            await curio.sleep(SYNC_INTERVAL_SECONDS)
            if not self.is_writer():
                # Another writer changes the records from now on.
                self._listed_at = part_evidence.NEVER
            elif not await self.synchronize(self.read_clock()):
                await curio.sleep(LIST_RETRY_SECONDS)

    async def load(self) -> bool:
        """Apply the records in the store; return whether it answered."""
        try:
            listing = await self.store.list(RECORD_KIND)
        except errors.SycamoredaleError as error:
            LOG.info("records_not_listed", reason=error.message)
            return False
        self._version_by_fingerprint.clear()
        news = self.detector.evidence.merge(
            self._read(listing.objects), self.read_clock()
        )
        if news:
            LOG.info("records_applied", requests=news)
        self._listed_at = self.read_clock()
        self.is_loaded = True
        return True

    async def synchronize(self, now: clock.MonotonicTime) -> bool:
        """Write records of new verdicts and remove those that ended.

        Returns whether all calls to the store have succeeded.
        """
        if now - self._listed_at >= LIST_INTERVAL_SECONDS:
            if not await self.load():
                return False
        self._refused_since_by_fingerprint = {
            fingerprint: self._refused_since_by_fingerprint.get(
                fingerprint, now
            )
            for fingerprint in self.detector.refused(now)
        }
        refused_since = self._refused_since_by_fingerprint
        stored = self._version_by_fingerprint
        try:
            for fingerprint in list(stored.keys() - refused_since.keys()):
                await self._remove(fingerprint)
            for fingerprint, since in refused_since.items():
                is_new = fingerprint not in stored
                is_due = is_new and now - since >= HOLD_SECONDS
                if is_due and len(stored) < MAX_RECORDS:
                    await self._write(fingerprint, now)
        except errors.SycamoredaleError as error:
            LOG.info("record_call_failed", reason=error.message)
            return False
        return True

    def _read(
        self, stored_objects: collections.abc.Iterable[objects.StoredObject]
    ) -> collections.abc.Iterator[crash_evidence.RequestReport]:
        wall_ms = int(1000 * self.read_wall_clock())
        for stored in stored_objects:
            try:
                verdict = decoding.decode_json(stored.value, StoredVerdict)
            except msgspec.DecodeError as error:
                LOG.warning(
                    "record_malformed", request=stored.name, reason=str(error)
                )
                continue
            fingerprint = ids.Fingerprint(stored.name)
            self._version_by_fingerprint[fingerprint] = stored.version
            yield crash_evidence.RequestReport(
                fingerprint,
                [
                    crash_evidence.LossReport(
                        loss.incarnation,
                        max(0, wall_ms - loss.at_ms),
                        loss.domain,
                        loss.alone,
                    )
                    for loss in verdict.losses
                ],
            )

    async def _write(
        self, fingerprint: ids.Fingerprint, now: clock.MonotonicTime
    ) -> None:
        """Write a record, unless there is one."""
        value = msgspec.json.encode(self._verdict(fingerprint, now))
        try:
            version = await self.store.put(
                RECORD_KIND, fingerprint, value, objects.ABSENT_VERSION
            )
        except (errors.VersionConflict, errors.OutcomeUnknown):
            stored = await self.store.get(RECORD_KIND, fingerprint)
            if stored is None:
                return
            version = stored.version
        self._version_by_fingerprint[fingerprint] = version
        LOG.info("verdict_stored", request=fingerprint)

    def _verdict(
        self, fingerprint: ids.Fingerprint, now: clock.MonotonicTime
    ) -> StoredVerdict:
        wall = self.read_wall_clock()
        losses = self.detector.evidence.recent_losses(fingerprint, now)
        return StoredVerdict(
            [
                StoredLoss(
                    incarnation,
                    int(1000 * (wall - (now - loss.at))),
                    loss.domain,
                    loss.alone,
                )
                for incarnation, loss in losses.items()
            ]
        )

    async def _remove(self, fingerprint: ids.Fingerprint) -> None:
        """Remove a record that has not been written again since."""
        version = self._version_by_fingerprint[fingerprint]
        try:
            await self.store.delete(RECORD_KIND, fingerprint, version)
        except errors.VersionConflict:
            pass
        del self._version_by_fingerprint[fingerprint]
        LOG.info("verdict_removed", request=fingerprint)
