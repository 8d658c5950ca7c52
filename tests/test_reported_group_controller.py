"""Check the rounds of the keeper of reported groups against a lease."""

import curio
import pytest

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import formation_planner
from sycamoredale.groups import load_rate
from sycamoredale.groups import reported
from sycamoredale.groups import reported_group_controller
from sycamoredale import leases
from tests import fake_store
from tests import instance_fixtures
from tests import memory_store


class Engines:
    """Answer at once and load within no time."""

    def __init__(self, book):
        self.book = book
        self.given = []

    async def report(self, instance):
        known = self.book.by_id[instance.id]
        return instance_state.Report(
            known.started_ms,
            known.orders_taken,
            known.membership,
            known.staged,
        )

    async def order(self, instance, order, guard):
        guard()
        self.given.append((instance.id, order))
        known = self.book.by_id[instance.id]
        place = None
        match order:
            case reported.Join(key=key, members=members):
                rank = members.index(instance.id)
                place = (key, rank, instance_state.MemberState.READY)
            case reported.Open(key=key):
                place = (key, 0, instance_state.MemberState.OPEN)
        staged = (place[0].model,) if place else known.staged
        self.book.apply_listed(
            instance_fixtures.instance(
                instance.id,
                staged=staged,
                place=place,
                started_ms=known.started_ms,
                orders_taken=known.orders_taken + 1,
            ),
            clock.monotonic(),
        )
        return True


def _keeper(store, owner, book, engines):
    current = catalogue.Catalogue(
        1, service_by_name=instance_fixtures.SERVICES
    )
    return reported_group_controller.ReportedGroupController(
        leases.Lease(
            store,
            reported_group_controller.LEASE_NAME,
            owner,
            lease_seconds=reported_group_controller.LEASE_SECONDS,
        ),
        engines,
        book,
        lambda: current,
        lambda: frozenset(),
        5.0,
        formation_planner.FormationPlanner(
            load_rate.LoadRateLimiter(5.0), lambda: False, lambda: {}
        ),
        lambda: 1,
    )


def _book(count):
    book = instance_table.InstanceTable()
    for n in range(count):
        book.apply_listed(
            instance_fixtures.instance(f"i{n}"), clock.monotonic()
        )
    return book


def _open_heads(book):
    return [i for i in book.by_id.values() if i.is_open_head]


def _is_join(order):
    return isinstance(order, reported.Join)


async def _until(condition, seconds=8.0):
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.05)


def test_holder_of_the_lease_forms_and_opens_groups():
    book = _book(9)
    engines = Engines(book)
    keeper = _keeper(memory_store.MemoryStore(), "d1", book, engines)

    async def main():
        await curio.spawn(keeper.run, daemon=True)
        await _until(lambda: len(_open_heads(book)) == 2)
        joins = [(i, o) for i, o in engines.given if _is_join(o)]
        assert len(joins) == 7
        assert len({instance for instance, _ in joins}) == 7

    curio.run(main)


def test_one_keeper_acts_and_the_next_begins_with_greater_epochs():
    store = memory_store.MemoryStore()
    book = _book(3)
    engines = Engines(book)
    first = _keeper(store, "d1", book, engines)
    second = _keeper(store, "d2", book, engines)

    async def main():
        await curio.spawn(first.run, daemon=True)
        await _until(lambda: len(_open_heads(book)) == 1)
        before = _open_heads(book)[0].membership.epoch
        await curio.spawn(second.run, daemon=True)
        await curio.sleep(0.5)
        assert not second.lease.is_held(clock.monotonic())
        await first.stop()
        await _until(lambda: second.lease.is_held(clock.monotonic()))
        assert not first.lease.is_held(clock.monotonic())
        for known in list(book.by_id.values()):
            book.apply_listed(
                instance_fixtures.instance(known.id, started_ms=2000),
                clock.monotonic(),
            )
        await _until(lambda: len(_open_heads(book)) == 1)
        assert _open_heads(book)[0].membership.epoch > before

    curio.run(main)


