"""Test that bytes without end, which are no answer, hold up nobody."""

import contextlib
import dataclasses
import time
import tracemalloc

import curio
import curio.socket
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import chunked
from sycamoredale.http import client
from sycamoredale.http import event_buffer
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server
from tests import test_forwarder

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nReplica-Seal: s\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NOT_RUN = b"HTTP/1.1 503 Full\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\n"
JUNK = b"j" * 4096
# What comes first, and what then comes again and again.
HEADS = {
    "status line": (b"", JUNK),
    "bytes that are no text": (b"", b"\x00\xff\n" * 1000),
    "header": (OK + b"Long: ", JUNK),
    "headers": (OK, b"More: " + b"m" * 90 + b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODIES = {
    "event": (OK + STREAM + b"\r\nid: 1\ndata: ", JUNK),
    "event in chunks": (
        OK + STREAM + CHUNKED + b"\r\n",
        chunked.encode_chunk(JUNK),
    ),
    "chunk size": (OK + STREAM + CHUNKED + b"\r\n", b"0" * 4096),
    "trailer": (OK + STREAM + CHUNKED + b"\r\n0\r\nx: ", JUNK),
    "trailers": (OK + STREAM + CHUNKED + b"\r\n0\r\n", b"x: y\r\n" * 500),
    "body that did not run": (NOT_RUN + b"\r\n", JUNK),
    "chunks that did not run": (
        NOT_RUN + CHUNKED + b"\r\n",
        chunked.encode_chunk(JUNK),
    ),
}
CASES = HEADS | BODIES
PLAIN = {"plain body": (OK + b"\r\n", JUNK)}
PAUSES = {"at once": 0.0, "in drops": 0.05}
MAX_BYTES_HELD = 12 * 1024 * 1024
HELD_LIMIT_BYTES = 20 * 1024 * 1024
SOURCES = 40


class EndlessEndpoint:
    """Answer each request with bytes until the connection is closed."""

    def __init__(self, name, case, pause):
        self.name = name
        self.server = self
        self.first, self.rest = (CASES | PLAIN)[case]
        self.pause = pause
        self.closed_count = 0
        self._sock = curio.socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(100)
        self.address = messages.Address(*self._sock.getsockname())

    async def start(self):
        await curio.spawn(self._run, daemon=True)

    async def _run(self):
        while True:
            sock, _ = await self._sock.accept()
            await curio.spawn(self._answer, sock, daemon=True)

    async def _answer(self, sock):
        try:
            if not await sock.recv(65536):
                return
            await sock.sendall(self.first)
            while True:
                await sock.sendall(self.rest)
                await curio.sleep(self.pause)
        except OSError:
            self.closed_count += 1
        finally:
            await sock.close()


# Guards against an endpoint in trouble whose bytes never end: they were
# collected without limit, and each of them renewed the wait for an event.
@pytest.mark.parametrize("pause", PAUSES.values(), ids=PAUSES)
@pytest.mark.parametrize("case", CASES)
def test_stream_goes_on_elsewhere_after_bytes_without_end(case, pause):
    bad = EndlessEndpoint("a", case, pause)
    good = test_forwarder.Endpoint("b")
    site = test_forwarder.Site(bad, good)
    tracemalloc.start()
    began = time.monotonic()
    caller, refusal = site.run()
    seconds = time.monotonic() - began
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert refusal is None
    assert caller.finished
    assert caller.body == test_forwarder.COMPLETE
    assert seconds < 2.0
    assert peak < MAX_BYTES_HELD


class PlainSite(test_forwarder.Site):
    """Call a route whose answers are no streams."""

    def call(self):
        call = super().call()
        policy = catalogue.RetryPolicy.ANY
        route = dataclasses.replace(call.route, retry_policy=policy)
        return dataclasses.replace(call, route=route)


def test_plain_answer_without_an_end_is_abandoned_for_another_endpoint():
    bad = EndlessEndpoint("a", "plain body", 0.0)
    site = PlainSite(bad, test_forwarder.Endpoint("b"))
    tracemalloc.start()
    caller, refusal = site.run()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert refusal is None
    assert caller.body == test_forwarder.COMPLETE
    assert peak < MAX_BYTES_HELD


@pytest.mark.parametrize("pause", PAUSES.values(), ids=PAUSES)
@pytest.mark.parametrize("case", CASES)
def test_caller_alone_with_bytes_without_end_is_refused(case, pause):
    bad = EndlessEndpoint("a", case, pause)
    site = test_forwarder.Site(bad, may_retry=False, seconds=1.5)
    began = time.monotonic()
    caller, refusal = site.run()
    assert time.monotonic() - began < 2.0
    assert isinstance(refusal, errors.Refusal)
    assert not caller.finished
    ran = "did not run" not in case
    assert (refusal.execution.value == "unknown") is ran


@pytest.mark.parametrize("case", ["status line", "header", "chunk size"])
def test_call_of_another_service_ends_by_its_timeout(case):
    endless = EndlessEndpoint("a", case, 0.0)

    async def main():
        await endless.start()
        await client.Pool().call(
            endless.address, messages.Request("GET", "/"), 1.0
        )

    began = clock.monotonic()
    with pytest.raises(errors.ConnectionBroken):
        curio.run(main)
    assert clock.monotonic() - began < 2.0


class LargeEndpoint:
    """Answer each request with one large body, in many pieces."""

    def __init__(self, name, body, status=200):
        self.name = name
        self.body = body
        self.status = status
        self.server = server.Server(self._handle)
        self.address = self.server.bind(messages.Address("127.0.0.1", 0))

    async def _handle(self, exchange):
        fields = [("Attempt-Id", "r1"), ("Replica-Seal", "s")]
        await exchange.respond(
            messages.Response(self.status, messages.Headers(fields), self.body)
        )


async def _call(site, seconds_by_site=None):
    """Return what the caller of a site received, and the refusal."""
    caller = test_forwarder.Caller()
    began = time.monotonic()
    refusal = None
    try:
        await site.forwarder.run(progress_module.begin(site.call()), caller)
    except errors.Refusal as error:
        refusal = error
    if seconds_by_site is not None:
        seconds_by_site.append(time.monotonic() - began)
    return caller, refusal


# Guards against an endpoint in trouble that fills the memory with many
# answers, each of them below its own limit.
@pytest.mark.parametrize("case", ["plain body", "event"])
def test_many_answers_without_end_leave_room_for_a_sound_one(case):
    held = held_bytes.HeldBytes(HELD_LIMIT_BYTES)
    body = b"b" * (4 * 1024 * 1024 - 1000)
    bad = PlainSite(EndlessEndpoint("a", case, 0.0), held=held)
    if case == "event":
        bad = test_forwarder.Site(bad.servers[0], may_retry=False, held=held)
    large = PlainSite(LargeEndpoint("b", body), held=held)
    small = test_forwarder.Site(test_forwarder.Endpoint("c"), held=held)
    seconds = []

    async def main():
        for site in (bad, large, small):
            await site.servers[0].server.start()
        refused = [await curio.spawn(_call, bad) for _ in range(SOURCES)]
        await curio.sleep(0.02)
        whole = await curio.spawn(_call, large)
        others = []
        for _ in range(5):
            others.append(await curio.spawn(_call, small, seconds))
            await curio.sleep(0.05)
        return [
            [await task.join() for task in tasks]
            for tasks in (refused, [whole], others)
        ]

    tracemalloc.start()
    refused, whole, others = curio.run(main)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 1.25 * HELD_LIMIT_BYTES
    assert whole[0][1] is None
    assert whole[0][0].body == body
    for caller, _ in others:
        assert caller.body == test_forwarder.COMPLETE
    assert max(seconds) < 2.0
    for caller, refusal in refused:
        assert not caller.finished
        assert refusal.code.status == 502
        assert refusal.execution.value == "unknown"
    assert held.total == 0


class ChunkSource:
    """Answer with some bytes in chunks of one size."""

    def __init__(self, size, chunk_bytes):
        chunk = chunked.encode_chunk(b"c" * chunk_bytes)
        self._data = OK + CHUNKED + b"\r\n"
        self._data += chunk * (size // chunk_bytes) + b"0\r\n\r\n"
        self._sock = curio.socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(5)
        self.address = messages.Address(*self._sock.getsockname())

    async def run(self):
        """Answer one request."""
        sock, _ = await self._sock.accept()
        async with sock:
            with contextlib.suppress(OSError):
                await sock.recv(65536)
                await sock.sendall(self._data)


def _read_chunks(size, chunk_bytes):
    """Return the size of the body that was read, with a limit of 4 MiB."""
    source = ChunkSource(size, chunk_bytes)

    async def main():
        await curio.spawn(source.run, daemon=True)
        connection = await client.open_connection(source.address)
        await connection.send(messages.Request("GET", "/"))
        await connection.read_head()
        return len(await connection.read_body(4 * 1024 * 1024))

    return curio.run(main)


# Guards against processor time: the limit of the body alone takes seconds to
# reach in chunks of two bytes.
def test_plain_answer_in_tiny_chunks_ends_soon():
    began = time.process_time()
    with pytest.raises(errors.ConnectionBroken, match="chunks"):
        _read_chunks(4 * 1024 * 1024, 2)
    assert time.process_time() - began < 1.0


@pytest.mark.parametrize("chunk_bytes", [32, 100, 1000, 65536])
def test_plain_answer_in_ordinary_chunks_is_read_whole(chunk_bytes):
    size = 4 * 1024 * 1024 - 65536
    read = _read_chunks(size, chunk_bytes)
    assert read == size // chunk_bytes * chunk_bytes


# A reader waits with a timeout again and again; bytes that have been received
# must outlive it.
def test_cancelled_read_of_tiny_chunks_loses_no_byte():
    size = 40_000
    source = ChunkSource(size, 2)

    async def main():
        await curio.spawn(source.run, daemon=True)
        connection = await client.open_connection(source.address)
        await connection.send(messages.Request("GET", "/"))
        await connection.read_head()
        body = b""
        cancelled = 0
        while True:
            task = await curio.spawn(connection.read_chunk)
            await curio.sleep(0)
            await task.cancel()
            if task.exception is not None:
                cancelled += 1
                part = await connection.read_chunk()
            else:
                part = task.result
            if not part:
                return body, cancelled
            body += part

    body, cancelled = curio.run(main)
    assert body == b"c" * size
    assert cancelled > 0


# Guards against bytes beyond a chunked answer that are read as the next one.
@pytest.mark.parametrize("extra_bytes", [0, 1, 2000])
def test_connection_with_bytes_after_a_chunked_answer_is_not_reused(
    extra_bytes,
):
    source = ChunkSource(0, 2)
    last = b"0\r\n\r\n"
    chunks = b"2\r\ncc\r\n" * 1000
    # The answer ends where a turn does.
    chunks = chunks[: (client.TURN_BYTES - len(last)) // 7 * 7]
    missing = client.TURN_BYTES - len(last) - len(chunks)
    chunks = chunked.encode_chunk(b"c" * (2 + missing)) + chunks[7:]
    source._data = OK + CHUNKED + b"\r\n" + chunks + last
    source._data += b"j" * extra_bytes

    async def main():
        await curio.spawn(source.run, daemon=True)
        connection = await client.open_connection(source.address)
        await connection.send(messages.Request("GET", "/"))
        await connection.read_head()
        await connection.read_body()
        return connection.finish_cycle()

    assert len(chunks + last) == client.TURN_BYTES
    assert curio.run(main) is (extra_bytes == 0)


def test_kept_error_answers_are_held_until_the_call_ends():
    held = held_bytes.HeldBytes(HELD_LIMIT_BYTES)
    body = b"b" * 1_000_000
    first = LargeEndpoint("a", body, 500)
    second = test_forwarder.Endpoint("b", "silent")
    site = PlainSite(first, second, seconds=1.0, held=held)
    sizes = []

    async def main():
        await first.server.start()
        await second.server.start()
        task = await curio.spawn(_call, site)
        await curio.sleep(0.5)
        sizes.append(held.total)
        await task.join()

    curio.run(main)
    assert sizes == [len(body)]
    assert held.total == 0


def test_cancelled_read_holds_nothing():
    held = held_bytes.HeldBytes(HELD_LIMIT_BYTES)
    bad = PlainSite(EndlessEndpoint("a", "plain body", 0.05), held=held)

    async def main():
        await bad.servers[0].start()
        task = await curio.spawn(_call, bad)
        await curio.sleep(0.3)
        assert held.total > 0
        await task.cancel()

    curio.run(main)
    assert held.total == 0


def test_event_without_an_end_is_limited():
    buffer = event_buffer.EventBuffer()
    with pytest.raises(ValueError, match="event"):
        for _ in range(10_000):
            buffer.feed(JUNK)


def test_long_event_in_many_pieces_takes_linear_time():
    event = b"id: 1\ndata: " + b"x" * 500_000 + b"\n\n"
    buffer = event_buffer.EventBuffer()
    began = time.process_time()
    passed = [
        buffer.feed(event[start : start + 10])
        for start in range(0, len(event), 10)
    ]
    assert b"".join(passed) == event
    assert time.process_time() - began < 1.0
