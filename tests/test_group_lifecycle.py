"""Test the orders for reported groups and which instances are free."""

import dataclasses

import pytest

from sycamoredale.forwarding import instance_state
from sycamoredale.groups import group_lifecycle
from sycamoredale.groups import probe_status
from sycamoredale.groups import reported
from tests import instance_fixtures

State = instance_state.MemberState
NAMES = ("i0", "i1", "i2")


def _orders(lifecycle, snapshot):
    return [(d.instance.id, d.order) for d in lifecycle.due_orders(snapshot)]


def _free(lifecycle, snapshot):
    return {i.id for i in lifecycle.free_instances(snapshot)}


def _open_group(lifecycle, now=10.0):
    """Form and open a group to which one controller sent all orders."""
    key = instance_fixtures.key()
    lifecycle.record_join(key, NAMES, now)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    snapshot = instance_fixtures.snapshot(ready, now)
    for item in lifecycle.due_orders(snapshot):
        lifecycle.record_outcome(item, True, snapshot.now)
    return key


def test_head_is_opened_once_all_members_have_loaded():
    key = instance_fixtures.key()
    lifecycle = group_lifecycle.GroupLifecycle()
    lifecycle.record_join(key, NAMES, 10.0)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    joining = instance_fixtures.members(key, NAMES, State.JOINING, State.READY)
    assert _orders(lifecycle, instance_fixtures.snapshot(joining, 10.1)) == []
    assert (
        _orders(lifecycle, instance_fixtures.snapshot(ready[:2], 10.2)) == []
    )
    orders = _orders(lifecycle, instance_fixtures.snapshot(ready, 10.3))
    assert orders == [("i0", reported.Open(key))]


def test_group_being_joined_is_counted():
    """Guard against forming too many groups in the next rounds."""
    key = instance_fixtures.key()
    lifecycle = group_lifecycle.GroupLifecycle()
    lifecycle.record_join(key, NAMES, 10.0)
    no_reports = instance_fixtures.snapshot([], 10.1)
    assert lifecycle.count_groups(no_reports) == {key.model: 1}
    joining = instance_fixtures.members(key, NAMES, State.JOINING)
    assert lifecycle.count_groups(
        instance_fixtures.snapshot(joining, 10.2)
    ) == {key.model: 1}
    later = 10.0 + group_lifecycle.JOIN_TIMEOUT_SECONDS + 0.1
    assert not lifecycle.count_groups(instance_fixtures.snapshot([], later))


def test_group_without_all_members_is_left_instead_of_opened():
    key = instance_fixtures.key()
    lifecycle = group_lifecycle.GroupLifecycle()
    lifecycle.record_join(key, NAMES, 10.0)
    two = instance_fixtures.members(key, NAMES, State.READY)[:2]
    later = 10.0 + group_lifecycle.JOIN_TIMEOUT_SECONDS + 0.1
    orders = _orders(lifecycle, instance_fixtures.snapshot(two, later))
    assert orders == [("i0", reported.Leave(key))]


def _close(lifecycle, group, at, lost):
    """Accept all orders to close a group."""
    snapshot = instance_fixtures.snapshot(group, at, silent=lost)
    sent = list(lifecycle.due_orders(snapshot))
    for item in sent:
        lifecycle.record_outcome(item, True, snapshot.now)
    return [(d.instance.id, d.order) for d in sent]


def test_unreachable_member_closes_the_group_and_then_frees_the_others():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    sent = _close(lifecycle, group, 20.0, lost=("i2",))
    assert sent == [("i0", reported.Close(key, cancel=True))]
    # A report from before the order that arrives later has no effect.
    stale = instance_fixtures.members(key, NAMES, State.READY)
    before_close = instance_fixtures.snapshot(stale, 20.2, silent=("i2",))
    assert _orders(lifecycle, before_close) == []
    assert _free(lifecycle, before_close) == set()
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    after_close = instance_fixtures.snapshot(closed, 20.2, silent=("i2",))
    assert _orders(lifecycle, after_close) == []
    assert _free(lifecycle, after_close) == {"i0", "i1"}


