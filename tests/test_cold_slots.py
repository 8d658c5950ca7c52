"""Test the invariant of cold start slots and the merge of records.

The requests on an endpoint must never exceed its cold limit, whatever the
pauses between reads and writes and the clock rates of the routers.
"""

import dataclasses

import hypothesis
from hypothesis import strategies
import msgspec

from sycamoredale import clock
from sycamoredale import ids
from sycamoredale.routing import cold_slots
from sycamoredale.routing import cold_start_records

ENDPOINT = ids.EndpointId("e")
DOMAIN = ids.DomainName("d")
REQUEST_SECONDS = 5.0


@dataclasses.dataclass
class _Router:
    """Lease slots by a clock that runs at its own rate."""

    name: cold_slots.Holder
    clock_rate: float
    expiry_tracker: cold_slots.LeaseExpiryTracker
    lease_expires_at: float = 0.0
    slots: int = 0
    request_end_times: list[float] = dataclasses.field(default_factory=list)

    def time(self, now: float) -> clock.MonotonicTime:
        """Return this router's reading of the true time."""
        return clock.MonotonicTime(100 + now * self.clock_rate)


class _SlotModel:
    """Simulate the stored object and the requests in true time."""

    def __init__(self, rates: list[float]) -> None:
        """Build one router for each clock rate."""
        self.now = 0.0
        self.stored = cold_slots.DomainSlots(DOMAIN)
        self.version = 0
        self.routers = [
            _Router(
                cold_slots.Holder(f"r{n}"),
                rate,
                cold_slots.LeaseExpiryTracker(),
            )
            for n, rate in enumerate(rates)
        ]

    def renew(self, router: _Router, limit: int, pause: float) -> None:
        """Renew the leases, with a pause between the read and the write."""
        read, version = self.stored, self.version
        now = router.time(self.now)
        router.expiry_tracker.observe(read, now)
        planned = cold_slots.renew(
            read,
            router.name,
            [cold_slots.SlotRequest(ENDPOINT, limit, REQUEST_SECONDS)],
            (),
            lambda lease: router.expiry_tracker.has_expired(lease, now),
        )
        before_write = router.time(self.now)
        self.now += pause
        if version != self.version or planned.leases == read.leases:
            return
        self.version += 1
        self.stored = planned
        for lease in planned.leases:
            if lease.holder == router.name:
                router.slots = lease.slots
                router.lease_expires_at = before_write + lease.lease_seconds

    def send(self, router: _Router) -> None:
        """Start as many requests as the leased slots allow."""
        router.request_end_times = [
            t for t in router.request_end_times if t > self.now
        ]
        if router.time(self.now) >= router.lease_expires_at:
            return
        while len(router.request_end_times) < router.slots:
            longest = REQUEST_SECONDS / router.clock_rate
            router.request_end_times.append(self.now + longest)

    def count_running(self) -> int:
        """Return the number of requests running on the endpoint."""
        return sum(
            t > self.now for r in self.routers for t in r.request_end_times
        )


_STEP = strategies.tuples(
    strategies.integers(0, 1),
    strategies.sampled_from(["renew", "send", "wait"]),
    strategies.sampled_from([0.0, 0.5, 2.9, 5.95, 10.9]),
)


@hypothesis.given(
    rates=strategies.lists(
        strategies.floats(0.98, 1.02), min_size=2, max_size=2
    ),
    limit=strategies.integers(1, 4),
    steps=strategies.lists(_STEP, min_size=10, max_size=40),
)
@hypothesis.settings(max_examples=300)
def test_limit_holds_over_pauses_and_clock_rates(
    rates: list[float], limit: int, steps: list[tuple[int, str, float]]
) -> None:
    model = _SlotModel(rates)
    for number, action, seconds in steps:
        router = model.routers[number]
        match action:
            case "renew":
                model.renew(router, limit, seconds / 10)
                model.send(router)
            case "send":
                model.send(router)
            case _:
                model.now += seconds
        assert model.count_running() <= limit
        leased = cold_slots.count_leased_slots(model.stored.leases, ENDPOINT)
        assert leased <= limit


def test_limit_holds_between_a_slow_and_a_fast_clock() -> None:
    model = _SlotModel([0.98, 1.02])
    slow, fast = model.routers
    model.renew(slow, 2, 0.0)
    model.renew(fast, 2, 0.0)
    model.now += cold_slots.LEASE_SECONDS
    model.send(slow)
    model.now += REQUEST_SECONDS
    model.renew(fast, 2, 0.0)
    model.send(fast)
    assert model.count_running() == 2


def test_expired_slots_are_granted_after_lease_and_request() -> None:
    model = _SlotModel([1.0, 1.0])
    first, second = model.routers
    model.renew(first, 2, 0.0)
    model.renew(second, 2, 0.0)
    assert second.slots == 0
    model.now += cold_slots.LEASE_SECONDS + REQUEST_SECONDS
    model.renew(second, 2, 0.0)
    assert second.slots == 0
    model.now += 1.0
    model.renew(second, 2, 0.0)
    assert second.slots == 2


def test_slots_are_released_only_when_idle() -> None:
    model = _SlotModel([1.0])
    model.renew(model.routers[0], 2, 0.0)
    holder = model.routers[0].name
    after_renewal = cold_slots.renew(
        model.stored, holder, [], (), lambda lease: False
    )
    assert after_renewal.leases == model.stored.leases
    after_release = cold_slots.renew(
        model.stored, holder, [], {ENDPOINT}, lambda lease: False
    )
    assert after_release.leases == []


_RECORD = strategies.builds(
    cold_start_records.ColdStartRecord,
    strategies.just(ENDPOINT),
    strategies.integers(0, 3),
    strategies.booleans(),
)


@hypothesis.given(order=strategies.permutations(range(6)), initial=_RECORD)
def test_newest_record_does_not_depend_on_order(
    order: list[int], initial: cold_start_records.ColdStartRecord
) -> None:
    all_records = [
        cold_start_records.ColdStartRecord(ENDPOINT, n // 2, n % 2 == 1)
        for n in range(6)
    ]
    newest = initial
    for index in order:
        newest = cold_start_records.newest(newest, all_records[index])
    expected = max([initial, *all_records], key=lambda x: (x.round, x.warm))
    assert newest == expected


def test_merge_keeps_newest_and_drops_removed() -> None:
    removed = cold_start_records.ColdStartRecord(
        ids.EndpointId("gone"), 0, True
    )
    stored = cold_start_records.DomainColdStartRecords(
        DOMAIN,
        [removed, cold_start_records.ColdStartRecord(ENDPOINT, 1, False)],
    )
    older = cold_start_records.ColdStartRecord(ENDPOINT, 0, True)
    merged = cold_start_records.merge(stored, {ENDPOINT: older})
    assert merged.records == [
        cold_start_records.ColdStartRecord(ENDPOINT, 1, False)
    ]
    assert (
        msgspec.json.decode(
            msgspec.json.encode(merged),
            type=cold_start_records.DomainColdStartRecords,
        )
        == merged
    )
