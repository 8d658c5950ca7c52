"""Test that a lease has one owner under pauses and lost answers."""

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale import ids
from sycamoredale import leases
from tests import fake_store

RATES = (0.996, 1.0, 1.004)
WRITE_OUTCOMES = strategies.sampled_from(fake_store.WriteOutcome)
DAEMONS = strategies.integers(0, len(RATES) - 1)


class Time:
    """Simulate time and daemon clocks that run at different rates."""

    def __init__(self) -> None:
        self.now = 1000.0

    def advance(self, seconds: float) -> None:
        self.now += seconds

    def reader(self, rate: float) -> leases.ReadClock:
        offset = rate * 17.0
        return lambda: clock.MonotonicTime(self.now * rate + offset)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Run daemons against one lease; a paused daemon is not called."""

    def __init__(self) -> None:
        super().__init__()
        self.time = Time()
        self.store = fake_store.FakeStore()
        self.leases = [
            leases.Lease(
                self.store,
                "domain",
                ids.DaemonId(f"c{n}"),
                self.time.reader(rate),
            )
            for n, rate in enumerate(RATES)
        ]
        self.highest_epoch = 0
        self.ended_epoch = 0
        self.copy = self.store.take_copy()
        self.reports: list[ids.ObjectVersion] = []

    @stateful.rule(daemon=DAEMONS)
    def send_report(self, daemon: int) -> None:
        self.reports.append(self.leases[daemon].own_version)

    @stateful.rule(daemon=DAEMONS, which=strategies.integers(0, 5))
    def observe_report(self, daemon: int, which: int) -> None:
        lease = self.leases[daemon]
        for version in self.reports[-1 - which :][:1]:
            lease.observe_report(version, lease.read_clock())

    @stateful.rule(daemon=DAEMONS, outcome=WRITE_OUTCOMES)
    def renew_or_acquire(
        self, daemon: int, outcome: fake_store.WriteOutcome
    ) -> None:
        self.store.write_outcome = outcome
        try:
            curio.run(self.leases[daemon].renew_or_acquire)
        except errors.StoreUnavailable:
            pass
        self.store.write_outcome = fake_store.WriteOutcome.ANSWERED

    @stateful.rule(daemon=DAEMONS, outcome=WRITE_OUTCOMES)
    def release(self, daemon: int, outcome: fake_store.WriteOutcome) -> None:
        self.store.write_outcome = outcome
        try:
            curio.run(self.leases[daemon].release)
        except errors.StoreUnavailable:
            pass
        self.store.write_outcome = fake_store.WriteOutcome.ANSWERED

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.4, 5.98, 6.07)))
    def wait(self, seconds: float) -> None:
        self.time.now += seconds

    @stateful.rule()
    def deliver_delayed_writes(self) -> None:
        self.store.deliver_delayed()

    @stateful.rule()
    def take_copy(self) -> None:
        self.copy = self.store.take_copy()

    @stateful.rule()
    def hold_drill(self) -> None:
        """Let the store come back from the last copy."""
        self.store.roll_back(self.copy)

    @stateful.invariant()
    def has_at_most_one_owner(self) -> None:
        held = [x for x in self.leases if x.is_held(x.read_clock())]
        assert len(held) <= 1
        if held and held[0].term is not None:
            assert held[0].term.epoch >= self.highest_epoch
            self.highest_epoch = held[0].term.epoch
            assert self.highest_epoch > self.ended_epoch
        if not held:
            self.ended_epoch = self.highest_epoch


TestLease = LeaseMachine.TestCase
TestLease.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def _lease(store: fake_store.FakeStore, time: Time, name: str) -> leases.Lease:
    return leases.Lease(store, "domain", ids.DaemonId(name), time.reader(1.0))


# Guards against TWO: terms and their epochs were given out again after the
# store had come back from a copy without them.
def test_term_after_a_drill_has_a_greater_epoch() -> None:
    time, store = Time(), fake_store.FakeStore()
    first, second = _lease(store, time, "c1"), _lease(store, time, "c2")
    copy = store.take_copy()
    assert curio.run(first.renew_or_acquire)
    assert first.term is not None
    epoch = first.term.epoch
    store.roll_back(copy)
    time.now += 2 * leases.LEASE_SECONDS
    assert curio.run(second.renew_or_acquire)
    assert second.term is not None
    assert second.term.epoch > epoch


def test_owner_of_a_former_era_is_waited_for() -> None:
    """The owner does not reach the store, and its term still lasts."""
    time, store = Time(), fake_store.FakeStore()
    first, second = _lease(store, time, "c1"), _lease(store, time, "c2")
    copy = store.take_copy()
    assert curio.run(first.renew_or_acquire)
    store.roll_back(copy)
    assert not curio.run(second.renew_or_acquire)
    assert first.is_held(first.read_clock())
    time.now += leases.with_clock_allowance(leases.LEASE_SECONDS) + 0.1
    assert not first.is_held(first.read_clock())
    assert curio.run(second.renew_or_acquire)


def test_owner_of_a_former_era_takes_the_lease_again_at_once() -> None:
    time, store = Time(), fake_store.FakeStore()
    lease = _lease(store, time, "c1")
    copy = store.take_copy()
    assert curio.run(lease.renew_or_acquire)
    store.roll_back(copy)
    time.now += leases.LEASE_SECONDS * 0.6
    for _ in range(2):
        curio.run(lease.renew_or_acquire)
    assert lease.is_held(lease.read_clock())


def test_term_of_a_lost_answer_counts_from_before_the_write() -> None:
    time, store = Time(), fake_store.FakeStore()
    lease = _lease(store, time, "c1")
    store.write_outcome = fake_store.WriteOutcome.ANSWER_LOST
    store.on_effect = lambda: time.advance(1.0)
    assert curio.run(lease.renew_or_acquire)
    time.now += leases.LEASE_SECONDS - 1.0
    assert not lease.is_held(lease.read_clock())


def test_resumed_owner_may_not_act() -> None:
    time, store = Time(), fake_store.FakeStore()
    first, second = _lease(store, time, "c1"), _lease(store, time, "c2")
    assert curio.run(first.renew_or_acquire)
    assert not curio.run(second.renew_or_acquire)
    time.now += leases.LEASE_SECONDS * 0.99
    assert not curio.run(second.renew_or_acquire)
    time.now += leases.LEASE_SECONDS * 0.03
    with pytest.raises(errors.LeaseLost):
        first.check(first.read_clock(), ids.Epoch(1))
    assert curio.run(second.renew_or_acquire)
    assert not curio.run(first.renew_or_acquire)


def test_wait_for_a_lost_owner_counts_from_its_last_report() -> None:
    """Stop the owner while no daemon can reach the store."""
    time, store = Time(), fake_store.FakeStore()
    first, second = _lease(store, time, "c1"), _lease(store, time, "c2")
    assert curio.run(first.renew_or_acquire)
    second.observe_report(first.own_version, second.read_clock())
    time.now += leases.with_clock_allowance(leases.LEASE_SECONDS) - 0.1
    assert not curio.run(second.renew_or_acquire)
    assert second.free_at() == pytest.approx(second.read_clock() + 0.1)
    time.now += 0.2
    assert curio.run(second.renew_or_acquire)
    assert second.free_at() is None


def test_report_of_an_older_version_does_not_shorten_the_wait() -> None:
    time, store = Time(), fake_store.FakeStore()
    first, second = _lease(store, time, "c1"), _lease(store, time, "c2")
    assert curio.run(first.renew_or_acquire)
    second.observe_report(first.own_version, second.read_clock())
    time.now += leases.LEASE_SECONDS * 0.9
    assert curio.run(first.renew_or_acquire)
    assert not curio.run(second.renew_or_acquire)
    time.now += leases.LEASE_SECONDS * 0.9
    assert not curio.run(second.renew_or_acquire)


def test_fast_clock_waits_for_a_slow_one() -> None:
    time, store = Time(), fake_store.FakeStore()
    slow, fast = (
        leases.Lease(store, "domain", ids.DaemonId(name), time.reader(rate))
        for name, rate in (("slow", RATES[0]), ("fast", RATES[-1]))
    )
    assert curio.run(slow.renew_or_acquire)
    assert not curio.run(fast.renew_or_acquire)
    time.now += leases.LEASE_SECONDS * 0.998
    assert slow.is_held(slow.read_clock())
    assert not curio.run(fast.renew_or_acquire)


def test_term_expires_during_a_long_outage_only() -> None:
    time, store = Time(), fake_store.FakeStore()
    lease = _lease(store, time, "c1")
    assert curio.run(lease.renew_or_acquire)
    store.down = True
    time.now += leases.LEASE_SECONDS * 0.9
    with pytest.raises(errors.StoreUnavailable):
        curio.run(lease.renew_or_acquire)
    lease.check(lease.read_clock(), ids.Epoch(1))
    time.now += leases.LEASE_SECONDS * 0.2
    assert not lease.is_held(lease.read_clock())
    store.down = False
    assert curio.run(lease.renew_or_acquire)
    stored = store.by_name["lease/domain"]
    record = msgspec.json.decode(stored.value, type=leases.LeaseRecord)
    assert record.epoch == 2


# Guards against PARTIAL: an epoch that its owner had left was entered again,
# and the epochs of groups were counted from the start.
def test_late_answer_to_a_renewal_does_not_resume_an_expired_term() -> None:
    time, store = Time(), fake_store.FakeStore()
    lease = _lease(store, time, "c1")
    assert curio.run(lease.renew_or_acquire)
    time.now += leases.LEASE_SECONDS * 0.6
    store.on_effect = lambda: time.advance(leases.LEASE_SECONDS * 0.5)
    assert not curio.run(lease.renew_or_acquire)
    store.on_effect = lambda: None
    assert curio.run(lease.renew_or_acquire)
    assert lease.term is not None
    assert lease.term.epoch == 2


# Guards against PARTIAL: the same after a release that had failed.
def test_term_is_not_resumed_after_a_failed_release() -> None:
    time, store = Time(), fake_store.FakeStore()
    lease = _lease(store, time, "c1")
    assert curio.run(lease.renew_or_acquire)
    store.down = True
    with pytest.raises(errors.StoreUnavailable):
        curio.run(lease.release)
    store.down = False
    assert curio.run(lease.renew_or_acquire)
    assert lease.term is not None
    assert lease.term.epoch == 2