def test_closing_head_frees_no_instance_before_it_is_ready():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _close(lifecycle, group, 20.0, lost=("i2",))
    closing = instance_fixtures.members(
        key, NAMES, State.READY, State.CLOSING, orders_taken=1
    )
    later = instance_fixtures.snapshot(closing, 20.5, silent=("i2",))
    assert _free(lifecycle, later) == set()


def test_head_with_a_recent_order_to_open_is_not_closed():
    # Its report may still show the state ready although it already serves.
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle, now=20.0)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    seen = instance_fixtures.snapshot(ready, 20.1, silent=("i2",))
    assert _free(lifecycle, seen) == set()
    assert _orders(lifecycle, seen) == [("i0", reported.Leave(key))]


@pytest.mark.parametrize("accepted", [True, False])
def test_head_that_was_opened_but_not_closed_frees_no_instance(accepted):
    # Its report may be older than an order of another controller to open, or
    # the unanswered order may be carried out late.
    lifecycle = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    lifecycle.record_join(key, NAMES, 10.0)
    stale = instance_fixtures.members(key, NAMES, State.READY)
    snapshot = instance_fixtures.snapshot(stale, 20.0)
    for item in lifecycle.due_orders(snapshot):
        lifecycle.record_outcome(item, accepted, snapshot.now)
    later = instance_fixtures.snapshot(stale, 25.0, silent=("i2",))
    assert _free(lifecycle, later) == set()
    assert _orders(lifecycle, later) == [("i0", reported.Leave(key))]


def test_group_of_another_controller_is_left_before_its_members_join():
    # An order of the previous controller to open it may still be in flight.
    lifecycle = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    closed = instance_fixtures.members(key, NAMES, State.READY)
    seen = instance_fixtures.snapshot(closed, 20.0, silent=("i2",))
    assert _orders(lifecycle, seen) == [("i0", reported.Leave(key))]
    assert _free(lifecycle, seen) == set()
    head, *others = closed
    without_head = [
        instance_fixtures.instance("i0", staged=("small",)),
        *others,
    ]
    after = instance_fixtures.snapshot(without_head, 20.4, silent=("i2",))
    assert _free(lifecycle, after) == {"i0", "i1"}


def test_members_of_an_unreachable_head_wait_until_it_is_broken():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    unreachable = instance_fixtures.snapshot(group, 20.0, silent=("i0",))
    assert _orders(lifecycle, unreachable) == [
        ("i1", reported.Leave(key)),
        ("i2", reported.Leave(key)),
    ]
    left = [
        instance_fixtures.instance(n, staged=("small",)) for n in NAMES[1:]
    ]
    soon = instance_fixtures.snapshot([group[0], *left], 24.9, silent=("i0",))
    assert _free(lifecycle, soon) == set()
    later = instance_fixtures.snapshot([group[0], *left], 26.1, silent=("i0",))
    assert _free(lifecycle, later) == {"i1", "i2"}


def test_leaving_head_that_refuses_connections_keeps_its_members():
    # It has stopped listening but still serves its last requests.
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[0] = instance_fixtures.members(
        key, NAMES, State.READY, State.OPEN, leaving=True
    )[0]
    refusing = instance_fixtures.snapshot(group, 20.0, silent=("i0",))
    assert _orders(lifecycle, refusing) == []
    assert _free(lifecycle, refusing) == set()
    headless = instance_fixtures.snapshot(group[1:], 24.0)
    assert _free(lifecycle, headless) == set()
    assert [name for name, _ in _orders(lifecycle, headless)] == ["i1", "i2"]
    left = [
        instance_fixtures.instance(n, staged=("small",)) for n in NAMES[1:]
    ]
    soon = instance_fixtures.snapshot(left, 29.9)
    assert _free(lifecycle, soon) == set()
    later = instance_fixtures.snapshot(left, 30.1)
    assert _free(lifecycle, later) == {"i1", "i2"}


