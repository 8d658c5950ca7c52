"""Search for schedules that violate the guarantees for groups.

Two controllers share one domain.  Orders and writes are lost or arrive late,
engines fail and return, and the lease changes between the controllers.
"""

import collections.abc
import dataclasses

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import model_engine
from sycamoredale.engines import orders
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.groups import assignment_store
from sycamoredale.groups import domain_reconciler
from sycamoredale.groups import load_slots
from sycamoredale.groups import local_fault
from sycamoredale.groups import model
from sycamoredale.groups import probing
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import leases
from sycamoredale.object_api import instances
from sycamoredale.object_api import weights
from sycamoredale.standins import engine_orders
from tests import fake_store

DOMAIN = ids.DomainName("d")
ENGINES = 5
CONFIGURATION = config_model.Configuration(
    services=[
        config_model.Service(
            ids.ServiceName(name),
            config_model.ServiceKind.MODEL,
            replicas=1,
            instances_per_replica=2,
            version=ids.VersionName("v1"),
            fencing=config_model.Fencing.IGNORED,
        )
        for name in ("first", "second")
    ]
)


@dataclasses.dataclass
class LateOrder:
    """Represent an order in flight."""

    port: int
    order: orders.Order
    sent: clock.MonotonicTime


@dataclasses.dataclass
class FakeEngines(model_engine.ModelEngineClient):
    """Simulate engines in this process; delay or lose orders on request."""

    pool: client.Pool = dataclasses.field(default_factory=client.Pool)
    now: clock.MonotonicTime = clock.MonotonicTime(1000.0)
    by_port: dict[int, engine_orders.OrderExecutor] = dataclasses.field(
        default_factory=dict
    )
    failed: set[int] = dataclasses.field(default_factory=set)
    delayed: set[int] = dataclasses.field(default_factory=set)
    connect_seconds: float = 0.0
    late: list[LateOrder] = dataclasses.field(default_factory=list)

    def read_clock(self) -> clock.MonotonicTime:
        return self.now

    async def order(
        self,
        address: messages.Address,
        order: orders.Order,
        guard: model_engine.Guard,
    ) -> orders.EngineState:
        self._connect(address.port)
        self.now = clock.MonotonicTime(self.now + self.connect_seconds)
        guard()
        if address.port in self.delayed:
            self.late.append(LateOrder(address.port, order, self.now))
            raise errors.OrderFailed(error_codes.ORDER_FAILED, "no answer")
        await self.by_port[address.port].apply(order, self.now)
        return await self.state(address)

    async def state(
        self,
        address: messages.Address,
        seconds: float = 0.0,
        fresh: bool = False,
    ) -> orders.EngineState:
        self._connect(address.port)
        executor = self.by_port[address.port]
        executor.advance(self.now)
        return executor.report_state(running=0, step_seconds=0.0)

    async def deliver(self) -> None:
        """Deliver the late orders whose lifetime has not ended."""
        late, self.late = self.late, []
        for item in late:
            in_time = self.now < item.sent + item.order.lifetime_seconds
            if in_time and item.port not in self.failed:
                await self.by_port[item.port].apply(item.order, self.now)

    def _connect(self, port: int) -> None:
        if port in self.failed:
            raise errors.ConnectionFailed(
                error_codes.CONNECTION_FAILED, "simulated failure"
            )


def _engine(port: int) -> engine_orders.OrderExecutor:
    return engine_orders.OrderExecutor(
        ids.InstanceId(f"e{port}"),
        load_seconds=0.5,
        cold_seconds=0.0,
        honours_fencing=False,
    )


