"""Test the decisions about assigned groups one at a time."""

import collections.abc

import curio
import pytest

from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale import errors
from sycamoredale.groups import assignment_store
from sycamoredale.groups import health
from sycamoredale.groups import load_slots
from sycamoredale.groups import local_fault
from sycamoredale.groups import model
from sycamoredale.groups import order_planning
from sycamoredale.groups import placement
from sycamoredale.groups import planning
from sycamoredale.groups import relocation
from sycamoredale.groups import repair
from sycamoredale.groups import retirement
from sycamoredale.groups import stragglers
from sycamoredale import ids
from sycamoredale.object_api import instances
from sycamoredale.object_api import weights
from tests import fake_store

START = clock.MonotonicTime(1000.0)
DOMAIN = ids.DomainName("d")
READY = model.GroupState.READY
FORMING = model.GroupState.FORMING


def _service(
    name: str, replicas: int, size: int, version: str = "v1"
) -> config_model.Service:
    return config_model.Service(
        ids.ServiceName(name),
        config_model.ServiceKind.MODEL,
        replicas,
        size,
        ids.VersionName(version),
    )


def _group(
    *members: str,
    state: model.GroupState = READY,
    service: str = "s",
    epoch: int = 1,
    version: str = "v1",
) -> model.Group:
    return model.Group(
        ids.GroupId(f"d/{members[0]}/{epoch}"),
        ids.ServiceName(service),
        ids.VersionName(version),
        ids.ZoneName("z"),
        ids.Epoch(epoch),
        state,
        [model.Member(ids.InstanceId(m), f"{m}:1") for m in members],
        weights=f"{service}/{version}",
    )


def _instance(name: str, domain: str = "d") -> instances.Instance:
    return instances.Instance(
        ids.InstanceId(name),
        f"{name}:1",
        ids.ZoneName("z"),
        ids.DomainName(domain),
    )


def _snapshot(
    groups: collections.abc.Sequence[model.Group],
    spares: collections.abc.Sequence[str] = (),
    services: list[config_model.Service] | None = None,
) -> repair.DomainSnapshot:
    """Return a snapshot in which every member confirms its group."""
    snapshot = repair.DomainSnapshot(
        config_model.Configuration(services=services or [_service("s", 1, 2)]),
        {},
        health.HealthTable(),
        {},
        START,
        START,
    )
    group_by_id = {m.instance: g for g in groups for m in g.members}
    for name in [*group_by_id, *map(ids.InstanceId, spares)]:
        snapshot.listed_by_id[name] = _instance(name)
        snapshot.health_table.register(name, f"{name}:1")
        snapshot.health_table.record_report(
            name, _report(name, group_by_id), START
        )
    return snapshot


def _report(
    name: ids.InstanceId, group_by_id: dict[ids.InstanceId, model.Group]
) -> orders.EngineState:
    group = group_by_id.get(name)
    if group is None:
        return orders.EngineState(name, orders.Phase.EMPTY)
    return orders.EngineState(name, orders.Phase.READY, group.epoch, group.id)


def _at(
    snapshot: repair.DomainSnapshot, seconds: float
) -> repair.DomainSnapshot:
    return repair.DomainSnapshot(
        snapshot.configuration,
        snapshot.listed_by_id,
        snapshot.health_table,
        snapshot.draining_since_by_group,
        snapshot.lease_acquired_at,
        clock.MonotonicTime(START + seconds),
    )


def _plan(
    snapshot: repair.DomainSnapshot, *groups: model.Group
) -> model.Assignment:
    current = model.Assignment(DOMAIN, ids.Epoch(1), list(groups))
    slow = retirement.DomainStragglers(DOMAIN)
    return planning.plan(
        current, planning.PlanInput(snapshot, [], slow)
    ).assignment


def test_group_is_forming_while_a_member_does_not_answer() -> None:
    group = _group("a", "b")
    snapshot = _snapshot([group])
    member = ids.InstanceId("b")
    snapshot.health_table.record_failure(member, START)
    assert repair.revise(group, snapshot) == group
    snapshot.health_table.record_failure(member, START)
    forming = repair.revise(group, snapshot)
    assert forming is not None and forming.state is FORMING
    report = _report(member, {member: group})
    snapshot.health_table.record_report(
        member, report, clock.MonotonicTime(START + 1)
    )
    assert repair.revise(forming, snapshot) == group


def test_group_is_dissolved_when_a_member_stays_unreachable() -> None:
    group = _group("a", "b", state=FORMING)
    snapshot = _snapshot([group])
    for _ in range(2):
        snapshot.health_table.record_failure(ids.InstanceId("b"), START)
    soon = _at(snapshot, health.REPLACE_AFTER_SECONDS * 0.9)
    late = _at(snapshot, health.REPLACE_AFTER_SECONDS * 1.1)
    assert repair.revise(group, soon) == group
    assert repair.revise(group, late) is None
    for _ in range(2):
        snapshot.health_table.record_failure(ids.InstanceId("a"), START)
    assert repair.revise(group, late) == group


