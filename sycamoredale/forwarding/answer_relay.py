"""Read the answer of an endpoint and relay it to the caller.

An answer is broken if it belongs to another request, if an event is missing
or if it ends within an event.  Only complete events are relayed, so that
another endpoint can continue the answer.
"""

import collections.abc
import contextlib
import dataclasses
from typing import Final

import curio

from sycamoredale import clock
from sycamoredale import errors
from sycamoredale.forwarding import answer_events
from sycamoredale.forwarding import calls
from sycamoredale.forwarding import departures
from sycamoredale.forwarding import endpoint_paces
from sycamoredale.forwarding import instance_table
from sycamoredale.forwarding import progress as progress_module
from sycamoredale.forwarding import send_log
from sycamoredale.forwarding import sends
from sycamoredale.forwarding import stall_detection
from sycamoredale.forwarding import takeover as takeover_module
from sycamoredale.forwarding import wire_protocol
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.http import messages
from sycamoredale.http import server

# An answer outside streams is held in memory until it is complete.
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
# The body that says why a request did not run has a few bytes.  It is read
# only to keep the connection.
MAX_DISCARDED_BYTES: Final = 65536
DISCARD_SECONDS: Final = 0.1


@dataclasses.dataclass(frozen=True)
class AnswerRelay:
    """Relay answers of endpoints to callers.

    `measures_pace` tells whether the pauses between events are of use.
    """

    wire: wire_protocol.WireProtocol
    detector: stall_detection.StallDetector
    instances: instance_table.InstanceTable
    held: held_bytes.HeldBytes = dataclasses.field(
        default_factory=held_bytes.HeldBytes
    )
    measures_pace: collections.abc.Callable[[], bool] = lambda: False

    async def relay(
        self,
        connection: client.Connection,
        send: sends.Send,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        takeover: takeover_module.Takeover,
    ) -> sends.Outcome:
        """Read the answer to a sent request and relay it to the caller.

        Raises ConnectionBroken if the connection or the answer is broken,
        EndpointStalled if another endpoint goes on with the request and
        CallerDisconnected if the caller is gone.
        """
        if send.answer is None:
            await self._read_head(connection, send, progress, takeover)
        answer = send.answer
        if answer is None:
            return sends.Outcome.NOT_RUN
        if answer.events is None:
            return await self._relay_body(
                connection, send, answer, progress, exchange
            )
        await self._relay_events(
            answer, answer.events, send, progress, exchange, takeover
        )
        if not exchange.started:
            if _ended_early(answer.head, send):
                raise answer_events.broken_answer(
                    send.endpoint, "the stream ended before its first event"
                )
            await exchange.start(
                messages.ResponseHead(200, answer.info.headers)
            )
        # Whoever has broken off may have had more to say.
        elif send.stream.is_continued and not progress.has_success:
            raise answer_events.broken_answer(
                send.endpoint, "the rest of a stream has no events"
            )
        await exchange.finish()
        return sends.Outcome.ANSWERED

    async def begin_elsewhere(
        self,
        connection: client.Connection,
        send: sends.Send,
        progress: progress_module.CallProgress,
        takeover: stall_detection.Takeover,
    ) -> sends.Outcome | None:
        """Read the first event of another endpoint; return None with one.

        The event is kept for `relay`.  Raises ConnectionBroken and
        EndpointStalled.
        """
        await self._read_head(connection, send, progress, takeover)
        answer = send.answer
        if answer is None:
            return sends.Outcome.NOT_RUN
        if answer.events is None:
            send_log.log_failed_send(
                progress, send.endpoint, f"status {answer.head.status}"
            )
            return sends.Outcome.FAILED
        count_before = send.stream.progress_count
        while send.stream.progress_count == count_before:
            events = await answer.events.read(takeover)
            answer.events.check()
            if not events:
                raise answer_events.broken_answer(
                    send.endpoint, "the rest of a stream has no events"
                )
            send.first_events += events
        send.end_reading()
        return None

    async def _read_head(
        self,
        connection: client.Connection,
        send: sends.Send,
        progress: progress_module.CallProgress,
        takeover: stall_detection.Takeover,
    ) -> None:
        """Set the answer of a send, unless the request was not run."""
        call, endpoint = progress.call, send.endpoint
        head = await self._wait_for_head(connection, send, call, takeover)
        send.end_queueing()
        info = self.wire.read_answer(call, head)
        now = clock.monotonic()
        self.detector.record_heard(connection, now)
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
            return
        if info.kind is not calls.AnswerKind.ANSWER:
            raise answer_events.broken_answer(
                endpoint, f"unusable answer of kind {info.kind.value!r}"
            )
        events = None
        if call.is_stream and head.status == 200:
            now = clock.monotonic()
            events = answer_events.AnswerEvents(
                connection,
                endpoint,
                send.stream,
                self.held.reserve(connection.address),
                self.detector,
                waiting_since=now,
                max_wait_seconds=call.deadline - now,
                returned_at=now,
                meter=(
                    endpoint_paces.build_meter(
                        call.service, endpoint, self.detector.delays
                    )
                    if self.measures_pace()
                    else None
                ),
            )
        send.answer = sends.Answer(head, info, events)

    async def _wait_for_head(
        self,
        connection: client.Connection,
        send: sends.Send,
        call: calls.Call,
        takeover: stall_detection.Takeover,
    ) -> messages.ResponseHead:
        if not call.is_stream:
            return await connection.read_head()
        max_wait_seconds = call.deadline - clock.monotonic()
        return await self.detector.read_unless_stalled(
            connection.read_head,
            send.endpoint,
            max_wait_seconds,
            takeover,
            is_direct=connection.relayed_by is None,
        )

    async def _relay_body(
        self,
        connection: client.Connection,
        send: sends.Send,
        answer: sends.Answer,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
    ) -> sends.Outcome:
        """Relay an answer that is no stream, once it is complete."""
        status, endpoint = answer.head.status, send.endpoint
        now = clock.monotonic()
        with self.held.reserve(connection.address) as reservation:
            body = await connection.read_body(MAX_ANSWER_BYTES, reservation)
            whole = messages.Response(status, answer.info.headers, body)
            if status >= 500:
                progress.keep_error_answer(whole, reservation.move())
                return sends.Outcome.FAILED
            if exchange.started:
                raise answer_events.broken_answer(
                    endpoint, f"status {status} to a resumed stream"
                )
            endpoint.record_progress(now)
            progress.has_success = 200 <= status < 300
            await exchange.respond(whole)
        return sends.Outcome.ANSWERED

    async def _relay_events(
        self,
        answer: sends.Answer,
        events: answer_events.AnswerEvents,
        send: sends.Send,
        progress: progress_module.CallProgress,
        exchange: server.Exchange,
        takeover: takeover_module.Takeover,
    ) -> None:
        stream = send.stream
        progress_before = stream.progress_count
        if send.first_events:
            progress.record_events(clock.monotonic())
            await _forward_events(send.first_events, answer.info, exchange)
            send.first_events = b""
        while piece := await events.read(takeover):
            if stream.progress_count > progress_before:
                progress_before = stream.progress_count
                send.end_reading()
                now = clock.monotonic()
                progress.record_events(now)
                if takeover.is_active:
                    await takeover.record_event(now)
            await _forward_events(piece, answer.info, exchange)
            events.check()
        progress.has_success = stream.event_count > send.event_count_before


def _is_announcement(info: calls.AnswerInfo) -> bool:
    """Return whether an answer tells if its endpoint has a limit.

    A rejection without a limit may come from another instance that has the
    address now.
    """
    return info.kind is calls.AnswerKind.ANSWER or info.limit is not None


def _ended_early(head: messages.ResponseHead, send: sends.Send) -> bool:
    """Return whether a stream without events was broken off.

    Only a resumed stream may have no events left.
    """
    is_resumed = send.stream.last_event_id is not None
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
