"""Read the answer of an endpoint and relay it to the caller.

An answer is broken if it belongs to another request, if an event is missing
or if it ends within an event.  Only complete events are relayed, so that
another endpoint can continue the answer.
"""

import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import departures
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import stall_detection
from sycamoredale.forwarding import wire_protocol
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server
from sycamoredale.links import monitor

# A stream without events on an endpoint that makes progress has been requeued
# by the engine.  Callers give up after about two seconds.
MAX_STREAM_PAUSE_SECONDS: Final = 1.5
# An answer outside streams is held in memory until it is complete.
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
# The body that says why a request did not run has a few bytes.  It is read
# only to keep the connection.
MAX_DISCARDED_BYTES: Final = 65536
DISCARD_SECONDS: Final = 0.1


@dataclasses.dataclass(frozen=True)
class AnswerRelay:
    """Relay answers of endpoints to callers."""

    wire: wire_protocol.WireProtocol
    links: monitor.LinkMonitor
    instances: instance_table.InstanceTable
    held: held_bytes.HeldBytes = dataclasses.field(
        default_factory=held_bytes.HeldBytes
    )

    async def relay(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        may_leave: stall_detection.MayLeave,
    ) -> progress_module.Outcome:
        """Read the answer to a sent request and relay it to the caller.

        `may_leave` tells whether the request can go on elsewhere.
        Raises ConnectionBroken if the connection or the answer is broken,
        EndpointStalled if the endpoint makes no progress and
        CallerDisconnected if the caller is gone.
        """
        call = progress.call
        head = await self._read_head(connection, endpoint, call, may_leave)
        progress.end_queueing(endpoint)
        info = self.wire.read_answer(call, head)
        now = clock.monotonic()
        self._record_heard(connection, now)
        if info.load is not None:
            endpoint.record_reported_load(info.load, now)
        if info.leaving and info.kind is not calls.AnswerKind.OTHER_REQUEST:
            self.instances.record_leaving(
                departures.incarnation_of(endpoint.instance),
                departures.Source.ANSWER,
            )
        if _is_announcement(info):
            changed = endpoint.limit.record_own(info.limit, now)
            if changed:
                send_log.log_changed_limit(endpoint, "answer")
        if info.kind is calls.AnswerKind.NOT_RUN:
            await _discard_body(connection)
            endpoint.suspect(now)
            send_log.log_failed_send(
                progress, endpoint, f"status {head.status}, request not run"
            )
            return progress_module.Outcome.NOT_RUN
        if info.kind is not calls.AnswerKind.ANSWER:
            raise _broken_answer(
                endpoint, f"unusable answer of kind {info.kind.value!r}"
            )
        if call.is_stream and head.status == 200:
            with self.held.reserve(connection.address) as reservation:
                try:
                    await self._relay_stream(
                        connection,
                        endpoint,
                        info,
                        progress,
                        exchange,
                        may_leave,
                        reservation,
                    )
                finally:
                    progress.stream.drop_pending()
            if not exchange.started:
                if _ended_early(head, progress):
                    raise _broken_answer(
                        endpoint, "the stream ended before its first event"
                    )
                await exchange.start(messages.ResponseHead(200, info.headers))
            # Whoever has broken off may have had more to say.
            elif progress.stream.is_continued and not progress.has_success:
                raise _broken_answer(
                    endpoint, "the rest of a stream has no events"
                )
            await exchange.finish()
            return progress_module.Outcome.ANSWERED
        with self.held.reserve(connection.address) as reservation:
            body = await connection.read_body(MAX_ANSWER_BYTES, reservation)
            answer = messages.Response(head.status, info.headers, body)
            if head.status >= 500:
                progress.keep_error_answer(answer, reservation.move())
                return progress_module.Outcome.FAILED
            if exchange.started:
                raise _broken_answer(
                    endpoint, f"status {head.status} to a resumed stream"
                )
            endpoint.record_progress(now)
            progress.has_success = 200 <= head.status < 300
            await exchange.respond(answer)
        return progress_module.Outcome.ANSWERED

    def _record_heard(
        self, connection: client.Connection, now: clock.MonotonicTime
    ) -> None:
        if connection.relayed_by is None:
            self.links.record_heard(now)

    async def _read_head(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        call: calls.Call,
        may_leave: stall_detection.MayLeave,
    ) -> messages.ResponseHead:
        if not call.is_stream:
            return await connection.read_head()
        max_wait_seconds = call.deadline - clock.monotonic()
        return await stall_detection.read_unless_stalled(
            connection.read_head, endpoint, max_wait_seconds, may_leave
        )

    async def _relay_stream(
        self,
        connection: client.Connection,
        endpoint: endpoints.Endpoint,
        info: calls.AnswerInfo,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        may_leave: stall_detection.MayLeave,
        reservation: held_bytes.Reservation,
    ) -> None:
        stream = progress.stream
        count_before = stream.event_count
        waiting_since = clock.monotonic()
        max_wait_seconds = progress.call.deadline - waiting_since
        while True:
            chunk = await stall_detection.read_unless_stalled(
                connection.read_chunk,
                endpoint,
                max_wait_seconds,
                may_leave,
                waiting_since,
            )
            if not chunk:
                break
            progress_before = stream.progress_count
            try:
                events = stream.feed(chunk)
            except ValueError as error:
                raise _broken_answer(endpoint, str(error)) from error
            if events:
                now = clock.monotonic()
                self._record_heard(connection, now)
                endpoint.record_progress(now)
                # Comments show that the endpoint is alive, but the wait for
                # the next event goes on.
                if stream.progress_count > progress_before:
                    progress.record_events(now)
                    max_wait_seconds = MAX_STREAM_PAUSE_SECONDS
                    waiting_since = now
                await _forward_events(events, info, exchange)
                # A slow caller is no pause of the endpoint.
                waiting_since = clock.MonotonicTime(
                    waiting_since + clock.monotonic() - now
                )
            # Most pieces end with an event, and leave nothing to hold.
            if (stream.pending_bytes or reservation.size) and (
                not reservation.resize(stream.pending_bytes)
            ):
                raise errors.AnswerNotHeld(f"endpoint {endpoint.id}")
            if stream.has_gap:
                raise _broken_answer(endpoint, "a stream event is missing")
            if stream.has_excess_comments:
                raise _broken_answer(
                    endpoint, "too many comments between two events"
                )
            if stream.has_foreign_text:
                raise _broken_answer(
                    endpoint, "the rest of a stream has an event without id"
                )
        if not stream.ends_at_boundary:
            raise _broken_answer(endpoint, "the stream ended inside an event")
        progress.has_success = stream.event_count > count_before


