"""Test answers that an endpoint writes beyond the one that is due."""

import dataclasses

import curio
import pytest

from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.platform import wire_format
from tests import test_forwarder
from tests import test_platform_codec as codec
from tests import test_unframed_answers

REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
WHOLE = b"".join(test_unframed_answers.EVENTS)


class RefusesOnceMore(test_unframed_answers.UnframedEndpoint):
    """Refuse the first request, write the refusal again, run the others.

    `moment` is when the refusal is written again.
    """

    def __init__(self, name, moment):
        super().__init__(name)
        self.moment = moment
        self.count = 0
        self.ran = []

    async def _answer(self, sock):
        while request := await _read_request(sock):
            self.count += 1
            if self.count == 1:
                again = self.moment == "at once"
                await sock.sendall(REFUSAL * (1 + again))
                continue
            self.ran.append(request.decode())
            if self.moment == "before the next answer":
                await sock.sendall(REFUSAL)
            await sock.sendall(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: s\r\n"
                b"Content-Type: text/event-stream\r\nContent-Length: %d"
                b"\r\n\r\n%s" % (request, len(WHOLE), WHOLE)
            )


async def _read_request(sock):
    """Return the id of the next request, none at the end."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = await sock.recv(65536)
        if not data:
            return b""
        received += data
    lines = dict(
        line.lower().split(b": ")
        for line in received.split(b"\r\n")
        if b": " in line
    )
    return lines[b"attempt-id"]


async def _send(site, request_id):
    call = site.call()
    call = dataclasses.replace(
        call,
        envelope=dataclasses.replace(call.envelope, id=request_id),
        request=messages.Request(
            "POST", "/a/x", messages.Headers([("Attempt-Id", request_id)])
        ),
    )
    progress = progress_module.begin(call)
    caller = test_forwarder.Caller()
    try:
        await site.forwarder.run(progress, caller)
    except errors.Refusal:
        pass
    await curio.sleep(0.05)
    site.endpoint_table.clear_suspicions()
    return progress, caller


# Guards against requests that are reported as not run, or run at a second
# endpoint, because of the refusal of an earlier request.
@pytest.mark.parametrize("moment", ["at once", "before the next answer"])
def test_refusal_of_an_earlier_request_refuses_no_other(moment):
    first = RefusesOnceMore("i0", moment)
    second = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(first, second)

    async def main():
        await first.start()
        await second.server.start()
        await _send(site, "r1")
        progress, caller = await _send(site, "r2")
        assert caller.body == WHOLE
        runs = first.ran.count("r2") + sum(
            request.headers.get("Attempt-Id") == "r2"
            for request in second.requests
        )
        assert progress.run_count == runs

    curio.run(main)


class WritesTwice(test_unframed_answers.UnframedEndpoint):
    """Number the answers, and write the first one twice."""

    def __init__(self, name, framing, together):
        super().__init__(name)
        self.framing = framing
        self.together = together
        self.connections = 0
        self.count = 0

    async def _answer(self, sock):
        self.connections += 1
        while await _read_request(sock):
            self.count += 1
            answer = self._numbered()
            if self.count > 1:
                await sock.sendall(answer)
            elif self.together:
                await sock.sendall(answer * 2)
            else:
                await sock.sendall(answer)
                await curio.sleep(0.05)
                await sock.sendall(answer)

    def _numbered(self):
        if self.framing == "chunks":
            return (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"1\r\n%d\r\n0\r\n\r\n" % self.count
            )
        return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % self.count


# Guards against reports, lists and answers of peers that are those to an
# earlier call: the answer was written twice, and one copy was kept.
@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_second_copy_of_an_answer_is_not_the_answer_to_the_next_call(
    framing, together
):
    endpoint = WritesTwice("i0", framing, together)
    request = messages.Request(
        "GET", "/", messages.Headers([("Attempt-Id", "any")])
    )

    async def main():
        await endpoint.start()
        pool = client.Pool()
        for number in (b"1", b"2", b"3"):
            answer = await pool.call(endpoint.address, request, 1.0)
            assert answer.body == number
            await curio.sleep(0.1)
        assert endpoint.connections == 2

    curio.run(main)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
@pytest.mark.parametrize("other", ["r0", ""])
def test_refusal_without_the_id_of_the_request_is_none(status, other):
    fields = {"Attempt_Id": other} if other else {}
    head = codec._head(status, Not_Executed="1", **fields)
    answer = wire_format.read_answer(codec._call(), head)
    assert answer.kind is calls.AnswerKind.OTHER_REQUEST


def test_request_without_an_id_is_refused_without_one():
    head = codec._head(400, Not_Executed="1")
    answer = wire_format.read_answer(codec._call(request_id=""), head)
    assert answer.kind is calls.AnswerKind.NOT_RUN
