"""Keep the records of quarantined parts in the store and grant trials.

A record outlives the daemons that have the evidence: a daemon lists the
records when it starts.  A part has one record, so the conditional update that
counts a trial grants it to one daemon only.  Without the store nothing is
forgotten, and no trial is granted.
"""

import collections.abc
import dataclasses
import random
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs
from sycamoredale.requests import part_quarantine

RECORD_KIND: Final = "prompt_part"
# Evidence of the peers that refutes a verdict arrives earlier.  All daemons
# reach the verdict at about the same time, and the first one writes it.
MIN_HOLD_SECONDS: Final = 1.0
MAX_HOLD_SECONDS: Final = 2.5
SYNC_INTERVAL_SECONDS: Final = 0.5
LIST_RETRY_SECONDS: Final = 1.0
LOG: Final = logs.get("requests.quarantine_records")


class StoredRecord(msgspec.Struct, frozen=True):
    """Store how many trials of a part were granted."""

    trials: int


@dataclasses.dataclass
class QuarantineRecords:
    """Write the verdicts of a quarantine to the store and read those there."""

    store: objects.ObjectStore
    quarantine: part_quarantine.PartQuarantine
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    read_clock: collections.abc.Callable[[], clock.MonotonicTime] = (
        clock.monotonic
    )
    _claiming: set[ids.PromptPartKey] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        """Draw how long this daemon leaves the writing to others."""
        self._hold_seconds = self.rng.uniform(
            MIN_HOLD_SECONDS, MAX_HOLD_SECONDS
        )

    async def run(self) -> None:
        """Read the records, then write changes until cancelled."""
        while not await self.load():
            await curio.sleep(LIST_RETRY_SECONDS)
        while True:
            await curio.sleep(SYNC_INTERVAL_SECONDS)
            await self.synchronize(self.read_clock())

    async def synchronize(self, now: clock.MonotonicTime) -> None:
        """Write new verdicts and remove the records of cleared parts."""
        for part, held in list(self.quarantine.quarantine_by_part.items()):
            if held.record is not part_quarantine.UNSTORED:
                continue
            if now - held.since >= self._hold_seconds:
                await self._try(self._write(part, 0, objects.ABSENT_VERSION))
        for part, record in list(self.quarantine.removals_by_part.items()):
            if await self._try(self._remove(part, record)):
                self.quarantine.removals_by_part.pop(part, None)

    async def claim_trial(self, part: ids.PromptPartKey) -> bool:
        """Return whether this daemon may send one request with the part."""
        held = self.quarantine.quarantine_by_part.get(part)
        if held is None or part in self._claiming:
            return False
        self._claiming.add(part)
        try:
            granted = await self._try(
                self._write(part, held.record.trials + 1, held.record.version)
            )
        finally:
            self._claiming.discard(part)
        LOG.info("trial_claimed", part=part, granted=granted)
        if not granted:
            held.postpone_trial(self.read_clock())
        return granted

    async def load(self) -> bool:
        """Apply the records in the store; return whether it answered."""
        return await self._try(self._load())

    async def _load(self) -> bool:
        listing = await self.store.list(RECORD_KIND)
        for stored in listing.objects:
            self._apply(ids.PromptPartKey(stored.name), stored)
        return True

    async def _write(
        self,
        part: ids.PromptPartKey,
        trials: int,
        expected: ids.ObjectVersion,
    ) -> bool:
        """Write a record; if it differs in the store, apply that one.

        A record that the store has lost is written again.
        """
        value = msgspec.json.encode(StoredRecord(trials))
        try:
            version = await self.store.put(RECORD_KIND, part, value, expected)
        except (errors.VersionConflict, errors.OutcomeUnknown):
            stored = await self.store.get(RECORD_KIND, part)
            if stored is not None:
                self._apply(part, stored)
                return False
            version = await self.store.put(
                RECORD_KIND, part, value, objects.ABSENT_VERSION
            )
        self.quarantine.apply_record(
            part, part_quarantine.Record(version, trials), self.read_clock()
        )
        return True

    async def _remove(
        self, part: ids.PromptPartKey, record: part_quarantine.Record
    ) -> bool:
        """Remove a record that is no newer than the one that was cleared."""
        stored = await self.store.get(RECORD_KIND, part)
        if stored is not None and stored.version <= record.version:
            await self.store.delete(RECORD_KIND, part, stored.version)
        return True

    def _apply(
        self, part: ids.PromptPartKey, stored: objects.StoredObject
    ) -> None:
        try:
            decoded = decoding.decode_json(stored.value, StoredRecord)
        except msgspec.DecodeError as error:
            LOG.warning("record_malformed", part=part, reason=str(error))
            return
        record = part_quarantine.Record(stored.version, decoded.trials)
        self.quarantine.apply_record(part, record, self.read_clock())

    async def _try(self, call: collections.abc.Awaitable[bool]) -> bool:
        try:
            return bool(await call)
        except errors.SycamoredaleError as error:
            LOG.info("record_call_failed", reason=error.message)
            return False