class GroupMachine(stateful.RuleBasedStateMachine):
    """Run rounds of two controllers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.engines = FakeEngines()
        self.store = fake_store.FakeStore()
        self.history: list[model.Assignment] = []
        self.store.on_effect = self._record
        self.listed: dict[ids.InstanceId, instances.Instance] = {}
        for port in range(1, ENGINES + 1):
            self.engines.by_port[port] = _engine(port)
            instance = ids.InstanceId(f"e{port}")
            self.listed[instance] = instances.Instance(
                instance, f"127.0.0.1:{port}", ids.ZoneName("z"), DOMAIN
            )
        self.reconcilers = [self._reconciler(name) for name in ("c1", "c2")]

    def _reconciler(self, name: str) -> domain_reconciler.DomainReconciler:
        lease = leases.Lease(
            self.store, "lease", ids.DaemonId(name), self.engines.read_clock
        )
        return domain_reconciler.DomainReconciler(
            DOMAIN,
            lease,
            assignment_store.AssignmentStore(self.store),
            load_slots.LoadSlots(self.store, weights.WeightLimits()),
            self.engines,
            probing.Prober(self.engines, self.engines.read_clock, 0.0),
            local_fault.LocalFaultDetector(),
        )

    @stateful.rule(
        first=strategies.integers(0, 1),
        rounds=strategies.integers(1, 4),
        outcome=strategies.sampled_from(fake_store.WriteOutcome),
    )
    def run_rounds(
        self, first: int, rounds: int, outcome: fake_store.WriteOutcome
    ) -> None:
        self.store.write_outcome = outcome
        for _ in range(rounds):
            curio.run(self._round, self.reconcilers[first])
            self.engines.now = clock.MonotonicTime(self.engines.now + 0.6)
        self.store.write_outcome = fake_store.WriteOutcome.ANSWERED

    async def _round(
        self, reconciler: domain_reconciler.DomainReconciler
    ) -> None:
        shared = domain_reconciler.SharedState(CONFIGURATION, self.listed)
        try:
            if not await reconciler.lease.renew_or_acquire():
                return
            await reconciler.assignments.refresh(DOMAIN)
            await reconciler.reconcile(shared)
        except errors.SycamoredaleError:
            return  # The next round starts from the stored assignment.

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 2.1, 6.1)))
    def wait(self, seconds: float) -> None:
        self.engines.now = clock.MonotonicTime(self.engines.now + seconds)

    @stateful.rule(port=strategies.integers(1, ENGINES))
    def delay(self, port: int) -> None:
        self.engines.delayed ^= {port}

    @stateful.rule()
    def late_orders_arrive(self) -> None:
        curio.run(self.engines.deliver)

    @stateful.rule()
    def late_writes_arrive(self) -> None:
        self.store.deliver_delayed()
        self._record()

    @stateful.rule(port=strategies.integers(1, ENGINES))
    def kill(self, port: int) -> None:
        if len(self.engines.failed) < ENGINES - 3:
            self.engines.failed.add(port)

    @stateful.rule(port=strategies.integers(1, ENGINES))
    def restart(self, port: int) -> None:
        if port in self.engines.failed:
            self.engines.failed.remove(port)
            self.engines.by_port[port] = _engine(port)

    @stateful.rule(port=strategies.integers(1, ENGINES))
    def reconnect(self, port: int) -> None:
        self.engines.failed.discard(port)

    @stateful.invariant()
    def no_instance_in_two_groups(self) -> None:
        for assignment in self.history:
            members = list(_members(assignment.groups))
            assert len(members) == len(set(members))

    @stateful.invariant()
    def epochs_only_grow(self) -> None:
        epochs = [assignment.epoch for assignment in self.history]
        assert epochs == sorted(epochs)

    @stateful.invariant()
    def no_old_epoch_is_obeyed(self) -> None:
        for executor in self.engines.by_port.values():
            epochs = [order.epoch for order in executor.applied_orders]
            assert epochs == sorted(epochs)

    def _record(self) -> None:
        stored = self.store.by_name.get(f"{model.ASSIGNMENT_KIND}/{DOMAIN}")
        if stored is not None:
            found = msgspec.json.decode(stored.value, type=model.Assignment)
            self.history.append(found)


def _run(machine: GroupMachine, reconciler: int, rounds: int) -> None:
    machine.run_rounds(reconciler, rounds, fake_store.WriteOutcome.ANSWERED)


def _run_until_formed(machine: GroupMachine, reconciler: int) -> None:
    before = machine.history[-1].epoch if machine.history else 0
    for _ in range(40):
        _run(machine, reconciler, 1)
        formed = [g.epoch for a in machine.history[-1:] for g in a.groups]
        if max(formed, default=0) > before:
            return
    raise AssertionError("no group was formed")


def _machine(*failed: int) -> GroupMachine:
    machine = GroupMachine()
    machine.engines.failed.update(failed)
    return machine


def _members(
    groups: collections.abc.Iterable[model.Group],
) -> collections.abc.Iterator[ids.InstanceId]:
    return (member.instance for group in groups for member in group.members)


TestGroups = GroupMachine.TestCase
TestGroups.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50
)


def test_two_groups_form_on_five_engines() -> None:
    machine = GroupMachine()
    for _ in range(10):
        _run(machine, 0, 4)
    states = [group.state for group in machine.history[-1].groups]
    assert states == [model.GroupState.READY] * 2


def test_controller_waits_for_its_own_late_order() -> None:
    machine = _machine(4, 5)
    machine.engines.delayed.add(1)
    _run_until_formed(machine, 0)
    formed = machine.history[-1].groups
    machine.engines.failed.add(2)
    while machine.history[-1].groups == formed:
        _run(machine, 0, 1)
    assert machine.engines.late
    machine.engines.delayed.clear()
    _run(machine, 0, 1)
    machine.late_orders_arrive()
    machine.no_old_epoch_is_obeyed()
    _run_until_formed(machine, 0)


def test_controller_waits_for_a_late_order_of_the_previous_owner() -> None:
    machine = _machine(4, 5)
    machine.engines.delayed.add(1)
    _run_until_formed(machine, 0)
    machine.wait(leases.LEASE_SECONDS / leases.RENEWALS_PER_LEASE)
    curio.run(machine.reconcilers[0].lease.renew_or_acquire)
    curio.run(machine.reconcilers[1].lease.renew_or_acquire)
    machine.wait(leases.LEASE_SECONDS * 0.99)
    first = machine.reconcilers[0]
    shared = domain_reconciler.SharedState(CONFIGURATION, machine.listed)
    curio.run(first.reconcile, shared)
    assert machine.engines.late[-1].sent == machine.engines.now
    machine.wait(leases.LEASE_SECONDS * 0.03)
    machine.engines.delayed.clear()
    leaving = machine.listed[ids.InstanceId("e2")]
    machine.listed[leaving.id] = msgspec.structs.replace(
        leaving, state=instances.InstanceState.LEAVING
    )
    _run(machine, 1, 2)
    machine.late_orders_arrive()
    machine.no_old_epoch_is_obeyed()
    _run_until_formed(machine, 1)


def test_lease_is_checked_after_the_connection_is_open() -> None:
    machine = _machine()
    machine.engines.connect_seconds = leases.LEASE_SECONDS
    _run_until_formed(machine, 0)
    assert not any(e.applied_orders for e in machine.engines.by_port.values())


def test_engine_is_unloaded_before_it_changes_groups() -> None:
    machine = _machine(4, 5)
    _run_until_formed(machine, 0)
    _run(machine, 0, 2)
    machine.engines.failed.add(2)
    _run_until_formed(machine, 0)
    _run(machine, 0, 1)
    actions = [o.action for o in machine.engines.by_port[1].applied_orders]
    assert actions == [
        orders.Action.LOAD,
        orders.Action.UNLOAD,
        orders.Action.LOAD,
    ]
