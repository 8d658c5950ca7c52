"""Test that no connection holds up the event loop, however much it sends.

curio's sockets switch to another task only if they have to wait.  A loop over
a socket that is always ready runs for as long as the other side likes.
"""

import contextlib
import socket
import threading
import time

import curio
import curio.io
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import request_reader
from sycamoredale.http import server
from sycamoredale.http import sockets
from sycamoredale.links import relay_protocol
from tests import endless_source
from tests import test_endless_answers
from tests import test_forwarder

# A first token is due after 1.4 s; a loop that stands for a third of that
# delays each caller of the daemon.
MAX_DELAY_SECONDS = 0.4
STREAM_HEAD = test_endless_answers.OK + test_endless_answers.STREAM + b"\r\n"
EVENT = b"id: 1\ndata: x\n\n"
STREAMS = {
    "comments": (STREAM_HEAD, b": c\n\n"),
    "comments after an event": (STREAM_HEAD + EVENT, b": c\n\n"),
    "the same event": (STREAM_HEAD + EVENT, EVENT),
    "events without an id": (STREAM_HEAD, b"data: x\n\n"),
    "plain body": (test_endless_answers.OK + b"\r\n", b"j" * 4096),
    "chunks of two bytes": (
        test_endless_answers.OK + test_endless_answers.CHUNKED + b"\r\n",
        b"2\r\njj\r\n",
    ),
}

CHUNKS_OF_TWO_BYTES = {
    "stream": test_endless_answers.OK
    + test_endless_answers.STREAM
    + test_endless_answers.CHUNKED
    + b"\r\n",
    "plain answer": STREAMS["chunks of two bytes"][0],
}
PLAIN_SITE = test_endless_answers.PlainSite
ENDLESS_SOURCES = 60


class Delays:
    """Measure how late a task is woken."""

    def __init__(self):
        self.worst = 0.0

    async def run(self):
        while True:
            began = time.monotonic()
            await curio.sleep(0.01)
            self.worst = max(self.worst, time.monotonic() - began - 0.01)


async def measure(work, *args):
    """Run work and return its result and the worst delay of another task."""
    delays = Delays()
    task = await curio.spawn(delays.run, daemon=True)
    result = await work(*args)
    await curio.sleep(0.02)
    await task.cancel()
    return result, delays.worst


async def _forward(site):
    caller = test_forwarder.Caller()
    began = clock.monotonic()
    with contextlib.suppress(errors.Refusal):
        await site.forwarder.run(progress_module.begin(site.call()), caller)
    return clock.monotonic() - began


# Guards against one stream that held up the whole daemon for 26 s, so that
# other requests, leases and signals waited and deadlines passed unnoticed.
@pytest.mark.parametrize("case", STREAMS)
def test_endless_answer_delays_no_other_task(case):
    source = endless_source.EndlessSource("a", *STREAMS[case])
    try:
        site = test_forwarder.Site(source, may_retry=False, seconds=1.5)
        if "stream" not in STREAMS[case][0].decode():
            site = test_endless_answers.PlainSite(source, seconds=1.5)
        seconds, delay = curio.run(measure, _forward, site)
    finally:
        source.close()
    assert seconds < 1.5 + MAX_DELAY_SECONDS
    assert delay < MAX_DELAY_SECONDS


# Guards against many endpoints that send tiny chunks at once: each turn of
# the event loop took as long as all their pieces together, so that sound calls
# passed their deadline.  Each alone kept the bound.
@pytest.mark.parametrize("case", CHUNKS_OF_TWO_BYTES)
def test_tiny_chunks_of_many_endpoints_leave_time_for_sound_calls(case):
    head = CHUNKS_OF_TWO_BYTES[case]
    source = endless_source.EndlessSource("a", head, b"2\r\njj\r\n")
    kind = test_forwarder.Site if case == "stream" else PLAIN_SITE
    bad = kind(source, may_retry=False, seconds=2.5)
    good = test_forwarder.Site(test_forwarder.Endpoint("b"), seconds=1.4)

    async def main():
        await good.servers[0].server.start()
        tasks = [
            await curio.spawn(test_endless_answers._call, bad)
            for _ in range(ENDLESS_SOURCES)
        ]
        refusals = []
        for _ in range(20):
            _, refusal = await test_endless_answers._call(good)
            refusals.append(refusal)
        for task in tasks:
            await task.cancel()
        return refusals

    try:
        refusals, delay = curio.run(measure, main)
    finally:
        source.close()
    assert refusals == [None] * 20
    assert delay < MAX_DELAY_SECONDS


