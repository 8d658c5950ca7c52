"""Check recordings of a run against the ten promises to callers.

A recording joins what stand-ins saw (`standins.records`) with what the
load generator and the scenario runner did.  Each promise has one function
that yields an empty text for a try that held and the reason for one that
broke.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import pathlib
import typing
from typing import Final

import msgspec

from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.groups import model as groups_model
from sycamoredale.platform import instances
from sycamoredale.standins import records

NULL: Final = msgspec.Raw(b"null")
MEMBER_PROBE_SECONDS: Final = 0.3
REPAIR_SECONDS: Final = 60.0


class Promise(enum.Enum):
    """Name the promises."""

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


class Outcome(enum.Enum):
    """State what a caller got."""

    WHOLE = "whole"
    WRONG = "wrong"
    CUT = "cut"
    SILENT = "silent"
    REFUSED = "refused"
    UNREACHED = "unreached"


class Call(msgspec.Struct, frozen=True, tag=True):
    """Report one try of a caller; UNREACHED is a refused connection."""

    time: float
    ended: float
    marker: str
    router: str
    outcome: Outcome
    idempotent: bool = True
    key: str = ""
    status: int = 0
    code: str = ""
    execution: str = ""


class Outage(msgspec.Struct, frozen=True, tag=True):
    """Report that a process was paused, cut off or killed."""

    time: float
    until: float
    name: str
    killed: bool = False


class PlannedStop(msgspec.Struct, frozen=True, tag=True):
    """Report that a router was asked to stop and when it ended."""

    time: float
    until: float
    daemon: str


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Report an accepted configuration; `begun` is when it was sent."""

    time: float
    begun: float
    generation: int
    zones_out: list[str] = []


class InForce(msgspec.Struct, frozen=True, tag=True):
    """Report the generation that a daemon said was in force."""

    time: float
    daemon: str
    generation: int


Record: typing.TypeAlias = (
    records.Record | Call | Outage | PlannedStop | Accepted | InForce
)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bound what counts as prompt, in seconds."""

    new_work_seconds: float = 5.0
    configuration_seconds: float = 18.0
    list_lag_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Hold how often a promise was tried and each way that it broke."""

    promise: Promise
    tried: int
    broken: list[str]


_R = typing.TypeVar("_R")


class Recording:
    """Hold the records of one run in order of time."""

    def __init__(
        self,
        found: collections.abc.Iterable[Record],
        limits: Limits = Limits(),
    ) -> None:
        """Sort the records."""
        self.limits: Final = limits
        self._by_type: dict[type, list[typing.Any]] = collections.defaultdict(
            list
        )
        for record in sorted(found, key=lambda r: r.time):
            self._by_type[type(record)].append(record)

    def of(self, kind: type[_R]) -> list[_R]:
        """Return the records of a type."""
        return self._by_type[kind]

    def instance_by_address(self) -> dict[str, instances.Instance]:
        """Return every instance that was ever listed."""
        return {
            instance.address: instance
            for listed in self.of(records.Listed)
            for instance in listed.instances
        }

    def is_out(self, name: str, start: float, end: float) -> bool:
        """Tell whether a process had an outage in a span of time."""
        return any(
            outage.name == name and outage.time <= end and start < outage.until
            for outage in self.of(Outage)
        )

    def state_since(self, name: str, time: float) -> float:
        """Return when a process last lost its state before a time."""
        return max(
            (
                outage.time
                for outage in self.of(Outage)
                if outage.name == name
                and outage.killed
                and outage.until <= time
            ),
            default=0.0,
        )


