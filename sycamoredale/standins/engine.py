"""Stand in for the model engine of one instance.

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

from sycamoredale import clock
from sycamoredale.engines import orders
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.standins import engine_orders

REQUEST_ID_HEADER: Final = "X-Request-Id"
DEFAULT_TOKENS: Final = 16
MEMBER_PROBE_SECONDS: Final = 0.3


class Faults(msgspec.Struct, frozen=True):
    """Set what goes wrong with this engine, with times in seconds."""

    cut_after_tokens: int | None = None
    silent_after_tokens: int | None = None
    swap_request_ids: bool = False
    slow_factor: float = 1.0


class Settings(msgspec.Struct, frozen=True):
    """Describe the engine; times are in seconds."""

    instance: ids.InstanceId
    load_seconds: float = 0.2
    cold_seconds: float = 0.5
    cold_limit: int = 2
    capacity: int = 32
    first_token_seconds: float = 0.02
    token_seconds: float = 0.005
    honours_fencing: bool = True
    weight_store: str = ""


class Prompt(msgspec.Struct, frozen=True):
    """Hold what the stand-in reads of a call."""

    model: str = ""
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int = DEFAULT_TOKENS
    stream: bool = False


class Engine:
    """Carry out orders and generate tokens."""

    def __init__(self, settings: Settings, pool: client.Pool) -> None:
        """Start empty."""
        self.settings: Final = settings
        self.faults = Faults()
        self.orders: Final = engine_orders.OrderBook(
            settings.instance,
            settings.load_seconds,
            settings.cold_seconds,
            settings.honours_fencing,
            engine_orders.weight_store(settings.weight_store, pool),
        )
        self.executed_by_request: dict[str, int] = {}
        self.running = 0
        self._pool = pool

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        self.orders.advance(clock.monotonic())
        match (request.method, request.path):
            case ("POST", "/v1/orders"):
                await exchange.respond(await self._obey(request))
            case ("GET", "/v1/state"):
                await exchange.respond(
                    messages.json_response(200, self._state())
                )
            case ("POST", "/v1/chat/completions" | "/v1/completions"):
                await self._generate(exchange)
            case ("PUT", "/standin/faults"):
                self.faults = msgspec.json.decode(request.body, type=Faults)
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/orders"):
                await exchange.respond(
                    messages.json_response(200, self.orders.obeyed)
                )
            case ("GET", "/standin/executed"):
                await exchange.respond(
                    messages.json_response(200, self.executed_by_request)
                )
            case _:
                await exchange.respond(messages.json_response(404, {}))

    async def _obey(self, request: messages.Request) -> messages.Response:
        order = engine_orders.decode(request.body)
        obeyed = await self.orders.obey(order, clock.monotonic())
        return messages.json_response(200 if obeyed else 409, self._state())

    def _state(self) -> orders.EngineState:
        step = self.settings.token_seconds * self.faults.slow_factor
        return self.orders.state(self.running, step)

    async def _generate(self, exchange: server.Exchange) -> None:
        request = exchange.request
        phase = self.orders.phase
        if phase not in engine_orders.SERVING:
            await exchange.respond(
                messages.json_response(503, {"error": phase.value})
            )
            return
        if phase is orders.Phase.COLD:
            if self.running >= self.settings.cold_limit:
                self.orders.phase = orders.Phase.FAILED
                raise ConnectionResetError("overloaded during cold start")
        await self._check_members()
        request_id = request.headers.get(REQUEST_ID_HEADER) or ""
        count = self.executed_by_request.get(request_id, 0)
        self.executed_by_request[request_id] = count + 1
        self.running += 1
        try:
            await self._write_answer(exchange, request_id)
        finally:
            self.running -= 1

    async def _check_members(self) -> None:
        order = self.orders.order
        if order is None:
            return
        for text in order.members[1:]:
            probe = messages.Request("GET", "/v1/state")
            await self._pool.call(
                messages.parse_address(text), probe, MEMBER_PROBE_SECONDS
            )

    async def _write_answer(
        self, exchange: server.Exchange, request_id: str
    ) -> None:
        prompt = msgspec.json.decode(exchange.request.body, type=Prompt)
        chat = exchange.request.path == "/v1/chat/completions"
        if self.faults.swap_request_ids:
            request_id = "another-request"
        if prompt.stream:
            await self._stream(exchange, prompt, request_id, chat)
            return
        tokens = [token async for token in self._tokens(prompt)]
        body = whole_answer(prompt, "".join(tokens), chat)
        response = messages.json_response(200, body)
        headers = response.headers.with_field(REQUEST_ID_HEADER, request_id)
        await exchange.respond(dataclasses.replace(response, headers=headers))

    async def _stream(
        self,
        exchange: server.Exchange,
        prompt: Prompt,
        request_id: str,
        chat: bool,
    ) -> None:
        headers = messages.Headers(
            [
                ("Content-Type", messages.EVENT_STREAM_TYPE),
                (REQUEST_ID_HEADER, request_id),
            ]
        )
        await exchange.start(messages.ResponseHead(200, headers))
        async for token in self._tokens(prompt):
            await exchange.write(stream_event(prompt, token, chat))
        await exchange.write(b"data: [DONE]\n\n")
        await exchange.finish()

    async def _tokens(
        self, prompt: Prompt
    ) -> collections.abc.AsyncIterator[str]:
        slow = self.faults.slow_factor
        await curio.sleep(self.settings.first_token_seconds * slow)
        for index in range(prompt.max_tokens):
            if index == self.faults.cut_after_tokens:
                raise ConnectionResetError("cut on purpose")
            if index == self.faults.silent_after_tokens:
                await curio.sleep(3600)
            yield token_at(prompt, index)
            await curio.sleep(self.settings.token_seconds * slow)


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
