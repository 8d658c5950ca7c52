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
from sycamoredale.forwarding import kind_news
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import backoff
from sycamoredale.object_api import objects
from sycamoredale.observability import logs

# A watch that has gone silent is noticed after this and a margin.
WATCH_SECONDS: Final = 5.0
# Changes come in bursts, and each answer to a watch is a priced call; a
# tenth of the time that a group needs to be formed again.
GATHER_SECONDS: Final = 0.3
# Of all daemons together for one kind: a fiftieth of the 2,000 reading calls
# that the store of the smaller sites serves.
WATCHES_PER_SECOND: Final = 40.0
# The rest of a bound covers a slow store and a call on its way.
BOUND_SHARE: Final = 0.5
FIRST_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.0
# Entries that are renewed by heartbeats may lapse in an outage this long.
LAPSE_SECONDS: Final = 1.0
# After an outage entries that lapsed are back within about two seconds;
# until then nothing is taken as gone.
SETTLE_SECONDS: Final = 2.5
# How long a watch of the daemon that tells the others waits.  With the pause
# between two watches its word is 0.6 s old at most, half of what is trusted
# where a change must be known within two seconds.
TELL_WATCH_SECONDS: Final = 0.3
# Of the bound within which a change must be known; the rest is for the call
# that follows when a peer tells nothing any more.
TOLD_SHARE: Final = 0.6
# A follower looks this often whether a peer still tells; small beside that.
TOLD_LOOK_SECONDS: Final = 0.1
LOG: Final = logs.get("following")


# Seconds between two watches.
GetPause = collections.abc.Callable[[], float]


def short_pause() -> float:
    """Return the pause for kinds whose changes cannot wait, in seconds."""
    return GATHER_SECONDS


def shared_pause(daemons: int, bound_seconds: float) -> float:
    """Return the pause for a kind that many daemons watch, in seconds.

    What changes must be known well within the bound.
    """
    shared = daemons / WATCHES_PER_SECOND
    return max(GATHER_SECONDS, min(shared, BOUND_SHARE * bound_seconds))


OnContact = collections.abc.Callable[[clock.MonotonicTime], None]


class Take(typing.Protocol):
    """Take over what was seen of a kind."""

    def __call__(self, seen: objects.Listing, complete: bool) -> None:
        """Take over changes, or all objects if the listing is complete."""


@dataclasses.dataclass
class Follower:
    """Follow a kind and hand what is seen to `take`.

    A word of a peer is trusted for `told_seconds` from when it was known;
    `tells` says whether this daemon tells its peers.
    """

    store: objects.ObjectStore
    kind: str
    take: Take
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    read_clock: leases.ReadClock = clock.monotonic
    on_contact: OnContact = lambda at: None
    get_pause: GetPause = short_pause
    told_seconds: float = 0.0
    tells: collections.abc.Callable[[], bool] = lambda: False
    version: ids.ObjectVersion = objects.ABSENT
    teller: kind_news.Teller = dataclasses.field(
        default_factory=kind_news.Teller
    )
    _told_until: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _was_told: bool = False
    _lost_at: clock.MonotonicTime | None = None
    _settles_at: clock.MonotonicTime | None = None

    async def run(self) -> None:
        """Follow for ever."""
        waits = backoff.Backoff(
            self.rng, FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS
        )
        while True:
            started = self.read_clock()
            told = self.is_told(started)
            if told != self._was_told:
                event = "follows_peer" if told else "follows_store"
                LOG.info(event, kind=self.kind, version=self.version)
                self._was_told = told
            if told:
                await curio.sleep(TOLD_LOOK_SECONDS)
                continue
            try:
                await self.step(started)
            except errors.WatchExpired:
                LOG.info("history_gone", kind=self.kind, version=self.version)
                self.version = objects.ABSENT
                self.teller.note_lost()
            except errors.StoreUnavailable as error:
                self.lose(error, started)
                await curio.sleep(waits.next_seconds())
            else:
                waits.reset()
                self.on_contact(started)
                await curio.sleep(self.get_pause())

    async def step(self, now: clock.MonotonicTime) -> None:
        """List or watch once and hand on what was seen."""
        if self._settles_at is not None and now >= self._settles_at:
            self._settles_at = None
            self.version = objects.ABSENT
        known_at = now
        if self.version == objects.ABSENT:
            seen = await self.store.list(self.kind)
            self._find(self.read_clock())
        else:
            wait = self._wait_seconds(now)
            seen = await self.store.watch(self.kind, self.version, wait)
            # The store waits for so long before it says that nothing is new.
            if not seen.objects and not seen.deleted:
                known_at = self._after(now, wait)
        if seen.version < self.version:
            return
        if self._settles_at is None:
            self.take(seen, complete=self.version == objects.ABSENT)
            self.teller.note(self.version, seen, known_at)
        else:
            kept = msgspec.structs.replace(seen, deleted=[])
            self.take(kept, complete=False)
        self.version = max(self.version, seen.version)

    def _after(
        self, now: clock.MonotonicTime, seconds: float
    ) -> clock.MonotonicTime:
        """Return a time that much later, or now if it has not come."""
        later = clock.MonotonicTime(now + seconds)
        return later if later <= self.read_clock() else now

    def is_told(self, now: clock.MonotonicTime) -> bool:
        """Tell whether a peer tells what there is to know."""
        return now < self._told_until

    def hear(self, news: kind_news.KindNews, now: clock.MonotonicTime) -> None:
        """Take over what a peer tells, unless a change before is missing.

        Raises ValueError if what it tells is malformed.
        """
        if self.version == objects.ABSENT or self._settles_at is not None:
            return
        if self.version < news.version:
            self._take_told(news.changes())
        if self.version < news.version:
            self._told_until = now
            return
        known_at = clock.MonotonicTime(now - news.age_ms / 1000)
        until = clock.MonotonicTime(known_at + self.told_seconds)
        self._told_until = max(self._told_until, until)
        self.on_contact(known_at)

    def _take_told(self, changes: list[kind_news.Change]) -> None:
        for change in changes:
            if change.since <= self.version < change.version:
                self.take(change.as_listing(), complete=False)
                self.version = change.version

    def lose(
        self, error: errors.StoreUnavailable, now: clock.MonotonicTime
    ) -> None:
        """Note a failed call.

        A watch that is cut may have missed changes whose history is gone
        by the time of the next one, so the kind is listed again.
        """
        if self._lost_at is None:
            self._lost_at = now
            LOG.warning("store_lost", kind=self.kind, reason=error.message)
        self.version = objects.ABSENT
        self.teller.note_lost()

    def _find(self, now: clock.MonotonicTime) -> None:
        if self._lost_at is None:
            return
        seconds = now - self._lost_at
        LOG.info("store_regained", kind=self.kind, lost_seconds=seconds)
        self._lost_at = None
        if seconds >= LAPSE_SECONDS:
            self._settles_at = clock.MonotonicTime(now + SETTLE_SECONDS)

    def _wait_seconds(self, now: clock.MonotonicTime) -> float:
        if self.tells():
            return TELL_WATCH_SECONDS
        if self._settles_at is None:
            return WATCH_SECONDS
        return min(WATCH_SECONDS, self._settles_at - now)
