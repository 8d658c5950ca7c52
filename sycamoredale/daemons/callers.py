"""Serve the interface of callers."""

import collections.abc
import dataclasses

from sycamoredale.admission import admission
from sycamoredale.admission import organisations
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.requests import call as call_module
from sycamoredale.requests import dispatch

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]
Health = collections.abc.Callable[[], messages.Response]


@dataclasses.dataclass
class CallerService:
    """Authenticate, admit and run each call."""

    configuration: CurrentConfiguration
    health: Health
    admission: admission.Admission
    dispatcher: dispatch.Dispatcher

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request of a caller; raise Refusal."""
        if exchange.request.path == "/healthz":
            await exchange.respond(self.health())
            return
        configuration = self.configuration()
        organisation = organisations.authenticate(
            configuration.organisations,
            exchange.request.headers.get("Authorization"),
        )
        call = call_module.read(exchange.request, organisation, configuration)
        async with self.admission.admitted(call, clock.monotonic()):
            await self.dispatcher.run(call, exchange)
