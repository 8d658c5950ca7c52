"""Generate the completions of a simulated engine.

A completion is a deterministic function of the request, so that a checker
can compare it byte for byte: token i is derived from a digest of the prompt
and i.
"""

import collections.abc
import dataclasses
import hashlib
from typing import Final

import curio
import msgspec

from sycamoredale.engines import completions
from sycamoredale.http import messages
from sycamoredale.http import server

REQUEST_ID_HEADER: Final = "X-Request-Id"
DEFAULT_TOKENS: Final = 16
MAX_STORED_REQUESTS: Final = 4096
POISON_EXIT_STATUS: Final = 70
CANCEL_POLL_INTERVAL_SECONDS: Final = 0.05


class Faults(msgspec.Struct, frozen=True):
    """Configure the faults that an engine injects.

    After `cut_after_tokens` the engine closes the connection.  After
    `silent_after_tokens` it goes on generating, but writes nothing more to
    the caller.  After `stall_after_tokens` it stops generating.  Its process
    exits after `poison_after_tokens` tokens of a prompt that contains
    `poison`.
    """

    cut_after_tokens: int | None = None
    silent_after_tokens: int | None = None
    stall_after_tokens: int | None = None
    swap_request_ids: bool = False
    slow_factor: float = 1.0
    error_after_tokens: int | None = None
    cut_inside_token: int | None = None
    malformed: bool = False
    poison: str = ""
    poison_after_tokens: int = 0


class CompletionRequest(msgspec.Struct, frozen=True):
    """Decode the fields of a completion request that the engine uses."""

    model: str = ""
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False
    resume: completions.Resume = completions.Resume(0, "")


@dataclasses.dataclass
class GenerationState:
    """Track the phase and the generated tokens of one request."""

    phase: completions.RequestState = completions.RequestState.RUNNING
    tokens: int = 0


ExitProcess = collections.abc.Callable[[int], None]


