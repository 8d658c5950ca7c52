"""Test that the checker detects each broken promise and passes a good run."""

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

LEADER = ids.InstanceId("a1")
MEMBER = ids.InstanceId("a2")
GROUP = ids.GroupId("d1/a1")
ADDRESSES = ["10.0.0.1:1", "10.0.0.2:1"]


def test_good_run_breaks_nothing_and_tries_everything() -> None:
    verdicts = checker.check(recordings.Recording(_good()))
    assert [v.promise for v in verdicts] == list(checker.Promise)
    assert [v.broken for v in verdicts] == [[]] * len(verdicts)
    assert all(v.tried for v in verdicts)


BREAKS: list[tuple[set[checker.Promise], list[recordings.Record]]] = []


def _break(
    promise: checker.Promise | set[checker.Promise], *extra: recordings.Record
) -> None:
    promises = promise if isinstance(promise, set) else {promise}
    BREAKS.append((promises, list(extra)))


def _listing(state: instances.InstanceState) -> list[instances.Instance]:
    return [
        instances.Instance(
            name,
            address,
            ids.ZoneName("z1"),
            ids.DomainName("d1"),
            state=state,
        )
        for name, address in zip((LEADER, MEMBER), ADDRESSES)
    ]


def _order(
    action: orders.Action = orders.Action.LOAD,
    epoch: int = 1,
    group: ids.GroupId = GROUP,
) -> orders.Order:
    return orders.Order(action, ids.Epoch(epoch), group, members=ADDRESSES)


def _obeyed(
    time: float,
    instance: ids.InstanceId,
    order: orders.Order,
    running: int = 0,
) -> records.OrderApplied:
    return records.OrderApplied(time, instance, order, running)


def _executed(
    time: float,
    marker: str,
    key: str = "",
    epoch: int = 1,
    group: str = GROUP,
    instance: ids.InstanceId = LEADER,
) -> records.RequestStarted:
    return records.RequestStarted(
        time, instance, f"r-{time}", marker, key, group, epoch, ADDRESSES
    )


