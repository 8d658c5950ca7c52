"""Test the controller of reported groups and its lease."""

import curio
import pytest

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import formation_planner
from sycamoredale.groups import group_lifecycle
from sycamoredale.groups import load_rate
from sycamoredale.groups import reported
from sycamoredale.groups import reported_group_controller
from sycamoredale import ids
from sycamoredale import leases
from tests import fake_store
from tests import instance_fixtures
from tests import memory_store


class Engines:
    """Simulate engines that answer and load immediately."""

    def __init__(self, table):
        self.table = table
        self.received = []

    async def report(self, instance):
        known = self.table.by_id[instance.id]
        return instance_state.Report(
            known.started_ms,
            known.orders_taken,
            known.membership,
            known.staged,
        )

    async def order(self, instance, order, guard):
        guard()
        self.received.append((instance.id, order))
        known = self.table.by_id[instance.id]
        membership = None
        match order:
            case reported.Join(key=key, members=members):
                rank = members.index(instance.id)
                membership = (key, rank, instance_state.MemberState.READY)
            case reported.Open(key=key):
                membership = (key, 0, instance_state.MemberState.OPEN)
        staged = (membership[0].model,) if membership else known.staged
        self.table.apply_listed(
            instance_fixtures.instance(
                instance.id,
                staged=staged,
                membership=membership,
                started_ms=known.started_ms,
                orders_taken=known.orders_taken + 1,
            ),
            clock.monotonic(),
        )
        return True


def _controller(store, owner, table, engines):
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
        table,
        lambda: current,
        lambda: frozenset(),
        5.0,
        formation_planner.FormationPlanner(
            load_rate.LoadRateLimiter(5.0), lambda: False, lambda: {}
        ),
        lambda: 1,
    )


def _table(count):
    table = instance_table.InstanceTable()
    for n in range(count):
        table.apply_listed(
            instance_fixtures.instance(f"i{n}"), clock.monotonic()
        )
    return table


def _open_heads(table):
    return [i for i in table.by_id.values() if i.is_open_head]


def _is_join(order):
    return isinstance(order, reported.Join)


async def _until(condition, seconds=8.0):
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.05)


def test_lease_owner_forms_and_opens_groups():
    table = _table(9)
    engines = Engines(table)
    controller = _controller(memory_store.MemoryStore(), "d1", table, engines)

    async def main():
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: len(_open_heads(table)) == 2)
        joins = [(i, o) for i, o in engines.received if _is_join(o)]
        assert len(joins) == 7
        assert len({instance for instance, _ in joins}) == 7

    curio.run(main)


def test_only_the_lease_owner_acts_and_its_successor_has_greater_epochs():
    store = memory_store.MemoryStore()
    table = _table(3)
    engines = Engines(table)
    first = _controller(store, "d1", table, engines)
    second = _controller(store, "d2", table, engines)

    async def main():
        await curio.spawn(first.run, daemon=True)
        await _until(lambda: len(_open_heads(table)) == 1)
        before = _open_heads(table)[0].membership.epoch
        await curio.spawn(second.run, daemon=True)
        await curio.sleep(0.5)
        assert not second.lease.is_held(clock.monotonic())
        await first.stop()
        await _until(lambda: second.lease.is_held(clock.monotonic()))
        assert not first.lease.is_held(clock.monotonic())
        for known in list(table.by_id.values()):
            table.apply_listed(
                instance_fixtures.instance(known.id, started_ms=2000),
                clock.monotonic(),
            )
        await _until(lambda: len(_open_heads(table)) == 1)
        assert _open_heads(table)[0].membership.epoch > before

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
    """Scenario: hundreds of instances register within a few seconds."""
    table = _table(1)
    controller = _controller(
        fake_store.FakeStore(), "c1", table, Engines(table)
    )
    controller._active_since = clock.MonotonicTime(0.0)
    begun = []
    for step in range(80):
        now = clock.MonotonicTime(step / 10)
        if now <= grows_until:
            table.apply_listed(instance_fixtures.instance(f"n{step}"), now)
        if controller._is_list_complete(now):
            begun.append(now)
    assert begun[0] == pytest.approx(begins_at)


