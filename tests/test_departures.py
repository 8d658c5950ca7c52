"""Test that instances which say that they leave get no more requests."""

import dataclasses

import curio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import departures
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import peer_updates
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import update_exchange
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.platform import engine_client
from sycamoredale.platform import wire_format
from tests import instance_fixtures
from tests import link_fixtures
from tests import test_forwarder
from tests import test_platform_codec as codec
from tests import update_fixtures

OPEN = (
    instance_fixtures.key("large"),
    0,
    instance_state.MemberState.OPEN,
)
REQUESTS = 5


class LeavingEndpoint(test_forwarder.Endpoint):
    """Say in each answer that it leaves."""

    async def _handle(self, exchange):
        exchange.extra_headers.append(("Server-Leaving", "1"))
        await super()._handle(exchange)


class DelayedConnector(link_fixtures.Connector):
    """Call back while a connection is opened."""

    on_open = staticmethod(lambda address: None)

    async def open_socket(self, address, timeout_seconds=1.0):
        """Return a socket after the call."""
        self.on_open(address)
        return await super().open_socket(address, timeout_seconds)


async def _start(site):
    for item in site.servers:
        await item.server.start()


async def _send(site):
    """Return what the caller of one more call received."""
    caller = test_forwarder.Caller()
    progress = progress_module.begin(site.call())
    try:
        await site.forwarder.run(progress, caller)
    except errors.Refusal:
        pass
    site.endpoint_table.clear_suspicions()
    return caller


def _listed(site, name, **changes):
    """Let the list show an endpoint as ready."""
    table = site.endpoint_table.instances
    known = table.by_id[name]
    table.apply_listed(
        dataclasses.replace(known, leaving=False, **changes),
        clock.monotonic(),
    )


# Guards against requests to an endpoint that has said in an answer that it
# leaves, while the list still shows it as ready.
@pytest.mark.parametrize("fault", [None, "refuses", "error"])
def test_no_request_reaches_an_endpoint_that_said_that_it_leaves(fault):
    first = LeavingEndpoint("i0", fault)
    second = test_forwarder.Endpoint("i1")
    site = test_forwarder.Site(first, second)

    async def main():
        await _start(site)
        for _ in range(REQUESTS):
            caller = await _send(site)
            assert caller.body == test_forwarder.COMPLETE
            _listed(site, "i0")
        assert len(first.requests) == 1

    curio.run(main)


# Guards against an instance that stays excluded after it has started again
# under the same id.
def test_next_life_of_an_instance_that_left_gets_requests():
    first = LeavingEndpoint("i0")
    site = test_forwarder.Site(first)

    async def main():
        await _start(site)
        for _ in range(REQUESTS):
            await _send(site)
        assert len(first.requests) == 1
        _listed(site, "i0", started_ms=2000)
        assert (await _send(site)).finished
        assert len(first.requests) == 2

    curio.run(main)


# Guards against callers that wait for endpoints that all leave.
def test_call_is_refused_at_once_if_all_endpoints_leave():
    site = test_forwarder.Site(LeavingEndpoint("i0"), LeavingEndpoint("i1"))

    async def main():
        await _start(site)
        for _ in site.servers:
            await _send(site)
        began = clock.monotonic()
        with pytest.raises(errors.Refusal) as raised:
            await site.forwarder.run(
                progress_module.begin(site.call()), test_forwarder.Caller()
            )
        assert clock.monotonic() - began < 0.1
        assert raised.value.execution.value == "not_run"
        assert raised.value.retry_after
        assert [len(item.requests) for item in site.servers] == [1, 1]

    curio.run(main)


# Guards against requests that were routed before, and are sent after, an
# endpoint has said that it leaves.
@pytest.mark.parametrize("may_retry", [True, False])
def test_leaving_is_looked_at_again_before_the_request_is_sent(may_retry):
    first, second = (test_forwarder.Endpoint(f"i{n}") for n in range(2))
    site = test_forwarder.Site(first, second, may_retry=may_retry)
    table = site.endpoint_table.instances
    connector = link_fixtures.connector(
        site.endpoint_table, build=DelayedConnector
    )
    site.forwarder.connector = connector
    site.forwarder.__post_init__()

    def leave(address):
        if address == first.address:
            known = table.by_id["i0"]
            table.apply_listed(
                dataclasses.replace(known, leaving=True), clock.monotonic()
            )

    connector.on_open = leave

    async def main():
        await _start(site)
        caller = await _send(site)
        assert caller.body == test_forwarder.COMPLETE
        assert not first.requests

    curio.run(main)


@pytest.mark.parametrize(
    "text, leaving",
    [("1", True), (" 1 ", True), ("0", False), ("true", False), ("", False)],
)
@pytest.mark.parametrize("status", [200, 421, 503])
def test_statement_is_read_from_every_kind_of_answer(status, text, leaving):
    head = codec._head(status, Attempt_Id="r1", Server_Leaving=text)
    answer = wire_format.read_answer(codec._call(), head)
    assert answer.leaving is leaving


# Guards against an instance that is excluded for what another one said.
def test_answer_to_another_request_says_nothing_of_an_endpoint():
    site = test_forwarder.Site(
        LeavingEndpoint("i0", "other"), test_forwarder.Endpoint("i1")
    )

    async def main():
        await _start(site)
        await _send(site)
        assert "i0" in site.endpoint_table.by_id

    curio.run(main)


