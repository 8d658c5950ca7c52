"""Test that a stream that has started waits for endpoint capacity."""

import types
import typing

import curio

from sycamoredale.http import client
from sycamoredale.requests import attempt_history
from sycamoredale.requests import dispatch

ENDPOINT = types.SimpleNamespace(id="e2")


class SaturatedSelector:
    """Return no endpoint for a number of calls."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals

    def select(self, *_: object) -> object:
        self.refusals -= 1
        return None if self.refusals >= 0 else ENDPOINT


def _select(refusals: int, started: bool) -> object:
    selector: typing.Any = SaturatedSelector(refusals)
    dispatcher = dispatch.Dispatcher(selector, client.Pool())
    call: typing.Any = types.SimpleNamespace(id="request-1")
    history = attempt_history.AttemptHistory(call)
    exchange: typing.Any = types.SimpleNamespace(started=started)
    selected = curio.run(dispatcher._select_or_wait, history, exchange)
    assert history.attempts == 1
    return selected


def test_started_stream_waits_for_capacity() -> None:
    assert _select(refusals=5, started=True) is ENDPOINT


def test_call_without_response_does_not_wait() -> None:
    assert _select(refusals=5, started=False) is None
