"""Test that a pool of connections keeps to its limit.

Each way in which a connection ends gives its place back.
"""

import array
import fcntl
import termios

import curio
import pytest

from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import sockets
from sycamoredale.links import relay_client
from tests import endless_source
from tests import link_fixtures
from tests import test_forwarder
from tests import test_local_failures
from tests import test_relay

REQUEST = messages.Request("GET", "/x")
NOWHERE = messages.Address("127.0.0.1", 1)
# Packets to it are lost, or refused at once on a machine without routes.
UNROUTED = messages.Address("192.0.2.1", 9)


async def _finish(connection):
    """Complete an exchange, so that the connection may be kept."""
    await connection.send(REQUEST)
    await connection.read_head()
    await connection.read_body()


# Guards against connections to endpoints without a bound, which took the
# descriptors of callers, the store and peers.
def test_pool_refuses_at_its_limit_and_goes_on_when_a_place_is_free():
    async def main():
        endpoint = test_relay.Endpoint()
        await curio.spawn(endpoint.run, daemon=True)
        pool = client.Pool(max_open=2)
        first = await pool.acquire(endpoint.address)
        second = await pool.acquire(endpoint.address, new_connection=True)
        with pytest.raises(errors.NoSocketAvailable):
            await pool.acquire(endpoint.address)
        assert pool.open_count() == 2
        await first.close()
        await first.close()
        assert pool.open_count() == 1
        third = await pool.acquire(endpoint.address)
        await second.close()
        await third.close()
        assert pool.open_count() == 0

    curio.run(main)


def test_longest_idle_connection_gives_its_place_to_another_address():
    async def main():
        endpoints = [test_relay.Endpoint() for _ in range(3)]
        for endpoint in endpoints:
            await curio.spawn(endpoint.run, daemon=True)
        pool = client.Pool(max_open=3)
        used = []
        for endpoint in (endpoints[0], endpoints[0], endpoints[1]):
            connection = await pool.acquire(endpoint.address, True)
            await _finish(connection)
            used.append(connection)
        # In this order, the second of all is the one idle for longest.
        for number in (1, 2, 0):
            await pool.release(used[number])
        assert pool.open_count() == 3
        fresh = await pool.acquire(endpoints[2].address)
        assert pool.idle_by_address[endpoints[0].address] == [used[0]]
        assert pool.idle_by_address[endpoints[1].address] == [used[2]]
        # A lower limit, as after a reload, closes as many as it must.
        pool.max_open = 2
        other = await pool.acquire(endpoints[2].address, True)
        assert not any(pool.idle_by_address.values())
        assert pool.open_count() == 2
        await fresh.close()
        await other.close()
        await pool.close()

    curio.run(main)


def test_one_connection_of_two_idle_is_used_and_the_other_kept():
    async def main():
        endpoint = test_relay.Endpoint()
        await curio.spawn(endpoint.run, daemon=True)
        pool = client.Pool(max_open=2)
        used = [await pool.acquire(endpoint.address, True) for _ in range(2)]
        for connection in used:
            await _finish(connection)
            await pool.release(connection)
        assert await pool.acquire(endpoint.address) is used[1]
        # The one in use is not closed for a new one.
        fresh = await pool.acquire(endpoint.address, True)
        assert used[1].is_usable()
        with pytest.raises(errors.NoSocketAvailable):
            await pool.acquire(endpoint.address, True)
        await fresh.close()
        await pool.release(used[1])
        await pool.close()
        assert pool.open_count() == 0

    curio.run(main)


# Guards against places that are never given back, which would end the
# service of the daemon for good.
def test_failed_and_interrupted_opens_hold_no_place():
    async def wait_for_ever(address, seconds):
        await curio.sleep(60)

    async def main():
        pool = client.Pool(max_open=4)
        for address in (NOWHERE, UNROUTED):
            with pytest.raises(errors.ConnectionFailed):
                await pool.acquire(address, connect_timeout_seconds=0.05)
        assert pool.open_count() == 0
        pool.connect = wait_for_ever
        task = await curio.spawn(pool.acquire, NOWHERE)
        await curio.sleep(0.02)
        assert pool.open_count() == 1
        await task.cancel()
        async with curio.ignore_after(0.02):
            await pool.acquire(NOWHERE)
        assert pool.open_count() == 0

    curio.run(main)


def test_relayed_connections_count():
    async def main():
        endpoint = test_relay.Endpoint()
        async with test_relay._fleet(endpoint) as (own, _):
            pool = client.Pool(own.connector.open, max_open=1)
            connection = await pool.acquire(endpoint.address)
            assert connection.relayed_by == "peer0"
            with pytest.raises(errors.NoSocketAvailable):
                await pool.acquire(endpoint.address)
            await connection.close()
            assert pool.open_count() == 0

    curio.run(main)


