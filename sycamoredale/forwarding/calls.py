"""Describe a call to forward, as decoded from its request."""

import dataclasses
import enum

from sycamoredale import clock
from sycamoredale.forwarding import catalogue
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale.requests import poison
from sycamoredale.scheduling import urgency as urgency_module
from sycamoredale.scheduling import work as work_module


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Describe a request by the metadata in its headers.

    `timeout_seconds` is how long the caller waits.  `last_event_id` is the
    last event that the caller has received of a stream that it resumes.
    `length_hint` is the expected number of answer tokens, 0 without one.
    `shared_parts` are the parts of the prompt that other requests may have
    as well, in order.
    """

    id: ids.RequestId
    host: str
    api_key: str | None
    timeout_seconds: float
    model: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: int | None
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    length_hint: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe one call of a caller.

    The fingerprint identifies the content of the request; all attempts with
    the same content have the same one.  The part keys identify the parts of
    its prompt that other requests may have as well.  `waited_seconds` is how
    long the caller has waited before this attempt, as far as that is known.
    `urgency` and `work` are None where the deployment does not need them.
    """

    envelope: Envelope
    request: messages.Request
    route: catalogue.Route
    service: catalogue.Service
    organisation: ids.OrganisationName | None
    arrived_at: clock.MonotonicTime
    deadline: clock.MonotonicTime
    fingerprint: poison.Fingerprint
    part_keys: tuple[ids.PromptPartKey, ...] = ()
    waited_seconds: float = 0.0
    urgency: urgency_module.Urgency | None = None
    work: work_module.Work | None = None

    @property
    def id(self) -> ids.RequestId:
        """Return the id of this attempt of the caller."""
        return self.envelope.id

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.retry_policy is catalogue.RetryPolicy.STREAM


class AnswerKind(enum.Enum):
    """Classify an endpoint's answer by its head.

    NOT_RUN: refused before the request ran.  FAILURE: the head violates the
    protocol of the platform.  OTHER_REQUEST: the answer belongs to another
    request.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    FAILURE = "failure"
    OTHER_REQUEST = "other_request"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Count the running and waiting requests of an endpoint, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerInfo:
    """Describe the head of an answer.

    `headers` are sent to the caller.  `limit` is the rate that the endpoint
    takes from all daemons, in requests a second, None without one.
    `leaving` is true if the endpoint says that it leaves.
    """

    kind: AnswerKind
    headers: messages.Headers
    load: Load | None
    limit: float | None = None
    leaving: bool = False
