"""Track since when the store has answered the daemons without a gap.

Entries expire while the store is away, and return some time after it.  That
counts from the return of the store, not from that of a single daemon: the
store may have served the others meanwhile.  So daemons tell each other for
which interval the store has answered any of them, and join intervals that
meet.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale.observability import logs

# Entries that heartbeats renew may expire in an outage of this length.
ENTRY_EXPIRY_SECONDS: Final = 1.0
# Entries that expired in an outage return within about two seconds after it.
SETTLE_SECONDS: Final = 2.2
NEVER: Final = clock.MonotonicTime(float("-inf"))
LOG: Final = logs.get("store_contact")

# In milliseconds before the present: the start and the end of an interval.
Ages = tuple[int, int]
NO_AGES: Final[Ages] = (-1, -1)


@dataclasses.dataclass
class StoreContact:
    """Hold the last interval in which the store has answered.

    It begins after an outage, or with the first answer to this daemon.
    """

    since: clock.MonotonicTime = NEVER
    heard_at: clock.MonotonicTime = NEVER
    # When this daemon noticed that the store came back from an older copy.
    era_began_at: clock.MonotonicTime = NEVER
    _failed_at: clock.MonotonicTime = NEVER
    # Whether the interval begins with the first answer to this daemon.
    _is_first: bool = True

    def record_answer(self, at: clock.MonotonicTime) -> None:
        """Record that the store has answered some daemon at a time."""
        if self.heard_at == NEVER:
            self.since = self.heard_at = at
            return
        gap = at - self.heard_at
        # Without a failed call, nobody has asked.
        has_failed = self._failed_at > self.heard_at
        if has_failed and gap >= ENTRY_EXPIRY_SECONDS:
            self._begin(at)
        self.heard_at = max(self.heard_at, at)

    def record_failure(self, started_at: clock.MonotonicTime) -> None:
        """Record that a call failed that the store answers at once."""
        self._failed_at = max(self._failed_at, started_at)

    def begin_era(self, at: clock.MonotonicTime) -> None:
        """Record that the store came back from an older copy.

        What it has lost is written again by those who wrote it.
        """
        self.era_began_at = at

    def rewritten_at(self) -> clock.MonotonicTime:
        """Return until when objects that the copy lacks may return."""
        return clock.MonotonicTime(self.era_began_at + SETTLE_SECONDS)

    def settles_at(self) -> clock.MonotonicTime:
        """Return until when expired entries may still return."""
        if self._is_first:
            return self.rewritten_at()
        since = max(self.since, self.era_began_at)
        return clock.MonotonicTime(since + SETTLE_SECONDS)

    def ages(self, now: clock.MonotonicTime) -> Ages:
        """Return the interval for peers, NO_AGES if it tells them nothing.

        A daemon that has just started does not know what was before.
        """
        if self.heard_at == NEVER or not self._knows_since(now):
            return NO_AGES
        return clock.ms_since(self.since, now), clock.ms_since(
            self.heard_at, now
        )

    def receive(self, ages: Ages, now: clock.MonotonicTime) -> None:
        """Join the interval of a peer, or take it if it is later."""
        since_age, heard_age = ages
        if not 0 <= heard_age <= since_age:
            return
        since = clock.MonotonicTime(now - since_age / 1000)
        heard_at = clock.MonotonicTime(now - heard_age / 1000)
        if since >= self.heard_at + ENTRY_EXPIRY_SECONDS:
            self._begin(since)
            self.heard_at = heard_at
            self._is_first = False
        elif heard_at > self.since - ENTRY_EXPIRY_SECONDS:
            self.since = min(self.since, since)
            self.heard_at = max(self.heard_at, heard_at)
            self._is_first = False

    def _begin(self, at: clock.MonotonicTime) -> None:
        if self.heard_at != NEVER:
            LOG.info(
                "store_returned", away_seconds=round(at - self.heard_at, 3)
            )
        self.since = at
        self._is_first = False

    def _knows_since(self, now: clock.MonotonicTime) -> bool:
        return not self._is_first or now - self.since >= SETTLE_SECONDS
