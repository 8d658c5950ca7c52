"""Check the orders that reported groups get, and who is free to move."""

import dataclasses

import pytest

from sycamoredale.forwarding import instance_state
from sycamoredale.groups import group_lifecycle
from sycamoredale.groups import probe_status
from sycamoredale.groups import reported
from tests import instance_fixtures

State = instance_state.MemberState
NAMES = ("i0", "i1", "i2")


def _orders(state, snapshot):
    return [(d.instance.id, d.order) for d in state.due_orders(snapshot)]


def _free(state, snapshot):
    return {i.id for i in state.free_instances(snapshot)}


def _open_group(state, now=10.0):
    """Form and open a group of which this keeper gave all orders."""
    key = instance_fixtures.key()
    state.record_join(key, NAMES, now)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    snapshot = instance_fixtures.snapshot(ready, now)
    for item in state.due_orders(snapshot):
        state.record_outcome(item, True, snapshot.now)
    return key


def test_head_is_opened_once_all_members_have_loaded():
    key = instance_fixtures.key()
    state = group_lifecycle.GroupLifecycle()
    state.record_join(key, NAMES, 10.0)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    joining = instance_fixtures.members(key, NAMES, State.JOINING, State.READY)
    assert _orders(state, instance_fixtures.snapshot(joining, 10.1)) == []
    assert _orders(state, instance_fixtures.snapshot(ready[:2], 10.2)) == []
    orders = _orders(state, instance_fixtures.snapshot(ready, 10.3))
    assert orders == [("i0", reported.Open(key))]


def test_group_that_was_just_ordered_counts_as_standing():
    """Keep the next rounds from forming too many of another model."""
    key = instance_fixtures.key()
    state = group_lifecycle.GroupLifecycle()
    state.record_join(key, NAMES, 10.0)
    nobody_reports = instance_fixtures.snapshot([], 10.1)
    assert state.count_groups(nobody_reports) == {key.model: 1}
    joining = instance_fixtures.members(key, NAMES, State.JOINING)
    assert state.count_groups(instance_fixtures.snapshot(joining, 10.2)) == {
        key.model: 1
    }
    later = 10.0 + group_lifecycle.JOIN_TIMEOUT_SECONDS + 0.1
    assert not state.count_groups(instance_fixtures.snapshot([], later))


def test_group_without_all_members_is_never_opened_but_left():
    key = instance_fixtures.key()
    state = group_lifecycle.GroupLifecycle()
    state.record_join(key, NAMES, 10.0)
    two = instance_fixtures.members(key, NAMES, State.READY)[:2]
    later = 10.0 + group_lifecycle.JOIN_TIMEOUT_SECONDS + 0.1
    orders = _orders(state, instance_fixtures.snapshot(two, later))
    assert orders == [("i0", reported.Leave(key))]


def _close(state, group, at, lost):
    """Let the orders to close a group be taken."""
    snapshot = instance_fixtures.snapshot(group, at, silent=lost)
    given = list(state.due_orders(snapshot))
    for item in given:
        state.record_outcome(item, True, snapshot.now)
    return [(d.instance.id, d.order) for d in given]


def test_lost_member_closes_the_group_and_frees_the_rest_once_closed():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    given = _close(state, group, 20.0, lost=("i2",))
    assert given == [("i0", reported.Close(key, cancel=True))]
    # A word from before the order, which came later, says nothing.
    stale = instance_fixtures.members(key, NAMES, State.READY)
    young = instance_fixtures.snapshot(stale, 20.2, silent=("i2",))
    assert _orders(state, young) == []
    assert _free(state, young) == set()
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    sure = instance_fixtures.snapshot(closed, 20.2, silent=("i2",))
    assert _orders(state, sure) == []
    assert _free(state, sure) == {"i0", "i1"}


def test_head_that_ends_its_requests_frees_nobody_before_it_is_ready():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _close(state, group, 20.0, lost=("i2",))
    closing = instance_fixtures.members(
        key, NAMES, State.READY, State.CLOSING, orders_taken=1
    )
    later = instance_fixtures.snapshot(closing, 20.5, silent=("i2",))
    assert _free(state, later) == set()


