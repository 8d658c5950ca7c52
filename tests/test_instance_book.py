"""Test what is known of instances that come to the list and leave it."""

from sycamoredale.forwarding import listing
from sycamoredale.groups import reported
from tests import engines_site

KEY = engines_site.key()
OPEN = (KEY, 0, listing.MemberState.OPEN)


def _book(*instances):
    book = listing.InstanceBook()
    for instance in instances:
        book.note(instance, 0.0)
    return book


def _report(started_ms=1000, orders_taken=1, membership=None):
    return listing.Report(started_ms, orders_taken, membership, ("small",))


def test_member_that_leaves_the_list_is_remembered_with_what_it_tells():
    book = _book(engines_site.instance("i0", place=OPEN))
    book.remove("i0", 1.0)
    assert not book.by_id
    assert book.unlisted_by_id["i0"].instance.is_open_head
    book.note_report("i0", _report())
    assert book.unlisted_by_id["i0"].instance.membership is None
    assert not book.by_id


def test_instance_outside_groups_is_forgotten_with_its_entry():
    book = _book(engines_site.instance("i0"))
    book.remove("i0", 1.0)
    assert not book.unlisted_by_id


def test_instance_that_is_listed_again_keeps_its_newest_word():
    book = _book(engines_site.instance("i0", place=OPEN))
    book.remove("i0", 1.0)
    book.note_report("i0", _report(orders_taken=3))
    book.note(engines_site.instance("i0", place=OPEN, orders_taken=2), 2.0)
    assert not book.unlisted_by_id
    assert book.by_id["i0"].membership is None


def test_unlisted_instances_are_bounded_in_time():
    book = _book(
        engines_site.instance("i0", place=OPEN),
        engines_site.instance("i1", place=OPEN),
    )
    book.remove("i0", 1.0)
    book.keep_only(set(), 2.0 + listing.UNLISTED_SECONDS)
    assert set(book.unlisted_by_id) == {"i1"}


def test_key_of_a_group_names_its_model():
    key = reported.new_key("large", 7)
    assert key.model == "large"


def test_changes_of_one_listing_are_reported_once():
    book = listing.InstanceBook()
    reports = []
    book.on_change.append(lambda: reports.append(set(book.by_id)))
    found = [engines_site.instance(f"i{n}") for n in range(300)]
    names = {i.id for i in found}
    book.note_listing(found, set(), names, 0.0)
    assert reports == [names]
    book.note_listing(found, set(), None, 1.0)
    assert len(reports) == 1
    book.note_listing([], {"i0"}, None, 1.0)
    book.note_listing(found[1:2], set(), {"i1"}, 1.0)
    assert reports[1:] == [names - {"i0"}, {"i1"}]
