"""Test deadlines and stops that come while an answer is being finished."""

import socket
import time

import curio
import pytest

from sycamoredale.http import caller_disconnect
from sycamoredale.http import messages
from sycamoredale.http import server

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
DEADLINE_SECONDS = 0.05
REQUESTS = 3


async def _answer_late(subject, exchange):
    """Answer, and keep the loop so busy that the deadline is due as well."""
    del subject
    await exchange.respond(messages.Response(200))
    time.sleep(2 * DEADLINE_SECONDS)


async def _handle(exchange):
    try:
        async with curio.timeout_after(DEADLINE_SECONDS):
            await caller_disconnect.run_while_connected(
                _answer_late, None, exchange
            )
    except curio.TaskTimeout:
        pass


def _ask(address, pause):
    """Send requests on one kept connection; return the status lines."""
    answers = []
    with socket.create_connection((address.host, address.port)) as sock:
        sock.settimeout(2.0)
        for _ in range(REQUESTS):
            time.sleep(pause)
            try:
                sock.sendall(GET)
                answers.append(sock.recv(65536).split(b"\r\n")[0])
            except OSError as error:
                answers.append(repr(error))
    return answers


# Guards against a request on a kept connection that ended without a byte: the
# deadline of the one before it left a task that read the same socket.
@pytest.mark.parametrize("pause", [0.0, 4 * DEADLINE_SECONDS])
def test_request_after_an_answer_at_its_deadline_is_answered(pause):
    async def main():
        front = server.Server(_handle)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        return await curio.run_in_thread(_ask, address, pause)

    assert curio.run(main) == [b"HTTP/1.1 200 "] * REQUESTS