def test_stopped_controller_does_not_acquire_the_lease_again():
    store = memory_store.MemoryStore()
    table = _table(3)
    controller = _controller(store, "d1", table, Engines(table))

    async def main():
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: controller.lease.is_held(clock.monotonic()))
        await controller.stop()
        await curio.sleep(2 * reported_group_controller.LEASE_POLL_SECONDS)
        assert not controller.lease.is_held(clock.monotonic())

    curio.run(main)


def test_last_owner_acquires_the_lease_at_once_after_an_outage():
    """Scenario: the store fails for all daemons while groups are lost."""
    store = fake_store.FakeStore()
    table = _table(0)
    controller = _controller(store, "c1", table, Engines(table))
    # Other daemons of its zone are the candidates.
    controller.is_lease_candidate = lambda: False

    def held():
        return controller.lease.is_held(clock.monotonic())

    async def main():
        await curio.spawn(controller.run, daemon=True)
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


def test_daemon_that_lost_the_lease_to_another_polls_rarely():
    store = fake_store.FakeStore()
    table = _table(0)
    controller = _controller(store, "c1", table, Engines(table))
    controller.is_lease_candidate = lambda: False
    other = _controller(store, "c2", table, Engines(table))

    async def main():
        await other.lease.renew_or_acquire()
        await controller.lease.renew_or_acquire()
        return controller._pause_seconds(False)

    assert curio.run(main) == reported_group_controller.RARE_LEASE_POLL_SECONDS


def test_candidate_acquires_the_lease_as_soon_as_it_is_free():
    """Scenario: the owner fails, and nothing is repaired without one."""
    store = fake_store.FakeStore()
    table = _table(0)
    lost = _controller(store, "c1", table, Engines(table))
    controller = _controller(store, "c2", table, Engines(table))

    async def main():
        await lost.lease.renew_or_acquire()
        began = clock.monotonic()
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: controller.lease.is_held(clock.monotonic()))
        return clock.monotonic() - began

    wait = leases.with_clock_allowance(reported_group_controller.LEASE_SECONDS)
    assert (
        curio.run(main)
        < wait + reported_group_controller.LEASE_POLL_SECONDS / 2
    )


def test_candidate_acts_at_once_after_an_outage_without_the_owner():
    """Scenario: the store fails for all while the owner is restarted."""
    store = fake_store.FakeStore()
    table = _table(0)
    lost = _controller(store, "c1", table, Engines(table))
    controller = _controller(store, "c2", table, Engines(table))

    async def main():
        await lost.lease.renew_or_acquire()
        controller.lease.observe_report(
            lost.lease.own_version, clock.monotonic()
        )
        store.down = True
        await curio.spawn(controller.run, daemon=True)
        await curio.sleep(
            leases.with_clock_allowance(
                reported_group_controller.LEASE_SECONDS
            )
        )
        store.down = False
        began = clock.monotonic()
        await _until(lambda: controller.lease.is_held(clock.monotonic()))
        return clock.monotonic() - began

    assert (
        curio.run(main) < 2 * reported_group_controller.LEASE_RENEWAL_SECONDS
    )


# Guards against a holder of the lease that has lost its links to the
# instances: it keeps the lease, closes groups, and nobody repairs them.
def test_isolated_holder_gives_the_lease_up_and_takes_it_no_more():
    store = memory_store.MemoryStore()
    table = _table(8)
    engines = Engines(table)
    holder = _controller(store, "a", table, engines)
    isolated = [False]
    holder.is_isolated = lambda: isolated[0]
    other = _controller(store, "b", table, engines)

    async def main():
        await curio.spawn(holder.run, daemon=True)
        async with curio.timeout_after(10):
            while not engines.received:
                await curio.sleep(0.05)
            isolated[0] = True
            await curio.sleep(0.2)
            assert not holder.lease.is_held(clock.monotonic())
            given = len(engines.received)
            await curio.sleep(1.0)
            assert len(engines.received) == given
            await curio.spawn(other.run, daemon=True)
            while not other.lease.is_held(clock.monotonic()):
                await curio.sleep(0.05)
            assert not holder.lease.is_held(clock.monotonic())

    curio.run(main)


