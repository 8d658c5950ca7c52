"""Join the events that several endpoints send for one stream.

Only complete events are relayed, each once and in order, so that another
endpoint can continue the stream after the last one.  Its events must have
numbers: what has none may be the text of an error.
"""

import dataclasses
from typing import Final

from sycamoredale.http import event_buffer

ID_FIELD: Final = b"id:"
COMMENT_PREFIX: Final = b":"
# Comments that keep a connection alive have a few bytes, one in a second.
MAX_COMMENT_BYTES: Final = 65536


@dataclasses.dataclass
class EventStream:
    """Track the position in a stream whose events are numbered.

    `last_event_id` is the last event that the caller has received, from this
    stream or, if the caller resumes it, from an earlier call.  `has_gap` is
    true if the event after it is missing.  `is_continued` is true while
    another endpoint continues what the caller has a part of, and
    `has_foreign_text` if that endpoint sent something else.  `progress_count`
    counts the new events, numbered or not; comments are none.
    """

    last_event_id: int | None = None
    event_count: int = 0
    progress_count: int = 0
    has_gap: bool = False
    is_continued: bool = False
    has_foreign_text: bool = False
    _has_passed: bool = False
    _comment_bytes: int = 0
    _buffer: event_buffer.EventBuffer = dataclasses.field(
        default_factory=event_buffer.EventBuffer
    )

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete new events in a chunk, up to the first gap.

        Events that the caller already has are dropped, as are comments in a
        continuation.  Raises ValueError if an event is too long.
        """
        complete = self._buffer.feed(chunk)
        return b"".join(self._filter_new(complete)) if complete else b""

    def restart(self) -> None:
        """Drop the incomplete event of the endpoint that was abandoned."""
        self._buffer.clear()
        self._comment_bytes = 0
        self.has_gap = False
        self.has_foreign_text = False
        self.is_continued = self._has_passed

    def continuation(self) -> "EventStream":
        """Return the stream of another endpoint that continues this one."""
        continued = EventStream(self.last_event_id, self.event_count)
        continued._has_passed = self._has_passed
        continued.is_continued = self._has_passed
        return continued

    def follow(self, other: "EventStream", events: bytes) -> bytes:
        """Go on after another stream that has passed more events meanwhile.

        Returns those of the events of this one that are still new.
        """
        if other.progress_count == 0 or other.last_event_id is None:
            return events
        kept = [
            event + event_buffer.EVENT_END
            for event in events.split(event_buffer.EVENT_END)[:-1]
            if (_event_id(event) or 0) > other.last_event_id
        ]
        self.last_event_id = max(other.last_event_id, self.last_event_id or 0)
        self.event_count = other.event_count + len(kept)
        self.is_continued = self._has_passed = True
        return b"".join(kept)

    def drop_pending(self) -> None:
        """Drop the incomplete event, so that its bytes are not held."""
        self._buffer.clear()

    @property
    def can_be_continued(self) -> bool:
        """Return whether it is known after which event to continue."""
        return not self._has_passed or self.last_event_id is not None

    @property
    def has_excess_comments(self) -> bool:
        """Return whether comments since the last event exceed their limit."""
        return self._comment_bytes > MAX_COMMENT_BYTES

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return self._buffer.size

    @property
    def ends_at_boundary(self) -> bool:
        """Return whether no part of an event is pending."""
        return self._buffer.is_blank

    def _filter_new(self, data: bytes) -> list[bytes]:
        passed: list[bytes] = []
        for event in data.split(event_buffer.EVENT_END)[:-1]:
            number = _event_id(event)
            if number is None and _is_comment(event):
                self._comment_bytes += len(event) + len(event_buffer.EVENT_END)
                if self.has_excess_comments:
                    break
                if not self.is_continued:
                    passed.append(event + event_buffer.EVENT_END)
                continue
            if number is None and self.is_continued:
                self.has_foreign_text = True
                break
            if number is None:
                self._record_progress()
                passed.append(event + event_buffer.EVENT_END)
                continue
            if self.last_event_id is not None and number <= self.last_event_id:
                continue
            if (
                self.last_event_id is not None
                and number != self.last_event_id + 1
            ):
                self.has_gap = True
                break
            self.last_event_id = number
            self.event_count += 1
            self._record_progress()
            passed.append(event + event_buffer.EVENT_END)
        return passed

    def _record_progress(self) -> None:
        self._has_passed = True
        self.progress_count += 1
        self._comment_bytes = 0


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None


def _is_comment(event: bytes) -> bool:
    """Return whether an event has nothing but comments."""
    return all(
        not line or line.startswith(COMMENT_PREFIX)
        for line in event.split(b"\n")
    )
