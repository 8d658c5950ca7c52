"""Test malformed, slow and early disconnecting callers, and the drain."""

import collections.abc
import concurrent.futures
import contextlib
import socket
import time

import pytest

from sycamoredale.http import request_reader
from tests import http_servers
from tests import processes

GET = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
LIMITS = request_reader.Limits(
    header_limit_bytes=2048,
    body_limit_bytes=4096,
    request_timeout_seconds=0.5,
    idle_timeout_seconds=1.0,
    max_connections=20,
)


@pytest.fixture(name="running")
def run_server() -> collections.abc.Iterator[http_servers.RunningServer]:
    """Run a server with small limits, and check that it still serves."""
    with http_servers.running(LIMITS) as running:
        yield running
        time.sleep(0.05)
        with contextlib.closing(running.connect()) as sock:
            client = http_servers.Client(sock)
            client.send(GET % b"alive")
            answer = client.answer()
            assert answer is not None and answer.status == 200


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"nonsense\r\n\r\n", 400, "malformed_request"),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "malformed_request"),
        (b"GET /" + b"a" * 5000, 431, "headers_too_large"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n"
            b"Expect: 100-continue\r\n\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1000\r\n"
            + b"a" * 4096
            + b"\r\n10\r\n"
            + b"a" * 16
            + b"\r\n",
            413,
            "body_too_large",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"zz\r\n",
            400,
            "malformed_request",
        ),
        (b"GET / HTTP/1.1\r\nHost: x\r\nSlow: ", 408, "request_timeout"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123",
            408,
            "request_timeout",
        ),
    ],
)
def test_invalid_requests_get_an_error_code(
    running: http_servers.RunningServer, data: bytes, status: int, code: str
) -> None:
    with contextlib.closing(running.connect()) as sock:
        client = http_servers.Client(sock)
        client.send(data)
        answer = client.answer()
        assert answer is not None
        assert (answer.status, answer.code()) == (status, code)
        assert answer.headers["connection"] == "close"
        assert len(answer.headers["x-request-id"]) == 32
        assert client.answer() is None


def test_refusal_of_a_large_upload_can_be_read(
    running: http_servers.RunningServer,
) -> None:
    """The caller sends far more than the limit before it reads anything."""
    with contextlib.closing(running.connect()) as sock:
        client = http_servers.Client(sock)
        size = 2_000_000
        client.send(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
        )
        client.send(b"a" * size)
        answer = client.answer()
        assert answer is not None and answer.code() == "body_too_large"


def test_expect_continue_is_answered(
    running: http_servers.RunningServer,
) -> None:
    with contextlib.closing(running.connect()) as sock:
        client = http_servers.Client(sock)
        client.send(
            b"POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        continue_response = client.answer()
        assert continue_response is not None
        assert continue_response.status == 100
        client.send(b"abc")
        answer = client.answer()
        assert answer is not None and b'"size":3' in answer.body


def test_head_has_no_body(running: http_servers.RunningServer) -> None:
    with contextlib.closing(running.connect()) as sock:
        client = http_servers.Client(sock)
        client.send(b"HEAD /one HTTP/1.1\r\nHost: x\r\n\r\n" + GET % b"two")
        head = client.answer(head_only=True)
        answer = client.answer()
        assert head is not None and int(head.headers["content-length"]) > 0
        assert answer is not None and b"/two" in answer.body


def test_pipelined_requests_are_answered_in_order(
    running: http_servers.RunningServer,
) -> None:
    with contextlib.closing(running.connect()) as sock:
        client = http_servers.Client(sock)
        client.send(b"".join(GET % name for name in (b"slow", b"b", b"c")))
        answers = [client.answer() for _ in range(3)]
    bodies = [a.body for a in answers if a is not None]
    assert [b"/slow" in bodies[0], b"/b" in bodies[1], b"/c" in bodies[2]]
    assert running.handled == ["/slow", "/b", "/c"]


def test_request_is_not_handled_if_the_caller_disconnects_during_upload(
    running: http_servers.RunningServer,
) -> None:
    with contextlib.closing(running.connect()) as sock:
        http_servers.Client(sock).send(
            b"POST /left HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123"
        )
    time.sleep(0.1)
    assert "/left" not in running.handled


def test_number_of_connections_is_limited(
    running: http_servers.RunningServer,
) -> None:
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(contextlib.closing(running.connect()))
            for _ in range(LIMITS.max_connections)
        ]
        for sock in socks:
            client = http_servers.Client(sock)
            client.send(GET % b"in")
            answer = client.answer()
            assert answer is not None and answer.status == 200
        extra = stack.enter_context(contextlib.closing(running.connect()))
        refused = http_servers.Client(extra).answer()
        assert refused is not None
        assert refused.code() == "too_many_connections"


def test_drain_refuses_new_requests_and_finishes_open_ones() -> None:
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(http_servers.running())
        slow, idle, late = [
            http_servers.Client(
                stack.enter_context(contextlib.closing(running.connect()))
            )
            for _ in range(3)
        ]
        for client in (idle, late):
            client.send(GET % b"first")
            assert client.answer() is not None
        slow.send(GET % b"slow")
        processes.wait_for(lambda: "/slow" in running.handled)
        running.drain(5.0, 0.3)
        processes.wait_for(lambda: running.server.draining)
        late.send(GET % b"late")
        refused = late.answer()
        assert refused is not None and refused.code() == "draining"
        assert b'"not_run"' in refused.body
        assert refused.headers["connection"] == "close"
        assert late.answer() is None
        health = http_servers.Client(
            stack.enter_context(contextlib.closing(running.connect()))
        )
        health.send(GET % b"healthz")
        served = health.answer()
        assert served is not None and b"/healthz" in served.body
        answer = slow.answer()
        assert answer is not None and answer.status == 200
        assert answer.headers["connection"] == "close"
        assert idle.answer() is None
        processes.wait_for(lambda: running.drained)
        with pytest.raises(ConnectionRefusedError):
            running.connect()
    assert "/late" not in running.handled


def test_drain_under_load_answers_every_request() -> None:
    """Requests on persistent connections get a complete 200 or 503."""
    with http_servers.running() as running:
        running.slow_seconds = 0.002
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            callers = [
                pool.submit(_call_until_closed, running) for _ in "x" * 16
            ]
            time.sleep(0.3)
            running.drain(5.0, 0.3)
            results = [caller.result() for caller in callers]
        processes.wait_for(lambda: running.drained)
    assert {code for _, code in results} == {"draining"}
    assert sum(count for count, _ in results) == running.handled.count("/slow")


def test_drain_reports_a_request_that_does_not_finish() -> None:
    with http_servers.running() as running:
        running.slow_seconds = 2.0
        with contextlib.closing(running.connect()) as sock:
            sock.sendall(GET % b"slow")
            processes.wait_for(lambda: "/slow" in running.handled)
            running.drain(0.3, 0.0)
            processes.wait_for(lambda: running.drained is not None)
    assert running.drained is False


def _call_until_closed(
    running: http_servers.RunningServer,
) -> tuple[int, str]:
    """Return the number of requests answered with 200, and the last code."""
    count = 0
    with contextlib.closing(running.connect()) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = http_servers.Client(sock)
        while True:
            client.send(GET % b"slow")
            answer = client.answer()
            if answer is None:
                return count, "closed without an answer"
            if answer.status != 200:
                return count, answer.code()
            count += 1
            if answer.headers.get("connection") == "close":
                return count, "draining"
