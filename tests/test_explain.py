"""Test the explanation of a selection, over HTTP and as a command."""

import copy
import dataclasses
import json

from click import testing
import curio
import pytest

from sycamoredale import cli
from sycamoredale import clock
from sycamoredale.commands import explain
from sycamoredale.daemons import entry
from sycamoredale import errors
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import explanation
from sycamoredale.forwarding import route_table
from sycamoredale.http import messages
from sycamoredale.http import server
from tests import instance_fixtures
from tests import test_daemon_subsets
from tests import test_descriptor_shares
from tests import test_platform_codec as codec

NOW = test_daemon_subsets.NOW
QUESTION = "/explain?service=llm&model=large&prompt_tokens=700"
SECRET = "key-of-an-organisation"
IDLE = dataclasses.replace(instance_fixtures.PLAIN_SERVICE, name="idle")


def _explainer(**options):
    selector = test_daemon_subsets._selector(**options)
    routes = route_table.RouteTable()
    route = codec._call([("Model", "large")]).route
    urgent = dataclasses.replace(route, name="urgent", priority=-1)
    routes.activate(
        catalogue.Catalogue(
            1,
            (route, urgent),
            {**instance_fixtures.SERVICES, IDLE.name: IDLE},
            organisation_by_key={SECRET: "o"},
        )
    )
    return explanation.Explainer(selector, routes)


def _ask(explainer, target=QUESTION, method="GET"):
    response = explainer.respond(messages.Request(method, target), NOW)
    return response.status, json.loads(response.body)


def test_selection_and_its_candidates_are_explained():
    explainer = _explainer(loads={"a": 0.1, "b": 0.3, "c": 1.6})
    endpoints = explainer.selector.endpoint_table.by_id
    endpoints["a0"].suspect(NOW)
    status, found = _ask(explainer)
    assert status == 200
    assert found["selected"].startswith("a")
    assert found["refusal"] is None
    by_id = {c["endpoint"]: c for c in found["candidates"]}
    assert by_id["a0"]["excluded_by"] == ["suspect"]
    assert by_id["a1"]["excluded_by"] == []
    assert by_id["b0"]["load_per_slot"] == 0.3
    assert [by_id[i]["is_full"] for i in ("a1", "c1")] == [False, True]
    subsets = [name for c in by_id.values() for name in c["subsets"]]
    assert [subsets.count(name) for name in ("near", "wide")] == [6, 6]


def test_refusal_is_the_one_of_a_call():
    explainer = _explainer(zones="a", loads={"a": 0.1})
    for endpoint in explainer.selector.endpoint_table.by_id.values():
        endpoint.suspect(NOW)
    _, found = _ask(explainer)
    assert found["selected"] is None
    assert found["refusal"]["code"] == "no_endpoint"
    assert found["refusal"]["retry_after"] == 2.0


def test_zone_that_is_taken_out_is_named():
    explainer = _explainer(loads={"a": 0.1, "b": 0.1, "c": 0.1})
    table = explainer.selector.endpoint_table
    table.get_zones_out = lambda: frozenset("b")
    table.rebuild()
    _, found = _ask(explainer)
    assert found["instances_by_zone_out"] == {"b": 6}
    assert {c["zone"] for c in found["candidates"]} == {"a", "c"}


def _call(explainer):
    return explainer._read_call(messages.Request("GET", QUESTION), NOW)


def _deciding(selector):
    windows = selector._window_by_service.values()
    return (
        selector.rng.getstate(),
        [vars(m.leaving) for m in selector.subsets._by_model.values()],
        [(list(w._arrivals), w._counts, w._admitted) for w in windows],
    )


def test_question_changes_nothing_that_decides():
    """Guard against questions that use up quotas or change the metrics."""
    explainer = _explainer(loads={"a": 0.1, "b": 0.1, "c": 0.1})
    selector = explainer.selector
    endpoints = selector.endpoint_table.by_id
    state = copy.deepcopy([vars(e) for e in endpoints.values()])
    selector.select(_call(explainer), frozenset(), NOW)
    selector.metrics.counts.clear()
    decides = copy.deepcopy(_deciding(selector))
    for at in (0.0, 1.0, 2.0):
        now = clock.MonotonicTime(NOW + at)
        explainer.respond(messages.Request("GET", QUESTION), now)
    assert [vars(e) for e in endpoints.values()] == state
    assert _deciding(selector) == decides
    assert not selector.metrics.counts


def test_answer_reveals_no_api_key():
    _, found = _ask(_explainer(), QUESTION + f"&key={SECRET}")
    assert SECRET not in json.dumps(found)


@pytest.mark.parametrize(
    "target, reason",
    [
        ("/explain", "service is '', not one of: 'app', 'idle', 'llm'"),
        (
            "/explain?service=x",
            "service is 'x', not one of: 'app', 'idle', 'llm'",
        ),
        ("/explain?service=idle", "no route sends calls to service 'idle'"),
        ("/explain?service=llm", "model is '', not one of: 'large', 'small'"),
        (QUESTION + "&route=x", "route is 'x', not one of: 'r'"),
        (QUESTION + "0" * 20, "prompt_tokens is '700"),
        (QUESTION.replace("700", "-7"), "prompt_tokens is '-7', not a number"),
    ],
)
def test_bad_question_is_answered_with_its_fault(target, reason):
    explainer = _explainer()
    status, found = _ask(explainer, target)
    assert status == 400
    reason = reason.replace(
        "'r'", repr(explainer.routes.current.routes[0].name)
    )
    assert found["error"].startswith(reason)
    assert _ask(explainer, target, "POST")[0] == 405


def test_daemon_answers_beside_its_metrics():
    daemon = entry.EntryDaemon(test_descriptor_shares._settings(256))

    async def main():
        address = daemon._metrics.bind(messages.Address("127.0.0.1", 0))
        await daemon._metrics.start()
        return await explain.ask(address, {"service": "llm"})

    with pytest.raises(errors.Refusal, match="not one of: none"):
        curio.run(main)


def _ask_over_http(explainer, **question):
    async def handle(exchange):
        await exchange.respond(explainer.respond(exchange.request, NOW))

    async def main():
        listening = server.Server(handle)
        address = listening.bind(messages.Address("127.0.0.1", 0))
        await listening.start()
        return await explain.ask(address, question)

    return curio.run(main)


def test_command_prints_the_answer_of_a_daemon(monkeypatch):
    explainer = _explainer(loads={"a": 0.1, "b": 0.3, "c": 1.6})
    answer = _ask_over_http(explainer, service="llm", model="large")

    async def ask(daemon, question):
        assert question["model"] == "large"
        return answer

    monkeypatch.setattr(explain, "ask", ask)
    arguments = "explain --daemon 127.0.0.1:9464 --service llm --model large"
    result = testing.CliRunner().invoke(cli.main, arguments.split())
    assert result.exit_code == 0, result.output
    assert f"would go to {answer.selected}" in result.output
    assert len(result.output.splitlines()) == 4 + 18


def test_command_reports_errors():
    with pytest.raises(errors.Refusal, match="service is 'x', not one of"):
        _ask_over_http(_explainer(), service="x")
    arguments = "explain --daemon 127.0.0.1:1 --service llm"
    result = testing.CliRunner().invoke(cli.main, arguments.split())
    assert result.exit_code == 1
    assert "connection" in result.output
