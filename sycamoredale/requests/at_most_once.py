"""Run a non-idempotent call at most once.

For a call with an idempotency key, a claim is stored in the object API before
the dispatch, and the outcome is stored for callers that repeat the key.  The
claim comes before admission as well: a refusal for lack of capacity must not
state "not run" for a key that has run.  The call runs in a separate task.  If
the caller disconnects or the deadline passes, only the wait ends; the
execution continues, so that its outcome is still stored.  A call without a
key also runs at most once, but if the caller repeats it, it runs again.
"""

import collections.abc
import contextlib
import dataclasses
import hashlib
import typing
from typing import Final

import curio
import msgspec

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.membership import view
from sycamoredale.observability import logs
from sycamoredale.requests import attempt_history
from sycamoredale.requests import call as call_module
from sycamoredale.requests import claim_service
from sycamoredale.requests import claims
from sycamoredale.requests import dispatch

# A request is not sent later than this after its claim was requested.
MAX_CLAIM_AGE_SECONDS: Final = 10.0
MAX_EXECUTION_SECONDS: Final = 600.0
STORE_RETRY_AFTER_SECONDS: Final = 2.0
IN_PROGRESS_RETRY_AFTER_SECONDS: Final = 1.0
IDLE_POLL_SECONDS: Final = 0.05
REPLAYED_HEADER: Final = "Idempotent-Replayed"
LOG: Final = logs.get("requests.at_most_once")

Admit = collections.abc.Callable[
    [call_module.Call, clock.MonotonicTime],
    contextlib.AbstractAsyncContextManager[call_module.Call],
]


