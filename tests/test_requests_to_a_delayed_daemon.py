"""Test requests that arrive while the daemon cannot run."""

import socket
import threading
import time

import curio

from sycamoredale.http import messages
from sycamoredale.http import request_reader
from sycamoredale.http import server
from sycamoredale import loop_delays

TIMEOUT_SECONDS = 0.4
DELAY_SECONDS = 0.8
# More than one read of a socket returns.
BODY = b"x" * 60_000
HEAD = f"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: {len(BODY)}\r\n\r\n"


def _status(body):
    """Return the answer to a request whose body is sent during a delay."""
    delays = loop_delays.LoopDelays()
    statuses = []

    def send(address):
        with socket.create_connection((address.host, address.port)) as sock:
            sock.sendall(HEAD.encode())
            time.sleep(0.3)
            sock.sendall(body)
            statuses.append(int(sock.recv(100).split()[1]))

    async def answer(exchange):
        assert exchange.request.body == BODY
        await exchange.respond(messages.Response(200, messages.Headers(), b""))

    async def main():
        listening = server.Server(
            answer,
            request_reader.Limits(request_timeout_seconds=TIMEOUT_SECONDS),
            delays=delays,
        )
        address = listening.bind(messages.Address("127.0.0.1", 0))
        await listening.start()
        thread = threading.Thread(target=send, args=(address,))
        thread.start()
        await curio.sleep(0.1)
        time.sleep(DELAY_SECONDS)
        while thread.is_alive():
            await curio.sleep(0.02)

    curio.run(main, selector=loop_delays.DelayRecordingSelector(delays))
    return statuses[0]


# Guards against callers that are refused as slow though their requests have
# arrived while the daemon could not run.
def test_request_that_arrived_during_an_own_delay_is_not_late():
    assert _status(BODY) == 200


def test_slow_request_is_refused_though_the_daemon_was_delayed():
    assert _status(BODY[:-1]) == 408
