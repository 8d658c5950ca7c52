"""Test what a planned stop does with requests that arrive late or wait.

Each request that the server has read gets a complete answer before the end of
the grace, and none is begun that would be cut off there.
"""

import curio
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import service as service_module
from sycamoredale.forwarding import stop_plan
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server as server_module
from tests import test_forwarder
from tests import test_relay

GRACE_SECONDS = 2.0
LISTEN_SECONDS = 0.6
HEAD = b"POST /a/x HTTP/1.1\r\nHost: a\r\nAttempt-Id: r1\r\n"


class _SlowEndpoint(test_forwarder.Endpoint):
    """Answer after some seconds, or stream for some."""

    def __init__(self, name, seconds, streams=False):
        super().__init__(name)
        self.seconds = seconds
        self.streams = streams

    async def _handle(self, exchange):
        if not self.streams:
            await curio.sleep(self.seconds)
        else:
            self.event_seconds = self.seconds / test_forwarder.EVENTS
        await super()._handle(exchange)


class _Service(service_module.CallService):
    """Route every request to the one site."""

    def __init__(self, site):
        super().__init__(lambda request: None, None, site.forwarder)
        self.site = site

    def _build_call(self, envelope, request, now):
        return self.site.call()

    def _record_end(self, *args):
        pass

    def _log_refused(self, *args):
        pass


class _Daemon:
    """Serve one site, and stop as a daemon does."""

    def __init__(self, endpoint, may_retry=True):
        self.endpoint = endpoint
        self.site = test_forwarder.Site(endpoint, may_retry=may_retry)
        self.server = server_module.Server(
            _Service(self.site).handle, serves_while_draining=True
        )

    async def start(self):
        await self.endpoint.server.start()
        address = self.server.bind(messages.Address("127.0.0.1", 0))
        await self.server.start()
        return address

    async def exit(self):
        """End all connections, as the end of the process does."""
        await curio.sleep(0.05)
        for connection in list(self.server._connections):
            await connection.task.cancel()

    async def stop(self):
        self.site.forwarder.stop_plan.answers_until = clock.MonotonicTime(
            clock.monotonic()
            + GRACE_SECONDS
            - server_module.ANSWER_RESERVE_SECONDS
        )
        return await self.server.drain(GRACE_SECONDS, LISTEN_SECONDS)


async def _read_all(sock):
    received = b""
    try:
        while data := await sock.recv(65536):
            received += data
    except OSError:
        return received
    return received


def _is_complete(received):
    head, _, body = received.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) == int(line.partition(b":")[2])
    return False


def _stop_with_request(
    daemon, begin_at, complete_at, begins_before_stop=False
):
    """Send a request whose head ends some time after the stop began.

    Returns the answer and whether the drain was complete.
    """

    async def main():
        address = await daemon.start()
        sock = await curio.open_connection(address.host, address.port)
        if begins_before_stop:
            await sock.sendall(HEAD)
            await curio.sleep(0.05)
        stopping = await curio.spawn(daemon.stop)
        await curio.sleep(begin_at)
        if not begins_before_stop:
            await sock.sendall(HEAD)
        await curio.sleep(complete_at - begin_at)
        reader = await curio.spawn(_read_all, sock)
        try:
            await sock.sendall(b"\r\n")
        except OSError:
            pass
        is_complete = await stopping.join()
        await daemon.exit()
        return await reader.join(), is_complete

    return curio.run(main)


# Pattern: a connection with half a head is not idle, and its request becomes
# complete late in the grace.
@pytest.mark.parametrize("complete_at", [0.8, 1.4, 1.7, 1.9])
@pytest.mark.parametrize("may_retry", [True, False])
def test_request_that_is_complete_late_is_refused_and_not_passed_on(
    complete_at, may_retry
):
    endpoint = _SlowEndpoint("i0", 1.0)
    daemon = _Daemon(endpoint, may_retry)
    received, _ = _stop_with_request(daemon, 0.0, complete_at, True)
    assert not endpoint.requests
    assert received.startswith(b"HTTP/1.1 503")
    assert b"connection: close" in received.lower()
    assert b'"execution":"not_run"' in received
    assert _is_complete(received)


def test_request_that_arrives_while_the_server_listens_is_answered():
    daemon = _Daemon(_SlowEndpoint("i0", 0.3))
    received, is_complete = _stop_with_request(daemon, 0.2, 0.2)
    assert received.startswith(b"HTTP/1.1 200")
    assert _is_complete(received)
    assert is_complete


# Pattern: an accepted request is still at its endpoint when the grace ends.
@pytest.mark.parametrize("may_retry", [True, False])
def test_request_without_an_answer_at_the_end_is_told_that_it_may_have_run(
    may_retry,
):
    endpoint = _SlowEndpoint("i0", 5.0)
    daemon = _Daemon(endpoint, may_retry)
    received, _ = _stop_with_request(daemon, 0.1, 0.1)
    assert len(endpoint.requests) <= 1
    # No other endpoint could answer, so the silent one is not given up.
    assert received.startswith(b"HTTP/1.1 504")
    assert b'"execution":"unknown"' in received
    assert _is_complete(received)


