"""Test that a fault of the daemon itself is blamed on nobody else.

A daemon without a free descriptor opens no connection.  That says nothing of
the caller, of the endpoint or of the links.
"""

import collections
import contextlib
import gc
import os
import resource
import socket
import threading

import curio
import curio.socket
import pytest

from sycamoredale.engines import model_engine
from sycamoredale import errors
from sycamoredale.forwarding import error_answers
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.groups import health
from sycamoredale.groups import probing
from sycamoredale.http import caller_disconnect
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.links import monitor as link_monitor
from sycamoredale.object_api import instances
from sycamoredale.observability import seldom
from tests import test_endless_answers
from tests import test_forwarder

CALLERS = 8
REQUEST = b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb"


@contextlib.contextmanager
def no_free_descriptor():
    """Let the process open no further descriptor."""
    # Sockets that earlier tests have left would be closed meanwhile.
    gc.collect()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(number) for number in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    taken = []
    try:
        with contextlib.suppress(OSError):
            while True:
                taken.append(os.dup(0))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for number in taken:
            os.close(number)


class Front:
    """Serve a site's forwarder to callers on real connections."""

    def __init__(self, site):
        self.site = site
        self.server = server.Server(self._handle)
        self.address = self.server.bind(messages.Address("127.0.0.1", 0))

    async def start(self):
        for item in self.site.servers:
            await item.server.start()
        await self.server.start()

    async def _handle(self, exchange):
        progress = progress_module.begin(self.site.call())
        try:
            await self.site.forwarder.run(progress, exchange)
        except caller_disconnect.CallerDisconnected:
            return
        except errors.Refusal as refusal:
            if not exchange.started:
                await exchange.respond(error_answers.from_error(refusal))


def _ask(connection, answers):
    connection.sendall(REQUEST)
    connection.settimeout(6)
    try:
        data = connection.recv(65536)
    except OSError as error:
        answers.append(repr(error))
        return
    answers.append(data.split(b"\r\n")[0] or b"closed without a byte")


# Guards against requests on kept connections that ended without a byte: an
# OSError of a socket to an endpoint was taken for a caller that is gone.
def test_daemon_without_descriptors_answers_each_request():
    site = test_forwarder.Site(test_forwarder.Endpoint("b"), seconds=4.0)
    front = Front(site)
    answers = []

    async def main():
        await front.start()
        host, port = front.address.host, front.address.port
        callers = [
            socket.create_connection((host, port)) for _ in range(CALLERS)
        ]
        await curio.sleep(0.2)
        with no_free_descriptor():
            threads = [
                threading.Thread(target=_ask, args=(caller, answers))
                for caller in callers
            ]
            for thread in threads:
                thread.start()
            await curio.sleep(1.0)
        for thread in threads:
            await curio.run_in_thread(thread.join)
        for caller in callers:
            caller.close()

    curio.run(main)
    refused = b"HTTP/1.1 503 "
    assert collections.Counter(answers) == {refused: CALLERS}
    assert not site.servers[0].requests


class _Log:
    """Record the names of the lines of a log."""

    def __init__(self):
        self.names = []

    def warning(self, name, **fields):
        self.names.append(name)

    debug = info = warning


# Guards against callers that wait in the queue of the listener for an answer
# until a descriptor is free, and twenty lines of log a second meanwhile.
def test_new_callers_are_refused_when_no_descriptor_is_left(monkeypatch):
    site = test_forwarder.Site(test_forwarder.Endpoint("b"))
    front = Front(site)
    log = _Log()
    monkeypatch.setattr(server, "LOG", log)
    answers = []

    async def main():
        await front.start()
        callers = [socket.socket() for _ in range(CALLERS)]
        late = socket.socket()
        host, port = front.address.host, front.address.port
        with no_free_descriptor():
            threads = []
            for caller in callers:
                caller.connect((host, port))
                threads.append(
                    threading.Thread(target=_ask, args=(caller, answers))
                )
                threads[-1].start()
            await curio.sleep(0.5)
            assert len(answers) == CALLERS
        for thread in threads:
            await curio.run_in_thread(thread.join)
        late.connect((host, port))
        await curio.run_in_thread(_ask, late, answers)
        for caller in (*callers, late):
            caller.close()

    curio.run(main)
    refused = b"HTTP/1.1 503 "
    assert answers[:-1] == [refused] * CALLERS
    assert answers[-1].startswith(b"HTTP/1.1 200")
    assert log.names.count("accept_failed") == 1


# Guards against a stop that ends with an error, and all open requests with
# it, because a caller was waiting and no descriptor was left.
def test_drain_without_descriptors_is_no_failure():
    site = test_forwarder.Site(test_forwarder.Endpoint("b"))
    front = Front(site)
    answers = []

    async def main():
        # The listener has a caller that nobody has accepted yet.
        caller = socket.socket()
        caller.connect((front.address.host, front.address.port))
        with no_free_descriptor():
            assert await front.server.drain(1.0)
        await curio.run_in_thread(_ask, caller, answers)
        caller.close()

    curio.run(main)
    assert answers == [b"HTTP/1.1 503 "]


