"""Test the aggregate of cold start slots against its rule."""

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
    """Hold leases by a clock that runs at its own rate."""

    name: cold_slots.Holder
    rate: float
    observer: cold_slots.LeaseExpiryTracker
    lease_until: float = 0.0
    slots: int = 0
    open_until: list[float] = dataclasses.field(default_factory=list)

    def time(self, now: float) -> clock.MonotonicTime:
        """Return this router's reading of the true time."""
        return clock.MonotonicTime(100 + now * self.rate)


class _Site:
    """Keep the object and count, by true time, what the endpoint bears."""

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
        """Read, pause between read and write, and write."""
        read, version = self.stored, self.version
        now = router.time(self.now)
        router.observer.observe(read, now)
        planned = cold_slots.renew(
            read,
            router.name,
            [cold_slots.SlotRequest(ENDPOINT, limit, REQUEST_SECONDS)],
            (),
            lambda lease: router.observer.has_expired(lease, now),
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
                router.lease_until = before_write + lease.lease_seconds

    def send(self, router: _Router) -> None:
        """Start as many requests as the lease allows."""
        router.open_until = [t for t in router.open_until if t > self.now]
        if router.time(self.now) >= router.lease_until:
            return
        while len(router.open_until) < router.slots:
            longest = REQUEST_SECONDS / router.rate
            router.open_until.append(self.now + longest)

    def running(self) -> int:
        """Count the requests that run on the endpoint."""
        return sum(t > self.now for r in self.routers for t in r.open_until)


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
    site = _Site(rates)
    for index, action, seconds in steps:
        router = site.routers[index]
        match action:
            case "renew":
                site.renew(router, limit, seconds / 10)
                site.send(router)
            case "send":
                site.send(router)
            case _:
                site.now += seconds
        assert site.running() <= limit
        leased = cold_slots.count_leased_slots(site.stored.leases, ENDPOINT)
        assert leased <= limit


def test_limit_holds_between_a_slow_and_a_fast_clock() -> None:
    site = _Site([0.98, 1.02])
    slow, fast = site.routers
    site.renew(slow, 2, 0.0)
    site.renew(fast, 2, 0.0)
    site.now += cold_slots.LEASE_SECONDS
    site.send(slow)
    site.now += REQUEST_SECONDS
    site.renew(fast, 2, 0.0)
    site.send(fast)
    assert site.running() == 2


def test_lapsed_slots_return_after_lease_and_request() -> None:
    site = _Site([1.0, 1.0])
    first, second = site.routers
    site.renew(first, 2, 0.0)
    site.renew(second, 2, 0.0)
    assert second.slots == 0
    site.now += cold_slots.LEASE_SECONDS + REQUEST_SECONDS
    site.renew(second, 2, 0.0)
    assert second.slots == 0
    site.now += 1.0
    site.renew(second, 2, 0.0)
    assert second.slots == 2


def test_slots_are_given_back_only_when_idle() -> None:
    site = _Site([1.0])
    site.renew(site.routers[0], 2, 0.0)
    holder = site.routers[0].name
    kept = cold_slots.renew(site.stored, holder, [], (), lambda lease: False)
    assert kept.leases == site.stored.leases
    gone = cold_slots.renew(
        site.stored, holder, [], {ENDPOINT}, lambda lease: False
    )
    assert gone.leases == []


_RECORD = strategies.builds(
    cold_start_records.ColdStartRecord,
    strategies.just(ENDPOINT),
    strategies.integers(0, 3),
    strategies.booleans(),
)


@hypothesis.given(order=strategies.permutations(range(6)), initial=_RECORD)
def test_warmth_is_the_same_in_any_order(
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


def test_merge_keeps_the_newer_and_drops_the_gone() -> None:
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
