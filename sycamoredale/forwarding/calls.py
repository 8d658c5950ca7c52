"""Describe a call that is forwarded, as decoded from its request."""

import dataclasses
import enum

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import poison


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Hold what a request says of itself beside method, path and body.

    `patience_seconds` is how long the caller waits.  `last_event` is the
    last event of a stream that the caller has.
    """

    id: ids.RequestId
    host: str
    api_key: str | None
    timeout_seconds: float
    model: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold one call; it ends unanswered at `ends_at`.

    The fingerprint is that of what an endpoint works on, whoever asks.
    """

    envelope: Envelope
    request: messages.Request
    route: catalogue.Route
    service: catalogue.Service
    organisation: ids.OrganisationName | None
    arrived_at: clock.MonotonicTime
    deadline: clock.MonotonicTime
    fingerprint: poison.Fingerprint

    @property
    def id(self) -> ids.RequestId:
        """Return the id of this try of the caller."""
        return self.envelope.id

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a series of events."""
        return self.route.retry_policy is catalogue.RetryPolicy.STREAM


class AnswerKind(enum.Enum):
    """State what the head of an endpoint's answer says."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    FAILURE = "failure"
    OTHER_REQUEST = "other_request"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold the requests that an endpoint runs and has waiting."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerInfo:
    """Hold what the head of an answer says; `headers` go to the caller."""

    kind: AnswerKind
    headers: messages.Headers
    load: Load | None
