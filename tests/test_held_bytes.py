"""Test how the bytes that are held at once are divided."""

import pytest

from sycamoredale.http import held_bytes
from sycamoredale.observability import exposition

LIMIT_BYTES = 1_200_000
STEP_BYTES = 10_000


def _fill(held, owners):
    """Let owners grow in turn until each is denied; return their sizes."""
    reservations = [held.reserve(owner) for owner in owners]
    growing = list(reservations)
    while growing:
        growing = [r for r in growing if r.resize(r.size + STEP_BYTES)]
    return [r.size for r in reservations]


@pytest.mark.parametrize("owners, size", [("a", 600_000), ("ab", 400_000)])
def test_owners_leave_as_much_as_each_of_them_holds(owners, size):
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    assert _fill(held, owners) == [size] * len(owners)
    assert held.reserve("z").resize(LIMIT_BYTES // 6)


def test_reservations_of_one_owner_count_together():
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    assert sum(_fill(held, "aaa")) == LIMIT_BYTES // 2


def test_without_an_owner_only_the_sum_counts():
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    assert _fill(held, [None]) == [LIMIT_BYTES]


def test_little_is_always_granted_and_counted():
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    _fill(held, [None])
    small = held.reserve("a")
    assert small.resize(held_bytes.SMALL_BYTES)
    assert held.total == LIMIT_BYTES + held_bytes.SMALL_BYTES
    assert not small.resize(held_bytes.SMALL_BYTES + 1)
    assert small.size == held_bytes.SMALL_BYTES


def test_all_is_released_at_an_error():
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    with pytest.raises(KeyError):
        with held.reserve("a") as reservation:
            assert reservation.resize(STEP_BYTES)
            raise KeyError
    assert held.total == 0
    assert _fill(held, "a") == [LIMIT_BYTES // 2]


def test_moved_bytes_outlive_the_block():
    held = held_bytes.HeldBytes(LIMIT_BYTES)
    with held.reserve("a") as reservation:
        assert reservation.resize(STEP_BYTES)
        moved = reservation.move()
    assert held.total == STEP_BYTES
    moved.release()
    assert held.total == 0


def test_refusals_and_held_bytes_are_in_the_metrics():
    registry = exposition.MetricRegistry()
    held = held_bytes.HeldBytes(LIMIT_BYTES, "answers", registry)
    with held.reserve("a") as reservation:
        assert reservation.resize(STEP_BYTES)
        assert not reservation.resize(LIMIT_BYTES)
        held.set_gauge()
    text = registry.render()
    assert 'held_bytes{kind="answers"} 10000\n' in text
    assert 'held_bytes_refusals_total{kind="answers"} 1\n' in text
