"""Check recordings of a run against the ten promises to callers.

A recording merges the events that stand-ins observed (`standins.records`)
with the actions of the load generator and the scenario runner.  Each promise
has one function that yields the outcome of every check of it.
"""

import collections.abc
import dataclasses
import enum
from typing import Final

from tests import call_promises
from tests import group_promises
from tests import recordings


class Promise(enum.Enum):
    """Name the promises; the values are printed in reports."""

    FULL_GROUP = "no partial group serves"
    ONE_GROUP = "no instance is in two groups"
    COLD_START = "cold endpoints are not overloaded"
    ZONE_OUT = "a zone taken out gets no new work"
    WHOLE_ANSWER = "callers get their own whole answer"
    TRUE_REFUSAL = "not_run is true"
    AT_MOST_ONCE = "non-idempotent requests run at most once"
    LEAVING = "a leaving endpoint gets no new work"
    GRACEFUL_STOP = "a planned stop cuts off no request"
    CONFIGURATION = "an accepted configuration holds and never reverts"


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Count the checks of a promise and list its violations."""

    promise: Promise
    check_count: int
    violations: list[str]


def check(recording: recordings.Recording) -> list[CheckResult]:
    """Return one result for each promise."""
    return [
        _build_result(promise, list(check_promise(recording)))
        for promise, check_promise in _CHECK_BY_PROMISE.items()
    ]


def _build_result(promise: Promise, outcomes: list[str]) -> CheckResult:
    return CheckResult(promise, len(outcomes), [r for r in outcomes if r])


_CHECK_BY_PROMISE: Final[
    dict[
        Promise,
        collections.abc.Callable[
            [recordings.Recording], collections.abc.Iterator[str]
        ],
    ]
] = {
    Promise.FULL_GROUP: group_promises.full_group,
    Promise.ONE_GROUP: group_promises.one_group,
    Promise.COLD_START: group_promises.cold_start,
    Promise.ZONE_OUT: group_promises.zone_out,
    Promise.WHOLE_ANSWER: call_promises.whole_answer,
    Promise.TRUE_REFUSAL: call_promises.true_refusal,
    Promise.AT_MOST_ONCE: call_promises.at_most_once,
    Promise.LEAVING: group_promises.leaving,
    Promise.GRACEFUL_STOP: call_promises.graceful_stop,
    Promise.CONFIGURATION: call_promises.configuration,
}