def test_restarted_head_frees_its_members():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _orders(lifecycle, instance_fixtures.snapshot(group, 19.0))
    restarted = instance_fixtures.instance(
        "i0", started_ms=2000, staged=("small",)
    )
    seen = instance_fixtures.snapshot([restarted, *group[1:]], 20.0)
    assert _free(lifecycle, seen) == {"i0", "i1", "i2"}


def test_replaced_head_frees_its_members():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _orders(lifecycle, instance_fixtures.snapshot(group, 19.0))
    later = instance_fixtures.instance(
        "i9", started_ms=2000, staged=("small",)
    )
    seen = instance_fixtures.snapshot(
        [later, *group[1:]], 20.0, replaced=("i0",)
    )
    assert _orders(lifecycle, seen) == []
    assert _free(lifecycle, seen) == {"i9", "i1", "i2"}


def test_replaced_instance_joins_no_group():
    lifecycle = group_lifecycle.GroupLifecycle()
    found = [instance_fixtures.instance(n, staged=("small",)) for n in NAMES]
    seen = instance_fixtures.snapshot(found, 20.0, replaced=("i0",))
    assert _free(lifecycle, seen) == {"i1", "i2"}


def test_leaving_member_closes_the_group_without_cancelling():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[1] = instance_fixtures.members(
        key, NAMES, State.READY, leaving=True
    )[1]
    seen = instance_fixtures.snapshot(group, 20.0)
    assert _orders(lifecycle, seen) == [
        ("i0", reported.Close(key, cancel=False))
    ]


def test_zone_out_of_service_closes_its_groups_and_forms_none():
    """Scenario: half the groups of a large model are in the zone."""
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    spare = instance_fixtures.instance("i9")
    seen = instance_fixtures.snapshot([*group, spare], 20.0, zones_out=("a",))
    # Requests that already run there may finish.
    assert _orders(lifecycle, seen) == [
        ("i0", reported.Close(key, cancel=False))
    ]
    assert _free(lifecycle, seen) == set()
    lost = instance_fixtures.snapshot(
        group, 22.0, zones_out=("a",), silent=["i1"]
    )
    assert _orders(lifecycle, lost) == [
        ("i0", reported.Close(key, cancel=True))
    ]


def test_order_is_not_repeated_before_a_report_can_show_it():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    first = instance_fixtures.snapshot(group, 20.0, silent=("i2",))
    assert len(_orders(lifecycle, first)) == 1
    soon = instance_fixtures.snapshot(group, 20.5, silent=("i2",))
    assert _orders(lifecycle, soon) == []
    later = instance_fixtures.snapshot(
        group, 20.1 + group_lifecycle.REPEAT_ORDER_SECONDS, silent=("i2",)
    )
    assert len(_orders(lifecycle, later)) == 1


def test_joining_members_are_not_free():
    lifecycle = group_lifecycle.GroupLifecycle()
    spares = [instance_fixtures.instance(name) for name in NAMES]
    lifecycle.record_join(instance_fixtures.key(), NAMES, 10.0)
    assert _free(lifecycle, instance_fixtures.snapshot(spares, 10.5)) == set()
    assert _free(lifecycle, instance_fixtures.snapshot(spares, 12.5)) == set(
        NAMES
    )


def test_plain_services_have_no_free_instances():
    app = instance_fixtures.instance(
        "p0", service=instance_fixtures.PLAIN_SERVICE.name
    )
    lifecycle = group_lifecycle.GroupLifecycle()
    assert _free(lifecycle, instance_fixtures.snapshot([app], 10.0)) == set()


def test_unlisted_member_does_not_close_its_group():
    """Scenario: instances cannot reach the store, but receive requests."""
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    later = instance_fixtures.snapshot(group, 20.0, unlisted=["i2"])
    assert _orders(lifecycle, later) == []
    assert lifecycle.count_groups(later) == {key.model: 1}
    lost = instance_fixtures.snapshot(group, 21.0, silent=["i2"])
    assert _orders(lifecycle, lost) == [
        ("i0", reported.Close(key, cancel=True))
    ]


