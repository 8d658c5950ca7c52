"""Test fair shares, queueing and early refusals of calls."""

import dataclasses
import typing

import curio
import hypothesis
from hypothesis import strategies
import pytest

from sycamoredale.admission import admission_controller
from sycamoredale.admission import retry_budget
from sycamoredale.admission import shares
from sycamoredale.admission import usage
from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.membership import gossip
from sycamoredale.requests import call as call_module
from sycamoredale.routing import endpoint_selection

LARGE = ids.OrganisationName("large")
SMALL = ids.OrganisationName("small")
SERVICE = model.Service(
    ids.ServiceName("assistant"), model.ServiceKind.MODEL, 1
)
CONFIGURATION = model.Configuration(
    services=[SERVICE],
    organisations=[
        model.Organisation(LARGE, "", max_concurrent=1000),
        model.Organisation(SMALL, "", max_concurrent=1000),
    ],
    limits=model.Limits(queue_per_organisation=50),
)


def _water_fill(
    capacity: float, demands: dict[ids.OrganisationName, shares.Demand]
) -> dict[ids.OrganisationName, float]:
    """Divide capacity in small steps among the unsatisfied (water-filling)."""
    shares_by_name = dict.fromkeys(demands, 0.0)
    step = capacity / 4000
    for _ in range(4000):
        unsatisfied = [
            n for n, d in demands.items() if shares_by_name[n] < d.requests
        ]
        if not unsatisfied:
            break
        lowest = min(
            unsatisfied, key=lambda n: shares_by_name[n] / demands[n].weight
        )
        shares_by_name[lowest] += step
    return shares_by_name


@hypothesis.given(
    capacity=strategies.floats(1, 100),
    demand_list=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 60), strategies.integers(1, 4)
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_shares_match_water_filling(
    capacity: float, demand_list: list[tuple[int, int]]
) -> None:
    demands = {
        ids.OrganisationName(f"o{n}"): shares.Demand(requests, weight)
        for n, (requests, weight) in enumerate(demand_list)
    }
    divided = shares.divide(capacity, demands)
    expected = _water_fill(capacity, demands)
    for name, share in divided.items():
        assert share == pytest.approx(expected[name], abs=capacity / 400)


@dataclasses.dataclass
class _FakeSelector:
    """Replace the endpoint selector by one of fixed capacity."""

    shared: float
    cold_slots: float = 0.0
    on_selected: typing.Any = None

    def has_free_capacity(
        self, call: object, awaiting_endpoint: int, now: object
    ) -> bool:
        return True

    def capacity(
        self, service: object, now: object
    ) -> endpoint_selection.Capacity:
        return endpoint_selection.Capacity(self.shared, self.cold_slots)


@dataclasses.dataclass
class _Router:
    """Run calls through one admission controller and count them."""

    admission: admission_controller.AdmissionController
    started: dict[str, int] = dataclasses.field(default_factory=dict)

    async def call(
        self, organisation: ids.OrganisationName, seconds: float
    ) -> None:
        """Run one call for some seconds once it is admitted."""
        call = _call(organisation, 60.0)
        async with self.admission.admit(call, clock.monotonic()):
            count = self.started.get(organisation, 0)
            self.started[organisation] = count + 1
            await curio.sleep(seconds)


def _routers(count: int, shared: float) -> list[_Router]:
    routers = []
    notices: list[gossip.Gossip] = []
    for number in range(count):
        own = _DirectRelay(ids.DaemonId(f"router-{number}"), peers=notices)
        notices.append(own)
        tracker = usage.UsageTracker(own, lambda: count)
        own.subscribe(
            gossip.Topic.USAGE,
            lambda notice, tracker=tracker: tracker.handle_notice(
                notice, clock.monotonic()
            ),
        )
        endpoints = typing.cast(typing.Any, _FakeSelector(shared))
        routers.append(
            _Router(
                admission_controller.AdmissionController(
                    endpoints, tracker, lambda: CONFIGURATION
                )
            )
        )
    return routers