def _call(
    time: float,
    marker: str,
    outcome: recordings.Outcome = recordings.Outcome.WHOLE,
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


def _assignment(
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


def _pointer(time: float, generation: int) -> records.ObjectChanged:
    raw = msgspec.Raw(json.dumps({"generation": generation}).encode())
    return records.ObjectChanged(
        time, "configuration", "current", int(time * 10), raw
    )


def _good() -> list[recordings.Record]:
    return [
        records.InstancesListed(0.0, _listing(instances.InstanceState.LIVE)),
        _pointer(0.1, 1),
        recordings.Accepted(0.2, 0.1, 1),
        _assignment(0.3, "d1", LEADER, MEMBER),
        records.ObjectChanged(
            0.35, "assignment", "d0", 3, msgspec.Raw(b"null")
        ),
        _obeyed(0.4, LEADER, _order()),
        _obeyed(0.4, MEMBER, _order()),
        records.ColdStartLoad(0.9, LEADER, 2, 2),
        _executed(1.1, "m1"),
        records.RequestEnded(1.3, LEADER, "r-1.1", True),
        _call(1.0, "m1"),
        _executed(2.1, "m2", key="k2"),
        records.RequestEnded(2.3, LEADER, "r-2.1", True),
        _call(2.0, "m2", key="k2"),
        _call(3.0, "m3", recordings.Outcome.REFUSED, "not_run"),
        _call(3.5, "m4", recordings.Outcome.REFUSED, "unknown", key="k4"),
        _executed(3.6, "m4", key="k4"),
        records.RequestEnded(3.7, LEADER, "r-3.6", True),
        recordings.InForce(1.0, "router-1", 1),
        recordings.InForce(19.0, "router-1", 1),
        recordings.PlannedStop(30.0, 31.0, "router-1"),
        _call(29.9, "m5"),
        _pointer(40.0, 2),
        recordings.Accepted(40.1, 40.0, 2, ["z1"]),
        recordings.InForce(60.0, "router-1", 2),
        _executed(44.0, "m6"),
        records.RequestEnded(44.1, LEADER, "r-44.0", True),
        _pointer(70.0, 3),
        recordings.Accepted(70.1, 70.0, 3, []),
        _executed(80.0, "m7"),
        records.RequestEnded(80.1, LEADER, "r-80.0", True),
        records.InstancesListed(
            90.0, _listing(instances.InstanceState.LEAVING)
        ),
        _executed(91.0, "m8"),
        records.RequestEnded(91.1, LEADER, "r-91.0", True),
        _obeyed(99.0, LEADER, _order(orders.Action.UNLOAD, 2)),
        _obeyed(99.0, MEMBER, _order(orders.Action.UNLOAD, 2)),
    ]


_break(
    checker.Promise.FULL_GROUP,
    _obeyed(2.0, MEMBER, _order(orders.Action.UNLOAD)),
)
_break(
    checker.Promise.FULL_GROUP,
    _obeyed(2.0, MEMBER, _order(group=ids.GroupId("other"))),
)
_break(checker.Promise.FULL_GROUP, _obeyed(2.0, MEMBER, _order(epoch=2)))
_break(checker.Promise.FULL_GROUP, recordings.Outage(1.5, 3.0, MEMBER))
_break(
    checker.Promise.FULL_GROUP,
    recordings.Outage(1.5, 1.6, MEMBER, killed=True),
)
_break(checker.Promise.ONE_GROUP, _assignment(5.0, "d2", MEMBER))
_break(checker.Promise.ONE_GROUP, _obeyed(100.0, MEMBER, _order()))
_break(
    {checker.Promise.ONE_GROUP, checker.Promise.FULL_GROUP},
    _executed(1.2, "m9", group="other", instance=ids.InstanceId("a9")),
)
_break(checker.Promise.COLD_START, records.ColdStartLoad(5.0, LEADER, 3, 2))
_break(checker.Promise.ZONE_OUT, _executed(46.0, "m9"))
_break(
    checker.Promise.WHOLE_ANSWER, _call(5.0, "m9", recordings.Outcome.WRONG)
)
_break(checker.Promise.WHOLE_ANSWER, _call(5.0, "m9", recordings.Outcome.CUT))
_break(
    checker.Promise.WHOLE_ANSWER, _call(5.0, "m9", recordings.Outcome.SILENT)
)
_break(checker.Promise.TRUE_REFUSAL, _executed(3.2, "m3"))
_break(checker.Promise.TRUE_REFUSAL, _executed(9.2, "m3"))
_break(checker.Promise.AT_MOST_ONCE, _executed(9.2, "m2", key="k2"))
_break(checker.Promise.LEAVING, _executed(96.0, "m9"))
_break(
    checker.Promise.GRACEFUL_STOP,
    _call(29.8, "m9", recordings.Outcome.CUT),
    recordings.Outage(30.0, 31.0, "router-1"),
)
_break(
    checker.Promise.GRACEFUL_STOP,
    _obeyed(99.5, LEADER, _order(orders.Action.LOAD, 3), running=1),
)
_break(checker.Promise.CONFIGURATION, _pointer(100.0, 1))
_break(checker.Promise.CONFIGURATION, recordings.InForce(61.0, "router-1", 1))
_break(checker.Promise.CONFIGURATION, recordings.Accepted(71.0, 70.0, 4))
_break(
    checker.Promise.CONFIGURATION,
    recordings.InForce(1.0, "router-2", 1),
    recordings.InForce(60.0, "router-2", 1),
)


@pytest.mark.parametrize(("promises", "extra"), BREAKS)
def test_detects_a_break(
    promises: set[checker.Promise], extra: list[recordings.Record]
) -> None:
    verdicts = checker.check(recordings.Recording([*_good(), *extra]))
    broken = {v.promise for v in verdicts if v.broken}
    assert broken == promises


def test_every_promise_has_a_break() -> None:
    assert set().union(*(p for p, _ in BREAKS)) == set(checker.Promise)


def test_executions_of_a_killed_engine_end_with_it() -> None:
    extra = [
        _executed(92.0, "m9"),
        recordings.Outage(92.5, 93.0, LEADER, killed=True),
        _obeyed(93.5, LEADER, _order(epoch=2)),
        _obeyed(93.5, MEMBER, _order(epoch=2)),
        _executed(94.0, "m10", epoch=2),
        records.RequestEnded(94.1, LEADER, "r-94.0", True),
    ]
    verdicts = checker.check(recordings.Recording([*_good(), *extra]))
    assert not [v for v in verdicts if v.broken]


def test_lost_calls_of_a_dead_router_are_no_break() -> None:
    extra = [
        _call(5.0, "m9", recordings.Outcome.CUT),
        recordings.Outage(5.2, 9.0, "router-1"),
    ]
    verdicts = checker.check(recordings.Recording([*_good(), *extra]))
    assert not [v for v in verdicts if v.broken]


def test_lost_calls_of_a_daemon_without_store_are_a_break() -> None:
    extra = [
        _call(5.0, "m9", recordings.Outcome.CUT),
        recordings.Outage(5.2, 9.0, "router-1", hears_callers=True),
    ]
    verdicts = checker.check(recordings.Recording([*_good(), *extra]))
    broken = {v.promise for v in verdicts if v.broken}
    assert broken == {checker.Promise.WHOLE_ANSWER}


def test_records_are_read_back(tmp_path: pathlib.Path) -> None:
    for number, record in enumerate(_good()):
        path = tmp_path / f"{number % 3}.jsonl"
        with path.open("ab") as file:
            file.write(msgspec.json.encode(record) + b"\n")
    read = recordings.Recording(recordings.read(tmp_path))
    assert checker.check(read) == checker.check(recordings.Recording(_good()))
