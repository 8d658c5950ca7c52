"""Send a call to an endpoint and return the response to the caller.

An idempotent call is retried on another endpoint when one fails, and a stream
is resumed after the last token that the caller received.  Any other call is
tried on another endpoint only if the first one did not run it;
`at_most_once` ensures that no second call with its idempotency key runs.
"""

import dataclasses
from typing import Final

import curio

from sycamoredale.admission import retry_budget
from sycamoredale import clock
from sycamoredale.engines import completions
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import caller_disconnect
from sycamoredale.http import client
from sycamoredale.http import error_responses
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.links import monitor as link_monitor
from sycamoredale.observability import logs
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import attempt_history
from sycamoredale.requests import call as call_module
from sycamoredale.requests import chat_parts
from sycamoredale.requests import liveness
from sycamoredale.requests import part_admission
from sycamoredale.requests import part_evidence
from sycamoredale.requests import poison
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import table

CAPACITY_WAIT_SECONDS: Final = 5.0
CAPACITY_POLL_SECONDS: Final = 0.02
LOG: Final = logs.get("requests.dispatch")


@dataclasses.dataclass
class Dispatcher:
    """Run calls on the endpoints that a selector returns."""

    selector: endpoint_selection.EndpointSelector
    pool: client.Pool
    poison_detector: poison.PoisonDetector = dataclasses.field(
        default_factory=poison.PoisonDetector
    )
    retries: retry_budget.RetryBudget = dataclasses.field(
        default_factory=retry_budget.RetryBudget
    )
    parts: part_admission.PartAdmission = dataclasses.field(
        default_factory=part_admission.PartAdmission
    )
    links: link_monitor.LinkMonitor | None = None

    def __post_init__(self) -> None:
        """Build the client of engines and the liveness monitor."""
        self.engines = completions.CompletionClient(self.pool)
        self.liveness_monitor = liveness.LivenessMonitor(
            self.pool, self.engines
        )

    async def run(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        """Write the complete response to an idempotent call; raise Refusal."""
        now = clock.monotonic()
        self.poison_detector.check(call, now)
        part_keys = chat_parts.part_keys(call)
        history = attempt_history.AttemptHistory(
            call,
            part_keys=part_keys,
            trial_part=await self.parts.admit(part_keys, now),
        )
        try:
            async with curio.timeout_after(call.deadline_seconds):
                await caller_disconnect.run_while_connected(
                    self._run_attempts, history, exchange
                )
        except curio.TaskTimeout:
            await _refuse_or_end_stream(
                exchange, deadline_refusal(call, history.execution)
            )
        except errors.Refusal as refusal:
            await _refuse_or_end_stream(exchange, refusal)
        except caller_disconnect.CallerDisconnected:
            LOG.info("caller_gone", request=call.id)

    async def run_at_most_once(
        self,
        history: attempt_history.AttemptHistory,
        dispatch_before: clock.MonotonicTime | None = None,
    ) -> messages.Response:
        """Return the response to a call that runs at most once.

        Raises Refusal.  `history.execution` is UNKNOWN during an attempt,
        and NOT_RUN again if the endpoint cannot have run the request.
        """
        call = history.call
        await self._wait_for_capacity(call)
        while history.may_attempt():
            endpoint = self._select_next(history)
            if endpoint is None:
                break
            attempt = attempt_module.Attempt(
                call,
                endpoint,
                call.upstream,
                dispatch_before=dispatch_before,
                selector=self.selector,
                links=self.links,
            )
            history.execution = error_codes.Execution.UNKNOWN
            self.liveness_monitor.add(attempt, clock.monotonic())
            try:
                response = await attempt_module.fetch(attempt, self.pool)
                self.poison_detector.record_answer_to(call, clock.monotonic())
                return response
            except errors.ConnectionFailed as error:
                self._log_failure(attempt, error)
            except errors.ConnectionBroken as error:
                self._log_failure(attempt, error)
                await self._record_crash(attempt, history)
                break
            finally:
                self.liveness_monitor.remove(attempt)
                if not attempt.sent:
                    history.execution = error_codes.Execution.NOT_RUN
        raise history.refusal()

    async def _run_attempts(
        self,
        history: attempt_history.AttemptHistory,
        exchange: server.Exchange,
    ) -> None:
        stream = completions.ResumableStream()
        self.retries.deposit(history.call.service.name)
        while history.may_attempt():
            self._check_parts(history)
            if not self._may_retry(history, exchange):
                break
            endpoint = await self._select_or_wait(history, exchange)
            if endpoint is None:
                break
            attempt = attempt_module.Attempt(
                history.call,
                endpoint,
                stream.build_resume_request(history.call.upstream),
                selector=self.selector,
                links=self.links,
            )
            if await self._run_attempt(attempt, history, stream, exchange):
                return
            stream.discard_partial_event()
        raise history.refusal()

    async def _run_attempt(
        self,
        attempt: attempt_module.Attempt,
        history: attempt_history.AttemptHistory,
        stream: completions.ResumableStream,
        exchange: server.Exchange,
    ) -> bool:
        self.liveness_monitor.add(attempt, clock.monotonic())
        try:
            if history.call.stream:
                await attempt_module.relay_stream(
                    attempt, self.pool, stream, exchange
                )
            else:
                response = await attempt_module.fetch(attempt, self.pool)
                self.liveness_monitor.remove(attempt)
                await exchange.respond(response)
            now = clock.monotonic()
            self.parts.quarantine.record_answer(history.part_keys, now)
            self.poison_detector.record_answer_to(history.call, now)
            return True
        except errors.ConnectionFailed as error:
            self._log_failure(attempt, error)
            history.lost.add(attempt.endpoint.id)
        except errors.ConnectionBroken as error:
            self._log_failure(attempt, error)
            await self._record_crash(attempt, history)
        except (curio.CancelledError, caller_disconnect.CallerDisconnected):
            await self._cancel(attempt)
            raise
        finally:
            self.liveness_monitor.remove(attempt)
            if attempt.sent:
                history.execution = error_codes.Execution.UNKNOWN
        return False

    async def _wait_for_capacity(self, call: call_module.Call) -> None:
        async with curio.ignore_after(CAPACITY_WAIT_SECONDS):
            while not self.selector.has_free_capacity(
                call, 0, clock.monotonic()
            ):
                await curio.sleep(CAPACITY_POLL_SECONDS)

    def _may_retry(
        self,
        history: attempt_history.AttemptHistory,
        exchange: server.Exchange,
    ) -> bool:
        if history.execution is error_codes.Execution.NOT_RUN:
            return True
        return exchange.started or self.retries.try_withdraw(
            history.call.service.name
        )

    async def _select_or_wait(
        self,
        history: attempt_history.AttemptHistory,
        exchange: server.Exchange,
    ) -> table.Endpoint | None:
        """Return an endpoint; wait for one if the response has started.

        When an endpoint is lost, the others may be at capacity for a short
        time.  For a caller that has part of its response, waiting for the
        rest is better than an error.
        """
        endpoint = self._select_next(history)
        if endpoint is not None or not exchange.started:
            return endpoint
        async with curio.ignore_after(CAPACITY_WAIT_SECONDS):
            while endpoint is None:
                await curio.sleep(CAPACITY_POLL_SECONDS)
                endpoint = self._select_endpoint(history)
        return endpoint

    def _select_next(
        self, history: attempt_history.AttemptHistory
    ) -> table.Endpoint | None:
        """Count an attempt and return its endpoint, None if there is none."""
        history.attempts += 1
        return self._select_endpoint(history)

    def _select_endpoint(
        self, history: attempt_history.AttemptHistory
    ) -> table.Endpoint | None:
        for excluded in history.excluded_sets():
            endpoint = self.selector.select(
                history.call, excluded, clock.monotonic()
            )
            if endpoint is not None:
                history.tried.add(endpoint.id)
                return endpoint
        return None

    async def _record_crash(
        self,
        attempt: attempt_module.Attempt,
        history: attempt_history.AttemptHistory,
    ) -> None:
        if not await liveness.is_endpoint_lost(attempt, self.engines):
            await self._cancel(attempt)
            return
        history.lost.add(attempt.endpoint.id)
        if attempt.abort_reason is not None:
            return  # A pause or a partition, not necessarily a crash.
        history.crashes += 1
        crash = poison.Crash(
            poison.fingerprint_of(attempt.call),
            attempt.endpoint.id,
            attempt.endpoint.domain,
            alone=attempt.active_request is not None
            and attempt.active_request.ran_alone,
            started_ms=attempt.endpoint.epoch,
        )
        now = clock.monotonic()
        history.poisoned = self.poison_detector.record_crash(crash, now)
        if history.part_keys:
            self._record_part_loss(attempt, history, now)
        LOG.info(
            "crash_counted",
            request=attempt.call.id,
            endpoint=crash.endpoint,
            alone=crash.alone,
            score=self.poison_detector.score(crash.fingerprint, now),
            poisoned=history.poisoned,
        )

    def _record_part_loss(
        self,
        attempt: attempt_module.Attempt,
        history: attempt_history.AttemptHistory,
        now: clock.MonotonicTime,
    ) -> None:
        endpoint = attempt.endpoint
        self.parts.quarantine.record_loss(
            history.part_keys,
            part_evidence.incarnation_key(
                ids.InstanceId(endpoint.id), endpoint.epoch
            ),
            attempt.call.id,
            now,
            endpoint.domain,
        )

    def _check_parts(self, history: attempt_history.AttemptHistory) -> None:
        """Raise Refusal if a part of the prompt may not be sent now."""
        trial_part = None if history.crashes else history.trial_part
        part = self.parts.find_blocking(history.part_keys, trial_part)
        if part is None:
            return
        if history.execution is error_codes.Execution.NOT_RUN:
            raise self.parts.quarantine.refusal(
                part, history.execution, clock.monotonic()
            )
        raise poison.refusal(history.crashes, history.execution)

    async def _cancel(self, attempt: attempt_module.Attempt) -> None:
        # The close of the connection does not reach the engine if the
        # network path is broken, so a cancel request is sent over a new
        # connection as well.
        if attempt.sent and attempt.call.is_model:
            await curio.spawn(self._cancel_in_background, attempt, daemon=True)

    async def _cancel_in_background(
        self, attempt: attempt_module.Attempt
    ) -> None:
        try:
            await self.engines.cancel(
                attempt.endpoint.address, attempt.call.id
            )
        except (errors.ConnectionFailed, errors.ConnectionBroken) as error:
            LOG.info("cancel_failed", reason=error.message)

    def _log_failure(
        self,
        attempt: attempt_module.Attempt,
        error: errors.SycamoredaleError,
    ) -> None:
        LOG.info(
            "attempt_failed",
            request=attempt.call.id,
            endpoint=attempt.endpoint.id,
            sent=attempt.sent,
            reason=attempt.abort_reason or error.message,
        )


def deadline_refusal(
    call: call_module.Call, execution: error_codes.Execution
) -> errors.Refusal:
    """Return the refusal of a call that exceeded its deadline."""
    return errors.Refusal(
        error_codes.DEADLINE_EXCEEDED,
        f"the deadline of {call.deadline_seconds:g} s was exceeded",
        execution,
    )


async def _refuse_or_end_stream(
    exchange: server.Exchange, refusal: errors.Refusal
) -> None:
    """Refuse a call, or end its stream with an error event.

    Without the event, callers could take the stream for complete.
    """
    if not exchange.started:
        raise refusal
    LOG.info(
        "stream_ended_with_error",
        request=exchange.request_id,
        code=refusal.code.name,
    )
    if exchange.intact and not exchange.finished:
        body = error_responses.error_body(refusal)
        await exchange.write(completions.error_event(body))