# Guards against groups that are formed with, or kept on, an instance that
# has said so only in its report.
def test_statement_in_a_report_is_heard():
    async def main():
        async def answer(exchange):
            exchange.extra_headers.append(("Server-Leaving", "1"))
            await exchange.respond(
                messages.json_response(200, {"seq": 1, "born": 1000})
            )

        engine = server.Server(answer)
        address = engine.bind(messages.Address("127.0.0.1", 0))
        await engine.start()
        table = instance_table.InstanceTable()
        instance = instance_fixtures.instance("i0", address=address)
        table.apply_listed(instance, clock.monotonic())
        engines = engine_client.PlatformEngineClient(client.Pool())
        report = await engines.report(instance)
        table.apply_report(ids.InstanceId("i0"), report)
        assert table.by_id["i0"].leaving

    curio.run(main)


class Daemon:
    """Hold what one daemon knows of the instances."""

    def __init__(self, name):
        self.table = instance_table.InstanceTable()
        self.endpoints = endpoints.EndpointTable(
            self.table, lambda: instance_fixtures.SERVICES, lambda: frozenset()
        )
        self.exchange = update_exchange.PeerUpdateExchange(
            ids.DaemonId(name), self.endpoints, update_fixtures.selector(name)
        )

    def list(self, name, started_ms=1000, now=0.0):
        """Show an instance as ready."""
        number = int(name.removeprefix("i"))
        instance = instance_fixtures.instance(
            name,
            membership=OPEN,
            started_ms=started_ms,
            address=messages.Address("10.0.0.1", number),
        )
        self.table.apply_listed(instance, clock.MonotonicTime(now))

    def hear(self, name):
        """Receive an answer in which an instance says that it leaves."""
        self.table.record_leaving(
            departures.incarnation_of(self.table.by_id[name]),
            departures.Source.ANSWER,
        )

    def send_to(self, other, now):
        """Send one update to another daemon, as encoded."""
        update = self.exchange.build_update(clock.MonotonicTime(now))
        data = msgspec.msgpack.encode(update)
        decoded = msgspec.msgpack.decode(data, type=peer_updates.PeerUpdate)
        other.exchange.receive(decoded, clock.MonotonicTime(now))
        return len(data)


# Guards against daemons that go on sending to an endpoint because another
# one received the answer that says that it leaves.
def test_peers_hear_that_an_instance_leaves():
    sender, receiver = Daemon("a"), Daemon("b")
    for daemon in (sender, receiver):
        daemon.list("i0")
    sender.hear("i0")
    sender.send_to(receiver, 1.0)
    assert "i0" not in receiver.endpoints.by_id


# Guards against a daemon that starts after its peers have heard the
# statement, or lists the instance after it has received theirs.
def test_daemon_that_starts_later_hears_that_an_instance_leaves():
    sender, receiver = Daemon("a"), Daemon("b")
    sender.list("i0")
    sender.hear("i0")
    for tick in range(100):
        sender.send_to(Daemon("gone"), 0.1 * tick)
    for tick in range(15):
        sender.send_to(receiver, 10.0 + 0.1 * tick)
    receiver.list("i0")
    assert "i0" not in receiver.endpoints.by_id


# Guards against updates that outgrow a datagram, or the bandwidth of a
# daemon, when all instances of a large site leave.
def test_size_of_updates_is_bounded_when_all_instances_leave():
    sender, receiver = Daemon("a"), Daemon("b")
    for number in range(302):
        for daemon in (sender, receiver):
            daemon.list(f"i{number}")
    for number in range(302):
        sender.hear(f"i{number}")
    sizes = [sender.send_to(receiver, 0.4 * tick) for tick in range(100)]
    assert max(sizes) < 2000
    assert not receiver.endpoints.by_id
    for number in range(302):
        sender.table.remove_listed(f"i{number}", clock.MonotonicTime(40.0))
    sender.table.remove_unlisted_before(clock.MonotonicTime(80.0))
    assert sender.send_to(receiver, 81.0) < 100


DAEMONS = 3
INSTANCES = ("i0", "i1")
_ACTIONS = strategies.tuples(
    strategies.sampled_from(("hear", "list", "remove", "restart", "send")),
    strategies.integers(0, DAEMONS - 1),
    strategies.integers(0, DAEMONS - 1),
    strategies.sampled_from(INSTANCES),
)


# Guards against any order of answers, lists, restarts and updates of peers
# after which a daemon sends to a life that has told it that it leaves, or
# excludes one that has told nobody.
@hypothesis.given(strategies.lists(_ACTIONS, max_size=40))
def test_statements_hold_for_one_life_whatever_comes_in_between(actions):
    daemons = [Daemon(f"d{n}") for n in range(DAEMONS)]
    started = dict.fromkeys(INSTANCES, 1000)
    heard = [set() for _ in daemons]
    told = set()
    for tick, (action, number, other, name) in enumerate(actions):
        daemon = daemons[number]
        known = daemon.table.by_id.get(name)
        if action == "list":
            daemon.list(name, started[name], float(tick))
        elif action == "remove":
            daemon.table.remove_listed(name, clock.MonotonicTime(tick))
        elif action == "restart":
            started[name] += 1
        elif action == "send":
            daemon.send_to(daemons[other], float(tick))
        elif known is not None and known.started_ms == started[name]:
            daemon.hear(name)
            heard[number].add((name, started[name]))
            told.add((name, started[name]))
        for index, checked in enumerate(daemons):
            for instance in checked.table.by_id.values():
                life = instance.id, instance.started_ms
                is_used = instance.id in checked.endpoints.by_id
                assert not (is_used and life in heard[index])
                assert is_used or life in told
