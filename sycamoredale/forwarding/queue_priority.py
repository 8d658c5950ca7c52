"""Set the priority of requests in the queue of an engine.

If an overloaded engine runs requests in order of arrival, all of them miss
the latency objective once the queue takes longer than the objective.  So a
request that cannot meet its objective any more is queued behind those that
can; it is late in any case and runs when a slot is free.
"""

import enum
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoints


class QueuePriority(enum.Enum):
    """Classify requests in the queue of an engine.

    CONTINUED: was sent before, to another endpoint.  IN_TIME: can meet its
    latency objective.  LATE: cannot.
    """

    CONTINUED = "continued"
    IN_TIME = "in_time"
    LATE = "late"


# Places in the queue of an engine: 0 is the first, 9 the last, 5 the default.
_CONTINUED_PLACE: Final = 2
_LATE_PLACE: Final = 7
# By the level of urgency.  In time, any call is ahead of any late one.
_IN_TIME_PLACES: Final = (3, 4, 5, 6)
_LATE_PLACES: Final = (7, 7, 8, 9)
# Share of the objective within which the first event must be expected.  The
# rest allows for load data that is a tenth of a second old.
OBJECTIVE_FRACTION: Final = 0.9


def queue_priority_of(
    call: calls.Call,
    endpoint: endpoints.Endpoint,
    is_continued: bool,
    now: clock.MonotonicTime,
) -> QueuePriority:
    """Return the priority of a call that is sent to an endpoint now."""
    if is_continued:
        return QueuePriority.CONTINUED
    if call.service.engine is None:
        return QueuePriority.IN_TIME
    seconds = first_event_seconds(call, endpoint, now)
    elapsed = now - call.arrived_at
    left = OBJECTIVE_FRACTION * call.route.objective_seconds - elapsed
    return QueuePriority.IN_TIME if seconds <= left else QueuePriority.LATE


def queue_priority_of_send(
    call: calls.Call,
    endpoint: endpoints.Endpoint,
    is_continued: bool,
    now: clock.MonotonicTime,
) -> QueuePriority:
    """Return the priority with regard to what the caller waited before.

    Its endpoint is selected as if it were new: late calls need a short queue
    as well.
    """
    priority = queue_priority_of(call, endpoint, is_continued, now)
    is_late = call.waited_seconds > call.route.objective_seconds
    if priority is QueuePriority.IN_TIME and is_late:
        return QueuePriority.LATE
    return priority


def first_event_seconds(
    call: calls.Call,
    endpoint: endpoints.Endpoint,
    now: clock.MonotonicTime,
    counts_own_prompt: bool = True,
) -> float:
    """Return the expected seconds to the first event, 0 without an engine."""
    engine = call.service.engine
    model = call.service.model(endpoint.model)
    if engine is None or model is None:
        return 0.0
    step = engine.full_step_seconds
    slot_interval = engine.usual_answer_seconds / engine.slots
    load = endpoint.undeferred_load(now)
    prompt_tokens = 0.0
    if counts_own_prompt:
        prompt_tokens += call.envelope.prompt_tokens
    if call.urgency is not None:
        prompt_tokens += endpoint.unread_tokens_at(now)
        if call.urgency.gives_way:
            # What waits there is not less urgent than this call.
            load = endpoint.load(now)
    queued_ahead = max(0.0, load + 1 - endpoint.slots)
    prefill = prompt_tokens / engine.prefill_tokens_per_second
    factor = engine.cross_domain_factor if endpoint.is_cross_domain else 1.0
    return (
        factor
        * model.time_factor
        * endpoint.pace.slowdown
        * (
            engine.steps_per_event * step
            + prefill
            + queued_ahead * slot_interval
        )
    )


def place_of(call: calls.Call, priority: QueuePriority) -> int | None:
    """Return the place in the queue of an engine, None for the default."""
    if priority is QueuePriority.CONTINUED:
        return _CONTINUED_PLACE
    is_late = priority is QueuePriority.LATE
    if call.urgency is None:
        return _LATE_PLACE if is_late else None
    places = _LATE_PLACES if is_late else _IN_TIME_PLACES
    return places[call.urgency.in_force]