@dataclasses.dataclass
class AtMostOnceRunner:
    """Run non-idempotent calls through a dispatcher."""

    dispatcher: dispatch.Dispatcher
    service: claim_service.ClaimService
    admit: Admit
    open_executions: int = 0

    async def run(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        """Write the response to the call; raise Refusal."""
        self.dispatcher.poison_detector.check(call, clock.monotonic())
        if call.key is None:
            await self._run_without_key(call, exchange)
            return
        started_at = clock.monotonic()
        operation = self._build_take(call, call.key)
        result = await self._take_claim(operation)
        if result.decision is claims.Decision.GRANTED:
            await self._run_claimed(call, operation, started_at, exchange)
            return
        await exchange.respond(self._answer_existing_claim(call, result))

    async def wait_until_idle(self) -> None:
        """Wait until no execution is open and every outcome is stored."""
        while self.open_executions or self.service.pending_writes:
            await curio.sleep(IDLE_POLL_SECONDS)

    async def _run_without_key(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        history = attempt_history.AttemptHistory(call)
        try:
            async with curio.timeout_after(call.deadline_seconds):
                async with self.admit(call, clock.monotonic()):
                    response = await self.dispatcher.run_at_most_once(history)
        except curio.TaskTimeout as error:
            raise dispatch.deadline_refusal(call, history.execution) from error
        await exchange.respond(response)

    async def _take_claim(
        self, operation: claims.Take
    ) -> claims.OperationResult:
        try:
            return await self.service.take(operation)
        except errors.SycamoredaleError as error:
            raise errors.Refusal(
                error_codes.CLAIMS_UNAVAILABLE,
                f"no claim can be taken for the request now: {error.message}",
                error_codes.Execution.NOT_RUN,
                STORE_RETRY_AFTER_SECONDS,
            ) from error

    async def _run_claimed(
        self,
        call: call_module.Call,
        operation: claims.Take,
        started_at: clock.MonotonicTime,
        exchange: server.Exchange,
    ) -> None:
        history = attempt_history.AttemptHistory(call)
        self.open_executions += 1
        task = await curio.spawn(
            self._execute, history, operation, started_at, daemon=True
        )
        try:
            async with curio.timeout_after(call.deadline_seconds):
                response = await _join(task)
        except curio.TaskTimeout as error:
            if history.execution is error_codes.Execution.NOT_RUN:
                await task.cancel()
            raise dispatch.deadline_refusal(call, history.execution) from error
        await exchange.respond(response)

    async def _execute(
        self,
        history: attempt_history.AttemptHistory,
        operation: claims.Take,
        started_at: clock.MonotonicTime,
    ) -> messages.Response:
        before = clock.MonotonicTime(started_at + MAX_CLAIM_AGE_SECONDS)
        response = None
        try:
            async with curio.ignore_after(MAX_EXECUTION_SECONDS):
                async with self.admit(history.call, clock.monotonic()):
                    response = await self.dispatcher.run_at_most_once(
                        history, before
                    )
            if response is None:
                raise history.refusal()
            return response
        finally:
            async with curio.disable_cancellation():
                await self._finalize_claim(history, operation, response)
                self.open_executions -= 1

    async def _finalize_claim(
        self,
        history: attempt_history.AttemptHistory,
        operation: claims.Take,
        response: messages.Response | None,
    ) -> None:
        name = operation.name
        if response is not None:
            headers = tuple(response.headers.fields)
            outcome = claims.build_outcome(
                response.status, headers, response.body
            )
            await self.service.record(name, operation.claim.attempt, outcome)
        elif history.execution is error_codes.Execution.NOT_RUN:
            await self.service.release(name, operation.claim)
        else:
            await self.service.record(name, operation.claim.attempt, None)

    def _build_take(
        self, call: call_module.Call, key: ids.IdempotencyKey
    ) -> claims.Take:
        own = self.service.members.own
        claim = claims.Claim(
            request_digest=request_digest(call.upstream),
            attempt=call.id,
            owner=own.id,
            incarnation=own.incarnation,
            claimed_at=clock.wall(),
        )
        name = claims.claim_name(call.organisation, call.service.name, key)
        return claims.Take(name, claim)

    def _answer_existing_claim(
        self, call: call_module.Call, result: claims.OperationResult
    ) -> messages.Response:
        claim = result.claim
        match result.decision:
            case claims.Decision.FINISHED if claim is not None:
                return _replay_outcome(claim)
            case claims.Decision.MISMATCH:
                raise errors.Refusal(
                    error_codes.IDEMPOTENCY_KEY_REUSED,
                    f"key {call.key!r} belongs to a request with another "
                    "method, path or body",
                )
            case claims.Decision.RUNNING if claim is not None:
                raise self._in_progress_refusal(call, claim)
            case claims.Decision.FULL:
                raise errors.Refusal(
                    error_codes.CLAIMS_UNAVAILABLE,
                    "the claims shard of the key is full",
                    retry_after=STORE_RETRY_AFTER_SECONDS,
                )
        raise _unknown_refusal(call)

    def _in_progress_refusal(
        self, call: call_module.Call, claim: claims.Claim
    ) -> errors.Refusal:
        owner = self.service.members.by_id.get(claim.owner)
        if (
            owner is None
            or owner.incarnation != claim.incarnation
            or owner.state in (view.PeerState.DEAD, view.PeerState.LEFT)
        ):
            return _unknown_refusal(call)
        return errors.Refusal(
            error_codes.REQUEST_IN_PROGRESS,
            f"a request with key {call.key!r} is running",
            error_codes.Execution.UNKNOWN,
            IN_PROGRESS_RETRY_AFTER_SECONDS,
        )


def request_digest(request: messages.Request) -> str:
    """Return a digest of a request to detect the reuse of its key."""
    head = msgspec.json.encode([request.method, request.target])
    return hashlib.sha256(head + b"\0" + request.body).hexdigest()[:32]


def _replay_outcome(claim: claims.Claim) -> messages.Response:
    outcome = claim.outcome
    if outcome is None or outcome.body is None:
        raise errors.Refusal(
            error_codes.RESULT_NOT_KEPT,
            "the request with this key ran, and its answer was not stored",
            error_codes.Execution.RAN,
        )
    headers = messages.Headers(outcome.headers)
    headers = headers.with_field(REPLAYED_HEADER, "true")
    return messages.Response(outcome.status, headers, outcome.body)


def _unknown_refusal(call: call_module.Call) -> errors.Refusal:
    return errors.Refusal(
        error_codes.EXECUTION_UNKNOWN,
        f"a request with key {call.key!r} was sent to an endpoint and its "
        "outcome is not known; it is not run again",
        error_codes.Execution.UNKNOWN,
    )


async def _join(task: typing.Any) -> messages.Response:
    try:
        response = await task.join()
    except curio.TaskError as error:
        assert error.__cause__ is not None
        raise error.__cause__ from None
    assert isinstance(response, messages.Response)
    return response
