"""Test forwarding to endpoints on loopback that fail in many ways."""

import dataclasses
import struct

import curio
import pytest

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import forwarder as forwarder_module
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import send_log
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.platform import wire_format
from sycamoredale.requests import part_admission
from sycamoredale.requests import poison
from tests import instance_fixtures
from tests import link_fixtures
from tests import test_platform_codec as codec

EVENTS = 6
EVENT_SECONDS = 0.01


class Endpoint:
    """Stream numbered events, and fail with `fault` after event `fail_at`."""

    event_seconds = EVENT_SECONDS

    def __init__(self, name, fault=None, fail_at=0):
        self.name = name
        self.fault = fault
        self.fail_at = fail_at
        self.requests = []
        self.server = server.Server(self._handle)
        self.address = self.server.bind(messages.Address("127.0.0.1", 0))

    async def _handle(self, exchange):
        request = exchange.request
        self.requests.append(request)
        if self.fault == "refuses":
            fields = [
                ("Not-Executed", "1"),
                ("Attempt-Id", request.headers.get("Attempt-Id")),
            ]
            await exchange.respond(
                messages.Response(503, messages.Headers(fields))
            )
            return
        if self.fault == "other":
            exchange.request = messages.Request(
                "GET", "/", messages.Headers([("Attempt-Id", "r0")])
            )
        fields = [
            ("Attempt-Id", exchange.request.headers.get("Attempt-Id")),
            ("Replica-Seal", f"seal of {self.name}"),
        ]
        if self.fault == "error":
            await exchange.respond(
                messages.Response(500, messages.Headers(fields), b"failed")
            )
            return
        if self.fault == "silent":
            await curio.sleep(30)
        last = int(request.headers.get("Last-Event-Id") or 0)
        fields.append(("Content-Type", messages.EVENT_STREAM_TYPE))
        head = messages.ResponseHead(200, messages.Headers(fields))
        await exchange.start(head)
        for number in range(last + 1, EVENTS + 1):
            if self.fault and number > self.fail_at:
                await self._fail(exchange)
            await exchange.write(b"id: %d\ndata: x\n\n" % number)
            # A stream that breaks after its last event has no rest.
            if number < EVENTS:
                await curio.sleep(self.event_seconds)
        await exchange.finish()

    async def _fail(self, exchange):
        if self.fault == "crashes":
            await self.server._close_listener()
            raise ConnectionAbortedError(self.fault)
        if self.fault == "stalls":
            await curio.sleep(30)
        if self.fault == "half":
            await exchange.write(b"id: 9\nda")
        raise ConnectionAbortedError(self.fault)


class FullEndpoint:
    """Reset each new connection, as an endpoint at its limit does."""

    def __init__(self, name):
        self.name = name
        self.server = self
        self._sock = curio.socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(5)
        self.address = messages.Address(*self._sock.getsockname())
        self.resets = 0

    async def start(self):
        await curio.spawn(self._run, daemon=True)

    async def _run(self):
        while True:
            sock, _ = await self._sock.accept()
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(
                curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, linger
            )
            await sock.close()
            self.resets += 1


class Site:
    """Run one forwarder in front of several endpoints."""

    def __init__(
        self, *servers, may_retry=True, seconds=8.0, held=None, subsets=None
    ):
        self.servers = servers
        instances = instance_table.InstanceTable()
        endpoint_table = endpoints.EndpointTable(
            instances, lambda: instance_fixtures.SERVICES, lambda: frozenset()
        )
        now = clock.monotonic()
        for epoch, item in enumerate(servers):
            key = instance_fixtures.key("large", epoch + 1)
            membership = (key, 0, instance_state.MemberState.OPEN)
            instance = instance_fixtures.instance(
                item.name,
                zone=getattr(item, "zone", "a"),
                membership=membership,
                address=item.address,
            )
            instances.apply_listed(instance, now)
            # Each endpoint has more load than the one before it.
            endpoint_table.by_id[item.name].set_peer_load(float(epoch), now)
        self.endpoint_table = endpoint_table
        selector = endpoint_selection.EndpointSelector(
            endpoint_table,
            instances,
            ids.ZoneName("a"),
            instance_fixtures.cold_quota_of(1),
            subsets=subsets,
        )
        self.forwarder = forwarder_module.Forwarder(
            wire_format,
            selector,
            retry_budget.RetryBudget(
                0.2, 100.0, 10.0, lambda: 1, clock.MonotonicTime(0.0)
            ),
            poison.PoisonDetector(),
            part_admission.PartAdmission(),
            link_fixtures.connector(endpoint_table),
            held_answers=held or held_bytes.HeldBytes(),
        )
        self.may_retry = may_retry
        self.seconds = seconds

    def call(self):
        call = codec._call([("Model", "large")])
        now = clock.monotonic()
        route = call.route
        if not self.may_retry:
            route = dataclasses.replace(route, resumable=False)
        return calls.Call(
            call.envelope,
            messages.Request(
                "POST", "/a/x", messages.Headers([("Attempt-Id", "r1")]), b"b"
            ),
            route,
            call.service,
            call.organisation,
            now,
            clock.MonotonicTime(now + self.seconds),
            poison.Fingerprint("f"),
        )

    def run(self):
        """Return what the caller received, and the refusal if there is one."""
        caller = Caller()

        async def main():
            for item in self.servers:
                if item.server._sock._socket.fileno() >= 0:
                    await item.server.start()
            try:
                progress = progress_module.begin(self.call())
                return await self.forwarder.run(progress, caller)
            except errors.Refusal as refusal:
                return refusal

        return caller, curio.run(main)


