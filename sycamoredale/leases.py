"""Implement a lease that at most one owner considers its own at any time.

A lease is one object.  Its owner renews it by a conditional update and may
act for the length of the lease, counted on its own monotonic clock from
before the write was sent.  Another daemon acquires the lease by replacing
exactly the version that it read.  It does so only after the object has been
unchanged for the length of the lease plus an allowance for the difference
in rate of the two clocks.  No wall clocks are compared, so stepping one has
no effect.

The owner may report to the other daemons which version it wrote.  A daemon
that receives such a report counts the wait from then on, because the version
was written earlier.

When the store comes back from an older copy, the lease may be lost with it,
while its owner still acts.  Another daemon waits until that term has expired;
the last owner need not.  Epochs of terms in a later era are greater.

Each write carries an id.  When the answer to a write is lost, the object is
read: if it contains the id, the write took effect, and the lease counts from
the time at which the write was sent.

A term that has expired or was given up is never resumed, although the answer
to its last renewal may show that the renewal took effect: the owner may have
dropped what it knew of that term.  It acquires the lease again under the
next epoch, without a wait.
"""

import dataclasses
from typing import Final
import uuid

import msgspec

from sycamoredale import clock
from sycamoredale import decoding
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

LOG: Final = logs.get("leases")
LEASE_KIND: Final = "lease"
LEASE_SECONDS: Final = 6.0
RENEWALS_PER_LEASE: Final = 2
CLOCK_RATE_ALLOWANCE: Final = 0.01
NO_OWNER: Final = ids.DaemonId("")
NO_EPOCH: Final = ids.Epoch(0)
NEVER: Final = clock.MonotonicTime(float("-inf"))

ReadClock = clock.ReadClock


class LeaseRecord(msgspec.Struct, frozen=True):
    """Store the owner of a lease; each new owner increases the epoch."""

    owner: ids.DaemonId
    epoch: ids.Epoch
    write_id: ids.WriteId
    lease_seconds: float = LEASE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """Describe the time during which this daemon may act as the owner."""

    epoch: ids.Epoch
    version: ids.ObjectVersion
    acquired_at: clock.MonotonicTime
    expires_at: clock.MonotonicTime


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Record a version of the object and since when it is unchanged."""

    version: ids.ObjectVersion
    unchanged_since: clock.MonotonicTime
    record: LeaseRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerReport:
    """Record when an owner's report of a version was received."""

    version: ids.ObjectVersion
    received_at: clock.MonotonicTime


