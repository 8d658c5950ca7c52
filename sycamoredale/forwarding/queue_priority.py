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
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoints


class QueuePriority(enum.Enum):
    """Classify requests in the queue of an engine.

    CONTINUED: was sent before, to another endpoint.  IN_TIME: can meet its
    latency objective.  LATE: cannot.
    """

    CONTINUED = "continued"
    IN_TIME = "in_time"
    LATE = "late"


# Share of the objective within which the first event must be expected.  The
# rest allows for load data that is a tenth of a second old.
OBJECTIVE_FRACTION: Final = 0.9


def queue_priority_of(
    call: calls.Call,
    endpoint: endpoints.Endpoint,
    is_continued: bool,
    now: clock.MonotonicTime,
    network_seconds: float = 0.0,
) -> QueuePriority:
    """Return the priority of a call that is sent to an endpoint now.

    `network_seconds` is the round trip to the endpoint.
    """
    if is_continued:
        return QueuePriority.CONTINUED
    engine = call.service.engine
    model = call.service.model(endpoint.model)
    if engine is None or model is None:
        return QueuePriority.IN_TIME
    factor = engine.cross_domain_factor if endpoint.is_cross_domain else 1.0
    queued_ahead = max(0.0, endpoint.undeferred_load(now) + 1 - endpoint.slots)
    seconds = (
        factor
        * model.time_factor
        * endpoint.pace.slowdown
        * _first_event_seconds(call, engine, queued_ahead)
    )
    elapsed = now - call.arrived_at + network_seconds
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


def _first_event_seconds(
    call: calls.Call, engine: catalogue.BatchEngine, queued_ahead: float
) -> float:
    """Return the expected seconds to the first event.

    `queued_ahead` is the number of requests in the queue ahead of the call.
    """
    step = engine.step_seconds + engine.slots * engine.step_seconds_per_request
    prefill = call.envelope.prompt_tokens / engine.prefill_tokens_per_second
    slot_interval = engine.mean_answer_tokens * step / engine.slots
    return (
        engine.steps_per_event * step + prefill + queued_ahead * slot_interval
    )