class Caller:
    """Record an answer, with the interface of an exchange."""

    def __init__(self):
        self.started = False
        self.finished = False
        self.status = None
        self.headers = None
        self.body = b""

    async def start(self, head):
        self.started = True
        self.status = head.status
        self.headers = head.headers

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.finished = True

    async def respond(self, response):
        await self.start(response)
        await self.write(response.body)
        await self.finish()

    async def wait_for_disconnect(self):
        await curio.sleep(60)


COMPLETE = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1))


def test_connection_reset_before_the_send_is_safe_without_retries():
    """Idle and abandoned connections of many daemons fill an endpoint.

    It resets new connections, and the request must count as not run.
    """
    first, second = FullEndpoint("i0"), Endpoint("i1")
    caller, _ = Site(first, second, may_retry=False).run()
    assert first.resets == 1
    assert caller.finished
    assert caller.body == COMPLETE


def test_refusal_says_not_run_if_all_connections_were_reset():
    first, second = FullEndpoint("i0"), FullEndpoint("i1")
    caller, refusal = Site(first, second, may_retry=False).run()
    assert not caller.started
    assert refusal.execution is error_codes.Execution.NOT_RUN


@pytest.mark.parametrize(
    "daemons, kept", [(1, 1), (175, 1), (176, 0), (10_000, 0)]
)
def test_idle_connections_are_divided_among_the_daemons(daemons, kept):
    endpoint = Endpoint("i0")
    site = Site(endpoint)
    site.forwarder.count_daemons = lambda: daemons
    site.run()
    idle = site.forwarder._pool.idle_by_address[endpoint.address]
    assert len(idle) == kept


def test_answer_is_relayed():
    caller, _ = Site(Endpoint("i0")).run()
    assert caller.finished
    assert caller.body == COMPLETE
    assert caller.headers.get("Replica-Seal") == "seal of i0"


@pytest.mark.parametrize("fault", ["cut", "half", "stalls"])
@pytest.mark.parametrize("fail_at", [1, 4])
def test_stream_continues_on_another_endpoint_after_the_last_event(
    fault, fail_at
):
    second = Endpoint("i1")
    caller, _ = Site(Endpoint("i0", fault, fail_at), second).run()
    assert caller.finished
    assert caller.body == COMPLETE
    # The answer has the head of the first endpoint.
    assert caller.headers.get("Replica-Seal") == "seal of i0"
    sent = second.requests[0].headers
    assert sent.get("Last-Event-Id") == str(fail_at)
    assert sent.get("Request-Priority") == "2"


@pytest.mark.parametrize("fault", ["refuses", "silent", "other", "error"])
def test_call_without_an_answer_is_resent_to_another_endpoint(fault):
    caller, _ = Site(Endpoint("i0", fault), Endpoint("i1")).run()
    assert caller.body == COMPLETE
    assert caller.headers.get("Replica-Seal") == "seal of i1"


# Pattern: endpoints whose groups have lost a member begin each stream, and
# send no head.  Each of them has run the request.
def test_streams_left_before_their_head_count_as_runs():
    silent = [Endpoint(f"i{n}", "silent") for n in range(4)]
    site = Site(*silent)
    _, refusal = site.run()
    assert sum(len(e.requests) for e in silent) == site.call().route.max_runs
    assert refusal.execution is error_codes.Execution.UNKNOWN


