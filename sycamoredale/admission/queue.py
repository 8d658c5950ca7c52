"""Queue the calls of one service at this router.

The next call is taken from the organisation that uses the smallest share of
its allowance.  Interactive calls start before batch calls, except for one in
BATCH_START_INTERVAL starts, which prevents starvation of batch calls.
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
# Least concurrency, in requests, that estimates of the wait assume.
MIN_ALLOWANCE: Final = 0.25
SERVICE_TIME_EWMA_WEIGHT: Final = 0.1


@dataclasses.dataclass(eq=False)
class QueuedCall:
    """Represent a call that waits to be started or refused.

    `decided` is set at the decision, which is a refusal if `refusal` is
    set.
    """

    call: call_module.Call
    arrived_at: clock.MonotonicTime
    deadline_at: clock.MonotonicTime
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)
    refusal: errors.Refusal | None = None
    started_at: clock.MonotonicTime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Limit concurrent requests at this router and by organisation."""

    total: float
    by_organisation: dict[ids.OrganisationName, float]

    def for_organisation(self, organisation: ids.OrganisationName) -> int:
        """Return the limit of one organisation, rounded up, at least 1."""
        return max(1, math.ceil(self.by_organisation.get(organisation, 1.0)))

    def rounded_total(self) -> int:
        """Return the limit of all organisations, rounded up, at least 1."""
        return max(1, math.ceil(self.total))


CallsByOrganisation = dict[ids.OrganisationName, collections.deque[QueuedCall]]


@dataclasses.dataclass
class ServiceQueue:
    """Queue the calls of one service and count the running ones.

    `awaiting_endpoint` contains the calls that were started but have not
    been assigned an endpoint yet.
    """

    service: ids.ServiceName
    running: collections.Counter[ids.OrganisationName] = dataclasses.field(
        default_factory=collections.Counter
    )
    mean_service_seconds: float = 0.0
    calls_by_priority: dict[call_module.Priority, CallsByOrganisation] = (
        dataclasses.field(
            default_factory=lambda: {p: {} for p in call_module.Priority}
        )
    )
    awaiting_endpoint: set[ids.RequestId] = dataclasses.field(
        default_factory=set
    )
    _starts: int = 0

    def add(self, queued: QueuedCall) -> None:
        """Append a call to the queue of its organisation and priority."""
        by_organisation = self.calls_by_priority[queued.call.priority]
        waiting = by_organisation.setdefault(
            queued.call.organisation, collections.deque()
        )
        waiting.append(queued)

    def remove(self, queued: QueuedCall) -> None:
        """Remove a call from the queue if it is still queued."""
        by_organisation = self.calls_by_priority[queued.call.priority]
        waiting = by_organisation.get(queued.call.organisation)
        if waiting is not None and queued in waiting:
            waiting.remove(queued)
            if not waiting:
                del by_organisation[queued.call.organisation]

    def demand(self) -> collections.Counter[ids.OrganisationName]:
        """Return the number of running and queued calls by organisation."""
        counted = collections.Counter(self.running)
        for by_organisation in self.calls_by_priority.values():
            for organisation, waiting in by_organisation.items():
                counted[organisation] += len(waiting)
        return +counted

    def queued_calls(self) -> collections.abc.Iterator[tuple[int, QueuedCall]]:
        """Yield each queued call, preceded by the number ahead of it.

        Only calls of the same organisation are counted.
        """
        ahead: collections.Counter[ids.OrganisationName] = (
            collections.Counter()
        )
        for priority in call_module.Priority:
            for organisation, waiting in list(
                self.calls_by_priority[priority].items()
            ):
                for queued in list(waiting):
                    yield ahead[organisation], queued
                    ahead[organisation] += 1

    def queue_length(self, organisation: ids.OrganisationName) -> int:
        """Return the number of queued calls of an organisation."""
        return sum(
            len(by_organisation.get(organisation, ()))
            for by_organisation in self.calls_by_priority.values()
        )

    def next_call(self, allowance: Allowance) -> QueuedCall | None:
        """Return the call to start next, None if none may start."""
        if self.running.total() >= allowance.rounded_total():
            return None
        order = list(call_module.Priority)
        if self._starts % BATCH_START_INTERVAL == BATCH_START_INTERVAL - 1:
            order.reverse()
        for priority in order:
            by_organisation = self.calls_by_priority[priority]
            eligible = [
                o
                for o in by_organisation
                if self.running[o] < allowance.for_organisation(o)
            ]
            if eligible:
                chosen = min(
                    eligible, key=lambda o: self._utilisation(o, allowance)
                )
                return by_organisation[chosen][0]
        return None

    def start(self, queued: QueuedCall, now: clock.MonotonicTime) -> None:
        """Move a call from the queue to the running calls."""
        self.remove(queued)
        queued.started_at = now
        self.awaiting_endpoint.add(queued.call.id)
        self.running[queued.call.organisation] += 1
        self._starts += 1

    def finish(self, queued: QueuedCall, now: clock.MonotonicTime) -> None:
        """Remove a call, whether it is queued or running."""
        self.remove(queued)
        self.awaiting_endpoint.discard(queued.call.id)
        if queued.started_at is None:
            return
        self.running[queued.call.organisation] -= 1
        seconds = now - queued.started_at
        if not self.mean_service_seconds:
            self.mean_service_seconds = seconds
        difference = seconds - self.mean_service_seconds
        self.mean_service_seconds += SERVICE_TIME_EWMA_WEIGHT * difference

    def wait_seconds(
        self,
        organisation: ids.OrganisationName,
        ahead: int,
        allowance: Allowance,
    ) -> float:
        """Return the expected wait of a call with `ahead` calls before it."""
        free = (
            allowance.for_organisation(organisation)
            - self.running[organisation]
        )
        if ahead < free and self.running.total() < allowance.rounded_total():
            return 0.0
        allowed = allowance.by_organisation.get(organisation, 0.0)
        concurrency = max(allowed, MIN_ALLOWANCE)
        return (ahead + 1) * self.mean_service_seconds / concurrency

    def _utilisation(
        self, organisation: ids.OrganisationName, allowance: Allowance
    ) -> float:
        return self.running[organisation] / allowance.for_organisation(
            organisation
        )