def test_unlisted_head_finishes_its_requests_and_then_frees_its_members():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    unlisted_head = instance_fixtures.snapshot(group, 20.0, unlisted=["i0"])
    for item in lifecycle.due_orders(unlisted_head):
        assert item.order == reported.Close(key, cancel=False)
        lifecycle.record_outcome(item, True, unlisted_head.now)
    assert not lifecycle.count_groups(unlisted_head)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    after = instance_fixtures.snapshot(closed, 20.1, unlisted=["i0"])
    assert _free(lifecycle, after) == {"i1", "i2"}


def test_unlisted_instances_are_not_free():
    lifecycle = group_lifecycle.GroupLifecycle()
    unlisted = [instance_fixtures.instance("i0", staged=("small",))]
    assert not _free(
        lifecycle, instance_fixtures.snapshot(unlisted, 1.0, unlisted=["i0"])
    )


def test_group_with_a_slow_member_is_closed_and_formed_without_it():
    """Scenario: some instances are several times slower than others."""
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    slow = instance_fixtures.snapshot(group, 20.0, slow=["i1"])
    for item in lifecycle.due_orders(slow):
        assert item.order == reported.Close(key, cancel=True)
        lifecycle.record_outcome(item, True, slow.now)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    after = instance_fixtures.snapshot(closed, 20.2, slow=["i1"])
    assert _free(lifecycle, after) == {"i0", "i2"}
    left = [instance_fixtures.instance("i1", staged=("small",))]
    assert _free(
        lifecycle, instance_fixtures.snapshot(left, 21.0, slow=["i1"])
    ) == (set())
    assert _free(lifecycle, instance_fixtures.snapshot(left, 25.0)) == {"i1"}


def test_straggler_is_much_slower_than_the_median():
    statuses = probe_status.ProbeStatusTable()
    assert not statuses.stragglers()
    for n in range(9):
        statuses.record_success(f"i{n}", 1.0, slowdown=4.0)
    assert not statuses.stragglers()
    statuses.record_success("i0", 2.0, slowdown=4.0 * probe_status.SLOW_FACTOR)
    assert statuses.stragglers() == {"i0"}


def test_cross_domain_group_closes_once_it_fits_one_domain():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    spread = [*group[:2], dataclasses.replace(group[2], domain="d1")]
    assert _orders(lifecycle, instance_fixtures.snapshot(spread, 20.0)) == []
    spare = instance_fixtures.instance("i3", domain="d0", staged=("small",))
    enough = instance_fixtures.snapshot([*spread, spare], 30.0)
    assert _orders(lifecycle, enough) == [("i0", reported.Close(key, False))]


def test_cross_domain_group_cancels_requests_after_its_drain_timeout():
    """Scenario: the next group within one domain needs its members."""
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[2] = dataclasses.replace(group[2], domain="d1")
    spare = instance_fixtures.instance("i3", domain="d0", staged=("small",))
    orders = []
    for now in (30.0, 31.6, 32.1):
        if orders:
            group[0] = instance_fixtures.members(key, NAMES, State.CLOSING)[0]
        seen = instance_fixtures.snapshot([*group, spare], now)
        orders += _orders(lifecycle, seen)
    assert [order.cancel for _, order in orders] == [False, False, True]


def test_leaving_member_never_cancels_requests():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[1] = dataclasses.replace(group[1], leaving=True)
    for now in (20.0, 25.0, 29.0):
        seen = instance_fixtures.snapshot(group, now)
        assert _orders(lifecycle, seen) == [("i0", reported.Close(key, False))]


