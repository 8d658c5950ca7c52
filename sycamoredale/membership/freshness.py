"""Decide whether a daemon knows enough to give out new work.

A daemon that is cut off from the object API and from its peers cannot
learn that an availability zone was taken out, so it must stop.  An outage
of the object API for all must not stop the service: then no change can be
accepted.  To tell them apart, a daemon keeps the instant up to which it
knows every accepted change: the start of its own last successful poll, or
what a peer has told in answer to a request, counted from the time that
the request left.  Only durations cross the wire, never clock readings,
and a duration that is told counts from before it was measured, so that a
delayed answer makes nobody fresher than it is.

Within the bound the daemon gives out work.  Beyond it, it must have heard
in the last seconds, from the majority of the daemons that it asked, that
they are out of touch with the object API as well.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

MAX_AGE_SECONDS: Final = 2.8
STALE_AFTER_SECONDS: Final = 2.0
VOTE_LIFETIME_SECONDS: Final = 2.0
MIN_ELECTORATE: Final = 9
NEVER: Final = clock.MonotonicTime(float("-inf"))


class Standing(enum.Enum):
    """State what a daemon may do."""

    FRESH = "fresh"
    STORE_DOWN = "store_down"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Record what came of asking one peer, and when it was asked."""

    sent_at: clock.MonotonicTime
    stale: bool


@dataclasses.dataclass
class Freshness:
    """Keep the instant of contact and what peers said while it is old."""

    synced_at: clock.MonotonicTime = NEVER
    vote_by_id: dict[ids.DaemonId, Vote] = dataclasses.field(
        default_factory=dict
    )

    def age(self, now: clock.MonotonicTime) -> float:
        """Return the seconds since the instant of contact."""
        return now - self.synced_at

    def is_stale(self, now: clock.MonotonicTime) -> bool:
        """Tell whether to poll the object API and to ask more peers."""
        return self.age(now) > STALE_AFTER_SECONDS

    def on_poll(self, started: clock.MonotonicTime) -> None:
        """Record a poll that showed the accepted state."""
        self.synced_at = max(self.synced_at, started)

    def on_answer(
        self,
        peer: ids.DaemonId,
        sent_at: clock.MonotonicTime,
        peer_age: float,
        is_caught_up: bool,
    ) -> None:
        """Record an answer of a peer to a request that left at `asked`.

        `usable` tells that this daemon has all that the peer has in force.
        """
        if is_caught_up:
            synced_at = clock.MonotonicTime(sent_at - peer_age)
            self.synced_at = max(self.synced_at, synced_at)
        stale = peer_age > STALE_AFTER_SECONDS
        self.vote_by_id[peer] = Vote(sent_at, stale)

    def on_no_answer(
        self, peer: ids.DaemonId, sent_at: clock.MonotonicTime
    ) -> None:
        """Record that a peer did not answer."""
        self.vote_by_id[peer] = Vote(sent_at, False)

    def standing(
        self,
        voters: collections.abc.Collection[ids.DaemonId],
        now: clock.MonotonicTime,
    ) -> Standing:
        """Decide from the last-known daemons, this one included.

        A peer not asked of late counts as silent in a small fleet.  In a
        large one a random sample of recent questions stands for all.
        """
        if self.age(now) <= MAX_AGE_SECONDS:
            return Standing.FRESH
        recent_votes = [
            vote
            for peer, vote in self.vote_by_id.items()
            if peer in voters and now - vote.sent_at <= VOTE_LIFETIME_SECONDS
        ]
        agreeing = 1 + sum(vote.stale for vote in recent_votes)
        electorate = max(
            1 + len(recent_votes), min(len(voters), MIN_ELECTORATE)
        )
        if 2 * agreeing > electorate:
            return Standing.STORE_DOWN
        return Standing.ISOLATED

    def drop_expired_votes(self, now: clock.MonotonicTime) -> None:
        """Drop what is too old to count."""
        self.vote_by_id = {
            peer: vote
            for peer, vote in self.vote_by_id.items()
            if now - vote.sent_at <= VOTE_LIFETIME_SECONDS
        }