def test_frequent_events_are_reported_seldom_and_counted():
    counter = seldom.EventCounter()
    reports = [counter.record(0.05 * step) for step in range(401)]
    assert reports[0] == 1
    assert [count for count in reports if count] == [1, 200, 200]


def test_lack_of_descriptors_is_no_fault_of_endpoint_or_links():
    site = test_forwarder.Site(test_forwarder.Endpoint("b"), may_retry=False)
    connector = site.forwarder.connector
    endpoint = site.endpoint_table.by_id["b"]
    address = endpoint.instance.address
    refusals = []

    async def main():
        await site.servers[0].server.start()
        with no_free_descriptor():
            progress = progress_module.begin(site.call())
            with pytest.raises(errors.Refusal) as caught:
                await site.forwarder.run(progress, test_forwarder.Caller())
            refusals.append(caught.value)
            assert not await connector.is_lost(address)
        # No peer and no time is needed before the endpoint is used again.
        caller = test_forwarder.Caller()
        await site.forwarder.run(progress_module.begin(site.call()), caller)
        assert caller.finished

    curio.run(main)
    assert refusals[0].execution.value == "not_run"
    assert refusals[0].retry_after
    assert connector.monitor.state is link_monitor.LinkState.CONNECTED


@pytest.mark.parametrize("is_sent", [False, True])
def test_unexpected_error_is_no_disconnect_of_the_caller(monkeypatch, is_sent):
    site = test_forwarder.Site(test_forwarder.Endpoint("b"))

    async def fail(endpoint, progress, exchange):
        progress.is_sent = is_sent
        raise OSError("an error that nobody expected")

    monkeypatch.setattr(site.forwarder, "_send", fail)
    caller, refusal = site.run()
    assert refusal.code.name == "internal"
    assert (refusal.execution.value == "unknown") is is_sent
    assert not caller.started


# Guards against a planned stop that ended the daemon with a traceback, and all
# its requests: the last connections could not be accepted.
def test_drain_without_descriptors_completes_open_requests():
    release = curio.Event()

    async def handle(exchange):
        await release.wait()
        await exchange.respond(messages.Response(200))

    async def main():
        front = server.Server(handle)
        address = front.bind(messages.Address("127.0.0.1", 0))
        await front.start()
        late = socket.socket()
        open_one = socket.create_connection((address.host, address.port))
        open_one.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await curio.sleep(0.1)
        with no_free_descriptor():
            late.connect((address.host, address.port))
            drain = await curio.spawn(front.drain, 3.0, 0.0)
            await curio.sleep(0.2)
            await release.set()
            is_complete = await drain.join()
        answer = open_one.recv(65536)
        open_one.close()
        late.close()
        return is_complete, answer.split(b"\r\n")[0]

    assert curio.run(main) == (True, b"HTTP/1.1 200 ")


def test_connections_that_wait_at_the_close_of_the_listener_are_answered():
    async def handle(exchange):
        await exchange.respond(messages.Response(200))

    async def main():
        front = server.Server(handle)
        address = front.bind(messages.Address("127.0.0.1", 0))
        connections = [
            socket.create_connection((address.host, address.port))
            for _ in range(100)
        ]
        for connection in connections:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await front.drain(2.0)
        answers = [connection.recv(12) for connection in connections]
        for connection in connections:
            connection.close()
        return set(answers)

    assert curio.run(main) == {b"HTTP/1.1 503"}


# Guards against groups that are repaired because their controller lacked a
# descriptor to probe them.
@pytest.mark.parametrize("runs", [instances.ENGINE, "plain"])
def test_lack_of_descriptors_is_no_failed_probe(runs):
    instance = instances.Instance(
        ids.InstanceId("i"), "127.0.0.1:1", "z", "d", runs=runs
    )
    table = health.HealthTable()
    table.register(instance.id, instance.address)
    prober = probing.Prober(model_engine.ModelEngineClient(client.Pool()))

    async def main():
        with no_free_descriptor():
            await prober.probe_all([instance], table)

    curio.run(main)
    assert not table.by_id[instance.id].failures


# Guards against endpoints that are examined as crashed, since the daemon had
# no memory for their answer.
def test_answer_that_is_not_held_is_no_crash_of_its_endpoint(monkeypatch):
    class Large(test_forwarder.Endpoint):
        async def _handle(self, exchange):
            self.requests.append(exchange.request)
            fields = [("Attempt-Id", "r1"), ("Replica-Seal", "s")]
            await exchange.respond(
                messages.Response(
                    200, messages.Headers(fields), b"x" * 100_000
                )
            )

    site = test_endless_answers.PlainSite(
        Large("a"), may_retry=False, held=held_bytes.HeldBytes(20_000)
    )
    broken = []

    async def record_broken(call, endpoint, ran_alone):
        broken.append(endpoint.id)

    counter = site.forwarder._crash_counter
    monkeypatch.setattr(counter, "record_broken", record_broken)
    caller, refusal = site.run()
    assert not broken
    assert not caller.started
    assert refusal.code.status == 502
    assert refusal.execution.value == "unknown"
