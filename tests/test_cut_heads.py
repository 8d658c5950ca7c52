"""Test answers whose head ends before it is complete."""

import curio
import pytest

from sycamoredale.config import model
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import call as call_module
from sycamoredale.routing import table
from tests import test_continued_streams
from tests import test_forwarder
from tests import test_relay

FIELDS = b"Attempt-Id: r1\r\nX-Request-Id: r1\r\nReplica-Seal: s\r\n"
CUT_HEADS = {
    "nothing": b"",
    "status": b"HTTP/1.1 200 OK",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "fields": b"HTTP/1.1 200 OK\r\n" + FIELDS,
    "inside a field": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Ty",
    "inside the length": b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Content-Length: 1",
    "before the empty line": b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Content-Length: 10\r\n\r",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
}
REQUEST = messages.Request("GET", "/x")


class CutEndpoint(test_continued_streams.RawEndpoint):
    """Write part of a head and close, also for the tests of relays."""

    async def run(self):
        """Serve until cancelled."""
        await self.start()
        await curio.sleep(60)


@pytest.fixture(params=list(CUT_HEADS))
def endpoint(request):
    """Return an endpoint for each place at which a head is cut."""
    return CutEndpoint("i0", CUT_HEADS[request.param])


# Guards against a success with an empty or short body, framed as whole, when
# an endpoint closes in the middle of its head.
@pytest.mark.parametrize("may_retry", [True, False])
def test_cut_head_is_no_success_for_the_caller(endpoint, may_retry):
    caller, refusal = test_forwarder.Site(endpoint, may_retry=may_retry).run()
    assert caller.status is None
    assert refusal.execution.value == "unknown"
    assert endpoint.requests == 1


# Reports, lists of the store and the words of peers use the same pool.
def test_cut_head_is_no_answer_to_a_call(endpoint):
    async def main():
        await endpoint.start()
        with pytest.raises(errors.ConnectionBroken):
            await client.Pool().call(endpoint.address, REQUEST, 1.0)

    curio.run(main)


@pytest.mark.parametrize("lost", ["endpoint", "peer"])
def test_cut_head_is_no_answer_through_a_peer(endpoint, lost):
    if lost == "peer":
        endpoint.body = endpoint.body or b"HTTP"

    async def main():
        async with test_relay._fleet(endpoint) as (own, others):
            connection = await own.connector.open(endpoint.address, 0.3)
            await connection.send(REQUEST)
            if lost == "peer":
                await curio.sleep(0.02)
                await others[0].lose_connections()
            with pytest.raises(errors.ConnectionBroken):
                await connection.read_head()

    curio.run(main)


def test_cut_head_is_no_answer_on_the_own_interface(endpoint):
    service = model.Service("bookings", model.ServiceKind.PLAIN, 1)
    call = call_module.Call(
        id="r1",
        organisation="o",
        service=service,
        upstream=REQUEST,
        idempotent=True,
        stream=False,
        key=None,
        deadline_seconds=60.0,
    )
    attempt = attempt_module.Attempt(
        call,
        table.Endpoint("e1", "bookings", "v1", "kochi", endpoint.address),
        REQUEST,
    )

    async def main():
        await endpoint.start()
        with pytest.raises(errors.ConnectionBroken):
            await attempt_module.fetch(attempt, client.Pool())

    curio.run(main)
