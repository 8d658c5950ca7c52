"""Test the selection of endpoints with stale load data.

With many daemons, updates are rare, and daemons with the same stale data may
send their requests to the same endpoint.  Each simulated daemon has its own
requests and the last update of each peer.  There is no network; an engine is
a count of requests that end after some time.
"""

import dataclasses
import heapq
import random

import pytest

from sycamoredale import clock
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import update_exchange
from sycamoredale import ids
from tests import instance_fixtures
from tests import test_platform_codec as codec

SLOTS = instance_fixtures.ENGINE.slots
SECONDS = 8.0
MEAN_SERVICE_SECONDS = 0.85
# Share of the requests that are sent to an endpoint without a free slot.
MAX_SHARE_AT_FULL_ENDPOINTS = 0.01


@dataclasses.dataclass
class _Daemon:
    selector: endpoint_selection.EndpointSelector
    by_id: dict
    sent_load: dict = dataclasses.field(default_factory=dict)


def _daemon(count, seed):
    by_id = {
        f"i{n}": endpoints.Endpoint(
            instance_fixtures.instance(f"i{n}"), "large", SLOTS
        )
        for n in range(count)
    }
    table = type("Table", (), {})()
    table.for_model = lambda service, model: list(by_id.values())
    instances = type("Instances", (), {})()
    instances.is_cold = lambda instance, now: False
    selector = endpoint_selection.EndpointSelector(
        table, instances, ids.ZoneName("a"), None, random.Random(seed)
    )
    return _Daemon(selector, by_id)


def _call(now):
    call = codec._call([("Model", "large")])
    return dataclasses.replace(call, arrived_at=now)


def _send_update(sender, daemons, now):
    """Send the load of one daemon to all others, which sum the loads."""
    for name, endpoint in sender.by_id.items():
        change = endpoint.in_flight - sender.sent_load.get(name, 0)
        sender.sent_load[name] = endpoint.in_flight
        for peer in daemons:
            if peer is not sender:
                endpoint_of_peer = peer.by_id[name]
                endpoint_of_peer.set_peer_load(
                    endpoint_of_peer.peer_load + change, now
                )
            else:
                endpoint.peer_load_at = now


def _share_at_full_endpoints(daemon_count, endpoint_count, per_second):
    sampler = random.Random(3)
    interval = update_exchange.interval_seconds(daemon_count)
    daemons = [_daemon(endpoint_count, n) for n in range(daemon_count)]
    updates = [(sampler.uniform(0, interval), n) for n in range(daemon_count)]
    heapq.heapify(updates)
    ends = []
    totals = dict.fromkeys(daemons[0].by_id, 0)
    now, at_full = 0.0, []
    while now < SECONDS:
        now += sampler.expovariate(per_second)
        while ends and ends[0][0] <= now:
            _, number, name = heapq.heappop(ends)
            daemons[number].by_id[name].in_flight -= 1
            totals[name] -= 1
        while updates[0][0] <= now:
            at, number = heapq.heappop(updates)
            _send_update(daemons[number], daemons, clock.MonotonicTime(at))
            heapq.heappush(updates, (at + interval, number))
        number = sampler.randrange(daemon_count)
        selector = daemons[number].selector
        at = clock.MonotonicTime(now)
        name = selector.select(_call(at), set(), at, allow_full=True).id
        at_full.append(totals[name] >= SLOTS)
        totals[name] += 1
        daemons[number].by_id[name].in_flight += 1
        seconds = sampler.uniform(0.2, 1.8) * MEAN_SERVICE_SECONDS
        heapq.heappush(ends, (now + seconds, number, name))
    return sum(at_full) / len(at_full)


@pytest.mark.parametrize(
    "daemon_count, endpoint_count, per_second",
    [(9, 9, 44.0), (62, 40, 211.0), (62, 8, 40.0)],
)
def test_daemons_with_stale_loads_spread_their_requests(
    daemon_count, endpoint_count, per_second
):
    share = _share_at_full_endpoints(daemon_count, endpoint_count, per_second)
    assert share <= MAX_SHARE_AT_FULL_ENDPOINTS


def test_selecting_the_least_loaded_of_all_fills_single_endpoints(monkeypatch):
    """Check that the test above fails without sampling."""
    monkeypatch.setattr(endpoint_selection, "SAMPLED_ENDPOINTS", 1000)
    share = _share_at_full_endpoints(62, 40, 211.0)
    assert share > 2 * MAX_SHARE_AT_FULL_ENDPOINTS


def test_endpoint_with_capacity_is_found_if_the_sample_is_full():
    daemon = _daemon(10, seed=1)
    for name, endpoint in daemon.by_id.items():
        endpoint.in_flight = 0 if name == "i7" else 2 * SLOTS
    now = clock.MonotonicTime(1.0)
    for _ in range(20):
        assert daemon.selector.select(_call(now), set(), now).id == "i7"
