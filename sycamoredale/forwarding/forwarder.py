"""Forward a call to an endpoint and relay the answer, both unchanged.

A request is resent only if it certainly has not run, or if its route allows
another run.  A resumable stream continues on another endpoint after the last
event that the caller has received, within the same answer.  A stalled
endpoint is abandoned before its connection fails, once another one has taken
its stream over.
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
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import retry_budget
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import sends
from sycamoredale.forwarding import stall_detection
from sycamoredale.forwarding import stop_plan as stop_plan_module
from sycamoredale.forwarding import takeover as takeover_module
from sycamoredale.forwarding import wire_protocol
from sycamoredale.http import caller_disconnect
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.links import connector as connector_module
from sycamoredale.links import monitor as link_monitor
from sycamoredale import loop_delays
from sycamoredale.observability import logs
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

# Returns how a send ended, or None if it goes on.
Step = collections.abc.Callable[
    [], collections.abc.Awaitable[sends.Outcome | None]
]


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
    delays: loop_delays.LoopDelays = dataclasses.field(
        default_factory=loop_delays.LoopDelays
    )
    measures_pace: collections.abc.Callable[[], bool] = lambda: False

    def __post_init__(self) -> None:
        """Build the relay of answers and the pool of connections."""
        self._answer_relay = answer_relay.AnswerRelay(
            self.wire,
            stall_detection.StallDetector(self.connector.monitor, self.delays),
            self.selector.instances,
            self.held_answers,
            self.measures_pace,
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

    def _check_parts(
        self,
        progress: progress_module.CallProgress,
        is_takeover: bool = False,
    ) -> None:
        """Raise Refusal if a part of the prompt may not be sent now."""
        trial_part = progress.trial_part
        if is_takeover or progress.delivered_count:
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
        begun: sends.Send | None = None
        while True:
            try:
                if begun is None:
                    self._check_parts(progress)
                    endpoint = await self._select(progress, exchange)
                    begun = self._begin_send(endpoint, progress)
                outcome, begun = await self._send(begun, progress, exchange)
            except errors.Refusal:
                if not progress.may_have_run:
                    raise
                # The refusal says that the request has not run; it may have.
                break
            if outcome is sends.Outcome.ANSWERED:
                return
            if begun is not None:
                continue
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
        if progress.has_retry or not progress.delivered_count:
            progress.has_retry = False
            return True
        return self._withdraw_from_budget(progress, clock.monotonic())

    def _withdraw_from_budget(
        self, progress: progress_module.CallProgress, now: clock.MonotonicTime
    ) -> bool:
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

    def _begin_send(
        self,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        stream: event_stream.EventStream | None = None,
    ) -> sends.Send:
        load = endpoint.load(clock.monotonic())
        progress.endpoint_loads.append(round(load, 1))
        progress.open_count += 1
        return sends.begin(endpoint, stream or progress.stream)

    async def _send(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> tuple[sends.Outcome, sends.Send | None]:
        """Return how a send ended, and the one that goes on with the call.

        A send that has begun elsewhere is already connected.
        """
        takeover = takeover_module.Takeover(
            lambda: self._may_leave(send, progress, clock.monotonic()),
            lambda: self._begin_elsewhere(send, progress),
            lambda begun: self._give_up(begun, progress),
            progress.may_run_once_more,
        )
        progress.begin_send(send)

        async def relay() -> sends.Outcome:
            if send.connection is None:
                outcome = await self._open(send, progress)
                if outcome is not None:
                    return outcome
            return await self._relay_answer(send, progress, exchange, takeover)

        try:
            outcome = await self._run(send, progress, relay)
            progress.end_send()
            assert outcome is not None
            progress.record_outcome(send.endpoint, outcome, send.relayed_by)
            if outcome is sends.Outcome.ANSWERED:
                self.selector.record_answered(send.endpoint)
                return outcome, None
            begun = await takeover.take()
            if begun is not None:
                begun.first_events = begun.stream.follow(
                    send.stream, begun.first_events
                )
            return outcome, begun
        finally:
            if takeover.is_active:
                await takeover.drop()

    async def _begin_elsewhere(
        self, silent: sends.Send, progress: progress_module.CallProgress
    ) -> sends.Send | None:
        """Return a send that continues a stream, None if there is none.

        It has read its first event, and its connection stays open.
        """
        call = progress.call
        now = clock.monotonic()
        excluded = progress.tried_ids | {silent.endpoint.id}
        try:
            endpoint = self.selector.select(call, excluded, now, True)
        except errors.Refusal:
            return None
        send = self._begin_send(
            endpoint, progress, silent.stream.continuation()
        )

        async def begin() -> sends.Outcome | None:
            outcome = await self._open(send, progress, is_takeover=True)
            if outcome is not None:
                return outcome
            assert send.connection is not None
            return await self._answer_relay.begin_elsewhere(
                send.connection,
                send,
                progress,
                takeover_module.GiveUp(
                    lambda: self._may_leave(
                        send, progress, clock.monotonic(), {silent.endpoint.id}
                    )
                ),
            )

        outcome: sends.Outcome | None = sends.Outcome.GIVEN_UP
        try:
            outcome = await self._run(send, progress, begin)
        except errors.Refusal:
            outcome = sends.Outcome.UNREACHED
        except Exception:
            LOG.exception("takeover_failed", request=call.id)
        finally:
            if outcome is not None:
                if not send.is_sent and outcome not in sends.UNRUN:
                    outcome = sends.Outcome.UNREACHED
                progress.record_outcome(
                    endpoint, outcome, send.relayed_by, is_takeover=True
                )
        return send if outcome is None else None

    async def _give_up(
        self, send: sends.Send, progress: progress_module.CallProgress
    ) -> None:
        """Close a send that has begun elsewhere and is not needed."""
        await self._end_send(send, progress, False)
        progress.record_outcome(
            send.endpoint,
            sends.Outcome.GIVEN_UP,
            send.relayed_by,
            is_takeover=True,
        )

    async def _run(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        step: Step,
    ) -> sends.Outcome | None:
        """Run a step of a send; return how it ended, None if it goes on."""
        outcome: sends.Outcome | None = sends.Outcome.GIVEN_UP
        ran_alone = False
        try:
            outcome = await self._classify(send, progress, step)
        finally:
            if outcome is not None:
                ran_alone = send.active_request.ran_alone
                is_reusable = outcome in (
                    sends.Outcome.ANSWERED,
                    sends.Outcome.NOT_RUN,
                )
                await self._end_send(send, progress, is_reusable)
        if outcome is sends.Outcome.BROKEN:
            await self._crash_counter.record_broken(
                progress.call, send.endpoint, ran_alone
            )
        elif outcome is not None:
            self._record_answered(progress, outcome, clock.monotonic())
        return outcome

    async def _end_send(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        is_reusable: bool,
    ) -> None:
        connection, send.connection = send.connection, None
        try:
            if connection is None:
                return
            self.selector.record_bytes(
                send.endpoint, connection.take_byte_count()
            )
            if is_reusable:
                max_idle = self._max_idle(progress.call)
                await self._pool.release(connection, max_idle)
            else:
                await connection.close()
        finally:
            send.release()

    async def _classify(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        step: Step,
    ) -> sends.Outcome | None:
        """Return the outcome of a step, also if it fails."""
        endpoint = send.endpoint
        try:
            return await step()
        except errors.EndpointStalled as error:
            outcome = sends.Outcome.STALLED
            reason = error.message
        except errors.AnswerNotHeld as error:
            outcome, reason = sends.Outcome.GIVEN_UP, error.message
        except errors.ConnectionBroken as error:
            outcome, reason = sends.Outcome.BROKEN, error.message
        connection = send.connection
        if send.stream is progress.stream and connection is not None:
            ended_here = (
                outcome is not sends.Outcome.BROKEN or connection.is_aborted
            )
            progress.record_left(
                connection.unread_bytes() if ended_here else None
            )
        send_log.log_failed_send(progress, endpoint, reason)
        return outcome

    def _record_answered(
        self,
        progress: progress_module.CallProgress,
        outcome: sends.Outcome,
        now: clock.MonotonicTime,
    ) -> None:
        """Let an answer speak for the request and the parts of its prompt."""
        call = progress.call
        if outcome is sends.Outcome.ANSWERED:
            self.poison_detector.record_answer(call.fingerprint, now)
        if progress.has_success:
            self.parts.quarantine.record_answer(call.part_keys, now)

    async def _open(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        is_takeover: bool = False,
    ) -> sends.Outcome | None:
        """Connect and send the request; return why that failed, if it did."""
        call, endpoint = progress.call, send.endpoint
        try:
            connection = await self._connect(endpoint, call)
        except errors.NoRelayAvailable as error:
            send_log.log_failed_send(progress, endpoint, error.message)
            return sends.Outcome.UNREACHED
        except errors.NoSocketAvailable as error:
            # No other endpoint could be reached either.
            send_log.log_failed_send(progress, endpoint, error.message)
            raise progress_module.local_refusal(progress, error) from error
        except errors.ConnectionFailed as error:
            endpoint.suspect(clock.monotonic(), UNREACHABLE_SUSPECT_SECONDS)
            send_log.log_failed_send(progress, endpoint, error.message)
            return sends.Outcome.UNREACHED
        send.connection = connection
        send.relayed_by = connection.relayed_by
        if not connection.is_usable():
            send_log.log_failed_send(
                progress, endpoint, "a new connection was reset"
            )
            return sends.Outcome.UNREACHED
        if not self.selector.endpoint_table.is_current(endpoint):
            send_log.log_failed_send(
                progress, endpoint, "it no longer accepts requests"
            )
            return sends.Outcome.WITHDRAWN
        self._check_parts(progress, is_takeover)
        now = clock.monotonic()
        if is_takeover and not self._withdraw_from_budget(progress, now):
            return sends.Outcome.WITHDRAWN
        self.selector.record_send(endpoint, now)
        progress.queue_priority = send.begin_queueing(
            call, is_takeover or bool(progress.sends), now
        )
        request = self.wire.request_for(
            call,
            endpoint.instance,
            call.deadline - now,
            send.stream.last_event_id,
            progress.queue_priority,
        )
        send.is_sent = progress.is_sent = True
        await connection.send(request)
        return None

    async def _relay_answer(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        takeover: takeover_module.Takeover,
    ) -> sends.Outcome:
        call, connection = progress.call, send.connection
        assert connection is not None
        relaying = self._answer_relay.relay(
            connection, send, progress, exchange, takeover
        )
        if call.is_stream or not call.route.may_retry:
            # A stream goes on elsewhere before its connection is given up.
            # Without retries, the answer is lost for good with it.
            return await relaying
        with self.connector.interrupted_if_silent(
            connection,
            lambda: self._take_retry(send, progress, clock.monotonic()),
        ):
            return await relaying

    def _may_leave(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        now: clock.MonotonicTime,
        beside: collections.abc.Set[ids.InstanceId] = frozenset(),
    ) -> bool:
        """Return whether a call can go on elsewhere beside this send.

        Another endpoint may run it, and is at work.
        """
        call = progress.call
        return (
            progress.may_resend_beside()
            and self.stop_plan.may_begin(call.route, now)
            and self.budget.usage(call.service.name, now).allows_retry
            and self.parts.find_blocking(call.part_keys) is None
            and not self.poison_detector.is_poison(call.fingerprint, now)
            and self.selector.has_working_endpoint(
                call,
                progress.tried_ids | {send.endpoint.id} | beside,
                now,
            )
        )

    def _take_retry(
        self,
        send: sends.Send,
        progress: progress_module.CallProgress,
        now: clock.MonotonicTime,
    ) -> bool:
        """Return whether a call may leave, with a retry taken for it."""
        progress.has_retry = progress.has_retry or (
            self._may_leave(send, progress, now)
            and self._withdraw_from_budget(progress, now)
        )
        return progress.has_retry

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

    def _max_idle(self, call: calls.Call) -> int:
        """Return how many idle connections to one endpoint to keep."""
        share = MAX_IDLE_SHARE * call.service.max_connections
        return int(share / max(1, self.count_daemons()))