def _is_announcement(info: calls.AnswerInfo) -> bool:
    """Return whether an answer tells if its endpoint has a limit.

    A rejection without a limit may come from another instance that has the
    address now.
    """
    return info.kind is calls.AnswerKind.ANSWER or info.limit is not None


def _ended_early(
    head: messages.ResponseHead, progress: progress_module.CallProgress
) -> bool:
    """Return whether a stream without events was broken off.

    Only a resumed stream may have no events left.
    """
    is_resumed = progress.stream.last_event_id is not None
    return head.ends_with_connection and not is_resumed


async def _forward_events(
    events: bytes, info: calls.AnswerInfo, exchange: server.Exchange
) -> None:
    if not exchange.started:
        await exchange.start(messages.ResponseHead(200, info.headers))
    await exchange.write(events)


async def _discard_body(connection: client.Connection) -> None:
    with contextlib.suppress(errors.ConnectionBroken):
        async with curio.ignore_after(DISCARD_SECONDS):
            await connection.read_body(MAX_DISCARDED_BYTES)


def _broken_answer(
    endpoint: endpoints.Endpoint, reason: str
) -> errors.ConnectionBroken:
    return errors.ConnectionBroken(
        error_codes.CONNECTION_BROKEN,
        f"endpoint {endpoint.id}: {reason}",
        error_codes.Execution.UNKNOWN,
    )
