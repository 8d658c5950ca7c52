"""Test a burst on a daemon with few descriptors whose endpoints pause."""

import collections
import contextlib
import itertools
import os
import resource
import socket
import threading

import curio
import pytest

from sycamoredale.http import client
from sycamoredale.http import descriptor_shares
from sycamoredale.http import server
from tests import test_forwarder
from tests import test_local_failures

BURST = 40
SHARES = descriptor_shares.divide(96)
PAUSE_SECONDS = 1.5
ANSWERED = b"HTTP/1.1 200 "
REFUSED = b"HTTP/1.1 503 "


class PausedEndpoint(test_forwarder.Endpoint):
    """Keep each request until it is resumed."""

    def __init__(self, name):
        super().__init__(name)
        self.resumed = curio.Event()
        self.waiting = 0

    async def _handle(self, exchange):
        self.waiting += 1
        await self.resumed.wait()
        await super()._handle(exchange)


def _is_open(descriptor):
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


@contextlib.contextmanager
def _free_descriptors(count):
    """Let the process open so many further descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    # Earlier tests may have left some open between free ones.
    free = (number for number in itertools.count() if not _is_open(number))
    last = next(itertools.islice(free, count - 1, None))
    resource.setrlimit(resource.RLIMIT_NOFILE, (last + 1, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Guards against requests, the store and service that end when a burst meets
# paused endpoints: connections to these took all descriptors.
@pytest.mark.parametrize("may_retry", [True, False])
def test_burst_during_a_pause_of_all_endpoints(may_retry):
    endpoints = [PausedEndpoint(name) for name in "bcd"]
    site = test_forwarder.Site(*endpoints, may_retry=may_retry, seconds=5.0)
    front = test_local_failures.Front(site)
    site.forwarder.limit_connections(SHARES.endpoints)
    front.server.set_limits(server.Limits(max_connections=SHARES.callers))
    store = test_forwarder.Endpoint("store")
    answers = []
    later = []

    async def main():
        await front.start()
        await store.server.start()
        host, port = front.address.host, front.address.port
        callers = [socket.socket() for _ in range(BURST)]
        # The endpoints and the store are part of this process: their ends of
        # the connections come on top.
        own = SHARES.callers + SHARES.endpoints + SHARES.reserve
        with _free_descriptors(own + SHARES.endpoints + 1):
            threads = []
            for caller in callers:
                caller.connect((host, port))
                threads.append(
                    threading.Thread(
                        target=test_local_failures._ask,
                        args=(caller, answers),
                    )
                )
                threads[-1].start()
            await curio.sleep(PAUSE_SECONDS)
            waiting = sum(endpoint.waiting for endpoint in endpoints)
            # All others have their answer while the endpoints pause.
            assert waiting == SHARES.endpoints
            assert answers == [REFUSED] * (BURST - waiting)
            connection = await client.Pool().acquire(store.address)
            await connection.close()
            for endpoint in endpoints:
                await endpoint.resumed.set()
            for thread in threads:
                await curio.run_in_thread(thread.join)
            for caller in callers:
                caller.close()
            await curio.sleep(0.1)
            for _ in range(SHARES.callers):
                callers.append(socket.create_connection((host, port)))
                await curio.run_in_thread(
                    test_local_failures._ask, callers[-1], later
                )
        for caller in callers:
            caller.close()

    curio.run(main)
    assert collections.Counter(answers) == {
        ANSWERED: SHARES.endpoints,
        REFUSED: BURST - SHARES.endpoints,
    }
    assert collections.Counter(later) == {ANSWERED: SHARES.callers}
    assert sum(len(endpoint.requests) for endpoint in endpoints) == (
        SHARES.endpoints + SHARES.callers
    )
