"""Translate the headers of requests and answers of instances."""

from typing import Final

from sycamoredale.forwarding import calls
from sycamoredale.forwarding import catalogue
from sycamoredale.forwarding import header_values
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.http import messages
from sycamoredale import ids
from sycamoredale import lenient_values

# Identifies one attempt of a caller; the caller's retry has another one.
_ATTEMPT_ID: Final = "Attempt-Id"
# Milliseconds left to the receiver of the request.
_DEADLINE: Final = "Request-Deadline"
# Input tokens and the maximum of output tokens, separated by a comma.
_TOKENS: Final = "Token-Count"
# Expected output tokens.
_LENGTH_HINT: Final = "Length-Hint"
_NUMBERS: Final = lenient_values.LenientReader()
_MODEL: Final = "Model"
# The parts of the prompt in order, as ID:TOKENS, separated by commas.  The
# last one belongs to the request itself.
_PARTS: Final = "Prompt-Prefix"
_LAST_EVENT: Final = "Last-Event-Id"
_ORGANISATION: Final = "Tenant"
EXPECTED_INSTANCE: Final = "Expect-Replica"
# Digest that an instance adds to the answer of each request that it ran.
_SEAL: Final = "Replica-Seal"
_NOT_RUN: Final = "Not-Executed"
# Running requests, waiting requests and slots, separated by commas.
_LOAD: Final = "Replica-Load"
# In answers to health probes.
INSTANCE_ID: Final = "Replica-Id"
# Requests a second that an instance takes from all daemons.
_LIMIT: Final = "Server-Limit"
# In all answers of an instance that leaves, with this value.
_LEAVING: Final = "Server-Leaving"
_IS_LEAVING: Final = "1"
# 0 is admitted first, 9 last; the default is 5.
_PRIORITY: Final = "Request-Priority"
_AUTHORIZATION: Final = "Authorization"
REPORT_REQUEST: Final = messages.Request("GET", "/v1/report")
ORDER_PATH: Final = "/v1/order"
DEFAULT_TIMEOUT_SECONDS: Final = 30.0
_REPLACED_HEADERS: Final = messages.HOP_BY_HOP_HEADERS | {
    _DEADLINE.lower(),
    _ORGANISATION.lower(),
    EXPECTED_INSTANCE.lower(),
    _LAST_EVENT.lower(),
    _PRIORITY.lower(),
    _AUTHORIZATION.lower(),
}
OTHER_INSTANCE_STATUS: Final = 421
_NOT_RUN_STATUSES: Final = frozenset((OTHER_INSTANCE_STATUS, 429, 503, 400))


def read_envelope(request: messages.Request) -> calls.Envelope:
    """Decode the metadata in a request's headers; raise Refusal."""
    headers = request.headers
    tokens = _NUMBERS.token_counts(headers.get(_TOKENS), _TOKENS)
    parts = header_values.entry_names(headers.get(_PARTS))
    last_event = header_values.integers(headers.get(_LAST_EVENT), 1)
    return calls.Envelope(
        id=ids.RequestId(headers.get(_ATTEMPT_ID) or ""),
        host=(headers.get("Host") or "").partition(":")[0].lower(),
        api_key=header_values.bearer_token(headers.get(_AUTHORIZATION)),
        timeout_seconds=header_values.positive_seconds(
            _DEADLINE, headers.get(_DEADLINE), DEFAULT_TIMEOUT_SECONDS
        ),
        model=headers.get(_MODEL),
        prompt_tokens=tokens[0],
        answer_tokens=tokens[1],
        length_hint=_NUMBERS.tokens(
            headers.get(_LENGTH_HINT), _LENGTH_HINT, 1, tokens[1]
        ),
        last_event_id=last_event[0] if last_event else None,
        shared_parts=tuple(ids.PromptPartId(p) for p in parts[:-1] if p),
    )


def request_for(
    call: calls.Call,
    instance: instance_state.Instance,
    seconds_left: float,
    last_event_id: int | None,
    queue_priority: queue_priority_module.QueuePriority,
) -> messages.Request:
    """Return the request to send to an instance."""
    fields = list(call.request.headers.without(_REPLACED_HEADERS).fields)
    fields.append((_DEADLINE, str(max(1, int(seconds_left * 1000)))))
    fields.append((EXPECTED_INSTANCE, instance.id))
    if call.organisation is not None:
        fields.append((_ORGANISATION, call.organisation))
    place = queue_priority_module.place_of(call, queue_priority)
    if place is not None:
        fields.append((_PRIORITY, str(place)))
    if last_event_id is not None:
        fields.append((_LAST_EVENT, str(last_event_id)))
    return messages.Request(
        call.request.method,
        call.request.target,
        messages.Headers(fields),
        call.request.body,
    )


def read_answer(
    call: calls.Call, head: messages.ResponseHead
) -> calls.AnswerInfo:
    """Decode the head of an answer."""
    headers = head.headers
    load = header_values.integers(headers.get(_LOAD), 3)
    return calls.AnswerInfo(
        _kind(call, head),
        headers.without(messages.HOP_BY_HOP_HEADERS),
        calls.Load(*load) if load else None,
        header_values.decimal(headers.get(_LIMIT)),
        says_leaving(headers),
    )


def says_leaving(headers: messages.Headers) -> bool:
    """Return whether the instance that sent an answer says that it leaves."""
    return (headers.get(_LEAVING) or "").strip() == _IS_LEAVING


def identity_request(
    instance: instance_state.Instance, service: catalogue.Service
) -> messages.Request:
    """Return the request whose answer tells which instance sends it."""
    headers = messages.Headers([(EXPECTED_INSTANCE, instance.id)])
    target = REPORT_REQUEST.target if service.engine else service.health_path
    return messages.Request("GET", target, headers)


def _kind(call: calls.Call, head: messages.ResponseHead) -> calls.AnswerKind:
    headers = head.headers
    # A request without an id is refused with 400, without an id.
    answered_id = headers.get(_ATTEMPT_ID) or (
        "" if head.status == 400 else None
    )
    if answered_id != call.id:
        return calls.AnswerKind.OTHER_REQUEST
    if head.status == OTHER_INSTANCE_STATUS:
        return calls.AnswerKind.NOT_RUN
    if head.status in _NOT_RUN_STATUSES and headers.get(_NOT_RUN):
        return calls.AnswerKind.NOT_RUN
    if headers.get("Content-Encoding"):
        return calls.AnswerKind.FAILURE
    if 200 <= head.status < 300 and not headers.get(_SEAL):
        return calls.AnswerKind.FAILURE
    return calls.AnswerKind.ANSWER
