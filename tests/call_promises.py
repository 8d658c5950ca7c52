"""Check the promises about calls, planned stops and configuration.

Each public function yields one string for each check: empty if the promise
was kept, and the violation if it was not.
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
FAILURE_WINDOW_SECONDS: Final = 60.0


def whole_answer(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that callers received complete answers to their own requests."""
    for call in recording.of_type(recordings.Call):
        if call.outcome in (
            recordings.Outcome.REFUSED,
            recordings.Outcome.UNREACHABLE,
        ):
            continue
        interrupted = call.outcome in (
            recordings.Outcome.TRUNCATED,
            recordings.Outcome.TIMED_OUT,
        )
        if interrupted and recording.was_unreachable(
            call.router, call.time, call.ended
        ):
            continue
        yield (
            ""
            if call.outcome is recordings.Outcome.COMPLETE
            else f"call {call.marker} at {call.router}: {call.outcome.value} "
            f"{call.code}"
        )


def true_refusal(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that requests refused with `not_run` did not run."""
    starts_by_marker = collections.defaultdict(list)
    for execution in recording.of_type(records.RequestStarted):
        starts_by_marker[execution.marker].append(execution.time)
    calls_by_marker = collections.defaultdict(list)
    for call in recording.of_type(recordings.Call):
        calls_by_marker[call.marker].append(call)
    for call in recording.of_type(recordings.Call):
        if call.execution != "not_run":
            continue
        starts = starts_by_marker[call.marker]
        all_refused = all(
            c.execution == "not_run"
            or c.outcome is recordings.Outcome.UNREACHABLE
            for c in calls_by_marker[call.marker]
        )
        other_calls = [
            c for c in calls_by_marker[call.marker] if c is not call
        ]
        ran_during_this_call = any(
            call.time < start < call.ended
            and not any(c.time < start < c.ended for c in other_calls)
            for start in starts
        )
        yield (
            f"call {call.marker} was refused as not run ({call.code}) but ran"
            if ran_during_this_call or (all_refused and starts)
            else ""
        )


def at_most_once(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that non-idempotent requests ran at most once."""
    runs = collections.Counter(
        e.key or e.marker for e in recording.of_type(records.RequestStarted)
    )
    names = {
        c.key or c.marker
        for c in recording.of_type(recordings.Call)
        if not c.idempotent
    }
    for name in sorted(names):
        count = runs[name]
        yield f"request {name} ran {count} times" if count > 1 else ""


def graceful_stop(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that planned stops interrupted no requests."""
    for stop in recording.of_type(recordings.PlannedStop):
        for call in recording.of_type(recordings.Call):
            if call.router != stop.daemon or call.ended < stop.time:
                continue
            interrupted = call.outcome in (
                recordings.Outcome.TRUNCATED,
                recordings.Outcome.TIMED_OUT,
            )
            yield (
                f"call {call.marker} was interrupted by the stop of "
                f"{stop.daemon}"
                if interrupted
                else ""
            )
    last_order_by_instance: dict[str, orders.Order] = {}
    for obeyed in recording.of_type(records.OrderApplied):
        previous = last_order_by_instance.get(obeyed.instance)
        last_order_by_instance[obeyed.instance] = obeyed.order
        if previous is None or obeyed.order.action is orders.Action.DRAIN:
            continue
        if obeyed.order.epoch == previous.epoch and not obeyed.running:
            continue
        yield _check_order(recording, obeyed, previous)


def _check_order(
    recording: recordings.Recording,
    obeyed: records.OrderApplied,
    previous: orders.Order,
) -> str:
    start = obeyed.time - FAILURE_WINDOW_SECONDS
    instance_by_address = recording.instance_by_address()
    members = [
        i.id for i in map(instance_by_address.get, previous.members) if i
    ]
    if not obeyed.running or any(
        recording.had_outage(name, start, obeyed.time) for name in members
    ):
        return ""
    return (
        f"order {obeyed.order.action.value} interrupted {obeyed.running} "
        f"requests on {obeyed.instance}"
    )


def configuration(
    recording: recordings.Recording,
) -> collections.abc.Iterator[str]:
    """Check that accepted configurations are applied and not reverted."""
    generations = list(_pointer_generations(recording))
    for previous, current in zip([0, *generations], generations):
        yield (
            f"generation {current} was stored after {previous}"
            if current <= previous
            else ""
        )
    samples_by_daemon = collections.defaultdict(list)
    for sample in recording.of_type(recordings.GenerationSample):
        samples_by_daemon[sample.daemon].append(sample)
    for daemon, samples in samples_by_daemon.items():
        yield from _check_reverts(daemon, samples)
        for accepted in recording.of_type(recordings.ConfigurationAccepted):
            yield from _check_in_force(recording, accepted, daemon, samples)
    for accepted in recording.of_type(recordings.ConfigurationAccepted):
        missing = accepted.generation not in generations
        yield (
            f"generation {accepted.generation} was accepted, not stored"
            if missing
            else ""
        )


def _pointer_generations(
    recording: recordings.Recording,
) -> collections.abc.Iterator[int]:
    for change in recording.of_type(records.ObjectChanged):
        if (change.kind, change.name) == (
            config_model.POINTER_KIND,
            config_model.POINTER_NAME,
        ):
            if change.value != NULL:
                yield int(msgspec.json.decode(change.value)["generation"])


def _check_reverts(
    daemon: str, samples: list[recordings.GenerationSample]
) -> collections.abc.Iterator[str]:
    for previous, current in zip(samples, samples[1:]):
        if current.generation < previous.generation:
            yield (
                f"daemon {daemon} went back from generation "
                f"{previous.generation} to {current.generation}"
            )


def _check_in_force(
    recording: recordings.Recording,
    accepted: recordings.ConfigurationAccepted,
    daemon: str,
    samples: list[recordings.GenerationSample],
) -> collections.abc.Iterator[str]:
    seconds = recording.limits.configuration_seconds
    index = bisect.bisect(
        samples, accepted.time + seconds, key=lambda s: s.time
    )
    first_sample_at = samples[0].time
    if index == len(samples) or first_sample_at > accepted.time:
        return
    sample = samples[index]
    if recording.had_outage(daemon, accepted.time, sample.time):
        return
    yield (
        f"daemon {daemon} had generation {sample.generation}, not "
        f"{accepted.generation}, {sample.time - accepted.time:.1f} s after "
        "it was accepted"
        if sample.generation < accepted.generation
        else ""
    )
