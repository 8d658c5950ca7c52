"""Judge the promises about calls, planned stops and configuration.

Each function yields one text a try: empty if the promise held, and the
reason if it broke.
"""

import bisect
import collections
import collections.abc
from typing import Final

import msgspec

from sycamoredale.config import model as config_model
from sycamoredale.engines import orders
from sycamoredale.standins import records
from tests import recordings

NULL: Final = msgspec.Raw(b"null")
REPAIR_SECONDS: Final = 60.0


def whole_answer(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Judge whether callers got their own whole answers."""
    for call in recording.of(recordings.Call):
        if call.outcome in (
            recordings.Outcome.REFUSED,
            recordings.Outcome.UNREACHED,
        ):
            continue
        lost = call.outcome in (
            recordings.Outcome.CUT,
            recordings.Outcome.SILENT,
        )
        if lost and recording.is_mute(call.router, call.time, call.ended):
            continue
        yield (
            ""
            if call.outcome is recordings.Outcome.WHOLE
            else f"call {call.marker} at {call.router}: {call.outcome.value} "
            f"{call.code}"
        )


def true_refusal(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Judge the refusals that say `not_run`."""
    starts_by_marker = collections.defaultdict(list)
    for execution in recording.of(records.Executed):
        starts_by_marker[execution.marker].append(execution.time)
    tries_by_marker = collections.defaultdict(list)
    for call in recording.of(recordings.Call):
        tries_by_marker[call.marker].append(call)
    for call in recording.of(recordings.Call):
        if call.execution != "not_run":
            continue
        starts = starts_by_marker[call.marker]
        never = all(
            c.execution == "not_run"
            or c.outcome is recordings.Outcome.UNREACHED
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


def at_most_once(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Judge how often non-idempotent requests ran."""
    runs = collections.Counter(
        e.key or e.marker for e in recording.of(records.Executed)
    )
    names = {
        c.key or c.marker
        for c in recording.of(recordings.Call)
        if not c.idempotent
    }
    for name in sorted(names):
        count = runs[name]
        yield f"request {name} ran {count} times" if count > 1 else ""


def graceful_stop(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Judge whether planned stops cut off requests."""
    for stop in recording.of(recordings.PlannedStop):
        for call in recording.of(recordings.Call):
            if call.router != stop.daemon or call.ended < stop.time:
                continue
            lost = call.outcome in (
                recordings.Outcome.CUT,
                recordings.Outcome.SILENT,
            )
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
    recording: recordings.Recording,
    obeyed: records.Obeyed,
    previous: orders.Order,
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


def configuration(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Judge whether accepted configurations come into force for good."""
    generations = list(_pointer_generations(recording))
    for one, following in zip([0, *generations], generations):
        yield (
            f"generation {following} was stored after {one}"
            if following <= one
            else ""
        )
    samples_by_daemon = collections.defaultdict(list)
    for sample in recording.of(recordings.InForce):
        samples_by_daemon[sample.daemon].append(sample)
    for daemon, samples in samples_by_daemon.items():
        yield from _reverts(daemon, samples)
        for accepted in recording.of(recordings.Accepted):
            yield from _in_force(recording, accepted, daemon, samples)
    for accepted in recording.of(recordings.Accepted):
        missing = accepted.generation not in generations
        yield (
            f"generation {accepted.generation} was accepted, not stored"
            if missing
            else ""
        )


def _pointer_generations(
    recording: recordings.Recording,
) -> collections.abc.Iterator[int]:
    for change in recording.of(records.Changed):
        if (change.kind, change.name) == (
            config_model.KIND,
            config_model.POINTER_NAME,
        ):
            if change.value != NULL:
                yield int(msgspec.json.decode(change.value)["generation"])


def _reverts(
    daemon: str, samples: list[recordings.InForce]
) -> collections.abc.Iterator[str]:
    for one, following in zip(samples, samples[1:]):
        if following.generation < one.generation:
            yield (
                f"daemon {daemon} went back from generation "
                f"{one.generation} to {following.generation}"
            )


def _in_force(
    recording: recordings.Recording,
    accepted: recordings.Accepted,
    daemon: str,
    samples: list[recordings.InForce],
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