def test_reopened_head_is_not_closed():
    """Scenario: a head is unlisted, closed, and listed again."""
    lifecycle = group_lifecycle.GroupLifecycle()
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    unlisted_head = instance_fixtures.snapshot(group, 20.0, unlisted=["i0"])
    for item in lifecycle.due_orders(unlisted_head):
        lifecycle.record_outcome(item, True, unlisted_head.now)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    listed = instance_fixtures.snapshot(closed, 23.0)
    (opening,) = lifecycle.due_orders(listed)
    assert opening.order == reported.Open(key)
    # Its report is older than the order, which may still be in flight.
    lost = instance_fixtures.snapshot(closed, 23.1, silent=["i2"])
    assert _free(lifecycle, lost) == set()
    lifecycle.record_outcome(opening, True, 23.2)
    lost = instance_fixtures.snapshot(closed, 23.3, silent=["i2"])
    assert _free(lifecycle, lost) == set()
    assert lifecycle.count_groups(listed) == {key.model: 1}


def _close_without_member(lifecycle):
    """Open a group, lose i2, and return the closed members and the key."""
    key = _open_group(lifecycle)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _close(lifecycle, group, 20.0, lost=("i2",))
    return key, instance_fixtures.members(
        key, NAMES, State.READY, orders_taken=1
    )


def test_closed_group_that_is_whole_again_is_opened():
    lifecycle = group_lifecycle.GroupLifecycle()
    key, closed = _close_without_member(lifecycle)
    seen = instance_fixtures.snapshot(closed, 21.0)
    assert _orders(lifecycle, seen) == [("i0", reported.Open(key))]


# Guards against TWO: a closed group was opened although its members had been
# ordered into another group by joins that were not answered.
@pytest.mark.parametrize("now", [21.0, 23.1, 31.0])
def test_group_is_not_opened_while_its_members_may_join_another(now):
    lifecycle = group_lifecycle.GroupLifecycle()
    key, closed = _close_without_member(lifecycle)
    later = instance_fixtures.key(epoch=2)
    lifecycle.record_join(later, ("i0", "i1", "i3"), 21.0)
    seen = instance_fixtures.snapshot(closed, now)
    assert _orders(lifecycle, seen) == []
    # They join a group whose epoch makes them reject the late joins.
    joining = now < 21.0 + group_lifecycle.JOIN_TIMEOUT_SECONDS
    assert _free(lifecycle, seen) == ({"i2"} if joining else set(NAMES))
    assert lifecycle.count_groups(seen) == ({key.model: 1} if joining else {})


# Guards against TWO: joins that are carried out late complete a group after
# its members have been ordered into a next one.
def test_group_completed_by_late_joins_is_left_instead_of_opened():
    lifecycle = group_lifecycle.GroupLifecycle()
    first, second = instance_fixtures.key(), instance_fixtures.key(epoch=2)
    lifecycle.record_join(first, NAMES, 10.0)
    lifecycle.record_join(second, ("i1", "i0", "i3"), 12.1)
    late = instance_fixtures.members(first, NAMES, State.READY, orders_taken=4)
    assert _orders(lifecycle, instance_fixtures.snapshot(late, 15.0)) == [
        ("i0", reported.Leave(first))
    ]


# Guards against TWO: the next owner of the lease opened a ready head whose
# members the last owner had ordered into another group.
def test_ready_group_of_another_controller_is_formed_again():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    found = instance_fixtures.members(key, NAMES, State.READY, orders_taken=2)
    seen = instance_fixtures.snapshot(found, 20.0)
    assert _orders(lifecycle, seen) == [("i0", reported.Leave(key))]
    # Its model gets no other group meanwhile.
    assert lifecycle.count_groups(seen) == {key.model: 1}
    found[0] = instance_fixtures.instance("i0", staged=("small",))
    left = instance_fixtures.snapshot(found, 20.4)
    assert _free(lifecycle, left) == set(NAMES)


def test_open_group_of_another_controller_is_kept():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    found = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    assert _orders(lifecycle, instance_fixtures.snapshot(found, 20.0)) == []


# Guards against PARTIAL: two groups with one key were taken for one.
def test_head_with_other_members_than_ordered_is_not_opened():
    lifecycle = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    lifecycle.record_join(key, ("i9", "i1", "i2"), 10.0)
    found = instance_fixtures.members(key, NAMES, State.READY)
    assert _orders(lifecycle, instance_fixtures.snapshot(found, 13.0)) == [
        ("i0", reported.Leave(key))
    ]
