"""Divide the time in which a change must be known among waits and calls.

A watch that hears nothing may be one that the store has lost.  So it ends
while enough time is left to notice that its answer is missing, and then to
list the kind.

After an outage another bound holds.  A call that began in it, the pause after
that call and a list have to end within the time that a daemon has to be up to
date again.
"""

import dataclasses
from typing import Final

from sycamoredale.http import client
from sycamoredale.object_api import objects

# Shares of the bound, in the order in which they are used.
WATCH_END_SHARE: Final = 0.4
WATCH_MARGIN_SHARE: Final = 0.2
LIST_SHARE: Final = 0.4
# Shares of the time after an outage.
LAST_CALL_SHARE: Final = 0.33
LAST_PAUSE_SHARE: Final = 0.33
# Calls that begin together in an outage end at different times, so that one of
# many daemons notices its end at once.
MIN_RETRY_SHARE: Final = 0.5
# An answer that is later than this is slower than a slow store.
MAX_WATCH_MARGIN_SECONDS: Final = 0.5
MAX_RETRY_SECONDS: Final = 1.0
# Longest wait of a watch, however late its changes may be known.
MAX_WATCH_SECONDS: Final = 5.0
# A shorter watch is replaced by a list.
MIN_WATCH_SECONDS: Final = 0.1
# How often a watcher looks for recent updates of a peer.
PEER_CHECK_SECONDS: Final = 0.1
# Of a watch for what has changed already.  Where a list takes many calls, it
# proves as much with one.
CATCH_UP_SECONDS: Final = 0.001
# Changes come in bursts, and each answer to a watch is a call that is charged
# for.  This is a tenth of the time in which a lost group is replaced.
MIN_PAUSE_SECONDS: Final = 0.3
# Of all daemons together for one kind: a fiftieth of the 2,000 reads a second
# that the store of the smaller sites serves.
MAX_WATCHES_PER_SECOND: Final = 40.0
# Leaves part of WATCH_END_SHARE for the watch.
MAX_PAUSE_SHARE: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTiming:
    """Limit waits by the age of what is known; all times are in seconds.

    All changes have to be known `contact_seconds` after an outage.
    """

    bound_seconds: float
    contact_seconds: float = 3.0

    @property
    def max_retry_pause_seconds(self) -> float:
        """Return the longest pause after a failed call."""
        return min(MAX_RETRY_SECONDS, LAST_PAUSE_SHARE * self.contact_seconds)

    @property
    def max_age_seconds(self) -> float:
        """Return the age of the knowledge at which the kind is listed."""
        return (WATCH_END_SHARE + WATCH_MARGIN_SHARE) * self.bound_seconds

    def watch_seconds(self, age: float) -> float:
        """Return how long a watch may wait, or 0 if there is no time left."""
        left = WATCH_END_SHARE * self.bound_seconds - age
        return min(left, MAX_WATCH_SECONDS) if left > MIN_WATCH_SECONDS else 0

    def catch_up_seconds(self, age: float) -> float:
        """Return how long to watch in place of a list, or 0 for a list.

        A watch that may fail needs time for a list after it.
        """
        left = self.max_age_seconds + PEER_CHECK_SECONDS - age
        is_late = age >= self.bound_seconds
        has_time = left >= self._watch_margin_seconds
        return CATCH_UP_SECONDS if is_late or has_time else 0.0

    def peer_age_seconds(self, is_long: bool) -> float:
        """Return the age at which the updates of a peer are too old.

        A long kind is watched then, which may fail before it is listed.
        """
        margin = self._watch_margin_seconds if is_long else 0.0
        return self.max_age_seconds - margin

    @property
    def _watch_margin_seconds(self) -> float:
        return min(
            MAX_WATCH_MARGIN_SECONDS, WATCH_MARGIN_SHARE * self.bound_seconds
        )

    def watch_limits(self) -> objects.CallLimits:
        """Return the limits of a watch."""
        margin = self._watch_margin_seconds
        return objects.CallLimits(margin, margin)

    def list_limits(
        self, attempt: int, new_connection: bool, spread: float = 1.0
    ) -> objects.CallLimits:
        """Return the limits of a list; the first attempt is 1.

        The time for the answer grows, so that a slow store can answer.  Of
        later attempts, `spread` (0 to 1) selects it within a range.
        """
        seconds = LIST_SHARE * self.bound_seconds
        longest = min(
            attempt * seconds, LAST_CALL_SHARE * self.contact_seconds
        )
        answer = longest
        if attempt > 1:
            shortest = MIN_RETRY_SHARE * min(longest, seconds)
            answer = shortest + spread * (longest - shortest)
        return objects.CallLimits(
            answer,
            min(client.CONNECT_TIMEOUT_SECONDS, answer),
            new_connection,
            max(answer, attempt * seconds),
        )


def min_pause() -> float:
    """Return the seconds between two watches of an urgent kind."""
    return MIN_PAUSE_SECONDS


def shared_pause(daemons: int, bound_seconds: float) -> float:
    """Return the seconds between two watches of a kind that all daemons watch.

    A change must be known within `bound_seconds`.
    """
    shared = daemons / MAX_WATCHES_PER_SECOND
    return max(MIN_PAUSE_SECONDS, min(shared, MAX_PAUSE_SHARE * bound_seconds))
