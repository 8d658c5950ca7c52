"""Record the sends of a call and decide whether it may be resent."""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.forwarding import sends as sends_module
from sycamoredale.http import error_responses
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale import ids

# Limits the sends of a call whose endpoints all refuse it.
MAX_SENDS: Final = 5
# Limits those that refuse a stream while its endpoint is silent.
MAX_TAKEOVERS: Final = 4
Outcome = sends_module.Outcome


@dataclasses.dataclass
class CallProgress:
    """Track the sends of a call and how much of the answer was relayed.

    `endpoint_loads` has the load of each selected endpoint at the time of
    its selection.  `open_count` counts the sends in progress, and `run_count`
    those that have ended and that an endpoint has run.  `unrun_takeovers`
    counts those beside another send that no endpoint has run.  `has_retry`
    tells whether a retry was taken from the budget for the next send.
    `trial_part` is the part in quarantine that the call may try once, and
    `has_success` tells whether an endpoint wrote a success to its end.
    `left_unread` has, for each endpoint that was left while its connection
    was whole, the size of what it had sent by then, and `was_left` tells
    whether the last send ended so.  `is_sent` tells whether
    the endpoint may have received the present send.
    """

    call: calls.Call
    stream: event_stream.EventStream
    sends: list[str] = dataclasses.field(default_factory=list)
    endpoint_loads: list[float] = dataclasses.field(default_factory=list)
    current_endpoint: ids.InstanceId | None = None
    left_unread: list[int] = dataclasses.field(default_factory=list)
    was_left: bool = False
    open_count: int = 0
    unrun_takeovers: int = 0
    has_retry: bool = False
    delivered_count: int = 0
    run_count: int = 0
    may_have_run: bool = False
    is_sent: bool = False
    has_success: bool = False
    trial_part: ids.PromptPartKey | None = None
    tried_ids: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    error_answer: messages.Response | None = None
    refusal: errors.Refusal | None = None
    caller_gone: bool = False
    queue_priority: queue_priority_module.QueuePriority | None = None
    longest_pause_seconds: float = 0.0
    _last_events_at: clock.MonotonicTime | None = None
    _error_reservation: held_bytes.Reservation | None = None

    def keep_error_answer(
        self, answer: messages.Response, reservation: held_bytes.Reservation
    ) -> None:
        """Keep the answer of an endpoint that failed, instead of an earlier.

        Its bytes stay reserved until `release`.
        """
        self.release()
        self.error_answer = answer
        self._error_reservation = reservation

    def release(self) -> None:
        """Drop the answer that was kept."""
        self.error_answer = None
        if self._error_reservation is not None:
            self._error_reservation.release()
            self._error_reservation = None

    def record_events(self, now: clock.MonotonicTime) -> None:
        """Update the longest pause between two arrivals of events."""
        if self._last_events_at is not None:
            pause = now - self._last_events_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self._last_events_at = now

    def record_left(self, unread_bytes: int | None) -> None:
        """Record that a send failed; None if its connection ended."""
        self.was_left = unread_bytes is not None
        if unread_bytes is not None:
            self.left_unread.append(unread_bytes)

    def may_resend(self) -> bool:
        """Return whether another send is safe and the route allows it."""
        sent_count = len(self.sends) - self.unrun_takeovers
        if sent_count >= MAX_SENDS or not self.stream.can_be_continued:
            return False
        if not self.may_have_run:
            return True
        route = self.call.route
        return route.may_retry and self.run_count < route.max_runs

    def may_run_once_more(self) -> bool:
        """Return whether the route allows a run after those in progress."""
        return self.run_count + self.open_count < self.call.route.max_runs

    def may_resend_beside(self) -> bool:
        """Return whether another send is allowed beside those in progress."""
        route = self.call.route
        return (
            route.may_retry
            and self.stream.can_be_continued
            and len(self.sends) + self.open_count < MAX_SENDS + MAX_TAKEOVERS
            and self.unrun_takeovers < MAX_TAKEOVERS
            and self.may_run_once_more()
        )

    def begin_send(self, send: sends_module.Send) -> None:
        """Record that the caller's answer comes from this send now."""
        self.current_endpoint = send.endpoint.id
        self.is_sent = send.is_sent
        self.stream = send.stream

    def end_send(self) -> None:
        """Record that the present send has ended."""
        self.current_endpoint = None
        self.is_sent = False

    def record_outcome(
        self,
        endpoint: endpoints.Endpoint,
        outcome: Outcome,
        relayed_by: ids.DaemonId | None = None,
        is_takeover: bool = False,
    ) -> None:
        """Record the outcome of a send, which a peer may have relayed.

        A stalled stream counts as run also if no head of its answer was
        received: engines begin a run long before its first event.
        """
        via = f"@{relayed_by}" if relayed_by else ""
        self.sends.append(f"{endpoint.id}:{outcome.value}{via}")
        self.tried_ids.add(endpoint.id)
        self.open_count -= 1
        self.delivered_count += outcome not in sends_module.UNSENT
        self.unrun_takeovers += is_takeover and outcome in sends_module.UNRUN
        if outcome not in sends_module.UNRUN:
            self.may_have_run = True
            self.run_count += 1


def begin(call: calls.Call) -> CallProgress:
    """Return the progress of a call that has not been sent."""
    return CallProgress(
        call, event_stream.EventStream(call.envelope.last_event_id)
    )


def unanswered_refusal(progress: CallProgress) -> errors.Refusal:
    """Return the refusal of a call that no endpoint answered."""
    name = progress.call.service.name
    if progress.may_have_run:
        return errors.Refusal(
            error_codes.ENDPOINT_FAILED,
            f"an endpoint of service {name!r} failed while it processed the "
            "request",
            error_codes.Execution.UNKNOWN,
        )
    return errors.Refusal(
        error_codes.NO_ENDPOINT,
        f"no endpoint of service {name!r} accepted the request",
        retry_after=endpoint_selection.NO_ENDPOINT_RETRY_SECONDS,
    )


def stop_refusal(progress: CallProgress) -> errors.Refusal:
    """Return the refusal of a call that the daemon's stop interrupts."""
    if progress.may_have_run or progress.is_sent:
        return error_responses.stopped_unanswered()
    return error_responses.draining()


def local_refusal(
    progress: CallProgress, error: errors.LocalFailure
) -> errors.Refusal:
    """Return the refusal of a call that this daemon cannot send."""
    if progress.may_have_run:
        return unanswered_refusal(progress)
    return errors.Refusal(
        error.code,
        error.message,
        retry_after=endpoint_selection.NO_ENDPOINT_RETRY_SECONDS,
    )


def internal_refusal(progress: CallProgress) -> errors.Refusal:
    """Return the refusal of a call for which this daemon failed."""
    may_have_run = progress.may_have_run or progress.is_sent
    return errors.Refusal(
        error_codes.INTERNAL,
        "the request failed inside the daemon",
        (
            error_codes.Execution.UNKNOWN
            if may_have_run
            else error_codes.Execution.NOT_RUN
        ),
    )


def deadline_refusal() -> errors.Refusal:
    """Return the refusal of a call that reached its deadline."""
    return errors.Refusal(
        error_codes.DEADLINE_EXCEEDED,
        "the call reached its deadline without a complete answer",
        error_codes.Execution.UNKNOWN,
    )
