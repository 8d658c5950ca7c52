"""Test that the checker detects violations and accepts a correct run."""

import json
import pathlib

import msgspec
import pytest

from sycamoredale.engines import orders
from sycamoredale.groups import model as groups_model
from sycamoredale import ids
from sycamoredale.object_api import instances
from sycamoredale.standins import records
from tests import checker
from tests import recordings

FIRST_MEMBER = ids.InstanceId("a1")
SECOND_MEMBER = ids.InstanceId("a2")
GROUP = ids.GroupId("d1/a1")
ADDRESSES = ["10.0.0.1:1", "10.0.0.2:1"]


def test_correct_run_passes_all_checks() -> None:
    results = checker.check(recordings.Recording(_correct_run()))
    assert [r.promise for r in results] == list(checker.Promise)
    assert [r.violations for r in results] == [[]] * len(results)
    assert all(r.check_count for r in results)


VIOLATIONS: list[tuple[set[checker.Promise], list[recordings.Record]]] = []


def _add_violation(
    promise: checker.Promise | set[checker.Promise],
    *added_records: recordings.Record,
) -> None:
    promises = promise if isinstance(promise, set) else {promise}
    VIOLATIONS.append((promises, list(added_records)))


def _instance_list(state: instances.InstanceState) -> list[instances.Instance]:
    return [
        instances.Instance(
            name,
            address,
            ids.ZoneName("z1"),
            ids.DomainName("d1"),
            state=state,
        )
        for name, address in zip((FIRST_MEMBER, SECOND_MEMBER), ADDRESSES)
    ]


def _order(
    action: orders.Action = orders.Action.LOAD,
    epoch: int = 1,
    group: ids.GroupId = GROUP,
) -> orders.Order:
    return orders.Order(action, ids.Epoch(epoch), group, members=ADDRESSES)


def _order_applied(
    time: float,
    instance: ids.InstanceId,
    order: orders.Order,
    running: int = 0,
) -> records.OrderApplied:
    return records.OrderApplied(time, instance, order, running)


def _request_started(
    time: float,
    marker: str,
    key: str = "",
    epoch: int = 1,
    group: str = GROUP,
    instance: ids.InstanceId = FIRST_MEMBER,
) -> records.RequestStarted:
    return records.RequestStarted(
        time, instance, f"r-{time}", marker, key, group, epoch, ADDRESSES
    )


def _call(
    time: float,
    marker: str,
    outcome: recordings.Outcome = recordings.Outcome.COMPLETE,
    execution: str = "",
    key: str = "",
) -> recordings.Call:
    return recordings.Call(
        time,
        time + 0.5,
        marker,
        "router-1",
        outcome,
        idempotent=not key,
        key=key,
        execution=execution,
    )


def _assignment_changed(
    time: float, domain: str, *members: ids.InstanceId
) -> records.ObjectChanged:
    group = groups_model.Group(
        ids.GroupId(domain),
        ids.ServiceName("s"),
        ids.VersionName("v"),
        ids.ZoneName("z1"),
        ids.Epoch(1),
        groups_model.GroupState.READY,
        [groups_model.Member(m, m) for m in members],
    )
    value = groups_model.Assignment(ids.DomainName(domain), groups=[group])
    raw = msgspec.Raw(msgspec.json.encode(value))
    return records.ObjectChanged(
        time, "assignment", domain, int(time * 10), raw
    )


def _pointer_changed(time: float, generation: int) -> records.ObjectChanged:
    raw = msgspec.Raw(json.dumps({"generation": generation}).encode())
    return records.ObjectChanged(
        time, "configuration", "current", int(time * 10), raw
    )


