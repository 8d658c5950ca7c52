"""Test that callers of a daemon without links to endpoints are served."""

import dataclasses

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import update_exchange
from sycamoredale.http import messages
from sycamoredale import ids
from tests import link_fixtures
from tests import test_forwarder
from tests import update_fixtures

ENDPOINTS = 5
# Requests sent later than this after the cut must be answered.
CONTACT_SECONDS = 3.0
PEER_UPDATE_SECONDS = 0.05


class SlowEndpoint(test_forwarder.Endpoint):
    """Stream events over more time than it takes to notice a cut."""

    event_seconds = 0.4


class Site(test_forwarder.Site):
    """Run the forwarder of one daemon that has a peer."""

    def __init__(self, *servers, build=link_fixtures.Connector, **options):
        super().__init__(*servers, **options)
        self.own = link_fixtures.Daemon(
            "own",
            servers,
            connector=link_fixtures.connector(
                self.endpoint_table, link_fixtures.members("own"), build
            ),
        )
        self.peer = link_fixtures.Daemon("peer", servers)
        self.forwarder.connector = self.own.connector
        self.forwarder.__post_init__()

    async def start(self):
        """Start endpoints, the peer and the checks of the links."""
        for item in self.servers:
            await item.server.start()
        await self.peer.start()
        self.peer.know(self.own)
        self.own.know(self.peer)
        await curio.spawn(self.own.connector.run, daemon=True)
        await curio.spawn(self._hear_of_progress, daemon=True)

    async def _hear_of_progress(self):
        """Record the progress that peers see."""
        while True:
            now = clock.monotonic()
            for endpoint in self.endpoint_table.by_id.values():
                endpoint.record_progress(now)
            await curio.sleep(PEER_UPDATE_SECONDS)

    async def send(self):
        """Return the caller, the progress and the refusal of a call."""
        caller = test_forwarder.Caller()
        progress = progress_module.begin(self.call())
        refusal = None
        try:
            await self.forwarder.run(progress, caller)
        except errors.Refusal as error:
            refusal = error
        return caller, progress, refusal

    def count_requests(self):
        """Count the requests that reached an endpoint."""
        return sum(len(server.requests) for server in self.servers)


def _endpoints(kind=test_forwarder.Endpoint):
    return [kind(f"i{n}") for n in range(ENDPOINTS)]


# Guards against callers that are refused because their daemon alone has lost
# its links, while daemons with links stand beside it.
@pytest.mark.parametrize("may_retry", [True, False])
def test_callers_of_an_isolated_daemon_are_served_by_its_peers(may_retry):
    site = Site(*_endpoints(), may_retry=may_retry)

    async def main():
        await site.start()
        site.own.connector.cut = True
        cut_at = clock.monotonic()
        while clock.monotonic() < cut_at + CONTACT_SECONDS / 2:
            await site.send()
        before = site.count_requests()
        for _ in range(10):
            caller, progress, _ = await site.send()
            assert caller.finished
            assert progress.sends[0].endswith("answered@peer")
        assert site.count_requests() == before + 10
        site.own.connector.cut = False
        await curio.sleep(CONTACT_SECONDS / 2)
        _, progress, _ = await site.send()
        assert progress.sends[0].endswith("answered")

    curio.run(main)


# Guards against streams that wait on a dead connection for as long as peers
# see progress at its endpoint.
def test_stream_on_a_link_that_hangs_is_resumed_through_a_peer():
    site = Site(
        *_endpoints(SlowEndpoint), build=link_fixtures.HangingConnector
    )

    async def main():
        await site.start()
        sending = await curio.spawn(site.send)
        await curio.sleep(2.5 * SlowEndpoint.event_seconds)
        site.own.connector.cut = True
        caller, progress, _ = await sending.join()
        assert caller.finished
        assert progress.sends[0].endswith("stalled")
        assert progress.sends[-1].endswith("answered@peer")

    curio.run(main)


# Guards against LOST: all streams of a daemon that takes itself for isolated
# were aborted, though no peer could relay them and their links came back.
def test_stream_waits_on_a_link_that_hangs_if_no_peer_relays_it():
    site = Site(
        *_endpoints(SlowEndpoint), build=link_fixtures.HangingConnector
    )

    async def main():
        await site.start()
        sending = await curio.spawn(site.send)
        await curio.sleep(2.5 * SlowEndpoint.event_seconds)
        site.own.connector.cut = True
        site.own.isolate()
        site.peer.isolate()
        await curio.sleep(1.2)
        site.own.connector.cut = False
        caller, progress, refusal = await sending.join()
        assert refusal is None
        assert caller.body == test_forwarder.COMPLETE
        assert caller.finished
        assert progress.sends[-1].endswith("answered")

    curio.run(main)


