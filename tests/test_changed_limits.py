"""Test that changed limits hold for the next request of a kept connection."""

import socket
import time

import curio
import pytest

from sycamoredale.http import messages
from sycamoredale.http import server

SMALL = server.Limits(header_limit_bytes=1024)
LARGE = server.Limits(header_limit_bytes=32768)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
# In pieces: h11 checks the size of a head that has not arrived whole.
LARGE_REQUEST = [
    REQUEST[:-2],
    *(b"A%d: %b\r\n" % (n, b"a" * 1000) for n in range(4)),
    b"\r\n",
]


def _ask(caller, pieces):
    for piece in pieces:
        caller.sendall(piece)
        time.sleep(0.02)
    return caller.recv(65536).split(b" ")[1]


# Guards against 431 for requests on kept connections that the configuration
# in force allows: each connection kept the limit of its beginning.
@pytest.mark.parametrize(
    ("before", "after", "status"),
    [(SMALL, LARGE, b"200"), (LARGE, SMALL, b"431")],
)
def test_limit_of_headers_changes_on_a_kept_connection(before, after, status):
    async def handle(exchange):
        await exchange.respond(messages.Response(200))

    async def main():
        front = server.Server(handle, before)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        caller = socket.create_connection((address.host, address.port))
        caller.settimeout(2)
        first = await curio.run_in_thread(_ask, caller, [REQUEST])
        front.set_limits(after)
        second = await curio.run_in_thread(_ask, caller, LARGE_REQUEST)
        caller.close()
        return first, second

    assert curio.run(main) == (b"200", status)