class SlowStore(memory_store.MemoryStore):
    """Delay the answer to each write on request."""

    answer_seconds = 0.0

    async def put(self, *args):
        version = await super().put(*args)
        await curio.sleep(self.answer_seconds)
        return version


def _restart_all(table):
    for known in list(table.by_id.values()):
        table.apply_listed(
            instance_fixtures.instance(
                known.id, started_ms=known.started_ms + 1
            ),
            clock.monotonic(),
        )


# Guards against PARTIAL: a new group got the name and epoch of another one
# after a renewal that was answered late.
def test_epochs_of_groups_are_not_reused_after_a_late_renewal():
    store = SlowStore()
    table = _table(3)
    engines = Engines(table)
    controller = _controller(store, "d1", table, engines)

    def held():
        return controller.lease.is_held(clock.monotonic())

    async def main():
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: _open_heads(table))
        store.answer_seconds = 1.3
        await _until(lambda: not held())
        store.answer_seconds = 0.0
        await _until(held, 1.3)
        _restart_all(table)
        before = len(engines.received)
        await _until(lambda: _open_heads(table))
        keys = [o.key for _, o in engines.received if _is_join(o)]
        assert len(engines.received) > before
        assert len(set(keys)) == 2

    curio.run(main)


# Guards against PARTIAL: a daemon that was isolated for a moment entered its
# term again and counted the epochs of groups from the start.
def test_term_is_not_entered_again_after_a_short_isolation():
    table = _table(3)
    controller = _controller(
        memory_store.MemoryStore(), "d1", table, Engines(table)
    )
    begun = []
    isolated_checks = [0]
    begin_term = controller.formation.begin_term

    def record_term(term, lifecycle):
        begun.append(term)
        begin_term(term, lifecycle)

    def is_isolated():
        isolated_checks[0] -= 1
        return isolated_checks[0] == 0

    controller.formation.begin_term = record_term
    controller.is_isolated = is_isolated

    async def main():
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: begun)
        while len(begun) < 2:
            term = controller.lease.term
            if term is not None and term.epoch == begun[-1]:
                isolated_checks[0] = 1
            await curio.sleep(0.1)
        assert len(set(begun)) == 2

    curio.run(main)


# Guards against PARTIAL: the same after a crash of the controller's task.
def test_epochs_of_a_term_that_is_begun_again_are_counted_on():
    planner = formation_planner.FormationPlanner(
        load_rate.LoadRateLimiter(5.0), lambda: False, lambda: {}
    )
    table = _table(3)
    keys = []
    for _ in range(2):
        planner.begin_term(ids.Epoch(1), group_lifecycle.GroupLifecycle())
        snapshot = instance_fixtures.snapshot(table.by_id.values(), 10.0)
        keys.extend(d.order.key for d in planner.due_orders(snapshot))
    assert len(set(keys)) == 2


class SlowEngines(Engines):
    """Accept connections only after an event."""

    def __init__(self, table):
        super().__init__(table)
        self.connected = curio.Event()
        self.waiting = 0

    async def order(self, instance, order, guard):
        self.waiting += 1
        await self.connected.wait()
        return await super().order(instance, order, guard)


# Guards against TWO: an order was decided in one term and sent in the next
# one of the same daemon, which knew nothing of it.
def test_order_is_not_sent_in_a_later_term():
    table = _table(3)
    engines = SlowEngines(table)
    controller = _controller(memory_store.MemoryStore(), "d1", table, engines)

    async def main():
        await curio.spawn(controller.run, daemon=True)
        await _until(lambda: engines.waiting == 3)
        await controller.lease.release()
        await _until(lambda: controller.lease.is_held(clock.monotonic()))
        await engines.connected.set()
        await _until(lambda: _open_heads(table))
        first = [o.key.epoch for _, o in engines.received][0]
        assert first > 2 * formation_planner.EPOCHS_PER_TERM

    curio.run(main)
