"""Test that a stop ends open requests with answers despite errors."""

import socket

import curio

from sycamoredale.http import messages
from sycamoredale.http import server
from tests import test_local_failures

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


# Guards against a stop that ended at once, with all open requests, because a
# connection in the backlog could not be accepted for lack of descriptors.
def test_stop_without_descriptors_waits_for_open_requests():
    async def handle(exchange):
        await curio.sleep(0.5)
        await exchange.respond(messages.Response(200))

    async def main():
        front = server.Server(handle)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        caller = socket.create_connection((address.host, address.port))
        late = socket.socket()
        caller.sendall(REQUEST)
        await curio.sleep(0.1)
        with test_local_failures.no_free_descriptor():
            late.connect((address.host, address.port))
            is_complete = await front.drain(3.0)
        caller.settimeout(1)
        answer = await curio.run_in_thread(caller.recv, 65536)
        caller.close()
        late.close()
        return is_complete, answer.split(b"\r\n")[0]

    assert curio.run(main) == (True, b"HTTP/1.1 200 ")
