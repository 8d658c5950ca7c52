"""Keep removed objects in force while their entries may only have expired.

Entries that heartbeats renew expire while the store is away, and return after
it.  A removal takes effect once it is known of a time at which all expired
entries had returned.  The same holds for all objects once the store has come
back from an older copy, since those that it lacks are written again.
"""

import dataclasses

import msgspec

from sycamoredale import clock
from sycamoredale.forwarding import store_contact
from sycamoredale.forwarding import watch_observer
from sycamoredale.object_api import objects


@dataclasses.dataclass
class RemovalFilter:
    """Hold back the removals of one kind; `names` are those in the store."""

    contact: store_contact.StoreContact
    observer: watch_observer.WatchObserver
    entries_expire: bool
    names: set[str] = dataclasses.field(default_factory=set)
    _kept: set[str] = dataclasses.field(default_factory=set)

    def filter(
        self,
        seen: objects.Listing,
        complete: bool,
        known_at: clock.MonotonicTime,
        now: clock.MonotonicTime,
    ) -> tuple[objects.Listing, bool]:
        """Return what takes effect of a listing, and whether it is complete.

        The listing has all changes up to `known_at`.
        """
        listed = {item.name for item in seen.objects}
        removed = self.names - listed if complete else set(seen.deleted)
        self.names = (self.names - removed) | listed
        self._kept -= listed
        settles_at = self._settles_at()
        if known_at < settles_at:
            self._kept |= removed
            self.observer.on_removals_kept(
                self._kept, seen.version, settles_at, now
            )
            return msgspec.structs.replace(seen, deleted=[]), False
        released = sorted(self._kept)
        self._kept.clear()
        self.observer.on_removals_settled(released, now)
        if complete or not released:
            return seen, complete
        deleted = [*seen.deleted, *released]
        return msgspec.structs.replace(seen, deleted=deleted), False

    def seconds_until_due(self, now: clock.MonotonicTime) -> float | None:
        """Return until when removals are kept, None if there are none."""
        if not self._kept:
            return None
        return max(0.0, self._settles_at() - now)

    def _settles_at(self) -> clock.MonotonicTime:
        if self.entries_expire:
            return self.contact.settles_at()
        return self.contact.rewritten_at()
