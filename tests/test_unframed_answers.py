"""Test answers with neither a length nor chunks, which end by a close."""

import struct

import curio
import pytest

from sycamoredale import errors
from sycamoredale.http import messages
from tests import test_forwarder

EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(1, 7)]


class UnframedEndpoint:
    """Answer on raw sockets with the given bytes, then close or reset."""

    def __init__(self, name, body=b"".join(EVENTS), resets=False):
        self.name = name
        self.body = body
        self.resets = resets
        self.server = self
        self.requests = 0
        self._sock = curio.socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(5)
        self.address = messages.Address(*self._sock.getsockname())

    async def start(self):
        await curio.spawn(self._run, daemon=True)

    async def _run(self):
        while True:
            sock, _ = await self._sock.accept()
            await curio.spawn(self._answer, sock, daemon=True)

    async def _answer(self, sock):
        received = b""
        while b"\r\n\r\n" not in received:
            data = await sock.recv(65536)
            if not data:
                return
            received += data
        self.requests += 1
        await sock.sendall(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nReplica-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\n\r\n"
        )
        await sock.sendall(self.body)
        await curio.sleep(0.05)
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(
                curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, linger
            )
        await sock.close()


def test_stream_that_ends_with_its_connection_is_whole():
    endpoint = UnframedEndpoint("i0")
    caller, refusal = test_forwarder.Site(endpoint).run()
    assert refusal is None
    assert caller.finished
    assert caller.body == b"".join(EVENTS)
    assert endpoint.requests == 1


@pytest.mark.parametrize(
    "body, resets",
    [
        (b"".join(EVENTS[:3]) + b"id: 4\nda", False),
        (b"".join(EVENTS[:3]), True),
        (b"".join(EVENTS[:3]) + b"id: 4\nda", True),
    ],
    ids=["inside an event", "reset", "reset inside an event"],
)
def test_stream_that_is_broken_off_continues_elsewhere(body, resets):
    first = UnframedEndpoint("i0", body, resets)
    caller, refusal = test_forwarder.Site(
        first, test_forwarder.Endpoint("i1")
    ).run()
    assert refusal is None
    assert caller.finished
    assert caller.body == b"".join(EVENTS)


# Guards against an engine that ends after the head of its answer, whose
# callers got an empty stream as a whole answer.
def test_stream_without_any_event_is_broken_off():
    first = UnframedEndpoint("i0", b"")
    caller, refusal = test_forwarder.Site(
        first, test_forwarder.Endpoint("i1")
    ).run()
    assert refusal is None
    assert caller.body == b"".join(EVENTS)


def test_stream_without_any_event_is_no_success_if_it_may_not_be_resent():
    first = UnframedEndpoint("i0", b"")
    caller, refusal = test_forwarder.Site(first, may_retry=False).run()
    assert isinstance(refusal, errors.Refusal)
    assert not caller.finished