def test_refused_connection_dissolves_a_group_sooner_than_a_timeout() -> None:
    group = _group("a", "b", state=FORMING)
    snapshot = _snapshot([group])
    soon = _at(snapshot, health.REPLACE_REFUSED_AFTER_SECONDS)
    for refused, expected in ((False, group), (True, None)):
        for _ in range(2):
            snapshot.health_table.record_failure(
                ids.InstanceId("b"), START, refused
            )
        assert repair.revise(group, soon) == expected


@pytest.mark.parametrize(
    ("phase", "epoch"),
    [
        (orders.Phase.EMPTY, 1),
        (orders.Phase.LOADING, 1),
        (orders.Phase.FAILED, 1),
        (orders.Phase.DRAINING, 1),
        (orders.Phase.READY, 0),
    ],
)
def test_group_is_ready_only_while_all_members_confirm(
    phase: orders.Phase, epoch: int
) -> None:
    group = _group("a", "b")
    snapshot = _snapshot([group])
    state = orders.EngineState(
        ids.InstanceId("b"), phase, ids.Epoch(epoch), group.id
    )
    snapshot.health_table.record_report(state.instance, state, START)
    revised = repair.revise(group, snapshot)
    assert revised is not None and revised.state is FORMING


def test_instances_with_the_weights_are_chosen_first() -> None:
    snapshot = _snapshot([], spares=["a", "b", "c"])
    for name in ("b", "c"):
        with_weights = orders.EngineState(
            ids.InstanceId(name), orders.Phase.EMPTY, held=["s/v1"]
        )
        snapshot.health_table.record_report(
            with_weights.instance, with_weights, START
        )
    formed = _plan(snapshot).groups
    assert [m.instance for m in formed[0].members] == ["b", "c"]


def test_new_epoch_is_greater_than_all_reported_epochs() -> None:
    snapshot = _snapshot([], spares=["a", "b"])
    ahead = orders.EngineState(
        ids.InstanceId("a"), orders.Phase.EMPTY, ids.Epoch(41)
    )
    snapshot.health_table.record_report(ahead.instance, ahead, START)
    assert _plan(snapshot).groups[0].epoch == 42


def test_version_is_rolled_out_one_group_at_a_time_without_spares() -> None:
    groups = [_group("a", "b"), _group("c", "d")]
    services = [_service("s", 2, 2, version="v2")]
    planned = _plan(_snapshot(groups, services=services), *groups)
    states = [group.state for group in planned.groups]
    assert states.count(READY) == 1


def test_last_group_is_not_drained_for_a_new_version() -> None:
    group = _group("a", "b")
    services = [_service("s", 1, 2, version="v2")]
    planned = _plan(_snapshot([group], services=services), group)
    assert planned.groups == [group]


def test_small_group_moves_to_make_a_large_one_fit() -> None:
    small = _group("a", "b", service="small")
    services = [_service("large", 1, 3), _service("small", 1, 2)]
    demands = placement.demands_of(
        config_model.Configuration(services=services), [small]
    )
    capacities = [
        placement.FreeCapacity(DOMAIN, ids.ZoneName("z"), instances.ENGINE, 1),
        placement.FreeCapacity(
            ids.DomainName("e"), ids.ZoneName("z"), instances.ENGINE, 2
        ),
    ]
    planner = relocation.RelocationPlanner(
        [relocation.PlacedGroup(DOMAIN, small)], demands, capacities
    )
    extra = relocation.with_extra(demands, planner.extra_demand())
    placements = placement.allocate(extra, capacities)
    assert [(p.service, p.domain) for p in placements] == [("small", "e")]


def test_straggler_is_detected_and_avoided() -> None:
    detector = stragglers.StragglerDetector()
    steps = {"a": 0.01, "b": 0.011, "c": 0.05}
    states = [
        orders.EngineState(
            ids.InstanceId(name),
            orders.Phase.READY,
            group=ids.GroupId("g"),
            step_seconds=step,
        )
        for name, step in steps.items()
    ]
    for _ in range(stragglers.REPORTS_UNTIL_SLOW - 1):
        assert not detector.update(states)
    slow = detector.update(states)
    assert slow == {"c"}
    groups = [_group("a", "b"), _group("c", "d")]
    snapshot = _snapshot(groups, ["e"], [_service("s", 2, 2)])
    current = model.Assignment(DOMAIN, ids.Epoch(1), groups)
    plan_input = planning.PlanInput(
        snapshot, [], retirement.DomainStragglers(DOMAIN, frozenset(slow))
    )
    planned = planning.plan(current, plan_input).assignment
    drained = planned.groups[1]
    assert drained.drain_reason is model.DrainReason.STRAGGLER
    assert planning.plan(planned, plan_input).assignment.avoided == ["c"]


