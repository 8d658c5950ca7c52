"""Test the reports of engines over HTTP with a stand-in engine."""

import collections.abc
import json

import curio
import pytest

from sycamoredale.engines import reports
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.routing import prefix_index
from tests import processes

ENDPOINT = ids.EndpointId("e")


@pytest.fixture(scope="module")
def engine() -> collections.abc.Iterator[processes.Process]:
    """Run an engine that loses every third cache event."""
    with processes.Fleet() as fleet:
        settings = {
            "instance": "e",
            "cold_seconds": 0.0,
            "lose_cache_events_every": 3,
        }
        started = fleet.start_standin(
            "engine", "--settings", json.dumps(settings)
        )
        processes.request(started.address, "PUT", "/standin/cold")
        yield started


def _complete(engine: processes.Process, letter: str) -> processes.Answer:
    prompt = {"prompt": letter * 600, "max_tokens": 1}
    return processes.request(engine.address, "POST", "/v1/completions", prompt)


def _blocks(letter: str) -> list[int]:
    body = json.dumps({"prompt": letter * 600}).encode()
    return reports.hash_prompt_blocks(body)


def _follow(
    engine: processes.Process, index: prefix_index.PrefixIndex, limit: int = 9
) -> None:
    adapter = reports.EngineReportClient(client.Pool())
    address = messages.parse_address(engine.address)
    after = index.last_sequence(ENDPOINT)
    events = curio.run(adapter.cache_events, address, after, limit)
    index.apply_events(ENDPOINT, events)


def test_lost_event_invalidates_earlier_entries(
    engine: processes.Process,
) -> None:
    index = prefix_index.PrefixIndex()
    _complete(engine, "a")
    _follow(engine, index)
    assert index.cached_shares(_blocks("a")) == {ENDPOINT: 1.0}
    _complete(engine, "b")
    _follow(engine, index)
    assert index.cached_shares(_blocks("b")) == {ENDPOINT: 1.0}
    assert index.cached_shares(_blocks("a")) == {ENDPOINT: 1.0}
    _complete(engine, "c")
    _complete(engine, "d")
    _follow(engine, index)
    assert index.cached_shares(_blocks("d")) == {ENDPOINT: 1.0}
    assert index.cached_shares(_blocks("c")) == {}
    assert index.cached_shares(_blocks("a")) == {}


def test_answers_report_load(engine: processes.Process) -> None:
    answer = _complete(engine, "x")
    headers = messages.Headers(answer.headers.items())
    assert reports.load_from_headers(headers) == reports.Load(1, 0)
    assert reports.load_from_headers(messages.Headers()) is None


def test_prompt_blocks_are_chained() -> None:
    one = reports.hash_prompt_blocks(b'{"prompt": "' + b"a" * 600 + b'"}')
    longer = reports.hash_prompt_blocks(b'{"prompt": "' + b"a" * 900 + b'"}')
    other = reports.hash_prompt_blocks(
        b'{"prompt": "' + b"b" + b"a" * 599 + b'"}'
    )
    assert len(one) == 2
    assert longer[:2] == one
    assert not set(one) & set(other)
    assert reports.hash_prompt_blocks(b"[") == []
