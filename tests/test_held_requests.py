"""Test that the bodies of many requests together stay within their limit."""

import contextlib
import json
import time
import tracemalloc

import curio
import curio.socket
import pytest

from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server

LIMIT_BYTES = 6_000_000
BODY_BYTES = 2_000_000
CALLERS = 20
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
END = b"0\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Front:
    """Answer each request with the size of its body, the slow ones late."""

    def __init__(self):
        self.held = held_bytes.HeldBytes(LIMIT_BYTES)
        self.server = server.Server(self._handle, held_requests=self.held)
        self.address = self.server.bind(messages.Address("127.0.0.1", 0))

    async def connect(self):
        """Return a new connection."""
        sock = curio.socket.socket()
        await sock.connect((self.address.host, self.address.port))
        return sock

    async def ask(self, data):
        """Return the raw answer to a request, with the seconds it took."""
        began = time.monotonic()
        sock = await self.connect()
        async with sock:
            with contextlib.suppress(OSError):
                await sock.sendall(data)
            answer = await sock.recv(65536)
        return answer, time.monotonic() - began

    async def _handle(self, exchange):
        if exchange.request.path == "/slow":
            await curio.sleep(0.5)
        size = {"size": len(exchange.request.body)}
        await exchange.respond(messages.json_response(200, size))


def _chunked(size):
    chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
    return CHUNKED + chunk * (size // 1000) + END


# Guards against callers that send large bodies and never end them: the limit
# of a body times that of the connections is more than any machine has.
@pytest.mark.parametrize("coding", ["length", "chunked"])
def test_bodies_of_many_callers_are_limited_together(coding):
    front = Front()
    if coding == "length":
        slow = HEAD % BODY_BYTES + b"x" * (BODY_BYTES - 1)
        late = HEAD % BODY_BYTES + b"x" * BODY_BYTES
    else:
        slow = _chunked(BODY_BYTES)[: -len(END)]
        late = _chunked(BODY_BYTES)

    async def main():
        await front.server.start()
        socks = []
        for _ in range(CALLERS):
            socks.append(await front.connect())
            await curio.spawn(_send, socks[-1], slow, daemon=True)
        # Until all have been refused or have sent what they have.
        totals = [-1, 0]
        while totals[-1] != totals[-2]:
            await curio.sleep(0.5)
            totals.append(front.held.total)
        assert max(totals) <= LIMIT_BYTES
        # How much is left depends on who was refused before.
        rest = front.held.reserve()
        assert rest.resize(max(0, LIMIT_BYTES - front.held.total - 100_000))
        refused = await front.ask(late)
        small = await front.ask(HEAD % 8000 + b"x" * 8000)
        rest.release()
        for sock in socks:
            await sock.close()
        await curio.sleep(0.2)
        assert front.held.total == 0
        return refused, small, await front.ask(late)

    tracemalloc.start()
    refused, small, after = curio.run(main)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 2 * LIMIT_BYTES
    head, _, body = refused[0].partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1" in head.lower()
    error = json.loads(body)["error"]
    assert (error["code"], error["execution"]) == ("memory_limit", "not_run")
    assert refused[1] < 0.5
    assert small[0].startswith(b"HTTP/1.1 200 ")
    assert small[1] < 0.5
    assert after[0].endswith(b'{"size":%d}' % BODY_BYTES)


async def _send(sock, data):
    with contextlib.suppress(OSError):
        await sock.sendall(data)


def test_body_is_held_until_the_request_has_its_answer():
    front = Front()

    async def main():
        await front.server.start()
        data = (HEAD % BODY_BYTES).replace(b"/x", b"/slow")
        task = await curio.spawn(front.ask, data + b"x" * BODY_BYTES)
        await curio.sleep(0.3)
        assert front.held.total == BODY_BYTES
        answer, _ = await task.join()
        assert answer.startswith(b"HTTP/1.1 200 ")
        await curio.sleep(0.1)
        assert front.held.total == 0

    curio.run(main)


def test_body_that_does_not_fit_is_refused_before_it_is_sent():
    front = Front()
    held = front.held.reserve()
    assert held.resize(LIMIT_BYTES)

    async def main():
        await front.server.start()
        return await front.ask(
            (HEAD % BODY_BYTES)[:-2] + b"Expect: 100-continue\r\n\r\n"
        )

    answer, seconds = curio.run(main)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert seconds < 0.5


# Each piece was kept as an object of its own.
def test_body_in_small_chunks_costs_little_more_than_its_bytes():
    front = Front()
    size = 200_000

    async def main():
        await front.server.start()
        return await front.ask(CHUNKED + b"2\r\nxx\r\n" * (size // 2) + END)

    tracemalloc.start()
    answer, _ = curio.run(main)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert answer.endswith(b'{"size":%d}' % size)
    # The caller of this test has seven bytes for two.
    assert peak - size // 2 * 7 < 4 * size


# A joined copy of head and body lived for as long as the other side was slow.
@pytest.mark.parametrize("direction", ["answer", "request"])
def test_large_body_is_not_copied_for_a_slow_reader(direction):
    body = b"x" * 8_000_000
    request = messages.Request("POST", "/", body=body)
    grown = []

    async def answer(exchange):
        await exchange.respond(messages.Response(200, body=body))

    async def ask(address):
        connection = await client.open_connection(address)
        await connection.send(request)

    async def main():
        front = server.Server(answer)
        address = front.bind(messages.Address("127.0.0.1", 0))
        if direction == "answer":
            await front.start()
        before, _ = tracemalloc.get_traced_memory()
        socks = []
        for _ in range(CALLERS // 4):
            if direction == "answer":
                sock = curio.socket.socket()
                await sock.connect((address.host, address.port))
                await sock.sendall(HEAD % 0)
                socks.append(sock)
            else:
                # Nobody accepts the connection, nor reads it.
                await curio.spawn(ask, address, daemon=True)
        await curio.sleep(0.5)
        grown.append(tracemalloc.get_traced_memory()[0] - before)

    tracemalloc.start()
    curio.run(main)
    tracemalloc.stop()
    assert grown[0] < len(body)
