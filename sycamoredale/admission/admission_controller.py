"""Decide whether a call may run now, must wait or is refused.

The capacity of a service is divided among organisations over all routers.
Each router lets an organisation use the part of its share that matches
the part of its calls that arrive there, so that an organisation gets the
same through one router as through all.

A call that cannot be expected to end before its deadline is refused as
soon as that is known, with the time after which it may come back.
"""

import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale.admission import queue
from sycamoredale.admission import shares
from sycamoredale.admission import usage
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.routing import endpoint_selection

SCAN_INTERVAL_SECONDS: Final = 0.05
NO_CAPACITY_TIMEOUT_SECONDS: Final = 5.0
MIN_REMAINING_SECONDS: Final = 0.001
MIN_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 60.0
CAPACITY_REFRESH_SECONDS: Final = 0.5

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]
OnAdmitted = collections.abc.Callable[[call_module.Call, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedCapacity:
    requests: endpoint_selection.Capacity
    read_at: clock.MonotonicTime


@dataclasses.dataclass
class AdmissionController:
    """Hold the queue of each service."""

    chooser: endpoint_selection.EndpointSelector
    board: usage.UsageTracker
    configuration: CurrentConfiguration
    on_admitted: OnAdmitted = lambda call, seconds: None
    queue_by_service: dict[ids.ServiceName, queue.ServiceQueue] = (
        dataclasses.field(default_factory=dict)
    )
    _capacity_by_service: dict[ids.ServiceName, _CachedCapacity] = (
        dataclasses.field(default_factory=dict)
    )

    def __post_init__(self) -> None:
        """Learn when a call has been given an endpoint."""
        self.chooser.on_chosen = self._placed

    async def run(self) -> None:
        """Look at all queues again and again; tell peers the usage."""
        while True:
            await curio.sleep(SCAN_INTERVAL_SECONDS)
            now = clock.monotonic()
            for service in list(self.queue_by_service.values()):
                await self._refuse_hopeless(service, now)
                await self._start_calls(service, now)
            self.board.publish_if_due(self._wanted_by_service(), now)

    @contextlib.asynccontextmanager
    async def admitted(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> collections.abc.AsyncIterator[call_module.Call]:
        """Hold a place for the call while the block runs; raise Refusal.

        The block gets the call with the time that is left to it.
        """
        service = self._queue(call.service.name)
        waiter = queue.QueuedCall(
            call, now, clock.MonotonicTime(now + call.deadline_seconds)
        )
        self._check_queue(service, call)
        service.add(waiter)
        try:
            ahead = service.waiting_of(call.organisation) - 1
            allowance = self.allowance(service, now)
            _check_deadline(service, waiter, ahead, allowance, now)
            await self._start_calls(service, now)
            await waiter.decided.wait()
            if waiter.refusal is not None:
                raise waiter.refusal
            admitted_at = clock.monotonic()
            self.on_admitted(call, admitted_at - now)
            left = waiter.ends_at - admitted_at
            yield dataclasses.replace(
                call, deadline_seconds=max(left, MIN_REMAINING_SECONDS)
            )
        finally:
            ended = clock.monotonic()
            service.finish(waiter, ended)
            await self._start_calls(service, ended)

    def allowance(
        self, service: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> queue.Allowance:
        """Return what may run on this router now."""
        here = service.wanted()
        everywhere = here + self.board.elsewhere(service.service, now)
        organisations = {o.name: o for o in self.configuration().organisations}
        demands = {}
        for name, wanted in everywhere.items():
            organisation = organisations.get(name)
            bound = organisation.max_concurrent if organisation else wanted
            weight = organisation.weight if organisation else 1
            demands[name] = shares.Demand(min(wanted, bound), weight)
        capacity = self._capacity(service.service, now)
        divided = shares.divide(
            capacity.shared * self.board.known_share(now), demands
        )
        by_organisation = {
            name: divided[name] * count / everywhere[name]
            for name, count in here.items()
        }
        for name, share in _divide_slots(capacity, here, demands).items():
            by_organisation[name] += share
        return queue.Allowance(sum(by_organisation.values()), by_organisation)

    async def _start_calls(
        self, service: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> None:
        allowance = self.allowance(service, now)
        while (waiter := service.next(allowance)) is not None:
            unplaced = len(service.unplaced)
            # A repeated key may need no endpoint; its first run waits later.
            if waiter.call.key is None and not self.chooser.has_room(
                waiter.call, unplaced, now
            ):
                return
            service.start(waiter, now)
            await waiter.decided.set()

    async def _refuse_hopeless(
        self, service: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> None:
        allowance = self.allowance(service, now)
        for ahead, waiter in service.waiting():
            try:
                _check_deadline(service, waiter, ahead, allowance, now)
                self._check_room(waiter, now)
            except errors.Refusal as refusal:
                service.remove(waiter)
                waiter.refusal = refusal
                await waiter.decided.set()

    def _check_queue(
        self, service: queue.ServiceQueue, call: call_module.Call
    ) -> None:
        bound = self.configuration().limits.queue_per_organisation
        if service.waiting_of(call.organisation) >= bound:
            raise errors.Refusal(
                error_codes.QUEUE_FULL,
                f"{bound} calls of organisation {call.organisation!r} wait "
                f"for service {call.service.name!r} already",
                retry_after=_retry_seconds(bound * service.service_seconds),
            )

    def _check_room(
        self, waiter: queue.QueuedCall, now: clock.MonotonicTime
    ) -> None:
        if now - waiter.arrived_at < NO_CAPACITY_TIMEOUT_SECONDS:
            return
        service = self._queue(waiter.call.service.name)
        capacity = self._capacity(service.service, now)
        if capacity.shared + capacity.own and (
            service.running.total()
            or self.chooser.has_room(waiter.call, 0, now)
        ):
            return
        raise errors.Refusal(
            error_codes.NO_ENDPOINT,
            f"no endpoint of service {waiter.call.service.name!r} can take "
            "the request now",
            retry_after=NO_CAPACITY_TIMEOUT_SECONDS,
        )

    def _capacity(
        self, name: ids.ServiceName, now: clock.MonotonicTime
    ) -> endpoint_selection.Capacity:
        known = self._capacity_by_service.get(name)
        if known is None or now - known.read_at >= CAPACITY_REFRESH_SECONDS:
            requests = endpoint_selection.Capacity(0.0, 0.0)
            for service in self.configuration().services:
                if service.name == name:
                    requests = self.chooser.capacity(service, now)
            known = _CachedCapacity(requests, now)
            self._capacity_by_service[name] = known
        return known.requests

    def _placed(self, call: call_module.Call) -> None:
        self._queue(call.service.name).unplaced.discard(call.id)

    def _queue(self, name: ids.ServiceName) -> queue.ServiceQueue:
        return self.queue_by_service.setdefault(name, queue.ServiceQueue(name))

    def _wanted_by_service(
        self,
    ) -> dict[ids.ServiceName, usage.CountByOrganisation]:
        return {
            name: dict(wanted)
            for name, service in self.queue_by_service.items()
            if (wanted := service.wanted())
        }


def _retry_seconds(expected: float) -> float:
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, expected))


def _divide_slots(
    capacity: endpoint_selection.Capacity,
    here: collections.abc.Mapping[ids.OrganisationName, int],
    demands: dict[ids.OrganisationName, shares.Demand],
) -> dict[ids.OrganisationName, float]:
    """Divide the cold start slots, which other routers cannot use."""
    wanted = {
        name: shares.Demand(count, demands[name].weight)
        for name, count in here.items()
    }
    return shares.divide(capacity.own, wanted)


def _check_deadline(
    service: queue.ServiceQueue,
    waiter: queue.QueuedCall,
    ahead: int,
    allowance: queue.Allowance,
    now: clock.MonotonicTime,
) -> None:
    wait = service.wait_seconds(waiter.call.organisation, ahead, allowance)
    expected = wait + service.service_seconds
    if now + expected <= waiter.ends_at:
        return
    raise errors.Refusal(
        error_codes.OVERLOADED,
        f"service {service.service!r} is expected to take {expected:.1f} s, "
        "which is past the deadline",
        retry_after=_retry_seconds(wait),
    )