@dataclasses.dataclass
class Generator:
    """Generate completions token by token and inject faults."""

    first_token_seconds: float
    token_seconds: float
    exit_process: ExitProcess
    faults: Faults = Faults()
    run_count_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    resumed_tokens_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    state_by_request: dict[str, GenerationState] = dataclasses.field(
        default_factory=dict
    )

    async def write_answer(self, exchange: server.Exchange) -> None:
        """Generate the completion of a request and write the response."""
        request_id = exchange.request.headers.get(REQUEST_ID_HEADER) or ""
        count = self.run_count_by_request.get(request_id, 0)
        self.run_count_by_request[request_id] = count + 1
        state = GenerationState()
        self._store_state(request_id, state)
        disconnect_watcher = await curio.spawn(
            _cancel_on_disconnect, exchange, state
        )
        try:
            await self._write_body(exchange, request_id, state)
            if state.phase is completions.RequestState.RUNNING:
                state.phase = completions.RequestState.FINISHED
        except OSError:
            state.phase = completions.RequestState.CANCELLED
            raise
        finally:
            await disconnect_watcher.cancel()

    def progress(self, request_id: str) -> completions.RequestProgress:
        """Return the phase of a request and its number of tokens."""
        state = self.state_by_request.get(request_id)
        if state is None:
            return completions.RequestProgress()
        return completions.RequestProgress(state.phase, state.tokens)

    def cancel(self, request_id: str) -> None:
        """Cancel a running request."""
        state = self.state_by_request.get(request_id)
        if (
            state is not None
            and state.phase is completions.RequestState.RUNNING
        ):
            state.phase = completions.RequestState.CANCELLED

    def _store_state(self, request_id: str, state: GenerationState) -> None:
        self.state_by_request.pop(request_id, None)
        self.state_by_request[request_id] = state
        while len(self.state_by_request) > MAX_STORED_REQUESTS:
            self.state_by_request.pop(next(iter(self.state_by_request)))

    async def _write_body(
        self,
        exchange: server.Exchange,
        request_id: str,
        state: GenerationState,
    ) -> None:
        call = msgspec.json.decode(
            exchange.request.body, type=CompletionRequest
        )
        if call.resume.tokens:
            self.resumed_tokens_by_request[request_id] = call.resume.tokens
            validate_resume(call)
        is_chat = exchange.request.path == "/v1/chat/completions"
        response_request_id = (
            "another" if self.faults.swap_request_ids else request_id
        )
        if call.stream:
            await self._stream(
                exchange, call, response_request_id, is_chat, state
            )
            return
        tokens = [token async for token in self._tokens(call, state)]
        body = completion_body(call, "".join(tokens), is_chat)
        response = messages.json_response(200, body)
        if self.faults.malformed:
            response = dataclasses.replace(response, body=b'{"choices": [')
        headers = response.headers.with_field(
            REQUEST_ID_HEADER, response_request_id
        )
        await exchange.respond(dataclasses.replace(response, headers=headers))

    async def _stream(
        self,
        exchange: server.Exchange,
        call: CompletionRequest,
        response_request_id: str,
        is_chat: bool,
        state: GenerationState,
    ) -> None:
        headers = messages.Headers(
            [
                ("Content-Type", messages.EVENT_STREAM_TYPE),
                (REQUEST_ID_HEADER, response_request_id),
            ]
        )
        await exchange.start(messages.ResponseHead(200, headers))
        async for token in self._tokens(call, state):
            silence_start = self.faults.silent_after_tokens
            if silence_start is not None and state.tokens > silence_start:
                continue
            if state.tokens - 1 == self.faults.error_after_tokens:
                await exchange.write(b'data: {"error": {"code": "x"}}\n\n')
                raise ConnectionResetError(
                    "injected fault: error event in the stream"
                )
            event = stream_event(call, token, is_chat)
            if state.tokens - 1 == self.faults.cut_inside_token:
                await exchange.write(event[: len(event) // 2])
                raise ConnectionResetError("injected fault: connection closed")
            await exchange.write(event)
        if self.faults.silent_after_tokens is not None:
            await _wait_for_cancellation(state)
        await exchange.write(completions.DONE_EVENT)
        await exchange.finish()

    async def _tokens(
        self, call: CompletionRequest, state: GenerationState
    ) -> collections.abc.AsyncIterator[str]:
        faults = self.faults
        state.tokens = call.resume.tokens
        await curio.sleep(self.first_token_seconds * faults.slow_factor)
        for index in range(call.resume.tokens, call.max_tokens):
            if state.phase is completions.RequestState.CANCELLED:
                raise ConnectionResetError("request was cancelled")
            if faults.poison and faults.poison in str(call):
                if index >= faults.poison_after_tokens:
                    self.exit_process(POISON_EXIT_STATUS)
            if index == faults.cut_after_tokens:
                raise ConnectionResetError("injected fault: connection closed")
            if index == faults.stall_after_tokens:
                await _wait_for_cancellation(state)
            state.tokens = index + 1
            yield token_at(call, index)
            await curio.sleep(self.token_seconds * faults.slow_factor)


async def _wait_for_cancellation(state: GenerationState) -> None:
    while state.phase is completions.RequestState.RUNNING:
        await curio.sleep(CANCEL_POLL_INTERVAL_SECONDS)
    raise ConnectionResetError("request was cancelled")


async def _cancel_on_disconnect(
    exchange: server.Exchange, state: GenerationState
) -> None:
    await exchange.wait_for_disconnect()
    if state.phase is completions.RequestState.RUNNING:
        state.phase = completions.RequestState.CANCELLED


def validate_resume(call: CompletionRequest) -> None:
    """Raise ConnectionResetError if the text to resume from is wrong."""
    expected_start = "".join(
        token_at(call, i) for i in range(call.resume.tokens)
    )
    if call.resume.text != expected_start:
        raise ConnectionResetError(
            "text to resume from is not a prefix of the completion"
        )


def request_marker(call: CompletionRequest) -> str:
    """Return the prompt text that identifies a request in records."""
    if call.messages:
        return str(call.messages[-1].get("content", ""))
    return call.prompt


def token_at(call: CompletionRequest, index: int) -> str:
    """Return the token at an index of a completion."""
    text = msgspec.json.encode([call.model, call.messages, call.prompt])
    digest = hashlib.sha256(text + str(index).encode()).hexdigest()
    return f"{digest[:4]} "


def expected_text(call: CompletionRequest) -> str:
    """Return the complete text of a completion."""
    return "".join(token_at(call, i) for i in range(call.max_tokens))


def echo_id(
    exchange: server.Exchange, response: messages.Response
) -> messages.Response:
    """Return a response with the id of its request."""
    request_id = exchange.request.headers.get(REQUEST_ID_HEADER)
    if request_id is None:
        return response
    headers = response.headers.with_field(REQUEST_ID_HEADER, request_id)
    return dataclasses.replace(response, headers=headers)


def completion_body(
    call: CompletionRequest, text: str, is_chat: bool
) -> dict[str, object]:
    """Return the response body of a completion that is not streamed."""
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {"model": call.model, "choices": [choice]}


def stream_event(call: CompletionRequest, token: str, is_chat: bool) -> bytes:
    """Return the server-sent event of one token."""
    choice: dict[str, object] = {"index": 0}
    if is_chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    event = {"model": call.model, "choices": [choice]}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
