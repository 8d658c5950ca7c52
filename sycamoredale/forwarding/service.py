"""Answer the calls of callers: find the route, forward, account."""

import collections.abc
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import answers
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import forwarder
from sycamoredale.forwarding import route_table
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.observability import logs
from sycamoredale.requests import poison

LOG: Final = logs.get("calls")

ReadEnvelope = collections.abc.Callable[[messages.Request], calls.Envelope]


@dataclasses.dataclass
class CallService:
    """Handle the exchanges of callers and count their calls."""

    read_envelope: ReadEnvelope
    routes: route_table.RouteTable
    forwarder: forwarder.Forwarder
    handled: int = 0

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        now = clock.monotonic()
        try:
            call = self._read(exchange.request, now)
        except errors.Refusal as refusal:
            _log_refused(exchange.request, refusal)
            await exchange.respond(answers.refusal(refusal))
            return
        self.handled += 1
        exchange.request_id = call.id
        try:
            progress = await self.forwarder.run(call, exchange)
            self._log(call, "answered", ",".join(progress.sends))
        except forwarder.CallerGone:
            self._log(call, "caller_gone", "")
        except errors.Refusal as refusal:
            self._log(call, refusal.code.name, refusal.message)
            if not exchange.started:
                await exchange.respond(answers.refusal(refusal))

    def _read(
        self, request: messages.Request, now: clock.MonotonicTime
    ) -> calls.Call:
        envelope = self.read_envelope(request)
        route = self.routes.route_of(envelope, request.path)
        organisation = self.routes.organisation_of(envelope, route)
        service = self.routes.service_of(envelope, route)
        seconds = min(envelope.patience_seconds, route.answer_seconds)
        return calls.Call(
            envelope,
            request,
            route,
            service,
            organisation,
            now,
            clock.MonotonicTime(now + seconds),
            poison.fingerprint_of_content(
                service.name,
                [request.method, request.target, organisation, request.body],
            ),
        )

    def _log(self, call: calls.Call, outcome: str, detail: str) -> None:
        LOG.info(
            "call_ended",
            request=call.id,
            route=call.route.name,
            organisation=call.organisation,
            model=call.envelope.model,
            config=self.routes.current.version,
            seconds=round(clock.monotonic() - call.arrived_at, 3),
            outcome=outcome,
            detail=detail,
        )


def _log_refused(request: messages.Request, refusal: errors.Refusal) -> None:
    LOG.info(
        "call_refused",
        target=request.path,
        code=refusal.code.name,
        reason=refusal.message,
    )
