"""Translate requests and answers between callers and instances."""

from typing import Final

from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import instance_state
from sycamoredale.forwarding import queue_priority as queue_priority_module
from sycamoredale.http import messages
from sycamoredale import ids

# Names one try of a caller; a repeat by the caller has another one.
_TRY_ID: Final = "Attempt-Id"
# Milliseconds that are left to whoever receives the request.
_MILLISECONDS_LEFT: Final = "Request-Deadline"
# Input tokens and the most output tokens, with a comma between.
_TOKENS: Final = "Token-Count"
_MODEL: Final = "Model"
_LAST_EVENT: Final = "Last-Event-Id"
_ORGANISATION: Final = "Tenant"
ONLY_INSTANCE: Final = "Expect-Replica"
# The digest that an instance puts on whatever it ran.
_DIGEST: Final = "Replica-Seal"
_NOT_RUN: Final = "Not-Executed"
# Running requests, waiting requests and slots, with commas between.
_LOAD: Final = "Replica-Load"
# 0 is admitted first, 9 last; a request without it has 5.
_URGENCY: Final = "Request-Priority"
_URGENCY_VALUES: Final = {
    queue_priority_module.QueuePriority.CONTINUED: "2",
    queue_priority_module.QueuePriority.LATE: "7",
}
_AUTHORIZATION: Final = "Authorization"
_SCHEME: Final = "bearer "
REPORT: Final = messages.Request("GET", "/v1/report")
ORDER_PATH: Final = "/v1/order"
DEFAULT_PATIENCE_SECONDS: Final = 30.0

# These concern one connection and are not passed on.
_PER_CONNECTION: Final = frozenset(
    "connection content-length expect keep-alive proxy-connection te "
    "trailer transfer-encoding upgrade".split()
)
_SET_ON_REQUESTS: Final = _PER_CONNECTION | {
    _MILLISECONDS_LEFT.lower(),
    _ORGANISATION.lower(),
    ONLY_INSTANCE.lower(),
    _LAST_EVENT.lower(),
    _URGENCY.lower(),
    _AUTHORIZATION.lower(),
}
_NOT_RUN_STATUSES: Final = frozenset((421, 429, 503, 400))


def read_envelope(request: messages.Request) -> calls.Envelope:
    """Return what a request says of itself; raise Refusal."""
    headers = request.headers
    prompt, answer = _tokens(headers.get(_TOKENS))
    return calls.Envelope(
        id=ids.RequestId(headers.get(_TRY_ID) or ""),
        host=(headers.get("Host") or "").partition(":")[0].lower(),
        api_key=_key(headers.get(_AUTHORIZATION)),
        timeout_seconds=_patience(headers.get(_MILLISECONDS_LEFT)),
        model=headers.get(_MODEL),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event_id=_last_event(headers.get(_LAST_EVENT)),
    )


def request_for(
    call: calls.Call,
    instance: instance_state.Instance,
    seconds_left: float,
    last_event_id: int | None,
    queue_priority: queue_priority_module.QueuePriority,
) -> messages.Request:
    """Return the request that goes to an instance."""
    fields = list(call.request.headers.without(_SET_ON_REQUESTS).fields)
    fields.append((_MILLISECONDS_LEFT, str(max(1, int(seconds_left * 1000)))))
    fields.append((ONLY_INSTANCE, instance.id))
    if call.organisation is not None:
        fields.append((_ORGANISATION, call.organisation))
    if queue_priority in _URGENCY_VALUES:
        fields.append((_URGENCY, _URGENCY_VALUES[queue_priority]))
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
    """Return what the head of an answer says."""
    headers = head.headers
    return calls.AnswerInfo(
        _word(call, head),
        headers.without(_PER_CONNECTION),
        _load(headers.get(_LOAD)),
    )


def _word(call: calls.Call, head: messages.ResponseHead) -> calls.AnswerKind:
    headers = head.headers
    if head.status == 421:
        return calls.AnswerKind.NOT_RUN
    if head.status in _NOT_RUN_STATUSES and headers.get(_NOT_RUN):
        return calls.AnswerKind.NOT_RUN
    if headers.get(_TRY_ID) != call.id:
        return calls.AnswerKind.OTHER_REQUEST
    if headers.get("Content-Encoding"):
        return calls.AnswerKind.FAILURE
    if 200 <= head.status < 300 and not headers.get(_DIGEST):
        return calls.AnswerKind.FAILURE
    return calls.AnswerKind.ANSWER


def _tokens(text: str | None) -> tuple[int, int]:
    prompt, _, answer = (text or "").partition(",")
    if prompt.strip().isdigit() and answer.strip().isdigit():
        return int(prompt), int(answer)
    return 0, 0


def _key(text: str | None) -> str | None:
    if text is None or not text.lower().startswith(_SCHEME):
        return None
    return text[len(_SCHEME) :].strip()


def _patience(text: str | None) -> float:
    if text is None:
        return DEFAULT_PATIENCE_SECONDS
    try:
        seconds = float(text) / 1000
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"header {_MILLISECONDS_LEFT} has the value {text!r}, "
            "which is no positive number of milliseconds",
        )
    return seconds


def _last_event(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _load(text: str | None) -> calls.Load | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(p.strip().isdigit() for p in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return calls.Load(running, waiting, slots)
