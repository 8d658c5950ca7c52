"""Track one send of a call, from the selection of its endpoint to its end.

A call has one send at a time, and a second one while another endpoint takes a
stream over from one that is silent.
"""

import dataclasses
import enum
from typing import Final

from sycamoredale import clock
from sycamoredale.forwarding import answer_events
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import active_requests
from sycamoredale.scheduling import work as work_module


class Outcome(enum.Enum):
    """Classify how a send ended.

    UNREACHED: no connection.  WITHDRAWN: the endpoint stopped accepting
    requests before the send, or the retry budget was used up.  NOT_RUN:
    refused before it ran.  STALLED: the endpoint made no progress.  BROKEN:
    the connection or the answer broke.  GIVEN_UP: this daemon gave the answer
    up.  FAILED: the endpoint answered with a server error.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not_run"
    STALLED = "stalled"
    BROKEN = "broken"
    GIVEN_UP = "given_up"
    FAILED = "failed"


# The request was not sent.
UNSENT: Final = frozenset((Outcome.UNREACHED, Outcome.WITHDRAWN))
# The request has not run.
UNRUN: Final = UNSENT | {Outcome.NOT_RUN}


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the head of an answer, and the reader of its events, if any."""

    head: messages.ResponseHead
    info: calls.AnswerInfo
    events: answer_events.AnswerEvents | None


@dataclasses.dataclass
class Send:
    """Hold the state of one send.

    `stream` is the position of the caller's stream as far as this send goes,
    and `relayed_by` the peer that relays the connection, if any.  `is_sent`
    tells whether the endpoint may have received the request, and
    `event_count_before` how many events came from others.  `first_events` were
    read from an endpoint that takes a stream over, and not relayed yet.
    """

    endpoint: endpoints.Endpoint
    stream: event_stream.EventStream
    active_request: active_requests.ActiveRequest
    event_count_before: int
    connection: client.Connection | None = None
    relayed_by: ids.DaemonId | None = None
    is_sent: bool = False
    answer: Answer | None = None
    first_events: bytes = b""
    _is_deferred: bool = False
    _unread_tokens: int = 0
    _held_tokens: int = 0

    def begin_queueing(
        self, call: calls.Call, is_continued: bool, now: clock.MonotonicTime
    ) -> queue_priority_module.QueuePriority:
        """Return the priority of the send in the queue of its endpoint.

        A send that is late counts as deferred on the endpoint, and so does
        one of the least urgent level of its service that has to wait.
        """
        priority = queue_priority_module.queue_priority_of_send(
            call, self.endpoint, is_continued, now
        )
        self._is_deferred = (
            priority is queue_priority_module.QueuePriority.LATE
        ) or (
            priority is queue_priority_module.QueuePriority.IN_TIME
            and call.urgency is not None
            and call.urgency.gives_way
            and self.endpoint.load(now) > self.endpoint.slots
        )
        self.endpoint.deferred += self._is_deferred
        if call.work is not None:
            self._begin_work(call.work)
        return priority

    def _begin_work(self, work: work_module.Work) -> None:
        self._held_tokens = work.memory_tokens
        self.endpoint.held_tokens += self._held_tokens
        if not self._is_deferred:
            self._unread_tokens = work.prompt_tokens
            self.endpoint.unread_tokens += self._unread_tokens

    def end_reading(self) -> None:
        """Stop counting the prompt as unread: its first event has arrived."""
        self.endpoint.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0

    def end_queueing(self) -> None:
        """Stop counting the send as deferred: it runs or has ended."""
        self.endpoint.deferred -= self._is_deferred
        self._is_deferred = False

    def release(self) -> None:
        """Stop counting the send, and drop what is held of its answer."""
        self.end_queueing()
        self.end_reading()
        self.endpoint.held_tokens -= self._held_tokens
        self._held_tokens = 0
        self.active_request.finish()
        self.stream.drop_pending()
        if self.answer is not None and self.answer.events is not None:
            self.answer.events.release()


def begin(
    endpoint: endpoints.Endpoint, stream: event_stream.EventStream
) -> Send:
    """Return a send that counts on its endpoint until it is released."""
    active_request = active_requests.start(endpoint)
    return Send(endpoint, stream, active_request, stream.event_count)
