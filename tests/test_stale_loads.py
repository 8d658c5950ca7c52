"""Test where requests go while the news of loads are old.

Pattern: many daemons before many endpoints, so that news are told rarely.
Each daemon knows its own requests and what its peers told last.  No network
is used; the engine is a count of requests that end after a while.
"""

import dataclasses
import heapq
import random

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import peer_updates
from sycamoredale import ids
from tests import instance_fixtures
from tests import test_platform_codec as codec

SLOTS = instance_fixtures.ENGINE.slots
SECONDS = 8.0
MEAN_SERVICE_SECONDS = 0.85
# Of the requests that find an endpoint with all of its slots taken.
MOST_AT_FULL_ENDPOINTS = 0.01


@dataclasses.dataclass
class _Daemon:
    selector: endpoint_selection.EndpointSelector
    by_id: dict
    told: dict = dataclasses.field(default_factory=dict)


def _daemon(count, seed):
    by_id = {
        f"i{n}": endpoints.Endpoint(
            instance_fixtures.instance(f"i{n}"), "large", SLOTS
        )
        for n in range(count)
    }
    book = type("Book", (), {})()
    book.for_model = lambda service, model: list(by_id.values())
    instances = type("Instances", (), {})()
    instances.is_cold = lambda instance, now: False
    selector = endpoint_selection.EndpointSelector(
        book, instances, ids.ZoneName("a"), None, random.Random(seed)
    )
    return _Daemon(selector, by_id)


def _call(now):
    call = codec._call([("Model", "large")])
    return dataclasses.replace(call, arrived_at=now)


def _tell(teller, daemons, now):
    """Let all daemons know what one has; sums are kept by its peers."""
    for name, endpoint in teller.by_id.items():
        change = endpoint.in_flight - teller.told.get(name, 0)
        teller.told[name] = endpoint.in_flight
        for peer in daemons:
            if peer is not teller:
                known = peer.by_id[name]
                known.set_peer_load(known.peer_load + change, now)
            else:
                endpoint.peer_load_at = now


def _share_at_full_endpoints(daemon_count, endpoint_count, per_second):
    sampler = random.Random(3)
    interval = peer_updates.interval_seconds(daemon_count)
    daemons = [_daemon(endpoint_count, n) for n in range(daemon_count)]
    tells = [(sampler.uniform(0, interval), n) for n in range(daemon_count)]
    heapq.heapify(tells)
    ends = []
    totals = dict.fromkeys(daemons[0].by_id, 0)
    now, found = 0.0, []
    while now < SECONDS:
        now += sampler.expovariate(per_second)
        while ends and ends[0][0] <= now:
            _, number, name = heapq.heappop(ends)
            daemons[number].by_id[name].in_flight -= 1
            totals[name] -= 1
        while tells[0][0] <= now:
            at, number = heapq.heappop(tells)
            _tell(daemons[number], daemons, clock.MonotonicTime(at))
            heapq.heappush(tells, (at + interval, number))
        number = sampler.randrange(daemon_count)
        selector = daemons[number].selector
        at = clock.MonotonicTime(now)
        name = selector.select(_call(at), set(), at, allow_full=True).id
        found.append(totals[name] >= SLOTS)
        totals[name] += 1
        daemons[number].by_id[name].in_flight += 1
        seconds = sampler.uniform(0.2, 1.8) * MEAN_SERVICE_SECONDS
        heapq.heappush(ends, (now + seconds, number, name))
    return sum(found) / len(found)


@pytest.mark.parametrize(
    "daemon_count, endpoint_count, per_second",
    [(9, 9, 44.0), (62, 40, 211.0), (62, 8, 40.0)],
)
def test_daemons_with_old_news_do_not_crowd_one_endpoint(
    daemon_count, endpoint_count, per_second
):
    share = _share_at_full_endpoints(daemon_count, endpoint_count, per_second)
    assert share <= MOST_AT_FULL_ENDPOINTS


def test_crowding_shows_where_each_chooses_the_least_loaded(monkeypatch):
    """Check that the test above can fail."""
    monkeypatch.setattr(endpoint_selection, "SAMPLED_ENDPOINTS", 1000)
    share = _share_at_full_endpoints(62, 40, 211.0)
    assert share > 2 * MOST_AT_FULL_ENDPOINTS


def test_full_endpoints_of_a_draw_do_not_hide_one_with_room():
    daemon = _daemon(10, seed=1)
    for name, endpoint in daemon.by_id.items():
        endpoint.in_flight = 0 if name == "i7" else 2 * SLOTS
    now = clock.MonotonicTime(1.0)
    for _ in range(20):
        assert daemon.selector.select(_call(now), set(), now).id == "i7"
