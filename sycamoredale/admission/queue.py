"""Order the calls of one service that wait at this router.

Organisations take turns by how much of their allowance they use.  Within
the service interactive calls go before batch calls, but for one start in
a fixed number, so that batch calls cannot starve.
"""

import collections
import collections.abc
import dataclasses
import math
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.requests import call as call_module

BATCH_START_INTERVAL: Final = 8
MIN_ALLOWANCE: Final = 0.25
SERVICE_TIME_EWMA_WEIGHT: Final = 0.1


@dataclasses.dataclass(eq=False)
class QueuedCall:
    """Hold one call until it may start or is refused."""

    call: call_module.Call
    arrived_at: clock.MonotonicTime
    ends_at: clock.MonotonicTime
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)
    refusal: errors.Refusal | None = None
    started_at: clock.MonotonicTime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Bound what may run here, in total and by organisation."""

    total: float
    by_organisation: dict[ids.OrganisationName, float]

    def of(self, organisation: ids.OrganisationName) -> int:
        """Return the whole number of requests, at least one."""
        return max(1, math.ceil(self.by_organisation.get(organisation, 1.0)))

    def whole_total(self) -> int:
        """Return the whole number of requests, at least one."""
        return max(1, math.ceil(self.total))


CallsByOrganisation = dict[ids.OrganisationName, collections.deque[QueuedCall]]


@dataclasses.dataclass
class ServiceQueue:
    """Hold the waiting calls and count the running ones."""

    service: ids.ServiceName
    running: collections.Counter[ids.OrganisationName] = dataclasses.field(
        default_factory=collections.Counter
    )
    service_seconds: float = 0.0
    line_by_priority: dict[call_module.Priority, CallsByOrganisation] = (
        dataclasses.field(
            default_factory=lambda: {p: {} for p in call_module.Priority}
        )
    )
    unplaced: set[ids.RequestId] = dataclasses.field(default_factory=set)
    _starts: int = 0

    def add(self, waiter: QueuedCall) -> None:
        """Put a call behind those of its organisation and priority."""
        line = self.line_by_priority[waiter.call.priority]
        waiting = line.setdefault(
            waiter.call.organisation, collections.deque()
        )
        waiting.append(waiter)

    def remove(self, waiter: QueuedCall) -> None:
        """Take a call out of the queue, if it is still there."""
        line = self.line_by_priority[waiter.call.priority]
        waiting = line.get(waiter.call.organisation)
        if waiting is not None and waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del line[waiter.call.organisation]

    def wanted(self) -> collections.Counter[ids.OrganisationName]:
        """Return the running and waiting calls by organisation."""
        counted = collections.Counter(self.running)
        for line in self.line_by_priority.values():
            for organisation, waiting in line.items():
                counted[organisation] += len(waiting)
        return +counted

    def waiting(self) -> collections.abc.Iterator[tuple[int, QueuedCall]]:
        """Yield the waiting calls with how many go before each."""
        ahead: collections.Counter[ids.OrganisationName] = (
            collections.Counter()
        )
        for priority in call_module.Priority:
            for organisation, line in list(
                self.line_by_priority[priority].items()
            ):
                for waiter in list(line):
                    yield ahead[organisation], waiter
                    ahead[organisation] += 1

    def waiting_of(self, organisation: ids.OrganisationName) -> int:
        """Return how many calls of an organisation wait."""
        return sum(
            len(line.get(organisation, ()))
            for line in self.line_by_priority.values()
        )

    def next(self, allowance: Allowance) -> QueuedCall | None:
        """Return the call that starts next, None if none may."""
        if self.running.total() >= allowance.whole_total():
            return None
        order = list(call_module.Priority)
        if self._starts % BATCH_START_INTERVAL == BATCH_START_INTERVAL - 1:
            order.reverse()
        for priority in order:
            line = self.line_by_priority[priority]
            eligible = [o for o in line if self.running[o] < allowance.of(o)]
            if eligible:
                chosen = min(eligible, key=lambda o: self._used(o, allowance))
                return line[chosen][0]
        return None

    def start(self, waiter: QueuedCall, now: clock.MonotonicTime) -> None:
        """Count a call as running; it is unplaced until it has an endpoint."""
        self.remove(waiter)
        waiter.started_at = now
        self.unplaced.add(waiter.call.id)
        self.running[waiter.call.organisation] += 1
        self._starts += 1

    def finish(self, waiter: QueuedCall, now: clock.MonotonicTime) -> None:
        """Take a call out, whether it waits or runs."""
        self.remove(waiter)
        self.unplaced.discard(waiter.call.id)
        if waiter.started_at is None:
            return
        self.running[waiter.call.organisation] -= 1
        seconds = now - waiter.started_at
        if not self.service_seconds:
            self.service_seconds = seconds
        difference = seconds - self.service_seconds
        self.service_seconds += SERVICE_TIME_EWMA_WEIGHT * difference

    def wait_seconds(
        self,
        organisation: ids.OrganisationName,
        ahead: int,
        allowance: Allowance,
    ) -> float:
        """Return the expected wait of a call with some before it."""
        free = allowance.of(organisation) - self.running[organisation]
        if ahead < free and self.running.total() < allowance.whole_total():
            return 0.0
        allowed = allowance.by_organisation.get(organisation, 0.0)
        at_once = max(allowed, MIN_ALLOWANCE)
        return (ahead + 1) * self.service_seconds / at_once

    def _used(
        self, organisation: ids.OrganisationName, allowance: Allowance
    ) -> float:
        return self.running[organisation] / allowance.of(organisation)
