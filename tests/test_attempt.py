"""Test an attempt to run a call on an endpoint."""

import collections.abc
import contextlib
import dataclasses

import curio
import pytest

from sycamoredale import clock
from sycamoredale.config import model
from sycamoredale import errors
from sycamoredale.groups import model as groups_model
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import request_reader
from sycamoredale import ids
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import call as call_module
from sycamoredale.routing import table
from tests import http_servers
from tests import test_endpoint_selection


@pytest.fixture(name="running")
def run_server() -> collections.abc.Iterator[http_servers.RunningServer]:
    """Run an endpoint that closes idle connections after 50 ms."""
    limits = request_reader.Limits(idle_timeout_seconds=0.05)
    with http_servers.running(limits) as running:
        yield running


def test_request_is_not_sent_if_its_claim_is_too_old(
    running: http_servers.RunningServer,
) -> None:
    attempt = _attempt(running, idempotent=False)
    attempt.dispatch_before = clock.MonotonicTime(clock.monotonic() - 0.01)
    with pytest.raises(errors.EndpointRefused):
        curio.run(attempt_module.fetch, attempt, client.Pool())
    assert not attempt.sent
    assert running.handled == []
    fresh = _attempt(running, idempotent=False)
    fresh.dispatch_before = clock.MonotonicTime(clock.monotonic() + 30)
    with contextlib.suppress(errors.ConnectionBroken):
        curio.run(attempt_module.fetch, fresh, client.Pool())
    assert fresh.sent
    assert running.handled == ["/withdrawals"]


def test_connection_closed_while_idle_is_not_reused(
    running: http_servers.RunningServer,
) -> None:
    async def scenario() -> None:
        pool = client.Pool()
        for _ in range(3):
            request = messages.Request("GET", "/")
            await pool.call(running.address, request, 5.0)
            await curio.sleep(0.2)

    curio.run(scenario)
    assert len(running.handled) == 3


@pytest.mark.parametrize("idempotent", [True, False])
def test_non_idempotent_request_opens_a_new_connection(
    idempotent: bool,
) -> None:
    """Use no idle connection, as the endpoint may be closing it.

    The outcome of a request that is lost on it would be unknown.
    """
    with http_servers.running() as running:
        running.echoed_id = "request-1"
        pool = client.Pool()

        async def scenario() -> None:
            await pool.call(running.address, messages.Request("GET", "/"), 5.0)
            attempt = _attempt(running, idempotent)
            await attempt_module.fetch(attempt, pool)

        curio.run(scenario)
        idle = pool.idle_by_address[running.address]
        assert len(idle) == (1 if idempotent else 2)


def test_answer_to_another_request_fails_and_closes_its_connection(
    running: http_servers.RunningServer,
) -> None:
    pool = client.Pool()
    running.echoed_id = "another"
    with pytest.raises(errors.ConnectionBroken, match="another"):
        curio.run(attempt_module.fetch, _attempt(running, True), pool)
    assert not any(pool.idle_by_address.values())


# Guards against requests that were routed before, and are sent after, an
# endpoint drains or its zone is taken out.
@pytest.mark.parametrize("change", ["drains", "is gone", "zone is out"])
def test_request_is_not_sent_to_an_endpoint_that_takes_no_new_work(
    running: http_servers.RunningServer, change: str
) -> None:
    selector = test_endpoint_selection.build_selector(["kochi"])
    routing_table = selector.routing_table
    (endpoint,) = routing_table.by_id.values()
    attempt = _attempt(running, idempotent=True)
    attempt.endpoint = dataclasses.replace(endpoint, address=running.address)
    attempt.selector = selector
    if change == "zone is out":
        zone = model.Zone(ids.ZoneName("kochi"), model.ZoneState.OUT)
        routing_table.apply_configuration(model.Configuration(zones=[zone]))
    else:
        groups = test_endpoint_selection.groups_of(
            ["kochi"], groups_model.GroupState.DRAINING
        )
        routing_table.apply_assignment(
            groups_model.Assignment(
                ids.DomainName("d"),
                ids.Epoch(2),
                groups if change == "drains" else [],
            )
        )
    with pytest.raises(errors.EndpointRefused):
        curio.run(attempt_module.fetch, attempt, client.Pool())
    assert not attempt.sent
    assert running.handled == []


# Guards against a request that is sent again, though it ran, because of a
# refusal without an id that an engine wrote to an earlier request.
@pytest.mark.parametrize("reused", [True, False])
def test_refusal_without_an_id_counts_on_a_new_connection_only(
    running: http_servers.RunningServer, reused: bool
) -> None:
    attempt = _attempt(running, idempotent=True)
    attempt.call = dataclasses.replace(
        attempt.call,
        service=model.Service("assistant", model.ServiceKind.MODEL, 1),
    )

    async def main() -> None:
        pool = client.Pool()
        if reused:
            await pool.call(running.address, messages.Request("GET", "/"), 1.0)
        running.refuses = True
        await attempt_module.fetch(attempt, pool)

    expected = errors.ConnectionBroken if reused else errors.EndpointRefused
    with pytest.raises(expected):
        curio.run(main)
    assert attempt.sent is reused


def _attempt(
    running: http_servers.RunningServer, idempotent: bool
) -> attempt_module.Attempt:
    service = model.Service("bookings", model.ServiceKind.PLAIN, 1)
    request = messages.Request("POST", "/withdrawals")
    call = call_module.Call(
        id="request-1",
        organisation="organisation-1",
        service=service,
        upstream=request,
        idempotent=idempotent,
        stream=False,
        key=None,
        deadline_seconds=60.0,
    )
    endpoint = table.Endpoint("e1", "bookings", "v1", "kochi", running.address)
    return attempt_module.Attempt(call, endpoint, request)
