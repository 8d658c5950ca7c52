"""Generate the answers of the engine stand-in.

An answer is a fixed function of the request, so that a checker can compare
it byte for byte: token number i of a prompt is derived from a digest of
the prompt and i.
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
REQUESTS_KEPT: Final = 4096
POISON_EXIT_STATUS: Final = 70
SILENCE_POLL_SECONDS: Final = 0.05


class Faults(msgspec.Struct, frozen=True):
    """Set what goes wrong with this engine, with times in seconds.

    `cut_after_tokens` breaks the connection.  `silent_after_tokens` writes
    no more to the caller, but goes on generating.  `stall_after_tokens`
    stops generating.  An engine exits when it runs a prompt that holds
    `poison`, after `poison_after_tokens` tokens.
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


class Prompt(msgspec.Struct, frozen=True):
    """Hold what the stand-in reads of a call."""

    model: str = ""
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False
    resume: completions.Resume = completions.Resume(0, "")


@dataclasses.dataclass
class Run:
    """Hold the state of one request."""

    state: completions.RunState = completions.RunState.RUNNING
    tokens: int = 0


Exit = collections.abc.Callable[[int], None]


@dataclasses.dataclass
class Generator:
    """Write answers token by token; times are in seconds."""

    first_token_seconds: float
    token_seconds: float
    exit_process: Exit
    faults: Faults = Faults()
    executed_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    resumed_by_request: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    runs_by_request: dict[str, Run] = dataclasses.field(default_factory=dict)

    async def write_answer(self, exchange: server.Exchange) -> None:
        """Run one request and write its answer."""
        request_id = exchange.request.headers.get(REQUEST_ID_HEADER) or ""
        count = self.executed_by_request.get(request_id, 0)
        self.executed_by_request[request_id] = count + 1
        run = Run()
        self._remember(request_id, run)
        watcher = await curio.spawn(_cancel_when_gone, exchange, run)
        try:
            await self._write(exchange, request_id, run)
            if run.state is completions.RunState.RUNNING:
                run.state = completions.RunState.FINISHED
        except OSError:
            run.state = completions.RunState.CANCELLED
            raise
        finally:
            await watcher.cancel()

    def progress(self, request_id: str) -> completions.Progress:
        """Return how far a request has come."""
        run = self.runs_by_request.get(request_id)
        if run is None:
            return completions.Progress()
        return completions.Progress(run.state, run.tokens)

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        run = self.runs_by_request.get(request_id)
        if run is not None and run.state is completions.RunState.RUNNING:
            run.state = completions.RunState.CANCELLED

    def _remember(self, request_id: str, run: Run) -> None:
        self.runs_by_request.pop(request_id, None)
        self.runs_by_request[request_id] = run
        while len(self.runs_by_request) > REQUESTS_KEPT:
            self.runs_by_request.pop(next(iter(self.runs_by_request)))

    async def _write(
        self, exchange: server.Exchange, request_id: str, run: Run
    ) -> None:
        prompt = msgspec.json.decode(exchange.request.body, type=Prompt)
        if prompt.resume.tokens:
            self.resumed_by_request[request_id] = prompt.resume.tokens
            check_resume(prompt)
        chat = exchange.request.path == "/v1/chat/completions"
        echoed = "another" if self.faults.swap_request_ids else request_id
        if prompt.stream:
            await self._stream(exchange, prompt, echoed, chat, run)
            return
        tokens = [token async for token in self._tokens(prompt, run)]
        body = whole_answer(prompt, "".join(tokens), chat)
        response = messages.json_response(200, body)
        if self.faults.malformed:
            response = dataclasses.replace(response, body=b'{"choices": [')
        headers = response.headers.with_field(REQUEST_ID_HEADER, echoed)
        await exchange.respond(dataclasses.replace(response, headers=headers))

    async def _stream(
        self,
        exchange: server.Exchange,
        prompt: Prompt,
        echoed: str,
        chat: bool,
        run: Run,
    ) -> None:
        headers = messages.Headers(
            [
                ("Content-Type", messages.EVENT_STREAM_TYPE),
                (REQUEST_ID_HEADER, echoed),
            ]
        )
        await exchange.start(messages.ResponseHead(200, headers))
        async for token in self._tokens(prompt, run):
            silent = self.faults.silent_after_tokens
            if silent is not None and run.tokens > silent:
                continue
            if run.tokens - 1 == self.faults.error_after_tokens:
                await exchange.write(b'data: {"error": {"code": "x"}}\n\n')
                raise ConnectionResetError("an error on purpose")
            event = stream_event(prompt, token, chat)
            if run.tokens - 1 == self.faults.cut_inside_token:
                await exchange.write(event[: len(event) // 2])
                raise ConnectionResetError("cut on purpose")
            await exchange.write(event)
        if self.faults.silent_after_tokens is not None:
            await _stay_silent(run)
        await exchange.write(completions.DONE_EVENT)
        await exchange.finish()

    async def _tokens(
        self, prompt: Prompt, run: Run
    ) -> collections.abc.AsyncIterator[str]:
        faults = self.faults
        run.tokens = prompt.resume.tokens
        await curio.sleep(self.first_token_seconds * faults.slow_factor)
        for index in range(prompt.resume.tokens, prompt.max_tokens):
            if run.state is completions.RunState.CANCELLED:
                raise ConnectionResetError("the request was cancelled")
            if faults.poison and faults.poison in str(prompt):
                if index >= faults.poison_after_tokens:
                    self.exit_process(POISON_EXIT_STATUS)
            if index == faults.cut_after_tokens:
                raise ConnectionResetError("cut on purpose")
            if index == faults.stall_after_tokens:
                await _stay_silent(run)
            run.tokens = index + 1
            yield token_at(prompt, index)
            await curio.sleep(self.token_seconds * faults.slow_factor)


async def _stay_silent(run: Run) -> None:
    while run.state is completions.RunState.RUNNING:
        await curio.sleep(SILENCE_POLL_SECONDS)
    raise ConnectionResetError("the request was cancelled")


async def _cancel_when_gone(exchange: server.Exchange, run: Run) -> None:
    await exchange.wait_for_disconnect()
    if run.state is completions.RunState.RUNNING:
        run.state = completions.RunState.CANCELLED


def check_resume(prompt: Prompt) -> None:
    """Refuse to resume from a text that is not the start of the answer."""
    known = "".join(token_at(prompt, i) for i in range(prompt.resume.tokens))
    if prompt.resume.text != known:
        raise ConnectionResetError("the text to resume from is wrong")


def marker(prompt: Prompt) -> str:
    """Return the text by which records name the request of a prompt."""
    if prompt.messages:
        return str(prompt.messages[-1].get("content", ""))
    return prompt.prompt


def token_at(prompt: Prompt, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    text = msgspec.json.encode([prompt.model, prompt.messages, prompt.prompt])
    digest = hashlib.sha256(text + str(index).encode()).hexdigest()
    return f"{digest[:4]} "


def expected_text(prompt: Prompt) -> str:
    """Return the whole text that answers a prompt."""
    return "".join(token_at(prompt, i) for i in range(prompt.max_tokens))


def whole_answer(prompt: Prompt, text: str, chat: bool) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {"model": prompt.model, "choices": [choice]}


def stream_event(prompt: Prompt, token: str, chat: bool) -> bytes:
    """Return the event that carries one token."""
    choice: dict[str, object] = {"index": 0}
    if chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    event = {"model": prompt.model, "choices": [choice]}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
