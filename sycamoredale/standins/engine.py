"""Stand in for the model engine of one instance."""

import os
from typing import Final

import msgspec

from sycamoredale import clock
from sycamoredale.engines import orders
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.standins import engine_orders
from sycamoredale.standins import generation

MEMBER_PROBE_SECONDS: Final = 0.3
REQUESTS_PREFIX: Final = "/v1/requests/"


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


class Engine:
    """Carry out orders and generate tokens."""

    def __init__(self, settings: Settings, pool: client.Pool) -> None:
        """Start empty."""
        self.settings: Final = settings
        self.generator: Final = generation.Generator(
            settings.first_token_seconds, settings.token_seconds, os._exit
        )
        self.orders: Final = engine_orders.OrderBook(
            settings.instance,
            settings.load_seconds,
            settings.cold_seconds,
            settings.honours_fencing,
            engine_orders.weight_store(settings.weight_store, pool),
        )
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
                self.generator.faults = msgspec.json.decode(
                    request.body, type=generation.Faults
                )
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/orders"):
                await exchange.respond(
                    messages.json_response(200, self.orders.obeyed)
                )
            case ("GET", "/standin/executed"):
                await exchange.respond(
                    messages.json_response(
                        200, self.generator.executed_by_request
                    )
                )
            case ("GET", "/standin/resumed"):
                await exchange.respond(
                    messages.json_response(
                        200, self.generator.resumed_by_request
                    )
                )
            case ("GET" | "POST", path) if path.startswith(REQUESTS_PREFIX):
                await exchange.respond(self._request_state(request))
            case _:
                await exchange.respond(messages.json_response(404, {}))

    async def _obey(self, request: messages.Request) -> messages.Response:
        order = engine_orders.decode(request.body)
        obeyed = await self.orders.obey(order, clock.monotonic())
        return messages.json_response(200 if obeyed else 409, self._state())

    def _request_state(self, request: messages.Request) -> messages.Response:
        name = request.path.removeprefix(REQUESTS_PREFIX)
        request_id, _, action = name.partition("/")
        if action == "cancel":
            self.generator.cancel(request_id)
        progress = msgspec.structs.replace(
            self.generator.progress(request_id),
            failed=self.orders.phase is orders.Phase.FAILED,
        )
        return messages.json_response(200, progress)

    def _state(self) -> orders.EngineState:
        step = self.settings.token_seconds * self.generator.faults.slow_factor
        return self.orders.state(self.running, step)

    async def _generate(self, exchange: server.Exchange) -> None:
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
        self.running += 1
        try:
            await self.generator.write_answer(exchange)
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