def test_head_that_was_just_told_to_open_is_not_taken_for_closed():
    # Its report still says that it is ready while it begins to serve.
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state, now=20.0)
    ready = instance_fixtures.members(key, NAMES, State.READY)
    seen = instance_fixtures.snapshot(ready, 20.1, silent=("i2",))
    assert _free(state, seen) == set()
    assert _orders(state, seen) == [("i0", reported.Leave(key))]


@pytest.mark.parametrize("taken", [True, False])
def test_head_that_this_keeper_only_told_to_open_frees_nobody(taken):
    # Its word may be older than an opening by another keeper, or the order
    # without an answer may be carried out late.
    state = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    stale = instance_fixtures.members(key, NAMES, State.READY)
    snapshot = instance_fixtures.snapshot(stale, 20.0)
    for item in state.due_orders(snapshot):
        state.record_outcome(item, taken, snapshot.now)
    later = instance_fixtures.snapshot(stale, 25.0, silent=("i2",))
    assert _free(state, later) == set()
    assert _orders(state, later) == [("i0", reported.Leave(key))]


def test_group_that_another_keeper_opened_is_left_before_its_members_move():
    # An order to open it may still be on its way from the former keeper.
    state = group_lifecycle.GroupLifecycle()
    key = instance_fixtures.key()
    closed = instance_fixtures.members(key, NAMES, State.READY)
    seen = instance_fixtures.snapshot(closed, 20.0, silent=("i2",))
    assert _orders(state, seen) == [("i0", reported.Leave(key))]
    assert _free(state, seen) == set()
    head, *others = closed
    gone = [instance_fixtures.instance("i0", staged=("small",)), *others]
    after = instance_fixtures.snapshot(gone, 20.4, silent=("i2",))
    assert _free(state, after) == {"i0", "i1"}


def test_members_of_a_silent_head_wait_until_it_has_surely_broken():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    hidden = instance_fixtures.snapshot(group, 20.0, silent=("i0",))
    assert _orders(state, hidden) == [
        ("i1", reported.Leave(key)),
        ("i2", reported.Leave(key)),
    ]
    left = [
        instance_fixtures.instance(n, staged=("small",)) for n in NAMES[1:]
    ]
    soon = instance_fixtures.snapshot([group[0], *left], 24.9, silent=("i0",))
    assert _free(state, soon) == set()
    later = instance_fixtures.snapshot([group[0], *left], 26.1, silent=("i0",))
    assert _free(state, later) == {"i1", "i2"}


def test_leaving_head_that_takes_no_connection_keeps_its_members():
    # It has stopped listening and is still at work on its last requests.
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[0] = instance_fixtures.members(
        key, NAMES, State.READY, State.OPEN, leaving=True
    )[0]
    deaf = instance_fixtures.snapshot(group, 20.0, silent=("i0",))
    assert _orders(state, deaf) == []
    assert _free(state, deaf) == set()
    gone = instance_fixtures.snapshot(group[1:], 24.0)
    assert _free(state, gone) == set()
    assert [name for name, _ in _orders(state, gone)] == ["i1", "i2"]
    left = [
        instance_fixtures.instance(n, staged=("small",)) for n in NAMES[1:]
    ]
    soon = instance_fixtures.snapshot(left, 29.9)
    assert _free(state, soon) == set()
    later = instance_fixtures.snapshot(left, 30.1)
    assert _free(state, later) == {"i1", "i2"}


def test_head_that_started_again_frees_its_members():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _orders(state, instance_fixtures.snapshot(group, 19.0))
    reborn = instance_fixtures.instance(
        "i0", started_ms=2000, staged=("small",)
    )
    seen = instance_fixtures.snapshot([reborn, *group[1:]], 20.0)
    assert _free(state, seen) == {"i0", "i1", "i2"}