@dataclasses.dataclass
class _DirectRelay(gossip.Gossip):
    """Deliver each notice to all peers immediately."""

    peers: list[gossip.Gossip] = dataclasses.field(default_factory=list)

    def publish(
        self, topic: gossip.Topic, key: str, value: object
    ) -> gossip.Notice:
        """Publish a notice and deliver it to all peers."""
        notice = super().publish(topic, key, value)
        for peer in self.peers:
            if peer is not self:
                peer.deliver(notice)
        return notice


def _call(
    organisation: ids.OrganisationName,
    deadline: float,
    priority: call_module.Priority = call_module.Priority.INTERACTIVE,
) -> call_module.Call:
    return call_module.Call(
        id=ids.RequestId(f"{organisation}-{next(_NUMBERS)}"),
        organisation=organisation,
        service=SERVICE,
        upstream=messages.Request("GET", "/"),
        idempotent=True,
        stream=False,
        key=None,
        deadline_seconds=deadline,
        priority=priority,
    )


_NUMBERS = iter(range(1_000_000))


def test_share_does_not_depend_on_number_of_routers_used() -> None:
    routers = _routers(4, shared=8)

    async def repeat(router: _Router, name: ids.OrganisationName) -> None:
        while True:
            await router.call(name, 0.05)

    def count_started(name: ids.OrganisationName) -> int:
        return sum(router.started.get(name, 0) for router in routers)

    async def act() -> None:
        for router in routers:
            await curio.spawn(router.admission.run, daemon=True)
            for _ in range(8):
                await curio.spawn(repeat, routers[0], LARGE, daemon=True)
                await curio.spawn(repeat, router, SMALL, daemon=True)
        await curio.sleep(1.0)
        before = count_started(LARGE), count_started(SMALL)
        await curio.sleep(1.5)
        large = count_started(LARGE) - before[0]
        small = count_started(SMALL) - before[1]
        assert 0.75 < large / small < 1.33

    curio.run(act)


def test_small_organisation_is_not_delayed_by_backlog_of_large_one() -> None:
    (router,) = _routers(1, shared=2)

    async def act() -> None:
        for _ in range(40):
            await curio.spawn(router.call, LARGE, 0.05, daemon=True)
        await curio.sleep(0.1)
        async with curio.timeout_after(0.5):
            await router.call(SMALL, 0.0)

    curio.run(act)


def test_call_that_misses_its_deadline_is_refused_with_retry_after() -> None:
    (router,) = _routers(1, shared=1)

    async def act() -> None:
        await router.call(LARGE, 0.2)
        for _ in range(20):
            await curio.spawn(router.call, LARGE, 0.2, daemon=True)
        await curio.sleep(0.01)
        started = clock.monotonic()
        with pytest.raises(errors.Refusal) as refused:
            async with router.admission.admit(
                _call(LARGE, 1.0), clock.monotonic()
            ):
                pass
        assert clock.monotonic() - started < 0.5
        assert refused.value.code.name == "overloaded"
        assert refused.value.retry_after is not None
        assert refused.value.retry_after > 2.0

    curio.run(act)


def test_queue_that_slows_down_refuses_before_deadline() -> None:
    (router,) = _routers(1, shared=1)

    async def act() -> None:
        await curio.spawn(router.admission.run, daemon=True)
        await router.call(LARGE, 0.05)
        await curio.spawn(router.call, LARGE, 1.0, daemon=True)
        await curio.spawn(router.call, LARGE, 1.0, daemon=True)
        await curio.sleep(0.01)
        started = clock.monotonic()
        with pytest.raises(errors.Refusal):
            async with router.admission.admit(
                _call(LARGE, 2.0), clock.monotonic()
            ):
                pass
        assert clock.monotonic() - started < 1.95

    curio.run(act)