# Guards against uncounted connections: routes without retries opened theirs
# beside the pool, and a caller that left at once left one open.
@pytest.mark.parametrize("may_retry", [True, False])
@pytest.mark.parametrize("ending", ["reset", "deadline", "cancelled"])
def test_each_end_of_a_forwarded_call_gives_its_place_back(may_retry, ending):
    fault = "resets" if ending == "reset" else "silent"
    endpoint = (
        ResettingEndpoint("b")
        if ending == "reset"
        else test_forwarder.Endpoint("b", fault)
    )
    site = test_forwarder.Site(endpoint, may_retry=may_retry, seconds=0.3)
    pool = site.forwarder._pool
    seen = []
    connect = site.forwarder.connector.open_direct
    # Kept here, so that one that nobody closes is not collected.
    opened = []

    async def record(address, seconds):
        opened.append(await connect(address, seconds))
        return opened[-1]

    site.forwarder.connector.open_direct = record

    async def forward():
        progress = progress_module.begin(site.call())
        try:
            await site.forwarder.run(progress, test_forwarder.Caller())
        except errors.Refusal as refusal:
            seen.append(refusal.code.name)

    async def main():
        await endpoint.server.start()
        tasks = [await curio.spawn(forward) for _ in range(4)]
        if ending == "cancelled":
            # Some are connecting or wait for a reset, some are sent.
            for task in tasks:
                await curio.sleep(0.002)
                await task.cancel()
        else:
            for task in tasks:
                await task.join()
            assert len(seen) == 4
        await curio.sleep(0.05)

    curio.run(main)
    assert opened
    assert pool.open_count() == 0


class ResettingEndpoint(test_forwarder.Endpoint):
    """Reset the connection of each request."""

    async def _handle(self, exchange):
        link_fixtures.reset_on_close(exchange._sock)
        await exchange._sock.close()


def test_call_on_a_connection_of_its_own_needs_a_place():
    endpoint = test_forwarder.Endpoint("b")
    site = test_forwarder.Site(endpoint, may_retry=False)
    site.forwarder._pool.max_open = 0
    _, refusal = site.run()
    assert refusal.code.name == "no_socket"
    assert refusal.execution.value == "not_run"
    assert not endpoint.requests


# Guards against peers that take the descriptors of a daemon, two for each
# relay: their number had no bound.
def test_peer_beyond_the_limit_of_relays_is_told_that_there_is_none():
    async def main():
        endpoint = test_relay.Endpoint()
        async with test_relay._fleet(endpoint) as (own, (peer,)):
            peer.relay_service.max_relays = 1
            first = await own.connector.open(endpoint.address, 0.3)
            # That says nothing of the endpoint.
            with pytest.raises(errors.NoRelayAvailable):
                await own.connector.open(endpoint.address, 0.3)
            answer = await own.connector.relays.check(endpoint.address)
            unknown = relay_client.Reachability.UNKNOWN
            assert answer.reachability is unknown
            await first.close()
            await curio.sleep(0.05)
            # A request that is refused holds no place either.
            peer.addresses.clear()
            with pytest.raises(errors.NoRelayAvailable):
                await own.connector.open(endpoint.address, 0.3)
            peer.addresses.append(endpoint.address)
            assert peer.relay_service.open_count == 0
            await (await own.connector.open(endpoint.address, 0.3)).close()

    curio.run(main)


# Guards against requests that are refused for want of a descriptor while
# connections that nobody uses have some.
def test_idle_connection_gives_its_descriptor_if_the_machine_has_none():
    async def main():
        endpoints = [test_relay.Endpoint() for _ in range(2)]
        for endpoint in endpoints:
            await curio.spawn(endpoint.run, daemon=True)
        pool = client.Pool()
        connection = await pool.acquire(endpoints[0].address)
        await _finish(connection)
        await pool.release(connection)
        with test_local_failures.no_free_descriptor():
            fresh = await pool.acquire(endpoints[1].address)
            with pytest.raises(errors.NoSocketAvailable):
                await pool.acquire(endpoints[0].address)
        assert pool.open_count() == 1
        await fresh.close()

    curio.run(main)


def _unread_bytes(connection):
    count = array.array("i", [0])
    fcntl.ioctl(connection._sock.fileno(), termios.FIONREAD, count)
    return count[0]


# Guards against memory that bytes after a complete answer take: nobody reads
# an idle connection, and what waits in the kernel counts as the daemon's.
def test_idle_connection_that_receives_bytes_is_limited_and_closed():
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    source = endless_source.EndlessSource("a", complete, b"j" * 4096)

    async def main():
        endpoint = test_relay.Endpoint()
        await curio.spawn(endpoint.run, daemon=True)
        pool = client.Pool()
        sound = await pool.acquire(endpoint.address)
        flooded = await pool.acquire(source.address)
        await _finish(sound)
        await flooded.send(REQUEST)
        await flooded.read_head()
        # The answer was read before the bytes after it came.
        pool._idle[flooded] = None
        pool.idle_by_address[flooded.address] = [flooded]
        await pool.release(sound)
        await curio.sleep(0.5)
        unread = _unread_bytes(flooded)
        await pool.close_unusable()
        return unread, pool.open_count(), await pool.acquire(endpoint.address)

    try:
        unread, open_count, again = curio.run(main)
    finally:
        source.close()
    assert 0 < unread <= 2 * sockets.MAX_UNREAD_BYTES
    assert open_count == 1
    assert again.reused
