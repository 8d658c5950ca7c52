"""Read the answer of an endpoint and pass it on as it arrives.

An answer that is another request's, that lacks an event or that ends within
one is none: the caller gets nothing of it that cannot be made whole.
"""

import contextlib
import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import stall_detection
from sycamoredale.forwarding import wire_protocol
from sycamoredale.http import client
from sycamoredale.http import messages
from sycamoredale.http import server

# A stream that stands still while its endpoint goes on was put back in the
# endpoint's queue; callers give up after about two seconds.
MAX_STREAM_PAUSE_SECONDS: Final = 1.5


@dataclasses.dataclass(frozen=True)
class AnswerRelay:
    """Read answers that a wire translates."""

    wire: wire_protocol.WireProtocol

    async def relay(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> progress_module.Outcome:
        """Read an answer and pass it on; raise as a connection does."""
        call = progress.call
        head = await self._read_head(connection, endpoint, call)
        progress.head_received = True
        progress.end_queueing(endpoint)
        facts = self.wire.read_answer(call, head)
        now = clock.monotonic()
        if facts.load is not None:
            endpoint.record_reported_load(facts.load, now)
        if facts.kind is calls.AnswerKind.NOT_RUN:
            await _discard_body(connection)
            endpoint.suspect(now)
            send_log.log_failed_send(
                progress, endpoint, f"status {head.status}, not run"
            )
            return progress_module.Outcome.NOT_RUN
        if facts.kind is not calls.AnswerKind.ANSWER:
            raise _broken_answer(endpoint, f"its answer is {facts.kind.value}")
        if call.is_stream and head.status == 200:
            await self._relay_stream(
                connection, endpoint, facts, progress, exchange
            )
            return progress_module.Outcome.ANSWERED
        body = await connection.read_body()
        answer = messages.Response(head.status, facts.headers, body)
        if head.status >= 500:
            progress.error_answer = answer
            return progress_module.Outcome.FAILED
        if exchange.started:
            raise _broken_answer(endpoint, f"status {head.status} to a resume")
        endpoint.record_progress(now)
        await exchange.respond(answer)
        return progress_module.Outcome.ANSWERED

    async def _read_head(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        call: calls.Call,
    ) -> messages.ResponseHead:
        if not call.route.may_retry:
            return await connection.read_head()
        if not call.is_stream:
            return await connection.read_head()
        patience = call.deadline - clock.monotonic()
        return await stall_detection.read_unless_stalled(
            connection.read_head, endpoint, patience
        )

    async def _relay_stream(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        facts: calls.AnswerInfo,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> None:
        stream = progress.stream
        patience = progress.call.deadline - clock.monotonic()
        while True:
            chunk = await stall_detection.read_unless_stalled(
                connection.read_chunk, endpoint, patience
            )
            if not chunk:
                break
            events = stream.feed(chunk)
            if events:
                now = clock.monotonic()
                endpoint.record_progress(now)
                progress.record_events(now)
                patience = MAX_STREAM_PAUSE_SECONDS
                await _forward_events(events, facts, exchange)
            if stream.has_gap:
                raise _broken_answer(
                    endpoint, "an event of the stream is missing"
                )
        if not stream.ends_at_boundary:
            raise _broken_answer(endpoint, "the stream ended within an event")
        if not exchange.started:
            await exchange.start(messages.ResponseHead(200, facts.headers))
        await exchange.finish()


async def _forward_events(
    events: bytes, facts: calls.AnswerInfo, exchange: server.Exchange
) -> None:
    if not exchange.started:
        await exchange.start(messages.ResponseHead(200, facts.headers))
    await exchange.write(events)


async def _discard_body(connection: client.Connection) -> None:
    with contextlib.suppress(errors.ConnectionBroken):
        await connection.read_body()


def _broken_answer(
    endpoint: endpoints.Endpoint, reason: str
) -> errors.ConnectionBroken:
    return errors.ConnectionBroken(
        error_codes.CONNECTION_BROKEN,
        f"endpoint {endpoint.id}: {reason}",
        error_codes.Execution.UNKNOWN,
    )