@pytest.mark.parametrize(
    "grows_until, begins_at",
    [
        (0.0, 1.0),
        (4.5, 5.5),
        (60.0, reported_group_controller.MAX_LIST_WAIT_SECONDS),
    ],
)
def test_groups_are_formed_once_all_instances_are_listed(
    grows_until, begins_at
):
    """Pattern: hundreds of instances register within some seconds."""
    book = _book(1)
    keeper = _keeper(fake_store.FakeStore(), "c1", book, Engines(book))
    keeper._active_since = clock.MonotonicTime(0.0)
    begun = []
    for step in range(80):
        now = clock.MonotonicTime(step / 10)
        if now <= grows_until:
            book.apply_listed(instance_fixtures.instance(f"n{step}"), now)
        if keeper._is_list_complete(now):
            begun.append(now)
    assert begun[0] == pytest.approx(begins_at)


def test_keeper_that_stops_takes_the_lease_no_more():
    store = memory_store.MemoryStore()
    book = _book(3)
    keeper = _keeper(store, "d1", book, Engines(book))

    async def main():
        await curio.spawn(keeper.run, daemon=True)
        await _until(lambda: keeper.lease.is_held(clock.monotonic()))
        await keeper.stop()
        await curio.sleep(2 * reported_group_controller.LEASE_POLL_SECONDS)
        assert not keeper.lease.is_held(clock.monotonic())

    curio.run(main)


def test_last_holder_takes_the_lease_up_at_once_after_an_outage():
    """Pattern: the store is down for everybody, and groups are lost."""
    store = fake_store.FakeStore()
    book = _book(0)
    keeper = _keeper(store, "c1", book, Engines(book))
    # Others of its zone come before it.
    keeper.is_lease_candidate = lambda: False

    def held():
        return keeper.lease.is_held(clock.monotonic())

    async def main():
        await curio.spawn(keeper.run, daemon=True)
        await _until(held)
        store.down = True
        await _until(lambda: not held())
        await curio.sleep(reported_group_controller.LEASE_RENEWAL_SECONDS)
        store.down = False
        began = clock.monotonic()
        await _until(held)
        seconds = clock.monotonic() - began
        assert seconds < reported_group_controller.LEASE_POLL_SECONDS

    curio.run(main)


def test_daemon_that_lost_the_lease_to_another_looks_rarely():
    store = fake_store.FakeStore()
    book = _book(0)
    keeper = _keeper(store, "c1", book, Engines(book))
    keeper.is_lease_candidate = lambda: False
    other = _keeper(store, "c2", book, Engines(book))

    async def main():
        await other.lease.renew_or_acquire()
        await keeper.lease.renew_or_acquire()
        return keeper._pause_seconds(False)

    assert curio.run(main) == reported_group_controller.RARE_LEASE_POLL_SECONDS


def test_daemon_in_line_takes_the_lease_as_soon_as_it_is_free():
    """Pattern: the holder is lost, and nothing is repaired without one."""
    store = fake_store.FakeStore()
    book = _book(0)
    lost = _keeper(store, "c1", book, Engines(book))
    keeper = _keeper(store, "c2", book, Engines(book))

    async def main():
        await lost.lease.renew_or_acquire()
        began = clock.monotonic()
        await curio.spawn(keeper.run, daemon=True)
        await _until(lambda: keeper.lease.is_held(clock.monotonic()))
        return clock.monotonic() - began

    wait = leases.with_clock_allowance(reported_group_controller.LEASE_SECONDS)
    assert (
        curio.run(main)
        < wait + reported_group_controller.LEASE_POLL_SECONDS / 2
    )


def test_daemon_in_line_acts_at_once_after_an_outage_that_the_holder_left():
    """Pattern: the store is down for all, and the holder is restarted."""
    store = fake_store.FakeStore()
    book = _book(0)
    lost = _keeper(store, "c1", book, Engines(book))
    keeper = _keeper(store, "c2", book, Engines(book))

    async def main():
        await lost.lease.renew_or_acquire()
        keeper.lease.observe_report(lost.lease.own_version, clock.monotonic())
        store.down = True
        await curio.spawn(keeper.run, daemon=True)
        await curio.sleep(
            leases.with_clock_allowance(
                reported_group_controller.LEASE_SECONDS
            )
        )
        store.down = False
        began = clock.monotonic()
        await _until(lambda: keeper.lease.is_held(clock.monotonic()))
        return clock.monotonic() - began

    assert (
        curio.run(main) < 2 * reported_group_controller.LEASE_RENEWAL_SECONDS
    )
