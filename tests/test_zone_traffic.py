"""Test what operators see of calls that leave their zone.

The endpoints listen on loopback; the loads of the peers, of which there are
none, are renewed as the total of a hub does.
"""

import collections
import dataclasses
import itertools

import curio

from sycamoredale import clock
from sycamoredale.forwarding import daemon_subsets
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import server
from sycamoredale.http import sockets
from sycamoredale.requests import poison
from sycamoredale.scheduling import endpoint_subsets
from tests import test_daemon_subsets
from tests import test_forwarder

CALLERS = 6
RETURN_SECONDS = 10.0


class ZoneEndpoint(test_forwarder.Endpoint):
    """Belong to the zone that its name begins with."""

    @property
    def zone(self):
        """Return the zone."""
        return self.name[0]

    async def restore(self):
        """Listen at the same address again."""
        self.server = server.Server(self._handle)
        self.server.bind(self.address)
        await self.server.start()


async def _lose(endpoints):
    """End all connections at once, as machines without power do."""
    for endpoint in endpoints:
        await endpoint.server._close_listener()
    connections = [c for e in endpoints for c in e.server._connections]
    # A request that still reaches one of them has run once.
    for connection in connections:
        sockets.shut_down(connection.sock, curio.socket.SHUT_RDWR)
    for connection in connections:
        await connection.task.cancel(blocking=False)


def _site(*endpoints):
    members = test_daemon_subsets.members("ab")
    subsets = daemon_subsets.DaemonSubsets(members, lambda: True)
    return test_forwarder.Site(*endpoints, subsets=subsets)


def _renew_loads(site):
    for endpoint in site.endpoint_table.by_id.values():
        endpoint.set_peer_load(0.0, clock.monotonic())


def _calls_by_zone(site):
    counts = site.forwarder.selector.metrics.counts
    return collections.Counter(
        {
            zone: count
            for (name, zone), count in counts.items()
            if name == "calls_by_zone"
        }
    )


def test_bytes_are_counted_by_the_zone_of_the_endpoint():
    """Guard against traffic between zones that nobody sees."""
    for name, zone in [("a0", "own"), ("b0", "other")]:
        site = _site(ZoneEndpoint(name))
        caller, _ = site.run()
        counts = site.forwarder.selector.metrics.counts
        assert counts["calls_by_zone", zone] == 1
        moved = counts["zone_bytes", zone]
        head_bytes = 1000
        assert len(caller.body) < moved < len(caller.body) + head_bytes
        assert [k for n, k in counts if n == "zone_bytes"] == [zone]


def test_calls_go_on_in_another_zone_and_return():
    """Guard against calls that fail or stay away when a zone is lost."""
    names = range(endpoint_subsets.SUBSET_ENDPOINTS)
    own = [ZoneEndpoint(f"a{n}") for n in names]
    site = _site(*own, *(ZoneEndpoint(f"b{n}") for n in names))
    bodies = []
    counts = {}
    numbers = itertools.count()

    async def renew():
        while True:
            _renew_loads(site)
            await curio.sleep(0.1)

    async def call_repeatedly():
        while True:
            caller = test_forwarder.Caller()
            # Calls of the same content count as poison after some losses.
            fingerprint = poison.Fingerprint(str(next(numbers)))
            call = dataclasses.replace(site.call(), fingerprint=fingerprint)
            progress = progress_module.begin(call)
            await site.forwarder.run(progress, caller)
            bodies.append(caller.body)

    async def observe(seconds):
        before = _calls_by_zone(site)
        await curio.sleep(seconds)
        return _calls_by_zone(site) - before

    async def main():
        for item in site.servers:
            await item.server.start()
        tasks = [await curio.spawn(renew)]
        await curio.sleep(0.05)
        tasks += [await curio.spawn(call_repeatedly) for _ in range(CALLERS)]
        counts["before"] = await observe(0.5)
        await _lose(own)
        await curio.sleep(0.2)
        counts["lost"] = await observe(0.5)
        for endpoint in own:
            await endpoint.restore()
        deadline = clock.monotonic() + RETURN_SECONDS
        while clock.monotonic() < deadline:
            counts["after"] = await observe(0.3)
            if set(counts["after"]) == {"own"}:
                break
        for task in tasks:
            assert not task.terminated, task
            await task.cancel()

    curio.run(main)
    assert set(counts["before"]) == {"own"}
    assert set(counts["lost"]) == {"other"}
    assert set(counts["after"]) == {"own"}
    assert set(bodies) == {test_forwarder.COMPLETE}
