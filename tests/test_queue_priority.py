"""Test the priority of requests while an engine is overloaded.

A burst, or the loss of other groups of a model, sends more requests to an
engine than it completes.  In order of arrival, all of them would be late.
The engine is a simulated queue with slots; there is no network.
"""

import dataclasses
import heapq

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import queue_priority
from sycamoredale.forwarding import update_exchange
from sycamoredale import ids
from tests import instance_fixtures
from tests import test_platform_codec as codec
from tests import update_fixtures

SLOTS = instance_fixtures.ENGINE.slots
USUAL_ANSWER_TOKENS = 180.0
STEPS_PER_EVENT = 7
STEP_SECONDS = 0.006 + SLOTS * 0.0001
FIRST_EVENT_SECONDS = STEPS_PER_EVENT * STEP_SECONDS
SERVICE_SECONDS = USUAL_ANSWER_TOKENS * STEP_SECONDS
# The objective of the route of these calls.
OBJECTIVE_SECONDS = 0.3
CALLER_TIMEOUT_SECONDS = 2.0


def _call(now=0.0):
    engine = dataclasses.replace(
        instance_fixtures.ENGINE,
        steps_per_event=STEPS_PER_EVENT,
        mean_answer_tokens=USUAL_ANSWER_TOKENS,
    )
    call = codec._call([("Model", "large")])
    return dataclasses.replace(
        call,
        service=dataclasses.replace(call.service, engine=engine),
        arrived_at=clock.MonotonicTime(now),
    )


def _endpoint():
    return endpoints.Endpoint(instance_fixtures.instance("i0"), "large", SLOTS)


def _priority(endpoint, now=0.0, is_continued=False):
    at = clock.MonotonicTime(now)
    return queue_priority.queue_priority_of(
        _call(now), endpoint, is_continued, at
    )


@pytest.mark.parametrize(
    "in_flight, deferred, expected",
    [
        (0, 0, queue_priority.QueuePriority.IN_TIME),
        (SLOTS - 1, 0, queue_priority.QueuePriority.IN_TIME),
        (SLOTS + 5, 0, queue_priority.QueuePriority.LATE),
        (SLOTS + 5, 5, queue_priority.QueuePriority.IN_TIME),
    ],
)
def test_call_is_late_if_the_queue_exceeds_its_objective(
    in_flight, deferred, expected
):
    endpoint = _endpoint()
    endpoint.in_flight = in_flight
    endpoint.deferred = deferred
    assert _priority(endpoint) is expected


def test_resent_call_has_the_highest_priority():
    endpoint = _endpoint()
    endpoint.in_flight = 2 * SLOTS
    assert (
        _priority(endpoint, is_continued=True)
        is queue_priority.QueuePriority.CONTINUED
    )


def test_call_without_an_engine_is_never_late():
    call = dataclasses.replace(
        _call(), service=instance_fixtures.PLAIN_SERVICE
    )
    endpoint = _endpoint()
    endpoint.in_flight = 5 * SLOTS
    priority = queue_priority.queue_priority_of(
        call, endpoint, False, clock.MonotonicTime(0.0)
    )
    assert priority is queue_priority.QueuePriority.IN_TIME


def test_deferred_requests_of_peers_are_summed():
    endpoint = _endpoint()
    endpoint.in_flight = 4
    now = clock.MonotonicTime(1.0)
    table = endpoints.EndpointTable(
        instance_table.InstanceTable(), dict, frozenset, {"i0": endpoint}
    )
    exchange = update_exchange.PeerUpdateExchange(
        ids.DaemonId("d1"), table, update_fixtures.selector("d1")
    )
    for daemon in ("d2", "d3"):
        item = peer_updates.EndpointUpdate(
            "i0", 6, -1, 0, 3, unread_tokens=30, held_tokens=40
        )
        exchange.receive(peer_updates.PeerUpdate(daemon, [item]), now)
    exchange.apply_peer_loads(now)
    assert endpoint.load(now) == pytest.approx(16.0)
    assert endpoint.undeferred_load(now) == pytest.approx(10.0)
    assert endpoint.unread_tokens_at(now) == pytest.approx(60.0)
    assert endpoint.held_tokens_at(now) == pytest.approx(80.0)
    # A total includes what this daemon has sent itself.
    counts = update_exchange._counts_without(item, item)
    assert counts == (0.0, 0.0, 0.0, 0.0)


class Engine:
    """Simulate an engine that runs queued requests by priority."""

    def __init__(self, uses_priority):
        self.uses_priority = uses_priority
        self.endpoint = _endpoint()
        self.ends = []
        self.waiting = []
        self.waits = []

    def arrive(self, now, number):
        """Queue one request and start those that get a slot until now."""
        self.advance(now)
        priority = queue_priority.QueuePriority.IN_TIME
        if self.uses_priority:
            priority = _priority(self.endpoint, now)
        is_late = priority is queue_priority.QueuePriority.LATE
        self.endpoint.in_flight += 1
        self.endpoint.deferred += is_late
        heapq.heappush(self.waiting, (is_late, number, now))
        self.advance(now)

    def advance(self, now):
        """Start queued requests as slots become free until now."""
        while self.ends and self.ends[0] <= now:
            at = heapq.heappop(self.ends)
            self.endpoint.in_flight -= 1
            self.start(at)
        self.start(now)

    def start(self, at):
        """Fill the free slots; drop requests that have waited too long."""
        while self.waiting and len(self.ends) < SLOTS:
            is_late, _, since = heapq.heappop(self.waiting)
            self.endpoint.deferred -= is_late
            self.waits.append(at - since)
            if at - since > CALLER_TIMEOUT_SECONDS:
                self.endpoint.in_flight -= 1
                continue
            heapq.heappush(self.ends, at + SERVICE_SECONDS)


@pytest.mark.parametrize("overload", [1.1, 1.3])
@pytest.mark.parametrize("seconds", [8.0, 16.0])
def test_priority_lets_more_calls_meet_their_objective_under_overload(
    overload, seconds
):
    gap = SERVICE_SECONDS / SLOTS / overload
    in_time = {}
    for uses_priority in (False, True):
        engine = Engine(uses_priority)
        count = int(seconds / gap)
        for number in range(count):
            engine.arrive(number * gap, number)
        engine.advance(seconds + 10.0)
        met = [
            w
            for w in engine.waits
            if w + FIRST_EVENT_SECONDS < OBJECTIVE_SECONDS
        ]
        in_time[uses_priority] = len(met) / count
    assert in_time[True] > in_time[False] + 0.05
    # Only the excess calls and those of the first queue are late.
    assert in_time[True] > 0.85 / overload
