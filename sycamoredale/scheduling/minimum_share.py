"""Guarantee a share of the calls of each level and organisation.

Answers a lasting overload by urgent calls, in which calls of the least urgent
level would not be served at all, and one organisation with over half of the
load, which takes the place of the others.

Each daemon counts the calls of a sliding window.  Of the calls of each level
and each organisation a quarter may be admitted as if they were most urgent.
Daemons need no messages for this: the shares of all arrivals add up.  A daemon
of a large fleet sees few calls of a level in the window, so that fractions of
a call are decided by chance; if every first call had a claim, all would.
"""

import collections
import dataclasses
import random
from typing import Final

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.scheduling import urgency

WINDOW_SECONDS: Final = 4.0
MIN_SHARE: Final = 0.25
DOMINANT_SHARE: Final = 0.5
# With fewer calls any organisation may have over half of them by chance.
MIN_CALLS_TO_DOMINATE: Final = 8

_Key = urgency.Level | ids.OrganisationName | None


@dataclasses.dataclass(slots=True)
class Arrival:
    """Record one call in the window of its service."""

    at: clock.MonotonicTime
    level: urgency.Level
    organisation: ids.OrganisationName | None
    is_admitted: bool = False

    @property
    def keys(self) -> tuple[_Key, _Key]:
        """Return what the call counts for."""
        return self.level, self.organisation


@dataclasses.dataclass
class Window:
    """Count the recent calls of a service and those admitted."""

    _arrivals: collections.deque[Arrival] = dataclasses.field(
        default_factory=collections.deque
    )
    _counts: collections.Counter[_Key] = dataclasses.field(
        default_factory=collections.Counter
    )
    _admitted: collections.Counter[_Key] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(
        self,
        level: urgency.Level,
        organisation: ids.OrganisationName | None,
        now: clock.MonotonicTime,
    ) -> Arrival:
        """Count a call that has arrived."""
        self._drop_old(now)
        arrival = Arrival(now, level, organisation)
        self._arrivals.append(arrival)
        self._counts.update(arrival.keys)
        return arrival

    def admit(self, arrival: Arrival) -> None:
        """Count a call as admitted."""
        arrival.is_admitted = True
        self._admitted.update(arrival.keys)

    def has_claim(self, arrival: Arrival, rng: random.Random) -> bool:
        """Return whether a call belongs to the minimum share."""
        owed = max(
            MIN_SHARE * self._counts[key] - self._admitted[key]
            for key in arrival.keys
        )
        return rng.random() < owed

    def is_dominant(self, organisation: ids.OrganisationName | None) -> bool:
        """Return whether an organisation has over half of the calls.

        One that has all of them takes nothing from others.
        """
        total = len(self._arrivals)
        return (
            organisation is not None
            and total >= MIN_CALLS_TO_DOMINATE
            and DOMINANT_SHARE * total < self._counts[organisation] < total
        )

    def _drop_old(self, now: clock.MonotonicTime) -> None:
        arrivals = self._arrivals
        while arrivals and now - arrivals[0].at >= WINDOW_SECONDS:
            old = arrivals.popleft()
            for key in old.keys:
                self._counts[key] -= 1
                self._admitted[key] -= old.is_admitted
                if not self._counts[key]:
                    del self._counts[key], self._admitted[key]
