"""Carry one call to an endpoint and its answer back to the caller.

A call may move to another endpoint while it is certain that the first one
did not run it, or when it is idempotent and the caller has no byte of an
answer yet.
"""

import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale import ids
from sycamoredale.observability import logs
from sycamoredale.requests import call as call_module
from sycamoredale.routing import choice
from sycamoredale.routing import health
from sycamoredale.routing import table

MAX_ATTEMPTS: Final = 3
NO_ENDPOINT_RETRY_SECONDS: Final = 2.0
DONE_EVENT: Final = b"data: [DONE]"
LOG: Final = logs.get("requests.dispatch")


@dataclasses.dataclass
class Dispatcher:
    """Run calls on the endpoints that a chooser names."""

    chooser: choice.Chooser
    pool: client.Pool

    async def run(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        """Write the whole answer to the call; raise Refusal."""
        try:
            async with curio.timeout_after(call.deadline_seconds):
                await self._run_attempts(call, exchange)
        except curio.TaskTimeout as error:
            raise errors.Refusal(
                error_codes.DEADLINE_EXCEEDED,
                f"the deadline of {call.deadline_seconds:g} s passed",
                error_codes.Execution.UNKNOWN,
            ) from error

    async def _run_attempts(
        self, call: call_module.Call, exchange: server.Exchange
    ) -> None:
        tried: set[ids.EndpointId] = set()
        execution = error_codes.Execution.NOT_RUN
        for _ in range(MAX_ATTEMPTS):
            endpoint = self.chooser.choose(call, tried, clock.monotonic())
            if endpoint is None:
                break
            tried.add(endpoint.id)
            try:
                await self._run_on(endpoint, call, exchange)
                return
            except errors.SlotLost as error:
                LOG.info("attempt_not_run", reason=error.message)
            except errors.ConnectionFailed as error:
                LOG.info("attempt_not_run", reason=error.message)
                self._observe(endpoint, health.Outcome.UNREACHABLE)
            except errors.ConnectionBroken as error:
                LOG.info("attempt_broken", reason=error.message)
                self._observe(endpoint, health.Outcome.BROKEN)
                execution = error_codes.Execution.UNKNOWN
                if exchange.started or not call.idempotent:
                    break
        raise _refusal(call, execution)

    async def _run_on(
        self,
        endpoint: table.Endpoint,
        call: call_module.Call,
        exchange: server.Exchange,
    ) -> None:
        endpoint.in_flight += 1
        connection = None
        complete = False
        sent = False
        try:
            connection = await self.pool.acquire(endpoint.address)
            self.chooser.confirm(endpoint, clock.monotonic())
            sent = True
            await connection.send(call.upstream)
            head = await connection.read_head()
            _check_request_id(call, head, endpoint)
            await _relay(connection, head, call, exchange)
            complete = True
            self._observe(endpoint, health.Outcome.ANSWERED)
        finally:
            endpoint.in_flight -= 1
            if sent:
                self.chooser.finished(endpoint, complete, clock.monotonic())
            if connection is not None:
                if complete:
                    await self.pool.release(connection)
                else:
                    await connection.close()

    def _observe(
        self, endpoint: table.Endpoint, outcome: health.Outcome
    ) -> None:
        self.chooser.health.observe(
            endpoint.id, outcome, None, None, clock.monotonic()
        )


async def _relay(
    connection: client.Connection,
    head: messages.ResponseHead,
    call: call_module.Call,
    exchange: server.Exchange,
) -> None:
    headers = _answer_headers(head.headers)
    if not call.stream or head.status != 200:
        body = await connection.read_body()
        response = messages.Response(head.status, headers, body)
        await exchange.respond(response)
        return
    last = b""
    async for chunk in client.body_chunks(connection):
        if not exchange.started:
            await exchange.start(messages.ResponseHead(200, headers))
        await exchange.write(chunk)
        last = (last + chunk)[-2 * len(DONE_EVENT) :]
    if DONE_EVENT not in last:
        raise errors.ConnectionBroken(
            error_codes.CONNECTION_BROKEN,
            f"the stream of request {call.id} ended without its last event",
            error_codes.Execution.UNKNOWN,
        )
    await exchange.finish()


def _check_request_id(
    call: call_module.Call,
    head: messages.ResponseHead,
    endpoint: table.Endpoint,
) -> None:
    echoed = head.headers.get(call_module.REQUEST_ID_HEADER)
    if echoed != call.id:
        raise errors.ConnectionBroken(
            error_codes.CONNECTION_BROKEN,
            f"endpoint {endpoint.id} answered request {echoed!r} in place "
            f"of {call.id!r}",
            error_codes.Execution.UNKNOWN,
        )


def _answer_headers(headers: messages.Headers) -> messages.Headers:
    return headers.without(
        {"connection", "content-length", "transfer-encoding", "keep-alive"}
    )


def _refusal(
    call: call_module.Call, execution: error_codes.Execution
) -> errors.Refusal:
    if execution is error_codes.Execution.NOT_RUN:
        return errors.Refusal(
            error_codes.NO_ENDPOINT,
            f"no endpoint of service {call.service.name!r} can take the "
            "request now",
            execution,
            NO_ENDPOINT_RETRY_SECONDS,
        )
    return errors.Refusal(
        error_codes.ENDPOINT_FAILED,
        f"an endpoint of service {call.service.name!r} failed while it had "
        "the request",
        execution,
    )
