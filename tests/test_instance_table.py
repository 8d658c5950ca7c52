"""Test the state of instances that join and leave the instance list."""

from sycamoredale.forwarding import incarnations
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import reported
from sycamoredale.http import messages
from tests import instance_fixtures

KEY = instance_fixtures.key()
OPEN = (KEY, 0, instance_state.MemberState.OPEN)


def _table(*instances):
    table = instance_table.InstanceTable()
    for instance in instances:
        table.apply_listed(instance, 0.0)
    return table


def _report(started_ms=1000, orders_taken=1, membership=None):
    return instance_state.Report(
        started_ms, orders_taken, membership, ("small",)
    )


def _joining():
    return instance_state.Membership(
        KEY.group, KEY.epoch, 0, instance_state.MemberState.JOINING
    )


def test_unlisted_group_member_is_kept_and_updated_by_reports():
    table = _table(instance_fixtures.instance("i0", membership=OPEN))
    table.remove_listed("i0", 1.0)
    assert not table.by_id
    assert table.unlisted_by_id["i0"].instance.is_open_head
    table.apply_report("i0", _report())
    assert table.unlisted_by_id["i0"].instance.membership is None
    assert not table.by_id


def test_unlisted_instance_without_group_is_removed():
    table = _table(instance_fixtures.instance("i0"))
    table.remove_listed("i0", 1.0)
    assert not table.unlisted_by_id


def test_instance_that_is_listed_again_keeps_its_newest_state():
    table = _table(instance_fixtures.instance("i0", membership=OPEN))
    table.remove_listed("i0", 1.0)
    table.apply_report("i0", _report(orders_taken=3))
    table.apply_listed(
        instance_fixtures.instance("i0", membership=OPEN, orders_taken=2), 2.0
    )
    assert not table.unlisted_by_id
    assert table.by_id["i0"].membership is None


def test_unlisted_instances_expire():
    table = _table(
        instance_fixtures.instance("i0", membership=OPEN),
        instance_fixtures.instance("i1", membership=OPEN),
    )
    table.remove_listed("i0", 1.0)
    table.retain(set(), 2.0 + instance_table.UNLISTED_RETENTION_SECONDS)
    assert set(table.unlisted_by_id) == {"i1"}


def test_group_key_contains_the_model():
    key = reported.new_key("large", 7)
    assert key.model == "large"


def test_changes_of_one_listing_are_reported_once():
    table = instance_table.InstanceTable()
    reports = []
    table.on_change.append(lambda: reports.append(set(table.by_id)))
    listed = [instance_fixtures.instance(f"i{n}") for n in range(300)]
    names = {i.id for i in listed}
    table.apply_listing(listed, set(), names, 0.0)
    assert reports == [names]
    table.apply_listing(listed, set(), None, 1.0)
    assert len(reports) == 1
    table.apply_listing([], {"i0"}, None, 1.0)
    table.apply_listing(listed[1:2], set(), {"i1"}, 1.0)
    assert reports[1:] == [names - {"i0"}, {"i1"}]


def test_later_instance_at_an_address_ends_its_predecessor():
    """All instances of a zone restart with new ids at their old addresses."""
    predecessor = instance_fixtures.instance("i0", membership=OPEN)
    later = instance_fixtures.instance("i1", started_ms=2000)
    table = _table(predecessor, later)
    assert set(table.by_id) == {"i1"}
    assert not table.incarnations.ended_ids()
    table.record_replaced(table.contested()[0])
    assert set(table.by_id) == {"i1"}
    assert table.incarnations.ended_ids() == {"i0"}
    # The list shows the predecessor until its entry expires.
    table.apply_listing([predecessor, later], set(), {"i0", "i1"}, 1.0)
    assert set(table.by_id) == {"i1"}
    table.remove_listed("i0", 2.0)
    assert not table.unlisted_by_id


def test_unlisted_instance_ends_when_a_later_one_reports_at_its_address():
    table = _table(instance_fixtures.instance("i0", membership=OPEN))
    table.remove_listed("i0", 1.0)
    assert not table.apply_report("i0", _report(2000, 1, _joining()))
    assert not table.unlisted_by_id
    assert table.incarnations.ended_ids() == {"i0"}


def test_report_of_a_later_incarnation_removes_the_membership():
    """An instance has restarted, and the list still shows its predecessor."""
    table = _table(instance_fixtures.instance("i0", membership=OPEN))
    assert table.apply_report("i0", _report(2000, 1, _joining()))
    assert table.by_id["i0"].membership is None
    assert not table.by_id["i0"].staged
    assert not table.apply_report("i0", _report(2000, 2, _joining()))
    table.apply_listed(
        instance_fixtures.instance("i0", membership=OPEN, orders_taken=9), 1.0
    )
    assert table.by_id["i0"].membership is None
    assert table.incarnations.ended_ids() == {"i0"}


def test_restarted_instance_with_its_old_id_is_usable_once_listed():
    table = _table(instance_fixtures.instance("i0", membership=OPEN))
    table.apply_report("i0", _report(2000, 0))
    table.remove_listed("i0", 1.0)
    again = instance_fixtures.instance(
        "i0", started_ms=2000, staged=("small",)
    )
    table.apply_listed(again, 2.0)
    assert table.by_id == {"i0": again}
    assert not table.incarnations.ended_ids()


def test_instance_with_a_new_address_survives_reuse_of_its_old_one():
    moved_to = messages.Address("127.0.0.1", 2)
    table = _table(
        instance_fixtures.instance("i0"),
        instance_fixtures.instance("i0", started_ms=2000, address=moved_to),
        instance_fixtures.instance("i1", started_ms=3000),
    )
    assert set(table.by_id) == {"i0", "i1"}


# Guards against DRAIN after a drill: the copy listed an instance as
# ready that had said that it leaves.
def test_leaving_instance_stays_leaving_though_its_older_entry_is_listed():
    table = _table(instance_fixtures.instance("i0"))
    table.apply_listed(instance_fixtures.instance("i0", leaving=True), 1.0)
    table.apply_listed(instance_fixtures.instance("i0"), 2.0)
    assert table.by_id["i0"].leaving
    table.apply_listed(instance_fixtures.instance("i0", started_ms=2000), 3.0)
    assert not table.by_id["i0"].leaving


def test_number_of_ended_instances_is_limited():
    tracker = incarnations.IncarnationTracker()
    for number in range(incarnations.MAX_ENDED + 5):
        tracker.record_ended(f"i{number}", 1)
    assert len(tracker.ended_ids()) == incarnations.MAX_ENDED
    assert not tracker.has_ended("i4") and tracker.has_ended("i5")
