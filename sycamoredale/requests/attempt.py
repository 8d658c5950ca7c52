"""Run a call once on one endpoint.

An attempt records whether any byte of its request may have been sent, which
determines what a refusal states about the execution.  The connection returns
to the pool only after a complete exchange and is closed otherwise.
"""

import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale.engines import completions
from sycamoredale.engines import reports
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.links import monitor as link_monitor
from sycamoredale.requests import active_requests
from sycamoredale.requests import call as call_module
from sycamoredale.routing import endpoint_selection
from sycamoredale.routing import health
from sycamoredale.routing import table

BODY_DRAIN_TIMEOUT_SECONDS: Final = 1.0


@dataclasses.dataclass(eq=False)
class Attempt:
    """Track one attempt to run a call on one endpoint.

    `sent` is set before the first byte is sent, and cleared if the endpoint
    refused the request.  `data_received` is set whenever data arrives, other
    than comments of an engine, and the liveness monitor clears it.  The
    request may not be sent after `dispatch_before`.
    """

    call: call_module.Call
    endpoint: table.Endpoint
    request: messages.Request
    stream: completions.ResumableStream | None = None
    dispatch_before: clock.MonotonicTime | None = None
    connection: client.Connection | None = None
    sent: bool = False
    data_received: bool = False
    head_received: bool = False
    abort_reason: str | None = None
    endpoint_lost: bool = False
    links: link_monitor.LinkMonitor | None = None
    active_request: active_requests.ActiveRequest | None = None
    selector: endpoint_selection.EndpointSelector | None = None
    sent_at: clock.MonotonicTime | None = None
    first_event_at: clock.MonotonicTime | None = None
    events: int = 0

    def abort(self, reason: str, endpoint_lost: bool) -> None:
        """Make the exchange fail.

        `endpoint_lost` states whether the endpoint itself has failed, rather
        than only the connection to it.
        """
        self.abort_reason = reason
        self.endpoint_lost = endpoint_lost
        if self.connection is not None:
            self.connection.abort()


async def fetch(attempt: Attempt, pool: client.Pool) -> messages.Response:
    """Return the complete response of an endpoint.

    Raises ConnectionFailed if the endpoint did not run the request, and
    ConnectionBroken if it may have run it.
    """
    async with _exchange(attempt, pool) as connection:
        head = await _read_head(attempt, connection)
        body = await connection.read_body()
        _check_complete(attempt, head, body)
    return messages.Response(head.status, caller_headers(attempt, head), body)


async def relay_stream(
    attempt: Attempt,
    pool: client.Pool,
    stream: completions.ResumableStream,
    exchange: server.Exchange,
) -> None:
    """Relay the events of a stream to the caller; raise as `fetch`."""
    attempt.stream = stream
    async with _exchange(attempt, pool) as connection:
        head = await _read_head(attempt, connection)
        if head.status != 200:
            body = await connection.read_body()
            _check_complete(attempt, head, body)
            if exchange.started:
                raise _connection_broken(
                    attempt,
                    f"status {head.status} in response to a resume request",
                )
            headers = caller_headers(attempt, head)
            await exchange.respond(
                messages.Response(head.status, headers, body)
            )
            return
        await _relay_events(attempt, connection, head, stream, exchange)
        await exchange.finish()
        await _drain_body(connection)


async def _drain_body(connection: client.Connection) -> None:
    # The caller has the complete response.  The rest of the body is read
    # only so that the connection can be used again.
    with contextlib.suppress(errors.ConnectionBroken):
        async with curio.ignore_after(BODY_DRAIN_TIMEOUT_SECONDS):
            while await connection.read_chunk():
                pass


async def _relay_events(
    attempt: Attempt,
    connection: client.Connection,
    head: messages.ResponseHead,
    stream: completions.ResumableStream,
    exchange: server.Exchange,
) -> None:
    while not stream.done:
        chunk = await connection.read_chunk()
        _record_heard(attempt, connection)
        if not chunk:
            raise _connection_broken(
                attempt, "the stream ended without its last event"
            )
        try:
            events = stream.feed(chunk)
        except ValueError as error:
            raise _connection_broken(attempt, str(error)) from error
        # An engine that has stopped may still send comments.
        if not attempt.call.is_model or completions.has_data(events):
            attempt.data_received = True
        if events:
            _count_events(attempt, events)
            if not exchange.started:
                headers = caller_headers(attempt, head)
                await exchange.start(messages.ResponseHead(200, headers))
            await exchange.write(events)
        if stream.error_event is not None:
            raise errors.EndpointFault(
                f"endpoint {attempt.endpoint.id} ended a stream with "
                f"{stream.error_event}"
            )


def caller_headers(
    attempt: Attempt, head: messages.ResponseHead
) -> messages.Headers:
    """Return the headers of a response that are relayed to the caller."""
    dropped = {
        "connection",
        "transfer-encoding",
        "keep-alive",
        call_module.REQUEST_ID_HEADER.lower(),
        reports.RUNNING_HEADER.lower(),
        reports.WAITING_HEADER.lower(),
    }
    if attempt.call.upstream.method != "HEAD":
        dropped.add("content-length")
    return head.headers.without(dropped)


