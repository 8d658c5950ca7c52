"""Translate the headers of requests and answers of instances."""

from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.http import messages
from sycamoredale import ids

# Identifies one attempt of a caller; the caller's retry has another one.
_ATTEMPT_ID: Final = "Attempt-Id"
# Milliseconds left to the receiver of the request.
_DEADLINE: Final = "Request-Deadline"
# Input tokens and the maximum of output tokens, separated by a comma.
_TOKENS: Final = "Token-Count"
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
# 0 is admitted first, 9 last; the default is 5.
_PRIORITY: Final = "Request-Priority"
_PRIORITY_VALUES: Final = {
    queue_priority_module.QueuePriority.CONTINUED: "2",
    queue_priority_module.QueuePriority.LATE: "7",
}
_AUTHORIZATION: Final = "Authorization"
_SCHEME: Final = "bearer "
REPORT_REQUEST: Final = messages.Request("GET", "/v1/report")
ORDER_PATH: Final = "/v1/order"
DEFAULT_TIMEOUT_SECONDS: Final = 30.0
# These apply to one connection and are not forwarded.
_HOP_BY_HOP_HEADERS: Final = frozenset(
    "connection content-length expect keep-alive proxy-connection te "
    "trailer transfer-encoding upgrade".split()
)
_REPLACED_HEADERS: Final = _HOP_BY_HOP_HEADERS | {
    _DEADLINE.lower(),
    _ORGANISATION.lower(),
    EXPECTED_INSTANCE.lower(),
    _LAST_EVENT.lower(),
    _PRIORITY.lower(),
    _AUTHORIZATION.lower(),
}
_NOT_RUN_STATUSES: Final = frozenset((421, 429, 503, 400))


def read_envelope(request: messages.Request) -> calls.Envelope:
    """Decode the metadata in a request's headers; raise Refusal."""
    headers = request.headers
    prompt, answer = _tokens(headers.get(_TOKENS))
    return calls.Envelope(
        id=ids.RequestId(headers.get(_ATTEMPT_ID) or ""),
        host=(headers.get("Host") or "").partition(":")[0].lower(),
        api_key=_api_key(headers.get(_AUTHORIZATION)),
        timeout_seconds=_timeout_seconds(headers.get(_DEADLINE)),
        model=headers.get(_MODEL),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event_id=_last_event_id(headers.get(_LAST_EVENT)),
        shared_parts=_shared_parts(headers.get(_PARTS)),
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
    if queue_priority in _PRIORITY_VALUES:
        fields.append((_PRIORITY, _PRIORITY_VALUES[queue_priority]))
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
    return calls.AnswerInfo(
        _kind(call, head),
        headers.without(_HOP_BY_HOP_HEADERS),
        _load(headers.get(_LOAD)),
    )


def _kind(call: calls.Call, head: messages.ResponseHead) -> calls.AnswerKind:
    headers = head.headers
    if head.status == 421:
        return calls.AnswerKind.NOT_RUN
    if head.status in _NOT_RUN_STATUSES and headers.get(_NOT_RUN):
        return calls.AnswerKind.NOT_RUN
    if headers.get(_ATTEMPT_ID) != call.id:
        return calls.AnswerKind.OTHER_REQUEST
    if headers.get("Content-Encoding"):
        return calls.AnswerKind.FAILURE
    if 200 <= head.status < 300 and not headers.get(_SEAL):
        return calls.AnswerKind.FAILURE
    return calls.AnswerKind.ANSWER


def _tokens(text: str | None) -> tuple[int, int]:
    prompt, _, answer = (text or "").partition(",")
    if prompt.strip().isdigit() and answer.strip().isdigit():
        return int(prompt), int(answer)
    return 0, 0


def _shared_parts(text: str | None) -> tuple[ids.PromptPartId, ...]:
    entries = [e.strip().partition(":")[0] for e in (text or "").split(",")]
    return tuple(ids.PromptPartId(e.lower()) for e in entries[:-1] if e)


def _api_key(text: str | None) -> str | None:
    if text is None or not text.lower().startswith(_SCHEME):
        return None
    return text[len(_SCHEME) :].strip()


def _timeout_seconds(text: str | None) -> float:
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(text) / 1000
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"{_DEADLINE} is {text!r}, not a positive number of milliseconds",
        )
    return seconds


def _last_event_id(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _load(text: str | None) -> calls.Load | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return calls.Load(running, waiting, slots)