def test_head_at_whose_address_another_answers_frees_its_members():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    _orders(state, instance_fixtures.snapshot(group, 19.0))
    later = instance_fixtures.instance(
        "i9", started_ms=2000, staged=("small",)
    )
    seen = instance_fixtures.snapshot([later, *group[1:]], 20.0, ended=("i0",))
    assert _orders(state, seen) == []
    assert _free(state, seen) == {"i9", "i1", "i2"}


def test_instance_that_has_ended_joins_no_group():
    state = group_lifecycle.GroupLifecycle()
    found = [instance_fixtures.instance(n, staged=("small",)) for n in NAMES]
    seen = instance_fixtures.snapshot(found, 20.0, ended=("i0",))
    assert _free(state, seen) == {"i1", "i2"}


def test_leaving_member_ends_the_group_after_its_requests():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[1] = instance_fixtures.members(
        key, NAMES, State.READY, leaving=True
    )[1]
    seen = instance_fixtures.snapshot(group, 20.0)
    assert _orders(state, seen) == [("i0", reported.Close(key, cancel=False))]


def test_zone_out_of_service_ends_its_groups_and_forms_none():
    """Pattern: half the groups of a large model stand in the zone."""
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    spare = instance_fixtures.instance("i9")
    seen = instance_fixtures.snapshot([*group, spare], 20.0, zones_out=("a",))
    # What runs there has arrived before, and may end.
    assert _orders(state, seen) == [("i0", reported.Close(key, cancel=False))]
    assert _free(state, seen) == set()
    lost = instance_fixtures.snapshot(
        group, 22.0, zones_out=("a",), silent=["i1"]
    )
    assert _orders(state, lost) == [("i0", reported.Close(key, cancel=True))]


def test_order_is_not_repeated_before_its_answer_can_show():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    first = instance_fixtures.snapshot(group, 20.0, silent=("i2",))
    assert len(_orders(state, first)) == 1
    soon = instance_fixtures.snapshot(group, 20.5, silent=("i2",))
    assert _orders(state, soon) == []
    later = instance_fixtures.snapshot(
        group, 20.1 + group_lifecycle.REPEAT_ORDER_SECONDS, silent=("i2",)
    )
    assert len(_orders(state, later)) == 1


def test_members_under_a_join_are_not_free():
    state = group_lifecycle.GroupLifecycle()
    spares = [instance_fixtures.instance(name) for name in NAMES]
    state.record_join(instance_fixtures.key(), NAMES, 10.0)
    assert _free(state, instance_fixtures.snapshot(spares, 10.5)) == set()
    assert _free(state, instance_fixtures.snapshot(spares, 12.5)) == set(NAMES)


def test_plain_services_have_no_free_instances():
    app = instance_fixtures.instance(
        "p0", service=instance_fixtures.PLAIN_SERVICE.name
    )
    state = group_lifecycle.GroupLifecycle()
    assert _free(state, instance_fixtures.snapshot([app], 10.0)) == set()


def test_member_cut_off_from_the_store_does_not_end_its_group():
    """Pattern: instances lose the store while requests reach them."""
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    later = instance_fixtures.snapshot(group, 20.0, unlisted=["i2"])
    assert _orders(state, later) == []
    assert state.count_groups(later) == {key.model: 1}
    lost = instance_fixtures.snapshot(group, 21.0, silent=["i2"])
    assert _orders(state, lost) == [("i0", reported.Close(key, cancel=True))]


def test_unlisted_head_ends_its_requests_and_frees_its_members_once_closed():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    cut = instance_fixtures.snapshot(group, 20.0, unlisted=["i0"])
    for item in state.due_orders(cut):
        assert item.order == reported.Close(key, cancel=False)
        state.record_outcome(item, True, cut.now)
    assert not state.count_groups(cut)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    after = instance_fixtures.snapshot(closed, 20.1, unlisted=["i0"])
    assert _free(state, after) == {"i1", "i2"}