def _correct_run() -> list[recordings.Record]:
    return [
        records.InstancesListed(
            0.0, _instance_list(instances.InstanceState.LIVE)
        ),
        _pointer_changed(0.1, 1),
        recordings.ConfigurationAccepted(0.2, 0.1, 1),
        _assignment_changed(0.3, "d1", FIRST_MEMBER, SECOND_MEMBER),
        records.ObjectChanged(
            0.35, "assignment", "d0", 3, msgspec.Raw(b"null")
        ),
        _order_applied(0.4, FIRST_MEMBER, _order()),
        _order_applied(0.4, SECOND_MEMBER, _order()),
        records.ColdStartLoad(0.9, FIRST_MEMBER, 2, 2),
        _request_started(1.1, "m1"),
        records.RequestEnded(1.3, FIRST_MEMBER, "r-1.1", True),
        _call(1.0, "m1"),
        _request_started(2.1, "m2", key="k2"),
        records.RequestEnded(2.3, FIRST_MEMBER, "r-2.1", True),
        _call(2.0, "m2", key="k2"),
        _call(3.0, "m3", recordings.Outcome.REFUSED, "not_run"),
        _call(3.5, "m4", recordings.Outcome.REFUSED, "unknown", key="k4"),
        _request_started(3.6, "m4", key="k4"),
        records.RequestEnded(3.7, FIRST_MEMBER, "r-3.6", True),
        recordings.GenerationSample(1.0, "router-1", 1),
        recordings.GenerationSample(19.0, "router-1", 1),
        recordings.PlannedStop(30.0, 31.0, "router-1"),
        _call(29.9, "m5"),
        _pointer_changed(40.0, 2),
        recordings.ConfigurationAccepted(40.1, 40.0, 2, ["z1"]),
        recordings.GenerationSample(60.0, "router-1", 2),
        _request_started(44.0, "m6"),
        records.RequestEnded(44.1, FIRST_MEMBER, "r-44.0", True),
        _pointer_changed(70.0, 3),
        recordings.ConfigurationAccepted(70.1, 70.0, 3, []),
        _request_started(80.0, "m7"),
        records.RequestEnded(80.1, FIRST_MEMBER, "r-80.0", True),
        records.InstancesListed(
            90.0, _instance_list(instances.InstanceState.LEAVING)
        ),
        _request_started(91.0, "m8"),
        records.RequestEnded(91.1, FIRST_MEMBER, "r-91.0", True),
        _order_applied(99.0, FIRST_MEMBER, _order(orders.Action.UNLOAD, 2)),
        _order_applied(99.0, SECOND_MEMBER, _order(orders.Action.UNLOAD, 2)),
    ]


_add_violation(
    checker.Promise.FULL_GROUP,
    _order_applied(2.0, SECOND_MEMBER, _order(orders.Action.UNLOAD)),
)
_add_violation(
    checker.Promise.FULL_GROUP,
    _order_applied(2.0, SECOND_MEMBER, _order(group=ids.GroupId("other"))),
)
_add_violation(
    checker.Promise.FULL_GROUP,
    _order_applied(2.0, SECOND_MEMBER, _order(epoch=2)),
)
_add_violation(
    checker.Promise.FULL_GROUP, recordings.Outage(1.5, 3.0, SECOND_MEMBER)
)
_add_violation(
    checker.Promise.FULL_GROUP,
    recordings.Outage(1.5, 1.6, SECOND_MEMBER, killed=True),
)
_add_violation(
    checker.Promise.ONE_GROUP, _assignment_changed(5.0, "d2", SECOND_MEMBER)
)
_add_violation(
    checker.Promise.ONE_GROUP, _order_applied(100.0, SECOND_MEMBER, _order())
)
_add_violation(
    {checker.Promise.ONE_GROUP, checker.Promise.FULL_GROUP},
    _request_started(1.2, "m9", group="other", instance=ids.InstanceId("a9")),
)
_add_violation(
    checker.Promise.COLD_START, records.ColdStartLoad(5.0, FIRST_MEMBER, 3, 2)
)
_add_violation(checker.Promise.ZONE_OUT, _request_started(46.0, "m9"))
_add_violation(
    checker.Promise.WHOLE_ANSWER,
    _call(5.0, "m9", recordings.Outcome.MISMATCHED),
)
_add_violation(
    checker.Promise.WHOLE_ANSWER,
    _call(5.0, "m9", recordings.Outcome.TRUNCATED),
)
_add_violation(
    checker.Promise.WHOLE_ANSWER,
    _call(5.0, "m9", recordings.Outcome.TIMED_OUT),
)
_add_violation(checker.Promise.TRUE_REFUSAL, _request_started(3.2, "m3"))
_add_violation(checker.Promise.TRUE_REFUSAL, _request_started(9.2, "m3"))
_add_violation(
    checker.Promise.AT_MOST_ONCE, _request_started(9.2, "m2", key="k2")
)
_add_violation(checker.Promise.LEAVING, _request_started(96.0, "m9"))
_add_violation(
    checker.Promise.GRACEFUL_STOP,
    _call(29.8, "m9", recordings.Outcome.TRUNCATED),
    recordings.Outage(30.0, 31.0, "router-1"),
)
_add_violation(
    checker.Promise.GRACEFUL_STOP,
    _order_applied(
        99.5, FIRST_MEMBER, _order(orders.Action.LOAD, 3), running=1
    ),
)
_add_violation(checker.Promise.CONFIGURATION, _pointer_changed(100.0, 1))
_add_violation(
    checker.Promise.CONFIGURATION,
    recordings.GenerationSample(61.0, "router-1", 1),
)
_add_violation(
    checker.Promise.CONFIGURATION,
    recordings.ConfigurationAccepted(71.0, 70.0, 4),
)
_add_violation(
    checker.Promise.CONFIGURATION,
    recordings.GenerationSample(1.0, "router-2", 1),
    recordings.GenerationSample(60.0, "router-2", 1),
)


