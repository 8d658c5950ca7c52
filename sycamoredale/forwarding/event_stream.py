"""Join the events that several endpoints send for one stream.

Only complete events are relayed, each once and in order, so that another
endpoint can continue the stream after the last one.  Its events must have
numbers: what has none may be the text of an error.
"""

import dataclasses
import re
from typing import Final

from sycamoredale.http import event_buffer

ID_FIELD: Final = b"id:"
LINE_END: Final = b"\n"
# A series of events that have nothing but comments.  It is matched at once,
# since a piece can hold thousands of them.
COMMENT_STARTS: Final = b":\n"
COMMENTS_PATTERN: Final = re.compile(
    rb"(?:(?:\n?:[^\n]*+(?:\n:[^\n]*+)*+)?\n\n)++"
)
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
        known = (
            event + event_buffer.EVENT_END
            for event in events.split(event_buffer.EVENT_END)[:-1]
        )
        kept = [
            event
            for event in known
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
        position = 0
        size = len(data)
        while position < size:
            start = position
            if data[start] in COMMENT_STARTS and (
                comments := COMMENTS_PATTERN.match(data, start)
            ):
                position = comments.end()
                self._comment_bytes += position - start
                if self.has_excess_comments:
                    break
                if not self.is_continued:
                    passed.append(data[start:position])
                continue
            end = data.find(event_buffer.EVENT_END, start)
            if end < 0:
                break
            position = end + len(event_buffer.EVENT_END)
            event = data[start:position]
            number = _event_id(event)
            if number is None and self.is_continued:
                self.has_foreign_text = True
                break
            if number is None:
                self._record_progress()
                passed.append(event)
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
            passed.append(event)
        return passed

    def _record_progress(self) -> None:
        self._has_passed = True
        self.progress_count += 1
        self._comment_bytes = 0


def _event_id(event: bytes) -> int | None:
    """Return the number of an event, which is given with its end."""
    start = 0
    if not event.startswith(ID_FIELD):
        start = event.find(LINE_END + ID_FIELD) + len(LINE_END)
        if not start:
            return None
    end = event.find(LINE_END, start)
    text = event[start + len(ID_FIELD) : end].strip()
    return int(text) if text.isdigit() else None
