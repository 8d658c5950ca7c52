"""Test that no promise is violated in the scenarios marked for CI."""

import collections.abc
import concurrent.futures
import typing

import pytest

from tests import checker
from tests.scenarios import runner

SCENARIO_BY_NAME = {s.name: s for s in runner.read_scenarios()}
CI_SCENARIOS = [s.name for s in SCENARIO_BY_NAME.values() if s.ci]


MAX_CONCURRENT_RUNS: typing.Final = 2

Reports = collections.abc.Callable[[str], runner.Report]


@pytest.fixture(scope="module")
def reports(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[Reports]:
    """Run the scenarios of the selected tests, a few concurrently."""
    items: list[typing.Any] = request.session.items
    own_tests = [i for i in items if i.path == request.path]
    names = {
        i.callspec.params["name"] for i in own_tests if hasattr(i, "callspec")
    }
    if any(not hasattr(item, "callspec") for item in own_tests):
        names = set(CI_SCENARIOS)
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_RUNS) as pool:
        report_by_name = {
            name: pool.submit(runner.run_scenario, SCENARIO_BY_NAME[name])
            for name in CI_SCENARIOS
            if name in names
        }
        yield lambda name: report_by_name[name].result()


@pytest.mark.parametrize("promise", checker.Promise, ids=lambda p: p.name)
@pytest.mark.parametrize("name", CI_SCENARIOS)
def test_promise_holds(
    reports: Reports, name: str, promise: checker.Promise
) -> None:
    by_promise = {r.promise: r for r in reports(name).results}
    assert by_promise[promise].violations == []


@pytest.mark.parametrize("name", CI_SCENARIOS)
def test_calls_are_answered(reports: Reports, name: str) -> None:
    assert reports(name).answered >= SCENARIO_BY_NAME[name].answered


def test_all_promises_are_checked(reports: Reports) -> None:
    checked = {
        result.promise
        for name in CI_SCENARIOS
        for result in reports(name).results
        if result.check_count
    }
    assert checked == set(checker.Promise)
