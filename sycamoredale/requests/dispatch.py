"""Carry one call to an endpoint and its answer back to the caller.

An idempotent call moves on to another endpoint when one fails, and a stream
goes on after the last token that the caller has.  Any other call is sent at
most once; `once` keeps that under an idempotency key.
"""

import dataclasses
from typing import Final

import curio

from sycamoredale.admission import retry_budget
from sycamoredale import clock
from sycamoredale.engines import completions
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import beside_caller
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import refusals
from sycamoredale.http import server
from sycamoredale.observability import logs
from sycamoredale.requests import attempt as attempt_module
from sycamoredale.requests import call as call_module
from sycamoredale.requests import poison
from sycamoredale.requests import silence
from sycamoredale.requests import tries as tries_module
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import table

ROOM_SECONDS: Final = 5.0
ROOM_POLL_SECONDS: Final = 0.02
LOG: Final = logs.get("requests.dispatch")


@dataclasses.dataclass
class Dispatcher:
    """Run calls on the endpoints that a chooser names."""

    chooser: endpoint_selection.EndpointSelector
    pool: client.Pool
    poison_list: poison.PoisonList = dataclasses.field(
        default_factory=poison.PoisonList
    )
    retries: retry_budget.RetryBudget = dataclasses.field(
        default_factory=retry_budget.RetryBudget
    )

    def __post_init__(self) -> None:
        """Build the parts that ask endpoints about requests."""
        self.engines = completions.Completions(self.pool)
        self.silence_watch = silence.SilenceWatch(self.pool, self.engines)

    async def run(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        """Write the whole answer to an idempotent call; raise Refusal."""
        self.poison_list.check(call, clock.monotonic())
        tries = tries_module.Tries(call)
        try:
            async with curio.timeout_after(call.deadline_seconds):
                await beside_caller.run(self._run_tries, tries, exchange)
        except curio.TaskTimeout:
            await _end(exchange, deadline_refusal(call, tries.execution))
        except errors.Refusal as refusal:
            await _end(exchange, refusal)
        except beside_caller.CallerGone:
            LOG.info("caller_gone", request=call.id)

    async def run_once(
        self,
        tries: tries_module.Tries,
        dispatch_before: clock.MonotonicTime | None = None,
    ) -> messages.Response:
        """Return the answer to a call that is sent at most once.

        Raises Refusal.  `tries.execution` is unknown from the moment at
        which a byte may have left.
        """
        call = tries.call
        await self._wait_for_room(call)
        while tries.may_go_on():
            endpoint = self._choose(tries)
            if endpoint is None:
                break
            attempt = attempt_module.Attempt(
                call,
                endpoint,
                call.upstream,
                dispatch_before=dispatch_before,
                chooser=self.chooser,
            )
            tries.execution = error_codes.Execution.UNKNOWN
            self.silence_watch.add(attempt, clock.monotonic())
            try:
                return await attempt_module.fetch(attempt, self.pool)
            except errors.ConnectionFailed as error:
                self._log(attempt, error)
            except errors.ConnectionBroken as error:
                self._log(attempt, error)
                await self._count_crash(attempt, tries)
                break
            finally:
                self.silence_watch.remove(attempt)
                if not attempt.sent:
                    tries.execution = error_codes.Execution.NOT_RUN
        raise tries.refusal()

    async def _run_tries(
        self, tries: tries_module.Tries, exchange: server.Exchange
    ) -> None:
        stream = completions.Stream()
        self.retries.deposit(tries.call.service.name)
        while tries.may_go_on():
            if not self._has_retry(tries, exchange):
                break
            endpoint = await self._choose_for(tries, exchange)
            if endpoint is None:
                break
            attempt = attempt_module.Attempt(
                tries.call,
                endpoint,
                stream.resume(tries.call.upstream),
                chooser=self.chooser,
            )
            if await self._try(attempt, tries, stream, exchange):
                return
            stream.restart()
        raise tries.refusal()

    async def _try(
        self,
        attempt: attempt_module.Attempt,
        tries: tries_module.Tries,
        stream: completions.Stream,
        exchange: server.Exchange,
    ) -> bool:
        self.silence_watch.add(attempt, clock.monotonic())
        try:
            if tries.call.stream:
                await attempt_module.relay_stream(
                    attempt, self.pool, stream, exchange
                )
            else:
                response = await attempt_module.fetch(attempt, self.pool)
                self.silence_watch.remove(attempt)
                await exchange.respond(response)
            return True
        except errors.ConnectionFailed as error:
            self._log(attempt, error)
            tries.gone.add(attempt.endpoint.id)
        except errors.ConnectionBroken as error:
            self._log(attempt, error)
            await self._count_crash(attempt, tries)
        except (curio.CancelledError, OSError):
            await self._cancel(attempt)
            raise
        finally:
            self.silence_watch.remove(attempt)
            if attempt.sent:
                tries.execution = error_codes.Execution.UNKNOWN
        return False

    async def _wait_for_room(self, call: call_module.Call) -> None:
        async with curio.ignore_after(ROOM_SECONDS):
            while not self.chooser.has_free_capacity(
                call, 0, clock.monotonic()
            ):
                await curio.sleep(ROOM_POLL_SECONDS)

    def _has_retry(
        self, tries: tries_module.Tries, exchange: server.Exchange
    ) -> bool:
        if tries.execution is error_codes.Execution.NOT_RUN:
            return True
        return exchange.started or self.retries.try_withdraw(
            tries.call.service.name
        )

    async def _choose_for(
        self, tries: tries_module.Tries, exchange: server.Exchange
    ) -> table.Endpoint | None:
        """Return an endpoint; wait for one if an answer has begun.

        The other endpoints may be full for a moment when one is lost, and
        a caller that has a part of its answer is best served by the rest.
        """
        endpoint = self._choose(tries)
        if endpoint is not None or not exchange.started:
            return endpoint
        async with curio.ignore_after(ROOM_SECONDS):
            while endpoint is None:
                await curio.sleep(ROOM_POLL_SECONDS)
                endpoint = self._find(tries)
        return endpoint

    def _choose(self, tries: tries_module.Tries) -> table.Endpoint | None:
        tries.attempts += 1
        return self._find(tries)

    def _find(self, tries: tries_module.Tries) -> table.Endpoint | None:
        for excluded in tries.exclusions():
            endpoint = self.chooser.select(
                tries.call, excluded, clock.monotonic()
            )
            if endpoint is not None:
                tries.tried.add(endpoint.id)
                return endpoint
        return None

    async def _count_crash(
        self, attempt: attempt_module.Attempt, tries: tries_module.Tries
    ) -> None:
        if not await silence.is_lost(attempt, self.engines):
            await self._cancel(attempt)
            return
        tries.gone.add(attempt.endpoint.id)
        if attempt.severed is not None:
            return  # A pause or a partition; no sign of a crash.
        tries.crashes += 1
        crash = poison.Crash(
            poison.fingerprint_of(attempt.call),
            attempt.endpoint.id,
            attempt.endpoint.domain,
            alone=attempt.active_request is not None
            and attempt.active_request.ran_alone,
        )
        now = clock.monotonic()
        tries.condemned = self.poison_list.observe(crash, now)
        LOG.info(
            "crash_counted",
            request=attempt.call.id,
            endpoint=crash.endpoint,
            alone=crash.alone,
            score=self.poison_list.score(crash.fingerprint, now),
            condemned=tries.condemned,
        )

    async def _cancel(self, attempt: attempt_module.Attempt) -> None:
        # Closing the connection may not reach an engine behind a broken
        # path, so the cancellation goes over a new one as well.
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

    def _log(
        self,
        attempt: attempt_module.Attempt,
        error: errors.SycamoredaleError,
    ) -> None:
        LOG.info(
            "attempt_failed",
            request=attempt.call.id,
            endpoint=attempt.endpoint.id,
            sent=attempt.sent,
            reason=attempt.severed or error.message,
        )


def deadline_refusal(
    call: call_module.Call, execution: error_codes.Execution
) -> errors.Refusal:
    """Return the refusal of a call whose deadline has passed."""
    return errors.Refusal(
        error_codes.DEADLINE_EXCEEDED,
        f"the deadline of {call.deadline_seconds:g} s passed",
        execution,
    )


async def _end(exchange: server.Exchange, refusal: errors.Refusal) -> None:
    """Refuse a call, or end a stream so that nobody takes it for whole."""
    if not exchange.started:
        raise refusal
    LOG.info("stream_cut", request=exchange.request_id, code=refusal.code.name)
    if exchange.intact and not exchange.finished:
        body = refusals.body_of(refusal)
        await exchange.write(completions.error_event(body))
