"""Derive how urgent a call is from the priorities that operators configure.

Answers the load of several routes on the same engines, such as a burst of 2.5
times the least urgent calls beside 1.8 times the most urgent ones: without
levels each route loses the same part of its calls.

Levels are used for a service with an engine whose streaming routes have
different priorities.  Level 0 has the calls of preferred organisations, and
the others follow in the order of the priorities of their routes.
"""

import bisect
import collections.abc
import dataclasses
import typing
from typing import Final

from sycamoredale import ids

Level = typing.NewType("Level", int)

MOST_URGENT: Final = Level(0)
LEAST_URGENT: Final = Level(3)
# Requests per slot of an endpoint at which a call that would be late is
# refused, by level.  What is kept free serves calls that are more urgent.
LOAD_LIMITS: Final = (1.5, 1.5, 1.25, 1.0)


@dataclasses.dataclass(slots=True)
class Urgency:
    """Describe how urgent a call is.

    `level` is that of the call, `in_force` the one by which it is admitted
    and queued.  `least` is the least urgent level of its service.
    """

    level: Level
    in_force: Level
    least: Level = LEAST_URGENT

    @property
    def load_limit(self) -> float:
        """Return the load per slot at which the call is refused if late."""
        return LOAD_LIMITS[self.in_force]

    @property
    def gives_way(self) -> bool:
        """Return whether no call of the service is less urgent."""
        return self.in_force >= self.least

    def demote(self) -> None:
        """Admit and queue the call as the next less urgent level."""
        self.in_force = Level(min(self.level + 1, LEAST_URGENT))


@dataclasses.dataclass(frozen=True, slots=True)
class Levels:
    """Hold the distinct priorities of the streaming routes of a service."""

    priorities: tuple[int, ...]

    def urgency_of(self, priority: int, is_preferred: bool) -> Urgency:
        """Return the urgency of a call by the priority of its route."""
        least = Level(min(len(self.priorities), LEAST_URGENT))
        level = MOST_URGENT
        if not is_preferred:
            rank = bisect.bisect_left(self.priorities, priority)
            level = Level(min(1 + rank, LEAST_URGENT))
        return Urgency(level, level, least)


def levels_of(priorities: collections.abc.Iterable[int]) -> Levels | None:
    """Return the levels of a service, None if its priorities are equal."""
    distinct = tuple(sorted(set(priorities)))
    return Levels(distinct) if len(distinct) > 1 else None


def preferred_organisations(
    priority_by_organisation: collections.abc.Mapping[
        ids.OrganisationName, int | None
    ],
) -> frozenset[ids.OrganisationName]:
    """Return the organisations that are more urgent than the least urgent.

    One without a priority is not preferred, and has no effect on others.
    """
    priorities = priority_by_organisation.values()
    least = max((p for p in priorities if p is not None), default=0)
    return frozenset(
        organisation
        for organisation, priority in priority_by_organisation.items()
        if priority is not None and priority < least
    )
