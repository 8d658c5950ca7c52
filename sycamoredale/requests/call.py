"""Parse the HTTP request of a caller into a call."""

import dataclasses
import enum
import functools
from typing import Final

import msgspec

from sycamoredale.config import model
from sycamoredale import decoding
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


_COMPLETION_DECODER: Final = decoding.JsonDecoder(_Completion)


class Priority(enum.Enum):
    """Rank queued calls; interactive calls are admitted first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Describe a call; `upstream` is the request sent to the endpoint."""

    id: ids.RequestId
    organisation: ids.OrganisationName
    service: model.Service
    upstream: messages.Request
    idempotent: bool
    stream: bool
    key: ids.IdempotencyKey | None
    deadline_seconds: float
    priority: Priority = Priority.INTERACTIVE
    session: str | None = None
    version: ids.VersionName | None = None
    adapter: ids.AdapterName | None = None

    @property
    def is_model(self) -> bool:
        """Return whether the call goes to a model engine."""
        return self.service.kind is model.ServiceKind.MODEL


def parse(
    request: messages.Request,
    organisation: model.Organisation,
    configuration: model.Configuration,
    request_id: ids.RequestId,
) -> Call:
    """Return the call of a request; raise Refusal if it is not valid."""
    context = _ParseContext(request, organisation, configuration, request_id)
    if request.path in COMPLETION_PATHS:
        return _parse_completion(context)
    if request.path.startswith(SERVICE_PREFIX):
        return _parse_plain_call(context)
    raise errors.Refusal(
        error_codes.NOT_FOUND, f"path {request.path!r} does not exist"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ParseContext:
    request: messages.Request
    organisation: model.Organisation
    configuration: model.Configuration
    request_id: ids.RequestId


def caller_request_id(request: messages.Request) -> str | None:
    """Return the request id set by the caller; None if absent or too long."""
    value = request.headers.get(REQUEST_ID_HEADER)
    if value is None or len(value) > MAX_CALLER_ID_CHARACTERS:
        return None
    return value


def _parse_completion(context: _ParseContext) -> Call:
    request = context.request
    if request.method != "POST":
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"method {request.method} is not allowed on path "
            f"{request.path!r}",
        )
    try:
        completion = _COMPLETION_DECODER.decode(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST, f"request body: {error}"
        ) from error
    name, version, adapter = _parse_model_name(
        completion.model, context.configuration
    )
    service = _find_service(
        context.configuration, name, model.ServiceKind.MODEL
    )
    call = _build(
        context,
        service,
        target=request.target,
        idempotent=True,
        stream=completion.stream,
    )
    return dataclasses.replace(call, version=version, adapter=adapter)


def _parse_plain_call(context: _ParseContext) -> Call:
    request = context.request
    rest = request.target.removeprefix(SERVICE_PREFIX)
    name, separator, tail = rest.partition("/")
    service = _find_service(
        context.configuration, name, model.ServiceKind.PLAIN
    )
    target = separator + tail
    if not target:
        raise errors.Refusal(
            error_codes.NOT_FOUND, f"path {request.path!r} does not exist"
        )
    return _build(
        context,
        service,
        target=target,
        idempotent=_is_idempotent(service, request.method, target),
        stream=False,
    )


def _build(
    context: _ParseContext,
    service: model.Service,
    *,
    target: str,
    idempotent: bool,
    stream: bool,
) -> Call:
    request = context.request
    deadline_seconds = _parse_deadline(request, context.configuration)
    return Call(
        id=context.request_id,
        organisation=context.organisation.name,
        service=service,
        upstream=_upstream_request(
            request, target, context.request_id, deadline_seconds
        ),
        idempotent=idempotent,
        stream=stream,
        key=_parse_key(request),
        deadline_seconds=deadline_seconds,
        priority=_parse_priority(request),
        session=request.headers.get(SESSION_HEADER),
    )


def _parse_model_name(
    text: str, configuration: model.Configuration
) -> tuple[str, ids.VersionName | None, ids.AdapterName | None]:
    """Return the service, version and adapter of `s`, `s@v` or `s:a`."""
    name, at, version = text.partition("@")
    if at:
        known = {(v.service, v.name) for v in configuration.versions}
        if (name, version) not in known:
            raise _unknown_name(f"version {version!r} of service {name!r}")
        return name, ids.VersionName(version), None
    name, colon, adapter = text.partition(":")
    if not colon:
        return name, None, None
    if (name, adapter) not in {
        (a.service, a.name) for a in configuration.adapters
    }:
        raise _unknown_name(f"adapter {adapter!r} of service {name!r}")
    return name, None, ids.AdapterName(adapter)


def _unknown_name(what: str) -> errors.Refusal:
    return errors.Refusal(
        error_codes.UNKNOWN_SERVICE, f"{what} does not exist"
    )


def _parse_priority(request: messages.Request) -> Priority:
    text = request.headers.get(PRIORITY_HEADER)
    if text is None:
        return Priority.INTERACTIVE
    try:
        return Priority(text.lower())
    except ValueError as error:
        raise errors.Refusal(
            error_codes.MALFORMED_REQUEST,
            f"header {PRIORITY_HEADER} has the value {text!r}, "
            "which is not a priority",
        ) from error


def _parse_key(request: messages.Request) -> ids.IdempotencyKey | None:
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


def _upstream_request(
    request: messages.Request,
    target: str,
    request_id: ids.RequestId,
    deadline_seconds: float,
) -> messages.Request:
    forwarded = request.headers.without(_dropped_headers())
    headers = forwarded.with_field(REQUEST_ID_HEADER, request_id)
    headers = headers.with_field(DEADLINE_HEADER, f"{deadline_seconds:g}")
    return messages.Request(request.method, target, headers, request.body)


@functools.cache
def _dropped_headers() -> frozenset[str]:
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


def _parse_deadline(
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
            "which is not a positive number of seconds",
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
