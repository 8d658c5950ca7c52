"""Test that a stream under way waits for room on another endpoint."""

import types
import typing

import curio

from sycamoredale.http import client
from sycamoredale.requests import attempt_history
from sycamoredale.requests import dispatch

ENDPOINT = types.SimpleNamespace(id="e2")


class FullChooser:
    """Name no endpoint until it has been asked a number of times."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals

    def choose(self, *_: object) -> object:
        self.refusals -= 1
        return None if self.refusals >= 0 else ENDPOINT


def _choose(refusals: int, started: bool) -> object:
    chooser: typing.Any = FullChooser(refusals)
    dispatcher = dispatch.Dispatcher(chooser, client.Pool())
    call: typing.Any = types.SimpleNamespace(id="request-1")
    history = attempt_history.AttemptHistory(call)
    exchange: typing.Any = types.SimpleNamespace(started=started)
    chosen = curio.run(dispatcher._choose_or_wait, history, exchange)
    assert history.attempts == 1
    return chosen


def test_stream_under_way_waits_for_room() -> None:
    assert _choose(refusals=5, started=True) is ENDPOINT


def test_call_without_answer_is_refused_at_once() -> None:
    assert _choose(refusals=5, started=False) is None
