"""Simulate the model engine of one instance over HTTP."""

import os
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
from sycamoredale.standins import generation
from sycamoredale.standins import records

DEADLINE_HEADER: Final = "X-Deadline-Seconds"
DEFAULT_DEADLINE_SECONDS: Final = 3600.0
MEMBER_PROBE_TIMEOUT_SECONDS: Final = 0.3
REQUESTS_PATH_PREFIX: Final = "/v1/requests/"


class Settings(msgspec.Struct, frozen=True):
    """Configure a simulated engine.

    `cold_limit` is the number of concurrent requests above which the engine
    fails during a cold start; `cold_factor` multiplies the time to the first
    token until the cold start ends.  `report_lag_seconds` delays the load
    that the engine reports.  Of the cache events, each whose sequence number
    is a multiple of `lose_cache_events_every` is lost; 0 loses none.
    """

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


class Engine:
    """Apply orders and generate completions."""

    def __init__(
        self,
        settings: Settings,
        pool: client.Pool,
        recorder: records.Recorder,
    ) -> None:
        """Create an engine with no weights loaded."""
        self.settings: Final = settings
        self.generator: Final = generation.Generator(
            settings.first_token_seconds, settings.token_seconds, os._exit
        )
        self.orders: Final = engine_orders.OrderExecutor(
            settings.instance,
            settings.load_seconds,
            settings.cold_seconds,
            settings.honours_fencing,
            engine_orders.open_weight_store(settings.weight_store, pool),
        )
        self.load: Final = engine_load.LoadTracker(
            settings.capacity, settings.report_lag_seconds
        )
        self.cache: Final = engine_load.PrefixCache(
            settings.lose_cache_events_every
        )
        self._pool = pool
        self._recorder = recorder

    async def handle(self, exchange: server.Exchange) -> None:
        """Route one request to its handler and respond."""
        request = exchange.request
        self.orders.advance(clock.monotonic())
        match (request.method, request.path):
            case ("POST", "/v1/orders"):
                await exchange.respond(await self._apply_order(request))
            case ("GET", "/v1/state"):
                await exchange.respond(
                    messages.json_response(200, self._engine_state())
                )
            case ("POST", "/v1/chat/completions" | "/v1/completions"):
                await self._handle_completion(exchange)
            case ("GET", "/v1/cache-events"):
                events = self.cache.read_events(
                    request.query("after"), int(request.query("limit") or 0)
                )
                await exchange.respond(messages.json_response(200, events))
            case ("PUT", "/standin/cold"):
                self.orders.start_cold_start(clock.monotonic())
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/load"):
                await exchange.respond(self._load_response())
            case ("PUT", "/standin/faults"):
                self.generator.faults = msgspec.json.decode(
                    request.body, type=generation.Faults
                )
                await exchange.respond(messages.json_response(200, {}))
            case ("GET", "/standin/orders"):
                await exchange.respond(
                    messages.json_response(200, self.orders.applied_orders)
                )
            case ("GET", "/standin/executed"):
                await exchange.respond(
                    messages.json_response(
                        200, self.generator.run_count_by_request
                    )
                )
            case ("GET", "/standin/resumed"):
                await exchange.respond(
                    messages.json_response(
                        200, self.generator.resumed_tokens_by_request
                    )
                )
            case ("GET" | "POST", path) if path.startswith(
                REQUESTS_PATH_PREFIX
            ):
                await exchange.respond(self._progress_response(request))
            case _:
                await exchange.respond(messages.json_response(404, {}))

    def _load_response(self) -> messages.Response:
        counts = {
            "running": self.load.running,
            "max_running_cold": self.load.max_running_cold,
            "overloads": self.load.overloads,
            "cache_hits": self.cache.hits,
            "cache_lookups": self.cache.lookups,
        }
        return messages.json_response(200, counts)

    async def _apply_order(
        self, request: messages.Request
    ) -> messages.Response:
        order = engine_orders.decode_order(request.body)
        now = clock.monotonic()
        is_applied = await self.orders.apply(order, now)
        if is_applied:
            self._recorder.write(
                records.OrderApplied(
                    now, self.settings.instance, order, self.load.running
                )
            )
        return messages.json_response(
            200 if is_applied else 409, self._engine_state()
        )

    def _progress_response(
        self, request: messages.Request
    ) -> messages.Response:
        path = request.path.removeprefix(REQUESTS_PATH_PREFIX)
        request_id, _, action = path.partition("/")
        if action == "cancel":
            self.generator.cancel(request_id)
        progress = msgspec.structs.replace(
            self.generator.progress(request_id),
            failed=self.orders.phase is orders.Phase.FAILED,
        )
        return messages.json_response(200, progress)

    def _engine_state(self) -> orders.EngineState:
        step_seconds = (
            self.settings.token_seconds * self.generator.faults.slow_factor
        )
        load = self.load.reported_load(clock.monotonic())
        state = self.orders.report_state(load.running, step_seconds)
        return msgspec.structs.replace(state, waiting=load.waiting)

    async def _handle_completion(self, exchange: server.Exchange) -> None:
        phase = self.orders.phase
        if phase not in engine_orders.SERVING_PHASES:
            refusal = messages.json_response(503, {"error": phase.value})
            await exchange.respond(generation.echo_id(exchange, refusal))
            return
        is_cold = phase is orders.Phase.COLD
        overloads = self.load.overloads
        if is_cold:
            self._record_cold_start_load()
        try:
            async with self.load.acquire_slot(
                is_cold, self.settings.cold_limit
            ):
                await self._probe_members()
                await self._run_request(exchange)
        finally:
            if self.load.overloads > overloads:
                self.orders.phase = orders.Phase.FAILED

    async def _run_request(self, exchange: server.Exchange) -> None:
        request = exchange.request
        deadline_text = request.headers.get(DEADLINE_HEADER)
        timeout = (
            float(deadline_text) if deadline_text else DEFAULT_DEADLINE_SECONDS
        )
        load_headers = self.load.headers(clock.monotonic())
        exchange.extra_headers.extend(load_headers)
        self._record_start(request)
        try:
            async with curio.timeout_after(timeout):
                await self._prefill(request.body)
                await self.generator.write_answer(exchange)
        except curio.TaskTimeout as error:
            raise ConnectionResetError("request deadline exceeded") from error
        finally:
            self._record_end(exchange)

    def _record_cold_start_load(self) -> None:
        self._recorder.write(
            records.ColdStartLoad(
                clock.monotonic(),
                self.settings.instance,
                self.load.running + self.load.waiting + 1,
                self.settings.cold_limit,
            )
        )

    def _record_start(self, request: messages.Request) -> None:
        call = msgspec.json.decode(
            request.body, type=generation.CompletionRequest
        )
        order = self.orders.order
        self._recorder.write(
            records.RequestStarted(
                clock.monotonic(),
                self.settings.instance,
                request.headers.get(generation.REQUEST_ID_HEADER) or "",
                marker=generation.request_marker(call),
                group=order.group if order else "",
                epoch=self.orders.epoch,
                members=order.members if order else [],
            )
        )

    def _record_end(self, exchange: server.Exchange) -> None:
        headers = exchange.request.headers
        self._recorder.write(
            records.RequestEnded(
                clock.monotonic(),
                self.settings.instance,
                headers.get(generation.REQUEST_ID_HEADER) or "",
                exchange.finished,
            )
        )

    async def _prefill(self, body: bytes) -> None:
        settings = self.settings
        missing = self.cache.store_prompt(body)
        seconds = missing * settings.prefill_block_seconds
        if self.orders.phase is orders.Phase.COLD:
            seconds += (settings.cold_factor - 1) * (
                settings.first_token_seconds
            )
        await curio.sleep(seconds)

    async def _probe_members(self) -> None:
        order = self.orders.order
        if order is None:
            return
        for address in order.members[1:]:
            probe = messages.Request("GET", "/v1/state")
            await self._pool.call(
                messages.parse_address(address),
                probe,
                MEMBER_PROBE_TIMEOUT_SECONDS,
            )
