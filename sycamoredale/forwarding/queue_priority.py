"""Decide which of the requests that wait at an engine goes first.

An engine that has more requests than slots makes all of them late once its
queue takes longer than the objective, if they go in the order in which they
came.  So a request that can no longer be in time gives way to those that
still can; its answer is late anyway, and comes once there is room.
"""

import enum
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import endpoints


class QueuePriority(enum.Enum):
    """State how a request is placed among those that wait.

    A continued one has an answer that its caller has begun to read.
    """

    CONTINUED = "continued"
    IN_TIME = "in_time"
    LATE = "late"


# Of the objective: the rest covers loads that are a tenth of a second old.
OBJECTIVE_FRACTION: Final = 0.9


def queue_priority_of(
    call: calls.Call,
    endpoint: endpoints.Endpoint,
    is_continued: bool,
    now: clock.MonotonicTime,
) -> QueuePriority:
    """Return how a call is placed that goes to an endpoint now."""
    if is_continued:
        return QueuePriority.CONTINUED
    engine = call.service.engine
    model = call.service.model(endpoint.model)
    if engine is None or model is None:
        return QueuePriority.IN_TIME
    factor = engine.cross_domain_factor if endpoint.is_cross_domain else 1.0
    before = max(0.0, endpoint.undeferred_load(now) + 1 - endpoint.slots)
    seconds = (
        factor * model.time_factor * _first_event_seconds(call, engine, before)
    )
    spent = now - call.arrived_at
    left = OBJECTIVE_FRACTION * call.route.objective_seconds - spent
    return QueuePriority.IN_TIME if seconds <= left else QueuePriority.LATE


def _first_event_seconds(
    call: calls.Call, engine: catalogue.BatchEngine, before: float
) -> float:
    """Return the time to the first event behind some waiting requests."""
    step = engine.step_seconds + engine.slots * engine.step_seconds_per_request
    reading = call.envelope.prompt_tokens / engine.prefill_tokens_per_second
    a_slot_frees = engine.mean_answer_tokens * step / engine.slots
    return engine.steps_per_event * step + reading + before * a_slot_frees