def test_unlisted_instances_are_not_free():
    state = group_lifecycle.GroupLifecycle()
    alone = [instance_fixtures.instance("i0", staged=("small",))]
    assert not _free(
        state, instance_fixtures.snapshot(alone, 1.0, unlisted=["i0"])
    )


def test_group_with_a_slow_member_ends_and_is_formed_without_it():
    """Pattern: some instances take several times as long for their work."""
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    slow = instance_fixtures.snapshot(group, 20.0, slow=["i1"])
    for item in state.due_orders(slow):
        assert item.order == reported.Close(key, cancel=True)
        state.record_outcome(item, True, slow.now)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    after = instance_fixtures.snapshot(closed, 20.2, slow=["i1"])
    assert _free(state, after) == {"i0", "i2"}
    left = [instance_fixtures.instance("i1", staged=("small",))]
    assert _free(
        state, instance_fixtures.snapshot(left, 21.0, slow=["i1"])
    ) == (set())
    assert _free(state, instance_fixtures.snapshot(left, 25.0)) == {"i1"}


def test_slow_is_who_takes_much_longer_than_most():
    contacts = probe_status.ProbeStatusTable()
    assert not contacts.stragglers()
    for n in range(9):
        contacts.record_success(f"i{n}", 1.0, slowness=4.0)
    assert not contacts.stragglers()
    contacts.record_success("i0", 2.0, slowness=4.0 * probe_status.SLOW_FACTOR)
    assert contacts.stragglers() == {"i0"}


def test_group_across_domains_ends_once_one_domain_can_hold_it():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    far = [*group[:2], dataclasses.replace(group[2], domain="d1")]
    assert _orders(state, instance_fixtures.snapshot(far, 20.0)) == []
    spare = instance_fixtures.instance("i3", domain="d0", staged=("small",))
    enough = instance_fixtures.snapshot([*far, spare], 30.0)
    assert _orders(state, enough) == [("i0", reported.Close(key, False))]


def test_slow_requests_of_a_group_across_domains_go_on_elsewhere():
    """Pattern: its members are what the next group in one domain needs."""
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    far = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    far[2] = dataclasses.replace(far[2], domain="d1")
    spare = instance_fixtures.instance("i3", domain="d0", staged=("small",))
    orders = []
    for now in (30.0, 31.6, 32.1):
        if orders:
            far[0] = instance_fixtures.members(key, NAMES, State.CLOSING)[0]
        seen = instance_fixtures.snapshot([*far, spare], now)
        orders += _orders(state, seen)
    assert [order.cancel for _, order in orders] == [False, False, True]


def test_requests_of_a_group_that_a_member_leaves_are_never_hurried():
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    group[1] = dataclasses.replace(group[1], leaving=True)
    for now in (20.0, 25.0, 29.0):
        seen = instance_fixtures.snapshot(group, now)
        assert _orders(state, seen) == [("i0", reported.Close(key, False))]


def test_head_that_was_opened_again_is_not_taken_for_closed():
    """Pattern: a head leaves the list, is closed, and is listed again."""
    state = group_lifecycle.GroupLifecycle()
    key = _open_group(state)
    group = instance_fixtures.members(key, NAMES, State.READY, State.OPEN)
    cut = instance_fixtures.snapshot(group, 20.0, unlisted=["i0"])
    for item in state.due_orders(cut):
        state.record_outcome(item, True, cut.now)
    closed = instance_fixtures.members(key, NAMES, State.READY, orders_taken=1)
    listed = instance_fixtures.snapshot(closed, 23.0)
    (opening,) = state.due_orders(listed)
    assert opening.order == reported.Open(key)
    # Its word is older than the order, which may still be on its way.
    lost = instance_fixtures.snapshot(closed, 23.1, silent=["i2"])
    assert _free(state, lost) == set()
    state.record_outcome(opening, True, 23.2)
    lost = instance_fixtures.snapshot(closed, 23.3, silent=["i2"])
    assert _free(state, lost) == set()
    assert state.count_groups(listed) == {key.model: 1}
