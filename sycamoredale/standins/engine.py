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


class Engine:
    """Carry out orders and generate tokens."""

    def __init__(self, settings: Settings, pool: client.Pool) -> None:
        """Start empty."""
        self.settings: Final = settings
        self.generator: Final = generation.Generator(
            settings.first_token_seconds, settings.token_seconds, os._exit
        )
        self.order: orders.Order | None = None
        self.epoch = ids.Epoch(0)
        self.phase = orders.Phase.EMPTY
        self.running = 0
        self._pool = pool
        self._phase_ends = 0.0

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        self._advance(clock.monotonic())
        match (request.method, request.path):
            case ("POST", "/v1/orders"):
                await exchange.respond(self._obey(request))
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

    def _request_state(self, request: messages.Request) -> messages.Response:
        name = request.path.removeprefix(REQUESTS_PREFIX)
        request_id, _, action = name.partition("/")
        if action == "cancel":
            self.generator.cancel(request_id)
        progress = msgspec.structs.replace(
            self.generator.progress(request_id),
            failed=self.phase is orders.Phase.FAILED,
        )
        return messages.json_response(200, progress)

    def _advance(self, now: clock.MonotonicTime) -> None:
        if now < self._phase_ends:
            return
        if self.phase is orders.Phase.LOADING:
            self.phase = orders.Phase.COLD
            self._phase_ends += self.settings.cold_seconds
            self._advance(now)
        elif self.phase is orders.Phase.COLD:
            self.phase = orders.Phase.READY

    def _obey(self, request: messages.Request) -> messages.Response:
        order = msgspec.json.decode(request.body, type=orders.Order)
        if self.settings.honours_fencing and order.epoch < self.epoch:
            return messages.json_response(409, self._state())
        self.epoch = order.epoch
        self.order = order
        match order.action:
            case orders.Action.LOAD:
                self.phase = orders.Phase.LOADING
                self._phase_ends = (
                    clock.monotonic() + self.settings.load_seconds
                )
            case orders.Action.UNLOAD:
                self.phase = orders.Phase.EMPTY
                self.order = None
            case orders.Action.DRAIN:
                self.phase = orders.Phase.DRAINING
        return messages.json_response(200, self._state())

    def _state(self) -> orders.EngineState:
        order = self.order
        return orders.EngineState(
            instance=self.settings.instance,
            phase=self.phase,
            epoch=self.epoch,
            group=order.group if order else None,
            service=order.service if order else ids.ServiceName(""),
            version=order.version if order else ids.VersionName(""),
            running=self.running,
        )

    async def _generate(self, exchange: server.Exchange) -> None:
        if self.phase not in (orders.Phase.COLD, orders.Phase.READY):
            await exchange.respond(
                messages.json_response(503, {"error": self.phase.value})
            )
            return
        if self.phase is orders.Phase.COLD:
            if self.running >= self.settings.cold_limit:
                self.phase = orders.Phase.FAILED
                raise ConnectionResetError("overloaded during cold start")
        await self._check_members()
        self.running += 1
        try:
            await self.generator.write_answer(exchange)
        finally:
            self.running -= 1

    async def _check_members(self) -> None:
        if self.order is None:
            return
        for text in self.order.members[1:]:
            probe = messages.Request("GET", "/v1/state")
            await self._pool.call(
                messages.parse_address(text), probe, MEMBER_PROBE_SECONDS
            )
