"""List a kind of objects in the store, then watch it for changes.

The last known state stays in force while the store is unavailable.  After a
failed call, or if changes are missing, the kind is listed again.  While a peer
sends recent updates of the kind, the store is not called.

Only answers prove that a state is recent, so no wait lasts until a change
could be late.
"""

import collections.abc
import dataclasses
import math
import random
import typing
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import kind_updates
from sycamoredale.forwarding import knowledge
from sycamoredale.forwarding import removal_filter
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import watch_observer
from sycamoredale.forwarding import watch_timing
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import backoff
from sycamoredale.object_api import eras
from sycamoredale.object_api import objects
from sycamoredale.observability import exposition
from sycamoredale.observability import logs

FIRST_RETRY_SECONDS: Final = 0.2
# How long a watch of the daemon that sends updates waits.  With the pause
# between two watches its updates are at most 0.6 s old, half of their lifetime
# where a change must be known within two seconds.
PUBLISHER_WATCH_SECONDS: Final = 0.3
LOG: Final = logs.get("object_watcher")

# Returns the seconds between two watches.
GetPause = collections.abc.Callable[[], float]
OnContact = collections.abc.Callable[[clock.MonotonicTime], None]


class ApplyListing(typing.Protocol):
    """Apply what a list or a watch of a kind returned."""

    def __call__(self, seen: objects.Listing, complete: bool) -> None:
        """Apply changes, or all objects if the listing is complete."""