def read(
    directory: pathlib.Path,
) -> collections.abc.Iterator[Record]:
    """Yield the records in all files of a directory."""
    decoder = msgspec.json.Decoder(Record)
    for path in sorted(directory.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            yield decoder.decode(line)


def check(recording: Recording) -> list[Verdict]:
    """Return one verdict for each promise."""
    return [
        _verdict(promise, list(judge(recording)))
        for promise, judge in _JUDGES.items()
    ]


def _verdict(promise: Promise, results: list[str]) -> Verdict:
    return Verdict(promise, len(results), [r for r in results if r])


def _full_group(recording: Recording) -> collections.abc.Iterator[str]:
    obeyed_by_instance = _group_by(recording.of(records.Obeyed))
    instance_by_address = recording.instance_by_address()
    for execution in recording.of(records.Executed):
        for address in execution.members:
            instance = instance_by_address.get(address)
            name = instance.id if instance else address
            order = _last_order(
                obeyed_by_instance[name],
                recording.state_since(name, execution.time),
                execution.time,
            )
            yield _member_fault(recording, execution, name, order)


def _member_fault(
    recording: Recording,
    execution: records.Executed,
    member: str,
    order: orders.Order | None,
) -> str:
    title = f"request {execution.request_id} ran on {execution.instance}"
    if order is None or order.group != execution.group:
        return f"{title} while member {member} was not in {execution.group}"
    if order.action is orders.Action.UNLOAD:
        return f"{title} while member {member} was unloaded"
    loaded = order.action is orders.Action.LOAD
    if loaded and order.epoch != execution.epoch:
        return f"{title} while member {member} had epoch {order.epoch}"
    before = execution.time - MEMBER_PROBE_SECONDS
    if any(
        o.name == member and o.time < before and execution.time < o.until
        for o in recording.of(Outage)
    ):
        return f"{title} while member {member} was down"
    return ""


def _one_group(recording: Recording) -> collections.abc.Iterator[str]:
    yield from _assignments_overlap(recording)
    newest: dict[str, int] = {}
    for obeyed in recording.of(records.Obeyed):
        epoch = obeyed.order.epoch
        stale = epoch < newest.get(obeyed.instance, 0)
        newest[obeyed.instance] = max(epoch, newest.get(obeyed.instance, 0))
        yield (
            f"instance {obeyed.instance} obeyed epoch {epoch} after "
            f"{newest[obeyed.instance]}"
            if stale
            else ""
        )
    yield from _executions_overlap(recording)


def _assignments_overlap(
    recording: Recording,
) -> collections.abc.Iterator[str]:
    groups_by_domain: dict[str, list[groups_model.Group]] = {}
    for change in recording.of(records.Changed):
        if change.kind != groups_model.ASSIGNMENT_KIND:
            continue
        groups_by_domain[change.name] = []
        if change.value != NULL:
            assignment = msgspec.json.decode(
                change.value, type=groups_model.Assignment
            )
            groups_by_domain[change.name] = assignment.groups
        uses = collections.Counter(
            member.instance
            for groups in groups_by_domain.values()
            for group in groups
            for member in group.members
        )
        twice = [name for name, count in uses.items() if count > 1]
        yield f"instances {twice} are in two groups" if twice else ""


def _executions_overlap(
    recording: Recording,
) -> collections.abc.Iterator[str]:
    running: dict[tuple[str, str], records.Executed] = {}
    spans = [
        *recording.of(records.Executed),
        *recording.of(records.Ended),
        *(o for o in recording.of(Outage) if o.killed),
    ]
    for record in sorted(spans, key=lambda r: r.time):
        if isinstance(record, Outage):
            for key in [k for k in running if k[0] == record.name]:
                del running[key]
            continue
        key = (record.instance, record.request_id)
        if isinstance(record, records.Ended):
            running.pop(key, None)
            continue
        yield next(
            filter(None, (_shared(record, r) for r in running.values())), ""
        )
        running[key] = record


def _shared(one: records.Executed, other: records.Executed) -> str:
    if (one.group, one.epoch) == (other.group, other.epoch):
        return ""
    shared = set(one.members) & set(other.members)
    if not shared:
        return ""
    return (
        f"{sorted(shared)} served {one.group}@{one.epoch} and "
        f"{other.group}@{other.epoch} at once"
    )


def _cold_start(recording: Recording) -> collections.abc.Iterator[str]:
    for load in recording.of(records.ColdLoad):
        yield (
            f"instance {load.instance} got {load.running} requests in cold "
            f"start and bears {load.limit}"
            if load.running > load.limit
            else ""
        )


def _zone_out(recording: Recording) -> collections.abc.Iterator[str]:
    zones = {
        instance.id: instance.zone
        for instance in recording.instance_by_address().values()
    }
    grace = recording.limits.new_work_seconds
    for zone, start, end in _zone_spans(recording):
        yield ""
        for execution in recording.of(records.Executed):
            late = start + grace < execution.time < end
            if late and zones.get(execution.instance) == zone:
                yield (
                    f"request {execution.request_id} began on "
                    f"{execution.instance} {execution.time - start:.1f} s "
                    f"after zone {zone} was taken out"
                )


def _zone_spans(
    recording: Recording,
) -> collections.abc.Iterator[tuple[str, float, float]]:
    accepted = recording.of(Accepted)
    for index, one in enumerate(accepted):
        before = accepted[index - 1].zones_out if index else []
        for zone in set(one.zones_out) - set(before):
            ends = (
                a.begun for a in accepted[index:] if zone not in a.zones_out
            )
            yield zone, one.time, next(ends, float("inf"))


def _whole_answer(recording: Recording) -> collections.abc.Iterator[str]:
    for call in recording.of(Call):
        if call.outcome in (Outcome.REFUSED, Outcome.UNREACHED):
            continue
        lost = call.outcome in (Outcome.CUT, Outcome.SILENT)
        if lost and recording.is_out(call.router, call.time, call.ended):
            continue
        yield (
            ""
            if call.outcome is Outcome.WHOLE
            else f"call {call.marker} at {call.router}: {call.outcome.value}"
        )


def _true_refusal(recording: Recording) -> collections.abc.Iterator[str]:
    starts_by_marker = collections.defaultdict(list)
    for execution in recording.of(records.Executed):
        starts_by_marker[execution.marker].append(execution.time)
    tries_by_marker = collections.defaultdict(list)
    for call in recording.of(Call):
        tries_by_marker[call.marker].append(call)
    for call in recording.of(Call):
        if call.execution != "not_run":
            continue
        starts = starts_by_marker[call.marker]
        never = all(
            c.execution == "not_run" or c.outcome is Outcome.UNREACHED
            for c in tries_by_marker[call.marker]
        )
        others = [c for c in tries_by_marker[call.marker] if c is not call]
        false = any(
            call.time < start < call.ended
            and not any(c.time < start < c.ended for c in others)
            for start in starts
        )
        yield (
            f"call {call.marker} was refused as not run ({call.code}) but ran"
            if false or (never and starts)
            else ""
        )


def _at_most_once(recording: Recording) -> collections.abc.Iterator[str]:
    runs = collections.Counter(
        e.key or e.marker for e in recording.of(records.Executed)
    )
    names = {c.key or c.marker for c in recording.of(Call) if not c.idempotent}
    for name in sorted(names):
        count = runs[name]
        yield f"request {name} ran {count} times" if count > 1 else ""


def _leaving(recording: Recording) -> collections.abc.Iterator[str]:
    instance_by_address = recording.instance_by_address()
    limits = recording.limits
    grace = limits.new_work_seconds + limits.list_lag_seconds
    for name, start, end in _leaving_spans(recording):
        yield ""
        for execution in recording.of(records.Executed):
            members = {
                i.id
                for i in map(instance_by_address.get, execution.members)
                if i is not None
            } | {execution.instance}
            if name in members and start + grace < execution.time < end:
                yield (
                    f"request {execution.request_id} began on "
                    f"{execution.instance} {execution.time - start:.1f} s "
                    f"after {name} was listed as leaving"
                )


def _leaving_spans(
    recording: Recording,
) -> collections.abc.Iterator[tuple[str, float, float]]:
    since: dict[str, float] = {}
    for listed in recording.of(records.Listed):
        live = {
            i.id
            for i in listed.instances
            if i.state is instances.InstanceState.LIVE
        }
        for name in live & set(since):
            yield name, since.pop(name), listed.time
        for instance in listed.instances:
            if instance.id not in live:
                since.setdefault(instance.id, listed.time)
    for name, start in since.items():
        yield name, start, float("inf")


def _graceful_stop(recording: Recording) -> collections.abc.Iterator[str]:
    for stop in recording.of(PlannedStop):
        for call in recording.of(Call):
            if call.router != stop.daemon or call.ended < stop.time:
                continue
            lost = call.outcome in (Outcome.CUT, Outcome.SILENT)
            yield (
                f"call {call.marker} was cut by the stop of {stop.daemon}"
                if lost
                else ""
            )
    last: dict[str, orders.Order] = {}
    for obeyed in recording.of(records.Obeyed):
        previous = last.get(obeyed.instance)
        last[obeyed.instance] = obeyed.order
        if previous is None or obeyed.order.action is orders.Action.DRAIN:
            continue
        if obeyed.order.epoch == previous.epoch and not obeyed.running:
            continue
        yield _cut_by_order(recording, obeyed, previous)


def _cut_by_order(
    recording: Recording, obeyed: records.Obeyed, previous: orders.Order
) -> str:
    start = obeyed.time - REPAIR_SECONDS
    instance_by_address = recording.instance_by_address()
    members = [
        i.id for i in map(instance_by_address.get, previous.members) if i
    ]
    if not obeyed.running or any(
        recording.is_out(name, start, obeyed.time) for name in members
    ):
        return ""
    return (
        f"order {obeyed.order.action.value} cut {obeyed.running} requests "
        f"on {obeyed.instance}"
    )


def _configuration(recording: Recording) -> collections.abc.Iterator[str]:
    generations = list(_pointer_generations(recording))
    for one, following in zip([0, *generations], generations):
        yield (
            f"generation {following} was stored after {one}"
            if following <= one
            else ""
        )
    samples_by_daemon = collections.defaultdict(list)
    for sample in recording.of(InForce):
        samples_by_daemon[sample.daemon].append(sample)
    for daemon, samples in samples_by_daemon.items():
        yield from _reverts(daemon, samples)
        for accepted in recording.of(Accepted):
            yield from _in_force(recording, accepted, daemon, samples)
    for accepted in recording.of(Accepted):
        missing = accepted.generation not in generations
        yield (
            f"generation {accepted.generation} was accepted, not stored"
            if missing
            else ""
        )


def _pointer_generations(
    recording: Recording,
) -> collections.abc.Iterator[int]:
    for change in recording.of(records.Changed):
        if (change.kind, change.name) == (
            config_model.KIND,
            config_model.POINTER_NAME,
        ):
            if change.value != NULL:
                yield int(msgspec.json.decode(change.value)["generation"])


def _reverts(
    daemon: str, samples: list[InForce]
) -> collections.abc.Iterator[str]:
    for one, following in zip(samples, samples[1:]):
        if following.generation < one.generation:
            yield (
                f"daemon {daemon} went back from generation "
                f"{one.generation} to {following.generation}"
            )


def _in_force(
    recording: Recording,
    accepted: Accepted,
    daemon: str,
    samples: list[InForce],
) -> collections.abc.Iterator[str]:
    seconds = recording.limits.configuration_seconds
    index = bisect.bisect(
        samples, accepted.time + seconds, key=lambda s: s.time
    )
    first = samples[0].time
    if index == len(samples) or first > accepted.time:
        return
    sample = samples[index]
    if recording.is_out(daemon, accepted.time, sample.time):
        return
    yield (
        f"daemon {daemon} had generation {sample.generation}, not "
        f"{accepted.generation}, {sample.time - accepted.time:.1f} s after "
        "it was accepted"
        if sample.generation < accepted.generation
        else ""
    )


def _last_order(
    obeyed: list[records.Obeyed], start: float, end: float
) -> orders.Order | None:
    index = bisect.bisect(obeyed, end, key=lambda o: o.time)
    if not index or obeyed[index - 1].time < start:
        return None
    return obeyed[index - 1].order


def _group_by(
    obeyed: list[records.Obeyed],
) -> collections.defaultdict[str, list[records.Obeyed]]:
    by_instance = collections.defaultdict(list)
    for record in obeyed:
        by_instance[record.instance].append(record)
    return by_instance


_JUDGES: Final[
    dict[
        Promise,
        collections.abc.Callable[[Recording], collections.abc.Iterator[str]],
    ]
] = {
    Promise.FULL_GROUP: _full_group,
    Promise.ONE_GROUP: _one_group,
    Promise.COLD_START: _cold_start,
    Promise.ZONE_OUT: _zone_out,
    Promise.WHOLE_ANSWER: _whole_answer,
    Promise.TRUE_REFUSAL: _true_refusal,
    Promise.AT_MOST_ONCE: _at_most_once,
    Promise.LEAVING: _leaving,
    Promise.GRACEFUL_STOP: _graceful_stop,
    Promise.CONFIGURATION: _configuration,
}