def test_queue_of_organisation_is_bounded() -> None:
    (router,) = _routers(1, shared=1)

    async def act() -> None:
        for _ in range(51):
            await curio.spawn(router.call, LARGE, 5.0, daemon=True)
        await curio.sleep(0.01)
        with pytest.raises(errors.Refusal) as refused:
            await router.call(LARGE, 0.0)
        assert refused.value.code.name == "queue_full"
        await curio.spawn(router.call, SMALL, 0.0, daemon=True)

    curio.run(act)


def test_batch_waits_behind_interactive_but_does_not_starve() -> None:
    starts = 30
    (router,) = _routers(1, shared=1)
    order: list[call_module.Priority] = []

    async def run(priority: call_module.Priority) -> None:
        call = _call(LARGE, 60.0, priority)
        async with router.admission.admit(call, clock.monotonic()):
            order.append(priority)
            await curio.sleep(0.005)

    async def act() -> None:
        tasks = [
            await curio.spawn(run, call_module.Priority.BATCH)
            for _ in range(starts // 2)
        ]
        tasks += [
            await curio.spawn(run, call_module.Priority.INTERACTIVE)
            for _ in range(starts // 2)
        ]
        for task in tasks:
            await task.join()

    curio.run(act)
    first_half = order[: starts // 2]
    batches = first_half.count(call_module.Priority.BATCH)
    assert 1 <= batches <= 4


def test_reporting_share_counts_routers_with_current_usage() -> None:
    tracker = usage.UsageTracker(gossip.Gossip(ids.DaemonId("a")), lambda: 4)
    assert tracker.reporting_share(clock.MonotonicTime(0.0)) == 0.25
    notice = gossip.Gossip(ids.DaemonId("b")).publish(
        gossip.Topic.USAGE,
        "b",
        usage.RouterUsage(1.0, {SERVICE.name: {LARGE: 3}}),
    )
    tracker.handle_notice(notice, clock.MonotonicTime(0.0))
    assert tracker.reporting_share(clock.MonotonicTime(1.0)) == 0.5
    now = clock.MonotonicTime(1.0)
    assert tracker.peer_demand(SERVICE.name, now) == {LARGE: 3}
    assert tracker.reporting_share(clock.MonotonicTime(9.0)) == 0.25


def test_cold_slots_are_not_divided_among_other_routers() -> None:
    router, other = _routers(2, shared=0)
    typing.cast(typing.Any, router.admission.selector).cold_slots = 4

    async def act() -> None:
        for _ in range(8):
            await curio.spawn(other.call, LARGE, 5.0, daemon=True)
            await curio.spawn(router.call, LARGE, 5.0, daemon=True)
        await curio.spawn(other.admission.run, daemon=True)
        await curio.sleep(0.2)
        service_queue = router.admission.queue_by_service[SERVICE.name]
        allowance = router.admission.allowance(
            service_queue, clock.monotonic()
        )
        assert allowance.rounded_total() == 4

    curio.run(act)


def test_notice_contains_largest_entries_of_usage() -> None:
    notices = gossip.Gossip(ids.DaemonId("a"))
    tracker = usage.UsageTracker(notices, lambda: 4)
    peer = usage.UsageTracker(gossip.Gossip(ids.DaemonId("b")), lambda: 4)
    sent: list[gossip.Notice] = []
    publish = notices.publish
    notices.publish = (  # type: ignore[method-assign]
        lambda *fields: sent.append(publish(*fields)) or sent[-1]
    )
    demand = {
        ids.OrganisationName(f"organisation-{n:03}"): n for n in range(200)
    }
    tracker.publish_if_due({SERVICE.name: demand}, clock.MonotonicTime(0.0))
    now = clock.MonotonicTime(1.0)
    peer.handle_notice(sent[0], now)
    received = peer.peer_demand(SERVICE.name, now)
    assert len(received) > 10
    assert max(received.values()) == 199


def test_retries_are_limited_to_share_of_calls() -> None:
    budget = retry_budget.RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.deposit(SERVICE.name)
        taken += budget.try_withdraw(SERVICE.name)
    assert taken <= retry_budget.MAX_TOKENS + 0.1 * 1000
    assert budget.tokens_by_service[SERVICE.name] < 1.0