@contextlib.asynccontextmanager
async def _exchange(
    attempt: Attempt, pool: client.Pool
) -> collections.abc.AsyncIterator[client.Connection]:
    attempt.active_request = active_requests.start(attempt.endpoint)
    outcome = health.Outcome.ABANDONED
    try:
        # The other end may have closed an idle connection, and a request
        # lost on it cannot be distinguished from one that ran.
        fresh = not attempt.call.idempotent
        connection = await pool.acquire(attempt.endpoint.address, fresh)
        attempt.connection = connection
        _check_may_send(attempt)
        attempt.sent = True
        attempt.sent_at = clock.monotonic()
        await connection.send(attempt.request)
        yield connection
        outcome = health.Outcome.ANSWERED
    except errors.SycamoredaleError as error:
        outcome = _outcome(attempt, error)
        if isinstance(error, errors.EndpointRefused):
            attempt.sent = False
        raise
    finally:
        attempt.active_request.finish()
        _report_outcome(attempt, outcome)
        if attempt.connection is not None:
            if outcome is health.Outcome.ANSWERED:
                await pool.release(attempt.connection)
            else:
                await attempt.connection.close()


async def _read_head(
    attempt: Attempt, connection: client.Connection
) -> messages.ResponseHead:
    head = await connection.read_head()
    _record_data(attempt, connection)
    attempt.head_received = True
    if attempt.selector is not None:
        attempt.selector.record_load(
            attempt.endpoint, head.headers, clock.monotonic()
        )
    echoed = head.headers.get(call_module.REQUEST_ID_HEADER)
    # On a kept connection it may be the refusal of an earlier request.
    may_lack_id = attempt.call.is_model and not connection.reused
    if may_lack_id and head.status == 503 and echoed is None:
        body = await connection.read_body()
        if completions.was_refused(head.status, body):
            raise errors.EndpointRefused(
                f"endpoint {attempt.endpoint.id} refused the request"
            )
    if echoed != attempt.call.id:
        raise _connection_broken(
            attempt,
            f"it answered request {echoed!r} in place of "
            f"{attempt.call.id!r}",
        )
    return head


def _check_complete(
    attempt: Attempt, head: messages.ResponseHead, body: bytes
) -> None:
    if not attempt.call.is_model:
        return
    if completions.was_refused(head.status, body):
        raise errors.EndpointRefused(
            f"endpoint {attempt.endpoint.id} refused the request"
        )
    if head.status >= 500 or not completions.is_complete_json(body):
        raise errors.EndpointFault(
            f"endpoint {attempt.endpoint.id} answered status {head.status} "
            "or malformed JSON"
        )


def _check_may_send(attempt: Attempt) -> None:
    before = attempt.dispatch_before
    if before is not None and clock.monotonic() > before:
        raise errors.EndpointRefused(
            "the claim was too old to send the request"
        )
    if attempt.selector is not None:
        attempt.selector.check_may_send(attempt.endpoint, clock.monotonic())


def _record_data(attempt: Attempt, connection: client.Connection) -> None:
    attempt.data_received = True
    _record_heard(attempt, connection)


def _record_heard(attempt: Attempt, connection: client.Connection) -> None:
    if attempt.links is not None and connection.relayed_by is None:
        attempt.links.record_heard(clock.monotonic())


def _count_events(attempt: Attempt, events: bytes) -> None:
    if attempt.first_event_at is None:
        attempt.first_event_at = clock.monotonic()
    attempt.events += events.count(completions.EVENT_END)


def _outcome(
    attempt: Attempt, error: errors.SycamoredaleError
) -> health.Outcome:
    if isinstance(error, errors.ColdSlotLost | errors.LocalFailure):
        return health.Outcome.ABANDONED
    if isinstance(error, errors.EndpointRefused):
        refused = health.Outcome.REFUSED
        return refused if attempt.sent else health.Outcome.ABANDONED
    if isinstance(error, errors.ConnectionFailed):
        return health.Outcome.UNREACHABLE
    if attempt.abort_reason is None:
        return health.Outcome.BROKEN
    # A silent connection alone does not mean that the endpoint failed.
    silent = health.Outcome.SILENT
    return silent if attempt.endpoint_lost else health.Outcome.ABANDONED


def _report_outcome(attempt: Attempt, outcome: health.Outcome) -> None:
    if attempt.selector is None:
        return
    now = clock.monotonic()
    first_token = None
    gap = None
    if attempt.first_event_at is not None and attempt.sent_at is not None:
        first_token = attempt.first_event_at - attempt.sent_at
        if attempt.events > 1:
            gap = (now - attempt.first_event_at) / (attempt.events - 1)
    attempt.selector.record_end(
        attempt.endpoint, outcome, attempt.sent, first_token, gap, now
    )


def _connection_broken(
    attempt: Attempt, reason: str
) -> errors.ConnectionBroken:
    return errors.ConnectionBroken(
        error_codes.CONNECTION_BROKEN,
        f"endpoint {attempt.endpoint.id}: {reason}",
        error_codes.Execution.UNKNOWN,
    )
