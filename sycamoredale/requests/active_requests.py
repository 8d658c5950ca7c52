"""Detect whether a request ran alone on its endpoint.

A crash counts most against a request that ran alone.  Others may start after
it, and a crash ends all of them at the same moment.  Neither the number of
requests at its start nor the number at its end is therefore sufficient.
"""

import dataclasses
import typing


class RequestCounts(typing.Protocol):
    """Count the requests that this daemon sent to an endpoint.

    `in_flight` counts those that run now, `started_total` all so far.
    """

    in_flight: int
    started_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRequest:
    """Identify a running request; `number` counts from 1 on its endpoint."""

    counts: RequestCounts
    number: int
    started_among_others: bool

    @property
    def ran_alone(self) -> bool:
        """Return whether no other request was in flight at the same time."""
        return (
            not self.started_among_others
            and self.counts.started_total == self.number
        )

    def finish(self) -> None:
        """Count the request as finished."""
        self.counts.in_flight -= 1


def start(counts: RequestCounts) -> ActiveRequest:
    """Count a request as started and in flight on an endpoint."""
    started_among_others = counts.in_flight > 0
    counts.in_flight += 1
    counts.started_total += 1
    return ActiveRequest(counts, counts.started_total, started_among_others)
