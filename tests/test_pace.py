"""Test what is learned of slow endpoints, without a network.

Load: customer A, whose endpoints send an event in 54 ms.  Two of them, or two
fifths, become slower by a factor of 4 or 12 for a while.
"""

import dataclasses

import msgspec
import pytest

from sycamoredale import clock
from sycamoredale.forwarding import peer_updates
from sycamoredale.scheduling import pace
from tests import test_forwarder
from tests import test_queue_priority as queue_tests
from tests import test_stale_loads

PAUSE = 0.054
PAUSES = pace.Pauses(10, PAUSE - 0.006, 0.001)
BEGAN_AT = clock.MonotonicTime(100.0)


def _meter(endpoint, delay=0.0):
    return pace.StreamMeter(
        endpoint, PAUSES, lambda now: 6.0, lambda *_: delay
    )


def _play(pause_of, seconds, streams):
    """Return the changes of an endpoint and its greatest slowdown.

    `pause_of` returns the pause of an event that begins at a time.
    """
    endpoint, changes, slowest = pace.EndpointPace(), [], 1.0
    meters = [(n * 0.01, _meter(endpoint)) for n in range(streams)]
    for step in range(int(seconds / 0.01)):
        now = clock.MonotonicTime(BEGAN_AT + step * 0.01)
        for number, (due, meter) in enumerate(meters):
            if due <= now - BEGAN_AT:
                meter.record_events(1, now)
                meters[number] = due + pause_of(due), meter
        if (change := endpoint.update(now)) is not None:
            changes.append((change, now - BEGAN_AT))
        slowest = max(slowest, endpoint.slowdown)
    return changes, slowest


# Guards against endpoints that are taken for slow since they read prompts: in
# each window one pause of the longest kind, or some short ones.
@pytest.mark.parametrize("streams", [1, 5])
@pytest.mark.parametrize("every, extra", [(2.0, 0.33), (0.5, 0.1)])
def test_pauses_for_prompts_are_no_slowdown(every, extra, streams):
    def pause_of(at):
        return PAUSE + (extra if every - at % every < PAUSE else 0.0)

    assert _play(pause_of, 20.0, streams) == ([], 1.0)


@pytest.mark.parametrize("factor", [4, 12])
def test_slow_endpoint_is_found_and_recovers(factor):
    def pause_of(at):
        return PAUSE * (factor if 5.0 <= at < 15.0 else 1)

    [began, ended], slowest = _play(pause_of, 25.0, streams=2)
    assert began[0] is pace.Change.BEGAN and 5.0 < began[1] < 7.2
    assert ended[0] is pace.Change.ENDED and 15.0 < ended[1] < 18.0
    assert slowest == pytest.approx(factor, rel=0.1)


@pytest.mark.parametrize("ratio, recovers", [(1.0, True), (4.0, False)])
def test_endpoint_with_few_samples_recovers(ratio, recovers):
    """Guard against trial calls for ever where answers are short.

    An answer of four events is one sample, and calls come every second.
    """
    endpoint = pace.EndpointPace()
    for _ in range(4):
        endpoint.record(4.0, BEGAN_AT)
    assert endpoint.update(BEGAN_AT) is pace.Change.BEGAN
    changes = set()
    for second in range(1, 30):
        now = clock.MonotonicTime(BEGAN_AT + second)
        endpoint.record(ratio, now)
        changes.add(endpoint.update(now))
    assert (pace.Change.ENDED in changes) is recovers


def test_events_of_one_read_are_one_sample_and_own_delays_are_none():
    for idle, delay, expected in ((0, 0, 1), (0.5, 0, 0), (0, 0.1, 0)):
        endpoint = pace.EndpointPace()
        meter = _meter(endpoint, delay)
        meter.record_events(1, BEGAN_AT)
        meter.record_idle(idle)
        now = clock.MonotonicTime(BEGAN_AT + 8 * PAUSE)
        meter.record_events(8, now)
        assert endpoint.own(now).samples == expected
        assert endpoint.own(now).mean == pytest.approx(1.0)


# Guards against streams that are not measured in a running daemon.
def test_stream_is_measured():
    endpoint = test_forwarder.Endpoint("i0")
    endpoint.event_seconds = 0.1
    site = test_forwarder.Site(endpoint)
    site.forwarder = dataclasses.replace(
        site.forwarder, measures_pace=lambda: True
    )
    site.run()
    own = site.endpoint_table.by_id["i0"].pace.own(clock.monotonic())
    # The engine of the fixtures sends an event in 6 ms.
    assert own.samples and own.mean > 10.0


# Guards against a slow endpoint that seems to be the best, as it is idle.
@pytest.mark.parametrize(
    "factor, load, least, most",
    [(0, 4, 0.1, 0.3), (4, 4, 0, 0), (12, 4, 0, 0), (4, 26, 0.9, 1)]
    # Was slow, and nothing recent is known: trial calls only.
    + [(1, 4, 0.005, 0.1), (1, 26, 0.05, 0.25)],
)
def test_slow_endpoint_gets_little_until_others_are_full(
    factor, load, least, most
):
    daemon = test_stale_loads._daemon(10, seed=4)
    for endpoint in daemon.by_id.values():
        endpoint.in_flight = load
    slow = daemon.by_id["i3"]
    slow.pace.slowdown, slow.pace.is_slow = max(1.0, factor), factor > 0
    selected = 0
    for number in range(300):
        slow.in_flight = number % 2
        now = clock.MonotonicTime(number)
        call = test_stale_loads._call(now)
        selected += daemon.selector.select(call, set(), now) is slow
    assert least <= selected / 300 <= most
    late = queue_tests.queue_priority.QueuePriority.LATE
    assert (queue_tests._priority(slow) is late) == (factor == 12)


# Guards against builds that cannot read each other while machines change.
def test_builds_without_pace_read_and_are_read():
    item = peer_updates.EndpointUpdate("i0", 3, 20, 0, 1, 5.0, 50, 4, 9)
    update = peer_updates.PeerUpdate("d1", [item])
    rows = msgspec.msgpack.decode(peer_updates.encode(update))
    # The pace is followed by the fields of later builds.
    assert rows[1][0][7:9] == [4, 9]
    del rows[1][0][7:]
    [old] = peer_updates.decode(msgspec.msgpack.encode(rows)).endpoints
    assert (old.limit_ms_ago, old.pace_samples, old.pace_total) == (50, 0, 0.0)