# Pattern: an accepted request waits in the daemon until the grace ends.
def test_request_that_waits_until_the_end_is_told_that_it_has_not_run():
    daemon = _Daemon(_SlowEndpoint("i0", 0.1))

    async def wait_for_ever(part_keys, now):
        await curio.sleep(60)

    daemon.site.forwarder.parts.admit = wait_for_ever
    received, _ = _stop_with_request(daemon, 0.1, 0.1)
    assert received.startswith(b"HTTP/1.1 503")
    assert b'"execution":"not_run"' in received
    assert not daemon.endpoint.requests


def test_started_stream_ends_complete_within_the_grace():
    daemon = _Daemon(_SlowEndpoint("i0", 1.2, streams=True))
    received, is_complete = _stop_with_request(daemon, 0.1, 0.1)
    assert received.startswith(b"HTTP/1.1 200")
    assert _is_complete(received)
    assert is_complete


def test_stream_that_is_cut_at_the_end_does_not_look_complete():
    daemon = _Daemon(_SlowEndpoint("i0", 6.0, streams=True))
    received, is_complete = _stop_with_request(daemon, 0.1, 0.1)
    assert received.startswith(b"HTTP/1.1 200")
    assert not _is_complete(received)
    assert not is_complete


def test_handler_that_waits_on_any_server_is_answered_at_the_end():
    async def handle(exchange):
        await curio.sleep(60)

    async def main():
        server = server_module.Server(handle)
        address = server.bind(messages.Address("127.0.0.1", 0))
        await server.start()
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(HEAD + b"\r\n")
        await curio.sleep(0.05)
        reader = await curio.spawn(_read_all, sock)
        await server.drain(0.6)
        return await reader.join()

    received = curio.run(main)
    assert received.startswith(b"HTTP/1.1 504")
    assert _is_complete(received)


def _route(name="r", objective_seconds=0.2):
    return catalogue.Route(
        name=name,
        host="a",
        path_prefix="/",
        retry_policy=catalogue.RetryPolicy.ANY,
        weight_by_service=(),
        timeout_seconds=8.0,
        objective_seconds=objective_seconds,
        max_event_gap_seconds=1.0,
        priority=0,
        max_runs=2,
        public=True,
        resumable=False,
    )


def test_plan_allows_everything_before_the_stop():
    plan = stop_plan.StopPlan()
    plan.record_answered(_route(), 1e6)
    assert plan.may_begin(_route(), clock.MonotonicTime(0.0))


@pytest.mark.parametrize(
    ("seconds", "left", "allowed"),
    [(None, 0.1, False), (None, 0.3, True), (2.0, 1.9, False), (2.0, 4, True)],
)
def test_plan_compares_the_time_left_with_what_the_route_takes(
    seconds, left, allowed
):
    plan = stop_plan.StopPlan(clock.MonotonicTime(100.0))
    if seconds is not None:
        plan.record_answered(_route(), seconds)
    now = clock.MonotonicTime(100.0 - left)
    assert plan.may_begin(_route(), now) is allowed


def test_plan_follows_a_route_that_has_become_faster():
    plan = stop_plan.StopPlan()
    plan.record_answered(_route(), 3.0)
    for _ in range(60):
        plan.record_answered(_route(), 0.1)
    assert plan.usual_seconds(_route()) < 0.3


# Pattern: an endpoint refuses late in the grace; another send would be cut.
def test_no_send_is_repeated_without_time_for_its_answer():
    refusing = test_forwarder.Endpoint("i0", "refuses")
    other = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(refusing, other)
    site.forwarder.stop_plan.answers_until = clock.monotonic()
    caller, refusal = site.run()
    assert isinstance(refusal, errors.Refusal)
    assert refusal.execution.value == "not_run"
    assert not other.requests and not caller.started


def test_stop_says_not_run_only_of_a_request_that_was_not_sent():
    site = test_forwarder.Site(test_forwarder.Endpoint("i0"))
    progress = progress_module.begin(site.call())
    assert progress_module.stop_refusal(progress).code.status == 503
    progress.is_sent = True
    assert progress_module.stop_refusal(progress).code.status == 504


# Pattern: a peer keeps a relayed connection and begins a request on it late.
def test_stopping_peer_begins_no_exchange_on_a_kept_relay():
    async def main():
        endpoint = test_relay.Endpoint()
        async with test_relay._fleet(endpoint) as (own, (peer, *_)):
            pool = client.Pool(own.connector.open, own.connector.may_reuse)
            await pool.call(endpoint.address, test_relay.REQUEST, 1.0)
            peer.relay_service.is_stopping = lambda: True
            with pytest.raises(errors.SycamoredaleError):
                await pool.call(endpoint.address, test_relay.REQUEST, 1.0)
            assert endpoint.requests == 1

    curio.run(main)


# Pattern: a route whose answers take between 0.2 and 3 s, early in a stop.
def test_plan_begins_most_requests_of_a_route_of_mixed_lengths():
    plan = stop_plan.StopPlan(clock.MonotonicTime(100.0))
    for number in range(200):
        plan.record_answered(_route(), (0.2, 0.5, 0.9, 3.0)[number % 4])
    assert plan.may_begin(_route(), clock.MonotonicTime(95.5))
    assert not plan.may_begin(_route(), clock.MonotonicTime(99.0))