def test_stalled_endpoint_is_suspected():
    site = Site(Endpoint("i0", "stalls", 2), Endpoint("i1"))
    site.run()
    assert site.endpoint_table.by_id["i0"].is_suspect(clock.monotonic())
    assert not site.endpoint_table.by_id["i1"].is_suspect(clock.monotonic())


def test_stream_without_retries_is_never_sent_twice():
    second = Endpoint("i1")
    caller, refusal = Site(
        Endpoint("i0", "cut", 2), second, may_retry=False
    ).run()
    assert not second.requests
    assert not caller.finished
    assert isinstance(refusal, errors.Refusal)
    assert refusal.code.status == 502


def test_request_that_an_endpoint_refused_may_always_be_resent():
    caller, _ = Site(
        Endpoint("i0", "refuses"), Endpoint("i1"), may_retry=False
    ).run()
    assert caller.body == COMPLETE


def test_runs_of_a_request_are_limited_by_its_route():
    servers = [Endpoint(f"i{n}", "cut", n + 1) for n in range(4)]
    caller, refusal = Site(*servers).run()
    assert isinstance(refusal, errors.Refusal)
    assert not caller.finished
    assert sum(bool(item.requests) for item in servers) == 2


def test_refusal_if_all_endpoints_refuse():
    caller, refusal = Site(
        Endpoint("i0", "refuses"), Endpoint("i1", "refuses")
    ).run()
    assert not caller.started
    assert refusal.code.status == 503
    assert refusal.retry_after


def test_error_answer_is_relayed_unchanged():
    caller, _ = Site(Endpoint("i0", "error")).run()
    assert caller.status == 500
    assert caller.body == b"failed"
    assert caller.headers.get("Replica-Seal") == "seal of i0"


def test_call_ends_at_its_deadline():
    started = clock.monotonic()
    _, refusal = Site(Endpoint("i0", "silent"), seconds=0.3).run()
    assert isinstance(refusal, errors.Refusal)
    assert clock.monotonic() - started < 1.5


def test_broken_connections_to_closed_groups_are_no_crashes():
    site = Site(*(Endpoint(f"i{n}", "cut", 0) for n in range(2)))
    site.run()
    site.forwarder.poison_detector.check_fingerprint(
        poison.Fingerprint("f"), clock.monotonic()
    )


def test_unreachable_endpoints_do_not_use_the_retry_budget():
    unreachable = Endpoint("i0")
    unreachable.server._sock._socket.close()
    site = Site(unreachable, Endpoint("i1"))
    site.forwarder.budget.burst = 0.0
    caller, _ = site.run()
    assert caller.body == COMPLETE


def test_request_that_crashes_endpoints_is_refused_for_all_callers():
    servers = [Endpoint(f"i{n}", "crashes", 0) for n in range(2)]
    site = Site(*servers)
    site.run()
    now = clock.monotonic()
    with pytest.raises(errors.Refusal) as raised:
        site.forwarder.poison_detector.check_fingerprint(
            poison.Fingerprint("f"), now
        )
    assert raised.value.code.status == 422


class _Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append({"event": event, **fields})


# Guards against DENIED: a request that endpoints answer was refused after two
# of them had crashed beneath it.
def test_request_that_is_answered_is_not_refused_after_ordinary_crashes():
    detector = poison.PoisonDetector()
    for number in range(4):
        site = Site(Endpoint(f"a{number}", "crashes", 2), Endpoint("b"))
        site.forwarder.poison_detector = detector
        site.forwarder._crash_counter.poison_detector = detector
        caller, refusal = site.run()
        assert refusal is None
        assert caller.body == COMPLETE


def test_denied_retry_is_logged(monkeypatch):
    log = _Log()
    monkeypatch.setattr(send_log, "LOG", log)
    site = Site(Endpoint("i0", "cut", 2), Endpoint("i1"))
    site.forwarder.budget.burst = 0.0
    caller, _ = site.run()
    assert not caller.finished
    denied = [x for x in log.lines if x["event"] == "retry_denied"]
    assert [d["request"] for d in denied] == ["r1"]
    assert (denied[0]["retries"], denied[0]["allowed"]) == (0, 0.2)