def test_one_failing_member_is_avoided_but_not_a_failing_version() -> None:
    group = _group("a", "b", "c", state=FORMING)
    snapshot = _snapshot([group], services=[_service("s", 1, 3)])
    for name, expected in (("a", {"a"}), ("b", set())):
        snapshot.health_table.by_id[ids.InstanceId(name)].failed_loads = 3
        assert repair.members_failing_to_load(group, snapshot) == expected


def test_local_fault_is_suspected_only_over_several_domains() -> None:
    def count(domain: str, failed: int) -> local_fault.ProbeCount:
        return local_fault.ProbeCount(ids.DomainName(domain), 4, failed)

    assert not local_fault.is_local_fault([count("a", 4)])
    assert not local_fault.is_local_fault([count("a", 4), count("b", 0)])
    assert not local_fault.is_local_fault(
        [count("a", 4), count("b", 0), count("c", 1)]
    )
    assert local_fault.is_local_fault([count("a", 4), count("b", 3)])


def test_load_slots_are_reserved_and_released() -> None:
    store = fake_store.FakeStore()
    unknown = load_slots.LoadSlots(store)
    slot = load_slots.Slot(DOMAIN, ids.GroupId("g"), 1)
    assert curio.run(unknown.reserve, DOMAIN, [slot], lambda s: True) == {}
    slots = load_slots.LoadSlots(store, weights.WeightLimits(3))
    first, second = ids.DomainName("a"), ids.DomainName("b")

    def reserve(
        domain: ids.DomainName, fetches: int, loading: bool = True
    ) -> dict[ids.GroupId, int]:
        group = ids.GroupId(f"{domain}/g")
        wanted = [load_slots.Slot(domain, group, fetches)] if fetches else []
        return curio.run(slots.reserve, domain, wanted, lambda slot: loading)

    store.write_outcome = fake_store.WriteOutcome.ANSWER_LOST
    assert reserve(first, 2) == {"a/g": 2}
    assert reserve(second, 2) == {"b/g": 1}
    assert reserve(first, 0) == {}
    assert reserve(second, 2) == {"b/g": 2}
    assert reserve(first, 3) == {"a/g": 1}
    assert reserve(first, 3, loading=False) == {"a/g": 3}
    store.write_outcome = fake_store.WriteOutcome.LOST
    with pytest.raises(errors.OutcomeUnknown):
        reserve(first, 1)


def test_lost_answer_to_a_write_is_resolved_by_reading() -> None:
    store = fake_store.FakeStore()
    assignments = assignment_store.AssignmentStore(store)
    store.write_outcome = fake_store.WriteOutcome.ANSWER_LOST
    wanted = model.Assignment(DOMAIN, ids.Epoch(1))
    written = curio.run(assignments.write, wanted, ids.ObjectVersion(0))
    assert written.version == 1
    store.write_outcome = fake_store.WriteOutcome.LOST
    with pytest.raises(errors.OutcomeUnknown):
        curio.run(assignments.write, wanted, written.version)


def test_adapters_are_updated_by_an_order() -> None:
    group = _group("a", "b")
    snapshot = _snapshot([group])
    snapshot.configuration.adapters.append(
        config_model.Adapter(
            ids.AdapterName("x"), ids.ServiceName("s"), "x-weights"
        )
    )
    current = model.Assignment(DOMAIN, ids.Epoch(1), [group])
    due = list(order_planning.due_orders(current, snapshot))
    assert [item.order.action for item in due] == [orders.Action.UPDATE] * 2
    assert due[0].order.adapters == ["x-weights"]
    assert repair.revise(group, snapshot) == group


@pytest.mark.parametrize(
    ("running", "seconds", "loaded"),
    [
        (2, 0.5, []),
        (0, 0.5, ["a"]),
        (2, order_planning.FINISH_AFTER_FAILURE_SECONDS, ["a"]),
    ],
    ids=["requests_running", "requests_finished", "time_is_over"],
)
def test_failed_engine_finishes_its_requests_before_it_loads_again(
    running: int, seconds: float, loaded: list[str]
) -> None:
    group = _group("a", "b", state=FORMING)
    snapshot = _snapshot([group])
    head = ids.InstanceId("a")
    for at in (0.0, seconds):
        failed = orders.EngineState(
            head, orders.Phase.FAILED, group.epoch, group.id, running=running
        )
        probed_at = clock.MonotonicTime(START + at)
        snapshot.health_table.record_report(head, failed, probed_at)
    current = model.Assignment(DOMAIN, ids.Epoch(1), [group])
    due = list(order_planning.due_orders(current, _at(snapshot, seconds)))
    assert [item.instance for item in due] == loaded