@dataclasses.dataclass
class ObjectWatcher:
    """Watch a kind and pass each change to `apply`.

    A change must be known within `bound_seconds`, and `contact_seconds` after
    an outage.  `is_publisher` returns whether this daemon sends updates to its
    peers.  `on_contact` is called with the time up to which all changes are
    known.  `entries_expire` tells whether entries that nobody renews are
    deleted.  All watchers of a daemon share `contact`.
    """

    store: objects.ObjectStore
    kind: str
    apply: ApplyListing
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    read_clock: leases.ReadClock = clock.monotonic
    on_contact: OnContact = lambda at: None
    get_pause: GetPause = watch_timing.min_pause
    is_publisher: collections.abc.Callable[[], bool] = lambda: False
    bound_seconds: float = 2.0
    contact_seconds: float = 3.0
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    logs_changes: bool = False
    entries_expire: bool = True
    contact: store_contact.StoreContact = dataclasses.field(
        default_factory=store_contact.StoreContact
    )
    version: ids.ObjectVersion = objects.ABSENT_VERSION
    publisher: kind_updates.UpdatePublisher = dataclasses.field(
        default_factory=kind_updates.UpdatePublisher
    )
    _fresh_until: clock.MonotonicTime = clock.MonotonicTime(0.0)
    _had_fresh_update: bool = False
    _missed_change: bool = False
    _must_list: bool = True
    _list_attempts: int = 0
    _failing_since: clock.MonotonicTime | None = None
    _has_failed: bool = False
    # Whether the store may have more changes than it has returned.
    _is_behind: bool = False

    def __post_init__(self) -> None:
        """Create the parts that depend on the bound."""
        self._timing = watch_timing.WatchTiming(
            self.bound_seconds, self.contact_seconds
        )
        self.known = knowledge.Knowledge(self.bound_seconds)
        self.observer = watch_observer.WatchObserver(
            self.kind, self.known, self.metrics, self.logs_changes
        )
        self._removals = removal_filter.RemovalFilter(
            self.contact, self.observer, self.entries_expire
        )

    def check(self, now: clock.MonotonicTime) -> None:
        """Update the metrics, and log whether the knowledge is late."""
        self.observer.check(self.version, now)

    def in_force_ms_ago(self, now: clock.MonotonicTime) -> int:
        """Return how long ago all changes were in force, -1 if never."""
        at = self.known.in_force_at
        return -1 if at == knowledge.NEVER else int(1000 * (now - at))

    async def run(self) -> None:
        """Watch the kind until cancelled."""
        waits = backoff.Backoff(
            self.rng,
            FIRST_RETRY_SECONDS,
            self._timing.max_retry_pause_seconds,
        )
        while True:
            started = self.read_clock()
            # Peers return to the publisher what it has sent itself.
            is_fresh = self.has_fresh_update(started)
            is_fresh = is_fresh and not self.is_publisher()
            # What a peer says may be older than the end of the wait.
            is_fresh = is_fresh and not self._removals_are_due(started)
            self._log_source(is_fresh, started)
            if is_fresh:
                await curio.sleep(watch_timing.PEER_CHECK_SECONDS)
                continue
            try:
                await self.poll_once(started)
            except errors.WatchExpired:
                self.record_expired()
            except errors.StoreUnavailable as error:
                self.record_failure(error, started)
                delay = waits.next_seconds()
                await curio.sleep(self._retry_seconds(delay))
            else:
                waits.reset()
                self.on_contact(started)
                await curio.sleep(self._pause_seconds())

    def _log_source(self, is_fresh: bool, now: clock.MonotonicTime) -> None:
        if is_fresh == self._had_fresh_update:
            return
        self._had_fresh_update = is_fresh
        event, reason = "watching_peer", "update received"
        if is_fresh:
            self._failing_since = None
        else:
            event, reason = "watching_store", "updates expired"
            if self._missed_change:
                reason = "change missing"
        self.observer.on_source_changed(event, reason, self.version, now)

    async def poll_once(self, started_at: clock.MonotonicTime) -> None:
        """List or watch the kind once, and apply the result.

        Raises WatchExpired or StoreUnavailable.
        """
        wait = self._watch_seconds(started_at)
        if wait:
            await self._watch(started_at, wait)
        else:
            await self._list(started_at)

    async def _list(self, started_at: clock.MonotonicTime) -> None:
        source = knowledge.Source.STORE_LIST
        self._list_attempts += 1
        limits = self._timing.list_limits(
            self._list_attempts,
            # Idle connections may be as silent as the one that failed.
            new_connection=self._has_failed,
            spread=self.rng.random(),
        )
        seen = await self._call(source, self.store.list(self.kind, limits))
        self._list_attempts = 0
        self._must_list = False
        self._learn(seen, source, started_at)

    async def _watch(
        self, started_at: clock.MonotonicTime, wait: float
    ) -> None:
        source = knowledge.Source.STORE_WATCH
        limits = self._timing.watch_limits()
        seen = await self._call(
            source, self.store.watch(self.kind, self.version, wait, limits)
        )
        known_at = started_at
        # The store answers without a change only after the whole wait.
        if not seen.objects and not seen.deleted:
            known_at = self._watched_until(started_at, wait)
        self._learn(seen, source, known_at)

    def _learn(
        self,
        seen: objects.Listing,
        source: knowledge.Source,
        known_at: clock.MonotonicTime,
    ) -> None:
        """Apply an answer of the store that was current at `known_at`.

        An older one is ignored: a peer has sent later changes meanwhile.
        """
        if seen.version < self.version:
            return
        if seen.objects or seen.deleted:
            self.observer.on_change(source, seen, self.read_clock())
        if seen.is_partial:
            known_at = self.known.known_at
        self.known.advance(known_at, source)
        is_list = source is knowledge.Source.STORE_LIST
        changes = self._changes_in_list(seen) if is_list else seen
        self._is_behind = seen.is_partial
        self.publisher.record(self.version, changes, known_at)
        self._apply(seen, is_list, known_at)

    def _changes_in_list(self, listed: objects.Listing) -> objects.Listing:
        """Return how a list differs from the present version."""
        names = {item.name for item in listed.objects}
        return objects.Listing(
            listed.version,
            [item for item in listed.objects if item.version > self.version],
            sorted(self._removals.names - names),
        )

    def _apply(
        self,
        seen: objects.Listing,
        complete: bool,
        known_at: clock.MonotonicTime,
    ) -> None:
        self.version = seen.version
        seen, complete = self._removals.filter(
            seen, complete, known_at, self.read_clock()
        )
        self.apply(seen, complete=complete)

    async def _call(
        self,
        source: knowledge.Source,
        call: collections.abc.Awaitable[objects.Listing],
    ) -> objects.Listing:
        """Await a call of the store, and report how it ended."""
        started = self.read_clock()
        outcome = watch_observer.Outcome.FAILED
        try:
            seen = await call
            self._record_answer(self.read_clock())
            has_changes = bool(seen.objects or seen.deleted)
            outcome = (
                watch_observer.Outcome.CHANGED
                if has_changes
                else watch_observer.Outcome.UNCHANGED
            )
            return seen
        except errors.WatchExpired:
            outcome = watch_observer.Outcome.EXPIRED
            self._record_answer(self.read_clock())
            raise
        finally:
            seconds = self.read_clock() - started
            self.observer.on_call_ended(source, outcome, seconds)

    def _watched_until(
        self, started_at: clock.MonotonicTime, seconds: float
    ) -> clock.MonotonicTime:
        """Return the end of a watch, or its start if the end lies ahead."""
        ends_at = clock.MonotonicTime(started_at + seconds)
        return ends_at if ends_at <= self.read_clock() else started_at

    def has_fresh_update(self, now: clock.MonotonicTime) -> bool:
        """Return whether the last update of a peer is still recent."""
        return now < self._fresh_until

    def receive_update(
        self, update: kind_updates.KindUpdate, now: clock.MonotonicTime
    ) -> None:
        """Apply the update of a peer, unless an earlier change is missing.

        Raises ValueError if the update is malformed.
        """
        if self.version == objects.ABSENT_VERSION:
            return
        if not self._accepts_era_of(update, now):
            return
        known_at = clock.MonotonicTime(now - update.age_ms / 1000)
        self.contact.record_answer(known_at)
        if self.version < update.version:
            self._apply_changes(update.unpack_changes(), known_at, now)
        self._missed_change = self.version < update.version
        if self._missed_change:
            # The store has to be called.
            self._fresh_until = now
            return
        if self._removals_are_due(known_at):
            self._apply(objects.Listing(self.version), False, known_at)
        max_age = self._timing.peer_age_seconds(self._is_long)
        until = clock.MonotonicTime(known_at + max_age)
        self._fresh_until = max(self._fresh_until, until)
        self.known.advance(known_at, knowledge.Source.PEER)
        self.on_contact(known_at)

    def _accepts_era_of(
        self, update: kind_updates.KindUpdate, now: clock.MonotonicTime
    ) -> bool:
        """Return whether an update is of the era of the present state.

        One of a former era proves nothing.  After one of a later era the
        kind is listed.
        """
        if eras.are_comparable(update.version, self.version):
            return True
        self.metrics.count("updates_of_other_era", self.kind)
        if update.version > self.version:
            self._must_list = self._missed_change = True
            self._fresh_until = now
        return False

    def _apply_changes(
        self,
        changes: list[kind_updates.Change],
        known_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> None:
        for change in changes:
            if change.base_version <= self.version < change.version:
                seen = change.to_listing()
                if not change.is_empty:
                    self.observer.on_change(knowledge.Source.PEER, seen, now)
                is_last = change is changes[-1]
                at = known_at if is_last else self.known.known_at
                self._apply(seen, False, at)

    def record_expired(self) -> None:
        """Record that the history has ended, and list the kind next."""
        LOG.info("watch_expired", kind=self.kind, version=self.version)
        self._must_list = True

    def record_failure(
        self, error: errors.StoreUnavailable, now: clock.MonotonicTime
    ) -> None:
        """Record a failed call, and list the kind with the next one.

        An interrupted watch may have missed changes that the store no longer
        keeps at the time of the next watch.
        """
        self._has_failed = True
        # Silence towards a watch does not show that the store is away.
        if self._list_attempts:
            self.contact.record_failure(now)
        if self._failing_since is None:
            self._failing_since = now
            LOG.warning("store_lost", kind=self.kind, reason=error.message)
        self._must_list = True
        self.publisher.suspend()

    def _record_answer(self, now: clock.MonotonicTime) -> None:
        self._has_failed = False
        self.contact.record_answer(now)
        if self._failing_since is None:
            return
        seconds = round(now - self._failing_since, 3)
        LOG.info("store_regained", kind=self.kind, lost_seconds=seconds)
        self._failing_since = None

    @property
    def _is_long(self) -> bool:
        """Return whether a list of the kind may take several calls."""
        return len(self._removals.names) > objects.MIN_PAGE_OBJECTS

    def _watch_seconds(self, now: clock.MonotonicTime) -> float:
        """Return how long to watch, or 0 if the kind has to be listed."""
        if self._must_list:
            return 0.0
        wait = self._timing.watch_seconds(self.known.age(now))
        if not wait and self._is_long:
            wait = self._timing.catch_up_seconds(self.known.age(now))
        if self.is_publisher():
            wait = min(wait, PUBLISHER_WATCH_SECONDS)
        return min(wait, self._seconds_until_last_watch(now))

    def _removals_are_due(self, now: clock.MonotonicTime) -> bool:
        return self._removals.seconds_until_due(now) == 0.0

    def _seconds_until_last_watch(self, now: clock.MonotonicTime) -> float:
        """Return how long to watch at most before kept removals are due.

        Then the kind is listed, since a watch may have no answer.
        """
        due = self._removals.seconds_until_due(now)
        if due is None:
            return math.inf
        margin = self._timing.watch_limits().answer_seconds
        return max(0.0, due - margin)

    def _pause_seconds(self) -> float:
        """Return the pause after an answered call."""
        if self._is_behind:
            return 0.0
        now = self.read_clock()
        pause = self.get_pause()
        left = self._seconds_until_last_watch(now)
        if left < pause + watch_timing.MIN_WATCH_SECONDS:
            return self._removals.seconds_until_due(now) or 0.0
        return pause

    def _retry_seconds(self, delay: float) -> float:
        """Return the pause after a failed call.

        After a failed watch, the pause ends in time for a list.
        """
        if self._list_attempts:
            return delay
        age = self.known.age(self.read_clock())
        return max(0.0, min(delay, self._timing.max_age_seconds - age))
