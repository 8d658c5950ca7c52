"""Test what is known of instances that come to the list and leave it."""

from sycamoredale.forwarding import incarnations
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.groups import reported
from sycamoredale.http import messages
from tests import instance_fixtures

KEY = instance_fixtures.key()
OPEN = (KEY, 0, instance_state.MemberState.OPEN)


def _book(*instances):
    book = instance_table.InstanceTable()
    for instance in instances:
        book.apply_listed(instance, 0.0)
    return book


def _report(started_ms=1000, orders_taken=1, membership=None):
    return instance_state.Report(
        started_ms, orders_taken, membership, ("small",)
    )


def _joining():
    return instance_state.Membership(
        KEY.group, KEY.epoch, 0, instance_state.MemberState.JOINING
    )


def test_member_that_leaves_the_list_is_remembered_with_what_it_tells():
    book = _book(instance_fixtures.instance("i0", place=OPEN))
    book.remove_listed("i0", 1.0)
    assert not book.by_id
    assert book.unlisted_by_id["i0"].instance.is_open_head
    book.apply_report("i0", _report())
    assert book.unlisted_by_id["i0"].instance.membership is None
    assert not book.by_id


def test_instance_outside_groups_is_forgotten_with_its_entry():
    book = _book(instance_fixtures.instance("i0"))
    book.remove_listed("i0", 1.0)
    assert not book.unlisted_by_id


def test_instance_that_is_listed_again_keeps_its_newest_word():
    book = _book(instance_fixtures.instance("i0", place=OPEN))
    book.remove_listed("i0", 1.0)
    book.apply_report("i0", _report(orders_taken=3))
    book.apply_listed(
        instance_fixtures.instance("i0", place=OPEN, orders_taken=2), 2.0
    )
    assert not book.unlisted_by_id
    assert book.by_id["i0"].membership is None


def test_unlisted_instances_are_bounded_in_time():
    book = _book(
        instance_fixtures.instance("i0", place=OPEN),
        instance_fixtures.instance("i1", place=OPEN),
    )
    book.remove_listed("i0", 1.0)
    book.retain(set(), 2.0 + instance_table.UNLISTED_RETENTION_SECONDS)
    assert set(book.unlisted_by_id) == {"i1"}


def test_key_of_a_group_names_its_model():
    key = reported.new_key("large", 7)
    assert key.model == "large"


def test_changes_of_one_listing_are_reported_once():
    book = instance_table.InstanceTable()
    reports = []
    book.on_change.append(lambda: reports.append(set(book.by_id)))
    found = [instance_fixtures.instance(f"i{n}") for n in range(300)]
    names = {i.id for i in found}
    book.apply_listing(found, set(), names, 0.0)
    assert reports == [names]
    book.apply_listing(found, set(), None, 1.0)
    assert len(reports) == 1
    book.apply_listing([], {"i0"}, None, 1.0)
    book.apply_listing(found[1:2], set(), {"i1"}, 1.0)
    assert reports[1:] == [names - {"i0"}, {"i1"}]


def test_later_instance_at_an_address_ends_the_one_before():
    """Pattern: all instances of a zone come back under other ids."""
    past = instance_fixtures.instance("i0", place=OPEN)
    later = instance_fixtures.instance("i1", started_ms=2000)
    book = _book(past, later)
    assert set(book.by_id) == {"i1"}
    assert book.incarnations.ended_ids() == {"i0"}
    # The list has the entry of the one before until it lapses.
    book.apply_listing([past, later], set(), {"i0", "i1"}, 1.0)
    assert set(book.by_id) == {"i1"}
    book.remove_listed("i0", 2.0)
    assert not book.unlisted_by_id


def test_unlisted_instance_ends_once_another_answers_at_its_address():
    book = _book(instance_fixtures.instance("i0", place=OPEN))
    book.remove_listed("i0", 1.0)
    assert not book.apply_report("i0", _report(2000, 1, _joining()))
    assert not book.unlisted_by_id
    assert book.incarnations.ended_ids() == {"i0"}


def test_report_of_a_later_life_is_not_taken_for_the_listed_one():
    """Pattern: an instance has started again and the list lags behind."""
    book = _book(instance_fixtures.instance("i0", place=OPEN))
    assert book.apply_report("i0", _report(2000, 1, _joining()))
    assert book.by_id["i0"].membership is None
    assert not book.by_id["i0"].staged
    assert not book.apply_report("i0", _report(2000, 2, _joining()))
    book.apply_listed(
        instance_fixtures.instance("i0", place=OPEN, orders_taken=9), 1.0
    )
    assert book.by_id["i0"].membership is None
    assert book.incarnations.ended_ids() == {"i0"}


def test_instance_that_started_again_under_its_id_is_alive_once_listed():
    book = _book(instance_fixtures.instance("i0", place=OPEN))
    book.apply_report("i0", _report(2000, 0))
    book.remove_listed("i0", 1.0)
    again = instance_fixtures.instance(
        "i0", started_ms=2000, staged=("small",)
    )
    book.apply_listed(again, 2.0)
    assert book.by_id == {"i0": again}
    assert not book.incarnations.ended_ids()


def test_instance_that_has_moved_does_not_end_with_its_old_address():
    moved_to = messages.Address("127.0.0.1", 2)
    book = _book(
        instance_fixtures.instance("i0"),
        instance_fixtures.instance("i0", started_ms=2000, address=moved_to),
        instance_fixtures.instance("i1", started_ms=3000),
    )
    assert set(book.by_id) == {"i0", "i1"}


def test_ended_instances_are_bounded_in_number():
    known = incarnations.IncarnationTracker()
    for number in range(incarnations.MAX_ENDED + 5):
        known.record_ended(f"i{number}", 1)
    assert len(known.ended_ids()) == incarnations.MAX_ENDED
    assert not known.has_ended("i4") and known.has_ended("i5")
