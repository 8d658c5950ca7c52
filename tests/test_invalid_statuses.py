"""Test answers whose status is outside of the range of HTTP."""

import curio
import pytest

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from tests import test_forwarder
from tests import test_unframed_answers

BODY = b"".join(test_unframed_answers.EVENTS)
STATUSES = pytest.mark.parametrize(
    "status",
    "000 001 099 101 199 20 1000 600 700 999".split(),
)
FRAMINGS = {
    "length": b"HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s",
    "chunks": (
        b"HTTP/1.1 %s X\r\n%sTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n0\r\n\r\n"
    ),
    "none": b"HTTP/1.1 %s X\r\n%sX-Size: %d\r\n\r\n%s",
    "HTTP/1.0": b"HTTP/1.0 %s X\r\n%sX-Size: %d\r\n\r\n%s",
}
HEADERS = (
    b"Attempt-Id: r1\r\nReplica-Seal: s\r\nContent-Type: text/event-stream\r\n"
)


class InvalidEndpoint(test_unframed_answers.UnframedEndpoint):
    """Answer with a status and a whole body, then close."""

    def __init__(self, name, status, framing="length"):
        super().__init__(name)
        self.answer = FRAMINGS[framing] % (
            status.encode(),
            HEADERS,
            len(BODY),
            BODY,
        )

    async def _answer(self, sock):
        if not await sock.recv(65536):
            return
        self.requests += 1
        await sock.sendall(self.answer)
        await curio.sleep(0.05)
        await sock.close()


# Guards against MIXED: a caller receives an answer of an endpoint in trouble
# whose status is none.
@STATUSES
@pytest.mark.parametrize("framing", FRAMINGS)
def test_answer_with_an_invalid_status_is_not_passed_on(status, framing):
    endpoint = InvalidEndpoint("i0", status, framing)
    caller, refusal = test_forwarder.Site(endpoint, may_retry=False).run()
    assert endpoint.requests == 1
    assert not caller.started
    assert isinstance(refusal, errors.Refusal)
    assert refusal.code is error_codes.ENDPOINT_FAILED
    assert refusal.execution is error_codes.Execution.UNKNOWN


@STATUSES
def test_request_that_may_run_again_is_resent_after_an_invalid_status(status):
    caller, refusal = test_forwarder.Site(
        InvalidEndpoint("i0", status), test_forwarder.Endpoint("i1")
    ).run()
    assert refusal is None
    assert caller.status == 200
    assert caller.body == BODY


@STATUSES
def test_stream_is_not_resumed_by_an_answer_with_an_invalid_status(status):
    second = InvalidEndpoint("i1", status)
    caller, _ = test_forwarder.Site(
        test_forwarder.Endpoint("i0", "cut", 2), second
    ).run()
    assert second.requests == 1
    assert not caller.finished
    assert caller.body == b"".join(test_unframed_answers.EVENTS[:2])


@STATUSES
def test_report_with_an_invalid_status_is_broken(status):
    """Reports, health answers and calls to peers and the store use this."""
    endpoint = InvalidEndpoint("i0", status)

    async def main():
        await endpoint.start()
        with pytest.raises(errors.ConnectionBroken):
            await client.Pool().call(
                endpoint.address, messages.Request("GET", "/report"), 2.0
            )

    curio.run(main)