@pytest.mark.parametrize(("promises", "added_records"), VIOLATIONS)
def test_detects_violation(
    promises: set[checker.Promise], added_records: list[recordings.Record]
) -> None:
    results = checker.check(
        recordings.Recording([*_correct_run(), *added_records])
    )
    broken = {r.promise for r in results if r.violations}
    assert broken == promises


def test_every_promise_has_a_violation() -> None:
    assert set().union(*(p for p, _ in VIOLATIONS)) == set(checker.Promise)


def test_kill_ends_executions_of_engine() -> None:
    added_records = [
        _request_started(92.0, "m9"),
        recordings.Outage(92.5, 93.0, FIRST_MEMBER, killed=True),
        _order_applied(93.5, FIRST_MEMBER, _order(epoch=2)),
        _order_applied(93.5, SECOND_MEMBER, _order(epoch=2)),
        _request_started(94.0, "m10", epoch=2),
        records.RequestEnded(94.1, FIRST_MEMBER, "r-94.0", True),
    ]
    results = checker.check(
        recordings.Recording([*_correct_run(), *added_records])
    )
    assert not [r for r in results if r.violations]


def test_lost_calls_of_dead_router_are_allowed() -> None:
    added_records = [
        _call(5.0, "m9", recordings.Outcome.TRUNCATED),
        recordings.Outage(5.2, 9.0, "router-1"),
    ]
    results = checker.check(
        recordings.Recording([*_correct_run(), *added_records])
    )
    assert not [r for r in results if r.violations]


def test_lost_calls_of_router_without_store_are_violations() -> None:
    added_records = [
        _call(5.0, "m9", recordings.Outcome.TRUNCATED),
        recordings.Outage(5.2, 9.0, "router-1", reachable_by_callers=True),
    ]
    results = checker.check(
        recordings.Recording([*_correct_run(), *added_records])
    )
    broken = {r.promise for r in results if r.violations}
    assert broken == {checker.Promise.WHOLE_ANSWER}


def test_recording_survives_files(tmp_path: pathlib.Path) -> None:
    for number, record in enumerate(_correct_run()):
        path = tmp_path / f"{number % 3}.jsonl"
        with path.open("ab") as file:
            file.write(msgspec.json.encode(record) + b"\n")
    restored = recordings.Recording(recordings.read(tmp_path))
    assert checker.check(restored) == checker.check(
        recordings.Recording(_correct_run())
    )
