"""Check the promises about groups, instances and zones.

Each function yields one text per check: empty if the promise was kept, else
the violation.
"""

import bisect
import collections
import collections.abc
from typing import Final

import msgspec

from sycamoredale.engines import orders
from sycamoredale.groups import model as groups_model
from sycamoredale.object_api import instances
from sycamoredale.standins import records
from tests import recordings

NULL: Final = msgspec.Raw(b"null")
MEMBER_PROBE_SECONDS: Final = 0.3


def full_group(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that all members of a serving group belong to it."""
    obeyed_by_instance = _group_by(recording.of_type(records.OrderApplied))
    instance_by_address = recording.instance_by_address()
    for execution in recording.of_type(records.RequestStarted):
        for address in execution.members:
            instance = instance_by_address.get(address)
            name = instance.id if instance else address
            order = _last_order(
                obeyed_by_instance[name],
                recording.find_state_loss(name, execution.time),
                execution.time,
            )
            yield _member_fault(recording, execution, name, order)


def _member_fault(
    recording: recordings.Recording,
    execution: records.RequestStarted,
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
        for o in recording.of_type(recordings.Outage)
    ):
        return f"{title} while member {member} was down"
    return ""


def one_group(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that no instance was ever in two groups."""
    yield from _assignments_overlap(recording)
    newest: dict[str, int] = {}
    for obeyed in recording.of_type(records.OrderApplied):
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
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    groups_by_domain: dict[str, list[groups_model.Group]] = {}
    for change in recording.of_type(records.ObjectChanged):
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
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    running: dict[tuple[str, str], records.RequestStarted] = {}
    spans = [
        *recording.of_type(records.RequestStarted),
        *recording.of_type(records.RequestEnded),
        *_kills(recording),
    ]
    for record in sorted(spans, key=lambda r: r.time):
        if isinstance(record, recordings.Outage):
            for key in [k for k in running if k[0] == record.name]:
                del running[key]
            continue
        key = (record.instance, record.request_id)
        if isinstance(record, records.RequestEnded):
            running.pop(key, None)
            continue
        yield next(
            filter(None, (_shared(record, r) for r in running.values())), ""
        )
        running[key] = record


def _kills(
    recording: recordings.Recording,
) -> collections.abc.Iterator[recordings.Outage]:
    """Yield each kill at its start and end.

    Requests may run until the end of a kill.
    """
    for outage in recording.of_type(recordings.Outage):
        if outage.killed:
            yield outage
            yield msgspec.structs.replace(outage, time=outage.until)


def _shared(one: records.RequestStarted, other: records.RequestStarted) -> str:
    if (one.group, one.epoch) == (other.group, other.epoch):
        return ""
    shared = set(one.members) & set(other.members)
    if not shared:
        return ""
    return (
        f"{sorted(shared)} served {one.group}@{one.epoch} and "
        f"{other.group}@{other.epoch} at once"
    )


def cold_start(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check the load of each endpoint in cold start."""
    for load in recording.of_type(records.ColdStartLoad):
        yield (
            f"instance {load.instance} got {load.running} requests in cold "
            f"start, limit {load.limit}"
            if load.running > load.limit
            else ""
        )


def zone_out(recording: recordings.Recording) -> collections.abc.Iterator[str]:
    """Check that new requests stop in a zone taken out of service."""
    zones = {
        instance.id: instance.zone
        for instance in recording.instance_by_address().values()
    }
    grace = recording.limits.new_work_seconds
    for zone, start, end in _zone_spans(recording):
        yield ""
        for execution in recording.of_type(records.RequestStarted):
            late = start + grace < execution.time < end
            if late and zones.get(execution.instance) == zone:
                yield (
                    f"request {execution.request_id} began on "
                    f"{execution.instance} {execution.time - start:.1f} s "
                    f"after zone {zone} was taken out of service"
                )


def _zone_spans(
    recording: recordings.Recording,
) -> collections.abc.Iterator[tuple[str, float, float]]:
    accepted = recording.of_type(recordings.ConfigurationAccepted)
    for index, one in enumerate(accepted):
        before = accepted[index - 1].zones_out if index else []
        for zone in set(one.zones_out) - set(before):
            ends = (
                a.sent_at for a in accepted[index:] if zone not in a.zones_out
            )
            yield zone, one.time, next(ends, float("inf"))


def leaving(recording: recordings.Recording) -> collections.abc.Iterator[str]:
    """Check that new requests stop on a leaving instance."""
    instance_by_address = recording.instance_by_address()
    limits = recording.limits
    grace = limits.new_work_seconds + limits.list_lag_seconds
    for name, start, end in _leaving_spans(recording):
        yield ""
        for execution in recording.of_type(records.RequestStarted):
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
    recording: recordings.Recording,
) -> collections.abc.Iterator[tuple[str, float, float]]:
    since: dict[str, float] = {}
    for listed in recording.of_type(records.InstancesListed):
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


def _last_order(
    obeyed: list[records.OrderApplied], start: float, end: float
) -> orders.Order | None:
    index = bisect.bisect(obeyed, end, key=lambda o: o.time)
    if not index or obeyed[index - 1].time < start:
        return None
    return obeyed[index - 1].order


def _group_by(
    obeyed: list[records.OrderApplied],
) -> collections.defaultdict[str, list[records.OrderApplied]]:
    by_instance = collections.defaultdict(list)
    for record in obeyed:
        by_instance[record.instance].append(record)
    return by_instance
