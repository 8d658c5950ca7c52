"""Call model engines: completions, resumption, cancellation, progress.

A stream consists of server-sent events with one token each and ends with the
event `[DONE]`.  To resume a stream, the request is sent again with the number
of tokens and the text that the caller already has; the engine continues with
the next token.  Only this module uses the wire format.
"""

import dataclasses
import enum
from typing import Final
import urllib.parse

import msgspec

from sycamoredale import decoding
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import event_buffer
from sycamoredale.http import messages
from sycamoredale import ids

EVENT_END: Final = event_buffer.EVENT_END
DATA: Final = b"data: "
COMMENT_PREFIX: Final = b":"
DONE_EVENT: Final = b"data: [DONE]\n\n"
ERROR_FIELD: Final = b'"error"'
MAX_PENDING_BYTES: Final = 16 * 1024
PROBE_TIMEOUT_SECONDS: Final = 1.0
CANCEL_TIMEOUT_SECONDS: Final = 1.0
REFUSING_PHASES: Final = frozenset(("empty", "loading", "draining", "not_run"))


class RequestState(enum.Enum):
    """List the states of a request on an engine."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class RequestProgress(msgspec.Struct, frozen=True):
    """Report the progress of an engine with a request."""

    state: RequestState = RequestState.UNKNOWN
    tokens: int = 0
    failed: bool = False


class Resume(msgspec.Struct, frozen=True):
    """Describe the part of an answer that the caller already has."""

    tokens: int
    text: str


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    error: object = None


class _RefusalBody(msgspec.Struct):
    error: str = ""


_EVENT_DECODER: Final = decoding.JsonDecoder(_Event)
_BODY_DECODER: Final = decoding.JsonDecoder(dict[str, msgspec.Raw])


@dataclasses.dataclass
class ResumableStream:
    """Track one stream over all endpoints that generate parts of it.

    Only complete events are forwarded, so that another endpoint can resume
    after the last one.  `error_event` is the error that the engine reported,
    or what it sent in place of an event of a stream that it continues.
    """

    done: bool = False
    error_event: str | None = None
    _buffer: event_buffer.EventBuffer = dataclasses.field(
        default_factory=event_buffer.EventBuffer
    )
    _delivered: list[bytes] = dataclasses.field(default_factory=list)
    _delivered_bytes: int = 0
    _tokens: int = 0
    _texts: list[str] = dataclasses.field(default_factory=list)
    _is_continued: bool = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete events to forward to the caller.

        Drops an error that the engine reports and everything after it, and
        stores the error in `error_event`.  Raises ValueError if an event is
        too long.
        """
        events = self._buffer.feed(chunk)
        if ERROR_FIELD in events or (self._is_continued and events):
            events = self._cut_at_error(events)
        if events.endswith(DONE_EVENT):
            self.done = True
            return events
        self._record_delivered(events)
        return events

    def token_count(self) -> int:
        """Return how many tokens were forwarded to the caller."""
        self._count_delivered()
        return self._tokens

    def discard_partial_event(self) -> None:
        """Drop the incomplete event of the last endpoint and its error."""
        self._buffer.clear()
        self.error_event = None
        self._is_continued = self.token_count() > 0

    def build_resume_request(
        self, request: messages.Request
    ) -> messages.Request:
        """Return the request to another engine for the remaining tokens."""
        if not self.token_count():
            return request
        fields = _BODY_DECODER.decode(request.body)
        resume = Resume(self._tokens, "".join(self._texts))
        fields["resume"] = msgspec.Raw(msgspec.json.encode(resume))
        body = msgspec.json.encode(fields)
        return dataclasses.replace(request, body=body)

    def _record_delivered(self, events: bytes) -> None:
        self._delivered.append(events)
        self._delivered_bytes += len(events)
        if self._delivered_bytes > MAX_PENDING_BYTES:
            self._count_delivered()

    def _count_delivered(self) -> None:
        for event in b"".join(self._delivered).split(EVENT_END):
            text = _event_text(event)
            if text:
                self._tokens += 1
                self._texts.append(text)
        self._texts = ["".join(self._texts)]
        self._delivered.clear()
        self._delivered_bytes = 0

    def _cut_at_error(self, events: bytes) -> bytes:
        kept: list[bytes] = []
        for event in events.split(EVENT_END)[:-1]:
            if _is_error_event(event) or (
                self._is_continued and not _is_event(event)
            ):
                self.error_event = event.decode("latin-1")
                break
            kept.append(event + EVENT_END)
        return b"".join(kept)


@dataclasses.dataclass
class CompletionClient:
    """Query and cancel requests that engines run."""

    pool: client.Pool

    async def progress(
        self, address: messages.Address, request_id: ids.RequestId
    ) -> RequestProgress:
        """Return an engine's progress with a request, over a new connection.

        Raises ConnectionFailed or ConnectionBroken if the engine does not
        answer, and EndpointFault if its answer is malformed.
        """
        request = messages.Request("GET", _path(request_id))
        response = await self.pool.call(
            address, request, PROBE_TIMEOUT_SECONDS, new_connection=True
        )
        try:
            return decoding.decode_json(response.body, RequestProgress)
        except msgspec.DecodeError as error:
            raise errors.EndpointFault(
                f"engine {address} sent a malformed progress report: {error}"
            ) from error

    async def cancel(
        self, address: messages.Address, request_id: ids.RequestId
    ) -> None:
        """Cancel a request; raise ConnectionFailed or ConnectionBroken."""
        request = messages.Request("POST", f"{_path(request_id)}/cancel")
        await self.pool.call(
            address, request, CANCEL_TIMEOUT_SECONDS, new_connection=True
        )


def was_refused(status: int, body: bytes) -> bool:
    """Return whether an engine refused a request without running it."""
    if status != 503:
        return False
    try:
        refused = decoding.decode_json(body, _RefusalBody)
    except msgspec.DecodeError:
        return False
    return refused.error in REFUSING_PHASES


def is_complete_json(body: bytes) -> bool:
    """Return whether the body of an answer is complete JSON."""
    try:
        decoding.decode_json(body)
    except msgspec.DecodeError:
        return False
    return True


def has_data(events: bytes) -> bool:
    """Return whether there is an event among comments."""
    return events.startswith(DATA) or b"\n" + DATA in events


def error_event(value: object) -> bytes:
    """Return the error event that ends an incomplete stream."""
    return b"event: error\n" + DATA + msgspec.json.encode(value) + EVENT_END


def _path(request_id: ids.RequestId) -> str:
    return f"/v1/requests/{urllib.parse.quote(request_id, safe='')}"


def _decode_event(event: bytes) -> _Event | None:
    data = event.removeprefix(DATA)
    try:
        return _EVENT_DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def _event_text(event: bytes) -> str:
    decoded = _decode_event(event) if event else None
    if decoded is None or not decoded.choices:
        return ""
    choice = decoded.choices[0]
    return choice.text or choice.delta.content or ""


def _is_event(event: bytes) -> bool:
    """Return whether text is an event of an engine or a comment."""
    return (
        event + EVENT_END == DONE_EVENT
        or event.startswith(COMMENT_PREFIX)
        or _decode_event(event) is not None
    )


def _is_error_event(event: bytes) -> bool:
    decoded = _decode_event(event)
    return decoded is not None and decoded.error is not None
