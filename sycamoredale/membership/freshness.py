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

BOUND_SECONDS: Final = 2.8
STALE_SECONDS: Final = 2.0
EVIDENCE_SECONDS: Final = 2.0
SAMPLE_VOTERS: Final = 9
NEVER: Final = clock.MonotonicTime(float("-inf"))


class Standing(enum.Enum):
    """State what a daemon may do."""

    FRESH = "fresh"
    STORE_DOWN = "store_down"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Record what came of asking one peer, and when it was asked."""

    asked: clock.MonotonicTime
    stale_too: bool


@dataclasses.dataclass
class Freshness:
    """Keep the instant of contact and what peers said while it is old."""

    contact: clock.MonotonicTime = NEVER
    evidence_by_id: dict[ids.DaemonId, Evidence] = dataclasses.field(
        default_factory=dict
    )

    def age(self, now: clock.MonotonicTime) -> float:
        """Return the seconds since the instant of contact."""
        return now - self.contact

    def is_stale(self, now: clock.MonotonicTime) -> bool:
        """Tell whether to poll the object API and to ask more peers."""
        return self.age(now) > STALE_SECONDS

    def on_poll(self, started: clock.MonotonicTime) -> None:
        """Record a poll that showed the accepted state."""
        self.contact = max(self.contact, started)

    def on_answer(
        self,
        peer: ids.DaemonId,
        asked: clock.MonotonicTime,
        peer_age: float,
        usable: bool,
    ) -> None:
        """Record an answer of a peer to a request that left at `asked`.

        `usable` tells that this daemon has all that the peer has in force.
        """
        if usable:
            contact = clock.MonotonicTime(asked - peer_age)
            self.contact = max(self.contact, contact)
        stale_too = peer_age > STALE_SECONDS
        self.evidence_by_id[peer] = Evidence(asked, stale_too)

    def on_silence(
        self, peer: ids.DaemonId, asked: clock.MonotonicTime
    ) -> None:
        """Record that a peer did not answer."""
        self.evidence_by_id[peer] = Evidence(asked, False)

    def standing(
        self,
        voters: collections.abc.Collection[ids.DaemonId],
        now: clock.MonotonicTime,
    ) -> Standing:
        """Decide from the last-known daemons, this one included.

        A peer not asked of late counts as silent in a small fleet.  In a
        large one a random sample of recent questions stands for all.
        """
        if self.age(now) <= BOUND_SECONDS:
            return Standing.FRESH
        recent = [
            evidence
            for peer, evidence in self.evidence_by_id.items()
            if peer in voters and now - evidence.asked <= EVIDENCE_SECONDS
        ]
        agreeing = 1 + sum(evidence.stale_too for evidence in recent)
        needed = max(1 + len(recent), min(len(voters), SAMPLE_VOTERS))
        if 2 * agreeing > needed:
            return Standing.STORE_DOWN
        return Standing.ISOLATED

    def forget_old(self, now: clock.MonotonicTime) -> None:
        """Drop what is too old to count."""
        self.evidence_by_id = {
            peer: evidence
            for peer, evidence in self.evidence_by_id.items()
            if now - evidence.asked <= EVIDENCE_SECONDS
        }
