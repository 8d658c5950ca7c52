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
from sycamoredale.standins import engine_load
from sycamoredale.standins import engine_orders

REQUEST_ID_HEADER: Final = "X-Request-Id"
DEADLINE_HEADER: Final = "X-Deadline-Seconds"
NO_DEADLINE_SECONDS: Final = 3600.0
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
    report_lag_seconds: float = 0.0
    lose_cache_events_every: int = 0
    cold_factor: float = 3.0
    prefill_block_seconds: float = 0.0


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
        self.load: Final = engine_load.Load(
            settings.capacity, settings.report_lag_seconds
        )
        self.cache: Final = engine_load.PrefixCache(
            settings.lose_cache_events_every
        )
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
            case ("GET", "/v1/cache-events"):
                after = int(request.query("after") or 0)
                events = self.cache.events_after(after)
                await exchange.respond(messages.json_response(200, events))
            case ("PUT", "/standin/cold"):
                self.orders.turn_cold(clock.monotonic())
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/load"):
                await exchange.respond(self._load_record())
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

    def _load_record(self) -> messages.Response:
        record = {
            "running": self.load.running,
            "max_running_cold": self.load.max_running_cold,
            "overloads": self.load.overloads,
            "cache_hits": self.cache.hits,
            "cache_lookups": self.cache.lookups,
        }
        return messages.json_response(200, record)

    async def _obey(self, request: messages.Request) -> messages.Response:
        order = engine_orders.decode(request.body)
        obeyed = await self.orders.obey(order, clock.monotonic())
        return messages.json_response(200 if obeyed else 409, self._state())

    def _state(self) -> orders.EngineState:
        step = self.settings.token_seconds * self.faults.slow_factor
        load = self.load.reported(clock.monotonic())
        state = self.orders.state(load.running, step)
        return msgspec.structs.replace(state, waiting=load.waiting)

    async def _generate(self, exchange: server.Exchange) -> None:
        phase = self.orders.phase
        if phase not in engine_orders.SERVING:
            await exchange.respond(
                messages.json_response(503, {"error": phase.value})
            )
            return
        is_cold = phase is orders.Phase.COLD
        overloads = self.load.overloads
        try:
            async with self.load.place(is_cold, self.settings.cold_limit):
                await self._check_members()
                await self._execute(exchange)
        finally:
            if self.load.overloads > overloads:
                self.orders.phase = orders.Phase.FAILED

    async def _execute(self, exchange: server.Exchange) -> None:
        headers = exchange.request.headers
        request_id = headers.get(REQUEST_ID_HEADER) or ""
        count = self.executed_by_request.get(request_id, 0)
        self.executed_by_request[request_id] = count + 1
        longest = float(headers.get(DEADLINE_HEADER) or NO_DEADLINE_SECONDS)
        try:
            async with curio.timeout_after(longest):
                await self._prefill(exchange.request.body)
                await self._write_answer(exchange, request_id)
        except curio.TaskTimeout as error:
            raise ConnectionResetError("the deadline passed") from error

    async def _prefill(self, body: bytes) -> None:
        settings = self.settings
        missing = self.cache.use(body)
        seconds = missing * settings.prefill_block_seconds
        if self.orders.phase is orders.Phase.COLD:
            seconds += (settings.cold_factor - 1) * (
                settings.first_token_seconds
            )
        await curio.sleep(seconds)

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
        headers = self.load.added_to(headers, clock.monotonic())
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
        headers = self.load.added_to(headers, clock.monotonic())
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
