"""Track up to which time a daemon knows all changes of a kind of objects.

A list of the store, an answered watch and the update of a peer each prove
that every change confirmed before some time is known.  The last such time,
compared with the present, limits how old the state in force can be.
"""

import dataclasses
import enum
from typing import Final

from sycamoredale import clock

NEVER: Final = clock.MonotonicTime(float("-inf"))


class Source(enum.Enum):
    """Tell what proved the last time up to which all changes are known."""

    NONE = "none"
    STORE_LIST = "store_list"
    STORE_WATCH = "store_watch"
    PEER = "peer"


@dataclasses.dataclass
class Knowledge:
    """Record that all changes confirmed before `known_at` are known.

    Removals that are kept back since a time are known and not in force.
    """

    bound_seconds: float
    known_at: clock.MonotonicTime = NEVER
    source: Source = Source.NONE
    removals_kept_since: clock.MonotonicTime | None = None

    @property
    def in_force_at(self) -> clock.MonotonicTime:
        """Return the time up to which all changes are in force."""
        if self.removals_kept_since is None:
            return self.known_at
        return min(self.known_at, self.removals_kept_since)

    def advance(self, known_at: clock.MonotonicTime, source: Source) -> None:
        """Record a proof, unless a later time is known."""
        if known_at > self.known_at:
            self.known_at = known_at
            self.source = source

    def age(self, now: clock.MonotonicTime) -> float:
        """Return the seconds since all changes were known."""
        return now - self.known_at

    def is_late(self, now: clock.MonotonicTime) -> bool:
        """Return whether a change may be in force later than allowed."""
        at = self.in_force_at
        return at != NEVER and now - at > self.bound_seconds
