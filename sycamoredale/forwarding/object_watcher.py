"""Follow one kind of objects of the store: list, then watch for ever.

What was seen stays in force while the store is away.  After an outage or a
gap in the changes the kind is listed again.  While a peer tells what it sees
of the kind, the store is not asked.
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
from sycamoredale.forwarding import kind_updates
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import backoff
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

# A watch that has gone silent is noticed after this and a margin.
WATCH_TIMEOUT_SECONDS: Final = 5.0
# Changes come in bursts, and each answer to a watch is a priced call; a
# tenth of the time that a group needs to be formed again.
MIN_PAUSE_SECONDS: Final = 0.3
# Of all daemons together for one kind: a fiftieth of the 2,000 reading calls
# that the store of the smaller sites serves.
MAX_WATCHES_PER_SECOND: Final = 40.0
# The rest of a bound covers a slow store and a call on its way.
MAX_PAUSE_SHARE: Final = 0.5
FIRST_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.0
# Entries that are renewed by heartbeats may lapse in an outage this long.
ENTRY_EXPIRY_SECONDS: Final = 1.0
# After an outage entries that lapsed are back within about two seconds;
# until then nothing is taken as gone.
SETTLE_SECONDS: Final = 2.5
# How long a watch of the daemon that tells the others waits.  With the pause
# between two watches its word is 0.6 s old at most, half of what is trusted
# where a change must be known within two seconds.
PUBLISHER_WATCH_SECONDS: Final = 0.3
# Of the bound within which a change must be known; the rest is for the call
# that follows when a peer tells nothing any more.
PEER_UPDATE_TTL_SHARE: Final = 0.6
# A follower looks this often whether a peer still tells; small beside that.
PEER_UPDATE_CHECK_SECONDS: Final = 0.1
LOG: Final = logs.get("following")


# Seconds between two watches.
GetPause = collections.abc.Callable[[], float]


def min_pause() -> float:
    """Return the pause for kinds whose changes cannot wait, in seconds."""
    return MIN_PAUSE_SECONDS


def shared_pause(daemons: int, bound_seconds: float) -> float:
    """Return the pause for a kind that many daemons watch, in seconds.

    What changes must be known well within the bound.
    """
    shared = daemons / MAX_WATCHES_PER_SECOND
    return max(MIN_PAUSE_SECONDS, min(shared, MAX_PAUSE_SHARE * bound_seconds))


OnContact = collections.abc.Callable[[clock.MonotonicTime], None]


class ApplyListing(typing.Protocol):
    """Apply what was seen of a kind."""

    def __call__(self, seen: objects.Listing, complete: bool) -> None:
        """Apply changes, or all objects if the listing is complete."""


@dataclasses.dataclass
class ObjectWatcher:
    """Follow a kind and hand what is seen to `take`.

    A word of a peer is trusted for `told_seconds` from when it was known;
    `tells` says whether this daemon tells its peers.
    """

    store: objects.ObjectStore
    kind: str
    apply: ApplyListing
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    read_clock: leases.ReadClock = clock.monotonic
    on_contact: OnContact = lambda at: None
    get_pause: GetPause = min_pause
    peer_update_ttl_seconds: float = 0.0
    is_publisher: collections.abc.Callable[[], bool] = lambda: False
    version: ids.ObjectVersion = objects.ABSENT
    publisher: kind_updates.UpdatePublisher = dataclasses.field(
        default_factory=kind_updates.UpdatePublisher
    )
    _fresh_until: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _had_fresh_update: bool = False
    _failing_since: clock.MonotonicTime | None = None
    _settles_at: clock.MonotonicTime | None = None

    async def run(self) -> None:
        """Follow for ever."""
        waits = backoff.Backoff(
            self.rng, FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS
        )
        while True:
            started = self.read_clock()
            told = self.has_fresh_update(started)
            if told != self._had_fresh_update:
                event = "follows_peer" if told else "follows_store"
                LOG.info(event, kind=self.kind, version=self.version)
                self._had_fresh_update = told
            if told:
                await curio.sleep(PEER_UPDATE_CHECK_SECONDS)
                continue
            try:
                await self.poll_once(started)
            except errors.WatchExpired:
                LOG.info("history_gone", kind=self.kind, version=self.version)
                self.version = objects.ABSENT
                self.publisher.reset()
            except errors.StoreUnavailable as error:
                self.record_failure(error, started)
                await curio.sleep(waits.next_seconds())
            else:
                waits.reset()
                self.on_contact(started)
                await curio.sleep(self.get_pause())

    async def poll_once(self, started_at: clock.MonotonicTime) -> None:
        """List or watch once and hand on what was seen."""
        if self._settles_at is not None and started_at >= self._settles_at:
            self._settles_at = None
            self.version = objects.ABSENT
        known_at = started_at
        if self.version == objects.ABSENT:
            seen = await self.store.list(self.kind)
            self._record_contact(self.read_clock())
        else:
            wait = self._watch_seconds(started_at)
            seen = await self.store.watch(self.kind, self.version, wait)
            # The store waits for so long before it says that nothing is new.
            if not seen.objects and not seen.deleted:
                known_at = self._elapsed_or_now(started_at, wait)
        if seen.version < self.version:
            return
        if self._settles_at is None:
            self.apply(seen, complete=self.version == objects.ABSENT)
            self.publisher.record(self.version, seen, known_at)
        else:
            kept = msgspec.structs.replace(seen, deleted=[])
            self.apply(kept, complete=False)
        self.version = max(self.version, seen.version)

    def _elapsed_or_now(
        self, now: clock.MonotonicTime, seconds: float
    ) -> clock.MonotonicTime:
        """Return a time that much later, or now if it has not come."""
        later = clock.MonotonicTime(now + seconds)
        return later if later <= self.read_clock() else now

    def has_fresh_update(self, now: clock.MonotonicTime) -> bool:
        """Tell whether a peer tells what there is to know."""
        return now < self._fresh_until

    def receive_update(
        self, news: kind_updates.KindUpdate, now: clock.MonotonicTime
    ) -> None:
        """Apply what a peer tells, unless a change before is missing.

        Raises ValueError if what it tells is malformed.
        """
        if self.version == objects.ABSENT or self._settles_at is not None:
            return
        if self.version < news.version:
            self._apply_changes(news.unpack_changes())
        if self.version < news.version:
            self._fresh_until = now
            return
        known_at = clock.MonotonicTime(now - news.age_ms / 1000)
        until = clock.MonotonicTime(known_at + self.peer_update_ttl_seconds)
        self._fresh_until = max(self._fresh_until, until)
        self.on_contact(known_at)

    def _apply_changes(self, changes: list[kind_updates.Change]) -> None:
        for change in changes:
            if change.base_version <= self.version < change.version:
                self.apply(change.to_listing(), complete=False)
                self.version = change.version

    def record_failure(
        self, error: errors.StoreUnavailable, now: clock.MonotonicTime
    ) -> None:
        """Note a failed call.

        A watch that is cut may have missed changes whose history is gone
        by the time of the next one, so the kind is listed again.
        """
        if self._failing_since is None:
            self._failing_since = now
            LOG.warning("store_lost", kind=self.kind, reason=error.message)
        self.version = objects.ABSENT
        self.publisher.reset()

    def _record_contact(self, now: clock.MonotonicTime) -> None:
        if self._failing_since is None:
            return
        seconds = now - self._failing_since
        LOG.info("store_regained", kind=self.kind, lost_seconds=seconds)
        self._failing_since = None
        if seconds >= ENTRY_EXPIRY_SECONDS:
            self._settles_at = clock.MonotonicTime(now + SETTLE_SECONDS)

    def _watch_seconds(self, now: clock.MonotonicTime) -> float:
        if self.is_publisher():
            return PUBLISHER_WATCH_SECONDS
        if self._settles_at is None:
            return WATCH_TIMEOUT_SECONDS
        return min(WATCH_TIMEOUT_SECONDS, self._settles_at - now)