# Guards against LOST: plain requests of an isolated daemon were aborted
# together on a check that a single retry of the budget met for all of them.
def test_plain_answers_of_an_isolated_daemon_are_whole_on_a_small_budget():
    servers = [SlowEndpoint(f"i{n}") for n in range(ENDPOINTS)]
    site = Site(*servers, build=link_fixtures.HangingConnector)
    stream_call = site.call

    def plain_call():
        call = stream_call()
        policy = catalogue.RetryPolicy.ANY
        route = dataclasses.replace(call.route, retry_policy=policy)
        return dataclasses.replace(call, route=route)

    site.call = plain_call
    # 0.8 of the burst is used, and 0.2 for each request.
    site.forwarder.budget.burst = 0.8

    async def main():
        await site.start()
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(site.send)
            await curio.sleep(0.5)
            site.own.connector.cut = True
            site.own.isolate()
            await curio.sleep(1.2)
            site.own.connector.cut = False
        return group.results

    for caller, progress, refusal in curio.run(main):
        assert (refusal, progress.sends) == (None, progress.sends)
        assert caller.finished


# Guards against calls that wait for nothing where no daemon has links.
def test_callers_are_refused_at_once_if_no_daemon_has_links():
    site = Site(*_endpoints())

    async def main():
        await site.start()
        site.own.connector.cut = True
        site.own.isolate()
        site.peer.isolate()
        began = clock.monotonic()
        _, _, refusal = await site.send()
        assert clock.monotonic() - began < 0.25
        assert refusal.execution.value == "not_run"
        assert refusal.code.status == 503

    curio.run(main)


# Guards against an empty pool of endpoints: the failures of the own links are
# booked on endpoints that are sound.
def test_endpoints_are_trusted_again_once_the_links_are_to_blame():
    site = Site(*_endpoints())
    table = site.endpoint_table
    for endpoint in table.by_id.values():
        endpoint.suspect(clock.monotonic())
    site.own.isolate()
    now = clock.monotonic()
    assert not any(e.is_suspect(now) for e in table.by_id.values())


class _Socket:
    """Record datagrams, in place of a socket of curio."""

    def __init__(self):
        self.sent = []
        self._socket = self

    def sendto(self, data, address):
        """Record a datagram."""
        self.sent.append((data, address))


def _exchange(name, is_isolated=lambda: False):
    table = Site().endpoint_table
    return update_exchange.PeerUpdateExchange(
        ids.DaemonId(name),
        table,
        update_fixtures.selector(name),
        is_isolated=is_isolated,
    )


# Guards against peers that are asked to relay though they have no links: they
# say so while they have nothing else to tell.
def test_peers_hear_that_a_daemon_is_isolated_and_when_no_more():
    isolated = [True]
    sender = _exchange("isolated", lambda: isolated[0])
    receiver = _exchange("other")
    now = clock.monotonic()
    sock = _Socket()
    update = sender.build_update(now)
    sender._send(sock, [messages.Address("127.0.0.1", 1)], update)
    assert len(sock.sent) == 1
    receiver.receive(update, now)
    daemon = ids.DaemonId("isolated")
    assert receiver.is_peer_isolated(daemon, now)
    later = clock.MonotonicTime(now + 2.0)
    assert not receiver.is_peer_isolated(daemon, later)
    isolated[0] = False
    receiver.receive(sender.build_update(now), now)
    assert not receiver.is_peer_isolated(daemon, now)


def test_links_are_doubted_only_while_requests_wait_at_working_endpoints():
    table = Site(*_endpoints()).endpoint_table
    now = clock.MonotonicTime(clock.monotonic() + 100)
    waiting, *others = table.by_id.values()
    waiting.in_flight = 1
    assert not table.waiting_addresses(now)
    for endpoint in others:
        endpoint.record_progress(now)
    assert not table.waiting_addresses(now)
    waiting.record_progress(now)
    assert len(table.waiting_addresses(now)) == ENDPOINTS
