"""Handle calls: find the route, forward the call, record its result."""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import error_answers
from sycamoredale.forwarding import forwarder
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import route_table
from sycamoredale.http import caller_disconnect
from sycamoredale.http import error_responses
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import loop_delays
from sycamoredale.observability import exposition
from sycamoredale.observability import histograms
from sycamoredale.observability import logs
from sycamoredale.requests import part_evidence
from sycamoredale.requests import poison
from sycamoredale.scheduling import caller_wait

# A daemon that has just started reads its lists within some tenths of a
# second, sooner than a caller would come back.
READY_WAIT_SECONDS: Final = 1.0
READY_POLL_SECONDS: Final = 0.01
# How far back the log of a call reports delays of the event loop.
REPORTED_DELAY_SECONDS: Final = 1.0
LOG: Final = logs.get("calls")

# Returns how many milliseconds ago all changes of each kind were in force.
GetKnownAges = collections.abc.Callable[[clock.MonotonicTime], dict[str, int]]
ReadEnvelope = collections.abc.Callable[[messages.Request], calls.Envelope]


@dataclasses.dataclass
class CallService:
    """Handle the HTTP exchanges of callers.

    `handled_count` counts the calls that were passed to the forwarder.
    Calls that arrive before `is_ready` wait for it for a short time.
    """

    read_envelope: ReadEnvelope
    routes: route_table.RouteTable
    call_forwarder: forwarder.Forwarder
    metrics: exposition.MetricRegistry = dataclasses.field(
        default_factory=exposition.MetricRegistry
    )
    handled_count: int = 0
    is_ready: collections.abc.Callable[[], bool] = lambda: True
    get_known_ages: GetKnownAges = lambda now: {}
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    caller_waits: caller_wait.CallerWaits = dataclasses.field(
        default_factory=caller_wait.CallerWaits
    )

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer one request."""
        now = clock.monotonic()
        envelope: calls.Envelope | None = None
        try:
            envelope = self.read_envelope(exchange.request)
            await self._wait_until_ready(now)
            call = self._build_call(envelope, exchange.request, now)
            if not self.call_forwarder.stop_plan.may_begin(call.route, now):
                raise error_responses.draining()
        except errors.Refusal as refusal:
            self.metrics.count("refusals", refusal.code.name)
            self._log_refused(exchange.request, envelope, refusal)
            await exchange.respond(error_answers.from_error(refusal))
            return
        self.handled_count += 1
        exchange.request_id = call.id
        progress = progress_module.begin(call)
        try:
            await self.call_forwarder.run(progress, exchange)
            self._record_end(progress, exchange, "answered")
            self.call_forwarder.stop_plan.record_answered(
                call.route, clock.monotonic() - now
            )
        except caller_disconnect.CallerDisconnected:
            self._record_end(
                progress,
                exchange,
                "caller_gone",
                exchange.disconnect_reason or "connection still open",
            )
        except server.Stopping:
            await self._refuse(
                progress, exchange, progress_module.stop_refusal(progress)
            )
        except errors.Refusal as refusal:
            await self._refuse(progress, exchange, refusal)

    async def _refuse(
        self,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        refusal: errors.Refusal,
    ) -> None:
        self._record_end(
            progress, exchange, refusal.code.name, refusal.message
        )
        if not exchange.started:
            await exchange.respond(error_answers.from_error(refusal))

    async def _wait_until_ready(self, arrived_at: clock.MonotonicTime) -> None:
        while not self.is_ready():
            if clock.monotonic() - arrived_at >= READY_WAIT_SECONDS:
                return
            await curio.sleep(READY_POLL_SECONDS)

    def _build_call(
        self,
        envelope: calls.Envelope,
        request: messages.Request,
        now: clock.MonotonicTime,
    ) -> calls.Call:
        route = self.routes.find_route(envelope, request.path)
        organisation = self.routes.authenticate(envelope, route)
        service = self.routes.select_service(envelope, route)
        seconds = min(envelope.timeout_seconds, route.timeout_seconds)
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
            tuple(
                part_evidence.part_key(service.name, part)
                for part in envelope.shared_parts
            ),
            self.caller_waits.estimate_seconds(
                route.name,
                envelope.timeout_seconds,
                route.timeout_seconds,
                now,
            ),
            self.routes.urgency_of(route, service, organisation),
            self.routes.estimate_work(envelope, service),
        )

    def _record_end(
        self,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        outcome: str,
        reason: str = "",
    ) -> None:
        call = progress.call
        now = clock.monotonic()
        self.metrics.count("calls", outcome)
        cut = _cut_kind(progress, exchange, outcome)
        if cut is not None:
            self.metrics.count("answers_cut", cut)
        first = exchange.first_byte_at
        if first is not None:
            self._record_time(call, histograms.Measure.FIRST_BYTE, first)
        self._record_time(call, histograms.Measure.TOTAL, now)
        LOG.info(
            "call_ended",
            request=call.id,
            route=call.route.name,
            service=call.service.name,
            organisation=call.organisation,
            model=call.envelope.model,
            config=self.routes.current.version,
            known_ms_ago=self.get_known_ages(now),
            first_ms=first and int(1000 * (first - call.arrived_at)),
            ms=int(1000 * (now - call.arrived_at)),
            pause_ms=int(1000 * progress.longest_pause_seconds),
            missed=_missed_objective(progress, first or now),
            outcome=outcome,
            reason=reason,
            sends=progress.sends,
            loads=progress.endpoint_loads,
            waited_ms=int(1000 * call.waited_seconds),
            urgency=progress.queue_priority and progress.queue_priority.value,
            level=call.urgency and call.urgency.level,
            admitted_level=call.urgency and call.urgency.in_force,
            at=progress.current_endpoint,
            events=progress.stream.event_count,
            cut=cut,
            left_unread=progress.left_unread,
            loop_delay_ms=int(
                1000
                * self.delays.seconds_between(
                    clock.MonotonicTime(now - REPORTED_DELAY_SECONDS), now
                )
            ),
        )

    def _record_time(
        self,
        call: calls.Call,
        measure: histograms.Measure,
        until: clock.MonotonicTime,
    ) -> None:
        seconds = until - call.arrived_at
        self.metrics.time(call.organisation, call.route.name, measure, seconds)

    def _log_refused(
        self,
        request: messages.Request,
        envelope: calls.Envelope | None,
        refusal: errors.Refusal,
    ) -> None:
        LOG.info(
            "call_refused",
            request=envelope.id if envelope else None,
            target=request.path,
            config=self.routes.current.version,
            code=refusal.code.name,
            reason=refusal.message,
        )


def _missed_objective(
    progress: progress_module.CallProgress, first: clock.MonotonicTime
) -> str | None:
    """Return the objective of the route that the call missed, if any."""
    call = progress.call
    if first - call.arrived_at > call.route.objective_seconds:
        return "first_byte"
    if progress.longest_pause_seconds > call.route.max_event_gap_seconds:
        return "pause"
    return None


def _cut_kind(
    progress: progress_module.CallProgress,
    exchange: server.Exchange,
    outcome: str,
) -> str | None:
    """Return why the caller has a part of the answer only, None if not.

    An answer that is cut since its endpoint was left, though the connection
    was whole, is a fault of this daemon.
    """
    if not exchange.started or exchange.finished or outcome == "caller_gone":
        return None
    if outcome == error_codes.ENDPOINT_FAILED.name and progress.was_left:
        return "endpoint_left"
    return outcome
