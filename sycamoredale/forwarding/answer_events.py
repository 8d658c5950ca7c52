"""Read the events of a streamed answer, and check that none is missing.

Only complete events are returned, so that another endpoint can continue the
answer after the last one.
"""

import dataclasses
from typing import Final

from sycamoredale import clock
from sycamoredale import error_codes
from sycamoredale import errors
from sycamoredale.forwarding import endpoints
from sycamoredale.forwarding import event_stream
from sycamoredale.forwarding import stall_detection
from sycamoredale.http import client
from sycamoredale.http import held_bytes
from sycamoredale.scheduling import pace

# A stream without events on an endpoint that makes progress has been requeued
# by the engine.  Callers give up after about two seconds.
MAX_STREAM_PAUSE_SECONDS: Final = 1.5


@dataclasses.dataclass
class AnswerEvents:
    """Read the events of one answer.

    The wait for an event counts from `waiting_since`, and only while a read
    is in progress: a slow caller is no pause of the endpoint.  `meter`
    measures the pauses, if they are of use.
    """

    connection: client.Connection
    endpoint: endpoints.Endpoint
    stream: event_stream.EventStream
    reservation: held_bytes.Reservation
    detector: stall_detection.StallDetector
    waiting_since: clock.MonotonicTime
    max_wait_seconds: float
    returned_at: clock.MonotonicTime
    meter: pace.StreamMeter | None = None

    async def read(self, takeover: stall_detection.Takeover) -> bytes:
        """Return the next events or comments, none at the end.

        Once they are relayed, `check` tells whether the answer goes on.
        Raises ConnectionBroken, EndpointStalled and AnswerNotHeld.
        """
        idle_seconds = clock.monotonic() - self.returned_at
        self.waiting_since = clock.MonotonicTime(
            self.waiting_since + idle_seconds
        )
        if self.meter is not None:
            self.meter.record_idle(idle_seconds)
        while True:
            chunk = await self.detector.read_unless_stalled(
                self.connection.read_chunk,
                self.endpoint,
                self.max_wait_seconds,
                takeover,
                self.waiting_since,
                is_direct=self.connection.relayed_by is None,
            )
            events = self._feed(chunk) if chunk else b""
            if events or not chunk:
                break
            self.check()
        if not chunk and not self.stream.ends_at_boundary:
            raise broken_answer(
                self.endpoint, "the stream ended inside an event"
            )
        if not chunk and self.meter is not None:
            self.meter.end()
        self.returned_at = clock.monotonic()
        return events

    def _feed(self, chunk: bytes) -> bytes:
        """Return the complete new events in a chunk; raise if it is broken."""
        progress_before = self.stream.progress_count
        try:
            events = self.stream.feed(chunk)
        except ValueError as error:
            raise broken_answer(self.endpoint, str(error)) from error
        if events:
            now = clock.monotonic()
            self.detector.record_heard(self.connection, now)
            self.endpoint.record_progress(now)
            # Comments show that the endpoint is alive, but the wait for the
            # next event goes on.
            count = self.stream.progress_count - progress_before
            if count > 0:
                if self.meter is not None:
                    self.meter.record_events(count, now)
                self.max_wait_seconds = MAX_STREAM_PAUSE_SECONDS
                self.waiting_since = now
        return events

    def check(self) -> None:
        """Raise if what was read shows that the answer is of no use."""
        pending = self.stream.pending_bytes
        # Most pieces end with an event, and leave nothing to hold.
        if (pending or self.reservation.size) and (
            not self.reservation.resize(pending)
        ):
            raise errors.AnswerNotHeld(f"endpoint {self.endpoint.id}")
        if self.stream.has_gap:
            raise broken_answer(self.endpoint, "a stream event is missing")
        if self.stream.has_excess_comments:
            raise broken_answer(
                self.endpoint, "too many comments between two events"
            )
        if self.stream.has_foreign_text:
            raise broken_answer(
                self.endpoint,
                "the rest of a stream has an event without id",
            )

    def release(self) -> None:
        """Hold nothing any more."""
        self.reservation.release()


def broken_answer(
    endpoint: endpoints.Endpoint, reason: str
) -> errors.ConnectionBroken:
    """Return the error of an answer that is of no use."""
    return errors.ConnectionBroken(
        error_codes.CONNECTION_BROKEN,
        f"endpoint {endpoint.id}: {reason}",
        error_codes.Execution.UNKNOWN,
    )
