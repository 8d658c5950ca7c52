"""Serve the interface of callers."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale.admission import admission
from sycamoredale.admission import organisations
from sycamoredale import clock
from sycamoredale.config import model as config_model
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.membership import freshness
from sycamoredale.requests import call as call_module
from sycamoredale.requests import dispatch

CurrentConfiguration = collections.abc.Callable[[], config_model.Configuration]
CurrentStanding = collections.abc.Callable[
    [clock.MonotonicTime], freshness.Standing
]
Health = collections.abc.Callable[[], messages.Response]
ISOLATED_RETRY_SECONDS: Final = 1.0


@dataclasses.dataclass
class CallerService:
    """Authenticate, admit and run each call."""

    configuration: CurrentConfiguration
    health: Health
    admission: admission.Admission
    dispatcher: dispatch.Dispatcher
    standing: CurrentStanding = lambda now: freshness.Standing.FRESH

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
        self._refuse_when_isolated(clock.monotonic())
        async with self.admission.admitted(call, clock.monotonic()):
            await self.dispatcher.run(call, exchange)

    def _refuse_when_isolated(self, now: clock.MonotonicTime) -> None:
        if self.standing(now) is freshness.Standing.ISOLATED:
            raise errors.Refusal(
                error_codes.ISOLATED,
                "this router hears neither the object API nor enough "
                "peers; another router may take the request",
                retry_after=ISOLATED_RETRY_SECONDS,
            )
