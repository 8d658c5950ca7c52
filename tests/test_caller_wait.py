"""Test the estimate of a caller's wait in the crowd after an outage."""

import dataclasses

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import queue_priority
from sycamoredale.scheduling import caller_wait
from tests import instance_fixtures
from tests import test_platform_codec as codec

NOW = clock.MonotonicTime(100.0)


def _estimates(limits, timeout=6.0, seconds_apart=0.01):
    waits = caller_wait.CallerWaits()
    return [
        waits.estimate_seconds(
            "r", limit, timeout, clock.MonotonicTime(NOW + n * seconds_apart)
        )
        for n, limit in enumerate(limits)
    ]


def test_callers_that_come_back_are_recognized():
    """Guard against a queue in which the returning calls delay the new."""
    limits = [6.0, 5.3, 5.7, 4.2, 5.9, 3.0]
    waits = _estimates(limits)
    assert [w > 0.25 for w in waits] == [False] * 3 + [True, False, True]
    # At most the time that is missing to the longest limit.
    assert waits[3] <= 6.0 - 4.2


def test_short_limits_of_all_callers_are_no_wait():
    """Guard against a route whose callers all wait less than its timeout."""
    assert not any(_estimates([2.0, 1.9, 1.8, 2.0], timeout=8.0))


def test_limit_over_the_timeout_makes_no_other_call_late():
    assert _estimates([30.0, 6.1, 5.5])[-1] == 0.0


def test_longer_limit_is_forgotten():
    limits = [6.0] + [3.0] * 30
    assert _estimates(limits, timeout=60.0, seconds_apart=1.0)[-1] == 0.0


def test_callers_with_short_limits_do_not_wait_for_good():
    """Guard against an organisation whose calls always queue behind others.

    Callers that waited for the daemon's start are gone after a timeout.
    """
    waits = _estimates([6.0, 3.0] * 20, seconds_apart=0.5)
    assert waits[1] > 0 and waits[9] > 0
    assert not any(waits[12:])


def test_routes_that_are_gone_are_forgotten():
    waits = caller_wait.CallerWaits()
    waits.estimate_seconds("old", 6.0, 6.0, NOW)
    waits.retain(frozenset(("new",)))
    assert waits.estimate_seconds("old", 3.0, 6.0, NOW) == 0.0


@pytest.mark.parametrize("waited, expected", [(0.0, "in_time"), (9.0, "late")])
def test_call_of_a_waiting_caller_is_queued_behind_others(waited, expected):
    call = dataclasses.replace(
        codec._call([("Model", "large")]),
        arrived_at=NOW,
        waited_seconds=waited,
    )
    endpoint = endpoints.Endpoint(
        instance_fixtures.instance("i1"),
        "large",
        instance_fixtures.ENGINE.slots,
    )
    priority = queue_priority.queue_priority_of_send
    assert priority(call, endpoint, False, NOW).value == expected
    assert priority(call, endpoint, True, NOW).value == "continued"
