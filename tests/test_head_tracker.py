"""Test when a head is surely closed, step by step."""

import pytest

from sycamoredale.forwarding import instance_state
from sycamoredale.groups import head_tracker
from tests import instance_fixtures

State = instance_state.MemberState


def _head(state, orders_taken, started_ms=1000):
    place = (instance_fixtures.key(), 0, state)
    return instance_fixtures.instance(
        "i0", place=place, orders_taken=orders_taken, started_ms=started_ms
    )


def _opened(taken=True):
    record = head_tracker.HeadTracker(10.0)
    record.record_open(taken, 10.1)
    return record


@pytest.mark.parametrize(
    ("head", "closed"),
    [
        (_head(State.READY, 3), True),
        (_head(State.READY, 2), False),
        (_head(State.CLOSING, 3), False),
        (_head(State.OPEN, 3), False),
        (instance_fixtures.instance("i0", orders_taken=3), False),
    ],
)
def test_head_says_by_state_and_count_that_it_is_closed(head, closed):
    record = _opened()
    record.record_close((1000, 2), 20.0, 20.1)
    assert record.is_closed(head) is closed


@pytest.mark.parametrize(
    ("taken", "decided_at"),
    [(False, 20.0), (True, 10.0), (True, 10.5)],
    ids=["open may come late", "before opening", "while opening"],
)
def test_order_to_close_alone_does_not_make_it_sure(taken, decided_at):
    record = _opened(taken)
    record.record_close((1000, 2), decided_at, 21.0)
    assert not record.is_closed(_head(State.READY, 3))


def test_opening_again_ends_the_closing():
    record = _opened()
    record.record_close((1000, 2), 20.0, 20.1)
    assert record.recently_closed(20.2)
    record.mark_opening(23.0)
    assert not record.recently_closed(20.2)
    assert not record.is_closed(_head(State.READY, 3))
    # Its order was decided before the last one to open.
    record.record_close((1000, 3), 22.9, 23.1)
    assert not record.is_closed(_head(State.READY, 4))
