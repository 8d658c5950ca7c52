"""Describe the call of a caller, as read from its HTTP request."""

import dataclasses
import functools
from typing import Final

import msgspec

from sycamoredale.config import model
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale import ids

COMPLETION_PATHS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX: Final = "/services/"
REQUEST_ID_HEADER: Final = "X-Request-Id"
CALLER_REQUEST_ID_HEADER: Final = "X-Caller-Request-Id"
MAX_KEY_CHARACTERS: Final = 255
MAX_CALLER_ID_CHARACTERS: Final = 255
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
DEADLINE_HEADER: Final = "X-Deadline-Seconds"
PRIORITY_HEADER: Final = "X-Priority"
SESSION_HEADER: Final = "X-Session"


class _Completion(msgspec.Struct):
    model: str
    stream: bool = False


_COMPLETION_DECODER: Final = msgspec.json.Decoder(_Completion)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold what is decided from; `upstream` goes to the endpoint."""

    id: ids.RequestId
    organisation: ids.OrganisationName
    service: model.Service
    upstream: messages.Request
    idempotent: bool
    stream: bool
    key: ids.IdempotencyKey | None
    deadline_seconds: float

    @property
    def is_model(self) -> bool:
        """Tell whether a model engine answers the call."""
        return self.service.kind is model.ServiceKind.MODEL


def read(
    request: messages.Request,
    organisation: model.Organisation,
    configuration: model.Configuration,
    request_id: ids.RequestId,
) -> Call:
    """Return the call in a request; raise Refusal."""
    source = _Source(request, organisation, configuration, request_id)
    if request.path in COMPLETION_PATHS:
        return _read_completion(source)
    if request.path.startswith(SERVICE_PREFIX):
        return _read_plain(source)
    raise errors.Refusal(
        error_codes.NOT_FOUND, f"path {request.path!r} names nothing"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    request: messages.Request
    organisation: model.Organisation
    configuration: model.Configuration
    request_id: ids.RequestId


def caller_request_id(request: messages.Request) -> str | None:
    """Return the request id that the caller gave, if it can be echoed."""
    given = request.headers.get(REQUEST_ID_HEADER)
    if given is None or len(given) > MAX_CALLER_ID_CHARACTERS:
        return None
    return given


def _read_completion(source: _Source) -> Call:
    request = source.request
    if request.method != "POST":
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"method {request.method} does not fit path {request.path!r}",
        )
    try:
        completion = _COMPLETION_DECODER.decode(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST, f"request body: {error}"
        ) from error
    service = _find_service(
        source.configuration, completion.model, model.ServiceKind.MODEL
    )
    return _build(
        source,
        service,
        target=request.target,
        idempotent=True,
        stream=completion.stream,
    )


def _read_plain(source: _Source) -> Call:
    request = source.request
    rest = request.target.removeprefix(SERVICE_PREFIX)
    name, separator, tail = rest.partition("/")
    service = _find_service(
        source.configuration, name, model.ServiceKind.PLAIN
    )
    target = separator + tail
    if not target:
        raise errors.Refusal(
            error_codes.NOT_FOUND, f"path {request.path!r} names nothing"
        )
    return _build(
        source,
        service,
        target=target,
        idempotent=_is_idempotent(service, request.method, target),
        stream=False,
    )


def _build(
    source: _Source,
    service: model.Service,
    *,
    target: str,
    idempotent: bool,
    stream: bool,
) -> Call:
    request = source.request
    return Call(
        id=source.request_id,
        organisation=source.organisation.name,
        service=service,
        upstream=_upstream(request, target, source.request_id),
        idempotent=idempotent,
        stream=stream,
        key=_key(request),
        deadline_seconds=_deadline(request, source.configuration),
    )


def _key(request: messages.Request) -> ids.IdempotencyKey | None:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"header {IDEMPOTENCY_KEY_HEADER} must have 1 to "
            f"{MAX_KEY_CHARACTERS} characters, it has {len(key)}",
        )
    return ids.IdempotencyKey(key)


def _upstream(
    request: messages.Request, target: str, request_id: ids.RequestId
) -> messages.Request:
    kept = request.headers.without(_not_forwarded())
    headers = kept.with_field(REQUEST_ID_HEADER, request_id)
    return messages.Request(request.method, target, headers, request.body)


@functools.cache
def _not_forwarded() -> frozenset[str]:
    return frozenset(
        (
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            REQUEST_ID_HEADER.lower(),
        )
    )


def _deadline(
    request: messages.Request, configuration: model.Configuration
) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return configuration.limits.default_deadline_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"header {DEADLINE_HEADER} has the value {text!r}, "
            "which is no positive number of seconds",
        )
    return seconds


def _find_service(
    configuration: model.Configuration, name: str, kind: model.ServiceKind
) -> model.Service:
    for service in configuration.services:
        if service.name == name and service.kind is kind:
            return service
    raise errors.Refusal(
        error_codes.UNKNOWN_SERVICE,
        f"{kind.value} service {name!r} does not exist",
    )


def _is_idempotent(service: model.Service, method: str, target: str) -> bool:
    path = target.partition("?")[0]
    for route in service.routes:
        matches = path == route.path or path.startswith(
            route.path.rstrip("/") + "/"
        )
        if matches and method in route.methods:
            return route.idempotent
    return method in ("GET", "HEAD")
