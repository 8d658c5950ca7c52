"""Test that the promises hold in the short scenarios."""

import collections.abc
import concurrent.futures
import typing

import pytest

from tests import checker
from tests.scenarios import runner

SCENARIO_BY_NAME = {s.name: s for s in runner.read_all()}
SHORT = [s.name for s in SCENARIO_BY_NAME.values() if s.ci]


PLAYED_AT_A_TIME: typing.Final = 2

Reports = collections.abc.Callable[[str], runner.Report]


@pytest.fixture(scope="module")
def reports(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[Reports]:
    """Play the scenarios of the chosen tests, a few at a time."""
    items: list[typing.Any] = request.session.items
    own = [i for i in items if i.path == request.path]
    names = {i.callspec.params["name"] for i in own if hasattr(i, "callspec")}
    if any(not hasattr(item, "callspec") for item in own):
        names = set(SHORT)
    with concurrent.futures.ThreadPoolExecutor(PLAYED_AT_A_TIME) as pool:
        report_by_name = {
            name: pool.submit(runner.play, SCENARIO_BY_NAME[name])
            for name in SHORT
            if name in names
        }
        yield lambda name: report_by_name[name].result()


@pytest.mark.parametrize("promise", checker.Promise, ids=lambda p: p.name)
@pytest.mark.parametrize("name", SHORT)
def test_promise_holds(
    reports: Reports, name: str, promise: checker.Promise
) -> None:
    by_promise = {v.promise: v for v in reports(name).verdicts}
    assert by_promise[promise].broken == []


@pytest.mark.parametrize("name", SHORT)
def test_calls_are_answered_in_the_end(reports: Reports, name: str) -> None:
    assert reports(name).answered >= SCENARIO_BY_NAME[name].answered


def test_all_promises_are_tried(reports: Reports) -> None:
    tried = {
        verdict.promise
        for name in SHORT
        for verdict in reports(name).verdicts
        if verdict.tried
    }
    assert tried == set(checker.Promise)
