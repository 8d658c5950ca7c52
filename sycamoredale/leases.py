"""Hold a lease that at most one owner believes in at any time.

A lease is one object.  Its owner renews it by a conditional update and
trusts it for the length of the lease, counted on its own monotonic clock
from before the write was sent.  Whoever wants the lease waits until it has
seen the object unchanged for that length and an allowance for the rates of
the two clocks, and then replaces exactly the version that it saw.  No wall
clock is compared, so a stepped clock changes nothing.  The owner may tell
the others which version it wrote; who has heard of a version waits from then
on, since it was written before.

Each write carries an id.  When the answer to a write is lost, the object is
read: the write counts if its id is there, from the time it was sent.
"""

import collections.abc
import dataclasses
from typing import Final
import uuid

import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects

LEASE_KIND: Final = "lease"
LEASE_SECONDS: Final = 6.0
RENEWALS_PER_LEASE: Final = 2
CLOCK_RATE_ALLOWANCE: Final = 0.01
NO_OWNER: Final = ids.DaemonId("")

ReadClock = collections.abc.Callable[[], clock.MonotonicTime]


class LeaseRecord(msgspec.Struct, frozen=True):
    """Name the owner of a lease; the epoch grows with each new owner."""

    owner: ids.DaemonId
    epoch: ids.Epoch
    write_id: ids.WriteId
    lease_seconds: float = LEASE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Hold the lease until a time; `since` is when it was acquired."""

    epoch: ids.Epoch
    version: ids.ObjectVersion
    since: clock.MonotonicTime
    ends: clock.MonotonicTime


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """Record since when an object has stood at a version."""

    version: ids.ObjectVersion
    since: clock.MonotonicTime
    record: LeaseRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """Record when an owner was heard to have written a version."""

    version: ids.ObjectVersion
    heard_at: clock.MonotonicTime


@dataclasses.dataclass
class Lease:
    """Acquire, renew, check and release one lease."""

    store: objects.ObjectStore
    name: str
    owner: ids.DaemonId
    read_clock: ReadClock = clock.monotonic
    lease_seconds: float = LEASE_SECONDS
    tenure: Tenure | None = None
    _sighting: Sighting | None = None
    _heard: Word | None = None
    _sent_by_write: dict[ids.WriteId, clock.MonotonicTime] = dataclasses.field(
        default_factory=dict
    )

    def held(self, now: clock.MonotonicTime) -> bool:
        """Tell whether the owner may act at this time."""
        return self.tenure is not None and now < self.tenure.ends

    @property
    def was_last_own(self) -> bool:
        """Tell whether this owner's is the last record that it saw."""
        record = self._sighting.record if self._sighting else None
        return record is not None and record.owner == self.owner

    @property
    def own_version(self) -> ids.ObjectVersion:
        """Return the version that this owner wrote, or ABSENT."""
        return self.tenure.version if self.tenure else objects.ABSENT

    def hear(
        self, version: ids.ObjectVersion, now: clock.MonotonicTime
    ) -> None:
        """Take note that an owner says that it wrote a version."""
        if self._heard is None or version > self._heard.version:
            self._heard = Word(version, now)

    def kept_until(self) -> clock.MonotonicTime | None:
        """Return until when the owner that was heard last may hold it."""
        if self._heard is None:
            return None
        seconds = with_allowance(self.lease_seconds)
        return clock.MonotonicTime(self._heard.heard_at + seconds)

    def free_at(self) -> clock.MonotonicTime | None:
        """Return when the lease is free if nobody renews it, if known."""
        if self.tenure is not None or self._sighting is None:
            return None
        return _free_at(self._sighting)

    def check(self, now: clock.MonotonicTime) -> None:
        """Raise LeaseLost unless the owner may act at this time."""
        if not self.held(now):
            raise errors.LeaseLost(
                error_codes.LEASE_LOST,
                f"daemon {self.owner!r} does not hold lease {self.name!r}",
            )

    async def tend(self) -> bool:
        """Renew the lease, or acquire it if it is free; tell if it is held.

        Raises StoreUnavailable; a tenure then goes on until its end.
        """
        now = self.read_clock()
        if self.tenure is not None and not self.held(now):
            self.tenure = None
        if self.tenure is None:
            await self._look()
            if self.may_acquire(self.read_clock()):
                await self._write(self.owner)
        elif renewal_due(self.tenure, self.lease_seconds, now):
            await self._write(self.owner)
        return self.held(self.read_clock())

    def observe(
        self,
        stored: objects.StoredObject | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Take note of the object; `now` is after the answer arrived."""
        version = objects.ABSENT if stored is None else stored.version
        if self._sighting is None or self._sighting.version != version:
            record = None if stored is None else _decode(stored)
            self._sighting = Sighting(
                version, self._since(version, now), record
            )
        self._adopt_own_write(self._sighting, now)

    def _since(
        self, version: ids.ObjectVersion, now: clock.MonotonicTime
    ) -> clock.MonotonicTime:
        heard = self._heard
        if heard is None or heard.version != version:
            return now
        return heard.heard_at

    def may_acquire(self, now: clock.MonotonicTime) -> bool:
        """Tell whether the lease as last seen is free to take."""
        if self.tenure is not None or self._sighting is None:
            return False
        record = self._sighting.record
        if record is not None and record.write_id in self._sent_by_write:
            return True  # Nobody has written since this owner did.
        return is_free(self._sighting, now)

    async def release(self) -> None:
        """Let another owner take the lease at once; raise StoreUnavailable.

        The owner stops to act before the object changes.
        """
        if self.tenure is None:
            return
        version = self.tenure.version
        epoch = self.tenure.epoch
        self.tenure = None
        record = LeaseRecord(NO_OWNER, epoch, _new_write_id())
        try:
            await self._put(record, version)
        except (errors.VersionConflict, errors.OutcomeUnknown):
            return  # Another owner has it, or it ends by itself.

    async def _look(self) -> None:
        stored = await self.store.get(LEASE_KIND, self.name)
        self.observe(stored, self.read_clock())

    async def _write(self, owner: ids.DaemonId) -> None:
        record, expected = self._next_record(owner)
        self._sent_by_write[record.write_id] = self.read_clock()
        try:
            version = await self._put(record, expected)
        except errors.VersionConflict:
            del self._sent_by_write[record.write_id]
            self.tenure = None
            self._sighting = None
        except errors.OutcomeUnknown:
            await self._look()
        else:
            now = self.read_clock()
            self._sighting = Sighting(version, now, record)
            self._adopt_own_write(self._sighting, now)

    def _next_record(
        self, owner: ids.DaemonId
    ) -> tuple[LeaseRecord, ids.ObjectVersion]:
        write_id = _new_write_id()
        if self.tenure is not None:
            epoch = self.tenure.epoch
            expected = self.tenure.version
        else:
            assert self._sighting is not None
            seen = self._sighting.record
            epoch = ids.Epoch(seen.epoch + 1 if seen else 1)
            expected = self._sighting.version
        record = LeaseRecord(owner, epoch, write_id, self.lease_seconds)
        return record, expected

    def _adopt_own_write(
        self, sighting: Sighting, now: clock.MonotonicTime
    ) -> None:
        record = sighting.record
        if record is None or record.write_id not in self._sent_by_write:
            if self.tenure and self.tenure.version != sighting.version:
                self.tenure = None
            return
        sent = self._sent_by_write[record.write_id]
        since = sent
        if self.tenure is not None and self.tenure.epoch == record.epoch:
            since = self.tenure.since
        ends = clock.MonotonicTime(sent + record.lease_seconds)
        tenure = Tenure(record.epoch, sighting.version, since, ends)
        self.tenure = tenure if now < ends else None
        self._sent_by_write = {
            write_id: time
            for write_id, time in self._sent_by_write.items()
            if time >= sent
        }

    async def _put(
        self, record: LeaseRecord, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        value = msgspec.json.encode(record)
        return await self.store.put(LEASE_KIND, self.name, value, expected)


def is_free(sighting: Sighting, now: clock.MonotonicTime) -> bool:
    """Tell whether no owner can still believe in what was seen."""
    return now >= _free_at(sighting)


def _free_at(sighting: Sighting) -> clock.MonotonicTime:
    record = sighting.record
    if record is None or record.owner == NO_OWNER:
        return sighting.since
    wait = with_allowance(record.lease_seconds)
    return clock.MonotonicTime(sighting.since + wait)


def renewal_due(
    tenure: Tenure, lease_seconds: float, now: clock.MonotonicTime
) -> bool:
    """Tell whether it is time to renew."""
    interval = lease_seconds / RENEWALS_PER_LEASE
    return now >= tenure.ends - lease_seconds + interval


def with_allowance(seconds: float) -> float:
    """Return how long to wait for a time that another clock measures."""
    return seconds * (1.0 + CLOCK_RATE_ALLOWANCE)


def _decode(stored: objects.StoredObject) -> LeaseRecord:
    return msgspec.json.decode(stored.value, type=LeaseRecord)


def _new_write_id() -> ids.WriteId:
    return ids.WriteId(uuid.uuid4().hex)
