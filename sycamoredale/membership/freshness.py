"""Decide whether a daemon is up to date enough to dispatch new work.

A daemon that reaches neither the object API nor its peers cannot learn that
an availability zone was taken out of service, so it must stop dispatching.
An outage of the object API that affects all daemons must not stop the
service, because no change can be accepted during such an outage.

To distinguish the two, each daemon maintains the time up to which it has
received every accepted change.  That time is the start of its own last
successful poll, or the age that a peer reported, subtracted from the time
at which the request to the peer was sent.  Only durations are transmitted,
never clock readings, and a reported age is counted from before the peer
measured it, so that a delayed answer never makes a daemon appear fresher
than it is.

A daemon dispatches work while this age is at most MAX_AGE_SECONDS.  Beyond
that, a majority of the queried daemons must have reported within
VOTE_LIFETIME_SECONDS that they have lost contact with the object API too.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from sycamoredale import clock
from sycamoredale import ids

# Age up to which a daemon dispatches work without the votes of peers.
MAX_AGE_SECONDS: Final = 2.8
# Older state makes a daemon poll the object API and query more peers.
STALE_AFTER_SECONDS: Final = 2.0
VOTE_LIFETIME_SECONDS: Final = 2.0
# Up to this fleet size, a majority of all daemons is needed.  In a larger
# fleet, it is a majority of the recent voters, counted as at least this many.
MIN_ELECTORATE: Final = 9
NEVER: Final = clock.MonotonicTime(float("-inf"))


class Standing(enum.Enum):
    """Distinguish whether a daemon may dispatch new work, and why.

    FRESH: its state is recent.  STORE_DOWN: the object API is unreachable
    for the majority, so dispatch continues.  ISOLATED: it must stop.
    """

    FRESH = "fresh"
    STORE_DOWN = "store_down"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """Record whether a peer reported to be stale when last queried.

    `stale` is false also if the peer did not answer.
    """

    sent_at: clock.MonotonicTime
    stale: bool


@dataclasses.dataclass
class Freshness:
    """Track the time of the last sync and the recent votes of peers.

    Every change accepted before `synced_at` has been received.
    """

    synced_at: clock.MonotonicTime = NEVER
    vote_by_id: dict[ids.DaemonId, Vote] = dataclasses.field(
        default_factory=dict
    )

    def age(self, now: clock.MonotonicTime) -> float:
        """Return the seconds since the last sync."""
        return now - self.synced_at

    def is_stale(self, now: clock.MonotonicTime) -> bool:
        """Return whether to poll the object API and query more peers."""
        return self.age(now) > STALE_AFTER_SECONDS

    def on_poll(self, started: clock.MonotonicTime) -> None:
        """Record a successful poll of the object API."""
        self.synced_at = max(self.synced_at, started)

    def on_answer(
        self,
        peer: ids.DaemonId,
        sent_at: clock.MonotonicTime,
        peer_age: float,
        is_caught_up: bool,
    ) -> None:
        """Record the answer of a peer to a request sent at `sent_at`.

        `is_caught_up` is whether this daemon has the state versions that
        the peer has in force.  `peer_age` is in seconds.
        """
        if is_caught_up:
            synced_at = clock.MonotonicTime(sent_at - peer_age)
            self.synced_at = max(self.synced_at, synced_at)
        stale = peer_age > STALE_AFTER_SECONDS
        self.vote_by_id[peer] = Vote(sent_at, stale)

    def on_no_answer(
        self, peer: ids.DaemonId, sent_at: clock.MonotonicTime
    ) -> None:
        """Record that a peer did not answer, as a vote against an outage."""
        self.vote_by_id[peer] = Vote(sent_at, False)

    def standing(
        self,
        voters: collections.abc.Collection[ids.DaemonId],
        now: clock.MonotonicTime,
    ) -> Standing:
        """Decide from the age and the votes of the known daemons.

        `voters` includes this daemon.  In a small fleet, a peer without a
        recent vote counts as not stale.  In a large fleet, the recent votes
        of a random sample represent all daemons.
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
        """Drop votes older than VOTE_LIFETIME_SECONDS."""
        self.vote_by_id = {
            peer: vote
            for peer, vote in self.vote_by_id.items()
            if now - vote.sent_at <= VOTE_LIFETIME_SECONDS
        }
