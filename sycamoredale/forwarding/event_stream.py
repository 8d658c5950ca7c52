"""Join the events that several endpoints send for one stream.

Only complete events are relayed, each once and in order, so that another
endpoint can continue the stream after the last one.
"""

import dataclasses
from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
# An event has a few tokens; a longer one is no event.
MAX_EVENT_BYTES: Final = 1024 * 1024


@dataclasses.dataclass
class EventStream:
    """Track the position in a stream whose events are numbered.

    `last_event_id` is the last event that the caller has received, from this
    stream or, if the caller resumes it, from an earlier call.  `has_gap` is
    true if the event after it is missing.
    """

    last_event_id: int | None = None
    event_count: int = 0
    has_gap: bool = False
    _partial: bytearray = dataclasses.field(default_factory=bytearray)

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete new events in a chunk, up to the first gap.

        Events that the caller already has are dropped.  Raises ValueError if
        an event exceeds MAX_EVENT_BYTES.
        """
        if not self._partial and chunk.endswith(EVENT_END):
            return b"".join(self._filter_new(chunk))
        # The end of an event may have arrived in two pieces.
        searched = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += chunk
        end = self._partial.rfind(EVENT_END, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        return b"".join(self._filter_new(complete))

    def restart(self) -> None:
        """Drop the incomplete event of the endpoint that was abandoned."""
        self._partial.clear()
        self.has_gap = False

    @property
    def ends_at_boundary(self) -> bool:
        """Return whether no part of an event is pending."""
        return not self._partial.strip()

    def _filter_new(self, data: bytes) -> list[bytes]:
        passed: list[bytes] = []
        for event in data.split(EVENT_END)[:-1]:
            number = _event_id(event)
            if number is None:
                passed.append(event + EVENT_END)
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
            passed.append(event + EVENT_END)
        return passed


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
