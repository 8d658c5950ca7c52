"""Forward a call to an endpoint and relay the answer, both unchanged.

A request is resent only if it certainly has not run, or if its route allows
another run.  A resumable stream continues on another endpoint after the last
event that the caller has received, within the same answer.  A stalled
endpoint is abandoned before its connection fails.
"""

import collections.abc
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import answer_relay
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import crash_counting
from sycamoredale.forwarding import endpoint_selection
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import stop_plan as stop_plan_module
from sycamoredale.forwarding import wire_protocol
from sycamoredale.http import caller_disconnect
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import server
from sycamoredale.links import connector as connector_module
from sycamoredale.links import monitor as link_monitor
from sycamoredale.observability import logs
from sycamoredale.requests import active_requests
from sycamoredale.requests import part_admission
from sycamoredale.requests import poison

# A healthy zone accepts a connection in a few milliseconds.
CONNECT_TIMEOUT_SECONDS: Final = connector_module.CONNECT_TIMEOUT_SECONDS
# The instance list drops a dead instance after three heartbeats, which takes
# about this long.  Connection attempts until then only delay the caller.
UNREACHABLE_SUSPECT_SECONDS: Final = 4.0
# An endpoint at its connection limit resets a new connection at once.  The
# reset arrives after one round trip, like the connection itself; between the
# zones of a region that takes some milliseconds.
MIN_RESET_WAIT_SECONDS: Final = 0.001
MAX_RESET_WAIT_SECONDS: Final = 0.02
# Share of an endpoint's connection limit for idle connections.  The rest is
# for calls in progress and for connections of daemons that lost power, which
# the endpoint still has.
MAX_IDLE_SHARE: Final = 0.5
# How long a started answer waits for an endpoint with capacity.  Callers give
# up on a silent stream after about two seconds.
CAPACITY_WAIT_SECONDS: Final = 1.5
CAPACITY_POLL_SECONDS: Final = 0.05
# Each check of an idle connection costs a system call.
IDLE_CHECK_SECONDS: Final = 5.0
LOG: Final = logs.get("forwarding")


