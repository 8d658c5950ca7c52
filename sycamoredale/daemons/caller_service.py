"""Serve the HTTP interface for callers."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale.admission import admission_controller
from sycamoredale.admission import authentication
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.membership import freshness
from sycamoredale.observability import request_observer
from sycamoredale.requests import at_most_once
from sycamoredale.requests import call as call_module
from sycamoredale.requests import dispatch

GetConfiguration = collections.abc.Callable[[], config_model.Configuration]
GetStanding = collections.abc.Callable[
    [clock.MonotonicTime], freshness.Standing
]
IsReady = collections.abc.Callable[[], bool]
HEALTH_PATH: Final = "/healthz"
GetHealth = collections.abc.Callable[[], messages.Response]
ISOLATED_RETRY_AFTER_SECONDS: Final = 1.0
NOT_READY_RETRY_AFTER_SECONDS: Final = 1.0


@dataclasses.dataclass
class CallerService:
    """Authenticate, admit and dispatch the requests of callers."""

    get_configuration: GetConfiguration
    get_health: GetHealth
    admission: admission_controller.AdmissionController
    dispatcher: dispatch.Dispatcher
    at_most_once: at_most_once.AtMostOnceRunner
    observer: request_observer.RequestObserver = dataclasses.field(
        default_factory=request_observer.RequestObserver
    )
    is_ready: IsReady = lambda: True
    get_standing: GetStanding = lambda now: freshness.Standing.FRESH

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request; raise Refusal if it is not admitted."""
        try:
            await self._handle(exchange, clock.monotonic())
        except errors.SycamoredaleError as error:
            self.observer.record_refusal(error.code.name)
            raise

    async def _handle(
        self, exchange: server.Exchange, started: clock.MonotonicTime
    ) -> None:
        request = exchange.request
        caller_id = call_module.caller_request_id(request)
        if caller_id is not None:
            exchange.extra_headers.append(
                (call_module.CALLER_REQUEST_ID_HEADER, caller_id)
            )
        if request.path == HEALTH_PATH:
            await exchange.respond(self.get_health())
            return
        self._refuse_when_not_ready()
        configuration = self.get_configuration()
        organisation = authentication.authenticate(
            configuration.organisations, request.headers.get("Authorization")
        )
        request_id = ids.RequestId(exchange.request_id)
        call = call_module.parse(
            request, organisation, configuration, request_id
        )
        self._refuse_when_isolated(clock.monotonic())
        if call.idempotent:
            async with self.admission.admit(call, started) as admitted_call:
                await self.dispatcher.run(admitted_call, exchange)
        else:
            # The recorded result of an idempotency key is returned even if
            # no new request would be admitted.
            await self.at_most_once.run(call, exchange)
        self.observer.record_answer(
            call, started, exchange.first_byte_at, clock.monotonic()
        )

    def _refuse_when_not_ready(self) -> None:
        if not self.is_ready():
            raise errors.Refusal(
                error_codes.NOT_READY,
                "this router has read no configuration yet; another router "
                "may accept the request",
                retry_after=NOT_READY_RETRY_AFTER_SECONDS,
            )

    def _refuse_when_isolated(self, now: clock.MonotonicTime) -> None:
        if self.get_standing(now) is freshness.Standing.ISOLATED:
            raise errors.Refusal(
                error_codes.ISOLATED,
                "this router reaches neither the object API nor enough "
                "peers; another router may accept the request",
                retry_after=ISOLATED_RETRY_AFTER_SECONDS,
            )