class Flood:
    """Write to a socket from a thread until it is closed."""

    def __init__(self, sock, data):
        self._sock = sock
        self._data = data
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                self._sock.sendall(self._data)

    def close(self):
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._thread.join()


REQUESTS = {
    "pipelined requests": b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n" * 2000,
    "chunks of a body": (
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nb\r\n" * 100_000
    ),
}


@pytest.mark.parametrize("case", REQUESTS)
def test_endless_requests_delay_no_other_task(case):
    async def handle(exchange):
        await exchange.respond(messages.Response(404))

    limits = request_reader.Limits(body_limit_bytes=64 * 1024 * 1024)

    async def main():
        front = server.Server(handle, limits)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        sock = socket.create_connection((address.host, address.port))
        reader = threading.Thread(target=_read_all, args=(sock,), daemon=True)
        reader.start()
        flood = Flood(sock, REQUESTS[case])
        _, delay = await measure(curio.sleep, 1.5)
        await curio.run_in_thread(flood.close)
        return delay

    assert curio.run(main) < MAX_DELAY_SECONDS


def _read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass


@pytest.mark.parametrize("towards", ["endpoint", "caller"])
def test_endless_bytes_through_a_relay_delay_no_other_task(towards):
    async def main():
        near, far = zip(*(socket.socketpair() for _ in range(2)), strict=True)
        caller, endpoint = (curio.io.Socket(sock) for sock in near)
        relay = relay_protocol.Relay(caller, endpoint, clock.monotonic())
        task = await curio.spawn(relay.run, daemon=True)
        source, sink = far if towards == "endpoint" else far[::-1]
        reader = threading.Thread(target=_read_all, args=(sink,), daemon=True)
        reader.start()
        flood = Flood(source, b"j" * 65536)
        _, delay = await measure(curio.sleep, 1.0)
        await curio.run_in_thread(flood.close)
        sink.close()
        await task.cancel()
        return delay

    assert curio.run(main) < MAX_DELAY_SECONDS


def test_endless_connections_delay_no_other_task():
    async def handle(exchange):
        await exchange.respond(messages.Response(200))

    stop = threading.Event()

    def connect(address):
        while not stop.is_set():
            with contextlib.suppress(OSError):
                socket.create_connection(address, timeout=1).close()

    async def main():
        front = server.Server(handle)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        threads = [
            threading.Thread(
                target=connect, args=((address.host, address.port),)
            )
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        _, delay = await measure(curio.sleep, 1.0)
        stop.set()
        for thread in threads:
            await curio.run_in_thread(thread.join)
        return delay

    assert curio.run(main) < MAX_DELAY_SECONDS


# Guards against a daemon that ends: registering a closed descriptor in the
# selector raises an error inside of curio's kernel, which does not survive it.
@pytest.mark.parametrize("read", [sockets.receive, sockets.accept])
def test_closed_socket_ends_the_read_and_not_the_process(read):
    async def main():
        left = curio.io.Socket(socket.socketpair()[0])
        await left.close()
        with pytest.raises(OSError, match="closed"):
            await read(left)
        async with curio.io.Socket(socket.socketpair()[0]) as sock:
            pass
        with pytest.raises(OSError, match="closed"):
            await read(sock)
        await curio.sleep(0)

    curio.run(main)


def test_call_of_the_store_ends_by_its_timeout_beside_endless_bytes():
    source = endless_source.EndlessSource(
        "a", b"HTTP/1.1 200 OK\r\n\r\n", b"j" * 4096
    )

    async def call():
        began = clock.monotonic()
        with pytest.raises(errors.ConnectionBroken):
            await client.Pool().call(
                source.address,
                messages.Request("GET", "/"),
                0.5,
                max_body_bytes=1 << 40,
            )
        return clock.monotonic() - began

    try:
        seconds, delay = curio.run(measure, call)
    finally:
        source.close()
    assert seconds < 1.0
    assert delay < MAX_DELAY_SECONDS