@dataclasses.dataclass
class Lease:
    """Acquire, renew, check and release one lease."""

    store: objects.ObjectStore
    name: str
    owner: ids.DaemonId
    read_clock: ReadClock = clock.monotonic
    lease_seconds: float = LEASE_SECONDS
    term: Term | None = None
    # The greatest epoch of this daemon's terms, the present one included.
    _last_epoch: ids.Epoch = NO_EPOCH
    _observation: Observation | None = None
    _report: OwnerReport | None = None
    # Until when the last term of this daemon and one of a former era may last.
    _own_until: clock.MonotonicTime = NEVER
    _former_until: clock.MonotonicTime = NEVER
    _sent_at_by_write_id: dict[ids.WriteId, clock.MonotonicTime] = (
        dataclasses.field(default_factory=dict)
    )

    def __post_init__(self) -> None:
        """Subscribe to the eras of the store."""
        self.store.eras.on_change.append(self._begin_era)

    def _begin_era(self) -> None:
        """Wait for the owner of a former era, unless that is this daemon."""
        now = self.read_clock()
        if now < self._own_until:
            return
        wait = with_clock_allowance(self.lease_seconds)
        self._former_until = clock.MonotonicTime(now + wait)
        LOG.info("lease_wait_began", name=self.name, seconds=wait)

    def is_held(self, now: clock.MonotonicTime) -> bool:
        """Return whether this daemon may act as the owner now."""
        return self.term is not None and now < self.term.expires_at

    def is_held_in(self, epoch: ids.Epoch, now: clock.MonotonicTime) -> bool:
        """Return whether the term with an epoch lasts now."""
        return (
            self.term is not None
            and self.term.epoch == epoch
            and self.is_held(now)
        )

    @property
    def last_owner_is_self(self) -> bool:
        """Return whether the last record that was read names this daemon."""
        record = self._observation.record if self._observation else None
        return record is not None and record.owner == self.owner

    @property
    def own_version(self) -> ids.ObjectVersion:
        """Return the version that this owner wrote last, or ABSENT_VERSION."""
        return self.term.version if self.term else objects.ABSENT_VERSION

    def observe_report(
        self, version: ids.ObjectVersion, now: clock.MonotonicTime
    ) -> None:
        """Record the report of an owner that it wrote a version."""
        if self._report is None or version > self._report.version:
            self._report = OwnerReport(version, now)

    def possibly_held_until(self) -> clock.MonotonicTime | None:
        """Return until when the daemon that reported last may be the owner.

        None if no report was received.
        """
        if self._report is None:
            return None
        seconds = with_clock_allowance(self.lease_seconds)
        return clock.MonotonicTime(self._report.received_at + seconds)

    def free_at(self) -> clock.MonotonicTime | None:
        """Return when the lease is free unless it is renewed.

        None if this daemon is the owner or has not read the object.
        """
        if self.term is not None or self._observation is None:
            return None
        return max(_free_at(self._observation), self._former_until)

    def term_at(self, now: clock.MonotonicTime) -> Term:
        """Return the present term; raise LeaseLost if there is none."""
        if self.term is None or not self.is_held(now):
            raise errors.LeaseLost(
                error_codes.LEASE_LOST,
                f"daemon {self.owner!r} does not hold lease {self.name!r}",
            )
        return self.term

    def check(self, now: clock.MonotonicTime, epoch: ids.Epoch) -> None:
        """Raise LeaseLost unless the term with an epoch lasts now."""
        if not self.is_held_in(epoch, now):
            raise errors.LeaseLost(
                error_codes.LEASE_LOST,
                f"daemon {self.owner!r} does not hold lease {self.name!r} "
                f"in epoch {epoch}",
            )

    async def renew_or_acquire(self) -> bool:
        """Renew the lease, or acquire it if it is free.

        Returns whether this daemon is the owner.  Raises StoreUnavailable;
        a term that has begun still lasts until it expires.
        """
        now = self.read_clock()
        if self.term is not None and not self.is_held(now):
            self.term = None
        if self.term is None:
            await self._read_object()
            if self.can_acquire(self.read_clock()):
                await self._write(self.owner)
        elif renewal_due(self.term, self.lease_seconds, now):
            await self._write(self.owner)
        return self.is_held(self.read_clock())

    def observe(
        self,
        stored: objects.StoredObject | None,
        now: clock.MonotonicTime,
    ) -> None:
        """Apply a read of the object; `now` is when its answer arrived."""
        version = objects.ABSENT_VERSION if stored is None else stored.version
        if self._observation is None or self._observation.version != version:
            record = None if stored is None else _decode(stored)
            self._observation = Observation(
                version, self._unchanged_since(version, now), record
            )
        self._adopt_own_write(self._observation, now)

    def _unchanged_since(
        self, version: ids.ObjectVersion, now: clock.MonotonicTime
    ) -> clock.MonotonicTime:
        report = self._report
        if report is None or report.version != version:
            return now
        return report.received_at

    def can_acquire(self, now: clock.MonotonicTime) -> bool:
        """Return whether the lease is free by the last read of the object."""
        if self.term is not None or self._observation is None:
            return False
        if now < self._former_until:
            return False
        record = self._observation.record
        if record is not None and record.write_id in self._sent_at_by_write_id:
            return True  # No other daemon has written since this one did.
        return is_free(self._observation, now)

    async def release(self) -> None:
        """Allow others to acquire the lease immediately.

        This daemon stops being the owner before the object changes.
        Raises StoreUnavailable.
        """
        if self.term is None:
            return
        version = self.term.version
        epoch = self.term.epoch
        self.term = None
        self._own_until = NEVER
        record = LeaseRecord(NO_OWNER, epoch, _new_write_id())
        try:
            await self._put(record, version)
        except (errors.VersionConflict, errors.OutcomeUnknown):
            return  # Another daemon owns it, or it expires.

    async def _read_object(self) -> None:
        stored = await self.store.get(LEASE_KIND, self.name)
        self.observe(stored, self.read_clock())

    async def _write(self, owner: ids.DaemonId) -> None:
        record, expected = self._next_record(owner)
        self._sent_at_by_write_id[record.write_id] = self.read_clock()
        try:
            version = await self._put(record, expected)
        except errors.VersionConflict:
            del self._sent_at_by_write_id[record.write_id]
            self.term = None
            self._observation = None
        except errors.OutcomeUnknown:
            await self._read_object()
        else:
            now = self.read_clock()
            self._observation = Observation(version, now, record)
            self._adopt_own_write(self._observation, now)

    def _next_record(
        self, owner: ids.DaemonId
    ) -> tuple[LeaseRecord, ids.ObjectVersion]:
        write_id = _new_write_id()
        if self.term is not None:
            epoch = self.term.epoch
            expected = self.term.version
        else:
            assert self._observation is not None
            last = self._observation.record
            epoch = ids.Epoch(last.epoch + 1 if last else 1)
            epoch = max(
                epoch,
                ids.Epoch(self._last_epoch + 1),
                self.store.eras.first_epoch(),
            )
            expected = self._observation.version
        record = LeaseRecord(owner, epoch, write_id, self.lease_seconds)
        return record, expected

    def _adopt_own_write(
        self, observation: Observation, now: clock.MonotonicTime
    ) -> None:
        record = observation.record
        if record is None or record.write_id not in self._sent_at_by_write_id:
            if self.term and self.term.version != observation.version:
                self.term = None
            return
        sent_at = self._sent_at_by_write_id[record.write_id]
        expires_at = clock.MonotonicTime(sent_at + record.lease_seconds)
        self._own_until = max(self._own_until, expires_at)
        acquired_at = self._acquired_at(record.epoch, sent_at, now)
        if acquired_at is None or now >= expires_at:
            self.term = None
        else:
            self.term = Term(
                record.epoch, observation.version, acquired_at, expires_at
            )
            self._last_epoch = record.epoch
        self._sent_at_by_write_id = {
            write_id: time
            for write_id, time in self._sent_at_by_write_id.items()
            if time >= sent_at
        }

    def _acquired_at(
        self,
        epoch: ids.Epoch,
        sent_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> clock.MonotonicTime | None:
        """Return when the term of an own write began, None if it has ended."""
        if epoch > self._last_epoch:
            return sent_at
        if self.term is None or not self.is_held_in(epoch, now):
            return None
        return self.term.acquired_at

    async def _put(
        self, record: LeaseRecord, expected: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        value = msgspec.json.encode(record)
        return await self.store.put(LEASE_KIND, self.name, value, expected)


def is_free(observation: Observation, now: clock.MonotonicTime) -> bool:
    """Return whether the observed lease was released or has expired."""
    return now >= _free_at(observation)


def _free_at(observation: Observation) -> clock.MonotonicTime:
    record = observation.record
    if record is None or record.owner == NO_OWNER:
        return observation.unchanged_since
    wait = with_clock_allowance(record.lease_seconds)
    return clock.MonotonicTime(observation.unchanged_since + wait)


def renewal_due(
    term: Term, lease_seconds: float, now: clock.MonotonicTime
) -> bool:
    """Return whether the renewal interval has passed since the last write."""
    interval = lease_seconds / RENEWALS_PER_LEASE
    return now >= term.expires_at - lease_seconds + interval


def with_clock_allowance(seconds: float) -> float:
    """Return how long to wait until `seconds` have passed on any clock."""
    return seconds * (1.0 + CLOCK_RATE_ALLOWANCE)


def _decode(stored: objects.StoredObject) -> LeaseRecord:
    try:
        return decoding.decode_json(stored.value, LeaseRecord)
    except decoding.MalformedInput as error:
        raise errors.StoreUnavailable(
            error_codes.STORE_UNAVAILABLE,
            f"the record of lease {stored.name!r} is malformed: {error}",
        ) from error


def _new_write_id() -> ids.WriteId:
    return ids.WriteId(uuid.uuid4().hex)
