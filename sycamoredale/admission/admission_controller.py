"""Decide whether a call runs now, is queued or is refused.

The capacity of a service is divided among organisations across all routers.
Each router grants an organisation the fraction of its share that equals the
fraction of the organisation's demand at this router.  An organisation thus
gets the same share whether it sends its calls to one router or to all.

A call that is not expected to end before its deadline is refused as soon as
that can be estimated, with a time after which to retry.
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
# Longest time in the queue while no endpoint can take any request.
NO_CAPACITY_TIMEOUT_SECONDS: Final = 5.0
# An admitted call whose deadline has just passed gets this timeout.
MIN_REMAINING_SECONDS: Final = 0.001
MIN_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 60.0
CAPACITY_REFRESH_SECONDS: Final = 0.5

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]
OnAdmitted = collections.abc.Callable[[call_module.Call, float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedCapacity:
    capacity: endpoint_selection.Capacity
    read_at: clock.MonotonicTime


@dataclasses.dataclass
class AdmissionController:
    """Admit, queue or refuse the calls of each service."""

    selector: endpoint_selection.EndpointSelector
    usage_tracker: usage.UsageTracker
    configuration: CurrentConfiguration
    on_admitted: OnAdmitted = lambda call, seconds: None
    queue_by_service: dict[ids.ServiceName, queue.ServiceQueue] = (
        dataclasses.field(default_factory=dict)
    )
    _capacity_by_service: dict[ids.ServiceName, _CachedCapacity] = (
        dataclasses.field(default_factory=dict)
    )

    def __post_init__(self) -> None:
        """Subscribe to the selection of endpoints."""
        self.selector.on_selected = self._record_selection

    async def run(self) -> None:
        """Scan all queues and publish the usage until cancelled."""
        while True:
            await curio.sleep(SCAN_INTERVAL_SECONDS)
            now = clock.monotonic()
            for service_queue in list(self.queue_by_service.values()):
                await self._refuse_unservable(service_queue, now)
                await self._start_calls(service_queue, now)
            self.usage_tracker.publish_if_due(self._demand_by_service(), now)

    @contextlib.asynccontextmanager
    async def admit(
        self, call: call_module.Call, now: clock.MonotonicTime
    ) -> collections.abc.AsyncIterator[call_module.Call]:
        """Admit the call for the duration of the block; raise Refusal.

        The context value is the call with the deadline that remains after
        its time in the queue.
        """
        service_queue = self._queue(call.service.name)
        queued = queue.QueuedCall(
            call, now, clock.MonotonicTime(now + call.deadline_seconds)
        )
        self._check_queue(service_queue, call)
        service_queue.add(queued)
        try:
            ahead = service_queue.queue_length(call.organisation) - 1
            allowance = self.allowance(service_queue, now)
            _check_deadline(service_queue, queued, ahead, allowance, now)
            await self._start_calls(service_queue, now)
            await queued.decided.wait()
            if queued.refusal is not None:
                raise queued.refusal
            admitted_at = clock.monotonic()
            self.on_admitted(call, admitted_at - now)
            remaining = queued.deadline_at - admitted_at
            yield dataclasses.replace(
                call, deadline_seconds=max(remaining, MIN_REMAINING_SECONDS)
            )
        finally:
            ended_at = clock.monotonic()
            service_queue.finish(queued, ended_at)
            await self._start_calls(service_queue, ended_at)

    def allowance(
        self, service_queue: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> queue.Allowance:
        """Return how many requests may run through this router now."""
        own_demand = service_queue.demand()
        total_demand = own_demand + self.usage_tracker.peer_demand(
            service_queue.service, now
        )
        organisations = {o.name: o for o in self.configuration().organisations}
        demands = {}
        for name, count in total_demand.items():
            organisation = organisations.get(name)
            bound = organisation.max_concurrent if organisation else count
            weight = organisation.weight if organisation else 1
            demands[name] = shares.Demand(min(count, bound), weight)
        capacity = self._capacity(service_queue.service, now)
        fair_shares = shares.divide(
            capacity.shared * self.usage_tracker.reporting_share(now), demands
        )
        by_organisation = {
            name: fair_shares[name] * count / total_demand[name]
            for name, count in own_demand.items()
        }
        for name, share in _divide_slots(
            capacity, own_demand, demands
        ).items():
            by_organisation[name] += share
        return queue.Allowance(sum(by_organisation.values()), by_organisation)

    async def _start_calls(
        self, service_queue: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> None:
        allowance = self.allowance(service_queue, now)
        while (queued := service_queue.next_call(allowance)) is not None:
            awaiting_endpoint = len(service_queue.awaiting_endpoint)
            # A call with an idempotency key may repeat a finished one, which
            # needs no endpoint.  Its first run waits for capacity later.
            if (
                queued.call.key is None
                and not self.selector.has_free_capacity(
                    queued.call, awaiting_endpoint, now
                )
            ):
                return
            service_queue.start(queued, now)
            await queued.decided.set()

    async def _refuse_unservable(
        self, service_queue: queue.ServiceQueue, now: clock.MonotonicTime
    ) -> None:
        allowance = self.allowance(service_queue, now)
        for ahead, queued in service_queue.queued_calls():
            try:
                _check_deadline(service_queue, queued, ahead, allowance, now)
                self._check_capacity(queued, now)
            except errors.Refusal as refusal:
                service_queue.remove(queued)
                queued.refusal = refusal
                await queued.decided.set()

    def _check_queue(
        self, service_queue: queue.ServiceQueue, call: call_module.Call
    ) -> None:
        bound = self.configuration().limits.queue_per_organisation
        if service_queue.queue_length(call.organisation) >= bound:
            raise errors.Refusal(
                error_codes.QUEUE_FULL,
                f"the queue of organisation {call.organisation!r} for "
                f"service {call.service.name!r} is full ({bound} calls)",
                retry_after=_retry_seconds(
                    bound * service_queue.mean_service_seconds
                ),
            )

    def _check_capacity(
        self, queued: queue.QueuedCall, now: clock.MonotonicTime
    ) -> None:
        if now - queued.arrived_at < NO_CAPACITY_TIMEOUT_SECONDS:
            return
        service_queue = self._queue(queued.call.service.name)
        capacity = self._capacity(service_queue.service, now)
        if capacity.shared + capacity.cold_slots and (
            service_queue.running.total()
            or self.selector.has_free_capacity(queued.call, 0, now)
        ):
            return
        raise errors.Refusal(
            error_codes.NO_ENDPOINT,
            f"no endpoint of service {queued.call.service.name!r} has free "
            "capacity",
            retry_after=NO_CAPACITY_TIMEOUT_SECONDS,
        )

    def _capacity(
        self, name: ids.ServiceName, now: clock.MonotonicTime
    ) -> endpoint_selection.Capacity:
        cached = self._capacity_by_service.get(name)
        if cached is None or now - cached.read_at >= CAPACITY_REFRESH_SECONDS:
            capacity = endpoint_selection.Capacity(0.0, 0.0)
            for service in self.configuration().services:
                if service.name == name:
                    capacity = self.selector.capacity(service, now)
            cached = _CachedCapacity(capacity, now)
            self._capacity_by_service[name] = cached
        return cached.capacity

    def _record_selection(self, call: call_module.Call) -> None:
        self._queue(call.service.name).awaiting_endpoint.discard(call.id)

    def _queue(self, name: ids.ServiceName) -> queue.ServiceQueue:
        return self.queue_by_service.setdefault(name, queue.ServiceQueue(name))

    def _demand_by_service(
        self,
    ) -> dict[ids.ServiceName, usage.CountByOrganisation]:
        return {
            name: dict(demand)
            for name, service_queue in self.queue_by_service.items()
            if (demand := service_queue.demand())
        }


def _retry_seconds(expected_seconds: float) -> float:
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, expected_seconds))


def _divide_slots(
    capacity: endpoint_selection.Capacity,
    own_demand: collections.abc.Mapping[ids.OrganisationName, int],
    demands: dict[ids.OrganisationName, shares.Demand],
) -> dict[ids.OrganisationName, float]:
    """Divide the cold start slots leased by this router."""
    slot_demands = {
        name: shares.Demand(count, demands[name].weight)
        for name, count in own_demand.items()
    }
    return shares.divide(capacity.cold_slots, slot_demands)


def _check_deadline(
    service_queue: queue.ServiceQueue,
    queued: queue.QueuedCall,
    ahead: int,
    allowance: queue.Allowance,
    now: clock.MonotonicTime,
) -> None:
    wait = service_queue.wait_seconds(
        queued.call.organisation, ahead, allowance
    )
    expected = wait + service_queue.mean_service_seconds
    if now + expected <= queued.deadline_at:
        return
    raise errors.Refusal(
        error_codes.OVERLOADED,
        f"service {service_queue.service!r} is expected to answer in "
        f"{expected:.1f} s, after the deadline",
        retry_after=_retry_seconds(wait),
    )
