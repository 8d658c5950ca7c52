"""Serve the interface of callers."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale.admission import admission
from sycamoredale.admission import organisations
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.requests import call as call_module
from sycamoredale.requests import dispatch
from sycamoredale.requests import once

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]
HEALTH_PATH: Final = "/healthz"
Health = collections.abc.Callable[[], messages.Response]


@dataclasses.dataclass
class CallerService:
    """Authenticate, admit and run each call."""

    configuration: CurrentConfiguration
    health: Health
    admission: admission.Admission
    dispatcher: dispatch.Dispatcher
    once: once.OnceRunner

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request of a caller; raise Refusal."""
        request = exchange.request
        caller_id = call_module.caller_request_id(request)
        if caller_id is not None:
            exchange.answer_fields.append(
                (call_module.CALLER_REQUEST_ID_HEADER, caller_id)
            )
        if request.path == HEALTH_PATH:
            await exchange.respond(self.health())
            return
        configuration = self.configuration()
        organisation = organisations.authenticate(
            configuration.organisations, request.headers.get("Authorization")
        )
        request_id = ids.RequestId(exchange.request_id)
        call = call_module.read(
            request, organisation, configuration, request_id
        )
        if not call.idempotent:
            # What a key came to is told even where no request is admitted.
            await self.once.run(call, exchange)
            return
        async with self.admission.admitted(call, clock.monotonic()):
            await self.dispatcher.run(call, exchange)
