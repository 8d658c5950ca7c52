"""Test when reports confirm that a head is closed."""

import pytest

from sycamoredale.forwarding import instance_state
from sycamoredale.groups import head_tracker
from tests import instance_fixtures

State = instance_state.MemberState


def _head(state, orders_taken, started_ms=1000):
    membership = (instance_fixtures.key(), 0, state)
    return instance_fixtures.instance(
        "i0",
        membership=membership,
        orders_taken=orders_taken,
        started_ms=started_ms,
    )


def _opened(accepted=True):
    tracker = head_tracker.HeadTracker(10.0)
    tracker.record_open(accepted, 10.1)
    return tracker


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
def test_report_confirms_by_state_and_order_count_that_the_head_is_closed(
    head, closed
):
    tracker = _opened()
    tracker.record_close((1000, 2), 20.0, 20.1)
    assert tracker.is_closed(head) is closed


@pytest.mark.parametrize(
    ("accepted", "decided_at"),
    [(False, 20.0), (True, 10.0), (True, 10.5)],
    ids=["unanswered order to open", "before opening", "while opening"],
)
def test_order_to_close_does_not_count_if_the_head_may_open_later(
    accepted, decided_at
):
    tracker = _opened(accepted)
    tracker.record_close((1000, 2), decided_at, 21.0)
    assert not tracker.is_closed(_head(State.READY, 3))


def test_opening_again_discards_the_order_to_close():
    tracker = _opened()
    tracker.record_close((1000, 2), 20.0, 20.1)
    assert tracker.recently_closed(20.2)
    tracker.mark_opening(23.0)
    assert not tracker.recently_closed(20.2)
    assert not tracker.is_closed(_head(State.READY, 3))
    # This order was decided before the last order to open.
    tracker.record_close((1000, 3), 22.9, 23.1)
    assert not tracker.is_closed(_head(State.READY, 4))