@dataclasses.dataclass
class Forwarder:
    """Forward calls to selected endpoints and resend them where allowed."""

    wire: wire_protocol.WireProtocol
    selector: endpoint_selection.EndpointSelector
    budget: retry_budget.RetryBudget
    poison_detector: poison.PoisonDetector
    parts: part_admission.PartAdmission
    connector: connector_module.EndpointConnector
    count_daemons: collections.abc.Callable[[], int] = lambda: 1
    stop_plan: stop_plan_module.StopPlan = dataclasses.field(
        default_factory=stop_plan_module.StopPlan
    )
    held_answers: held_bytes.HeldBytes = dataclasses.field(
        default_factory=held_bytes.HeldBytes
    )

    def __post_init__(self) -> None:
        """Build the relay of answers and the pool of connections."""
        self._answer_relay = answer_relay.AnswerRelay(
            self.wire,
            self.connector.monitor,
            self.selector.instances,
            self.held_answers,
        )
        self._pool = client.Pool(self.connector.open, self.connector.may_reuse)
        self.connector.monitor.on_change.append(self._on_links_changed)
        self._crash_counter = crash_counting.CrashCounter(
            self.connector,
            self.selector.instances,
            self.poison_detector,
            self.parts.quarantine,
        )

    def limit_connections(self, max_open: int) -> None:
        """Set how many connections to endpoints may be open."""
        self._pool.max_open = max_open

    async def close_unusable_connections(self) -> None:
        """Close idle connections to endpoints that carry no request again."""
        while True:
            await self._pool.close_unusable()
            await curio.sleep(IDLE_CHECK_SECONDS)

    def connection_count(self) -> int:
        """Return how many connections to endpoints are open."""
        return self._pool.open_count()

    def _on_links_changed(self, state: link_monitor.LinkState) -> None:
        """Trust endpoints again whose failures were those of own links."""
        if state is link_monitor.LinkState.ISOLATED:
            self.selector.endpoint_table.clear_suspicions()

    async def run(
        self, progress: progress_module.CallProgress, exchange: server.Exchange
    ) -> None:
        """Answer a call; raise Refusal or CallerDisconnected."""
        call = progress.call
        left = call.deadline - clock.monotonic()
        self.poison_detector.check_fingerprint(
            call.fingerprint, call.arrived_at
        )
        try:
            async with curio.timeout_after(max(left, 0.001)):
                await caller_disconnect.run_while_connected(
                    self._run_and_store_errors, progress, exchange
                )
        except curio.TaskTimeout:
            if not exchange.finished:
                raise progress_module.deadline_refusal() from None
        finally:
            progress.release()
        if progress.caller_gone:
            raise caller_disconnect.CallerDisconnected()
        if progress.refusal is not None:
            raise progress.refusal

    def _check_parts(self, progress: progress_module.CallProgress) -> None:
        """Raise Refusal if a part of the prompt may not be sent now."""
        trial_part = progress.trial_part
        if progress.delivered_count:
            trial_part = None
        part = self.parts.find_blocking(progress.call.part_keys, trial_part)
        if part is None:
            return
        if progress.may_have_run:
            raise progress_module.unanswered_refusal(progress)
        raise self.parts.quarantine.refusal(
            part, error_codes.Execution.NOT_RUN, clock.monotonic()
        )

    async def _run_and_store_errors(
        self, progress: progress_module.CallProgress, exchange: server.Exchange
    ) -> None:
        # curio logs a task that ends with an exception as crashed.
        call = progress.call
        try:
            # May ask the store, so the deadline and the caller count.
            progress.trial_part = await self.parts.admit(
                call.part_keys, call.arrived_at
            )
            self.budget.record_request(call.service.name, call.arrived_at)
            await self._send_until_answered(progress, exchange)
        except errors.Refusal as refusal:
            progress.refusal = refusal
        except caller_disconnect.CallerDisconnected:
            progress.caller_gone = True
        except Exception:
            LOG.exception("forwarding_failed", request=call.id)
            progress.refusal = progress_module.internal_refusal(progress)

    async def _send_until_answered(
        self, progress: progress_module.CallProgress, exchange: server.Exchange
    ) -> None:
        while True:
            self._check_parts(progress)
            try:
                endpoint = await self._select(progress, exchange)
                outcome = await self._send(endpoint, progress, exchange)
            except errors.Refusal:
                if not progress.may_have_run:
                    raise
                # The refusal says that the request has not run; it may have.
                break
            progress.record_outcome(endpoint, outcome)
            if outcome is progress_module.Outcome.ANSWERED:
                return
            if not self._may_resend(progress):
                break
            if progress.may_have_run:
                self.poison_detector.check_fingerprint(
                    progress.call.fingerprint, clock.monotonic()
                )
            progress.stream.restart()
        if progress.error_answer is not None and not exchange.started:
            await exchange.respond(progress.error_answer)
            return
        raise progress_module.unanswered_refusal(progress)

    def _may_resend(self, progress: progress_module.CallProgress) -> bool:
        """Return whether another send is safe and may begin."""
        route = progress.call.route
        return (
            progress.may_resend()
            and self.stop_plan.may_begin(route, clock.monotonic())
            and self._withdraw_retry(progress)
        )

    def _withdraw_retry(self, progress: progress_module.CallProgress) -> bool:
        """Withdraw a retry from the budget; return whether it was granted.

        A send is a retry only after an earlier one has reached an endpoint.
        """
        if not progress.delivered_count:
            return True
        now = clock.monotonic()
        service = progress.call.service.name
        if self.budget.try_withdraw(service, now):
            return True
        send_log.log_denied_retry(progress, self.budget.usage(service, now))
        return False

    async def _select(
        self, progress: progress_module.CallProgress, exchange: server.Exchange
    ) -> endpoints.Endpoint:
        wait_ends_at = clock.monotonic() + CAPACITY_WAIT_SECONDS
        while True:
            now = clock.monotonic()
            try:
                return self.selector.select(
                    progress.call,
                    progress.tried_ids,
                    now,
                    bool(progress.sends),
                )
            except errors.Refusal:
                # Only a caller that has a part of the answer waits.
                if not exchange.started or now > wait_ends_at:
                    raise
            await curio.sleep(CAPACITY_POLL_SECONDS)

    async def _send(
        self,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> progress_module.Outcome:
        load = endpoint.load(clock.monotonic())
        progress.endpoint_loads.append(round(load, 1))
        active_request = active_requests.start(endpoint)
        progress.current_endpoint = endpoint.id
        try:
            outcome = await self._send_on_connection(
                endpoint, progress, exchange
            )
            if outcome is progress_module.Outcome.BROKEN:
                await self._crash_counter.record_broken(
                    progress.call, endpoint, active_request.ran_alone
                )
            else:
                self._record_answered(progress, outcome, clock.monotonic())
            return outcome
        finally:
            active_request.finish()

    def _record_answered(
        self,
        progress: progress_module.CallProgress,
        outcome: progress_module.Outcome,
        now: clock.MonotonicTime,
    ) -> None:
        """Let an answer speak for the request and the parts of its prompt."""
        call = progress.call
        if outcome is progress_module.Outcome.ANSWERED:
            self.poison_detector.record_answer(call.fingerprint, now)
        if progress.has_success:
            self.parts.quarantine.record_answer(call.part_keys, now)

    async def _send_on_connection(
        self,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> progress_module.Outcome:
        call = progress.call
        try:
            connection = await self._connect(endpoint, call)
        except errors.NoRelayAvailable as error:
            send_log.log_failed_send(progress, endpoint, error.message)
            return progress_module.Outcome.UNREACHED
        except errors.NoSocketAvailable as error:
            # No other endpoint could be reached either.
            send_log.log_failed_send(progress, endpoint, error.message)
            raise progress_module.local_refusal(progress, error) from error
        except errors.ConnectionFailed as error:
            endpoint.suspect(clock.monotonic(), UNREACHABLE_SUSPECT_SECONDS)
            send_log.log_failed_send(progress, endpoint, error.message)
            return progress_module.Outcome.UNREACHED
        progress.relayed_by = connection.relayed_by
        if not connection.is_usable():
            await connection.close()
            send_log.log_failed_send(
                progress, endpoint, "a new connection was reset"
            )
            return progress_module.Outcome.UNREACHED
        is_reusable = False
        try:
            if not self.selector.endpoint_table.is_current(endpoint):
                send_log.log_failed_send(
                    progress, endpoint, "it no longer accepts requests"
                )
                return progress_module.Outcome.WITHDRAWN
            self._check_parts(progress)
            now = clock.monotonic()
            self.selector.record_send(endpoint, now)
            request = self.wire.request_for(
                call,
                endpoint.instance,
                call.deadline - now,
                progress.stream.last_event_id,
                progress.begin_queueing(endpoint, now),
            )
            progress.is_sent = True
            await connection.send(request)
            outcome = await self._relay_answer(
                connection, endpoint, progress, exchange
            )
            is_reusable = outcome in (
                progress_module.Outcome.ANSWERED,
                progress_module.Outcome.NOT_RUN,
            )
            return outcome
        except errors.EndpointStalled as error:
            progress.record_left(connection.unread_bytes())
            send_log.log_failed_send(progress, endpoint, error.message)
            return progress_module.Outcome.STALLED
        except errors.AnswerNotHeld as error:
            send_log.log_failed_send(progress, endpoint, error.message)
            return progress_module.Outcome.GIVEN_UP
        except errors.ConnectionBroken as error:
            send_log.log_failed_send(progress, endpoint, error.message)
            return progress_module.Outcome.BROKEN
        finally:
            progress.end_queueing(endpoint)
            await self._release_connection(connection, is_reusable, call)

    async def _relay_answer(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> progress_module.Outcome:
        relaying = self._answer_relay.relay(
            connection,
            endpoint,
            progress,
            exchange,
            lambda: self._may_leave(endpoint, progress, clock.monotonic()),
        )
        if not progress.call.route.may_retry:
            # Its answer is lost for good if the connection is given up.
            return await relaying
        with self.connector.interrupted_if_silent(connection):
            return await relaying

    def _may_leave(
        self,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether a call can go on elsewhere if it leaves now.

        Leaving costs the caller the rest of the answer unless another
        endpoint may run it, and is at work.
        """
        call = progress.call
        return (
            progress.may_resend_after_run()
            and self.stop_plan.may_begin(call.route, now)
            and self.budget.usage(call.service.name, now).allows_retry
            and self.parts.find_blocking(call.part_keys) is None
            and not self.poison_detector.is_poison(call.fingerprint, now)
            and self.selector.has_working_endpoint(
                call, progress.tried_ids | {endpoint.id}, now
            )
        )

    async def _connect(
        self, endpoint: endpoints.Endpoint, call: calls.Call
    ) -> client.Connection:
        """Return a connection to an endpoint; raise ConnectionFailed.

        The endpoint may close an idle connection at any time and reset a
        new one.  A request that is lost in this way looks like one that
        ran.  So a request that must not run twice is sent on a new
        connection, after the time in which a reset would have arrived.
        """
        address = endpoint.instance.address
        if call.route.may_retry:
            return await self._pool.acquire(
                address, connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS
            )
        began = clock.monotonic()
        connection = await self._pool.acquire(
            address,
            new_connection=True,
            connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
        )
        took = clock.monotonic() - began
        reset_wait = min(
            max(took, MIN_RESET_WAIT_SECONDS), MAX_RESET_WAIT_SECONDS
        )
        try:
            await curio.sleep(reset_wait)
        except curio.CancelledError:
            await connection.close()
            raise
        return connection

    async def _release_connection(
        self,
        connection: client.Connection,
        is_reusable: bool,
        call: calls.Call,
    ) -> None:
        if is_reusable:
            await self._pool.release(connection, self._max_idle(call))
        else:
            await connection.close()

    def _max_idle(self, call: calls.Call) -> int:
        """Return how many idle connections to one endpoint to keep."""
        share = MAX_IDLE_SHARE * call.service.max_connections
        return int(share / max(1, self.count_daemons()))
